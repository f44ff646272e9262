"""Backend servers of a soak."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable, Coroutine, Mapping
from typing import Any

from twisted.internet import interfaces, task

from anvillug import clock
from anvillug.bench import soak_records, soak_traffic, socket_exchange
from anvillug.connection import http_exchange, http_head, http_listener
from anvillug.standin import platform_backend

_ATTEMPT_ID = b'Anvillug-Attempt-Id'
_SEAL = (b'Anvillug-Server-Seal', b'seal')
_STATUS_OK = 200
_STATUS_FAILED = 500
_STATUS_OTHER_INSTANCE = 421
_STATUS_FULL = 503
_HEALTH_PATH = b'/health'
_MAX_QUEUED = 4
_LEAVE_RETRY_S = 0.5
_LEAVE_TRIES = 5
# Heartbeats that were sent after a late one.
_LATE_BY = 3
# Share of the runs that make calls, among those of a route with calls.
_CALL_SHARE = 0.7


def _no_call(node: int, on_end: soak_traffic.OnEnd) -> None:
    raise NotImplementedError(f'a call through node {node}: this soak has no calls')


@dataclasses.dataclass(slots=True)
class Behavior:
    """What all backend servers do besides running requests."""

    calls_by_route: Mapping[str, int] = dataclasses.field(default_factory=dict)
    """Number of calls to other services that some runs make, by route."""
    call: Callable[[int, soak_traffic.OnEnd], None] = _no_call
    """Makes a call through the node with a number."""
    break_off_share: float = 0
    """Share of the runs whose connection is reset instead of a response."""
    early_share: float = 0
    """Share of the requests that run before their body is complete."""
    noise_share: float = 0
    """Share of the runs that take longer by `noise_factor`."""
    noise_factor: float = 1
    """Factor of the time of work of these runs."""


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
        behavior: What it does besides.
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
        behavior: Behavior,
    ) -> None:
        super().__init__(reactor, service, instance, born_ms)
        self.left_at: clock.Milliseconds | None = None
        """When its leave was acknowledged."""
        self.failing_share: float = 0
        """Share of the runs that respond with a failure."""
        self.time = clock.SystemClock()
        """Clock."""
        self._node = node
        self.slots = slots
        self._records = records
        self._work_ms_by_route = work_ms_by_route
        self._rng = rng
        self._behavior = behavior
        self._busy = 0
        self._factory = _Factory(self._received, answers_half_closed=False)
        self._works: set[_Work] = set()

    def serve(self, address: str, named_address: str) -> Any:
        """Start to listen on an address.

        Args:
            address: IP:port to listen on.
            named_address: IP:port that heartbeats name.
        """
        host, _, port = address.rpartition(':')
        self.listen_address = named_address
        return self._reactor.listenTCP(int(port), self._factory, interface=host)

    async def acknowledged(
        self, call: Callable[[str], Coroutine[Any, Any, int]], address: str
    ) -> bool:
        """Repeat a call with which this instance leaves until it is acknowledged.

        Args:
            call: The call; returns the status of the response.
            address: Address for control of the node.

        Returns:
            Whether it was acknowledged; the instance leaves in any case.
        """
        for _ in range(_LEAVE_TRIES):
            if await call(address) == _STATUS_OK:
                self.left_at = self.left_at or self.time.now()
                return True
            await task.deferLater(self._reactor, _LEAVE_RETRY_S)
        return False

    def end(self) -> None:
        """Reset all connections; the requests at work are cut by the backend server."""
        for work in self._works:
            work.run.broke_off = True
        self._factory.reset_connections()

    def predate_heartbeat(self) -> None:
        """Let the next heartbeat be as one that was sent before the leave."""
        self.state = 'ready'
        self._sequence = max(0, self._sequence - _LATE_BY)

    def _received(self, exchange: http_exchange.ServerExchange) -> None:
        head = exchange.head
        load = (b'Anvillug-Server-Load', b'%d,0,%d,100' % (self._busy, self.slots))
        if head.path == _HEALTH_PATH:
            headers = (load, (b'Anvillug-Instance-Id', self.instance.encode()))
            exchange.respond(_STATUS_OK, b'', headers)
            return
        attempt_id = (head.get(_ATTEMPT_ID.lower()) or b'').decode()
        self._records.passed_on.add(attempt_id)
        self._records.last_arrival_by_id[attempt_id] = self.time.now()
        exchange.handler = _BackendExchange(self, exchange, load)

    def run(self, exchange: http_exchange.ServerExchange, load: http_head.Header) -> _Work | None:
        """Reject a request, or run it and respond with its attempt id.

        Returns:
            The work, if it runs.
        """
        head = exchange.head
        attempt_id = head.get(_ATTEMPT_ID.lower()) or b''
        echo = (_ATTEMPT_ID, attempt_id)
        if self._busy >= self.slots + _MAX_QUEUED:
            exchange.respond(_STATUS_FULL, b'', (echo, load, (b'Anvillug-Not-Executed', b'1')))
        elif head.get(b'anvillug-expect-instance') == self.instance.encode():
            return self._run(exchange, attempt_id, (echo, load, _SEAL))
        else:
            exchange.respond(_STATUS_OTHER_INSTANCE, b'', (echo, load))
        return None

    def runs_early(self) -> bool:
        """Return whether a request is to run before its body is complete."""
        share = self._behavior.early_share
        return share > 0 and self._rng.random() < share

    def work_ended(self, work: _Work) -> None:
        """Respond to a request, or break off."""
        self._busy -= 1
        self._works.discard(work)
        work.run.finished_at = self.time.now()
        share = self._behavior.break_off_share
        if share > 0 and self._rng.random() < share:
            work.run.broke_off = True
            work.exchange.abort()
        elif work.failed or (self.failing_share > 0 and self._rng.random() < self.failing_share):
            work.run.failed_at = work.run.finished_at
            work.exchange.respond(_STATUS_FAILED, b'', work.headers)
        else:
            work.exchange.respond(_STATUS_OK, work.attempt_id, work.headers)

    def _run(
        self,
        exchange: http_exchange.ServerExchange,
        attempt_id: bytes,
        headers: tuple[http_head.Header, ...],
    ) -> _Work:
        run = soak_records.Run(
            self._node, self.time.now(), service=self._service, version=self.version
        )
        self._records.arrived(attempt_id.decode(), run, self.left_at)
        self._busy += 1
        route = exchange.head.path.split(b'/')[1].decode()
        work = _Work(self, exchange, run, attempt_id, headers)
        self._works.add(work)
        work_ms = self._rng.expovariate(1 / self._work_ms_by_route[route])
        if self._behavior.noise_share > 0 and self._rng.random() < self._behavior.noise_share:
            work_ms *= self._behavior.noise_factor
        asked_ms = exchange.head.get(socket_exchange.WORK_MS_HEADER.lower().encode())
        if asked_ms is not None:
            work_ms = float(asked_ms)
            work.ends_early = True
        run.due_at = run.began_at + work_ms
        work.timer = self._reactor.callLater(clock.to_seconds(work_ms), work.part_ended, True)  # noqa: FBT003
        calls = self._behavior.calls_by_route.get(route, 0)
        if calls and self._rng.random() < _CALL_SHARE:
            work.parts += calls
            for _ in range(calls):
                self._behavior.call(self._node, work.part_ended)
        return work


class _Factory(http_listener.ServerFactory):
    """Builds the connections of a backend server, which its end resets."""

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for connection in tuple(self._open_connections):
            connection.transport.abortConnection()


class _Work:
    """Work on one request, which ends with the last of its parts."""

    def __init__(
        self,
        backend: Backend,
        exchange: http_exchange.ServerExchange,
        run: soak_records.Run,
        attempt_id: bytes,
        headers: tuple[http_head.Header, ...],
    ) -> None:
        self.exchange = exchange
        self.run = run
        self.attempt_id = attempt_id
        self.headers = headers
        self.parts = 1
        """Parts that have not ended: the backend server's own work, and its calls."""
        self.failed = False
        """Whether a call has failed."""
        self.timer: interfaces.IDelayedCall | None = None
        """End of the backend server's own work."""
        self.ends_early = False
        """Whether the own work ends if it is cancelled."""
        self._backend = backend

    def part_ended(self, succeeded: bool) -> None:
        """Record the end of a part."""
        self.failed = self.failed or not succeeded
        self.parts -= 1
        if not self.parts:
            self._backend.work_ended(self)

    def cancel(self) -> None:
        """Record that the node has cancelled the request."""
        if self.run.finished_at is None:
            self.run.cancelled_at = self._backend.time.now()
            if self.ends_early and self.timer.active():
                self.timer.cancel()
                self.part_ended(succeeded=False)


class _BackendExchange:
    """One request at a backend server; see `http_exchange.RequestHandler`."""

    def __init__(
        self, backend: Backend, exchange: http_exchange.ServerExchange, load: http_head.Header
    ) -> None:
        self._backend = backend
        self._exchange = exchange
        self._load = load
        self._work: _Work | None = None
        self._is_early = exchange.head.has_body and backend.runs_early()
        if self._is_early:
            self._work = backend.run(exchange, load)

    def body_received(self, data: bytes) -> None:
        """Ignore the body."""

    def request_ended(self) -> None:
        """Run the request, since it is complete, unless it runs already."""
        if not self._is_early:
            self._work = self._backend.run(self._exchange, self._load)

    def request_aborted(self) -> None:
        """End the exchange; the work goes on, unless its caller may leave."""
        self._exchange.ended = True
        if self._work is not None:
            self._work.cancel()

    def response_writes_paused(self, paused: bool) -> None:
        """Ignore backpressure: responses are small."""
