"""Decides which nodes follow the operator's topic, to limit the number of calls to the log."""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping

from anvillug import clock, ids
from anvillug.process import peer_table
from anvillug.version import directives

FOLLOWERS = 2
"""Nodes of the whole deployment that follow the topic, in different zones if there are as many."""

_MAX_EXTRA_FOLLOWERS = 6
# A node that has not received newer directives from a peer within this time reads the topic itself.
_MAX_LAG_MS = 700.0


class FollowerDuty:
    """Duty of one node to follow the operator's topic.

    Nodes that are live and reach the log take turns by zone: the first ones of all zones in the
    order of names, then the second ones, and so on. The first few in this order have the duty.
    Nodes agree on them without further messages: beacons report who is live and reaches the log.

    Args:
        host_id: Name of this host.
        zone: Zone of this host.
        peers: Other nodes.
        active_directives: Directives in effect.
        time: Clock.
    """

    def __init__(
        self,
        host_id: ids.HostId,
        zone: ids.ZoneName,
        peers: peer_table.PeerTable,
        active_directives: directives.ActiveDirectives,
        time: clock.Clock,
    ) -> None:
        self._host_id = host_id
        self._zone = zone
        self._peers = peers
        self._active_directives = active_directives
        self._clock = time
        self._target = directives.ORIGIN
        self._lagging_since = clock.Milliseconds(0)

    def record_peer_position(self, position: directives.Position) -> None:
        """Record the position of the directives that another node has in effect."""
        if position > max(self._target, self._active_directives.current.position):
            if not self._is_lagging:
                self._lagging_since = self._clock.now()
            self._target = position

    def require_position(self, position: directives.Position) -> None:
        """Make this node read up to a position, because the peers cannot send its directives."""
        self._target = max(self._target, position)
        self._lagging_since = clock.Milliseconds(-math.inf)

    def is_follower(self) -> bool:
        """Return whether this node has to follow the topic now."""
        return self._is_overdue or self.index() < FOLLOWERS + self._extra_followers()

    def may_retry(self) -> bool:
        """Return whether this node, which has lost the log, should try to reach it again soon.

        While no node is known to reach the log, the first few in the order of the duty try on
        behalf of all.
        """
        if self._is_overdue:
            return True
        if any(self._peers.log_readers_by_zone().values()):
            return False
        live_by_zone = self._peers.live_by_zone()
        return _index(self._host_id, self._zone, live_by_zone) < FOLLOWERS

    def is_first_of_zone(self) -> bool:
        """Return whether no other node of the zone precedes this one."""
        readers = self._peers.log_readers_by_zone().get(self._zone, [])
        return all(name > self._host_id for name in readers)

    def index(self) -> int:
        """Return the number of nodes that precede this one in taking up the duty."""
        return _index(self._host_id, self._zone, self._peers.log_readers_by_zone())

    def _extra_followers(self) -> int:
        """Return how many nodes follow besides, so that one that the log serves is found soon.

        They are as many as have lost the log: if it turns many nodes away, the search widens with
        each that fails.
        """
        live_count = sum(len(hosts) for hosts in self._peers.live_by_zone().values())
        reader_count = sum(len(hosts) for hosts in self._peers.log_readers_by_zone().values())
        return min(_MAX_EXTRA_FOLLOWERS, max(0, live_count - reader_count))

    @property
    def _is_overdue(self) -> bool:
        lag_ms = self._clock.now() - self._lagging_since
        return self._is_lagging and lag_ms > _MAX_LAG_MS

    @property
    def _is_lagging(self) -> bool:
        return self._active_directives.current.position < self._target


def _index(
    host_id: ids.HostId,
    zone: ids.ZoneName,
    hosts_by_zone: Mapping[ids.ZoneName, Collection[ids.HostId]],
) -> int:
    """Return the number of hosts that precede one, if zones take turns."""
    rank = sum(name < host_id for name in hosts_by_zone.get(zone, ()))
    return rank + sum(
        min(len(hosts), rank + (other_zone < zone))
        for other_zone, hosts in hosts_by_zone.items()
        if other_zone != zone
    )
