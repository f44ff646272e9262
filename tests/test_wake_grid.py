"""Common times of periodic tasks."""

from __future__ import annotations

import random

from hypothesis import example, given, strategies

from anvillug import clock
from anvillug.process import wake_grid


class TestWakeGrid:
    """Guards against tasks that wake the process one by one, too early, or far too late."""

    @given(
        strategies.integers(0, 100),
        strategies.lists(strategies.floats(0, 10_000), min_size=2, max_size=5),
        strategies.floats(0, 500),
    )
    @example(0, [1.1639792609230426, 8193.999999999998, 8193.999999999998], 0.0)
    def test_tasks_wake_together(self, seed, starts, min_ms):
        time = clock.ManualClock(0)
        grid = wake_grid.WakeGrid(time, random.Random(seed))
        phases = []
        for start in sorted(starts):
            # The sum of the steps may exceed a start by a rounding error.
            time.advance(max(0.0, start - time.now()))
            delay_ms = grid.delay_s(min_ms) * 1000
            assert min_ms * 0.9 - 3 <= delay_ms <= min_ms + wake_grid.INTERVAL_MS
            phases.append((start + delay_ms) % wake_grid.INTERVAL_MS)
        spread = max(phases) - min(phases)
        assert round(min(spread, wake_grid.INTERVAL_MS - spread)) == 0

    def test_timer_that_fires_early_is_not_set_again_at_once(self):
        time = clock.ManualClock(1000)
        grid = wake_grid.WakeGrid(time, random.Random(1))
        time.advance(grid.delay_s(25) * 1000 - 0.5)
        assert grid.delay_s(25) * 1000 > 20
