"""Which nodes follow the operator's topic."""

from __future__ import annotations

import pytest

from anvillug import clock, ids
from anvillug.process import follower_duty, peer_table
from anvillug.version import directives
from tests import test_beacon

_ZONE = ids.ZoneName('z')


class _Trial:
    """One node among others."""

    def __init__(self) -> None:
        self.time = clock.ManualClock(1000)
        self.board = directives.DirectiveBoard(
            lambda records, position, former: directives.Directives(position=position)
        )
        self.peers = peer_table.PeerTable(ids.HostId('m'), self.time)
        self.duty = follower_duty.FollowerDuty(
            ids.HostId('m'), _ZONE, self.peers, self.board, self.time
        )
        self.sequence = 0

    def announce(self, name: str, **changes: object) -> None:
        self.sequence += 1
        self.peers.announced(
            test_beacon.announcement(
                host_id=ids.HostId(name), zone=_ZONE, sequence=self.sequence, **changes
            )
        )


@pytest.fixture
def trial():
    """Return a node that knows two nodes before it and one after it."""
    made = _Trial()
    for name in 'abz':
        made.announce(name)
    return made


class TestDuty:
    """Guards against orders that nobody follows, and calls to the log that grow with the nodes."""

    def test_lone_node_follows(self):
        assert _Trial().duty.holds()

    def test_first_nodes_of_the_zone_follow(self, trial):
        assert not trial.duty.holds()

    def test_nodes_of_other_zones_do_not_count(self):
        other = _Trial()
        for name in 'ab':
            other.peers.announced(test_beacon.announcement(host_id=name, zone=ids.ZoneName('y')))
        assert other.duty.holds()

    def test_silent_follower_is_replaced(self, trial):
        trial.time.advance(600)
        trial.announce('a')
        assert trial.duty.holds()

    def test_follower_that_lost_the_log_is_replaced(self, trial):
        trial.announce('a', reaches_log=False)
        assert trial.duty.holds()

    def test_node_reads_what_peers_cannot_give(self, trial):
        trial.duty.heard(directives.Position(9))
        trial.duty.wanted(directives.Position(9))
        assert trial.duty.holds()
        trial.board.advance({}, directives.Position(9))
        assert not trial.duty.holds()

    def test_node_that_others_are_behind_with_follows(self, trial):
        trial.duty.heard(directives.Position(9))
        trial.duty.heard(directives.Position(0))
        trial.time.advance(450)
        for name in 'ab':
            trial.announce(name)
        trial.time.advance(300)
        assert trial.duty.holds()

    def test_time_behind_counts_from_the_last_lag(self, trial):
        trial.duty.heard(directives.Position(9))
        trial.board.advance({}, directives.Position(9))
        trial.time.advance(450)
        for name in 'ab':
            trial.announce(name)
        trial.time.advance(300)
        trial.duty.heard(directives.Position(10))
        assert not trial.duty.holds()

    def test_node_that_stays_behind_follows(self, trial):
        trial.duty.heard(directives.Position(9))
        assert not trial.duty.holds()
        trial.time.advance(500)
        for name in 'ab':
            trial.announce(name)
        trial.time.advance(300)
        assert trial.duty.holds()
