"""View of one service: the hosts that are eligible for its calls, by version."""

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
    """Immutable snapshot of the hosts and the configuration of a service."""

    service: document.Service
    """Configuration of the service."""
    hosts_by_version: Mapping[ids.VersionName, tuple[ids.HostId, ...]]
    """Subset of the usable hosts, by the version that their backend server runs."""
    weights: Mapping[ids.HostId, float] | None
    """Weights below 1, of hosts in zones that are out or ramp up; None if every weight is 1."""
    move: config_state.MoveStatus | None
    """Rollout in progress."""
    canary_share: float
    """Initial share of a new version."""

    def pick_version(self, rng: random.Random, wall: clock.Milliseconds) -> ids.VersionName:
        """Select the version for a call at random, by the planned share of the new version.

        Args:
            rng: Source of random numbers.
            wall: Milliseconds since the epoch.

        Returns:
            The selected version; the other one if only that has hosts.
        """
        stable = self.service.version
        move = self.move
        if move is None or move.state is config_state.MoveState.TAKEN_BACK:
            return stable
        new_share = 1.0
        if move.state is config_state.MoveState.PLANNED:
            new_share = share.planned_share(move, self.canary_share, wall)
        selected, other = stable, move.to_version
        if rng.random() < new_share:
            selected, other = other, selected
        if selected not in self.hosts_by_version and other in self.hosts_by_version:
            return other
        return selected


def build(
    config: config_state.ConfigState,
    members: membership.MemberTable,
    service_name: ids.ServiceName,
    local_member: membership.Member,
    wall: clock.Milliseconds,
    is_bad: Callable[[ids.ServiceName, config_state.MoveStatus], bool],
) -> ServiceView | None:
    """Build the view of a service.

    Args:
        config: Configuration in effect.
        members: Table of members.
        service_name: Name of the service.
        local_member: Record of this host.
        wall: Milliseconds since the epoch.
        is_bad: Returns whether the new version of a rollout has a bad verdict.

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
        version: _subset_ids(eligible, local_member)
        for version, eligible in members_by_version.items()
    }
    canary_share = targets.decide(service).canary_share
    return ServiceView(service, hosts_by_version, weights or None, move, canary_share)


def _subset_ids(
    eligible: list[membership.Member],
    local_member: membership.Member,
) -> tuple[ids.HostId, ...]:
    return tuple(
        member.host_id
        for member in choice.subset(eligible, local_member.host_id, local_member.zone)
    )


def _zone_weight(
    config: config_state.ConfigState,
    zone: ids.ZoneName,
    wall: clock.Milliseconds,
) -> float:
    change = config.zone_changes_by_name.get(zone)
    if change is None:
        return 1
    return share.zone_share(change, config.document.zones[zone].ramp_ms, wall)
