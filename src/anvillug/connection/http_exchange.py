"""One request on a server connection, and the methods to respond to it."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple
from typing import Protocol as Interface

from anvillug.connection import http_head

_CHUNKED_FRAMINGS = frozenset((http_head.Framing.CHUNKED, http_head.Framing.UNTIL_CLOSE))


class RequestHandler(Interface):
    """Receives the body of one request and events of its connection."""

    def body_received(self, data: bytes) -> None:
        """Handle a part of the request body."""

    def request_ended(self) -> None:
        """Handle the end of a complete request."""

    def request_aborted(self) -> None:
        """Handle the loss of the connection before the response was complete."""

    def response_writes_paused(self, paused: bool) -> None:
        """Pause or resume the sender of the response body."""


class ExchangeConnection(Interface):
    """Connection that an exchange sends its response on."""

    def send(self, data: bytes) -> None:
        """Write bytes to the connection."""

    def abort(self) -> None:
        """Close the connection with a reset."""

    def pause_reading(self, paused: bool) -> None:
        """Pause or resume reading."""

    def exchange_ended(self, exchange: ServerExchange) -> None:
        """Process the next request, or close the connection."""

    def closes_after(self, exchange: ServerExchange) -> bool:
        """Return whether the connection closes after the response of an exchange."""


class Place(NamedTuple):
    """Place of a request among those of its connection."""

    connection: int = 0
    """Number of the connection, counted per process; 0 if it is not known."""
    ahead: int = 0
    """Unanswered requests before this one when it began; their responses are sent first."""


class ServerExchange:
    """One request and its response.

    Args:
        connection: Connection that the request was received on.
        head: Head of the request.
        place: Place of the request among those of the connection.
    """

    __slots__ = (
        '_chunked',
        '_connection',
        '_continue_sent',
        'ended',
        'goes_on',
        'handler',
        'head',
        'head_sent',
        'place',
    )

    def __init__(
        self,
        connection: ExchangeConnection,
        head: http_head.RequestHead,
        place: Place = Place(),  # noqa: B008, WPS404 - an immutable value
    ) -> None:
        self.head = head
        self.place = place
        self.handler: RequestHandler | None = None
        self.head_sent = False
        self.ended = False
        self.goes_on = False
        """Whether a backend server may run the request and would not be stopped, so that a
        caller that may have left is answered all the same."""
        self._connection: ExchangeConnection | None = connection
        self._chunked = False
        self._continue_sent = False

    @property
    def expects_body(self) -> bool:
        """Whether the client sends the body without waiting for a further status 100."""
        return self._continue_sent or not self.head.expects_continue

    def accept_body(self) -> None:
        """Send status 100 if the client waits for it before it sends the body."""
        if self.head.expects_continue and self.head.supports_chunked and not self._continue_sent:
            self._continue_sent = True
            self.send_continue()

    def send_continue(self) -> None:
        """Send the interim status 100."""
        if not self.ended and not self.head_sent:
            self._connection.send(http_head.CONTINUE)

    def send_head(self, head: http_head.ResponseHead) -> None:
        """Send the head of the response.

        Args:
            head: Head with end-to-end headers only. Without `Content-Length`, the
                body is chunked; HTTP/1.0 clients receive it unframed, ended by the close
                of the connection.
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
        """Send a part of the response body."""
        if self.ended or not data:
            return
        self._connection.send(http_head.chunk(data) if self._chunked else data)

    def finish(self) -> None:
        """Complete the response."""
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
        """Send a complete response.

        Args:
            status: HTTP status.
            body: Body of the response.
            headers: Headers besides `Content-Length`.
        """
        if self.ended:
            return
        all_headers = [(b'Content-Length', b'%d' % len(body)), *headers]
        self.send_head(http_head.ResponseHead(status, all_headers))
        if self.head.method != b'HEAD':
            self.send_body(body)
        self.finish()

    def abort(self) -> None:
        """Reset the connection, so that a truncated response does not look complete."""
        if not self.ended:
            self.ended = True
            self._connection.abort()

    def detach(self) -> None:
        """Let go of the handler and the connection, since the exchange has ended.

        They refer to the exchange, and would be freed only by the collector.
        """
        self.handler = None
        self._connection = None

    def pause_request(self, paused: bool) -> None:
        """Pause or resume reading the request body."""
        if not self.ended:
            self._connection.pause_reading(paused)


RequestStarted = Callable[[ServerExchange], None]
