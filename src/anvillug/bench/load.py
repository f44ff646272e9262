"""Open-loop load generator on Twisted and httptools."""

from __future__ import annotations

import collections
import random
from typing import Any

import httptools
from twisted.internet import defer, endpoints, error, interfaces, protocol
from twisted.python import failure as twisted_failure

from anvillug import clock
from anvillug.bench import traffic
from anvillug.standin import http_api

CONNECT_TIMEOUT_S = 5
MAX_RETAINED_BODY_BYTES = 1_048_576
MS_PER_SECOND = 1000


class Exchange:
    """One request, from its intended send time to its response, failure or timeout.

    Args:
        generator: Owner, which counts the result and is notified of the end.
        request: Request to send.
        intended_s: Intended send time by the reactor's clock, in seconds.
    """

    def __init__(
        self, generator: LoadGenerator, request: traffic.PlannedRequest, intended_s: float
    ) -> None:
        self.request = request
        self.connection: ClientConnection | None = None
        self.ended = False
        self._generator = generator
        self._intended_s = intended_s
        reactor = generator.reactor
        timeout_s = clock.to_seconds(generator.plan.timeout_ms)
        delay = max(intended_s + timeout_s - reactor.seconds(), 0)
        self._timer: interfaces.IDelayedCall = reactor.callLater(delay, self._time_out)

    def succeed(self, response: traffic.Response) -> None:
        """Count a complete response."""
        latency_s = self._generator.reactor.seconds() - self._intended_s
        self._generator.result.add_response(self.request, response, latency_s * MS_PER_SECOND)
        self._end()

    def fail(self, reason: str) -> None:
        """Count the request as failed."""
        if not self.ended:
            self._generator.result.add_error(self.request, reason)
            self._end()

    def _time_out(self) -> None:
        self.fail('timeout')
        if self.connection is not None:
            self.connection.transport.abortConnection()

    def _end(self) -> None:
        self.ended = True
        if self._timer.active():
            self._timer.cancel()
        self._generator.exchange_ended()


class ClientConnection(protocol.Protocol):
    """Keep-alive connection that carries one request at a time.

    Args:
        pool: Pool that the connection belongs to.
    """

    def __init__(self, pool: Pool) -> None:
        self._pool = pool
        self._exchange: Exchange | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._headers: dict[str, str] = {}
        self._body = bytearray()
        self._body_bytes = 0

    def send(self, exchange: Exchange) -> None:
        """Send a request; the connection must be idle."""
        self._exchange = exchange
        exchange.connection = self
        self._parser = httptools.HttpResponseParser(self)
        self.transport.write(exchange.request.encode())

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 the name is Twisted's
        """Parse received bytes."""
        if self._exchange is None:
            self._pool.result.wrong['unexpected_bytes'] += 1
            self._pool.remove_idle(self)
            self.transport.abortConnection()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._fail('malformed_response')
            self.transport.abortConnection()

    def connectionLost(  # noqa: N802 the name is Twisted's
        self, reason: twisted_failure.Failure = protocol.connectionDone
    ) -> None:
        """Fail the request that has no complete response."""
        self._fail('truncated_response' if self._headers else 'connection_lost')
        self._pool.connection_closed(self)

    def on_message_begin(self) -> None:
        """Reset the state for a new response; called by httptools."""
        self._headers = {}
        self._body = bytearray()
        self._body_bytes = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record a header; called by httptools."""
        self._headers[name.decode('latin-1').lower()] = value.decode('latin-1')

    def on_body(self, chunk: bytes) -> None:
        """Record a part of the body; called by httptools."""
        self._body_bytes += len(chunk)
        self._body += chunk[: max(MAX_RETAINED_BODY_BYTES - len(self._body), 0)]

    def on_message_complete(self) -> None:
        """Finish the exchange with the complete response; called by httptools."""
        status = self._parser.get_status_code()
        if status < 200 or self._exchange is None:  # an interim response precedes the final one
            return
        exchange = self._exchange
        self._exchange = None
        response = traffic.Response(status, self._headers, bytes(self._body), self._body_bytes)
        self._headers = {}
        if not exchange.ended:
            exchange.succeed(response)
        if self._parser.should_keep_alive():
            self._pool.release(self)
        else:
            self.transport.loseConnection()

    def _fail(self, reason: str) -> None:
        exchange = self._exchange
        self._exchange = None
        if exchange is not None:
            exchange.fail(reason)


class Pool:
    """Connection pool for one address.

    Args:
        reactor: Twisted reactor.
        address: Address to connect to.
        max_connections: Maximum number of open and opening connections.
        result: Counts of the run.
    """

    def __init__(
        self, reactor: Any, address: str, max_connections: int, result: traffic.LoadResult
    ) -> None:
        host, port = http_api.split_address(address)
        self.result = result
        self._endpoint = endpoints.TCP4ClientEndpoint(reactor, host, port, CONNECT_TIMEOUT_S)
        self._max_connections = max_connections
        self._idle: list[ClientConnection] = []
        self._open: set[ClientConnection] = set()
        self._opening = 0
        self._queued: collections.deque[Exchange] = collections.deque()
        self._closing = False
        self._closed: defer.Deferred[None] = defer.Deferred()

    def send(self, exchange: Exchange) -> None:
        """Send on an idle connection, or queue the request until a connection is available."""
        if self._idle:
            self._idle.pop().send(exchange)
            return
        self._queued.append(exchange)
        self._open_connections()

    def release(self, connection: ClientConnection) -> None:
        """Reuse a connection for the next queued request, or store it as idle."""
        while self._queued:
            exchange = self._queued.popleft()
            if not exchange.ended:
                connection.send(exchange)
                return
        self._idle.append(connection)

    def remove_idle(self, connection: ClientConnection) -> None:
        """Remove a connection from the idle connections."""
        if connection in self._idle:
            self._idle.remove(connection)

    def connection_closed(self, connection: ClientConnection) -> None:
        """Handle a closed connection; opens another one if requests are queued."""
        self.remove_idle(connection)
        self._open.discard(connection)
        if self._closing:
            self._check_closed()
        else:
            self._open_connections()

    def close(self) -> defer.Deferred[None]:
        """Close all connections; the Deferred fires when all of them are closed."""
        self._closing = True
        for connection in tuple(self._open):
            connection.transport.abortConnection()
        self._check_closed()
        return self._closed

    def _open_connections(self) -> None:
        available = self._max_connections - len(self._open) - self._opening
        for _ in range(min(available, len(self._queued) - self._opening)):
            self._opening += 1
            defer.ensureDeferred(self._connect())

    async def _connect(self) -> None:
        try:
            connection = await endpoints.connectProtocol(self._endpoint, ClientConnection(self))
        except error.ConnectError as failure:
            self._opening -= 1
            if self._queued:
                self._queued.popleft().fail(f'connect_{type(failure).__name__}')
            self._open_connections()
            self._check_closed()
            return
        self._opening -= 1
        self._open.add(connection)
        connection.transport.setTcpNoDelay(True)  # noqa: FBT003 the argument is Twisted's
        if self._closing:
            connection.transport.abortConnection()
        else:
            self.release(connection)

    def _check_closed(self) -> None:
        if self._closing and not self._open and not self._opening and not self._closed.called:
            self._closed.callback(None)


class LoadGenerator:
    """Sends the requests of a plan at their scheduled times, without waiting for responses.

    Args:
        plan: Settings of the run.
        reactor: Twisted reactor.
    """

    def __init__(self, plan: traffic.LoadPlan, reactor: Any) -> None:
        self.plan = plan
        self.reactor = reactor
        self.result = traffic.LoadResult()
        self._rng = random.Random(plan.seed)
        self._pools_by_address = {
            address: Pool(reactor, address, plan.max_connections, self.result)
            for address in plan.addresses
        }
        self._outstanding = 0
        self._next_arrival_s = reactor.seconds()
        self._end_s = self._next_arrival_s + clock.to_seconds(plan.duration_ms)
        self._arrivals_ended = False
        self._finished: defer.Deferred[None] = defer.Deferred()

    async def run(self) -> traffic.LoadResult:
        """Send all requests, and wait until each has a response or has failed.

        Returns:
            The counts and latencies.
        """
        self._next_arrival_s = self.reactor.seconds()
        self._end_s = self._next_arrival_s + clock.to_seconds(self.plan.duration_ms)
        self._advance_arrival_time()
        self._send_due()
        await self._finished
        for pool in self._pools_by_address.values():
            await pool.close()
        return self.result

    def exchange_ended(self) -> None:
        """Handle the end of an exchange."""
        self._outstanding -= 1
        self._check_finished()

    def _advance_arrival_time(self) -> None:
        self._next_arrival_s += self._rng.expovariate(self.plan.rate_per_second)

    def _send_due(self) -> None:
        now = self.reactor.seconds()
        while self._next_arrival_s <= now and self._next_arrival_s < self._end_s:
            self._send(self._next_arrival_s)
            self._advance_arrival_time()
        if self._next_arrival_s < self._end_s:
            wait_s = (
                self._next_arrival_s - self.reactor.seconds() - clock.to_seconds(self.plan.spin_ms)
            )
            self.reactor.callLater(max(wait_s, 0), self._send_due)
        else:
            self._arrivals_ended = True
            self._check_finished()

    def _send(self, intended_s: float) -> None:
        self.result.sent += 1
        self._outstanding += 1
        request = traffic.draw_request(self.plan, self._rng, self.result.sent)
        exchange = Exchange(self, request, intended_s)
        self._pools_by_address[request.address].send(exchange)

    def _check_finished(self) -> None:
        if self._arrivals_ended and not self._outstanding and not self._finished.called:
            self._finished.callback(None)


def run(plan: traffic.LoadPlan, reactor: Any) -> defer.Deferred[traffic.LoadResult]:
    """Run a plan in a running reactor.

    Args:
        plan: Settings of the run.
        reactor: Twisted reactor.

    Returns:
        A Deferred that fires with the result when all requests have ended.
    """
    return defer.ensureDeferred(LoadGenerator(plan, reactor).run())
