"""Heads and body framing of HTTP/1.1 messages.

Header names are compared in lower case; the order and spelling that arrived
are kept for forwarding.
"""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Collection, Iterable

Header = tuple[bytes, bytes]

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
_REASONS = {
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
    """How the end of a body is found."""

    NONE = 'none'
    LENGTH = 'length'
    CHUNKED = 'chunked'
    UNTIL_CLOSE = 'until-close'


@dataclasses.dataclass(slots=True)
class RequestHead:
    """Method, target and headers of a request.

    The headers are not changed once one of them was looked up.
    """

    method: bytes
    target: bytes
    headers: list[Header]
    keep_alive: bool = True
    supports_chunked: bool = True
    """Whether the sender takes a chunked answer and status 100; not so before HTTP/1.1."""
    _by_name: dict[bytes, bytes] | None = dataclasses.field(
        default=None,
        init=False,
        compare=False,
        repr=False,
    )

    _known_framing: Framing | None = dataclasses.field(
        default=None,
        init=False,
        compare=False,
        repr=False,
    )

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header, named in lower case."""
        if self._by_name is None:
            self._by_name = _index(self.headers)
        return self._by_name.get(name)

    @property
    def has_body(self) -> bool:
        """Whether a body follows the head."""
        framing = self.framing
        return framing is Framing.CHUNKED or self.content_length > 0

    @property
    def path(self) -> bytes:
        """Target without the query."""
        return self.target.partition(b'?')[0]

    @property
    def framing(self) -> Framing:
        """How the body ends; a request without framing headers has no body."""
        if self._known_framing is None:
            self._known_framing = _framing(self, Framing.NONE)
        return self._known_framing

    @property
    def content_length(self) -> int:
        """Announced body length in bytes, 0 if none is announced."""
        return int(self.get(b'content-length') or 0)

    @property
    def expects_continue(self) -> bool:
        """Whether the sender waits for status 100 before it sends the body."""
        return (self.get(b'expect') or b'').lower() == b'100-continue'


@dataclasses.dataclass(slots=True)
class ResponseHead:
    """Status and headers of a response.

    The headers are not changed once one of them was looked up.
    """

    status: int
    headers: list[Header]
    reason: bytes = b''
    _by_name: dict[bytes, bytes] | None = dataclasses.field(
        default=None,
        init=False,
        compare=False,
        repr=False,
    )

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header, named in lower case."""
        if self._by_name is None:
            self._by_name = _index(self.headers)
        return self._by_name.get(name)

    def framing(self, request_method: bytes) -> Framing:
        """Return how the body ends, given the method that was asked for."""
        if request_method == b'HEAD' or self.status in _STATUSES_WITHOUT_BODY:
            return Framing.NONE
        return _framing(self, Framing.UNTIL_CLOSE)


def end_to_end(headers: Iterable[Header], dropped: Collection[bytes] = ()) -> list[Header]:
    """Return the headers that a proxy forwards.

    Args:
        headers: Headers as they arrived.
        dropped: Further names to leave out, in lower case.

    Returns:
        Headers without hop-by-hop headers, those named by `Connection`, and
        those to be dropped.
    """
    kept = []
    named: set[bytes] = set()
    for name, value in headers:
        lower = name.lower()
        if lower == b'connection':
            named.update(token.strip().lower() for token in value.split(b','))
        if lower not in _HOP_BY_HOP and lower not in dropped:
            kept.append((name, value))
    if named:
        return [header for header in kept if header[0].lower() not in named]
    return kept


def serialize_request(head: RequestHead) -> bytes:
    """Return a request head as bytes, up to and with the empty line."""
    lines = [b'%b %b HTTP/1.1' % (head.method, head.target)]
    return _join(lines, head.headers)


def serialize_response(head: ResponseHead) -> bytes:
    """Return a response head as bytes, up to and with the empty line."""
    reason = head.reason or _REASONS.get(head.status, b'Status')
    return _join([b'HTTP/1.1 %d %b' % (head.status, reason)], head.headers)


def chunk(data: bytes) -> bytes:
    """Return data as one chunk of the chunked transfer coding."""
    return b'%x\r\n%b\r\n' % (len(data), data)


def _join(lines: list[bytes], headers: Iterable[Header]) -> bytes:
    lines.extend(b'%b: %b' % header for header in headers)
    lines.append(b'\r\n')
    return b'\r\n'.join(lines)


def _index(headers: Iterable[Header]) -> dict[bytes, bytes]:
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
