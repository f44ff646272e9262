"""Sends a request on a connection of a pool and collects the response."""

from __future__ import annotations

from twisted.internet import defer, interfaces

from anvillug.connection import http_client, http_head, http_pool, tcp_liveness

# Methods that may be repeated if the connection has closed before a response.
_IDEMPOTENT_METHODS = frozenset((b'GET', b'HEAD'))


class FailedError(Exception):
    """The request received no complete response; the message gives the reason."""


class Call:
    """One request and its response; see `http_client.ResponseHandler`.

    Cancelling a result cancels the request and closes its connection. A connection that carries a
    request is closed after `tcp_liveness.SILENCE_LIMIT_MS` without a sign of the peer.

    Args:
        reactor: Timers.
        pool: Connections to the peer.
        request: Head of the request.
        content: Body of the request.
        max_body_bytes: Max size of the body of the response in bytes.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        pool: http_pool.Pool,
        request: http_head.RequestHead,
        content: bytes,
        max_body_bytes: int,
    ) -> None:
        self.head: defer.Deferred[http_head.ResponseHead] = defer.Deferred(self._cancelled)
        """Head of the response, or `FailedError`."""
        self.body: defer.Deferred[bytes] = defer.Deferred(self._cancelled)
        """Body of the response, or `FailedError`, if there was a head."""
        self._reactor = reactor
        self._pool = pool
        self._request = request
        self._content = content
        self._max_body_bytes = max_body_bytes
        self._connection: http_client.ClientConnection | None = None
        self._chunks: list[bytes] = []
        self._body_bytes = 0
        self._may_repeat = request.method in _IDEMPOTENT_METHODS
        self._has_head = False
        self._ended = False

    def begin(self) -> None:
        """Get a connection and send the request."""
        self._pool.acquire(self._connected, self._unreachable)

    # From the connection

    def response_continue(self) -> None:
        """Ignore status 100; see `http_client.ResponseHandler`."""

    def response_head(self, head: http_head.ResponseHead) -> None:
        """Report the head."""
        self._has_head = True
        self.head.callback(head)

    def response_body(self, data: bytes) -> None:
        """Buffer a part of the body."""
        self._chunks.append(data)
        self._body_bytes += len(data)
        if self._body_bytes > self._max_body_bytes:
            self._connection.cancel()
            self._fail(f'body exceeds {self._max_body_bytes} bytes')

    def response_ended(self) -> None:
        """Report the body."""
        self._connection = None
        # The caller's next request finds the connection in the pool then.
        self._reactor.callLater(0, self._complete)

    def response_failed(self, reason: http_client.ClientFailure) -> None:
        """Report the failure, or repeat the request if the peer had closed an idle connection."""
        is_lost = reason is http_client.ClientFailure.LOST
        was_idle = self._connection.requests_sent > 1
        if is_lost and was_idle and self._may_repeat and not self._has_head:
            self._may_repeat = False
            self._connection = None
            self._pool.acquire_new(self._connected, self._unreachable)
        else:
            self._fail(reason.value)

    def request_writes_paused(self, paused: bool) -> None:
        """Ignore backpressure: the whole body is in memory already."""

    # Private

    def _connected(self, connection: http_client.ClientConnection) -> None:
        if self._ended:
            return
        if not connection.requests_sent:
            tcp_liveness.detect_silence(connection.transport)
        self._connection = connection
        connection.request(self._request, self)
        connection.send_body(self._content)
        connection.end_request()

    def _unreachable(self) -> None:
        self._fail(http_client.ClientFailure.CONNECT.value)

    def _cancelled(self, _result: object) -> None:
        self._ended = True
        if self._connection is not None:
            self._connection.cancel()

    def _complete(self) -> None:
        if not self._ended:
            self._ended = True
            self.body.callback(b''.join(self._chunks))

    def _fail(self, reason: str) -> None:
        if not self._ended:
            self._ended = True
            unfinished = self.body if self._has_head else self.head
            unfinished.errback(FailedError(reason))
