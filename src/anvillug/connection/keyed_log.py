"""Interface of a log that retains the newest record of each key."""

from __future__ import annotations

from typing import NamedTuple
from typing import Protocol as Interface

from anvillug.version import directives


class LogUnavailableError(Exception):
    """The log did not respond or rejected the request; the message gives the reason."""


class RecordsDeletedError(Exception):
    """The requested records are not in the log (any more)."""


class ConditionFailedError(Exception):
    """The topic does not end at the offset that the append requires."""


class Batch(NamedTuple):
    """Records of a topic, in the order of their offsets."""

    changes: tuple[tuple[str, directives.Record], ...]
    """Keys with their records; an empty value deletes the key."""
    end: directives.Position
    """Position of the next read."""
    is_complete: bool = True
    """Whether the topic ended at that position."""


class KeyedLog(Interface):
    """Log with keyed topics."""

    async def newest(self, topic: str) -> Batch:
        """Return the newest record of each key; may omit records appended during the call.

        Args:
            topic: Keyed topic.

        Raises:
            LogUnavailableError: If the log does not respond or rejects the request.
        """

    async def read(self, topic: str, start: int, wait_ms: int) -> Batch:
        """Return records from an offset on; wait for the first one up to a time limit.

        The offset is one of the log's present era, which the returned records name.

        Args:
            topic: Keyed topic.
            start: Offset of the first record.
            wait_ms: Max time to wait for a record in milliseconds.

        Raises:
            RecordsDeletedError: If the records have been deleted, or the log ends before them.
            LogUnavailableError: If the log does not respond or rejects the request.
        """

    async def append(
        self, topic: str, key: str, value: bytes, expected_end: int | None = None
    ) -> directives.Position:
        """Append one record and return its position.

        A position of another era than that of the preceding read means that `expected_end` was
        compared with the end of another log: the records before it may differ from those read.

        Args:
            topic: Keyed topic.
            key: Key of the record.
            value: Value of the record.
            expected_end: Required end offset of the topic before the append; None for any.

        Raises:
            ConditionFailedError: If the topic ends at another offset.
            LogUnavailableError: If the log does not respond; the record may have been appended.
        """
