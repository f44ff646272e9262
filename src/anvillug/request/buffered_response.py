"""Body of a response that is read completely before it is used."""

from __future__ import annotations

from anvillug.connection import memory_account

MAX_BYTES = 16 * 1024 * 1024
"""Largest body of a response of a backend server."""
# Not accounted for each response, so that small ones cost nothing and are never rejected.
_FREE_BYTES = 16 * 1024


class BufferedResponse:
    """Body of one response, accounted as memory that the process holds.

    Args:
        max_bytes: Maximum size of the body.
        account: Account of memory; None if the maximum is small.
    """

    __slots__ = ('_account', '_body', '_max_bytes', '_reserved')

    def __init__(self, max_bytes: int, account: memory_account.MemoryAccount | None = None) -> None:
        self._max_bytes = max_bytes
        self._account = account
        self._body: bytes | bytearray = b''
        self._reserved = 0

    def add(self, data: bytes) -> str:
        """Add a part.

        Returns:
            Why it can't be held, empty if it is added.
        """
        size = len(self._body) + len(data)
        if size > self._max_bytes:
            return f'answer exceeds {self._max_bytes} bytes'
        if not self._may_hold(size):
            return 'no memory for the answer'
        if not self._body:
            self._body = data
            return ''
        if isinstance(self._body, bytes):
            # Many small parts in a list would take far more than their bytes.
            self._body = bytearray(self._body)
        self._body += data
        return ''

    def take(self) -> bytes:
        """Return the body and release it."""
        body = bytes(self._body)
        self.clear()
        return body

    def clear(self) -> None:
        """Release the body."""
        self._body = b''
        if self._reserved:
            self._account.reserve(-self._reserved)
            self._reserved = 0

    # Private

    def _may_hold(self, size: int) -> bool:
        more = size - _FREE_BYTES - self._reserved
        if self._account is None or more <= 0:
            return True
        if not self._account.reserve_more(more, self._reserved):
            return False
        self._reserved += more
        return True
