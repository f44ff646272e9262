"""All rollouts that were ordered, and their state as exchanged between nodes.

Every node counts its own calls, receives the counts of the others, and evaluates the sums. The
verdict that a version is bad takes effect at once on each node that reaches or receives it. One
node that can write to the store begins the shift and completes the rollout; the outcome in the
store is authoritative.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Sequence
from typing import Any, Protocol, TypeVar

import xxhash

from anvillug import clock, event_log, ids
from anvillug.version import directives, rollout, rollout_counts, rollout_evidence

# Before the shift, only this many hosts of the new version receive calls, or more if the canary
# share requires it. With more hosts, each would receive too few calls for a failing host to be
# detected and avoided, as happens among the hosts of the old version.
_MIN_CANARY_HOSTS = 8


class VersionedHost(Protocol):
    """Host that may run one of the versions."""

    @property
    def host_id(self) -> ids.HostId:
        """Id of the host."""

    @property
    def version(self) -> ids.VersionName:
        """Version of the host's backend server."""


HostT = TypeVar('HostT', bound=VersionedHost)


class Rollouts:
    """All rollouts that were ordered.

    Args:
        time: Clock.
        exposure: Bound on the calls that a bad version may receive during its rollout.
        on_decided: Called when this node has made a decision that the others should receive soon.
    """

    def __init__(
        self, time: clock.Clock, exposure: rollout.Exposure, on_decided: Callable[[], None]
    ) -> None:
        self.by_service: dict[ids.ServiceName, rollout.Rollout] = {}
        """Newest rollout of each service."""
        self._clock = time
        self._exposure = exposure
        self._on_decided = on_decided
        self._report_turn = 0
        # Versions whose rollout was not completed; their backend servers may still be running.
        self._untrusted_by_service: dict[ids.ServiceName, set[ids.VersionName]] = {}
        self._statuses_by_service: dict[ids.ServiceName, rollout.Status] = {}

    def apply_orders(self, in_effect: directives.Directives) -> None:
        """Apply the rollout orders in effect."""
        for service, order in in_effect.rollouts_by_service.items():
            current = self.by_service.get(service)
            if current is None or current.order.position < order.position:
                self._apply_order(current, order)
        for status in tuple(self._statuses_by_service.values()):
            self.apply_status(status)

    def _apply_order(self, current: rollout.Rollout | None, order: directives.RolloutOrder) -> None:
        if current is not None and order.is_same_in_other_era(current.order):
            current.order = order
            return
        event_log.emit(
            'rollout_ordered',
            service=order.service,
            target_version=order.target_version,
            position=order.position,
        )
        self._record_untrusted(current, order)
        self.by_service[order.service] = rollout.Rollout(order, self._clock.now(), self._exposure)

    def _record_untrusted(
        self, current: rollout.Rollout | None, order: directives.RolloutOrder
    ) -> None:
        untrusted = self._untrusted_by_service.setdefault(order.service, set())
        if current is not None and current.phase is not rollout.Phase.COMPLETED:
            untrusted.add(current.order.target_version)
        untrusted.discard(order.target_version)

    def apply_status(self, status: rollout.Status) -> None:
        """Apply a status that was read from or written to the store."""
        self._statuses_by_service[status.service] = status
        current = self.by_service.get(status.service)
        if current is None or current.order.target_version != status.target_version:
            return
        if status.phase.is_final:
            current.adopt(status.phase, 'read from the store')
        current.status_written(status.phase)

    def record(self, call: rollout.Call) -> rollout_counts.Outcome | None:
        """Count a call that has ended.

        Returns:
            The outcome under which it was counted; None without a rollout in progress.
        """
        current = self._in_progress(call.service)
        return None if current is None else current.record(call)

    def record_if_slow(self, call: rollout.Call) -> rollout_counts.Outcome | None:
        """Count a call that has received no response yet, if it is slow already.

        Returns:
            The outcome under which it was counted; None if it was not counted.
        """
        current = self._in_progress(call.service)
        return None if current is None else current.record_if_slow(call)

    def _in_progress(self, service: ids.ServiceName) -> rollout.Rollout | None:
        current = self.by_service.get(service)
        return None if current is None or current.phase.is_final else current

    def allowed(
        self, service: ids.ServiceName, hosts: Sequence[HostT], fraction: float
    ) -> Sequence[HostT]:
        """Return the hosts that a call may go to.

        Args:
            service: Service of the call.
            hosts: Hosts of that service.
            fraction: Random number, uniform in [0, 1).
        """
        current = self.by_service.get(service)
        if current is None:
            return hosts
        target = current.order.target_version
        untrusted = self._untrusted_by_service[service]
        new = [host for host in hosts if host.version == target]
        old = [host for host in hosts if host.version != target and host.version not in untrusted]
        if current.phase.is_final:
            return new if current.share else old
        # The new version is no fallback for the old one until the rollout is completed.
        if fraction >= current.share:
            return old
        return _canary_hosts(current, new) or old

    def step(self) -> None:
        """Evaluate all rollouts."""
        now = self._clock.now()
        decided = [current.step(now) for current in self.by_service.values()]
        if any(decided):
            self._on_decided()

    def shift(self, current: rollout.Rollout) -> None:
        """Move all calls of a service to the new version, on all nodes."""
        current.shift(self._clock.now())
        self._on_decided()

    def revert(self, current: rollout.Rollout) -> None:
        """Move all calls of a service back to the old version, on all nodes."""
        if current.revert():
            self._on_decided()

    @property
    def shifting(self) -> bool:
        """Whether a shift is in progress, during which nodes exchange their counts more often."""
        return any(current.phase is rollout.Phase.SHIFTING for current in self.by_service.values())

    # Exchange with other nodes

    def encode_report(self) -> dict[str, Any]:
        """Return the state to send to other nodes, in its wire form."""
        now = self._clock.now()
        reported = self._next_reported()
        return {
            service: [
                current.order.position,
                current.phase.value,
                current.announced,
                current.written,
                int(now - current.started_at),
                current.cancelled_shifts,
                int(now - current.shifted_at),
                current.evidence.local.pack() if current is reported else None,
            ]
            for service, current in self.by_service.items()
        }

    def _next_reported(self) -> rollout.Rollout | None:
        """Return the rollout whose counts are sent next.

        Rollouts take turns, since the counts of several would exceed a datagram.
        """
        in_progress = [
            current for current in self.by_service.values() if not current.phase.is_final
        ]
        if not in_progress:
            return None
        self._report_turn += 1
        return in_progress[self._report_turn % len(in_progress)]

    def receive_report(self, reporter: rollout_evidence.Reporter, packed: dict[str, Any]) -> None:
        """Merge the state that another node has sent.

        Args:
            reporter: Process that sent it.
            packed: Its state as returned by `encode_report`.

        Raises:
            ValueError, TypeError, LookupError: If the state is malformed.
        """
        for service, (position, *state) in packed.items():
            current = self.by_service.get(ids.ServiceName(service))
            order_position = directives.unpack_position(position)
            if current is not None and current.order.position == order_position:
                self._receive_state(current, reporter, *state)

    def _receive_state(  # noqa: WPS211 - the fields of the wire form
        self,
        current: rollout.Rollout,
        reporter: rollout_evidence.Reporter,
        phase_name: str,
        announced: bool,
        written: bool,
        age_ms: int,
        cancelled_shifts: int,
        shift_age_ms: int,
        packed_counts: list[Any] | None,
    ) -> None:
        now = self._clock.now()
        current.started_at = min(current.started_at, clock.Milliseconds(now - age_ms))
        counts = packed_counts and rollout_counts.VersionCounts.unpack(packed_counts)
        current.evidence.record_report(reporter, counts, now)
        current.announced = current.announced or announced
        phase = rollout.Phase(phase_name)
        if written and phase.is_final:
            current.adopt(phase, f'reported by {reporter[0]}')
            current.written = True
        elif phase is rollout.Phase.REVERTED and not current.phase.is_final:
            current.adopt(phase, f'reported by {reporter[0]}')
        elif phase is rollout.Phase.SHIFTING:
            current.adopt_shift(cancelled_shifts, clock.Milliseconds(now - shift_age_ms))


def _canary_hosts(current: rollout.Rollout, new: Sequence[HostT]) -> Sequence[HostT]:
    """Return the hosts of the new version that may receive calls, the same on all nodes."""
    count = max(_MIN_CANARY_HOSTS, math.ceil(current.share * len(new)))
    if count >= len(new):
        return new
    return heapq.nsmallest(count, new, key=lambda host: _rank(current.order, host))


def _rank(order: directives.RolloutOrder, host: VersionedHost) -> int:
    """Return a pseudo-random rank of a host, different for each rollout."""
    key = f'{order.service}/{order.target_version}/{host.host_id}'
    return xxhash.xxh3_64_intdigest(key.encode())
