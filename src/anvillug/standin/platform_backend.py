"""Stand-in of a backend server on the users' platform, with faults."""

from __future__ import annotations

import dataclasses
import json
from typing import Any

import klein
import treq
from twisted.internet import defer, interfaces, task
from twisted.web import iweb, server

from anvillug import clock, event_log

_HEARTBEAT_S = 0.2
_HEALTH_PATH = b'/health'
_NOT_RUN = 503
_OTHER_INSTANCE = 421


@dataclasses.dataclass(slots=True)
class BackendFaults:
    """Faults in effect; they may be changed at any time."""

    shed: bool = False
    """Reject each request without running it."""
    lose_answers: bool = False
    """Run each request and break the connection."""
    cut_answers: bool = False
    """Break the connection in the middle of each answer."""
    without_seal: bool = False
    """Answer without the proof."""
    crossed: bool = False
    """Answer with the attempt id of another request."""
    status: int = 200
    """Status of each answer."""
    work_ms: float = 2
    """Time that a request takes."""
    slowness: int = 100
    """Fourth figure of the load header."""


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request that the backend server has run."""

    attempt_id: str
    """Id of the caller's attempt."""
    target: bytes
    """Path and query."""
    body: bytes
    """Whole body."""
    headers: dict[str, str]
    """Headers in lower case."""


class PlatformBackend:
    """One backend server.

    Args:
        reactor: Twisted reactor.
        service: Service that it belongs to.
        instance: Id of its start.
        started_at_ms: Its start in milliseconds since the Unix epoch.
    """

    app = klein.Klein()

    def __init__(
        self, reactor: Any, service: str, instance: str, started_at_ms: int = 1_700_000_000_000
    ) -> None:
        self.faults = BackendFaults()
        """Faults in effect."""
        self.arrivals: list[Arrival] = []
        """Requests that have run, in order."""
        self.state = 'ready'
        """State in the heartbeats."""
        self.version = 'v1'
        """Version in the heartbeats."""
        self.instance = instance
        """Id of its start."""
        self._reactor = reactor
        self._service = service
        self._started_at_ms = started_at_ms
        self._sequence = 0
        self._running = 0
        self._address = ''

    def listen(self, address: str) -> interfaces.IListeningPort:
        """Open the listener."""
        host, _, port = address.rpartition(':')
        self._address = address
        site = server.Site(self.app.resource())
        return self._reactor.listenTCP(int(port), site, interface=host)

    def announce(self, control_address: str) -> task.LoopingCall:
        """Send heartbeats until the returned task is stopped."""
        loop = task.LoopingCall(lambda: defer.ensureDeferred(self.heartbeat(control_address)))
        loop.start(_HEARTBEAT_S)
        return loop

    async def heartbeat(self, control_address: str) -> int:
        """Send one heartbeat and return the status of its answer, 0 without one."""
        self._sequence += 1
        content = {
            'Service': self._service,
            'Address': self._address,
            'Zone': 'z',
            'Version': self.version,
            'Slots': 4,
            'State': self.state,
            'ColdLeftMs': 0,
            'Sequence': self._sequence,
            'born': self._started_at_ms,
        }
        return await self._call(control_address, 'heartbeat', json.dumps(content).encode())

    async def leave(self, control_address: str) -> int:
        """Say that this start takes no more work; returns the status of the answer, 0 without."""
        return await self._call(control_address, 'deregister', b'')

    async def _call(self, control_address: str, name: str, body: bytes) -> int:
        url = f'http://{control_address}/-/rpc?call=instances.{name}&of={self.instance}'
        try:
            answer = await treq.post(url, data=body, timeout=1)
        except Exception as error:
            # The node may not listen yet; the next heartbeat follows.
            event_log.emit('control_call_not_taken', call=name, reason=error)
            return 0
        await treq.content(answer)
        return answer.code

    @app.route('/', branch=True)
    async def answer(self, request: iweb.IRequest) -> object:
        """Run a request, or answer a health check."""
        load = f'{self._running},0,4,{self.faults.slowness}'.encode()
        request.setHeader(b'Anvillug-Server-Load', load)
        request.setHeader(b'Anvillug-Instance-Id', self.instance.encode())
        if request.path == _HEALTH_PATH:
            return b''
        if request.getHeader('anvillug-expect-instance') != self.instance:
            request.setResponseCode(_OTHER_INSTANCE)
            return b''
        if self.faults.shed:
            request.setResponseCode(_NOT_RUN)
            request.setHeader(b'Anvillug-Not-Executed', b'1')
            return b''
        return await self._run(request)

    async def _run(self, request: iweb.IRequest) -> object:
        attempt_id = request.getHeader('anvillug-attempt-id')
        names = request.requestHeaders.getAllRawHeaders()
        headers = {name.decode().lower(): texts[0].decode() for name, texts in names}
        body = request.content.read()
        self.arrivals.append(Arrival(attempt_id, request.uri, body, headers))
        self._running += 1
        await task.deferLater(self._reactor, clock.to_seconds(self.faults.work_ms))
        self._running -= 1
        if self.faults.lose_answers:
            request.transport.abortConnection()
            await defer.Deferred()  # klein cancels it when the connection has closed
        request.setResponseCode(self.faults.status)
        echoed = 'another' if self.faults.crossed else attempt_id
        request.setHeader(b'Anvillug-Attempt-Id', echoed.encode())
        if not self.faults.without_seal:
            request.setHeader(b'Anvillug-Server-Seal', f'seal.{self.instance}'.encode())
        if self.faults.cut_answers:
            request.setHeader(b'Content-Length', b'100')
            request.write(b'half')
            self._reactor.callLater(0.01, request.transport.loseConnection)
            await defer.Deferred()  # klein cancels it when the connection has closed
        return f'{self.instance} {len(body)}'.encode()
