"""Tests of the call table: unit tests and a state machine against the true history."""

from __future__ import annotations

import pytest
from hypothesis import settings, strategies
from hypothesis import stateful as machine

from anvillug import ids
from anvillug.request import call_table

OWN = ids.Incarnation(100)
BOUNDS = call_table.Bounds(
    entries=4, answer_bytes=20, one_answer_bytes=12, keep_ms=50, marks=2, waiters=2
)
KIND = call_table.ResolutionKind
ADMIT = call_table.AdmitResult


def _call(sequence, host='e', incarnation=1):
    return ids.CallId(ids.HostId(host), ids.Incarnation(incarnation), sequence)


def _answer(call_id, size=5):
    return call_table.KeptAnswer(200, (), str(call_id).encode().ljust(size, b'.')[:size])


def _new(bounds=BOUNDS):
    return call_table.CallTable(OWN, bounds)


def _run(table, call_id, now=0, size=5):
    assert table.admit(call_id, OWN, now) is ADMIT.ADMITTED
    table.dispatch(call_id)
    table.finish(call_id, _answer(call_id, size), now)


CALL = _call(1)


class TestAdmit:
    """Guards against calls that run twice or run after a "not run"."""

    def test_second_arrival_is_a_duplicate(self):
        table = _new()
        table.admit(CALL, OWN, 0)
        assert table.admit(CALL, OWN, 0) is ADMIT.DUPLICATE

    def test_other_incarnation(self):
        assert _new().admit(CALL, OWN - 1, 0) is ADMIT.WRONG_INCARNATION

    def test_late_arrival_after_fence(self):
        table = _new()
        assert table.resolve(CALL, OWN, 0).kind is KIND.FENCED
        assert table.admit(CALL, OWN, 49) is ADMIT.FENCED
        table.expire(50)
        assert table.admit(CALL, OWN, 50) is ADMIT.STALE

    def test_refused_call_is_fenced(self):
        table = _new()
        table.admit(CALL, OWN, 0)
        table.refuse(CALL, 0)
        assert table.resolve(CALL, OWN, 0).kind is KIND.FENCED
        assert table.admit(CALL, OWN, 0) is ADMIT.FENCED

    def test_table_full_of_running_calls(self):
        table = _new()
        for seq in range(BOUNDS.entries):
            assert table.admit(_call(seq), OWN, 0) is ADMIT.ADMITTED
        assert table.admit(_call(100), OWN, 0) is ADMIT.FULL
        assert table.resolve(_call(100), OWN, 0).kind is KIND.UNKNOWN
        assert table.running == BOUNDS.entries

    def test_full_table_forgets_ended_calls_first(self):
        table = _new()
        for seq in range(100):
            _run(table, _call(seq))
        assert len(table) == BOUNDS.entries
        assert table.admit(_call(95), OWN, 0) is ADMIT.STALE

    @pytest.mark.parametrize('step', ['dispatch', 'finish', 'fail', 'refuse'])
    def test_steps_out_of_order_raise(self, step):
        table = _new()
        _run(table, CALL)
        arguments = {'dispatch': (), 'finish': (None, 0)}.get(step, (0,))
        with pytest.raises(ValueError, match='not running'):
            getattr(table, step)(CALL, *arguments)


class TestResolve:
    """Guards against a false "not run" and an answer that belongs to another call."""

    def test_running_then_finished(self):
        table = _new()
        table.admit(CALL, OWN, 0)
        assert table.resolve(CALL, OWN, 0).kind is KIND.RUNNING
        table.dispatch(CALL)
        assert table.resolve(CALL, OWN, 0).kind is KIND.RUNNING
        table.finish(CALL, _answer(CALL), 0)
        assert table.resolve(CALL, OWN, 0).answer == _answer(CALL)

    def test_failed_is_unknown(self):
        table = _new()
        table.admit(CALL, OWN, 0)
        table.fail(CALL, 0)
        assert table.resolve(CALL, OWN, 0).kind is KIND.UNKNOWN

    def test_other_incarnation_is_unknown(self):
        table = _new()
        assert table.resolve(CALL, OWN - 1, 0).kind is KIND.UNKNOWN
        assert not len(table)

    def test_forgotten_is_unknown(self):
        table = _new()
        _run(table, _call(5))
        table.expire(50)
        assert table.resolve(_call(5), OWN, 50).kind is KIND.UNKNOWN
        assert table.resolve(_call(4), OWN, 50).kind is KIND.UNKNOWN
        assert table.resolve(_call(6), OWN, 50).kind is KIND.FENCED

    def test_older_incarnation_of_the_entry_host_is_forgotten_too(self):
        table = _new()
        _run(table, _call(5, incarnation=1))
        _run(table, _call(1, incarnation=2))
        table.expire(50)
        assert table.resolve(_call(5, incarnation=1), OWN, 50).kind is KIND.UNKNOWN

    def test_dropped_mark_leaves_a_floor(self):
        table = _new()
        for number in range(1, 4):
            _run(table, _call(1, host=f'e{number}', incarnation=number))
        table.expire(50)
        for number in range(1, 4):
            call_id = _call(1, host=f'e{number}', incarnation=number)
            assert table.resolve(call_id, OWN, 50).kind is KIND.UNKNOWN

    def test_new_mark_starts_at_the_floor(self):
        table = _new()
        table.admit(_call(1, host='e', incarnation=1), OWN, 0)
        for host in 'efg':
            _run(table, _call(2, host=host, incarnation=2))
        table.expire(50)  # the mark of e is dropped
        table.fail(_call(1, host='e', incarnation=1), 50)
        table.expire(100)  # e has a mark again, of its older incarnation
        assert table.resolve(_call(2, host='e', incarnation=2), OWN, 100).kind is KIND.UNKNOWN

    def test_oldest_answers_go_first(self):
        table = _new()
        for seq in range(3):
            _run(table, _call(seq), size=10)
        assert table.resolve(_call(0), OWN, 0) == call_table.Resolution(KIND.FINISHED)
        assert table.resolve(_call(2), OWN, 0).answer == _answer(_call(2), 10)
        assert table.answer_bytes == 20

    def test_large_answer_is_not_kept(self):
        table = _new()
        _run(table, CALL, size=13)
        assert table.resolve(CALL, OWN, 0) == call_table.Resolution(KIND.FINISHED)


class TestAttach:
    """Guards against callers that wait for ever on a call that ended."""

    def test_waiter_is_told_once(self):
        table, told = _new(), []
        table.admit(CALL, OWN, 0)
        assert table.attach(CALL, told.append)
        table.finish(CALL, _answer(CALL), 0)
        assert told == [call_table.Resolution(KIND.FINISHED, _answer(CALL))]
        assert not table.attach(CALL, told.append)

    def test_detached_waiter_is_not_told(self):
        table, told = _new(), []
        table.admit(CALL, OWN, 0)
        table.attach(CALL, told.append)
        table.detach(CALL, told.append)
        table.fail(CALL, 0)
        assert not told

    def test_waiters_are_bounded(self):
        table = _new()
        table.admit(CALL, OWN, 0)
        attached = [table.attach(CALL, [].append) for _ in range(4)]
        assert attached == [True, True, False, False]


class CallTableMachine(machine.RuleBasedStateMachine):
    """Random operations against the true history of each call."""

    calls = strategies.builds(
        _call, strategies.integers(1, 2), strategies.sampled_from('efg'), strategies.integers(1, 2)
    )
    picks = strategies.integers(0, 10)
    incarnations = strategies.sampled_from([OWN, OWN, OWN, ids.Incarnation(99)])

    def __init__(self):
        super().__init__()
        self.table = _new()
        self.now = 0
        self.state_by_call = {}
        self.runs_by_call = {}
        self.fenced = set()
        self.told_by_call = {}

    @machine.rule(call_id=calls, incarnation=incarnations)
    def admit(self, call_id, incarnation):
        result = self.table.admit(call_id, incarnation, self.now)
        if result is ADMIT.ADMITTED:
            assert incarnation == OWN
            assert call_id not in self.fenced
            assert call_id not in self.state_by_call
            self.state_by_call[call_id] = 'admitted'
            self.told_by_call[call_id] = []
        elif result is ADMIT.FULL:
            assert self._running_count() == BOUNDS.entries
        elif result is ADMIT.STALE:
            assert any(self._may_cover(each, call_id) for each in self._ended())

    @machine.rule(pick=picks)
    def dispatch(self, pick):
        call_id = self._pick('admitted', pick)
        if call_id:
            self.table.dispatch(call_id)
            self.state_by_call[call_id] = 'dispatched'
            self.runs_by_call[call_id] = self.runs_by_call.get(call_id, 0) + 1
            with pytest.raises(ValueError, match='already dispatched'):
                self.table.dispatch(call_id)

    @machine.rule(pick=picks, size=strategies.integers(0, 15))
    def finish(self, pick, size):
        call_id = self._pick('dispatched', pick)
        if call_id:
            self.table.finish(call_id, _answer(call_id, size), self.now)
            self.state_by_call[call_id] = 'finished'

    @machine.rule(pick=picks)
    def fail(self, pick):
        call_id = self._pick('dispatched', pick)
        if call_id:
            self.table.fail(call_id, self.now)
            self.state_by_call[call_id] = 'failed'

    @machine.rule(pick=picks)
    def refuse(self, pick):
        call_id = self._pick('admitted', pick)
        if call_id:
            self.table.refuse(call_id, self.now)
            self.state_by_call[call_id] = 'refused'
            self.fenced.add(call_id)

    @machine.rule(call_id=calls, incarnation=incarnations)
    def resolve(self, call_id, incarnation):
        resolution = self.table.resolve(call_id, incarnation, self.now)
        state = self.state_by_call.get(call_id)
        if resolution.kind is KIND.FENCED:
            assert call_id not in self.runs_by_call
            assert state in {None, 'refused'}
            self.fenced.add(call_id)
        elif resolution.kind is KIND.RUNNING:
            assert state in {'admitted', 'dispatched'}
        elif resolution.kind is KIND.FINISHED:
            assert state == 'finished'
            self._check_answer(call_id, resolution)
        elif incarnation == OWN:
            assert state not in {'admitted', 'dispatched'}

    @machine.rule(call_id=calls)
    def attach(self, call_id):
        told = self.told_by_call.get(call_id, [])
        if self.table.attach(call_id, told.append):
            assert self.state_by_call[call_id] in {'admitted', 'dispatched'}
            told.append(None)

    @machine.rule(duration=strategies.integers(1, 60))
    def pass_time(self, duration):
        self.now += duration
        self.table.expire(self.now)

    @machine.invariant()
    def runs_at_most_once(self):
        assert all(count == 1 for count in self.runs_by_call.values())
        assert not self.fenced & self.runs_by_call.keys()

    @machine.invariant()
    def running_calls_are_never_forgotten(self):
        assert self.table.running == self._running_count()
        assert self._running_count() <= len(self.table) <= BOUNDS.entries
        assert 0 <= self.table.answer_bytes <= BOUNDS.answer_bytes

    @machine.invariant()
    def each_waiter_is_told_once(self):
        for call_id, told in self.told_by_call.items():
            attached = told.count(None)
            is_running = self.state_by_call[call_id] in {'admitted', 'dispatched'}
            assert len(told) - attached == (0 if is_running else attached)

    def _pick(self, state, pick):
        calls = [each for each, held in self.state_by_call.items() if held == state]
        return calls[pick % len(calls)] if calls else None

    def _running_count(self):
        running = ('admitted', 'dispatched')
        return sum(state in running for state in self.state_by_call.values())

    def _ended(self):
        return self.fenced | self.state_by_call.keys()

    def _may_cover(self, ended, call_id):
        if ended.host_id == call_id.host_id:
            return ended >= call_id
        return ended.incarnation >= call_id.incarnation  # by the floor of dropped marks

    def _check_answer(self, call_id, resolution):
        if resolution.answer is not None:
            body = resolution.answer.body
            assert body == _answer(call_id, len(body)).body


CallTableMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=60, deadline=None
)
TestCallTableMachine = CallTableMachine.TestCase
