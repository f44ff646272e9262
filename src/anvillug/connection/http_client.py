"""HTTP/1.1 client connection with streaming bodies."""

from __future__ import annotations

import enum
from typing import Protocol as Interface

import httptools
from twisted.internet import error, interfaces, protocol
from twisted.python import failure
from zope.interface import implementer

from anvillug import event_log
from anvillug.connection import (
    arrival,
    carried_ids,
    half_close,
    header_lines,
    http_head,
    write_batch,
)

_MIN_FINAL_STATUS = 200
_STATUS_CONTINUE = 100
_STATUSES = range(100, 600)
MAX_HEAD_BYTES = 256 * 1024
"""Maximum size of what precedes the body of a response: its head and all interim responses."""
MAX_FRAMING_BYTES = 256 * 1024
"""Maximum size of what follows the head without a byte of the body, such as a trailer."""


class ClientFailure(enum.Enum):
    """Why a request received no complete response."""

    CONNECT = 'connect'
    """No connection could be opened; nothing was sent."""
    LOST = 'lost'
    """The connection closed before the response was complete."""
    MALFORMED = 'malformed'
    """The response was not valid HTTP/1.1."""
    CANCELLED = 'cancelled'
    """The request was cancelled locally."""


class ResponseHandler(Interface):
    """Receives the response to one request."""

    def response_continue(self) -> None:
        """Handle status 100: the peer is ready to receive the request body."""

    def response_head(self, head: http_head.ResponseHead) -> None:
        """Handle the head of the response."""

    def response_body(self, data: bytes) -> None:
        """Handle a part of the response body."""

    def response_ended(self) -> None:
        """Handle the end of a complete response."""

    def response_failed(self, reason: ClientFailure) -> None:
        """Handle the failure to receive a complete response."""

    def request_writes_paused(self, paused: bool) -> None:
        """Pause or resume the sender of the request body."""


class ConnectionOwner(Interface):
    """Manages connections, such as a pool."""

    def release(self, connection: ClientConnection) -> None:
        """Accept a connection that carries no request any more."""

    def connection_lost(self, connection: ClientConnection) -> None:
        """Remove a closed connection."""


class _MalformedResponseError(Exception):
    """A response that the parser accepts although it is not valid."""


@implementer(interfaces.IPushProducer, interfaces.IHalfCloseableProtocol)
class ClientConnection(protocol.Protocol):
    """Client side of one HTTP/1.1 connection; carries one request at a time.

    Args:
        pool: Pool that the connection returns to.
    """

    def __init__(self, pool: ConnectionOwner) -> None:
        self.idle_since_s: float = 0
        """Time of the release to the pool, by the reactor's clock in seconds."""
        self.acquired_at_s: float = 0
        """Time at which the pool handed it out last, by the reactor's clock in seconds."""
        self.carried_ids = carried_ids.CarriedIds()
        """Ids of the requests that the connection has carried, added by their senders. A peer may
        send a further copy of a response to one of them, so `Pool.acquire` avoids the connection
        for a request with such an id."""
        self.requests_sent = 0
        """Number of requests that the connection has carried, with or without an id."""
        self._pool = pool
        self._handler: ResponseHandler | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._method = b''
        self._status = 0
        self._reason = b''
        self._headers: list[http_head.Header] | header_lines.HeaderLines = []
        # Parts of the body that the current read holds.
        self._parts: list[bytes] = []
        self._framing = http_head.Framing.NONE
        self._head_received = False
        self._head_bytes = 0
        self._framing_bytes = 0
        self._response_complete = False
        self._request_complete = False
        self._chunked = False
        self._skips_response = False
        self._reusable = True
        self._disconnected = False
        self._was_reset = False
        self._paused = False
        self._parsing = False

    @property
    def is_idle(self) -> bool:
        """Whether the connection carries no request and can be reused."""
        return self._handler is None and self._reusable and not self._disconnected

    @property
    def waited_ms(self) -> float:
        """How long the newest bytes had waited to be read; see `arrival`."""
        return arrival.waited_ms(self.transport)

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
            handler: Receives the response.
        """
        self.requests_sent += 1
        self._handler = handler
        self._method = head.method
        self._chunked = head.framing is http_head.Framing.CHUNKED
        self._head_received = False
        self._head_bytes = 0
        self._framing_bytes = 0
        self._response_complete = False
        self._request_complete = False
        self._create_parser()
        write_batch.BATCH.write(self.transport, http_head.serialize_request(head))

    def send_body(self, data: bytes) -> None:
        """Send a part of the request body."""
        if not self._disconnected and data:
            encoded = http_head.chunk(data) if self._chunked else data
            write_batch.BATCH.write(self.transport, encoded)

    def end_request(self) -> None:
        """Complete the request."""
        if self._chunked and not self._disconnected:
            write_batch.BATCH.write(self.transport, http_head.LAST_CHUNK)
        self._request_complete = True
        self._release_or_close()

    def cancel(self) -> None:
        """Cancel the request and close the connection, without notifying the handler."""
        self._handler = None
        self._reusable = False
        self._parts = []
        if not self._disconnected:
            write_batch.BATCH.discard(self.transport)
            self.transport.abortConnection()

    def skip_response(self) -> bool:
        """Ignore the response whose head has just been received, and wait for another one.

        Returns:
            Whether another response may follow on this connection.
        """
        if not self._reusable or self._method == b'HEAD':
            return False
        self._skips_response = True
        return True

    def pause_response(self, paused: bool) -> None:
        """Pause or resume reading the response."""
        if self._disconnected or self._handler is None or paused is self._paused:
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
            self._feed(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
            _MalformedResponseError,
        ) as problem:
            _log_problem(problem)
            if not self._response_complete:
                self._fail_request(ClientFailure.MALFORMED)
            self._reusable = False
            self.transport.abortConnection()
        else:
            self._parsing = False
            self._release_or_close()
        finally:
            self._parsing = False
            write_batch.BATCH.end()

    def readConnectionLost(self) -> None:  # noqa: N802
        """Close the connection, since the peer has closed its end; see Twisted.

        A reset whose error was already read looks like a regular end as well.
        """
        self._was_reset = self._was_reset or half_close.is_reset(self.transport)
        self.transport.connectionLost(failure.Failure(error.ConnectionDone()))

    def writeConnectionLost(self) -> None:  # noqa: N802
        """Do nothing: this end is not closed by itself; see Twisted."""

    def connectionLost(self, reason: failure.Failure | None = None) -> None:  # noqa: N802
        """Notify the handler of an unfinished response; see Twisted."""
        self._disconnected = True
        is_done = reason is not None and reason.check(error.ConnectionDone) is not None
        is_regular = is_done and not self._was_reset
        if is_regular and self._head_received and self._framing is http_head.Framing.UNTIL_CLOSE:
            self._complete_response()
        self._fail_request(ClientFailure.LOST)
        # The parser refers to the connection, which would be freed only by the collector.
        self._parser = None
        self._pool.connection_lost(self)

    def reset_noticed(self) -> None:
        """Note that a write has met a reset; see `write_batch`."""
        self._was_reset = True

    # Parser callbacks

    def on_message_begin(self) -> None:
        """Start a response; see httptools."""
        if self._response_complete:
            self._reusable = False
        self._headers = []
        self._reason = b''

    def on_status(self, reason: bytes) -> None:
        """Receive a part of the reason phrase; see httptools."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Receive a header; see httptools."""
        # Headers after the body are trailers, which are not forwarded.
        if not self._head_received:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Forward the head to the handler; see httptools."""
        if self._response_complete:
            return
        self._status = self._parser.get_status_code()
        if self._status not in _STATUSES:
            raise _MalformedResponseError(f'status {self._status}')
        if self._status < _MIN_FINAL_STATUS or self._handler is None:
            return
        self._pack_headers()
        head = http_head.ResponseHead(self._status, self._headers, self._reason)
        self._framing = head.framing(self._method)
        self._reusable = (
            self._parser.should_keep_alive() and self._framing is not http_head.Framing.UNTIL_CLOSE
        )
        self._head_received = True
        self._handler.response_head(head)
        if self._method == b'HEAD':
            self._complete_response()

    def on_body(self, data: bytes) -> None:
        """Forward a part of the body to the handler; see httptools."""
        self._framing_bytes = 0
        if self._skips_response:
            return
        if self._response_complete:
            # A body that must not exist, as after HEAD; more of it may follow.
            self._reusable = False
        else:
            self._parts.append(data)

    def on_message_complete(self) -> None:
        """End the response; see httptools."""
        if self._status == _STATUS_CONTINUE:
            if self._handler is not None:
                self._handler.response_continue()
            return
        if self._skips_response:
            self._skips_response = False
            self._head_received = False
            self._head_bytes = 0
            self._framing_bytes = 0
        elif self._status >= _MIN_FINAL_STATUS:
            self._forward_body()
            self._complete_response()

    # Write backpressure

    def pauseProducing(self) -> None:  # noqa: N802
        """Pause the sender of the request: the write buffer is full; see Twisted."""
        if self._handler is not None:
            self._handler.request_writes_paused(True)  # noqa: FBT003

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume the sender of the request: the write buffer has drained; see Twisted."""
        if self._handler is not None:
            self._handler.request_writes_paused(False)  # noqa: FBT003

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: `connectionLost` follows; see Twisted."""

    # Private

    def _feed(self, data: bytes) -> None:
        if self._head_received:
            self._framing_bytes += len(data)
        else:
            self._head_bytes += len(data)
        self._parser.feed_data(data)
        if self._parts:
            try:
                self._forward_body()
            except Exception as problem:
                raise httptools.HttpParserCallbackError('response handler') from problem
        if self._framing_bytes > MAX_FRAMING_BYTES and not self._response_complete:
            raise _MalformedResponseError(f'framing exceeds {MAX_FRAMING_BYTES} bytes')
        if not self._head_received:
            if self._head_bytes > MAX_HEAD_BYTES:
                raise _MalformedResponseError(f'head exceeds {MAX_HEAD_BYTES} bytes')
            self._pack_headers()

    def _forward_body(self) -> None:
        """Forward the parts of a read at once: a handler is slow for chunks of one byte."""
        parts = self._parts
        if parts and self._handler is not None:
            self._parts = []
            self._handler.response_body(parts[0] if len(parts) == 1 else b''.join(parts))

    def _pack_headers(self) -> None:
        if isinstance(self._headers, list) and len(self._headers) > header_lines.MAX_PAIRS:
            self._headers = header_lines.HeaderLines(self._headers)

    def _create_parser(self) -> None:
        self._parser = httptools.HttpResponseParser(self)

    def _complete_response(self) -> None:
        if self._response_complete:
            return
        # The next request must not inherit a paused connection.
        self.pause_response(paused=False)
        self._response_complete = True
        self._parser = None
        handler = self._handler
        if handler is not None:
            # A response that ends before the request was sent completely leaves the
            # connection in the middle of a request.
            if not self._request_complete:
                self._reusable = False
            self._handler = None
            handler.response_ended()
        self._release_or_close()

    def _release_or_close(self) -> None:
        # A connection released while it parses could take the rest of the received data
        # for the response to the next request.
        if not self._response_complete or self._disconnected or self._parsing:
            return
        if self._reusable and self._request_complete:
            self._pool.release(self)
        elif not self._reusable:
            write_batch.BATCH.flush(self.transport)
            self.transport.unregisterProducer()
            self.transport.loseConnection()

    def _fail_request(self, reason: ClientFailure) -> None:
        handler = self._handler
        self._handler = None
        self._reusable = False
        self._parts = []
        if handler is not None:
            handler.response_failed(reason)


def _log_problem(problem: Exception) -> None:
    """Log a response that only the parser accepts, or a handler that has failed."""
    cause = problem.__context__ or problem
    if isinstance(cause, _MalformedResponseError):
        event_log.warn('response_malformed', reason=cause)
    elif isinstance(problem, httptools.HttpParserCallbackError):
        event_log.error('response_handler_failed', cause)
