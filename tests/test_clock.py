"""Tests of the clock of the operating system."""

from __future__ import annotations

import time

import pytest

from anvillug import clock


class TestSuspension:
    """Guards against a process that acts on what it knew before its host was suspended."""

    @pytest.mark.skipif(not hasattr(time, 'CLOCK_BOOTTIME'), reason='only on Linux')
    def test_suspended_time_counts(self, monkeypatch):
        suspended_ns = 0
        running_clock = time.clock_gettime_ns

        def read(clock_id: int) -> int:
            now = running_clock(clock_id)
            return now + suspended_ns if clock_id == time.CLOCK_BOOTTIME else now

        monkeypatch.setattr(time, 'clock_gettime_ns', read)
        system = clock.SystemClock()
        before = system.now()
        suspended_ns = 5_000_000_000
        assert 5000 <= system.now() - before < 6000
