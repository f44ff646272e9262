"""Load on a host whose node gets the processor late again and again, without a network."""

from __future__ import annotations

import heapq
import itertools
import random
import socket
import statistics
import time

import pytest
from twisted.internet import protocol

from anvillug.connection import arrival, http_head
from anvillug.process import host_side
from tests import reactor_thread, test_host_side

_SLOTS = 20
# The limit of a backend server starts at one call, and few calls come meanwhile.
_WARM_MS = 3000
_WARM_PER_SECOND = 60
_END_MS = 20_000
_WORK_MS = 8
# The node runs for this long, and then waits for the processor.
_RUNNING_MS = 10
_MIN_WHOLE_SHARE = 0.99
# The kernel tells the age of data in units of this length, and begun ones count.
_UNIT_MS = 4


class _Backend:
    """Backend server whose responses wait until the node runs."""

    idle_count = _SLOTS

    def __init__(self, now, seed: int, waiting_ms: float) -> None:
        self.responses = []
        self._now = now
        self._rng = random.Random(seed)
        self._waiting_ms = waiting_ms
        self._numbers = itertools.count()

    def acquire(self, ready, failed) -> None:
        """Hand out a connection."""
        ready(_Connection(self))

    def add(self, connection, handler) -> None:
        """Run a call."""
        done_at = self._now() + _WORK_MS * self._rng.uniform(0.8, 1.3)
        read_at = self.read_at(done_at)
        connection.waited_ms = max(0.0, (read_at - done_at) // _UNIT_MS * _UNIT_MS - _UNIT_MS)
        heapq.heappush(self.responses, (read_at, next(self._numbers), handler))

    def read_at(self, arrived_at: float) -> float:
        """Return when the node reads what arrives at a time."""
        turn_ms = _RUNNING_MS + self._waiting_ms
        into_turn_ms = arrived_at % turn_ms
        return arrived_at + (turn_ms - into_turn_ms if into_turn_ms > _RUNNING_MS else 0)


class _Connection:
    """Connection to the backend server."""

    waited_ms = 0.0

    def __init__(self, backend: _Backend) -> None:
        self._backend = backend

    def request(self, head, handler) -> None:
        """Run the call of a request."""
        self._backend.add(self, handler)

    def end_request(self) -> None:
        """Do nothing."""


class _Exchange(test_host_side.FakeExchange):
    """Exchange that counts calls that are answered."""

    is_whole = False
    is_counted = False

    def finish(self) -> None:
        """Note the answer."""
        self.is_whole = True


def _play(per_second: int, waiting_ms: float) -> float:
    """Return the share of the calls that are answered once the host is warm."""
    bench = test_host_side.HostSideBench()
    host: host_side.HostSide = bench.host_side
    backend = _Backend(host.clock.now, per_second, waiting_ms)
    host._pool = backend  # noqa: SLF001 - the other one needs a network
    host.concurrency.resize(_SLOTS)
    host.admission.has_backend = True
    rng = random.Random(per_second)
    arrived_at = 0.0
    exchanges = []
    while arrived_at < _END_MS:
        is_warm = arrived_at >= _WARM_MS
        arrived_at += rng.expovariate((per_second if is_warm else _WARM_PER_SECOND) / 1000)
        _respond_until(backend, bench, backend.read_at(arrived_at))
        headers = test_host_side.call_headers(len(exchanges), bench.number)
        exchange = _Exchange(http_head.RequestHead(b'POST', b'/revisions', headers))
        exchanges.append(exchange)
        exchange.is_counted = is_warm
        host.request_received(exchange)
        exchange.handler.request_ended()
    _respond_until(backend, bench, backend.read_at(arrived_at + 1000))
    return statistics.mean(exchange.is_whole for exchange in exchanges if exchange.is_counted)


def _respond_until(backend: _Backend, bench, end: float) -> None:
    while backend.responses and backend.responses[0][0] <= end:
        read_at, _, handler = heapq.heappop(backend.responses)
        _advance(bench, read_at)
        handler.response_head(http_head.ResponseHead(200, []))
        handler.response_ended()
    _advance(bench, end)


def _advance(bench, now: float) -> None:
    elapsed_ms = max(0.0, now - bench.host_side.clock.now())
    bench.host_side.clock.advance(elapsed_ms)
    bench.reactor.advance(elapsed_ms / 1000)


class TestLateEventLoop:
    """Guards against calls that are rejected since the node itself is slow to read answers."""

    # The delay of the node counted as latency of the backend server, whose limit fell to one call.
    @pytest.mark.parametrize('per_second', [80, 300])
    @pytest.mark.parametrize('waiting_ms', [0, 15, 30])
    def test_calls_that_the_backend_server_can_take_are_answered(self, per_second, waiting_ms):
        assert _play(per_second, waiting_ms) >= _MIN_WHOLE_SHARE


class _Receiver(protocol.Protocol):
    """Reads late, and notes for how long the data had waited."""

    waited_ms: float | None = None

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Note how long the data had waited; see Twisted."""
        self.waited_ms = arrival.waited_ms(self.transport)


class TestArrival:
    """Guards against a delay of this process that is taken for one of its peer."""

    @pytest.mark.parametrize('late_s', [0, 0.1, 0.3])
    def test_delay_of_the_reader(self, running_reactor, late_s):
        receiver = _Receiver()
        factory = protocol.Factory.forProtocol(lambda: receiver)
        port = reactor_thread.call(lambda: running_reactor.listenTCP(0, factory))
        with socket.create_connection(('127.0.0.1', port.getHost().port)) as connection:
            reactor_thread.eventually(lambda: receiver.transport)

            def send_and_stand_still() -> None:
                connection.sendall(b'x')
                time.sleep(late_s)

            began_at_s = time.monotonic()
            reactor_thread.call(send_and_stand_still)
            reactor_thread.eventually(lambda: receiver.waited_ms is not None)
            took_s = time.monotonic() - began_at_s
        reactor_thread.call(port.stopListening)
        # The kernel's unit is 10 ms at most.
        assert 1000 * late_s - 20 <= receiver.waited_ms <= 1000 * took_s

    def test_unknown_delay_is_zero(self):
        assert arrival.waited_ms(test_host_side.twisted_testing.StringTransport()) == 0
