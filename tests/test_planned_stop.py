"""Tests of requests that arrive while the listeners and connections of a stopping node close."""

from __future__ import annotations

import collections
import contextlib
import functools
import socket
import threading
import time

import pytest

from anvillug.connection import http_exchange, http_listener
from tests import reactor_thread

_REQUEST = b'GET /one HTTP/1.1\r\nHost: a\r\n\r\n'
# No more than the listen queue of the test server holds.
_QUEUED_CONNECTIONS = 45
_LARGE_RESPONSE_BYTES = 2_000_000
# A caller that reads slowly, so that the end of the response is still unsent at the close.
_READ_PAUSE_S = 0.001
_CHECKS_IN_A_SECOND = 20
# Data that was sent on the loopback interface has arrived after this time.
_ARRIVAL_S = 0.2
_PIPELINED = 300
_STOPS = 60
_CALLERS = 6
_CONNECTING_S = 0.03


class _Server:
    """Server in the reactor thread that answers each request at once."""

    def __init__(self, running_reactor) -> None:
        self.factory = http_listener.ServerFactory(self._respond)
        self.response = b'whole'
        self.port = reactor_thread.call(
            lambda: running_reactor.listenTCP(0, self.factory, interface='127.0.0.1')
        )
        self.address = ('127.0.0.1', self.port.getHost().port)

    def _respond(self, exchange: http_exchange.ServerExchange) -> None:
        exchange.respond(200, self.response)

    def connect(self) -> socket.socket:
        connection = socket.create_connection(self.address)
        connection.settimeout(reactor_thread.TIMEOUT_S)
        return connection

    def stop_after(self, action) -> None:
        """Stop in the turn of the reactor in which the action is taken by a caller."""

        def act_and_stop() -> None:
            action()
            time.sleep(_ARRIVAL_S)
            http_listener.stop_listening(self.port)
            self.factory.close_when_idle()

        reactor_thread.call(act_and_stop)

    def close(self) -> None:
        """Close what is idle until nothing is left."""

        def is_closed() -> bool:
            reactor_thread.call(self.factory.close_when_idle)
            return not reactor_thread.call(lambda: self.factory.busy_count)

        reactor_thread.eventually(is_closed)


@pytest.fixture
def server(running_reactor):
    """Yield a listening server."""
    started = _Server(running_reactor)
    yield started
    reactor_thread.call(started.port.stopListening)


def _receive_all(connection: socket.socket) -> bytes:
    received = []
    with connection:
        while piece := connection.recv(65536):
            received.append(piece)
    return b''.join(received)


def _is_answered(connection: socket.socket) -> bool:
    try:
        return _receive_all(connection).endswith(b'whole')
    except ConnectionResetError:
        return False


def _connect_until_refused(server: _Server, seen: collections.Counter[str]) -> None:
    while True:
        try:
            with socket.create_connection(server.address, reactor_thread.TIMEOUT_S) as connection:
                connection.sendall(_REQUEST)
                answered = connection.recv(65536).endswith(b'whole')
        except ConnectionRefusedError:
            return
        except ConnectionResetError:
            answered = False
        seen['answered' if answered else 'reset'] += 1


def _send_until_closed(connection: socket.socket) -> None:
    with contextlib.suppress(OSError):
        while True:  # noqa: WPS457 - the server closes the connection
            connection.sendall(_REQUEST * _PIPELINED)


class TestPlannedStop:
    """Guards against a request that has been accepted and is cut off without an answer."""

    def test_request_on_a_kept_connection_is_answered(self, server):
        connection = server.connect()
        connection.sendall(_REQUEST)
        assert connection.recv(65536).endswith(b'whole')
        server.stop_after(lambda: connection.sendall(_REQUEST))
        response = _receive_all(connection)
        assert response.endswith(b'whole')
        assert b'Connection: close' in response

    def test_request_on_a_connection_in_the_listen_queue_is_answered(self, server):
        connections = []

        def connect_and_send() -> None:
            connections.append(server.connect())
            connections[0].sendall(_REQUEST)

        server.stop_after(connect_and_send)
        response = _receive_all(connections[0])
        assert response.endswith(b'whole')
        assert b'Connection: close' in response

    # Guards against resets of the connections that one pass over the listen queue left in it.
    def test_requests_on_a_long_listen_queue_are_answered(self, server):
        # Twisted accepts at most as many connections at once as it did last time.
        server.connect().close()
        reactor_thread.eventually(lambda: reactor_thread.call(lambda: server.port.sessionno))
        connections = []

        def connect_and_send() -> None:
            for _ in range(_QUEUED_CONNECTIONS):
                connections.append(server.connect())
                connections[-1].sendall(_REQUEST)

        server.stop_after(connect_and_send)
        answered = [_is_answered(connection) for connection in connections]
        assert answered.count(True) == _QUEUED_CONNECTIONS

    # Guards against a socket that accepts connections which nobody answers.
    def test_connection_behind_the_last_pass_is_refused(self, server):
        refused = []

        def stop_and_connect() -> None:
            http_listener.stop_listening(server.port)
            with pytest.raises(ConnectionRefusedError):
                server.connect()
            refused.append(True)

        reactor_thread.call(stop_and_connect)
        assert refused

    # Guards against resets of the connections between the last accept and the close of the socket.
    def test_stop_under_connects_resets_no_connection(self, running_reactor):
        seen = collections.Counter()
        for _ in range(_STOPS):
            server = _Server(running_reactor)
            callers = [
                threading.Thread(target=_connect_until_refused, args=(server, seen))
                for _ in range(_CALLERS)
            ]
            for caller in callers:
                caller.start()
            time.sleep(_CONNECTING_S)
            reactor_thread.call(functools.partial(http_listener.stop_listening, server.port))
            for caller in callers:
                caller.join()
        assert seen['answered'] > _STOPS
        assert seen['reset'] == 0

    def test_connection_that_awaits_its_request_stays_open(self, server):
        connections = []
        server.stop_after(lambda: connections.append(server.connect()))
        assert reactor_thread.call(lambda: server.factory.busy_count) == 1
        connections[0].sendall(_REQUEST)
        assert _receive_all(connections[0]).endswith(b'whole')

    # Guards against dropping requests that were read behind the first one.
    @pytest.mark.parametrize('count', [3, 3000])
    def test_pipelined_requests_on_a_kept_connection_are_answered(self, server, count):
        connection = server.connect()
        connection.sendall(_REQUEST)
        assert connection.recv(65536).endswith(b'whole')
        server.stop_after(lambda: connection.sendall(_REQUEST * count))
        response = _receive_all(connection)
        assert response.count(b'whole') == count
        assert response.count(b'Connection: close') == 1

    # Guards against a caller that keeps its connection open since it never pauses.
    def test_connection_that_pipelines_without_a_pause_ends(self, server):
        connection = server.connect()
        threading.Thread(target=_send_until_closed, args=(connection,), daemon=True).start()
        received = collections.deque(maxlen=2)
        received.append(connection.recv(65536))
        reactor_thread.call(server.factory.close_after_responses)
        end_s = time.monotonic() + reactor_thread.TIMEOUT_S
        while received[-1]:
            assert time.monotonic() < end_s
            received.append(connection.recv(65536))
        assert received[0].count(b'Connection: close') == 1
        assert received[0].endswith(b'whole')

    # Guards against closing a connection on which part of a head has arrived.
    def test_request_that_arrives_in_parts_is_answered(self, server):
        connection = server.connect()
        connection.sendall(_REQUEST)
        assert connection.recv(65536).endswith(b'whole')
        server.stop_after(lambda: connection.sendall(_REQUEST[:9]))
        reactor_thread.call(server.factory.close_when_idle)
        assert reactor_thread.call(lambda: server.factory.busy_count) == 1
        connection.sendall(_REQUEST[9:])
        assert _receive_all(connection).endswith(b'whole')

    # Guards against a part of a request that holds the stop until the end of the grace time.
    def test_rest_of_a_request_is_awaited_for_a_limited_time(self, server):
        connection = server.connect()
        server.stop_after(lambda: connection.sendall(_REQUEST[:9]))
        for _ in range(_CHECKS_IN_A_SECOND):
            reactor_thread.call(server.factory.close_when_idle)
        assert reactor_thread.call(lambda: server.factory.busy_count) == 1
        reactor_thread.call(server.factory.close_when_idle)
        reactor_thread.eventually(
            lambda: not reactor_thread.call(lambda: server.factory.open_count)
        )

    # Guards against connections that are kept until they are closed under a request.
    def test_responses_announce_the_close_in_advance(self, server):
        kept, idle, late = (server.connect() for _ in range(3))
        for connection in (kept, idle):
            connection.sendall(_REQUEST)
            assert connection.recv(65536).endswith(b'whole')
        reactor_thread.call(server.factory.close_after_responses)
        new = server.connect()
        for connection in (kept, late, new):
            connection.sendall(_REQUEST)
            assert b'Connection: close' in _receive_all(connection)
        reactor_thread.eventually(
            lambda: reactor_thread.call(lambda: server.factory.open_count) == 1
        )
        idle.sendall(_REQUEST)
        assert b'Connection: close' in _receive_all(idle)

    # Guards against a reset that discards the end of a response because of a request behind it.
    def test_request_behind_an_announced_close_costs_no_response(self, server):
        server.response = bytes(_LARGE_RESPONSE_BYTES)
        reactor_thread.call(server.factory.close_when_idle)
        connection = server.connect()
        connection.sendall(_REQUEST)
        received = len(connection.recv(1024))
        connection.sendall(_REQUEST)
        reactor_thread.call(server.factory.close_when_idle)
        with connection:
            while piece := connection.recv(4096):
                received += len(piece)
                time.sleep(_READ_PAUSE_S)
        assert received > _LARGE_RESPONSE_BYTES

    def test_silent_connection_does_not_delay_the_stop(self, server):
        connection = server.connect()
        reactor_thread.eventually(lambda: reactor_thread.call(lambda: server.factory.open_count))
        server.close()
        assert _receive_all(connection) == b''
