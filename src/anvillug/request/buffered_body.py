"""Parts of a request body that wait, accounted as memory that the process holds for clients."""

from __future__ import annotations

from anvillug.connection import memory_account

PART_BYTES = 64
"""Estimated memory of one part beside its bytes; a caller may send chunks of one byte."""


class BufferedBody:
    """Parts of one body in the order in which they were received.

    Args:
        account: Account of the memory that the process holds for clients.
    """

    def __init__(self, account: memory_account.MemoryAccount) -> None:
        self.parts: list[bytes] = []
        """Parts that wait."""
        self._account = account
        self._reserved = 0

    def add(self, data: bytes) -> bool:
        """Add a part.

        Returns:
            Whether there was memory for it; if not, it is not added.
        """
        size = len(data) + PART_BYTES
        if not self._account.reserve_more(size, self._reserved):
            return False
        self._reserved += size
        self.parts.append(data)
        return True

    def take(self, count: int | None = None) -> list[bytes]:
        """Remove the first parts, all without a count, and return them."""
        taken = self.parts[:count]
        del self.parts[:count]
        size = sum(len(data) + PART_BYTES for data in taken)
        self._account.reserve(-size)
        self._reserved -= size
        return taken

    def clear(self) -> None:
        """Drop all parts."""
        self.parts.clear()
        self._account.reserve(-self._reserved)
        self._reserved = 0
