"""Reactor of a node: Twisted's epoll reactor without a log context for each event.

A node handles some hundred small events a second. Entering and leaving a context for each of them
took a tenth of its processor time; no log line of a node names that context.

Each request sets some timers that are cancelled when it ends. Twisted keeps cancelled timers for
some time and wakes up when they would have been due.

The longest turn is kept until somebody asks for it, at the cost of reading the clock twice a turn
and once for each event.
"""

from __future__ import annotations

import errno
import heapq
import math
import time
from typing import Any, NamedTuple

from twisted.internet import epollreactor, main, tcp

_WAIT_WITHOUT_END = -1
_MS_PER_SECOND = 1000.0
_TIMERS = 'timers'


class LongestTurn(NamedTuple):
    """What the reactor was busy with for longest, without looking for new events."""

    turn_ms: float = 0.0
    """Duration of the longest turn in milliseconds."""
    events: int = 0
    """Number of events in that turn."""
    step_ms: float = 0.0
    """Duration of the longest step of any turn: one event, or all timers that were due."""
    step: str = ''
    """What that step was."""


NO_TURN = LongestTurn()


class NodeReactor(epollreactor.EPollReactor):
    """Reactor that handles events without a log context; errors are logged as by Twisted's."""

    # Attributes of the class, since Twisted's constructor may use the reactor already.
    _turn_began_at = math.inf
    _step_began_at = math.inf
    _turn_events = 0
    _longest_turn_s = 0.0
    _longest_turn_events = 0
    _longest_step_s = 0.0
    _longest_step = ''

    def take_longest(self) -> LongestTurn:
        """Return the longest turn since the last call, with the current one as far as it is."""
        is_in_turn = self._turn_began_at < math.inf
        self._end_turn()
        if is_in_turn:
            self._turn_began_at = time.monotonic()
            self._step_began_at = self._turn_began_at
        longest = LongestTurn(
            self._longest_turn_s * _MS_PER_SECOND,
            self._longest_turn_events,
            self._longest_step_s * _MS_PER_SECOND,
            self._longest_step,
        )
        self._longest_turn_s = 0.0
        self._longest_turn_events = 0
        self._longest_step_s = 0.0
        self._longest_step = ''
        return longest

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
        self._end_turn()
        try:
            events = self._poller.poll(seconds, len(self._selectables))
        except OSError as error:
            if error.errno == errno.EINTR:
                return
            raise
        began_at = time.monotonic()
        self._turn_began_at = began_at
        self._turn_events = len(events)
        for descriptor, event in events:
            selectable = self._selectables.get(descriptor)
            # An event before it may have closed the descriptor.
            if selectable is not None:
                self._doReadOrWrite(selectable, descriptor, event)
                ended_at = time.monotonic()
                if ended_at - began_at > self._longest_step_s:
                    self._longest_step_s = ended_at - began_at
                    self._longest_step = _name_of(selectable)
                began_at = ended_at
        self._step_began_at = began_at

    doIteration = doPoll  # noqa: N815

    def _end_turn(self) -> None:
        """Record the turn that has ended with its timers."""
        now = time.monotonic()
        if now - self._step_began_at > self._longest_step_s:
            self._longest_step_s = now - self._step_began_at
            self._longest_step = _TIMERS
        if now - self._turn_began_at > self._longest_turn_s:
            self._longest_turn_s = now - self._turn_began_at
            self._longest_turn_events = self._turn_events
        # The wait that follows may be interrupted, and is part of no turn.
        self._step_began_at = math.inf
        self._turn_began_at = math.inf


def install() -> None:
    """Install the reactor of this process; call this before `twisted.internet.reactor` is used."""
    main.installReactor(NodeReactor())


def take_longest(reactor: Any) -> LongestTurn:
    """Return the longest turn since the last call; see `LongestTurn`.

    Args:
        reactor: Any reactor; others than `NodeReactor` record no turns.
    """
    return reactor.take_longest() if isinstance(reactor, NodeReactor) else NO_TURN


def _name_of(selectable: object) -> str:
    """Return the name of what handles the events of a descriptor."""
    handler = getattr(selectable, 'protocol', None) or selectable
    place = getattr(handler, 'listener', '')
    if isinstance(selectable, tcp.Client):
        host, port = selectable.addr
        place = f'{host}:{port}'
    return f'{type(handler).__name__} {place}'.strip()
