"""Heads and body framing of HTTP/1.1 messages.

Header names are compared in lower case. The order and case in which they
were received are preserved for forwarding.
"""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Collection, Iterable

from anvillug.connection import header_lines

Header = header_lines.Header

_HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'expect',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    ),
)
_REASON_PHRASES = {
    200: b'OK',
    202: b'Accepted',
    204: b'No Content',
    400: b'Bad Request',
    404: b'Not Found',
    408: b'Request Timeout',
    409: b'Conflict',
    413: b'Content Too Large',
    425: b'Too Early',
    431: b'Request Header Fields Too Large',
    500: b'Internal Server Error',
    502: b'Bad Gateway',
    503: b'Service Unavailable',
    504: b'Gateway Timeout',
}

CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
LAST_CHUNK = b'0\r\n\r\n'
_STATUSES_WITHOUT_BODY = frozenset((204, 304))


class Framing(enum.Enum):
    """How the end of a message body is determined."""

    NONE = 'none'
    LENGTH = 'length'
    CHUNKED = 'chunked'
    UNTIL_CLOSE = 'until-close'


@dataclasses.dataclass(slots=True)
class RequestHead:
    """Method, target and headers of a request.

    The headers must not change after the first call of `get`, which caches them by name.
    """

    method: bytes
    target: bytes
    headers: list[Header] | header_lines.HeaderLines
    keep_alive: bool = True
    supports_chunked: bool = True
    """Whether the sender accepts a chunked response and status 100; False before HTTP/1.1."""
    _by_name: dict[bytes, bytes] | None = dataclasses.field(
        default=None,
        init=False,
        compare=False,
        repr=False,
    )

    _cached_framing: Framing | None = dataclasses.field(
        default=None,
        init=False,
        compare=False,
        repr=False,
    )

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header, None if it is absent; the name is in lower case."""
        if self._by_name is None:
            if isinstance(self.headers, header_lines.HeaderLines):
                return self.headers.first(name)
            self._by_name = _index_by_name(self.headers)
        return self._by_name.get(name)

    @property
    def has_body(self) -> bool:
        """Whether a body follows the head."""
        framing = self.framing
        return framing is Framing.CHUNKED or self.content_length > 0

    @property
    def path(self) -> bytes:
        """Target without the query string."""
        return self.target.partition(b'?')[0]

    @property
    def framing(self) -> Framing:
        """Framing of the body; a request without framing headers has no body."""
        if self._cached_framing is None:
            self._cached_framing = _framing(self, Framing.NONE)
        return self._cached_framing

    @property
    def content_length(self) -> int:
        """Value of `Content-Length` in bytes, 0 if the header is absent."""
        return int(self.get(b'content-length') or 0)

    @property
    def expects_continue(self) -> bool:
        """Whether the sender waits for status 100 before it sends the body."""
        return (self.get(b'expect') or b'').lower() == b'100-continue'


@dataclasses.dataclass(slots=True)
class ResponseHead:
    """Status and headers of a response.

    The headers must not change after the first call of `get`, which caches them by name.
    """

    status: int
    headers: list[Header] | header_lines.HeaderLines
    reason: bytes = b''
    _by_name: dict[bytes, bytes] | None = dataclasses.field(
        default=None,
        init=False,
        compare=False,
        repr=False,
    )

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header, None if it is absent; the name is in lower case."""
        if self._by_name is None:
            if isinstance(self.headers, header_lines.HeaderLines):
                return self.headers.first(name)
            self._by_name = _index_by_name(self.headers)
        return self._by_name.get(name)

    def framing(self, request_method: bytes) -> Framing:
        """Return the framing of the body of a response to a request with the given method."""
        if request_method == b'HEAD' or self.status in _STATUSES_WITHOUT_BODY:
            return Framing.NONE
        return _framing(self, Framing.UNTIL_CLOSE)


def end_to_end_headers(headers: Iterable[Header], excluded: Collection[bytes] = ()) -> list[Header]:
    """Return the end-to-end headers, which a proxy forwards.

    Args:
        headers: Headers as received.
        excluded: Names of further headers to remove, in lower case.

    Returns:
        The headers without hop-by-hop headers, headers named in `Connection`
        and the headers in `excluded`.
    """
    forwarded = []
    connection_tokens: set[bytes] = set()
    for name, value in headers:
        lower = name.lower()
        if lower == b'connection':
            connection_tokens.update(token.strip().lower() for token in value.split(b','))
        if lower not in _HOP_BY_HOP and lower not in excluded:
            forwarded.append((name, value))
    if connection_tokens:
        return [header for header in forwarded if header[0].lower() not in connection_tokens]
    return forwarded


def serialize_request(head: RequestHead, version: bytes = b'1.1') -> bytes:
    """Return a request head as bytes, including the empty line that ends it."""
    lines = [b'%b %b HTTP/%b' % (head.method, head.target, version)]
    return _join_head(lines, head.headers)


def serialize_response(head: ResponseHead) -> bytes:
    """Return a response head as bytes, including the empty line that ends it."""
    reason = head.reason or _REASON_PHRASES.get(head.status, b'Status')
    return _join_head([b'HTTP/1.1 %d %b' % (head.status, reason)], head.headers)


def announce_close(serialized: bytes) -> bytes:
    """Return a serialized head with a further header that announces the close."""
    return b'%bConnection: close\r\n\r\n' % serialized.removesuffix(b'\r\n')


def chunk(data: bytes) -> bytes:
    """Encode data as one chunk of the chunked transfer coding."""
    return b'%x\r\n%b\r\n' % (len(data), data)


def _join_head(lines: list[bytes], headers: Iterable[Header]) -> bytes:
    lines.extend(b'%b: %b' % header for header in headers)
    lines.append(b'\r\n')
    return b'\r\n'.join(lines)


def _index_by_name(headers: Iterable[Header]) -> dict[bytes, bytes]:
    by_name: dict[bytes, bytes] = {}
    for name, value in headers:
        by_name.setdefault(name.lower(), value)
    return by_name


def _framing(head: RequestHead | ResponseHead, default: Framing) -> Framing:
    if head.get(b'transfer-encoding') is not None:
        return Framing.CHUNKED
    if head.get(b'content-length') is not None:
        return Framing.LENGTH
    return default
