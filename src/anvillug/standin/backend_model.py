"""Model of the backend server stand-in, without I/O.

The model decides which work runs, for how long and with which result. The server runs the timers
and reports to the model when work has finished.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import math
import random
from collections.abc import Callable

MAX_RUN_RECORDS = 100_000
"""Max entries of each map of `RunRecords`."""
FAST_FAILURE_MS = 0.5
"""Slot time of a call that fails because of `fail_ratio` or `fail_routes`."""
_US_PER_MS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class BackendSettings:
    """Capacity and service times of a backend server.

    The server's timers use epoll, which rounds durations up to whole milliseconds.
    """

    service: str = 'service'
    """Name of its service."""
    version: str = 'v1'
    """Version that it runs."""
    backend_id: str = 'backend'
    """Id in its responses."""
    slots: int = 10
    """Max calls, probes and connection set-ups that run concurrently."""
    connections: int = 250
    """Max open connections."""
    queue_limit: int = 50
    """Length of the queue at which calls and probes are shed; connection set-ups never are."""
    connect_cost_ms: float = 1
    """Slot time of a connection set-up."""
    probe_cost_ms: float = 6
    """Slot time of a request to `/health` or `/load`."""
    service_ms: float = 5
    """Median service time."""
    service_sigma: float = 0.3
    """Standard deviation of the logarithm of the service time, which is log-normal."""
    service_ms_by_prefix: tuple[tuple[str, float], ...] = ()
    """Median service times by path prefix; the first match applies."""
    start_cold: bool = False
    """Whether the server is cold when it starts."""
    cold_calls: int = 50
    """Successful calls until a cold server is warm."""
    cold_factor: float = 8
    """Factor on the service time of a cold server; falls linearly to 1 with each success."""
    cold_max_in_flight: int = 2
    """Occupied slots above which calls fail on a cold server."""
    report_lag_ms: float = 1000
    """Max age of the values of `/load` and `/health`."""
    seed: int = 1
    """Seed of the service times and the random failures."""


@dataclasses.dataclass(frozen=True, slots=True)
class BackendFaults:
    """Active faults; the fields from `freeze_ms` on are handled by the server, not the model."""

    slow_factor: float = 1
    """Factor on the service times of calls and probes."""
    fail_ratio: float = 0
    """Share of calls that fail after `FAST_FAILURE_MS`."""
    fail_routes: tuple[str, ...] = ()
    """Path prefixes whose calls fail after `FAST_FAILURE_MS`."""
    fail_above_in_flight: int | None = None
    """Occupied slots above which calls fail; None for no limit."""
    cold: bool = False
    """Make the server cold; acts once."""
    mislead_load: float | None = None
    """Load that `/load` reports instead of the actual one."""
    freeze_ms: float = 0
    """Block the whole process for this time; acts once."""
    leave: bool = False
    """Announce that the server is leaving."""
    crash_on_path: str = ''
    """Exit without clean-up when a call with this path prefix starts; empty for none."""
    silent: bool = False
    """Send no further responses on the connections that are open now; acts once."""


class Kind(enum.Enum):
    """Type of work that occupies a slot."""

    CALL = 'call'
    CONNECT = 'connect'
    PROBE = 'probe'


class Admission(enum.Enum):
    """Decision on submitted work."""

    START = 'start'
    QUEUE = 'queue'
    SHED = 'shed'


@dataclasses.dataclass(eq=False, slots=True)
class Work:
    """Unit of work, compared by identity."""

    kind: Kind
    """Type of the work."""
    path: str = ''
    """Path of the call."""
    fixed_ms: float | None = None
    """Service time that the caller requested; None for the one from the settings."""
    key: str = ''
    """`Idempotency-Key` of the call."""
    call_id: str = ''
    """`Anvillug-Call` of the call."""
    on_start: Callable[[Work], None] | None = None
    """Called by the server when queued work receives a slot."""


@dataclasses.dataclass(frozen=True, slots=True)
class Execution:
    """Duration and result of a unit of work."""

    duration_ms: float
    """Time in the slot."""
    failed: bool
    """Whether the result is a failure."""
    timed_out: bool = False
    """Whether the deadline passes before the work is finished."""

    def within(self, remaining_ms: float) -> Execution:
        """Return the execution, shortened and timed out if it exceeds the remaining time."""
        if self.duration_ms <= remaining_ms:
            return self
        return Execution(remaining_ms, failed=True, timed_out=True)


class RunRecords:
    """Number of executions by idempotency key and by call id.

    Args:
        bound: Max entries of each map; the oldest are evicted and counted.
    """

    def __init__(self, bound: int = MAX_RUN_RECORDS) -> None:
        self.by_key: dict[str, int] = {}
        self.by_call: dict[str, int] = {}
        self.dropped = 0
        """Number of evicted entries."""
        self._bound = bound

    def record(self, work: Work) -> None:
        """Count one execution."""
        self._count(self.by_key, work.key)
        self._count(self.by_call, work.call_id)

    def _count(self, runs: dict[str, int], name: str) -> None:
        if not name:
            return
        runs[name] = runs.get(name, 0) + 1
        if len(runs) > self._bound:
            runs.pop(next(iter(runs)))
            self.dropped += 1


class BackendModel:
    """Simulates slots, queue, cold start and failures of one backend server.

    Args:
        settings: Capacity and service times.
    """

    def __init__(self, settings: BackendSettings) -> None:
        self.settings = settings
        self.faults = BackendFaults()
        self.runs = RunRecords()
        self.counts: collections.Counter[str] = collections.Counter()
        self._rng = random.Random(settings.seed)
        self._running: set[Work] = set()
        self._queue: collections.deque[Work] = collections.deque()
        self._cold_calls_remaining = settings.cold_calls if settings.start_cold else 0
        self._report: dict[str, object] = {}
        self._reported_at_ms: float = -math.inf

    @property
    def in_flight(self) -> int:
        """Number of occupied slots."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Number of queued units of work."""
        return len(self._queue)

    @property
    def cold(self) -> bool:
        """Whether the server is not warmed up yet."""
        return self._cold_calls_remaining > 0

    def apply_faults(self, faults: BackendFaults) -> None:
        """Make faults active in place of the previous ones."""
        if faults.cold:
            self._cold_calls_remaining = self.settings.cold_calls
        self.faults = dataclasses.replace(faults, cold=False)

    def submit(self, work: Work) -> Admission:
        """Assign a slot to new work, or queue or shed it.

        Args:
            work: New work; a connection set-up is never shed.

        Returns:
            The decision; after START the caller must call `execute`.
        """
        if self.in_flight < self.settings.slots:
            self._running.add(work)
            return Admission.START
        if self.queued >= self.settings.queue_limit and work.kind is not Kind.CONNECT:
            return self._shed()
        self._queue.append(work)
        return Admission.QUEUE

    def execute(self, work: Work) -> Execution:
        """Start work that holds a slot and count it.

        Args:
            work: Work for which `submit` returned START, or that `release` or `finish` returned.

        Returns:
            Its duration and result.
        """
        if work.kind is Kind.CONNECT:
            return Execution(self.settings.connect_cost_ms, failed=False)
        if work.kind is Kind.PROBE:
            duration_ms = self.settings.probe_cost_ms * self.faults.slow_factor
            self.counts['probes'] += 1
            self.counts['probe_slot_us'] += round(duration_ms * _US_PER_MS)
            return Execution(duration_ms, failed=False)
        self.runs.record(work)
        self.counts['started'] += 1
        if self._fails_fast(work):
            return Execution(FAST_FAILURE_MS, failed=True)
        return Execution(self._service_time_ms(work), failed=self._is_overloaded())

    def finish(self, work: Work, *, failed: bool) -> list[Work]:
        """Record the result of work and release its slot.

        Args:
            work: Work that holds a slot.
            failed: Whether it failed; only successful calls warm the server up.

        Returns:
            Queued work that has received a slot.
        """
        if work.kind is Kind.CALL:
            self.counts['failed' if failed else 'finished'] += 1
            if not failed and self._cold_calls_remaining:
                self._cold_calls_remaining -= 1
        return self.release(work)

    def release(self, work: Work) -> list[Work]:
        """Remove running or queued work without recording a result.

        Args:
            work: Work that was submitted.

        Returns:
            Queued work that has received a slot.
        """
        if work in self._running:
            self._running.remove(work)
        elif work in self._queue:
            self._queue.remove(work)
        started = []
        while self._queue and self.in_flight < self.settings.slots:
            next_work = self._queue.popleft()
            self._running.add(next_work)
            started.append(next_work)
        return started

    def report(self, now: float, *, leaving: bool = False) -> dict[str, object]:
        """Return the load report, which is up to `report_lag_ms` old.

        Args:
            now: Monotonic time in milliseconds.
            leaving: Whether the server is leaving.

        Returns:
            The values of `/load` and the status of `/health`.
        """
        if now - self._reported_at_ms >= self.settings.report_lag_ms:
            load = (self.in_flight + self.queued) / self.settings.slots
            self._report = {
                'load': load,
                'in_flight': self.in_flight,
                'queued': self.queued,
                'status': 'leaving' if leaving else 'serving',
            }
            self._reported_at_ms = now
        if self.faults.mislead_load is not None:
            return {**self._report, 'load': self.faults.mislead_load}
        return dict(self._report)

    def _shed(self) -> Admission:
        self.counts['shed'] += 1
        return Admission.SHED

    def _fails_fast(self, work: Work) -> bool:
        if work.path.startswith(tuple(self.faults.fail_routes)):
            return True
        return self._rng.random() < self.faults.fail_ratio

    def _is_overloaded(self) -> bool:
        bound = self.faults.fail_above_in_flight
        if bound is not None and self.in_flight > bound:
            return True
        return self.cold and self.in_flight > self.settings.cold_max_in_flight

    def _service_time_ms(self, work: Work) -> float:
        spread = self._rng.lognormvariate(0, self.settings.service_sigma)
        base = self._median_ms(work.path) * spread if work.fixed_ms is None else work.fixed_ms
        return base * self.faults.slow_factor * self._current_cold_factor()

    def _median_ms(self, path: str) -> float:
        for prefix, median_ms in self.settings.service_ms_by_prefix:
            if path.startswith(prefix):
                return median_ms
        return self.settings.service_ms

    def _current_cold_factor(self) -> float:
        if not self.cold:
            return 1
        cold_share = self._cold_calls_remaining / self.settings.cold_calls
        return 1 + (self.settings.cold_factor - 1) * cold_share
