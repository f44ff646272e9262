"""Pool of HTTP client connections to one address."""

from __future__ import annotations

import collections
import math
from collections.abc import Callable
from typing import Any, NamedTuple

from twisted.internet import interfaces, protocol

from anvillug.connection import http_client, local_port

ConnectionReady = Callable[[http_client.ClientConnection], None]
ConnectFailed = Callable[[], None]


class _Waiter(NamedTuple):
    """A request that waits for a connection."""

    ready: ConnectionReady
    failed: ConnectFailed
    request_id: str

    def accepts(self, connection: http_client.ClientConnection) -> bool:
        """Return whether the connection has not carried a request with the same id."""
        return self.request_id not in connection.carried_ids


class _ClientFactory(protocol.ClientFactory):
    """Builds one pooled client connection."""

    noisy = False

    def __init__(self, pool: Pool, ready: ConnectionReady, failed: ConnectFailed) -> None:
        self._pool = pool
        self._ready = ready
        self._failed = failed

    def buildProtocol(self, addr: object) -> http_client.ClientConnection:  # noqa: N802
        connection = _PooledConnection(self._pool)
        connection.ready = self._ready
        # The transport refers to the factory for as long as the connection is open.
        self._ready = _leave_in_pool
        self._failed = _ignore_failure
        return connection

    def clientConnectionLost(self, connector: Any, reason: object) -> None:  # noqa: N802
        # The transport refers to its connector, and may hold an upload that was not sent.
        connector.transport = None

    def clientConnectionFailed(self, connector: object, reason: object) -> None:  # noqa: N802
        self._pool.connect_failed()
        self._failed()


class _PooledConnection(http_client.ClientConnection):
    """Client connection that is offered to its first user once it is open."""

    ready: ConnectionReady | None = None

    def connectionMade(self) -> None:  # noqa: N802
        super().connectionMade()
        local_port.allow_listeners(self.transport)
        ready = self.ready
        self.ready = None
        if ready is not None:
            self._pool.connection_opened(self)
            self._pool.offer(self, ready)


class Pool:
    """Idle and busy connections to one address.

    Args:
        reactor: Twisted reactor.
        host: IP address.
        port: TCP port.
        max_connections: Max connections open at once.
        max_waiting: Max requests that wait for a connection.
        connect_timeout_s: Time limit for opening a connection in seconds.
        max_idle: Max idle connections; of more, the one that has been idle longest is closed.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTCP,
        host: str,
        port: int,
        max_connections: int = 64,
        max_waiting: int = 256,
        connect_timeout_s: float = 1,
        max_idle: float = math.inf,
    ) -> None:
        self._reactor = reactor
        self._host = host
        self._port = port
        self._max_connections = max_connections
        self._max_waiting = max_waiting
        self._connect_timeout_s = connect_timeout_s
        self._max_idle = max_idle
        self._idle: list[http_client.ClientConnection] = []
        self._waiting: collections.deque[_Waiter] = collections.deque()
        self._open_connections: set[http_client.ClientConnection] = set()
        # Busy connections that a further request is to use next.
        self._reserved: dict[
            http_client.ClientConnection, tuple[ConnectionReady, ConnectFailed]
        ] = {}
        self._connecting = 0
        self._closed = False

    @property
    def open_count(self) -> int:
        """Number of connections that are open or being opened."""
        return len(self._open_connections) + self._connecting

    @property
    def idle_count(self) -> int:
        """Number of open connections that carry no request."""
        return len(self._idle)

    def states(self) -> dict[str, int]:
        """Return the number of connections by state."""
        idle = len(self._idle)
        return {
            'busy': len(self._open_connections) - idle,
            'idle': idle,
            'connecting': self._connecting,
        }

    def acquire(
        self,
        ready: ConnectionReady,
        failed: ConnectFailed,
        max_idle_s: float = math.inf,
        request_id: str = '',
    ) -> None:
        """Acquire an idle or new connection.

        Args:
            ready: Called with the connection, immediately if one is idle. The connection
                returns to the pool unless this function sends a request on it.
            failed: Called when no connection is available; nothing was sent.
            max_idle_s: Max time in seconds since the connection was released.
            request_id: Id of the request; a connection that has carried it is not used, since a
                second copy of the earlier response could not be told from the new response.
        """
        waiter = _Waiter(ready, failed, request_id)
        connection = self._pop_idle(max_idle_s, waiter)
        if connection is not None:
            self.offer(connection, ready)
            return
        if self._closed or len(self._waiting) >= self._max_waiting:
            failed()
        elif self.open_count < self._max_connections:
            self._connect(ready, failed)
        else:
            self._waiting.append(waiter)
            if self._idle:
                # Replaced by a new connection, since no idle one is suitable.
                self._idle.pop(0).cancel()

    def acquire_new(self, ready: ConnectionReady, failed: ConnectFailed) -> None:
        """Open a new connection, for use when the peer may not respond on existing ones."""
        self._connect(ready, failed)

    def acquire_when_released(
        self,
        connection: http_client.ClientConnection,
        ready: ConnectionReady,
        failed: ConnectFailed,
    ) -> None:
        """Acquire a busy connection once its response has ended, before all other requests.

        If it closes instead, a new connection is opened.
        """
        self._reserved[connection] = (ready, failed)

    def preconnect(self) -> None:
        """Open one more connection in advance, within the limit."""
        if not self._closed and self.open_count < self._max_connections:
            self._connect(_leave_in_pool, _ignore_failure)

    def release(self, connection: http_client.ClientConnection) -> None:
        """Offer a connection that carries no request to waiting requests, or store it as idle."""
        if self._closed:
            connection.cancel()
            return
        if connection in self._reserved:
            ready, _ = self._reserved.pop(connection)
            self._hand_out(connection, ready)
        while connection.is_idle:
            waiter = next((each for each in self._waiting if each.accepts(connection)), None)
            if waiter is None:
                break
            self._waiting.remove(waiter)
            self._hand_out(connection, waiter.ready)
        if connection.is_idle and self._waiting:
            # Replaced by a new connection, since no waiting request may use this one.
            connection.cancel()
        elif connection.is_idle:
            connection.idle_since_s = self._reactor.seconds()
            self._idle.append(connection)
            if len(self._idle) > self._max_idle:
                self._idle.pop(0).cancel()

    def offer(self, connection: http_client.ClientConnection, ready: ConnectionReady) -> None:
        """Offer a connection to a requester, and release it if it sends no request."""
        self._hand_out(connection, ready)
        if connection.is_idle:
            self.release(connection)

    def connection_opened(self, connection: http_client.ClientConnection) -> None:
        """Register a connection that has just opened."""
        self._connecting -= 1
        self._open_connections.add(connection)

    def connect_failed(self) -> None:
        """Handle a failed connect; without other connections, fail the waiting requests."""
        self._connecting -= 1
        if not self.open_count:
            self._fail_waiting()

    def connection_lost(self, connection: http_client.ClientConnection) -> None:
        """Remove a closed connection and replace it if requests wait."""
        self._open_connections.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        if connection in self._reserved:
            ready, failed = self._reserved.pop(connection)
            if self._closed:
                failed()
            else:
                self._connect(ready, failed)
        if self._waiting and self.open_count < self._max_connections and not self._closed:
            waiter = self._waiting.popleft()
            self._connect(waiter.ready, waiter.failed)

    def close_idle(self) -> None:
        """Close the idle connections."""
        idle = tuple(self._idle)
        self._idle.clear()
        for connection in idle:
            connection.cancel()

    def close_idle_longer_than(self, max_idle_s: float) -> None:
        """Close the connections that have been idle for more than a time in seconds."""
        min_idle_since_s = self._reactor.seconds() - max_idle_s
        while self._idle and self._idle[0].idle_since_s < min_idle_since_s:
            self._idle.pop(0).cancel()

    def close_idle_without_response_since(self, silent: http_client.ClientConnection) -> None:
        """Close the idle connections that may be as silent as one that received no response.

        A connection that was released after the silent one was acquired has carried a response
        since and stays open.
        """
        suspect = [idle for idle in self._idle if idle.idle_since_s <= silent.acquired_at_s]
        for connection in suspect:
            self._idle.remove(connection)
            connection.cancel()

    def close(self) -> None:
        """Close idle connections now and busy ones after their response."""
        self._closed = True
        self.close_idle()
        self._fail_waiting()

    def _hand_out(self, connection: http_client.ClientConnection, ready: ConnectionReady) -> None:
        connection.acquired_at_s = self._reactor.seconds()
        ready(connection)

    def _pop_idle(self, max_idle_s: float, waiter: _Waiter) -> http_client.ClientConnection | None:
        """Remove and return the suitable idle connection that was used last, if there is one."""
        min_idle_since_s = self._reactor.seconds() - max_idle_s
        # Nearly always the last one is suitable.
        if self._idle and _is_suitable(self._idle[-1], min_idle_since_s, waiter):
            return self._idle.pop()
        self._idle = [idle for idle in self._idle if idle.is_idle]
        for connection in reversed(self._idle):
            if connection.idle_since_s < min_idle_since_s:
                # The others have been idle for even longer.
                return None
            if waiter.accepts(connection):
                self._idle.remove(connection)
                return connection
        return None

    def _connect(self, ready: ConnectionReady, failed: ConnectFailed) -> None:
        self._connecting += 1
        factory = _ClientFactory(self, ready, failed)
        self._reactor.connectTCP(
            self._host,
            self._port,
            factory,
            timeout=self._connect_timeout_s,
        )

    def _fail_waiting(self) -> None:
        waiting = tuple(self._waiting)
        self._waiting.clear()
        for waiter in waiting:
            waiter.failed()


def _is_suitable(
    connection: http_client.ClientConnection, min_idle_since_s: float, waiter: _Waiter
) -> bool:
    is_recent = connection.idle_since_s >= min_idle_since_s
    return is_recent and connection.is_idle and waiter.accepts(connection)


def _leave_in_pool(connection: http_client.ClientConnection) -> None:
    """Send no request, so that a connection opened in advance returns to the pool."""


def _ignore_failure() -> None:
    """Ignore the failure to open a connection in advance."""
