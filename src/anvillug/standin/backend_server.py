"""Backend server stand-in: serves `backend_model` over HTTP/1.1 with Twisted and httptools."""

from __future__ import annotations

import dataclasses
import os
import time
from http import HTTPStatus
from typing import Any

import treq
from twisted.internet import defer, interfaces, protocol, task

from anvillug import clock, event_log
from anvillug.standin import backend_connection, backend_exchange, backend_model, http_api

ANNOUNCE_INTERVAL_S = 1.0
ANNOUNCE_TIMEOUT_S = 2.0
DRAIN_POLL_S = 0.02
FREEZE_DELAY_S = 0.01
"""Delay before a freeze, so that the response to the control request is sent first."""
CRASH_EXIT_STATUS = 70


class BackendFactory(protocol.Factory):
    """Factory of the connections of one backend server, and the state that they share.

    Args:
        model: Slots, queue and failures.
        reactor: Source of timers.
        time_source: Clock for deadlines and load reports.
    """

    def __init__(
        self,
        model: backend_model.BackendModel,
        reactor: interfaces.IReactorTime,
        time_source: clock.Clock,
    ) -> None:
        self.model = model
        self.reactor = reactor
        self.clock = time_source
        self.open_connections: set[backend_connection.BackendConnection] = set()
        self.draining = False
        self.closing = False

    def buildProtocol(  # noqa: N802 the name is Twisted's
        self, addr: interfaces.IAddress
    ) -> backend_connection.BackendConnection:
        """Return the protocol of a new connection."""
        return backend_connection.BackendConnection(self)

    @property
    def leaving(self) -> bool:
        """Whether the server announces that it is leaving."""
        return self.draining or self.model.faults.leave

    def has_room(self) -> bool:
        """Return whether one more connection is within the limit."""
        return len(self.open_connections) < self.model.settings.connections

    def is_crash_path(self, path: str) -> bool:
        """Return whether a call with this path crashes the process."""
        prefix = self.model.faults.crash_on_path
        return bool(prefix) and path.startswith(prefix)

    def crash(self) -> None:
        """Exit the process immediately, without closing anything."""
        os._exit(CRASH_EXIT_STATUS)  # noqa: SLF001, WPS437 a crash must skip all clean-up

    def handle_control(self, exchange: backend_exchange.Exchange) -> tuple[int, Any]:
        """Handle a request whose path starts with `/control/`.

        Args:
            exchange: The complete request.

        Returns:
            Status and JSON body.
        """
        route = (exchange.method, exchange.path)
        if route == ('POST', '/control/faults'):
            return self._set_faults(bytes(exchange.body_start))
        if route == ('GET', '/control/runs'):
            runs = self.model.runs
            return HTTPStatus.OK, {
                'by_key': runs.by_key,
                'by_call': runs.by_call,
                'dropped': runs.dropped,
            }
        if route == ('GET', '/control/state'):
            return HTTPStatus.OK, self.state()
        return HTTPStatus.NOT_FOUND, {'error': f'no control endpoint {exchange.path}'}

    def state(self) -> dict[str, Any]:
        """Return the current state of the server; unlike `/load` it has no lag."""
        return {
            'settings': dataclasses.asdict(self.model.settings),
            'faults': dataclasses.asdict(self.model.faults),
            'in_flight': self.model.in_flight,
            'queued': self.model.queued,
            'cold': self.model.cold,
            'leaving': self.leaving,
            'connections': len(self.open_connections),
            'counts': dict(self.model.counts),
        }

    def is_drained(self) -> bool:
        """Return whether no request is being read or processed and all responses are flushed."""
        return not any(connection.is_busy for connection in self.open_connections)

    def _set_faults(self, body: bytes) -> tuple[int, Any]:
        try:
            faults = http_api.updated_faults(self.model.faults, body)
        except ValueError as failure:
            return HTTPStatus.BAD_REQUEST, {'error': str(failure)}
        if faults.freeze_ms > 0:
            seconds = clock.to_seconds(faults.freeze_ms)
            self.reactor.callLater(FREEZE_DELAY_S, time.sleep, seconds)
        if faults.silent:
            for connection in self.open_connections:
                connection.stop_responding()
        # Both act once; they are reset, so that changing another fault later does not repeat them.
        self.model.apply_faults(dataclasses.replace(faults, freeze_ms=0, silent=False))
        return HTTPStatus.OK, dataclasses.asdict(self.model.faults)


class Announcer:
    """Announces a backend server to the node on its host once per second.

    Args:
        factory: The backend server.
        address: Address on which it listens.
        operator_address: Operator address of the node.
        incarnation: Start time of this process in milliseconds since the epoch.
    """

    def __init__(
        self, factory: BackendFactory, address: str, operator_address: str, incarnation: int
    ) -> None:
        self._factory = factory
        self._address = address
        self._url = f'http://{operator_address}/announce'
        self._incarnation = incarnation
        self._last_succeeded = True
        self._loop = task.LoopingCall(self.announce)
        self._loop.clock = factory.reactor

    def start(self) -> None:
        """Announce now, then once per second."""
        self._loop.start(ANNOUNCE_INTERVAL_S)

    def stop(self) -> None:
        """Stop announcing."""
        if self._loop.running:
            self._loop.stop()

    def announcement(self) -> dict[str, Any]:
        """Return the JSON body of the next announcement."""
        settings = self._factory.model.settings
        return {
            'service': settings.service,
            'version': settings.version,
            'address': self._address,
            'slots': settings.slots,
            'connections': settings.connections,
            'incarnation': self._incarnation,
            'state': 'leaving' if self._factory.leaving else 'serving',
        }

    @defer.inlineCallbacks
    def announce(self) -> Any:
        """Send one announcement.

        An exception is logged unless the previous announcement failed too. The next announcement
        is the retry.
        """
        try:
            succeeded = yield self._post()
        except Exception as failure:  # noqa: BLE001 treq raises many types if the node is down
            if self._last_succeeded:
                event_log.warn('announce_failed', url=self._url, reason=repr(failure))
            succeeded = False
        self._last_succeeded = succeeded

    @defer.inlineCallbacks
    def _post(self) -> Any:
        response = yield treq.post(self._url, json=self.announcement(), timeout=ANNOUNCE_TIMEOUT_S)
        yield treq.content(response)
        return response.code == HTTPStatus.OK


@defer.inlineCallbacks
def drain(
    factory: BackendFactory, port: interfaces.IListeningPort, notice_ms: float, bound_ms: float
) -> Any:
    """Shut down gracefully: announce it, stop accepting connections and finish all calls.

    Args:
        factory: The backend server.
        port: Its listening port.
        notice_ms: Time for which new work is still accepted after the announcement.
        bound_ms: Max wait for running calls.
    """
    factory.draining = True
    yield task.deferLater(factory.reactor, clock.to_seconds(notice_ms))
    factory.closing = True
    yield port.stopListening()
    end = factory.clock.now() + bound_ms
    while not factory.is_drained() and factory.clock.now() < end:
        yield task.deferLater(factory.reactor, DRAIN_POLL_S)
