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


def _job(path: bytes) -> job.Job:
    return job.Job(
        'a',
        ids.ServiceName('one'),
        ids.RouteName('r'),
        http_head.RequestHead(b'GET', path, []),
        b'',
        clock.Milliseconds(1000),
        True,  # noqa: FBT003
        1,
        directives.Position(1, 1),
        ids.InstanceId('i'),
    )


class _Node:
    """One node with its crash watch."""

    def __init__(self, name: str, time: clock.Clock):
        self.watch = crash_watch.CrashWatch(ids.HostId(name), ids.Incarnation(1), time)

    def run(self, path: bytes, result: job.Result) -> str:
        identity = self.watch.identify(_job(path))
        reason = self.watch.rejection_reason(identity)
        if not reason:
            self.watch.job_ended(identity, result)
        return reason

    def crash(self, path: bytes):
        assert not self.run(path, _UNKNOWN)
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
        identity = node.watch.identify(_job(b'/bad'))
        assert not node.watch.rejection_reason(identity)
        assert node.run(b'/bad', _ANSWERED) == 'another suspect runs'
        node.watch.job_ended(identity, _ANSWERED)
        assert not node.run(b'/bad', _ANSWERED)
