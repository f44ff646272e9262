"""Connections of the entry side to other nodes."""

from __future__ import annotations

from twisted.internet import interfaces

from anvillug import ids
from anvillug.connection import http_pool
from anvillug.process import membership

MAX_CONNECTIONS = 64
"""Default of the maximum number of connections to one host."""


class PeerPools:
    """One connection pool for each host that calls are sent to.

    Args:
        reactor: Twisted reactor.
        members: Members with their addresses.
        connect_timeout_s: Timeout of a connection attempt in seconds.
        max_connections: Maximum number of connections to one host.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTCP,
        members: membership.MemberTable,
        connect_timeout_s: float,
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        self._reactor = reactor
        self._members = members
        self._connect_timeout_s = connect_timeout_s
        self._max_connections = max_connections
        self._by_host_id: dict[ids.HostId, tuple[str, http_pool.Pool]] = {}

    @property
    def pools(self) -> list[http_pool.Pool]:
        """Connections to other nodes."""
        return [pool for _, pool in self._by_host_id.values()]

    def get(self, host_id: ids.HostId) -> http_pool.Pool | None:
        """Return the pool of a host, None if the host is not a member."""
        member = self._members.get(host_id)
        if member is None:
            self.close(host_id)
            return None
        entry = self._by_host_id.get(host_id)
        if entry is not None and entry[0] == member.peer_address:
            return entry[1]
        self.close(host_id)
        self._close_removed()
        host, _, port = member.peer_address.rpartition(':')
        pool = http_pool.Pool(
            self._reactor,
            host,
            int(port),
            max_connections=self._max_connections,
            connect_timeout_s=self._connect_timeout_s,
        )
        self._by_host_id[host_id] = (member.peer_address, pool)
        return pool

    def close(self, host_id: ids.HostId) -> None:
        """Close the connections to a host."""
        entry = self._by_host_id.pop(host_id, None)
        if entry is not None:
            entry[1].close()

    def close_idle(self, host_id: ids.HostId) -> None:
        """Close the idle connections to a host, which may be unresponsive."""
        entry = self._by_host_id.get(host_id)
        if entry is not None:
            entry[1].close_idle()

    def counts(self) -> dict[str, int]:
        """Return the number of open connections by host, for the state dump."""
        return {host_id: entry[1].open_count for host_id, entry in self._by_host_id.items()}

    # Private

    def _close_removed(self) -> None:
        """Close the pools of hosts that are no longer members, since no call uses them again."""
        host_ids = tuple(self._by_host_id)
        for host_id in host_ids:
            if self._members.get(host_id) is None:
                self.close(host_id)
