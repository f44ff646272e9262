"""Health checks of the backend server beside a mesh node."""

from __future__ import annotations

import types
from collections.abc import Callable

import pytest
from twisted.internet import task

from anvillug import clock, ids
from anvillug.platform import headers
from anvillug.process import upstream_probe
from anvillug.request import dialect
from anvillug.version import route_table
from tests import test_upstream

_POLICY = route_table.ServicePolicy(ids.ServiceName('one'), b'/health', 100, 3000, 10)
_LOAD = dialect.ReportedLoad(1, 0, 9, 100.0)
# From this age on, a host does not judge jobs by the load.
_STALE_MS = 120


class _Pool:
    """Pool that counts the health checks and answers each of them after 3 ms."""

    def __init__(self, setup: _Setup) -> None:
        self._setup = setup
        self.count = 0

    def acquire(self, connected: object, unreachable: Callable[[], None]) -> None:
        self.count += 1
        if self._setup.is_full:
            unreachable()
            return
        self._setup.reactor.callLater(0.003, self._answer, connected.__self__)

    def _answer(self, request: upstream_probe._HealthRequest) -> None:
        if self._setup.answers:
            self._setup.state.record_load(_LOAD)
        request.response_ended()


class _Setup:
    """A probe of a backend server whose health checks report the load."""

    def __init__(self) -> None:
        self.reactor = task.Clock()
        self.time = clock.ManualClock(1000)
        self.state = test_upstream.serving(self.time)
        self.answers = True
        self.is_full = False
        self.pool = _Pool(self)
        self.ages: list[float] = []
        host = types.SimpleNamespace(
            upstream=self.state,
            policy=lambda: _POLICY,
            pool=lambda: self.pool,
            backend_lost=lambda reason: None,
        )
        upstream_probe.UpstreamProbe(
            self.reactor, self.time, host, headers.PlatformDialect(), 60
        ).start()
        self.advance(500)

    def advance(self, duration_ms: int, response_every_ms: int = 0) -> int:
        """Let time pass; return the number of health checks."""
        before = self.pool.count
        for elapsed_ms in range(1, duration_ms + 1):
            self.time.advance(1)
            if response_every_ms and elapsed_ms % response_every_ms == 0:
                self.state.record_load(_LOAD)
            self.reactor.advance(0.001)
            self.ages.append(self.state.load_age_ms)
        return self.pool.count - before


class TestRate:
    """Guards against loads that are stale when jobs are judged, and against needless checks."""

    @pytest.fixture
    def setup(self):
        """Return a probe that has been running for a while."""
        setup = _Setup()
        setup.ages.clear()
        return setup

    @pytest.mark.parametrize('response_every_ms', [0, 90, 70, 30])
    def test_load_is_never_stale(self, setup, response_every_ms: int):
        setup.advance(5000, response_every_ms)
        assert max(setup.ages) < _STALE_MS

    def test_idle_server_is_checked_when_its_load_gets_old(self, setup):
        assert setup.advance(10_000) == pytest.approx(10_000 / 103, abs=3)

    def test_responses_replace_checks_except_for_the_cold_state(self, setup):
        assert setup.advance(10_000, response_every_ms=30) == pytest.approx(50, abs=2)

    def test_checks_without_a_load_keep_their_distance(self, setup):
        setup.answers = False
        assert setup.advance(1000) <= 20

    def test_check_without_a_connection_ends_at_once(self, setup):
        setup.is_full = True
        assert setup.advance(1000) > 5

    def test_ended_checks_leave_no_timer(self, setup):
        setup.advance(1000)
        assert len(setup.reactor.getDelayedCalls()) <= 3
