"""Close of the connections of callers when a node stops.

Callers are served as usual until they have left. Then each connection closes after the response
that announces it, so that a caller that uses its connection all the same loses one request at most.
"""

from __future__ import annotations

import enum
from collections.abc import Callable

from twisted.internet import interfaces

from anvillug import clock, event_log
from anvillug.connection import http_listener

# Within two seconds callers detect by the readiness check that the node is not ready, and stop
# sending requests to it.
_MIN_SERVE_MS = 2300.0
# Callers that have sent no request and awaited no response for this long are taken to have left, or
# to use their connections too seldom to wait for them.
_QUIET_MS = 1000.0
# A check that comes later counts as if it came after this time: while this process stood still, its
# callers on the same host may have done so too.
_MAX_QUIET_STEP_MS = 100.0


class Phase(enum.Enum):
    """What a stopping node does with the requests of callers."""

    SERVING = 'serving'
    """It serves them as usual, while callers detect that it is not ready."""
    CLOSING = 'closing'
    """It accepts no connection, and each closes after its next response."""
    CLOSED = 'closed'
    """It closes the connections that are idle."""


class CallerClose:
    """Close of the connections of callers of one node.

    Args:
        time: Clock.
        callers: Connections of callers.
        is_busy: Returns whether callers await something.
    """

    def __init__(
        self,
        time: clock.Clock,
        callers: http_listener.ServerFactory,
        is_busy: Callable[[], bool],
    ) -> None:
        self.port: interfaces.IListeningPort | None = None
        """Listener of callers."""
        self.phase = Phase.SERVING
        """What is done with the requests of callers."""
        self._clock = time
        self._callers = callers
        self._is_busy = is_busy
        self._began_at = clock.Milliseconds(0)
        self._request_count = 0
        self._checked_at = clock.Milliseconds(0)
        # For how long callers have sent nothing and awaited nothing.
        self._quiet_ms = 0.0

    @property
    def stopped_for_ms(self) -> float:
        """Time since the begin of the stop in milliseconds."""
        return self._clock.now() - self._began_at

    def begin(self) -> None:
        """Begin to wait until callers have left."""
        self._began_at = self._clock.now()
        self._checked_at = self._began_at
        self._quiet_ms = 0

    def check(self, *, must_close: bool, must_end: bool) -> None:
        """Take the next step if the last one is complete; call this every 100 ms or more often.

        Args:
            must_close: Whether connections close although callers have not left.
            must_end: Whether connections that are idle close although callers use them.
        """
        self._update_quiet_time()
        is_quiet = self._is_quiet()
        if self.phase is Phase.SERVING:
            may_close = self.stopped_for_ms >= _MIN_SERVE_MS and is_quiet
            if must_close or may_close:
                self._begin_closing(must_close=must_close)
        elif must_end or is_quiet or not self._callers.open_count:
            self.phase = Phase.CLOSED
        if self.phase is Phase.CLOSED:
            self._callers.close_when_idle()

    # Private

    def _update_quiet_time(self) -> None:
        now = self._clock.now()
        step_ms = min(now - self._checked_at, _MAX_QUIET_STEP_MS)
        self._checked_at = now
        request_count = self._callers.request_count
        if request_count != self._request_count or self._callers.busy_count:
            self._quiet_ms = 0
        else:
            self._quiet_ms += step_ms
        self._request_count = request_count

    def _is_quiet(self) -> bool:
        """Return whether callers have sent nothing for a while and await nothing."""
        return self._quiet_ms >= _QUIET_MS and not self._is_busy()

    def _begin_closing(self, *, must_close: bool) -> None:
        """Accept no more connections, and announce the close of the others."""
        self.phase = Phase.CLOSING
        if self.port is not None:
            http_listener.stop_listening(self.port)
        self._callers.close_after_responses()
        event_log.emit(
            'node_closing',
            connections=self._callers.open_count,
            must_close=must_close,
            quiet_ms=int(self._quiet_ms),
        )
