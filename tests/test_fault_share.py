"""Share of a backend server's recent runs that failed or were slow."""

from __future__ import annotations

from anvillug import clock, ids
from anvillug.process import fault_share

_ROUTE = ids.RouteName('sheets')
_STEP_MS = 25
_BASELINE_MS = 70


class _Backend:
    """Backend server whose runs are recorded at a constant rate."""

    def __init__(self) -> None:
        self.share = fault_share.FaultShare()
        self.now = 0

    def run(self, count: int, took_ms: float | None = _BASELINE_MS, slowness: float = 100) -> None:
        for _ in range(count):
            self.now += _STEP_MS
            if took_ms is None:
                self.share.record_failure(clock.Milliseconds(self.now))
            else:
                self.share.record_response(_ROUTE, took_ms, slowness, clock.Milliseconds(self.now))

    def percent(self) -> int:
        return round(100 * self.share.share(clock.Milliseconds(self.now)))


class TestFaultShare:
    """Guards against selecting failing hosts that appear idle, and excluding healthy ones."""

    def test_failures_raise_the_share_within_a_second(self):
        backend = _Backend()
        backend.run(100)
        for _ in range(20):
            backend.run(1)
            backend.run(1, took_ms=None)
        assert backend.percent() > 20

    def test_slow_runs_raise_the_share_at_normal_load(self):
        backend = _Backend()
        backend.run(100)
        for _ in range(20):
            backend.run(1)
            backend.run(1, took_ms=8 * _BASELINE_MS)
        assert backend.percent() > 20

    def test_reported_slowness_is_not_counted_twice(self):
        backend = _Backend()
        backend.run(100)
        backend.run(40, took_ms=7 * _BASELINE_MS, slowness=700)
        assert backend.percent() == 0

    def test_single_failure_does_not_exclude_a_host(self):
        backend = _Backend()
        backend.run(1, took_ms=None)
        assert backend.percent() <= 20

    def test_share_decays_so_that_the_host_is_used_again(self):
        backend = _Backend()
        backend.run(40, took_ms=None)
        backend.now += 8000
        assert backend.percent() < 5

    def test_slow_runs_do_not_become_the_baseline(self):
        backend = _Backend()
        backend.run(400)
        backend.run(200, took_ms=8 * _BASELINE_MS)
        assert backend.percent() > 80
