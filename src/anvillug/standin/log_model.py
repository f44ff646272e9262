"""Streams of the platform log stand-in, free of sockets."""

from __future__ import annotations

import collections
import dataclasses
from typing import Any

from anvillug import clock

RATE_WINDOW_MS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class LogSettings:
    """Limits of the log."""

    retention_ms: float = 600_000
    """How long a record is kept."""
    append_limit_per_second: int = 400
    """Appends accepted in any second, over all streams."""


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """One record of a stream."""

    offset: int
    """Position in the stream, from 0."""
    time_ms: int
    """Time of the append since the epoch."""
    data: Any
    """The JSON value that was appended."""


class Stream:
    """Records of one stream with the offsets of those dropped."""

    def __init__(self) -> None:
        self.records: collections.deque[Record] = collections.deque()
        self.next_offset = 0

    @property
    def first_offset(self) -> int:
        """Lowest offset still retained, or the next one of an empty stream."""
        return self.next_offset - len(self.records)

    def expire(self, oldest_ms: float) -> None:
        """Drop the records appended before a time since the epoch."""
        while self.records and self.records[0].time_ms < oldest_ms:
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
        self._recent_appends: collections.deque[float] = collections.deque()

    def append(self, stream_name: str, data: Any) -> int | None:
        """Append a record.

        Args:
            stream_name: Name of the stream, created on its first append.
            data: JSON value.

        Returns:
            The offset, or None when the rate limit is reached.
        """
        if not self._take_rate():
            return None
        stream = self._stream(stream_name)
        record = Record(stream.next_offset, int(self._clock.wall()), data)
        stream.records.append(record)
        stream.next_offset += 1
        return record.offset

    def read(self, stream_name: str, offset: int, limit: int) -> dict[str, Any]:
        """Read records from an offset, or from the first one retained if that is higher.

        Args:
            stream_name: Name of the stream; an unknown one reads as empty.
            offset: Lowest offset wanted.
            limit: Maximum number of records.

        Returns:
            The JSON answer with `first`, `next` and `records`.
        """
        stream = self._stream(stream_name)
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
        """Tell whether a read from an offset returns a record now."""
        stream = self._stream(stream_name)
        return bool(stream.records) and offset < stream.next_offset

    def sizes(self) -> dict[str, dict[str, int]]:
        """Return the first and next offset of each stream by name."""
        return {
            name: {'first': stream.first_offset, 'next': stream.next_offset}
            for name, stream in self._streams_by_name.items()
        }

    def _stream(self, name: str) -> Stream:
        stream = self._streams_by_name.get(name)
        if stream is None:
            stream = Stream()
            self._streams_by_name[name] = stream
        stream.expire(self._clock.wall() - self._settings.retention_ms)
        return stream

    def _take_rate(self) -> bool:
        now = self._clock.now()
        while self._recent_appends and self._recent_appends[0] <= now - RATE_WINDOW_MS:
            self._recent_appends.popleft()
        if len(self._recent_appends) >= self._settings.append_limit_per_second:
            return False
        self._recent_appends.append(now)
        return True
