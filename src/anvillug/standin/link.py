"""TCP relay stand-in for a network link, with one-way delay and faults."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Callable
from typing import Any

import klein
from twisted.internet import defer, endpoints, error, interfaces, protocol, task
from twisted.python import failure as twisted_failure
from twisted.web import http, iweb, server

from anvillug import clock
from anvillug.standin import http_api

CONNECT_TIMEOUT_S = 10
LISTEN_BACKLOG = 1024
HANDSHAKE_DELAYS = 2  # SYN and its acknowledgement each cross the link

_DueAction = tuple[float, Callable[[], None]]


@dataclasses.dataclass(frozen=True, slots=True)
class LinkFaults:
    """Faults in effect."""

    delay_ms: float = 0
    """One-way delay."""
    cut: bool = False
    """Reset the connections and refuse new ones until it is false again."""
    silent: bool = False
    """Existing connections carry nothing from now on; acts once."""


class Direction:
    """Carries bytes one way after the delay, in order.

    Args:
        link: Holds the delay.
        source: Transport that bytes come from.
        target: Transport that bytes go to.
    """

    def __init__(self, link: Link, source: Any, target: Any) -> None:
        self._link = link
        self._source = source
        self._target = target
        self._silent = False
        self._actions: collections.deque[_DueAction] = collections.deque()
        self._timer: interfaces.IDelayedCall | None = None
        target.registerProducer(source, streaming=True)

    def carry(self, chunk: bytes) -> None:
        """Deliver a chunk after the delay."""
        self._after_delay(lambda: self._target.write(chunk))

    def close(self, reason: twisted_failure.Failure) -> None:
        """Close the target after the chunks before; reset it unless the source closed cleanly."""
        if reason.check(error.ConnectionDone):
            self._after_delay(self._target.loseConnection)
        else:
            self._after_delay(self._target.abortConnection)

    def silence(self) -> None:
        """Drop what is on its way and all that comes."""
        self._silent = True
        self._actions.clear()
        # A registered producer is closed together with the target.
        self._target.unregisterProducer()
        self._source.resumeProducing()

    def _after_delay(self, action: Callable[[], None]) -> None:
        if self._silent:
            return
        due = self._link.reactor.seconds() + clock.to_seconds(self._link.faults.delay_ms)
        self._actions.append((due, action))
        if self._timer is None:
            self._act()

    def _act(self) -> None:
        self._timer = None
        now = self._link.reactor.seconds()
        while self._actions and self._actions[0][0] <= now:
            self._actions.popleft()[1]()
        if self._actions:
            self._timer = self._link.reactor.callLater(self._actions[0][0] - now, self._act)


class Side(protocol.Protocol):
    """One of the two connections of a pair.

    Args:
        link: Owner of the pair.
    """

    def __init__(self, link: Link) -> None:
        self.link = link
        self.outgoing: Direction | None = None

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 the name is Twisted's
        """Carry received bytes to the other side."""
        if self.outgoing is not None:
            self.outgoing.carry(data)

    def connectionLost(  # noqa: N802 the name is Twisted's
        self, reason: twisted_failure.Failure = protocol.connectionDone
    ) -> None:
        """Carry the close to the other side."""
        self.link.sides.discard(self)
        if self.outgoing is not None:
            self.outgoing.close(reason)


class AcceptedSide(Side):
    """The connection that the link accepted; opens the other one."""

    def connectionMade(self) -> None:  # noqa: N802 the name is Twisted's
        """Connect to the target after the time of a handshake."""
        self.link.sides.add(self)
        self.transport.setTcpNoDelay(True)  # noqa: FBT003 the argument is Twisted's
        self.transport.pauseProducing()
        defer.ensureDeferred(self._connect())

    async def _connect(self) -> None:
        link = self.link
        handshake_ms = link.faults.delay_ms * HANDSHAKE_DELAYS
        await task.deferLater(link.reactor, clock.to_seconds(handshake_ms))
        try:
            other = await endpoints.connectProtocol(link.target_endpoint(), Side(link))
        except error.ConnectError:
            self.transport.abortConnection()
            return
        if self not in link.sides:
            other.transport.abortConnection()
            return
        link.sides.add(other)
        other.transport.setTcpNoDelay(True)  # noqa: FBT003 the argument is Twisted's
        self.outgoing = Direction(link, self.transport, other.transport)
        other.outgoing = Direction(link, other.transport, self.transport)
        self.transport.resumeProducing()


class Link(protocol.Factory):
    """Relay from one address to another, with a control endpoint.

    Args:
        reactor: Source of connections and timers.
        target: Address to connect to.
        delay_ms: One-way delay.
    """

    app = klein.Klein()

    def __init__(self, reactor: Any, target: str, delay_ms: float = 0) -> None:
        self.reactor = reactor
        self.faults = LinkFaults(delay_ms=delay_ms)
        self.sides: set[Side] = set()
        self._target = http_api.split_address(target)
        self._address: tuple[str, int] = ('', 0)
        self._port: interfaces.IListeningPort | None = None

    def listen(self, address: str) -> str:
        """Accept connections.

        Args:
            address: Address to listen on; port 0 takes a free one.

        Returns:
            The bound address.
        """
        self._address = http_api.split_address(address)
        self._open_port()
        bound = http_api.bound_address(self._port)
        self._address = http_api.split_address(bound)
        return bound

    def stop(self) -> defer.Deferred[None]:
        """Refuse new connections and reset the existing ones."""
        for side in tuple(self.sides):
            side.transport.abortConnection()
        port = self._port
        self._port = None
        return defer.succeed(None) if port is None else defer.maybeDeferred(port.stopListening)

    def target_endpoint(self) -> endpoints.TCP4ClientEndpoint:
        """Return the endpoint of the target."""
        host, port = self._target
        return endpoints.TCP4ClientEndpoint(self.reactor, host, port, timeout=CONNECT_TIMEOUT_S)

    def buildProtocol(self, addr: interfaces.IAddress) -> Side:  # noqa: N802 Twisted's name
        """Return the protocol of an accepted connection."""
        return AcceptedSide(self)

    def site(self) -> server.Site:
        """Return the factory of the control endpoint."""
        return server.Site(self.app.resource())

    @app.route('/control/faults', methods=['POST'])
    async def set_faults(self, request: iweb.IRequest) -> bytes:
        """Change the faults named in the body."""
        try:
            faults = http_api.updated_faults(self.faults, request.content.read())
        except ValueError as failure:
            return http_api.error_response(request, http.BAD_REQUEST, failure)
        self.faults = dataclasses.replace(faults, silent=False)
        if faults.silent:
            self._silence()
        if faults.cut:
            await self.stop()
        elif self._port is None:
            self._open_port()
        return self.state(request)

    @app.route('/control/state', methods=['GET'])
    def state(self, request: iweb.IRequest) -> bytes:
        """Return the faults and the number of connections on both sides."""
        state = {'faults': dataclasses.asdict(self.faults), 'connections': len(self.sides)}
        return http_api.json_response(request, state)

    def _open_port(self) -> None:
        host, port = self._address
        self._port = self.reactor.listenTCP(port, self, backlog=LISTEN_BACKLOG, interface=host)

    def _silence(self) -> None:
        for side in self.sides:
            if side.outgoing is not None:
                side.outgoing.silence()
