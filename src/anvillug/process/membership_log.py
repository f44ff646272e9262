"""Task that keeps membership in the platform log, for first contact.

At full size the stream has 10.5 renewals a second. Long polls of 6,300 nodes
would take 66,000 answers a second from the log, so only a few relays per
availability zone follow the stream; the other nodes read its end once at start
and then learn by gossip.
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
"""6,300 nodes renew with 10.5 appends a second."""

RELAYS_PER_ZONE = 3
"""Two may fail before the others of the zone notice."""
RELAY_CHECK_MS = 30_000.0
"""Time between two looks of a node at whether it is a relay."""
FIRST_CONTACT_RECORDS = 1024
"""Records read at start; a day of renewals would be 900,000. Gossip brings the rest."""

_PAGE_RECORDS = 512
_WAIT_MS = 10_000
_MIN_BACKOFF_MS = 100.0
_MAX_BACKOFF_MS = 5000.0


class MembershipLog:
    """Reads the membership stream and appends this host's record when it changes.

    Args:
        client: Access to the log.
        table: Known members.
        reactor: Timers.
        time: Clock.
        rng: Jitter of delays.
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
        self._next = ids.LogOffset(0)
        self._appended: membership.Member | None = None
        self._appended_at = clock.Milliseconds(0)
        self._appending = False
        self._records_read = 0
        self._records_rejected = 0
        self._is_relay = True
        self._relay_noted_at = clock.Milliseconds(-RELAY_CHECK_MS)

    def start(self) -> None:
        """Start to read and to append."""
        defer.Deferred.fromCoroutine(self._read()).addErrback(_report)
        self.publish()

    def publish(self) -> None:
        """Append this host's record unless the log has it already."""
        if not self._appending and self._is_due():
            self._appending = True
            defer.Deferred.fromCoroutine(self._append()).addErrback(_report)

    def dump(self) -> dict[str, object]:
        """Return what operators see of the membership stream."""
        own = self._table.own
        return {
            'next_offset': self._next,
            'records_read': self._records_read,
            'records_rejected': self._records_rejected,
            'is_relay': self._is_relay,
            'own_record_in_log': self._appended == own,
        }

    def _is_due(self) -> bool:
        if self._appended != self._table.own:
            return True
        return self._clock.now() - self._appended_at >= RENEWAL_MS

    async def _append(self) -> None:
        try:
            await self._append_while_due()
        finally:
            self._plan_renewal()

    def _plan_renewal(self) -> None:
        self._appending = False
        renewal_s = clock.to_seconds(RENEWAL_MS * self._rng.uniform(1, 1.1))
        self._reactor.callLater(renewal_s, self.publish)

    async def _append_while_due(self) -> None:
        backoff_ms = _MIN_BACKOFF_MS
        while self._is_due():
            record = self._table.own
            try:
                await self._client.append(MEMBERSHIP_STREAM, member_record.to_data(record))
            except log_record.LogError as error:
                # Appending a record twice is harmless: records are ordered by sequence.
                event_log.warn('membership_append_failed', reason=error)
                await self._pause(backoff_ms)
                backoff_ms = min(2 * backoff_ms, _MAX_BACKOFF_MS)
            else:
                self._appended = record
                self._appended_at = self._clock.now()

    async def _read(self) -> None:
        backoff_ms = _MIN_BACKOFF_MS
        while True:
            try:
                await self._follow()
            except log_record.LogError as error:
                event_log.warn('membership_read_failed', reason=error)
                await self._pause(backoff_ms)
                backoff_ms = min(2 * backoff_ms, _MAX_BACKOFF_MS)
            else:
                backoff_ms = _MIN_BACKOFF_MS
                await self._pause(RELAY_CHECK_MS)
                self._note_relay()

    async def _follow(self) -> None:
        """Read to the end of the stream, and on while this node is a relay."""
        await self._skip_old()
        while True:
            page = await self._client.read(
                MEMBERSHIP_STREAM,
                self._next,
                _PAGE_RECORDS,
                _WAIT_MS if self._is_relay else 0,
            )
            self._take(page)
            if self._next >= page.next:
                if self._clock.now() - self._relay_noted_at >= RELAY_CHECK_MS:
                    self._note_relay()
                if not self._is_relay:
                    return
                if not page.records:
                    await self._pause(_MIN_BACKOFF_MS)

    def _note_relay(self) -> None:
        self._is_relay = is_relay(self._table)
        self._relay_noted_at = self._clock.now()

    async def _skip_old(self) -> None:
        """Move on to the last records of the stream if it is far ahead."""
        page = await self._client.read(MEMBERSHIP_STREAM, self._next, 1, 0)
        self._next = ids.LogOffset(max(self._next, page.next - FIRST_CONTACT_RECORDS))

    def _take(self, page: log_record.ReadResult) -> None:
        found = []
        for record in page.records:
            self._records_read += 1
            try:
                found.append(member_record.from_data(record.data))
            except ValueError as error:
                self._records_rejected += 1
                event_log.warn('membership_record_rejected', offset=record.offset, reason=error)
        self._table.merge(found, self._clock.now())
        # Without records, all below `next` are no longer retained.
        end = page.records[-1].offset + 1 if page.records else page.next
        self._next = ids.LogOffset(max(self._next, end))

    async def _pause(self, duration_ms: float) -> None:
        delay = clock.to_seconds(duration_ms * self._rng.uniform(0.5, 1))
        await task.deferLater(self._reactor, delay)


def is_relay(table: membership.MemberTable) -> bool:
    """Tell whether this node is one of those that follow the stream for their zone.

    Every node ranks the live members of its zone by hash, so the choice needs no messages.
    While views differ, a zone has a few more or fewer relays.

    Args:
        table: Known members.
    """
    own = table.own
    live = [
        host_id
        for host_id in table.hosts_in(own.zone)
        if host_id == own.host_id or table.liveness(host_id) is membership.Liveness.LIVE
    ]
    return own.host_id in heapq.nsmallest(RELAYS_PER_ZONE, live, key=_rank)


def _rank(host_id: ids.HostId) -> int:
    return xxhash.xxh3_64_intdigest(f'{MEMBERSHIP_STREAM}/{host_id}'.encode())


def _report(failure: Any) -> None:
    event_log.warn('membership_task_failed', reason=failure.getErrorMessage())
