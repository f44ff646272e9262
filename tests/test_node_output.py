"""The output of `anvillug node`, as a real process."""

from __future__ import annotations

import fcntl
import json
import os
import socket
import time

import pytest

from anvillug.bench import processes
from tests import reactor_thread

_PIPE_BYTES = 4096
_MALFORMED_REQUEST = b'no request\r\n\r\n'
# Each is logged by a line, so that the lines of all exceed the pipe.
_REQUESTS = 100


@pytest.fixture
def node(tmp_path):
    """Yield the caller address, the reading end of the output and the process of a node."""
    names = ('caller_address', 'peer_address', 'control_address', 'operator_address', 'log_address')
    addresses = dict(zip(names, processes.free_addresses(len(names)), strict=True))
    path = tmp_path / 'node.json'
    path.write_text(json.dumps({'host_id': 'h', 'zone': 'z', 'region': 'r', **addresses}))
    reader, writer = os.pipe()
    fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, _PIPE_BYTES)
    with open(writer, 'wb') as output:
        process = processes.ChildProcess(('node', str(path)), output=output)
    try:
        reactor_thread.eventually(lambda: _answers(addresses['caller_address']))
        yield addresses['caller_address'], reader, process
    finally:
        process.kill()
        os.close(reader)


def _answers(address: str) -> bool:
    """Return whether a malformed request is answered."""
    host, _, port = address.rpartition(':')
    try:
        with socket.create_connection((host, int(port)), timeout=2) as connection:
            connection.sendall(_MALFORMED_REQUEST)
            return connection.recv(64).startswith(b'HTTP/1.1 400')
    except OSError:
        time.sleep(0.01)
        return False


class TestSlowReader:
    """Guards against a node that waits for the reader of its log instead of serving."""

    def test_reader_that_stopped_reading_costs_no_answer(self, node):
        address, _, process = node
        assert all(_answers(address) for _ in range(_REQUESTS))
        assert process.stop() == 0

    def test_closed_reader_costs_no_answer(self, node):
        address, reader, process = node
        os.dup2(os.open(os.devnull, os.O_RDONLY), reader)
        assert all(_answers(address) for _ in range(_REQUESTS))
        assert process.stop() == 0
