"""Listeners of HTTP/1.1 servers: builds their connections, and closes them gracefully."""

from __future__ import annotations

import array
import contextlib
import itertools
import socket
import struct
from collections.abc import Collection

from twisted.internet import error, interfaces, protocol, tcp
from twisted.python import failure

from anvillug.connection import client_guard, http_exchange, http_server

# Option of Linux, which the module socket doesn't name.
_SO_ATTACH_FILTER = 26
# Classic BPF on the TCP header: drops a segment that opens a connection, keeps all others.
_FILTER = tuple(
    itertools.starmap(
        struct.Struct('HBBI').pack,
        (
            (0x30, 0, 0, 13),  # load the byte of the flags
            (0x54, 0, 0, 0x12),  # keep SYN and ACK of them
            (0x15, 0, 1, 0x2),  # unless only SYN is set, skip one instruction
            (0x6, 0, 0, 0),  # drop
            (0x6, 0, 0, 0xFFFF),  # keep
        ),
    )
)


class ServerFactory(protocol.Factory):
    """Builds server connections and tracks the open ones.

    Args:
        on_request: Called with the exchange of each request.
        max_head_bytes: Maximum size of a request head in bytes.
        may_overlap: Tells which requests may be processed while those before them on their
            connection are unanswered; without it, none may.
        answers_half_closed: Whether a client that closes its end may still await responses;
            otherwise it has left.
        guard: Limits of the clients; without it, only the size of heads is limited.
    """

    noisy = False

    def __init__(
        self,
        on_request: http_exchange.RequestStarted,
        max_head_bytes: int = http_server.MAX_HEAD_BYTES,
        may_overlap: http_server.MayOverlap | None = None,
        *,
        answers_half_closed: bool = True,
        guard: client_guard.ClientGuard | None = None,
    ) -> None:
        self.max_head_bytes = max_head_bytes
        """Maximum size of a request head in bytes on connections to come."""
        self._guard = guard
        self.request_count = 0
        """Number of requests that have begun."""
        self._on_request = on_request
        self._may_overlap = may_overlap
        self._answers_half_closed = answers_half_closed
        self._open_connections: set[http_server.ServerConnection] = set()
        self._closes_after_responses = False

    def buildProtocol(self, addr: object) -> http_server.ServerConnection | None:  # noqa: N802
        """Return the protocol of a new connection, None to close it; see Twisted."""
        if self._guard is not None and not self._guard.has_room(self._open_connections):
            return None
        connection = http_server.ServerConnection(
            self._begin_request,
            self.max_head_bytes,
            self._open_connections,
            self._may_overlap,
            answers_half_closed=self._answers_half_closed,
            account=None if self._guard is None else self._guard.account,
            listener='' if self._guard is None else self._guard.listener,
        )
        if self._closes_after_responses:
            connection.close_after_responses()
        return connection

    @property
    def open_count(self) -> int:
        """Number of connections whose clients may await something or send a request."""
        return sum(not connection.is_over for connection in self._open_connections)

    @property
    def connections(self) -> Collection[http_server.ServerConnection]:
        """Open connections."""
        return self._open_connections

    @property
    def busy_count(self) -> int:
        """Number of connections with a request in progress or unsent bytes."""
        return sum(connection.is_busy for connection in self._open_connections)

    def close_after_responses(self) -> None:
        """Close each connection, also those to come, after its current or next responses."""
        self._closes_after_responses = True
        for connection in self._open_connections:
            connection.close_after_responses()

    def close_when_idle(self) -> None:
        """Close each connection now, or after its current responses."""
        self._closes_after_responses = True
        for connection in tuple(self._open_connections):
            connection.close_when_idle()

    def check_clients(self) -> None:
        """Apply the time limits to the open connections."""
        if self._guard is not None:
            self._guard.check(self._open_connections)

    # Private

    def _begin_request(self, exchange: http_exchange.ServerExchange) -> None:
        self.request_count += 1
        self._on_request(exchange)


def stop_listening(port: interfaces.IListeningPort) -> None:
    """Stop accepting connections, after accepting those that wait in the listen queue."""
    if isinstance(port, tcp.Port):
        port.stopReading()
        _refuse_handshakes(port)
        _accept_all(port)
        # Twisted would close the socket in a later turn of the reactor.
        port.connectionLost(failure.Failure(error.ConnectionDone()))
    else:
        port.stopListening()


def _refuse_handshakes(port: tcp.Port) -> None:
    """Drop the first segments of further connections, which would be reset after the last accept.

    Their callers repeat them after a second, and are refused then. Some systems have no filters.
    """
    program = array.array('B', b''.join(_FILTER))
    address, size = program.buffer_info()
    with contextlib.suppress(OSError):
        port.socket.setsockopt(
            socket.SOL_SOCKET,
            _SO_ATTACH_FILTER,
            struct.pack('HP', size // len(_FILTER[0]), address),
        )


def _accept_all(port: tcp.Port) -> None:
    # One pass accepts only as many connections as Twisted expects.
    accepted = -1
    while accepted < port.sessionno:
        accepted = port.sessionno
        port.doRead()
