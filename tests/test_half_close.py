"""Tests of clients that close their end of a connection before they are answered."""

from __future__ import annotations

import contextlib
import functools
import socket
import struct
import time

import pytest
from twisted.internet import error
from twisted.python import failure

from anvillug import clock
from anvillug.connection import (
    client_guard,
    client_limits,
    http_exchange,
    http_head,
    http_listener,
    memory_account,
)
from anvillug.process import operator_api
from anvillug.standin import link
from tests import reactor_thread, test_bad_input

_HEAD = b'GET /one HTTP/1.1\r\nHost: a\r\n'
_GET = b''.join((_HEAD, b'\r\n'))
_OLD_GET = b'GET /one HTTP/1.0\r\nHost: a\r\n\r\n'
_POST = b'POST /one HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody'
_CHUNKED = (
    b'POST /one HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n'
)
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
_SHORT_S = 0.05
# Longer than the time after which a client that has left must be noticed.
_LONG_S = 0.9
_GONE_S = 0.5
_LARGE_RESPONSE_BYTES = 2_000_000


class _Server:
    """Server in the reactor thread that answers each request after a time."""

    def __init__(self, running_reactor, delay_s: float = _SHORT_S, **arguments: object) -> None:
        self.factory = http_listener.ServerFactory(
            self._begin, may_overlap=lambda head: head.method == b'GET', **arguments
        )
        self.delay_s = delay_s
        self.response = b'whole'
        self.streams = False
        self.goes_on = False
        self.begun = 0
        self.ended = 0
        self.aborted_at: list[float] = []
        self.reactor = running_reactor
        self.port = reactor_thread.call(
            lambda: running_reactor.listenTCP(0, self.factory, interface='127.0.0.1')
        )

    def connect(self) -> socket.socket:
        connection = socket.create_connection(('127.0.0.1', self.port.getHost().port))
        connection.settimeout(reactor_thread.TIMEOUT_S)
        return connection

    def is_empty(self) -> bool:
        return not reactor_thread.call(lambda: self.factory.open_count)

    def _begin(self, exchange: http_exchange.ServerExchange) -> None:
        self.begun += 1
        exchange.goes_on = self.goes_on
        exchange.handler = _Handler(self, exchange)


class _Handler:
    """Answers one request some time after its end."""

    def __init__(self, server: _Server, exchange: http_exchange.ServerExchange) -> None:
        self._server = server
        self._exchange = exchange

    def body_received(self, data: bytes) -> None:
        """Discard a part of the body."""

    def request_ended(self) -> None:
        self._server.ended += 1
        if self._server.streams:
            self._exchange.send_head(http_head.ResponseHead(200, []))
            self._send_parts()
            return
        self._timer = self._server.reactor.callLater(
            self._server.delay_s, self._exchange.respond, 200, self._server.response
        )

    def request_aborted(self) -> None:
        self._server.aborted_at.append(time.monotonic())

    def _send_parts(self) -> None:
        """Send a part of the response, and the rest some time later."""
        self._exchange.send_body(b'part')
        self._timer = self._server.reactor.callLater(self._server.delay_s, self._send_rest)

    def _send_rest(self) -> None:
        self._exchange.send_body(self._server.response)
        self._exchange.finish()

    def response_writes_paused(self, paused: bool) -> None:
        """Ignore backpressure."""


@pytest.fixture
def serve(running_reactor):
    """Yield a function that starts a server."""
    with contextlib.ExitStack() as stack:

        def start(*arguments: float, **named: object) -> _Server:
            server = _Server(running_reactor, *arguments, **named)
            stack.callback(reactor_thread.call, server.port.stopListening)
            return server

        yield start


def _receive_all(connection: socket.socket) -> bytes:
    return b''.join(iter(functools.partial(connection.recv, 65536), b''))


def _final(received: bytes) -> bytes:
    """Return what follows the interim responses."""
    while received.startswith(_CONTINUE):
        received = received.removeprefix(_CONTINUE)
    return received


def _exchange(server: _Server, request: bytes) -> bytes:
    """Send bytes, close the own end and return what comes."""
    with server.connect() as connection:
        connection.sendall(request)
        connection.shutdown(socket.SHUT_WR)
        return _receive_all(connection)


def _reset_on_close(connection: socket.socket) -> None:
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))


def _send_and_leave(server: _Server, request: bytes) -> float:
    """Send bytes, and close the connection as soon as the request has begun; return when."""
    with server.connect() as connection:
        connection.sendall(request)
        reactor_thread.eventually(lambda: server.begun)
    return time.monotonic()


class TestCallerThatReadsOn:
    """Guards against callers that close their end of a connection and get no answer."""

    # LOST: the end of the stream was taken for a caller that has left.
    @pytest.mark.parametrize('request_bytes', [_GET, _OLD_GET, _POST, _CHUNKED])
    def test_request_is_answered(self, serve, request_bytes):
        received = _exchange(serve(), request_bytes)
        assert received.startswith(b'HTTP/1.1 200 ')
        assert received.endswith(b'whole')
        assert b'Connection: close' in received

    def test_request_that_names_the_close_is_answered(self, serve):
        received = _exchange(serve(), b'%bConnection: close\r\n\r\n' % _HEAD)
        assert received.endswith(b'whole')

    def test_requests_sent_ahead_are_all_answered(self, serve):
        received = _exchange(serve(), _GET * 3 + _POST * 2 + _GET)
        assert received.count(b'whole') == 6
        assert received.count(b'Connection: close') == 1

    def test_long_request_is_answered(self, serve):
        received = _exchange(serve(_LONG_S), _GET)
        assert _final(received).startswith(b'HTTP/1.1 200 ')
        assert received.endswith(b'whole')

    def test_long_requests_sent_ahead_are_all_answered(self, serve):
        received = _exchange(serve(_LONG_S), _POST * 2)
        assert received.count(b'whole') == 2

    def test_old_client_is_sent_no_interim_response(self, serve):
        # It might take it for the response. What came of its request is not known.
        server = serve(_LONG_S)
        received = _exchange(server, _OLD_GET)
        assert received.startswith(b'HTTP/1.1 504 ')
        assert len(server.aborted_at) == 1

    # LOST: an answer of the node's own took the place of that of a backend server at work.
    def test_old_client_whose_request_goes_on_is_answered(self, serve):
        server = serve(_LONG_S)
        server.goes_on = True
        received = _exchange(server, _OLD_GET)
        assert received.startswith(b'HTTP/1.1 200 ')
        assert not server.aborted_at

    # Some clients fail on a sixth interim response.
    def test_long_request_has_few_interim_responses(self, serve):
        received = _exchange(serve(6 * _LONG_S), _GET)
        assert received.endswith(b'whole')
        assert received.count(_CONTINUE) == 5

    def test_large_response_is_whole(self, serve):
        # Bytes that were still unsent at the end of the stream were dropped.
        server = serve()
        server.response = bytes(_LARGE_RESPONSE_BYTES)
        with server.connect() as connection:
            connection.sendall(_GET)
            first = connection.recv(1000)
            connection.shutdown(socket.SHUT_WR)
            time.sleep(_SHORT_S)
            received = first + _receive_all(connection)
        assert received.endswith(server.response)

    # LOST: a response that paused for 400 ms was broken off.
    @pytest.mark.parametrize('pause_s', [_SHORT_S, _LONG_S])
    def test_streamed_response_is_whole(self, serve, pause_s):
        server = serve(pause_s)
        server.streams = True
        received = _exchange(server, _GET)
        assert received.endswith(b'\r\n4\r\npart\r\n5\r\nwhole\r\n0\r\n\r\n')

    def test_close_while_the_response_is_sent_ends_the_connection(self, serve):
        server = serve()
        server.response = bytes(_LARGE_RESPONSE_BYTES)
        received = _exchange(server, _GET)
        assert received.endswith(server.response)
        reactor_thread.eventually(server.is_empty)

    def test_stopping_server_answers(self, serve):
        server = serve(_LONG_S)
        with server.connect() as connection:
            connection.sendall(_GET)
            connection.shutdown(socket.SHUT_WR)
            reactor_thread.eventually(lambda: server.begun)
            time.sleep(_SHORT_S)
            reactor_thread.call(server.factory.close_when_idle)
            assert reactor_thread.call(lambda: server.factory.busy_count) == 1
            assert _receive_all(connection).endswith(b'whole')
        reactor_thread.eventually(server.is_empty)


class TestIncompleteRequest:
    """Guards against incomplete requests that are processed, or held for good."""

    @pytest.mark.parametrize('cut', [10, len(_POST) - 2])
    def test_it_is_rejected(self, serve, cut):
        server = serve()
        received = _exchange(server, _POST[:cut])
        assert received.startswith(b'HTTP/1.1 400 ')
        assert server.ended == 0
        reactor_thread.eventually(server.is_empty)

    def test_those_before_it_are_answered(self, serve):
        server = serve()
        received = _exchange(server, _GET * 2 + _POST[:-2])
        assert received.count(b'whole') == 2
        assert b'HTTP/1.1 400 ' in received
        assert server.ended == 2


class TestCallerThatLeft:
    """Guards against work for callers that have left (GONE)."""

    # An interim response meets a reset.
    @pytest.mark.parametrize('request_bytes', [_GET, _POST, _GET * 3, _POST * 3, _OLD_GET])
    def test_request_is_cancelled_in_time(self, serve, request_bytes):
        server = serve(2 * _LONG_S)
        left_at = _send_and_leave(server, request_bytes)
        reactor_thread.eventually(lambda: server.aborted_at)
        assert server.aborted_at[-1] - left_at < _GONE_S
        begun = server.begun
        reactor_thread.eventually(server.is_empty)
        assert server.begun == begun

    def test_caller_that_leaves_a_streamed_response(self, serve):
        # Only the next part of the response can tell.
        server = serve(_LONG_S)
        server.streams = True
        with server.connect() as connection:
            connection.sendall(_GET)
            received = b''
            while not received.endswith(b'part\r\n'):
                received += connection.recv(1000)
        left_at = time.monotonic()
        reactor_thread.eventually(server.is_empty)
        assert time.monotonic() - left_at < _LONG_S + _GONE_S

    # Only the first 250 ms were looked at: a client that left later was answered for in full.
    def test_caller_that_reads_on_and_leaves_later(self, serve):
        server = serve(2 * _LONG_S)
        with server.connect() as connection:
            connection.sendall(_GET)
            connection.shutdown(socket.SHUT_WR)
            assert connection.recv(1000) == _CONTINUE
        left_at = time.monotonic()
        reactor_thread.eventually(server.is_empty)
        assert len(server.aborted_at) == 1
        assert server.aborted_at[0] - left_at < _GONE_S

    # Bytes that were not read, since requests wait, hid the end of the stream or the reset.
    @pytest.mark.parametrize('is_reset', [False, True])
    def test_caller_that_leaves_behind_unread_bytes(self, serve, is_reset):
        server = serve(2 * _LONG_S)
        with server.connect() as connection:
            connection.sendall(_POST * 2)
            reactor_thread.eventually(lambda: server.ended)
            connection.sendall(_POST)
            time.sleep(_SHORT_S)
            if is_reset:
                _reset_on_close(connection)
        left_at = time.monotonic()
        reactor_thread.eventually(server.is_empty)
        assert len(server.aborted_at) == server.begun == 1
        assert server.aborted_at[0] - left_at < _GONE_S

    def test_unread_requests_are_answered_after_the_half_close(self, serve):
        server = serve(_GONE_S)
        with server.connect() as connection:
            connection.sendall(_POST * 2)
            reactor_thread.eventually(lambda: server.ended)
            connection.sendall(_POST)
            connection.shutdown(socket.SHUT_WR)
            assert _receive_all(connection).count(b'whole') == 3
        reactor_thread.eventually(server.is_empty)

    # It was taken for an end of the stream, and looked at 250 ms later.
    def test_reset_of_a_connection_that_is_not_read(self, serve):
        server = serve(2 * _LONG_S)
        with server.connect() as connection:
            connection.sendall(_POST * 2)
            reactor_thread.eventually(lambda: server.ended)
            time.sleep(_SHORT_S)
            _reset_on_close(connection)
        left_at = time.monotonic()
        reactor_thread.eventually(lambda: server.aborted_at)
        assert server.aborted_at[0] - left_at < _GONE_S / 2

    # The reset was looked for once, 50 ms after the probe, and then with the next probe.
    def test_distant_caller_is_noticed_in_time(self, serve):
        server = serve(2 * _LONG_S)
        delay_s = 0.03
        relay = link.Link(reactor_thread.reactor, f'127.0.0.1:{server.port.getHost().port}', 30)
        address = reactor_thread.call(relay.listen, '127.0.0.1:0')
        try:
            with socket.create_connection(address.rsplit(':', 1)) as connection:
                connection.sendall(_GET)
                reactor_thread.eventually(lambda: server.begun)
            left_at = time.monotonic()
            reactor_thread.eventually(lambda: server.aborted_at)
        finally:
            reactor_thread.call(relay.stop)
        assert server.aborted_at[0] - left_at < delay_s + _GONE_S

    def test_reset_cancels_at_once(self, serve):
        server = serve(2 * _LONG_S)
        with server.connect() as connection:
            connection.sendall(_GET)
            reactor_thread.eventually(lambda: server.begun)
            _reset_on_close(connection)
        left_at = time.monotonic()
        reactor_thread.eventually(lambda: server.aborted_at)
        assert server.aborted_at[-1] - left_at < _SHORT_S * 2

    def test_close_of_an_idle_connection_closes_it(self, serve):
        server = serve()
        with server.connect() as connection:
            connection.sendall(_GET)
            reactor_thread.eventually(lambda: server.ended)
            assert connection.recv(1000)
        reactor_thread.eventually(server.is_empty)

    def test_node_that_closes_its_end_has_left(self, serve):
        # Nodes cancel a job by closing its connection; the time to tell the two apart would add up.
        server = serve(2 * _LONG_S, answers_half_closed=False)
        left_at = _send_and_leave(server, _GET)
        reactor_thread.eventually(lambda: server.aborted_at)
        assert server.aborted_at[-1] - left_at < _SHORT_S * 2


class _View:
    """Node of which the operator interface shows some state."""

    def dump(self) -> dict[str, str]:
        return {'state': 'x' * _LARGE_RESPONSE_BYTES}

    def is_serving(self) -> bool:
        return True


def _guard(time_source: clock.Clock) -> client_guard.ClientGuard:
    return client_guard.ClientGuard('operators', memory_account.create(time_source), time_source)


class TestOperatorInterface:
    """Guards against operators' commands that close their end and get no answer."""

    # The unsent response was dropped at the end of the stream, as by `nc -N`.
    @pytest.mark.parametrize('path', [b'/health', b'/state'])
    def test_request_is_answered(self, running_reactor, path):
        site = operator_api.OperatorApi(_View()).site(_guard(clock.SystemClock()))
        port = reactor_thread.call(
            lambda: running_reactor.listenTCP(0, site, interface='127.0.0.1')
        )
        try:
            with socket.create_connection(('127.0.0.1', port.getHost().port)) as connection:
                connection.settimeout(reactor_thread.TIMEOUT_S)
                connection.sendall(b'GET %b HTTP/1.1\r\nHost: a\r\n\r\n' % path)
                connection.shutdown(socket.SHUT_WR)
                received = _receive_all(connection)
        finally:
            reactor_thread.call(port.stopListening)
        assert received.startswith(b'HTTP/1.1 200 ')
        assert received.endswith((b'}\n', b'}\n\r\n0\r\n\r\n'))

    # Guards against connections that are kept without end by bytes that come now and then.
    @pytest.mark.parametrize(
        ('received', 'answered'),
        [(b'GET /health HTTP/1.1\r\nHost', b'HTTP/1.1 408 '), (b'', b'')],
    )
    def test_time_of_clients_is_limited(self, received, answered):
        now = clock.ManualClock(10_000)
        guard = _guard(now)
        guard.limits = client_limits.for_operators(descriptors=0)
        site = operator_api.OperatorApi(_View()).site(guard)
        channel = site.buildProtocol(None)
        transport = test_bad_input.make_transport()
        channel.makeConnection(transport)
        channel.dataReceived(received)
        site.check_clients()
        now.advance(guard.limits.idle_ms + 1)
        site.check_clients()
        assert transport.disconnecting
        assert transport.value().startswith(answered)
        assert bool(transport.value()) is bool(answered)
        channel.connectionLost(failure.Failure(error.ConnectionDone()))
        assert not site.open_channels
