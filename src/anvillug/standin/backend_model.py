"""Behaviour of the backend server stand-in, free of sockets.

The model decides what runs in which slot, for how long and with which result;
the server calls it back when a time has passed.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import math
import random
from collections.abc import Callable

MAX_RUN_RECORDS = 100_000
FAST_FAILURE_MS = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class BackendSettings:
    """Size and speed of a backend server.

    The server's timers round times up to whole milliseconds, as epoll does.
    """

    service: str = 'service'
    """Service that it offers."""
    version: str = 'v1'
    """Version that it runs."""
    backend_id: str = 'backend'
    """Name in its responses."""
    slots: int = 10
    """Calls that run at once."""
    connections: int = 250
    """Connections that may be open at once."""
    queue_limit: int = 50
    """Calls that wait for a slot; further ones are shed."""
    connect_cost_ms: float = 1
    """Slot time that a new connection takes."""
    probe_cost_ms: float = 6
    """Slot time that `/health` and `/load` take."""
    service_ms: float = 5
    """Median service time."""
    service_sigma: float = 0.3
    """Spread of the log-normal service time."""
    service_ms_by_prefix: tuple[tuple[str, float], ...] = ()
    """Median service time by path prefix, first match wins."""
    start_cold: bool = False
    """Whether the server is cold when it starts."""
    cold_calls: int = 50
    """Finished calls until a cold server is warm."""
    cold_factor: float = 8
    """Multiple of the service time when entirely cold; falls as calls finish."""
    cold_max_in_flight: int = 2
    """Calls that a cold server can run at once; further ones fail."""
    report_lag_ms: float = 1000
    """Age that the values of `/load` and `/health` may reach."""
    seed: int = 1
    """Seed of service times and random failures."""


@dataclasses.dataclass(frozen=True, slots=True)
class BackendFaults:
    """Faults in effect; the server itself handles those from `freeze_ms` on."""

    slow_factor: float = 1
    """Multiple of all service times."""
    fail_ratio: float = 0
    """Share of calls that fail fast."""
    fail_routes: tuple[str, ...] = ()
    """Path prefixes whose calls fail fast."""
    fail_above_in_flight: int | None = None
    """Calls that start with more than this many running fail."""
    cold: bool = False
    """Turn cold now."""
    mislead_load: float | None = None
    """Number that `/load` reports instead of its own."""
    freeze_ms: float = 0
    """Stop the whole process for this time."""
    leave: bool = False
    """Announce that the server is leaving."""
    crash_on_path: str = ''
    """Exit hard when a call with this path prefix starts to run."""
    silent: bool = False
    """Never answer again on the connections that exist now."""


class Kind(enum.Enum):
    """What slot time is used for."""

    CALL = 'call'
    CONNECT = 'connect'
    PROBE = 'probe'


class Admission(enum.Enum):
    """What becomes of work that is offered."""

    START = 'start'
    QUEUE = 'queue'
    SHED = 'shed'


@dataclasses.dataclass(eq=False, slots=True)
class Work:
    """A unit of work, identified by its object."""

    kind: Kind
    """What the slot time is used for."""
    path: str = ''
    """Path of the call."""
    fixed_ms: float | None = None
    """Service time that the caller asked for."""
    key: str = ''
    """`Idempotency-Key` of the call."""
    call_id: str = ''
    """`Anvillug-Call` of the call."""
    on_start: Callable[[Work], None] | None = None
    """Called by the server when queued work gets its slot."""


@dataclasses.dataclass(frozen=True, slots=True)
class Execution:
    """How a unit of work runs."""

    duration_ms: float
    """Time in the slot."""
    failed: bool
    """Whether the result is a failure."""
    timed_out: bool = False
    """Whether the deadline ends the run."""

    def within(self, remaining_ms: float) -> Execution:
        """Return the execution cut off at a deadline."""
        if self.duration_ms <= remaining_ms:
            return self
        return Execution(remaining_ms, failed=True, timed_out=True)


class RunRecords:
    """Number of executions by key and by call id, bounded.

    Args:
        bound: Entries kept of each; the oldest are dropped and counted.
    """

    def __init__(self, bound: int = MAX_RUN_RECORDS) -> None:
        self.by_key: dict[str, int] = {}
        self.by_call: dict[str, int] = {}
        self.dropped = 0
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
    """Slots, queue, cold start and failures of one backend server.

    Args:
        settings: Size and speed.
    """

    def __init__(self, settings: BackendSettings) -> None:
        self.settings = settings
        self.faults = BackendFaults()
        self.runs = RunRecords()
        self.counts: collections.Counter[str] = collections.Counter()
        self._rng = random.Random(settings.seed)
        self._running: set[Work] = set()
        self._queue: collections.deque[Work] = collections.deque()
        self._cold_calls_left = settings.cold_calls if settings.start_cold else 0
        self._report: dict[str, object] = {}
        self._report_time: float = -math.inf

    @property
    def in_flight(self) -> int:
        """Slots in use."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Work that waits for a slot."""
        return len(self._queue)

    @property
    def cold(self) -> bool:
        """Whether the server still needs finished calls to be warm."""
        return self._cold_calls_left > 0

    def change_faults(self, faults: BackendFaults) -> None:
        """Put faults into effect."""
        if faults.cold:
            self._cold_calls_left = self.settings.cold_calls
        self.faults = dataclasses.replace(faults, cold=False)

    def offer(self, work: Work) -> Admission:
        """Take work into a slot or the queue, or shed it.

        Args:
            work: New work; a connection set-up is never shed.

        Returns:
            START when the caller is to `execute` it now.
        """
        if self.in_flight < self.settings.slots:
            self._running.add(work)
            return Admission.START
        if self.queued >= self.settings.queue_limit and work.kind is not Kind.CONNECT:
            return self._shed()
        self._queue.append(work)
        return Admission.QUEUE

    def execute(self, work: Work) -> Execution:
        """Begin to run work that holds a slot and record it.

        Args:
            work: Work that was admitted with START or returned by `release`.

        Returns:
            Its time in the slot and its result.
        """
        if work.kind is Kind.CONNECT:
            return Execution(self.settings.connect_cost_ms, failed=False)
        if work.kind is Kind.PROBE:
            self.counts['probes'] += 1
            return Execution(self.settings.probe_cost_ms * self.faults.slow_factor, failed=False)
        self.runs.record(work)
        self.counts['started'] += 1
        if self._fails_fast(work):
            return Execution(FAST_FAILURE_MS, failed=True)
        return Execution(self._service_time(work), failed=self._overloaded())

    def finish(self, work: Work, *, failed: bool) -> list[Work]:
        """End work that has run.

        Args:
            work: Work that holds a slot.
            failed: Its result; a failure does not help to warm up.

        Returns:
            Queued work that holds a slot now.
        """
        if work.kind is Kind.CALL:
            self.counts['failed' if failed else 'finished'] += 1
            if not failed and self._cold_calls_left:
                self._cold_calls_left -= 1
        return self.release(work)

    def release(self, work: Work) -> list[Work]:
        """Take back work, running or queued, without a result.

        Args:
            work: Work that was offered.

        Returns:
            Queued work that holds a slot now.
        """
        if work in self._running:
            self._running.remove(work)
        elif work in self._queue:
            self._queue.remove(work)
        started = []
        while self._queue and self.in_flight < self.settings.slots:
            following = self._queue.popleft()
            self._running.add(following)
            started.append(following)
        return started

    def report(self, now: float, *, leaving: bool = False) -> dict[str, object]:
        """Return the load report, which is up to `report_lag_ms` old.

        Args:
            now: Monotonic time in milliseconds.
            leaving: Whether the server is leaving.

        Returns:
            The values of `/load` and the status of `/health`.
        """
        if now - self._report_time >= self.settings.report_lag_ms:
            load = (self.in_flight + self.queued) / self.settings.slots
            self._report = {
                'load': load,
                'in_flight': self.in_flight,
                'queued': self.queued,
                'status': 'leaving' if leaving else 'serving',
            }
            self._report_time = now
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

    def _overloaded(self) -> bool:
        bound = self.faults.fail_above_in_flight
        if bound is not None and self.in_flight > bound:
            return True
        return self.cold and self.in_flight > self.settings.cold_max_in_flight

    def _service_time(self, work: Work) -> float:
        spread = self._rng.lognormvariate(0, self.settings.service_sigma)
        base = self._median(work.path) * spread if work.fixed_ms is None else work.fixed_ms
        return base * self.faults.slow_factor * self._cold_multiple()

    def _median(self, path: str) -> float:
        for prefix, median in self.settings.service_ms_by_prefix:
            if path.startswith(prefix):
                return median
        return self.settings.service_ms

    def _cold_multiple(self) -> float:
        if not self.cold:
            return 1
        coldness = self._cold_calls_left / self.settings.cold_calls
        return 1 + (self.settings.cold_factor - 1) * coldness
