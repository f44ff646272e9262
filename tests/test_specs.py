"""Checks the invariants of the specifications, and the code against the specifications."""

from __future__ import annotations

import functools

import minicheck
import pytest

from anvillug import ids
from anvillug.request import call_table, claim
from specs import call_outcome, config_fold, duty_holder

OUTCOME = call_outcome.Mutation
CONFIG = config_fold.Mutation
DUTY = duty_holder.Mutation
KIND = call_table.ResolutionKind
KEY = ids.IdempotencyKey('k')
INCARNATION = ids.Incarnation(1)

_KIND_BY_REPORTED_OUTCOME = {
    'not-run': KIND.FENCED,
    'unknown': KIND.UNKNOWN,
    'answer': KIND.FINISHED,
    '': KIND.RUNNING,
}
_REJECTED = frozenset(
    (
        call_table.AdmitResult.WRONG_INCARNATION,
        call_table.AdmitResult.FENCED,
        call_table.AdmitResult.STALE,
    )
)


class TestSpecifications:
    """Guards against a protocol that violates an invariant in some order of events."""

    @pytest.mark.parametrize('spec', [call_outcome, config_fold, duty_holder])
    def test_invariants_hold_in_every_reachable_state(self, spec):
        report = minicheck.check_safety(spec.protocol(), max_states=spec.MAX_STATES)
        print(spec.__name__, 'states:', report['reachable_states'])  # shown by pytest -s
        assert report['exhaustive'], report['incomplete_reason']
        assert len(report['properties']) == len(spec.INVARIANTS)
        for name, outcome in report['properties'].items():
            assert outcome['holds'] is True, (name, outcome['counterexample'])

    @pytest.mark.parametrize(
        ('spec', 'mutation', 'invariant'),
        [
            (call_outcome, OUTCOME.CLAIM_IGNORED, 'at_most_once'),
            (call_outcome, OUTCOME.NO_FENCE, 'not_run_is_true'),
            (call_outcome, OUTCOME.NO_FORGOTTEN_MARK, 'not_run_is_true'),
            (call_outcome, OUTCOME.UNMATCHED_ANSWERS, 'answer_belongs'),
            (config_fold, CONFIG.ANY_SNAPSHOT, 'never_reverts'),
            (config_fold, CONFIG.SNAPSHOT_OFFSET, 'readers_agree'),
            (duty_holder, DUTY.UNCONDITIONAL_APPEND, 'one_report'),
            (duty_holder, DUTY.SENT_BEFORE_FIXED, 'one_report'),
            (duty_holder, DUTY.FIXED_AGAIN, 'one_report'),
            (duty_holder, DUTY.KEPT_TOKEN, 'tokens_differ'),
            (duty_holder, DUTY.KEPT_TOKEN, 'tokens_increase'),
            (duty_holder, DUTY.RELEASED_WHILE_REPORTING, 'release_is_last'),
            (duty_holder, DUTY.REPORTED_AFTER_RELEASE, 'release_is_last'),
            (duty_holder, DUTY.FORGOTTEN_AT_RELEASE, 'one_report'),
        ],
    )
    def test_injected_fault_produces_a_counterexample(self, spec, mutation, invariant):
        report = minicheck.check_safety(spec.protocol(mutation), max_states=spec.MAX_STATES)
        outcome = report['properties'][invariant]
        labels = [step['label'] for step in outcome['counterexample'] or ()]
        print(mutation.value, 'breaks', invariant, 'by', labels)
        assert outcome['holds'] is False


class Driver:
    """Executes the steps of the call outcome specification with the code."""

    def __init__(self):
        self.now = 0
        self.tables = [call_table.CallTable(INCARNATION) for _ in call_outcome.CALLS]
        self.fold = claim.ClaimFold(1000)
        self.call_ids = [ids.CallId(ids.HostId('e'), INCARNATION, 1 + number) for number in (0, 1)]

    def take(self, label, after):
        """Execute one step and compare its result with the next state of the specification."""
        name, _, tail = label.rpartition('-')
        method = getattr(self, f'take_{name}', None)
        if method:
            method(int(tail), after)

    def compare(self, state):
        """Compare the state of the code with a state of the specification."""
        for number, spec_call in enumerate(state.calls):
            entry_state = self.tables[number].state_of(self.call_ids[number])
            expected = spec_call.table
            if expected in {'absent', 'forgotten'}:
                assert entry_state is None
            else:
                assert entry_state is call_table.CallState(expected)
        holder = call_outcome.holder(state.log)
        self.fold.reached_end(len(state.log))
        for number in call_outcome.CALLS:
            is_holder = self.fold.verdict(self._claim(number), 0).kind is claim.VerdictKind.WON
            assert is_holder == (holder == number)

    def take_arrive(self, number, after):
        result = self.tables[number].admit(self.call_ids[number], INCARNATION, self.now)
        if after.calls[number].table == 'admitted':
            assert result is call_table.AdmitResult.ADMITTED
        else:
            assert result in _REJECTED

    def take_resolve(self, number, after):
        resolution = self.tables[number].resolve(self.call_ids[number], INCARNATION, self.now)
        assert resolution.kind is _KIND_BY_REPORTED_OUTCOME[after.calls[number].reported]
        if resolution.kind is KIND.FINISHED:
            assert resolution.response == self._stored_response(number)

    def take_dispatch(self, number, after):
        self.tables[number].dispatch(self.call_ids[number])

    def take_finish(self, number, after):
        self.tables[number].finish(self.call_ids[number], self._stored_response(number), self.now)

    def take_fail(self, number, after):
        self.tables[number].fail(self.call_ids[number], self.now)

    def take_refuse(self, number, after):
        self.tables[number].reject(self.call_ids[number], self.now)

    def take_forget(self, number, after):
        self.now += call_table.Bounds().retention_ms
        self.tables[number].expire(self.now)

    def take_restart(self, number, after):
        self.tables[number] = call_table.CallTable(ids.Incarnation(INCARNATION + 1))

    def take_claim(self, number, after):
        entry = claim.claim_entry(self._claim(number))
        self.fold.apply(len(after.log) - 1, 0, [entry])

    def take_release(self, number, after):
        entry = claim.release_entry(KEY, self.call_ids[number])
        self.fold.apply(len(after.log) - 1, 0, [entry])

    def _claim(self, number):
        return claim.Claim(KEY, self.call_ids[number], ids.HostId(f'h{number}'), INCARNATION)

    def _stored_response(self, number):
        return call_table.StoredResponse(200, (), str(number).encode())


@functools.cache
def _path_by_state():
    """Return a shortest path of (label, state) to every reachable state."""
    initial = call_outcome.State()
    paths = {initial: ()}
    queue = [initial]
    for state in queue:
        for label, after in call_outcome.steps(state):
            if after not in paths:
                paths[after] = (*paths[state], (label, after))
                queue.append(after)
    return paths


class TestCodeAgainstSpecification:
    """Guards against code that behaves differently from the specified protocol."""

    def test_every_step_from_every_state(self):
        taken = set()
        for state, path in _path_by_state().items():
            for label, after in call_outcome.steps(state):
                driver = Driver()
                for step in (*path, (label, after)):
                    driver.take(*step)
                driver.compare(after)
                taken.add(label)
        print('steps taken:', sorted(taken))
        methods = {name for name in dir(Driver) if name.startswith('take_')}
        assert methods == {
            f'take_{label.rpartition("-")[0]}'
            for label in taken
            if not label.startswith(('send', 'reply', 'with'))
        }
