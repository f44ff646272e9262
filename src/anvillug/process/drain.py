"""Graceful stop: waits until no call is in progress and all responses have been sent."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet import interfaces

from anvillug import clock, event_log

CHECK_INTERVAL_S = 0.1
"""Interval between checks in seconds."""
SEND_TIMEOUT_MS = 30_000.0
"""Time for sending the remaining bytes of responses after the last call has ended. At most a few
hundred KB remain of a response, which even slow callers receive within 30 s."""


class Drain:
    """Waits until the process of a stopping node may end.

    Args:
        reactor: Source of timers.
        time: Clock.
        calls: Returns the number of calls in progress. There is no timeout for them, since each
            call has its own progress timeout.
        connections: Returns the number of connections with a request or unsent bytes.
        drained: Called once when the process may end.
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
        self._calls_ended_at: clock.Milliseconds | None = None

    def check(self) -> None:
        """Call `drained` if the process may end; otherwise check again later."""
        if self._is_done():
            self._drained()
        else:
            self._reactor.callLater(CHECK_INTERVAL_S, self.check)

    def _is_done(self) -> bool:
        if self._calls():
            self._calls_ended_at = None
            return False
        now = self._clock.now()
        if self._calls_ended_at is None:
            self._calls_ended_at = now
        busy = self._connections()
        if busy and now - self._calls_ended_at >= SEND_TIMEOUT_MS:
            event_log.warn('answers_not_sent', connections=busy)
            return True
        return not busy
