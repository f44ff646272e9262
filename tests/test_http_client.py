"""Tests of client connections over a transport in memory."""

from __future__ import annotations

import contextlib
import itertools
import socket
import struct
import time

import pytest
from hypothesis import given, strategies
from twisted.internet import error
from twisted.internet import testing as twisted_testing
from twisted.python import failure

from anvillug.connection import header_lines, http_client, http_head, http_pool, write_batch
from tests import reactor_thread

_UPLOAD_BYTES = 16 << 20
_CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'


class Recorder:
    """Response handler that records its events."""

    def __init__(self):
        self.events = []
        self.body = b''
        self.headers = []

    def response_continue(self):
        """Record status 100."""
        self.events.append('continue')

    def response_head(self, head):
        """Record the status and the headers, which must not change any more."""
        self.headers = head.headers
        self.events.append(head.status)

    def response_body(self, data):
        """Append to the body."""
        self.body += data

    def response_ended(self):
        """Record the end."""
        self.events.append('ended')

    def response_failed(self, reason):
        """Record the failure."""
        self.events.append(reason)

    def request_writes_paused(self, paused):
        """Record backpressure."""
        self.events.append(f'paused {paused}')


@pytest.fixture
def pool():
    """Return a pool that opens no real connections."""
    return http_pool.Pool(twisted_testing.MemoryReactorClock(), '127.0.0.1', 1)


def connect(pool):
    """Return a connection over a transport in memory."""
    connection = http_client.ClientConnection(pool)
    connection.makeConnection(memory_transport())
    return connection


def memory_transport():
    """Return a transport in memory that accepts the options of a TCP transport."""
    transport = twisted_testing.StringTransport()
    transport.setTcpNoDelay = lambda on: None
    transport.setTcpKeepAlive = lambda on: None
    return transport


def send(connection, method=b'GET'):
    """Send a request and return the recorder of its response."""
    recorder = Recorder()
    connection.request(http_head.RequestHead(method, b'/', [(b'Host', b'x')]), recorder)
    connection.end_request()
    return recorder


def _leave_unused(connection):
    """Send no request on the connection."""


def _ignore():
    """Do nothing."""


class TestReuse:
    """Guards against a reused connection on which a response affects the next exchange."""

    def test_paused_response_leaves_the_connection_reading(self, pool):
        # A slow caller paused the connection just before its response was complete.
        # The connection stayed paused, and the next call never received its response.
        connection = connect(pool)
        send(connection)
        connection.dataReceived(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\na')
        connection.pause_response(paused=True)
        connection.dataReceived(b'b')
        assert connection.transport.producerState == 'producing'
        assert pool.idle_count == 1

    def test_late_pause_of_an_ended_response_is_ignored(self, pool):
        connection = connect(pool)
        send(connection)
        connection.dataReceived(b'HTTP/1.1 204 No Content\r\n\r\n')
        connection.pause_response(paused=True)
        assert connection.transport.producerState == 'producing'

    def test_response_without_a_request_closes_the_connection(self, pool):
        connection = connect(pool)
        send(connection)
        connection.dataReceived(b'HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 200 OK\r\n\r\n')
        assert connection.transport.disconnecting or connection.transport.disconnected

    def test_surplus_response_does_not_reach_a_waiting_request(self, pool):
        # The connection was released while the rest of the received data was parsed.
        # The next request then received the body of the surplus response.
        connection = connect(pool)
        second = Recorder()
        head = http_head.RequestHead(b'GET', b'/2', [(b'Host', b'x')])
        send(connection)
        pool._waiting.append((lambda reused: reused.request(head, second), second.events.clear))  # noqa: SLF001 - as if all connections were busy
        response_head = b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n'
        connection.dataReceived(b'%babc%bxyz' % (response_head, response_head))
        assert (second.events, second.body) == ([], b'')
        assert connection.transport.disconnecting or connection.transport.disconnected

    def test_body_in_a_head_response_prevents_reuse(self, pool):
        connection = connect(pool)
        recorder = send(connection, b'HEAD')
        connection.dataReceived(b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc')
        assert recorder.events == [200, 'ended']
        assert pool.idle_count == 0


class TestCompleteness:
    """Guards against a truncated response that is reported as complete."""

    @pytest.mark.parametrize(
        'head',
        [b'Content-Length: 9\r\n', b'Transfer-Encoding: chunked\r\n'],
    )
    def test_truncated_body_is_a_failure(self, pool, head):
        connection = connect(pool)
        recorder = send(connection)
        connection.dataReceived(b'HTTP/1.1 200 OK\r\n%b\r\n3\r\nabc' % head)
        connection.connectionLost(failure.Failure(error.ConnectionDone()))
        assert recorder.events == [200, http_client.ClientFailure.LOST]

    def test_body_until_a_clean_close_is_complete(self, pool):
        connection = connect(pool)
        recorder = send(connection)
        connection.dataReceived(b'HTTP/1.1 200 OK\r\n\r\nabc')
        connection.connectionLost(failure.Failure(error.ConnectionDone()))
        assert recorder.events == [200, 'ended']
        assert recorder.body == b'abc'

    def test_body_until_a_reset_is_a_failure(self, pool):
        connection = connect(pool)
        recorder = send(connection)
        connection.dataReceived(b'HTTP/1.1 200 OK\r\n\r\nabc')
        connection.connectionLost(failure.Failure(error.ConnectionLost()))
        assert recorder.events == [200, http_client.ClientFailure.LOST]

    def test_head_response_has_no_body(self, pool):
        connection = connect(pool)
        recorder = send(connection, b'HEAD')
        connection.dataReceived(b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n')
        assert recorder.events == [200, 'ended']


class TestSmallChunks:
    """Guards against responses in small chunks that keep the reactor busy."""

    def test_parts_of_a_read_are_forwarded_at_once(self, pool):
        reads = [b'%b%b' % (_CHUNKED, b'1\r\na\r\n' * 100), b'1\r\nb\r\n' * 100, b'0\r\n\r\n']
        parts = []
        assert _receive(pool, reads, parts.append).events == [200, 'ended']
        assert parts == [b'a' * 100, b'b' * 100]

    def test_handler_that_fails_ends_the_request(self, pool):
        recorder = _receive(pool, [b'%b1\r\na\r\n' % _CHUNKED], int)
        assert recorder.events == [200, http_client.ClientFailure.MALFORMED]


class TestPool:
    """Guards against requests that wait forever for a connection."""

    def test_connection_survives_cancelled_waiting_requests(self, pool):
        # Each call cancelled while it waited for a connection closed the next free connection.
        connection = connect(pool)
        first = send(connection)
        acquired = []
        waiting = pool._waiting  # noqa: SLF001 - as if all connections were busy
        waiting.extend(http_pool._Waiter(_leave_unused, _ignore, '') for _ in range(2000))  # noqa: SLF001
        waiting.append(http_pool._Waiter(acquired.append, _ignore, ''))  # noqa: SLF001
        connection.dataReceived(b'HTTP/1.1 204 No Content\r\n\r\n')
        assert first.events == [204, 'ended']
        assert acquired == [connection]
        assert pool.idle_count == 1

    def test_cancelled_connection_does_not_become_idle(self, pool):
        connection = connect(pool)
        send(connection)
        cancelling = http_pool._Waiter(lambda reused: reused.cancel(), _ignore, '')  # noqa: SLF001
        pool._waiting.append(cancelling)  # noqa: SLF001
        connection.transport.abortConnection = _ignore
        connection.dataReceived(b'HTTP/1.1 204 No Content\r\n\r\n')
        assert pool.idle_count == 0

    def test_failed_connect_fails_the_waiting_requests(self):
        reactor = twisted_testing.MemoryReactorClock()
        pool = http_pool.Pool(reactor, '127.0.0.1', 1, max_connections=1)
        failures = []

        def failed():
            failures.append('failed')

        for _ in range(3):
            pool.acquire(failures.append, failed)
        reactor.tcpClients[0][2].clientConnectionFailed(None, None)
        assert failures == ['failed', 'failed', 'failed']


class TestReset:
    """Guards against responses that are cut short by a reset and look complete (MIXED)."""

    # The write had read the error of the socket, so that the next read was a regular end.
    def test_reset_that_a_write_notices_is_a_failure(self, running_reactor):
        with contextlib.closing(socket.create_server(('127.0.0.1', 0))) as listener:
            port = listener.getsockname()[1]
            real_pool = http_pool.Pool(running_reactor, '127.0.0.1', port)
            recorder = Recorder()
            connections = []

            def begin(connection):
                connections.append(connection)
                headers = [(b'Host', b'x'), (b'Transfer-Encoding', b'chunked')]
                connection.request(http_head.RequestHead(b'POST', b'/', headers), recorder)

            reactor_thread.call(real_pool.acquire, begin, _ignore)
            server = listener.accept()[0]
            assert server.recv(1000)
            server.sendall(b'HTTP/1.1 200 OK\r\n\r\npart')
            reactor_thread.eventually(lambda: recorder.body)
            reactor_thread.call(_reset_and_send, server, connections[0])
            reactor_thread.eventually(lambda: len(recorder.events) > 1)
        assert recorder.events == [200, http_client.ClientFailure.LOST]

    # The upload fills the buffers, so that the reset is met by a write or by a read.
    @pytest.mark.parametrize('pause_s', [0, 0.001, 0.02])
    def test_reset_during_an_upload_is_a_failure(self, running_reactor, pause_s):
        with contextlib.closing(socket.create_server(('127.0.0.1', 0))) as listener:
            port = listener.getsockname()[1]
            real_pool = http_pool.Pool(running_reactor, '127.0.0.1', port)
            recorder = Recorder()

            def begin(connection):
                headers = [(b'Host', b'x'), (b'Content-Length', b'%d' % _UPLOAD_BYTES)]
                connection.request(http_head.RequestHead(b'POST', b'/', headers), recorder)
                connection.send_body(bytes(_UPLOAD_BYTES - 1))

            reactor_thread.call(real_pool.acquire, begin, _ignore)
            server = listener.accept()[0]
            assert server.recv(1000)
            server.sendall(b'HTTP/1.1 200 OK\r\n\r\npart')
            time.sleep(pause_s)
            _reset(server)
            reactor_thread.eventually(
                lambda: recorder.events[-1:] in (['ended'], [http_client.ClientFailure.LOST])
            )
        assert 'ended' not in recorder.events


def _reset(server):
    """Reset a connection."""
    server.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
    server.close()


def _reset_and_send(server, connection):
    """Reset a connection, and send on it before anything is read."""
    _reset(server)
    time.sleep(0.05)
    write_batch.BATCH.begin()
    connection.send_body(b'more')
    write_batch.BATCH.end()


class TestHeads:
    """Guards against heads that are none, and against heads without end (MIXED)."""

    @pytest.mark.parametrize('status', [b'000', b'099', b'600', b'999'])
    def test_status_outside_http_is_a_failure_at_once(self, pool, status):
        head = b'HTTP/1.1 %b OK\r\nContent-Length: 0\r\n\r\n' % status
        assert _events_after(pool, [head]) == [http_client.ClientFailure.MALFORMED]

    @pytest.mark.parametrize('part', [b'a:\r\n', b'\r\nHTTP/1.1 102 Processing\r\n'])
    def test_head_without_end_is_a_failure(self, pool, part):
        parts = [b'HTTP/1.1 102 Processing\r\n', part * (http_client.MAX_HEAD_BYTES // len(part))]
        assert _events_after(pool, parts) == [http_client.ClientFailure.MALFORMED]

    # Trailers were collected as headers of the response until the process ran out of memory.
    @pytest.mark.parametrize(
        ('start', 'part'),
        [(b'0\r\n', b'a:\r\n'), (b'0\r\na:', b'a'), (b'1;', b'a'), (b'', b'0')],
        ids=['trailers', 'trailer', 'extension', 'size'],
    )
    def test_framing_without_end_is_a_failure(self, pool, start, part):
        limit = http_client.MAX_FRAMING_BYTES
        parts = [b'%b%b' % (_CHUNKED, start), part * (limit // len(part)), part]
        assert _events_after(pool, parts) == [200, http_client.ClientFailure.MALFORMED]

    def test_framing_of_a_long_body_in_small_chunks_is_no_failure(self, pool):
        limit = http_client.MAX_FRAMING_BYTES
        parts = [_CHUNKED, b'1\r\na\r\n' * limit, b'1\r\na\r\n' * limit, b'0\r\n\r\n']
        assert _events_after(pool, parts) == [200, 'ended']

    # A head of 256 KiB took some 10 MB for each connection, as one object for each value.
    def test_many_header_lines_are_received_in_order(self, pool):
        lines = [(b'a%d' % number, b'%d' % number) for number in range(2000)]
        lines.append((b'Content-Length', b'0'))
        head = b''.join(b'%b: %b\r\n' % line for line in lines)
        parts = [b'HTTP/1.1 200 OK\r\n', head[:9999], head[9999:], b'\r\n']
        recorder = _receive(pool, parts)
        assert isinstance(recorder.headers, header_lines.HeaderLines)
        assert list(recorder.headers) == lines
        assert recorder.events == [200, 'ended']

    def test_trailer_is_no_header(self, pool):
        recorder = _receive(pool, [_CHUNKED, b'0\r\nExtra: 1\r\n\r\n'])
        assert recorder.headers == [(b'Transfer-Encoding', b'chunked')]

    @given(
        status=strategies.sampled_from([b'000', b'099', b'600', b'999', b'200']),
        cuts=strategies.lists(strategies.integers(0, 60)),
        end=strategies.sampled_from([error.ConnectionDone(), error.ConnectionLost()]),
    )
    def test_splits_and_ends_do_not_make_a_response_complete(self, status, cuts, end):
        data = b'HTTP/1.1 %b OK\r\n\r\npart of a body' % status
        bounds = sorted({0, len(data), *(cut for cut in cuts if cut < len(data))})
        connection = connect(http_pool.Pool(twisted_testing.MemoryReactorClock(), '127.0.0.1', 1))
        recorder = send(connection, b'POST')
        for start, stop in itertools.pairwise(bounds):
            connection.dataReceived(data[start:stop])
            if status != b'200' and recorder.events:
                break
        connection.connectionLost(failure.Failure(end))
        is_complete = status == b'200' and isinstance(end, error.ConnectionDone)
        assert ('ended' in recorder.events) is is_complete
        assert (200 in recorder.events) is (status == b'200')


def _events_after(pool, parts):
    """Return the events of a request after these parts of its response."""
    return _receive(pool, parts).events


def _receive(pool, parts, on_body=None):
    """Return the recorder of a request after these parts of its response."""
    connection = connect(pool)
    recorder = send(connection)
    recorder.response_body = on_body or recorder.response_body
    for part in parts:
        connection.dataReceived(part)
    return recorder
