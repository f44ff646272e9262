"""Tests of the membership log: which nodes follow the stream and how much they read."""

from __future__ import annotations

import random

from twisted.internet import task

from anvillug import clock
from anvillug.bench import membership_cost
from anvillug.process import member_record, membership, membership_log
from tests import fake_log

_NOW = clock.Milliseconds(0)
_HOSTS = 50
_ZONE_STRIDE = 21  # `make_member` repeats region and zone after 3 x 7 = 21 members


def _members(count: int) -> list[membership.Member]:
    """Return members of one zone."""
    return [membership_cost.make_member(index * _ZONE_STRIDE) for index in range(count)]


def _table(local: membership.Member, members: list[membership.Member]) -> membership.MemberTable:
    table = membership.MemberTable(local, _NOW)
    table.merge(members, _NOW)
    return table


def _start(
    log: fake_log.FakeLog,
    timer: task.Clock,
    table: membership.MemberTable,
) -> membership_log.MembershipLog:
    membership_task = membership_log.MembershipLog(
        log,
        table,
        timer,
        clock.ManualClock(),
        random.Random(3),
    )
    membership_task.start()
    return membership_task


class TestRelays:
    """Selection of the nodes that follow the stream."""

    def test_each_zone_has_a_limited_number_of_relays(self) -> None:
        """Guards against a log that has to send every record to every node."""
        members = _members(_HOSTS)
        relays = [local for local in members if membership_log.is_relay(_table(local, members))]
        assert len(relays) == membership_log.RELAYS_PER_ZONE

    def test_dead_relays_are_replaced(self) -> None:
        """Guards against a zone without a node that follows the stream."""
        members = _members(_HOSTS)
        dead = [local for local in members if membership_log.is_relay(_table(local, members))]
        survivors = [local for local in members if local not in dead]
        relays = []
        for local in survivors:
            table = _table(local, members)
            for member in dead:
                for _ in range(membership.DEAD_FAILURES):
                    table.observe(member.host_id, ok=False, now=_NOW)
            relays.append(membership_log.is_relay(table))
        assert sum(relays) == membership_log.RELAYS_PER_ZONE


class TestReading:
    """Reads of the stream at start and later."""

    def test_node_reads_only_the_end_at_start(self) -> None:
        """Guards against reading the renewals of a whole day at start."""
        timer = task.Clock()
        log = fake_log.FakeLog(timer)
        for index in range(3 * membership_log.STARTUP_RECORDS):
            log.write(member_record.to_data(membership_cost.make_member(index % 40 + 1)))
        membership_task = _start(log, timer, _table(membership_cost.make_member(0), []))
        timer.advance(1)
        assert membership_task.dump()['records_read'] <= membership_log.STARTUP_RECORDS + 1
        assert membership_task.dump()['next_offset'] == len(log.records)

    def test_node_that_is_not_a_relay_stops_reading(self) -> None:
        """Guards against long polls of all 6,300 nodes on the stream."""
        timer = task.Clock()
        log = fake_log.FakeLog(timer)
        members = _members(_HOSTS)
        local = next(
            member for member in members if not membership_log.is_relay(_table(member, members))
        )
        membership_task = _start(log, timer, _table(local, members))
        timer.advance(1)
        read = membership_task.dump()['records_read']
        log.write(member_record.to_data(membership_cost.make_member(1)))
        timer.advance(1)
        assert membership_task.dump()['records_read'] == read

    def test_single_node_follows_the_stream(self) -> None:
        """Guards against a first node that never discovers the second one."""
        timer = task.Clock()
        log = fake_log.FakeLog(timer)
        table = _table(membership_cost.make_member(0), [])
        _start(log, timer, table)
        timer.advance(1)
        log.write(member_record.to_data(membership_cost.make_member(1)))
        timer.pump([0.1, 0.1])
        assert len(table) == 2
