"""Tests of the non-blocking writer of log lines."""

from __future__ import annotations

import os

import pytest

from anvillug import clock, log_writer

_LINE = 'x' * 999


@pytest.fixture
def pipe():
    """Return both ends of a pipe."""
    ends = os.pipe()
    yield ends
    for end in ends:
        os.close(end)


class TestLineWriter:
    """Guards against a process that blocks on a slow log reader, or buffers lines without limit."""

    def test_lines_arrive_in_order(self, pipe):
        writer = log_writer.LineWriter(pipe[1], clock.ManualClock())
        writer.write('one')
        writer.write('two')
        assert os.read(pipe[0], 100) == b'one\ntwo\n'

    def test_buffer_for_a_slow_reader_is_bounded(self, pipe):
        writer = log_writer.LineWriter(pipe[1], clock.ManualClock())
        for _ in range(3000):
            writer.write(_LINE)
        assert writer.dropped > 1500
        received = 0
        while received < 1024 * 1024:
            received += len(os.read(pipe[0], 65536))
            writer.write(_LINE)
        rest = b''
        while b'log_lines_dropped' not in rest:
            rest = os.read(pipe[0], 1024 * 1024)
            writer.write(_LINE)

    def test_each_event_has_its_own_rate_limit(self, pipe):
        time = clock.ManualClock()
        writer = log_writer.LineWriter(pipe[1], time)
        admitted = [writer.admit('busy') for _ in range(1000)]
        assert admitted.count(None) == 600
        assert writer.admit('other') == 0
        time.advance(1000)
        assert writer.admit('busy') == 600


class TestFailedOutput:
    """Guards against log lines that raise errors into the code that logs them."""

    def test_closed_reader_does_not_raise(self):
        # LOST: the line about dropped lines was dropped itself, without end.
        reader, descriptor = os.pipe()
        writer = log_writer.LineWriter(descriptor, clock.ManualClock())
        os.close(reader)
        for _ in range(3):
            writer.write('line')
        os.close(descriptor)
        assert writer.dropped >= 3

    def test_full_device_does_not_raise(self):
        # FAULT: the process ended at its first line.
        descriptor = os.open('/dev/full', os.O_WRONLY)
        writer = log_writer.LineWriter(descriptor, clock.ManualClock())
        writer.write('line')
        os.close(descriptor)
        assert writer.dropped >= 1

    def test_dropped_lines_are_reported_once_the_output_works_again(self, pipe):
        reader, descriptor = os.pipe()
        writer = log_writer.LineWriter(descriptor, clock.ManualClock())
        os.close(reader)
        writer.write('one')
        writer.write('two')
        os.dup2(pipe[1], descriptor)
        writer.write('three')
        os.close(descriptor)
        assert os.read(pipe[0], 100) == b'three\nevent=log_lines_dropped count=2\n'

    def test_text_that_is_not_unicode_does_not_raise(self, pipe):
        # A path or header may hold bytes that cannot be decoded.
        log_writer.LineWriter(pipe[1], clock.ManualClock()).write('path=\udcff')
        assert b'udcff' in os.read(pipe[0], 100)
