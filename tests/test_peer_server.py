"""Responses of a mesh node to other nodes."""

from __future__ import annotations

import sys
import types
import weakref

import pytest

from anvillug import clock, ids
from anvillug.connection import memory_account
from anvillug.process import peer_server
from anvillug.request import job, job_wire
from anvillug.version import directives
from tests import test_bad_input, test_mesh_host

_TIME = clock.ManualClock(10_000)
_LIMIT_BYTES = 1 << 20


def _response(host: types.SimpleNamespace, path: bytes) -> bytes:
    """Send a job to a node with this host side and return what the node writes."""
    active = directives.ActiveDirectives(lambda records, position, previous: previous)
    account = memory_account.MemoryAccount(_LIMIT_BYTES, _TIME)
    server = peer_server.PeerServer(host, active, _TIME, ids.Incarnation(200), account)
    connection, transport, _ = test_bad_input.make_connection(server.request_received)
    body = job_wire.pack_job(test_mesh_host.job_at(_TIME), _TIME.now())
    head = b'POST %b HTTP/1.1\r\nHost: node\r\nContent-Length: %d\r\n\r\n' % (path, len(body))
    connection.dataReceived(head + body)
    return transport.value()


class TestEndedJob:
    """Guards against jobs of other nodes that are held after their response."""

    def test_exchange_is_freed(self, collector_disabled):
        waiting = []

        def submit(work, on_result):
            waiting.append(on_result)
            # As in a waiting room: what cancels a job also reports its result.
            return lambda: on_result

        _response(types.SimpleNamespace(submit=submit), job_wire.RUN_PATH)
        exchange = weakref.ref(waiting[0].__self__)
        waiting.pop()(job.Result(job.ResultKind.REFUSED, 'full'))
        assert exchange() is None


class TestInquiry:
    """Guards against senders that give up a job since they don't know which process runs it."""

    @pytest.mark.parametrize('kind', [job.ResultKind.WILLING, job.ResultKind.REFUSED])
    def test_response_names_the_process(self, kind):
        host = types.SimpleNamespace(handle_inquiry=lambda work: job.Result(kind))
        response = _response(host, job_wire.INQUIRY_PATH)
        head, _, body = response.partition(b'\r\n\r\n')
        assert b'Anvillug-Incarnation: 200' in head
        assert job_wire.unpack_result(body).kind is kind


class TestMemory:
    """Guards against jobs that take more memory than the account counts."""

    def test_parts_of_a_job_are_counted_with_their_memory(self):
        account = memory_account.MemoryAccount(_LIMIT_BYTES, _TIME)
        active = directives.ActiveDirectives(lambda records, position, previous: previous)
        host = types.SimpleNamespace()
        server = peer_server.PeerServer(host, active, _TIME, ids.Incarnation(200), account)
        exchanges = []

        def begin(exchange):
            exchanges.append(exchange)
            server.request_received(exchange)

        connection, _, _ = test_bad_input.make_connection(begin)
        connection.dataReceived(
            b'POST %b HTTP/1.1\r\nHost: node\r\nContent-Length: 1000\r\n\r\n' % job_wire.RUN_PATH
        )
        for number in range(100):
            connection.dataReceived(b'%2d' % number)
        body = exchanges[0].handler._body  # noqa: SLF001
        assert isinstance(body, bytearray)
        # A byte array grows by an eighth more than it needs.
        assert sys.getsizeof(body) - sys.getsizeof(bytearray()) <= account.used_bytes * 9 / 8 + 16
        connection.connectionLost()
        assert account.used_bytes == 0
