"""Reactor of a node."""

from __future__ import annotations

import os
import time

import pytest
from twisted.internet import abstract

from anvillug.process import event_loop

_LONG_S = 0.05


@pytest.fixture
def reactor():
    """Return a reactor that does not run."""
    reactor = event_loop.NodeReactor()
    yield reactor
    reactor.removeAll()
    reactor._poller.close()  # noqa: SLF001


class TestCancelledTimers:
    """Guards against turns of the reactor for timers that were cancelled."""

    def test_next_timer_is_awaited(self, reactor):
        cancelled = [reactor.callLater(0.1, list) for _ in range(3)]
        reactor.callLater(60, list)
        assert reactor.timeout() < 1
        for timer in cancelled:
            timer.cancel()
        assert reactor.timeout() > 50

    def test_no_timer_is_left(self, reactor):
        reactor.callLater(0.1, list).cancel()
        assert reactor.timeout() is None
        timer = reactor.callLater(0.1, list)
        reactor.timeout()
        timer.cancel()
        assert (reactor.timeout(), reactor._cancellations) == (None, 0)  # noqa: SLF001


class _Reader(abstract.FileDescriptor):
    """Reader that takes long for each event."""

    listener = 'callers'

    def __init__(self, reactor: event_loop.NodeReactor, descriptor: int) -> None:
        super().__init__(reactor)
        self._descriptor = descriptor

    def fileno(self) -> int:
        return self._descriptor

    def doRead(self) -> None:  # noqa: N802
        os.read(self._descriptor, 1)
        time.sleep(_LONG_S)


class TestLongestTurn:
    """Guards against stand-stills of a process that nothing tells the cause of."""

    @pytest.fixture
    def turn(self, reactor):
        # The first turn handles what belongs to the start.
        reactor.iterate(0)
        reactor.take_longest()
        return lambda: reactor.iterate(0)

    def test_event_that_took_long_is_named(self, reactor, turn):
        reading, writing = os.pipe()
        reactor.addReader(_Reader(reactor, reading))
        os.write(writing, b'a')
        turn()
        turn()
        longest = reactor.take_longest()
        reactor.removeAll()
        os.close(reading)
        os.close(writing)
        assert (longest.step, longest.events) == ('_Reader callers', 1)
        assert _LONG_S * 900 <= longest.step_ms <= longest.turn_ms

    def test_timers_that_took_long_are_named(self, reactor, turn):
        turn()
        reactor.callLater(0, time.sleep, _LONG_S)
        turn()
        turn()
        longest = reactor.take_longest()
        assert longest.step == 'timers'
        assert _LONG_S * 900 <= longest.step_ms <= longest.turn_ms

    def test_timer_that_asks_sees_the_turn_that_it_is_part_of(self, reactor, turn):
        seen = []
        turn()
        reactor.callLater(0, time.sleep, _LONG_S)
        reactor.callLater(0, lambda: seen.append(reactor.take_longest()))
        turn()
        turn()
        assert seen[0].turn_ms >= _LONG_S * 900
        assert reactor.take_longest().turn_ms < _LONG_S * 900

    def test_wait_is_no_turn(self, reactor, turn):
        reactor.callLater(_LONG_S, list)
        reactor.iterate(2 * _LONG_S)
        turn()
        assert reactor.take_longest().turn_ms < _LONG_S * 900

    def test_other_reactors_tell_nothing(self):
        assert event_loop.take_longest(object()) is event_loop.NO_TURN
