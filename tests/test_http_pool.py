"""Tests of the pool's choice of connections, over transports in memory."""

from __future__ import annotations

import pytest
from twisted.internet import error
from twisted.internet import testing as twisted_testing
from twisted.python import failure

from anvillug.connection import http_pool
from tests import test_http_client


@pytest.fixture
def pool():
    """Return a pool that opens no real connections."""
    return http_pool.Pool(twisted_testing.MemoryReactorClock(), '127.0.0.1', 1)


class TestSilence:
    """Guards against requests on connections that may be silent, and against closing sound ones."""

    def test_only_connections_without_a_response_since_are_closed(self, pool):
        old, silent, sound = (test_http_client.connect(pool) for _ in range(3))
        _use(pool, old)
        pool._reactor.advance(1)  # noqa: SLF001
        pool.offer(silent, _leave_unanswered)
        pool._reactor.advance(1)  # noqa: SLF001
        _use(pool, sound)
        assert pool.idle_count == 2
        pool.close_idle_without_response_since(silent)
        acquired = []
        pool.acquire(acquired.append, _ignore)
        assert acquired == [sound]
        assert old.transport.disconnecting


class TestReservation:
    """Guards against a request on a connection other than the one that is known to work."""

    def test_reserved_connection_serves_its_next_request_first(self, pool):
        idle, busy = (test_http_client.connect(pool) for _ in range(2))
        _use(pool, idle)
        pool.offer(busy, _leave_unanswered)
        reserved, waiting = [], []
        pool._waiting.append((waiting.append, _ignore))  # noqa: SLF001
        pool.acquire_when_released(busy, _sender(reserved), _ignore)
        busy.dataReceived(b'HTTP/1.1 204 No Content\r\n\r\n')
        assert (reserved, waiting) == ([busy], [])

    def test_reserved_connection_that_closes_is_replaced(self, pool):
        busy = test_http_client.connect(pool)
        pool.offer(busy, _leave_unanswered)
        reserved = []
        pool.acquire_when_released(busy, reserved.append, _ignore)
        busy.connectionLost(failure.Failure(error.ConnectionLost()))
        assert (reserved, pool.open_count) == ([], 1)


def _sender(connections):
    """Return a function that sends a request and records the connection."""

    def ready(connection):
        connections.append(connection)
        test_http_client.send(connection)

    return ready


def _leave_unanswered(connection) -> None:
    """Send a request that receives no response."""
    test_http_client.send(connection)


def _use(pool, connection) -> None:
    """Send a request and receive its response."""
    pool.offer(connection, _leave_unanswered)
    connection.dataReceived(b'HTTP/1.1 204 No Content\r\n\r\n')


def _ignore():
    """Do nothing."""
