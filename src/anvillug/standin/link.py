"""Network link stand-in: a TCP relay with one-way delay and injectable faults."""

from __future__ import annotations

import collections
import dataclasses
import socket
from collections.abc import Callable
from typing import Any

import klein
from twisted.internet import defer, endpoints, error, interfaces, protocol, task
from twisted.python import failure as twisted_failure
from twisted.web import http, iweb, server
from zope.interface import implementer

from anvillug import clock
from anvillug.standin import http_api

CONNECT_TIMEOUT_S = 10
LISTEN_BACKLOG = 1024
_RESET_CHECK_S = 0.02
DELAYS_PER_HANDSHAKE = 2  # SYN and SYN-ACK each cross the link

_ScheduledAction = tuple[float, Callable[[], None]]
"""Time in seconds at which the action is due, and the action."""


def _ignore() -> None:
    """Ignore an event."""


@dataclasses.dataclass(frozen=True, slots=True)
class LinkFaults:
    """Active faults."""

    delay_ms: float = 0
    """One-way delay."""
    cut: bool = False
    """Reset the open connections and refuse new ones until it is false again."""
    silent: bool = False
    """Discard all further data of the open connections; acts once."""


class Forwarder:
    """Forwards bytes in one direction, in order and after the delay.

    Args:
        link: Link with the delay.
        source: Transport that receives the bytes.
        target: Transport to which the bytes are written.
    """

    def __init__(self, link: Link, source: Any, target: Any) -> None:
        self._link = link
        self._source = source
        self._target = target
        self._is_stopped = False
        self._actions: collections.deque[_ScheduledAction] = collections.deque()
        self._timer: interfaces.IDelayedCall | None = None
        target.registerProducer(source, streaming=True)

    def forward(self, chunk: bytes) -> None:
        """Write a chunk to the target after the delay."""
        self._schedule(lambda: self._write(chunk))

    def end(self) -> None:
        """End the stream to the target after the pending chunks."""
        self._schedule(self._end_target)

    def close(self, reason: twisted_failure.Failure) -> None:
        """Close the target after the pending chunks; reset it unless the source closed cleanly."""
        if reason.check(error.ConnectionDone):
            self._schedule(self._target.loseConnection)
        else:
            self._schedule(self._target.abortConnection)

    def stop_forwarding(self) -> None:
        """Discard pending and all further data."""
        self._is_stopped = True
        self._actions.clear()
        # As a registered producer, the source would be closed together with the target.
        self._target.unregisterProducer()
        self._source.resumeProducing()

    def _end_target(self) -> None:
        if self._target.connected:
            # The source sends no more; paused, it would hold up the end.
            self._target.unregisterProducer()
            self._target.loseWriteConnection()

    def _write(self, chunk: bytes) -> None:
        self._target.write(chunk)
        # The reactor reports no reset of a connection whose stream has ended.
        self._link.reactor.callLater(_RESET_CHECK_S, self._abort_if_reset)

    def _abort_if_reset(self) -> None:
        if self._target.connected and self._target.socket.getsockopt(
            socket.SOL_SOCKET, socket.SO_ERROR
        ):
            # The target would close its producer without a reset.
            self._source.abortConnection()
            self._target.abortConnection()

    def _schedule(self, action: Callable[[], None]) -> None:
        if self._is_stopped:
            return
        due_s = self._link.reactor.seconds() + clock.to_seconds(self._link.faults.delay_ms)
        self._actions.append((due_s, action))
        if self._timer is None:
            self._run_due_actions()

    def _run_due_actions(self) -> None:
        self._timer = None
        now_s = self._link.reactor.seconds()
        while self._actions and self._actions[0][0] <= now_s:
            self._actions.popleft()[1]()
        if self._actions:
            self._timer = self._link.reactor.callLater(
                self._actions[0][0] - now_s, self._run_due_actions
            )


@implementer(interfaces.IHalfCloseableProtocol)
class RelayConnection(protocol.Protocol):
    """One of the two connections of a relayed pair.

    The end of a stream is forwarded, so that a client may close its end and read on.

    Args:
        link: Link that relays between the pair.
    """

    def __init__(self, link: Link) -> None:
        self.link = link
        self.forwarder: Forwarder | None = None
        """Forwards received data to the other connection; None until that is open."""
        self._ended_directions: set[str] = set()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 the name is Twisted's
        """Forward received bytes to the other connection."""
        if self.forwarder is not None:
            self.forwarder.forward(data)

    def readConnectionLost(self) -> None:  # noqa: N802 the name is Twisted's
        """Propagate the end of the received stream."""
        if self.forwarder is not None:
            self.forwarder.end()
        self._end_direction('received')

    def writeConnectionLost(self) -> None:  # noqa: N802 the name is Twisted's
        """Note the end of the sent stream."""
        self._end_direction('sent')

    def connectionLost(  # noqa: N802 the name is Twisted's
        self, reason: twisted_failure.Failure = protocol.connectionDone
    ) -> None:
        """Propagate the close to the other connection."""
        self.link.open_connections.discard(self)
        if self.forwarder is not None:
            self.forwarder.close(reason)

    def _end_direction(self, name: str) -> None:
        self._ended_directions.add(name)
        if len(self._ended_directions) == 2:
            # As a registered producer, the other connection would be closed with this one, and
            # what is to be written to it after the delay would be lost.
            self.transport.unregisterProducer()
            self.transport.loseConnection()


class AcceptedConnection(RelayConnection):
    """Connection that the link has accepted; opens the connection to the target."""

    def connectionMade(self) -> None:  # noqa: N802 the name is Twisted's
        """Connect to the target after the duration of a TCP handshake over the link."""
        self.link.open_connections.add(self)
        self.transport.setTcpNoDelay(True)  # noqa: FBT003 the argument is Twisted's
        self.transport.pauseProducing()
        defer.ensureDeferred(self._connect())

    async def _connect(self) -> None:
        link = self.link
        handshake_ms = link.faults.delay_ms * DELAYS_PER_HANDSHAKE
        await task.deferLater(link.reactor, clock.to_seconds(handshake_ms))
        try:
            target_connection = await endpoints.connectProtocol(
                link.target_endpoint(), RelayConnection(link)
            )
        except error.ConnectError:
            link.on_refused()
            self.transport.abortConnection()
            return
        if self not in link.open_connections:
            target_connection.transport.abortConnection()
            return
        link.open_connections.add(target_connection)
        target_connection.transport.setTcpNoDelay(True)  # noqa: FBT003 the argument is Twisted's
        self.forwarder = Forwarder(link, self.transport, target_connection.transport)
        target_connection.forwarder = Forwarder(link, target_connection.transport, self.transport)
        self.transport.resumeProducing()


class Link(protocol.Factory):
    """TCP relay from one address to another, with a control endpoint.

    Args:
        reactor: Source of connections and timers.
        target: Address to connect to.
        delay_ms: One-way delay.
        on_refused: Called when an accepted connection is reset because the target takes none.
    """

    app = klein.Klein()

    def __init__(
        self,
        reactor: Any,
        target: str,
        delay_ms: float = 0,
        on_refused: Callable[[], None] = _ignore,
    ) -> None:
        self.reactor = reactor
        self.faults = LinkFaults(delay_ms=delay_ms)
        self.open_connections: set[RelayConnection] = set()
        """Accepted connections and connections to the target."""
        self.on_refused = on_refused
        self._target = http_api.split_address(target)
        self._address: tuple[str, int] = ('', 0)
        self._port: interfaces.IListeningPort | None = None

    def listen(self, address: str) -> str:
        """Start to accept connections.

        Args:
            address: Address to listen on; port 0 selects a free one.

        Returns:
            The bound address.
        """
        self._address = http_api.split_address(address)
        self._start_listening()
        return self.use_port(self._port)

    def use_port(self, port: interfaces.IListeningPort) -> str:
        """Accept connections on a port that is open, and return its address."""
        self._port = port
        bound = http_api.bound_address(port)
        self._address = http_api.split_address(bound)
        return bound

    @property
    def is_listening(self) -> bool:
        """Whether new connections are accepted."""
        return self._port is not None

    def stop(self) -> defer.Deferred[None]:
        """Stop listening and reset the open connections."""
        for connection in tuple(self.open_connections):
            connection.transport.abortConnection()
        port = self._port
        self._port = None
        return defer.succeed(None) if port is None else defer.maybeDeferred(port.stopListening)

    def silence_open_connections(self) -> None:
        """Discard all further data of the open connections; new ones work."""
        for connection in self.open_connections:
            if connection.forwarder is not None:
                connection.forwarder.stop_forwarding()

    def target_endpoint(self) -> endpoints.TCP4ClientEndpoint:
        """Return the endpoint of the target."""
        host, port = self._target
        return endpoints.TCP4ClientEndpoint(self.reactor, host, port, timeout=CONNECT_TIMEOUT_S)

    def buildProtocol(  # noqa: N802 the name is Twisted's
        self, addr: interfaces.IAddress
    ) -> RelayConnection:
        """Return the protocol of an accepted connection."""
        return AcceptedConnection(self)

    def site(self) -> server.Site:
        """Return the factory of the control endpoint."""
        return server.Site(self.app.resource())

    @app.route('/control/faults', methods=['POST'])
    async def set_faults(self, request: iweb.IRequest) -> bytes:
        """Apply the changes of faults in the request body."""
        try:
            faults = http_api.updated_faults(self.faults, request.content.read())
        except ValueError as failure:
            return http_api.error_response(request, http.BAD_REQUEST, failure)
        self.faults = dataclasses.replace(faults, silent=False)
        if faults.silent:
            self.silence_open_connections()
        if faults.cut:
            await self.stop()
        elif self._port is None:
            self._start_listening()
        return self.state(request)

    @app.route('/control/state', methods=['GET'])
    def state(self, request: iweb.IRequest) -> bytes:
        """Return the faults and the number of open connections, counting both of a pair."""
        state = {
            'faults': dataclasses.asdict(self.faults),
            'connections': len(self.open_connections),
        }
        return http_api.json_response(request, state)

    def _start_listening(self) -> None:
        host, port = self._address
        self._port = self.reactor.listenTCP(port, self, backlog=LISTEN_BACKLOG, interface=host)
