"""State of the backend server of a node."""

from __future__ import annotations

import dataclasses

import pytest

from anvillug import clock, ids
from anvillug.process import leave_record, upstream

_ADDRESS = '10.0.0.1:80'
_HEARTBEAT = upstream.Heartbeat(
    instance=ids.InstanceId('i-1'),
    service=ids.ServiceName('one'),
    address=_ADDRESS,
    version=ids.VersionName('v1'),
    slots=9,
    state=upstream.UpstreamState.SERVING,
    cold_ms=0,
    started_at=ids.Incarnation(1000),
    sequence=5,
)


def serving(time: clock.Clock) -> upstream.Upstream:
    """Return the state of a backend server that is serving."""
    backend = upstream.Upstream(_ADDRESS, time)
    backend.receive_heartbeat(_HEARTBEAT)
    return backend


@pytest.fixture
def time():
    """Return a clock that the test advances, later than the start of all instances."""
    return clock.ManualClock(wall_start=10_000)


@pytest.fixture
def backend(time):
    """Return the state of a backend server that has not sent a heartbeat."""
    return upstream.Upstream(_ADDRESS, time)


class TestHeartbeats:
    """Guards against late or misdirected heartbeats that make a leaving server serve again."""

    def test_late_heartbeat_changes_nothing(self, backend):
        backend.receive_heartbeat(
            dataclasses.replace(_HEARTBEAT, state=upstream.UpstreamState.LEAVING, sequence=6)
        )
        assert not backend.receive_heartbeat(_HEARTBEAT)
        assert backend.state is upstream.UpstreamState.LEAVING

    def test_heartbeat_of_an_earlier_instance_changes_nothing(self, backend):
        backend.receive_heartbeat(_HEARTBEAT)
        earlier = dataclasses.replace(
            _HEARTBEAT,
            instance=ids.InstanceId('i-0'),
            started_at=ids.Incarnation(900),
            sequence=90,
        )
        assert not backend.receive_heartbeat(earlier)
        assert backend.instance == 'i-1'

    def test_sequence_restarts_with_a_new_start_time(self, backend):
        backend.receive_heartbeat(_HEARTBEAT)
        backend.receive_heartbeat(
            dataclasses.replace(_HEARTBEAT, started_at=ids.Incarnation(2000), sequence=0)
        )
        assert backend.heartbeat.sequence == 0

    def test_other_address_is_rejected(self, backend):
        findings = backend.receive_heartbeat(dataclasses.replace(_HEARTBEAT, address='10.0.0.2:80'))
        assert findings[0].place == 'heartbeat of i-1: Address'
        assert backend.heartbeat is None

    def test_heartbeat_after_a_leave_changes_nothing(self, backend):
        backend.receive_heartbeat(_HEARTBEAT)
        backend.record_leave(ids.InstanceId('i-1'))
        backend.receive_heartbeat(dataclasses.replace(_HEARTBEAT, sequence=8))
        assert backend.state is upstream.UpstreamState.LEAVING

    def test_leave_of_an_earlier_instance_is_ignored(self, backend):
        backend.receive_heartbeat(_HEARTBEAT)
        backend.record_leave(ids.InstanceId('i-0'))
        assert backend.state is upstream.UpstreamState.SERVING

    def test_lost_server_serves_again_after_the_next_heartbeat(self, backend):
        backend.receive_heartbeat(_HEARTBEAT)
        backend.mark_lost('no connection')
        assert backend.state is upstream.UpstreamState.ABSENT
        backend.receive_heartbeat(dataclasses.replace(_HEARTBEAT, sequence=6))
        assert backend.state is upstream.UpstreamState.SERVING

    def test_cold_time_decreases_to_zero(self):
        time = clock.ManualClock()
        backend = upstream.Upstream(_ADDRESS, time)
        backend.receive_heartbeat(dataclasses.replace(_HEARTBEAT, cold_ms=500))
        time.advance(400)
        assert backend.cold_ms == 100
        time.advance(200)
        assert backend.cold_ms == 0


class TestRestartOfTheNode:
    """Guards against a backend server that has left and is used again after a restart."""

    @pytest.fixture
    def restarted(self, backend):
        """Return the state in a process that has not read the stored leave yet."""
        backend.await_leave()
        backend.receive_heartbeat(_HEARTBEAT)
        return backend

    def test_late_heartbeat_waits_for_the_leave(self, restarted):
        assert restarted.state is upstream.UpstreamState.ABSENT
        restarted.restore_leaves(leave_record.LeaveRecord(_HEARTBEAT.started_at))
        restarted.leave_known()
        assert restarted.state is upstream.UpstreamState.LEAVING

    def test_instance_that_has_not_left_serves_once_that_is_known(self, restarted):
        restarted.restore_leaves(
            leave_record.LeaveRecord(ids.Incarnation(_HEARTBEAT.started_at - 1))
        )
        restarted.leave_known()
        assert restarted.state is upstream.UpstreamState.SERVING

    def test_leaving_instance_is_known_at_once(self, restarted):
        leaving = dataclasses.replace(_HEARTBEAT, state=upstream.UpstreamState.LEAVING, sequence=6)
        restarted.receive_heartbeat(leaving)
        assert restarted.state is upstream.UpstreamState.LEAVING
        restarted.leave_known()
        assert restarted.state is upstream.UpstreamState.LEAVING

    def test_second_call_changes_nothing(self, restarted):
        restarted.leave_known()
        restarted.mark_lost('test')
        restarted.leave_known()
        assert restarted.state is upstream.UpstreamState.ABSENT


class TestLeaveBeforeHeartbeat:
    """Guards against a leave that is acknowledged and then forgotten.

    After a restart of the node, a leave may arrive before the first heartbeat, and a late
    heartbeat of the same instance after it.
    """

    def test_late_heartbeat_does_not_make_it_serve(self, backend, time):
        backend.record_leave(_HEARTBEAT.instance)
        time.advance(4000)
        backend.receive_heartbeat(_HEARTBEAT)
        assert backend.state is upstream.UpstreamState.ABSENT

    def test_late_heartbeat_has_no_effect_in_the_next_process(self, backend, time):
        backend.record_leave(_HEARTBEAT.instance)
        restarted = upstream.Upstream(_ADDRESS, time)
        restarted.receive_heartbeat(_HEARTBEAT)
        restarted.restore_leaves(leave_record.from_data(backend.leaves.to_data()))
        assert restarted.state is upstream.UpstreamState.LEAVING

    def test_leave_of_another_instance_than_the_known_one_is_kept(self, backend, time):
        earlier = dataclasses.replace(_HEARTBEAT, instance=ids.InstanceId('i-0'))
        backend.receive_heartbeat(_HEARTBEAT)
        backend.record_leave(earlier.instance)
        restarted = upstream.Upstream(_ADDRESS, time)
        restarted.restore_leaves(backend.leaves)
        restarted.receive_heartbeat(earlier)
        assert restarted.state is upstream.UpstreamState.ABSENT
        assert backend.state is upstream.UpstreamState.SERVING

    def test_new_start_under_the_same_id_serves(self, backend, time):
        backend.record_leave(_HEARTBEAT.instance)
        restarted_at = ids.Incarnation(int(time.wall()) + 1)
        backend.receive_heartbeat(dataclasses.replace(_HEARTBEAT, started_at=restarted_at))
        assert backend.state is upstream.UpstreamState.SERVING


class TestDraining:
    """Guards against an acknowledged `draining` that the next process of the node forgets."""

    @pytest.fixture
    def restarted(self, backend, time):
        """Return the state in the process after the one that received `draining`."""
        backend.receive_heartbeat(_HEARTBEAT)
        backend.receive_heartbeat(_draining(sequence=6))
        next_process = upstream.Upstream(_ADDRESS, time)
        next_process.restore_leaves(leave_record.from_data(backend.leaves.to_data()))
        return next_process

    def test_late_heartbeat_does_not_make_it_serve(self, restarted):
        restarted.receive_heartbeat(_HEARTBEAT)
        assert restarted.state is upstream.UpstreamState.ABSENT

    # Each change of the record is a call to the store, which is priced.
    def test_repeated_heartbeat_and_deregistration_change_no_record(self, restarted):
        record = restarted.leaves
        restarted.receive_heartbeat(_draining(sequence=7))
        restarted.record_leave(_HEARTBEAT.instance)
        assert restarted.state is upstream.UpstreamState.LEAVING
        assert restarted.leaves == record.with_start(_HEARTBEAT.started_at)

    def test_deregistration_after_draining_changes_no_record(self, backend):
        backend.receive_heartbeat(_draining(sequence=6))
        record = backend.leaves
        backend.record_leave(_HEARTBEAT.instance)
        assert backend.leaves == record

    def test_newer_heartbeat_may_take_the_leave_back(self, restarted):
        restarted.receive_heartbeat(dataclasses.replace(_HEARTBEAT, sequence=7))
        assert restarted.state is upstream.UpstreamState.SERVING


class TestLeaveRecord:
    """Guards against a record that grows without bound, or that others' bytes break."""

    def test_instances_are_bounded(self):
        record = leave_record.NONE
        for number in range(100):
            record = record.with_unknown_instance(ids.InstanceId(f'i-{number}'), number)
        assert len(record.left_at_by_instance) == 8
        assert 'i-99' in record.left_at_by_instance

    def test_repeated_leave_changes_nothing(self):
        record = leave_record.NONE.with_unknown_instance(ids.InstanceId('i'), 1000)
        assert record.with_unknown_instance(ids.InstanceId('i'), 2000) == record

    @pytest.mark.parametrize(
        'content',
        [{}, {'draining': [1], 'instances': {}}, {'draining': [1, 2], 'instances': []}]
        + [{'draining': [1, 2], 'instances': {1: 2}, 'started_at': 1}]
        + [{'draining': ['1', 2], 'instances': {}, 'started_at': 1}]
        + [{'draining': [1, 2], 'instances': {}}, '5', None, True],
    )
    def test_malformed_record_is_an_error(self, content):
        with pytest.raises(ValueError, match='must be'):
            leave_record.from_data(content)


def _draining(sequence: int) -> upstream.Heartbeat:
    return dataclasses.replace(_HEARTBEAT, state=upstream.UpstreamState.LEAVING, sequence=sequence)
