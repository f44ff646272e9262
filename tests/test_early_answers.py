"""Answers of backend servers before the end of a long upload, over two real mesh nodes."""

from __future__ import annotations

import re
import socket

import pytest
from twisted.internet import interfaces, protocol, reactor

from anvillug import clock
from anvillug.standin import platform_backend
from tests import reactor_thread, test_mesh_path

# More than the buffers of the system take, so that a part of the upload is still being written.
_UPLOAD_BYTES = 8 << 20
_RECEIVE_BUFFER_BYTES = 4096
_HEAD_END = b'\r\n\r\n'
_ATTEMPT_ID = re.compile(rb'(?i)\r\nanvillug-attempt-id: *([^\r]*)')
_LENGTH = re.compile(rb'(?i)\r\ncontent-length: *(\d+)')
_PART = b'a part of the answer'


class _Early(protocol.Protocol):
    """Connection that answers an upload once its head has arrived, without a length."""

    def __init__(self, backend: _EarlyBackend) -> None:
        self._backend = backend
        self._received = b''
        self._left_bytes: int | None = None

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Answer a health check, or begin to answer an upload; see Twisted."""
        if self._left_bytes is not None:
            self._upload_received(len(data))
            return
        self._received += data
        head, end, rest = self._received.partition(_HEAD_END)
        if not end:
            return
        self._received = b''
        if head.startswith(b'GET /health'):
            self._respond(b'Content-Length: 0\r\n')
            return
        attempt_id = _ATTEMPT_ID.search(head).group(1)
        seal = b'seal.%b' % self._backend.instance.encode()
        self._respond(
            b'Anvillug-Attempt-Id: %b\r\nAnvillug-Server-Seal: %b\r\n' % (attempt_id, seal)
        )
        self.transport.write(_PART)
        self._left_bytes = int(_LENGTH.search(head).group(1))
        self._backend.uploads += 1
        if self._backend.resets_after_ms is None:
            self._upload_received(len(rest))
        else:
            self.transport.pauseProducing()
            delay_s = clock.to_seconds(self._backend.resets_after_ms)
            reactor.callLater(delay_s, self.transport.abortConnection)

    def _respond(self, headers: bytes) -> None:
        instance = self._backend.instance.encode()
        self.transport.write(
            b'HTTP/1.1 200 OK\r\nAnvillug-Server-Load: 0,0,4,100\r\n'
            b'Anvillug-Instance-Id: %b\r\n%b\r\n' % (instance, headers)
        )

    def _upload_received(self, size: int) -> None:
        self._left_bytes -= size
        if not self._left_bytes:
            self.transport.loseConnection()


class _EarlyBackend(platform_backend.PlatformBackend):
    """Backend server that answers uploads early, and resets the connection."""

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)
        self.uploads = 0
        self.resets_after_ms: float | None = None
        """Time until the reset; None to read the upload, and close the connection regularly."""

    def listen(self, address: str) -> interfaces.IListeningPort:
        """Start to listen on an address."""
        host, _, port = address.rpartition(':')
        self.listen_address = address
        factory = protocol.Factory.forProtocol(lambda: _Early(self))
        factory.noisy = False
        listening = reactor.listenTCP(int(port), factory, interface=host)
        listening.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
        return listening


@pytest.fixture
def mesh(running_reactor, tmp_path, monkeypatch):
    """Return two nodes of which the first one sends all requests to the second one."""
    monkeypatch.setattr(platform_backend, 'PlatformBackend', _EarlyBackend)
    limits = {**test_mesh_path._LIMITS, 'MaxBodyBytes': _UPLOAD_BYTES}  # noqa: SLF001
    monkeypatch.setattr(test_mesh_path, '_LIMITS', limits)
    mesh_nodes = test_mesh_path._Mesh(tmp_path)  # noqa: SLF001
    reactor_thread.call(mesh_nodes.open)
    try:
        reactor_thread.eventually(mesh_nodes.is_connected)
        mesh_nodes.backends[0].state = 'draining'
        reactor_thread.eventually(lambda: 'state=leaving' in mesh_nodes.nodes[0].output())
        yield mesh_nodes
    finally:
        for child in mesh_nodes.nodes:
            child.kill()
        reactor_thread.call(mesh_nodes.close)


class TestEarlyAnswers:
    """Guards against an answer cut by a reset that the caller of another node gets as complete.

    The resets that only a write notices are those of `test_http_client.TestReset`: a host writes a
    long body in one piece, whose failure the transport reports.
    """

    def _upload(self, mesh, resets_after_ms: float | None) -> tuple[int, bytes]:
        backend = mesh.backends[1]
        backend.resets_after_ms = resets_after_ms
        before = backend.uploads
        status, content, _ = mesh.request('/once/x', 'POST', bytes(_UPLOAD_BYTES))
        assert (mesh.backends[0].uploads, backend.uploads) == (0, before + 1)
        return status, content

    @pytest.mark.parametrize('resets_after_ms', [0, 1, 20, 200])
    def test_reset_during_the_upload_is_no_complete_answer(self, mesh, resets_after_ms):
        for _ in range(5):
            assert self._upload(mesh, resets_after_ms)[0] == 502

    def test_answer_with_a_regular_end_is_complete(self, mesh):
        assert self._upload(mesh, None) == (200, _PART)
