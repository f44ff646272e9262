"""Tests of the backend server stand-in."""

from __future__ import annotations

import dataclasses
import hashlib
import json
import re

import pytest
from twisted.internet import task, testing

from anvillug.standin import backend_model, backend_server

SETTINGS = backend_model.BackendSettings(slots=4, queue_limit=1, service_ms=10, service_sigma=0)


def start_call(model: backend_model.BackendModel) -> backend_model.Work:
    """Submit a call that receives a free slot."""
    work = backend_model.Work(backend_model.Kind.CALL, '/x')
    assert model.submit(work) is backend_model.Admission.START
    return work


class TestBackendModel:
    """Guards against a cold start or a queue that does not exercise a concurrency limit."""

    def test_cold_server_is_slow_and_fails_under_load(self):
        cold = dataclasses.replace(SETTINGS, start_cold=True, cold_calls=2, cold_factor=5)
        model = backend_model.BackendModel(cold)
        executions = [model.execute(start_call(model)) for _ in range(3)]
        assert [execution.failed for execution in executions] == [False, False, True]
        assert executions[0].duration_ms == 50

    def test_successful_calls_warm_the_server_up(self):
        cold = dataclasses.replace(SETTINGS, start_cold=True, cold_calls=2)
        model = backend_model.BackendModel(cold)
        for failed in (False, True, False):
            assert model.cold
            model.finish(start_call(model), failed=failed)
        assert model.execute(start_call(model)).duration_ms == 10
        model.apply_faults(backend_model.BackendFaults(cold=True))
        assert model.cold

    def test_sheds_when_queue_is_full(self):
        model = backend_model.BackendModel(SETTINGS)
        first = [start_call(model) for _ in range(4)][0]
        queued = backend_model.Work(backend_model.Kind.CALL)
        assert model.submit(queued) is backend_model.Admission.QUEUE
        shed = model.submit(backend_model.Work(backend_model.Kind.CALL))
        assert shed is backend_model.Admission.SHED
        assert model.finish(first, failed=False) == [queued]

    def test_load_report_is_delayed_and_overridden_by_mislead_load(self):
        model = backend_model.BackendModel(SETTINGS)
        assert model.report(0)['in_flight'] == 0
        start_call(model)
        assert model.report(SETTINGS.report_lag_ms - 1)['in_flight'] == 0
        assert model.report(SETTINGS.report_lag_ms)['in_flight'] == 1
        model.apply_faults(backend_model.BackendFaults(mislead_load=99))
        assert model.report(SETTINGS.report_lag_ms)['load'] == 99


class ReactorClock:
    """Clock that follows a test reactor."""

    def __init__(self, reactor: task.Clock):
        self.reactor = reactor

    def now(self) -> float:
        return self.reactor.seconds() * 1000

    def wall(self) -> float:
        return self.now()


class BackendHarness:
    """Server with in-memory connections and a test reactor."""

    def __init__(self, **changes):
        self.reactor = task.Clock()
        self.model = backend_model.BackendModel(dataclasses.replace(SETTINGS, **changes))
        test_clock = ReactorClock(self.reactor)
        self.factory = backend_server.BackendFactory(self.model, self.reactor, test_clock)

    def connect(self) -> tuple:
        connection = self.factory.buildProtocol(None)
        transport = testing.StringTransportWithDisconnection()
        transport.setTcpNoDelay = lambda enabled: None
        transport.protocol = connection
        connection.makeConnection(transport)
        return connection, transport

    def advance(self, milliseconds: float) -> None:
        for _ in range(round(milliseconds)):
            self.reactor.advance(0.001)


def encode_post(path: str, body: bytes = b'', headers: tuple[str, ...] = ()) -> bytes:
    """Encode a POST request."""
    lines = [f'POST {path} HTTP/1.1', f'Content-Length: {len(body)}', *headers, '', '']
    return '\r\n'.join(lines).encode() + body


def decode_body(transport) -> dict:
    """Decode the body of the only response on a transport."""
    return json.loads(transport.value().partition(b'\r\n\r\n')[2])


class TestBackendConnection:
    """Guards against responses and counts that misreport which calls the server ran."""

    def test_response_echoes_request_and_runs_are_counted(self):
        harness = BackendHarness()
        connection, transport = harness.connect()
        request = encode_post('/x?ms=3', b'scan', ('Idempotency-Key: k', 'Anvillug-Call: a.1.2'))
        for byte in request:
            connection.dataReceived(bytes([byte]))
        harness.advance(10)
        body = decode_body(transport)
        assert (body['path'], body['key'], body['call']) == ('/x', 'k', 'a.1.2')
        assert body['body_sha256'] == hashlib.sha256(b'scan').hexdigest()
        connection.dataReceived(request)
        harness.advance(10)
        assert harness.model.runs.by_key == {'k': 2}
        assert harness.model.runs.by_call == {'a.1.2': 2}

    def test_connection_setup_occupies_a_slot(self):
        harness = BackendHarness(slots=1, connect_cost_ms=5)
        connection, transport = harness.connect()
        connection.dataReceived(encode_post('/x?ms=1'))
        harness.advance(4)
        assert harness.model.runs.by_call == {}
        assert harness.model.in_flight == 1
        harness.advance(4)
        assert transport.value().startswith(b'HTTP/1.1 200')

    def test_closed_connection_cancels_its_call(self):
        harness = BackendHarness(slots=1)
        connections = [harness.connect()[0] for _ in range(2)]
        harness.advance(5)
        for connection in connections:
            connection.dataReceived(encode_post('/x'))
        assert (harness.model.in_flight, harness.model.queued) == (1, 1)
        connections[0].transport.loseConnection()
        assert (harness.model.in_flight, harness.model.queued) == (1, 0)
        assert harness.model.counts['started'] == 2

    def test_queued_call_past_its_deadline_is_not_run(self):
        harness = BackendHarness(slots=1)
        (first, _), (second, transport) = harness.connect(), harness.connect()
        harness.advance(5)
        first.dataReceived(encode_post('/x'))
        second.dataReceived(
            encode_post('/x', b'', ('Anvillug-Deadline-Ms: 5', 'Idempotency-Key: k'))
        )
        harness.advance(15)
        assert b'503' in transport.value()
        assert b'Anvillug-Outcome: not-run' in transport.value()
        assert 'k' not in harness.model.runs.by_key

    def test_malformed_request_is_rejected_after_earlier_responses(self):
        harness = BackendHarness()
        connection, transport = harness.connect()
        connection.dataReceived(b''.join((encode_post('/x'), b'\x00 no HTTP\r\n\r\n')))
        harness.advance(20)
        assert transport.value().startswith(b'HTTP/1.1 200')
        assert transport.value().count(b'HTTP/1.1 400') == 1
        assert not transport.connected

    def test_drain_waits_until_response_is_flushed(self):
        harness = BackendHarness()
        connection = harness.factory.buildProtocol(None)
        transport = testing.StringTransport()
        transport.setTcpNoDelay = lambda enabled: None
        connection.makeConnection(transport)
        connection.dataReceived(encode_post('/x'))
        harness.factory.closing = True
        harness.advance(20)
        assert transport.disconnecting
        assert not harness.factory.is_drained()
        connection.connectionLost()
        assert harness.factory.is_drained()

    def test_drain_completes_upload_that_started_earlier(self):
        harness = BackendHarness()
        connection, transport = harness.connect()
        upload = encode_post('/scan', b'scan')
        connection.dataReceived(upload[:-1])
        harness.factory.closing = True
        harness.advance(5)
        assert not harness.factory.is_drained()
        connection.dataReceived(upload[-1:])
        harness.advance(20)
        assert transport.value().startswith(b'HTTP/1.1 200')
        assert harness.factory.is_drained()

    @pytest.mark.parametrize('body', [b'{"slow": 2}', b'{"slow_factor": "x"}', b'[]', b'{'])
    def test_invalid_faults_are_rejected(self, body: bytes):
        harness = BackendHarness()
        connection, transport = harness.connect()
        connection.dataReceived(encode_post('/control/faults', body))
        harness.advance(5)
        assert transport.value().startswith(b'HTTP/1.1 400')
        assert harness.model.faults == backend_model.BackendFaults()

    def test_fail_routes_affect_only_matching_paths(self):
        harness = BackendHarness()
        connection, transport = harness.connect()
        faults = b'{"fail_routes": ["/bad"]}'
        connection.dataReceived(encode_post('/control/faults', faults))
        harness.advance(5)
        transport.clear()
        connection.dataReceived(b''.join((encode_post('/bad/1'), encode_post('/good'))))
        harness.advance(30)
        statuses = re.findall(rb'HTTP/1.1 (\d+)', transport.value())
        assert statuses == [b'500', b'200']

    def test_silent_fault_affects_only_open_connections(self):
        harness = BackendHarness()
        connection, transport = harness.connect()
        control_connection, _ = harness.connect()
        harness.advance(2)
        connection.dataReceived(encode_post('/x'))
        control_connection.dataReceived(encode_post('/control/faults', b'{"silent": true}'))
        harness.advance(20)
        new_connection, new_transport = harness.connect()
        new_connection.dataReceived(encode_post('/x'))
        harness.advance(20)
        assert transport.value() == b''
        assert transport.connected
        assert new_transport.value().startswith(b'HTTP/1.1 200')
