"""Writes log lines to a file descriptor without blocking on a slow reader."""

from __future__ import annotations

import collections
import os

from anvillug import clock

# Limit of the memory for lines that a slow reader has not read yet.
_MAX_BUFFERED_BYTES = 1024 * 1024
# Rate and burst limit of each event; a fault that affects every call must not flood the log.
_MAX_LINES_PER_SECOND = 400.0
_MS_PER_SECOND = 1000.0


class _TokenBucket:
    """Rate limit of one event; each line takes a token."""

    def __init__(self, now: float) -> None:
        self.tokens = _MAX_LINES_PER_SECOND
        self.refilled_at = now
        self.suppressed = 0


class LineWriter:
    """Non-blocking writer with a bounded buffer.

    Lines that do not fit are dropped; their number is logged once the buffer is empty.

    Args:
        descriptor: File descriptor to write to; the writer makes it non-blocking.
        time: Clock.
    """

    def __init__(self, descriptor: int, time: clock.Clock) -> None:
        os.set_blocking(descriptor, False)  # noqa: FBT003 - the argument has no name
        self._descriptor = descriptor
        self._clock = time
        self._buffer: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._buckets_by_event: dict[str, _TokenBucket] = {}
        self.dropped = 0
        """Number of lines dropped because the buffer was full or the output failed."""
        self._reported_dropped = 0

    @property
    def waiting_bytes(self) -> int:
        """Size of the lines that wait for a slow reader."""
        return self._buffered_bytes

    def admit(self, event: str) -> int | None:
        """Apply the rate limit to a line of an event.

        Args:
            event: Name of the event.

        Returns:
            Number of lines of the event that were suppressed since the last one that was
            admitted; None if this line has to be suppressed.
        """
        now = self._clock.now()
        bucket = self._buckets_by_event.setdefault(event, _TokenBucket(now))
        added = (now - bucket.refilled_at) * _MAX_LINES_PER_SECOND / _MS_PER_SECOND
        bucket.tokens = min(_MAX_LINES_PER_SECOND, bucket.tokens + added)
        bucket.refilled_at = now
        if bucket.tokens < 1:
            bucket.suppressed += 1
            return None
        bucket.tokens -= 1
        suppressed = bucket.suppressed
        bucket.suppressed = 0
        return suppressed

    def write(self, line: str) -> None:
        """Write a line, buffer it while the reader is slow, or drop it; never raises an error.

        Lines are dropped while the buffer is full, and while the output fails, for instance since
        its reader is gone or its device is full.
        """
        self._append(line)
        unreported = self.dropped - self._reported_dropped
        if self._flush() and unreported:
            self._report_dropped(unreported)

    # Private

    def _report_dropped(self, count: int) -> None:
        self._reported_dropped += count
        self._append(f'event=log_lines_dropped count={count}')
        self._flush()
        if self.dropped > self._reported_dropped:
            # The report itself was dropped.
            self._reported_dropped -= count

    def _append(self, line: str) -> None:
        data = f'{line}\n'.encode(errors='backslashreplace')
        if self._buffered_bytes + len(data) > _MAX_BUFFERED_BYTES:
            self.dropped += 1
        else:
            self._buffer.append(data)
            self._buffered_bytes += len(data)

    def _flush(self) -> bool:
        """Write buffered lines; return whether all of them were written."""
        while self._buffer:
            data = self._buffer[0]
            try:
                sent = os.write(self._descriptor, data)
            except BlockingIOError:
                return False
            except OSError:
                # The error cannot be logged, since the log is what fails.
                self.dropped += len(self._buffer)
                self._buffer.clear()
                self._buffered_bytes = 0
                return False
            self._buffered_bytes -= sent
            if sent < len(data):
                self._buffer[0] = data[sent:]
                return False
            self._buffer.popleft()
        return True
