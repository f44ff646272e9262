"""HTTP/1.1 server connection with streaming bodies and backpressure.

A connection processes one request at a time. Pipelined requests are queued
until the response to the previous request is complete.
"""

from __future__ import annotations

import collections
from collections.abc import Callable

import httptools
from twisted.internet import interfaces, protocol
from zope.interface import implementer

from anvillug import event_log
from anvillug.connection import http_exchange, http_head, write_batch

MAX_HEAD_BYTES = 64 * 1024

# When the response ends before the request, the rest of the request body is read and
# discarded up to this size; then the connection is closed.
MAX_DISCARDED_BODY_BYTES = 16 * 1024 * 1024
_HTTP11 = '1.1'
_UPGRADE_NOT_SUPPORTED = 'protocol upgrades are not supported'
_STATUS_BAD_REQUEST = 400
_STATUS_HEAD_TOO_LARGE = 431
_STATUS_SERVER_ERROR = 500


@implementer(interfaces.IPushProducer)
class ServerConnection(protocol.Protocol):
    """Server side of one HTTP/1.1 connection.

    Args:
        on_request: Called with the exchange of each request; sets its handler.
        max_head_bytes: Maximum size of a request head in bytes.
        open_connections: Set of open connections; this one adds and removes itself.
    """

    def __init__(
        self,
        on_request: http_exchange.RequestStarted,
        max_head_bytes: int,
        open_connections: set[ServerConnection],
    ) -> None:
        self._on_request = on_request
        self._max_head_bytes = max_head_bytes
        self._open_connections = open_connections
        self._parser = httptools.HttpRequestParser(self)
        self._target = b''
        self._headers: list[http_head.Header] = []
        self._head_bytes = 0
        self._in_head = True
        self._exchange: http_exchange.ServerExchange | None = None
        self._request_complete = True
        self._pending: collections.deque[Callable[[], None]] = collections.deque()
        self._discards_body = False
        self._discarded_bytes = 0
        self._disconnected = False
        self._closing = False
        self._malformed = False
        self._running_pending = False
        self._paused_by_exchange = False

    @property
    def is_busy(self) -> bool:
        """Whether a request is in progress, or response bytes are still unsent."""
        return self._exchange is not None or write_batch.has_unsent_bytes(self.transport)

    def connectionMade(self) -> None:  # noqa: N802
        """Register for write backpressure; see Twisted."""
        self._open_connections.add(self)
        self.transport.setTcpNoDelay(True)
        self.transport.setTcpKeepAlive(True)
        self.transport.registerProducer(self, True)  # noqa: FBT003

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse bytes; see Twisted."""
        if self._closing or self._malformed:
            return
        if self._in_head:
            self._head_bytes += len(data)
        write_batch.BATCH.begin()
        try:
            self._parse(data)
        finally:
            write_batch.BATCH.end()

    def _parse(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            event_log.error('request_handler_failed', error.__context__ or error)
            self._reject(_STATUS_SERVER_ERROR, 'internal error')
        except httptools.HttpParserUpgrade:
            self._reject_after_pending(_STATUS_BAD_REQUEST, _UPGRADE_NOT_SUPPORTED)
        except httptools.HttpParserError as error:
            self._reject_after_pending(_STATUS_BAD_REQUEST, f'malformed HTTP request: {error}')
        if self._in_head and self._head_bytes > self._max_head_bytes:
            self._reject_after_pending(_STATUS_HEAD_TOO_LARGE, self._head_too_large_message())

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802
        """Notify the handler of an unfinished request; see Twisted."""
        self._disconnected = True
        self._open_connections.discard(self)
        self._pending.clear()
        exchange = self._exchange
        self._exchange = None
        if exchange is not None and not exchange.ended:
            exchange.ended = True
            if exchange.handler is not None:
                exchange.handler.request_aborted()

    # Parser callbacks

    def on_message_begin(self) -> None:
        """Start a request; see httptools."""
        self._target = b''
        self._headers = []
        self._in_head = True

    def on_url(self, url: bytes) -> None:
        """Receive a part of the target; see httptools."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Receive a header; see httptools."""
        # Headers after the body are trailers, which are not forwarded.
        if self._in_head:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Start the exchange; see httptools."""
        # HTTP/1.0 clients receive one response per connection, as the close may end its body.
        is_http11 = self._parser.get_http_version() == _HTTP11
        head = http_head.RequestHead(
            self._parser.get_method(),
            self._target,
            self._headers,
            is_http11 and self._parser.should_keep_alive(),
            is_http11,
        )
        # The counted bytes may include the start of the body.
        limit = self._max_head_bytes
        too_large = self._head_bytes > limit and _head_size(head) > limit
        self._in_head = False
        self._head_bytes = 0
        head_error = self._head_error(head)
        if too_large:
            self._reject_after_pending(_STATUS_HEAD_TOO_LARGE, self._head_too_large_message())
        elif head_error:
            self._reject_after_pending(_STATUS_BAD_REQUEST, head_error)
        else:
            self._run_or_queue(lambda: self._start_exchange(head))

    def on_body(self, data: bytes) -> None:
        """Forward a part of the body to the handler; see httptools."""
        self._run_or_queue(lambda: self._receive_body(data))

    def on_message_complete(self) -> None:
        """End the request; see httptools."""
        self._in_head = True
        self._run_or_queue(self._end_request)

    # Write backpressure

    def pauseProducing(self) -> None:  # noqa: N802
        """Pause the sender of the response: the write buffer is full; see Twisted."""
        self._notify_writes_paused(paused=True)

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume the sender of the response: the write buffer has drained; see Twisted."""
        self._notify_writes_paused(paused=False)

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: `connectionLost` follows; see Twisted."""

    # Calls from exchanges

    def send(self, data: bytes) -> None:
        """Write bytes to the connection."""
        if not self._disconnected:
            write_batch.BATCH.write(self.transport, data)

    def abort(self) -> None:
        """Close the connection with a reset."""
        if not self._disconnected:
            write_batch.BATCH.discard(self.transport)
            self.transport.abortConnection()

    def pause_reading(self, paused: bool) -> None:
        """Pause or resume reading."""
        self._paused_by_exchange = paused
        if self._disconnected or self._closing:
            return
        if paused:
            self.transport.pauseProducing()
        elif not self._pending:
            self.transport.resumeProducing()

    def close_when_idle(self) -> None:
        """Close the connection now, or after the current response."""
        self._disable_keep_alive()
        if self._exchange is None:
            self._close()

    def exchange_ended(self, exchange: http_exchange.ServerExchange) -> None:
        """Process the next request, or close the connection if it can't be reused."""
        if exchange is not self._exchange:
            return
        must_close = self.closes_after(exchange)
        self._exchange = None
        self._paused_by_exchange = False
        must_discard_body = (
            not self._request_complete and exchange.expects_body and not self._closing
        )
        if must_close and must_discard_body:
            # Closing now would reset the connection, and the client could lose the response.
            self._discards_body = True
            self.pause_reading(paused=False)
        elif must_close:
            self._close()
        else:
            self._run_pending()

    def closes_after(self, exchange: http_exchange.ServerExchange) -> bool:
        """Return whether the connection closes after the response.

        It does, among others, when the request body was not received completely.
        """
        body_incomplete = not self._request_complete and exchange.head.has_body
        return self._closing or body_incomplete or not exchange.head.keep_alive

    # Private

    def _disable_keep_alive(self) -> None:
        if self._exchange is not None:
            self._exchange.head.keep_alive = False

    def _run_or_queue(self, step: Callable[[], None]) -> None:
        if self._closing or self._malformed:
            return
        if self._pending or (self._exchange is not None and self._request_complete):
            self._pending.append(step)
            self.transport.pauseProducing()
            return
        step()

    def _run_pending(self) -> None:
        # An exchange that ends within a step calls this again; the outer loop continues then.
        if self._running_pending:
            return
        self._running_pending = True
        try:
            while self._pending and not self._is_blocked():
                self._pending.popleft()()
        finally:
            self._running_pending = False
        if not (self._pending or self._disconnected or self._closing or self._paused_by_exchange):
            self.transport.resumeProducing()

    def _is_blocked(self) -> bool:
        return self._closing or (self._exchange is not None and self._request_complete)

    def _head_too_large_message(self) -> str:
        return f'request head exceeds {self._max_head_bytes} bytes'

    def _head_error(self, head: http_head.RequestHead) -> str:
        """Return why a request head is rejected, or an empty string for a valid head."""
        if self._parser.should_upgrade():
            return _UPGRADE_NOT_SUPPORTED
        framing = head.framing
        if framing is not http_head.Framing.CHUNKED:
            return ''
        if head.get(b'content-length') is not None:
            return 'header Transfer-Encoding: not allowed together with Content-Length'
        return (
            '' if head.supports_chunked else 'header Transfer-Encoding: not supported in HTTP/1.0'
        )

    def _start_exchange(self, head: http_head.RequestHead) -> None:
        self._request_complete = False
        exchange = http_exchange.ServerExchange(self, head)
        self._exchange = exchange
        self._on_request(exchange)

    def _receive_body(self, data: bytes) -> None:
        exchange = self._exchange
        if exchange is None:
            self._discarded_bytes += len(data)
            if self._discarded_bytes > MAX_DISCARDED_BODY_BYTES:
                self._close()
        if exchange is not None and exchange.handler is not None:
            exchange.handler.body_received(data)

    def _end_request(self) -> None:
        self._request_complete = True
        exchange = self._exchange
        if self._discards_body:
            self._close()
        if exchange is not None and exchange.handler is not None:
            exchange.handler.request_ended()

    def _notify_writes_paused(self, *, paused: bool) -> None:
        exchange = self._exchange
        if exchange is not None and exchange.handler is not None:
            exchange.handler.response_writes_paused(paused)

    def _reject_after_pending(self, status: int, message: str) -> None:
        """Reject malformed input after the responses to the complete requests before it."""
        self._run_or_queue(lambda: self._reject(status, message))
        self._malformed = True

    def _reject(self, status: int, message: str) -> None:
        if self._closing:
            return
        event_log.warn('request_rejected', status=status, reason=message)
        exchange = self._exchange
        if exchange is None:
            body = f'{message}\n'.encode()
            head = http_head.ResponseHead(
                status,
                [(b'Content-Length', b'%d' % len(body)), (b'Connection', b'close')],
            )
            self.send(http_head.serialize_response(head))
            self.send(body)
            self._close()
            return
        if exchange.handler is not None:
            exchange.handler.request_aborted()
            exchange.handler = None
        if exchange.head_sent:
            # A clean close could look like the end of the response.
            exchange.abort()
        else:
            exchange.head.keep_alive = False
            exchange.respond(status, f'{message}\n'.encode())
        self._close()

    def _close(self) -> None:
        if self._closing:
            return
        self._closing = True
        self._pending.clear()
        if not self._disconnected:
            write_batch.BATCH.flush(self.transport)
            self.transport.unregisterProducer()
            self.transport.loseConnection()


def _head_size(head: http_head.RequestHead) -> int:
    """Return the size of a head on the wire, without optional whitespace."""
    return len(http_head.serialize_request(head))


class ServerFactory(protocol.Factory):
    """Builds server connections and tracks the open ones.

    Args:
        on_request: Called with the exchange of each request.
        max_head_bytes: Maximum size of a request head in bytes.
    """

    noisy = False

    def __init__(
        self, on_request: http_exchange.RequestStarted, max_head_bytes: int = MAX_HEAD_BYTES
    ) -> None:
        self._on_request = on_request
        self._max_head_bytes = max_head_bytes
        self._open_connections: set[ServerConnection] = set()

    def buildProtocol(self, addr: object) -> ServerConnection:  # noqa: N802
        """Return the protocol of a new connection; see Twisted."""
        return ServerConnection(
            self._on_request,
            self._max_head_bytes,
            self._open_connections,
        )

    @property
    def busy_count(self) -> int:
        """Number of connections with a request in progress or unsent bytes."""
        return sum(connection.is_busy for connection in self._open_connections)

    def close_when_idle(self) -> None:
        """Close each connection now, or after its current response."""
        for connection in tuple(self._open_connections):
            connection.close_when_idle()
