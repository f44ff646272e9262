"""Tests of the platform log stand-in."""

from __future__ import annotations

import pytest
import treq
from twisted.internet import defer, reactor
from twisted.trial import unittest
from twisted.web import client

from anvillug import clock
from anvillug.standin import http_api, log_model
from anvillug.standin import log as standin_log


class TestLogModel:
    """Guards against retention and rate limits more lenient than those of the platform's log."""

    def test_removes_expired_records(self):
        manual_clock = clock.ManualClock(wall_start=1_000_000)
        model = log_model.LogModel(log_model.LogSettings(retention_ms=100), manual_clock)
        model.append('s', 'old')
        manual_clock.advance(60)
        model.append('s', 'new')
        manual_clock.advance(60)
        page = model.read('s', 0, 10)
        assert (page['first'], page['next']) == (1, 2)
        assert [record['data'] for record in page['records']] == ['new']
        manual_clock.advance(60)
        assert model.read('s', 0, 10) == {'first': 2, 'next': 2, 'records': []}
        assert model.append('s', 'later') == 2

    def test_limits_appends_within_any_second(self):
        manual_clock = clock.ManualClock()
        model = log_model.LogModel(log_model.LogSettings(append_limit_per_second=3), manual_clock)
        accepted = 0
        for _ in range(40):
            accepted += model.append('s', 0) is not None
            manual_clock.advance(50)
        assert accepted == 6


class TestLogServer(unittest.TestCase):
    """Guards against faults and waiting reads that differ from the published interface."""

    def setUp(self):
        model = log_model.LogModel(log_model.LogSettings(), clock.SystemClock())
        self.model = model
        server = standin_log.LogServer(model, reactor)
        self.port = reactor.listenTCP(0, server.site(), interface='127.0.0.1')
        self.addCleanup(self.port.stopListening)
        pool = client.HTTPConnectionPool(reactor, persistent=False)
        self.treq = treq.client.HTTPClient(client.Agent(reactor, pool=pool))

    def url(self, path: str) -> str:
        return f'http://{http_api.bound_address(self.port)}{path}'

    async def post(self, path: str, data: object) -> object:
        response = await self.treq.post(self.url(path), json=data)
        return await response.json()

    async def read(self, query: str) -> object:
        response = await self.treq.get(self.url(f'/streams/s/records?{query}'))
        return await response.json()

    def test_append_with_lost_response_is_stored(self):
        return defer.ensureDeferred(self.check_lost_response())

    async def check_lost_response(self):
        await self.post('/control/faults', {'lose_answers': 1})
        with pytest.raises(client.ResponseNeverReceived):
            await self.post('/streams/s/records', {'data': 1})
        assert await self.post('/streams/s/records', {'data': 2}) == {'offset': 1}
        page = await self.read('from=0')
        assert [record['data'] for record in page['records']] == [1, 2]

    def test_exceeded_rate_limit_has_its_own_status(self):
        return defer.ensureDeferred(self.check_rate_limit())

    async def check_rate_limit(self):
        """Guards against a 500, which clients treat as an append that may have been stored."""
        self.model.append = lambda stream, data: None
        response = await self.treq.post(self.url('/streams/s/records'), json={'data': 1})
        assert response.code == 429
        await response.content()

    def test_read_waits_for_append(self):
        return defer.ensureDeferred(self.check_read_waits())

    async def check_read_waits(self):
        assert (await self.read('from=0&wait_ms=20'))['records'] == []
        waiting = defer.ensureDeferred(self.read('from=1&wait_ms=30000'))
        await self.post('/streams/s/records', {'data': 'before'})
        assert not waiting.called
        await self.post('/streams/s/records', {'data': 'awaited'})
        assert [record['data'] for record in (await waiting)['records']] == ['awaited']

    def test_outage_ends_waiting_reads(self):
        return defer.ensureDeferred(self.check_outage())

    async def check_outage(self):
        waiting = defer.ensureDeferred(self.read('from=0&wait_ms=30000'))
        await self.post('/control/faults', {'outage': True})
        assert await waiting == {'error': 'log unavailable'}
        assert await self.post('/streams/s/records', {'data': 1}) == {'error': 'log unavailable'}
        await self.post('/control/faults', {'outage': False})
        assert await self.post('/streams/s/records', {'data': 1}) == {'offset': 0}
