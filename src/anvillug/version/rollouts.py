"""All rollouts that were ordered, and their state as exchanged between nodes.

Every node counts its own calls, receives the counts of the others, and evaluates the sums. The
verdict that a version is bad takes effect at once on each node that reaches or receives it. One
node that can write to the store begins the shift and completes the rollout; the outcome in the
store is authoritative. An outcome that the store has lost stays in effect and is written again.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Sequence
from typing import Any, Protocol, TypeVar

import xxhash

from anvillug import clock, event_log, ids, wire_value
from anvillug.version import (
    directives,
    rollout,
    rollout_call,
    rollout_counts,
    rollout_evidence,
    rollout_orders,
    rollout_report,
)

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
        self.era = directives.ORIGIN.era
        """Newest known era of the store."""
        self._clock = time
        self._exposure = exposure
        self._on_decided = on_decided
        self._report_turn = 0
        self._order_history = rollout_orders.OrderHistory(time)
        # Versions whose rollout was not completed; their backend servers may still be running.
        self._untrusted_by_service: dict[ids.ServiceName, set[ids.VersionName]] = {}
        # Status records of the present era of the store.
        self._statuses_by_service: dict[
            ids.ServiceName, tuple[rollout.Status, directives.Position]
        ] = {}

    def enter_era(self, era: int) -> None:
        """Forget which statuses the store holds if it has been restored since the last call.

        Args:
            era: An era of the store; has no effect unless it is a new one.
        """
        if era <= self.era:
            return
        event_log.emit('rollout_era_entered', era=era, previous=self.era)
        self.era = era
        self._statuses_by_service.clear()
        for current in self.by_service.values():
            current.stored = None

    def apply_orders(self, in_effect: directives.Directives) -> None:
        """Apply the rollout orders in effect."""
        self.enter_era(in_effect.position.era)
        self._order_history.enter_era(in_effect.position.era)
        for service, order in in_effect.rollouts_by_service.items():
            current = self.by_service.get(service)
            if current is None:
                self._start_rollout(current, order)
            elif current.order.position < order.position:
                self._apply_order(current, order)
        for status, position in tuple(self._statuses_by_service.values()):
            self.apply_status(status, position)

    def _apply_order(self, current: rollout.Rollout, order: directives.RolloutOrder) -> None:
        if self._order_history.has_record(order):
            return
        identity = self._order_history.identify(order, current)
        untrusted = self._untrusted_by_service[order.service]
        if identity is rollout_orders.Identity.NEW:
            self._order_history.replace(current, untrusted, order)
            self._start_rollout(current, order)
            return
        event_log.emit(
            'rollout_order_repeated',
            service=order.service,
            target_version=order.target_version,
            position=order.position,
            reason=identity.value,
            phase=current.phase.value,
            known_position=current.order.position,
        )
        if identity is rollout_orders.Identity.CURRENT:
            current.order = order
        elif identity is rollout_orders.Identity.SUPERSEDED:
            self._order_history.add_superseded(order)
        else:
            interrupted = self._order_history.resume(current, untrusted, order)
            self.by_service[order.service] = interrupted.rollout
            self._untrusted_by_service[order.service] = set(interrupted.untrusted)

    def _start_rollout(
        self, current: rollout.Rollout | None, order: directives.RolloutOrder
    ) -> None:
        event_log.emit(
            'rollout_ordered',
            service=order.service,
            target_version=order.target_version,
            position=order.position,
        )
        self._record_untrusted(current, order)
        started = rollout.Rollout(order, self._clock.now(), self._exposure)
        if current is not None and current.order.target_version == order.target_version:
            started.earlier_stored = current.stored_outcome
        self.by_service[order.service] = started

    def _record_untrusted(
        self, current: rollout.Rollout | None, order: directives.RolloutOrder
    ) -> None:
        untrusted = self._untrusted_by_service.setdefault(order.service, set())
        if current is not None and current.phase is not rollout.Phase.COMPLETED:
            untrusted.add(current.order.target_version)
        untrusted.discard(order.target_version)

    def apply_status(self, status: rollout.Status, position: directives.Position) -> None:
        """Apply a status that was read from or written to the store.

        Args:
            status: The status.
            position: Position of its record.
        """
        self.enter_era(position.era)
        is_present = position.era == self.era
        if is_present:
            self._statuses_by_service[status.service] = (status, position)
        current = self.by_service.get(status.service)
        if current is None:
            return
        phase = status.phase if current.owns_status(status, position) else None
        if phase is not None and phase.is_final:
            current.settle(phase, 'read from the store')
        if is_present:
            current.record_stored(rollout.StoredStatus(position, phase))

    def record(self, call: rollout_call.Call) -> rollout_counts.Outcome | None:
        """Count a call that has ended.

        Returns:
            The outcome under which it was counted; None without a rollout in progress.
        """
        current = self._in_progress(call.service)
        return None if current is None else current.record(call)

    def record_if_slow(self, call: rollout_call.Call) -> rollout_counts.Outcome | None:
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
        if fraction < current.share:
            return _canary_hosts(current, new) or old
        if not old and self._order_history.is_interrupted(service):
            # The order may be an older one that the copy holds, and its version the one in service.
            return new
        # The new version is no fallback for the old one until the rollout is completed.
        return old

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

    @property
    def in_progress(self) -> bool:
        """Whether a rollout is in progress, whose counts nodes exchange."""
        return any(not current.phase.is_final for current in self.by_service.values())

    # Exchange with other nodes

    def encode_report(self) -> dict[str, Any]:
        """Return the state to send to other nodes, in its wire form."""
        now = self._clock.now()
        reported = self._next_reported()
        return {
            service: rollout_report.Report(
                current.order.position,
                current.phase,
                current.stored,
                current.settled,
                now - current.started_at,
                current.cancelled_shifts,
                now - current.shifted_at,
                current.evidence.local if current is reported else None,
            ).pack()
            for service, current in self.by_service.items()
        }

    def lasting_state(self) -> dict[ids.ServiceName, Any]:
        """Return what changes in `encode_report` without the passage of time or further calls."""
        return {
            service: (
                current.order.position,
                current.phase,
                current.stored,
                current.settled,
                current.cancelled_shifts,
            )
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
            ValueError, TypeError, LookupError: If the state is malformed; none of it is merged.
        """
        reports_by_service = {
            wire_value.text(service, 'service'): rollout_report.unpack(fields)
            for service, fields in wire_value.mapping(packed, 'rollouts').items()
        }
        for service, report in reports_by_service.items():
            current = self.by_service.get(ids.ServiceName(service))
            if current is not None and current.order.position == report.order_position:
                self._receive_state(current, reporter, report)

    def _receive_state(
        self,
        current: rollout.Rollout,
        reporter: rollout_evidence.Reporter,
        state: rollout_report.Report,
    ) -> None:
        now = self._clock.now()
        current.started_at = min(current.started_at, clock.Milliseconds(now - state.age_ms))
        current.evidence.record_report(reporter, state.counts, now)
        phase = state.phase
        if state.settled and phase.is_final:
            current.settle(phase, f'reported by {reporter[0]}')
        elif phase is rollout.Phase.REVERTED and not current.phase.is_final:
            current.adopt(phase, f'reported by {reporter[0]}')
        elif phase is rollout.Phase.SHIFTING:
            shifted_at = clock.Milliseconds(now - state.shift_age_ms)
            current.adopt_shift(state.cancelled_shifts, shifted_at)
        if state.stored is not None:
            self._receive_stored(current, state.stored)

    def _receive_stored(self, current: rollout.Rollout, stored: rollout.StoredStatus) -> None:
        self.enter_era(stored.position.era)
        # The store may have lost a record of an earlier era.
        if stored.position.era == self.era:
            current.record_stored(stored)


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
