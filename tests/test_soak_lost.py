"""Checks of the fault soak for requests that a node cut unread."""

from __future__ import annotations

import pytest

from anvillug import clock
from anvillug.bench import soak_records
from tests import soak_examples


class TestLostUnread:
    """Guards against requests that a node cut unread around planned work without a finding."""

    @pytest.fixture
    def records(self):
        """Return records of nothing."""
        return soak_records.Records()

    @pytest.mark.parametrize(('ended_at', 'broken'), [(10_200, []), (10_201, ['LOST unread a0'])])
    def test_slack_after_the_last_byte(self, records, ended_at, broken):
        soak_examples.cut(records, ended_at=ended_at)
        records.disturb(0, soak_examples.STOP_AT, soak_examples.PLANNED)
        assert soak_examples.broken(records) == broken

    def test_incomplete_request(self, records):
        soak_examples.cut(records, written_at=None)
        records.disturb(0, soak_examples.STOP_AT, soak_examples.PLANNED)
        soak_examples.assert_held(records)

    def test_slack_counts_from_the_last_byte_of_an_upload(self, records):
        soak_examples.cut(records, written_at=10_250, ended_at=10_400)
        records.disturb(0, soak_examples.STOP_AT, soak_examples.PLANNED)
        soak_examples.assert_held(records)

    def test_passed_on_within_the_slack(self, records):
        soak_examples.cut(records, ended_at=10_100)
        records.passed_on.add('a0')
        records.disturb(0, soak_examples.STOP_AT, soak_examples.PLANNED)
        assert soak_examples.broken(records) == ['LOST passed on a0']

    @pytest.mark.parametrize('node', [0, 1])
    @pytest.mark.parametrize(('sent_before_ms', 'is_lost'), [(6999, True), (7000, False)])
    def test_end_of_the_grace_time(self, records, node, sent_before_ms, is_lost):
        soak_examples.cut(records)
        records.disturb(node, clock.Milliseconds(10_300 - sent_before_ms), soak_examples.PLANNED)
        assert bool(soak_examples.broken(records)) is (is_lost and node == 0)

    @pytest.mark.parametrize(
        ('hangup_at', 'is_lost'),
        [(8000, False), (8001, True), (10_300, True), (10_301, False)],
    )
    def test_hangup(self, records, hangup_at, is_lost):
        soak_examples.cut(records)
        records.disturb(0, clock.Milliseconds(hangup_at), soak_examples.HANGUP)
        assert bool(soak_examples.broken(records)) is is_lost

    @pytest.mark.parametrize(('kill_at', 'is_lost'), [(7000, True), (7001, False)])
    def test_kill_before_the_request(self, records, kill_at, is_lost):
        soak_examples.cut(records)
        records.disturb(0, soak_examples.STOP_AT, soak_examples.PLANNED)
        records.disturb(0, clock.Milliseconds(kill_at), soak_examples.UNPLANNED)
        assert bool(soak_examples.broken(records)) is is_lost

    def test_kill_of_another_node(self, records):
        soak_examples.cut(records)
        records.disturb(0, soak_examples.STOP_AT, soak_examples.PLANNED)
        records.disturb(1, soak_examples.STOP_AT, soak_examples.UNPLANNED)
        assert soak_examples.broken(records) == ['LOST unread a0']

    @pytest.mark.parametrize(('timeout_ms', 'is_lost'), [(300, False), (301, True)])
    def test_timeout(self, records, timeout_ms, is_lost):
        soak_examples.cut(records, timeout_ms=timeout_ms)
        records.disturb(0, soak_examples.STOP_AT, soak_examples.PLANNED)
        assert bool(soak_examples.broken(records)) is is_lost

    def test_without_planned_work(self, records):
        soak_examples.cut(records)
        soak_examples.assert_held(records)

    def test_backend_server_that_broke_off(self, records):
        soak_examples.cut(records)
        records.disturb(0, soak_examples.STOP_AT, soak_examples.PLANNED)
        records.arrived('a0', soak_records.Run(1, soak_examples.STOP_AT, broke_off=True), None)
        soak_examples.assert_held(records)


class TestLostBesideConfig:
    """Guards against requests that a node cut unread for a configuration without a finding."""

    @pytest.fixture
    def records(self):
        """Return records of a configuration, and of an answered request long after it."""
        records = soak_records.Records()
        records.configs.append(clock.Milliseconds(9000))
        later = soak_examples.answered(records, 200, body=b'a1', sent_at=20_000)
        later.node = 0
        return records

    def test_cut_request(self, records):
        soak_examples.cut(records, timeout_ms=1000)
        assert soak_examples.broken(records) == ['LOST unread beside a configuration a0']

    @pytest.mark.parametrize(('config_at', 'is_lost'), [(6999, False), (7000, True)])
    def test_time_after_a_configuration(self, records, config_at, is_lost):
        records.configs = [clock.Milliseconds(config_at)]
        soak_examples.cut(records, timeout_ms=1000)
        assert bool(soak_examples.broken(records)) is is_lost

    @pytest.mark.parametrize(('timeout_ms', 'is_lost'), [(428, False), (429, True)])
    def test_share_of_the_time(self, records, timeout_ms, is_lost):
        soak_examples.cut(records, timeout_ms=timeout_ms)
        assert bool(soak_examples.broken(records)) is is_lost

    def test_cuts_as_often_at_other_times(self, records):
        soak_examples.cut(records, timeout_ms=1000)
        records.attempts[0].status = 0
        soak_examples.assert_held(records)

    def test_kill_of_the_node(self, records):
        soak_examples.cut(records, timeout_ms=1000)
        records.disturb(0, soak_examples.STOP_AT, soak_examples.UNPLANNED)
        soak_examples.assert_held(records)


class TestLongWork:
    """Guards against an excuse for long work that covers more than the end of a stop."""

    # Runs from 10,050 on; the request was sent at 10,000 and cut at 15,500.
    @pytest.mark.parametrize(
        ('stop_at', 'finished_at', 'is_lost'),
        [
            (10_100, None, False),
            # Sent 3 s after SIGTERM, and later.
            (7000, None, False),
            (6999, None, True),
            # The last sixth of the grace time begins at 15,100.
            (10_100, 15_101, False),
            (10_100, 15_100, True),
            # Cut before the last sixth.
            (10_600, None, True),
        ],
    )
    def test_work_that_outlasts_the_grace_time(self, stop_at, finished_at, is_lost):
        records = soak_records.Records(_GRACE_S)
        soak_examples.cut(records, ended_at=15_500, timeout_ms=8000)
        run = soak_records.Run(0, clock.Milliseconds(10_050), finished_at)
        records.arrived('a0', run, None)
        records.disturb(0, clock.Milliseconds(stop_at), soak_examples.PLANNED)
        assert soak_examples.broken(records) == (['LOST a0'] if is_lost else [])


_GRACE_S = 6.0
