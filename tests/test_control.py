"""Tests of the control protocol between nodes, over real connections."""

from __future__ import annotations

import contextlib
import dataclasses
import queue
import socket
import threading
import time

import pytest
from twisted.internet import defer

from anvillug import ids
from anvillug.connection import control_client, control_messages, control_server
from anvillug.process import membership
from anvillug.request import quarantine
from anvillug.version import verdict_set
from tests import test_membership

NEWS = control_messages.News(
    sender=ids.HostId('host-1'),
    incarnation=ids.Incarnation(1_700_000_000_000),
    config_number=ids.ConfigNumber(7),
    digest=2**64 - 1,
    members=tuple(test_membership.make_member(index) for index in range(3)),
    verdicts=(verdict_set.VerdictNotice(test_membership.SERVICE, 'v2', 3, 'failures'),),
    quarantine=(quarantine.QuarantineEntry(ids.Fingerprint('f'), ('a.1', 'b.1'), 5_000, 6_000),),
    evidence=(b'summary',),
)
REQUEST = control_messages.Request(NEWS, True, tuple(range(membership.BUCKET_COUNT)))
REPLY = control_messages.Reply(NEWS, b'{}', True)


def reply_to_any(request):
    """Return `REPLY` for any request."""
    return REPLY


def fail(request):
    """Raise an error, as a faulty handler does."""
    raise ArithmeticError('handler fault')


class FakeReactor:
    """Queues calls from other threads, and runs them when the test requests it."""

    def __init__(self):
        self.calls = queue.Queue()

    def callFromThread(self, call, *args):  # noqa: N802
        """Queue a call."""
        self.calls.put((call, args))

    def run_until(self, result: defer.Deferred):
        """Run queued calls until the result has fired, and return its value."""
        results = []
        result.addBoth(results.append)
        end = time.monotonic() + 10
        while not results and time.monotonic() < end:
            try:
                call, args = self.calls.get(timeout=0.1)
            except queue.Empty:
                continue
            call(*args)
        return results[0]

    def run_for(self, seconds: float):
        """Run queued calls for a time in seconds."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            with contextlib.suppress(queue.Empty):
                call, args = self.calls.get(timeout=0.1)
                call(*args)


@pytest.fixture
def reactor():
    """Return the reactor shared by client and server."""
    return FakeReactor()


@pytest.fixture
def client(reactor):
    """Yield a client with a short deadline."""
    test_client = control_client.ControlClient(reactor, deadline_ms=500, max_channels=2)
    yield test_client
    test_client.close()


@pytest.fixture
def start(reactor):
    """Yield a function that starts a server; servers are stopped at the end of the test."""
    servers = []

    def start_server(handler, timeout_ms: float = 400) -> str:
        server = control_server.ControlServer(reactor, handler, timeout_ms)
        servers.append(server)
        return f'127.0.0.1:{server.start("127.0.0.1:0")}'

    yield start_server
    for server in servers:
        server.stop()


class SlowConnect:
    """Forwards one connection to a server, beginning some time after it was opened."""

    def __init__(self, address: str, delay_s: float) -> None:
        host, _, port = address.rpartition(':')
        self._target = (host, int(port))
        self._delay_s = delay_s
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.address = f'127.0.0.1:{self._listener.getsockname()[1]}'
        threading.Thread(target=self._forward, daemon=True).start()

    def _forward(self) -> None:
        client, _ = self._listener.accept()
        time.sleep(self._delay_s)
        server = socket.create_connection(self._target)
        for source, sink in ((client, server), (server, client)):
            threading.Thread(target=_copy, args=(source, sink), daemon=True).start()
        self._listener.close()


def _copy(source: socket.socket, sink: socket.socket) -> None:
    with contextlib.suppress(OSError):
        while data := source.recv(65536):
            sink.sendall(data)
        sink.shutdown(socket.SHUT_WR)


class TestExchange:
    """Guards against messages that change in transit or are handled in another thread."""

    def test_round_trip(self, reactor, client, start):
        received = []

        def handler(request):
            received.append(request)
            return defer.succeed(REPLY)

        result = client.exchange(start(handler), REQUEST)
        assert reactor.run_until(result) == REPLY
        assert received == [REQUEST]
        assert client.bytes_sent > 2_000
        assert client.bytes_received > 100

    def test_refused_connection_fails_the_exchange(self, reactor, client):
        with socket.create_server(('127.0.0.1', 0)) as listener:
            address = f'127.0.0.1:{listener.getsockname()[1]}'
        failure = reactor.run_until(client.exchange(address, REQUEST))
        assert failure.value.reason == 'unavailable'

    def test_timeout_fails_the_exchange_and_removes_its_channel(self, reactor, client):
        with socket.create_server(('127.0.0.1', 0)) as listener:
            address = f'127.0.0.1:{listener.getsockname()[1]}'
            failure = reactor.run_until(client.exchange(address, REQUEST))
        assert isinstance(failure.value, control_client.ExchangeError)
        assert not client.open_channel_count()

    @pytest.mark.parametrize('handler', [lambda _: defer.Deferred(), fail])
    def test_handler_without_reply_fails_the_exchange(self, reactor, client, start, handler):
        failure = reactor.run_until(client.exchange(start(handler), REQUEST))
        assert failure.value.reason in {'unavailable', 'internal'}

    # The client's limit of 500 ms includes opening the connection.
    @pytest.mark.parametrize('delay_s', [0.15, 0.25])
    def test_reason_arrives_over_a_slow_connection(self, reactor, client, start, delay_s):
        link = SlowConnect(start(lambda _: defer.Deferred()), delay_s)
        failure = reactor.run_until(client.exchange(link.address, REQUEST))
        assert failure.value.reason == 'unavailable'

    def test_malformed_request_is_rejected(self, reactor, client, start):
        address = start(reply_to_any)
        too_few_digests = dataclasses.replace(REQUEST, bucket_digests=(1, 2))
        failure = reactor.run_until(client.exchange(address, too_few_digests))
        assert failure.value.reason == 'invalid_argument'


class TestBounds:
    """Guards against memory use that grows with the number of peers or their messages."""

    def test_number_of_channels_is_limited(self, reactor, client, start):
        for _ in range(4):
            assert reactor.run_until(client.exchange(start(reply_to_any), REQUEST)) == REPLY
        assert client.open_channel_count() == 2

    def test_busy_channel_is_closed_only_after_its_reply(self, reactor, client, start):
        addresses = [start(reply_to_any) for _ in range(4)]
        results = [client.exchange(address, REQUEST) for address in addresses]
        assert [reactor.run_until(result) for result in results] == [REPLY for _ in addresses]

    def test_sent_messages_are_truncated(self):
        many = tuple(test_membership.make_member(0) for _ in range(3_000))
        news = dataclasses.replace(NEWS, members=many, evidence=(bytes(20_000), b'x'))
        message = control_messages.request_to_wire(control_messages.Request(news))
        parsed = control_messages.request_from_wire(message).news
        assert len(parsed.members) == control_messages.MAX_MEMBERS
        assert parsed.evidence == (b'x',)

    def test_too_large_messages_are_rejected(self):
        message = control_messages.request_to_wire(REQUEST)
        message.news.evidence.extend(b'x' for _ in range(100))
        with pytest.raises(control_messages.MalformedError, match='evidence'):
            control_messages.request_from_wire(message)

    def test_malformed_member_records_are_skipped(self):
        message = control_messages.request_to_wire(REQUEST)
        message.news.members[0].state = 9
        message.news.members[1].service = 'x' * 600
        assert len(control_messages.request_from_wire(message).news.members) == 1
