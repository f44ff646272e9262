"""Real node processes that receive jobs which no node would send."""

from __future__ import annotations

import pathlib
import re

import pytest

from anvillug.request import job_wire
from tests import reactor_thread, test_unruly_clients, unruly_crowd

_SENDERS = 8
_NODES_PORT = 1
_JOB_BYTES = 1 << 20
_LARGE_JOB_BYTES = 48 << 20
_ARRAY = b'\xdd'
_EMPTY_ARRAY = b'\x90'
_EMPTY_MAP = b'\x80'
_BYTES = b'\xc6'
_LENGTH_BYTES = 4
_HIGH_WATER = re.compile(r'VmHWM:\s+(\d+) kB')


@pytest.fixture
def node(running_reactor, tmp_path):
    """Return a node that answers; the crowd connects to its address for other nodes."""
    node = test_unruly_clients._Node(tmp_path, unruly_crowd.MAX_FDS)  # noqa: SLF001 - the same node
    reactor_thread.call(node.open)
    node.crowd_address = (node.address[0], node.ports[_NODES_PORT])
    try:
        reactor_thread.eventually(node.is_answered)
        yield node
    finally:
        node.process.kill()
        reactor_thread.call(node.close)


class TestUnrulyNodes:
    """Guards against jobs that end the node which receives them."""

    @pytest.mark.parametrize('part', [_EMPTY_ARRAY, _EMPTY_MAP], ids=['arrays', 'maps'])
    def test_jobs_of_many_parts(self, node, part):
        body = _message(_ARRAY, part * _JOB_BYTES)
        before_mb = _high_water_mb(node)
        unruly_crowd.check_survives(node, _request(body), _SENDERS, 1)
        # A job is decoded between two measurements of the crowd.
        assert _high_water_mb(node) - before_mb < unruly_crowd.MEMORY_MB / 2

    def test_job_far_over_the_limit_of_a_body(self, node):
        body = _message(_BYTES, bytes(_LARGE_JOB_BYTES))
        unruly_crowd.check_survives(node, _request(body), 1, 1)


def _high_water_mb(node) -> float:
    status = pathlib.Path(f'/proc/{node.process.pid}/status').read_text()
    return int(_HIGH_WATER.search(status).group(1)) / 1024


def _message(kind: bytes, content: bytes) -> bytes:
    return b'%b%b%b' % (kind, len(content).to_bytes(_LENGTH_BYTES, 'big'), content)


def _request(body: bytes) -> bytes:
    length = len(body)
    head = b'POST %b HTTP/1.1\r\nHost: node\r\nContent-Length: %d\r\n\r\n'
    return head % (job_wire.RUN_PATH, length) + body
