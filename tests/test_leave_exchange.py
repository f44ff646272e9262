"""Leaves that nodes remember for each other, and their recovery at the start of a process."""

from __future__ import annotations

import msgpack
import pytest

from anvillug import clock, ids
from anvillug.process import leave_exchange, leave_record, peer_table, upstream
from tests import test_beacon

_LEFT = leave_record.LeaveRecord(ids.Incarnation(1_700_000_000_000))
_NEWER = leave_record.LeaveRecord(ids.Incarnation(1_700_000_000_001))
_MAX_BEACON_BYTES = 120


class _Node:
    """Leaves of one node, and those that it remembers for others."""

    def __init__(self, name: str) -> None:
        self.host_id = ids.HostId(name)
        self.remembered: list[leave_record.LeaveRecord] = []
        self.replies = 0
        time = clock.ManualClock(10_000)
        self.peers = peer_table.PeerTable(self.host_id, time)
        self.backend = upstream.Upstream('10.0.0.1:80', time)
        self.exchange = leave_exchange.LeaveExchange(self.backend, self.peers, self._restore)

    def send(self, receiver: _Node) -> None:
        """Send a beacon, and receive what this node lacks."""
        receiver.peers.receive_announcement(test_beacon.announcement(host_id=self.host_id))
        self.peers.receive_announcement(test_beacon.announcement(host_id=receiver.host_id))
        reply = receiver.exchange.receive(self.host_id, self.exchange.announced())
        if reply:
            self.replies += 1
            extra_state = {**receiver.exchange.announced(), **reply}
            self.exchange.receive(receiver.host_id, extra_state)

    def _restore(self, leaves: leave_record.LeaveRecord) -> None:
        self.remembered.append(leaves)
        self.backend.restore_leaves(leaves, 'a peer')


@pytest.fixture
def peer():
    """Return a node that remembers a leave of node `a`."""
    peer = _Node('b')
    node = _Node('a')
    node.backend.leaves = _LEFT
    node.send(peer)
    return peer


class TestMemory:
    """Guards against a leave that nobody remembers when its node restarts."""

    def test_next_process_is_told_its_leaves(self, peer):
        restarted = _Node('a')
        restarted.backend.await_leave()
        restarted.send(peer)
        assert restarted.remembered == [_LEFT]

    def test_next_process_is_told_again_until_it_knows(self, peer):
        restarted = _Node('a')
        restarted.backend.await_leave()
        for _ in range(2):
            restarted.send(peer)
        restarted.backend.leave_known()
        restarted.send(peer)
        assert restarted.replies == 2

    # An older copy of the log may have replaced the one with the leave.
    def test_process_that_lacks_a_leave_is_told(self, peer):
        restarted = _Node('a')
        restarted.send(peer)
        restarted.send(peer)
        assert (restarted.backend.leaves, restarted.replies) == (_LEFT, 1)

    def test_process_without_leaves_is_told_so(self):
        peer = _Node('b')
        _Node('a').send(peer)
        restarted = _Node('a')
        restarted.backend.await_leave()
        restarted.send(peer)
        assert restarted.remembered == [leave_record.NONE]

    # It would take this for a statement that nothing has left.
    def test_peer_that_knows_no_earlier_process_tells_nothing(self):
        peer = _Node('b')
        for _ in range(2):
            restarted = _Node('a')
            restarted.backend.await_leave()
            restarted.send(peer)
            assert not restarted.remembered

    def test_older_record_does_not_replace_a_newer_one(self, peer):
        newer = _Node('a')
        newer.backend.leaves = _NEWER
        newer.send(peer)
        older = _Node('a')
        older.backend.leaves = _LEFT
        older.send(peer)
        assert older.backend.leaves == _NEWER

    def test_leaves_of_another_node_are_not_told(self, peer):
        other = _Node('c')
        other.backend.await_leave()
        other.send(peer)
        assert not other.remembered


class TestWireForm:
    """Guards against beacons that grow without bound, and against others' bytes."""

    @pytest.mark.parametrize('id_length', [10, 40, 41, 60_000])
    def test_size_is_bounded(self, id_length):
        node = _Node('a')
        leaves = leave_record.LeaveRecord(ids.Incarnation(2**70), (ids.Incarnation(2**70), 2**70))
        for number in range(8):
            instance = ids.InstanceId(f'{number:0{id_length}d}')
            leaves = leaves.with_unknown_instance(instance, 1_700_000_000_000)
        node.backend.leaves = leaves
        assert len(msgpack.packb(node.exchange.announced())) <= _MAX_BEACON_BYTES

    # Replies to each beacon would not end.
    def test_record_beyond_the_size_is_sent_once(self, peer):
        node = _Node('a')
        for number in range(8):
            instance = ids.InstanceId(f'i-{number}')
            node.backend.leaves = node.backend.leaves.with_unknown_instance(instance, 1000)
            node.send(peer)
        node.replies = 0
        node.send(peer)
        assert node.replies == 0

    @pytest.mark.parametrize('content', ['5', None, {}, [1]])
    @pytest.mark.parametrize('key', ['l', 'm'])
    def test_malformed_leaves_are_ignored(self, peer, key, content):
        assert not peer.exchange.receive(ids.HostId('a'), {'l': _LEFT.to_data(), key: content})
        assert peer.peers.by_host_id[ids.HostId('a')].leaves == _LEFT
