"""One request on a connection of the backend server stand-in and its response."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Iterator
from http import HTTPStatus
from urllib import parse as url_parse

from anvillug.request import call

TAG_HEADER = 'Load-Tag'  # echoed, so that the load generator knows its responses
CHUNK_BYTES = 65_536
MAX_KEPT_BODY_BYTES = 65_536


class BadRequestError(Exception):
    """The request can't be answered as asked."""


class Exchange:
    """A request while it is read and answered.

    Only the digest of the body and the start of it are kept.

    Args:
        method: HTTP method.
        target: Path with query as received.
        headers: Header values by lower-case name.
        keep_alive: Whether the caller keeps the connection open.
        arrived_at: Monotonic time of arrival in milliseconds.

    Raises:
        BadRequestError: If a number in query or headers is malformed.
    """

    def __init__(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        *,
        keep_alive: bool,
        arrived_at: float,
    ) -> None:
        self.method = method
        self.headers = headers
        self.keep_alive = keep_alive
        self.complete = False
        self.rejected = False
        self.body_bytes = 0
        self.kept_body = bytearray()
        self._digest = hashlib.sha256()
        parts = url_parse.urlsplit(target)
        self.path = parts.path
        query = dict(url_parse.parse_qsl(parts.query))
        self.fixed_ms = _number(query.get('ms'))
        self.response_bytes = int(_number(query.get('bytes')) or 0)
        allowed = _number(headers.get(call.DEADLINE_HEADER.lower()))
        self.deadline = None if allowed is None else arrived_at + allowed

    @property
    def key(self) -> str:
        """`Idempotency-Key` of the request, or empty."""
        return self.headers.get(call.KEY_HEADER.lower(), '')

    @property
    def call_id(self) -> str:
        """`Anvillug-Call` of the request, or empty."""
        return self.headers.get(call.CALL_HEADER.lower(), '')

    def receive(self, chunk: bytes) -> None:
        """Take a part of the body."""
        self.body_bytes += len(chunk)
        self._digest.update(chunk)
        if len(self.kept_body) < MAX_KEPT_BODY_BYTES:
            self.kept_body += chunk[: MAX_KEPT_BODY_BYTES - len(self.kept_body)]

    def describe(self, backend_id: str, version: str) -> bytes:
        """Return the JSON body that names server and request."""
        return json.dumps(
            {
                'id': backend_id,
                'version': version,
                'method': self.method,
                'path': self.path,
                'call': self.call_id,
                'key': self.key,
                'tag': self.headers.get(TAG_HEADER.lower(), ''),
                'body_bytes': self.body_bytes,
                'body_sha256': self._digest.hexdigest(),
            }
        ).encode()


def head(status: int, length: int, headers: dict[str, str], *, keep_alive: bool) -> bytes:
    """Encode a response head.

    Args:
        status: Status code.
        length: Length of the body in bytes.
        headers: Further headers.
        keep_alive: Whether the connection stays open afterwards.

    Returns:
        Status line and headers up to the empty line.
    """
    lines = [f'HTTP/1.1 {status} {HTTPStatus(status).phrase}', f'Content-Length: {length}']
    if length:
        lines.append('Content-Type: application/json')
    if not keep_alive:
        lines.append('Connection: close')
    lines.extend(f'{name}: {header}' for name, header in headers.items())
    return '\r\n'.join([*lines, '', '']).encode('latin-1')


def padding(length: int) -> Iterator[bytes]:
    """Yield blanks in chunks; they keep a JSON body valid."""
    blanks = b' ' * CHUNK_BYTES
    while length > 0:
        yield blanks[:length]
        length -= CHUNK_BYTES


def _number(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        number = float(text)
    except ValueError:
        raise BadRequestError(f'{text!r} is not a number') from None
    if not 0 <= number < float('inf'):
        raise BadRequestError(f'{text!r} is not a finite number of at least 0')
    return number
