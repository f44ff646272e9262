"""Detects TCP connections on which nothing arrives any more, although they were not closed.

A connection that waits for a response of the peer sends nothing, so only keep-alive probes of its
own show that the path is gone.
"""

from __future__ import annotations

import socket

from twisted.internet import defer, endpoints, interfaces
from twisted.web import client as web_client
from twisted.web import iweb
from zope.interface import implementer

from anvillug.connection import local_port

# Keep-alive probes are sent on a connection that has received nothing for this long.
_IDLE_S = 1
# A probe without a response for this long closes the connection: a new one costs less than a
# missed message.
_PROBE_TIMEOUT_S = 1
_MAX_PROBES = 1
SILENCE_LIMIT_MS = 2000
"""Time in milliseconds after which a connection without any sign of the peer is closed."""

_TCP_OPTIONS = (
    (socket.TCP_KEEPIDLE, _IDLE_S),
    (socket.TCP_KEEPINTVL, _PROBE_TIMEOUT_S),
    (socket.TCP_KEEPCNT, _MAX_PROBES),
    # For data that was sent and not acknowledged: no probes are sent then.
    (socket.TCP_USER_TIMEOUT, SILENCE_LIMIT_MS),
)


def detect_silence(transport: interfaces.ITCPTransport) -> None:
    """Make the kernel close a connection after `SILENCE_LIMIT_MS` without a sign of the peer."""
    transport.setTcpKeepAlive(enabled=True)
    handle = transport.getHandle()
    for option, setting in _TCP_OPTIONS:
        handle.setsockopt(socket.IPPROTO_TCP, option, setting)


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
    detect_silence(protocol.transport)
    local_port.allow_listeners(protocol.transport)
    return protocol
