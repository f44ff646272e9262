"""Tests of the fold of the configuration stream."""

from __future__ import annotations

import json

from hypothesis import settings, stateful, strategies

from anvillug import clock, ids
from anvillug.connection import log_record
from anvillug.version import config_state, document, fold

_SERVICE = {'services': {'a': {'version': 'v1'}}}
_MOVE = {'services': {'a': {'move': {'to': 'v2', 'start_ms': 0, 'deadline_ms': 9}}}}


def _record(offset: int, data) -> log_record.LogRecord:
    return log_record.LogRecord(ids.LogOffset(offset), clock.Milliseconds(offset * 10.0), data)


def _records(*data):
    return [_record(offset, entry) for offset, entry in enumerate(data)]


def _patch(patch_id: str, base: int, patch):
    return fold.patch_record(patch_id, base, patch, 'tests')


def _fold(*data) -> fold.ConfigState:
    state = fold.empty()
    for record in _records(*data):
        state = fold.apply(state, record)
    return state


class TestPatches:
    """Guards against patches that apply twice, in the wrong order or without effect."""

    def test_first_of_two_racing_patches_wins(self):
        state = _fold(_patch('x', 0, _SERVICE), _patch('y', 0, {'zones': {}}))
        assert state.number == 1
        rejected = state.results_by_patch_id['y']
        assert rejected == config_state.PatchResult(
            accepted=False,
            number=ids.ConfigNumber(1),
            reason='base 0 is not the current number 1',
        )

    def test_base_above_the_current_number_is_rejected(self):
        rejected = _fold(_patch('x', 1, _SERVICE)).results_by_patch_id['x']
        assert rejected.reason == 'base 1 is not the current number 0'

    def test_same_id_is_applied_once(self):
        state = _fold(_patch('x', 0, _SERVICE), _patch('x', 1, {'zones': {'z': {}}}))
        assert state.number == 1
        assert not state.document.zones
        assert state.results_by_patch_id['x'].accepted

    def test_invalid_patch_gives_findings(self):
        state = _fold(_patch('x', 0, {'services': {'a': {'version': 5}}}))
        assert 'document: services.a.version' in state.results_by_patch_id['x'].reason
        assert state.number == 0

    def test_number_of_results_is_bounded(self):
        state = _fold(*(_patch(str(n), 9, {}) for n in range(fold.MAX_PATCH_RESULTS + 5)))
        assert len(state.results_by_patch_id) == fold.MAX_PATCH_RESULTS
        assert '4' not in state.results_by_patch_id

    def test_deep_patch_is_rejected_without_recursion(self):
        patch = {}
        for _ in range(100_000):
            patch = {'a': patch}
        assert 'nests deeper' in _fold(_patch('x', 0, patch)).results_by_patch_id['x'].reason

    def test_malformed_records_only_advance_the_offset(self):
        malformed = (None, 5, [], {}, {'kind': 'patch'}, {'kind': 'patch', 'id': 3}, {'kind': []})
        malformed += ({'kind': 'verdict', 'service': []}, {'kind': 'move_result', 'result': {}})
        malformed += ({'kind': 'snapshot', 'covers': 99, 'state': {'number': 9}},)
        state = _fold(*malformed)
        assert state == config_state.dataclasses.replace(
            fold.empty(),
            next_offset=ids.LogOffset(len(malformed)),
        )


class TestMoves:
    """Guards against verdicts on another rollout, and rollout states that go backward."""

    def _move_after(self, *data) -> config_state.MoveStatus:
        return _fold(_patch('x', 0, _SERVICE), _patch('y', 1, _MOVE), *data).moves_by_service['a']

    def test_verdict_rolls_back_permanently(self):
        move = self._move_after()
        verdict = fold.verdict_record('a', move, 'slow')
        done = fold.move_result_record('a', move, config_state.MoveState.DONE, 'deadline')
        for records in ((verdict, done), (done, verdict)):
            ended = self._move_after(*records)
            assert ended.state is config_state.MoveState.TAKEN_BACK
            assert ended.evidence == 'slow'

    def test_first_result_is_final(self):
        # At the deadline, each node decides on its own evidence. A later decision of another
        # node must not replace the result that operators have read.
        move = self._move_after()
        done = fold.move_result_record('a', move, config_state.MoveState.DONE, 'in time')
        rolled_back = fold.move_result_record(
            'a', move, config_state.MoveState.TAKEN_BACK, 'few calls'
        )
        assert self._move_after(done, rolled_back).state is config_state.MoveState.DONE
        assert self._move_after(rolled_back, done).state is config_state.MoveState.TAKEN_BACK

    def test_verdict_on_another_rollout_is_ignored(self):
        move = self._move_after()
        for change in ({'move': 1}, {'version': 'v3'}, {'service': 'b'}):
            assert self._move_after({**fold.verdict_record('a', move, ''), **change}) == move

    def test_other_patches_do_not_change_a_rollout(self):
        move = self._move_after()
        verdict = fold.verdict_record('a', move, 'slow')
        unchanged = self._move_after(verdict, _patch('z', 2, {'zones': {'k': {}}}))
        assert unchanged.state is config_state.MoveState.TAKEN_BACK
        other = {'services': {'a': {'move': {'deadline_ms': 10}}}}
        replanned = self._move_after(verdict, _patch('z', 2, other), verdict)
        assert (replanned.number, replanned.state) == (3, config_state.MoveState.PLANNED)


class TestZones:
    """Guards against a zone whose ramp starts at different times on different nodes."""

    def test_change_has_the_time_of_its_record(self):
        state = _fold(
            _patch('x', 0, {'zones': {'k': {'state': 'out'}, 'n': {'state': 'in'}}}),
            _patch('y', 1, {'zones': {'k': {'ramp_ms': 5}}}),
            _patch('z', 2, {'zones': {'k': None}}),
        )
        change = config_state.ZoneChange(document.ZoneState.IN, clock.Milliseconds(20))
        assert state.zone_changes_by_name == {'k': change}


class TestGaps:
    """Guards against a reader that continues although records are missing."""

    def test_gap_is_reported(self):
        records = _records(_patch('x', 0, _SERVICE), _patch('y', 1, _MOVE))
        gap = fold.from_records(ids.LogOffset(1), records[1:]).error
        assert str(gap) == 'configuration records 0 to 0 are missing'

    def test_snapshot_before_a_gap_is_not_used(self):
        state = _fold(_patch('x', 0, _SERVICE))
        records = [_record(3, fold.snapshot_record(state))]
        assert fold.from_records(ids.LogOffset(3), records).is_error()
        assert fold.from_records(ids.LogOffset(1), [_record(1, records[0].data)]).ok.number == 1

    def test_empty_log_with_dropped_records_is_a_gap(self):
        assert fold.from_records(ids.LogOffset(4), []).is_error()


class FoldMachine(stateful.RuleBasedStateMachine):
    """Checks that readers agree whenever they start and read, and rollouts only go forward."""

    def __init__(self):
        super().__init__()
        self.records: list[log_record.LogRecord] = []
        self.states = [fold.empty()]
        self.first = 0
        self.slow_reader_state = fold.empty()
        self.accepted_ids: list[str] = []

    def _write(self, data) -> None:
        record = _record(len(self.records), json.loads(json.dumps(data)))
        self.records.append(record)
        self.states.append(fold.apply(self.states[-1], record))

    @stateful.rule(
        patch_id=strategies.sampled_from('abcdefgh'),
        lag=strategies.sampled_from([0, 0, 0, 1, -1]),
        version=strategies.sampled_from(['v1', 'v2', 3]),
        move=strategies.sampled_from([None, {'to': 'v2', 'start_ms': 0, 'deadline_ms': 5}]),
        zone=strategies.sampled_from(['in', 'out']),
    )
    def patch(self, patch_id, lag, version, move, zone):
        before = self.states[-1]
        service = {'version': version, 'move': move}
        patch = {'services': {'a': service}, 'zones': {'z': {'state': zone}}}
        self._write(_patch(patch_id, before.number - lag, patch))
        if self.states[-1].number > before.number:
            self.accepted_ids.append(patch_id)

    @stateful.rule(
        move=strategies.integers(0, 6),
        kind=strategies.sampled_from(['verdict', 'done', 'taken-back']),
    )
    def end_move(self, move, kind):
        if kind == 'verdict':
            self._write({'kind': kind, 'service': 'a', 'version': 'v2', 'move': move})
        else:
            self._write({'kind': 'move_result', 'service': 'a', 'move': move, 'result': kind})

    @stateful.rule(lateness=strategies.integers(0, 4))
    def snapshot(self, lateness):
        late = max(0, len(self.states) - 1 - lateness)
        self._write(fold.snapshot_record(self.states[late]))

    @stateful.rule(count=strategies.integers(0, 3))
    def drop_records(self, count):
        self.first = min(self.first + count, len(self.records))

    @stateful.rule(count=strategies.integers(1, 5), repeat=strategies.integers(0, 2))
    def slow_reader_reads(self, count, repeat):
        start = max(self.slow_reader_state.next_offset - repeat, self.first)
        result = fold.advance(
            self.slow_reader_state, self.first, self.records[start : start + count]
        )
        if result.is_ok():
            assert result.ok.number >= self.slow_reader_state.number
            self.slow_reader_state = result.ok

    @stateful.invariant()
    def fresh_reader_agrees_or_reports_a_gap(self):
        result = fold.from_records(self.first, self.records[self.first :])
        if result.is_ok():
            assert result.ok == self.states[-1]
        else:
            assert self.first > 0

    @stateful.invariant()
    def slow_reader_agrees(self):
        assert self.slow_reader_state == self.states[self.slow_reader_state.next_offset]

    @stateful.invariant()
    def ids_are_applied_once(self):
        assert len(set(self.accepted_ids)) == len(self.accepted_ids) == self.states[-1].number

    @stateful.invariant()
    def serialization_round_trips(self):
        text = json.dumps(config_state.to_json(self.states[-1]))
        assert config_state.from_json(json.loads(text), 'state').ok == self.states[-1]

    @stateful.invariant()
    def moves_only_go_forward(self):
        order = list(config_state.MoveState)
        for before, after in zip(self.states, self.states[1:], strict=False):
            old, new = before.moves_by_service.get('a'), after.moves_by_service.get('a')
            if old and new and old.number == new.number:
                assert order.index(new.state) >= order.index(old.state)


TestFoldMachine = FoldMachine.TestCase
TestFoldMachine.settings = settings(max_examples=60, stateful_step_count=25, deadline=None)
