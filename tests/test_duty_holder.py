"""Tests of the holder of the duty, with nodes, a log and a platform that fail on demand."""

from __future__ import annotations

import dataclasses

import pytest
from twisted.internet import defer

from anvillug import clock, ids
from anvillug.process import duty_record, duty_state, usage_counts
from anvillug.version import directives
from tests import duty_fleet

_LEASE_S = duty_fleet.SETTINGS.lease_ms / 1000


@pytest.fixture
def fleet():
    """Return nodes of which one holds the duty and has reported some windows."""
    fleet = duty_fleet.Fleet()
    fleet.run(21)
    yield fleet
    fleet.platform.check()


def _expect_all_reported(fleet, since_ms=0.0):
    due = fleet.windows(since_ms, fleet.time.now())
    assert due
    assert set(due) <= set(fleet.platform.accepted)


def _expect_to_go_on(fleet):
    fleet.run(20)
    _expect_all_reported(fleet)


class TestHealthyFleet:
    """Guards against windows that are not reported, and calls of the store that nobody needs."""

    def test_every_window_is_reported_in_time_by_one_holder(self, fleet):
        _expect_all_reported(fleet)
        assert {host_id for host_id, _ in fleet.platform.calls} == {'n0'}

    def test_one_append_per_window_and_one_read_per_candidate(self, fleet):
        appends, reads = fleet.log.appends, fleet.log.reads
        fleet.run(50)
        assert fleet.log.appends - appends <= 10
        assert fleet.log.reads - reads <= 20

    def test_nodes_late_in_the_order_read_nothing(self):
        fleet = duty_fleet.Fleet(6)
        fleet.run(40)
        assert [node.number for node in fleet.nodes if node.state.record] == [0, 1, 2]


class TestHolderFails:
    """Guards against windows without a report, or with two, after the holder has failed."""

    def test_killed_holder_is_replaced_in_time(self, fleet):
        fleet.holder.is_dead = True
        fleet.run(40)
        _expect_all_reported(fleet)
        assert fleet.holder.host_id != 'n0'

    def test_restarted_holder_continues_with_another_token(self, fleet):
        token = fleet.holder.state.record.token
        fleet.restart(fleet.holder)
        fleet.run(40)
        _expect_all_reported(fleet)
        assert fleet.holder.state.record.token > token

    @pytest.mark.parametrize('paused_s', [1, 2.5, 4, 7, 9, 14, 30])
    @pytest.mark.parametrize('phase_s', [0, 0.5, 1, 1.5, 2, 2.5, 3.5, 4.5])
    def test_paused_holder_does_not_return_within_a_lease(self, fleet, paused_s, phase_s):
        fleet.run(phase_s)
        former = fleet.holder
        former.is_paused = True
        fleet.run(paused_s)
        former.is_paused = False
        before = len(fleet.platform.calls)
        fleet.run(40)
        _expect_all_reported(fleet, fleet.time.now() - 35_000)
        tokens = [token for _, token in fleet.platform.calls[before:]]
        assert tokens == sorted(tokens)

    def test_holder_that_hears_few_nodes_leaves_the_duty_to_others(self, fleet):
        holder = fleet.holder
        holder.isolated = True
        fleet.run(30)
        assert fleet.holder is not holder

    def test_reads_stay_rare_while_the_holder_is_silent(self, fleet):
        reads = fleet.log.reads
        fleet.holder.is_dead = True
        fleet.run(5)
        assert fleet.log.reads - reads <= 4

    def test_removed_host_stays_away(self, fleet):
        fleet.holder.is_dead = True
        fleet.nodes[1].is_dead = True
        fleet.run(60)
        _expect_all_reported(fleet, 30_000)
        assert fleet.holder.host_id == 'n2'


class TestHolderStops:
    """Guards against a duty that nobody performs, or two nodes at once, after a planned stop."""

    def test_taken_over_at_once_with_a_higher_token(self, fleet):
        former = fleet.holder
        token = former.state.record.token
        former.holder.stop()
        fleet.run(1.5)
        assert fleet.holder is fleet.nodes[1]
        assert fleet.holder.state.record.token > token
        _expect_to_go_on(fleet)

    def test_without_beacons_taken_over_when_the_next_report_is_due(self, fleet):
        fleet.beacons_arrive = False
        fleet.holder.holder.stop()
        fleet.run(6)
        assert fleet.holder is fleet.nodes[1]
        _expect_to_go_on(fleet)

    def test_not_released_while_a_report_is_on_its_way(self, fleet):
        fleet.platform.response = defer.Deferred()
        fleet.run(1.5)
        former = fleet.holder
        calls = len(fleet.platform.calls)
        former.holder.stop()
        records = len(fleet.log.records)
        fleet.run(0.5)
        assert (fleet.holder, len(fleet.log.records)) == (former, records)
        fleet.platform.respond()
        fleet.run(1.5)
        assert len(fleet.platform.calls) == calls + 1
        assert fleet.holder is fleet.nodes[1]
        assert not fleet.holder.state.record.pending

    def test_reports_that_wait_are_left_to_the_next_holder(self, fleet):
        fleet.platform.is_down = True
        fleet.run(7)
        fleet.platform.response = defer.Deferred()
        fleet.run(2)
        fleet.platform.is_down = False
        former = fleet.holder
        assert len(former.state.record.pending) > 1
        calls = len(fleet.platform.calls)
        former.holder.stop()
        fleet.platform.respond()
        fleet.run(4)
        senders = [host_id for host_id, _ in fleet.platform.calls[calls:]]
        assert senders[:2] == ['n0', 'n1']
        _expect_to_go_on(fleet)

    @pytest.mark.parametrize(('era', 'may_take_over'), [(0, True), (1, False)])
    def test_release_before_a_restored_store_awaits_the_lease(self, era, may_take_over):
        record = duty_record.release(TestRecord.RECORD, frozenset())
        state = duty_state.DutyState((ids.HostId('m'), ids.Incarnation(1)), duty_fleet.SETTINGS)
        state.observe(record, directives.Position(era, 9), clock.Milliseconds(0))
        now = clock.Milliseconds(10)
        situation = duty_state.Situation(now, now, rank=0, is_isolated=False)
        assert state.may_take_over(situation) is may_take_over

    def test_report_without_a_response_is_repeated(self, fleet):
        fleet.platform.delays_reports = True
        fleet.run(1.5)
        assert fleet.platform.late_reports
        former = fleet.holder
        former.holder.stop()
        fleet.platform.delays_reports = False
        fleet.run(_LEASE_S - 1)
        assert fleet.holder is former
        fleet.run(4)
        assert fleet.holder is not former
        fleet.platform.carry_out_late()
        _expect_to_go_on(fleet)

    def test_store_out_at_the_stop(self, fleet):
        former = fleet.holder
        former.log.is_down = True
        former.holder.stop()
        calls = len(fleet.platform.calls)
        fleet.run(5)
        assert len(fleet.platform.calls) == calls
        former.is_dead = True
        fleet.run(40)
        _expect_all_reported(fleet)

    @pytest.mark.parametrize('delay_s', [0.5, 1, 3, 8, 13])
    def test_release_carried_out_late(self, fleet, delay_s):
        former = fleet.holder
        former.log.delays_appends = True
        former.holder.stop()
        fleet.run(0.5)
        former.is_dead = True
        fleet.run(delay_s)
        fleet.log.carry_out_late()
        fleet.run(40)
        _expect_all_reported(fleet)
        assert fleet.holder is fleet.nodes[1]

    def test_lost_response_of_the_release(self, fleet):
        former = fleet.holder
        former.log.loses_responses = True
        former.holder.stop()
        fleet.run(1)
        records = len(fleet.log.records)
        former.log.loses_responses = False
        fleet.run(3)
        assert not former.state.is_holder
        assert fleet.holder is fleet.nodes[1]
        assert len(fleet.log.records) <= records + 2

    def test_two_nodes_take_over_at_once(self, fleet):
        for node in fleet.nodes:
            node.rank = int
        fleet.holder.holder.stop()
        fleet.run(20)
        assert fleet.holder
        _expect_all_reported(fleet)

    def test_former_holder_does_not_return_within_a_lease(self, fleet):
        fleet.holder.holder.stop()
        fleet.run(1.5)
        fleet.restart(fleet.nodes[0])
        taken_at = fleet.time.now()
        second = fleet.holder
        second.holder.stop()
        while second.state.is_holder:
            fleet.run(0.25)
        assert fleet.time.now() - taken_at > duty_fleet.SETTINGS.lease_ms - 1500
        fleet.run(20)
        assert fleet.holder.host_id == 'n0'
        _expect_all_reported(fleet)

    def test_other_nodes_that_stop_neither_take_over_nor_write(self, fleet):
        appends = fleet.log.appends
        fleet.nodes[1].holder.stop()
        fleet.holder.holder.stop()
        fleet.run(1)
        assert fleet.log.appends - appends == 1
        fleet.run(10)
        assert fleet.holder is fleet.nodes[2]

    def test_store_restored_to_the_release(self, fleet):
        fleet.holder.holder.stop()
        fleet.run(0.5)
        released = len(fleet.log.records)
        fleet.run(6)
        fleet.log.restore(released)
        fleet.run(5)
        calls = fleet.platform.calls
        assert calls[-1][0] == 'n1'
        fleet.run(40)
        _expect_all_reported(fleet, 45_000)


class TestStoreFails:
    """Guards against reports that the store has not fixed, or fixed twice."""

    def test_nothing_is_sent_without_the_store(self, fleet):
        for node in fleet.nodes:
            node.log.is_down = True
        fleet.run(3)
        calls = len(fleet.platform.calls)
        fleet.run(5)
        assert len(fleet.platform.calls) == calls
        for node in fleet.nodes:
            node.log.is_down = False
        fleet.run(20)
        _expect_all_reported(fleet)

    def test_holder_cut_from_the_store_is_replaced(self, fleet):
        fleet.holder.log.is_down = True
        fleet.run(30)
        _expect_all_reported(fleet)
        assert fleet.platform.calls[-1][0] == 'n1'

    def test_lost_response_of_an_append(self, fleet):
        fleet.holder.log.loses_responses = True
        fleet.run(12)
        fleet.nodes[0].log.loses_responses = False
        fleet.run(30)
        _expect_all_reported(fleet, 30_000)

    @pytest.mark.parametrize('delay_s', [0.5, 1, 3, 8, 13])
    def test_append_carried_out_late(self, fleet, delay_s):
        fleet.holder.log.delays_appends = True
        fleet.run(delay_s)
        fleet.nodes[0].log.delays_appends = False
        fleet.log.carry_out_late()
        fleet.run(40)
        _expect_all_reported(fleet, 30_000)

    @pytest.mark.parametrize('lost', [1, 2, 3])
    def test_restored_store(self, fleet, lost):
        fleet.log.restore(len(fleet.log.records) - lost)
        fleet.run(40)
        _expect_all_reported(fleet, 30_000)

    def test_malformed_record_is_replaced(self, fleet):
        fleet.log.records.append(b'{"host_id":7}')
        fleet.run(40)
        _expect_all_reported(fleet, 45_000)


class TestPlatformFails:
    """Guards against a report that is repeated with other counts, or by a former holder."""

    def test_lost_response_is_repeated_exactly(self, fleet):
        fleet.platform.loses_responses = True
        fleet.run(6)
        fleet.platform.loses_responses = False
        fleet.run(20)
        _expect_all_reported(fleet)

    @pytest.mark.parametrize('delay_s', [3, 9, 12])
    def test_successor_repeats_the_report_that_its_predecessor_fixed(self, fleet, delay_s):
        fleet.platform.delays_reports = True
        fleet.run(1.5)
        assert fleet.platform.late_reports
        fleet.holder.is_dead = True
        fleet.platform.delays_reports = False
        fleet.run(delay_s)
        fleet.platform.carry_out_late()
        fleet.run(30 - delay_s)
        _expect_all_reported(fleet)

    def test_calls_stay_rare_while_the_platform_is_down(self, fleet):
        fleet.platform.is_down = True
        appends = fleet.log.appends
        fleet.run(20)
        assert fleet.log.appends - appends < 20
        fleet.platform.is_down = False
        fleet.run(20)
        _expect_all_reported(fleet, 35_000)

    def test_holder_whose_token_is_rejected_takes_another_one(self, fleet):
        token = fleet.holder.state.record.token
        fleet.platform.highest_token = token + 1
        fleet.run(40)
        assert fleet.holder.state.record.token > token + 1
        _expect_all_reported(fleet, 45_000)


class TestRecord:
    """Guards against records that change a fixed report, and against malformed ones."""

    RECORD = duty_record.DutyRecord(
        ids.HostId('n'),
        ids.Incarnation(1),
        duty_record.Token(4),
        5,
        0,
        usage_counts.Window(7),
        {usage_counts.Window(6): {duty_fleet.TENANT: 3}},
    )

    def test_decoded_as_encoded(self):
        assert duty_record.decode(duty_record.encode(self.RECORD)) == self.RECORD

    def test_release_keeps_the_fixed_report(self):
        record = duty_record.release(self.RECORD, frozenset())
        assert duty_record.decode(duty_record.encode(record)) == record
        assert record.pending == self.RECORD.pending
        assert record.is_released

    def test_record_of_an_older_release_is_not_released(self):
        content = duty_record.encode(self.RECORD).replace(b',"is_released":false', b'')
        assert b'is_released' not in content
        assert duty_record.decode(content) == self.RECORD

    @pytest.mark.parametrize('content', [b'', b'[]', b'{}', b'{"token":-1}', b'\xff'])
    def test_malformed(self, content):
        with pytest.raises(ValueError, match=r'.'):
            duty_record.decode(content)

    def test_fixed_report_is_not_changed(self):
        with pytest.raises(ValueError, match='fixed'):
            duty_record.renew(self.RECORD, {usage_counts.Window(6): {}}, frozenset())

    def test_windows_that_ended_are_skipped_after_a_restored_store(self):
        end = directives.Position(1, 3)
        record = duty_record.take_over(
            self.RECORD, end, (ids.HostId('m'), ids.Incarnation(2)), 61_000, 5000, 10_000
        )
        assert (record.next_window, record.pending) == (12, {})
        assert record.token > dataclasses.replace(self.RECORD, token=2**40 - 1).token
