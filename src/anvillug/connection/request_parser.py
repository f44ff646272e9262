"""Parses the requests of one HTTP/1.1 server connection and checks their heads."""

from __future__ import annotations

from typing import Protocol as Interface

import httptools

from anvillug import event_log
from anvillug.connection import header_lines, http_head

_HTTP11 = '1.1'
_CONNECT = b'CONNECT'
_UPGRADE = b'upgrade'
_FRAMING_HEADERS = frozenset((b'content-length', b'transfer-encoding'))
_CONNECTION_HEADERS = frozenset((b'connection', b'proxy-connection'))
_STATUS_BAD_REQUEST = 400
_EMPTY_LINE_BYTES = 2
_FIELD_FRAMING_BYTES = 4
_MAX_PAIRS = header_lines.MAX_PAIRS
# Bytes are counted by pieces of this size, since the parser does not tell where in a piece a part
# of a message ends.
_PIECE_BYTES = 8 * 1024
# Up to this size, what follows a chunk is taken for the header of the next or the last one.
_CHUNK_HEADER_BYTES = 64
_STATUS_HEAD_TOO_LARGE = 431


class RequestReceiver(Interface):
    """Receives the parts of requests in the order in which they arrive."""

    def head_received(self, head: http_head.RequestHead) -> None:
        """Handle the head of a request."""

    def body_received(self, data: bytes) -> None:
        """Handle a part of the body."""

    def request_received(self) -> None:
        """Handle the end of a request."""

    def request_malformed(self, status: int, message: str) -> None:
        """Handle bytes that are no request; nothing that follows them is parsed.

        Args:
            status: HTTP status to respond with.
            message: What is wrong.
        """

    def receiver_failed(self) -> None:
        """Handle an exception that another method of the receiver has raised."""


class RequestParser:
    """Parser of one connection.

    Args:
        receiver: Receives what is parsed.
        max_head_bytes: Maximum size of a head, a trailer or a chunk header in bytes.
    """

    def __init__(self, receiver: RequestReceiver, max_head_bytes: int) -> None:
        self._receiver = receiver
        self._max_head_bytes = max_head_bytes
        self._target = b''
        self._headers: list[http_head.Header] | header_lines.HeaderLines = []
        # Bytes after the last complete part of a message: a head, a part of a body, or its end.
        self._part_bytes = 0
        self._trailer_bytes = 0
        self._in_head = True
        # Headers with an offer to switch the protocol and a body, which the library takes for that
        # protocol.
        self._offering_headers: list[http_head.Header] | header_lines.HeaderLines | None = None
        # Parts of the body in the bytes that are being parsed. A call of Python code for each chunk
        # would take most of the time of a body in small chunks.
        self._body_parts: list[bytes] = []
        self.on_body = self._body_parts.append
        """Receives a part of the body; see httptools."""
        self.part_count = 0
        """Number of parts of bodies, such as chunks, in the bytes parsed last."""
        self._is_malformed = False
        self._parser = httptools.HttpRequestParser(self)
        self.is_receiving = False
        """Whether a part of a request has been received and its end has not."""

    def feed(self, data: bytes) -> None:
        """Parse received bytes; all parts of a body among them are passed on as one."""
        self.part_count = 0
        if len(data) <= _PIECE_BYTES:
            self._feed_piece(data)
        else:
            view = memoryview(data)
            for start in range(0, len(data), _PIECE_BYTES):
                self._feed_piece(view[start : start + _PIECE_BYTES])
        if self._body_parts:
            try:
                self._pass_body()
            except Exception as error:  # noqa: BLE001 - whatever a handler raises
                self._receiver_failed(error)

    @property
    def part_bytes(self) -> int:
        """Bytes of a head, a trailer or a chunk header whose end has not been received."""
        return self._part_bytes

    @property
    def awaits_head_end(self) -> bool:
        """Whether a part of a head has been received, or more than one empty line before it."""
        return self._in_head and (self.is_receiving or self._part_bytes > _EMPTY_LINE_BYTES)

    @property
    def awaits_trailer_end(self) -> bool:
        """Whether a part of a trailer has been received, or of a chunk header with extensions."""
        return not self._in_head and self._part_bytes > _CHUNK_HEADER_BYTES

    def close(self) -> None:
        """Release what is held, since nothing more is parsed.

        The parser, its callbacks and the receiver refer to each other, and would be freed only by
        the collector.
        """
        self._is_malformed = True
        self._headers = []
        self._offering_headers = None
        self._body_parts.clear()
        self._part_bytes = 0
        self.is_receiving = False
        self._parser = None
        self._receiver = None

    # Callbacks of httptools

    def on_message_begin(self) -> None:
        """Start a request; see httptools."""
        self._target = b''
        self._headers = []
        self._in_head = True
        self.is_receiving = True

    def on_url(self, url: bytes) -> None:
        """Receive a part of the target; see httptools."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Receive a header; see httptools."""
        if self._in_head:
            self._headers.append((name, value))
            return
        # Fields after the body are a trailer, which is not forwarded.
        self._trailer_bytes += len(name) + len(value) + _FIELD_FRAMING_BYTES
        if self._trailer_bytes > self._max_head_bytes:
            self._reject_too_large()

    def on_headers_complete(self) -> None:
        """Pass the head on, or reject it; see httptools."""
        if len(self._headers) > _MAX_PAIRS:
            self._pack_headers()
        if self._offering_headers is not None:
            self._headers = self._offering_headers
            self._offering_headers = None
        elif self._offers_upgrade():
            self._drop_offer()
            if self._has_framing():
                self._offering_headers = self._headers
                return
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
        too_large = self._part_bytes > limit and len(http_head.serialize_request(head)) > limit
        head_error = self._head_error(head)
        if too_large:
            self._reject_too_large()
        elif head_error:
            self._reject(_STATUS_BAD_REQUEST, head_error)
        self._in_head = False
        self._part_bytes = 0
        self._trailer_bytes = 0
        if not self._is_malformed:
            self._receiver.head_received(head)

    def on_message_complete(self) -> None:
        """Pass the end of the request on; see httptools."""
        if self._offering_headers is not None:
            return
        if self._body_parts:
            self._pass_body()
        self._in_head = True
        self._part_bytes = 0
        self.is_receiving = False
        if not self._is_malformed:
            self._receiver.request_received()

    # Private

    def _feed_piece(self, data: bytes | memoryview) -> None:
        if self._is_malformed:
            return
        self._part_bytes += len(data)
        known_count = len(self._body_parts)
        remaining = data
        while remaining:
            remaining = self._parse(remaining)
        if len(self._body_parts) > known_count:
            self._part_bytes = 0
        if self._is_malformed:
            # It holds what it has not passed on.
            self._parser = None
        elif self._in_head:
            if self._part_bytes > self._max_head_bytes:
                self._reject_too_large()
            elif len(self._headers) > _MAX_PAIRS:
                self._pack_headers()
        elif self._part_bytes > self._max_head_bytes + _CHUNK_HEADER_BYTES:
            self._reject_too_large()

    def _parse(self, data: bytes | memoryview) -> bytes | memoryview:
        """Parse bytes up to an offer to switch the protocol, and return what follows it."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            self._receiver_failed(error.__context__ or error)
        except httptools.HttpParserUpgrade as upgrade:
            if self._offering_headers is not None:
                self._resume_body()
            if not self._is_malformed:
                return memoryview(data)[upgrade.args[0] :]
        except httptools.HttpParserError as error:
            self._reject(_STATUS_BAD_REQUEST, f'malformed HTTP request: {error}')
        return b''

    def _offers_upgrade(self) -> bool:
        """Return whether the client offers to switch to another protocol after this head."""
        return self._parser.should_upgrade() and self._parser.get_method() != _CONNECT

    def _pass_body(self) -> None:
        data = b''.join(self._body_parts)
        self.part_count += len(self._body_parts)
        self._body_parts.clear()
        if not self._is_malformed:
            self._receiver.body_received(data)

    def _receiver_failed(self, error: BaseException) -> None:
        event_log.error('request_handler_failed', error)
        self._is_malformed = True
        self._receiver.receiver_failed()

    def _drop_offer(self) -> None:
        """Remove the offer, which a server may ignore (RFC 9110, section 7.8)."""
        if isinstance(self._headers, header_lines.HeaderLines):
            self._headers.remove(_UPGRADE)
        else:
            self._headers = [header for header in self._headers if header[0].lower() != _UPGRADE]

    def _has_framing(self) -> bool:
        """Return whether a body may follow the head."""
        if isinstance(self._headers, header_lines.HeaderLines):
            return any(self._headers.first(name) is not None for name in _FRAMING_HEADERS)
        return any(header[0].lower() in _FRAMING_HEADERS for header in self._headers)

    def _resume_body(self) -> None:
        """Let the library parse the body behind a head with an offer as one of HTTP/1."""
        version = self._parser.get_http_version().encode()
        kept_names = _FRAMING_HEADERS | _CONNECTION_HEADERS
        kept = [header for header in self._headers if header[0].lower() in kept_names]
        head = http_head.RequestHead(self._parser.get_method(), self._target, kept)
        self._parser = httptools.HttpRequestParser(self)
        self._parse(http_head.serialize_request(head, version))

    def _pack_headers(self) -> None:
        if isinstance(self._headers, list):
            self._headers = header_lines.HeaderLines(self._headers)

    def _reject(self, status: int, message: str) -> None:
        if not self._is_malformed:
            self._is_malformed = True
            self._headers = []
            self._part_bytes = 0
            self._receiver.request_malformed(status, message)

    def _reject_too_large(self) -> None:
        part = 'head' if self._in_head else 'trailer or chunk header'
        self._reject(_STATUS_HEAD_TOO_LARGE, f'request {part} exceeds {self._max_head_bytes} bytes')

    def _head_error(self, head: http_head.RequestHead) -> str:
        """Return why a request head is rejected, or an empty string for a valid head."""
        if head.method == _CONNECT:
            return 'method CONNECT: not supported'
        if head.framing is not http_head.Framing.CHUNKED:
            return ''
        if head.get(b'content-length') is not None:
            return 'header Transfer-Encoding: not allowed together with Content-Length'
        return (
            '' if head.supports_chunked else 'header Transfer-Encoding: not supported in HTTP/1.0'
        )
