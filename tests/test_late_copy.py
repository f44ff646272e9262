"""Tests of a backend server that sends a second copy of a response on a connection in use again."""

from __future__ import annotations

import types

import pytest
from hypothesis import given, settings, strategies
from twisted.internet import task
from twisted.internet import testing as twisted_testing

from anvillug import clock, ids
from anvillug.connection import http_client, http_head, http_pool
from anvillug.platform import headers
from anvillug.process import upstream_probe
from anvillug.request import job, upstream_run
from anvillug.version import route_table
from tests import test_http_client, test_mesh_host, test_upstream


class _Pool:
    """Pool of one connection."""

    def __init__(self) -> None:
        self.connection = test_http_client.connect(self)
        self.released = 0

    def acquire(self, connected, failed, max_idle_s=0, request_id='') -> None:
        connected(self.connection)

    def release(self, connection: http_client.ClientConnection) -> None:
        self.released += 1

    def connection_lost(self, connection: http_client.ClientConnection) -> None:
        """Ignore the loss."""


class _Backend:
    """Backend server on one connection, and the runs that use it."""

    def __init__(self) -> None:
        self.pool = _Pool()
        self.time = clock.ManualClock(1000)
        self.reactor = task.Clock()
        self.results: list[job.Result] = []

    def run(self, attempt_id: str, method: bytes = b'GET') -> None:
        work = test_mesh_host.job_at(self.time, repeatable=False)
        work.attempt_id = attempt_id
        work.head = http_head.RequestHead(method, b'/', [])
        run = upstream_run.UpstreamRun(
            self.reactor, self.time, headers.PlatformDialect(), work, self.results.append
        )
        run.begin(self.pool)

    def send(self, data: bytes) -> None:
        self.pool.connection.dataReceived(data)

    def result(self) -> tuple[job.ResultKind, bytes]:
        """Return the kind and body of the newest result."""
        return self.results[-1].kind, self.results[-1].body


def _response(attempt_id: str, *extra: str, status: str = '200 OK', body: str = '') -> bytes:
    body = body or f'body of {attempt_id}'
    lines = [
        f'HTTP/1.1 {status}',
        f'Anvillug-Attempt-Id: {attempt_id}',
        'Anvillug-Server-Seal: s',
        f'Content-Length: {len(body)}',
        *extra,
    ]
    return '\r\n'.join([*lines, '', body]).encode()


_HEALTHY = b'HTTP/1.1 200 OK\r\nAnvillug-Instance-Id: i-1\r\nContent-Length: 0\r\n\r\n'


@pytest.fixture
def backend():
    """Return a backend server that has answered call a1."""
    server = _Backend()
    server.run('a1')
    server.send(_response('a1'))
    return server


class TestLateCopy:
    """Guards against a call that gets the answer to another one, or loses its own."""

    def test_copy_before_the_response_is_skipped(self, backend):
        backend.run('a2')
        backend.send(_response('a1'))
        assert len(backend.results) == 1
        backend.send(_response('a2'))
        assert backend.result() == (job.ResultKind.ANSWERED, b'body of a2')
        assert backend.pool.released == 2

    @settings(deadline=None)
    @given(cuts=strategies.lists(strategies.integers(0, 400)), copies=strategies.integers(1, 3))
    def test_any_split(self, cuts, copies):
        server = _Backend()
        server.run('a1')
        server.send(_response('a1'))
        server.run('a2')
        stream = copies * _response('a1') + _response('a2')
        boundaries = sorted({0, len(stream), *(cut % len(stream) for cut in cuts)})
        for start, end in zip(boundaries, boundaries[1:], strict=False):
            server.send(stream[start:end])
        assert server.result() == (job.ResultKind.ANSWERED, b'body of a2')
        assert server.pool.connection.is_idle

    def test_copy_without_the_response_leaves_the_outcome_unknown(self, backend):
        backend.run('a2')
        backend.send(_response('a1'))
        backend.pool.connection.connectionLost()
        assert backend.result()[0] is job.ResultKind.UNKNOWN

    def test_copy_that_ends_the_connection_ends_the_run(self, backend):
        backend.run('a2')
        backend.send(_response('a1', 'Connection: close'))
        assert backend.result()[0] is job.ResultKind.UNKNOWN

    def test_response_to_a_call_of_another_connection_ends_the_run(self, backend):
        backend.run('a2')
        backend.send(_response('b7'))
        assert backend.result()[0] is job.ResultKind.UNKNOWN
        assert not backend.pool.connection.is_idle

    def test_rejection_in_the_copy_is_not_taken_for_one_of_the_call(self, backend):
        backend.run('a2')
        backend.send(_response('a1', 'Anvillug-Not-Executed: 1', status='503 Busy'))
        assert len(backend.results) == 1

    def test_copy_while_idle_closes_the_connection(self, backend):
        backend.send(_response('a1'))
        assert not backend.pool.connection.is_idle


_REJECTION = ('Anvillug-Not-Executed: 1',)


class TestRejectedAttempt:
    """Guards against a copy of a rejection that counts for the same attempt, sent once more."""

    @pytest.fixture
    def rejected(self):
        """Return a backend server on a real pool that has rejected call a1."""
        server = _Backend()
        server.pool = http_pool.Pool(twisted_testing.MemoryReactorClock(), '127.0.0.1', 1)
        server.pool.connection = test_http_client.connect(server.pool)
        server.pool.release(server.pool.connection)
        server.run('a1')
        server.send(_response('a1', *_REJECTION, status='503 Busy'))
        assert server.result()[0] is job.ResultKind.SHED
        return server

    def test_same_attempt_uses_another_connection(self, rejected):
        # The pool counts only connections that it has opened itself.
        assert rejected.pool.open_count == 0
        rejected.pool.connection.transport.clear()
        rejected.run('a1')
        assert not rejected.pool.connection.transport.value()
        assert rejected.pool.open_count == 1

    def test_other_attempt_uses_the_connection(self, rejected):
        rejected.pool.connection.transport.clear()
        rejected.run('a2')
        assert rejected.pool.connection.transport.value()
        rejected.send(_response('a1', *_REJECTION, status='503 Busy'))
        rejected.send(_response('a2'))
        assert rejected.result() == (job.ResultKind.ANSWERED, b'body of a2')

    def test_rejection_without_an_id_may_be_an_earlier_one(self, rejected):
        # A rejected health check has no id.
        rejected.run('a2')
        rejected.send(b'HTTP/1.1 503 Busy\r\nAnvillug-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n')
        assert rejected.result()[0] is job.ResultKind.UNKNOWN


class TestHealthCheck:
    """Guards against a health check answered by a late copy, whose own answer goes to a call."""

    def test_copy_is_skipped(self, backend):
        state = test_upstream.serving(backend.time)
        policy = route_table.ServicePolicy(ids.ServiceName('one'), b'/health', 100, 3000, 10)
        host = types.SimpleNamespace(
            upstream=state, policy=lambda: policy, pool=lambda: backend.pool
        )
        probe = upstream_probe.UpstreamProbe(
            backend.reactor, backend.time, host, headers.PlatformDialect(), 60
        )
        probe.start()
        backend.time.advance(1000)
        backend.reactor.advance(0.06)
        assert b'GET /health' in backend.pool.connection.transport.value()
        backend.send(_response('a1', 'Anvillug-Server-Load: 9,9,9,900'))
        assert state.load is None
        assert backend.pool.released == 1
        backend.send(_HEALTHY)
        assert backend.pool.released == 2
