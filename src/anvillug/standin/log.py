"""Platform log stand-in: serves the log over HTTP from memory, with injectable faults."""

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
"""Max records of a read that sets no limit."""
MAX_WAIT_MS = 60_000
"""Max time that a read waits for a record."""


@dataclasses.dataclass(frozen=True, slots=True)
class LogFaults:
    """Active faults."""

    outage: bool = False
    """Respond with 503 to every append and read, including reads that are waiting."""
    delay_ms: float = 0
    """Delay before an append or read is processed."""
    lose_answers: int = 0
    """Number of upcoming appends that are stored but get no response."""


class LogServer:
    """HTTP interface of the log.

    Args:
        model: Streams of the log.
        reactor: Source of timers.
    """

    app = klein.Klein()

    def __init__(self, model: log_model.LogModel, reactor: interfaces.IReactorTime) -> None:
        self.model = model
        self.faults = LogFaults()
        self._reactor = reactor
        self._waiters_by_stream: dict[str, set[defer.Deferred]] = collections.defaultdict(set)

    def site(self) -> server.Site:
        """Return the factory of the HTTP connections."""
        return server.Site(self.app.resource())

    @app.route('/streams/<stream>/records', methods=['POST'])
    async def append(self, request: iweb.IRequest, stream: str) -> object:
        """Append one record."""
        try:
            data = json.loads(request.content.read())['data']
        except (ValueError, KeyError, TypeError):
            return http_api.error_response(request, http.BAD_REQUEST, 'body is not {"data": ...}')
        await self._apply_delay()
        if self.faults.outage:
            return _outage_response(request)
        offset = self.model.append(stream, data)
        if offset is None:
            status = HTTPStatus.TOO_MANY_REQUESTS
            return http_api.error_response(request, status, 'append rate exceeded')
        self._notify_waiters(stream)
        if self.faults.lose_answers > 0:
            remaining_count = self.faults.lose_answers - 1
            self.faults = dataclasses.replace(self.faults, lose_answers=remaining_count)
            request.transport.loseConnection()
            await defer.Deferred()  # klein cancels it when the connection is closed
        return http_api.json_response(request, {'offset': offset})

    @app.route('/streams/<stream>/records', methods=['GET'])
    async def read(self, request: iweb.IRequest, stream: str) -> object:
        """Read records; if there is none yet, wait up to `wait_ms` for one."""
        try:
            offset, limit, wait_ms = _parse_read_query(request)
        except ValueError as failure:
            return http_api.error_response(request, http.BAD_REQUEST, failure)
        await self._apply_delay()
        if not self.faults.outage and not self.model.has_record_at(stream, offset):
            await self._wait_for_record(stream, offset, wait_ms)
        if self.faults.outage:
            return _outage_response(request)
        return http_api.json_response(request, self.model.read(stream, offset, limit))

    @app.route('/control/faults', methods=['POST'])
    def set_faults(self, request: iweb.IRequest) -> bytes:
        """Apply the changes of faults in the request body."""
        try:
            self.faults = http_api.updated_faults(self.faults, request.content.read())
        except ValueError as failure:
            return http_api.error_response(request, http.BAD_REQUEST, failure)
        if self.faults.outage:
            for stream in list(self._waiters_by_stream):
                self._notify_waiters(stream)
        return self.state(request)

    @app.route('/control/state', methods=['GET'])
    def state(self, request: iweb.IRequest) -> bytes:
        """Return the faults and the offsets of all streams."""
        state = {'faults': dataclasses.asdict(self.faults), 'streams': self.model.offset_ranges()}
        return http_api.json_response(request, state)

    async def _apply_delay(self) -> None:
        if self.faults.delay_ms > 0:
            seconds = clock.to_seconds(self.faults.delay_ms)
            await task.deferLater(self._reactor, seconds)

    async def _wait_for_record(self, stream: str, offset: int, wait_ms: int) -> None:
        end_s = self._reactor.seconds() + clock.to_seconds(wait_ms)
        while not self.faults.outage and not self.model.has_record_at(stream, offset):
            remaining_s = end_s - self._reactor.seconds()
            if remaining_s <= 0:
                return
            await self._wait_for_append(stream, remaining_s)

    async def _wait_for_append(self, stream: str, timeout_s: float) -> None:
        waiter: defer.Deferred[None] = defer.Deferred()
        waiters = self._waiters_by_stream[stream]
        waiters.add(waiter)
        # The timeout cancels this Deferred; a closed connection cancels that of the request.
        waiter.addTimeout(timeout_s, self._reactor)
        try:
            await waiter
        except defer.TimeoutError:
            return
        finally:
            waiters.discard(waiter)

    def _notify_waiters(self, stream: str) -> None:
        # A notified read removes itself from the set.
        for waiter in tuple(self._waiters_by_stream[stream]):
            waiter.callback(None)


def _outage_response(request: iweb.IRequest) -> bytes:
    return http_api.error_response(request, http.SERVICE_UNAVAILABLE, 'log unavailable')


def _parse_read_query(request: iweb.IRequest) -> tuple[int, int, int]:
    return (
        _parse_number(request, b'from', 0),
        _parse_number(request, b'limit', DEFAULT_READ_LIMIT),
        min(_parse_number(request, b'wait_ms', 0), MAX_WAIT_MS),
    )


def _parse_number(request: iweb.IRequest, name: bytes, default: int) -> int:
    texts = request.args.get(name)
    if not texts:
        return default
    number = int(texts[0])
    if number < 0:
        raise ValueError(f'{name.decode()} must not be negative, got {number}')
    return number
