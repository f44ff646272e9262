"""Tells how long received data had waited before this process read it.

A process that gets the processor late reads late. What it measures of its peers then contains its
own delay.
"""

from __future__ import annotations

import socket
import struct
import time

from twisted.internet import interfaces, tcp

# Linux; the module time doesn't name it. Its resolution is the unit of the kernel's times.
_COARSE_CLOCK_ID = 6
_MS_PER_S = 1000
# Place of `tcpi_last_data_recv`, in milliseconds, in `struct tcp_info`.
_LAST_RECEIVED = struct.Struct('52xI')


def waited_ms(transport: interfaces.ITransport) -> float:
    """Return how long the newest data had waited at least, 0 if the system doesn't tell.

    Args:
        transport: Connection whose data has just been read.
    """
    if not isinstance(transport, tcp.Connection):
        return 0
    try:
        info = transport.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _LAST_RECEIVED.size)
        unit_ms = _MS_PER_S * time.clock_getres(_COARSE_CLOCK_ID)
    except OSError:
        return 0
    # The kernel counts the begun units.
    return max(0.0, _LAST_RECEIVED.unpack(info)[0] - unit_ms)
