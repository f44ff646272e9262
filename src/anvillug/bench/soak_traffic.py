"""Callers and backend servers of a soak.

Callers keep their connections open and use them until the process at the other end is gone.
"""

from __future__ import annotations

import dataclasses
import itertools
import random
from typing import Any

from anvillug import clock
from anvillug.bench import soak_records
from anvillug.connection import http_client, http_exchange, http_head, http_listener, http_pool
from anvillug.standin import platform_backend

HOST = 'soak.example'
"""Host of all routes."""

_ATTEMPT_ID = b'Anvillug-Attempt-Id'
_SEAL = (b'Anvillug-Server-Seal', b'seal')
_SEAL_NAME = b'anvillug-server-seal'
_STATUS_OK = 200
_STATUS_OTHER_INSTANCE = 421
_STATUS_FULL = 503
_HEALTH_PATH = b'/health'
_MAX_QUEUED = 4


@dataclasses.dataclass(frozen=True, slots=True)
class RequestClass:
    """One kind of request of the traffic table."""

    route: str
    """Name and path prefix of the route."""
    kind: str
    """Kind of the route, as the configuration names it."""
    service: str
    """Service that runs the requests."""
    per_second: float
    """Requests a second, over all nodes."""
    work_ms: float
    """Mean time that a backend server works on one."""
    target_ms: float
    """Latency objective."""
    deadline_ms: float
    """Time that callers wait."""
    body_bytes: int = 0
    """Mean size of the body."""

    @property
    def repeatable(self) -> bool:
        """Whether the requests may run more than once."""
        return self.kind == 'idempotent'


class Backend(platform_backend.PlatformBackend):
    """Backend server that runs requests for a random time.

    Args:
        reactor: Twisted reactor.
        node: Number of the node beside it.
        service: Its service.
        instance: Id of its instance.
        slots: Requests that it runs at once.
        born_ms: Start time in milliseconds since the Unix epoch.
        records: Receives the runs.
        work_ms_by_route: Mean time of work for each route.
        rng: Source of the times of work.
    """

    def __init__(  # noqa: WPS211 - all describe one backend server
        self,
        reactor: Any,
        node: int,
        service: str,
        instance: str,
        slots: int,
        born_ms: int,
        records: soak_records.Records,
        work_ms_by_route: dict[str, float],
        rng: random.Random,
    ) -> None:
        super().__init__(reactor, service, instance, born_ms)
        self.left_at: clock.Milliseconds | None = None
        """When its leave was acknowledged."""
        self.time = clock.SystemClock()
        """Clock."""
        self._node = node
        self.slots = slots
        self._records = records
        self._work_ms_by_route = work_ms_by_route
        self._rng = rng
        self._busy = 0
        self._factory = http_listener.ServerFactory(self._received)

    def serve(self, address: str) -> Any:
        """Start to listen on an address."""
        host, _, port = address.rpartition(':')
        self.listen_address = address
        return self._reactor.listenTCP(int(port), self._factory, interface=host)

    def _received(self, exchange: http_exchange.ServerExchange) -> None:
        head = exchange.head
        load = (b'Anvillug-Server-Load', b'%d,0,%d,100' % (self._busy, self.slots))
        if head.path == _HEALTH_PATH:
            headers = (load, (b'Anvillug-Instance-Id', self.instance.encode()))
            exchange.respond(_STATUS_OK, b'', headers)
            return
        self._records.passed_on.add((head.get(_ATTEMPT_ID.lower()) or b'').decode())
        exchange.handler = _BackendExchange(self, exchange, load)

    def run(self, exchange: http_exchange.ServerExchange, load: http_head.Header) -> None:
        """Reject a request, or run it and respond with its attempt id."""
        head = exchange.head
        attempt_id = head.get(_ATTEMPT_ID.lower()) or b''
        echo = (_ATTEMPT_ID, attempt_id)
        if self._busy >= self.slots + _MAX_QUEUED:
            exchange.respond(_STATUS_FULL, b'', (echo, load, (b'Anvillug-Not-Executed', b'1')))
        elif head.get(b'anvillug-expect-instance') == self.instance.encode():
            self._run(exchange, attempt_id, (echo, load, _SEAL))
        else:
            exchange.respond(_STATUS_OTHER_INSTANCE, b'', (echo, load))

    def _run(
        self,
        exchange: http_exchange.ServerExchange,
        attempt_id: bytes,
        headers: tuple[http_head.Header, ...],
    ) -> None:
        run = soak_records.Run(self._node, self.time.now())
        self._records.arrived(attempt_id.decode(), run, self.left_at)
        self._busy += 1
        route = exchange.head.path.split(b'/')[1].decode()
        work_ms = self._rng.expovariate(1 / self._work_ms_by_route[route])
        self._reactor.callLater(
            clock.to_seconds(work_ms), self._respond, exchange, run, attempt_id, headers
        )

    def _respond(
        self,
        exchange: http_exchange.ServerExchange,
        run: soak_records.Run,
        attempt_id: bytes,
        headers: tuple[http_head.Header, ...],
    ) -> None:
        self._busy -= 1
        run.finished_at = self.time.now()
        exchange.respond(_STATUS_OK, attempt_id, headers)


class _BackendExchange:
    """One request at a backend server; see `http_exchange.RequestHandler`."""

    def __init__(
        self, backend: Backend, exchange: http_exchange.ServerExchange, load: http_head.Header
    ) -> None:
        self._backend = backend
        self._exchange = exchange
        self._load = load

    def body_received(self, data: bytes) -> None:
        """Ignore the body."""

    def request_ended(self) -> None:
        """Run the request, since it is complete."""
        self._backend.run(self._exchange, self._load)

    def request_aborted(self) -> None:
        """End the exchange; the work goes on."""
        self._exchange.ended = True

    def response_writes_paused(self, paused: bool) -> None:
        """Ignore backpressure: responses are small."""


class Callers:
    """Callers at all nodes.

    Args:
        reactor: Twisted reactor.
        addresses: Address for callers at each node.
        records: Receives the attempts.
        rng: Source of arrivals and sizes.
    """

    def __init__(
        self,
        reactor: Any,
        addresses: list[str],
        records: soak_records.Records,
        rng: random.Random,
    ) -> None:
        self.stopped = False
        """Whether no more requests are sent."""
        self._reactor = reactor
        self._records = records
        self._rng = rng
        self._numbers = itertools.count(1)
        self._pools = []
        for address in addresses:
            host, _, port = address.rpartition(':')
            self._pools.append(http_pool.Pool(reactor, host, int(port), max_connections=200))

    def start(self, request_class: RequestClass) -> None:
        """Send the requests of a class at random times until `stopped`."""
        if self.stopped:
            return
        pause_s = self._rng.expovariate(request_class.per_second)
        self._reactor.callLater(pause_s, self.start, request_class)
        self.send(request_class)

    def send(self, request_class: RequestClass) -> None:
        """Send one request to a random node."""
        node = self._rng.randrange(len(self._pools))
        mean_bytes = request_class.body_bytes
        size = int(self._rng.expovariate(1 / mean_bytes)) if mean_bytes else 0
        request = _CallerRequest(
            self._reactor, self._records, request_class, node, f'a{next(self._numbers)}', size
        )
        self._pools[node].acquire(request.connected, request.not_sent)


class _CallerRequest:
    """One request of a caller; see `http_client.ResponseHandler`."""

    def __init__(  # noqa: WPS211 - all describe one request
        self,
        reactor: Any,
        records: soak_records.Records,
        request_class: RequestClass,
        node: int,
        attempt_id: str,
        body_bytes: int,
    ) -> None:
        self._reactor = reactor
        self._records = records
        self._class = request_class
        self._time = clock.SystemClock()
        self._body_bytes = body_bytes
        self._connection: http_client.ClientConnection | None = None
        self._attempt = soak_records.Attempt(
            attempt_id, node, request_class.repeatable, self._time.now()
        )

    def connected(self, connection: http_client.ClientConnection) -> None:
        """Send the request, unless another process holds the port of the node."""
        if self._attempt.node in self._records.foreign_listeners:
            return
        self._connection = connection
        attempt = self._attempt
        deadline_ms = self._class.deadline_ms
        attempt.sent_at = self._time.now()
        attempt.written_at = attempt.sent_at
        attempt.timeout_ms = deadline_ms
        attempt.kept = connection.requests_sent > 0
        self._records.attempts.append(attempt)
        self._reactor.callLater(clock.to_seconds(2 * deadline_ms), self._give_up)
        headers = [
            (b'Host', HOST.encode()),
            (_ATTEMPT_ID, attempt.attempt_id.encode()),
            (b'Anvillug-Deadline-Ms', b'%d' % deadline_ms),
        ]
        method = b'GET' if self._class.repeatable else b'POST'
        if method == b'POST':
            headers.append((b'Content-Length', b'%d' % self._body_bytes))
        target = f'/{self._class.route}/'.encode()
        connection.request(http_head.RequestHead(method, target, headers), self)
        connection.send_body(bytes(self._body_bytes))
        connection.end_request()

    def not_sent(self) -> None:
        """Ignore a request for which there is no connection."""

    def response_continue(self) -> None:
        """Ignore status 100."""

    def response_head(self, head: http_head.ResponseHead) -> None:
        """Record the status, and whether a backend server has sealed the answer."""
        self._attempt.status = head.status
        self._attempt.sealed = head.get(_SEAL_NAME) is not None

    def response_body(self, data: bytes) -> None:
        """Collect the body."""
        self._attempt.body += data

    def response_ended(self) -> None:
        """Record the end of the answer."""
        self._attempt.ended_at = self._time.now()

    def response_failed(self, reason: http_client.ClientFailure) -> None:
        """Record that the connection was closed without a whole answer."""
        if self._attempt.ended_at is None:
            self._attempt.status = 0
            self._attempt.ended_at = self._time.now()

    def request_writes_paused(self, paused: bool) -> None:
        """Record when the request was sent completely; while writes are paused, it is not."""
        self._attempt.written_at = None if paused else self._time.now()

    def _give_up(self) -> None:
        if self._attempt.ended_at is None:
            self._attempt.gave_up = True
            self._attempt.ended_at = self._time.now()
            self._connection.cancel()
