"""One request on a server connection, and the means to answer it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol as Interface

from anvillug.connection import http_head

_CHUNKED_FRAMINGS = frozenset((http_head.Framing.CHUNKED, http_head.Framing.UNTIL_CLOSE))


class RequestHandler(Interface):
    """Receives the body of one request and signals about its connection."""

    def body_received(self, data: bytes) -> None:
        """Take a piece of the request body."""

    def request_ended(self) -> None:
        """Note that the request is complete."""

    def request_aborted(self) -> None:
        """Note that the connection is gone before the answer was complete."""

    def response_writes_paused(self, paused: bool) -> None:
        """Note that the sender of the answer should pause or resume."""


class ExchangeConnection(Interface):
    """Connection that an exchange answers on."""

    def send(self, data: bytes) -> None:
        """Write bytes to the connection."""

    def abort(self) -> None:
        """Close the connection with a reset."""

    def pause_reading(self, paused: bool) -> None:
        """Stop or go on reading."""

    def exchange_ended(self, exchange: ServerExchange) -> None:
        """Go on with the next request, or close."""

    def closes_after(self, exchange: ServerExchange) -> bool:
        """Tell whether the connection ends with an answer."""


class ServerExchange:
    """One request and the means to answer it.

    Args:
        connection: Connection that the request arrived on.
        head: Head of the request.
    """

    __slots__ = ('_chunked', '_connection', '_continued', 'ended', 'handler', 'head', 'head_sent')

    def __init__(self, connection: ExchangeConnection, head: http_head.RequestHead) -> None:
        self.head = head
        self.handler: RequestHandler | None = None
        self.head_sent = False
        self.ended = False
        self._connection = connection
        self._chunked = False
        self._continued = False

    @property
    def expects_body(self) -> bool:
        """Whether the sender of the request does not wait to be asked for the body."""
        return self._continued or not self.head.expects_continue

    def accept_body(self) -> None:
        """Let a sender that waits for status 100 go on with the body."""
        if self.head.expects_continue and self.head.supports_chunked and not self._continued:
            self._continued = True
            self.send_continue()

    def send_continue(self) -> None:
        """Send the interim status 100."""
        if not self.ended and not self.head_sent:
            self._connection.send(http_head.CONTINUE)

    def send_head(self, head: http_head.ResponseHead) -> None:
        """Send the head of the answer.

        Args:
            head: Head with end-to-end headers only; when it has no
                `Content-Length`, the body is sent in chunks, and to callers
                before HTTP/1.1 up to the end of the connection.
        """
        if self.ended:
            return
        framing = head.framing(self.head.method)
        if framing in _CHUNKED_FRAMINGS and self.head.supports_chunked:
            head.headers.append((b'Transfer-Encoding', b'chunked'))
            self._chunked = True
        if self._connection.closes_after(self):
            self.head.keep_alive = False
            head.headers.append((b'Connection', b'close'))
        self.head_sent = True
        self._connection.send(http_head.serialize_response(head))

    def send_body(self, data: bytes) -> None:
        """Send a piece of the body."""
        if self.ended or not data:
            return
        self._connection.send(http_head.chunk(data) if self._chunked else data)

    def finish(self) -> None:
        """Complete the answer."""
        if self.ended:
            return
        self.ended = True
        if self._chunked:
            self._connection.send(http_head.LAST_CHUNK)
        self._connection.exchange_ended(self)

    def respond(
        self,
        status: int,
        body: bytes = b'',
        headers: tuple[http_head.Header, ...] = (),
    ) -> None:
        """Send a whole answer.

        Args:
            status: HTTP status.
            body: Body of the answer.
            headers: Further headers.
        """
        if self.ended:
            return
        all_headers = [(b'Content-Length', b'%d' % len(body)), *headers]
        self.send_head(http_head.ResponseHead(status, all_headers))
        if self.head.method != b'HEAD':
            self.send_body(body)
        self.finish()

    def abort(self) -> None:
        """Close the connection at once, so that a cut answer is not taken for whole."""
        if not self.ended:
            self.ended = True
            self._connection.abort()

    def pause_request(self, paused: bool) -> None:
        """Stop or go on reading the body of the request."""
        if not self.ended:
            self._connection.pause_reading(paused)


RequestStarted = Callable[[ServerExchange], None]
