"""Specification of the outcome of a call, for exhaustive model checking.

A caller sends a non-idempotent request as call 0 and may resend it as call 1, each to a host of
its own. Messages may arrive late or never, hosts restart and expire entries, connections stop
delivering, and claims are decided by the order of a log. The lifetime of a key is not modelled: a
request that is resent after it needs a new claim.
"""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Iterator

import minicheck

from specs import checked

MAX_STATES = 2_000_000
CALLS = (0, 1)


class Mutation(enum.Enum):
    """A fault injected into the specification, which must produce a counterexample."""

    NONE = 'none'
    CLAIM_IGNORED = 'claim-ignored'
    NO_FENCE = 'no-fence'
    NO_FORGOTTEN_MARK = 'no-forgotten-mark'
    UNMATCHED_ANSWERS = 'unmatched-answers'


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """State of one call at its entry side, on the network and at its host side."""

    net: str = 'unsent'
    """`unsent`, `flying` or `arrived`."""
    table: str = 'absent'
    """State in the call table, or `absent` or `forgotten` (expired)."""
    restarted: bool = False
    """Whether the host side has a different incarnation from the one addressed."""
    reported: str = ''
    """Outcome that was reported to the caller; empty if there is none yet."""
    answer: int = -1
    """Number of the call whose response the caller received; -1 if there is none."""
    runs: int = 0
    """Number of dispatches."""
    replying: bool = False
    """Whether its response is in transit."""


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """State of both calls and the log."""

    keyed: bool | None = None
    """Whether the request carries an idempotency key."""
    calls: tuple[Call, Call] = (Call(), Call())
    """The first call and the resent one."""
    log: tuple[str, ...] = ()
    """Records in order: claims `c0`, `c1` and releases `r0`, `r1`."""


Step = tuple[str, State]


def holder(log: tuple[str, ...]) -> int:
    """Return the number of the call that holds the key after the records, or -1."""
    holding_call = -1
    for index, record in enumerate(log):
        number = int(record[1])
        # A repeated append of a claim after its release has no effect.
        if record[0] == 'c' and holding_call < 0 and f'r{number}' not in log[:index]:
            holding_call = number
        elif record[0] == 'r' and holding_call == number:
            holding_call = -1
    return holding_call


def steps(state: State, mutation: Mutation = Mutation.NONE) -> Iterator[Step]:
    """Yield every possible step in a state, as its label and the next state."""
    if state.keyed is None:
        yield 'with-key', dataclasses.replace(state, keyed=True)
        yield 'without-key', dataclasses.replace(state, keyed=False)
        return
    for number in CALLS:
        for label, changes in _call_steps(state, number, mutation):
            yield f'{label}-{number}', _with_call(state, number, changes)
        yield from _log_steps(state, number)


def _with_call(state: State, number: int, changes: dict) -> State:
    calls = list(state.calls)
    calls[number] = dataclasses.replace(calls[number], **changes)
    return dataclasses.replace(state, calls=tuple(calls))


def _call_steps(state: State, number: int, mutation: Mutation) -> Iterator[tuple[str, dict]]:
    call = state.calls[number]
    if call.net == 'unsent':
        # Without a key the caller resends only after "not run" was reported.
        if number == 0 or state.keyed or state.calls[0].reported == 'not-run':
            yield 'send', {'net': 'flying'}
        return
    if call.net == 'flying':
        yield 'arrive', {'net': 'arrived', **_arrival_changes(call)}
    if not call.reported:
        yield 'resolve', _resolution_changes(call, mutation)
    yield from _host_steps(state, number, mutation)
    yield from _reply_steps(state, number, mutation)


def _arrival_changes(call: Call) -> dict:
    if call.restarted or call.table in {'fenced', 'forgotten'}:
        return {'reported': call.reported or 'not-run'}
    return {'table': 'admitted'}


def _resolution_changes(call: Call, mutation: Mutation) -> dict:
    if call.restarted or call.table in {'failed', 'forgotten'}:
        return {'reported': 'unknown'}
    if call.table == 'absent':
        table = 'absent' if mutation is Mutation.NO_FENCE else 'fenced'
        return {'reported': 'not-run', 'table': table}
    if call.table == 'fenced':
        return {'reported': 'not-run'}
    if call.table == 'finished':
        # The response comes from the table, not from a message that could overtake another.
        return {'reported': 'answer', 'replying': True}
    return {}


def _host_steps(state: State, number: int, mutation: Mutation) -> Iterator[tuple[str, dict]]:
    call = state.calls[number]
    if call.restarted:
        return
    yield 'restart', {'restarted': True, 'table': 'absent'}
    if call.table == 'admitted':
        if not state.keyed or mutation is Mutation.CLAIM_IGNORED or holder(state.log) == number:
            yield 'dispatch', {'table': 'dispatched', 'runs': call.runs + 1}
        # The claim was lost or abandoned: the call is rejected before it runs.
        yield 'refuse', {'table': 'fenced', 'reported': call.reported or 'not-run'}
    elif call.table == 'dispatched':
        yield 'finish', {'table': 'finished', 'replying': True}
        yield 'fail', {'table': 'failed', 'reported': call.reported or 'unknown'}
    elif call.table in {'finished', 'failed', 'fenced'}:
        is_mark_missing = mutation is Mutation.NO_FORGOTTEN_MARK
        yield 'forget', {'table': 'absent' if is_mark_missing else 'forgotten'}


def _reply_steps(state: State, number: int, mutation: Mutation) -> Iterator[tuple[str, dict]]:
    call = state.calls[number]
    for source in CALLS:
        is_matching = source == number or mutation is Mutation.UNMATCHED_ANSWERS
        is_waiting = call.reported in {'', 'answer'} and call.answer < 0
        if state.calls[source].replying and is_matching and is_waiting:
            yield f'reply-of-{source}', {'reported': 'answer', 'answer': source}


def _log_steps(state: State, number: int) -> Iterator[Step]:
    call = state.calls[number]
    claim, release = f'c{number}', f'r{number}'
    # An append may take effect twice and late, after its host stopped waiting or restarted.
    if state.keyed and call.net == 'arrived' and state.log.count(claim) < 2:
        yield f'claim-{number}', dataclasses.replace(state, log=(*state.log, claim))
    if call.table == 'fenced' and claim in state.log and release not in state.log:
        yield f'release-{number}', dataclasses.replace(state, log=(*state.log, release))


def at_most_once(state: State) -> bool:
    """The request runs at most once over both calls."""
    return sum(call.runs for call in state.calls) <= 1


def not_run_is_true(state: State) -> bool:
    """A call that was reported as not run runs neither before nor after the report."""
    return all(call.reported != 'not-run' or not call.runs for call in state.calls)


def answer_belongs(state: State) -> bool:
    """The response that a caller receives belongs to its own call."""
    return all(state.calls[number].answer in {-1, number} for number in CALLS)


INVARIANTS = (at_most_once, not_run_is_true, answer_belongs)


def protocol(mutation: Mutation = Mutation.NONE) -> minicheck.Protocol:
    """Return the specification in the format of the model checker."""
    return checked.protocol('call outcome', mutation, State(), steps, INVARIANTS)
