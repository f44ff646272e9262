"""Connections of the entry side to other nodes."""

from __future__ import annotations

from twisted.internet import interfaces

from anvillug import ids
from anvillug.connection import http_pool
from anvillug.process import membership

_MAX_CONNECTIONS = 64


class PeerPools:
    """One connection pool per host that calls go to.

    Args:
        reactor: Twisted reactor.
        members: Known members, for their addresses.
        connect_timeout_s: Time limit of a connect in seconds.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTCP,
        members: membership.MemberTable,
        connect_timeout_s: float,
    ) -> None:
        self._reactor = reactor
        self._members = members
        self._connect_timeout_s = connect_timeout_s
        self._by_host_id: dict[ids.HostId, tuple[str, http_pool.Pool]] = {}

    def get(self, host_id: ids.HostId) -> http_pool.Pool | None:
        """Return the pool of a host, None for an unknown host."""
        member = self._members.get(host_id)
        if member is None:
            self.drop(host_id)
            return None
        known = self._by_host_id.get(host_id)
        if known is not None and known[0] == member.peer_address:
            return known[1]
        self.drop(host_id)
        self._drop_forgotten()
        host, _, port = member.peer_address.rpartition(':')
        pool = http_pool.Pool(
            self._reactor,
            host,
            int(port),
            max_connections=_MAX_CONNECTIONS,
            connect_timeout_s=self._connect_timeout_s,
        )
        self._by_host_id[host_id] = (member.peer_address, pool)
        return pool

    def drop(self, host_id: ids.HostId) -> None:
        """Close the connections to a host."""
        known = self._by_host_id.pop(host_id, None)
        if known is not None:
            known[1].close()

    def drop_idle(self, host_id: ids.HostId) -> None:
        """Close idle connections to a host, which may have gone silent."""
        known = self._by_host_id.get(host_id)
        if known is not None:
            known[1].drop_idle()

    def counts(self) -> dict[str, int]:
        """Return the open connections by host, for the state dump."""
        return {host_id: known[1].open_count for host_id, known in self._by_host_id.items()}

    # Private

    def _drop_forgotten(self) -> None:
        """Close the pools of hosts that are members no more; no call asks for these again."""
        known = tuple(self._by_host_id)
        for host_id in known:
            if self._members.get(host_id) is None:
                self.drop(host_id)
