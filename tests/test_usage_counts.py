"""Tests of the counts of requests, and of how they reach the holder of the duty."""

from __future__ import annotations

import json
from unittest import mock

import pytest
from twisted.internet import task

from anvillug import clock, ids, json_table
from anvillug.connection import http_client, memory_account
from anvillug.platform import cloud, duty_settings
from anvillug.process import (
    duty_holder,
    duty_record,
    duty_state,
    peer_table,
    true_time,
    usage_counts,
    usage_exchange,
    usage_wire,
)
from anvillug.version import directives
from tests import duty_fleet

_T = duty_fleet.TENANT
_W = usage_counts.Window(7)
_LIMIT_BYTES = 1 << 20
_FIRST = (ids.HostId('h'), ids.Incarnation(1))
_SECOND = (ids.HostId('h'), ids.Incarnation(2))


class TestCounts:
    """Guards against requests that are counted twice, or lost with a restarted process."""

    def test_changed_counts_are_totals(self):
        counts = usage_counts.LocalCounts(2)
        counts.add(_W, _T)
        assert counts.take_changed() == {_W: {_T: 1}}
        counts.add(_W, _T)
        assert counts.take_changed() == {_W: {_T: 2}}
        assert counts.take_changed() == {}

    def test_request_that_has_not_run_is_removed(self):
        counts = usage_counts.LocalCounts(2)
        counts.add(_W, _T)
        counts.add(_W, _T, -1)
        assert counts.take_changed() == {_W: {_T: 0}}

    def test_windows_are_bounded(self):
        counts = usage_counts.LocalCounts(2)
        for number in range(9):
            counts.add(usage_counts.Window(number), _T)
        assert list(counts.by_window) == [7, 8]

    def test_repeated_and_former_counts(self):
        collected = usage_counts.CollectedCounts(2)
        for _ in range(2):
            collected.receive(_FIRST, {_W: {_T: 3}})
            collected.receive(_SECOND, {_W: {_T: 4}})
        assert collected.total(_W) == {_T: 7}


class TestTrueTime:
    """Guards against a node that counts in wrong windows since its clock was set."""

    def test_own_clock_is_outvoted(self):
        time = clock.ManualClock(100, 1_005_000)
        estimate = true_time.TrueTime(time)
        for number in range(3):
            estimate.record(ids.HostId(str(number)), 1_000_000 + number)
        assert 1_000_000 < estimate.now() < 1_000_003

    def test_silent_peers_are_left_out(self):
        time = clock.ManualClock(0, 2000)
        estimate = true_time.TrueTime(time)
        estimate.record(ids.HostId('a'), clock.Milliseconds(9_000_000))
        time.advance(60_000)
        assert estimate.now() == time.wall()


class TestWire:
    """Guards against malformed counts that fail later, in the task of the holder."""

    def test_unpacked_as_packed(self):
        counts = {_W: {_T: 3}}
        assert usage_wire.unpack(usage_wire.pack(_FIRST, counts)) == (_FIRST, counts)

    @pytest.mark.parametrize(
        'content',
        [b'', b'\xc0', usage_wire.pack(_FIRST, {_W: {_T: -1}}), usage_wire.pack((1, 2), {})],
    )
    def test_malformed(self, content):
        with pytest.raises(usage_wire.MalformedError):
            usage_wire.unpack(content)


class TestExchange:
    """Guards against counts that go to a former holder, or that a new one lacks."""

    def test_counts_are_collected_with_the_duty_only(self):
        time = clock.ManualClock(0, 35_000)
        exchange, state = self._exchange(_FIRST, time)
        exchange._count(_T, clock.Milliseconds(10), 1)  # noqa: SLF001 - without a complete job
        assert not exchange.receive(usage_wire.pack(_SECOND, {_W: {_T: 4}}))
        end = directives.Position(0, 0)
        state.observe(None, end, time.now())
        record = duty_fleet.record_of(_FIRST)
        state.written(record, end, time.now(), time.now())
        exchange.holder_changed()
        assert exchange.announced() == [35_000, record.token]
        exchange.start()
        assert exchange.receive(usage_wire.pack(_SECOND, {_W: {_T: 4}}))
        assert exchange.total(_W) == {_T: 5}
        state.observe(duty_fleet.record_of(_SECOND), directives.Position(0, 2), time.now())
        exchange.holder_changed()
        assert (exchange.total(_W), exchange.announced()) == ({}, [35_000, 0])

    def test_counts_are_sent_to_the_holder_until_it_has_taken_them(self):
        time = clock.ManualClock(0, 35_000)
        connection = mock.MagicMock()
        pool = mock.MagicMock()
        pool.acquire = lambda connected, _failed: connected(connection)
        exchange, _ = self._exchange(_SECOND, time, pool)
        exchange._peers.by_host_id[_FIRST[0]] = mock.MagicMock()  # noqa: SLF001 - instead of beacons
        exchange.beacon_received(mock.MagicMock(host_id='h', incarnation=1), [35_000, 5])
        exchange._count(_T, clock.Milliseconds(10), 1)  # noqa: SLF001 - without a complete job
        for _ in range(2):
            exchange.start()
            head, message = connection.request.call_args.args
            body = connection.send_body.call_args.args[0]
            assert (b'Content-Length', b'%d' % len(body)) in head.headers
            assert usage_wire.unpack(body) == (_SECOND, {_W: {_T: 1}})
            message.response_failed(http_client.ClientFailure.LOST)
        assert connection.request.call_count == 2

    def test_counts_of_a_former_holder_go_to_the_next_one(self):
        time = clock.ManualClock(0, 35_000)
        connection = mock.MagicMock()
        pool = mock.MagicMock()
        pool.acquire = lambda connected, _failed: connected(connection)
        exchange, state = self._exchange(_FIRST, time, pool)
        end = directives.Position(0, 0)
        state.observe(None, end, time.now())
        record = duty_fleet.record_of(_FIRST)
        state.written(record, end, time.now(), time.now())
        exchange.holder_changed()
        exchange._count(_T, clock.Milliseconds(10), 1)  # noqa: SLF001 - without a complete job
        exchange.start()
        exchange.stop()
        assert exchange.is_flushed
        released = duty_record.release(record, frozenset())
        state.written(released, directives.Position(0, 1), time.now(), time.now())
        exchange.holder_changed()
        exchange._reactor.advance(1)  # noqa: SLF001 - its timers
        assert not exchange.is_flushed
        exchange._peers.by_host_id['n'] = mock.MagicMock()  # noqa: SLF001 - instead of beacons
        exchange.beacon_received(mock.MagicMock(host_id='n', incarnation=1), [35_000, 5])
        exchange._reactor.advance(0.25)  # noqa: SLF001 - its timers
        body = connection.send_body.call_args.args[0]
        assert usage_wire.unpack(body) == (_FIRST, {_W: {_T: 1}})

    def test_end_of_the_announcement_is_noticed(self):
        exchange, _ = self._exchange(_SECOND, clock.ManualClock(0, 35_000))
        exchange.on_release = mock.Mock()
        holder = mock.MagicMock(host_id='n', incarnation=1)
        exchange.beacon_received(holder, [35_000, 5])
        exchange.beacon_received(mock.MagicMock(host_id='n', incarnation=2), [35_000, 0])
        exchange.on_release.assert_not_called()
        exchange.beacon_received(holder, [35_000, 0])
        exchange.on_release.assert_called_once_with()

    # Such a message was held outside the account, without a limit.
    def test_message_without_end_is_held_within_the_account(self):
        exchange, _ = self._exchange(_SECOND, clock.ManualClock(0, 35_000))
        exchange.account = memory_account.MemoryAccount(_LIMIT_BYTES, clock.ManualClock())
        message = mock.Mock()
        # So that a large message isn't accepted in calm.
        assert exchange.account.reserve(_LIMIT_BYTES // 2)
        exchange.request_received(message)
        for _ in range(64):
            message.handler.body_received(bytes(_LIMIT_BYTES // 16))
            assert exchange.account.used_bytes <= _LIMIT_BYTES
        message.handler.request_ended()
        message.respond.assert_called_once_with(503)
        assert exchange.account.used_bytes == _LIMIT_BYTES // 2

    def test_incomplete_message_is_released(self):
        exchange, _ = self._exchange(_SECOND, clock.ManualClock(0, 35_000))
        message = mock.Mock()
        exchange.request_received(message)
        message.handler.body_received(b'part')
        assert exchange.account.used_bytes
        message.handler.request_aborted()
        assert not exchange.account.used_bytes

    def _exchange(self, process, time, pool=None):
        state = duty_state.DutyState(process, duty_fleet.SETTINGS)
        exchange = usage_exchange.UsageExchange(
            task.Clock(),
            true_time.TrueTime(time),
            duty_fleet.SETTINGS,
            state,
            peer_table.PeerTable(process[0], time),
            lambda _: pool,
            time.wall,
        )
        return exchange, state


class TestPlatform:
    """Guards against settings that are half there, and statuses that are misread."""

    _CLOUD = {'Address': '10.0.0.1:80', 'Duties': ['usage_report']}
    _BOUNDS = {'LeaseMs': 3000, 'UsageWindowS': 5, 'UsageLateS': 10}

    def test_complete(self):
        assert self._load(self._CLOUD, self._BOUNDS) == (duty_fleet.SETTINGS, ())

    @pytest.mark.parametrize('platform_cloud', [None, {'Duties': ['other']}])
    def test_without_the_duty(self, platform_cloud):
        assert self._load(platform_cloud, {}) == (None, ())

    @pytest.mark.parametrize(
        ('platform_cloud', 'bounds', 'place'),
        [
            (7, _BOUNDS, 'Platform.Cloud'),
            ({**_CLOUD, 'Duties': 7}, _BOUNDS, 'Platform.Cloud.Duties'),
            ({**_CLOUD, 'Address': 'x'}, _BOUNDS, 'Platform.Cloud.Address'),
            (_CLOUD, {**_BOUNDS, 'LeaseMs': 0}, 'Terms.Bounds.LeaseMs'),
            (_CLOUD, {**_BOUNDS, 'UsageLateS': 'x'}, 'Terms.Bounds.UsageLateS'),
        ],
    )
    def test_finding_names_its_place(self, platform_cloud, bounds, place):
        _, found = self._load(platform_cloud, bounds)
        assert f'node.json: {place}' in [finding.place for finding in found]

    def test_statuses(self):
        outcome = duty_holder.ReportOutcome
        outcomes = [cloud.outcome_of(status) for status in (200, 409, 429, 503, 400)]
        unknown = outcome.UNKNOWN
        assert outcomes == [outcome.ACCEPTED, outcome.FENCED, unknown, unknown, outcome.REJECTED]

    def _load(self, platform_cloud, bounds):
        document = {'Platform': {'Cloud': platform_cloud}, 'Terms': {'Bounds': bounds}}
        table = json_table.decode(json.dumps(document).encode(), 'node.json')
        loaded = duty_settings.read(table.table('Platform'), table.table('Terms').table('Bounds'))
        return loaded, table.findings
