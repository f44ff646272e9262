"""Tests of the platform store: its stand-in, its client and the feed of the operator's topic."""

from __future__ import annotations

import contextlib
import json
import math
import os
import pathlib
import random
import struct
import time
from concurrent import futures
from http import client as http_client

import pytest
from twisted.internet import defer, reactor

from anvillug.connection import keyed_log, tcp_liveness
from anvillug.platform import documents, store
from anvillug.process import order_feed
from anvillug.standin import link, platform_store
from anvillug.version import directives
from tests import reactor_thread, test_platform_documents

_TOPIC = 'keyed.op'
# A change has to be in force within this time of its acknowledgement.
_APPLY_LIMIT_S = 2
# Nodes have to be up to date this long after a disturbance of the store has ended.
_CONTACT_LIMIT_S = 3
# A node waits this long for the operator to write lost records again.
_REWRITE_LIMIT_S = 3
# States and timers in `/proc/net/tcp`; see the kernel's documentation of that file.
_ESTABLISHED = '01'
_KEEP_ALIVE_TIMER = '02'
_TICKS_PER_S = os.sysconf('SC_CLK_TCK')


def _position(offset: int) -> directives.Position:
    """Return a position in the first era of the store."""
    return directives.Position(1, offset)


def _record(offset: int, value: bytes) -> directives.Record:
    return directives.Record(_position(offset), value)


class _StoreSetup:
    """A store on a free port, with a client."""

    def __init__(self):
        self.server = platform_store.PlatformStore(reactor)
        self.port = reactor.listenTCP(0, self.server.site(), interface='127.0.0.1')
        self.client = store.Store(reactor, f'127.0.0.1:{self.port.getHost().port}')
        self.feed: order_feed.OrderFeed | None = None

    def append(self, key: bytes, value: bytes) -> None:
        """Append a record of the operator."""
        reactor_thread.call(self.server.topic(_TOPIC).append, key, value)

    def restore(self, *written: tuple[bytes, bytes]) -> None:
        """Restore the store and append records before it receives another call."""
        reactor_thread.call(self._restore, written)

    def _restore(self, written: tuple[tuple[bytes, bytes], ...]) -> None:
        self.server.restore()
        for key, value in written:
            self.server.topic(_TOPIC).append(key, value)


@pytest.fixture
def store_setup(running_reactor):
    """Start a store and return it with a client; stop it after the test."""
    setup = reactor_thread.call(_StoreSetup)
    yield setup
    reactor_thread.call(setup.port.stopListening)


class TestStandin:
    """Guards against a stand-in that hides what a restored store loses."""

    def test_topics_return_to_the_copy(self, store_setup):
        server = store_setup.server
        topic, late_topic = server.topic(_TOPIC), server.topic('keyed.late')
        topic.append(b'a', b'1')
        server.snapshot()
        topic.append(b'a', b'2')
        topic.first_offset = 2
        late_topic.append(b'b', b'1')
        reactor_thread.call(server.restore)
        assert (topic.records, topic.first_offset) == ([(b'a', b'1')], 0)
        assert not late_topic.records
        assert topic.append(b'c', b'1') == 1
        reactor_thread.call(server.restore)
        assert topic.records == [(b'a', b'1')]

    def test_every_response_names_the_era(self, store_setup):
        calls = {
            f'GET log-read?Topic={_TOPIC}&From=0': 200,
            f'GET log-read?Topic={_TOPIC}&From=9': 410,
            f'GET log-newest?Topic={_TOPIC}': 200,
            f'POST log-append?Topic={_TOPIC}': 200,
            f'POST log-append?Topic={_TOPIC}&At=9': 412,
        }
        for call, status in calls.items():
            assert self._respond(store_setup, call)[:2] == (status, '1')
        reactor_thread.call(store_setup.server.restore)
        for call, status in calls.items():
            assert self._respond(store_setup, call)[:2] == (status, '2')
        store_setup.server.faults = platform_store.StoreFaults(outage=True)
        for call in calls:
            assert self._respond(store_setup, call)[:2] == (503, '2')
        counts = {'log-read': 6, 'log-newest': 3, 'log-append': 6}
        assert store_setup.server.call_counts == counts

    def test_waiting_read_responds_from_the_restored_topic(self, store_setup):
        server = store_setup.server
        topic = server.topic(_TOPIC)
        server.snapshot()
        topic.append(b'a', b'1')
        call = f'GET log-read?Topic={_TOPIC}&From=1&WaitMs=30000'
        with futures.ThreadPoolExecutor() as executor:
            waiting = executor.submit(self._respond, store_setup, call)
            reactor_thread.eventually(lambda: topic.waiters)
            reactor_thread.call(server.restore)
            assert waiting.result(reactor_thread.TIMEOUT_S) == (410, '2', b'{"First": 0}')

    def test_waiting_read_of_an_unchanged_topic_responds(self, store_setup):
        server = store_setup.server
        topic = server.topic(_TOPIC)
        call = f'GET log-read?Topic={_TOPIC}&From=0&WaitMs=30000'
        with futures.ThreadPoolExecutor() as executor:
            waiting = executor.submit(self._respond, store_setup, call)
            reactor_thread.eventually(lambda: topic.waiters)
            reactor_thread.call(server.restore)
            bounds = struct.pack('>QQ', 0, 0)
            assert waiting.result(reactor_thread.TIMEOUT_S) == (200, '2', bounds)

    def _respond(self, store_setup, call: str) -> tuple[int, str, bytes]:
        """Return status, era and body of the response to a call."""
        method, target = call.split()
        connection = http_client.HTTPConnection(
            '127.0.0.1', store_setup.port.getHost().port, timeout=reactor_thread.TIMEOUT_S
        )
        with contextlib.closing(connection):
            connection.request(method, f'/-/{target}')
            response = connection.getresponse()
            return response.status, response.getheader('Store-Era'), response.read()


class TestClient:
    """Guards against records that are misread and append conditions that are ignored."""

    def test_append_read_and_newest(self, store_setup):
        client = store_setup.client
        assert reactor_thread.wait_for(client.append(_TOPIC, 'a', b'1')) == _position(0)
        assert reactor_thread.wait_for(client.append(_TOPIC, 'b', b'2')) == _position(1)
        assert reactor_thread.wait_for(client.append(_TOPIC, 'a', b'3')) == _position(2)
        read = (('b', _record(1, b'2')), ('a', _record(2, b'3')))
        batch = reactor_thread.wait_for(client.read(_TOPIC, 1, 0))
        assert batch == keyed_log.Batch(read, _position(3))
        newest = reactor_thread.wait_for(client.newest(_TOPIC))
        assert dict(newest.changes) == {
            'a': _record(2, b'3'),
            'b': _record(1, b'2'),
        }

    def test_pages_of_newest_records(self, store_setup):
        topic = store_setup.server.topic(_TOPIC)
        for number in range(1200):
            topic.append(f'{number:04}'.encode(), b'x')
        assert len(reactor_thread.wait_for(store_setup.client.newest(_TOPIC)).changes) == 1200

    def test_append_condition(self, store_setup):
        reactor_thread.wait_for(store_setup.client.append(_TOPIC, 'a', b'1', expected_end=0))
        with pytest.raises(keyed_log.ConditionFailedError):
            reactor_thread.wait_for(store_setup.client.append(_TOPIC, 'a', b'2', expected_end=0))

    def test_dropped_history(self, store_setup):
        topic = store_setup.server.topic(_TOPIC)
        topic.append(b'a', b'1')
        topic.first_offset = 1
        with pytest.raises(keyed_log.RecordsDeletedError):
            reactor_thread.wait_for(store_setup.client.read(_TOPIC, 0, 0))

    def test_read_beyond_the_end(self, store_setup):
        store_setup.server.topic(_TOPIC).append(b'a', b'1')
        end = keyed_log.Batch((), _position(1))
        assert reactor_thread.wait_for(store_setup.client.read(_TOPIC, 1, 0)) == end
        with pytest.raises(keyed_log.RecordsDeletedError):
            reactor_thread.wait_for(store_setup.client.read(_TOPIC, 2, 0))

    @pytest.mark.parametrize('faults', [{'outage': True}, {'silent': True}])
    def test_outage_is_an_error_within_the_timeout(self, store_setup, faults):
        store_setup.server.faults = platform_store.StoreFaults(**faults)
        with pytest.raises(keyed_log.LogUnavailableError):
            reactor_thread.wait_for(store_setup.client.read(_TOPIC, 0, 100))

    def test_lost_response_is_an_error_though_the_record_is_stored(self, store_setup):
        store_setup.server.faults = platform_store.StoreFaults(lose_answers=1)
        with pytest.raises(keyed_log.LogUnavailableError):
            reactor_thread.wait_for(store_setup.client.append(_TOPIC, 'a', b'1'))
        assert store_setup.server.topic(_TOPIC).records == [(b'a', b'1')]


class TestSilentConnections:
    """Guards against directives missed while connections that carry nothing still look open."""

    @pytest.fixture
    def store_link(self, store_setup):
        store_link = link.Link(reactor, f'127.0.0.1:{store_setup.port.getHost().port}')
        store_setup.client = store.Store(
            reactor, reactor_thread.call(store_link.listen, '127.0.0.1:0')
        )
        yield store_link
        reactor_thread.call(store_link.stop)

    def test_waiting_read_does_not_outlast_a_silent_connection(self, store_setup):
        # The kernel's keep-alive timer is the only one that can end the wait early.
        reactor_thread.wait_for(store_setup.client.append(_TOPIC, 'a', b'1'))
        waits = _keep_alive_waits_ms(store_setup.port.getHost().port)
        assert waits
        assert max(waits) <= tcp_liveness.SILENCE_LIMIT_MS

    def test_call_after_a_silent_connection_uses_a_new_one(self, store_setup, store_link):
        client = store_setup.client
        reactor_thread.call(_open_two_connections, client)
        reactor_thread.call(store_link.silence_open_connections)
        with pytest.raises(keyed_log.LogUnavailableError):
            reactor_thread.wait_for(client.read(_TOPIC, 0, 0))
        assert reactor_thread.wait_for(client.append(_TOPIC, 'a', b'1')) == _position(0)


def _open_two_connections(client: store.Store) -> defer.Deferred[object]:
    """Read twice at the same time, which leaves two idle connections in the client's pool."""
    reads = [defer.ensureDeferred(client.read(_TOPIC, 0, 100)) for _ in range(2)]
    return defer.gatherResults(reads)


def _keep_alive_waits_ms(server_port: int) -> list[float]:
    """Return the time until the next keep-alive probe of each open connection to a port."""
    rows = [line.split() for line in pathlib.Path('/proc/net/tcp').read_text().splitlines()[1:]]
    waits = []
    for row in rows:
        _, remote_port = row[2].split(':')
        timer, ticks = row[5].split(':')
        if int(remote_port, 16) == server_port and row[3] == _ESTABLISHED:
            is_keep_alive = timer == _KEEP_ALIVE_TIMER
            waits.append(int(ticks, 16) * 1000 / _TICKS_PER_S if is_keep_alive else math.inf)
    return waits


@pytest.fixture
def active_directives(store_setup):
    """Return the directives that a feed of the store keeps; stop the feed after the test."""
    applied = directives.ActiveDirectives(documents.decode_directives)
    feed = order_feed.OrderFeed(
        reactor,
        store_setup.client,
        _TOPIC,
        applied,
        random.Random(1),
        lambda: True,
        lambda: True,
        lambda: None,
        lambda: None,
    )
    store_setup.feed = feed
    task = reactor_thread.call(lambda: _UnawaitedTask(feed.start()))
    yield applied
    with contextlib.suppress(defer.CancelledError):
        reactor_thread.call(task.cancel)


class TestFeed:
    """Guards against directives that are missed after outages or dropped history."""

    def test_changes_and_deletions_take_effect(self, store_setup, active_directives):
        store_setup.append(b'evacuate/z1', b'{}')
        reactor_thread.eventually(lambda: active_directives.current.zones_out == {'z1'})
        store_setup.append(b'evacuate/z1', b'')
        reactor_thread.eventually(lambda: not active_directives.current.zones_out)

    def test_directive_written_during_an_outage_takes_effect_later(
        self, store_setup, active_directives
    ):
        store_setup.server.faults = platform_store.StoreFaults(outage=True)
        store_setup.append(b'evacuate/z1', b'{}')
        time.sleep(0.2)
        assert not active_directives.current.zones_out
        store_setup.server.faults = platform_store.StoreFaults()
        reactor_thread.eventually(lambda: active_directives.current.zones_out == {'z1'})

    def test_dropped_history_is_replaced_by_the_newest_records(
        self, store_setup, active_directives
    ):
        config = json.dumps(test_platform_documents.CONFIG).encode()
        store_setup.append(b'config', config)
        reactor_thread.eventually(lambda: active_directives.current.revision)
        topic = store_setup.server.topic(_TOPIC)
        store_setup.server.faults = platform_store.StoreFaults(outage=True)
        store_setup.append(b'evacuate/z1', b'{}')
        topic.first_offset = len(topic.records)
        store_setup.server.faults = platform_store.StoreFaults()
        reactor_thread.eventually(lambda: active_directives.current.zones_out == {'z1'})
        assert active_directives.current.revision


class TestLostResponses:
    """Guards against changes that are in force too late, because their response never came."""

    # The connection stays open, so that only the client's own limit ends the wait.
    def test_change_whose_response_is_lost_takes_effect(self, store_setup, active_directives):
        topic = store_setup.server.topic(_TOPIC)
        reactor_thread.eventually(lambda: topic.waiters)
        store_setup.server.faults = platform_store.StoreFaults(silent=True)
        store_setup.append(b'evacuate/z1', b'{}')
        reactor_thread.eventually(lambda: not topic.waiters)
        store_setup.server.faults = platform_store.StoreFaults()
        began = time.monotonic()
        reactor_thread.eventually(lambda: active_directives.current.zones_out == {'z1'})
        assert time.monotonic() - began < _CONTACT_LIMIT_S

    def test_return_of_the_store_is_noticed_without_a_change(self, store_setup, active_directives):
        store_setup.append(b'evacuate/z1', b'{}')
        reactor_thread.eventually(lambda: active_directives.current.zones_out == {'z1'})
        store_setup.server.faults = platform_store.StoreFaults(outage=True)
        reactor_thread.eventually(lambda: not store_setup.feed.reaches_log)
        store_setup.server.faults = platform_store.StoreFaults()
        began = time.monotonic()
        reactor_thread.eventually(lambda: store_setup.feed.reaches_log)
        assert time.monotonic() - began < _APPLY_LIMIT_S


class TestFeedOfRestoredStore:
    """Guards against directives that are missed or undone after the store has lost records."""

    def test_directive_at_a_reused_offset_takes_effect(self, store_setup, active_directives):
        self._lose_two_records(store_setup, active_directives)
        store_setup.restore()
        store_setup.append(b'evacuate/z2', b'{}')
        reactor_thread.eventually(lambda: active_directives.current.zones_out == {'z2'})

    def test_as_many_other_records_as_were_lost_take_effect(self, store_setup, active_directives):
        self._lose_two_records(store_setup, active_directives)
        store_setup.restore((b'evacuate/z2', b'{}'), (b'evacuate/z3', b'{}'))
        reactor_thread.eventually(lambda: active_directives.current.zones_out == {'z2', 'z3'})

    def test_other_records_written_during_an_outage_take_effect(
        self, store_setup, active_directives
    ):
        self._lose_two_records(store_setup, active_directives)
        # The next read succeeds, since the topic ends where it did before.
        store_setup.server.faults = platform_store.StoreFaults(outage=True)
        store_setup.restore((b'evacuate/z2', b'{}'), (b'evacuate/z3', b'{}'))
        store_setup.server.faults = platform_store.StoreFaults()
        began = time.monotonic()
        reactor_thread.eventually(lambda: active_directives.current.zones_out == {'z2', 'z3'})
        assert time.monotonic() - began < _APPLY_LIMIT_S

    @pytest.mark.parametrize('restored_version', [None, '0000000b'])
    def test_restored_older_config_does_not_replace_a_newer_one(
        self, store_setup, active_directives, restored_version
    ):
        if restored_version:
            store_setup.append(b'config', _config(restored_version))
        reactor_thread.call(store_setup.server.snapshot)
        newer = _config('0000000c')
        store_setup.append(b'config', newer)
        reactor_thread.eventually(lambda: active_directives.current.revision == 12)
        store_setup.restore()
        store_setup.append(b'evacuate/z1', b'{}')
        reactor_thread.eventually(lambda: active_directives.current.zones_out == {'z1'})
        assert active_directives.current.revision == 12
        # Nodes that fetch the directives from this one decode the records.
        assert active_directives.current.records['config'].value == newer
        store_setup.append(b'config', _config('0000000d'))
        reactor_thread.eventually(lambda: active_directives.current.revision == 13)

    # Calls would be sent to a zone out of service, since its order was lost a second time.
    def test_lost_evacuation_is_kept_while_the_store_is_away(self, store_setup, active_directives):
        reactor_thread.call(store_setup.server.snapshot)
        store_setup.append(b'evacuate/z1', b'{}')
        reactor_thread.eventually(lambda: active_directives.current.zones_out == {'z1'})
        era = active_directives.current.position.era
        store_setup.restore()
        reactor_thread.eventually(lambda: active_directives.current.position.era > era)
        store_setup.server.faults = platform_store.StoreFaults(outage=True)
        time.sleep(_REWRITE_LIMIT_S + 0.5)
        assert active_directives.current.zones_out == {'z1'}
        store_setup.server.faults = platform_store.StoreFaults()
        reactor_thread.eventually(lambda: not active_directives.current.zones_out)

    def test_calls_after_a_restore_are_bounded(self, store_setup, active_directives):
        self._lose_two_records(store_setup, active_directives)
        topic = store_setup.server.topic(_TOPIC)
        reactor_thread.eventually(lambda: topic.waiters)
        before = store_setup.server.call_counts.total()
        # The waiting read gets the first response of the new era.
        store_setup.restore()
        time.sleep(1)
        # Backoff leaves at least 40, 72, 130 and 233 ms between failed calls.
        assert store_setup.server.call_counts.total() - before <= 10

    # Reads that cannot succeed would be repeated without a pause by all nodes.
    def test_calls_to_a_store_that_ends_earlier_are_bounded(self, store_setup, active_directives):
        self._lose_two_records(store_setup, active_directives)
        topic = store_setup.server.topic(_TOPIC)
        reactor_thread.eventually(lambda: topic.waiters)
        before = store_setup.server.call_counts.total()
        # The store loses records without a new era.
        reactor_thread.call(topic.records.clear)
        reactor_thread.call(self._wake, topic)
        time.sleep(1)
        # Each attempt makes two calls, and the backoff between attempts grows.
        assert store_setup.server.call_counts.total() - before <= 20

    def _wake(self, topic: platform_store.Topic) -> None:
        for waiter in tuple(topic.waiters):
            waiter.callback(None)

    def _lose_two_records(self, store_setup, active_directives) -> None:
        """Let the feed apply two records that the copy of the store does not have."""
        reactor_thread.call(store_setup.server.snapshot)
        store_setup.append(b'evacuate/z1', b'{}')
        reactor_thread.eventually(lambda: active_directives.current.zones_out == {'z1'})
        store_setup.append(b'evacuate/z1', b'')
        reactor_thread.eventually(lambda: not active_directives.current.zones_out)


def _config(version: str) -> bytes:
    return json.dumps({**test_platform_documents.CONFIG, 'Version': version}).encode()


class _UnawaitedTask:
    """Wraps a Deferred so that `reactor_thread.call` does not wait for its result."""

    def __init__(self, deferred):
        self._deferred = deferred

    def cancel(self):
        self._deferred.cancel()
