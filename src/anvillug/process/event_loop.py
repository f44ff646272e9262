"""Reactor of a node: Twisted's epoll reactor without a log context for each event.

A node handles some hundred small events a second. Entering and leaving a context for each of them
took a tenth of its processor time; no log line of a node names that context.

Each request sets some timers that are cancelled when it ends. Twisted keeps cancelled timers for
some time and wakes up when they would have been due.
"""

from __future__ import annotations

import errno
import heapq

from twisted.internet import epollreactor, main

_WAIT_WITHOUT_END = -1


class NodeReactor(epollreactor.EPollReactor):
    """Reactor that handles events without a log context; errors are logged as by Twisted's."""

    def timeout(self) -> float | None:
        """Return the time in seconds until the next timer that is not cancelled; see Twisted."""
        self._insertNewDelayedCalls()
        timers = self._pendingTimedCalls
        while timers and timers[0].cancelled:
            heapq.heappop(timers)
            self._cancellations -= 1
        return super().timeout()

    def doPoll(self, timeout: float | None) -> None:  # noqa: N802
        """Wait for events and handle them; see Twisted.

        Args:
            timeout: Maximum time to wait in seconds, None for no limit.
        """
        seconds = _WAIT_WITHOUT_END if timeout is None else timeout
        try:
            events = self._poller.poll(seconds, len(self._selectables))
        except OSError as error:
            if error.errno == errno.EINTR:
                return
            raise
        for descriptor, event in events:
            selectable = self._selectables.get(descriptor)
            # An event before it may have closed the descriptor.
            if selectable is not None:
                self._doReadOrWrite(selectable, descriptor, event)

    doIteration = doPoll  # noqa: N815


def install() -> None:
    """Install the reactor of this process; call this before `twisted.internet.reactor` is used."""
    main.installReactor(NodeReactor())
