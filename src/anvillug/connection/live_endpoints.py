"""Endpoints of Twisted's HTTP agent whose connections detect silence.

Apart from `tcp_liveness`, since the agent and the modules that it imports take some 40 ms of
processor time, which a mesh node without duties does not need at its start.
"""

from __future__ import annotations

from twisted.internet import defer, endpoints, interfaces
from twisted.web import client as web_client
from twisted.web import iweb
from zope.interface import implementer

from anvillug.connection import local_port, tcp_liveness


@implementer(iweb.IAgentEndpointFactory)
class EndpointFactory:
    """Endpoints of an HTTP agent whose connections detect silence.

    Args:
        reactor: Opens the connections.
        connect_timeout_s: Time limit for opening a connection in seconds.
    """

    def __init__(self, reactor: interfaces.IReactorTCP, connect_timeout_s: float) -> None:
        self._reactor = reactor
        self._connect_timeout_s = connect_timeout_s

    def endpointForURI(self, uri: web_client.URI) -> interfaces.IStreamClientEndpoint:  # noqa: N802
        """Return the endpoint of a URI; see Twisted."""
        return _Endpoint(
            self._reactor, uri.host.decode(), uri.port, timeout=self._connect_timeout_s
        )


class _Endpoint(endpoints.TCP4ClientEndpoint):
    def connect(
        self,
        protocolFactory: interfaces.IProtocolFactory,  # noqa: N803
    ) -> defer.Deferred[interfaces.IProtocol]:
        connected = super().connect(protocolFactory)
        return connected.addCallback(_detect_silence_of)


def _detect_silence_of(protocol: interfaces.IProtocol) -> interfaces.IProtocol:
    tcp_liveness.detect_silence(protocol.transport)
    local_port.allow_listeners(protocol.transport)
    return protocol
