"""Unruly clients of real processes of the product's own node; see `unruly_crowd`."""

from __future__ import annotations

import json
import pathlib
import subprocess
import sys
from http import client as http_client
from typing import Any

import pytest

from anvillug.bench import processes
from tests import reactor_thread, unruly_crowd

_SERVICE = 'drawbook'
_LIMITS = {
    'max_header_bytes': unruly_crowd.MAX_HEADER_BYTES,
    'client_memory_bytes': 16 << 20,
    'caller_connections': 32,
    'process_memory_bytes': unruly_crowd.MEMORY_MB << 20,
}
_TIMEOUTS = {'silence_ms': 2000, 'head_ms': 1000, 'idle_ms': 2000}
_RESPONSE_BYTES = 1 << 22
_SMALL_BODY_BYTES = 1 << 16
_START = b'POST /x HTTP/1.1\r\nHost: drawbook\r\n'
_DEADLINE = b'Anvillug-Deadline-Ms: 3000\r\n'
_BODY_WITHHELD = b'Content-Length: 10\r\n\r\n'
_PATCH_TIMEOUT_S = 30
# A shell lowers the limit before the node starts, which reads it once.
_LOWERED = ('sh', '-c', f'ulimit -n {unruly_crowd.MAX_FDS}; exec "$0" "$@"', *processes.PROGRAM)


class _Node(unruly_crowd.Target):
    """A node on a small machine, its backend server and its log."""

    def __init__(self, folder: pathlib.Path, group: list[processes.ChildProcess]) -> None:
        log_address = processes.start(['standin', 'log'], group).wait_for_event()['address']
        addresses = processes.free_addresses(4)
        host, _, port = addresses[0].rpartition(':')
        headers = {'Host': _SERVICE, 'Anvillug-Deadline-Ms': '4000'}
        super().__init__((host, int(port)), ('/x', headers), lambda body: b'"/x"' in body)
        host, _, port = addresses[-1].rpartition(':')
        self.operator_address = (host, int(port))
        kinds = ('caller', 'peer', 'control', 'operator')
        path = folder / 'node.json'
        path.write_text(
            json.dumps(
                {
                    'host_id': 'host-1',
                    'region': 'south',
                    'zone': 'kochi-1',
                    **{
                        f'{kind}_address': address
                        for kind, address in zip(kinds, addresses, strict=True)
                    },
                    'log_address': log_address,
                    'limits': _LIMITS,
                    'timeouts': _TIMEOUTS,
                }
            )
        )
        self.process = processes.ChildProcess(('node', str(path)), program=_LOWERED)
        group.append(self.process)
        self.process.wait_for_event('node_started')
        _publish(folder, log_address)
        options = ['--service', _SERVICE, '--announce-address', addresses[-1], '--no-start-cold']
        processes.start(['standin', 'backend-server', *options], group)


def _publish(folder: pathlib.Path, log_address: str) -> None:
    path = folder / 'patch.json'
    path.write_text(json.dumps({'services': {_SERVICE: {'version': 'v1'}}}))
    subprocess.run(  # noqa: S603
        [*processes.PROGRAM, 'patch', str(path), '--base', '0', '--log', log_address],
        stdout=sys.stderr,
        timeout=_PATCH_TIMEOUT_S,
        check=True,
    )


@pytest.fixture
def node(tmp_path):
    """Return a node that answers."""
    with processes.group() as group:
        node = _Node(tmp_path, group)
        reactor_thread.eventually(node.is_answered)
        yield node


class TestUnrulyClients:
    """Guards against clients that end a product node, or keep it from answering others."""

    def test_many_short_header_lines(self, node):
        unruly_crowd.check_survives(node, unruly_crowd.short_lines(_START, _BODY_WITHHELD))

    def test_heads_without_end(self, node):
        unruly_crowd.check_survives(node, _START + unruly_crowd.endless(b'a:\r\n'))

    def test_empty_lines_without_end(self, node):
        unruly_crowd.check_survives(node, unruly_crowd.endless(b'\r\n'))

    def test_slow_heads(self, node):
        unruly_crowd.check_survives(node, _START, 2 * unruly_crowd.MAX_FDS)

    def test_slow_uploads(self, node):
        head = _START + _DEADLINE + b'Content-Length: %d\r\n\r\n' % _SMALL_BODY_BYTES
        unruly_crowd.check_survives(node, head + bytes(_SMALL_BODY_BYTES - 1))

    def test_uploads_reset_midway_in_quick_succession(self, node):
        head = _START + _DEADLINE + b'Content-Length: %d\r\n\r\n' % (2 * _SMALL_BODY_BYTES)
        unruly_crowd.check_survives_resets(node, head + bytes(_SMALL_BODY_BYTES))

    def test_slow_uploads_in_small_chunks(self, node):
        chunks = unruly_crowd.endless(b'1\r\na\r\n')
        head = b'%b%bTransfer-Encoding: chunked\r\n\r\n' % (_START, _DEADLINE)
        unruly_crowd.check_survives(node, head + chunks)

    def test_slow_readers_of_long_responses(self, node):
        # The next client sends once the response has begun, since few requests run at a time.
        unruly_crowd.check_survives(node, _request(_RESPONSE_BYTES), read_bytes=1)

    def test_requests_sent_ahead_without_end(self, node):
        requests = unruly_crowd.endless(_request(_RESPONSE_BYTES // 16))
        unruly_crowd.check_survives(node, requests, unruly_crowd.SIZE // 4)

    def test_descriptors_used_up(self, node):
        unruly_crowd.check_survives(node, b'', 2 * unruly_crowd.MAX_FDS)

    def test_descriptors_used_up_at_the_operator_address(self, node):
        node.crowd_address = node.operator_address
        unruly_crowd.check_survives(node, _START, 2 * unruly_crowd.MAX_FDS)

    def test_descriptors_used_up_in_bursts(self, node):
        unruly_crowd.check_survives_bursts(node)


class TestStreamsBehindABody:
    """Guards against what a client sends after a body, or between its chunks, without end."""

    @pytest.mark.parametrize('stream', unruly_crowd.BEHIND_CHUNKS, ids=str)
    def test_stream_without_end(self, node, stream):
        start = _START + _DEADLINE + unruly_crowd.BEHIND_CHUNKS[stream][0]
        unruly_crowd.check_survives_streams(
            node,
            start,
            unruly_crowd.BEHIND_CHUNKS[stream][1],
            unruly_crowd.STREAMS,
            unruly_crowd.STREAM_PIECES,
        )

    def test_trailer_without_end_at_the_operator_address(self, node):
        node.crowd_address = node.operator_address
        start, piece = unruly_crowd.BEHIND_CHUNKS['trailer-value']
        unruly_crowd.check_survives_streams(
            node, _START + start, piece, unruly_crowd.STREAMS, unruly_crowd.STREAM_PIECES
        )


class TestChunksOfOneByte:
    """Guards against bodies whose chunks take all of the time of a node."""

    @pytest.mark.parametrize('chunk', [b'1\r\na\r\n', b'2\r\nab\r\n'], ids=['one', 'two'])
    def test_bodies_in_small_chunks(self, node, chunk):
        start = b'%b%bTransfer-Encoding: chunked\r\n\r\n' % (_START, _DEADLINE)
        unruly_crowd.check_survives_streams(
            node, start, chunk * 9000, unruly_crowd.SIZE, 100, asks_early=True
        )


class TestProcessState:
    """Guards against a process that is ended at a limit, and no line tells what it held."""

    def test_line_and_state_dump_tell_what_the_descriptors_are(self, node):
        # Nothing told what the descriptors of a process were open for.
        unruly_crowd.check_survives(node, _request(_RESPONSE_BYTES), read_bytes=1)
        line = unruly_crowd.state_line(node, 'descriptors')
        for kind in ('callers', 'nodes', 'to_nodes', 'to_backend'):
            assert int(line[f'connections_{kind}']) > 0
        assert int(line['process_descriptors_limit']) == unruly_crowd.MAX_FDS
        assert int(line['process_descriptors']) >= unruly_crowd.MAX_FDS // 2
        state = _state(node)['process']
        assert 0 < state['process_memory_start_bytes'] < state['process_memory_bytes']
        # The request for the state itself.
        assert 'response:1' in state['operators'].split(',')


def _state(node: _Node) -> dict[str, Any]:
    connection = http_client.HTTPConnection(*node.operator_address, timeout=5)
    try:
        connection.request('GET', '/state')
        return json.loads(connection.getresponse().read())
    finally:
        connection.close()


class TestRequestsOfManyLines:
    """Guards against requests sent ahead whose many lines or offers take memory or time."""

    @pytest.mark.parametrize('offer', [b'Upgrade', b'X-Upgrade'], ids=['offer', 'plain'])
    def test_requests_sent_ahead(self, node, offer):
        request = unruly_crowd.offer(_START + _DEADLINE).replace(b'Upgrade:', b'%b:' % offer)
        unruly_crowd.check_survives_streams(node, b'', request, 10, 200, reads=True)


def _request(response_bytes: int) -> bytes:
    target = b'/x?bytes=%d' % response_bytes
    return b'GET %b HTTP/1.1\r\nHost: drawbook\r\n%b\r\n' % (target, _DEADLINE)
