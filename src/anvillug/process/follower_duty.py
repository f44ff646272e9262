"""Decides which nodes follow the operator's topic, to limit the number of calls to the log."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence

from anvillug import clock, ids
from anvillug.process import peer_table
from anvillug.version import directives

FOLLOWERS = 3
"""Nodes of the whole deployment that follow the topic, in different zones if there are as many."""

# Nodes that follow besides for each one that has lost the log, and the most of them.
_EXTRA_PER_LOST = 3
_MAX_EXTRA_FOLLOWERS = 9
_PeersByZone = Mapping[ids.ZoneName, Sequence[peer_table.Peer]]
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
        """Return whether this node has to follow the topic now.

        Besides the first nodes, some follow for each one that has lost the log, so that one that
        the log serves is found soon if it turns many away: the search widens with each that fails.
        """
        if self._is_overdue:
            return True
        live_by_zone = self._peers.live_by_zone()
        readers_by_zone = _select_readers(live_by_zone)
        lost_count = _count(live_by_zone) - _count(readers_by_zone)
        followers = FOLLOWERS + min(_MAX_EXTRA_FOLLOWERS, _EXTRA_PER_LOST * lost_count)
        return self._index_among(readers_by_zone) < followers

    def may_retry(self) -> bool:
        """Return whether this node, which has lost the log, should try to reach it again soon.

        While no node is known to reach the log, the first few in the order of the duty try on
        behalf of all.
        """
        if self._is_overdue:
            return True
        live_by_zone = self._peers.live_by_zone()
        if _count(_select_readers(live_by_zone)):
            return False
        return self._index_among(live_by_zone) < FOLLOWERS

    def is_first_of_zone(self) -> bool:
        """Return whether no other node of the zone that reaches the log precedes this one."""
        readers_by_zone = _select_readers(self._peers.live_by_zone())
        return not self._rank(readers_by_zone)

    def index(self) -> int:
        """Return the number of nodes that precede this one in taking up the duty."""
        return self._index_among(_select_readers(self._peers.live_by_zone()))

    def _index_among(self, peers_by_zone: _PeersByZone) -> int:
        """Return the number of nodes that precede this one if zones take turns."""
        rank = self._rank(peers_by_zone)
        return rank + sum(
            min(len(peers), rank + (zone < self._zone))
            for zone, peers in peers_by_zone.items()
            if zone != self._zone
        )

    def _rank(self, peers_by_zone: _PeersByZone) -> int:
        """Return the number of nodes of this zone that precede this one."""
        return sum(peer.host_id < self._host_id for peer in peers_by_zone.get(self._zone, ()))

    @property
    def _is_overdue(self) -> bool:
        lag_ms = self._clock.now() - self._lagging_since
        return self._is_lagging and lag_ms > _MAX_LAG_MS

    @property
    def _is_lagging(self) -> bool:
        return self._active_directives.current.position < self._target


def _select_readers(peers_by_zone: _PeersByZone) -> _PeersByZone:
    """Return the nodes that reach the log."""
    return {
        zone: [peer for peer in peers if peer.announcement.reaches_log]
        for zone, peers in peers_by_zone.items()
    }


def _count(peers_by_zone: _PeersByZone) -> int:
    return sum(len(peers) for peers in peers_by_zone.values())
