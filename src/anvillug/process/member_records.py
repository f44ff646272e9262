"""What a node keeps in the log: where it is, and which start of its backend server has left."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgpack
from twisted.internet import defer, task

from anvillug import event_log, ids
from anvillug.connection import keyed_log
from anvillug.process import peer_table, upstream
from anvillug.version import directives

_RETRY_S = 0.4
# An acknowledgement has to arrive within a second.
_KEEP_LIMIT_S = 0.6
# Nodes that restart or were cut off are found again this often.
_REREAD_S = 60.0
# Key prefix of the records on backend servers that have left; host names have no slash.
_LEFT_PREFIX = 'left/'


class MemberRecords:
    """Records of this node, and first contact with the others.

    Args:
        reactor: Timers.
        log: Keyed log.
        topic: Topic of the records.
        host_id: Name of this host.
        beacon_address: IP:port of this node for beacons.
        peers: Other nodes.
        own: Backend server beside the node.
        on_contacts: Called after the addresses of other nodes were read.
    """

    def __init__(  # noqa: WPS211 - each is a part that lives as long as the process
        self,
        reactor: Any,
        log: keyed_log.KeyedLog,
        topic: str,
        host_id: ids.HostId,
        beacon_address: str,
        peers: peer_table.PeerTable,
        own: upstream.Upstream,
        on_contacts: Callable[[], None],
    ) -> None:
        self._reactor = reactor
        self._log = log
        self._topic = topic
        self._host_id = host_id
        self._beacon_address = beacon_address
        self._peers = peers
        self._upstream = own
        self._on_contacts = on_contacts
        self._address_written = False

    def start(self) -> None:
        """Write the address and read those of the others for as long as the process lives."""
        defer.ensureDeferred(self._follow())

    def leave_taken(self, started_at: ids.Incarnation) -> defer.Deferred[None]:
        """Keep that a start of the backend server has left, for the next start of this node.

        Returns:
            Fires once it is kept. While the log does not answer, it fires after a moment, and the
            leave is kept later if this process lives.
        """
        told: defer.Deferred[None] = defer.Deferred()
        limit = self._reactor.callLater(_KEEP_LIMIT_S, told.callback, None)

        def kept(_: object) -> None:
            if limit.active():
                limit.cancel()
                told.callback(None)

        defer.ensureDeferred(self._write_leave(started_at)).addCallback(kept)
        return told

    # Private

    async def _follow(self) -> None:
        """Write, then read: of any two nodes at least one finds the other."""
        while True:
            try:
                await self._step()
            except keyed_log.LogUnavailableError as error:
                event_log.warn('members_not_read', reason=error)
                await task.deferLater(self._reactor, _RETRY_S)
                continue
            await task.deferLater(self._reactor, _REREAD_S)

    async def _step(self) -> None:
        if not self._address_written:
            await self._append(self._host_id, self._beacon_address)
            self._address_written = True
        batch = await self._log.newest(self._topic)
        for key, record in batch.changes:
            self._take(key, record)
        self._on_contacts()

    async def _write_leave(self, started_at: ids.Incarnation) -> None:
        # A later leave makes the record void, and with it the attempts.
        while self._upstream.left_at == started_at:
            try:
                await self._append(f'{_LEFT_PREFIX}{self._host_id}', started_at)
            except keyed_log.LogUnavailableError as error:
                event_log.warn('leave_not_kept', reason=error)
                await task.deferLater(self._reactor, _RETRY_S)
            else:
                return

    async def _append(self, key: str, content: object) -> None:
        await self._log.append(self._topic, key, msgpack.packb(content))

    def _take(self, key: str, record: directives.Record) -> None:
        try:
            content = msgpack.unpackb(record.value)
        except (ValueError, msgpack.UnpackException) as error:
            event_log.warn('member_record_malformed', member=key, reason=error)
            return
        if not key.startswith(_LEFT_PREFIX):
            self._peers.contact(ids.HostId(key), content)
        elif key == f'{_LEFT_PREFIX}{self._host_id}':
            self._upstream.restore_leave(ids.Incarnation(content))
