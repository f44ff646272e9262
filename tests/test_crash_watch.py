"""Detection of requests that crash backend servers, on several nodes."""

from __future__ import annotations

import pytest

from anvillug import clock, ids
from anvillug.connection import http_head
from anvillug.process import crash_watch
from anvillug.request import job
from anvillug.version import directives

_UNKNOWN = job.Result(job.ResultKind.UNKNOWN, 'lost')
_ANSWERED = job.Result(job.ResultKind.ANSWERED)


def _job(path: bytes, body: bytes = b'') -> job.Job:
    return job.Job(
        'a',
        ids.ServiceName('one'),
        ids.RouteName('r'),
        http_head.RequestHead(b'GET', path, []),
        body,
        clock.Milliseconds(1000),
        True,  # noqa: FBT003
        1,
        directives.Position(1, 1),
        ids.InstanceId('i'),
    )


class _Node:
    """One node with its crash watch."""

    def __init__(self, name: str, time: clock.Clock):
        self.name = name.encode()
        self.watch = crash_watch.CrashWatch(ids.HostId(name), ids.Incarnation(1), time)

    def run(
        self, path: bytes, result: job.Result, body: bytes = b'', caller: str = 'caller'
    ) -> str:
        identity = self.watch.identify(_job(path, body), caller)
        reason = self.watch.rejection_reason(identity)
        if not reason:
            self.watch.job_ended(identity, result)
        return reason

    def crash(self, path: bytes, body: bytes = b''):
        assert not self.run(path, _UNKNOWN, body)
        self.watch.backend_lost()


@pytest.fixture
def time():
    """Return a clock that the test advances."""
    return clock.ManualClock(1_000_000)


class TestCrashes:
    """Guards against a request that crashes one backend server after another."""

    def test_second_crash_on_another_node_quarantines_everywhere(self, time):
        first, second, third = (_Node(name, time) for name in 'abc')
        first.crash(b'/bad')
        second.watch.merge_entries(first.watch.encode_entries())
        second.crash(b'/bad')
        third.watch.merge_entries(second.watch.encode_entries())
        assert third.run(b'/bad', _ANSWERED) == 'crashes backend servers'
        assert not third.run(b'/good', _ANSWERED)

    def test_lost_connection_without_a_crash_is_not_attributed(self, time):
        node = _Node('a', time)
        for _ in range(5):
            assert not node.run(b'/fine', _UNKNOWN)
            time.advance(2000)
        node.watch.backend_lost()
        assert not node.watch.encode_entries()

    def test_request_that_has_finished_before_is_not_suspect(self, time):
        node = _Node('a', time)
        node.run(b'/fine', _ANSWERED)
        node.crash(b'/fine')
        node.crash(b'/fine')
        assert not node.run(b'/fine', _ANSWERED)

    def test_suspects_run_one_at_a_time(self, time):
        node = _Node('a', time)
        node.crash(b'/bad')
        identity = node.watch.identify(_job(b'/bad'), 'caller')
        assert not node.watch.rejection_reason(identity)
        assert node.run(b'/bad', _ANSWERED) == 'another suspect runs'
        node.watch.job_ended(identity, _ANSWERED)
        assert not node.run(b'/bad', _ANSWERED)


class TestIdentity:
    """Guards against a request that goes on crashing backend servers as a similar one finishes."""

    def test_good_uploads_with_the_same_start_do_not_clear_it(self, time):
        start = b'header of all files'.ljust(8192, b'.')
        node = _Node('a', time)
        for number in range(2):
            node.crash(b'/scan', b'%sbad' % start)
            assert not node.run(b'/scan', _ANSWERED, b'%s%d' % (start, number))
        assert node.run(b'/scan', _ANSWERED, b'%sbad' % start) == 'crashes backend servers'
        assert not node.run(b'/scan', _ANSWERED, b'%s9' % start)

    def test_request_of_another_caller_is_another_request(self, time):
        node = _Node('a', time)
        for _ in range(2):
            node.crash(b'/bad')
        assert not node.run(b'/bad', _ANSWERED, caller='other')


class TestSharedEntries:
    """Guards against a crash whose cause is left out of the beacons, which hold few entries."""

    def test_job_sent_last_is_shared_with_others_running(self, time):
        first, second = (_Node(name, time) for name in 'ab')
        for node in (first, second):
            for number in range(30):
                assert not node.run(b'/scan', _UNKNOWN, b'%s %d' % (node.name, number))
            node.crash(b'/scan', b'bad')
        second.watch.merge_entries(first.watch.encode_entries())
        assert second.run(b'/scan', _ANSWERED, b'bad') == 'crashes backend servers'
