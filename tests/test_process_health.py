"""When a process logs its state."""

from __future__ import annotations

import errno
import os

import pytest
from hypothesis import given, strategies

from anvillug import clock
from anvillug.process import process_health, process_readings

_LIMIT_BYTES = 300_000_000
_DESCRIPTORS = 1000
_GROWTH_BYTES_PER_MS = 100_000
_MEMORY = process_health.Reason.MEMORY


def _health() -> process_health.ProcessHealth:
    return process_health.ProcessHealth(_LIMIT_BYTES, _DESCRIPTORS)


def _with_memory(share: float) -> process_health.Reading:
    return process_health.Reading(memory_bytes=int(share * _LIMIT_BYTES))


class TestLevels:
    """Guards against a process that ends at a limit without a line, or floods its log near one."""

    def test_each_share_of_the_memory_is_logged_once(self):
        health = _health()
        shares = (0.2, 0.51, 0.6, 0.76, 0.77, 0.88, 0.9, 0.95, 0.99)
        logged = [
            share
            for second, share in enumerate(shares)
            if health.observe(_with_memory(share), clock.Milliseconds(1000 * second))
        ]
        assert logged == [0.51, 0.76, 0.88, 0.95]

    def test_a_jump_over_several_shares_is_one_line(self):
        health = _health()
        assert health.observe(_with_memory(0.97), clock.Milliseconds(0)) == [_MEMORY]
        assert not health.observe(_with_memory(0.97), clock.Milliseconds(60_000))

    def test_descriptors_are_logged_by_shares(self):
        reasons = _health().observe(process_health.Reading(descriptors=500), clock.Milliseconds(0))
        assert reasons == [process_health.Reason.DESCRIPTORS]

    def test_unknown_limits_and_readings_are_no_reason(self):
        unlimited = process_health.ProcessHealth(0, 0)
        full = process_health.Reading(memory_bytes=1 << 40, descriptors=1 << 20)
        assert not unlimited.observe(full, clock.Milliseconds(0))
        assert not _health().observe(process_health.Reading(), clock.Milliseconds(0))

    @given(strategies.lists(strategies.floats(0, 1), max_size=200))
    def test_lines_are_few_however_the_memory_moves(self, shares):
        health = _health()
        lines = sum(
            bool(health.observe(_with_memory(share), clock.Milliseconds(100 * look)))
            for look, share in enumerate(shares)
        )
        # Four shares, each at most every ten seconds.
        assert lines <= 4 * (1 + len(shares) // 100)


class TestInterval:
    """Guards against memory that reaches its limit between two looks."""

    def test_calm_memory_is_looked_at_rarely(self):
        health = _health()
        for second in range(3):
            health.observe(_with_memory(0.2), clock.Milliseconds(1000 * second))
        assert health.next_look_ms == process_health.LOOK_INTERVAL_MS

    def test_growth_since_the_start_counts(self):
        health = _health()
        health.begin(_LIMIT_BYTES // 10, clock.Milliseconds(0))
        health.observe(_with_memory(0.4), clock.Milliseconds(1000))
        assert health.next_look_ms < process_health.LOOK_INTERVAL_MS / 2

    def test_growing_memory_is_logged_before_it_reaches_its_limit(self):
        health = _health()
        now = 0.0
        used = 0.1 * _LIMIT_BYTES
        lines = 0
        while used < _LIMIT_BYTES:
            reading = process_health.Reading(memory_bytes=int(used))
            lines += bool(health.observe(reading, clock.Milliseconds(now)))
            now += health.next_look_ms
            used += health.next_look_ms * _GROWTH_BYTES_PER_MS
        assert lines == 4
        assert health.growth_bytes >= 0.9 * 1000 * _GROWTH_BYTES_PER_MS


class TestLongTurns:
    """Guards against stand-stills without a line, and against a line for each of many."""

    def test_long_turns_are_logged_at_intervals(self):
        health = _health()
        long_turn = process_health.Reading(turn_ms=process_health.LONG_TURN_MS)
        logged = [
            second
            for second in range(25)
            if health.observe(long_turn, clock.Milliseconds(1000 * second))
        ]
        assert logged == [0, 10, 20]

    def test_a_far_longer_turn_is_logged_at_once(self):
        health = _health()
        for second, turn_ms in enumerate((600, 5000)):
            reading = process_health.Reading(turn_ms=turn_ms)
            assert health.observe(reading, clock.Milliseconds(1000 * second))

    def test_late_look_without_a_long_turn_is_told_apart(self):
        late_ms = 2 * process_health.LONG_TURN_MS
        health = _health()
        reading = process_health.Reading(turn_ms=1, late_ms=late_ms)
        assert health.observe(reading, clock.Milliseconds(0)) == [process_health.Reason.LATE]
        reading = process_health.Reading(turn_ms=late_ms, late_ms=late_ms)
        reasons = health.observe(reading, clock.Milliseconds(20_000))
        assert reasons == [process_health.Reason.LONG_TURN]

    def test_short_turns_are_not_logged(self):
        reading = process_health.Reading(turn_ms=process_health.LONG_TURN_MS - 1)
        assert not _health().observe(reading, clock.Milliseconds(0))


class TestReadings:
    """Guards against readings that are wrong, or fail on a system without `/proc`."""

    @pytest.fixture
    def readings(self):
        readings = process_readings.ProcessReadings()
        readings.open()
        yield readings
        readings.close()

    def test_memory_follows_what_is_held(self, readings):
        before = readings.memory_bytes()
        held = b'a' * (32 << 20)
        assert readings.memory_bytes() - before >= len(held) // 2

    def test_descriptors_are_counted(self, readings):
        before = readings.descriptors()
        opened = os.dup(0)
        assert readings.descriptors() == before + 1
        os.close(opened)

    def test_descriptors_are_listed_where_no_size_tells(self, readings, monkeypatch):
        counted = readings.descriptors()
        readings.close()
        monkeypatch.setattr(process_readings, '_size_tells_descriptors', bool)
        readings.open()
        assert readings.descriptors() == counted

    def test_system_without_files_is_no_failure(self, monkeypatch):
        def refuse(*arguments: object, **options: object) -> None:
            raise OSError(errno.ENOENT, 'no such file')

        for name in ('open', 'stat', 'listdir'):
            monkeypatch.setattr(os, name, refuse)
        readings = process_readings.ProcessReadings()
        readings.open()
        found = (readings.memory_bytes(), readings.descriptors())
        monkeypatch.undo()
        assert found == (0, 0)
