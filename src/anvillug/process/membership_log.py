"""Task that publishes member records in the platform log, through which new nodes find peers.

With 6,300 nodes the stream has 10.5 renewals per second. Long polls of all nodes would require
66,000 responses per second from the log, so only a few relays per availability zone follow the
stream. The other nodes read its end once at start and then receive records by gossip.
"""

from __future__ import annotations

import heapq
import random
from typing import Any

import xxhash
from twisted.internet import defer, interfaces, task

from anvillug import clock, event_log, ids
from anvillug.connection import log_record
from anvillug.process import member_record, membership

MEMBERSHIP_STREAM = 'membership'
RENEWAL_MS = 600_000.0
"""Interval between appends of an unchanged record; 6,300 nodes make 10.5 appends/s."""

RELAYS_PER_ZONE = 3
"""Nodes per zone that follow the stream; two may fail before the rest of the zone is affected."""
RELAY_CHECK_INTERVAL_MS = 30_000.0
"""Interval at which a node checks whether it is a relay."""
STARTUP_RECORDS = 1024
"""Maximum number of records read at start; a day of renewals would be 900,000.

Gossip transfers the rest.
"""

_PAGE_RECORDS = 512
_WAIT_MS = 10_000
_MIN_BACKOFF_MS = 100.0
_MAX_BACKOFF_MS = 5000.0


class MembershipLog:
    """Reads the membership stream and appends this host's record when it changes.

    Args:
        client: Access to the log.
        table: Member table.
        reactor: Timers.
        time: Clock.
        rng: Source of the jitter of delays.
    """

    def __init__(
        self,
        client: log_record.LogClient,
        table: membership.MemberTable,
        reactor: interfaces.IReactorTime,
        time: clock.Clock,
        rng: random.Random,
    ) -> None:
        self._client = client
        self._table = table
        self._reactor: Any = reactor
        self._clock = time
        self._rng = rng
        self._next_offset = ids.LogOffset(0)
        self._last_appended: membership.Member | None = None
        self._last_append_at = clock.Milliseconds(0)
        self._appending = False
        self._records_read = 0
        self._records_rejected = 0
        self._is_relay = True
        self._relay_checked_at = clock.Milliseconds(-RELAY_CHECK_INTERVAL_MS)

    def start(self) -> None:
        """Start reading the stream and appending this host's record."""
        defer.Deferred.fromCoroutine(self._run_reader()).addErrback(_log_failure)
        self.publish()

    def publish(self) -> None:
        """Append this host's record unless the log already contains it."""
        if not self._appending and self._is_append_due():
            self._appending = True
            defer.Deferred.fromCoroutine(self._append()).addErrback(_log_failure)

    def dump(self) -> dict[str, object]:
        """Return the state of the membership stream for operators."""
        local = self._table.local
        return {
            'next_offset': self._next_offset,
            'records_read': self._records_read,
            'records_rejected': self._records_rejected,
            'is_relay': self._is_relay,
            'own_record_in_log': self._last_appended == local,
        }

    def _is_append_due(self) -> bool:
        if self._last_appended != self._table.local:
            return True
        return self._clock.now() - self._last_append_at >= RENEWAL_MS

    async def _append(self) -> None:
        try:
            await self._append_until_current()
        finally:
            self._schedule_renewal()

    def _schedule_renewal(self) -> None:
        self._appending = False
        renewal_s = clock.to_seconds(RENEWAL_MS * self._rng.uniform(1, 1.1))
        self._reactor.callLater(renewal_s, self.publish)

    async def _append_until_current(self) -> None:
        backoff_ms = _MIN_BACKOFF_MS
        while self._is_append_due():
            record = self._table.local
            try:
                await self._client.append(MEMBERSHIP_STREAM, member_record.to_data(record))
            except log_record.LogError as error:
                # Appending a record twice is harmless: records are ordered by sequence.
                event_log.warn('membership_append_failed', reason=error)
                await self._pause(backoff_ms)
                backoff_ms = min(2 * backoff_ms, _MAX_BACKOFF_MS)
            else:
                self._last_appended = record
                self._last_append_at = self._clock.now()

    async def _run_reader(self) -> None:
        backoff_ms = _MIN_BACKOFF_MS
        while True:
            try:
                await self._follow_stream()
            except log_record.LogError as error:
                event_log.warn('membership_read_failed', reason=error)
                await self._pause(backoff_ms)
                backoff_ms = min(2 * backoff_ms, _MAX_BACKOFF_MS)
            else:
                backoff_ms = _MIN_BACKOFF_MS
                await self._pause(RELAY_CHECK_INTERVAL_MS)
                self._update_relay()

    async def _follow_stream(self) -> None:
        """Read to the end of the stream, and continue while this node is a relay."""
        await self._skip_old_records()
        while True:
            page = await self._client.read(
                MEMBERSHIP_STREAM,
                self._next_offset,
                _PAGE_RECORDS,
                _WAIT_MS if self._is_relay else 0,
            )
            self._merge_page(page)
            if self._next_offset >= page.next:
                if self._clock.now() - self._relay_checked_at >= RELAY_CHECK_INTERVAL_MS:
                    self._update_relay()
                if not self._is_relay:
                    return
                if not page.records:
                    await self._pause(_MIN_BACKOFF_MS)

    def _update_relay(self) -> None:
        self._is_relay = is_relay(self._table)
        self._relay_checked_at = self._clock.now()

    async def _skip_old_records(self) -> None:
        """Skip to the last `STARTUP_RECORDS` records of the stream if there are more to read."""
        page = await self._client.read(MEMBERSHIP_STREAM, self._next_offset, 1, 0)
        self._next_offset = ids.LogOffset(max(self._next_offset, page.next - STARTUP_RECORDS))

    def _merge_page(self, page: log_record.ReadResult) -> None:
        members = []
        for record in page.records:
            self._records_read += 1
            try:
                members.append(member_record.from_data(record.data))
            except ValueError as error:
                self._records_rejected += 1
                event_log.warn('membership_record_rejected', offset=record.offset, reason=error)
        self._table.merge(members, self._clock.now())
        # An empty page means that all records below `next` are no longer retained.
        end = page.records[-1].offset + 1 if page.records else page.next
        self._next_offset = ids.LogOffset(max(self._next_offset, end))

    async def _pause(self, duration_ms: float) -> None:
        delay = clock.to_seconds(duration_ms * self._rng.uniform(0.5, 1))
        await task.deferLater(self._reactor, delay)


def is_relay(table: membership.MemberTable) -> bool:
    """Return whether this node is one of the relays that follow the stream for their zone.

    Every node ranks the live members of its zone by hash, so the selection needs no messages.
    While the tables of nodes differ, a zone has a few relays more or fewer.

    Args:
        table: Member table of this node.
    """
    local = table.local
    live = [
        host_id
        for host_id in table.hosts_in(local.zone)
        if host_id == local.host_id or table.liveness(host_id) is membership.Liveness.LIVE
    ]
    return local.host_id in heapq.nsmallest(RELAYS_PER_ZONE, live, key=_relay_rank)


def _relay_rank(host_id: ids.HostId) -> int:
    return xxhash.xxh3_64_intdigest(f'{MEMBERSHIP_STREAM}/{host_id}'.encode())


def _log_failure(failure: Any) -> None:
    event_log.warn('membership_task_failed', reason=failure.getErrorMessage())
