"""Selection of the notices of an exchange: new ones first, then the others in rotation."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Hashable, Iterable, Sequence
from typing import Generic, TypeVar

HOT_MS = 20_000.0
"""Time for which a notice counts as new; the same as for changed member records."""
MAX_HOT = 256
"""Maximum number of notices that count as new."""

NoticeT = TypeVar('NoticeT')


class HotItems(Generic[NoticeT]):
    """Selects a limited number of notices for each exchange, new ones first.

    Args:
        get_key: Returns the identity of a notice, without the fields that change over time.
    """

    def __init__(self, get_key: Callable[[NoticeT], Hashable]) -> None:
        self._get_key = get_key
        self._added_at: dict[Hashable, float] = {}
        self._next_index = 0

    def add(self, notices: Iterable[NoticeT], now: float) -> int:
        """Mark notices as new and return their number."""
        keys = [self._get_key(notice) for notice in notices]
        for key in keys:
            self._added_at[key] = now
        while len(self._added_at) > MAX_HOT:
            self._added_at.pop(next(iter(self._added_at)))
        return len(keys)

    def select(self, notices: Sequence[NoticeT], limit: int, now: float) -> tuple[NoticeT, ...]:
        """Return notices to send.

        Args:
            notices: All notices; those that are not new are sent in rotation.
            limit: Maximum number of notices.
            now: Monotonic time in milliseconds.

        Returns:
            The notices, new ones first.
        """
        expired = [key for key, added_at in self._added_at.items() if now - added_at > HOT_MS]
        for key in expired:
            self._added_at.pop(key)
        hot_notices = (notice for notice in notices if self._get_key(notice) in self._added_at)
        selected = {
            self._get_key(notice): notice for notice in itertools.islice(hot_notices, limit)
        }
        remaining = min(limit - len(selected), len(notices))
        for offset in range(remaining):
            notice = notices[(self._next_index + offset) % len(notices)]
            selected.setdefault(self._get_key(notice), notice)
        self._next_index += remaining
        return tuple(selected.values())
