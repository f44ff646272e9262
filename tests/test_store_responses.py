"""Tests of the store's client with scripted responses, over transports in memory."""

from __future__ import annotations

import types

import pytest
from twisted.internet import defer, error
from twisted.internet import testing as twisted_testing
from twisted.python import failure

from anvillug.connection import keyed_log
from anvillug.platform import store

_TOPIC = 'keyed.op'
_CONNECT_TIMEOUT_MS = 500
_EMPTY = b'\0' * 16
_RESPONSE = b'HTTP/1.1 200 OK\r\nStore-Era: 3\r\nContent-Length: 16\r\n\r\n%b' % _EMPTY
_HEAD = b'HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n'
_CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
_CLOSED = error.ConnectionDone()
_RESET = error.ConnectionLost()


class _Client:
    """The client, with the far ends of its connections."""

    def __init__(self):
        self.reactor = twisted_testing.MemoryReactorClock()
        self.store = store.Store(self.reactor, '127.0.0.1:9')
        self.connections = []

    def read(self, wait_ms=0):
        """Begin a read; return its result."""
        return defer.ensureDeferred(self.store.read(_TOPIC, 0, wait_ms))

    def append(self):
        """Begin an append; return its result."""
        return defer.ensureDeferred(self.store.append(_TOPIC, 'a', b'1'))

    def accept(self):
        """Accept the connections that the client opens, and return the newest one."""
        for _, _, factory, timeout_s, _ in self.reactor.tcpClients[len(self.connections) :]:
            assert timeout_s * 1000 == _CONNECT_TIMEOUT_MS
            connection = factory.buildProtocol(None)
            connection.makeConnection(_transport())
            self.connections.append(connection)
        return self.connections[-1]

    def respond(self, data=_RESPONSE, end=None):
        """Respond on the newest connection, and close it with an error if there is one."""
        connection = self.accept()
        if data:
            connection.dataReceived(data)
        if end is not None:
            connection.connectionLost(failure.Failure(end))
        self.reactor.advance(0)


def _transport():
    transport = twisted_testing.StringTransport()
    transport.setTcpNoDelay = lambda enabled: None
    transport.setTcpKeepAlive = lambda enabled: None
    transport.options = []
    handle = types.SimpleNamespace(setsockopt=lambda *option: transport.options.append(option))
    transport.getHandle = lambda: handle
    return transport


@pytest.fixture
def client():
    """Return a client whose connections and time are in memory."""
    return _Client()


def _assert_unavailable(result, reason=''):
    problem = result.result.value
    assert isinstance(problem, keyed_log.LogUnavailableError)
    assert reason in str(problem)
    result.addErrback(lambda _: None)


class TestResponses:
    """Guards against responses that are taken for complete ones, or hold a task or much memory."""

    @pytest.mark.parametrize(
        ('data', 'end', 'reason'),
        [
            (_HEAD + b'\0' * 15, _CLOSED, 'lost'),
            (_CHUNKED + b'10\r\n%b\r\n' % _EMPTY, _CLOSED, 'lost'),
            (_HEAD, _RESET, 'lost'),
            (b'HTTP/1.1 200', _CLOSED, 'lost'),
            (b'nonsense\r\n\r\n', None, 'malformed'),
            (_RESPONSE.replace(b': 3', b': x'), None, 'invalid literal'),
            (_RESPONSE.replace(b'200', b'503'), None, 'status 503'),
            (_RESPONSE.replace(b'200', b'204'), None, 'status 204'),
        ],
    )
    def test_failure(self, client, data, end, reason):
        result = client.read()
        client.respond(data, end)
        _assert_unavailable(result, reason)

    def test_status_of_a_condition_or_a_deletion(self, client):
        for status, kind in (
            (b'410', keyed_log.RecordsDeletedError),
            (b'412', keyed_log.ConditionFailedError),
        ):
            result = client.append()
            client.respond(_RESPONSE.replace(b'200', status))
            assert result.result.check(kind)
            result.addErrback(lambda _: None)

    @pytest.mark.parametrize(
        ('data', 'end', 'era'),
        [
            (_RESPONSE, None, 3),
            (b'HTTP/1.1 103 Early Hints\r\n\r\n%b' % _RESPONSE, None, 3),
            (_CHUNKED + b'10\r\n%b\r\n0\r\n\r\n' % _EMPTY, None, 0),
            (b'HTTP/1.1 200 OK\r\n\r\n%b' % _EMPTY, _CLOSED, 0),
        ],
    )
    def test_complete_response(self, client, data, end, era):
        result = client.read()
        client.respond(data, end)
        assert (result.result.end.era, result.result.end.offset) == (era, 0)

    def test_silent_store_is_an_error_in_time(self, client):
        results = {500: client.read(), 10_500: client.read(10_000), 900: client.append()}
        client.accept()
        for limit_ms in sorted(results):
            client.reactor.advance((limit_ms - 1) / 1000 - client.reactor.seconds())
            assert not results[limit_ms].called
            client.reactor.advance(0.002)
            _assert_unavailable(results[limit_ms], 'TimeoutError')
        assert all(connection.transport.disconnecting for connection in client.connections)

    def test_body_has_a_time_limit(self, client):
        result = client.read()
        client.respond(_CHUNKED)
        for _ in range(40):
            assert not result.called
            client.reactor.advance(0.1)
            client.respond(b'1\r\n\0\r\n')
        client.reactor.advance(0.01)
        _assert_unavailable(result, 'TimeoutError')

    def test_body_has_a_size_limit(self, client, monkeypatch):
        monkeypatch.setattr(store, '_MAX_BODY_BYTES', 15)
        result = client.read()
        client.respond(_CHUNKED + b'10\r\n%b\r\n' % _EMPTY)
        _assert_unavailable(result, 'exceeds 15 bytes')
        assert client.accept().transport.disconnecting

    def test_cancelled_call_closes_its_connection(self, client):
        result = client.read(10_000)
        connection = client.accept()
        result.cancel()
        _assert_unavailable(result, 'CancelledError')
        assert connection.transport.disconnecting


class TestConnections:
    """Guards against idle connections that have closed, fallen silent or become many."""

    def test_next_call_uses_the_connection_and_it_detects_silence(self, client):
        for _ in range(3):
            client.read()
            client.respond()
        assert len(client.connections) == 1
        assert client.accept().transport.options

    def test_two_idle_connections_are_kept_for_a_time(self, client):
        for _ in range(3):
            client.read(10_000)
        client.accept()
        assert not any(connection.is_idle for connection in client.connections)
        assert len(client.connections) == 3
        for connection in client.connections:
            connection.dataReceived(_RESPONSE)
        assert [each.transport.disconnecting for each in client.connections] == [True, False, False]
        client.reactor.advance(241)
        client.append()
        assert all(connection.transport.disconnecting for connection in client.connections)
        assert len(client.reactor.tcpClients) == 4

    def test_failure_closes_the_idle_connections(self, client):
        result = client.read()
        client.read()
        client.accept().dataReceived(_RESPONSE)
        client.connections[0].connectionLost(failure.Failure(_RESET))
        _assert_unavailable(result, 'lost')
        assert client.accept().transport.disconnecting

    def test_read_is_repeated_once_if_an_idle_connection_had_closed(self, client):
        client.read()
        client.respond()
        result = client.read()
        client.respond(b'', _RESET)
        assert not result.called
        client.respond(b'', _RESET)
        _assert_unavailable(result, 'lost')
        assert len(client.reactor.tcpClients) == 2

    def test_append_is_not_repeated(self, client):
        client.read()
        client.respond()
        result = client.append()
        client.respond(b'', _RESET)
        _assert_unavailable(result, 'lost')
