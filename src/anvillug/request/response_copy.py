"""Retains a copy of a response while it is streamed, up to a maximum size."""

from __future__ import annotations

from collections.abc import Iterable

from anvillug.connection import http_head
from anvillug.request import call_table

DEFAULT_MAX_BYTES = 64 * 1024


class ResponseCopy:
    """Copy of one response.

    Args:
        max_bytes: Maximum size of a body to retain.
    """

    __slots__ = ('_body', '_headers', '_max_bytes', '_size', '_status')

    def __init__(self, max_bytes: int = DEFAULT_MAX_BYTES) -> None:
        self._max_bytes = max_bytes
        self._status = 0
        self._headers: tuple[http_head.Header, ...] = ()
        self._body: list[bytes] = []
        self._size = 0

    def start(self, status: int, headers: Iterable[http_head.Header]) -> None:
        """Record the status and the end-to-end headers."""
        self._status = status
        self._headers = tuple(headers)

    def add(self, data: bytes) -> None:
        """Record a part of the body; a body that becomes too large is discarded whole."""
        self._size += len(data)
        if self._size <= self._max_bytes:
            self._body.append(data)
        else:
            self._body.clear()

    def response(self) -> call_table.StoredResponse | None:
        """Return the response, or None if it is too large or has no head."""
        if not self._status or self._size > self._max_bytes:
            return None
        return call_table.StoredResponse(self._status, self._headers, b''.join(self._body))
