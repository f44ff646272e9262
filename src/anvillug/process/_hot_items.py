"""Notices that are sent first for a while, with the others sent in turn."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Hashable, Iterable, Sequence
from typing import Generic, TypeVar

HOT_MS = 20_000.0  # as long as member changes are sent
MAX_HOT = 256

NoticeT = TypeVar('NoticeT')


class HotItems(Generic[NoticeT]):
    """Picks a bounded number of notices for each exchange, new ones first.

    Args:
        key_of: Identifies a notice; fields that change with time are left out.
    """

    def __init__(self, key_of: Callable[[NoticeT], Hashable]) -> None:
        self._key_of = key_of
        self._added_at: dict[Hashable, float] = {}
        self._next = 0

    def add(self, notices: Iterable[NoticeT], now: float) -> int:
        """Note new notices and return their number."""
        keys = [self._key_of(notice) for notice in notices]
        for key in keys:
            self._added_at[key] = now
        while len(self._added_at) > MAX_HOT:
            self._added_at.pop(next(iter(self._added_at)))
        return len(keys)

    def pick(self, known: Sequence[NoticeT], limit: int, now: float) -> tuple[NoticeT, ...]:
        """Return notices to send.

        Args:
            known: All notices; those that are not new are sent in turn.
            limit: Largest number of notices.
            now: Monotonic time in milliseconds.

        Returns:
            The notices, new ones first.
        """
        expired = [key for key, added_at in self._added_at.items() if now - added_at > HOT_MS]
        for key in expired:
            self._added_at.pop(key)
        hot = (notice for notice in known if self._key_of(notice) in self._added_at)
        picked = {self._key_of(notice): notice for notice in itertools.islice(hot, limit)}
        free = min(limit - len(picked), len(known))
        for offset in range(free):
            notice = known[(self._next + offset) % len(known)]
            picked.setdefault(self._key_of(notice), notice)
        self._next += free
        return tuple(picked.values())
