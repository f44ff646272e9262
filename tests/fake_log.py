"""In-memory platform log with injectable faults."""

from __future__ import annotations

import json

from twisted.internet import defer, task

from anvillug import clock, ids
from anvillug.connection import log_record


class FakeLog:
    """`log_record.LogClient` for a single stream; long polls wait for an append."""

    def __init__(self, timer: task.Clock) -> None:
        self.timer = timer
        self.first = 0
        """Lowest retained offset."""
        self.records: list[log_record.LogRecord] = []
        self.next_failures: list[log_record.LogError] = []
        """Failures of the next appends; with `LogResponseLost` the record is stored."""
        self.down = False
        """Whether every append and read fails with `LogUnavailable`."""
        self._waiting: list[defer.Deferred[None]] = []

    def append(self, stream: str, data: object) -> defer.Deferred[ids.LogOffset]:
        failure = self.next_failures.pop(0) if self.next_failures else None
        if self.down:
            return defer.fail(log_record.LogUnavailable('down'))
        if failure is None or isinstance(failure, log_record.LogResponseLost):
            self.write(data)
        return defer.succeed(self.records[-1].offset) if failure is None else defer.fail(failure)

    def write(self, data: object) -> None:
        """Append a record regardless of injected faults, and end the long polls."""
        offset = ids.LogOffset(self.first + len(self.records))
        wall = clock.Milliseconds(self.timer.seconds() * 1000)
        parsed = json.loads(json.dumps(data))
        self.records.append(log_record.LogRecord(offset, wall, parsed))
        waiting = self._waiting
        self._waiting = []
        for waiter in waiting:
            waiter.callback(None)

    def drop_below(self, offset: int) -> None:
        """Expire all records below an offset."""
        self.records = self.records[offset - self.first :]
        self.first = offset

    def read(
        self,
        stream: str,
        offset: ids.LogOffset,
        limit: int,
        wait_ms: int,
    ) -> defer.Deferred[log_record.ReadResult]:
        if self.down:
            return defer.fail(log_record.LogUnavailable('down'))
        if wait_ms and offset >= self.first + len(self.records):
            waiter: defer.Deferred[None] = defer.Deferred()
            self._waiting.append(waiter)
            waiter.addTimeout(wait_ms / 1000, self.timer)
            waiter.addErrback(lambda failure: failure.trap(defer.TimeoutError))
            return waiter.addCallback(lambda _: self._page(offset, limit))
        return defer.succeed(self._page(offset, limit))

    def _page(self, offset: int, limit: int) -> log_record.ReadResult:
        start = max(offset - self.first, 0)
        return log_record.ReadResult(
            first=ids.LogOffset(self.first),
            next=ids.LogOffset(self.first + len(self.records)),
            records=tuple(self.records[start : start + limit]),
        )
