"""Tests of what the parser of requests holds, and of the work that it does for each read."""

from __future__ import annotations

import httptools
import pytest

from anvillug import clock
from anvillug.connection import client_limits, http_server, memory_account, request_parser
from tests import test_bad_input

_MAX_HEAD_BYTES = 512
_START = b'POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n'
_LAST_CHUNK = b'0\r\n'
_CHUNK = b'1\r\na\r\n'
_PIECES = 100


class _Connection:
    """Connection whose requests are recorded, and the account of its memory."""

    def __init__(self, on_request=None) -> None:
        self.account = memory_account.MemoryAccount(1 << 20, clock.ManualClock())
        self.received: list = []
        self.server = http_server.ServerConnection(
            on_request or (lambda exchange: test_bad_input.Recorder(exchange, self.received)),
            _MAX_HEAD_BYTES,
            set(),
            account=self.account,
        )
        self.transport = test_bad_input.make_transport()
        self.server.makeConnection(self.transport)


@pytest.fixture
def connection():
    """Return a connection that has received a head and one chunk."""
    connection = _Connection()
    connection.server.dataReceived(_START)
    return connection


class TestTrailers:
    """Guards against what follows the chunks of a body, or precedes the next one, without end."""

    @pytest.mark.parametrize(
        ('start', 'piece'),
        [
            (b'0\r\nX: ', b'a' * 16),
            (b'0\r\n', b'a' * 16),
            (b'0\r\n', b'a:\r\n' * 4),
            (b'1;a=', b'a' * 16),
            (b'', b'0' * 16),
        ],
        ids=['value', 'name', 'fields', 'extension', 'zeros'],
    )
    def test_stream_without_end_is_rejected(self, connection, start, piece):
        connection.server.dataReceived(start)
        for _ in range(_PIECES):
            connection.server.dataReceived(piece)
            assert connection.account.used_bytes < 2 * _MAX_HEAD_BYTES
        assert connection.transport.value().startswith(b'HTTP/1.1 431 ')
        assert connection.transport.disconnecting
        # The request has not run.
        assert connection.received == ['aborted']
        assert connection.account.used_bytes == 0

    # Guards against a limit that depends on the sizes of reads.
    def test_whole_trailer_over_the_limit_is_rejected(self, connection):
        trailer = b'X: %b\r\n' % (b'a' * _MAX_HEAD_BYTES)
        connection.server.dataReceived(b'%b%b\r\n' % (_LAST_CHUNK, trailer))
        assert connection.transport.value().startswith(b'HTTP/1.1 431 ')

    @pytest.mark.parametrize('size', [1, 7, 1 << 12])
    def test_trailer_within_the_limit_is_ignored(self, connection, size):
        trailer = b'X: %b\r\n' % (b'a' * (_MAX_HEAD_BYTES - 7))
        data = b'%b%b\r\n' % (_LAST_CHUNK, trailer)
        for start in range(0, len(data), size):
            connection.server.dataReceived(data[start : start + size])
        assert connection.received == [(b'/x', b'a')]
        assert connection.account.used_bytes == 0

    # Guards against a second response, which the client would take for that of another request.
    def test_no_response_follows_that_of_an_answered_request(self):
        exchanges = []
        connection = _Connection(exchanges.append)
        connection.server.dataReceived(_START)
        exchanges[0].respond(503)
        connection.server.dataReceived(b'%bX: ' % _LAST_CHUNK)
        connection.server.dataReceived(b'a' * 2 * _MAX_HEAD_BYTES)
        assert connection.transport.value().count(b'HTTP/1.1 ') == 1
        assert connection.transport.disconnecting

    def test_trailer_has_the_time_limit_of_a_head(self, connection):
        assert connection.server.waits_for()[0] is client_limits.Waiting.BODY
        connection.server.dataReceived(b'%bX: ' % _LAST_CHUNK)
        connection.server.dataReceived(b'a' * 100)
        assert connection.server.waits_for()[0] is client_limits.Waiting.HEAD
        connection.server.limit_exceeded(client_limits.Waiting.HEAD)
        assert connection.transport.value().startswith(b'HTTP/1.1 408 ')
        assert connection.received == ['aborted']

    # Guards against a limit on clients that pause after a chunk header.
    def test_chunk_header_has_no_time_limit(self, connection):
        connection.server.dataReceived(b'10\r\n')
        assert connection.server.waits_for()[0] is client_limits.Waiting.BODY


class TestChunksOfOneByte:
    """Guards against bodies that take most of a node's time, since each chunk has a cost."""

    def test_chunks_of_one_read_are_one_part(self, connection):
        parts = []
        connection.server._receiving.exchange.handler.body_received = parts.append  # noqa: SLF001
        connection.server.dataReceived(_CHUNK * 10_000)
        connection.server.dataReceived(_CHUNK * 2)
        assert parts == [b'a' * 10_000, b'aa']

    def test_bodies_of_one_read_stay_apart(self, connection):
        connection.server.dataReceived(b'%b0\r\n\r\n%b%b0\r\n\r\n' % (_CHUNK, _START, _CHUNK * 2))
        assert connection.received == [(b'/x', b'aa'), (b'/x', b'aaa')]

    def test_small_chunks_are_read_in_small_parts(self, connection):
        connection.server.dataReceived(b'1000\r\n%b\r\n' % bytes(1 << 12))
        size = connection.transport.bufferSize
        connection.server.dataReceived(_CHUNK * 1000)
        assert connection.transport.bufferSize * 8 <= size

    # Guards against an exception that ends the read, since parts are passed on after parsing.
    def test_handler_that_fails_is_answered(self, connection):
        connection.server._receiving.exchange.handler.body_received = _fail  # noqa: SLF001
        connection.server.dataReceived(_CHUNK)
        assert connection.transport.value().startswith(b'HTTP/1.1 500 ')
        assert connection.transport.disconnecting


class TestHeadsBehindABody:
    """Guards against heads that are not counted since they begin within a read."""

    def test_large_head_in_one_read(self, connection):
        head = b'GET / HTTP/1.1\r\nX: %b' % (b'a' * (1 << 15))
        connection.server.dataReceived(b'%b\r\n%b' % (_LAST_CHUNK, head))
        assert b'HTTP/1.1 431 ' in connection.transport.value()
        assert connection.transport.disconnecting


def _fail(data: bytes) -> None:
    raise ZeroDivisionError


class _Receiver:
    """Counts requests, and joins their bodies."""

    def __init__(self) -> None:
        self.count = 0
        self.body = b''

    def head_received(self, head) -> None:
        """Expect a head without the offer."""
        assert head.get(b'upgrade') is None

    def body_received(self, data: bytes) -> None:
        """Add a part of a body."""
        self.body += data

    def request_received(self) -> None:
        """Count a request."""
        self.count += 1


class TestOffersOfAnotherProtocol:
    """Guards against work and copies that grow with the square of what one read holds."""

    @pytest.mark.parametrize(
        ('framing', 'body'),
        [
            (b'', b''),
            (b'Content-Length: 0\r\n', b''),
            (b'Content-Length: 2\r\n', b'ab'),
            (b'Transfer-Encoding: chunked\r\n', b'1\r\na\r\n1\r\nb\r\n0\r\nX: y\r\n\r\n'),
        ],
        ids=['none', 'empty', 'length', 'chunks'],
    )
    @pytest.mark.parametrize('lines', [0, 100])
    def test_offers_sent_ahead(self, monkeypatch, framing, body, lines):
        copied_bytes = []
        parsed_bytes = []

        class _Parser(httptools.HttpRequestParser):
            def feed_data(self, data):
                if isinstance(data, bytes):
                    copied_bytes.append(len(data))
                try:
                    super().feed_data(data)
                except httptools.HttpParserUpgrade as upgrade:
                    parsed_bytes.append(upgrade.args[0])
                    raise
                parsed_bytes.append(len(data))

        monkeypatch.setattr(httptools, 'HttpRequestParser', _Parser)
        offer = b'Connection: Upgrade\r\nUpgrade: x\r\n%b' % (b'a:\r\n' * lines)
        request = b'POST /x HTTP/1.1\r\n%b%b\r\n%b' % (offer, framing, body)
        receiver = _Receiver()
        data = request * _PIECES
        request_parser.RequestParser(receiver, 1 << 14).feed(data)
        assert receiver.count == _PIECES
        assert receiver.body == (b'ab' if body else b'') * _PIECES
        assert sum(copied_bytes) <= 2 * len(data)
        assert sum(parsed_bytes) <= 2 * len(data)
