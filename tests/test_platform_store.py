"""Tests of the client of the platform's store and of the feed of the operator's topic."""

from __future__ import annotations

import contextlib
import json
import math
import os
import pathlib
import random
import time

import pytest
from twisted.internet import defer, reactor

from anvillug.connection import keyed_log, tcp_liveness
from anvillug.platform import documents, store
from anvillug.process import order_feed
from anvillug.standin import link, platform_store
from anvillug.version import directives
from tests import reactor_thread, test_platform_documents

_TOPIC = 'keyed.op'
# States and timers in `/proc/net/tcp`; see the kernel's documentation of that file.
_ESTABLISHED = '01'
_KEEP_ALIVE_TIMER = '02'
_TICKS_PER_S = os.sysconf('SC_CLK_TCK')


class _StoreSetup:
    """A store on a free port, with a client."""

    def __init__(self):
        self.server = platform_store.PlatformStore(reactor)
        self.port = reactor.listenTCP(0, self.server.site(), interface='127.0.0.1')
        self.client = store.Store(reactor, f'127.0.0.1:{self.port.getHost().port}')


@pytest.fixture
def store_setup(running_reactor):
    """Start a store and return it with a client; stop it after the test."""
    setup = reactor_thread.call(_StoreSetup)
    yield setup
    reactor_thread.call(setup.port.stopListening)


class TestClient:
    """Guards against records that are misread and append conditions that are ignored."""

    def test_append_read_and_newest(self, store_setup):
        client = store_setup.client
        assert reactor_thread.wait_for(client.append(_TOPIC, 'a', b'1')) == 0
        assert reactor_thread.wait_for(client.append(_TOPIC, 'b', b'2')) == 1
        assert reactor_thread.wait_for(client.append(_TOPIC, 'a', b'3')) == 2
        read = (('b', directives.Record(1, b'2')), ('a', directives.Record(2, b'3')))
        assert reactor_thread.wait_for(client.read(_TOPIC, 1, 0)) == keyed_log.Batch(read, 3)
        newest = reactor_thread.wait_for(client.newest(_TOPIC))
        assert dict(newest.changes) == {
            'a': directives.Record(2, b'3'),
            'b': directives.Record(1, b'2'),
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
        reactor_thread.wait_for(store_link.stop())

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
        assert reactor_thread.wait_for(client.append(_TOPIC, 'a', b'1')) == 0


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


class TestFeed:
    """Guards against directives that are missed after outages or dropped history."""

    @pytest.fixture
    def active_directives(self, store_setup):
        active_directives = directives.ActiveDirectives(documents.decode_directives)
        feed = order_feed.OrderFeed(
            reactor,
            store_setup.client,
            _TOPIC,
            active_directives,
            random.Random(1),
            lambda: True,
            lambda: None,
        )
        task = reactor_thread.call(self._start, feed)
        yield active_directives
        with contextlib.suppress(defer.CancelledError):
            reactor_thread.call(task.cancel)

    def _start(self, feed):
        started = []
        started.append(feed.start())
        return _UnawaitedTask(started[0])

    def _append(self, store_setup, key: bytes, value: bytes):
        reactor_thread.call(store_setup.server.topic(_TOPIC).append, key, value)

    def test_changes_and_deletions_take_effect(self, store_setup, active_directives):
        self._append(store_setup, b'evacuate/z1', b'{}')
        reactor_thread.eventually(lambda: active_directives.current.zones_out == {'z1'})
        self._append(store_setup, b'evacuate/z1', b'')
        reactor_thread.eventually(lambda: not active_directives.current.zones_out)

    def test_directive_written_during_an_outage_takes_effect_later(
        self, store_setup, active_directives
    ):
        store_setup.server.faults = platform_store.StoreFaults(outage=True)
        self._append(store_setup, b'evacuate/z1', b'{}')
        time.sleep(0.2)
        assert not active_directives.current.zones_out
        store_setup.server.faults = platform_store.StoreFaults()
        reactor_thread.eventually(lambda: active_directives.current.zones_out == {'z1'})

    def test_dropped_history_is_replaced_by_the_newest_records(
        self, store_setup, active_directives
    ):
        config = json.dumps(test_platform_documents.CONFIG).encode()
        self._append(store_setup, b'config', config)
        reactor_thread.eventually(lambda: active_directives.current.revision)
        topic = store_setup.server.topic(_TOPIC)
        store_setup.server.faults = platform_store.StoreFaults(outage=True)
        self._append(store_setup, b'evacuate/z1', b'{}')
        topic.first_offset = len(topic.records)
        store_setup.server.faults = platform_store.StoreFaults()
        reactor_thread.eventually(lambda: active_directives.current.zones_out == {'z1'})
        assert active_directives.current.revision


class _UnawaitedTask:
    """Wraps a Deferred so that `reactor_thread.call` does not wait for its result."""

    def __init__(self, deferred):
        self._deferred = deferred

    def cancel(self):
        self._deferred.cancel()
