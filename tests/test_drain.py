"""Tests of the graceful stop of a node."""

from __future__ import annotations

import types

import pytest
from twisted.internet import task
from twisted.internet import testing as twisted_testing

from anvillug import clock
from anvillug.connection import http_listener
from anvillug.process import drain

REQUEST = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'


class DrainBench:
    """Drain whose numbers of calls and connections the tests set."""

    def __init__(self):
        self.reactor = task.Clock()
        self.time = clock.ManualClock()
        self.calls = 0
        self.connections = 0
        self.ended_at = []
        self.drain = drain.Drain(
            self.reactor,
            self.time,
            lambda: self.calls,
            lambda: self.connections,
            lambda: self.ended_at.append(self.time.now()),
        )

    def wait(self, seconds):
        """Advance both clocks."""
        self.time.advance(1000 * seconds)
        self.reactor.advance(seconds)


class TestDrain:
    """Guards against a stop that truncates responses, and against one that never ends."""

    def test_waits_for_calls_without_timeout(self):
        bench = DrainBench()
        bench.calls = 1
        bench.drain.check()
        bench.wait(3600)
        assert not bench.ended_at
        bench.calls = 0
        bench.wait(1)
        assert len(bench.ended_at) == 1

    def test_waits_for_unsent_responses(self):
        bench = DrainBench()
        bench.connections = 1
        bench.drain.check()
        bench.wait(10)
        assert not bench.ended_at
        bench.connections = 0
        bench.wait(1)
        assert len(bench.ended_at) == 1

    def test_stops_waiting_for_a_caller_that_receives_nothing(self):
        bench = DrainBench()
        bench.connections = 1
        bench.drain.check()
        bench.wait(drain.SEND_TIMEOUT_MS / 1000)
        assert len(bench.ended_at) == 1


class TestBusyConnections:
    """Guards against counting a connection as idle while a response is being sent."""

    @pytest.fixture
    def exchanges(self):
        """Return the list of recorded exchanges."""
        return []

    @pytest.fixture
    def factory(self, exchanges):
        """Return a factory that records exchanges."""
        return http_listener.ServerFactory(exchanges.append)

    @pytest.fixture
    def connection(self, factory):
        """Return an open connection."""
        connection = factory.buildProtocol(None)
        transport = twisted_testing.StringTransport()
        transport.setTcpNoDelay = lambda on: None
        transport.setTcpKeepAlive = lambda on: None
        connection.makeConnection(transport)
        return connection

    def test_busy_until_the_response_ends(self, factory, connection, exchanges):
        assert factory.busy_count == 0
        connection.dataReceived(REQUEST)
        assert factory.busy_count == 1
        exchanges[0].respond(200, b'x')
        assert factory.busy_count == 0

    def test_busy_while_bytes_are_unsent(self, factory, connection):
        connection.transport = types.SimpleNamespace(
            dataBuffer=b'abc', offset=3, _tempDataBuffer=[]
        )
        assert factory.busy_count == 0
        connection.transport.offset = 1
        assert factory.busy_count == 1
