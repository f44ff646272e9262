"""Admission control at the host side: a call runs, waits in a bounded queue, or is rejected."""

from __future__ import annotations

import dataclasses
import enum

from anvillug import clock, ids
from anvillug.request import call, limit

DEFAULT_WAIT_BOUND_MS = 20.0


class DecisionKind(enum.Enum):
    """What happens to a call that requests admission."""

    ADMIT = 'admit'
    QUEUE = 'queue'
    REJECT = 'refuse'


class RejectionReason(enum.Enum):
    """Why a call was rejected before any byte of it reached the backend server."""

    DEADLINE_PASSED = 'deadline-passed'
    QUEUE_FULL = 'queue-full'
    WAITED_TOO_LONG = 'waited-too-long'
    EVICTED = 'evicted'
    LEAVING = 'leaving'
    ZONE_OUT = 'zone-out'
    NO_BACKEND = 'no-backend'


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Result of an admission check."""

    kind: DecisionKind
    """What happens to the call."""
    reason: RejectionReason | None = None
    """Why the call is rejected; None otherwise."""
    evicted: ids.CallId | None = None
    """Queued call evicted in favour of this one; the host side must reject it as not run."""


ADMITTED = Decision(DecisionKind.ADMIT)
QUEUED = Decision(DecisionKind.QUEUE)
_REJECTIONS_BY_REASON = {
    reason: Decision(DecisionKind.REJECT, reason) for reason in RejectionReason
}
_SHED_ORDER = (
    call.Criticality.SHEDDABLE,
    call.Criticality.NORMAL,
    call.Criticality.CRITICAL,
)
_START_ORDER = tuple(reversed(_SHED_ORDER))


class Admission:
    """Decides which calls may run on one backend server.

    Each admitted call must end with exactly one `finished` or `cancel`; further ones are ignored.

    Args:
        concurrency: Concurrency limit of the backend server.
        wait_bound_ms: Maximum time that a call waits in the queue.
    """

    def __init__(
        self,
        concurrency: limit.ConcurrencyLimit,
        wait_bound_ms: float = DEFAULT_WAIT_BOUND_MS,
    ) -> None:
        self.wait_bound_ms = wait_bound_ms
        """Maximum time in the queue; may change with the configuration."""
        self.leaving = False
        """Whether this host is shutting down. Queued calls may still start."""
        self.zone_out = False
        """Whether operators have taken the zone out of service. Queued calls may still start."""
        self.has_backend = True
        """Whether a backend server is available. Call `start_queued` after setting it."""
        self._concurrency = concurrency
        # Maps running calls to the number of calls in flight when they started.
        self._running: dict[ids.CallId, int] = {}
        # Each queue maps call ids, in order of arrival, to their expiry times.
        self._queues: dict[call.Criticality, dict[ids.CallId, float]] = {
            criticality: {} for criticality in _START_ORDER
        }
        self._queued = 0

    def offer(self, properties: call.CallProperties, now: clock.Milliseconds) -> Decision:
        """Admit, queue or reject a new call.

        Args:
            properties: Properties of the call.
            now: Monotonic time.

        Returns:
            The decision, with the evicted call if there is one.

        Raises:
            ValueError: If the call is already running or queued; rejecting it as not run could be
                false.
        """
        call_id = properties.call_id
        if call_id in self._running or self._is_queued(call_id):
            raise ValueError(f'call {call_id} is already admitted or queued')
        reason = self._rejection_reason(properties, now)
        if reason is not None:
            return _REJECTIONS_BY_REASON[reason]
        if len(self._running) < self._concurrency.limit:
            self._start(call_id)
            return ADMITTED
        evicted = None
        if self._queued >= self._concurrency.limit:
            evicted = self._evict_for(properties.criticality, now)
            if evicted is None:
                return _REJECTIONS_BY_REASON[RejectionReason.QUEUE_FULL]
        expires_at = min(now + self.wait_bound_ms, properties.deadline)
        self._queues[properties.criticality][call_id] = expires_at
        self._queued += 1
        return QUEUED if evicted is None else Decision(DecisionKind.QUEUE, evicted=evicted)

    def finished(
        self,
        call_id: ids.CallId,
        latency_ms: float,
        result: limit.CallResult,
        now: clock.Milliseconds,
    ) -> list[ids.CallId]:
        """Record the end of a running call.

        Args:
            call_id: The call; ignored unless it is running.
            latency_ms: Time from the complete request to the head of the response.
            result: How the call ended at the backend server.
            now: Monotonic time.

        Returns:
            The queued calls that start now; they count as running.
        """
        in_flight_at_start = self._running.pop(call_id, None)
        if in_flight_at_start is None:
            return []
        in_flight = max(in_flight_at_start, len(self._running) + 1)
        self._concurrency.record(latency_ms, in_flight, result, now)
        return self.start_queued(now)

    def cancel(
        self,
        call_id: ids.CallId,
        now: clock.Milliseconds,
        waited_ms: float | None = None,
    ) -> list[ids.CallId]:
        """Remove a queued or running call that its caller cancelled.

        Args:
            call_id: The call; ignored if it is neither running nor queued.
            now: Monotonic time.
            waited_ms: Time since the backend server received the complete request. A long wait
                counts as a slow call; otherwise callers that time out would hide slowness.

        Returns:
            The queued calls that start now; they count as running.
        """
        if call_id not in self._running:
            self._remove_queued(call_id)
            return []
        if waited_ms is not None and self._concurrency.is_slow(waited_ms):
            return self.finished(call_id, waited_ms, limit.CallResult.OK, now)
        self._running.pop(call_id)
        return self.start_queued(now)

    def expire(self, now: clock.Milliseconds) -> list[ids.CallId]:
        """Remove and return the queued calls that have expired, to be rejected as not run."""
        if not self._queued:
            return []
        expired = [
            call_id
            for queue in self._queues.values()
            for call_id, expires_at in queue.items()
            if expires_at <= now
        ]
        for call_id in expired:
            self._remove_queued(call_id)
        return expired

    def next_expiry(self) -> clock.Milliseconds | None:
        """Return when the next queued call expires; None when the queue is empty."""
        times = [time for queue in self._queues.values() for time in queue.values()]
        return clock.Milliseconds(min(times)) if times else None

    def start_queued(self, now: clock.Milliseconds) -> list[ids.CallId]:
        """Start queued calls up to the concurrency limit.

        Args:
            now: Monotonic time.

        Returns:
            The calls that start now; they count as running. `expire` removes expired calls.
        """
        started: list[ids.CallId] = []
        if not self._queued or not self.has_backend:
            return started
        for criticality in _START_ORDER:
            queue = self._queues[criticality]
            live = [call_id for call_id, expires_at in queue.items() if expires_at > now]
            for call_id in live:
                if len(self._running) >= self._concurrency.limit:
                    return started
                self._remove_queued(call_id)
                self._start(call_id)
                started.append(call_id)
        return started

    def sample(self, now: clock.Milliseconds) -> call.LoadSample:
        """Return the current load."""
        return call.LoadSample(
            in_flight=len(self._running),
            limit=self._concurrency.limit,
            queued=self._queued,
            latency_ms=self._concurrency.latency_ms,
            state=self._state(),
            sampled_at=now,
        )

    def _state(self) -> call.HostState:
        if not self.has_backend:
            return call.HostState.NO_BACKEND
        if self.leaving:
            return call.HostState.LEAVING
        if self.zone_out:
            return call.HostState.ZONE_OUT
        return call.HostState.COLD if self._concurrency.cold else call.HostState.SERVING

    def _rejection_reason(
        self,
        properties: call.CallProperties,
        now: float,
    ) -> RejectionReason | None:
        if not self.has_backend:
            return RejectionReason.NO_BACKEND
        if self.leaving:
            return RejectionReason.LEAVING
        if self.zone_out:
            return RejectionReason.ZONE_OUT
        if properties.deadline <= now:
            return RejectionReason.DEADLINE_PASSED
        return None

    def _start(self, call_id: ids.CallId) -> None:
        self._running[call_id] = len(self._running) + 1

    def _evict_for(self, criticality: call.Criticality, now: float) -> ids.CallId | None:
        """Remove and return a queued call to make room for a call of this criticality.

        An expired call is taken first, then the newest call of the lowest criticality below it.
        """
        victim = self._first_expired(now)
        if victim is None:
            for lower in _SHED_ORDER:
                if lower is criticality:
                    return None
                if self._queues[lower]:
                    victim = next(reversed(self._queues[lower]))
                    break
        if victim is not None:
            self._remove_queued(victim)
        return victim

    def _first_expired(self, now: float) -> ids.CallId | None:
        for queue in self._queues.values():
            for call_id, expires_at in queue.items():
                if expires_at <= now:
                    return call_id
        return None

    def _is_queued(self, call_id: ids.CallId) -> bool:
        return self._queued > 0 and any(call_id in queue for queue in self._queues.values())

    def _remove_queued(self, call_id: ids.CallId) -> None:
        for queue in self._queues.values():
            if queue.pop(call_id, None) is not None:
                self._queued -= 1
                return
