"""Requests of callers and of other nodes around the stop of a real node process."""

from __future__ import annotations

import collections
import dataclasses
import itertools
import json
import signal
import socket
import threading
import time
from http import client as http_client

import pytest

from anvillug import clock, ids
from anvillug.connection import http_head
from anvillug.request import job, job_wire
from anvillug.version import directives
from tests import reactor_thread, test_mesh_path

mesh = test_mesh_path.mesh

_TIMEOUT_S = 10
CALLERS = 6
_CALLER_PORT = 2
_PEER_PORT = 1
_PAUSE_S = 0.01


@dataclasses.dataclass
class Message:
    """A request that is sent again and again."""

    method: str
    target: str
    body: bytes
    headers: dict[str, str]


class Sender:
    """Sends requests on a kept connection until the node refuses connections."""

    def __init__(self, address: tuple[str, int], message: Message) -> None:
        self.outcomes: collections.Counter[str] = collections.Counter()
        """Numbers of statuses and of requests without an answer."""
        self._address = address
        self._message = message
        self._thread = threading.Thread(target=self._send_all)
        self._thread.start()

    def join(self) -> None:
        """Wait until the node refuses connections."""
        self._thread.join()

    def _send_all(self) -> None:
        connection = http_client.HTTPConnection(*self._address, timeout=_TIMEOUT_S)
        for number in itertools.count():
            if connection.sock is None:
                try:
                    connection.connect()
                except ConnectionRefusedError:
                    return
            self._send(connection, number)
            time.sleep(_PAUSE_S)

    def _send(self, connection: http_client.HTTPConnection, number: int) -> None:
        message = self._message
        headers = {**message.headers, 'Anvillug-Attempt-Id': f'{id(self)}-{number}'}
        try:
            connection.request(message.method, message.target, message.body, headers)
            response = connection.getresponse()
            response.read()
        except (OSError, http_client.HTTPException) as error:
            connection.close()
            self.outcomes[type(error).__name__] += 1
            return
        self.outcomes[str(response.status)] += 1


def outcomes(senders: list[Sender]) -> collections.Counter[str]:
    """Return the numbers of outcomes, once all senders are refused."""
    for sender in senders:
        sender.join()
    return sum((each.outcomes for each in senders), collections.Counter())


def _inquiry() -> bytes:
    work = job.Job(
        attempt_id='a',
        service=ids.ServiceName('one'),
        route=ids.RouteName('r'),
        head=http_head.RequestHead(b'POST', b'/once/', []),
        body=b'',
        deadline=clock.Milliseconds(3000),
        repeatable=False,
        priority=0,
        position=directives.Position(1, 0),
        instance=ids.InstanceId('i-0'),
        must_accept=False,
    )
    return job_wire.pack_job(work, clock.Milliseconds(0))


_CALL = Message('POST', '/once/x', b'1', {'Host': 'a.example', 'Anvillug-Deadline-Ms': '4000'})
_INQUIRY = Message('POST', job_wire.INQUIRY_PATH.decode(), _inquiry(), {'Host': 'node'})


def _address(mesh, port: int, node: int = 0) -> tuple[str, int]:
    return test_mesh_path._IPS[node], mesh.ports[port]  # noqa: SLF001


class TestStop:
    """Guards against requests that a stopping node leaves without an answer."""

    # Guards against kept connections that are closed under a request.
    def test_kept_connections_of_callers_lose_no_request(self, mesh):
        senders = [Sender(_address(mesh, _CALLER_PORT), _CALL) for _ in range(CALLERS)]
        mesh.nodes[0].send_signal(signal.SIGTERM)
        assert set(outcomes(senders)) <= {'200', '503'}

    # Guards against callers that are not told to leave before idle connections are closed.
    def test_responses_announce_the_close_from_the_signal_on(self, mesh):
        mesh.nodes[0].send_signal(signal.SIGTERM)
        reactor_thread.eventually(lambda: not mesh.is_ready(0))
        _, _, response = mesh.request('/get/x')
        assert (response.status, response.getheader('Connection')) == (200, 'close')

    # Guards against jobs of other nodes that are cut at the end of the process, and which their
    # callers are told may have run.
    def test_jobs_of_other_nodes_are_answered_until_the_end(self, mesh):
        senders = [Sender(_address(mesh, _PEER_PORT), _INQUIRY) for _ in range(CALLERS)]
        mesh.nodes[0].send_signal(signal.SIGTERM)
        assert set(outcomes(senders)) == {'200'}
        assert mesh.nodes[0].stop() == 0

    # Guards against a stop in which timers run before sockets are read.
    @pytest.mark.parametrize('pause_s', [1.0, 2.2])
    def test_suspended_node_answers_what_arrived_meanwhile(self, mesh, pause_s):
        kept = [socket.create_connection(_address(mesh, _CALLER_PORT)) for _ in range(CALLERS)]
        for connection in kept:
            assert _exchange(connection, 'kept').startswith(b'HTTP/1.1 200')
        mesh.nodes[0].send_signal(signal.SIGTERM)
        reactor_thread.eventually(lambda: not mesh.is_ready(0))
        time.sleep(pause_s)
        mesh.nodes[0].send_signal(signal.SIGSTOP)
        late = [
            *kept,
            *(socket.create_connection(_address(mesh, _CALLER_PORT)) for _ in range(_QUEUED)),
        ]
        for connection in late:
            connection.sendall(_encoded('late'))
        time.sleep(_SUSPENDED_S)
        mesh.nodes[0].send_signal(signal.SIGCONT)
        statuses = collections.Counter(_receive(each)[9:12] for each in late)
        assert set(statuses) <= {b'200', b'503'}

    # Guards against jobs of nodes that stop at the same time, and answers of a node's own in place
    # of those that backend servers are working on.
    @pytest.mark.parametrize(('work_ms', 'body_size'), [(2, 1), (700, 1), (100, 1 << 20)])
    def test_nodes_that_stop_together_answer_all(self, mesh, work_ms, body_size):
        mesh.inject_faults(work_ms=work_ms)
        call = dataclasses.replace(_CALL, body=bytes(body_size))
        senders = [
            Sender(_address(mesh, _CALLER_PORT, node), call)
            for node in range(len(mesh.nodes))
            for _ in range(CALLERS)
        ]
        time.sleep(_BEFORE_STOP_S)
        for process in mesh.nodes:
            process.send_signal(signal.SIGTERM)
        assert set(outcomes(senders)) <= {'200', '503'}
        assert [process.stop() for process in mesh.nodes] == [0, 0]

    # Guards against requests that are cut while settings and directives change.
    def test_changes_under_load_cut_nothing(self, mesh):
        mesh.inject_faults(work_ms=100)
        senders = [Sender(_address(mesh, _CALLER_PORT), _CALL) for _ in range(CALLERS)]
        path = mesh.settings_path(0)
        document = json.loads(path.read_text())
        for number in range(_CHANGES):
            document['Self']['Service'] = ('two', 'one')[number % 2]
            path.write_text(json.dumps(document))
            mesh.nodes[0].send_signal(signal.SIGHUP)
            mesh.order(
                b'config',
                test_mesh_path._config(6 + number, *test_mesh_path._PATHS),  # noqa: SLF001
            )
            time.sleep(_CHANGE_S)
        mesh.nodes[0].send_signal(signal.SIGTERM)
        assert set(outcomes(senders)) <= {'200', '503'}


_BEFORE_STOP_S = 0.5
_CHANGES = 10
_CHANGE_S = 0.15
_QUEUED = 50
_SUSPENDED_S = 1.5


def _encoded(name: str) -> bytes:
    lines = (
        f'POST /once/{name} HTTP/1.1',
        'Host: a.example',
        f'Anvillug-Attempt-Id: {name}-{time.monotonic_ns()}',
        'Anvillug-Deadline-Ms: 4000',
        'Content-Length: 1',
        '',
        '1',
    )
    return '\r\n'.join(lines).encode()


def _exchange(connection: socket.socket, name: str) -> bytes:
    connection.settimeout(_TIMEOUT_S)
    connection.sendall(_encoded(name))
    return connection.recv(65536)


def _receive(connection: socket.socket) -> bytes:
    connection.settimeout(_TIMEOUT_S)
    with connection:
        try:
            return connection.recv(65536)
        except ConnectionResetError:
            return b''
