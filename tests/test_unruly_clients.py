"""Real node processes whose clients send more than the limits, or read less than they ask for."""

from __future__ import annotations

import contextlib
import json
import os
import pathlib
import re
import resource
import signal
import socket
import time
from collections.abc import Iterable, Iterator
from http import client as http_client
from typing import Any

import pytest
from twisted.internet import reactor

from anvillug.bench import processes
from anvillug.standin import platform_backend, platform_store
from tests import reactor_thread

_IP = '127.0.0.13'
_PORT_COUNT = 7
_ANONYMOUS_MEMORY = re.compile(r'RssAnon:\s+(\d+) kB')
# The machine of the node in these tests. Each client of the crowd stands for a share of it, so that
# what all of them can send within the limits of a request is more than the machine has.
_MEMORY_MB = 96
_MAX_FDS = 192
_CROWD = 128
_MAX_HEADER_BYTES = 16384
_MAX_BODY_BYTES = 1 << 20
_RECEIVE_BUFFER_BYTES = 4096
_RESPONSE_BYTES = 1 << 22
# Bytes that one client sends if it never ends a head, or never pauses between requests.
_ENDLESS_BYTES = 1 << 18
_SEND_TIMEOUT_S = 0.5
_CHECKS = 20
_CHECK_S = 0.1
_BURSTS = 8
_BURST_CHECKS = 5000
_START = b'GET /get/x HTTP/1.1\r\nHost: a.example\r\n'
_ATTRIBUTES = b'Anvillug-Attempt-Id: unruly\r\nAnvillug-Deadline-Ms: 3000\r\n'
_BODY_WITHHELD = b'Content-Length: 10\r\n\r\n'


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
            'MaxHeaderBytes': _MAX_HEADER_BYTES,
            'MaxBodyBytes': _MAX_BODY_BYTES,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000,
        },
        'VirtualHosts': [{'Host': 'a.example', 'Paths': [path]}],
    }
    return json.dumps(document).encode()


class _Node:
    """A node on a small machine, its backend server and its store."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.backend = platform_backend.PlatformBackend(reactor, 'one', 'i-0')
        self.process: processes.ChildProcess | None = None
        self.peak_mb = 0.0
        self.peak_fds = 0
        self._ports = [
            int(address.rpartition(':')[2]) for address in processes.free_addresses(_PORT_COUNT)
        ]
        self.caller_address = (_IP, self._ports[2])
        self._folder = folder
        self._listening = []
        self._heartbeats = None

    def open(self) -> None:
        """Start the stand-ins and the node; runs in the reactor's thread."""
        store = platform_store.PlatformStore(reactor)
        store.topic('keyed.op').append(b'config', _config())
        port = reactor.listenTCP(0, store.site(), interface='127.0.0.1')
        self._listening = [port, self.backend.listen(f'{_IP}:{self._ports[0]}')]
        self._heartbeats = self.backend.start_heartbeats(f'{_IP}:{self._ports[4]}')
        path = self._folder / 'node.json'
        path.write_text(json.dumps(self._settings(port.getHost().port)))
        self.process = processes.ChildProcess(('mesh', str(path)))
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (_MAX_FDS, _MAX_FDS))

    def close(self) -> None:
        """Stop the stand-ins; runs in the reactor's thread."""
        self._heartbeats.stop()
        for port in self._listening:
            port.stopListening()

    def connect(self) -> socket.socket:
        """Open a connection of a client that hardly reads."""
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
        client.settimeout(_SEND_TIMEOUT_S)
        client.connect(self.caller_address)
        return client

    def is_answered(self) -> bool:
        """Return whether the ordinary request of another client is answered."""
        connection = http_client.HTTPConnection(_IP, self._ports[2], timeout=5)
        headers = {'Anvillug-Attempt-Id': 'ordinary', 'Anvillug-Deadline-Ms': '4000'}
        try:
            connection.request('GET', '/get/x', headers={'Host': 'a.example', **headers})
            response = connection.getresponse()
            return response.status == 200 and response.read().startswith(b'i-0')
        except (OSError, http_client.HTTPException):
            return False
        finally:
            connection.close()

    def measure(self) -> None:
        """Record the private memory and the open descriptors of the node."""
        folder = pathlib.Path(f'/proc/{self.process.pid}')
        memory = _ANONYMOUS_MEMORY.search((folder / 'status').read_text())
        # A process that has ended has no memory.
        memory_kb = 0 if memory is None else int(memory.group(1))
        self.peak_mb = max(self.peak_mb, memory_kb / 1024)
        self.peak_fds = max(self.peak_fds, len(list((folder / 'fd').iterdir())))

    def _settings(self, store_port: int) -> dict[str, object]:
        backend, *listeners = [f'{_IP}:{port}' for port in self._ports[:5]]
        names = ('Inbound', 'Outbound', 'ReadyAddr', 'Control')
        return {
            'Self': {
                'NodeName': 'host-0',
                'Ip': _IP,
                'Zone': 'z',
                'AppAddr': backend,
                'Service': 'one',
                'Limits': {'MemoryMb': _MEMORY_MB, 'MaxFds': _MAX_FDS},
            },
            'Network': {
                'Listen': dict(zip(names, listeners, strict=True)),
                'InternalPorts': self._ports[5:],
            },
            'Platform': {'Platform': {'Address': f'127.0.0.1:{store_port}'}},
            'Terms': {'Bounds': {}},
        }


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


class TestUnrulyClients:
    """Guards against clients that end a node, or keep it from answering others."""

    def test_many_short_header_lines(self, node):
        _check_survives(node, _START + _short_lines() + _BODY_WITHHELD)

    def test_heads_without_end(self, node):
        line = b'a:\r\n'
        _check_survives(node, _START + line * (_ENDLESS_BYTES // len(line)))

    def test_heads_just_below_the_limit_without_end(self, node):
        # 65,536 bytes were the limit of a head, whatever the configuration said.
        _check_survives(node, _START + b'a:\r\n' * 16_000)

    def test_empty_lines_without_end(self, node):
        _check_survives(node, b'\r\n' * (_ENDLESS_BYTES // 2))

    def test_slow_heads(self, node):
        _check_survives(node, _START)

    def test_slow_uploads(self, node):
        head = _START + b'Content-Length: %d\r\n\r\n' % _MAX_BODY_BYTES
        _check_survives(node, head + bytes(_MAX_BODY_BYTES - 1))

    def test_slow_readers_of_long_responses(self, node):
        node.backend.faults.padding_bytes = _RESPONSE_BYTES
        # The next client sends once the response has begun, since few requests run at a time.
        _check_survives(node, _request(), read_bytes=1)

    def test_requests_sent_ahead_without_end(self, node):
        node.backend.faults.padding_bytes = _RESPONSE_BYTES // 16
        request = _request()
        _check_survives(node, request * (_ENDLESS_BYTES // len(request)), _CROWD // 4)

    def test_descriptors_used_up(self, node):
        _check_survives(node, b'', 2 * _MAX_FDS)

    def test_descriptors_used_up_in_bursts(self, node):
        with contextlib.ExitStack() as stack:
            for _ in range(_BURSTS):
                # A suspended node accepts a whole queue in one turn of its reactor.
                os.kill(node.process.pid, signal.SIGSTOP)
                for _ in range(_CROWD):
                    client = stack.enter_context(socket.socket())
                    client.setblocking(False)
                    client.connect_ex(node.caller_address)
                os.kill(node.process.pid, signal.SIGCONT)
                # The peak lasts for less than a turn.
                for _ in range(_BURST_CHECKS):
                    node.measure()
            reactor_thread.eventually(node.is_answered)
        assert node.process.running
        assert node.peak_fds < _MAX_FDS


def _short_lines() -> bytes:
    """Return as many odd header lines as a head within the limits can hold."""
    size = _MAX_HEADER_BYTES - len(_START) - len(_BODY_WITHHELD)
    lines = b''.join(b'%x:\r\n' % number for number in range(4096))
    return lines[: lines.rindex(b'\n', 0, size) + 1]


def _request() -> bytes:
    return b'%b%b\r\n' % (_START, _ATTRIBUTES)


def _check_survives(
    node: _Node, sent: bytes, client_count: int = _CROWD, read_bytes: int = 0
) -> None:
    """Let a crowd of clients send, and check the node while they stay connected.

    Args:
        node: The node.
        sent: What each client sends, as far as the node reads it.
        client_count: Number of clients.
        read_bytes: What each client reads before the next one connects.
    """
    with contextlib.ExitStack() as stack:
        for _ in _progress(node, range(client_count)):
            with contextlib.suppress(OSError):
                client = stack.enter_context(node.connect())
                client.sendall(sent)
                client.recv(read_bytes)
        # Responses to what was sent may still be on their way to the node.
        for _ in _progress(node, range(_CHECKS)):
            time.sleep(_CHECK_S)
        reactor_thread.eventually(node.is_answered)
        node.measure()
    assert node.process.running
    assert node.peak_mb < _MEMORY_MB
    assert node.peak_fds < _MAX_FDS


def _progress(node: _Node, items: Iterable[Any]) -> Iterator[Any]:
    """Yield items, and measure the node after each."""
    for item in items:
        yield item
        node.measure()
