"""Tests of the network link stand-in."""

from __future__ import annotations

import socket

import pytest
import treq
from twisted.internet import defer, endpoints, error, interfaces, protocol, reactor, task
from twisted.trial import unittest
from twisted.web import client
from zope.interface import implementer

from anvillug.standin import http_api, link


@implementer(interfaces.IHalfCloseableProtocol)
class LateEcho(protocol.Protocol):
    """Sends the received data back once the peer has closed its end."""

    def connectionMade(self) -> None:  # noqa: N802 Twisted's name
        self.received = b''

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 Twisted's name
        self.received += data

    def readConnectionLost(self) -> None:  # noqa: N802 Twisted's name
        self.transport.write(self.received)
        self.transport.loseConnection()

    def writeConnectionLost(self) -> None:  # noqa: N802 Twisted's name
        """Do nothing."""


class Echo(protocol.Protocol):
    """Sends the received data back."""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 Twisted's name
        self.transport.write(data)


class Recorder(protocol.Protocol):
    """Collects the received data."""

    def __init__(self):
        self.received = b''
        self.closed = defer.Deferred()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 Twisted's name
        self.received += data

    def connectionLost(self, reason=protocol.connectionDone) -> None:  # noqa: N802 Twisted's name
        self.closed.callback(reason.type)

    async def wait_for(self, expected: bytes) -> None:
        while self.received != expected:
            await task.deferLater(reactor, 0.002)


@implementer(interfaces.IHalfCloseableProtocol)
class _HalfOpen(protocol.Protocol):
    """Stays open after the end of the received stream."""

    def __init__(self):
        self.ended = defer.Deferred()

    def readConnectionLost(self) -> None:  # noqa: N802 Twisted's name
        self.ended.callback(None)

    def writeConnectionLost(self) -> None:  # noqa: N802 Twisted's name
        pass


class TestLink(unittest.TestCase):
    """Guards against faults that affect connections differently from a real network."""

    timeout = 10

    def setUp(self):
        echo = reactor.listenTCP(0, protocol.Factory.forProtocol(Echo), interface='127.0.0.1')
        self.addCleanup(echo.stopListening)
        self.link = link.Link(reactor, http_api.bound_address(echo), delay_ms=20)
        self.address = self.link.listen('127.0.0.1:0')
        self.addCleanup(self.link.stop)
        control = reactor.listenTCP(0, self.link.site(), interface='127.0.0.1')
        self.addCleanup(control.stopListening)
        self.control_url = f'http://{http_api.bound_address(control)}/control/faults'
        pool = client.HTTPConnectionPool(reactor, persistent=False)
        self.treq = treq.client.HTTPClient(client.Agent(reactor, pool=pool))

    def tearDown(self):
        # Lets the reset connections close before Twisted's trial checks for open sockets.
        self.link.stop()
        return task.deferLater(reactor, 0.05)

    async def connect(self) -> Recorder:
        host, port = http_api.split_address(self.address)
        endpoint = endpoints.TCP4ClientEndpoint(reactor, host, port)
        return await endpoints.connectProtocol(endpoint, Recorder())

    async def set_faults(self, **faults: object) -> None:
        response = await self.treq.post(self.control_url, json=faults)
        assert response.code == 200
        await response.content()

    def test_data_is_delayed_in_both_directions(self):
        return defer.ensureDeferred(self.check_delay())

    async def check_delay(self):
        connection = await self.connect()
        connection.transport.write(b'a')
        await connection.wait_for(b'a')
        start = reactor.seconds()
        connection.transport.write(b'b')
        await connection.wait_for(b'ab')
        assert round((reactor.seconds() - start) * 1000) >= 40
        connection.transport.loseConnection()
        await connection.closed

    def serve_half_open(self):
        accepted = _HalfOpen()
        factory = protocol.Factory()
        factory.buildProtocol = lambda _: accepted
        target = reactor.listenTCP(0, factory, interface='127.0.0.1')
        self.addCleanup(target.stopListening)
        self.link._target = http_api.split_address(http_api.bound_address(target))
        return accepted

    # LOST: the link closed the connection of a client that had closed its end.
    def test_half_closed_connection_is_answered(self):
        return defer.ensureDeferred(self.check_half_close())

    async def check_half_close(self):
        accepted = self.serve_half_open()
        connection = await self.connect()
        connection.transport.loseWriteConnection()
        await accepted.ended
        accepted.transport.write(b'a')
        accepted.transport.loseConnection()
        await connection.wait_for(b'a')
        assert await connection.closed is error.ConnectionDone
        await task.deferLater(reactor, 0.1)
        assert not self.link.open_connections

    def test_reset_after_the_end_of_the_stream_reaches_the_target(self):
        return defer.ensureDeferred(self.check_reset())

    async def check_reset(self):
        accepted = self.serve_half_open()
        connection = await self.connect()
        connection.transport.loseConnection()
        await accepted.ended
        accepted.transport.write(b'interim')
        # What arrives at a client that has left resets the connection.
        await task.deferLater(reactor, 0.15)
        assert accepted.transport.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        accepted.transport.abortConnection()

    def test_large_stream_before_a_half_close_is_passed_on(self):
        return defer.ensureDeferred(self.check_large_half_close())

    # The link closed both directions, so that callers that close their end got no answer from a
    # node behind it, whatever the node did.
    async def check_large_half_close(self):
        late_echo = protocol.Factory.forProtocol(LateEcho)
        target = reactor.listenTCP(0, late_echo, interface='127.0.0.1')
        self.addCleanup(target.stopListening)
        relay = link.Link(reactor, http_api.bound_address(target), delay_ms=5)
        self.address = relay.listen('127.0.0.1:0')
        self.addCleanup(relay.stop)
        connection = await self.connect()
        sent = bytes(1_000_000)
        connection.transport.write(sent)
        connection.transport.loseWriteConnection()
        assert await connection.closed is error.ConnectionDone
        assert connection.received == sent
        while relay.open_connections:
            await task.deferLater(reactor, 0.002)

    def test_cut_resets_open_and_refuses_new_connections(self):
        return defer.ensureDeferred(self.check_cut())

    async def check_cut(self):
        connection = await self.connect()
        connection.transport.write(b'a')
        await connection.wait_for(b'a')
        await self.set_faults(cut=True)
        assert await connection.closed is error.ConnectionLost
        with pytest.raises(error.ConnectionRefusedError):
            await self.connect()
        await self.set_faults(cut=False)
        new_connection = await self.connect()
        new_connection.transport.write(b'b')
        await new_connection.wait_for(b'b')

    def test_silent_fault_does_not_affect_new_connections(self):
        return defer.ensureDeferred(self.check_silent_fault())

    async def check_silent_fault(self):
        old = await self.connect()
        old.transport.write(b'a')
        await old.wait_for(b'a')
        await self.set_faults(silent=True)
        old.transport.write(b'lost')
        new = await self.connect()
        new.transport.write(b'b')
        await new.wait_for(b'b')
        assert old.received == b'a'
        assert not old.closed.called
