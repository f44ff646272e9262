"""Closes a TCP connection once its peer has received all that was sent.

If the peer sends anything after the close, the kernel resets the connection and discards what the
peer has not received yet, such as the end of a response.
"""

from __future__ import annotations

import fcntl
import sys
import termios

from twisted.internet import tcp

from anvillug.connection import write_batch

_CHECK_S = 0.01
# Without progress for this long, the peer is gone or doesn't read.
_MAX_STALL_S = 2.0
_COUNT_BYTES = 4


class LateClose:
    """Close of one connection.

    Args:
        transport: Connection; nothing more is read from it.
    """

    def __init__(self, transport: tcp.Connection) -> None:
        self._transport = transport
        self._unreceived_bytes = -1
        self._progress_at_s = 0.0
        transport.pauseProducing()

    def check(self) -> None:
        """Close the connection, or check again later."""
        transport = self._transport
        if not transport.connected:
            return
        if self._may_close():
            transport.loseConnection()
        else:
            transport.reactor.callLater(_CHECK_S, self.check)

    def _may_close(self) -> bool:
        if write_batch.has_unsent_bytes(self._transport):
            # The transport notices by itself if the peer is gone.
            return False
        unreceived_bytes = _unreceived_bytes(self._transport)
        now_s = self._transport.reactor.seconds()
        if unreceived_bytes != self._unreceived_bytes:
            self._unreceived_bytes = unreceived_bytes
            self._progress_at_s = now_s
        return not unreceived_bytes or now_s - self._progress_at_s > _MAX_STALL_S


def _unreceived_bytes(transport: tcp.Connection) -> int:
    """Return how many bytes the peer has not acknowledged, 0 if the system doesn't tell."""
    try:
        count = fcntl.ioctl(transport.fileno(), termios.TIOCOUTQ, bytes(_COUNT_BYTES))
    except OSError:
        return 0
    return int.from_bytes(count, sys.byteorder)
