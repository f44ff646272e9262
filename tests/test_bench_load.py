"""Tests of the load generator."""

from __future__ import annotations

import dataclasses
import json
import random

from twisted.internet import defer, protocol, reactor
from twisted.trial import unittest

from anvillug import clock
from anvillug.bench import load as load_generator
from anvillug.bench import traffic
from anvillug.standin import backend_model, backend_server, http_api

MIX = (
    traffic.RequestKind('sheet', 'drawbook', path='/sheets?ms=2', weight=3),
    traffic.RequestKind('revision', 'drawbook', 'POST', '/revisions?ms=2', 3000, keyed=True),
)


class MismatchingServer(protocol.Protocol):
    """Responds to every request with the echo of a different request."""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 Twisted's name
        body = json.dumps({'method': 'GET', 'path': '/sheets', 'key': '', 'tag': 'other'}).encode()
        self.transport.write(b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b' % (len(body), body))


class TruncatingServer(protocol.Protocol):
    """Closes the connection in the middle of each response."""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 Twisted's name
        self.transport.write(b'HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf')
        self.transport.loseConnection()


class TestLoadGenerator(unittest.TestCase):
    """Guards against benches that count mismatched, truncated or late responses as good."""

    def plan_for(self, factory: protocol.Factory, **changes) -> traffic.LoadPlan:
        port = reactor.listenTCP(0, factory, interface='127.0.0.1')
        self.addCleanup(port.stopListening)
        plan = traffic.LoadPlan((http_api.bound_address(port),), MIX, 200, 300, seed=7)
        return dataclasses.replace(plan, **changes)

    def backend(self, **settings) -> backend_server.BackendFactory:
        model = backend_model.BackendModel(backend_model.BackendSettings(**settings))
        return backend_server.BackendFactory(model, reactor, clock.SystemClock())

    @defer.inlineCallbacks
    def test_counts_good_responses(self):
        backend = self.backend(slots=20)
        result = yield load_generator.run(self.plan_for(backend), reactor)
        assert result.sent > 30
        assert result.by_status == {'200': result.sent}
        assert not result.wrong
        assert result.latency_us.get_total_count() == result.sent
        assert set(backend.model.runs.by_key) == set(result.keys)

    @defer.inlineCallbacks
    def test_latency_starts_at_intended_send_time(self):
        backend = self.backend(slots=1, queue_limit=1000)
        kinds = (traffic.RequestKind('slow', 's', path='/?ms=20'),)
        plan = self.plan_for(backend, kinds=kinds, max_connections=1)
        result = yield load_generator.run(plan, reactor)
        assert result.by_status == {'200': result.sent}
        assert result.percentile_ms(100) > 20 * result.sent - plan.duration_ms

    @defer.inlineCallbacks
    def test_detects_responses_to_other_requests(self):
        factory = protocol.Factory.forProtocol(MismatchingServer)
        result = yield load_generator.run(self.plan_for(factory, kinds=MIX[:1]), reactor)
        assert result.wrong == {'wrong_tag': result.sent}

    @defer.inlineCallbacks
    def test_truncated_response_counts_as_error(self):
        factory = protocol.Factory.forProtocol(TruncatingServer)
        result = yield load_generator.run(self.plan_for(factory, kinds=MIX[:1]), reactor)
        assert result.errors == {'truncated_response': result.sent}
        assert not result.by_status

    @defer.inlineCallbacks
    def test_missing_response_times_out(self):
        factory = protocol.Factory.forProtocol(protocol.Protocol)
        result = yield load_generator.run(self.plan_for(factory, timeout_ms=50), reactor)
        assert result.errors == {'timeout': result.sent}


class TestLoadResult:
    """Guards against counts that are lost when results of several processes are merged."""

    def test_merges_results_of_other_processes(self):
        plan = traffic.LoadPlan(('127.0.0.1:1',), MIX, 1, 1)
        request = traffic.draw_request(plan, random.Random(1), 1)
        total = traffic.LoadResult()
        for status, latency_ms in ((200, 1), (200, 100), (503, 5)):
            process_result = traffic.LoadResult(sent=1)
            response = traffic.Response(status, {'anvillug-outcome': 'finished'}, b'', 0)
            process_result.add_response(request, response, latency_ms)
            total.merge(traffic.from_json(json.loads(json.dumps(process_result.to_json()))))
        assert total.sent == 3
        assert total.by_status == {'200': 2, '503': 1}
        assert total.by_outcome == {'finished': 3}
        assert round(total.percentile_ms(100)) == 100
        assert total.latency_us.get_total_count() == 2
