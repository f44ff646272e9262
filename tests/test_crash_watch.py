"""Requests that crash backend servers, on the nodes that see the crashes."""

from __future__ import annotations

import pytest

from anvillug import clock, ids
from anvillug.connection import http_head
from anvillug.process import crash_watch
from anvillug.request import job
from anvillug.version import directives

_UNKNOWN = job.Result(job.ResultKind.UNKNOWN, 'lost')
_ANSWERED = job.Result(job.ResultKind.ANSWERED)


def _work(path: bytes) -> job.Job:
    return job.Job(
        'a',
        ids.ServiceName('one'),
        ids.RouteName('r'),
        http_head.RequestHead(b'GET', path, []),
        b'',
        clock.Milliseconds(1000),
        True,  # noqa: FBT003
        1,
        directives.Position(1),
        ids.InstanceId('i'),
    )


class _Node:
    """The watch of one node."""

    def __init__(self, name: str, time: clock.Clock):
        self.watch = crash_watch.CrashWatch(ids.HostId(name), ids.Incarnation(1), time)

    def run(self, path: bytes, result: job.Result) -> str:
        known = self.watch.suspicion(_work(path))
        reason = self.watch.refusal(known)
        if not reason:
            self.watch.ended(known, result)
        return reason

    def crash(self, path: bytes):
        assert not self.run(path, _UNKNOWN)
        self.watch.backend_lost()


@pytest.fixture
def time():
    """Return a clock that the test moves."""
    return clock.ManualClock(1_000_000)


class TestCrashes:
    """Guards against a request that crashes one backend server after the other."""

    def test_second_crash_on_another_node_ends_it_everywhere(self, time):
        first, second, third = (_Node(name, time) for name in 'abc')
        first.crash(b'/bad')
        second.watch.heard(first.watch.shared())
        second.crash(b'/bad')
        third.watch.heard(second.watch.shared())
        assert third.run(b'/bad', _ANSWERED) == 'crashes backend servers'
        assert not third.run(b'/good', _ANSWERED)

    def test_broken_answer_of_a_live_server_is_not_blamed(self, time):
        node = _Node('a', time)
        for _ in range(5):
            assert not node.run(b'/fine', _UNKNOWN)
            time.advance(2000)
        node.watch.backend_lost()
        assert not node.watch.shared()

    def test_request_that_has_run_to_its_end_is_not_blamed(self, time):
        node = _Node('a', time)
        node.run(b'/fine', _ANSWERED)
        node.crash(b'/fine')
        node.crash(b'/fine')
        assert not node.run(b'/fine', _ANSWERED)

    def test_suspects_run_one_at_a_time(self, time):
        node = _Node('a', time)
        node.crash(b'/bad')
        known = node.watch.suspicion(_work(b'/bad'))
        assert not node.watch.refusal(known)
        assert node.run(b'/bad', _ANSWERED) == 'another suspect runs'
        node.watch.ended(known, _ANSWERED)
        assert not node.run(b'/bad', _ANSWERED)
