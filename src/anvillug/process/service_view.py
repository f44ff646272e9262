"""Hosts of one service that calls may go to, by version."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable, Mapping

from anvillug import clock, ids
from anvillug.process import membership
from anvillug.request import choice
from anvillug.version import config_state, document, share, targets


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceView:
    """What the entry side knows of a service at one moment."""

    service: document.Service
    """Configuration of the service."""
    hosts_by_version: Mapping[ids.VersionName, tuple[ids.HostId, ...]]
    """Subset of usable hosts, by the version that their backend server runs."""
    weights: Mapping[ids.HostId, float] | None
    """Weight of hosts in zones that ramp up; None when every weight is 1."""
    move: config_state.MoveStatus | None
    """Rollout in progress."""
    canary_share: float
    """First share of a new version."""

    def pick_version(self, rng: random.Random, wall: clock.Milliseconds) -> ids.VersionName:
        """Choose the version that a call goes to by the planned share.

        Args:
            rng: Source of the draw.
            wall: Milliseconds since the epoch.

        Returns:
            The version; the other one where the chosen one has no host.
        """
        stable = self.service.version
        move = self.move
        if move is None or move.state is config_state.MoveState.TAKEN_BACK:
            return stable
        new_share = 1.0
        if move.state is config_state.MoveState.PLANNED:
            new_share = share.planned_share(move, self.canary_share, wall)
        wanted, other = stable, move.to_version
        if rng.random() < new_share:
            wanted, other = other, wanted
        if wanted not in self.hosts_by_version and other in self.hosts_by_version:
            return other
        return wanted


def build(
    config: config_state.ConfigState,
    members: membership.MemberTable,
    service_name: ids.ServiceName,
    own: membership.Member,
    wall: clock.Milliseconds,
    is_bad: Callable[[ids.ServiceName, config_state.MoveStatus], bool],
) -> ServiceView | None:
    """Collect the hosts of a service.

    Args:
        config: Configuration in effect.
        members: Known members.
        service_name: Service to collect for.
        own: Record of this host.
        wall: Milliseconds since the epoch.
        is_bad: Tells whether a rollout's new version is known to be bad.

    Returns:
        The view, or None if the configuration has no such service.
    """
    service = config.document.services.get(service_name)
    if service is None:
        return None
    move = config.moves_by_service.get(service_name)
    if move is not None and is_bad(service_name, move):
        move = dataclasses.replace(move, state=config_state.MoveState.TAKEN_BACK)
    members_by_version: dict[ids.VersionName, list[membership.Member]] = {}
    weights: dict[ids.HostId, float] = {}
    for member in members.usable(service_name):
        weight = _zone_weight(config, member.zone, wall)
        if weight > 0:
            members_by_version.setdefault(member.version, []).append(member)
        if weight < 1:
            weights[member.host_id] = weight
    hosts_by_version = {
        version: _subset_ids(found, own) for version, found in members_by_version.items()
    }
    canary_share = targets.decide(service).canary_share
    return ServiceView(service, hosts_by_version, weights or None, move, canary_share)


def _subset_ids(
    found: list[membership.Member],
    own: membership.Member,
) -> tuple[ids.HostId, ...]:
    return tuple(member.host_id for member in choice.subset(found, own.host_id, own.zone))


def _zone_weight(
    config: config_state.ConfigState,
    zone: ids.ZoneName,
    wall: clock.Milliseconds,
) -> float:
    change = config.zone_changes_by_name.get(zone)
    if change is None:
        return 1
    return share.zone_share(change, config.document.zones[zone].ramp_ms, wall)
