"""Selection of a host by the most recently reported load of its backend server."""

from __future__ import annotations

import collections
import random

import pytest

from anvillug import clock, ids
from anvillug.process import host_choice, peer_table, upstream
from anvillug.request import dialect
from anvillug.version import directives

_NOW = clock.Milliseconds(10_000)
_ORIGIN = host_choice.Origin(ids.ZoneName('z'), 0)


def make_peer(name: str, slowness: float = 100, running: int = 0, zone: str = 'z', **changes):
    """Return a serving peer."""
    fields = {
        'host_id': ids.HostId(name),
        'incarnation': ids.Incarnation(1),
        'sequence': 1,
        'peer_address': '',
        'beacon_address': '',
        'zone': ids.ZoneName(zone),
        'service': ids.ServiceName('one'),
        'version': ids.VersionName('v1'),
        'instance': ids.InstanceId(name),
        'state': upstream.UpstreamState.SERVING,
        'cold': False,
        'load': dialect.ReportedLoad(running, 0, 9, slowness),
        'load_age_ms': 0,
        'position': directives.Position(1, 1),
    }
    return peer_table.Peer(peer_table.Announcement(**{**fields, **changes}), _NOW)


def _selections(peers, origin=_ORIGIN, now=_NOW, times: int = 400) -> collections.Counter[str]:
    rng = random.Random(5)
    return collections.Counter(
        host_choice.choose(peers, origin, now, rng).announcement.host_id for _ in range(times)
    )


class TestSelection:
    """Guards against overloading a host and against selecting slow or failing hosts."""

    def test_none_without_hosts(self):
        assert host_choice.choose([], _ORIGIN, _NOW, random.Random(1)) is None

    def test_equal_hosts_are_selected_equally_often(self):
        counts = _selections([make_peer('a'), make_peer('b')])
        assert min(counts['a'], counts['b']) > 150

    def test_fast_host_is_selected(self):
        assert set(
            _selections([make_peer('a', 700), make_peer('b', 120), make_peer('c', 500)])
        ) == {'b'}

    def test_old_load_has_little_weight(self):
        later = clock.Milliseconds(_NOW + 5000)
        peers = [make_peer('a', 700), make_peer('b', 120)]
        for peer in peers:
            peer.last_received_at = later
        peers[0].record_load(dialect.ReportedLoad(0, 0, 9, 130), later)
        assert set(_selections(peers, now=later)) == {'a'}

    def test_full_host_is_not_selected_while_others_have_free_slots(self):
        assert set(_selections([make_peer('a', running=9), make_peer('b', running=2)])) == {'b'}

    def test_failing_host_with_low_load_is_not_selected(self):
        failing = dialect.ReportedLoad(0, 0, 9, 100, fault_share=0.4)
        assert set(_selections([make_peer('a', load=failing), make_peer('b', 190, running=3)])) == {
            'b'
        }

    def test_cold_host_is_selected_last(self):
        assert set(_selections([make_peer('a', cold=True), make_peer('b', 150)])) == {'b'}

    def test_local_zone_is_preferred_among_equal_hosts(self):
        assert set(_selections([make_peer('a', zone='y'), make_peer('b')])) == {'b'}

    def test_large_body_leaves_its_zone_only_for_a_much_faster_host(self):
        origin = host_choice.Origin(ids.ZoneName('z'), 60)
        assert set(_selections([make_peer('a', zone='y'), make_peer('b', 190)], origin)) == {'b'}
        assert set(_selections([make_peer('a', zone='y'), make_peer('b', 700)], origin)) == {'a'}

    def test_timed_out_and_avoided_hosts_are_the_last_resort(self):
        unresponsive, avoided, available = make_peer('a'), make_peer('b'), make_peer('c', 700)
        unresponsive.last_received_at = clock.Milliseconds(_NOW - 1000)
        avoided.avoid(_NOW)
        assert set(_selections([unresponsive, avoided, available])) == {'c'}
        assert set(_selections([unresponsive])) == {'a'}
        assert set(_selections([avoided])) == {'b'}

    def test_only_available_host_is_found_among_many(self):
        unresponsive = [make_peer(f's{number}') for number in range(60)]
        for peer in unresponsive:
            peer.last_received_at = clock.Milliseconds(_NOW - 1000)
        assert set(_selections([*unresponsive, make_peer('a', 700)])) == {'a'}


class TestZones:
    """Guards against needless calls between zones and against staying in a slow zone."""

    def test_few_hosts_of_the_local_zone_are_found_among_many(self):
        remote = [make_peer(f'f{number}', zone='y') for number in range(30)]
        assert set(_selections([*remote, make_peer('a'), make_peer('b')])) == {'a', 'b'}

    def test_fast_hosts_of_other_zones_are_found(self):
        local = [make_peer(f'n{number}', 700) for number in range(30)]
        assert set(_selections([*local, make_peer('a', zone='y'), make_peer('b', zone='y')])) == {
            'a',
            'b',
        }

    def test_hosts_of_other_zones_fill_up_the_compared_set(self):
        remote = [make_peer(f'f{number}', zone='y') for number in range(4)]
        assert _selections([*remote, make_peer('a', 700)])['f0'] > 50

    def test_all_compared_hosts_may_come_from_the_local_zone(self):
        slow = [make_peer(f's{number}', 700) for number in range(4)]
        assert _selections([*slow, make_peer('a')])['a'] == 400


class TestSample:
    """Guards against hosts that are selected more often for their place among the others."""

    @pytest.mark.parametrize('count', [1, 7, 33, 80])
    def test_order_is_random(self, count):
        peers = [make_peer(f'h{number}') for number in range(count)]
        sampled = random.Random(count).sample(peers, min(count, 32))
        assert list(host_choice.sample(peers, _NOW, random.Random(count))) == sampled

    def test_all_hosts_are_last_resorts(self):
        peers = [make_peer(f'h{number}') for number in range(40)]
        for peer in peers:
            peer.avoid(_NOW)
        sampled = list(host_choice.sample(peers, _NOW, random.Random(1)))
        assert sorted(peer.host_id for peer in sampled) == sorted(peer.host_id for peer in peers)
