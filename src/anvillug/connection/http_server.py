"""HTTP/1.1 server connection with streaming bodies and backpressure.

A connection answers one request at a time. Pipelined requests are held back
until the answer before them is complete.
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

# A request body that goes on after its answer is read and dropped up to this size.
MAX_REST_BYTES = 16 * 1024 * 1024
_VERSION = '1.1'
_UPGRADE_REFUSED = 'protocol upgrades are not supported'
_STATUS_BAD_REQUEST = 400
_STATUS_HEAD_TOO_LARGE = 431
_STATUS_SERVER_ERROR = 500


@implementer(interfaces.IPushProducer)
class ServerConnection(protocol.Protocol):
    """Server side of one HTTP/1.1 connection.

    Args:
        on_request: Called with each request; sets the exchange's handler.
        max_head_bytes: Largest request head that is accepted.
        open_connections: Set that the connection is in while it is open.
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
        self._drops_rest = False
        self._rest_bytes = 0
        self._lost = False
        self._closing = False
        self._malformed = False
        self._running_pending = False
        self._paused_by_exchange = False

    @property
    def is_busy(self) -> bool:
        """Whether a request is not answered, or bytes of an answer are not sent yet."""
        return self._exchange is not None or write_batch.holds_bytes(self.transport)

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
            self._feed(data)
        finally:
            write_batch.BATCH.end()

    def _feed(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            event_log.error('request_handler_failed', error.__context__ or error)
            self._reject(_STATUS_SERVER_ERROR, 'internal error')
        except httptools.HttpParserUpgrade:
            self._reject_rest(_STATUS_BAD_REQUEST, _UPGRADE_REFUSED)
        except httptools.HttpParserError as error:
            self._reject_rest(_STATUS_BAD_REQUEST, f'malformed HTTP request: {error}')
        if self._in_head and self._head_bytes > self._max_head_bytes:
            self._reject_rest(_STATUS_HEAD_TOO_LARGE, self._too_large())

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802
        """Tell the handler of an unfinished request; see Twisted."""
        self._lost = True
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
        """Take a piece of the target; see httptools."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header; see httptools."""
        # Headers after the body are trailers, which are not forwarded.
        if self._in_head:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Start the exchange; see httptools."""
        # Callers before HTTP/1.1 get one answer per connection, since its end may end the body.
        modern = self._parser.get_http_version() == _VERSION
        head = http_head.RequestHead(
            self._parser.get_method(),
            self._target,
            self._headers,
            modern and self._parser.should_keep_alive(),
            modern,
        )
        # The count may include the start of the body.
        limit = self._max_head_bytes
        too_large = self._head_bytes > limit and _size_of(head) > limit
        self._in_head = False
        self._head_bytes = 0
        fault = self._fault_of(head)
        if too_large:
            self._reject_rest(_STATUS_HEAD_TOO_LARGE, self._too_large())
        elif fault:
            self._reject_rest(_STATUS_BAD_REQUEST, fault)
        else:
            self._later_or_now(lambda: self._start(head))

    def on_body(self, data: bytes) -> None:
        """Pass on a piece of the body; see httptools."""
        self._later_or_now(lambda: self._body(data))

    def on_message_complete(self) -> None:
        """End the request; see httptools."""
        self._in_head = True
        self._later_or_now(self._end)

    # Write backpressure

    def pauseProducing(self) -> None:  # noqa: N802
        """Note that the write buffer is full; see Twisted."""
        self._writes_paused(paused=True)

    def resumeProducing(self) -> None:  # noqa: N802
        """Note that the write buffer has drained; see Twisted."""
        self._writes_paused(paused=False)

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: `connectionLost` follows; see Twisted."""

    # Calls from exchanges

    def send(self, data: bytes) -> None:
        """Write bytes to the connection."""
        if not self._lost:
            write_batch.BATCH.write(self.transport, data)

    def abort(self) -> None:
        """Close the connection with a reset."""
        if not self._lost:
            write_batch.BATCH.discard(self.transport)
            self.transport.abortConnection()

    def pause_reading(self, paused: bool) -> None:
        """Stop or go on reading."""
        self._paused_by_exchange = paused
        if self._lost or self._closing:
            return
        if paused:
            self.transport.pauseProducing()
        elif not self._pending:
            self.transport.resumeProducing()

    def close_when_idle(self) -> None:
        """Close the connection now, or after the current answer."""
        self._closing_after_answer()
        if self._exchange is None:
            self._close()

    def exchange_ended(self, exchange: http_exchange.ServerExchange) -> None:
        """Go on with the next request, or close where the request was cut short."""
        if exchange is not self._exchange:
            return
        closes = self.closes_after(exchange)
        self._exchange = None
        self._paused_by_exchange = False
        reads_on = not self._request_complete and exchange.expects_body and not self._closing
        if closes and reads_on:
            # Closing now would reset the connection and could discard the answer.
            self._drops_rest = True
            self.pause_reading(paused=False)
        elif closes:
            self._close()
        else:
            self._run_pending()

    def closes_after(self, exchange: http_exchange.ServerExchange) -> bool:
        """Tell whether the connection ends with an answer; so where a body was not read whole."""
        cut_short = not self._request_complete and exchange.head.has_body
        return self._closing or cut_short or not exchange.head.keep_alive

    # Private

    def _closing_after_answer(self) -> None:
        if self._exchange is not None:
            self._exchange.head.keep_alive = False

    def _later_or_now(self, step: Callable[[], None]) -> None:
        if self._closing or self._malformed:
            return
        if self._pending or (self._exchange is not None and self._request_complete):
            self._pending.append(step)
            self.transport.pauseProducing()
            return
        step()

    def _run_pending(self) -> None:
        # An exchange that ends within a step comes back here; the outer loop goes on for it.
        if self._running_pending:
            return
        self._running_pending = True
        try:
            while self._pending and not self._blocked():
                self._pending.popleft()()
        finally:
            self._running_pending = False
        if not (self._pending or self._lost or self._closing or self._paused_by_exchange):
            self.transport.resumeProducing()

    def _blocked(self) -> bool:
        return self._closing or (self._exchange is not None and self._request_complete)

    def _too_large(self) -> str:
        return f'request head exceeds {self._max_head_bytes} bytes'

    def _fault_of(self, head: http_head.RequestHead) -> str:
        if self._parser.should_upgrade():
            return _UPGRADE_REFUSED
        framing = head.framing
        if framing is not http_head.Framing.CHUNKED:
            return ''
        if head.get(b'content-length') is not None:
            return 'header Transfer-Encoding: not allowed together with Content-Length'
        return '' if head.supports_chunked else 'header Transfer-Encoding: not known in HTTP/1.0'

    def _start(self, head: http_head.RequestHead) -> None:
        self._request_complete = False
        exchange = http_exchange.ServerExchange(self, head)
        self._exchange = exchange
        self._on_request(exchange)

    def _body(self, data: bytes) -> None:
        exchange = self._exchange
        if exchange is None:
            self._rest_bytes += len(data)
            if self._rest_bytes > MAX_REST_BYTES:
                self._close()
        if exchange is not None and exchange.handler is not None:
            exchange.handler.body_received(data)

    def _end(self) -> None:
        self._request_complete = True
        exchange = self._exchange
        if self._drops_rest:
            self._close()
        if exchange is not None and exchange.handler is not None:
            exchange.handler.request_ended()

    def _writes_paused(self, *, paused: bool) -> None:
        exchange = self._exchange
        if exchange is not None and exchange.handler is not None:
            exchange.handler.response_writes_paused(paused)

    def _reject_rest(self, status: int, message: str) -> None:
        """Reject what has arrived after the complete requests, once these are answered."""
        self._later_or_now(lambda: self._reject(status, message))
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
            # Closing cleanly could pass for the end of the answer.
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
        if not self._lost:
            write_batch.BATCH.flush(self.transport)
            self.transport.unregisterProducer()
            self.transport.loseConnection()


def _size_of(head: http_head.RequestHead) -> int:
    """Return the size of a head on the wire, without optional blanks."""
    return len(http_head.serialize_request(head))


class ServerFactory(protocol.Factory):
    """Builds server connections and knows the open ones.

    Args:
        on_request: Called with each request of each connection.
        max_head_bytes: Largest request head that is accepted.
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
        """Connections with a request that is not answered, or with unsent bytes."""
        return sum(connection.is_busy for connection in self._open_connections)

    def close_when_idle(self) -> None:
        """Close each connection after the answer that it carries."""
        for connection in tuple(self._open_connections):
            connection.close_when_idle()
