"""Records of a node in the log: its address, and the leaves of its backend server.

The address lets other nodes send their first beacons to it. The leaves let the next process of the
node ignore late heartbeats of an instance that has left. Each node writes its own records again
when the log has been restored from a copy without them.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import msgpack
from twisted.internet import defer, interfaces, task

from anvillug import event_log, ids, network_address, wire_value
from anvillug.connection import keyed_log
from anvillug.process import leave_record, leave_recovery, peer_table, upstream
from anvillug.version import directives

_RETRY_INTERVAL_S = 0.4
# Interval of reads while the log stays away.
_MAX_RETRY_INTERVAL_S = 1.5
_RETRY_FACTOR = 1.5
# The backend server has to receive the acknowledgement of its leave within a second.
_ACKNOWLEDGE_TIMEOUT_S = 0.6
_FIRST_READ_POLL_S = 0.05
# Interval at which the addresses are read again, to reach nodes that restarted or were cut off.
_REREAD_INTERVAL_S = 60.0
# All nodes notice a new era of the log at about the same time; each waits a random part of this
# time before it reads.
_ERA_JITTER_S = 0.5
# Key prefix of the records of leaves; no host name contains a slash.
_LEFT_PREFIX = 'left/'


class LeaveNotStoredError(Exception):
    """A leave is not stored yet, so it must not be acknowledged."""


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
        on_contacts: Called after the addresses of other nodes have been read, or when the backend
            server may accept requests by what they remember.
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
        self._recovery = leave_recovery.LeaveRecovery(reactor, backend, on_contacts)
        self._leave_key = f'{_LEFT_PREFIX}{host_id}'
        self._address_written = False
        # Newest known era of the log, and the era up to which the records have been read.
        self._era = 0
        self._read_era = 0
        self._pause: interfaces.IDelayedCall | None = None
        self._leaves_in_progress: list[leave_record.LeaveRecord] = []
        # Leaves known to be in the log, and those who wait until the newest ones are.
        self._kept_leaves = leave_record.NONE
        self._acknowledgements: list[defer.Deferred[None]] = []
        # Whether the leaves of previous processes have not been read yet.
        self._awaits_first_read = False
        # Era and leaves, if leaves were acknowledged after the newest read began.
        self._stored_leaves: tuple[int, leave_record.LeaveRecord] | None = None

    def start(self) -> None:
        """Write the address of this node, and read those of the others until the process ends.

        The backend server accepts no requests until its last leave is known; see
        `leave_recovery.LeaveRecovery`.
        """
        self._awaits_first_read = True
        self._recovery.start()
        defer.ensureDeferred(self._follow())

    def notice_era(self, era: int) -> None:
        """Read the records again soon if the log has begun a new era.

        Args:
            era: Era of the log that this node has learned of.
        """
        if era <= self._era:
            return
        self._era = era
        self._kept_leaves = leave_record.NONE
        if self._pause is not None and self._pause.active():
            self._pause.reset(self._jitter_s())

    def receive_remembered(self, leaves: leave_record.LeaveRecord) -> None:
        """Restore leaves of this node that a peer remembers, and store those that were lost."""
        previous = self._upstream.leaves
        self._recovery.peer_responded(leaves)
        # Before the first read, the read shows whether the log has them.
        if self._upstream.leaves != previous and not self._awaits_first_read:
            defer.ensureDeferred(self._write_leaves(self._upstream.leaves))

    def store_leaves(self) -> defer.Deferred[None]:
        """Store the leaves of the backend server for the next process of this node.

        Returns:
            Fires once they are stored. It fails with `LeaveNotStoredError` if that takes too long;
            this process then continues to retry until they are, or later ones.
        """
        if self._kept_leaves == self._upstream.leaves:
            return defer.succeed(None)
        acknowledgement: defer.Deferred[None] = defer.Deferred()
        acknowledgement.addTimeout(_ACKNOWLEDGE_TIMEOUT_S, self._reactor, _fail_not_stored)
        self._acknowledgements.append(acknowledgement)
        if self._upstream.leaves not in self._leaves_in_progress:
            defer.ensureDeferred(self._write_leaves(self._upstream.leaves))
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
        self._stored_leaves = None
        batch = await self._log.newest(self._topic)
        self._read_era = max(era, batch.end.era)
        self.notice_era(batch.end.era)
        for key, record in batch.changes:
            self._apply(key, record)
        self._awaits_first_read = False
        self._recovery.log_read()
        self._on_contacts()
        # Records of an earlier era do not show what is missing now; they are read again soon.
        if self._read_era == self._era:
            await self._write_missing(dict(batch.changes))

    async def _write_missing(self, records: directives.Records) -> None:
        """Write the own records that are missing or older in the log."""
        if self._are_leaves_missing(records):
            defer.ensureDeferred(self._write_leaves(self._upstream.leaves))
        elif self._leave_key in records:
            self._kept_leaves = self._upstream.leaves
        if self._is_missing(records, self._host_id, self._beacon_address):
            self._address_written = False
            await self._write_address()

    def _are_leaves_missing(self, records: directives.Records) -> bool:
        leaves = self._upstream.leaves
        if leaves == leave_record.NONE or leaves in self._leaves_in_progress:
            return False
        # The read may have taken effect before the append of these leaves.
        if self._stored_leaves == (self._era, leaves):
            return False
        return self._is_missing(records, self._leave_key, leaves.to_data())

    def _is_missing(self, records: directives.Records, key: str, content: object) -> bool:
        record = records.get(key)
        if record is not None and record.value == msgpack.packb(content):
            return False
        event_log.warn('member_record_missing', member=key, era=self._era)
        return True

    async def _write_address(self) -> None:
        await self._append(self._host_id, self._beacon_address)
        self._address_written = True

    async def _write_leaves(self, leaves: leave_record.LeaveRecord) -> None:
        self._leaves_in_progress.append(leaves)
        try:
            await self._append_leaves(leaves)
        finally:
            self._leaves_in_progress.remove(leaves)

    async def _append_leaves(self, leaves: leave_record.LeaveRecord) -> None:
        # A write must not replace leaves that only the log has.
        while self._awaits_first_read:
            await task.deferLater(self._reactor, _FIRST_READ_POLL_S)
        # Later leaves include these, which then need not be stored.
        while self._upstream.leaves == leaves:
            try:
                position = await self._append(self._leave_key, leaves.to_data())
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
                    self._leaves_stored(position.era, leaves)
                    return

    def _leaves_stored(self, era: int, leaves: leave_record.LeaveRecord) -> None:
        self._stored_leaves = (era, leaves)
        self._kept_leaves = leaves
        if leaves == self._upstream.leaves:
            acknowledgements = tuple(self._acknowledgements)
            self._acknowledgements.clear()
            for acknowledgement in acknowledgements:
                acknowledgement.callback(None)

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
                self._peers.add_contact(ids.HostId(key), _address(content))
            elif key == self._leave_key:
                self._upstream.restore_leaves(leave_record.from_data(content))
        except (ValueError, msgpack.UnpackException) as error:
            event_log.warn('member_record_malformed', member=key, reason=error)


def _address(content: object) -> str:
    return network_address.check_address(wire_value.text(content, 'address'))


def _fail_not_stored(result: object, timeout_s: float) -> None:
    raise LeaveNotStoredError(f'leave not stored within {timeout_s} s')
