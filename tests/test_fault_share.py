"""Share of a backend server's runs that failed or were slow."""

from __future__ import annotations

from anvillug import clock, ids
from anvillug.process import fault_share

_ROUTE = ids.RouteName('sheets')
_STEP_MS = 25
_USUAL_MS = 70


class _Trial:
    """Runs at a steady pace."""

    def __init__(self) -> None:
        self.share = fault_share.FaultShare()
        self.now = 0

    def run(self, count: int, took_ms: float | None = _USUAL_MS, slowness: float = 100) -> None:
        for _ in range(count):
            self.now += _STEP_MS
            if took_ms is None:
                self.share.failed(clock.Milliseconds(self.now))
            else:
                self.share.answered(_ROUTE, took_ms, slowness, clock.Milliseconds(self.now))

    def percent(self) -> int:
        return round(100 * self.share.share(clock.Milliseconds(self.now)))


class TestFaultShare:
    """Guards against failing hosts that look idle, and healthy ones that are condemned."""

    def test_failures_show_within_a_second(self):
        trial = _Trial()
        trial.run(100)
        for _ in range(20):
            trial.run(1)
            trial.run(1, took_ms=None)
        assert trial.percent() > 20

    def test_slow_runs_show_though_the_load_is_usual(self):
        trial = _Trial()
        trial.run(100)
        for _ in range(20):
            trial.run(1)
            trial.run(1, took_ms=8 * _USUAL_MS)
        assert trial.percent() > 20

    def test_told_slowness_is_not_counted_twice(self):
        trial = _Trial()
        trial.run(100)
        trial.run(40, took_ms=7 * _USUAL_MS, slowness=700)
        assert trial.percent() == 0

    def test_one_failure_does_not_condemn(self):
        trial = _Trial()
        trial.run(1, took_ms=None)
        assert trial.percent() <= 20

    def test_host_is_tried_again(self):
        trial = _Trial()
        trial.run(40, took_ms=None)
        trial.now += 8000
        assert trial.percent() < 5

    def test_slow_runs_do_not_become_usual(self):
        trial = _Trial()
        trial.run(400)
        trial.run(200, took_ms=8 * _USUAL_MS)
        assert trial.percent() > 80
