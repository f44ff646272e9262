"""Decides which nodes follow the operator's topic, so that calls to the log stay few."""

from __future__ import annotations

import math

from anvillug import clock, ids
from anvillug.process import peer_table
from anvillug.version import directives

FOLLOWERS_PER_ZONE = 2
"""Live nodes of a zone that follow the topic; one may fail unnoticed for a poll."""

# A node that hears of newer directives and does not get them from a peer reads them itself.
_BEHIND_MS = 700.0


class FollowerDuty:
    """Duty of one node to follow the topic.

    The first nodes of a zone by name that reach the log have it. No message is needed to agree:
    beacons tell who is alive and reaches the log.

    Args:
        host_id: Name of this host.
        zone: Zone of this host.
        peers: Other nodes.
        board: Directives in effect.
        time: Clock.
    """

    def __init__(
        self,
        host_id: ids.HostId,
        zone: ids.ZoneName,
        peers: peer_table.PeerTable,
        board: directives.DirectiveBoard,
        time: clock.Clock,
    ) -> None:
        self._host_id = host_id
        self._zone = zone
        self._peers = peers
        self._board = board
        self._clock = time
        self._wanted = directives.Position(0)
        self._behind_since = clock.Milliseconds(0)

    def heard(self, position: directives.Position) -> None:
        """Note the position that another node has told."""
        if position > max(self._wanted, self._board.current.position):
            if not self._is_behind:
                self._behind_since = self._clock.now()
            self._wanted = position

    def wanted(self, position: directives.Position) -> None:
        """Read the topic up to a position, since peers can't give what it says."""
        self._wanted = max(self._wanted, position)
        self._behind_since = clock.Milliseconds(-math.inf)

    def holds(self) -> bool:
        """Tell whether this node has to follow the topic now."""
        behind_ms = self._clock.now() - self._behind_since
        is_overdue = self._is_behind and behind_ms > _BEHIND_MS
        return is_overdue or self._rank() < FOLLOWERS_PER_ZONE

    @property
    def _is_behind(self) -> bool:
        return self._board.current.position < self._wanted

    def _rank(self) -> int:
        return self._peers.before(self._host_id, self._zone)
