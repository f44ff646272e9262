"""Limits on the time that clients take, and on the number of their connections."""

from __future__ import annotations

import dataclasses
import enum
import math
from collections.abc import Collection, Iterable
from typing import NamedTuple
from typing import Protocol as Interface

from anvillug import clock

HALF = 0.5
"""Share of descriptors; the rest is for other nodes, the store, the backend server and files."""
SIXTH = 1 / 6
"""Share where each connection may need three more: to a host, from a node, and to the backend
server."""


class Waiting(enum.Enum):
    """What a connection waits for."""

    HEAD = 'head'
    """The rest of a head."""
    REQUEST = 'idle'
    """The next request."""
    READER = 'reader'
    """The client, which has not read its response."""
    BODY = 'body'
    """The rest of the body of a request that has begun."""
    RESPONSE = 'response'
    """Anything else, such as a response."""


class ClientLimits(NamedTuple):
    """Limits of the clients of one listener."""

    head_ms: float = math.inf
    """Maximum time from the first byte of a head to its end."""
    idle_ms: float = math.inf
    """Maximum time between requests."""
    reader_ms: float = math.inf
    """Maximum time in which a client reads nothing of a response that waits for it."""
    connections: float = math.inf
    """Maximum number of connections."""

    def time_for(self, waiting: Waiting) -> float:
        """Return how long a connection may wait, in milliseconds."""
        by_waiting = {
            Waiting.HEAD: self.head_ms,
            Waiting.REQUEST: self.idle_ms,
            Waiting.READER: self.reader_ms,
        }
        return by_waiting.get(waiting, math.inf)


UNLIMITED = ClientLimits()
PEER_HEAD_MS = 30_000.0
"""Maximum time for a head of another node, which sends each in one piece."""
_OPERATOR_HEAD_MS = 30_000.0
# Local programs report about once per second, and metrics are read at least every few minutes.
_OPERATOR_IDLE_MS = 300_000.0
_OPERATOR_CONNECTIONS = 64
_OPERATOR_SHARE = 1 / 16


def connections_for(descriptors: int, share: float = HALF) -> float:
    """Return the maximum number of connections of callers.

    Args:
        descriptors: Descriptors that the process may open; 0 if their number is not known.
        share: Share of them that the connections may have.
    """
    return int(descriptors * share) or math.inf


def for_operators(descriptors: int) -> ClientLimits:
    """Return the limits of an address for operators and local programs.

    Args:
        descriptors: Descriptors that the process may open; 0 if their number is not known.
    """
    return ClientLimits(
        head_ms=_OPERATOR_HEAD_MS,
        idle_ms=_OPERATOR_IDLE_MS,
        reader_ms=_OPERATOR_HEAD_MS,
        connections=min(_OPERATOR_CONNECTIONS, connections_for(descriptors, _OPERATOR_SHARE)),
    )


class Client(Interface):
    """Connection of a client."""

    wait: Wait
    """What the connection was seen to wait for."""

    def waits_for(self) -> tuple[Waiting, int]:
        """Return what the connection waits for, and a number that changes with its progress."""

    def limit_exceeded(self, waiting: Waiting) -> None:
        """Reject what is incomplete, and close the connection."""

    def give_up(self) -> None:
        """Close the connection with a reset."""


@dataclasses.dataclass(slots=True)
class Wait:
    """Since when a connection waits for the same thing, without progress."""

    waiting: Waiting = Waiting.REQUEST
    progress: int = -1
    since: clock.Milliseconds = clock.Milliseconds(math.inf)

    def observe(self, client: Client, now: clock.Milliseconds) -> float:
        """Return for how long the client has made no progress, in milliseconds."""
        waiting, progress = client.waits_for()
        if (waiting, progress) != (self.waiting, self.progress):
            self.waiting = waiting
            self.progress = progress
            self.since = now
        return now - self.since


def overdue(
    clients: Iterable[Client], limits: ClientLimits, now: clock.Milliseconds
) -> list[Client]:
    """Return the clients that have exceeded a time limit; `wait` of each tells which."""
    return [
        client
        for client in clients
        if client.wait.observe(client, now) > limits.time_for(client.wait.waiting)
    ]


def longest_waiting(clients: Collection[Client], now: clock.Milliseconds) -> Client | None:
    """Return the client that has waited longest, None if all await a response."""
    waited_ms_by_client = {
        client: client.wait.observe(client, now)
        for client in clients
        if client.waits_for()[0] is not Waiting.RESPONSE
    }
    return max(waited_ms_by_client, key=waited_ms_by_client.get, default=None)
