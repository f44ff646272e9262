"""Budgets and rules of retries and hedges.

Each level of nested calls retries within its own budget and marks an answer that it gives up on
as exhausted. Levels above do not retry such an answer, so that a failing lowest level sees its
calls grow by the ratio of one budget instead of by the product over all levels.
"""

from __future__ import annotations

import math

from anvillug import clock
from anvillug.request import call

MAX_ATTEMPTS = 3
RETRY_RATIO = 0.1
RETRY_FLOOR_PER_SECOND = 1.0
RETRY_CAP = 100.0

# Hedges that a quiet time may save up for a burst.
_HEDGE_CAP = 5
_MIN_HEDGE_DELAY_MS = 1.0
_MIN_LATENCIES = 20
_HEDGE_QUANTILE = 0.95
_MEDIAN = 0.5
_LEAST_MEDIANS = 1.5
_LEAST_VALUE = 1e-3
_QUANTILE_STEP = 0.1
_MS_PER_SECOND = 1000.0


class TokenBudget:
    """Token bucket that earns with each call, plus a small floor with time.

    Args:
        ratio: Tokens earned per call.
        floor_per_second: Tokens earned per second, so that rare calls can be repeated too.
        cap: Most tokens kept.
    """

    def __init__(self, ratio: float, floor_per_second: float, cap: float) -> None:
        self.ratio = ratio
        """Tokens earned per call; may change with the configuration."""
        self._floor_per_ms = floor_per_second / _MS_PER_SECOND
        self._cap = cap
        self._tokens = min(cap, floor_per_second)
        self._refilled_at: float | None = None

    def earn(self, now: clock.Milliseconds) -> None:
        """Count a call that is not itself a repetition."""
        self._refill(now, self.ratio)

    def spend(self, now: clock.Milliseconds) -> bool:
        """Take one token.

        Args:
            now: Monotonic time.

        Returns:
            Whether there was one.
        """
        self._refill(now, 0)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _refill(self, now: float, earned: float) -> None:
        if self._refilled_at is not None and now > self._refilled_at:
            earned += (now - self._refilled_at) * self._floor_per_ms
        if self._refilled_at is None or now > self._refilled_at:
            self._refilled_at = now
        self._tokens = min(self._cap, self._tokens + earned)


def retry_budget() -> TokenBudget:
    """Return a retry budget of one service with the default bounds."""
    return TokenBudget(RETRY_RATIO, RETRY_FLOOR_PER_SECOND, RETRY_CAP)


def hedge_budget(ratio: float) -> TokenBudget:
    """Return a hedge budget.

    Args:
        ratio: Hedges per call, from the cost target; at 0 nothing is hedged.
    """
    return TokenBudget(ratio, floor_per_second=0, cap=_HEDGE_CAP)


def may_retry(
    outcome: call.Outcome,
    repeatable: bool,
    attempt: int,
    answer_exhausted: bool,
    deadline: clock.Milliseconds,
    now: clock.Milliseconds,
) -> bool:
    """Tell whether a call may be sent again, given a token of the retry budget.

    Args:
        outcome: Outcome of the last attempt.
        repeatable: Whether the call may run more than once.
        attempt: Number of the last attempt, from 1.
        answer_exhausted: Whether the answer is marked `Anvillug-Retries: exhausted`.
        deadline: Deadline of the call.
        now: Monotonic time.
    """
    if answer_exhausted or attempt >= MAX_ATTEMPTS or now >= deadline:
        return False
    if outcome is call.Outcome.UNKNOWN:
        return repeatable
    return outcome is call.Outcome.NOT_RUN


def marks_exhausted(outcome: call.Outcome) -> bool:
    """Tell whether an entry side marks the answer that it gives up on as exhausted.

    This holds also when the budget allowed no retry: a retry further up would cost as much.
    """
    return outcome is not call.Outcome.FINISHED


class _Quantile:
    """Estimate of a quantile that follows the values.

    Each value moves the estimate up or down by steps whose ratio balances at the quantile. This
    costs well under a microsecond where a histogram would have to be searched.
    """

    __slots__ = ('_log_estimate', '_quantile', 'count')

    def __init__(self, quantile: float) -> None:
        self.count = 0
        self._quantile = quantile
        self._log_estimate: float = 0

    def add(self, value: float) -> None:
        log_value = math.log(max(value, _LEAST_VALUE))
        self.count += 1
        if self.count == 1:
            self._log_estimate = log_value
        elif log_value > self._log_estimate:
            self._log_estimate += _QUANTILE_STEP * self._quantile
        else:
            self._log_estimate -= _QUANTILE_STEP * (1 - self._quantile)

    def estimate(self) -> float:
        return math.exp(self._log_estimate)


class HedgeRule:
    """Decides when a second copy of a call is sent, per service.

    The delay is an estimate of the 95th percentile latency, but no longer than the latency
    target asks for: with one of ten hosts slow, the 95th percentile is that of the slow host,
    and a hedge after it comes too late. Half above the median is the least, so that a target
    that can't be met does not hedge ordinary calls.

    Args:
        budget: Bounds the hedges in all.
        target_delay_ms: Delay that the latency target asks for.
    """

    def __init__(self, budget: TokenBudget, target_delay_ms: float = math.inf) -> None:
        self.target_delay_ms = target_delay_ms
        """Delay that the latency target asks for; may change with the configuration."""
        self.budget = budget
        """Bounds the hedges; its ratio may change with the configuration."""
        self._tail = _Quantile(_HEDGE_QUANTILE)
        self._median = _Quantile(_MEDIAN)

    def record(self, latency_ms: float) -> None:
        """Take in the latency of a finished call that was not hedged, or of its first copy."""
        self._tail.add(latency_ms)
        self._median.add(latency_ms)

    def delay_ms(self) -> float | None:
        """Return how long to wait before a hedge; None while too few latencies are known."""
        if self._tail.count < _MIN_LATENCIES:
            return None
        asked_for = max(self.target_delay_ms, _LEAST_MEDIANS * self._median.estimate())
        return max(_MIN_HEDGE_DELAY_MS, min(self._tail.estimate(), asked_for))

    def call_started(self, now: clock.Milliseconds) -> None:
        """Count a call that is not itself a hedge."""
        self.budget.earn(now)

    def may_hedge(
        self,
        repeatable: bool,
        waited_ms: float,
        deadline: clock.Milliseconds,
        now: clock.Milliseconds,
    ) -> bool:
        """Decide whether to send a second copy now; spends the budget if so.

        Args:
            repeatable: Whether the call may run more than once.
            waited_ms: Time since the first copy was sent.
            deadline: Deadline of the call.
            now: Monotonic time.

        Returns:
            Whether to send the second copy.
        """
        delay = self.delay_ms()
        if not repeatable or delay is None or waited_ms < delay or now >= deadline:
            return False
        return self.budget.spend(now)
