"""Tests of what is left of a connection whose client has reset it."""

from __future__ import annotations

import socket
import struct
import time
import weakref

import pytest

from anvillug.connection import (
    http_client,
    http_exchange,
    http_listener,
    http_pool,
    http_server,
)
from tests import reactor_thread, test_http_client

_HEAD = b'POST /one HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n'
_BODY_BYTES = 1 << 20
_RESET = struct.pack('ii', 1, 0)
_STANDSTILL_S = 0.3
_UNREAD_BYTES = 32 << 20


class _Server:
    """Server in the reactor thread that counts the bytes of bodies."""

    def __init__(self, running_reactor) -> None:
        self.connections: list[weakref.ref] = []
        self.exchanges: list[weakref.ref] = []
        self.received_bytes = 0
        self.aborted = 0
        self.answers = True
        factory = http_listener.ServerFactory(self._begin)
        build = factory.buildProtocol
        factory.buildProtocol = lambda address: self._keep(build(address))
        self.port = reactor_thread.call(
            lambda: running_reactor.listenTCP(0, factory, interface='127.0.0.1')
        )
        # What a client sends while the reactor stands still waits whole in the kernel.
        self.port.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 * _BODY_BYTES)

    @property
    def address(self) -> tuple[str, int]:
        return '127.0.0.1', self.port.getHost().port

    def connect(self) -> socket.socket:
        connection = socket.create_connection(self.address)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        connection.settimeout(reactor_thread.TIMEOUT_S)
        return connection

    def is_aborted(self) -> bool:
        return self.aborted > 0

    def _keep(self, connection: http_server.ServerConnection) -> http_server.ServerConnection:
        self.connections.append(weakref.ref(connection))
        return connection

    def _begin(self, exchange: http_exchange.ServerExchange) -> None:
        exchange.handler = _Handler(self, exchange)
        self.exchanges.append(weakref.ref(exchange.handler))


class _Handler:
    def __init__(self, server: _Server, exchange: http_exchange.ServerExchange) -> None:
        self._server = server
        self._exchange = exchange

    def body_received(self, data: bytes) -> None:
        self._server.received_bytes += len(data)

    def request_ended(self) -> None:
        if self._server.answers:
            self._exchange.respond(200, b'whole')

    def request_aborted(self) -> None:
        self._server.aborted += 1

    def response_writes_paused(self, paused: bool) -> None:
        """Ignore backpressure."""


@pytest.fixture
def server(running_reactor, collector_disabled):
    """Return a server without a collector."""
    server = _Server(running_reactor)
    yield server
    reactor_thread.call(server.port.stopListening)


class TestLostConnection:
    """Guards against lost connections that hold memory, descriptors or the reactor."""

    @pytest.mark.parametrize('body_bytes', [0, 100, _BODY_BYTES])
    def test_connection_is_freed_without_the_collector(self, server, body_bytes):
        with server.connect() as client:
            client.sendall(_HEAD % (body_bytes + 1))
            client.sendall(bytes(body_bytes))
            reactor_thread.eventually(lambda: server.exchanges)
        reactor_thread.eventually(server.is_aborted)
        reactor_thread.eventually(lambda: server.connections[0]() is None)
        assert server.exchanges[0]() is None

    def test_answered_requests_are_freed_without_the_collector(self, server):
        with server.connect() as client:
            for _ in range(2):
                client.sendall(b'%bbody' % (_HEAD % 4))
                assert b'whole' in client.recv(4096)
            reactor_thread.eventually(lambda: server.exchanges[0]() is None)
        reactor_thread.eventually(lambda: server.connections[0]() is None)

    @pytest.mark.parametrize('version', [b'1.0', b'1.1'])
    def test_connection_of_a_caller_who_has_left_is_freed(self, server, version):
        # The watch of a half-closed connection referred to its last check, and so to itself.
        server.answers = False
        with socket.create_connection(server.address) as client:
            client.sendall(b'GET /one HTTP/%b\r\nHost: a\r\n\r\n' % version)
            reactor_thread.eventually(lambda: server.exchanges)
        reactor_thread.eventually(server.is_aborted)
        reactor_thread.eventually(lambda: server.connections[0]() is None)
        assert server.exchanges[0]() is None

    def test_unread_bytes_of_a_reset_connection_are_not_parsed(self, server, running_reactor):
        # Clients that reset uploads faster than these were read held descriptors by the hundred.
        with server.connect() as client:
            client.sendall(_HEAD % (2 * _BODY_BYTES))
            reactor_thread.eventually(lambda: server.exchanges)
            running_reactor.callFromThread(time.sleep, _STANDSTILL_S)
            client.sendall(bytes(_BODY_BYTES))
        reactor_thread.eventually(server.is_aborted)
        assert server.received_bytes < _BODY_BYTES / 2


class _Peer:
    """Peer of one client connection, which awaits the response to a request."""

    def __init__(self, running_reactor) -> None:
        self.requests: list[weakref.ref] = []
        self.transports: list[weakref.ref] = []
        self.connections: list[weakref.ref] = []
        with socket.create_server(('127.0.0.1', 0)) as port:
            pool = http_pool.Pool(running_reactor, *port.getsockname())
            reactor_thread.call(pool.acquire, self._send, _ignore)
            self.end = port.accept()[0]
        self.end.settimeout(reactor_thread.TIMEOUT_S)
        assert self.end.recv(4096)

    def send_unread(self) -> None:
        """Send more than the peer reads; runs in the reactor's thread."""
        self.transports.append(weakref.ref(self.connections[0]().transport))
        self.connections[0]().send_body(bytes(_UNREAD_BYTES))

    def cancel(self) -> None:
        """Cancel the request; runs in the reactor's thread."""
        self.connections[0]().cancel()

    def is_freed(self) -> bool:
        references = (*self.connections, *self.requests, *self.transports)
        return not any(reference() for reference in references)

    def _send(self, connection: http_client.ClientConnection) -> None:
        self.connections.append(weakref.ref(connection))
        self.requests.append(weakref.ref(test_http_client.send(connection)))


def _ignore() -> None:
    """Do nothing."""


@pytest.fixture
def peer(running_reactor, collector_disabled):
    """Return the peer of a client connection, without a collector."""
    peer = _Peer(running_reactor)
    with peer.end:
        yield peer


class TestUnsentBytes:
    """Guards against transports to others that hold an upload after they were lost."""

    def test_cancelled_upload_is_freed(self, peer):
        reactor_thread.call(peer.send_unread)
        reactor_thread.call(peer.cancel)
        reactor_thread.eventually(peer.is_freed)

    def test_reset_upload_is_freed(self, peer):
        reactor_thread.call(peer.send_unread)
        peer.end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        peer.end.close()
        reactor_thread.eventually(peer.is_freed)


@pytest.mark.parametrize(
    'received',
    [
        b'',
        b'HTTP/1.1 200 OK\r\nConte',
        b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbo',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbo',
    ],
)
class TestLostClientConnection:
    """Guards against connections to others that hold memory after they were lost."""

    def test_connection_lost_within_a_response_is_freed(self, peer, received):
        peer.end.sendall(received)
        peer.end.close()
        reactor_thread.eventually(peer.is_freed)

    def test_connection_reset_within_a_response_is_freed(self, peer, received):
        peer.end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        peer.end.sendall(received)
        peer.end.close()
        reactor_thread.eventually(peer.is_freed)

    def test_cancelled_connection_is_freed(self, peer, received):
        peer.end.sendall(received)
        reactor_thread.call(peer.cancel)
        reactor_thread.eventually(peer.is_freed)
