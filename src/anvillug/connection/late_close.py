"""Closes a TCP connection without losing what was sent on it.

The end of the stream is sent behind the last byte, so that the peer sees it no later than the
response. Reading goes on until the peer has closed: if data arrives at a closed socket, the kernel
resets the connection and the peer may lose the end of a response.
"""

from __future__ import annotations

import contextlib
import fcntl
import socket
import sys
import termios

from twisted.internet import tcp

from anvillug.connection import write_batch

_CHECK_S = 0.01
_OPEN_CHECK_S = 0.25
# Without progress for this long, the peer is gone or doesn't read.
_MAX_STALL_S = 2.0
# A peer that has received everything may leave its end open, until it uses the connection again.
_MAX_OPEN_S = 5.0
_COUNT_BYTES = 4


class LateClose:
    """Close of one connection; its protocol has to discard what is still received.

    Args:
        transport: Connection; nothing more is written to it.
    """

    def __init__(self, transport: tcp.Connection) -> None:
        self.is_received = False
        """Whether the peer has received everything, or is gone."""
        self._transport = transport
        self._unreceived_bytes = -1
        self._progress_at_s = transport.reactor.seconds()

    def begin(self) -> None:
        """Send the end of the stream, and close the connection later."""
        if write_batch.has_unsent_bytes(self._transport):
            # The last bytes and the end of the stream go out together. Otherwise the peer may see
            # the one long before the other, if this process is suspended between them.
            with contextlib.suppress(OSError):
                self._transport.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_CORK, 1)
            self._transport.loseWriteConnection()
        else:
            # Otherwise the end of the stream would be sent by a later turn of the reactor.
            with contextlib.suppress(OSError):
                self._transport.socket.shutdown(socket.SHUT_WR)
        self._transport.resumeProducing()
        self._check()

    # Private

    def _check(self) -> None:
        """Close the connection, or check again later."""
        transport = self._transport
        if not transport.connected:
            self.is_received = True
            return
        self._update()
        idle_s = transport.reactor.seconds() - self._progress_at_s
        if idle_s > (_MAX_OPEN_S if self.is_received else _MAX_STALL_S):
            self.is_received = True
            transport.loseConnection()
        else:
            check_s = _OPEN_CHECK_S if self.is_received else _CHECK_S
            transport.reactor.callLater(check_s, self._check)

    def _update(self) -> None:
        """Record how much the peer has received."""
        if write_batch.has_unsent_bytes(self._transport):
            # The transport notices by itself if the peer is gone.
            self._progress_at_s = self._transport.reactor.seconds()
            return
        unreceived_bytes = _unreceived_bytes(self._transport)
        if unreceived_bytes != self._unreceived_bytes:
            self._unreceived_bytes = unreceived_bytes
            self._progress_at_s = self._transport.reactor.seconds()
        self.is_received = not unreceived_bytes


def _unreceived_bytes(transport: tcp.Connection) -> int:
    """Return how many bytes the peer has not acknowledged, 0 if the system doesn't tell."""
    try:
        count = fcntl.ioctl(transport.fileno(), termios.TIOCOUTQ, bytes(_COUNT_BYTES))
    except OSError:
        return 0
    return int.from_bytes(count, sys.byteorder)
