"""Pool of client connections to one address."""

from __future__ import annotations

import collections
import math
from collections.abc import Callable

from twisted.internet import interfaces, protocol

from anvillug.connection import http_client

ConnectionReady = Callable[[http_client.ClientConnection], None]
ConnectFailed = Callable[[], None]


class _ClientFactory(protocol.ClientFactory):
    """Builds one client connection for a pool."""

    noisy = False

    def __init__(self, pool: Pool, ready: ConnectionReady, failed: ConnectFailed) -> None:
        self._pool = pool
        self._ready = ready
        self._failed = failed

    def buildProtocol(self, addr: object) -> http_client.ClientConnection:  # noqa: N802
        connection = _NotifyingConnection(self._pool)
        connection.ready = self._ready
        return connection

    def clientConnectionFailed(self, connector: object, reason: object) -> None:  # noqa: N802
        self._pool.connect_failed()
        self._failed()


class _NotifyingConnection(http_client.ClientConnection):
    """Client connection that tells its first user when it is open."""

    ready: ConnectionReady | None = None

    def connectionMade(self) -> None:  # noqa: N802
        super().connectionMade()
        ready = self.ready
        self.ready = None
        if ready is not None:
            self._pool.connected(self)
            self._pool.hand_over(self, ready)


class Pool:
    """Idle and busy connections to one address.

    Args:
        reactor: Twisted reactor.
        host: IP address.
        port: TCP port.
        max_connections: Connections open at once.
        max_waiting: Requests that may wait for a connection.
        connect_timeout_s: Time limit of a connect in seconds.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTCP,
        host: str,
        port: int,
        max_connections: int = 64,
        max_waiting: int = 256,
        connect_timeout_s: float = 1,
    ) -> None:
        self._reactor = reactor
        self._host = host
        self._port = port
        self._max_connections = max_connections
        self._max_waiting = max_waiting
        self._connect_timeout_s = connect_timeout_s
        self._idle: list[http_client.ClientConnection] = []
        self._waiting: collections.deque[tuple[ConnectionReady, ConnectFailed]] = (
            collections.deque()
        )
        self._open_connections: set[http_client.ClientConnection] = set()
        self._connecting = 0
        self._closed = False

    @property
    def open_count(self) -> int:
        """Connections that are open or being opened."""
        return len(self._open_connections) + self._connecting

    @property
    def idle_count(self) -> int:
        """Open connections that carry no request."""
        return len(self._idle)

    def acquire(
        self,
        ready: ConnectionReady,
        failed: ConnectFailed,
        max_idle_s: float = math.inf,
    ) -> None:
        """Get a connection that carries no request.

        Args:
            ready: Called with the connection, at once where one is idle. It takes the
                connection by a request; otherwise the pool keeps it.
            failed: Called when none can be had; nothing was sent.
            max_idle_s: Longest time in seconds that the connection may have been idle.
        """
        connection = self._pop_idle(max_idle_s)
        if connection is not None:
            self.hand_over(connection, ready)
            return
        if self._closed or len(self._waiting) >= self._max_waiting:
            failed()
        elif self.open_count < self._max_connections:
            self._connect(ready, failed)
        else:
            self._waiting.append((ready, failed))

    def acquire_fresh(self, ready: ConnectionReady, failed: ConnectFailed) -> None:
        """Open a new connection, for use when open ones may have gone silent."""
        self._connect(ready, failed)

    def open_ahead(self) -> None:
        """Open one more connection before it is needed, within the limit."""
        if not self._closed and self.open_count < self._max_connections:
            self._connect(_keep_in_pool, _ignore)

    def release(self, connection: http_client.ClientConnection) -> None:
        """Take back a connection that carries no request."""
        if self._closed:
            connection.cancel()
            return
        while self._waiting and connection.is_idle:
            ready, _failed = self._waiting.popleft()
            ready(connection)
        if connection.is_idle:
            connection.idle_since_s = self._reactor.seconds()
            self._idle.append(connection)

    def hand_over(self, connection: http_client.ClientConnection, ready: ConnectionReady) -> None:
        """Offer a connection, and take it back where it is not wanted any more."""
        ready(connection)
        if connection.is_idle:
            self.release(connection)

    def connected(self, connection: http_client.ClientConnection) -> None:
        """Count a connection that has just opened."""
        self._connecting -= 1
        self._open_connections.add(connection)

    def connect_failed(self) -> None:
        """Count a connect that failed and fail those who wait for nothing else."""
        self._connecting -= 1
        if not self.open_count:
            self._fail_waiting()

    def connection_lost(self, connection: http_client.ClientConnection) -> None:
        """Forget a connection that is gone."""
        self._open_connections.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        if self._waiting and self.open_count < self._max_connections and not self._closed:
            ready, failed = self._waiting.popleft()
            self._connect(ready, failed)

    def drop_idle(self) -> None:
        """Close the idle connections."""
        idle = tuple(self._idle)
        self._idle.clear()
        for connection in idle:
            connection.cancel()

    def close(self) -> None:
        """Close idle connections now and busy ones after their answer."""
        self._closed = True
        self.drop_idle()
        self._fail_waiting()

    def _pop_idle(self, max_idle_s: float) -> http_client.ClientConnection | None:
        """Take the connection that was used last; older ones would be idle for longer."""
        while self._idle:
            connection = self._idle.pop()
            if not connection.is_idle:
                continue
            if max_idle_s < math.inf:
                idle_s = self._reactor.seconds() - connection.idle_since_s
                if idle_s > max_idle_s:
                    self._idle.append(connection)
                    return None
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
        for _ready, failed in waiting:
            failed()


def _keep_in_pool(connection: http_client.ClientConnection) -> None:
    """Leave a connection that was opened ahead of need to the pool."""


def _ignore() -> None:
    """Ignore a connect that failed ahead of need."""
