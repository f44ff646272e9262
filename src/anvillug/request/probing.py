"""Budget of the probes that a host side sends to the local backend server."""

from __future__ import annotations

import collections

from anvillug import clock

MIN_RECENT_CALLS = 5
PROBE_TIMEOUT_MS = 100.0
"""The sender cancels a probe after this time, which limits how far the budget is exceeded."""

_RECENT_CALLS_WINDOW_MS = 1000.0
_INITIAL_COST_MS = 10.0
_COST_SMOOTHING = 0.3
_MAX_SAVED_TIME_MS = 1000.0
_PERCENT = 100.0


class ProbeBudget:
    """Token bucket of slot time for probes.

    In any period T, probes use at most `percent` of `T * slots`, plus the saved tokens (those of
    one second or the cost of one probe, whichever is more) and the excess cost of one probe.

    Args:
        slots: Slots of the backend server.
        percent: Share of slot time that probes may use.
        interval_ms: Minimum time between the starts of two probes.
    """

    def __init__(self, slots: int, percent: float, interval_ms: float = 250) -> None:
        self.slots = slots
        """Slots of the backend server; may change with its announcement."""
        self.percent = percent
        """Share of slot time for probes; may change with the configuration."""
        self._interval_ms = interval_ms
        self._cost_ms = _INITIAL_COST_MS
        self._tokens_ms: float = 0
        self._refilled_at: float | None = None
        self._reserved_ms: float | None = None
        self._probed_at = float('-inf')
        self._call_times: collections.deque[float] = collections.deque(maxlen=MIN_RECENT_CALLS)

    def call_finished(self, now: clock.Milliseconds) -> None:
        """Count a finished call, which gives as much information as a probe."""
        self._call_times.append(now)

    def start_probe(self, now: clock.Milliseconds) -> bool:
        """Decide whether to probe now.

        Args:
            now: Monotonic time.

        Returns:
            Whether to probe. If so, the expected cost is reserved until `probe_ended`.
        """
        self._refill(now)
        if self._reserved_ms is not None or self._has_recent_calls(now):
            return False
        if now - self._probed_at < self._interval_ms or self._tokens_ms < self._cost_ms:
            return False
        self._reserved_ms = self._cost_ms
        self._tokens_ms -= self._cost_ms
        self._probed_at = now
        return True

    def probe_ended(self, duration_ms: float, now: clock.Milliseconds) -> None:
        """Charge the cost of the running probe, also if it failed or timed out.

        Args:
            duration_ms: Time for which the probe occupied a slot.
            now: Monotonic time.
        """
        if self._reserved_ms is None:
            return
        self._refill(now)
        self._tokens_ms += self._reserved_ms - duration_ms
        self._reserved_ms = None
        self._cost_ms += (duration_ms - self._cost_ms) * _COST_SMOOTHING

    def _has_recent_calls(self, now: float) -> bool:
        call_times = self._call_times
        return (
            len(call_times) == MIN_RECENT_CALLS and now - call_times[0] <= _RECENT_CALLS_WINDOW_MS
        )

    def _refill(self, now: float) -> None:
        earned_per_ms = self.slots * self.percent / _PERCENT
        if self._refilled_at is not None:
            elapsed_ms = max(0, now - self._refilled_at)
            max_tokens_ms = max(earned_per_ms * _MAX_SAVED_TIME_MS, self._cost_ms)
            self._tokens_ms = min(max_tokens_ms, self._tokens_ms + elapsed_ms * earned_per_ms)
        self._refilled_at = now
