"""Platform backend server stand-in: HTTP server with heartbeats and injectable faults."""

from __future__ import annotations

import dataclasses
import json
from typing import Any

import klein
import treq
from twisted.internet import defer, interfaces, task
from twisted.web import iweb, server

from anvillug import clock, event_log

_HEARTBEAT_INTERVAL_S = 0.2
_HEALTH_PATH = b'/health'
_STATUS_NOT_EXECUTED = 503
_STATUS_OTHER_INSTANCE = 421


@dataclasses.dataclass(slots=True)
class BackendFaults:
    """Active faults; tests may change them at any time."""

    shed: bool = False
    """Reject each request as not executed."""
    lose_answers: bool = False
    """Run each request, then reset the connection instead of responding."""
    cut_answers: bool = False
    """Close the connection in the middle of each response."""
    without_seal: bool = False
    """Omit the header that proves that a backend server sent the response."""
    crossed: bool = False
    """Respond with the attempt id of another request."""
    status: int = 200
    """Status of each response to a request that has run."""
    work_ms: float = 2
    """Duration of a request."""
    slowness: int = 100
    """Slowness in the load header, in percent of the typical duration of work."""
    padding_bytes: int = 0
    """Bytes that each response to a request that has run holds in addition."""


@dataclasses.dataclass(frozen=True, slots=True)
class ExecutedRequest:
    """A request that the backend server has started to execute."""

    attempt_id: str
    """Attempt id of the caller."""
    target: bytes
    """Path and query."""
    body: bytes
    """Complete body."""
    headers: dict[str, str]
    """First value of each header, by lower-case name."""


class PlatformBackend:
    """Backend server with an HTTP listener and heartbeats.

    Args:
        reactor: Twisted reactor.
        service: Name of its service.
        instance: Instance id.
        started_at_ms: Start time in milliseconds since the Unix epoch.
    """

    app = klein.Klein()

    def __init__(
        self, reactor: Any, service: str, instance: str, started_at_ms: int = 1_700_000_000_000
    ) -> None:
        self.faults = BackendFaults()
        """Active faults."""
        self.executed_requests: list[ExecutedRequest] = []
        """Requests that have started to execute, in order."""
        self.state = 'ready'
        """State reported in heartbeats."""
        self.slots = 4
        """Slots reported in heartbeats."""
        self.version = 'v1'
        """Version reported in heartbeats."""
        self.instance = instance
        """Instance id."""
        self._reactor = reactor
        self._service = service
        self._started_at_ms = started_at_ms
        self._sequence = 0
        self._running_count = 0
        self.listen_address = ''
        """IP:port that heartbeats name."""

    def listen(self, address: str) -> interfaces.IListeningPort:
        """Start to listen on an address."""
        host, _, port = address.rpartition(':')
        self.listen_address = address
        site = server.Site(self.app.resource())
        return self._reactor.listenTCP(int(port), site, interface=host)

    def start_heartbeats(self, control_address: str) -> task.LoopingCall:
        """Send heartbeats to a node until the returned task is stopped."""
        loop = task.LoopingCall(lambda: defer.ensureDeferred(self.send_heartbeat(control_address)))
        loop.start(_HEARTBEAT_INTERVAL_S)
        return loop

    async def send_heartbeat(self, control_address: str) -> int:
        """Send a heartbeat; return the status of the response, or 0 if there is none."""
        self._sequence += 1
        content = {
            'Service': self._service,
            'Address': self.listen_address,
            'Zone': 'z',
            'Version': self.version,
            'Slots': self.slots,
            'State': self.state,
            'ColdLeftMs': 0,
            'Sequence': self._sequence,
            'born': self._started_at_ms,
        }
        return await self._call_control(control_address, 'heartbeat', json.dumps(content).encode())

    async def deregister(self, control_address: str) -> int:
        """Deregister this instance; return the status of the response, or 0 if there is none."""
        return await self._call_control(control_address, 'deregister', b'')

    async def _call_control(self, control_address: str, name: str, body: bytes) -> int:
        url = f'http://{control_address}/-/rpc?call=instances.{name}&of={self.instance}'
        try:
            response = await treq.post(url, data=body, timeout=1)
        except Exception as error:
            # The node may not be listening yet; the next heartbeat is the retry.
            event_log.emit('control_call_not_taken', call=name, reason=error)
            return 0
        await treq.content(response)
        return response.code

    @app.route('/', branch=True)
    async def handle_request(self, request: iweb.IRequest) -> object:
        """Handle a request or a health check."""
        load = f'{self._running_count},0,4,{self.faults.slowness}'.encode()
        request.setHeader(b'Anvillug-Server-Load', load)
        request.setHeader(b'Anvillug-Instance-Id', self.instance.encode())
        if request.path == _HEALTH_PATH:
            return b''
        request.setHeader(b'Anvillug-Attempt-Id', request.getHeader(b'anvillug-attempt-id'))
        if request.getHeader('anvillug-expect-instance') != self.instance:
            request.setResponseCode(_STATUS_OTHER_INSTANCE)
            return b''
        if self.faults.shed:
            request.setResponseCode(_STATUS_NOT_EXECUTED)
            request.setHeader(b'Anvillug-Not-Executed', b'1')
            return b''
        return await self._run(request)

    async def _run(self, request: iweb.IRequest) -> object:
        attempt_id = request.getHeader('anvillug-attempt-id')
        raw_headers = request.requestHeaders.getAllRawHeaders()
        headers = {name.decode().lower(): values[0].decode() for name, values in raw_headers}
        body = request.content.read()
        self.executed_requests.append(ExecutedRequest(attempt_id, request.uri, body, headers))
        self._running_count += 1
        await task.deferLater(self._reactor, clock.to_seconds(self.faults.work_ms))
        self._running_count -= 1
        if self.faults.lose_answers:
            request.transport.abortConnection()
            await defer.Deferred()  # klein cancels it when the connection is closed
        request.setResponseCode(self.faults.status)
        echoed_id = 'another' if self.faults.crossed else attempt_id
        request.setHeader(b'Anvillug-Attempt-Id', echoed_id.encode())
        if not self.faults.without_seal:
            request.setHeader(b'Anvillug-Server-Seal', f'seal.{self.instance}'.encode())
        if self.faults.cut_answers:
            request.setHeader(b'Content-Length', b'100')
            request.write(b'half')
            self._reactor.callLater(0.01, request.transport.loseConnection)
            await defer.Deferred()  # klein cancels it when the connection is closed
        return f'{self.instance} {len(body)}'.encode() + bytes(self.faults.padding_bytes)
