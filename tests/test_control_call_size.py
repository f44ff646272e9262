"""Size limit of the control calls of backend servers."""

from __future__ import annotations

import json
import types

import pytest
from twisted.internet import defer

from anvillug.platform import control
from tests import test_bad_input, test_platform_documents

_LIMIT = 64 * 1024


class _Node:
    """Records the heartbeats that it receives."""

    def __init__(self) -> None:
        self.heartbeats: list[object] = []

    def heartbeat(self, heartbeat: object) -> defer.Deferred[tuple[()]]:
        self.heartbeats.append(heartbeat)
        return defer.succeed(())


def _heartbeat(size: int) -> bytes:
    """Return the body of a valid heartbeat, with blanks up to a size."""
    encoded = json.dumps(test_platform_documents.HEARTBEAT).encode()
    return b'%b%b}' % (encoded[:-1], b' ' * (size - len(encoded)))


def _send(node: _Node, parts: tuple[bytes, ...]) -> bytes:
    requests = control.Control(types.SimpleNamespace(heartbeat=node.heartbeat))
    connection, transport, _ = test_bad_input.make_connection(requests.control)
    size = sum(map(len, parts))
    connection.dataReceived(
        b'POST /-/rpc?call=instances.heartbeat&of=i HTTP/1.1\r\n'
        b'Host: a\r\nContent-Length: %d\r\n\r\n' % size
    )
    for part in parts:
        connection.dataReceived(part)
    return transport.value()


class TestSize:
    """Guards against a heartbeat that is decoded without the parts that exceed the limit."""

    def test_part_above_the_limit_is_not_left_out(self):
        node = _Node()
        body = _heartbeat(1000)
        # Without the part in the middle it would be valid.
        response = _send(node, (body[:-1], b' ' * _LIMIT, body[-1:]))
        assert response.startswith(b'HTTP/1.1 413 ')
        assert b'exceeds 65536 bytes' in response
        assert not node.heartbeats

    @pytest.mark.parametrize(('size', 'status'), [(_LIMIT, b'200'), (_LIMIT + 1, b'413')])
    def test_limit(self, size, status):
        body = _heartbeat(size)
        response = _send(_Node(), (body[:30_000], body[30_000:]))
        assert response[9:12] == status
