"""Tests of jobs that are sent to another node."""

from __future__ import annotations

import pytest
from twisted.internet import task

from anvillug import clock, ids
from anvillug.connection import http_client, http_head
from anvillug.request import buffered_response, job, job_wire, remote_run
from anvillug.version import directives

_BODY = b'x' * 60_000
_WILLING = job.Result(job.ResultKind.WILLING)
_FULL = job.Result(job.ResultKind.REFUSED, 'full')
_ANSWERED = job.Result(job.ResultKind.ANSWERED, head=http_head.ResponseHead(200, []), body=b'ok')


class Connection:
    """Fake connection that records what is sent; see `http_client.ClientConnection`."""

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
        """Ignore the cancellation."""

    def end_request(self):
        """Ignore the end."""

    def respond(self, result: job.Result, headers: tuple[http_head.Header, ...] = ()):
        self.handler.response_head(http_head.ResponseHead(200, list(headers)))
        self.handler.response_body(job_wire.pack_result(result))
        self.handler.response_ended()


class _RemoteJob:
    """One job, and the connections to the node that receives it."""

    def __init__(self) -> None:
        self.connections: list[Connection] = []
        """Connections in the order of use."""
        self.silent: list[Connection] = []
        self.results: list[job.Result] = []
        self.receivers: list[ids.Incarnation | None] = []
        work = job.Job(
            attempt_id='a1',
            service=ids.ServiceName('one'),
            route=ids.RouteName('r'),
            head=http_head.RequestHead(b'POST', b'/', []),
            body=_BODY,
            deadline=clock.Milliseconds(5000),
            repeatable=False,
            priority=1,
            position=directives.Position(1, 1),
            instance=ids.InstanceId('i-1'),
        )
        self.timers = task.Clock()
        self.run = remote_run.RemoteRun(
            self.timers, self, work, clock.ManualClock(), self.results.append
        )

    def acquire(self, ready, failed):
        """Open a connection; see `http_pool.Pool`."""
        self.connections.append(Connection())
        ready(self.connections[-1])

    def acquire_when_released(self, connection, ready, failed):
        """Reuse a connection; see `http_pool.Pool`."""
        connection.sent = b''
        self.connections.append(connection)
        ready(connection)

    def close_idle_without_response_since(self, silent):
        """Record the silent connection; see `http_pool.Pool`."""
        self.silent.append(silent)


@pytest.fixture
def remote_job():
    """Return a job that is preceded by an inquiry."""
    with_inquiry = _RemoteJob()
    with_inquiry.run.inquire_first(with_inquiry.receivers.append)
    return with_inquiry


class TestInquiry:
    """Guards against jobs lost with a failed node, and large bodies sent only to be rejected."""

    def test_body_of_a_rejected_job_is_not_sent(self, remote_job):
        inquiry = remote_job.connections[0]
        assert (inquiry.path, len(inquiry.sent) < 1000) == (job_wire.INQUIRY_PATH, True)
        inquiry.respond(_FULL)
        assert [result.reason for result in remote_job.results] == ['full']
        assert len(remote_job.connections) == 1

    def test_body_is_sent_once_the_inquiry_is_accepted(self, remote_job):
        remote_job.connections[0].respond(_WILLING)
        job_connection = remote_job.connections[1]
        work = job_wire.unpack_job(job_connection.sent, clock.Milliseconds(0))
        assert (job_connection.path, work.body) == (job_wire.RUN_PATH, _BODY)
        job_connection.respond(_ANSWERED)
        assert [result.body for result in remote_job.results] == [b'ok']

    # Guards against giving up a job as its node seems to have restarted, since the process that
    # received the job is not known. Nodes of older releases don't name theirs.
    @pytest.mark.parametrize(
        ('headers', 'receiver'),
        [
            (((b'Anvillug-Incarnation', b'200'),), ids.Incarnation(200)),
            (((b'Anvillug-Incarnation', b'new'),), None),
            ((), None),
        ],
    )
    def test_process_that_accepts_the_job_is_reported(self, remote_job, headers, receiver):
        remote_job.connections[0].respond(_WILLING, headers)
        assert remote_job.receivers == [receiver]
        assert remote_job.connections[1].path == job_wire.RUN_PATH

    def test_failed_inquiry_counts_as_not_run(self, remote_job):
        remote_job.connections[0].handler.response_failed(http_client.ClientFailure.LOST)
        assert remote_job.results[0].kind is job.ResultKind.REFUSED

    def test_inquiry_that_times_out_counts_as_not_run(self, remote_job):
        remote_job.timers.advance(0.1)
        assert [result.kind for result in remote_job.results] == [job.ResultKind.REFUSED]
        assert remote_job.results[0].node_failed
        remote_job.connections[0].respond(_WILLING)
        assert len(remote_job.connections) == 1

    def test_timeout_of_the_inquiry_does_not_end_the_job(self, remote_job):
        remote_job.connections[0].respond(_WILLING)
        remote_job.timers.advance(10)
        assert not remote_job.results

    def test_job_whose_connection_is_lost_may_have_run(self, remote_job):
        remote_job.connections[0].respond(_WILLING)
        remote_job.connections[1].handler.response_failed(http_client.ClientFailure.LOST)
        assert remote_job.results[0].kind is job.ResultKind.UNKNOWN

    def test_job_uses_the_connection_of_its_inquiry(self, remote_job):
        # Any other connection may be silent, and the job would be lost on it.
        remote_job.connections[0].respond(_WILLING)
        assert remote_job.connections[1] is remote_job.connections[0]


class TestLongResults:
    """Guards against results without end, which were held until the process had no memory left."""

    def test_job_with_a_result_without_end_may_have_run(self, remote_job):
        remote_job.run.begin()
        connection = remote_job.connections[0]
        connection.handler.response_head(http_head.ResponseHead(200, []))
        connection.handler.response_body(bytes(job_wire.MAX_RESULT_BYTES))
        assert not remote_job.results
        connection.handler.response_body(b'a')
        assert [result.kind for result in remote_job.results] == [job.ResultKind.UNKNOWN]
        assert 'exceeds' in remote_job.results[0].reason

    def test_largest_response_of_a_backend_server_is_passed_on(self, remote_job):
        remote_job.run.begin()
        head = http_head.ResponseHead(200, [(b'a', bytes(http_client.MAX_HEAD_BYTES))])
        body = bytes(buffered_response.MAX_BYTES)
        result = job.Result(job.ResultKind.ANSWERED, head=head, body=body)
        remote_job.connections[0].respond(result)
        assert len(remote_job.results[0].body) == len(body)


class TestSilentConnections:
    """Guards against jobs lost on one silent connection of a node after the other."""

    def test_inquiry_without_a_response(self, remote_job):
        remote_job.timers.advance(0.1)
        assert remote_job.silent == remote_job.connections

    def test_job_without_a_response(self):
        without_inquiry = _RemoteJob()
        without_inquiry.run.begin()
        without_inquiry.run.cancel()
        assert without_inquiry.silent == without_inquiry.connections
        assert not without_inquiry.results

    def test_response_clears_the_suspicion(self, remote_job):
        remote_job.connections[0].respond(_WILLING)
        remote_job.connections[1].respond(_ANSWERED)
        remote_job.run.cancel()
        assert not remote_job.silent
