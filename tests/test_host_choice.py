"""Choice of a host by the load that its backend server told last."""

from __future__ import annotations

import collections
import random

from anvillug import clock, ids
from anvillug.process import host_choice, peer_table, upstream
from anvillug.request import dialect
from anvillug.version import directives

_NOW = clock.Milliseconds(10_000)
_HERE = host_choice.Origin(ids.ZoneName('z'), 0)


def _peer(name: str, slowness: float = 100, running: int = 0, zone: str = 'z', **changes):
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
        'position': directives.Position(1),
    }
    return peer_table.Peer(peer_table.Announcement(**{**fields, **changes}), _NOW)


def _chosen(peers, origin=_HERE, now=_NOW, times: int = 400) -> collections.Counter[str]:
    rng = random.Random(5)
    return collections.Counter(
        host_choice.choose(peers, origin, now, rng).announcement.host_id for _ in range(times)
    )


class TestChoice:
    """Guards against hosts that are flooded, or slow ones that are chosen."""

    def test_none_without_hosts(self):
        assert host_choice.choose([], _HERE, _NOW, random.Random(1)) is None

    def test_equal_hosts_are_chosen_equally_often(self):
        counts = _chosen([_peer('a'), _peer('b')])
        assert min(counts['a'], counts['b']) > 150

    def test_fast_host_is_chosen(self):
        assert set(_chosen([_peer('a', 700), _peer('b', 120), _peer('c', 500)])) == {'b'}

    def test_old_sample_counts_little(self):
        old = clock.Milliseconds(_NOW + 5000)
        peers = [_peer('a', 700), _peer('b', 120)]
        for peer in peers:
            peer.last_received_at = old
        peers[0].told_load(dialect.ReportedLoad(0, 0, 9, 130), old)
        assert set(_chosen(peers, now=old)) == {'a'}

    def test_full_host_is_left_out_while_others_have_room(self):
        assert set(_chosen([_peer('a', running=9), _peer('b', running=2)])) == {'b'}

    def test_failing_host_is_left_out_though_it_looks_idle(self):
        failing = dialect.ReportedLoad(0, 0, 9, 100, fault_share=0.4)
        assert set(_chosen([_peer('a', load=failing), _peer('b', 190, running=3)])) == {'b'}

    def test_cold_host_is_chosen_last(self):
        assert set(_chosen([_peer('a', cold=True), _peer('b', 150)])) == {'b'}

    def test_own_zone_is_preferred_among_equals(self):
        assert set(_chosen([_peer('a', zone='y'), _peer('b')])) == {'b'}

    def test_large_body_stays_in_its_zone_unless_that_is_much_slower(self):
        origin = host_choice.Origin(ids.ZoneName('z'), 60)
        assert set(_chosen([_peer('a', zone='y'), _peer('b', 190)], origin)) == {'b'}
        assert set(_chosen([_peer('a', zone='y'), _peer('b', 700)], origin)) == {'a'}

    def test_silent_and_avoided_hosts_are_the_last_resort(self):
        silent, avoided, fine = _peer('a'), _peer('b'), _peer('c', 700)
        silent.last_received_at = clock.Milliseconds(_NOW - 1000)
        avoided.avoid(_NOW)
        assert set(_chosen([silent, avoided, fine])) == {'c'}
        assert set(_chosen([silent])) == {'a'}
        assert set(_chosen([avoided])) == {'b'}

    def test_lone_host_that_is_heard_is_found_among_many(self):
        silent = [_peer(f's{number}') for number in range(60)]
        for peer in silent:
            peer.last_received_at = clock.Milliseconds(_NOW - 1000)
        assert set(_chosen([*silent, _peer('a', 700)])) == {'a'}


class TestZones:
    """Guards against calls that cross zones in vain, or stay in a zone that is slow."""

    def test_few_hosts_of_the_own_zone_are_found_among_many(self):
        far = [_peer(f'f{number}', zone='y') for number in range(30)]
        assert set(_chosen([*far, _peer('a'), _peer('b')])) == {'a', 'b'}

    def test_fast_hosts_of_other_zones_are_found(self):
        near = [_peer(f'n{number}', 700) for number in range(30)]
        assert set(_chosen([*near, _peer('a', zone='y'), _peer('b', zone='y')])) == {'a', 'b'}

    def test_other_zones_fill_up_what_the_own_zone_lacks(self):
        far = [_peer(f'f{number}', zone='y') for number in range(4)]
        assert _chosen([*far, _peer('a', 700)])['f0'] > 50

    def test_lone_zone_compares_as_many(self):
        slow = [_peer(f's{number}', 700) for number in range(4)]
        assert _chosen([*slow, _peer('a')])['a'] == 400
