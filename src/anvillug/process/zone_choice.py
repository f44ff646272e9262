"""Selects a host by what callers gain from leaving their zone, if anything.

A request stays in the zone of its caller while it is expected to end well within its latency
objective there. Otherwise the gain of a host in another zone is weighed against the cost of
crossing. Where the zone as a whole is short of room, a share of its requests leaves it
(`zone_share`), so that the others need not find that out one rejection at a time.
"""

from __future__ import annotations

import collections
import dataclasses
import math
import random
from collections.abc import Mapping, Sequence

from anvillug import clock, event_log, ids
from anvillug.process import host_choice, metrics, peer_table, zone_share
from anvillug.request import job

_COMPARED_LOCAL_HOSTS = 5
_COMPARED_REMOTE_HOSTS = 2
# A request that is expected to take less than this share of the time left to its objective gains
# nothing that its caller would notice by leaving the zone.
_COMFORT_SHARE = 0.6
_NORMAL_SLOWNESS = 100.0
# Weight of the newest value in the usual work time and size of a route.
_NEWEST_WEIGHT = 0.05
# Usual work time of a route without any response, as a share of its latency objective.
_DEFAULT_WORK_SHARE = 0.4
_BYTES_PER_KB = 1024
# Size of the heads of a request and its response between nodes.
_HEADS_KB = 1.0
# A share that has moved by so much since the last line is logged again.
_LOGGED_CHANGE = 0.1
_LEFT = 'left'
_STAYED = 'stayed'


@dataclasses.dataclass(slots=True)
class _RouteUse:
    """Usual work time and size of a route's requests, over those that ended here."""

    work_ms: float | None = None
    response_kb: float = 0.0

    def record(self, work_ms: float, response_kb: float) -> None:
        """Add one response."""
        if self.work_ms is None:
            self.work_ms = work_ms
            self.response_kb = response_kb
        self.work_ms += (work_ms - self.work_ms) * _NEWEST_WEIGHT
        self.response_kb += (response_kb - self.response_kb) * _NEWEST_WEIGHT


class ZoneChoice:
    """Selects hosts for the requests of one node.

    Args:
        zone: Zone of the node, and so of its callers.
        crossing: What operators accept for leaving it.
        process_metrics: Metrics of the process.
        rng: Random number generator.
    """

    def __init__(
        self,
        zone: ids.ZoneName,
        crossing: zone_share.Crossing,
        process_metrics: metrics.Metrics,
        rng: random.Random,
    ) -> None:
        self.shares_by_service: dict[ids.ServiceName, zone_share.ZoneShare] = {}
        """Share of the work that leaves the zone, by service of the configuration."""
        self._zone = zone
        self._crossing = crossing
        self._metrics = process_metrics
        self._rng = rng
        # One entry for each route of the configuration that callers here have used.
        self._uses_by_route: dict[ids.RouteName, _RouteUse] = collections.defaultdict(_RouteUse)
        self._logged_by_service: dict[ids.ServiceName, float] = {}

    def record(self, work: job.Job, result: job.Result, took_ms: float) -> None:
        """Record the response to a job."""
        if result.kind is not job.ResultKind.ANSWERED or result.load is None:
            return
        work_ms = took_ms * _NORMAL_SLOWNESS / max(_NORMAL_SLOWNESS, result.load.slowness)
        self._uses_by_route[work.route].record(work_ms, len(result.body) / _BYTES_PER_KB)

    def choose(
        self, work: job.Job, peers: Sequence[peer_table.Peer], now: clock.Milliseconds
    ) -> peer_table.Peer | None:
        """Return the host for a job, None if there are no hosts.

        Args:
            work: The job.
            peers: Hosts that may be selected.
            now: Monotonic time.
        """
        if not peers:
            return None
        left_ms = _left_ms(work, now)
        share = self._share_of(work, peers, left_ms, now)
        chosen = self.select(work, peers, share, now, self._rng)
        is_local = chosen.announcement.zone == self._zone
        self._metrics.count('zone_choices', _STAYED if is_local else _LEFT)
        return chosen

    def share_of(self, service: ids.ServiceName) -> zone_share.ZoneShare:
        """Return the share of a service's work that leaves the zone at present."""
        share = self.shares_by_service.get(service)
        return zone_share.ZoneShare(self._zone, self._crossing) if share is None else share

    def select(
        self,
        work: job.Job,
        peers: Sequence[peer_table.Peer],
        share: zone_share.ZoneShare,
        now: clock.Milliseconds,
        rng: random.Random,
    ) -> peer_table.Peer:
        """Return the host for a job, without a trace of the choice.

        Args:
            work: The job.
            peers: Hosts that may be selected, at least one.
            share: Share of the service's work that leaves the zone.
            now: Monotonic time.
            rng: Random number generator.
        """
        left_ms = _left_ms(work, now)
        sampled = host_choice.sample(peers, now, rng)
        local = [peer for peer in sampled if peer.announcement.zone == self._zone]
        remote = [peer for peer in sampled if peer.announcement.zone != self._zone]
        if remote and rng.random() < share.share:
            local, remote = [], _of_drawn_zone(share, remote, rng)
        origin = host_choice.Origin(self._zone, 0)
        best_local = _best(local[:_COMPARED_LOCAL_HOSTS], origin, now)
        compared = remote[: _COMPARED_REMOTE_HOSTS if local else _COMPARED_LOCAL_HOSTS]
        best_remote = _best(compared, origin, now)
        return self._better(best_local, best_remote, work, left_ms, now)

    def gauges(self) -> Mapping[str, float]:
        """Return the largest share of a service's work that leaves the zone."""
        shares = [share.share for share in self.shares_by_service.values()]
        return {'zone_share_left': max(shares, default=0.0)}

    # Private

    def _better(
        self,
        local: peer_table.Peer | None,
        remote: peer_table.Peer | None,
        work: job.Job,
        left_ms: float,
        now: clock.Milliseconds,
    ) -> peer_table.Peer:
        if local is None or remote is None:
            return local or remote
        work_ms = self._work_ms(work, left_ms)
        local_ms = work_ms * _slowness(local, now) / _NORMAL_SLOWNESS
        if local_ms <= left_ms * _COMFORT_SHARE:
            return local
        remote_ms = work_ms * _slowness(remote, now) / _NORMAL_SLOWNESS
        return (
            remote if remote_ms + self._crossing.cost_ms(self._size_kb(work)) < local_ms else local
        )

    def _work_ms(self, work: job.Job, left_ms: float) -> float:
        usual = self._uses_by_route[work.route].work_ms
        return left_ms * _DEFAULT_WORK_SHARE if usual is None else usual

    def _size_kb(self, work: job.Job) -> float:
        response_kb = self._uses_by_route[work.route].response_kb
        return _HEADS_KB + work.size / _BYTES_PER_KB + response_kb

    def _share_of(
        self,
        work: job.Job,
        peers: Sequence[peer_table.Peer],
        left_ms: float,
        now: clock.Milliseconds,
    ) -> zone_share.ZoneShare:
        share = self.share_of(work.service)
        self.shares_by_service[work.service] = share
        if share.is_due(now):
            rooms = self._rooms(peers, self._work_ms(work, left_ms), now)
            share.step(rooms, self._size_kb(work), now)
            self._log_if_changed(work.service, share, rooms)
        return share

    def _rooms(
        self, peers: Sequence[peer_table.Peer], work_ms: float, now: clock.Milliseconds
    ) -> zone_share.Rooms:
        by_zone: dict[ids.ZoneName, list[peer_table.Peer]] = collections.defaultdict(list)
        for peer in peers:
            if peer.avoid_until <= now and not peer.is_unresponsive(now):
                by_zone[peer.announcement.zone].append(peer)
        return {zone: _room(hosts, work_ms, now) for zone, hosts in by_zone.items()}

    def _log_if_changed(
        self, service: ids.ServiceName, share: zone_share.ZoneShare, rooms: zone_share.Rooms
    ) -> None:
        logged = self._logged_by_service.get(service, 0.0)
        if abs(share.share - logged) < _LOGGED_CHANGE and (share.share or not logged):
            return
        self._logged_by_service[service] = share.share
        own = rooms.get(self._zone)
        event_log.emit(
            'zone_share',
            service=service,
            share=round(share.share, 2),
            reason=share.reason,
            busy=0 if own is None else round(own.busy, 1),
            slots=0 if own is None else own.slots,
        )


def _left_ms(work: job.Job, now: clock.Milliseconds) -> float:
    return max(0.0, min(work.objective, work.deadline) - now)


def _of_drawn_zone(
    share: zone_share.ZoneShare, remote: Sequence[peer_table.Peer], rng: random.Random
) -> Sequence[peer_table.Peer]:
    weights = share.weights_by_zone
    if not weights:
        return remote
    zone = rng.choices(tuple(weights), tuple(weights.values()))[0]
    return [peer for peer in remote if peer.announcement.zone == zone] or remote


def _best(
    peers: Sequence[peer_table.Peer], origin: host_choice.Origin, now: clock.Milliseconds
) -> peer_table.Peer | None:
    return min(
        peers, key=lambda peer: host_choice.expected_slowness(peer, origin, now), default=None
    )


def _slowness(peer: peer_table.Peer, now: clock.Milliseconds) -> float:
    """Return how slow work is expected to be at a host, whatever its zone."""
    origin = host_choice.Origin(peer.announcement.zone, 0)
    return host_choice.expected_slowness(peer, origin, now)


def _room(
    hosts: Sequence[peer_table.Peer], work_ms: float, now: clock.Milliseconds
) -> zone_share.ZoneRoom:
    """Return the room of the hosts of one zone; one without a known load counts as idle."""
    loads = [peer.load for peer in hosts if peer.load is not None]
    ages = [now - peer.load_reported_at for peer in hosts if peer.load is not None]
    busy = sum(
        max(peer.outstanding, peer.load.running + peer.load.waiting)
        for peer in hosts
        if peer.load is not None
    )
    return zone_share.ZoneRoom(
        slots=sum(load.slots for load in loads),
        busy=busy,
        work_ms=work_ms,
        age_ms=min(ages, default=math.inf),
    )
