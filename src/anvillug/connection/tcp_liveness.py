"""Detects TCP connections on which nothing arrives any more, although they were not closed.

A connection that waits for a response of the peer sends nothing, so only keep-alive probes of its
own show that the path is gone.
"""

from __future__ import annotations

import socket

from twisted.internet import interfaces

# Keep-alive probes are sent on a connection that has received nothing for this long.
_IDLE_S = 1
# A probe without a response for this long closes the connection: a new one costs less than a
# missed message.
_PROBE_TIMEOUT_S = 1
_MAX_PROBES = 1
SILENCE_LIMIT_MS = 2000
"""Time in milliseconds after which a connection without any sign of the peer is closed."""

_TCP_OPTIONS = (
    (socket.TCP_KEEPIDLE, _IDLE_S),
    (socket.TCP_KEEPINTVL, _PROBE_TIMEOUT_S),
    (socket.TCP_KEEPCNT, _MAX_PROBES),
    # For data that was sent and not acknowledged: no probes are sent then.
    (socket.TCP_USER_TIMEOUT, SILENCE_LIMIT_MS),
)


def detect_silence(transport: interfaces.ITCPTransport) -> None:
    """Make the kernel close a connection after `SILENCE_LIMIT_MS` without a sign of the peer."""
    transport.setTcpKeepAlive(enabled=True)
    handle = transport.getHandle()
    for option, setting in _TCP_OPTIONS:
        handle.setsockopt(socket.IPPROTO_TCP, option, setting)
