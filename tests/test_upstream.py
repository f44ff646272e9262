"""State of the backend server beside a node."""

from __future__ import annotations

import dataclasses

import pytest

from anvillug import clock, ids
from anvillug.process import upstream

_ADDRESS = '10.0.0.1:80'
_FIRST = upstream.Heartbeat(
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


@pytest.fixture
def own():
    """Return a backend server that has not sent a heartbeat."""
    return upstream.Upstream(_ADDRESS, clock.ManualClock())


class TestHeartbeats:
    """Guards against late and foreign heartbeats that bring a leaving server back."""

    def test_late_heartbeat_changes_nothing(self, own):
        own.heard(dataclasses.replace(_FIRST, state=upstream.UpstreamState.LEAVING, sequence=6))
        assert not own.heard(_FIRST)
        assert own.state is upstream.UpstreamState.LEAVING

    def test_heartbeat_of_an_earlier_start_changes_nothing(self, own):
        own.heard(_FIRST)
        earlier = dataclasses.replace(
            _FIRST,
            instance=ids.InstanceId('i-0'),
            started_at=ids.Incarnation(900),
            sequence=90,
        )
        assert not own.heard(earlier)
        assert own.instance == 'i-1'

    def test_new_start_under_the_same_id_counts_from_the_beginning(self, own):
        own.heard(_FIRST)
        own.heard(dataclasses.replace(_FIRST, started_at=ids.Incarnation(2000), sequence=0))
        assert own.beat.sequence == 0

    def test_other_address_is_refused(self, own):
        findings = own.heard(dataclasses.replace(_FIRST, address='10.0.0.2:80'))
        assert findings[0].place == 'heartbeat of i-1: Address'
        assert own.beat is None

    def test_nothing_after_a_leave(self, own):
        own.heard(_FIRST)
        own.left(ids.InstanceId('i-1'))
        own.heard(dataclasses.replace(_FIRST, sequence=8))
        assert own.state is upstream.UpstreamState.LEAVING

    def test_leave_of_an_earlier_start_is_ignored(self, own):
        own.heard(_FIRST)
        own.left(ids.InstanceId('i-0'))
        assert own.state is upstream.UpstreamState.SERVING

    def test_lost_server_is_back_with_the_next_heartbeat(self, own):
        own.heard(_FIRST)
        own.lost('no connection')
        assert own.state is upstream.UpstreamState.ABSENT
        own.heard(dataclasses.replace(_FIRST, sequence=6))
        assert own.state is upstream.UpstreamState.SERVING

    def test_cold_time_runs_out(self):
        time = clock.ManualClock()
        own = upstream.Upstream(_ADDRESS, time)
        own.heard(dataclasses.replace(_FIRST, cold_ms=500))
        time.advance(400)
        assert own.cold_ms == 100
        time.advance(200)
        assert own.cold_ms == 0
