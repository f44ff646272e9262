"""Real node processes whose clients send more than the limits, or read less than they ask for."""

from __future__ import annotations

import json
import pathlib
import resource
import signal
import time

import pytest
from twisted.internet import reactor

from anvillug.bench import processes
from anvillug.standin import platform_backend, platform_store
from tests import reactor_thread, unruly_crowd

_IP = '127.0.0.13'
_PORT_COUNT = 7
_MAX_BODY_BYTES = 1 << 20
_RESPONSE_BYTES = 1 << 22
_START = b'GET /get/x HTTP/1.1\r\nHost: a.example\r\n'
_ATTRIBUTES = b'Anvillug-Attempt-Id: unruly\r\nAnvillug-Deadline-Ms: 3000\r\n'
_ORDINARY_HEADERS = {
    'Host': 'a.example',
    'Anvillug-Attempt-Id': 'ordinary',
    'Anvillug-Deadline-Ms': '4000',
}
_LENGTH = b'Content-Length: %d\r\n\r\n' % _MAX_BODY_BYTES
_CHUNKS = b'Transfer-Encoding: chunked\r\n\r\n%x\r\n' % _MAX_BODY_BYTES
_BODY_WITHHELD = b'Content-Length: 10\r\n\r\n'
_STOPPED_S = 2
_MEMORY_FIELDS = ('limit', 'start', 'other')
_CLIENT_KINDS = ('heads', 'ahead', 'responses', 'unread', 'bodies', 'jobs')


def _config() -> bytes:
    path = {
        'Name': 'get',
        'PathPrefix': '/get/',
        'Kind': 'idempotent',
        'TimeoutMs': 3000,
        'TargetLatencyMs': 1000,
        'MaxAttempts': 2,
        'Service': 'one',
    }
    service = {'Name': 'one', 'HealthPath': '/health', 'MaxConnections': 100, 'ColdPerS': 100}
    document = {
        'Version': '00000005',
        'Services': [service],
        'Limits': {
            'MaxHeaderBytes': unruly_crowd.MAX_HEADER_BYTES,
            'MaxBodyBytes': _MAX_BODY_BYTES,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000,
        },
        'VirtualHosts': [{'Host': 'a.example', 'Paths': [path]}],
    }
    return json.dumps(document).encode()


class _Node(unruly_crowd.Target):
    """A node on a small machine, its backend server and its store."""

    def __init__(self, folder: pathlib.Path, max_fds: int) -> None:
        self.backend = platform_backend.PlatformBackend(reactor, 'one', 'i-0')
        self.ports = [
            int(address.rpartition(':')[2]) for address in processes.free_addresses(_PORT_COUNT)
        ]
        super().__init__(
            (_IP, self.ports[2]),
            ('/get/x', _ORDINARY_HEADERS),
            lambda body: body.startswith(b'i-0'),
        )
        self.max_fds = max_fds
        self._folder = folder
        self._listening = []
        self._heartbeats = None

    def open(self) -> None:
        """Start the stand-ins and the node; runs in the reactor's thread."""
        store = platform_store.PlatformStore(reactor)
        store.topic('keyed.op').append(b'config', _config())
        port = reactor.listenTCP(0, store.site(), interface='127.0.0.1')
        self._listening = [port, self.backend.listen(f'{_IP}:{self.ports[0]}')]
        self._heartbeats = self.backend.start_heartbeats(f'{_IP}:{self.ports[4]}')
        path = self._folder / 'node.json'
        path.write_text(json.dumps(self._settings(port.getHost().port)))
        self.process = processes.ChildProcess(('mesh', str(path)))
        fds = (self.max_fds, self.max_fds)
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, fds)

    def close(self) -> None:
        """Stop the stand-ins; runs in the reactor's thread."""
        self._heartbeats.stop()
        for port in self._listening:
            port.stopListening()

    def _settings(self, store_port: int) -> dict[str, object]:
        backend, *listeners = [f'{_IP}:{port}' for port in self.ports[:5]]
        names = ('Inbound', 'Outbound', 'ReadyAddr', 'Control')
        return {
            'Self': {
                'NodeName': 'host-0',
                'Ip': _IP,
                'Zone': 'z',
                'AppAddr': backend,
                'Service': 'one',
                'Limits': {
                    'MemoryMb': unruly_crowd.MEMORY_MB,
                    'MaxFds': self.max_fds,
                },
            },
            'Network': {
                'Listen': dict(zip(names, listeners, strict=True)),
                'InternalPorts': self.ports[5:],
            },
            'Platform': {'Platform': {'Address': f'127.0.0.1:{store_port}'}},
            'Terms': {'Bounds': {}},
        }


@pytest.fixture
def max_fds():
    """Return how many descriptors the node may open."""
    return unruly_crowd.MAX_FDS


@pytest.fixture
def node(running_reactor, tmp_path, max_fds):
    """Return a node that answers."""
    node = _Node(tmp_path, max_fds)
    reactor_thread.call(node.open)
    try:
        reactor_thread.eventually(node.is_answered)
        yield node
    finally:
        node.process.kill()
        reactor_thread.call(node.close)


class TestUnrulyClients:
    """Guards against clients that end a node, or keep it from answering others."""

    def test_many_short_header_lines(self, node):
        unruly_crowd.check_survives(node, unruly_crowd.short_lines(_START, _BODY_WITHHELD))

    def test_heads_without_end(self, node):
        unruly_crowd.check_survives(node, _START + unruly_crowd.endless(b'a:\r\n'))

    def test_heads_just_below_the_limit_without_end(self, node):
        # 65,536 bytes were the limit of a head, whatever the configuration said.
        unruly_crowd.check_survives(node, _START + b'a:\r\n' * 16_000)

    def test_empty_lines_without_end(self, node):
        unruly_crowd.check_survives(node, unruly_crowd.endless(b'\r\n'))

    def test_slow_heads(self, node):
        unruly_crowd.check_survives(node, _START)

    def test_slow_uploads(self, node):
        unruly_crowd.check_survives(node, _START + _LENGTH + bytes(_MAX_BODY_BYTES - 1))

    def test_slow_readers_of_long_responses(self, node):
        node.backend.faults.padding_bytes = _RESPONSE_BYTES
        # The next client sends once the response has begun, since few requests run at a time.
        unruly_crowd.check_survives(node, _request(), read_bytes=1)

    def test_requests_sent_ahead_without_end(self, node):
        node.backend.faults.padding_bytes = _RESPONSE_BYTES // 16
        requests = unruly_crowd.endless(_request())
        unruly_crowd.check_survives(node, requests, unruly_crowd.SIZE // 4)

    def test_descriptors_used_up(self, node):
        unruly_crowd.check_survives(node, b'', 2 * unruly_crowd.MAX_FDS)

    # The readiness, control and metrics addresses.
    @pytest.mark.parametrize('number', [3, 4, 6])
    def test_descriptors_used_up_at_other_addresses(self, node, number):
        node.crowd_address = (_IP, node.ports[number])
        unruly_crowd.check_survives(node, _START, 2 * unruly_crowd.MAX_FDS)

    def test_descriptors_used_up_in_bursts(self, node):
        unruly_crowd.check_survives_bursts(node)


class TestBrokenOffUploads:
    """Guards against uploads that stay in memory after their clients have reset them."""

    @pytest.fixture
    def max_fds(self):
        # Fewer connections than this hold too little to show the fault.
        return 1024

    @pytest.mark.parametrize('framing', [_LENGTH, _CHUNKS], ids=['length', 'chunks'])
    def test_uploads_reset_midway_in_quick_succession(self, node, framing):
        head = _START + _ATTRIBUTES + framing
        unruly_crowd.check_survives_resets(node, head + bytes(_MAX_BODY_BYTES // 2))


class TestStreamsBehindABody:
    """Guards against what a client sends after a body, or between its chunks, without end."""

    @pytest.mark.parametrize('stream', unruly_crowd.BEHIND_CHUNKS, ids=str)
    def test_stream_without_end(self, node, stream):
        start = _START + _ATTRIBUTES + unruly_crowd.BEHIND_CHUNKS[stream][0]
        unruly_crowd.check_survives_streams(
            node,
            start,
            unruly_crowd.BEHIND_CHUNKS[stream][1],
            unruly_crowd.STREAMS,
            unruly_crowd.STREAM_PIECES,
        )

    # The readiness, control, metrics and nodes' addresses.
    @pytest.mark.parametrize('number', [1, 3, 4, 6])
    def test_trailer_without_end_at_other_addresses(self, node, number):
        node.crowd_address = (_IP, node.ports[number])
        start, piece = unruly_crowd.BEHIND_CHUNKS['trailer-value']
        unruly_crowd.check_survives_streams(
            node, _START + start, piece, unruly_crowd.STREAMS, unruly_crowd.STREAM_PIECES
        )


class TestChunksOfOneByte:
    """Guards against bodies whose chunks take all of the time of a node."""

    @pytest.fixture
    def max_fds(self):
        # Half of them are for clients, all of which send at the same time.
        return 1024

    @pytest.mark.parametrize('chunk', [b'1\r\na\r\n', b'2\r\nab\r\n'], ids=['one', 'two'])
    def test_bodies_in_small_chunks(self, node, chunk):
        start = b'%b%bTransfer-Encoding: chunked\r\n\r\n' % (_START, _ATTRIBUTES)
        unruly_crowd.check_survives_streams(
            node, start, chunk * 9000, unruly_crowd.SIZE, 100, asks_early=True
        )


class TestProcessState:
    """Guards against a process that is ended at a limit, and no line tells what it held."""

    def test_line_tells_the_memory_by_kind(self, node):
        # The log of a process that was ended for its memory had no reason.
        unruly_crowd.check_survives(node, _START + _LENGTH + bytes(_MAX_BODY_BYTES - 1))
        line = unruly_crowd.state_line(node, 'memory')
        memory = {name: int(line[f'process_memory_{name}_bytes']) for name in _MEMORY_FIELDS}
        memory['process'] = int(line['process_memory_bytes'])
        assert memory['limit'] == unruly_crowd.MEMORY_MB << 20
        assert memory['limit'] // 2 <= memory['process'] < memory['limit']
        assert 0 < memory['start'] < memory['process']
        assert int(line['client_memory_bodies_bytes']) > 0
        kinds = sum(int(line[f'client_memory_{kind}_bytes']) for kind in _CLIENT_KINDS)
        logged = int(line['log_memory_bytes'])
        assert memory['other'] == memory['process'] - memory['start'] - kinds - logged

    def test_line_tells_the_descriptors_by_kind_and_state(self, node):
        # Nothing told what the descriptors of a process were open for.
        unruly_crowd.check_survives(node, _START)
        line = unruly_crowd.state_line(node, 'descriptors')
        used = int(line['process_descriptors'])
        assert int(line['process_descriptors_limit']) == node.max_fds
        assert node.max_fds // 2 <= used <= node.max_fds
        assert int(line['connections_callers']) > used // 2
        # All callers owe the rest of a head.
        assert line['callers'].startswith('head:')
        assert int(line['process_descriptors_other']) < used // 4

    def test_line_tells_that_the_process_stood_still(self, node):
        # A log without lines for a time looked the same, whether the process was at work or not.
        node.process.send_signal(signal.SIGSTOP)
        time.sleep(_STOPPED_S)
        node.process.send_signal(signal.SIGCONT)
        line = node.process.wait_for_event('process_state')
        assert line['reason'].strip('"') in {'late', 'long turn'}
        assert int(line['looked_ms']) > _STOPPED_S * 1000
        assert int(line['processor_ms']) < _STOPPED_S * 1000


class TestRequestsOfManyLines:
    """Guards against requests sent ahead whose many lines or offers take memory or time."""

    @pytest.mark.parametrize('offer', [b'Upgrade', b'X-Upgrade'], ids=['offer', 'plain'])
    def test_requests_sent_ahead(self, node, offer):
        request = unruly_crowd.offer(_START + _ATTRIBUTES).replace(b'Upgrade:', b'%b:' % offer)
        unruly_crowd.check_survives_streams(node, b'', request, 10, 200, reads=True)

    def test_heads_of_finished_requests(self, node):
        # Heads of answered requests stayed until the collector ran.
        request = unruly_crowd.offer(_START + _ATTRIBUTES)
        unruly_crowd.check_survives_streams(node, b'', request, 10, 2000, reads=True)


def _request() -> bytes:
    return b'%b%b\r\n' % (_START, _ATTRIBUTES)
