"""Tests of retry and hedge budgets."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, strategies

from anvillug.request import budget, call

LEVELS = call.MAX_DEPTH
FINISHED = call.Outcome.FINISHED
NOT_RUN = call.Outcome.NOT_RUN
UNKNOWN = call.Outcome.UNKNOWN


class TestTokenBudget:
    """Guards against more retries than the ratio and the constant rate allow."""

    @given(strategies.lists(strategies.tuples(strategies.integers(0, 50), strategies.booleans())))
    def test_spending_is_bounded(self, steps):
        tokens = budget.TokenBudget(ratio=0.1, min_per_s=2, max_tokens=10)
        now = 0
        earned = 0
        spent = 0
        for elapsed, is_call in steps:
            now += elapsed
            if is_call:
                tokens.earn(now)
                earned += 1
            else:
                spent += tokens.spend(now)
        assert spent <= earned * 0.1 + 2 + now * 2 / 1000 + 1e-9

    def test_calls_of_a_low_rate_can_be_retried(self):
        tokens = budget.TokenBudget(ratio=0.1, min_per_s=1, max_tokens=10)
        assert tokens.spend(0)
        assert not tokens.spend(500)
        assert tokens.spend(1000)

    def test_saved_tokens_are_capped(self):
        tokens = budget.TokenBudget(ratio=1, min_per_s=0, max_tokens=3)
        for now in range(100):
            tokens.earn(now)
        assert sum(tokens.spend(100) for _ in range(100)) == 3


class TestMayRetry:
    """Guards against a second run of a non-idempotent call and needless retries."""

    @pytest.mark.parametrize(
        ('outcome', 'repeatable', 'attempt', 'exhausted', 'now', 'allowed'),
        [
            (NOT_RUN, False, 1, False, 0, True),
            (NOT_RUN, False, 2, False, 0, True),
            (NOT_RUN, True, 3, False, 0, False),
            (NOT_RUN, True, 1, True, 0, False),
            (NOT_RUN, True, 1, False, 10, False),
            (UNKNOWN, False, 1, False, 0, False),
            (UNKNOWN, True, 1, False, 0, True),
            (FINISHED, True, 1, False, 0, False),
        ],
    )
    def test_retry_is_allowed_only_if_safe_and_within_limits(
        self, outcome, repeatable, attempt, exhausted, now, allowed
    ):
        assert budget.may_retry(outcome, repeatable, attempt, exhausted, 10, now) is allowed


class Chain:
    """Nested calls through all levels; calls at the lowest one fail at a given rate."""

    def __init__(self, failure_share, marked):
        self.calls_by_level = [0 for _ in range(LEVELS + 1)]
        self._failure_share = failure_share
        self._marked = marked
        self._budgets = [budget.retry_budget() for _ in range(LEVELS)]
        self._rng = random.Random(5)

    def call_from(self, level, now):
        """Call level + 1 as the entry side of `level` does."""
        self._budgets[level].earn(now)
        attempt = 0
        while True:
            attempt += 1
            outcome, exhausted = self._run(level + 1, now)
            allowed = budget.may_retry(outcome, True, attempt, exhausted, 1e12, now)
            if not allowed or not self._budgets[level].spend(now):
                return outcome, self._marked and budget.marks_exhausted(outcome)

    def _run(self, level, now):
        self.calls_by_level[level] += 1
        if level < LEVELS:
            return self.call_from(level, now)
        if self._rng.random() < self._failure_share:
            return NOT_RUN, False
        return FINISHED, False


class TestNestedRetries:
    """Guards against retries that multiply over the levels of nested calls."""

    @pytest.mark.parametrize('failure_share', [0.3, 1])
    def test_exhausted_marks_bound_the_calls(self, failure_share):
        chain = Chain(failure_share, marked=True)
        calls = 2000
        for now in range(calls):
            chain.call_from(0, now)
        guaranteed = budget.MIN_RETRIES_PER_S * (1 + calls / 1000)
        assert chain.calls_by_level[1:LEVELS] == [calls for _ in range(LEVELS - 1)]
        lowest = chain.calls_by_level[LEVELS]
        assert calls < lowest <= calls * (1 + budget.RETRY_RATIO) + guaranteed

    def test_without_marks_the_budgets_alone_bound_the_calls(self):
        # A backend server may drop the mark. Without budgets, 3 attempts per level would then
        # add up to 3 ** 26 calls.
        chain = Chain(1, marked=False)
        calls = 200
        for now in range(calls):
            chain.call_from(0, now)
        bound = calls
        for level in range(1, LEVELS + 1):
            bound = bound * (1 + budget.RETRY_RATIO) + budget.MIN_RETRIES_PER_S * 1.2
            assert chain.calls_by_level[level] <= bound


class TestHedge:
    """Guards against hedges that run a call twice or cost more than allowed."""

    def make_rule(self, ratio=0.05):
        rule = budget.HedgeRule(budget.hedge_budget(ratio))
        rng = random.Random(4)
        latencies = [rng.lognormvariate(2, 0.5) for _ in range(5000)]
        for now, latency in enumerate(latencies):
            rule.record(latency)
            rule.call_started(now)
        return rule, latencies

    def test_delay_is_near_the_percentile(self):
        rule, latencies = self.make_rule()
        slower = sum(latency > rule.delay_ms() for latency in latencies) / len(latencies)
        assert slower == pytest.approx(0.05, abs=0.03)

    def test_delay_follows_a_slowdown(self):
        rule, _ = self.make_rule()
        for _ in range(50):
            rule.record(200)
        assert rule.delay_ms() > 150

    def test_only_repeatable_calls_that_waited_are_hedged(self):
        rule, _ = self.make_rule()
        delay = rule.delay_ms()
        assert not rule.may_hedge(False, delay + 1, 1e9, 5000)
        assert not rule.may_hedge(True, delay - 1, 1e9, 5000)
        assert not rule.may_hedge(True, delay + 1, 5000, 5000)
        assert rule.may_hedge(True, delay + 1, 1e9, 5000)

    def test_no_hedge_before_enough_latencies_are_recorded(self):
        rule = budget.HedgeRule(budget.TokenBudget(1, 10, 10))
        rule.record(1)
        assert not rule.may_hedge(True, 1000, 1e9, 0)

    @pytest.mark.parametrize('ratio', [0, 0.01, 0.05, 0.1])
    def test_ratio_bounds_the_hedges(self, ratio):
        rule, _ = self.make_rule(ratio)
        hedges = 0
        for now in range(10_000):
            rule.call_started(5000 + now)
            hedges += rule.may_hedge(True, 1000, 1e9, 5000 + now)
        assert hedges <= 10_000 * ratio + 5
        assert hedges >= 10_000 * ratio - 1

    def test_target_shortens_the_delay(self):
        # If one host in ten is slow, the 95th percentile is the latency of the slow host.
        rule = budget.HedgeRule(budget.hedge_budget(0.1), target_delay_ms=200)
        rng = random.Random(4)
        for _ in range(3000):
            rule.record(500 if rng.randrange(10) == 0 else 100)
        assert round(rule.delay_ms()) == 200

    def test_target_that_cannot_be_met_hedges_no_typical_call(self):
        rule = budget.HedgeRule(budget.hedge_budget(0.1), target_delay_ms=5)
        for _ in range(200):
            rule.record(100)
        assert rule.delay_ms() > 90
