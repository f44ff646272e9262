"""Platform log stand-in: the HTTP interface of the log, memory only, with faults."""

from __future__ import annotations

import collections
import dataclasses
import json
from http import HTTPStatus

import klein
from twisted.internet import defer, interfaces, task
from twisted.web import http, iweb, server

from anvillug import clock
from anvillug.standin import http_api, log_model

DEFAULT_READ_LIMIT = 1000
MAX_WAIT_MS = 60_000


@dataclasses.dataclass(frozen=True, slots=True)
class LogFaults:
    """Faults in effect."""

    outage: bool = False
    """Answer 503 to every append and read, also to those that wait."""
    delay_ms: float = 0
    """Wait before an append or read takes effect."""
    lose_answers: int = 0
    """Number of coming appends that take effect without an answer."""


class LogServer:
    """HTTP interface of the log.

    Args:
        model: The streams.
        reactor: Source of timers.
    """

    app = klein.Klein()

    def __init__(self, model: log_model.LogModel, reactor: interfaces.IReactorTime) -> None:
        self.model = model
        self.faults = LogFaults()
        self._reactor = reactor
        self._waiters_by_stream: dict[str, set[defer.Deferred]] = collections.defaultdict(set)

    def site(self) -> server.Site:
        """Return the factory to listen with."""
        return server.Site(self.app.resource())

    @app.route('/streams/<stream>/records', methods=['POST'])
    async def append(self, request: iweb.IRequest, stream: str) -> object:
        """Append one record."""
        try:
            data = json.loads(request.content.read())['data']
        except (ValueError, KeyError, TypeError):
            return http_api.error_response(request, http.BAD_REQUEST, 'body is not {"data": ...}')
        await self._delay()
        if self.faults.outage:
            return _outage(request)
        offset = self.model.append(stream, data)
        if offset is None:
            status = HTTPStatus.TOO_MANY_REQUESTS
            return http_api.error_response(request, status, 'append rate exceeded')
        self._wake(stream)
        if self.faults.lose_answers > 0:
            lost = self.faults.lose_answers - 1
            self.faults = dataclasses.replace(self.faults, lose_answers=lost)
            request.transport.loseConnection()
            await defer.Deferred()  # klein cancels it when the connection has closed
        return http_api.json_response(request, {'offset': offset})

    @app.route('/streams/<stream>/records', methods=['GET'])
    async def read(self, request: iweb.IRequest, stream: str) -> object:
        """Read records, waiting for one up to `wait_ms`."""
        try:
            offset, limit, wait_ms = _read_arguments(request)
        except ValueError as failure:
            return http_api.error_response(request, http.BAD_REQUEST, failure)
        await self._delay()
        if not self.faults.outage and not self.model.has_record_at(stream, offset):
            await self._wait(stream, offset, wait_ms)
        if self.faults.outage:
            return _outage(request)
        return http_api.json_response(request, self.model.read(stream, offset, limit))

    @app.route('/control/faults', methods=['POST'])
    def set_faults(self, request: iweb.IRequest) -> bytes:
        """Change the faults named in the body."""
        try:
            self.faults = http_api.updated_faults(self.faults, request.content.read())
        except ValueError as failure:
            return http_api.error_response(request, http.BAD_REQUEST, failure)
        if self.faults.outage:
            for stream in list(self._waiters_by_stream):
                self._wake(stream)
        return self.state(request)

    @app.route('/control/state', methods=['GET'])
    def state(self, request: iweb.IRequest) -> bytes:
        """Return the faults and the offsets of all streams."""
        state = {'faults': dataclasses.asdict(self.faults), 'streams': self.model.sizes()}
        return http_api.json_response(request, state)

    async def _delay(self) -> None:
        if self.faults.delay_ms > 0:
            seconds = clock.to_seconds(self.faults.delay_ms)
            await task.deferLater(self._reactor, seconds)

    async def _wait(self, stream: str, offset: int, wait_ms: int) -> None:
        end = self._reactor.seconds() + clock.to_seconds(wait_ms)
        while not self.faults.outage and not self.model.has_record_at(stream, offset):
            remaining = end - self._reactor.seconds()
            if remaining <= 0:
                return
            await self._next_append(stream, remaining)

    async def _next_append(self, stream: str, timeout_s: float) -> None:
        waiter: defer.Deferred[None] = defer.Deferred()
        waiters = self._waiters_by_stream[stream]
        waiters.add(waiter)
        # The inner Deferred is cancelled by the timeout, the outer one by a closed connection.
        waiter.addTimeout(timeout_s, self._reactor)
        try:
            await waiter
        except defer.TimeoutError:
            return
        finally:
            waiters.discard(waiter)

    def _wake(self, stream: str) -> None:
        # A woken read removes itself from the set.
        for waiter in tuple(self._waiters_by_stream[stream]):
            waiter.callback(None)


def _outage(request: iweb.IRequest) -> bytes:
    return http_api.error_response(request, http.SERVICE_UNAVAILABLE, 'log unavailable')


def _read_arguments(request: iweb.IRequest) -> tuple[int, int, int]:
    return (
        _number(request, b'from', 0),
        _number(request, b'limit', DEFAULT_READ_LIMIT),
        min(_number(request, b'wait_ms', 0), MAX_WAIT_MS),
    )


def _number(request: iweb.IRequest, name: bytes, default: int) -> int:
    texts = request.args.get(name)
    if not texts:
        return default
    number = int(texts[0])
    if number < 0:
        raise ValueError(f'{name.decode()} must not be negative, got {number}')
    return number
