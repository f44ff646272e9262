"""Requests that a node sends to another one just after that one has started again."""

from __future__ import annotations

import signal
import socket
import time

import pytest

from tests import reactor_thread, test_mesh_path

mesh = test_mesh_path.mesh

_CALLER_PORT = 2
_TIMEOUT_S = 10
_ACCEPT_S = 0.2
_CALLERS = 4
# Longer than the interval in which a node looks for processes that were replaced.
_WORK_MS = 500
_REQUEST = (
    b'%b%d HTTP/1.1\r\nHost: a.example\r\nAnvillug-Attempt-Id: id-%d\r\nContent-Length: 1\r\n\r\nx'
)


class TestRestartedPeer:
    """Guards against giving up jobs that a new process runs, as if the former one had them."""

    # Guards against 502 "node: restarted" as a node that stood still reads requests before the
    # beacons of the new process (soak seed 9411).
    @pytest.mark.parametrize('start', [b'POST /once/', b'GET /get/'])
    def test_node_that_stood_still_gives_up_no_job(self, mesh, start):
        mesh.inject_faults(work_ms=_WORK_MS)
        # Only the other host is left.
        mesh.backends[0].state = 'draining'
        reactor_thread.eventually(lambda: mesh.log_count(0, 'state=leaving') > 0)
        address = (test_mesh_path._IPS[0], mesh.ports[_CALLER_PORT])  # noqa: SLF001
        callers = [socket.create_connection(address, timeout=_TIMEOUT_S) for _ in range(_CALLERS)]
        time.sleep(_ACCEPT_S)
        mesh.nodes[0].send_signal(signal.SIGSTOP)
        for number, caller in enumerate(callers):
            caller.sendall(_REQUEST % (start, number, number))
        mesh.kill_and_restart(1)
        reactor_thread.eventually(lambda: mesh.status('/get/x', node=1) == 200)
        mesh.nodes[0].send_signal(signal.SIGCONT)
        assert {caller.recv(1024)[9:12] for caller in callers} == {b'200'}
