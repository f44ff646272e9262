"""Sites of Twisted that answer clients that close their end after a request."""

from __future__ import annotations

from typing import Any

from twisted.internet import interfaces
from twisted.web import http, server
from zope.interface import implementer

from anvillug.connection import client_guard, client_limits, write_batch

_HEAD_TIMED_OUT = b'HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n'


@implementer(interfaces.IHalfCloseableProtocol)
class _Channel(http.HTTPChannel):
    """Connection of a client; see `client_limits.Client`."""

    def __init__(self) -> None:
        super().__init__()
        self.wait = client_limits.Wait()
        self._served_count = 0
        self._is_answering = False

    def connectionMade(self) -> None:  # noqa: N802
        """Register the connection; see Twisted."""
        super().connectionMade()
        self.site.open_channels.add(self)

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Remove the connection; see Twisted."""
        self.site.open_channels.discard(self)
        super().connectionLost(reason)

    def allContentReceived(self) -> None:  # noqa: N802
        """Answer a request that has arrived completely; see Twisted."""
        self._is_answering = True
        super().allContentReceived()

    def requestDone(self, request: Any) -> None:  # noqa: N802
        """Await the next request; see Twisted."""
        self._is_answering = False
        self._served_count += 1
        super().requestDone(request)

    def readConnectionLost(self) -> None:  # noqa: N802
        """Close the connection once everything is sent; see Twisted."""
        self.loseConnection()

    def writeConnectionLost(self) -> None:  # noqa: N802
        """Do nothing: this end has closed the connection; see Twisted."""

    def waits_for(self) -> tuple[client_limits.Waiting, int]:
        """Return what the connection waits for; a body counts as part of its head."""
        unsent_bytes = write_batch.unsent_bytes(self.transport)
        if unsent_bytes:
            return client_limits.Waiting.READER, unsent_bytes
        if self._is_answering:
            return client_limits.Waiting.RESPONSE, 0
        if self.requests:
            return client_limits.Waiting.HEAD, self._served_count
        return client_limits.Waiting.REQUEST, self._served_count

    def marks(self) -> tuple[str, ...]:
        """Return nothing else; see `connection_states.Observed`."""
        return ()

    def limit_exceeded(self, waiting: client_limits.Waiting) -> None:
        """Reject an incomplete request, or close the connection."""
        if waiting is client_limits.Waiting.READER:
            self.give_up()
            return
        if waiting is client_limits.Waiting.HEAD:
            self.transport.write(_HEAD_TIMED_OUT)
        self.loseConnection()

    def give_up(self) -> None:
        """Close the connection with a reset."""
        self.transport.abortConnection()


class Site(server.Site):
    """Site whose resources respond at once.

    Twisted's own drops what is still unsent of a response at the end of the stream.

    Args:
        resource: Root of the resources.
        guard: Limits of the clients.
    """

    protocol = _Channel

    def __init__(self, resource: Any, guard: client_guard.ClientGuard) -> None:
        super().__init__(resource)
        self.open_channels: set[_Channel] = set()
        """Open connections."""
        self._guard = guard

    def buildProtocol(self, addr: Any) -> _Channel | None:  # noqa: N802
        """Return the protocol of a new connection, None to close it; see Twisted."""
        return super().buildProtocol(addr) if self._guard.has_room(self.open_channels) else None

    def check_clients(self) -> None:
        """Apply the time limits to the open connections."""
        self._guard.check(self.open_channels)
