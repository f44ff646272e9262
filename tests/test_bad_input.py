"""Tests of malformed input to an HTTP server connection and to a running node."""

from __future__ import annotations

import contextlib
import json
import re
import socket
import subprocess
import time
from http import client

import pytest
from hypothesis import given, strategies
from twisted.internet import testing

from anvillug.bench import processes
from anvillug.connection import http_exchange, http_head, http_server

_SERVICE = 'drawbook'
_TIMEOUT_S = 5
_START_TIMEOUT_S = 30
_MAX_HEAD_BYTES = 65536


class Recorder:
    """Handler that collects the body and responds with it at the end of the request."""

    def __init__(self, exchange: http_exchange.ServerExchange, received: list) -> None:
        self._exchange = exchange
        self._received = received
        self._body = b''
        exchange.handler = self

    def body_received(self, data: bytes) -> None:
        self._body += data

    def request_ended(self) -> None:
        self._received.append((self._exchange.head.target, self._body))
        self._exchange.respond(200, self._body)

    def request_aborted(self) -> None:
        self._received.append('aborted')

    def response_writes_paused(self, paused: bool) -> None:
        """Ignore backpressure."""


class _Transport(testing.StringTransport):
    """String transport with the TCP methods that connections call."""

    def __init__(self) -> None:
        super().__init__()
        self.aborted = False

    def setTcpKeepAlive(self, on):  # noqa: N802
        """Ignore keep-alive."""

    def setTcpNoDelay(self, enabled):  # noqa: N802
        """Ignore the option."""

    def abortConnection(self):  # noqa: N802
        self.aborted = True


def make_transport() -> _Transport:
    """Return a transport that records what is written."""
    return _Transport()


def make_connection(on_request=None, max_head_bytes: int = _MAX_HEAD_BYTES):
    """Return a server connection, its transport, and what its requests were."""
    received: list = []
    started = on_request or (lambda exchange: Recorder(exchange, received))
    connection = http_server.ServerConnection(started, max_head_bytes, set())
    transport = _Transport()
    connection.makeConnection(transport)
    return connection, transport, received


_UPGRADE = b'Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMA\r\n'


def _encode(path: str, body: bytes, *, chunked: bool, upgrades: bool = False) -> bytes:
    line = f'POST /{path} HTTP/1.1\r\nHost: a\r\n'.encode()
    if upgrades:
        line += _UPGRADE
    if chunked:
        data = http_head.chunk(body) if body else b''
        return b'%bTransfer-Encoding: chunked\r\n\r\n%b0\r\n\r\n' % (line, data)
    return b'%bContent-Length: %d\r\n\r\n%b' % (line, len(body), body)


_REQUESTS = strategies.lists(
    strategies.tuples(
        strategies.text('abc', max_size=5),
        strategies.binary(max_size=60),
        strategies.booleans(),
        strategies.booleans(),
    ),
    min_size=1,
    max_size=5,
)


class TestServerConnection:
    """Guards against parsing that depends on packet boundaries, and against uncaught exceptions."""

    @given(requests=_REQUESTS, cuts=strategies.lists(strategies.integers(0, 900)))
    def test_splits_do_not_change_requests(self, requests, cuts):
        stream = b''.join(
            _encode(path, body, chunked=chunked, upgrades=upgrades)
            for path, body, chunked, upgrades in requests
        )
        connection, transport, received = make_connection()
        boundaries = sorted({0, len(stream), *(cut % len(stream) for cut in cuts)})
        for start, end in zip(boundaries, boundaries[1:], strict=False):
            connection.dataReceived(stream[start:end])
        assert received == [(f'/{path}'.encode(), body) for path, body, *_ in requests]
        assert transport.value().count(b'HTTP/1.1 200 OK') == len(requests)

    @given(
        pieces=strategies.lists(
            strategies.one_of(
                strategies.binary(max_size=80),
                strategies.sampled_from(
                    [
                        b'GET / HTTP/1.1\r\n',
                        b'POST /a HTTP/1.0\r\n',
                        b'Content-Length: 3\r\n',
                        b'Transfer-Encoding: chunked\r\n',
                        b'Connection: upgrade\r\nUpgrade: x\r\n',
                        b'\r\n',
                        b'3\r\nabc\r\n',
                        b'0\r\n\r\n',
                        _encode('whole', b'abc', chunked=True),
                    ],
                ),
            ),
        ),
    )
    def test_arbitrary_bytes_never_raise(self, pieces):
        connection, _transport, _received = make_connection()
        for piece in pieces:
            connection.dataReceived(piece)
        connection.connectionLost()

    # Guards against status 400 for clients that offer another protocol, as some do for HTTP/2.
    @pytest.mark.parametrize('version', [b'1.0', b'1.1'])
    def test_offer_of_another_protocol_is_ignored(self, version):
        exchanges = []
        connection, transport, _received = make_connection(exchanges.append)
        connection.dataReceived(b'GET / HTTP/%b\r\nHost: a\r\n%b\r\n' % (version, _UPGRADE))
        assert exchanges[0].head.get(b'upgrade') is None
        assert exchanges[0].head.supports_chunked is (version == b'1.1')
        exchanges[0].respond(200)
        assert transport.value().startswith(b'HTTP/1.1 200 OK')
        assert transport.disconnecting is (version == b'1.0')

    # Guards against a limit that an offer of another protocol evades.
    def test_large_head_with_an_offer_is_rejected(self):
        connection, transport, received = make_connection(max_head_bytes=200)
        padding = b'X: %b\r\n' % (b'x' * 300)
        connection.dataReceived(b'GET / HTTP/1.1\r\nHost: a\r\n%b%b\r\n' % (_UPGRADE, padding))
        assert transport.value().startswith(b'HTTP/1.1 431 ')
        assert not received

    def test_malformed_bytes_do_not_abort_the_previous_request(self):
        exchanges = []
        connection, transport, _received = make_connection(exchanges.append)
        connection.dataReceived(b'GET /one HTTP/1.1\r\nHost: a\r\n\r\n\x00nonsense\r\n\r\n')
        assert not transport.value()
        exchanges[0].respond(200, b'whole')
        responses = transport.value()
        assert responses.startswith(b'HTTP/1.1 200 OK')
        assert b'whole' in responses
        assert b'HTTP/1.1 400 ' in responses
        assert transport.disconnecting

    def test_malformed_chunk_during_the_response_aborts(self):
        exchanges = []
        connection, transport, _received = make_connection(exchanges.append)
        connection.dataReceived(b'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n')
        exchanges[0].send_head(http_head.ResponseHead(200, []))
        connection.dataReceived(b'zz\r\n')
        assert transport.aborted
        assert not transport.value().endswith(http_head.LAST_CHUNK)

    def test_many_pipelined_requests_do_not_recurse(self):
        exchanges = []

        def respond_to_all_but_the_first(exchange):
            exchanges.append(exchange)
            if len(exchanges) > 1:
                exchange.respond(404)

        connection, transport, _received = make_connection(respond_to_all_but_the_first)
        connection.dataReceived(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n' * 2000)
        exchanges[0].respond(200)
        assert len(exchanges) == 2000
        assert transport.value().count(b'HTTP/1.1 404 ') == 1999

    def test_trailers_are_not_headers(self):
        exchanges = []
        connection, _transport, _received = make_connection(exchanges.append)
        connection.dataReceived(
            b'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'0\r\nIdempotency-Key: late\r\n\r\n',
        )
        assert exchanges[0].head.get(b'idempotency-key') is None

    # Guards against a close after the rejection of a request that has arrived completely.
    def test_rejection_of_a_complete_request_keeps_the_connection(self):
        connection, transport, _received = make_connection(lambda exchange: exchange.respond(503))
        connection.dataReceived(b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab' * 2)
        assert transport.value().count(b'503') == 2
        assert b'Connection: close' not in transport.value()

    def test_early_response_announces_the_close(self):
        connection, transport, _received = make_connection(lambda exchange: exchange.respond(503))
        connection.dataReceived(b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nab')
        assert b'Connection: close' in transport.value()
        # Closing with unread bytes would reset the connection and lose the response.
        assert not transport.disconnecting
        connection.dataReceived(b'cde')
        assert transport.disconnecting

    def test_lingering_close_reads_a_bounded_number_of_bytes(self):
        connection, transport, _received = make_connection(lambda exchange: exchange.respond(503))
        length = 2 * http_server.MAX_DISCARDED_BODY_BYTES
        head = b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n' % length
        connection.dataReceived(head)
        connection.dataReceived(bytes(http_server.MAX_DISCARDED_BODY_BYTES))
        assert not transport.disconnecting
        connection.dataReceived(b'x')
        assert transport.disconnecting

    def test_head_above_the_limit_is_rejected(self):
        connection, transport, received = make_connection(max_head_bytes=100)
        connection.dataReceived(b'GET / HTTP/1.1\r\n')
        connection.dataReceived(b'X: %b' % (b'y' * 100))
        assert transport.value().startswith(b'HTTP/1.1 431 ')
        assert not received

    def test_complete_head_above_the_limit_is_rejected(self):
        connection, transport, received = make_connection(max_head_bytes=100)
        connection.dataReceived(b'POST / HTTP/1.1\r\nContent-Length: 0\r\n')
        connection.dataReceived(b'X: %b\r\n\r\n' % (b'y' * 100))
        assert transport.value().startswith(b'HTTP/1.1 431 ')
        assert not received

    def test_head_limit_does_not_count_the_body(self):
        connection, _transport, received = make_connection(max_head_bytes=100)
        connection.dataReceived(_encode('a', b'b' * 200, chunked=False))
        assert received == [(b'/a', b'b' * 200)]


class _Node:
    """A running node with a log and a backend server."""

    def __init__(self, folder, group: list[processes.ChildProcess]) -> None:
        log = processes.start(['standin', 'log'], group)
        log_address = log.wait_for_event()['address']
        listeners = processes.free_addresses(4)
        self.caller = listeners[0]
        self.operator = listeners[3]
        self.process = _start_node(folder, listeners, log_address, group)
        patch = {'services': {_SERVICE: {'version': 'v1'}}}
        (folder / 'patch.json').write_text(json.dumps(patch))
        arguments = ['patch', str(folder / 'patch.json'), '--base', '0', '--log', log_address]
        self.patch_result = subprocess.run(  # noqa: S603
            [*processes.PROGRAM, *arguments],
            capture_output=True,
            text=True,
            timeout=_START_TIMEOUT_S,
            check=False,
        )
        options = ['--service', _SERVICE, '--announce-address', self.operator]
        processes.start(['standin', 'backend-server', *options], group)
        deadline = time.monotonic() + _START_TIMEOUT_S
        while not self.send_raw(_request('GET /x HTTP/1.1')).startswith(b'HTTP/1.1 200'):
            assert time.monotonic() < deadline, 'the backend server does not respond'
            time.sleep(processes.POLL_S)

    def send_raw(self, data: bytes) -> bytes:
        """Send bytes to the caller address and return all that is received until it closes."""
        host, _, port = self.caller.rpartition(':')
        with socket.create_connection((host, int(port)), timeout=_TIMEOUT_S) as connection:
            connection.sendall(data)
            received = []
            with contextlib.suppress(ConnectionResetError):
                while piece := connection.recv(65536):
                    received.append(piece)
        return b''.join(received)

    def send_operator_request(self, method: str, path: str, body: bytes = b'') -> tuple[int, str]:
        """Send a request to the operator address."""
        connection = client.HTTPConnection(self.operator, timeout=_TIMEOUT_S)
        with contextlib.closing(connection):
            connection.request(method, path, body)
            response = connection.getresponse()
            return response.status, response.read().decode()


def _start_node(folder, listeners, log_address: str, group) -> processes.ChildProcess:
    kinds = ('caller', 'peer', 'control', 'operator')
    settings = {
        'host_id': 'host-1',
        'region': 'south',
        'zone': 'kochi-1',
        **{f'{kind}_address': address for kind, address in zip(kinds, listeners, strict=True)},
        'log_address': log_address,
    }
    path = folder / 'settings.json'
    path.write_text(json.dumps(settings))
    process = processes.ChildProcess(['node', str(path)])
    group.append(process)
    process.wait_for_event('node_started')
    return process


def _request(line: str, *headers: str, body: bytes = b'', host: str = _SERVICE) -> bytes:
    all_headers = [*([f'Host: {host}'] if host else []), *headers, 'Connection: close']
    return '\r\n'.join([line, *all_headers, '', '']).encode() + body


@pytest.fixture(scope='module')
def node(tmp_path_factory):
    """Yield a node shared by the tests of this module."""
    with processes.group() as group:
        yield _Node(tmp_path_factory.mktemp('node'), group)


class TestCallers:
    """Guards against malformed requests that hang, get unclear responses or crash the node."""

    @pytest.mark.parametrize(
        ('data', 'status', 'message'),
        [
            (b'\x00\x01\x02\r\n\r\n', 400, 'malformed HTTP request'),
            (_request('GET /x HTTP/1.1', f'X-Long: {"x" * 70_000}'), 431, 'exceeds 65536 bytes'),
            (_request('GET /x HTTP/1.1', host='nothing.local'), 404, "service 'nothing'"),
            (_request('GET /x HTTP/1.1', host=''), 400, 'header Host: missing'),
            (
                _request('GET /x HTTP/1.1', 'Anvillug-Deadline-Ms: soon'),
                400,
                "header anvillug-deadline-ms: 'soon' is not a whole number",
            ),
            (
                _request('GET /x HTTP/1.1', f'Anvillug-Depth: {"9" * 400}'),
                400,
                'header anvillug-depth: ',
            ),
            (_request('GET /x HTTP/1.1', 'Anvillug-Depth: 27'), 400, '27 exceeds 26'),
            (_request('POST /x HTTP/1.1', 'Content-Length: many'), 400, 'Content-Length'),
            (_request('POST /x HTTP/1.1', 'Content-Length: -1'), 400, 'Content-Length'),
            (
                _request(
                    'POST /x HTTP/1.1',
                    'Content-Length: 3',
                    'Transfer-Encoding: chunked',
                    body=b'0\r\n\r\n',
                ),
                400,
                'Content-Length',
            ),
            (
                _request('POST /x HTTP/1.1', 'Transfer-Encoding: chunked', body=b'zz\r\n'),
                400,
                'malformed HTTP request',
            ),
            (_request('GET /x HTTP/1.1', 'Upgrade: websocket'), 200, 'GET'),
            (_request('GET /x HTTP/1.1', 'Connection: upgrade', 'Upgrade: h2c'), 200, 'GET'),
            (
                _request(
                    'POST /x HTTP/1.1',
                    'Connection: Upgrade',
                    'Upgrade: h2c',
                    'Content-Length: 3',
                    body=b'abc',
                ),
                200,
                'POST',
            ),
            (_request('CONNECT /x HTTP/1.1'), 400, 'method CONNECT: not supported'),
        ],
    )
    def test_status_and_message(self, node, data, status, message):
        response = node.send_raw(data)
        assert response.startswith(b'HTTP/1.1 %d ' % status), response[:300]
        assert message.encode() in response
        assert node.send_raw(_request('GET /x HTTP/1.1')).startswith(b'HTTP/1.1 200')

    def test_http10_caller_receives_no_chunks_and_a_close(self, node):
        response = node.send_raw(
            b'GET /x HTTP/1.0\r\nHost: drawbook\r\nConnection: keep-alive\r\n\r\n'
        )
        head, _, body = response.partition(b'\r\n\r\n')
        assert head.startswith(b'HTTP/1.1 200 OK')
        assert b'transfer-encoding' not in head.lower()
        assert b'Connection: close' in head
        assert body
        assert b'\r\n0\r\n' not in body

    def test_responses_to_pipelined_requests_are_in_order(self, node):
        first = b'GET /one HTTP/1.1\r\nHost: drawbook\r\n\r\n'
        second = b'GET /two HTTP/1.1\r\nHost: nothing\r\n\r\n'
        response = node.send_raw(first + second + first + _request('GET /end HTTP/1.1'))
        assert re.findall(rb'HTTP/1\.1 (\d+)', response) == [b'200', b'404', b'200', b'200']


class TestOperators:
    """Guards against invalid announcements and patches that are accepted or reported unclearly."""

    def test_invalid_announcement_is_rejected_with_each_field(self, node):
        status, text = node.send_operator_request(
            'POST', '/announce', b'{"service": "", "slots": "ten"}'
        )
        assert status == 400
        for field in ('service', 'slots', 'version', 'address'):
            assert f'announcement: {field}: ' in text

    def test_announcement_that_is_not_json_is_rejected(self, node):
        status, text = node.send_operator_request('POST', '/announce', b'\xff nonsense')
        assert status == 400
        assert 'announcement: Invalid JSON' in text

    # Guards against a fault in the text, as if the part within the limit were all.
    def test_large_announcement_is_rejected(self, node):
        status, text = node.send_operator_request('POST', '/announce', b'{%s}' % (b' ' * 16_384))
        assert (status, 'announcement: exceeds 16384 bytes' in text) == (413, True)

    def test_unknown_path_and_wrong_method_are_rejected(self, node):
        assert node.send_operator_request('GET', '/stat')[0] == 404
        assert node.send_operator_request('GET', '/drain')[0] == 405
        assert node.send_operator_request('GET', '/health')[0] == 200

    def test_valid_patch_was_accepted(self, node):
        assert node.patch_result.stdout == 'accepted number=1\n'
        assert node.patch_result.returncode == 0

    def test_node_starts_while_the_log_is_unreachable(self, tmp_path):
        with processes.group() as group:
            *listeners, unused_address = processes.free_addresses(5)
            process = _start_node(tmp_path, listeners, unused_address, group)
            event = process.wait_for_event('config_log_failed')
            assert 'refused' in event['failure']
            assert process.running
