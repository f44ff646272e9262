"""State of the backend server of a node."""

from __future__ import annotations

import dataclasses

import pytest

from anvillug import clock, ids
from anvillug.process import upstream

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
def backend():
    """Return the state of a backend server that has not sent a heartbeat."""
    return upstream.Upstream(_ADDRESS, clock.ManualClock())


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
        restarted.restore_leave(_HEARTBEAT.started_at)
        restarted.leave_known()
        assert restarted.state is upstream.UpstreamState.LEAVING

    def test_instance_that_has_not_left_serves_once_that_is_known(self, restarted):
        restarted.restore_leave(ids.Incarnation(_HEARTBEAT.started_at - 1))
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
