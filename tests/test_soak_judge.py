"""Checks of the fault soak whose judge stood still, and what its report says of it."""

from __future__ import annotations

import pytest

from anvillug import clock
from anvillug.bench import soak_checks, soak_records, soak_report, stalls
from tests import soak_examples


@pytest.fixture
def records():
    """Return records of nothing."""
    return soak_records.Records()


class TestLateCut:
    """Guards against cuts that a judge saw late, as findings and as passed over."""

    # The excuse for a request that crosses the close ends 200 ms after its last byte.
    @pytest.mark.parametrize(('stalled_ms', 'is_doubted'), [(99, False), (100, True)])
    def test_lateness_within_the_stand_still(self, records, stalled_ms, is_doubted):
        soak_examples.cut(records, ended_at=10_300, stalled_ms=stalled_ms)
        records.disturb(0, soak_examples.STOP_AT, soak_examples.PLANNED)
        unread = ['LOST unread a0']
        assert soak_examples.broken(records) == ([] if is_doubted else unread)
        assert soak_checks.unjudged(records) == (unread if is_doubted else [])

    def test_passed_on(self, records):
        soak_examples.cut(records, ended_at=10_300, stalled_ms=290)
        records.passed_on.add('a0')
        records.disturb(0, soak_examples.STOP_AT, soak_examples.PLANNED)
        assert soak_examples.broken(records) == ['LOST passed on a0']
        assert not soak_checks.unjudged(records)

    def test_run(self, records):
        soak_examples.cut(records, number=1, ended_at=10_300, stalled_ms=290)
        soak_examples.run(records)
        assert soak_examples.broken(records) == ['LOST a1']

    def test_cut_that_crosses_the_close(self, records):
        soak_examples.cut(records, ended_at=10_200, stalled_ms=150)
        records.disturb(0, soak_examples.STOP_AT, soak_examples.PLANNED)
        soak_examples.assert_held(records)
        assert not soak_checks.unjudged(records)

    def test_answer(self, records):
        attempt = soak_examples.cut(records, ended_at=10_300, stalled_ms=150)
        attempt.status = 503
        records.disturb(0, soak_examples.STOP_AT, soak_examples.PLANNED)
        soak_examples.assert_held(records)
        assert not soak_checks.unjudged(records)

    # A timeout excuses a cut, which must not hide one that was seen late.
    @pytest.mark.parametrize(('stalled_ms', 'is_doubted'), [(50, False), (51, True)])
    def test_timeout_within_the_stand_still(self, records, stalled_ms, is_doubted):
        soak_examples.cut(records, ended_at=10_300, timeout_ms=250, stalled_ms=stalled_ms)
        records.passed_on.add('a0')
        records.disturb(0, soak_examples.STOP_AT, soak_examples.PLANNED)
        soak_examples.assert_held(records)
        assert soak_checks.unjudged(records) == (['LOST passed on a0'] if is_doubted else [])

    @pytest.mark.parametrize(('stalled_ms', 'is_doubted'), [(99, False), (100, True)])
    def test_beside_a_configuration(self, records, stalled_ms, is_doubted):
        records.configs.append(clock.Milliseconds(9000))
        soak_examples.answered(records, 200, body=b'a1', sent_at=20_000)
        soak_examples.cut(records, timeout_ms=1000, stalled_ms=stalled_ms)
        unread = ['LOST unread beside a configuration a0']
        assert soak_examples.broken(records) == ([] if is_doubted else unread)
        assert soak_checks.unjudged(records) == (unread if is_doubted else [])


class TestLateAnswer:
    """Guards against answers that a judge saw late, as findings and as passed over."""

    # CONFIG: the soak's own process read answers 0.5 to 2.1 s after the nodes had sent them.
    @pytest.mark.parametrize(('stalled_ms', 'is_doubted'), [(499, False), (500, True)])
    def test_overdue_within_the_stand_still(self, records, stalled_ms, is_doubted):
        late = soak_examples.cut(records, ended_at=12_000, timeout_ms=1000, stalled_ms=stalled_ms)
        late.status = 504
        unanswered = ['CONFIG unanswered a0']
        assert soak_examples.broken(records) == ([] if is_doubted else unanswered)
        assert soak_checks.unjudged(records) == (unanswered if is_doubted else [])

    def test_others_are_judged(self, records):
        for number, stalled_ms in enumerate((0, 900)):
            late = soak_examples.cut(records, number, ended_at=12_000, timeout_ms=1000)
            late.status = 504
            late.stalled_ms = stalled_ms
        assert soak_examples.broken(records) == ['CONFIG unanswered a0']
        assert soak_checks.unjudged(records) == ['CONFIG unanswered a1']

    def test_too_few_to_matter(self, records):
        for number, stalled_ms in enumerate((0, 0, 900)):
            late = soak_examples.cut(records, number, ended_at=11_400, timeout_ms=1000)
            late.status = 504
            late.stalled_ms = stalled_ms
        records.attempts[2].ended_at = clock.Milliseconds(12_000)
        soak_examples.assert_held(records)
        assert not soak_checks.unjudged(records)


class TestOwnEnd:
    """Guards against a caller that is owed an answer and is taken for one that has left."""

    # LOST: each request of callers that closed their end after it was excused.
    def test_caller_that_closed_its_end(self, records):
        soak_examples.cut(records, number=1, habit='half-closes')
        soak_examples.run(records)
        assert soak_examples.broken(records) == ['LOST a1']

    def test_caller_that_left(self, records):
        soak_examples.cut(records, number=1, habit='leaves', has_left=True)
        soak_examples.run(records)
        soak_examples.assert_held(records)

    def test_foreign_answer(self, records):
        attempt = soak_examples.answered(records, 200, body=b'a2')
        attempt.habit = 'half-closes'
        assert soak_examples.broken(records) == ['MIXED a1']


class TestForeignListener:
    """Guards against requests that another process took at the node's port."""

    @pytest.mark.parametrize(
        ('node', 'begin', 'end', 'is_foreign'),
        [(0, 90, 99, False), (0, 90, 100, True), (0, 201, 210, False), (1, 90, 100, False)],
    )
    def test_times(self, records, node, begin, end, is_foreign):
        records.hold_port(0, clock.Milliseconds(100))
        assert records.is_foreign(0, 500, 501)
        records.release_port(0, clock.Milliseconds(200))
        assert records.is_foreign(node, begin, end) is is_foreign


class TestReport:
    """Guards against verdicts without the stand-still of their judge."""

    def test_each_verdict_has_the_stand_still(self, records, capsys, tmp_path):
        soak_examples.cut(records, ended_at=10_300, stalled_ms=42, judge='c0-0-1')
        soak_examples.cut(records, 1, ended_at=10_300, stalled_ms=290, judge='c0-0-2')
        records.disturb(0, soak_examples.STOP_AT, soak_examples.PLANNED)
        assert soak_report.write(1, records, {}, {}, tmp_path) == 1
        expected = {
            'broken: LOST unread a0 (c0-0-1 stood still for 42 ms)',
            "can't be judged: 1 {'LOST unread': 1}",
            "can't be judged: LOST unread a1 (c0-0-2 stood still for 290 ms)",
            'seed 1: 1 promises broken',
        }
        assert expected <= set(capsys.readouterr().out.splitlines())
        attempts = (tmp_path / 'attempts.txt').read_text()
        assert 'stalled_ms=42' in attempts
        assert 'stalled_ms=290' in attempts

    def test_late_arrival_is_judged_by_the_loop(self, records, capsys):
        soak_examples.answered(records, 200, body=b'a1').judge = 'c0-0-1'
        records.late_arrivals.append('a1')
        soak_report.write(1, records, {}, {}, None)
        line = 'broken: DRAIN a1 (own loop stood still for at most 0 ms)'
        assert line in capsys.readouterr().out

    def test_end_of_a_process(self, records, capsys):
        records.own_ends.append('host-1 ended by itself')
        soak_report.write(1, records, {}, {}, None)
        line = 'broken: FAULT host-1 ended by itself (own loop stood still for at most 0 ms)'
        assert line in capsys.readouterr().out


class TestStalls:
    """Guards against a meter that misses a stand-still."""

    @pytest.fixture
    def meter(self, monkeypatch):
        """Return a meter whose clock is set by the test."""
        manual = clock.ManualClock()
        monkeypatch.setattr(clock, 'SystemClock', lambda: manual)
        return manual, stalls.Stalls()

    def test_late_tick(self, meter):
        manual, stood_still = meter
        loop = _Loop()
        stood_still.tick_in_loop(loop)
        manual.advance(305)
        # The event is handled before the tick that notes the stand-still.
        assert stood_still.longest_ms(0, 305) == 300
        loop.tick()
        manual.advance(5)
        loop.tick()
        assert stood_still.longest_ms(0, 400) == 300
        assert stood_still.longest_ms(200, 250) == 50
        assert stood_still.longest_ms(306, 400) == 0

    def test_ticks_in_time(self, meter):
        manual, stood_still = meter
        loop = _Loop()
        stood_still.tick_in_loop(loop)
        for _ in range(3):
            manual.advance(9)
            loop.tick()
        assert stood_still.longest_ms(0, 100) == 0


class _Loop:
    """Reactor that makes one delayed call at a time."""

    def __init__(self):
        self._call = None

    def callLater(self, _delay_s, action, *arguments):  # noqa: N802 the name is Twisted's
        self._call = (action, arguments)

    def tick(self):
        """Make the delayed call."""
        action, arguments = self._call
        action(*arguments)
