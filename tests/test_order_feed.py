"""Tests of the calls that a node makes to the operator's topic."""

from __future__ import annotations

import random

import pytest
from twisted.internet import task

from anvillug.connection import keyed_log
from anvillug.process import order_feed
from anvillug.version import directives

_POSITION = directives.Position(1, 1)


class _Log:
    """Log without new records, which may be down."""

    def __init__(self, reactor: task.Clock) -> None:
        self.is_up = True
        self.calls = 0
        self.waits_ms: list[int] = []
        self._reactor = reactor

    async def newest(self, topic: str) -> keyed_log.Batch:
        self.waits_ms.append(0)
        return await self._respond(0)

    async def read(self, topic: str, offset: int, wait_ms: int) -> keyed_log.Batch:
        self.waits_ms.append(wait_ms)
        return await self._respond(wait_ms / 1000)

    async def _respond(self, wait_s: float) -> keyed_log.Batch:
        self.calls += 1
        await task.deferLater(self._reactor, 0.005 + (wait_s if self.is_up else 0))
        if not self.is_up:
            raise keyed_log.LogUnavailableError('down')
        return keyed_log.Batch((), _POSITION)


class _FeedSetup:
    """A feed whose duties the tests set."""

    def __init__(self) -> None:
        self.reactor = task.Clock()
        self.log = _Log(self.reactor)
        self.has_duty = False
        self.may_retry = False
        self.feed = order_feed.OrderFeed(
            self.reactor,
            self.log,
            'orders',
            directives.ActiveDirectives(
                lambda records, position, previous: directives.Directives(position)
            ),
            random.Random(1),
            lambda: self.has_duty,
            lambda: self.may_retry,
            lambda: None,
            self._reach_changed,
        )
        self.reach_error: Exception | None = None
        self.failures: list[object] = []
        self.following = self.feed.start().addErrback(self.failures.append)
        self.calls_in(1_000)

    def calls_in(self, duration_ms: int) -> int:
        """Return the number of calls in a time."""
        before = self.log.calls
        for _ in range(duration_ms // 5):
            self.reactor.advance(0.005)
        return self.log.calls - before

    def _reach_changed(self) -> None:
        if self.reach_error is not None:
            raise self.reach_error


@pytest.fixture
def feed_setup():
    """Return a feed that has read the newest records."""
    return _FeedSetup()


class TestCalls:
    """Guards against calls to the log that grow with the number of nodes."""

    def test_node_without_duty_makes_none(self, feed_setup):
        assert feed_setup.calls_in(30_000) == 0

    def test_follower_polls(self, feed_setup):
        feed_setup.has_duty = True
        assert feed_setup.calls_in(30_000) == pytest.approx(25, abs=4)

    # A change would wait for the end of the poll if the store is silent to this node as well.
    def test_new_follower_does_not_wait_at_first(self, feed_setup):
        feed_setup.has_duty = True
        feed_setup.calls_in(2_000)
        first, second = feed_setup.log.waits_ms[1:3]
        assert first == 0
        assert second >= 900

    def test_node_with_a_turn_tries_again_soon(self, feed_setup):
        feed_setup.has_duty = True
        feed_setup.may_retry = True
        feed_setup.log.is_up = False
        feed_setup.calls_in(3_000)
        assert feed_setup.calls_in(30_000) >= 45

    def test_node_without_a_turn_tries_seldom_while_the_log_is_down(self, feed_setup):
        feed_setup.has_duty = True
        feed_setup.log.is_up = False
        feed_setup.calls_in(3_000)
        assert not feed_setup.feed.reaches_log
        assert feed_setup.calls_in(30_000) <= 11

    def test_return_of_the_log_is_noticed_without_a_turn(self, feed_setup):
        feed_setup.has_duty = True
        feed_setup.log.is_up = False
        feed_setup.calls_in(3_000)
        feed_setup.log.is_up = True
        feed_setup.calls_in(4_000)
        assert feed_setup.feed.reaches_log

    def test_new_turn_is_taken_at_once(self, feed_setup):
        feed_setup.has_duty = True
        feed_setup.log.is_up = False
        feed_setup.calls_in(3_000)
        feed_setup.log.is_up = True
        feed_setup.may_retry = True
        feed_setup.calls_in(1_000)
        assert feed_setup.feed.reaches_log


class TestFailures:
    """Guards against a feed that ends for good, or with an error, while it handles a failure."""

    # FAULT: an error of the beacon that announces the lost store ended the feed.
    def test_error_while_a_failure_is_handled_does_not_end_it(self, feed_setup):
        feed_setup.has_duty = True
        feed_setup.may_retry = True
        feed_setup.reach_error = ValueError('beacon')
        feed_setup.log.is_up = False
        feed_setup.calls_in(3_000)
        feed_setup.log.is_up = True
        feed_setup.calls_in(1_000)
        assert feed_setup.feed.reaches_log
        assert not feed_setup.failures

    # An "Unhandled error in Deferred" was printed at the end of test runs.
    def test_cancel_while_it_backs_off_is_no_error(self, feed_setup):
        feed_setup.has_duty = True
        feed_setup.log.is_up = False
        while feed_setup.feed.reaches_log:
            feed_setup.calls_in(5)
        feed_setup.following.cancel()
        assert not feed_setup.failures
        assert feed_setup.calls_in(5_000) == 0
