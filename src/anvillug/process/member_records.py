"""Records of a node in the log: its address, and the last leave of its backend server.

The address lets other nodes send their first beacons to it. The leave lets the next process of the
node ignore late heartbeats of an instance that has left. Each node writes its own records again
when the log has been restored from a copy without them.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import msgpack
from twisted.internet import defer, interfaces, task

from anvillug import event_log, ids, validation
from anvillug.connection import keyed_log
from anvillug.process import peer_table, upstream
from anvillug.version import directives

_RETRY_INTERVAL_S = 0.4
# Interval of reads while the log stays away.
_MAX_RETRY_INTERVAL_S = 1.5
_RETRY_FACTOR = 1.5
# Time for the first read; without the store, backend servers serve after it.
_LEAVE_TIMEOUT_S = 1.0
# The backend server has to receive the acknowledgement of its leave within a second.
_ACKNOWLEDGE_TIMEOUT_S = 0.6
# Interval at which the addresses are read again, to reach nodes that restarted or were cut off.
_REREAD_INTERVAL_S = 60.0
# All nodes notice a new era of the log at about the same time; each waits a random part of this
# time before it reads.
_ERA_JITTER_S = 0.5
# Key prefix of the records of leaves; no host name contains a slash.
_LEFT_PREFIX = 'left/'


class MemberRecords:
    """Writes the records of this node, and reads the addresses of the others.

    Args:
        reactor: Timers.
        log: Keyed log.
        topic: Topic of the member records.
        host_id: Name of this host.
        beacon_address: IP:port of this node for beacons.
        peers: Other nodes.
        backend: Backend server of the node.
        rng: Source of the jitter of delays.
        on_contacts: Called after the addresses of other nodes have been read.
    """

    def __init__(  # noqa: WPS211 - each is a component of the process
        self,
        reactor: Any,
        log: keyed_log.KeyedLog,
        topic: str,
        host_id: ids.HostId,
        beacon_address: str,
        peers: peer_table.PeerTable,
        backend: upstream.Upstream,
        rng: random.Random,
        on_contacts: Callable[[], None],
    ) -> None:
        self._reactor = reactor
        self._log = log
        self._topic = topic
        self._host_id = host_id
        self._beacon_address = beacon_address
        self._peers = peers
        self._upstream = backend
        self._rng = rng
        self._on_contacts = on_contacts
        self._leave_key = f'{_LEFT_PREFIX}{host_id}'
        self._address_written = False
        # Newest known era of the log, and the era up to which the records have been read.
        self._era = 0
        self._read_era = 0
        self._pause: interfaces.IDelayedCall | None = None
        self._leaves_in_progress: list[ids.Incarnation] = []
        # Era and leave, if a leave was acknowledged after the newest read began.
        self._stored_leave: tuple[int, ids.Incarnation] | None = None

    def start(self) -> None:
        """Write the address of this node, and read those of the others until the process ends.

        The backend server accepts no requests until its last leave is known, or has not been read
        in time.
        """
        self._upstream.await_leave()
        self._reactor.callLater(_LEAVE_TIMEOUT_S, self._upstream.leave_known)
        defer.ensureDeferred(self._follow())

    def notice_era(self, era: int) -> None:
        """Read the records again soon if the log has begun a new era.

        Args:
            era: Era of the log that this node has learned of.
        """
        if era <= self._era:
            return
        self._era = era
        if self._pause is not None and self._pause.active():
            self._pause.reset(self._jitter_s())

    def store_leave(self, started_at: ids.Incarnation) -> defer.Deferred[None]:
        """Store that an instance of the backend server has left, for the next process of this node.

        Args:
            started_at: Start time of the instance in milliseconds since the Unix epoch.

        Returns:
            Fires once the leave is stored. If the log does not respond, it fires after a timeout;
            this process then continues to retry, unless a later leave replaces this one.
        """
        acknowledgement: defer.Deferred[None] = defer.Deferred()
        timeout = self._reactor.callLater(_ACKNOWLEDGE_TIMEOUT_S, acknowledgement.callback, None)

        def stored(_: object) -> None:
            if timeout.active():
                timeout.cancel()
                acknowledgement.callback(None)

        defer.ensureDeferred(self._write_leave(started_at)).addCallback(stored)
        return acknowledgement

    # Private

    async def _follow(self) -> None:
        """Write before reading, so that of any two nodes at least one finds the other's address."""
        pause_s = _RETRY_INTERVAL_S
        while True:
            try:
                await self._step()
            except keyed_log.LogUnavailableError as error:
                event_log.warn('members_not_read', reason=error)
                await self._sleep(pause_s)
                pause_s = min(_MAX_RETRY_INTERVAL_S, pause_s * _RETRY_FACTOR)
            except Exception as error:
                # A response that cannot be decoded must not end the task.
                event_log.error('member_records_failed', error)
                await self._sleep(_RETRY_INTERVAL_S)
            else:
                pause_s = _RETRY_INTERVAL_S
                is_up_to_date = self._read_era >= self._era
                await self._sleep(_REREAD_INTERVAL_S if is_up_to_date else self._jitter_s())

    async def _step(self) -> None:
        if not self._address_written:
            await self._write_address()
        era = self._era
        self._stored_leave = None
        batch = await self._log.newest(self._topic)
        self._read_era = max(era, batch.end.era)
        self._era = max(self._era, batch.end.era)
        for key, record in batch.changes:
            self._apply(key, record)
        self._upstream.leave_known()
        self._on_contacts()
        # Records of an earlier era do not show what is missing now; they are read again soon.
        if self._read_era == self._era:
            await self._write_missing(dict(batch.changes))

    async def _write_missing(self, records: directives.Records) -> None:
        """Write the own records that are missing or older in the log."""
        if self._is_leave_missing(records):
            defer.ensureDeferred(self._write_leave(self._upstream.last_left_started_at))
        if self._is_missing(records, self._host_id, self._beacon_address):
            self._address_written = False
            await self._write_address()

    def _is_leave_missing(self, records: directives.Records) -> bool:
        left_at = self._upstream.last_left_started_at
        if not left_at or left_at in self._leaves_in_progress:
            return False
        # The read may have taken effect before the append of this leave.
        if self._stored_leave == (self._era, left_at):
            return False
        return self._is_missing(records, self._leave_key, left_at)

    def _is_missing(self, records: directives.Records, key: str, content: object) -> bool:
        record = records.get(key)
        if record is not None and record.value == msgpack.packb(content):
            return False
        event_log.warn('member_record_missing', member=key, era=self._era)
        return True

    async def _write_address(self) -> None:
        await self._append(self._host_id, self._beacon_address)
        self._address_written = True

    async def _write_leave(self, started_at: ids.Incarnation) -> None:
        self._leaves_in_progress.append(started_at)
        try:
            await self._append_leave(started_at)
        finally:
            self._leaves_in_progress.remove(started_at)

    async def _append_leave(self, started_at: ids.Incarnation) -> None:
        # A later leave replaces this one, which then need not be stored.
        while self._upstream.last_left_started_at == started_at:
            try:
                position = await self._append(self._leave_key, started_at)
            except keyed_log.LogUnavailableError as error:
                event_log.warn('leave_not_kept', reason=error)
                await task.deferLater(self._reactor, _RETRY_INTERVAL_S)
            except Exception as error:
                event_log.error('leave_failed', error)
                await task.deferLater(self._reactor, _RETRY_INTERVAL_S)
            else:
                self.notice_era(position.era)
                # A record of an earlier era may have been lost although it was acknowledged.
                if position.era == self._era:
                    self._stored_leave = (position.era, started_at)
                    return

    async def _append(self, key: str, content: object) -> directives.Position:
        return await self._log.append(self._topic, key, msgpack.packb(content))

    async def _sleep(self, duration_s: float) -> None:
        """Wait for a time that `notice_era` may replace by a shorter one."""
        woken: defer.Deferred[None] = defer.Deferred()
        self._pause = self._reactor.callLater(duration_s, woken.callback, None)
        await woken

    def _jitter_s(self) -> float:
        return self._rng.random() * _ERA_JITTER_S

    def _apply(self, key: str, record: directives.Record) -> None:
        try:
            content = msgpack.unpackb(record.value)
            if not key.startswith(_LEFT_PREFIX):
                self._peers.add_contact(ids.HostId(key), _check_address(content))
            elif key == self._leave_key:
                self._upstream.restore_leave(_check_start_time(content))
        except (ValueError, msgpack.UnpackException) as error:
            event_log.warn('member_record_malformed', member=key, reason=error)


def _check_address(content: object) -> str:
    if not isinstance(content, str):
        raise ValueError(f'address must be a string, got {type(content).__name__}')
    return validation.check_address(content)


def _check_start_time(content: object) -> ids.Incarnation:
    if isinstance(content, bool) or not isinstance(content, int):
        raise ValueError(f'start time must be an integer, got {type(content).__name__}')
    return ids.Incarnation(content)
