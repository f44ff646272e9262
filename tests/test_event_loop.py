"""Reactor of a node."""

from __future__ import annotations

import pytest

from anvillug.process import event_loop


class TestCancelledTimers:
    """Guards against turns of the reactor for timers that were cancelled."""

    @pytest.fixture
    def reactor(self):
        reactor = event_loop.NodeReactor()
        yield reactor
        reactor.removeAll()
        reactor._poller.close()  # noqa: SLF001

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
