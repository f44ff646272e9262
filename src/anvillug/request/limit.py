"""Adaptive concurrency limit of a backend server, with cold start.

The limit compares latency with a baseline that rises only with calls at low concurrency. Constant
overload has no such calls, so it does not raise the baseline. If the work itself becomes slower,
the limit shrinks until calls run at low concurrency, and the baseline rises.
"""

from __future__ import annotations

import enum
import statistics

from anvillug import clock

START_LIMIT = 1

_SLOW_RATIO = 2.0
"""Ratio of latency to baseline from which a call counts as slow."""
_COLD_RATIO = 4.0
"""Ratio of latency to baseline that indicates a cold backend server."""
_SLOW_FLOOR_SHARE = 0.1
"""Latencies below this share of the target never count as slow: their variation is harmless."""
_MAX_WINDOW_CALLS = 16
_MIN_WINDOW_CALLS = 4
_WINDOW_MS = 25.0
_SLOW_SHRINK_FACTOR = 0.9
_SHED_SHRINK_FACTOR = 0.75
_SHRINK_PAUSE_MS = 20.0
"""Calls shed by one overload arrive together, so they shrink the limit once."""
_GROWTH_PAUSE_MS = 200.0
_MIN_GROWTH_CALLS = 4
_COLD_GROWTH_FACTOR = 2
_GROWTH_MAX_RATIO = 1.5
"""Growth requires a lower latency than keeping the limit: with 2.0, a backend server whose capacity
rose over 4 s received up to twice its capacity."""
_FAILURES_IN_ROW = 3
_WINDOW_FAILURE_SHARE = 0.3
_COLD_CALLS_IN_ROW = 4
_MIN_VERY_SLOW_MS = 50.0
"""Calls must be very slow for this long to indicate a cold backend server; bursts of load by other
processes on its host are shorter."""
_LOW_CONCURRENCY_DIVISOR = 4
_SLOW_PROBES_IN_ROW = 2
"""A single slow probe may be caused by a burst of load by other processes on the host."""
_PROBE_SMOOTHING = 0.2
_BASELINE_DOUBLING_MS = 2000.0
_MAX_RISE_STEP_MS = 500.0
_BASELINE_FALL_SMOOTHING = 0.3
_NEAR_BASELINE_RATIO = 1.3
_LATENCY_SMOOTHING = 0.2


class CallResult(enum.Enum):
    """How a backend server ended a call."""

    OK = 'ok'
    SHED = 'shed'
    FAILED = 'failed'


class ConcurrencyLimit:
    """Concurrency limit of one backend server.

    Args:
        slots: Maximum number of concurrent calls that the backend server announced.
        target_latency_ms: 99th percentile latency target of the service.
    """

    def __init__(self, slots: int, target_latency_ms: float = 50) -> None:
        self.limit = START_LIMIT
        """Calls that may currently run at once, from 1 to `slots`."""
        self.cold = True
        """Whether the limit is still in its cold start."""
        self.latency_ms: float = 0
        """Moving average latency of calls that finished."""
        self.baseline_ms: float | None = None
        """Median latency without overload; None before the first calls."""
        self._slots = max(1, slots)
        self._slow_floor_ms = target_latency_ms * _SLOW_FLOOR_SHARE
        self._low_concurrency = max(1, self._slots // _LOW_CONCURRENCY_DIVISOR)
        self._growth_from = float('-inf')
        self._shrunk_at = float('-inf')
        self._baseline_at: float | None = None
        self._baseline_behind = False
        self._reset_streaks()
        self._window = _Window(float('-inf'))
        self._slow_windows = 0
        self._probe_baseline_ms: float | None = None
        self._slow_probes = 0

    def restarted(self, now: clock.Milliseconds) -> None:
        """Reset the limit for a new backend incarnation, which may also be a new version."""
        self.baseline_ms = None
        self._baseline_at = None
        self._baseline_behind = False
        self._probe_baseline_ms = None
        self._turn_cold(now)

    def resize(self, slots: int) -> None:
        """Set the number of slots from a newer announcement."""
        self._slots = max(1, slots)
        self._low_concurrency = max(1, self._slots // _LOW_CONCURRENCY_DIVISOR)
        self.limit = min(self.limit, self._slots)

    def is_slow(self, latency_ms: float) -> bool:
        """Return whether a latency is well above the baseline."""
        return self._exceeds(latency_ms, _SLOW_RATIO)

    def probed(self, latency_ms: float | None, now: clock.Milliseconds) -> None:
        """Record a probe of an idle backend server.

        Args:
            latency_ms: Time until the response; None if the probe failed.
            now: Monotonic time.
        """
        baseline = self._probe_baseline_ms
        if latency_ms is not None and baseline is None:
            self._probe_baseline_ms = latency_ms
            return
        if latency_ms is None or baseline is None or self._is_probe_slow(latency_ms, baseline):
            self._slow_probes += 1
            if self._slow_probes >= _SLOW_PROBES_IN_ROW and not self.cold:
                self._turn_cold(now)
            return
        self._slow_probes = 0
        self._probe_baseline_ms = baseline + (latency_ms - baseline) * _PROBE_SMOOTHING

    def record(
        self,
        latency_ms: float,
        in_flight: int,
        result: CallResult,
        now: clock.Milliseconds,
    ) -> None:
        """Record the end of a call.

        Args:
            latency_ms: Time from the complete request to the head of the response, so that slow
                uploads do not count as a slow backend server.
            in_flight: Highest number of calls that ran at once while the call ran, including it.
            result: How the call ended.
            now: Monotonic time.
        """
        if result is CallResult.OK:
            self._record_finished(latency_ms, in_flight, now)
        else:
            self._record_shed_or_failure(in_flight, result, now)
        if self._is_window_complete(now):
            self._close_window(now)

    def _is_probe_slow(self, latency_ms: float, baseline_ms: float) -> bool:
        return latency_ms >= max(baseline_ms * _COLD_RATIO, self._slow_floor_ms)

    def _record_finished(self, latency_ms: float, in_flight: int, now: float) -> None:
        self._sheds_and_failures_in_row = 0
        self.latency_ms += (latency_ms - self.latency_ms) * (
            _LATENCY_SMOOTHING if self.latency_ms else 1
        )
        self._window.add(latency_ms, in_flight, now)
        slow = self.is_slow(latency_ms)
        if slow and latency_ms >= (self.baseline_ms or 0) * _COLD_RATIO:
            self._record_very_slow(in_flight, now)
            return
        self._very_slow_in_row = 0
        if slow or self._exceeds(latency_ms, _GROWTH_MAX_RATIO):
            self._good_calls = max(0, self._good_calls - 1)
        else:
            self._grow(in_flight, now)

    def _exceeds(self, latency_ms: float, ratio: float) -> bool:
        baseline = self.baseline_ms
        if baseline is None:
            return False
        return latency_ms >= max(baseline * ratio, self._slow_floor_ms)

    def _record_very_slow(self, in_flight: int, now: float) -> None:
        if not self._very_slow_in_row:
            self._very_slow_since = now
        self._very_slow_in_row += 1
        needed = _COLD_CALLS_IN_ROW
        if in_flight > self._low_concurrency:
            # At high concurrency overload explains some slow calls, so twice as many calls as the
            # limit are needed.
            needed = max(needed, self.limit * 2)
        very_slow_ms = now - self._very_slow_since
        if self._very_slow_in_row >= needed and very_slow_ms >= _MIN_VERY_SLOW_MS and not self.cold:
            self._turn_cold(now)

    def _record_shed_or_failure(self, in_flight: int, result: CallResult, now: float) -> None:
        self._good_calls = 0
        self._sheds_and_failures_in_row += 1
        self._window.add_shed_or_failure(in_flight, now)
        if self._sheds_and_failures_in_row >= max(_FAILURES_IN_ROW, self.limit):
            # As many in a row as the limit: the backend server can run hardly any call.
            if self.limit > START_LIMIT:
                self._turn_cold(now)
            self._growth_from = now + _GROWTH_PAUSE_MS
        elif result is CallResult.SHED or self._sheds_and_failures_in_row >= _FAILURES_IN_ROW:
            self._shrink_and_pause_growth(in_flight, now)

    def _shrink_and_pause_growth(self, in_flight: int, now: float) -> None:
        if now - self._shrunk_at < _SHRINK_PAUSE_MS:
            return
        effective_limit = self.limit
        if in_flight * 2 >= effective_limit:
            effective_limit = min(effective_limit, in_flight)
        self._shrink(effective_limit * _SHED_SHRINK_FACTOR, now)
        self._growth_from = now + _GROWTH_PAUSE_MS

    def _shrink(self, new_limit: float, now: float) -> None:
        self.limit = max(START_LIMIT, min(int(new_limit), self.limit))
        self._good_calls = 0
        self._shrunk_at = now

    def _grow(self, in_flight: int, now: float) -> None:
        # Calls that leave half of the limit unused do not show that a higher limit would work.
        if self.limit >= self._slots or in_flight * 2 < self.limit or now < self._growth_from:
            return
        self._good_calls += 1
        needed = self.limit
        if self.cold:
            needed = max(_MIN_GROWTH_CALLS, needed * _COLD_GROWTH_FACTOR)
        is_baseline_current = self.baseline_ms is not None and not self._baseline_behind
        if self._good_calls >= needed and is_baseline_current:
            self._good_calls = 0
            self.limit += 1
            if self.limit >= max(2, self._slots // 2):
                self.cold = False

    def _is_window_complete(self, now: float) -> bool:
        window = self._window
        if self.baseline_ms is None:
            return len(window.latencies) >= _MIN_WINDOW_CALLS
        # At a low limit there are few calls, and windows of many calls would take seconds.
        needed = max(_MIN_WINDOW_CALLS, min(self.limit * 2, _MAX_WINDOW_CALLS))
        return window.calls >= needed and now - window.started_at >= _WINDOW_MS

    def _close_window(self, now: float) -> None:
        window = self._window
        self._window = _Window(now)
        if window.sheds_and_failures >= window.calls * _WINDOW_FAILURE_SHARE:
            self._shrink_and_pause_growth(self.limit, now)
        if not window.latencies:
            return
        median = statistics.median(window.latencies)
        if self.is_slow(median):
            self._slow_windows += 1
            # A single slow window may be caused by a burst of load by other processes on the host.
            if self._slow_windows > 1:
                self._shrink(self.limit * _SLOW_SHRINK_FACTOR, now)
        else:
            self._slow_windows = 0
        self._update_baseline(median, window.max_in_flight <= self._low_concurrency, now)

    def _update_baseline(self, median: float, at_low_concurrency: bool, now: float) -> None:
        self._baseline_behind = False
        since = now if self._baseline_at is None else self._baseline_at
        self._baseline_at = now
        if self.baseline_ms is None:
            self.baseline_ms = median
        elif median < self.baseline_ms:
            self.baseline_ms += (median - self.baseline_ms) * _BASELINE_FALL_SMOOTHING
        elif at_low_concurrency:
            elapsed_ms = min(now - since, _MAX_RISE_STEP_MS)
            max_baseline_ms = self.baseline_ms * 2 ** (elapsed_ms / _BASELINE_DOUBLING_MS)
            self.baseline_ms = min(median, max_baseline_ms)
            # The baseline rises only at low concurrency, so growth waits for it there.
            self._baseline_behind = median > self.baseline_ms * _NEAR_BASELINE_RATIO

    def _turn_cold(self, now: float) -> None:
        self.limit = START_LIMIT
        self.cold = True
        self._shrunk_at = now
        self._growth_from = now
        self._slow_windows = 0
        self._window = _Window(now)
        self._reset_streaks()

    def _reset_streaks(self) -> None:
        self._good_calls = 0
        self._sheds_and_failures_in_row = 0
        self._very_slow_in_row = 0
        self._slow_probes = 0
        self._very_slow_since: float = 0


class _Window:
    """Calls that ended since the window was opened."""

    __slots__ = ('calls', 'latencies', 'max_in_flight', 'sheds_and_failures', 'started_at')

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at
        self.calls = 0
        self.sheds_and_failures = 0
        self.max_in_flight = 0
        self.latencies: list[float] = []

    def add(self, latency_ms: float, in_flight: int, now: float) -> None:
        self.latencies.append(latency_ms)
        self._count(in_flight, now)

    def add_shed_or_failure(self, in_flight: int, now: float) -> None:
        self.sheds_and_failures += 1
        self._count(in_flight, now)

    def _count(self, in_flight: int, now: float) -> None:
        if not self.calls and self.started_at == float('-inf'):
            self.started_at = now
        self.calls += 1
        self.max_in_flight = max(self.max_in_flight, in_flight)
