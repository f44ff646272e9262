"""Table of the calls at the host side and their outcomes.

An entry side whose connection broke resolves its call through the table. The table never reports
"not run" for a call that ran or may still run. Each operation takes constant amortised time.

An entry side sends a call id to a host at most once; a retry has a new sequence number. A call
whose id has been removed from the table is therefore rejected before it runs, and resolving such
an id returns `UNKNOWN`.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
from collections.abc import Callable

from anvillug import clock, ids

HeaderPairs = tuple[tuple[bytes, bytes], ...]


class CallState(enum.Enum):
    """State of a call in the table."""

    ADMITTED = 'admitted'
    DISPATCHED = 'dispatched'
    FINISHED = 'finished'
    FAILED = 'failed'
    FENCED = 'fenced'


class AdmitResult(enum.Enum):
    """Result of `CallTable.admit`. All but `ADMITTED` and `DUPLICATE` mean not run."""

    ADMITTED = 'admitted'
    DUPLICATE = 'duplicate'
    """The id is already in the table; the result says nothing about the first arrival."""
    FENCED = 'fenced'
    WRONG_INCARNATION = 'wrong-incarnation'
    FULL = 'full'
    STALE = 'stale'


class ResolutionKind(enum.Enum):
    """What the table records about a call that an entry side resolves."""

    FINISHED = 'finished'
    RUNNING = 'running'
    FENCED = 'fenced'
    """The call did not run and never will, so it may be reported as not run."""
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class StoredResponse:
    """Response retained for an entry side whose connection broke."""

    status: int
    """HTTP status."""
    headers: HeaderPairs
    """Header names and values in order."""
    body: bytes
    """Complete body."""

    def size(self) -> int:
        """Return the bytes that count towards the limit of the table."""
        return len(self.body) + sum(len(name) + len(value) for name, value in self.headers)


@dataclasses.dataclass(frozen=True, slots=True)
class Resolution:
    """Result of resolving a call."""

    kind: ResolutionKind
    """What the table records about the call."""
    response: StoredResponse | None = None
    """Response of a finished call; `None` when it was not retained."""


Waiter = Callable[[Resolution], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Limits of a call table."""

    entries: int = 20_000
    """Calls in the table; 140 calls/s per node over the retention time are 16,800."""
    response_bytes: int = 8_000_000
    """Bytes of all retained responses: a quarter of the 32 MB for control data."""
    one_answer_bytes: int = 1_000_000
    """Bytes of one retained response; larger ones are not retained."""
    retention_ms: float = 120_000
    """Time for which an ended call stays in the table."""
    marks: int = 16_384
    """Entry hosts with a high-water mark: over twice the design target of 6,300 nodes."""
    waiters: int = 16
    """Entry sides that wait for one call."""


_DEFAULT_BOUNDS = Bounds()
_ENDED_STATES = frozenset((CallState.FINISHED, CallState.FAILED, CallState.FENCED))
_KIND_BY_STATE = {
    CallState.ADMITTED: ResolutionKind.RUNNING,
    CallState.DISPATCHED: ResolutionKind.RUNNING,
    CallState.FINISHED: ResolutionKind.FINISHED,
    CallState.FAILED: ResolutionKind.UNKNOWN,
    CallState.FENCED: ResolutionKind.FENCED,
}
_UNKNOWN_RESOLUTION = Resolution(ResolutionKind.UNKNOWN)


@dataclasses.dataclass(slots=True)
class _Entry:
    state: CallState
    ended_at: float = 0
    response: StoredResponse | None = None
    waiters: list[Waiter] | None = None

    def resolution(self) -> Resolution:
        return Resolution(_KIND_BY_STATE[self.state], self.response)


class _HighWaterMarks:
    """Highest (incarnation, sequence) that was removed from the table, by entry host.

    An id at or below the mark of its host may have been in the table. When the mark of a host is
    itself removed for lack of space, the floor covers its incarnation and all lower ones.
    """

    def __init__(self, bound: int) -> None:
        self._bound = bound
        self._by_host_id: collections.OrderedDict[ids.HostId, tuple[int, int]] = (
            collections.OrderedDict()
        )
        self._floor = -1

    def __len__(self) -> int:
        return len(self._by_host_id)

    def covers(self, call_id: ids.CallId) -> bool:
        mark = self._by_host_id.get(call_id.host_id)
        if mark is None:
            return call_id.incarnation <= self._floor
        return (call_id.incarnation, call_id.sequence) <= mark

    def add(self, call_id: ids.CallId) -> None:
        host_id = call_id.host_id
        removed = (call_id.incarnation, call_id.sequence)
        # A host without a mark may have lost one with any sequence of the floor incarnation, so
        # its new mark starts above that incarnation.
        mark = self._by_host_id.get(host_id, (self._floor + 1, 0))
        self._by_host_id[host_id] = max(mark, removed)
        self._by_host_id.move_to_end(host_id)
        if len(self._by_host_id) > self._bound:
            _, oldest = self._by_host_id.popitem(last=False)
            self._floor = max(self._floor, oldest[0])


class CallTable:
    """Calls of one host side incarnation and their outcomes.

    Args:
        incarnation: Incarnation of this host side.
        bounds: Limits on entries, bytes and time.
    """

    def __init__(self, incarnation: ids.Incarnation, bounds: Bounds = _DEFAULT_BOUNDS) -> None:
        self._incarnation = incarnation
        self._bounds = bounds
        self._by_call_id: dict[ids.CallId, _Entry] = {}
        self._ended: collections.deque[ids.CallId] = collections.deque()
        self._ids_with_response: collections.deque[ids.CallId] = collections.deque()
        self._response_bytes = 0
        self._marks = _HighWaterMarks(bounds.marks)

    def __len__(self) -> int:
        return len(self._by_call_id)

    @property
    def response_bytes(self) -> int:
        """Bytes of all retained responses."""
        return self._response_bytes

    @property
    def running(self) -> int:
        """Calls admitted or dispatched."""
        return len(self._by_call_id) - len(self._ended)

    def state_of(self, call_id: ids.CallId) -> CallState | None:
        """Return the state of a call, or `None` when it is not in the table."""
        entry = self._by_call_id.get(call_id)
        return None if entry is None else entry.state

    def admit(
        self, call_id: ids.CallId, addressed_incarnation: ids.Incarnation, now: clock.Milliseconds
    ) -> AdmitResult:
        """Add a call on its arrival.

        Args:
            call_id: Id of the call.
            addressed_incarnation: Host side incarnation that the entry side addressed.
            now: Monotonic time.

        Returns:
            `ADMITTED` if the call may run, otherwise the reason why it must not.
        """
        if addressed_incarnation != self._incarnation:
            return AdmitResult.WRONG_INCARNATION
        entry = self._by_call_id.get(call_id)
        if entry is not None:
            is_fenced = entry.state is CallState.FENCED
            return AdmitResult.FENCED if is_fenced else AdmitResult.DUPLICATE
        if self._marks.covers(call_id):
            return AdmitResult.STALE
        if not self._make_room(now):
            return AdmitResult.FULL
        self._by_call_id[call_id] = _Entry(CallState.ADMITTED)
        return AdmitResult.ADMITTED

    def dispatch(self, call_id: ids.CallId) -> None:
        """Record that bytes of the call may reach the backend server from now on.

        Args:
            call_id: Id of an admitted call.

        Raises:
            ValueError: If the call is not in state `ADMITTED`.
        """
        entry = self._running_entry(call_id)
        if entry.state is not CallState.ADMITTED:
            raise ValueError(f'call {call_id} is already dispatched')
        entry.state = CallState.DISPATCHED

    def finish(
        self, call_id: ids.CallId, stored_response: StoredResponse | None, now: clock.Milliseconds
    ) -> None:
        """End a call with its complete response.

        Args:
            call_id: Id of a running call.
            stored_response: Response to retain, or `None` when it is too large.
            now: Monotonic time.

        Raises:
            ValueError: If the call is not running.
        """
        entry = self._running_entry(call_id)
        if stored_response is not None and stored_response.size() <= self._max_response_bytes():
            entry.response = stored_response
            self._response_bytes += stored_response.size()
            self._ids_with_response.append(call_id)
        self._end(call_id, entry, CallState.FINISHED, now)
        self._evict_responses()

    def fail(self, call_id: ids.CallId, now: clock.Milliseconds) -> None:
        """End a call that may have run but has no response.

        Raises:
            ValueError: If the call is not running.
        """
        self._end(call_id, self._running_entry(call_id), CallState.FAILED, now)

    def reject(self, call_id: ids.CallId, now: clock.Milliseconds) -> None:
        """End a call that provably did not run.

        Raises:
            ValueError: If the call is not running.
        """
        self._end(call_id, self._running_entry(call_id), CallState.FENCED, now)

    def resolve(
        self, call_id: ids.CallId, addressed_incarnation: ids.Incarnation, now: clock.Milliseconds
    ) -> Resolution:
        """Resolve a call whose connection broke; an id that never arrived is fenced.

        Args:
            call_id: Id of the call.
            addressed_incarnation: Host side incarnation that the call addressed.
            now: Monotonic time.

        Returns:
            The outcome as recorded. After `FENCED` the call never runs on this host side.
        """
        if addressed_incarnation != self._incarnation:
            return _UNKNOWN_RESOLUTION
        entry = self._by_call_id.get(call_id)
        if entry is not None:
            return entry.resolution()
        if self._marks.covers(call_id) or not self._make_room(now):
            return _UNKNOWN_RESOLUTION
        entry = _Entry(CallState.ADMITTED)
        self._by_call_id[call_id] = entry
        self._end(call_id, entry, CallState.FENCED, now)
        return entry.resolution()

    def attach(self, call_id: ids.CallId, waiter: Waiter) -> bool:
        """Register a callback for the end of a running call.

        Args:
            call_id: Id of a running call.
            waiter: Called once with the resolution; must not raise an exception.

        Returns:
            Whether the waiter was registered; False if the call is not running or has too
            many waiters.
        """
        entry = self._by_call_id.get(call_id)
        if entry is None or entry.state in _ENDED_STATES:
            return False
        if entry.waiters is None:
            entry.waiters = []
        if len(entry.waiters) >= self._bounds.waiters:
            return False
        entry.waiters.append(waiter)
        return True

    def detach(self, call_id: ids.CallId, waiter: Waiter) -> None:
        """Remove a waiter whose connection to its entry side broke."""
        entry = self._by_call_id.get(call_id)
        if entry is not None and entry.waiters and waiter in entry.waiters:
            entry.waiters.remove(waiter)

    def expire(self, now: clock.Milliseconds) -> None:
        """Remove the calls that ended at least the retention time ago."""
        expired_before = now - self._bounds.retention_ms
        while self._ended and self._by_call_id[self._ended[0]].ended_at <= expired_before:
            self._remove_oldest()

    def _running_entry(self, call_id: ids.CallId) -> _Entry:
        entry = self._by_call_id.get(call_id)
        if entry is None or entry.state in _ENDED_STATES:
            raise ValueError(f'call {call_id} is not running')
        return entry

    def _end(
        self, call_id: ids.CallId, entry: _Entry, state: CallState, now: clock.Milliseconds
    ) -> None:
        entry.state = state
        entry.ended_at = now
        self._ended.append(call_id)
        waiters = entry.waiters
        if waiters:
            entry.waiters = None
            resolution = entry.resolution()
            for waiter in waiters:
                waiter(resolution)

    def _make_room(self, now: clock.Milliseconds) -> bool:
        # A full table removes ended calls before the retention time is over; otherwise the rate
        # of calls would be limited to entries / retention time.
        self.expire(now)
        if len(self._by_call_id) < self._bounds.entries:
            return True
        if not self._ended:
            return False
        self._remove_oldest()
        return True

    def _remove_oldest(self) -> None:
        call_id = self._ended.popleft()
        entry = self._by_call_id.pop(call_id)
        self._marks.add(call_id)
        if entry.response is not None:
            # Responses are retained in the order in which calls end.
            self._ids_with_response.popleft()
            self._response_bytes -= entry.response.size()

    def _max_response_bytes(self) -> int:
        return min(self._bounds.one_answer_bytes, self._bounds.response_bytes)

    def _evict_responses(self) -> None:
        while self._response_bytes > self._bounds.response_bytes:
            entry = self._by_call_id[self._ids_with_response.popleft()]
            if entry.response is not None:
                self._response_bytes -= entry.response.size()
                entry.response = None
