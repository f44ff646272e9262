"""Tests of the log client and of the publisher, reader and follower of the configuration."""

from __future__ import annotations

import random

import klein
import pytest
from treq import testing
from twisted.internet import defer, error, task
from twisted.python import failure as twisted_failure
from twisted.web import client as web_client

from anvillug import clock, ids
from anvillug.connection import log_client, log_record
from anvillug.process import config_follower
from anvillug.process.commands import config, patch
from anvillug.version import fold, publisher, reader
from tests import fake_log

_SERVICE = {'services': {'a': {'version': 'v1'}}}


def _outcome(deferred):
    """Return the result of a deferred that has fired, or raise its failure."""
    outcome = []
    deferred.addBoth(outcome.append)
    assert outcome, 'the deferred has not fired'
    if isinstance(outcome[0], twisted_failure.Failure):
        outcome[0].raiseException()
    return outcome[0]


def _patch(base: int = 0, value=None, patch_id: str = 'x') -> publisher.Patch:
    return publisher.Patch(ids.ConfigNumber(base), value or _SERVICE, 'tests', patch_id)


class _FailingAgent:
    def __init__(self, failure: Exception) -> None:
        self._failure = failure

    def request(self, *args, **kwargs):
        return defer.fail(self._failure)


class _Server:
    """HTTP resource with the interface of the platform's log."""

    app = klein.Klein()
    status = 200
    body = b'{"offset": 7}'
    last_request: tuple = ()

    @app.route('/streams/<stream>/records', methods=['GET', 'POST'])
    def records(self, request, stream):
        self.last_request = (request.method, stream, request.args, request.content.read())
        request.setResponseCode(self.status)
        return self.body


def _call_client(server: _Server, method: str, *args):
    """Return the result of a client's method that is called against a server."""
    agent = testing.RequestTraversalAgent(server.app.resource())
    timer = task.Clock()
    client = log_client.HttpLogClient(timer, '127.0.0.1:8000', agent=agent)
    pending = getattr(client, method)('configuration', *args)
    for _ in range(5):
        timer.advance(0)
        agent.flush()
    return _outcome(pending)


def _advance(timer: task.Clock, step_s: float, count: int) -> None:
    for _ in range(count):
        timer.advance(step_s)


class TestLogClient:
    """Guards against reporting an append that took effect as failed, or the reverse."""

    def test_append(self):
        server = _Server()
        assert _call_client(server, 'append', {'a': 1}) == 7
        assert server.last_request == (b'POST', 'configuration', {}, b'{"data": {"a": 1}}')

    def test_read(self):
        server = _Server()
        server.body = b'{"first":2,"next":4,"records":[{"offset":3,"time_ms":5,"data":null}]}'
        page = _call_client(server, 'read', ids.LogOffset(3), 10, 500)
        assert page.records == (log_record.LogRecord(3, 5, None),)
        assert server.last_request[2] == {b'from': [b'3'], b'limit': [b'10'], b'wait_ms': [b'500']}

    @pytest.mark.parametrize(
        ('status', 'body', 'expected'),
        [
            (429, b'', log_record.RateLimited),
            (404, b'', log_record.LogUnavailable),
            (503, b'', log_record.LogResponseLost),
            (200, b'{"offs', log_record.LogResponseLost),
        ],
    )
    def test_append_status(self, status: int, body: bytes, expected):
        server = _Server()
        server.status = status
        server.body = body
        with pytest.raises(expected):
            _call_client(server, 'append', 1)

    @pytest.mark.parametrize(
        ('failure', 'expected'),
        [
            (error.ConnectionRefusedError(), log_record.LogUnavailable),
            (web_client.RequestNotSent(), log_record.LogUnavailable),
            (web_client.ResponseNeverReceived([]), log_record.LogResponseLost),
            (web_client.RequestTransmissionFailed([]), log_record.LogResponseLost),
        ],
    )
    def test_append_failure(self, failure: Exception, expected):
        agent = _FailingAgent(failure)
        client = log_client.HttpLogClient(task.Clock(), '127.0.0.1:8000', agent=agent)
        with pytest.raises(expected):
            _outcome(client.append('configuration', 1))
        with pytest.raises(log_record.LogUnavailable):
            _outcome(client.read('configuration', ids.LogOffset(0), 1, 0))

    def test_unresponsive_log_times_out(self):
        timer = task.Clock()

        class _UnresponsiveAgent:
            def request(self, *args, **kwargs):
                return defer.Deferred()

        client = log_client.HttpLogClient(timer, '127.0.0.1:8000', agent=_UnresponsiveAgent())
        appended = client.append('configuration', 1)
        timer.advance(6)
        with pytest.raises(log_record.LogResponseLost):
            _outcome(appended)


class TestPublisher:
    """Guards against reporting a result to an operator that differs from the fold's result."""

    def setup_method(self):
        self.timer = task.Clock()
        self.log = fake_log.FakeLog(self.timer)
        self.publisher = publisher.Publisher(self.log, self.timer, timeout_ms=5000)

    def _publish(self, new_patch: publisher.Patch) -> publisher.Publication:
        published = defer.Deferred.fromCoroutine(self.publisher.publish(new_patch))
        _advance(self.timer, 0.25, 24)
        return _outcome(published)

    def test_accepted_then_rejected(self, capsys):
        assert self._publish(_patch()) == publisher.Accepted(1)
        rejected = self._publish(_patch(patch_id='y'))
        assert (rejected.number, rejected.reason) == (1, 'base 0 is not the current number 1')
        assert patch.report(rejected, 'y') == 1
        assert capsys.readouterr().out.startswith('refused number=1')

    def test_lost_response_is_resolved_without_second_append(self):
        self.log.next_failures = [log_record.LogResponseLost('cut')]
        assert self._publish(_patch()) == publisher.Accepted(1)
        assert len(self.log.records) == 1

    def test_rate_limit_is_retried(self):
        self.log.next_failures = [log_record.RateLimited('429'), log_record.RateLimited('429')]
        assert self._publish(_patch()) == publisher.Accepted(1)

    def test_outage_gives_unknown_result(self):
        self.log.down = True
        outcome = self._publish(_patch())
        assert outcome == publisher.Unknown('down', may_be_appended=False)
        assert patch.report(outcome, 'x') == 3

    def test_patch_may_be_appended_if_the_log_fails_after_the_append(self):
        self.log.next_failures = [log_record.LogResponseLost('cut')]
        original = self.log.append

        def _append_then_fail(stream, data):
            appended = original(stream, data)
            self.log.down = True
            return appended

        self.log.append = _append_then_fail
        assert self._publish(_patch()) == publisher.Unknown('down', may_be_appended=True)


class TestReader:
    """Guards against readers that miss records between pages or after a gap."""

    def setup_method(self):
        self.log = fake_log.FakeLog(task.Clock())

    def _read(self, state=None) -> fold.ConfigState:
        return _outcome(
            defer.Deferred.fromCoroutine(reader.ConfigReader(self.log, state).catch_up()),
        )

    def _write_patches(self, count: int, base: int) -> None:
        for number in range(base, base + count):
            zones = {'zones': {'z': {'ramp_ms': number}}}
            self.log.write(fold.patch_record(str(number), number, zones, ''))

    def test_reads_all_pages(self):
        self._write_patches(reader.PAGE_RECORDS * 2 + 1, 0)
        assert self._read().number == reader.PAGE_RECORDS * 2 + 1

    def test_gap_is_covered_by_a_snapshot_on_a_later_page(self):
        self._write_patches(300, 0)
        old = self._read()
        self._write_patches(300, 300)
        late = self._read()
        self._write_patches(300, 600)
        self.log.write(fold.snapshot_record(late))
        self.log.drop_below(550)
        assert self._read() == self._read(old)
        assert self._read().number == 900
        self.log.drop_below(601)
        with pytest.raises(fold.GapError, match='records 0 to 600 are missing'):
            self._read()


class TestFollower:
    """Guards against a node that loses or reverts its configuration, or stops following it."""

    def setup_method(self):
        self.timer = task.Clock()
        self.log = fake_log.FakeLog(self.timer)
        self.numbers = []
        self.follower = self._follower()
        self.follower.start()

    def teardown_method(self):
        self.follower.stop()

    def _follower(self, **options):
        follower = config_follower.ConfigFollower(
            self.log,
            self.timer,
            clock.ManualClock(),
            config_follower.Options(rng=random.Random(1), **options),
        )
        follower.add_listener(lambda state: self.numbers.append(state.number))
        return follower

    def _write(self, number: int) -> None:
        self.log.write(fold.patch_record(str(number), number, _SERVICE, ''))

    def test_notifies_listeners_of_each_state(self):
        for number in range(3):
            self._write(number)
            self.timer.advance(0.2)
        assert self.numbers == [1, 2, 3]
        assert self.follower.dump()['log_reachable']

    def test_state_survives_an_outage(self):
        self._write(0)
        self.timer.advance(0.2)
        self.log.down = True
        _advance(self.timer, 1, 30)
        dump = self.follower.dump()
        assert (dump['number'], dump['log_failure']) == (1, 'down')
        self.log.down = False
        self._write(1)
        _advance(self.timer, 1, 6)
        assert self.numbers == [1, 2]

    def test_failing_listener_does_not_end_the_task(self):
        failures = [ValueError('listener'), None]

        def _fail_once(state):
            failure = failures.pop(0)
            if failure is not None:
                raise failure

        self.follower.add_listener(_fail_once)
        for number in range(2):
            self._write(number)
            _advance(self.timer, 1, 2)
        assert self.numbers == [1, 2]
        assert not failures

    def test_peer_state_is_adopted_only_if_newer(self):
        self._write(0)
        old = self.follower.state
        self.timer.advance(0.2)
        assert not self.follower.offer(old)
        ahead = fold.apply(
            self.follower.state,
            log_record.LogRecord(1, 5, fold.patch_record('1', 1, _SERVICE, '')),
        )
        assert self.follower.offer(ahead)
        self._write(1)
        _advance(self.timer, 0.2, 3)
        assert self.numbers == [1, 2]

    def test_selected_node_snapshots_within_half_the_retention(self):
        self.follower.stop()
        time = clock.ManualClock()
        options = config_follower.Options(should_snapshot=lambda state: True, retention_ms=100_000)
        self.follower = config_follower.ConfigFollower(self.log, self.timer, time, options)
        self._write(0)
        self.follower.start()
        for _ in range(100):
            self.timer.advance(1)
            time.advance(1000)
        times = [entry.time_ms for entry in self.log.records if entry.data['kind'] == 'snapshot']
        gaps = [after - before for before, after in zip(times, times[1:], strict=False)]
        assert 3 <= len(times) <= 5
        assert max(gaps) <= 50_000


class TestConfigCommand:
    """Guards against reporting too early that all nodes have a configuration number."""

    def test_waits_for_the_slowest_node(self):
        timer = task.Clock()
        log = fake_log.FakeLog(timer)
        log.write(fold.patch_record('x', 0, _SERVICE, ''))

        async def _number(address: str) -> int | None:
            return 1 if address == 'fast' or timer.seconds() > 1 else None

        query = config.Query(('fast', 'slow'), wait=1, timeout_s=5)
        watched = defer.Deferred.fromCoroutine(
            config.wait_for_number(reader.ConfigReader(log), query, _number, timer),
        )
        timer.advance(0.5)
        assert not watched.called
        _advance(timer, 0.25, 8)
        assert _outcome(watched).has_reached(1)
        assert timer.seconds() < 5
