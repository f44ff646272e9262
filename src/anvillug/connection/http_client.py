"""HTTP/1.1 client connections with streaming bodies, and a pool of them."""

from __future__ import annotations

import collections
import enum
from collections.abc import Callable
from typing import Protocol as Interface

import httptools
from twisted.internet import error, interfaces, protocol
from twisted.python import failure
from zope.interface import implementer

from anvillug import event_log
from anvillug.connection import http_head, write_batch

_INFORMATIONAL_BELOW = 200
_STATUS_CONTINUE = 100


class ClientFailure(enum.Enum):
    """Why a request got no whole answer."""

    CONNECT = 'connect'
    """No connection was made; no byte was sent."""
    LOST = 'lost'
    """The connection ended before the answer was complete."""
    MALFORMED = 'malformed'
    """The peer did not speak HTTP/1.1."""
    CANCELLED = 'cancelled'
    """This side gave up."""


class ResponseHandler(Interface):
    """Receives the answer to one request."""

    def response_continue(self) -> None:
        """Note that the peer asks for the body (status 100)."""

    def response_head(self, head: http_head.ResponseHead) -> None:
        """Take the head of the answer."""

    def response_body(self, data: bytes) -> None:
        """Take a piece of the body."""

    def response_ended(self) -> None:
        """Note that the answer is whole."""

    def response_failed(self, reason: ClientFailure) -> None:
        """Note that there is no whole answer."""

    def request_writes_paused(self, paused: bool) -> None:
        """Note that the sender of the request body should pause or resume."""


@implementer(interfaces.IPushProducer)
class ClientConnection(protocol.Protocol):
    """Client side of one HTTP/1.1 connection; carries one request at a time.

    Args:
        pool: Pool that the connection returns to.
    """

    def __init__(self, pool: Pool) -> None:
        self._pool = pool
        self._handler: ResponseHandler | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._method = b''
        self._status = 0
        self._reason = b''
        self._headers: list[http_head.Header] = []
        self._framing = http_head.Framing.NONE
        self._head_done = False
        self._response_done = False
        self._request_done = False
        self._chunked = False
        self._reusable = True
        self._lost = False
        self._paused = False
        self._parsing = False
        self.served = 0

    @property
    def idle(self) -> bool:
        """Whether the connection can take a request."""
        return self._handler is None and self._reusable and not self._lost

    def connectionMade(self) -> None:  # noqa: N802
        """Register for write backpressure; see Twisted."""
        self.transport.setTcpNoDelay(True)
        self.transport.setTcpKeepAlive(True)
        self.transport.registerProducer(self, True)  # noqa: FBT003

    def request(self, head: http_head.RequestHead, handler: ResponseHandler) -> None:
        """Send the head of a request.

        Args:
            head: Head with end-to-end headers. A body without `Content-Length`
                needs `Transfer-Encoding: chunked` among them.
            handler: Receives the answer.
        """
        self._handler = handler
        self._method = head.method
        self._chunked = head.framing is http_head.Framing.CHUNKED
        self._head_done = False
        self._response_done = False
        self._request_done = False
        self._start_response()
        self.served += 1
        write_batch.BATCH.write(self.transport, http_head.serialize_request(head))

    def send_body(self, data: bytes) -> None:
        """Send a piece of the request body."""
        if not self._lost and data:
            piece = http_head.chunk(data) if self._chunked else data
            write_batch.BATCH.write(self.transport, piece)

    def end_request(self) -> None:
        """Complete the request."""
        if self._chunked and not self._lost:
            write_batch.BATCH.write(self.transport, http_head.LAST_CHUNK)
        self._request_done = True
        self._finish_if_done()

    def cancel(self) -> None:
        """Give up the request and close the connection; the handler is not told."""
        self._handler = None
        self._reusable = False
        if not self._lost:
            write_batch.BATCH.discard(self.transport)
            self.transport.abortConnection()

    def pause_response(self, paused: bool) -> None:
        """Stop or go on reading the answer."""
        if self._lost or self._handler is None or paused is self._paused:
            return
        self._paused = paused
        if paused:
            self.transport.pauseProducing()
        else:
            self.transport.resumeProducing()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse bytes; see Twisted."""
        if self._parser is None:
            self._reusable = False
            self.transport.abortConnection()
            return
        write_batch.BATCH.begin()
        self._parsing = True
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as problem:
            if isinstance(problem, httptools.HttpParserCallbackError):
                event_log.error('response_handler_failed', problem.__context__ or problem)
            if not self._response_done:
                self._fail(ClientFailure.MALFORMED)
            self._reusable = False
            self.transport.abortConnection()
        else:
            self._parsing = False
            self._finish_if_done()
        finally:
            self._parsing = False
            write_batch.BATCH.end()

    def connectionLost(self, reason: failure.Failure | None = None) -> None:  # noqa: N802
        """Tell the handler of an unfinished answer; see Twisted."""
        self._lost = True
        clean = reason is not None and reason.check(error.ConnectionDone) is not None
        if clean and self._head_done and self._framing is http_head.Framing.UNTIL_CLOSE:
            self._complete()
        self._fail(ClientFailure.LOST)
        self._pool.connection_lost(self)

    # Parser callbacks

    def on_message_begin(self) -> None:
        """Start an answer; see httptools."""
        if self._response_done:
            self._reusable = False
        self._headers = []
        self._reason = b''

    def on_status(self, reason: bytes) -> None:
        """Take the reason phrase; see httptools."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header; see httptools."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Pass on the head; see httptools."""
        if self._response_done:
            return
        self._status = self._parser.get_status_code()
        if self._status < _INFORMATIONAL_BELOW or self._handler is None:
            return
        head = http_head.ResponseHead(self._status, self._headers, self._reason)
        self._framing = head.framing(self._method)
        self._reusable = (
            self._parser.should_keep_alive() and self._framing is not http_head.Framing.UNTIL_CLOSE
        )
        self._head_done = True
        self._handler.response_head(head)
        if self._method == b'HEAD':
            self._complete()

    def on_body(self, data: bytes) -> None:
        """Pass on a piece of the body; see httptools."""
        if self._response_done:
            # A body that must not be there; its rest may still be on its way.
            self._reusable = False
        elif self._handler is not None:
            self._handler.response_body(data)

    def on_message_complete(self) -> None:
        """End the answer; see httptools."""
        if self._status == _STATUS_CONTINUE:
            if self._handler is not None:
                self._handler.response_continue()
            return
        if self._status >= _INFORMATIONAL_BELOW:
            self._complete()

    # Write backpressure

    def pauseProducing(self) -> None:  # noqa: N802
        """Note that the write buffer is full; see Twisted."""
        if self._handler is not None:
            self._handler.request_writes_paused(True)  # noqa: FBT003

    def resumeProducing(self) -> None:  # noqa: N802
        """Note that the write buffer has drained; see Twisted."""
        if self._handler is not None:
            self._handler.request_writes_paused(False)  # noqa: FBT003

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: `connectionLost` follows; see Twisted."""

    # Private

    def _start_response(self) -> None:
        self._parser = httptools.HttpResponseParser(self)

    def _complete(self) -> None:
        if self._response_done:
            return
        # The next request must not find the connection paused by this one.
        self.pause_response(paused=False)
        self._response_done = True
        self._parser = None
        handler = self._handler
        if handler is not None:
            # An answer that ends before the request was sent leaves the
            # connection in the middle of a message.
            if not self._request_done:
                self._reusable = False
            self._handler = None
            handler.response_ended()
        self._finish_if_done()

    def _finish_if_done(self) -> None:
        # The rest of a segment must not be taken for the answer to the next request.
        if not self._response_done or self._lost or self._parsing:
            return
        if self._reusable and self._request_done:
            self._pool.release(self)
        elif not self._reusable:
            write_batch.BATCH.flush(self.transport)
            self.transport.unregisterProducer()
            self.transport.loseConnection()

    def _fail(self, reason: ClientFailure) -> None:
        handler = self._handler
        self._handler = None
        self._reusable = False
        if handler is not None:
            handler.response_failed(reason)


ConnectionReady = Callable[[ClientConnection], None]
ConnectFailed = Callable[[], None]


class _ClientFactory(protocol.ClientFactory):
    """Builds one client connection for a pool."""

    noisy = False

    def __init__(self, pool: Pool, ready: ConnectionReady, failed: ConnectFailed) -> None:
        self._pool = pool
        self._ready = ready
        self._failed = failed

    def buildProtocol(self, addr: object) -> ClientConnection:  # noqa: N802
        connection = _NotifyingConnection(self._pool)
        connection.ready = self._ready
        return connection

    def clientConnectionFailed(self, connector: object, reason: object) -> None:  # noqa: N802
        self._pool.connect_failed()
        self._failed()


class _NotifyingConnection(ClientConnection):
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
        self._idle: list[ClientConnection] = []
        self._waiting: collections.deque[tuple[ConnectionReady, ConnectFailed]] = (
            collections.deque()
        )
        self._open_connections: set[ClientConnection] = set()
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

    def acquire(self, ready: ConnectionReady, failed: ConnectFailed) -> None:
        """Get a connection that carries no request.

        Args:
            ready: Called with the connection, at once where one is idle. It takes the
                connection by a request; otherwise the pool keeps it.
            failed: Called when none can be had; nothing was sent.
        """
        while self._idle:
            connection = self._idle.pop()
            if connection.idle:
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

    def release(self, connection: ClientConnection) -> None:
        """Take back a connection that carries no request."""
        if self._closed:
            connection.cancel()
            return
        while self._waiting and connection.idle:
            ready, _failed = self._waiting.popleft()
            ready(connection)
        if connection.idle:
            self._idle.append(connection)

    def hand_over(self, connection: ClientConnection, ready: ConnectionReady) -> None:
        """Offer a connection, and take it back where it is not wanted any more."""
        ready(connection)
        if connection.idle:
            self.release(connection)

    def connected(self, connection: ClientConnection) -> None:
        """Count a connection that has just opened."""
        self._connecting -= 1
        self._open_connections.add(connection)

    def connect_failed(self) -> None:
        """Count a connect that failed and fail those who wait for nothing else."""
        self._connecting -= 1
        if not self.open_count:
            self._fail_waiting()

    def connection_lost(self, connection: ClientConnection) -> None:
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


def _keep_in_pool(connection: ClientConnection) -> None:
    """Leave a connection that was opened ahead of need to the pool."""


def _ignore() -> None:
    """Ignore a connect that failed ahead of need."""
