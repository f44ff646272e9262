"""Backend server whose responses to some requests have no end."""

from __future__ import annotations

import re

from twisted.internet import interfaces, protocol
from zope.interface import implementer

from anvillug.standin import platform_backend

UNRULY_PATH = b'/get/unruly'
"""Requests for this path get the unruly response."""
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
"""End of the head of a response in chunks."""
UNTIL_CLOSE = b'\r\n'
"""End of the head of a response that ends with the connection."""
_STATUS_LINE = b'HTTP/1.1 200 OK\r\n'
_WRITE_BYTES = 1 << 16
_ID = re.compile(rb'anvillug-attempt-id: *(\S+)', re.IGNORECASE)


class UnrulyBackend(platform_backend.PlatformBackend):
    """Backend server that sends heartbeats like an ordinary one.

    Args:
        reactor: Twisted reactor.
        service: Name of its service.
        instance: Instance id.
    """

    def __init__(self, reactor, service, instance):
        super().__init__(reactor, service, instance)
        self.slots = 32
        self.status_line = _STATUS_LINE
        """Status line of an unruly response."""
        self.start = b''
        """What precedes the repeated part of an unruly response; its head is not complete."""
        self.part = b''
        """What is sent again and again after it; if it is empty, nothing is."""

    def listen(self, address):
        """Start to listen on an address."""
        host, _, port = address.rpartition(':')
        self.listen_address = address
        factory = protocol.Factory()
        factory.buildProtocol = lambda peer: _Connection(self)
        return self._reactor.listenTCP(int(port), factory, interface=host)


@implementer(interfaces.IPullProducer)
class _Connection(protocol.Protocol):
    """One connection, which carries requests without a body."""

    def __init__(self, backend):
        self._backend = backend
        self._received = b''

    def dataReceived(self, data):  # noqa: N802
        """Answer a request that is complete."""
        self._received += data
        if not self._received.endswith(b'\r\n\r\n'):
            return
        request = self._received
        self._received = b''
        is_unruly = UNRULY_PATH in request
        attempt_id = _ID.search(request)
        self.transport.write(self._backend.status_line if is_unruly else _STATUS_LINE)
        self.transport.write(
            b'Anvillug-Server-Load: 0,0,4,100\r\n'
            b'Anvillug-Instance-Id: %b\r\nAnvillug-Server-Seal: seal\r\n'
            b'Anvillug-Attempt-Id: %b\r\n'
            % (self._backend.instance.encode(), attempt_id.group(1) if attempt_id else b'')
        )
        if is_unruly:
            self.transport.write(self._backend.start)
            if self._backend.part:
                self.transport.registerProducer(self, streaming=False)
        else:
            self.transport.write(b'Content-Length: 3\r\n\r\ni-0')

    def resumeProducing(self):  # noqa: N802
        """Send more of the unruly response, as fast as it is read."""
        part = self._backend.part
        self.transport.write(part * (_WRITE_BYTES // len(part)))

    def stopProducing(self):  # noqa: N802
        """Do nothing: the connection is lost."""
