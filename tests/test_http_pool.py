"""Tests of the pool's choice of connections, over transports in memory."""

from __future__ import annotations

import weakref

import pytest
from twisted.internet import error
from twisted.internet import testing as twisted_testing
from twisted.python import failure

from anvillug.connection import carried_ids, http_pool
from tests import test_bad_input, test_http_client


@pytest.fixture
def pool():
    """Return a pool that opens no real connections."""
    return http_pool.Pool(twisted_testing.MemoryReactorClock(), '127.0.0.1', 1)


class _Requester:
    """Sends a request on the connection that it gets."""

    def send(self, connection):
        """Send the request."""
        test_http_client.send(connection)

    def fail(self):
        """Ignore the failure."""


class TestFirstRequest:
    """Guards against open connections that hold what has requested them."""

    def test_requester_of_an_idle_connection_is_freed(self, pool, collector_disabled):
        requester = _Requester()
        reference = weakref.ref(requester)
        pool.acquire(requester.send, requester.fail)
        del requester
        connection = pool._reactor.tcpClients[0][2].buildProtocol(None)  # noqa: SLF001
        connection.makeConnection(test_bad_input.make_transport())
        connection.dataReceived(b'HTTP/1.1 204 No Content\r\n\r\n')
        assert (reference(), pool.idle_count) == (None, 1)


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
        pool._waiting.append(http_pool._Waiter(waiting.append, _ignore, ''))  # noqa: SLF001
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


class TestRequestId:
    """Guards against two requests with the same id on one connection."""

    def test_idle_connection_that_carried_the_id_is_avoided(self, pool):
        old, carrier = (test_http_client.connect(pool) for _ in range(2))
        for connection in (old, carrier):
            _use(pool, connection)
        carrier.carried_ids.add('a1', 10, 0)
        acquired = []
        pool.acquire(acquired.append, _ignore, request_id='a1')
        assert acquired == [old]

    def test_full_pool_replaces_a_connection_that_carried_the_id(self):
        pool, carrier = _pool_of_one()
        _use(pool, carrier)
        carrier.carried_ids.add('a1', 10, 0)
        pool.acquire(_leave_unanswered, _ignore, request_id='a1')
        assert carrier.transport.disconnecting
        carrier.connectionLost(failure.Failure(error.ConnectionDone()))
        assert (pool.idle_count, pool.open_count) == (0, 1)

    def test_waiting_request_avoids_a_connection_with_its_id(self):
        pool, busy = _pool_of_one()
        pool.offer(busy, _leave_unanswered)
        busy.carried_ids.add('a1', 10, 0)
        same, other = [], []
        pool.acquire(_sender(same), _ignore, request_id='a1')
        pool.acquire(_sender(other), _ignore, request_id='a2')
        busy.dataReceived(b'HTTP/1.1 204 No Content\r\n\r\n')
        assert (same, other) == ([], [busy])
        busy.dataReceived(b'HTTP/1.1 204 No Content\r\n\r\n')
        assert busy.transport.disconnecting


class TestCarriedIds:
    """Guards against an id that is forgotten while its request may be sent again."""

    def test_ids_are_kept_until_they_expire(self):
        carried = carried_ids.CarriedIds()
        for number in range(1000):
            carried.add(f'a{number}', expires_at=500, now=0)
        assert 'a0' in carried
        carried.add('b', expires_at=1000, now=500)
        assert 'a0' not in carried

    def test_newest_are_kept_after_they_expire(self):
        carried = carried_ids.CarriedIds()
        for number in range(1000):
            carried.add(f'a{number}', expires_at=number, now=number + 1)
        assert 'a999' in carried
        assert 'a950' in carried
        assert len(carried) < 100


def _pool_of_one():
    """Return a pool that may hold one connection, and that connection."""
    reactor = twisted_testing.MemoryReactorClock()
    pool = http_pool.Pool(reactor, '127.0.0.1', 1, max_connections=1)
    pool.preconnect()
    connection = reactor.tcpClients[0][2].buildProtocol(None)
    connection.makeConnection(test_http_client.memory_transport())
    return pool, connection


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
