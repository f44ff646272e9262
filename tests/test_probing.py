"""Tests of the probe budget."""

from __future__ import annotations

import pytest
from hypothesis import given, strategies

from anvillug.request import probing


def run_probes(budget, duration, probe_ms, calls_per_second):
    """Return the slot time that probes used; the budget is queried every millisecond."""
    used_ms = 0
    ends_at = None
    for now in range(duration):
        if calls_per_second and now % (1000 // calls_per_second) == 0:
            budget.call_finished(now)
        if ends_at is not None and now >= ends_at:
            budget.probe_ended(probe_ms, now)
            ends_at = None
        if ends_at is None and budget.start_probe(now):
            used_ms += probe_ms
            ends_at = now + probe_ms
    return used_ms


class TestProbeBudget:
    """Guards against probes that overload the backend servers that they measure."""

    @pytest.mark.parametrize('percent', [0.05, 0.2, 1])
    @pytest.mark.parametrize('calls_per_second', [0, 2, 4])
    def test_probes_use_but_do_not_exceed_the_budget(self, percent, calls_per_second):
        budget = probing.ProbeBudget(slots=10, percent=percent, interval_ms=1)
        used_ms = run_probes(budget, 60_000, 6, calls_per_second)
        allowed_ms = 60_000 * 10 * percent / 100
        # Tokens are earned from the first call of `start_probe` on.
        assert allowed_ms * 0.9 < used_ms <= allowed_ms

    def test_no_probe_while_busy(self):
        budget = probing.ProbeBudget(slots=10, percent=1)
        assert run_probes(budget, 10_000, 6, calls_per_second=50) <= 6

    def test_probes_resume_when_traffic_stops(self):
        budget = probing.ProbeBudget(slots=10, percent=1)
        for now in range(2000):
            budget.call_finished(now)
        assert not budget.start_probe(2500)
        assert budget.start_probe(3001)

    def test_interval_limits_probes_below_the_budget(self):
        budget = probing.ProbeBudget(slots=10, percent=50, interval_ms=250)
        assert run_probes(budget, 10_000, 6, 0) <= 6 * 41

    def test_one_probe_at_a_time(self):
        budget = probing.ProbeBudget(slots=10, percent=50)
        budget.start_probe(0)
        assert budget.start_probe(1000)
        assert not budget.start_probe(2000)
        budget.probe_ended(6, 2001)
        assert budget.start_probe(2002)

    def test_excess_of_a_long_probe_delays_the_next(self):
        budget = probing.ProbeBudget(slots=10, percent=1)
        budget.start_probe(0)
        assert budget.start_probe(1000)
        budget.probe_ended(100, 1100)
        # 0.1 ms of slot time is earned per ms; one second's tokens less 100 ms leaves none.
        assert not budget.start_probe(1250)
        assert budget.start_probe(2000)

    @given(
        strategies.sampled_from([1, 10]),
        strategies.sampled_from([0.1, 1, 5]),
        strategies.lists(
            strategies.tuples(strategies.integers(1, 3000), strategies.integers(1, 100))
        ),
    )
    def test_probes_of_any_duration_stay_within_the_documented_limit(self, slots, percent, probes):
        budget = probing.ProbeBudget(slots, percent, interval_ms=1)
        budget.start_probe(0)
        now = 0
        used_ms = 0
        for wait, duration in probes:
            now += wait
            if budget.start_probe(now):
                now += duration
                used_ms += duration
                budget.probe_ended(duration, now)
        assert used_ms <= now * slots * percent / 100 + probing.PROBE_TIMEOUT_MS
