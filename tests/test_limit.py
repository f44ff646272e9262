"""Tests of the adaptive concurrency limit."""

from __future__ import annotations

import heapq
import itertools
import random

import pytest
from hypothesis import given, strategies

from anvillug.request import limit

OK = limit.CallResult.OK
SHED = limit.CallResult.SHED
FAILED = limit.CallResult.FAILED


def make_limit():
    """Return the limit of a backend server with 10 slots."""
    return limit.ConcurrencyLimit(slots=10)


class BackendServer:
    """Fake backend server under constant demand, to which the limit admits calls."""

    def __init__(self, concurrency, respond, demand=50, seed=1):
        self.concurrency = concurrency
        self.respond = respond
        self.demand = demand
        self.now = 0
        self.limits = []
        self.over_capacity = 0
        self._rng = random.Random(seed)
        self._ends = []
        self._sequence = 0

    def run(self, duration):
        until = self.now + duration
        self.limits = []
        while True:
            while len(self._ends) < min(self.concurrency.limit, self.demand):
                self._start()
            if self._ends[0][0] > until:
                self.now = until
                return
            end = heapq.heappop(self._ends)
            self.now = end[0]
            latency, result = end[2:]
            self.concurrency.record(latency, len(self._ends) + 1, result, self.now)
            self.limits.append(self.concurrency.limit)

    def _start(self):
        latency, result = self.respond(len(self._ends) + 1, self.now)
        latency *= self._rng.uniform(0.8, 1.2)
        self._sequence += 1
        heapq.heappush(self._ends, (self.now + latency, self._sequence, latency, result))


def warm(concurrency, now=0):
    """Run successful calls of 10 ms until the limit reaches the slots."""
    server = BackendServer(concurrency, lambda in_flight, at: (10, OK))
    server.now = now
    server.run(3000)
    assert concurrency.limit == 10
    assert not concurrency.cold
    return server


class TestColdStart:
    """Guards against a cold backend server that receives more calls than it can run."""

    def test_limit_starts_at_one_and_reaches_the_slots(self):
        concurrency = make_limit()
        assert concurrency.limit == 1
        assert concurrency.cold
        warm(concurrency)

    @given(strategies.lists(strategies.tuples(strategies.integers(1, 10), strategies.booleans())))
    def test_one_call_never_doubles_the_limit(self, calls):
        concurrency = make_limit()
        good_since_growth = 0
        for now, (in_flight, good) in enumerate(calls):
            before = concurrency.limit
            concurrency.record(5, in_flight, OK if good else SHED, now)
            good_since_growth += good
            if concurrency.limit > before:
                assert concurrency.limit == before + 1
                assert good_since_growth >= max(4, 2 * before)
                good_since_growth = 0
            assert 1 <= concurrency.limit <= 10

    def test_unused_limit_does_not_grow(self):
        concurrency = make_limit()
        for now in range(0, 5000, 10):
            concurrency.record(5, 1, OK, now)
        assert concurrency.limit <= 3

    def test_cold_server_that_sheds_is_rarely_overrun(self):
        concurrency = make_limit()
        server = BackendServer(
            concurrency,
            lambda in_flight, at: (10, OK) if in_flight <= 2 else (1, SHED),
        )
        server.run(5000)
        overrun = sum(1 for value in server.limits if value > 2)
        assert max(server.limits) <= 3
        assert overrun < len(server.limits) * 0.1

    def test_cold_server_that_slows_down_with_load_is_not_overloaded(self):
        concurrency = make_limit()
        server = BackendServer(concurrency, lambda in_flight, at: (20 * in_flight, OK))
        server.run(5000)
        assert max(server.limits) <= 4

    @pytest.mark.parametrize('seed', range(3))
    def test_limit_follows_a_slowly_rising_capacity(self, seed):
        server = BackendServer(make_limit(), lambda in_flight, at: (10, OK), seed=seed)
        server.respond = lambda in_flight, at: (10 * max(1, in_flight / (1 + at / 500)) ** 1.5, OK)
        while server.now < 4000:
            server.run(100)
            assert server.concurrency.limit <= 1 + 1.6 * (1 + server.now / 500)
        server.run(2000)
        assert server.concurrency.limit == 10

    def test_new_incarnation_resets_the_limit(self):
        server = warm(make_limit())
        concurrency = server.concurrency
        concurrency.restarted(server.now)
        assert concurrency.limit == 1
        assert concurrency.cold
        assert concurrency.baseline_ms is None


class TestTurningCold:
    """Guards against full load on a server that became cold without a new incarnation."""

    def test_slow_calls_at_low_concurrency_start_a_cold_start(self):
        concurrency = make_limit()
        now = warm(concurrency).now
        for _ in range(5):
            now += 45
            concurrency.record(45, 1, OK, now)
        assert concurrency.limit == 1
        assert concurrency.cold

    def test_slow_calls_at_full_concurrency_start_a_cold_start(self):
        server = warm(make_limit())
        concurrency = server.concurrency
        server.respond = lambda in_flight, at: (20 * in_flight, OK)
        server.run(1000)
        assert concurrency.limit <= 2
        assert min(server.limits) == 1

    def test_sheds_at_full_concurrency_shrink_the_limit_quickly(self):
        server = warm(make_limit())
        concurrency = server.concurrency
        server.respond = lambda in_flight, at: (10, OK) if in_flight <= 1 else (1, SHED)
        server.run(100)
        assert concurrency.limit <= 2

    def test_limit_recovers_after_slow_calls(self):
        server = warm(make_limit())
        concurrency = server.concurrency
        server.respond = lambda in_flight, at: (20 * in_flight, OK)
        server.run(1000)
        server.respond = lambda in_flight, at: (10, OK)
        server.run(3000)
        assert concurrency.limit == 10


class TestOverload:
    """Guards against a baseline that rises to the latency of constant overload."""

    def test_baseline_does_not_drift(self):
        concurrency = limit.ConcurrencyLimit(slots=16)
        server = BackendServer(concurrency, lambda in_flight, at: (10 * max(1, in_flight / 4), OK))
        server.run(120_000)
        assert concurrency.baseline_ms < 15
        assert max(server.limits[-1000:]) <= 12

    def test_limit_shrinks_when_a_warm_server_slows_down_with_load(self):
        server = warm(make_limit())
        concurrency = server.concurrency
        server.respond = lambda in_flight, at: (10 * max(1, in_flight / 3), OK)
        server.run(3000)
        assert max(server.limits[-200:]) <= 8
        assert min(server.limits) >= 3
        assert concurrency.baseline_ms < 15

    def test_baseline_falls_when_a_cold_server_warms_up(self):
        concurrency = make_limit()
        server = BackendServer(concurrency, lambda in_flight, at: (50, OK))
        server.run(500)
        server.respond = lambda in_flight, at: (10, OK)
        server.run(2000)
        assert concurrency.baseline_ms < 13

    def test_baseline_adapts_to_permanently_slower_work(self):
        server = warm(make_limit())
        concurrency = server.concurrency
        server.respond = lambda in_flight, at: (35, OK)
        server.run(15_000)
        assert concurrency.limit == 10


class TestNoisyNeighbour:
    """Guards against a limit that collapses because of short bursts of latency."""

    def test_short_bursts_do_not_collapse_the_limit(self):
        server = warm(make_limit())
        server.respond = lambda in_flight, at: (60 if at % 1000 < 40 else 10, OK)
        server.run(10_000)
        assert min(server.limits) >= 7

    def test_one_slow_window_does_not_shrink_the_limit(self):
        concurrency = make_limit()
        now = warm(concurrency).now
        for step in range(60):
            concurrency.record(30 if 10 <= step < 36 else 10, 10, OK, now + step)
            assert concurrency.limit == 10

    def test_slow_calls_of_one_burst_do_not_start_a_cold_start(self):
        concurrency = make_limit()
        now = warm(concurrency).now
        for step in range(8):
            concurrency.record(60, 2, OK, now + step)
        assert concurrency.limit == 10

    def test_one_slow_route_does_not_collapse_the_limit(self):
        concurrency = make_limit()
        rng = random.Random(3)
        server = BackendServer(
            concurrency,
            lambda in_flight, at: (rng.choices((80, 5), (1, 4))[0], OK),
        )
        server.run(20_000)
        assert min(server.limits[len(server.limits) // 2 :]) >= 8


class TestFailures:
    """Guards against quick failures that count as low latency."""

    def test_fast_failures_do_not_lower_the_baseline(self):
        server = warm(make_limit())
        concurrency = server.concurrency
        baseline = concurrency.baseline_ms
        latency = concurrency.latency_ms
        server.respond = lambda in_flight, at: (0.2, FAILED)
        server.run(500)
        assert concurrency.limit == 1
        assert concurrency.baseline_ms == baseline
        assert concurrency.latency_ms >= latency / 2

    def test_failures_up_to_the_limit_start_a_cold_start(self):
        concurrency = make_limit()
        now = warm(concurrency).now
        for _ in range(10):
            concurrency.record(1, 10, FAILED, now)
        assert concurrency.limit == 1
        assert concurrency.cold

    def test_many_failures_among_good_calls_shrink_the_limit(self):
        server = warm(make_limit())
        results = itertools.cycle((OK, FAILED))
        server.respond = lambda in_flight, at: (10, next(results))
        server.run(1000)
        assert max(server.limits[-50:]) <= 4

    def test_rare_failures_do_not_shrink_the_limit(self):
        server = warm(make_limit())
        rng = random.Random(2)
        server.respond = lambda in_flight, at: (10, rng.choices((FAILED, OK), (1, 99))[0])
        server.run(5000)
        assert min(server.limits) == 10

    def test_sheds_of_one_overload_shrink_the_limit_once(self):
        concurrency = make_limit()
        now = warm(concurrency).now
        for _ in range(5):
            concurrency.record(1, 10, SHED, now)
        assert concurrency.limit == 7
