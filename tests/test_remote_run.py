"""Jobs that are handed to another node."""

from __future__ import annotations

import pytest
from twisted.internet import task

from anvillug import clock, ids
from anvillug.connection import http_client, http_head
from anvillug.request import job, job_wire, remote_run
from anvillug.version import directives

_BODY = b'x' * 60_000
_WILLING = job.Result(job.ResultKind.WILLING)
_FULL = job.Result(job.ResultKind.REFUSED, 'full')
_ANSWER = job.Result(job.ResultKind.ANSWERED, head=http_head.ResponseHead(200, []), body=b'ok')


class _Connection:
    """Connection that keeps what is sent; see `http_client.ClientConnection`."""

    def __init__(self) -> None:
        self.path = b''
        self.sent = b''
        self.handler = None

    def request(self, head, handler):
        self.path = head.path
        self.handler = handler

    def send_body(self, data: bytes):
        self.sent += data

    def cancel(self):
        """Ignore the end."""

    def end_request(self):
        """Ignore the end."""

    def answer(self, result: job.Result):
        self.handler.response_head(http_head.ResponseHead(200, []))
        self.handler.response_body(job_wire.pack_result(result))
        self.handler.response_ended()


class _Trial:
    """One job, and the connections to the node that gets it."""

    def __init__(self) -> None:
        self.connections: list[_Connection] = []
        self.results: list[job.Result] = []
        work = job.Job(
            attempt_id='a1',
            service=ids.ServiceName('one'),
            route=ids.RouteName('r'),
            head=http_head.RequestHead(b'POST', b'/', []),
            body=_BODY,
            deadline=clock.Milliseconds(5000),
            repeatable=False,
            priority=1,
            position=directives.Position(1),
            instance=ids.InstanceId('i-1'),
        )
        self.timers = task.Clock()
        self.run = remote_run.RemoteRun(
            self.timers, self, work, clock.ManualClock(), self.results.append
        )

    def acquire(self, ready, failed):
        """Open a connection; see `http_pool.Pool`."""
        self.connections.append(_Connection())
        ready(self.connections[-1])


@pytest.fixture
def trial():
    """Return a job whose node is asked first."""
    made = _Trial()
    made.run.ask_first()
    return made


class TestInquiry:
    """Guards against jobs that are lost with their node, and large bodies sent in vain."""

    def test_refused_body_is_not_sent(self, trial):
        inquiry = trial.connections[0]
        assert (inquiry.path, len(inquiry.sent) < 1000) == (job_wire.INQUIRY_PATH, True)
        inquiry.answer(_FULL)
        assert [result.reason for result in trial.results] == ['full']
        assert len(trial.connections) == 1

    def test_body_follows_once_the_node_is_willing(self, trial):
        trial.connections[0].answer(_WILLING)
        handed_over = trial.connections[1]
        work = job_wire.unpack_job(handed_over.sent, clock.Milliseconds(0))
        assert (handed_over.path, work.body) == (job_wire.RUN_PATH, _BODY)
        handed_over.answer(_ANSWER)
        assert [result.body for result in trial.results] == [b'ok']

    def test_broken_inquiry_has_not_run(self, trial):
        trial.connections[0].handler.response_failed(http_client.ClientFailure.LOST)
        assert trial.results[0].kind is job.ResultKind.REFUSED

    def test_silent_node_has_not_run_the_job(self, trial):
        trial.timers.advance(0.1)
        assert [result.kind for result in trial.results] == [job.ResultKind.REFUSED]
        assert trial.results[0].node_failed
        trial.connections[0].answer(_WILLING)
        assert len(trial.connections) == 1

    def test_limit_of_the_inquiry_does_not_end_the_job(self, trial):
        trial.connections[0].answer(_WILLING)
        trial.timers.advance(10)
        assert not trial.results

    def test_job_that_broke_off_may_have_run(self, trial):
        trial.connections[0].answer(_WILLING)
        trial.connections[1].handler.response_failed(http_client.ClientFailure.LOST)
        assert trial.results[0].kind is job.ResultKind.UNKNOWN
