"""Lets processes listen on the local ports of outgoing connections.

Without the option, no process can listen on the port while the connection is open.
"""

from __future__ import annotations

import socket
from typing import Any

from twisted.internet import tcp


def allow_listeners(transport: Any) -> None:
    """Let processes listen on the local port of an outgoing connection.

    Args:
        transport: Transport of the connection; one that is not a socket is left as it is.
    """
    if isinstance(transport, tcp.Connection):
        transport.getHandle().setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
