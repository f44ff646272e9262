"""Tests of the probes that a host side sends to its backend server."""

from __future__ import annotations

import pytest
from twisted.internet import task

from anvillug import clock
from anvillug.connection import http_client, http_head
from anvillug.process import backend_probe
from anvillug.request import limit

_STEP_S = 0.01


class _Connection:
    def __init__(self):
        self.handler = None
        self.cancelled = False

    def request(self, head, handler):
        self.head = head
        self.handler = handler

    def end_request(self):
        """Do nothing."""

    def cancel(self):
        self.cancelled = True
        self.handler.response_failed(http_client.ClientFailure.CANCELLED)


class _Pool:
    def __init__(self):
        self.connections = []
        self.is_unreachable = False

    def acquire(self, ready, failed):
        if self.is_unreachable:
            failed()
            return
        self.connections.append(_Connection())
        ready(self.connections[-1])


class _ProbeBench:
    def __init__(self, percent: float = 1):
        self.timer = task.Clock()
        self.time = clock.ManualClock()
        self.pool = _Pool()
        self.results = []
        self.probe = backend_probe.BackendProbe(
            self.timer, self.time, lambda: self.pool, self.results.append
        )
        self.probe.budget.slots = 10
        self.probe.budget.percent = percent

    def advance(self, milliseconds: float):
        for _ in range(int(milliseconds / 10)):
            self.time.advance(10)
            self.timer.advance(_STEP_S)

    def answer(self, status: int = 200):
        handler = self.pool.connections[-1].handler
        handler.response_head(http_head.ResponseHead(status, b'', []))
        handler.response_ended()


class TestBackendProbe:
    """Guards against probes that exceed their budget or end without exactly one result."""

    def test_response_is_reported_with_its_latency(self):
        bench = _ProbeBench()
        while not bench.pool.connections:
            bench.advance(10)
        bench.advance(20)
        bench.answer()
        assert bench.results == [backend_probe.ProbeResult(20, failed=False, unreachable=False)]

    def test_one_probe_runs_at_a_time_and_a_timeout_ends_it_once(self):
        bench = _ProbeBench()
        while not bench.pool.connections:
            bench.advance(10)
        bench.advance(90)
        assert len(bench.pool.connections) == 1
        bench.advance(30)
        assert bench.pool.connections[0].cancelled
        assert [result.failed for result in bench.results] == [True]
        assert bench.probe.counters.failed == 1

    def test_error_status_is_a_failure(self):
        bench = _ProbeBench()
        while not bench.pool.connections:
            bench.advance(10)
        bench.answer(503)
        assert bench.results[0].failed

    def test_failed_connect_is_reported_as_unreachable(self):
        bench = _ProbeBench()
        bench.pool.is_unreachable = True
        bench.advance(500)
        assert bench.results[0].unreachable

    def test_no_probe_without_budget_or_backend_server(self):
        without_budget = _ProbeBench(percent=0)
        without_budget.advance(5000)
        assert not without_budget.pool.connections
        without_backend = _ProbeBench()
        without_backend.pool = None
        without_backend.advance(5000)
        assert without_backend.probe.counters.sent == 0


class TestLimitAfterProbes:
    """Guards against sending full load at once to an idle server that has become cold."""

    def _warm_limit(self) -> limit.ConcurrencyLimit:
        concurrency = limit.ConcurrencyLimit(slots=10)
        now = 0
        while concurrency.cold:
            now += 5
            concurrency.record(5, concurrency.limit, limit.CallResult.OK, now)
        for _ in range(5):
            concurrency.probed(6, now)
        return concurrency

    @pytest.mark.parametrize('latency_ms', [48, None])
    def test_two_slow_or_failed_probes_make_the_limit_cold(self, latency_ms):
        concurrency = self._warm_limit()
        concurrency.probed(latency_ms, 10_000)
        assert not concurrency.cold
        concurrency.probed(latency_ms, 10_300)
        assert concurrency.cold
        assert concurrency.limit == limit.START_LIMIT

    def test_single_slow_probes_change_nothing(self):
        concurrency = self._warm_limit()
        for now in range(10_000, 20_000, 500):
            concurrency.probed(48, now)
            concurrency.probed(6, now + 250)
        assert not concurrency.cold
