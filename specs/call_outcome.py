"""Specification of the outcome of a call, see section 4.3 and 4.4 of the design page.

A caller sends a non-idempotent request as call 0 and may resend it as call 1,
each to its own host. Messages may arrive late or never, hosts restart and
forget, connections go silent, and claims are settled through a log. The lifetime
of a key is not part of the specification: a caller that resends after it claims anew.
"""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Callable, Iterator

import minicheck

MAX_STATES = 2_000_000
CALLS = (0, 1)


class Mutation(enum.Enum):
    """A fault planted in the specification, which must give a counterexample."""

    NONE = 'none'
    CLAIM_IGNORED = 'claim-ignored'
    NO_FENCE = 'no-fence'
    NO_FORGOTTEN_MARK = 'no-forgotten-mark'
    UNMATCHED_ANSWERS = 'unmatched-answers'


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One call at its entry side, on the way and at its host side."""

    net: str = 'unsent'
    """`unsent`, `flying` or `arrived`."""
    table: str = 'absent'
    """State in the call table, or `absent`, `forgotten`."""
    restarted: bool = False
    """Whether the host side has another incarnation than the call addresses."""
    told: str = ''
    """What the caller was told."""
    answer: int = -1
    """Call to which the answer that the caller got belongs."""
    runs: int = 0
    """How often it was dispatched."""
    replying: bool = False
    """Whether its response is on the way."""


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """State of both calls and of the log."""

    keyed: bool | None = None
    """Whether the request carries an idempotency key."""
    calls: tuple[Call, Call] = (Call(), Call())
    """The first sending and the resend."""
    log: tuple[str, ...] = ()
    """Claims `c0`, `c1` and releases `r0`, `r1`."""


Step = tuple[str, State]


def holder(log: tuple[str, ...]) -> int:
    """Return the call that holds the key after the records, or -1."""
    held = -1
    for place, record in enumerate(log):
        number = int(record[1])
        # A repeated append of a claim after its release counts for nothing.
        if record[0] == 'c' and held < 0 and f'r{number}' not in log[:place]:
            held = number
        elif record[0] == 'r' and held == number:
            held = -1
    return held


def steps(state: State, mutation: Mutation = Mutation.NONE) -> Iterator[Step]:
    """Yield every step possible in a state with its label."""
    if state.keyed is None:
        yield 'with-key', dataclasses.replace(state, keyed=True)
        yield 'without-key', dataclasses.replace(state, keyed=False)
        return
    for number in CALLS:
        for label, changes in _call_changes(state, number, mutation):
            yield f'{label}-{number}', _with_call(state, number, changes)
        yield from _log_steps(state, number)


def _with_call(state: State, number: int, changes: dict) -> State:
    calls = list(state.calls)
    calls[number] = dataclasses.replace(calls[number], **changes)
    return dataclasses.replace(state, calls=tuple(calls))


def _call_changes(state: State, number: int, mutation: Mutation) -> Iterator[tuple[str, dict]]:
    call = state.calls[number]
    if call.net == 'unsent':
        # Without a key the caller resends only after "not run".
        if number == 0 or state.keyed or state.calls[0].told == 'not-run':
            yield 'send', {'net': 'flying'}
        return
    if call.net == 'flying':
        yield 'arrive', {'net': 'arrived', **_arrival(call)}
    if not call.told:
        yield 'resolve', _resolution(call, mutation)
    yield from _host_changes(state, number, mutation)
    yield from _reply_changes(state, number, mutation)


def _arrival(call: Call) -> dict:
    if call.restarted or call.table in {'fenced', 'forgotten'}:
        return {'told': call.told or 'not-run'}
    return {'table': 'admitted'}


def _resolution(call: Call, mutation: Mutation) -> dict:
    if call.restarted or call.table in {'failed', 'forgotten'}:
        return {'told': 'unknown'}
    if call.table == 'absent':
        table = 'absent' if mutation is Mutation.NO_FENCE else 'fenced'
        return {'told': 'not-run', 'table': table}
    if call.table == 'fenced':
        return {'told': 'not-run'}
    if call.table == 'finished':
        # The table gives the response without a message that could cross another.
        return {'told': 'answer', 'replying': True}
    return {}


def _host_changes(state: State, number: int, mutation: Mutation) -> Iterator[tuple[str, dict]]:
    call = state.calls[number]
    if call.restarted:
        return
    yield 'restart', {'restarted': True, 'table': 'absent'}
    if call.table == 'admitted':
        if not state.keyed or mutation is Mutation.CLAIM_IGNORED or holder(state.log) == number:
            yield 'dispatch', {'table': 'dispatched', 'runs': call.runs + 1}
        # A lost claim or one given up: refused before it ran.
        yield 'refuse', {'table': 'fenced', 'told': call.told or 'not-run'}
    elif call.table == 'dispatched':
        yield 'finish', {'table': 'finished', 'replying': True}
        yield 'fail', {'table': 'failed', 'told': call.told or 'unknown'}
    elif call.table in {'finished', 'failed', 'fenced'}:
        forgets = mutation is Mutation.NO_FORGOTTEN_MARK
        yield 'forget', {'table': 'absent' if forgets else 'forgotten'}


def _reply_changes(state: State, number: int, mutation: Mutation) -> Iterator[tuple[str, dict]]:
    call = state.calls[number]
    for source in CALLS:
        is_matched = source == number or mutation is Mutation.UNMATCHED_ANSWERS
        is_waiting = call.told in {'', 'answer'} and call.answer < 0
        if state.calls[source].replying and is_matched and is_waiting:
            yield f'reply-of-{source}', {'told': 'answer', 'answer': source}


def _log_steps(state: State, number: int) -> Iterator[Step]:
    call = state.calls[number]
    claim, release = f'c{number}', f'r{number}'
    # An append may take effect twice, and late: after its host gave up or restarted.
    if state.keyed and call.net == 'arrived' and state.log.count(claim) < 2:
        yield f'claim-{number}', dataclasses.replace(state, log=(*state.log, claim))
    if call.table == 'fenced' and claim in state.log and release not in state.log:
        yield f'release-{number}', dataclasses.replace(state, log=(*state.log, release))


def at_most_once(state: State) -> bool:
    """R7: the request runs at most once over both calls."""
    return sum(call.runs for call in state.calls) <= 1


def not_run_is_true(state: State) -> bool:
    """R6: a call reported as not run never runs, before or after."""
    return all(call.told != 'not-run' or not call.runs for call in state.calls)


def answer_belongs(state: State) -> bool:
    """R5: the answer that a caller gets is the one to its own call."""
    return all(state.calls[number].answer in {-1, number} for number in CALLS)


INVARIANTS = (at_most_once, not_run_is_true, answer_belongs)


def protocol(mutation: Mutation = Mutation.NONE) -> minicheck.Protocol:
    """Return the specification in the form that the checker takes."""
    return minicheck.Protocol(
        name=f'call outcome, {mutation.value}',
        candidate=mutation is not Mutation.NONE,
        fields=('state',),
        initial=(State(),),
        transitions=lambda fields: [
            (label, (after,)) for label, after in steps(fields[0], mutation)
        ],
        invariants={each.__name__: _on_fields(each) for each in INVARIANTS},
    )


def _on_fields(invariant: Callable[[State], bool]) -> Callable[[dict], bool]:
    return lambda fields: invariant(fields['state'])
