"""Tests of the end of a node that is stopping."""

from __future__ import annotations

import types

import pytest
from twisted.internet import task
from twisted.internet import testing as twisted_testing

from anvillug import clock
from anvillug.connection import http_server
from anvillug.process import drain

REQUEST = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'


class Bench:
    """A drain whose calls and connections the tests set."""

    def __init__(self):
        self.reactor = task.Clock()
        self.time = clock.ManualClock()
        self.calls = 0
        self.connections = 0
        self.ends = []
        self.drain = drain.Drain(
            self.reactor,
            self.time,
            lambda: self.calls,
            lambda: self.connections,
            lambda: self.ends.append(self.time.now()),
        )

    def wait(self, seconds):
        """Let time pass."""
        self.time.advance(1000 * seconds)
        self.reactor.advance(seconds)


class TestDrain:
    """Guards against a stop that cuts answers, and against one that never ends."""

    def test_waits_for_calls_without_limit(self):
        bench = Bench()
        bench.calls = 1
        bench.drain.check()
        bench.wait(3600)
        assert not bench.ends
        bench.calls = 0
        bench.wait(1)
        assert len(bench.ends) == 1

    def test_waits_for_answers_that_are_not_sent_yet(self):
        bench = Bench()
        bench.connections = 1
        bench.drain.check()
        bench.wait(10)
        assert not bench.ends
        bench.connections = 0
        bench.wait(1)
        assert len(bench.ends) == 1

    def test_gives_up_a_caller_that_takes_no_bytes(self):
        bench = Bench()
        bench.connections = 1
        bench.drain.check()
        bench.wait(drain.SEND_LIMIT_MS / 1000)
        assert len(bench.ends) == 1


class TestBusyConnections:
    """Guards against a connection that looks idle while an answer is on its way."""

    @pytest.fixture
    def exchanges(self):
        """Return a list of exchanges."""
        return []

    @pytest.fixture
    def factory(self, exchanges):
        """Return a factory that notes exchanges."""
        return http_server.ServerFactory(exchanges.append)

    @pytest.fixture
    def connection(self, factory):
        """Return an open connection."""
        connection = factory.buildProtocol(None)
        transport = twisted_testing.StringTransport()
        transport.setTcpNoDelay = lambda on: None
        transport.setTcpKeepAlive = lambda on: None
        connection.makeConnection(transport)
        return connection

    def test_busy_until_the_answer_ends(self, factory, connection, exchanges):
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
