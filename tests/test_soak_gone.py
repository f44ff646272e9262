"""Checks of the fault soak on callers who have left."""

from __future__ import annotations

import pytest

from anvillug import clock
from anvillug.bench import soak_checks, soak_records
from tests import soak_examples

LEFT_AT = 10_300.0


@pytest.fixture
def records():
    """Return records of nothing."""
    return soak_records.Records()


def _left(records, number, *, due_at=10_801, cancelled_at=10_800.0, **fields):
    """Record a request whose caller left, and its run."""
    attempt = soak_examples.cut(records, number, ended_at=LEFT_AT, has_left=True, **fields)
    run = soak_records.Run(1, clock.Milliseconds(10_050), due_at=due_at, cancelled_at=cancelled_at)
    records.arrived(attempt.attempt_id, run, None)
    return attempt


class TestWork:
    """Guards against work that goes on for callers who have left."""

    @pytest.mark.parametrize('lasting', [1, 2])
    def test_quarter(self, records, lasting):
        for ended in range(3 * lasting):
            _left(records, ended)
        at_work = [f'w{number}' for number in range(lasting + 1)]
        for name in at_work[:-1]:
            _left(records, name, cancelled_at=10_801)
        soak_examples.assert_held(records)
        _left(records, at_work[-1], cancelled_at=10_801)
        assert soak_examples.broken(records) == [f'GONE at work a{name}' for name in at_work]

    @pytest.mark.parametrize('fields', [{'due_at': 10_800}, {'cancelled_at': 10_800}])
    def test_end_in_time(self, records, fields):
        _left(records, 0, **{'cancelled_at': 10_801, **fields})
        soak_examples.assert_held(records)

    def test_run_that_finished(self, records):
        _left(records, 0, cancelled_at=10_801)
        records.runs_by_attempt_id['a0'][0].finished_at = 10_800
        soak_examples.assert_held(records)

    def test_backend_server_that_broke_off(self, records):
        _left(records, 0, cancelled_at=10_801)
        records.runs_by_attempt_id['a0'][0].broke_off = True
        soak_examples.assert_held(records)

    def test_request_that_may_run_once(self, records):
        _left(records, 0, cancelled_at=10_801).repeatable = False
        soak_examples.assert_held(records)

    @pytest.mark.parametrize('node', [0, 1])
    @pytest.mark.parametrize(
        ('disturbed_at', 'is_broken'),
        [(7000, True), (7001, False), (10_800, False), (10_801, True)],
    )
    def test_node_out_of_touch(self, records, node, disturbed_at, is_broken):
        _left(records, 0, cancelled_at=10_801)
        records.disturb(node, clock.Milliseconds(disturbed_at), soak_examples.UNPLANNED)
        assert bool(soak_examples.broken(records)) is is_broken

    def test_hangup(self, records):
        _left(records, 0, cancelled_at=10_801)
        records.disturb(0, soak_examples.STOP_AT, soak_examples.HANGUP)
        assert soak_examples.broken(records) == ['GONE at work a0']

    # The soak's own loop runs the backend servers, which see a cancelled request late then.
    @pytest.mark.parametrize(('stalled_ms', 'is_doubted'), [(9, False), (10, True)])
    def test_stand_still_of_the_loop(self, records, stalled_ms, is_doubted, monkeypatch):
        monkeypatch.setattr(records.stalls, 'longest_ms', lambda *_: stalled_ms)
        _left(records, 0, cancelled_at=10_810)
        at_work = ['GONE at work a0']
        assert soak_examples.broken(records) == ([] if is_doubted else at_work)
        assert soak_checks.unjudged(records) == (at_work if is_doubted else [])


class TestArrivals:
    """Guards against requests that are passed on after their callers have left."""

    @pytest.mark.parametrize('late', [3, 4])
    def test_more_than_three(self, records, late):
        for number in range(late):
            _left(records, number, due_at=0).repeatable = False
            records.last_arrival_by_id[f'a{number}'] = 10_801
        assert soak_examples.broken(records) == (
            [f'GONE reached a{place}' for place in range(late)] if late > 3 else []
        )

    def test_arrivals_in_time(self, records):
        for number in range(9):
            _left(records, number, due_at=0)
            records.last_arrival_by_id[f'a{number}'] = 10_800
        soak_examples.assert_held(records)

    def test_callers_that_stay(self, records):
        for number in range(9):
            soak_examples.cut(records, number, ended_at=LEFT_AT)
            records.last_arrival_by_id[f'a{number}'] = 10_801
        soak_examples.assert_held(records)
