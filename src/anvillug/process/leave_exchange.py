"""Leaves that nodes remember for each other, so that they outlive a process while the log is away.

Each node announces the leaves of its backend server in its full beacons. Its peers remember them
for as long as they know the node. A process that starts announces none until it knows those of its
previous processes, and its peers send it what they remember.
"""

from __future__ import annotations

from collections.abc import Callable

from anvillug import event_log, ids
from anvillug.process import beacon, leave_record, peer_table, upstream

# Keys of the additional state in beacons: the leaves of the sender, and those of the receiver that
# the sender remembers.
_OWN = 'l'
_REMEMBERED = 'm'


class LeaveExchange:
    """Announces the leaves of this node, and remembers those of others.

    Args:
        backend: Backend server of this node.
        peers: Other nodes.
        on_remembered: Called with leaves of this node that a peer remembers.
    """

    def __init__(
        self,
        backend: upstream.Upstream,
        peers: peer_table.PeerTable,
        on_remembered: Callable[[leave_record.LeaveRecord], None],
    ) -> None:
        self._upstream = backend
        self._peers = peers
        self._on_remembered = on_remembered

    def announced(self) -> beacon.ExtraState:
        """Return the state for beacons; empty until the leaves of previous processes are known."""
        if not self._upstream.knows_leaves:
            return {}
        return {_OWN: self._upstream.leaves.brief().to_data()}

    def receive(self, host_id: ids.HostId, extra_state: beacon.ExtraState) -> beacon.ExtraState:
        """Process the leaves in the beacon of another node.

        Args:
            host_id: Host of the other node.
            extra_state: Additional state of its beacon.

        Returns:
            State with the leaves that the other node lacks; empty if it lacks none.
        """
        peer = self._peers.by_host_id[host_id]
        try:
            return self._exchange(peer, extra_state)
        except ValueError as error:
            event_log.warn('peer_leaves_malformed', peer=host_id, reason=error)
            return {}

    def _exchange(self, peer: peer_table.Peer, extra_state: beacon.ExtraState) -> beacon.ExtraState:
        if _REMEMBERED in extra_state:
            self._on_remembered(leave_record.from_data(extra_state[_REMEMBERED]))
        if _OWN not in extra_state:
            return {} if peer.leaves is None else {_REMEMBERED: peer.leaves.to_data()}
        announced = leave_record.from_data(extra_state[_OWN]).brief()
        if peer.leaves is None:
            peer.leaves = announced
        elif peer.leaves != announced:
            peer.leaves = peer.leaves.merge(announced).brief()
        return {} if peer.leaves == announced else {_REMEMBERED: peer.leaves.to_data()}
