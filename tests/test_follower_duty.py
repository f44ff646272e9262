"""Selection of the nodes that follow the operator's topic."""

from __future__ import annotations

import pytest

from anvillug import clock, ids
from anvillug.process import follower_duty, peer_table
from anvillug.version import directives
from tests import test_beacon

_ZONE = ids.ZoneName('z')


class _DutySetup:
    """One node, and the table of the other nodes."""

    def __init__(self) -> None:
        self.time = clock.ManualClock(1000)
        self.active_directives = directives.ActiveDirectives(
            lambda records, position, previous: directives.Directives(position=position)
        )
        self.peers = peer_table.PeerTable(ids.HostId('m'), self.time)
        self.duty = follower_duty.FollowerDuty(
            ids.HostId('m'), _ZONE, self.peers, self.active_directives, self.time
        )
        self.sequence = 0

    def announce(self, name: str, **changes: object) -> None:
        self.sequence += 1
        self.peers.receive_announcement(
            test_beacon.announcement(
                host_id=ids.HostId(name), zone=_ZONE, sequence=self.sequence, **changes
            )
        )


@pytest.fixture
def duty_setup():
    """Return a node with two live nodes before it and one after it in the order of names."""
    setup = _DutySetup()
    for name in 'abz':
        setup.announce(name)
    return setup


class TestDuty:
    """Guards against a zone without a follower, and against log calls by every node."""

    def test_lone_node_follows(self):
        assert _DutySetup().duty.is_follower()

    def test_first_nodes_of_the_zone_follow(self, duty_setup):
        assert not duty_setup.duty.is_follower()

    def test_nodes_of_other_zones_do_not_count(self):
        lone_node = _DutySetup()
        for name in 'ab':
            lone_node.peers.receive_announcement(
                test_beacon.announcement(host_id=name, zone=ids.ZoneName('y'))
            )
        assert lone_node.duty.is_follower()

    def test_unresponsive_follower_is_replaced(self, duty_setup):
        duty_setup.time.advance(600)
        duty_setup.announce('a')
        assert duty_setup.duty.is_follower()

    def test_follower_that_lost_the_log_is_replaced(self, duty_setup):
        duty_setup.announce('a', reaches_log=False)
        assert duty_setup.duty.is_follower()

    def test_node_reads_what_peers_cannot_send(self, duty_setup):
        duty_setup.duty.record_peer_position(directives.Position(1, 9))
        duty_setup.duty.require_position(directives.Position(1, 9))
        assert duty_setup.duty.is_follower()
        duty_setup.active_directives.advance({}, directives.Position(1, 9))
        assert not duty_setup.duty.is_follower()

    def test_report_of_an_older_position_does_not_reset_the_lag(self, duty_setup):
        duty_setup.duty.record_peer_position(directives.Position(1, 9))
        duty_setup.duty.record_peer_position(directives.Position(1, 0))
        duty_setup.time.advance(450)
        for name in 'ab':
            duty_setup.announce(name)
        duty_setup.time.advance(300)
        assert duty_setup.duty.is_follower()

    def test_lag_is_measured_from_its_latest_start(self, duty_setup):
        duty_setup.duty.record_peer_position(directives.Position(1, 9))
        duty_setup.active_directives.advance({}, directives.Position(1, 9))
        duty_setup.time.advance(450)
        for name in 'ab':
            duty_setup.announce(name)
        duty_setup.time.advance(300)
        duty_setup.duty.record_peer_position(directives.Position(1, 10))
        assert not duty_setup.duty.is_follower()

    def test_node_whose_lag_exceeds_the_limit_follows(self, duty_setup):
        duty_setup.duty.record_peer_position(directives.Position(1, 9))
        assert not duty_setup.duty.is_follower()
        duty_setup.time.advance(500)
        for name in 'ab':
            duty_setup.announce(name)
        duty_setup.time.advance(300)
        assert duty_setup.duty.is_follower()
