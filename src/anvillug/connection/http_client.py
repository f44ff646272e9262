"""HTTP/1.1 client connection with streaming bodies."""

from __future__ import annotations

import enum
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


class ConnectionOwner(Interface):
    """Keeps connections that carry no request."""

    def release(self, connection: ClientConnection) -> None:
        """Take back a connection that carries no request."""

    def connection_lost(self, connection: ClientConnection) -> None:
        """Forget a connection that is gone."""


@implementer(interfaces.IPushProducer)
class ClientConnection(protocol.Protocol):
    """Client side of one HTTP/1.1 connection; carries one request at a time.

    Args:
        pool: Pool that the connection returns to.
    """

    def __init__(self, pool: ConnectionOwner) -> None:
        self.idle_since_s: float = 0
        """When the pool got the connection back, by the reactor's clock in seconds."""
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

    @property
    def is_idle(self) -> bool:
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
