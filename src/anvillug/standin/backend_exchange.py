"""Request and response of the backend server stand-in."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Iterator
from http import HTTPStatus
from urllib import parse as url_parse

from anvillug.request import call

TAG_HEADER = 'Load-Tag'
"""Echoed in the response body, so that load generators can match responses to requests."""
PADDING_CHUNK_BYTES = 65_536
MAX_STORED_BODY_BYTES = 65_536
"""Max length of the start of a request body that is stored."""


class BadRequestError(Exception):
    """The request head is too long, or a number in it is malformed."""


class Exchange:
    """A request and the state of its processing.

    Of the body, only the digest and the start are stored.

    Args:
        method: HTTP method.
        target: Path with query as received.
        headers: Header values by lower-case name.
        keep_alive: Whether the caller wants the connection to stay open.
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
        """Whether the whole body has arrived."""
        self.rejected = False
        """Whether the request arrived while the server was closing."""
        self.body_bytes = 0
        self.body_start = bytearray()
        """First bytes of the body, up to `MAX_STORED_BODY_BYTES`."""
        self._digest = hashlib.sha256()
        parts = url_parse.urlsplit(target)
        self.path = parts.path
        query = dict(url_parse.parse_qsl(parts.query))
        self.fixed_ms = _parse_number(query.get('ms'))
        """Service time that the caller requested; None for the one from the settings."""
        self.response_bytes = int(_parse_number(query.get('bytes')) or 0)
        """Min length of the response body, reached by padding."""
        remaining_ms = _parse_number(headers.get(call.DEADLINE_HEADER.lower()))
        self.deadline = None if remaining_ms is None else arrived_at + remaining_ms
        """Monotonic time in milliseconds; None without a limit."""

    @property
    def key(self) -> str:
        """`Idempotency-Key` of the request, or empty."""
        return self.headers.get(call.KEY_HEADER.lower(), '')

    @property
    def call_id(self) -> str:
        """`Anvillug-Call` of the request, or empty."""
        return self.headers.get(call.CALL_HEADER.lower(), '')

    def receive(self, chunk: bytes) -> None:
        """Receive a part of the body."""
        self.body_bytes += len(chunk)
        self._digest.update(chunk)
        if len(self.body_start) < MAX_STORED_BODY_BYTES:
            self.body_start += chunk[: MAX_STORED_BODY_BYTES - len(self.body_start)]

    def encode_response_body(self, backend_id: str, version: str) -> bytes:
        """Return the JSON body that identifies the server and echoes the request."""
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


def encode_head(status: int, length: int, headers: dict[str, str], *, keep_alive: bool) -> bytes:
    """Encode a response head.

    Args:
        status: Status code.
        length: Length of the body in bytes.
        headers: Additional headers.
        keep_alive: Whether the connection stays open after the response.

    Returns:
        Status line and headers, including the empty line.
    """
    lines = [f'HTTP/1.1 {status} {HTTPStatus(status).phrase}', f'Content-Length: {length}']
    if length:
        lines.append('Content-Type: application/json')
    if not keep_alive:
        lines.append('Connection: close')
    lines.extend(f'{name}: {header}' for name, header in headers.items())
    return '\r\n'.join([*lines, '', '']).encode('latin-1')


def padding_chunks(length: int) -> Iterator[bytes]:
    """Yield spaces in chunks; appended to a JSON body, they keep it valid."""
    spaces = b' ' * PADDING_CHUNK_BYTES
    while length > 0:
        yield spaces[:length]
        length -= PADDING_CHUNK_BYTES


def _parse_number(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        number = float(text)
    except ValueError:
        raise BadRequestError(f'{text!r} is not a number') from None
    if not 0 <= number < float('inf'):
        raise BadRequestError(f'{text!r} is not a finite number of at least 0')
    return number
