"""Real node processes whose backend server sends responses that have no end, or are very large."""

from __future__ import annotations

import pytest
from twisted.internet import reactor

from tests import (
    reactor_thread,
    test_unruly_clients,
    unruly_backend,
    unruly_crowd,
)

_REQUEST = (
    b'GET %b HTTP/1.1\r\nHost: a.example\r\n'
    b'Anvillug-Attempt-Id: unruly\r\nAnvillug-Deadline-Ms: 3000\r\n\r\n'
    % unruly_backend.UNRULY_PATH
)
_HEAD_BYTES = 1 << 17
_WITHHELD_BYTES = 15 << 20
_INTERIM = b'HTTP/1.1 102 Processing\r\n'
_ODD_LINES = b''.join(b'%x:\r\n' % number for number in range(_HEAD_BYTES // 8))


class _Node(test_unruly_clients._Node):  # noqa: SLF001 - differs by its backend server only
    """A node whose backend server is unruly."""

    def __init__(self, folder):
        super().__init__(folder, unruly_crowd.MAX_FDS)
        self.backend = unruly_backend.UnrulyBackend(reactor, 'one', 'i-0')


@pytest.fixture
def node(running_reactor, tmp_path):
    """Return a node that answers."""
    node = _Node(tmp_path)
    reactor_thread.call(node.open)
    try:
        reactor_thread.eventually(node.is_answered)
        yield node
    finally:
        node.process.kill()
        reactor_thread.call(node.close)


class TestUnrulyBackendServers:
    """Guards against responses that end a node, or keep it from answering others."""

    @pytest.mark.parametrize(
        ('start', 'part'),
        [
            (b'%b0\r\n' % unruly_backend.CHUNKED, b'a:\r\n'),
            (b'%b0\r\na:' % unruly_backend.CHUNKED, b'a'),
            (b'%b1;' % unruly_backend.CHUNKED, b'a'),
            (unruly_backend.CHUNKED, b'0'),
            (b'Content-Length: 0\r\n\r\n', b'a'),
        ],
        ids=['trailers', 'trailer', 'extension', 'size', 'surplus'],
    )
    def test_framing_without_end(self, node, start, part):
        _check_survives(node, start, part)

    def test_heads_without_end(self, node):
        _check_survives(node, b'', b'a:\r\n')

    def test_interim_responses_without_end(self, node):
        node.backend.status_line = _INTERIM
        _check_survives(node, b'', b'\r\n%b' % _INTERIM)

    def test_many_short_header_lines(self, node):
        _check_survives(node, _ODD_LINES)

    @pytest.mark.parametrize(
        'start',
        [unruly_backend.UNTIL_CLOSE, b'Content-Length: 99999999999\r\n\r\n'],
        ids=['close', 'length'],
    )
    def test_bodies_without_end(self, node, start):
        _check_survives(node, start, b'a')

    @pytest.mark.parametrize('part', [b'1\r\na\r\n', b'2\r\nab\r\n'], ids=['1', '2'])
    def test_small_chunks_without_end(self, node, part):
        _check_survives(node, unruly_backend.CHUNKED, part)

    def test_large_bodies_that_are_never_complete(self, node):
        _check_survives(node, unruly_backend.UNTIL_CLOSE + bytes(_WITHHELD_BYTES))


def _check_survives(node, start, part=b''):
    node.backend.start = start
    node.backend.part = part
    unruly_crowd.check_survives(node, _REQUEST)
