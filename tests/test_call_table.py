"""Tests of the call table: single cases, and random operations against a model."""

from __future__ import annotations

import pytest
from hypothesis import settings, strategies
from hypothesis import stateful as machine

from anvillug import ids
from anvillug.request import call_table

INCARNATION = ids.Incarnation(100)
BOUNDS = call_table.Bounds(
    entries=4, response_bytes=20, one_answer_bytes=12, retention_ms=50, marks=2, waiters=2
)
KIND = call_table.ResolutionKind
ADMIT = call_table.AdmitResult


def _call_id(sequence, host='e', incarnation=1):
    return ids.CallId(ids.HostId(host), ids.Incarnation(incarnation), sequence)


def _make_response(call_id, size=5):
    return call_table.StoredResponse(200, (), str(call_id).encode().ljust(size, b'.')[:size])


def _make_table(bounds=BOUNDS):
    return call_table.CallTable(INCARNATION, bounds)


def _run_call(table, call_id, now=0, size=5):
    assert table.admit(call_id, INCARNATION, now) is ADMIT.ADMITTED
    table.dispatch(call_id)
    table.finish(call_id, _make_response(call_id, size), now)


CALL_ID = _call_id(1)


class TestAdmit:
    """Guards against calls that run twice, or after they were reported as not run."""

    def test_second_arrival_is_a_duplicate(self):
        table = _make_table()
        table.admit(CALL_ID, INCARNATION, 0)
        assert table.admit(CALL_ID, INCARNATION, 0) is ADMIT.DUPLICATE

    def test_call_for_another_incarnation_is_rejected(self):
        assert _make_table().admit(CALL_ID, INCARNATION - 1, 0) is ADMIT.WRONG_INCARNATION

    def test_fenced_call_is_rejected_on_arrival(self):
        table = _make_table()
        assert table.resolve(CALL_ID, INCARNATION, 0).kind is KIND.FENCED
        assert table.admit(CALL_ID, INCARNATION, 49) is ADMIT.FENCED
        table.expire(50)
        assert table.admit(CALL_ID, INCARNATION, 50) is ADMIT.STALE

    def test_floor_covers_the_incarnation_of_a_removed_mark(self):
        table = _make_table()
        for call_id in (_call_id(1, 'f', 2), _call_id(1, 'e'), _call_id(1, 'g')):
            table.resolve(call_id, INCARNATION, 0)
        table.expire(50)
        assert table.admit(_call_id(2, 'f', 2), INCARNATION, 50) is ADMIT.STALE
        assert table.admit(_call_id(1, 'f', 3), INCARNATION, 50) is ADMIT.ADMITTED

    def test_rejected_call_is_fenced(self):
        table = _make_table()
        table.admit(CALL_ID, INCARNATION, 0)
        table.reject(CALL_ID, 0)
        assert table.resolve(CALL_ID, INCARNATION, 0).kind is KIND.FENCED
        assert table.admit(CALL_ID, INCARNATION, 0) is ADMIT.FENCED

    def test_table_full_of_running_calls_rejects_calls(self):
        table = _make_table()
        for seq in range(BOUNDS.entries):
            assert table.admit(_call_id(seq), INCARNATION, 0) is ADMIT.ADMITTED
        assert table.admit(_call_id(100), INCARNATION, 0) is ADMIT.FULL
        assert table.resolve(_call_id(100), INCARNATION, 0).kind is KIND.UNKNOWN
        assert table.running == BOUNDS.entries

    def test_full_table_removes_ended_calls(self):
        table = _make_table()
        for seq in range(100):
            _run_call(table, _call_id(seq))
        assert len(table) == BOUNDS.entries
        assert table.admit(_call_id(95), INCARNATION, 0) is ADMIT.STALE

    @pytest.mark.parametrize('step', ['dispatch', 'finish', 'fail', 'reject'])
    def test_steps_out_of_order_raise(self, step):
        table = _make_table()
        _run_call(table, CALL_ID)
        arguments = {'dispatch': (), 'finish': (None, 0)}.get(step, (0,))
        with pytest.raises(ValueError, match='not running'):
            getattr(table, step)(CALL_ID, *arguments)


class TestResolve:
    """Guards against a false "not run" and a response that belongs to another call."""

    def test_call_is_reported_as_running_until_it_finishes(self):
        table = _make_table()
        table.admit(CALL_ID, INCARNATION, 0)
        assert table.resolve(CALL_ID, INCARNATION, 0).kind is KIND.RUNNING
        table.dispatch(CALL_ID)
        assert table.resolve(CALL_ID, INCARNATION, 0).kind is KIND.RUNNING
        table.finish(CALL_ID, _make_response(CALL_ID), 0)
        assert table.resolve(CALL_ID, INCARNATION, 0).response == _make_response(CALL_ID)

    def test_failed_call_is_unknown(self):
        table = _make_table()
        table.admit(CALL_ID, INCARNATION, 0)
        table.fail(CALL_ID, 0)
        assert table.resolve(CALL_ID, INCARNATION, 0).kind is KIND.UNKNOWN

    def test_other_incarnation_is_unknown(self):
        table = _make_table()
        assert table.resolve(CALL_ID, INCARNATION - 1, 0).kind is KIND.UNKNOWN
        assert not len(table)

    def test_removed_call_is_unknown(self):
        table = _make_table()
        _run_call(table, _call_id(5))
        table.expire(50)
        assert table.resolve(_call_id(5), INCARNATION, 50).kind is KIND.UNKNOWN
        assert table.resolve(_call_id(4), INCARNATION, 50).kind is KIND.UNKNOWN
        assert table.resolve(_call_id(6), INCARNATION, 50).kind is KIND.FENCED

    def test_mark_covers_older_incarnations_of_the_entry_host(self):
        table = _make_table()
        _run_call(table, _call_id(5, incarnation=1))
        _run_call(table, _call_id(1, incarnation=2))
        table.expire(50)
        assert table.resolve(_call_id(5, incarnation=1), INCARNATION, 50).kind is KIND.UNKNOWN

    def test_floor_covers_removed_marks(self):
        table = _make_table()
        for number in range(1, 4):
            _run_call(table, _call_id(1, host=f'e{number}', incarnation=number))
        table.expire(50)
        for number in range(1, 4):
            call_id = _call_id(1, host=f'e{number}', incarnation=number)
            assert table.resolve(call_id, INCARNATION, 50).kind is KIND.UNKNOWN

    def test_new_mark_starts_at_the_floor(self):
        table = _make_table()
        table.admit(_call_id(1, host='e', incarnation=1), INCARNATION, 0)
        for host in 'efg':
            _run_call(table, _call_id(2, host=host, incarnation=2))
        table.expire(50)  # removes the mark of e
        table.fail(_call_id(1, host='e', incarnation=1), 50)
        table.expire(100)  # e gets a new mark, of its older incarnation
        assert (
            table.resolve(_call_id(2, host='e', incarnation=2), INCARNATION, 100).kind
            is KIND.UNKNOWN
        )

    def test_oldest_responses_are_evicted_first(self):
        table = _make_table()
        for seq in range(3):
            _run_call(table, _call_id(seq), size=10)
        assert table.resolve(_call_id(0), INCARNATION, 0) == call_table.Resolution(KIND.FINISHED)
        assert table.resolve(_call_id(2), INCARNATION, 0).response == _make_response(
            _call_id(2), 10
        )
        assert table.response_bytes == 20

    def test_large_response_is_not_retained(self):
        table = _make_table()
        _run_call(table, CALL_ID, size=13)
        assert table.resolve(CALL_ID, INCARNATION, 0) == call_table.Resolution(KIND.FINISHED)


class TestAttach:
    """Guards against entry sides that wait forever for a call that has ended."""

    def test_waiter_is_called_once(self):
        table, resolutions = _make_table(), []
        table.admit(CALL_ID, INCARNATION, 0)
        assert table.attach(CALL_ID, resolutions.append)
        table.finish(CALL_ID, _make_response(CALL_ID), 0)
        assert resolutions == [call_table.Resolution(KIND.FINISHED, _make_response(CALL_ID))]
        assert not table.attach(CALL_ID, resolutions.append)

    def test_detached_waiter_is_not_called(self):
        table, resolutions = _make_table(), []
        table.admit(CALL_ID, INCARNATION, 0)
        table.attach(CALL_ID, resolutions.append)
        table.detach(CALL_ID, resolutions.append)
        table.fail(CALL_ID, 0)
        assert not resolutions

    def test_waiters_are_bounded(self):
        table = _make_table()
        table.admit(CALL_ID, INCARNATION, 0)
        attached = [table.attach(CALL_ID, [].append) for _ in range(4)]
        assert attached == [True, True, False, False]


class CallTableMachine(machine.RuleBasedStateMachine):
    """Guards against outcomes that contradict the history of a call, in random operations."""

    calls = strategies.builds(
        _call_id,
        strategies.integers(1, 2),
        strategies.sampled_from('efg'),
        strategies.integers(1, 2),
    )
    picks = strategies.integers(0, 10)
    incarnations = strategies.sampled_from(
        [INCARNATION, INCARNATION, INCARNATION, ids.Incarnation(99)]
    )

    def __init__(self):
        super().__init__()
        self.table = _make_table()
        self.now = 0
        self.state_by_call = {}
        self.runs_by_call = {}
        self.fenced = set()
        self.resolutions_by_call = {}

    @machine.rule(call_id=calls, incarnation=incarnations)
    def admit(self, call_id, incarnation):
        result = self.table.admit(call_id, incarnation, self.now)
        if result is ADMIT.ADMITTED:
            assert incarnation == INCARNATION
            assert call_id not in self.fenced
            assert call_id not in self.state_by_call
            self.state_by_call[call_id] = 'admitted'
            self.resolutions_by_call[call_id] = []
        elif result is ADMIT.FULL:
            assert self._running_count() == BOUNDS.entries
        elif result is ADMIT.STALE:
            assert any(self._may_cover(key, call_id) for key in self._ended())

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
            self.table.finish(call_id, _make_response(call_id, size), self.now)
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
            self.table.reject(call_id, self.now)
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
            self._check_response(call_id, resolution)
        elif incarnation == INCARNATION:
            assert state not in {'admitted', 'dispatched'}

    @machine.rule(call_id=calls)
    def attach(self, call_id):
        resolutions = self.resolutions_by_call.get(call_id, [])
        if self.table.attach(call_id, resolutions.append):
            assert self.state_by_call[call_id] in {'admitted', 'dispatched'}
            resolutions.append(None)

    @machine.rule(duration=strategies.integers(1, 60))
    def pass_time(self, duration):
        self.now += duration
        self.table.expire(self.now)

    @machine.invariant()
    def runs_at_most_once(self):
        assert all(count == 1 for count in self.runs_by_call.values())
        assert not self.fenced & self.runs_by_call.keys()

    @machine.invariant()
    def running_calls_are_never_removed(self):
        assert self.table.running == self._running_count()
        assert self._running_count() <= len(self.table) <= BOUNDS.entries
        assert 0 <= self.table.response_bytes <= BOUNDS.response_bytes

    @machine.invariant()
    def each_waiter_is_called_once(self):
        for call_id, resolutions in self.resolutions_by_call.items():
            attached = resolutions.count(None)
            is_running = self.state_by_call[call_id] in {'admitted', 'dispatched'}
            assert len(resolutions) - attached == (0 if is_running else attached)

    def _pick(self, state, pick):
        calls = [key for key, current in self.state_by_call.items() if current == state]
        return calls[pick % len(calls)] if calls else None

    def _running_count(self):
        running = ('admitted', 'dispatched')
        return sum(state in running for state in self.state_by_call.values())

    def _ended(self):
        return self.fenced | self.state_by_call.keys()

    def _may_cover(self, ended, call_id):
        if ended.host_id == call_id.host_id and ended >= call_id:
            return True
        # The floor of removed marks covers whole incarnations, also of the host whose mark it was.
        has_floor = len({key.host_id for key in self._ended()}) > BOUNDS.marks
        return has_floor and ended.incarnation >= call_id.incarnation

    def _check_response(self, call_id, resolution):
        if resolution.response is not None:
            body = resolution.response.body
            assert body == _make_response(call_id, len(body)).body


CallTableMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=60, deadline=None
)
TestCallTableMachine = CallTableMachine.TestCase
