"""Retains a copy of a response while it is streamed, up to a maximum size."""

from __future__ import annotations

from collections.abc import Iterable

from anvillug.connection import http_head, memory_account
from anvillug.request import call_table

DEFAULT_MAX_BYTES = 64 * 1024


class ResponseCopy:
    """Copy of one response.

    Args:
        max_bytes: Maximum size of a body to retain.
        account: Account of memory; if it is given, nothing is retained while little is left in it.
    """

    __slots__ = (
        '_account',
        '_body',
        '_headers',
        '_is_dropped',
        '_max_bytes',
        '_reserved',
        '_size',
        '_status',
    )

    def __init__(
        self,
        max_bytes: int = DEFAULT_MAX_BYTES,
        account: memory_account.MemoryAccount | None = None,
    ) -> None:
        self._account = account
        self._is_dropped = False
        self._reserved = 0
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
        if self._size <= self._max_bytes and self._may_hold(len(data)):
            self._body.append(data)
        else:
            self.drop()

    def response(self) -> call_table.StoredResponse | None:
        """Return the response, or None if it is too large or has no head."""
        if not self._status or self._is_dropped:
            return None
        return call_table.StoredResponse(self._status, self._headers, b''.join(self._body))

    def drop(self) -> None:
        """Drop what is retained."""
        self._is_dropped = True
        self._body.clear()
        if self._account is not None:
            self._account.reserve(-self._reserved)
            self._reserved = 0

    # Private

    def _may_hold(self, size: int) -> bool:
        if self._is_dropped:
            return False
        if self._account is None:
            return True
        if not (self._account.is_ample and self._account.reserve(size)):
            return False
        self._reserved += size
        return True
