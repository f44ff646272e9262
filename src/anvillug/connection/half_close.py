"""Clients that have closed their end of a connection before they were answered.

The end of the stream is the same whether a client reads on or has left. One that has left resets
the connection as soon as something is sent to it: the response, or, if that takes long, an interim
response, which any other client of HTTP/1.1 ignores.
"""

from __future__ import annotations

import enum
import socket
from collections.abc import Callable
from typing import Protocol as Interface

from twisted.internet import interfaces, tcp

from anvillug import event_log

_PAUSED_CHECK_S = 0.1
# Most responses are complete by then. Later on the client may leave as well, without a further
# segment that would tell, so that the probe is repeated, with pauses that grow. Some clients fail
# on more interim responses than these.
_PROBE_AFTER_S = 0.25
_MAX_PROBES = 5
# A reset is looked for at this interval, for so long after a probe: the client may be far away or
# behind a relay.
_RESET_CHECK_S = 0.05
_MAX_RESET_S = 0.2
# Requests of a client that has left are cancelled within half a second.
_GIVE_UP_AFTER_S = 0.4
# States of Linux, which the module socket doesn't name: reset, and closed by the peer only.
_TCP_CLOSE = 7
_TCP_CLOSE_WAIT = 8


class Verdict(enum.Enum):
    """What is known of a client that has closed its end."""

    PROBED = 'probed'
    """It would have been reset if it has left."""
    LEFT = 'left'
    """It has left."""
    UNKNOWN = 'unknown'
    """It has not been sent anything that would tell."""


class HalfClose:
    """Watch of one connection whose client has closed its end.

    Args:
        transport: Connection.
        number: Number of the connection, for the log.
        probe: Sends an interim response; returns False if the client must not be sent one.
        on_left: Called if the client has left.
        on_unknown: Called if the client can't be probed and has not been answered for some time.
    """

    def __init__(
        self,
        transport: tcp.Connection,
        number: int,
        probe: Callable[[], bool],
        on_left: Callable[[], None],
        on_unknown: Callable[[], None],
    ) -> None:
        self._transport = transport
        self._number = number
        self._probe = probe
        self._on_left = on_left
        self._on_unknown = on_unknown
        self._began_at_s = transport.reactor.seconds()
        self._sent_at_s = self._began_at_s
        self._probe_after_s = _PROBE_AFTER_S
        self._probes = 0
        self._next_check: interfaces.IDelayedCall | None = None

    def begin(self) -> None:
        """Begin to watch."""
        self._check_after(_PROBE_AFTER_S)

    def bytes_sent(self) -> None:
        """Note that bytes were sent, which meet a reset if the client has left."""
        self._sent_at_s = self._transport.reactor.seconds()

    def end(self) -> None:
        """End the watch, since the connection is closed or will be."""
        if self._next_check is not None and self._next_check.active():
            self._next_check.cancel()

    # Private

    def _check_after(self, delay_s: float) -> None:
        self._next_check = self._transport.reactor.callLater(delay_s, self._check)

    def _check(self) -> None:
        """Take the next step of the watch."""
        # A check that has run still refers to the watch, and would be freed only by the collector.
        self._next_check = None
        silent_s = self._transport.reactor.seconds() - self._sent_at_s
        if _tcp_state(self._transport.socket) == _TCP_CLOSE:
            self._decide(Verdict.LEFT, self._on_left)
        elif silent_s < self._probe_after_s:
            may_be_reset = self._probes and silent_s < _MAX_RESET_S
            pause_s = _RESET_CHECK_S if may_be_reset else self._probe_after_s - silent_s
            self._check_after(pause_s)
        elif self._probes < _MAX_PROBES:
            self._probe_or_give_up(silent_s)

    def _probe_or_give_up(self, silent_s: float) -> None:
        """Send a probe, or wait for the time after which the client is not awaited any more."""
        if self._probe():
            self._count_probe()
            self._check_after(_RESET_CHECK_S)
        elif silent_s < _GIVE_UP_AFTER_S:
            self._check_after(_GIVE_UP_AFTER_S - silent_s)
        else:
            self._decide(Verdict.UNKNOWN, self._on_unknown)

    def _count_probe(self) -> None:
        self.bytes_sent()
        self._probes += 1
        if self._probes == 1:
            self._log(Verdict.PROBED)
        else:
            self._probe_after_s *= 2

    def _decide(self, verdict: Verdict, act: Callable[[], None]) -> None:
        self._log(verdict)
        act()

    def _log(self, verdict: Verdict) -> None:
        waited_s = self._transport.reactor.seconds() - self._began_at_s
        event_log.emit(
            'caller_closed_its_end',
            connection=self._number,
            verdict=verdict.value,
            waited_ms=int(waited_s * 1000),
        )


class Watched(Interface):
    """Connection that is not read; see `PausedWatch`."""

    def readConnectionLost(self) -> None:  # noqa: N802
        """Note that the client has closed its end, and everything before it is read."""

    def end_unread(self) -> None:
        """Note that the client has closed its end; called again and again until all is read."""

    def abort(self) -> None:
        """Close the connection, which the client has reset."""


class PausedWatch:
    """Notices the end of the stream, or a reset, of a connection that is not read.

    The reactor reports them only for connections that it reads.
    """

    def __init__(self) -> None:
        self._next_check: interfaces.IDelayedCall | None = None

    def begin(self, transport: tcp.Connection, watched: Watched) -> None:
        """Watch the connection until `end`, unless it is watched."""
        if self._next_check is None:
            self._next_check = transport.reactor.callLater(
                _PAUSED_CHECK_S, self._check, transport, watched
            )

    def end(self) -> None:
        """End the watch, since the connection is read or closed."""
        if self._next_check is not None:
            self._next_check.cancel()
            self._next_check = None

    def _check(self, transport: tcp.Connection, watched: Watched) -> None:
        self._next_check = None
        state = _tcp_state(transport.socket)
        if state == _TCP_CLOSE:
            watched.abort()
        elif state == _TCP_CLOSE_WAIT and _is_read(transport.socket):
            watched.readConnectionLost()
        else:
            self.begin(transport, watched)
            if state == _TCP_CLOSE_WAIT:
                watched.end_unread()


def is_reset(transport: object) -> bool:
    """Return whether a TCP connection was reset, also if its error was read; False for others."""
    return isinstance(transport, tcp.Connection) and _tcp_state(transport.socket) == _TCP_CLOSE


def is_closed_by_peer(transport: object) -> bool:
    """Return whether the peer of a TCP connection has closed its end; False for others."""
    return isinstance(transport, tcp.Connection) and _tcp_state(transport.socket) in {
        _TCP_CLOSE,
        _TCP_CLOSE_WAIT,
    }


def _tcp_state(connection: socket.socket) -> int:
    """Return the state of a connection, also after its error was read or before its bytes are."""
    try:
        return connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
    except OSError:
        return _TCP_CLOSE


def _is_read(connection: socket.socket) -> bool:
    """Return whether all received bytes are read, or the connection has failed."""
    try:
        return not connection.recv(1, socket.MSG_PEEK)
    except OSError:
        return True
