"""Selection of the nodes that follow the operator's topic."""

from __future__ import annotations

import pytest
from hypothesis import given, strategies

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
        fields = {'zone': _ZONE, **changes}
        self.peers.receive_announcement(
            test_beacon.announcement(host_id=ids.HostId(name), sequence=self.sequence, **fields)
        )


@pytest.fixture
def duty_setup():
    """Return a node with three live nodes before it and one after it in the order of names."""
    setup = _DutySetup()
    for name in 'abcz':
        setup.announce(name)
    return setup


class TestDuty:
    """Guards against a deployment without a follower, and against log calls by every node."""

    def test_lone_node_follows(self):
        assert _DutySetup().duty.is_follower()

    def test_first_nodes_of_the_zone_follow(self, duty_setup):
        assert not duty_setup.duty.is_follower()

    def test_unresponsive_follower_is_replaced(self, duty_setup):
        duty_setup.time.advance(600)
        for name in 'ab':
            duty_setup.announce(name)
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
        for name in 'abc':
            duty_setup.announce(name)
        duty_setup.time.advance(300)
        assert duty_setup.duty.is_follower()

    def test_lag_is_measured_from_its_latest_start(self, duty_setup):
        duty_setup.duty.record_peer_position(directives.Position(1, 9))
        duty_setup.active_directives.advance({}, directives.Position(1, 9))
        duty_setup.time.advance(450)
        for name in 'abc':
            duty_setup.announce(name)
        duty_setup.time.advance(300)
        duty_setup.duty.record_peer_position(directives.Position(1, 10))
        assert not duty_setup.duty.is_follower()

    def test_node_whose_lag_exceeds_the_limit_follows(self, duty_setup):
        duty_setup.duty.record_peer_position(directives.Position(1, 9))
        assert not duty_setup.duty.is_follower()
        duty_setup.time.advance(500)
        for name in 'abc':
            duty_setup.announce(name)
        duty_setup.time.advance(300)
        assert duty_setup.duty.is_follower()


class TestOutage:
    """Guards against nodes that all poll a log which is away, and a search that takes too long."""

    def _lose(self, duty_setup, names: str) -> None:
        for name in names:
            duty_setup.announce(name, reaches_log=False)

    def test_first_nodes_try_again_for_all(self, duty_setup):
        self._lose(duty_setup, 'abz')
        assert not duty_setup.duty.may_retry()

    def test_node_among_the_first_tries_again(self):
        setup = _DutySetup()
        for name in 'az':
            setup.announce(name, reaches_log=False)
        assert setup.duty.may_retry()

    def test_no_node_has_to_while_another_reaches_the_log(self):
        setup = _DutySetup()
        setup.announce('z')
        assert not setup.duty.may_retry()

    def test_node_that_lags_tries_again(self, duty_setup):
        duty_setup.duty.require_position(directives.Position(1, 9))
        assert duty_setup.duty.may_retry()

    def test_search_widens_with_each_node_that_the_log_turns_away(self):
        setup = _DutySetup()
        for name in 'bcdefg':
            setup.announce(name)
        assert not setup.duty.is_follower()
        setup.announce('b', reaches_log=False)
        assert setup.duty.index() == 5
        assert setup.duty.is_follower()

    # Half of the nodes, among them all followers and all that follow them at first.
    def test_served_node_is_found_in_the_second_round(self):
        hosts = [
            (ids.HostId(f'h{number:02d}'), ids.ZoneName(f'z{number % 4}')) for number in range(19)
        ]
        by_index = sorted(hosts, key=lambda host: _index_of(host, hosts))
        turned_away = by_index[:6]
        lost = set(by_index[: follower_duty.FOLLOWERS])
        searching = [
            host for host in hosts if host not in lost and _duty_of(host, hosts, lost).is_follower()
        ]
        assert set(searching) - set(turned_away)


class TestZones:
    """Guards against followers that are all lost with one zone, and a cut zone without any."""

    @pytest.fixture
    def zone_setup(self):
        """Return a node of zone z with two live nodes in each of the zones x and y."""
        setup = _DutySetup()
        for zone in 'xy':
            for name in 'ab':
                setup.announce(f'{name}{zone}', zone=ids.ZoneName(zone))
        return setup

    def test_each_zone_has_a_follower_before_any_has_two(self, zone_setup):
        assert zone_setup.duty.index() == 2
        assert zone_setup.duty.is_follower()
        zone_setup.announce('a')
        assert zone_setup.duty.index() == 5
        assert not zone_setup.duty.is_follower()

    def test_fourth_zone_has_none(self, zone_setup):
        zone_setup.announce('aw', zone=ids.ZoneName('w'))
        assert not zone_setup.duty.is_follower()

    # Nodes of other zones time out only after 5.5 s.
    def test_zone_that_hears_no_other_follows(self, zone_setup):
        for zone in 'wxy':
            for name in 'abc':
                zone_setup.announce(f'{name}{zone}', zone=ids.ZoneName(zone), pace_ms=2000.0)
        assert not zone_setup.duty.is_follower()
        zone_setup.time.advance(2500)
        assert zone_setup.duty.is_follower()

    def test_late_beacons_of_some_change_nothing(self, zone_setup):
        for zone in 'wxy':
            for name in 'abc':
                zone_setup.announce(f'{name}{zone}', zone=ids.ZoneName(zone), pace_ms=2000.0)
        zone_setup.time.advance(2500)
        for zone in 'wxy':
            zone_setup.announce(f'a{zone}', zone=ids.ZoneName(zone), pace_ms=2000.0)
        assert not zone_setup.duty.is_follower()

    def test_first_node_fetches_for_its_zone(self, zone_setup):
        assert zone_setup.duty.is_first_of_zone()
        zone_setup.announce('a')
        assert not zone_setup.duty.is_first_of_zone()

    @given(
        zones=strategies.lists(strategies.integers(0, 4), min_size=1, max_size=30),
        lost=strategies.sets(strategies.integers(0, 29)),
    )
    def test_views_agree_on_the_followers(self, zones, lost):
        """Nodes that hear the same beacons agree, and a loss leaves as many followers as nodes."""
        hosts = [
            (ids.HostId(f'h{number:02d}'), ids.ZoneName(f'z{zone}'))
            for number, zone in enumerate(zones)
            if number not in lost
        ]
        indices = sorted(_index_of(host, hosts) for host in hosts)
        assert indices == list(range(len(hosts)))
        first_zones = {
            zone for host, zone in hosts if _index_of((host, zone), hosts) < follower_duty.FOLLOWERS
        }
        assert len(first_zones) == min(follower_duty.FOLLOWERS, len({zone for _, zone in hosts}))


def _index_of(host, hosts) -> int:
    """Return the index of a host in its own view."""
    return _duty_of(host, hosts, set()).index()


def _duty_of(host, hosts, lost) -> follower_duty.FollowerDuty:
    """Return the duty of a host that knows all others, some of which have lost the log."""
    host_id, zone = host
    time = clock.ManualClock(1000)
    peers = peer_table.PeerTable(host_id, time)
    for other in hosts:
        peers.receive_announcement(
            test_beacon.announcement(host_id=other[0], zone=other[1], reaches_log=other not in lost)
        )
    active_directives = directives.ActiveDirectives(
        lambda records, position, previous: directives.Directives(position=position)
    )
    return follower_duty.FollowerDuty(host_id, zone, peers, active_directives, time)
