"""Sites of Twisted that answer clients that close their end after a request."""

from __future__ import annotations

from twisted.internet import interfaces
from twisted.web import http, server
from zope.interface import implementer


@implementer(interfaces.IHalfCloseableProtocol)
class _Channel(http.HTTPChannel):
    def readConnectionLost(self) -> None:  # noqa: N802
        """Close the connection once everything is sent; see Twisted."""
        self.loseConnection()

    def writeConnectionLost(self) -> None:  # noqa: N802
        """Do nothing: this end has closed the connection; see Twisted."""


class Site(server.Site):
    """Site whose resources respond at once.

    Twisted's own drops what is still unsent of a response at the end of the stream.
    """

    protocol = _Channel
