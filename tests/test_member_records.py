"""Records of a node in the log, with an in-memory log."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable

import msgpack
import pytest
from twisted.internet import task
from twisted.python import failure

from anvillug import clock, ids
from anvillug.connection import keyed_log
from anvillug.process import leave_record, member_records, peer_table, upstream
from anvillug.version import directives

_HOST = ids.HostId('h')
_ADDRESS = '10.0.0.1:80'
_BEACON_ADDRESS = '10.0.0.1:70'
_LEAVE_KEY = 'left/h'
_ONLY_LEAVE = [_LEAVE_KEY]
_PEER = ids.HostId('p')
_PEER_ADDRESS = '10.0.0.2:70'
_LEFT_AT = ids.Incarnation(5)
_LOG_RESPONSE_MS = 50
_REREAD_INTERVAL_MS = 60_000
# Nodes read the records again within this time after they have noticed a new era of the log.
_MAX_REWRITE_MS = 1000


class _SlowLog:
    """Keyed log that responds after a delay, or is unavailable.

    A call takes effect after half of its response time.
    """

    def __init__(self, reactor: task.Clock) -> None:
        self.values_by_key: dict[str, bytes] = {}
        self.stored_keys: list[str] = []
        self.read_times: list[float] = []
        self.calls: list[str] = []
        self.is_up = True
        self.error = keyed_log.LogUnavailableError('down')
        self.append_response_ms = _LOG_RESPONSE_MS
        self.read_response_ms = _LOG_RESPONSE_MS
        self._reactor = reactor
        self._era = 0

    def restore(self, contents_by_key: dict[str, object]) -> int:
        """Begin a new era with a copy of older records, and return the era."""
        self._era += 1
        self.values_by_key = {
            key: msgpack.packb(content) for key, content in contents_by_key.items()
        }
        self.stored_keys.clear()
        self.read_times.clear()
        return self._era

    async def newest(self, topic: str) -> keyed_log.Batch:
        self.read_times.append(self._reactor.seconds())
        self.calls.append('newest')
        await task.deferLater(self._reactor, self.read_response_ms / 2000)
        self._require_up()
        position = directives.Position(self._era, 0)
        changes = tuple(
            (key, directives.Record(position, value)) for key, value in self.values_by_key.items()
        )
        await task.deferLater(self._reactor, self.read_response_ms / 2000)
        return keyed_log.Batch(changes, position)

    async def append(
        self, topic: str, key: str, value: bytes, expected_end: int | None = None
    ) -> directives.Position:
        self.calls.append('append')
        await task.deferLater(self._reactor, self.append_response_ms / 2000)
        self._require_up()
        self.stored_keys.append(key)
        self.values_by_key[key] = value
        position = directives.Position(self._era, len(self.stored_keys) - 1)
        await task.deferLater(self._reactor, self.append_response_ms / 2000)
        return position

    def _require_up(self) -> None:
        if not self.is_up:
            raise self.error


class _RecordsSetup:
    """A node whose backend server can leave."""

    def __init__(self, seed: int = 1) -> None:
        self.reactor = task.Clock()
        self.log = _SlowLog(self.reactor)
        time = clock.ManualClock(10_000)
        self.backend = upstream.Upstream(_ADDRESS, time)
        self.peers = peer_table.PeerTable(_HOST, time)
        self.records = member_records.MemberRecords(
            self.reactor,
            self.log,
            'members',
            _HOST,
            _BEACON_ADDRESS,
            self.peers,
            self.backend,
            random.Random(seed),
            self._served,
        )
        self.served = 0
        self.acknowledged: list[list[str]] = []
        self.refused = 0

    def leave(self, started_at: ids.Incarnation = _LEFT_AT) -> None:
        self.backend.leaves = leave_record.LeaveRecord(started_at)
        self.records.store_leaves().addCallbacks(self._acknowledge, self._refuse)

    def _served(self) -> None:
        self.served += 1

    def _acknowledge(self, _: None) -> None:
        self.acknowledged.append(list(self.log.stored_keys))

    def _refuse(self, error: failure.Failure) -> None:
        error.trap(member_records.LeaveNotStoredError)
        self.refused += 1

    def run(self, duration_ms: int) -> None:
        for _ in range(duration_ms // 10):
            self.reactor.advance(0.01)

    def run_until(self, is_reached: Callable[[], bool]) -> None:
        for _ in range(2 * _REREAD_INTERVAL_MS // 10):
            if is_reached():
                return
            self.run(10)
        pytest.fail('not reached within two intervals')

    def run_until_read(self) -> None:
        self.run_until(lambda: bool(self.log.read_times))

    def restore(self, contents_by_key: dict[str, object]) -> None:
        """Restore the log from a copy, which the node learns by its directives."""
        self.records.notice_era(self.log.restore(contents_by_key))

    def restore_unnoticed(self, contents_by_key: dict[str, object]) -> None:
        """Restore the log from a copy, which no directives tell the node."""
        self.log.restore(contents_by_key)


@pytest.fixture
def records_setup():
    """Return a node whose backend server has just announced that it leaves."""
    setup = _RecordsSetup()
    setup.leave()
    return setup


@pytest.fixture
def stored():
    """Return a node whose address and last leave are in the log."""
    setup = _RecordsSetup()
    setup.records.start()
    setup.leave()
    setup.run(300)
    assert sorted(setup.log.stored_keys) == ['h', _LEAVE_KEY]
    return setup


class TestLeave:
    """Guards against an acknowledged leave that is lost when the process is killed."""

    def test_is_acknowledged_once_it_is_stored(self, records_setup):
        assert not records_setup.acknowledged
        records_setup.run(100)
        assert records_setup.acknowledged == [[_LEAVE_KEY]]

    def test_is_not_acknowledged_while_the_log_is_unavailable(self, records_setup):
        records_setup.log.is_up = False
        records_setup.run(900)
        assert (records_setup.acknowledged, records_setup.refused) == ([], 1)
        records_setup.leave()
        records_setup.run(900)
        assert (records_setup.acknowledged, records_setup.refused) == ([], 2)
        records_setup.log.is_up = True
        records_setup.run(900)
        records_setup.leave()
        records_setup.run(900)
        assert records_setup.log.stored_keys == _ONLY_LEAVE
        assert records_setup.acknowledged == [[_LEAVE_KEY]]

    def test_leave_before_the_first_read_keeps_the_earlier_ones(self):
        setup = _RecordsSetup()
        setup.log.restore({_LEAVE_KEY: _LEFT_AT})
        setup.records.start()
        setup.backend.record_leave(ids.InstanceId('i-9'))
        setup.records.store_leaves().addCallbacks(setup._acknowledge, setup._refuse)  # noqa: SLF001
        setup.run(500)
        stored = leave_record.from_data(msgpack.unpackb(setup.log.values_by_key[_LEAVE_KEY]))
        assert stored.started_at == _LEFT_AT
        assert 'i-9' in stored.left_at_by_instance
        assert len(setup.acknowledged) == 1


class TestRestoredLog:
    """Guards against records that are lost when the log is restored from an older copy."""

    def test_missing_records_are_written_again(self, stored):
        stored.restore({})
        stored.run(_MAX_REWRITE_MS)
        assert sorted(stored.log.stored_keys) == ['h', _LEAVE_KEY]
        assert stored.log.values_by_key == {
            'h': msgpack.packb(_BEACON_ADDRESS),
            _LEAVE_KEY: msgpack.packb(_LEFT_AT),
        }
        stored.run(_REREAD_INTERVAL_MS // 2)
        assert len(stored.log.stored_keys) == 2
        assert len(stored.log.read_times) == 1

    def test_older_record_is_replaced(self, stored):
        stored.restore({'h': _BEACON_ADDRESS, _LEAVE_KEY: _LEFT_AT - 1})
        stored.run(_MAX_REWRITE_MS)
        assert stored.log.stored_keys == _ONLY_LEAVE
        stored.restore({'h': '10.0.0.9:70', _LEAVE_KEY: _LEFT_AT})
        stored.run(_MAX_REWRITE_MS)
        assert stored.log.stored_keys == ['h']

    def test_present_records_are_not_written_again(self, stored):
        stored.restore({'h': _BEACON_ADDRESS, _LEAVE_KEY: _LEFT_AT})
        stored.run(_REREAD_INTERVAL_MS // 2)
        assert not stored.log.stored_keys
        assert len(stored.log.read_times) == 1

    def test_leave_of_the_previous_process_is_written_again(self):
        setup = _RecordsSetup()
        setup.log.restore({_LEAVE_KEY: _LEFT_AT})
        setup.records.start()
        setup.run(300)
        setup.restore({'h': _BEACON_ADDRESS})
        setup.run(_MAX_REWRITE_MS)
        assert setup.log.stored_keys == _ONLY_LEAVE

    def test_addresses_of_other_nodes_are_applied(self, stored):
        stored.restore({'h': _BEACON_ADDRESS, _LEAVE_KEY: _LEFT_AT, _PEER: _PEER_ADDRESS})
        stored.run(_MAX_REWRITE_MS)
        assert stored.peers.contacts_by_host_id == {_PEER: _PEER_ADDRESS}

    def test_nodes_do_not_read_at_the_same_moment(self):
        times = []
        for seed in range(5):
            setup = _RecordsSetup(seed)
            setup.records.start()
            setup.run(300)
            setup.restore({})
            setup.run(_MAX_REWRITE_MS)
            times.append(setup.log.read_times[0])
        assert max(times) - min(times) > 2 * _LOG_RESPONSE_MS / 1000

    def test_known_era_causes_no_read(self, stored):
        stored.restore({'h': _BEACON_ADDRESS, _LEAVE_KEY: _LEFT_AT})
        stored.run(_MAX_REWRITE_MS)
        stored.records.notice_era(1)
        stored.records.notice_era(0)
        stored.run(_MAX_REWRITE_MS)
        assert len(stored.log.read_times) == 1

    def test_records_are_written_once_the_log_is_available(self, stored):
        stored.log.is_up = False
        stored.restore({})
        stored.run(3000)
        assert not stored.log.stored_keys
        stored.log.is_up = True
        stored.run(_MAX_REWRITE_MS)
        assert sorted(stored.log.stored_keys) == ['h', _LEAVE_KEY]

    def test_era_that_only_the_log_reports_is_noticed(self, stored):
        stored.restore_unnoticed({})
        stored.run(_REREAD_INTERVAL_MS + _MAX_REWRITE_MS)
        assert sorted(stored.log.stored_keys) == ['h', _LEAVE_KEY]
        assert len(stored.log.read_times) == 1

    @pytest.mark.parametrize('read_ms', range(0, _LOG_RESPONSE_MS, 10))
    def test_era_noticed_during_a_read_is_not_lost(self, stored, read_ms):
        stored.log.restore({'h': _BEACON_ADDRESS, _LEAVE_KEY: _LEFT_AT})
        stored.records.notice_era(1)
        stored.run_until_read()
        stored.run(read_ms)
        stored.restore({})
        stored.run(_MAX_REWRITE_MS)
        assert sorted(stored.log.stored_keys) == ['h', _LEAVE_KEY]

    def test_era_noticed_between_retries_is_not_lost(self, stored):
        stored.log.is_up = False
        stored.restore({'h': _BEACON_ADDRESS, _LEAVE_KEY: _LEFT_AT})
        stored.run(700)
        stored.restore({})
        stored.log.is_up = True
        stored.run(_MAX_REWRITE_MS)
        assert sorted(stored.log.stored_keys) == ['h', _LEAVE_KEY]

    def test_era_noticed_while_records_are_written_again_is_not_lost(self, stored):
        stored.log.append_response_ms = 800
        stored.restore({})
        # The appends of this era have taken effect, but are not acknowledged yet.
        stored.run_until(lambda: len(stored.log.stored_keys) == 2)
        stored.restore({})
        stored.run(4000)
        assert sorted(stored.log.stored_keys) == ['h', _LEAVE_KEY]

    def test_address_is_written_before_a_retried_read(self, stored):
        stored.restore({_LEAVE_KEY: _LEFT_AT})
        stored.run_until_read()
        # The read has taken effect, but the append will fail.
        stored.run(_LOG_RESPONSE_MS // 2 + 10)
        stored.log.is_up = False
        stored.run(200)
        stored.log.is_up = True
        stored.log.calls.clear()
        stored.run(_REREAD_INTERVAL_MS // 2)
        assert stored.log.calls == ['append', 'newest']
        assert stored.log.stored_keys == ['h']

    def test_read_of_the_era_before_does_not_show_what_is_missing(self, stored):
        stored.restore({})
        stored.run_until_read()
        # The read has taken effect in this era, but the log has not responded yet.
        stored.run(_LOG_RESPONSE_MS // 2 + 10)
        stored.restore({'h': _BEACON_ADDRESS, _LEAVE_KEY: _LEFT_AT})
        stored.run(_MAX_REWRITE_MS)
        assert not stored.log.stored_keys
        assert len(stored.log.read_times) == 1

    def test_log_that_reports_an_older_era_is_not_read_repeatedly(self, stored):
        stored.log.read_times.clear()
        stored.records.notice_era(7)
        stored.run(_REREAD_INTERVAL_MS // 2)
        assert len(stored.log.read_times) == 1

    def test_record_replaced_by_a_delayed_append_is_written_again(self, stored):
        stored.log.stored_keys.clear()
        stored.log.values_by_key[_LEAVE_KEY] = msgpack.packb(_LEFT_AT - 1)
        stored.run(_REREAD_INTERVAL_MS)
        assert stored.log.stored_keys == _ONLY_LEAVE


class TestLeaveInRestoredLog:
    """Guards against a leave that is lost when the log is restored while it is being stored."""

    def test_acknowledgement_of_the_era_before_does_not_count(self, records_setup):
        # The append has taken effect, but is not acknowledged yet.
        records_setup.run(40)
        records_setup.restore({})
        records_setup.run(_MAX_REWRITE_MS)
        assert records_setup.log.stored_keys == _ONLY_LEAVE
        assert records_setup.acknowledged == [[_LEAVE_KEY]]

    # Calls to the store are priced.
    def test_leave_stored_in_the_new_era_is_not_written_twice(self, records_setup):
        records_setup.run(10)
        era = records_setup.log.restore({})
        records_setup.run(20)
        records_setup.records.notice_era(era)
        records_setup.run(100)
        assert records_setup.acknowledged == [[_LEAVE_KEY]]
        assert records_setup.log.calls.count('append') == 1

    def test_is_refused_once_after_the_timeout(self, records_setup):
        records_setup.records.start()
        records_setup.log.is_up = False
        records_setup.run(300)
        records_setup.restore({})
        records_setup.run(600)
        assert (records_setup.acknowledged, records_setup.refused) == ([], 1)
        records_setup.log.is_up = True
        records_setup.run(2000)
        assert sorted(records_setup.log.stored_keys) == ['h', _LEAVE_KEY]
        assert (records_setup.acknowledged, records_setup.refused) == ([], 1)

    def test_leave_in_progress_is_not_written_twice(self, stored):
        stored.restore({'h': _BEACON_ADDRESS})
        stored.log.append_response_ms = 3000
        stored.leave(ids.Incarnation(6))
        stored.run(5000)
        assert stored.log.stored_keys == _ONLY_LEAVE
        assert (len(stored.acknowledged), stored.refused) == (1, 1)

    def test_leave_stored_during_the_read_is_not_written_twice(self, stored):
        stored.log.read_response_ms = 2000
        stored.restore({'h': _BEACON_ADDRESS})
        stored.run_until_read()
        stored.run(1200)
        stored.leave(ids.Incarnation(6))
        stored.run(3000)
        assert stored.log.stored_keys == _ONLY_LEAVE

    def test_leave_lost_during_the_read_is_written_again(self, stored):
        stored.log.read_times.clear()
        stored.log.read_response_ms = 2000
        stored.run_until_read()
        stored.leave(ids.Incarnation(6))
        stored.run(200)
        assert len(stored.acknowledged) == 2
        stored.restore_unnoticed({'h': _BEACON_ADDRESS})
        stored.run(3000)
        assert stored.log.stored_keys == _ONLY_LEAVE
        assert stored.log.values_by_key[_LEAVE_KEY] == msgpack.packb(6)


class TestStart:
    """Guards against nodes that do not find each other, and against needless calls to the log."""

    @pytest.mark.parametrize('noticed_ms', range(0, 2 * _LOG_RESPONSE_MS + 30, 10))
    def test_writes_its_address_once_and_then_reads_once(self, noticed_ms):
        setup = _RecordsSetup()
        era = setup.log.restore({_PEER: _PEER_ADDRESS})
        setup.records.start()
        # Directives arrive before, between or after these calls.
        setup.run(noticed_ms)
        setup.records.notice_era(era)
        setup.run(_REREAD_INTERVAL_MS // 2)
        assert setup.log.calls == ['append', 'newest']
        assert setup.log.stored_keys == ['h']
        assert setup.peers.contacts_by_host_id == {_PEER: _PEER_ADDRESS}


class TestMalformedRecord:
    """Guards against a record of another writer that ends the task or the beacons."""

    @pytest.mark.parametrize(
        'content',
        [None, 70, b'10.0.0.3:70', ['10.0.0.3', 70], '10.0.0.3', '10.0.0.3:x', '10.0.0.3:70000']
        + [':70', 'host:70', '::1:70', '10.0.0.3:0'],
    )
    def test_address_is_skipped(self, content):
        setup = _RecordsSetup()
        setup.log.restore({'m': content, _PEER: _PEER_ADDRESS})
        setup.records.start()
        setup.run(300)
        assert setup.peers.contacts_by_host_id == {_PEER: _PEER_ADDRESS}

    @pytest.mark.parametrize('content', [None, '5', 5.5, True, [5], b'5'])
    def test_leave_is_skipped(self, content):
        setup = _RecordsSetup()
        setup.log.restore({_LEAVE_KEY: content, _PEER: _PEER_ADDRESS})
        setup.records.start()
        setup.run(300)
        assert setup.backend.leaves == leave_record.NONE
        assert setup.peers.contacts_by_host_id == {_PEER: _PEER_ADDRESS}
        setup.run(_REREAD_INTERVAL_MS)
        assert len(setup.log.read_times) == 2

    @pytest.mark.parametrize('value', [b'\xc1', b'\xa5ab', b'\x05\x05', b'\xa1\xff'])
    def test_undecodable_value_is_skipped(self, value):
        setup = _RecordsSetup()
        setup.log.restore({})
        setup.log.values_by_key = {_LEAVE_KEY: value, 'm': value}
        setup.records.start()
        setup.run(_REREAD_INTERVAL_MS + 300)
        assert not setup.peers.contacts_by_host_id
        assert len(setup.log.read_times) == 2


class TestUnexpectedError:
    """Guards against a task that ends because the response of the log can't be decoded."""

    def test_records_are_read_after_an_error_at_the_start(self):
        setup = _RecordsSetup()
        setup.log.restore({_PEER: _PEER_ADDRESS})
        setup.log.error = KeyError('End')
        setup.log.is_up = False
        setup.records.start()
        setup.run(300)
        setup.log.is_up = True
        setup.run(1000)
        assert setup.log.stored_keys == ['h']
        assert setup.peers.contacts_by_host_id == {_PEER: _PEER_ADDRESS}

    def test_leave_is_stored_after_an_error(self, records_setup):
        records_setup.log.error = KeyError('Offset')
        records_setup.log.is_up = False
        records_setup.run(300)
        assert not records_setup.acknowledged
        records_setup.log.is_up = True
        records_setup.run(1000)
        assert records_setup.log.stored_keys == _ONLY_LEAVE
        assert len(records_setup.acknowledged) == 1


class TestFirstRead:
    """Guards against a backend server that serves although it has left before the restart."""

    def _heartbeat(self, setup: _RecordsSetup) -> None:
        setup.backend.receive_heartbeat(_heartbeat())

    def test_backend_server_waits_for_the_record(self):
        setup = _RecordsSetup()
        setup.log.values_by_key[f'left/{_HOST}'] = msgpack.packb(_LEFT_AT)
        setup.records.start()
        self._heartbeat(setup)
        assert setup.backend.state is upstream.UpstreamState.ABSENT
        setup.run_until_read()
        setup.run(500)
        assert setup.backend.state is upstream.UpstreamState.LEAVING

    def test_backend_server_serves_without_a_record(self):
        setup = _RecordsSetup()
        setup.records.start()
        self._heartbeat(setup)
        setup.run_until_read()
        setup.run(500)
        assert setup.backend.state is upstream.UpstreamState.SERVING

    # The store is asked first, and more than one peer can respond in that time.
    def test_backend_server_serves_by_what_a_peer_remembers(self):
        setup = self._start_without_log()
        setup.records.receive_remembered(leave_record.LeaveRecord(ids.Incarnation(_LEFT_AT - 1)))
        setup.run(900)
        assert setup.backend.state is upstream.UpstreamState.ABSENT
        setup.run(300)
        assert setup.backend.state is upstream.UpstreamState.SERVING
        assert setup.served == 1

    def test_backend_server_serves_once_a_peer_has_told(self):
        setup = self._start_without_log()
        setup.run(2000)
        setup.records.receive_remembered(leave_record.NONE)
        assert setup.backend.state is upstream.UpstreamState.SERVING

    def test_leave_that_only_a_peer_remembers_stays_in_effect(self):
        setup = self._start_without_log()
        setup.records.receive_remembered(leave_record.NONE)
        setup.records.receive_remembered(leave_record.LeaveRecord(_LEFT_AT))
        setup.run(10_000)
        assert setup.backend.state is upstream.UpstreamState.LEAVING

    def test_stored_leave_that_nobody_tells_in_time_stays_in_effect(self):
        setup = _RecordsSetup()
        setup.log.values_by_key[_LEAVE_KEY] = msgpack.packb(_LEFT_AT)
        setup.log.is_up = False
        setup.records.start()
        self._heartbeat(setup)
        setup.run(4000)
        assert setup.backend.state is upstream.UpstreamState.ABSENT
        setup.log.is_up = True
        setup.run(2000)
        assert setup.backend.state is upstream.UpstreamState.LEAVING

    # All nodes may have restarted while the store is away.
    def test_serves_in_bounded_time_although_nobody_tells(self):
        setup = self._start_without_log()
        setup.run(5010)
        later = dataclasses.replace(_heartbeat(), sequence=2)
        setup.backend.receive_heartbeat(later)
        assert setup.backend.state is upstream.UpstreamState.SERVING

    # It may have been sent before the leave. A running instance sends more.
    def test_early_heartbeat_does_not_count_if_nobody_tells(self):
        setup = self._start_without_log()
        setup.run(10_000)
        assert setup.backend.state is upstream.UpstreamState.ABSENT

    def test_leave_that_the_log_has_lost_is_stored_again(self):
        setup = _RecordsSetup()
        setup.records.start()
        setup.run(300)
        setup.records.receive_remembered(leave_record.LeaveRecord(_LEFT_AT))
        setup.run(300)
        assert setup.log.stored_keys == ['h', _LEAVE_KEY]

    # Calls to the store are priced.
    def test_leave_that_the_log_has_is_not_stored_again(self):
        setup = _RecordsSetup()
        setup.log.values_by_key[_LEAVE_KEY] = msgpack.packb(_LEFT_AT)
        setup.records.start()
        setup.records.receive_remembered(leave_record.LeaveRecord(_LEFT_AT))
        setup.run(300)
        setup.records.receive_remembered(leave_record.LeaveRecord(_LEFT_AT))
        setup.run(300)
        assert setup.log.stored_keys == ['h']

    def _start_without_log(self) -> _RecordsSetup:
        setup = _RecordsSetup()
        setup.log.is_up = False
        setup.records.start()
        self._heartbeat(setup)
        return setup


def _heartbeat() -> upstream.Heartbeat:
    return upstream.Heartbeat(
        instance=ids.InstanceId('i-1'),
        service=ids.ServiceName('one'),
        address=_ADDRESS,
        version=ids.VersionName('v1'),
        slots=9,
        state=upstream.UpstreamState.SERVING,
        cold_ms=0,
        started_at=_LEFT_AT,
        sequence=1,
    )
