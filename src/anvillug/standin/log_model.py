"""Streams of the platform log stand-in, without I/O."""

from __future__ import annotations

import collections
import dataclasses
from typing import Any

from anvillug import clock

RATE_WINDOW_MS = 1000
"""Length of the sliding window of the append rate limit."""


@dataclasses.dataclass(frozen=True, slots=True)
class LogSettings:
    """Limits of the log."""

    retention_ms: float = 600_000
    """Time for which a record is retained."""
    append_limit_per_second: int = 400
    """Max appends in any period of one second, over all streams."""


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """One record of a stream."""

    offset: int
    """Position in the stream, starting at 0."""
    time_ms: int
    """Time of the append in milliseconds since the epoch."""
    data: Any
    """JSON value that was appended."""


class Stream:
    """Retained records of one stream, and the offset of the next record."""

    def __init__(self) -> None:
        self.records: collections.deque[Record] = collections.deque()
        self.next_offset = 0

    @property
    def first_offset(self) -> int:
        """Offset of the oldest retained record; the next offset if there is none."""
        return self.next_offset - len(self.records)

    def expire(self, min_time_ms: float) -> None:
        """Remove the records appended before a time in milliseconds since the epoch."""
        while self.records and self.records[0].time_ms < min_time_ms:
            self.records.popleft()


class LogModel:
    """Streams with retention and an append rate limit.

    Args:
        settings: Limits of the log.
        time_source: Clock for record times and the rate limit.
    """

    def __init__(self, settings: LogSettings, time_source: clock.Clock) -> None:
        self._settings = settings
        self._clock = time_source
        self._streams_by_name: dict[str, Stream] = {}
        self._recent_append_times: collections.deque[float] = collections.deque()

    def append(self, stream_name: str, data: Any) -> int | None:
        """Append a record.

        Args:
            stream_name: Name of the stream; it is created on first use.
            data: JSON value.

        Returns:
            The offset, or None if the rate limit is exceeded.
        """
        if not self._admit_append():
            return None
        stream = self._get_stream(stream_name)
        record = Record(stream.next_offset, int(self._clock.wall()), data)
        stream.records.append(record)
        stream.next_offset += 1
        return record.offset

    def read(self, stream_name: str, offset: int, limit: int) -> dict[str, Any]:
        """Read records from an offset, or from the first retained one if that is higher.

        Args:
            stream_name: Name of the stream; it is created empty on first use.
            offset: Lowest offset to return.
            limit: Maximum number of records.

        Returns:
            The JSON response body with `first`, `next` and `records`.
        """
        stream = self._get_stream(stream_name)
        first = stream.first_offset
        begin = max(offset, first)
        end = min(begin + limit, stream.next_offset)
        records = [stream.records[index - first] for index in range(begin, end)]
        return {
            'first': first,
            'next': stream.next_offset,
            'records': [dataclasses.asdict(record) for record in records],
        }

    def has_record_at(self, stream_name: str, offset: int) -> bool:
        """Return whether a read from an offset would return a record now."""
        stream = self._get_stream(stream_name)
        return bool(stream.records) and offset < stream.next_offset

    def offset_ranges(self) -> dict[str, dict[str, int]]:
        """Return the first and next offset of each stream by name."""
        return {
            name: {'first': stream.first_offset, 'next': stream.next_offset}
            for name, stream in self._streams_by_name.items()
        }

    def _get_stream(self, name: str) -> Stream:
        stream = self._streams_by_name.get(name)
        if stream is None:
            stream = Stream()
            self._streams_by_name[name] = stream
        stream.expire(self._clock.wall() - self._settings.retention_ms)
        return stream

    def _admit_append(self) -> bool:
        now = self._clock.now()
        while self._recent_append_times and self._recent_append_times[0] <= now - RATE_WINDOW_MS:
            self._recent_append_times.popleft()
        if len(self._recent_append_times) >= self._settings.append_limit_per_second:
            return False
        self._recent_append_times.append(now)
        return True
