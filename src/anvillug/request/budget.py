"""Budgets and rules for retries and hedges.

Each level of nested calls retries within its own budget and marks a failed response that it
no longer retries as exhausted. Higher levels do not retry such a response, so calls to
a failing lowest level grow by the ratio of one budget, not by the product over all levels.
"""

from __future__ import annotations

import math

from anvillug import clock
from anvillug.request import call

MAX_ATTEMPTS = 3
RETRY_RATIO = 0.1
MIN_RETRIES_PER_S = 1.0
MAX_RETRY_TOKENS = 100.0

# Hedges that may be saved up for a burst while few are sent.
_MAX_HEDGE_TOKENS = 5
_MIN_HEDGE_DELAY_MS = 1.0
_MIN_LATENCY_SAMPLES = 20
_HEDGE_QUANTILE = 0.95
_MEDIAN_QUANTILE = 0.5
_MIN_DELAY_PER_MEDIAN = 1.5
_MIN_LATENCY_MS = 1e-3
_LOG_STEP = 0.1
_MS_PER_SECOND = 1000.0


class TokenBudget:
    """Token bucket that is refilled by each call, and at a low constant rate.

    Args:
        ratio: Tokens earned per call.
        min_per_s: Tokens earned per second, so that calls of a low rate can be retried too.
        max_tokens: Capacity of the bucket.
    """

    def __init__(self, ratio: float, min_per_s: float, max_tokens: float) -> None:
        self.ratio = ratio
        """Tokens earned per call; may change with the configuration."""
        self._min_per_ms = min_per_s / _MS_PER_SECOND
        self._max_tokens = max_tokens
        self._tokens = min(max_tokens, min_per_s)
        self._refilled_at: float | None = None

    def earn(self, now: clock.Milliseconds) -> None:
        """Count a call that is not itself a retry or hedge."""
        self._refill(now, self.ratio)

    def spend(self, now: clock.Milliseconds) -> bool:
        """Take one token.

        Args:
            now: Monotonic time.

        Returns:
            Whether a token was available.
        """
        self._refill(now, 0)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _refill(self, now: float, earned: float) -> None:
        if self._refilled_at is not None and now > self._refilled_at:
            earned += (now - self._refilled_at) * self._min_per_ms
        if self._refilled_at is None or now > self._refilled_at:
            self._refilled_at = now
        self._tokens = min(self._max_tokens, self._tokens + earned)


def retry_budget() -> TokenBudget:
    """Return a retry budget for one service with the default limits."""
    return TokenBudget(RETRY_RATIO, MIN_RETRIES_PER_S, MAX_RETRY_TOKENS)


def hedge_budget(ratio: float) -> TokenBudget:
    """Return a hedge budget.

    Args:
        ratio: Hedges per call, from the cost target; 0 turns hedging off.
    """
    return TokenBudget(ratio, min_per_s=0, max_tokens=_MAX_HEDGE_TOKENS)


def may_retry(
    outcome: call.Outcome,
    repeatable: bool,
    attempt: int,
    response_exhausted: bool,
    deadline: clock.Milliseconds,
    now: clock.Milliseconds,
) -> bool:
    """Return whether a call may be sent again, provided the retry budget has a token.

    Args:
        outcome: Outcome of the last attempt.
        repeatable: Whether the call may run more than once.
        attempt: Number of the last attempt, from 1.
        response_exhausted: Whether the response is marked `Anvillug-Retries: exhausted`.
        deadline: Deadline of the call.
        now: Monotonic time.
    """
    if response_exhausted or attempt >= MAX_ATTEMPTS or now >= deadline:
        return False
    if outcome is call.Outcome.UNKNOWN:
        return repeatable
    return outcome is call.Outcome.NOT_RUN


def marks_exhausted(outcome: call.Outcome) -> bool:
    """Return whether an entry side marks a response that it does not retry as exhausted.

    It does so also when the budget allowed no retry: a retry at a higher level costs as much.
    """
    return outcome is not call.Outcome.FINISHED


class _QuantileEstimator:
    """Running estimate of a quantile of recent latencies.

    Each latency moves the logarithm of the estimate up or down by a fixed step. The two steps
    balance at the quantile. An update takes well under a microsecond; a histogram would have
    to be searched.
    """

    __slots__ = ('_log_estimate', '_quantile', 'count')

    def __init__(self, quantile: float) -> None:
        self.count = 0
        self._quantile = quantile
        self._log_estimate: float = 0

    def add(self, value: float) -> None:
        log_value = math.log(max(value, _MIN_LATENCY_MS))
        self.count += 1
        if self.count == 1:
            self._log_estimate = log_value
        elif log_value > self._log_estimate:
            self._log_estimate += _LOG_STEP * self._quantile
        else:
            self._log_estimate -= _LOG_STEP * (1 - self._quantile)

    def estimate(self) -> float:
        return math.exp(self._log_estimate)


class HedgeRule:
    """Decides when a call of one service is hedged.

    The delay is an estimate of the 95th percentile latency, limited by the delay that the
    latency target requires: if one host in ten is slow, the 95th percentile is the latency of
    the slow host, and a hedge after that delay is too late. The limit is at least 1.5 times the
    median, so that a target that can't be met does not hedge calls of typical latency.

    Args:
        budget: Limits the total number of hedges.
        target_delay_ms: Delay that the latency target requires.
    """

    def __init__(self, budget: TokenBudget, target_delay_ms: float = math.inf) -> None:
        self.target_delay_ms = target_delay_ms
        """Delay that the latency target requires; may change with the configuration."""
        self.budget = budget
        """Limits the number of hedges; its ratio may change with the configuration."""
        self._tail = _QuantileEstimator(_HEDGE_QUANTILE)
        self._median = _QuantileEstimator(_MEDIAN_QUANTILE)

    def record(self, latency_ms: float) -> None:
        """Record the latency of a finished call that was not hedged, or of its first attempt."""
        self._tail.add(latency_ms)
        self._median.add(latency_ms)

    def delay_ms(self) -> float | None:
        """Return the delay before a hedge; None until enough latencies are recorded."""
        if self._tail.count < _MIN_LATENCY_SAMPLES:
            return None
        upper_bound_ms = max(self.target_delay_ms, _MIN_DELAY_PER_MEDIAN * self._median.estimate())
        return max(_MIN_HEDGE_DELAY_MS, min(self._tail.estimate(), upper_bound_ms))

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
        """Decide whether to send a hedge now; if so, take a token of the budget.

        Args:
            repeatable: Whether the call may run more than once.
            waited_ms: Time since the first attempt was sent.
            deadline: Deadline of the call.
            now: Monotonic time.

        Returns:
            Whether to send the hedge.
        """
        delay = self.delay_ms()
        if not repeatable or delay is None or waited_ms < delay or now >= deadline:
            return False
        return self.budget.spend(now)
