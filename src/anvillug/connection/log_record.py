"""Records of the platform log and the interface of its clients."""

from __future__ import annotations

import dataclasses
from typing import Any, Protocol

from twisted.internet import defer

from anvillug import clock, ids


@dataclasses.dataclass(frozen=True, slots=True)
class LogRecord:
    """One record of a stream."""

    offset: ids.LogOffset
    """Position in the stream; offsets are contiguous."""
    time_ms: clock.Milliseconds
    """Wall-clock time of the log at the append."""
    data: Any
    """Decoded JSON value."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadResult:
    """Result of a read."""

    first: ids.LogOffset
    """Lowest offset that is still retained."""
    next: ids.LogOffset
    """Offset of the next record to be written."""
    records: tuple[LogRecord, ...]
    """Records in order of their offsets; empty if none arrived within the wait."""


class LogError(Exception):
    """A request to the log failed."""


class LogUnavailable(LogError):  # noqa: N818 - named in the design
    """The log can't be reached or rejected the request; an append did not take effect."""


class LogResponseLost(LogError):  # noqa: N818 - named like its siblings
    """An append was sent but its response was lost; it may have taken effect."""


class RateLimited(LogError):  # noqa: N818 - named in the design
    """The log rejected an append that exceeds its rate limit; it did not take effect."""


class LogClient(Protocol):
    """Access to the platform log."""

    def append(self, stream: str, data: object) -> defer.Deferred[ids.LogOffset]:
        """Append a record.

        Args:
            stream: Name of the stream.
            data: JSON value.

        Returns:
            The record's offset; fails with `LogUnavailable`, `LogResponseLost` or `RateLimited`.
        """

    def read(
        self,
        stream: str,
        offset: ids.LogOffset,
        limit: int,
        wait_ms: int,
    ) -> defer.Deferred[ReadResult]:
        """Read records by long poll.

        Args:
            stream: Name of the stream.
            offset: Offset to read from; if it is no longer retained, from the lowest retained one.
            limit: Max number of records to return.
            wait_ms: Max time to wait for a record.

        Returns:
            The records; fails with `LogUnavailable` or `RateLimited`.
        """
