"""Selects a host by what callers gain from leaving their zone, if anything.

A request stays in the zone of its caller while it is expected to end well within its latency
objective there. Otherwise the gain of a host in another zone is weighed against the cost of
crossing. Where the zone as a whole is short of room, a share of its requests leaves it
(`zone_share`), so that the others need not find that out one rejection at a time.
"""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Mapping, Sequence

from anvillug import clock, event_log, ids
from anvillug.process import host_choice, metrics, peer_table, zone_rooms, zone_share
from anvillug.request import dialect, job

_COMPARED_LOCAL_HOSTS = 5
_COMPARED_REMOTE_HOSTS = 2
# A request that is expected to take less than this share of the time left to its objective gains
# nothing that its caller would notice by leaving the zone.
_COMFORT_SHARE = 0.6
# Above this utilization, a response may have waited for a slot.
_MAX_CALM_UTILIZATION = 0.75
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
class _Use:
    """Usual work time and size of requests, over those that ended here."""

    work_ms: float | None = None
    size_kb: float = _HEADS_KB

    def record(self, work_ms: float, size_kb: float) -> None:
        """Add one response."""
        if self.work_ms is None:
            self.work_ms = work_ms
            self.size_kb = size_kb
        self.work_ms += (work_ms - self.work_ms) * _NEWEST_WEIGHT
        self.size_kb += (size_kb - self.size_kb) * _NEWEST_WEIGHT


_UNKNOWN_USE = _Use()


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
        """Share of the work that leaves the zone, by service that callers here have used."""
        self._zone = zone
        self._crossing = crossing
        self._metrics = process_metrics
        self._rng = rng
        # One entry for each route and service of the configuration that callers here have used.
        self._uses_by_route: dict[ids.RouteName, _Use] = {}
        self._uses_by_service: dict[ids.ServiceName, _Use] = {}
        self._logged_by_service: dict[ids.ServiceName, float] = {}

    def record(self, work: job.Job, result: job.Result, took_ms: float) -> None:
        """Record the response to a job."""
        load = result.load
        if result.kind is not job.ResultKind.ANSWERED or result.failed or load is None:
            return
        if load.running + load.waiting > load.slots * _MAX_CALM_UTILIZATION:
            # The response has waited, which is no part of its work.
            return
        work_ms = took_ms * dialect.NORMAL_SLOWNESS / max(dialect.NORMAL_SLOWNESS, load.slowness)
        size_kb = _HEADS_KB + (work.size + len(result.body)) / _BYTES_PER_KB
        self._uses_by_route.setdefault(work.route, _Use()).record(work_ms, size_kb)
        self._uses_by_service.setdefault(work.service, _Use()).record(work_ms, size_kb)

    def choose(
        self,
        work: job.Job,
        peers: Sequence[peer_table.Peer],
        all_peers: Sequence[peer_table.Peer],
        now: clock.Milliseconds,
    ) -> peer_table.Peer | None:
        """Return the host for a job, None if there are no hosts.

        Args:
            work: The job.
            peers: Hosts that may be selected for it.
            all_peers: Hosts that may be selected for any request of its service.
            now: Monotonic time.
        """
        if not peers:
            return None
        share = self.stepped_share(work, all_peers, now)
        chosen = self.select(work, peers, share, now, self._rng)
        is_local = chosen.announcement.zone == self._zone
        self._metrics.count('zone_choices', _STAYED if is_local else _LEFT)
        return chosen

    def stepped_share(
        self, work: job.Job, peers: Sequence[peer_table.Peer], now: clock.Milliseconds
    ) -> zone_share.ZoneShare:
        """Return the share of the job's service, after a step if one is due."""
        share = self.shares_by_service.setdefault(work.service, self.share_of(work.service))
        if share.is_due(now):
            use = self._uses_by_service.get(work.service, _UNKNOWN_USE)
            left_ms = _left_ms(work, now)
            work_ms = left_ms * _DEFAULT_WORK_SHARE if use.work_ms is None else use.work_ms
            rooms = zone_rooms.by_zone(peers, work_ms, now)
            share.step(rooms, use.size_kb, left_ms * _COMFORT_SHARE, now)
            self._log_if_changed(work.service, share, rooms)
        return share

    def share_of(self, service: ids.ServiceName) -> zone_share.ZoneShare:
        """Return the share of a service's work that leaves the zone, as it was decided last."""
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
        if share.share and rng.random() < self._own_share(work, share):
            leaving = _of_drawn_zone(share, peers, rng)
            peers = leaving or peers
        counts = (_COMPARED_LOCAL_HOSTS, _COMPARED_REMOTE_HOSTS)
        local, remote = host_choice.sample_by_zone(peers, self._zone, counts, now, rng)
        compared = remote[: _COMPARED_REMOTE_HOSTS if local else _COMPARED_LOCAL_HOSTS]
        if not local:
            return _best(compared, now)
        best_local = _best(local[:_COMPARED_LOCAL_HOSTS], now)
        return self._better(best_local, compared, work, now) if compared else best_local

    def gauges(self) -> Mapping[str, float]:
        """Return the largest share of a service's work that leaves the zone."""
        shares = [share.share for share in self.shares_by_service.values()]
        return {'zone_share_left': max(shares, default=0.0)}

    # Private

    def _better(
        self,
        local: peer_table.Peer,
        others: Sequence[peer_table.Peer],
        work: job.Job,
        now: clock.Milliseconds,
    ) -> peer_table.Peer:
        """Return the host of the zone, or the best of others if the job gains by it."""
        left_ms = _left_ms(work, now)
        usual_ms = self._uses_by_route.get(work.route, _UNKNOWN_USE).work_ms
        work_ms = left_ms * _DEFAULT_WORK_SHARE if usual_ms is None else usual_ms
        local_ms = work_ms * host_choice.local_slowness(local, now) / dialect.NORMAL_SLOWNESS
        # On a busy host a slow run also delays those behind it.
        if local_ms <= left_ms * _COMFORT_SHARE and _is_calm(local):
            return local
        remote = _best(others, now)
        remote_ms = work_ms * host_choice.local_slowness(remote, now) / dialect.NORMAL_SLOWNESS
        return remote if remote_ms + self._cost_ms(work) < local_ms else local

    def _own_share(self, work: job.Job, share: zone_share.ZoneShare) -> float:
        """Return the probability with which a job leaves; large ones leave less often."""
        usual_kb = self._uses_by_service.get(work.service, _UNKNOWN_USE).size_kb
        usual_ms = self._crossing.cost_ms(usual_kb)
        return share.share * min(1.0, usual_ms / max(usual_ms, self._cost_ms(work)))

    def _cost_ms(self, work: job.Job) -> float:
        usual_kb = self._uses_by_route.get(work.route, _UNKNOWN_USE).size_kb
        return self._crossing.cost_ms(max(usual_kb, _HEADS_KB + work.size / _BYTES_PER_KB))

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


def _is_calm(host: peer_table.Peer) -> bool:
    load = host.load
    return load is None or host_choice.busy(host, load) <= load.slots * _MAX_CALM_UTILIZATION


def _left_ms(work: job.Job, now: clock.Milliseconds) -> float:
    return max(0.0, min(work.objective, work.deadline) - now)


def _of_drawn_zone(
    share: zone_share.ZoneShare, peers: Sequence[peer_table.Peer], rng: random.Random
) -> Sequence[peer_table.Peer]:
    """Return the hosts of a zone that work leaves for; none if it has none for this request."""
    weights = share.weights_by_zone
    if not weights:
        return ()
    zone = rng.choices(tuple(weights), tuple(weights.values()))[0]
    return [peer for peer in peers if peer.announcement.zone == zone]


def _best(peers: Sequence[peer_table.Peer], now: clock.Milliseconds) -> peer_table.Peer:
    return min(peers, key=lambda peer: host_choice.local_slowness(peer, now))
