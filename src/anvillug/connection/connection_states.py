"""Number of connections by what they wait for, for the log and the metrics."""

from __future__ import annotations

import array
import collections
import contextlib
import fcntl
import termios
from collections.abc import Iterable
from typing import Protocol as Interface

from twisted.internet import tcp

from anvillug.connection import client_limits, half_close

CLOSING = 'closing'
"""Mark of a connection that closes, whatever else it waits for."""
PEER_CLOSED = 'peer_closed'
"""State of a connection whose peer has reset it or closed its end, whether this was read or not."""


class Observed(Interface):
    """Connection of a client."""

    transport: object
    """Its transport."""

    def waits_for(self) -> tuple[client_limits.Waiting, int]:
        """Return what the connection waits for; see `client_limits.Client`."""

    def marks(self) -> tuple[str, ...]:
        """Return `CLOSING`, and what else is known of the connection beside what it waits for."""


def count(connections: Iterable[Observed]) -> dict[str, int]:
    """Return the number of connections by state.

    Each one is counted once as `CLOSING` or by what it waits for, and once for each of its other
    marks and for `PEER_CLOSED`.
    """
    counts: collections.Counter[str] = collections.Counter()
    for connection in connections:
        marks = connection.marks()
        if CLOSING not in marks:
            counts[connection.waits_for()[0].value] += 1
        for mark in marks:
            counts[mark] += 1
        if half_close.is_closed_by_peer(connection.transport):
            counts[PEER_CLOSED] += 1
    return dict(counts)


def received_bytes(connections: Iterable[Observed]) -> int:
    """Return how many bytes the system has received for connections that are not read."""
    return sum(
        _received_bytes(connection.transport)
        for connection in connections
        if 'paused' in connection.marks()
    )


def text(counts: dict[str, int]) -> str:
    """Return the numbers above 0 as one value of a log line."""
    return ','.join(f'{state}:{number}' for state, number in counts.items() if number)


def _received_bytes(transport: object) -> int:
    if not isinstance(transport, tcp.Connection):
        return 0
    size = array.array('i', [0])
    with contextlib.suppress(OSError):
        fcntl.ioctl(transport.socket, termios.FIONREAD, size)
    return size[0]
