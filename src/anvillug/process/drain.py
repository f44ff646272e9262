"""Waits at a stop until no request is left and the last answers have been sent."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet import interfaces

from anvillug import clock, event_log

CHECK_S = 0.1
"""Seconds between two looks."""
SEND_LIMIT_MS = 30_000.0
"""A caller that takes no byte for 30 s is given up; the rest of an answer is at most a few
hundred KB, so that even slow callers take it in this time."""


class Drain:
    """Tells when a node that is stopping may end.

    Args:
        reactor: Timers.
        time: Clock.
        calls: Returns the number of calls in progress; waited for without limit,
            since each call has its own limit on progress.
        connections: Returns the number of connections with a request or unsent bytes.
        drained: Called once when nothing is left.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        time: clock.Clock,
        calls: Callable[[], int],
        connections: Callable[[], int],
        drained: Callable[[], None],
    ) -> None:
        self._reactor = reactor
        self._clock = time
        self._calls = calls
        self._connections = connections
        self._drained = drained
        self._without_calls_since: clock.Milliseconds | None = None

    def check(self) -> None:
        """Look, and look again later unless nothing is left."""
        if self._is_done():
            self._drained()
        else:
            self._reactor.callLater(CHECK_S, self.check)

    def _is_done(self) -> bool:
        if self._calls():
            self._without_calls_since = None
            return False
        now = self._clock.now()
        if self._without_calls_since is None:
            self._without_calls_since = now
        busy = self._connections()
        if busy and now - self._without_calls_since >= SEND_LIMIT_MS:
            event_log.warn('answers_not_sent', connections=busy)
            return True
        return not busy
