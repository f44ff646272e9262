"""Tests of the member table."""

from __future__ import annotations

import dataclasses
import random

from hypothesis import given, strategies

from anvillug import clock, ids
from anvillug.process import member_record, membership

NOW = clock.Milliseconds(0)
SERVICE = ids.ServiceName('drawbook')


def make_member(index: int, **changes: object) -> membership.Member:
    """Return a serving member of `SERVICE`."""
    member = membership.Member(
        host_id=ids.HostId(f'host-{index}'),
        zone=ids.ZoneName(f'zone-{index % 3}'),
        region=ids.RegionName('kochi'),
        incarnation=ids.Incarnation(1),
        sequence=1,
        service=SERVICE,
        version=ids.VersionName('v1'),
        peer_address=f'127.0.0.1:{10000 + index}',
        control_address=f'127.0.0.1:{20000 + index}',
        state=membership.MemberState.SERVING,
    )
    return dataclasses.replace(member, **changes)


def make_table(size: int, local_index: int = 0) -> membership.MemberTable:
    """Return a table with the given number of members, including this host."""
    table = membership.MemberTable(make_member(local_index), NOW)
    table.merge([make_member(index) for index in range(size)], NOW)
    return table


def observe_failures(table: membership.MemberTable, index: int, times: int = 4, now: float = 6_000):
    """Record failures of one host, distributed evenly over the time until `now`."""
    for attempt in range(times):
        at = now * attempt / max(1, times - 1)
        table.observe(ids.HostId(f'host-{index}'), ok=False, now=clock.Milliseconds(at))


RECORDS = strategies.builds(
    make_member,
    strategies.integers(1, 6),
    incarnation=strategies.integers(1, 3),
    sequence=strategies.integers(1, 3),
    state=strategies.just(membership.MemberState.SERVING),
)


class TestMerge:
    """Guards against records that revert to older ones or differ between nodes."""

    @given(strategies.lists(RECORDS), strategies.randoms(use_true_random=False))
    def test_result_is_independent_of_order(self, records: list, rng: random.Random):
        first, second = make_table(1), make_table(1)
        first.merge(records, NOW)
        shuffled = list(records)
        rng.shuffle(shuffled)
        for record in shuffled:
            second.merge([record], NOW)
        assert first.digest() == second.digest()
        assert first.bucket_digests() == second.bucket_digests()
        for record in records:
            assert first.get(record.host_id) == second.get(record.host_id)
            assert first.get(record.host_id).order_key() >= record.order_key()

    def test_old_record_is_rejected(self):
        table = make_table(3)
        newer = make_member(1, sequence=2, state=membership.MemberState.LEAVING)
        assert table.merge([newer], NOW) == [newer]
        assert not table.merge([make_member(1)], NOW)
        assert table.get(ids.HostId('host-1')) == newer

    def test_record_of_this_host_from_a_peer_is_rejected(self):
        table = make_table(3)
        from_peer = make_member(0, sequence=9, state=membership.MemberState.LEFT)
        assert not table.merge([from_peer], NOW)
        assert table.superseded_by is None
        later = make_member(0, incarnation=2)
        assert not table.merge([later], NOW)
        assert table.superseded_by == later
        assert table.local == make_member(0)

    def test_changed_service_updates_the_indexes(self):
        table = make_table(3)
        other = ids.ServiceName('fieldvault')
        table.merge([make_member(1, sequence=2, service=other)], NOW)
        assert [member.host_id for member in table.members_of(other)] == ['host-1']
        assert len(table.members_of(SERVICE)) == 2
        table.update_local(NOW, service=other)
        assert len(table.members_of(other)) == 2
        assert table.local.sequence == 2

    def test_json_round_trip(self):
        assert member_record.from_data(member_record.to_data(make_member(4))) == make_member(4)


class TestTombstone:
    """Guards against a host that has left but is restored from the old table of a peer."""

    def test_left_host_is_not_restored_and_expires(self):
        table = make_table(3)
        before = len(table)
        left = make_member(1, sequence=2, state=membership.MemberState.LEFT)
        table.merge([left], NOW)
        table.merge([make_member(1)], NOW)
        assert len(table) == before - 1
        assert len(table.members_of(SERVICE)) == 2
        assert not table.expire(clock.Milliseconds(membership.LEFT_RETENTION_MS - 1))
        assert table.expire(clock.Milliseconds(membership.LEFT_RETENTION_MS)) == ['host-1']
        assert table.get(ids.HostId('host-1')) is None

    def test_tombstone_is_not_in_the_digest(self):
        # Tombstones expire at different times on different nodes; that must not cause pulls.
        table, smaller = make_table(3), make_table(2)
        table.merge([make_member(2, sequence=2, state=membership.MemberState.LEFT)], NOW)
        assert table.digest() == smaller.digest()

    def test_host_dead_for_a_day_expires(self):
        table = make_table(3)
        observe_failures(table, 1)
        assert not table.expire(clock.Milliseconds(membership.LEFT_RETENTION_MS))
        assert table.expire(clock.Milliseconds(membership.DEAD_RETENTION_MS)) == ['host-1']


class TestLiveness:
    """Guards against calls to unreachable hosts and against a service left without hosts."""

    def test_failures_make_a_host_dead_and_a_response_makes_it_live(self):
        table = make_table(10)
        host = ids.HostId('host-1')
        observed = [
            table.observe(host, False, clock.Milliseconds(at)) for at in (0, 1, 2, 3, 6_000)
        ]
        live, suspect, dead = membership.Liveness
        assert observed == [live, suspect, suspect, suspect, dead]
        assert host not in {member.host_id for member in table.usable(SERVICE)}
        assert table.observe(host, True, clock.Milliseconds(6_001)) is live
        assert host in {member.host_id for member in table.usable(SERVICE)}

    def test_new_incarnation_makes_a_host_live(self):
        table = make_table(10)
        observe_failures(table, 1)
        table.merge([make_member(1, incarnation=2)], NOW)
        assert table.liveness(ids.HostId('host-1')) is membership.Liveness.LIVE

    def test_all_members_are_usable_if_most_are_suspect(self):
        table = make_table(6)
        for index in range(1, 4):
            observe_failures(table, index, times=2)
        assert len(table.usable(SERVICE)) == 3
        observe_failures(table, 4)
        assert len(table.usable(SERVICE)) == 6

    def test_starting_and_leaving_members_are_not_usable(self):
        table = make_table(6)
        starting, leaving = membership.MemberState.STARTING, membership.MemberState.LEAVING
        table.merge([make_member(1, sequence=2, state=starting)], NOW)
        table.merge([make_member(2, sequence=2, state=leaving)], NOW)
        hosts = {member.host_id for member in table.usable(SERVICE)}
        assert hosts == {'host-0', 'host-3', 'host-4', 'host-5'}

    @given(strategies.sets(strategies.integers(1, 5)), strategies.sets(strategies.integers(1, 5)))
    def test_failures_alone_never_leave_a_service_without_members(self, failed: set, leaving: set):
        table = make_table(6)
        for index in failed:
            observe_failures(table, index)
        for leaving_index in leaving:
            record = make_member(leaving_index, sequence=2, state=membership.MemberState.LEAVING)
            table.merge([record], NOW)
        table.update_local(NOW, service=ids.ServiceName('other'))
        assert bool(table.usable(SERVICE)) == (len(leaving) < 5)

    def test_dead_hosts_are_retried_in_rotation(self):
        table = make_table(10)
        observe_failures(table, 1)
        observe_failures(table, 2)
        assert table.host_to_retry(clock.Milliseconds(6_001)) is None
        assert table.host_to_retry(clock.Milliseconds(12_000)) == 'host-1'
        table.observe(ids.HostId('host-1'), False, clock.Milliseconds(12_000))
        assert table.host_to_retry(clock.Milliseconds(12_000)) == 'host-2'
        assert table.count_by_liveness() == {'live': 8, 'dead': 2}


class TestChanges:
    """Guards against exchanges that grow with the table, and tables that stay different."""

    def test_changes_are_newest_first_and_limited(self):
        table = make_table(100)
        revision = table.revision
        assert not table.changes_since(revision, 10)
        table.merge([make_member(index, sequence=2) for index in range(1, 30)], NOW)
        hosts = [member.host_id for member in table.changes_since(revision, 10)]
        assert hosts == [f'host-{index}' for index in range(29, 19, -1)]
        assert len(table.changes_since(revision, 100)) == 29

    def test_limited_pulls_make_tables_equal(self):
        full, fresh = make_table(1_000), make_table(1)
        pulls = 0
        incomplete = True
        while incomplete and pulls < 15:
            pulls += 1
            records, incomplete = full.members_in_differing_buckets(fresh.bucket_digests(), 100)
            fresh.merge(records, NOW)
        assert fresh.digest() == full.digest()

    def test_number_of_members_is_limited(self, monkeypatch):
        monkeypatch.setattr(membership, 'MAX_MEMBERS', 5)
        assert len(make_table(10)) == 5
