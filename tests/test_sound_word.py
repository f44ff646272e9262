"""Tests of the age of a node's sound word of the log, and of who takes over whose."""

from __future__ import annotations

import math
import random
import types

import msgpack
import pytest
from twisted.internet import task

from anvillug import clock, ids
from anvillug.connection import keyed_log, memory_account
from anvillug.platform import headers
from anvillug.process import order_feed, peer_server, peer_table, sound_word, word_task
from anvillug.request import job, upstream_run
from anvillug.version import directives
from tests import test_bad_input, test_beacon, test_mesh_host

_REVOKE_MS = 5000
_LIMIT_MS = 4750


class _Node:
    """A node whose directives the tests set."""

    def __init__(self, time: clock.ManualClock, position: directives.Position) -> None:
        self.time = time
        self.active = directives.ActiveDirectives(_at)
        self.word = sound_word.SoundWord(time, self.active, _REVOKE_MS)
        self.active.advance({}, position)

    def read(self, took_ms: float = 0) -> None:
        sent_at = self.time.now()
        self.time.advance(took_ms)
        self.word.read_succeeded(sent_at, self.active.current.position)


def _at(records, position, previous) -> directives.Directives:
    return directives.Directives(position, max(position.revision, previous.revision))


_POSITION = directives.Position(0, 5, 3)


@pytest.fixture
def time():
    """Return a clock that counts suspensions."""
    return clock.ManualClock(100_000)


@pytest.fixture
def node(time):
    """Return a node that has read nothing."""
    return _Node(time, _POSITION)


class TestAge:
    """Guards against keys that are relied on by a node that can't know of their withdrawal."""

    def test_no_word_is_not_recent(self, node):
        assert not node.word.is_recent

    def test_cut_off_node_stops_before_the_bound(self, time, node):
        node.read()
        time.advance(_LIMIT_MS - 1)
        assert node.word.is_recent
        time.advance(1)
        assert not node.word.is_recent

    def test_answer_that_was_read_after_a_freeze_is_old(self, node):
        node.read(took_ms=20_000)
        assert node.word.age_ms == 20_000

    def test_restored_store_counts_once_the_operator_wrote_again(self, time, node):
        node.read()
        node.active.advance({}, directives.Position(1, 2))
        node.read(took_ms=1999)
        assert node.word.age_ms == 1999
        time.advance(1)
        node.read()
        assert not node.word.age_ms

    def test_wall_clock_has_no_effect(self, time, node):
        node.read()
        time.wall = lambda: clock.Milliseconds(-1e12)
        assert not node.word.age_ms


class TestTakeOver:
    """Guards against a peer's old word that passes as fresh."""

    def test_age_is_carried_along_with_the_time_of_the_exchange(self, time, node):
        peer = _Node(time, _POSITION)
        peer.read()
        time.advance(300)
        asked_at = time.now()
        answer = peer.word.encode()
        # The peer, the link or this node stands still before the answer is read.
        time.advance(4000)
        assert node.word.receive(asked_at, answer)
        assert 4300 <= node.word.age_ms <= 4302

    def test_word_for_newer_directives_does_not_count(self, time, node):
        for newer in (directives.Position(0, 6, 3), directives.Position(0, 4, 4)):
            peer = _Node(time, newer)
            peer.read()
            assert not node.word.receive(time.now(), peer.word.encode())
        assert node.word.age_ms == math.inf

    def test_configuration_that_the_store_has_lost_is_required(self, time):
        restarted = _Node(time, directives.Position(1, 2, 2))
        peer = _Node(time, _POSITION)
        peer.read()
        assert not restarted.word.receive(time.now(), peer.word.encode())

    def test_peer_without_a_word_or_with_a_malformed_one(self, time, node):
        assert not node.word.receive(time.now(), _Node(time, _POSITION).word.encode())
        for packed in ([_POSITION, -5], [_POSITION, math.nan], [[1], 5], 7):
            with pytest.raises(sound_word.MALFORMED_ERRORS):
                node.word.receive(time.now(), msgpack.packb(packed))

    def test_any_node_is_asked_after_the_reader_of_the_zone_failed(self, time, node):
        peers = peer_table.PeerTable(ids.HostId('me'), time)
        for host, host_zone in (('b', 'z'), ('a', 'z'), ('0', 'y')):
            peers.receive_announcement(
                test_beacon.announcement(
                    host_id=host, zone=host_zone, beacon_address=f'{host}:1', reaches_log=True
                )
            )
        reactor = task.Clock()
        zone = ids.ZoneName('z')
        rng = random.Random(1)
        asking = word_task.WordTask(reactor, node.word, peers, zone, lambda _: _NoPool(), rng)
        assert asking.choose().host_id == 'a'
        asking.start()
        assert {asking.choose().host_id for _ in range(99)} == {'0', 'a', 'b'}


class _Log:
    """Log whose records may be read only in part."""

    def __init__(self, *, is_complete: bool) -> None:
        self._batch = keyed_log.Batch((), _POSITION, is_complete)

    async def newest(self, topic: str) -> keyed_log.Batch:
        return self._batch


class TestReads:
    """Guards against a read that gives a word although it did not reach the end of the log."""

    @pytest.mark.parametrize('is_complete', [True, False])
    def test_only_a_complete_read_gives_a_word(self, node, is_complete):
        log = _Log(is_complete=is_complete)
        callbacks = (lambda: True, lambda: True, lambda: None, lambda: None)
        feed = order_feed.OrderFeed(
            task.Clock(), log, 'orders', node.active, random.Random(1), *callbacks, node.word
        )
        feed.start()
        assert node.word.is_recent is is_complete

    def test_another_node_can_ask_for_the_word(self, node):
        node.read()
        account = memory_account.MemoryAccount(1 << 20, node.time)
        server = peer_server.PeerServer(
            types.SimpleNamespace(), node.active, node.time, ids.Incarnation(1), account, node.word
        )
        connection, transport, _ = test_bad_input.make_connection(server.request_received)
        connection.dataReceived(b'GET %b HTTP/1.1\r\nHost: node\r\n\r\n' % sound_word.PATH)
        asking = _Node(node.time, _POSITION)
        assert asking.word.receive(node.time.now(), transport.value().partition(b'\r\n\r\n')[2])
        assert asking.word.is_recent


class _NoPool:
    """Pool whose node can't be reached."""

    def acquire(self, connected, failed) -> None:
        failed()


class _Pool:
    """Pool whose connection is there when the test says so."""

    def acquire(self, connected, failed, max_idle_s=0, request_id='') -> None:
        self.connected = connected


class TestHost:
    """Guards against a job that waits at its host beyond the withdrawal of its key."""

    @pytest.fixture
    def host_side(self):
        host_side = test_mesh_host.HostSide(cold_ms=0)
        host_side.word.read_succeeded(host_side.time.now(), directives.ORIGIN)
        return host_side

    @pytest.mark.parametrize(('tenant', 'reason'), [('t', 'no recent word of the log'), ('', '')])
    def test_host_without_a_recent_word_rejects_only_jobs_with_a_key(
        self, host_side, tenant, reason
    ):
        assert not host_side.rejection_reason(tenant=tenant)
        host_side.time.advance(_LIMIT_MS)
        assert host_side.rejection_reason(tenant=tenant) == reason

    def test_job_is_checked_again_when_it_is_sent(self, time):
        pool = _Pool()
        results: list[job.Result] = []
        run = upstream_run.UpstreamRun(
            task.Clock(),
            time,
            headers.PlatformDialect(),
            test_mesh_host.job_at(time),
            results.append,
            lambda work: 'withdrawn',
        )
        run.begin(pool)
        assert not results
        pool.connected(None)
        assert (results[0].kind, results[0].reason) == (job.ResultKind.REFUSED, 'withdrawn')
