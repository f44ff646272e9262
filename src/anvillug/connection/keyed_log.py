"""Interface to a log that keeps the newest record of each key."""

from __future__ import annotations

import dataclasses
from typing import Protocol as Interface

from anvillug.version import directives


class LogUnavailableError(Exception):
    """A call was not answered, or refused; the message says which and why."""


class HistoryDroppedError(Exception):
    """The records that were asked for have been deleted."""


class ConditionFailedError(Exception):
    """The topic does not end where the append demanded."""


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Records of a topic, in the order of their offsets."""

    changes: tuple[tuple[str, directives.Record], ...]
    """Key and record; an empty value drops the key."""
    end: int
    """Offset to read on from."""


class KeyedLog(Interface):
    """Log with keyed topics."""

    async def newest(self, topic: str) -> Batch:
        """Return the newest record of each key; records may be missing that came meanwhile.

        Args:
            topic: Keyed topic.

        Raises:
            LogUnavailableError: If the log does not answer.
        """

    async def read(self, topic: str, start: int, wait_ms: int) -> Batch:
        """Return records from an offset on, once there is one or the wait is over.

        Args:
            topic: Keyed topic.
            start: Offset of the first record.
            wait_ms: Longest wait in milliseconds.

        Raises:
            HistoryDroppedError: If the records have been deleted.
            LogUnavailableError: If the log does not answer.
        """

    async def append(self, topic: str, key: str, value: bytes, at: int | None = None) -> int:
        """Append one record and return its offset.

        Args:
            topic: Keyed topic.
            key: Key of the record.
            value: Value of the record.
            at: Offset at which the topic has to end, None for any.

        Raises:
            ConditionFailedError: If the topic ends elsewhere.
            LogUnavailableError: If the log does not answer; the record may have been appended.
        """
