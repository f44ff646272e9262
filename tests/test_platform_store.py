"""Client of the platform's store, and the task that follows the operator's topic."""

from __future__ import annotations

import contextlib
import json
import random
import time

import pytest
from twisted.internet import defer, reactor

from anvillug.connection import keyed_log
from anvillug.platform import documents, store
from anvillug.process import order_feed
from anvillug.standin import platform_store
from anvillug.version import directives
from tests import reactor_thread, test_platform_documents

_TOPIC = 'keyed.op'


class _Trial:
    """A store on a free port, and a client of it."""

    def __init__(self):
        self.server = platform_store.PlatformStore(reactor)
        self.port = reactor.listenTCP(0, self.server.site(), interface='127.0.0.1')
        self.client = store.Store(reactor, f'127.0.0.1:{self.port.getHost().port}')


@pytest.fixture
def trial(running_reactor):
    """Return a store and a client of it."""
    made = reactor_thread.call(_Trial)
    yield made
    reactor_thread.call(made.port.stopListening)


class TestClient:
    """Guards against records that are misread, and conditions that are not kept."""

    def test_append_read_and_newest(self, trial):
        client = trial.client
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

    def test_pages_of_newest_records(self, trial):
        topic = trial.server.topic(_TOPIC)
        for number in range(1200):
            topic.append(f'{number:04}'.encode(), b'x')
        assert len(reactor_thread.wait_for(trial.client.newest(_TOPIC)).changes) == 1200

    def test_condition(self, trial):
        reactor_thread.wait_for(trial.client.append(_TOPIC, 'a', b'1', at=0))
        with pytest.raises(keyed_log.ConditionFailedError):
            reactor_thread.wait_for(trial.client.append(_TOPIC, 'a', b'2', at=0))

    def test_dropped_history(self, trial):
        topic = trial.server.topic(_TOPIC)
        topic.append(b'a', b'1')
        topic.first = 1
        with pytest.raises(keyed_log.HistoryDroppedError):
            reactor_thread.wait_for(trial.client.read(_TOPIC, 0, 0))

    @pytest.mark.parametrize('faults', [{'outage': True}, {'silent': True}])
    def test_outage_is_an_error_in_bounded_time(self, trial, faults):
        trial.server.faults = platform_store.StoreFaults(**faults)
        with pytest.raises(keyed_log.LogUnavailableError):
            reactor_thread.wait_for(trial.client.read(_TOPIC, 0, 100))

    def test_lost_answer_is_an_error_though_the_record_is_there(self, trial):
        trial.server.faults = platform_store.StoreFaults(lose_answers=1)
        with pytest.raises(keyed_log.LogUnavailableError):
            reactor_thread.wait_for(trial.client.append(_TOPIC, 'a', b'1'))
        assert trial.server.topic(_TOPIC).records == [(b'a', b'1')]


class TestFeed:
    """Guards against orders that are missed after outages and dropped history."""

    @pytest.fixture
    def board(self, trial):
        board = directives.DirectiveBoard(documents.decode_directives)
        feed = order_feed.OrderFeed(
            reactor, trial.client, _TOPIC, board, random.Random(1), lambda: True, lambda: None
        )
        task = reactor_thread.call(self._start, feed)
        yield board
        with contextlib.suppress(defer.CancelledError):
            reactor_thread.call(task.cancel)

    def _start(self, feed):
        started = []
        started.append(feed.start())
        return _Holder(started[0])

    def _append(self, trial, key: bytes, value: bytes):
        reactor_thread.call(trial.server.topic(_TOPIC).append, key, value)

    def test_changes_arrive_and_deletions_too(self, trial, board):
        self._append(trial, b'evacuate/z1', b'{}')
        reactor_thread.eventually(lambda: board.current.zones_out == {'z1'})
        self._append(trial, b'evacuate/z1', b'')
        reactor_thread.eventually(lambda: not board.current.zones_out)

    def test_order_given_during_an_outage_arrives_after_it(self, trial, board):
        trial.server.faults = platform_store.StoreFaults(outage=True)
        self._append(trial, b'evacuate/z1', b'{}')
        time.sleep(0.2)
        assert not board.current.zones_out
        trial.server.faults = platform_store.StoreFaults()
        reactor_thread.eventually(lambda: board.current.zones_out == {'z1'})

    def test_dropped_history_is_replaced_by_the_newest_records(self, trial, board):
        config = json.dumps(test_platform_documents.CONFIG).encode()
        self._append(trial, b'config', config)
        reactor_thread.eventually(lambda: board.current.revision)
        topic = trial.server.topic(_TOPIC)
        trial.server.faults = platform_store.StoreFaults(outage=True)
        self._append(trial, b'evacuate/z1', b'{}')
        topic.first = len(topic.records)
        trial.server.faults = platform_store.StoreFaults()
        reactor_thread.eventually(lambda: board.current.zones_out == {'z1'})
        assert board.current.revision


class _Holder:
    """Keeps a Deferred from being waited for."""

    def __init__(self, deferred):
        self._deferred = deferred

    def cancel(self):
        self._deferred.cancel()
