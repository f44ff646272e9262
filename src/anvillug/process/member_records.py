"""Records of a node in the log: its address, and the last leave of its backend server.

The address lets other nodes send their first beacons to it. The leave lets the next process of the
node ignore late heartbeats of an instance that has left.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgpack
from twisted.internet import defer, task

from anvillug import event_log, ids
from anvillug.connection import keyed_log
from anvillug.process import peer_table, upstream
from anvillug.version import directives

_RETRY_INTERVAL_S = 0.4
# The backend server has to receive the acknowledgement of its leave within a second.
_ACKNOWLEDGE_TIMEOUT_S = 0.6
# Interval at which the addresses are read again, to reach nodes that restarted or were cut off.
_REREAD_INTERVAL_S = 60.0
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
        on_contacts: Callable[[], None],
    ) -> None:
        self._reactor = reactor
        self._log = log
        self._topic = topic
        self._host_id = host_id
        self._beacon_address = beacon_address
        self._peers = peers
        self._upstream = backend
        self._on_contacts = on_contacts
        self._address_written = False

    def start(self) -> None:
        """Write the address of this node, and read those of the others until the process ends."""
        defer.ensureDeferred(self._follow())

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
        while True:
            try:
                await self._step()
            except keyed_log.LogUnavailableError as error:
                event_log.warn('members_not_read', reason=error)
                await task.deferLater(self._reactor, _RETRY_INTERVAL_S)
                continue
            await task.deferLater(self._reactor, _REREAD_INTERVAL_S)

    async def _step(self) -> None:
        if not self._address_written:
            await self._append(self._host_id, self._beacon_address)
            self._address_written = True
        batch = await self._log.newest(self._topic)
        for key, record in batch.changes:
            self._apply(key, record)
        self._on_contacts()

    async def _write_leave(self, started_at: ids.Incarnation) -> None:
        # A later leave replaces this one, which then need not be stored.
        while self._upstream.last_left_started_at == started_at:
            try:
                await self._append(f'{_LEFT_PREFIX}{self._host_id}', started_at)
            except keyed_log.LogUnavailableError as error:
                event_log.warn('leave_not_kept', reason=error)
                await task.deferLater(self._reactor, _RETRY_INTERVAL_S)
            else:
                return

    async def _append(self, key: str, content: object) -> None:
        await self._log.append(self._topic, key, msgpack.packb(content))

    def _apply(self, key: str, record: directives.Record) -> None:
        try:
            content = msgpack.unpackb(record.value)
        except (ValueError, msgpack.UnpackException) as error:
            event_log.warn('member_record_malformed', member=key, reason=error)
            return
        if not key.startswith(_LEFT_PREFIX):
            self._peers.add_contact(ids.HostId(key), content)
        elif key == f'{_LEFT_PREFIX}{self._host_id}':
            self._upstream.restore_leave(ids.Incarnation(content))
