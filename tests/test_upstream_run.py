"""Tests of the runs of jobs on a backend server."""

from __future__ import annotations

import weakref

import pytest
from twisted.internet import error, task
from twisted.python import failure

from anvillug import clock
from anvillug.connection import http_client
from anvillug.platform import headers
from anvillug.request import job, upstream_run
from tests import test_http_client, test_mesh_host

_LONG_S = 10


class _Run:
    """One run, and the backend server that it is sent to; see `http_pool.Pool`."""

    def __init__(self) -> None:
        self.connection = test_http_client.connect(self)
        self.reactor = task.Clock()
        self.results: list[job.Result] = []
        time = clock.ManualClock(1000)
        run = upstream_run.UpstreamRun(
            self.reactor,
            time,
            headers.PlatformDialect(),
            test_mesh_host.job_at(time),
            # As on the host side, which looks the run up by itself.
            lambda result: self._done(run, result),
        )
        run.begin(self)
        self.reference = weakref.ref(run)

    def acquire(self, connected, failed, max_idle_s=0, request_id='') -> None:
        connected(self.connection)

    def release(self, connection: http_client.ClientConnection) -> None:
        """Ignore the end of the response."""

    def connection_lost(self, connection: http_client.ClientConnection) -> None:
        """Ignore the loss."""

    def _done(self, run: upstream_run.UpstreamRun, result: job.Result) -> None:
        assert run.state is upstream_run.RunState.DONE
        self.results.append(result)


@pytest.fixture
def run(collector_disabled):
    """Return a run that has been sent, without a collector."""
    return _Run()


class TestEndedRun:
    """Guards against runs that hold their jobs after they have ended."""

    def test_answered_run_is_freed(self, run):
        run.connection.dataReceived(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok')
        assert (len(run.results), run.reference()) == (1, None)

    def test_lost_run_is_freed(self, run):
        run.connection.connectionLost(failure.Failure(error.ConnectionLost()))
        assert (len(run.results), run.reference()) == (1, None)

    def test_run_that_timed_out_is_freed(self, run):
        run.reactor.advance(_LONG_S)
        assert (len(run.results), run.reference()) == (1, None)

    def test_cancelled_run_is_freed(self, run):
        run.reference().cancel()
        assert (run.results, run.reference()) == ([], None)
