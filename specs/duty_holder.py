"""Specification of the duty: which record names its holder, and which reports the platform accepts.

Two nodes append records under the condition that the log ends where they last read it, and send the
reports that the newest record they know fixes. An append or a report may be carried out after its
sender has stopped waiting, and so after newer ones. Time is not modelled: a node may take over at
any moment, as if every lease had ended, and may act at any moment, as if its own had not. That two
nodes do not act by turns within a lease is left to the leases.

A holder that stops may release the duty, after which nobody waits for its lease. So it must not act
any more, and must know the outcome of its last report, or must have given it up for long enough.
Its process never acts again; the next process of its host is a node like any other.
"""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Iterator

import minicheck

from specs import checked

MAX_STATES = 2_000_000
NODES = (0, 1)
_MAX_RECORDS = 4
# A report is fixed by the holder, and again by the next one.
_MAX_RECORDS_OF_HANDOVER = 5
_MAX_REPORTS = 3
_MAX_APPENDS = 2


class Mutation(enum.Enum):
    """A fault injected into the specification, which must produce a counterexample."""

    NONE = 'none'
    UNCONDITIONAL_APPEND = 'unconditional-append'
    SENT_BEFORE_FIXED = 'sent-before-fixed'
    FIXED_AGAIN = 'fixed-again'
    KEPT_TOKEN = 'kept-token'
    RELEASED_WHILE_REPORTING = 'released-while-reporting'
    REPORTED_AFTER_RELEASE = 'reported-after-release'
    FORGOTTEN_AT_RELEASE = 'forgotten-at-release'


# Other mutations produce their counterexamples without a release, in fewer states.
_WITH_RELEASE = frozenset(
    (
        Mutation.NONE,
        Mutation.RELEASED_WHILE_REPORTING,
        Mutation.REPORTED_AFTER_RELEASE,
        Mutation.FORGOTTEN_AT_RELEASE,
    )
)


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """Record of the log."""

    holder: int
    """Node that holds the duty."""
    token: int
    """Its token."""
    report: int = -1
    """Node whose counts the report of the window has; -1 if it is not fixed."""
    is_released: bool = False
    """Whether the holder has released the duty."""


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Report on its way to the platform."""

    sender: int
    """Node that sent it."""
    token: int
    """Token that it carries."""
    content: int
    """Node whose counts it has."""


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """State of the log, of the nodes, and of the platform."""

    log: tuple[Record, ...] = ()
    """Records in order."""
    known: tuple[int, int] = (0, 0)
    """End of the log as each node knows it."""
    appends: frozenset[tuple[int, Record]] = frozenset()
    """Appends in transit, with the end that they require."""
    reports: frozenset[Report] = frozenset()
    """Reports in transit, which may be carried out at any time and more than once."""
    highest: int = 0
    """Highest token that the platform has seen."""
    accepted: frozenset[int] = frozenset()
    """Contents of the reports that the platform has accepted."""
    senders: frozenset[tuple[int, int]] = frozenset()
    """Tokens that were used, each with its sender."""
    awaiting: frozenset[int] = frozenset()
    """Nodes that await the outcome of a report."""
    stopped: frozenset[int] = frozenset()
    """Nodes that have tried to release the duty."""


Step = tuple[str, State]


def steps(state: State, mutation: Mutation = Mutation.NONE) -> Iterator[Step]:
    """Yield every possible step in a state, as its label and the next state."""
    for node in NODES:
        known = list(state.known)
        known[node] = len(state.log)
        yield f'read-{node}', dataclasses.replace(state, known=tuple(known))
        yield from _append_steps(state, node, mutation)
        yield from _send_steps(state, node, mutation)
        yield from _release_steps(state, node, mutation)
    for end, record in state.appends:
        if len(state.log) == end or mutation is Mutation.UNCONDITIONAL_APPEND:
            yield 'append', _appended(state, end, record)
    for lost in state.appends:
        yield 'lose', dataclasses.replace(state, appends=state.appends - {lost})
    for report in state.reports:
        yield 'report', _reported(state, report)


def _append_steps(state: State, node: int, mutation: Mutation) -> Iterator[Step]:
    end = state.known[node]
    newest = state.log[end - 1] if end else None
    if _is_full(state, end, mutation) or node in state.stopped:
        return
    if newest is None or newest.holder != node:
        # A token kept from the predecessor stands for one that does not depend on the place.
        is_kept = mutation is Mutation.KEPT_TOKEN and newest is not None
        token = newest.token if is_kept else end + 1
        fixed = -1 if newest is None else newest.report
        yield f'take-{node}', _with_append(state, end, Record(node, token, fixed))
    elif newest.report < 0 or mutation is Mutation.FIXED_AGAIN:
        record = dataclasses.replace(newest, report=node)
        yield f'fix-{node}', _with_append(state, end, record)


def _is_full(state: State, end: int, mutation: Mutation) -> bool:
    """Return whether the limits of the exploration allow no further append."""
    is_handover = mutation in {Mutation.NONE, Mutation.FORGOTTEN_AT_RELEASE}
    limit = _MAX_RECORDS_OF_HANDOVER if is_handover else _MAX_RECORDS
    return len(state.appends) >= _MAX_APPENDS or max(end, len(state.log)) >= limit


def _with_append(state: State, end: int, record: Record) -> State:
    return dataclasses.replace(state, appends=state.appends | {(end, record)})


def _appended(state: State, end: int, record: Record) -> State:
    # The node learns of it by the response or, if that is lost, by a later read.
    return dataclasses.replace(
        state, log=(*state.log, record), appends=state.appends - {(end, record)}
    )


def _send_steps(state: State, node: int, mutation: Mutation) -> Iterator[Step]:
    end = state.known[node]
    newest = state.log[end - 1] if end else None
    if node in state.awaiting:
        # A response, or the end of the time for it.
        yield f'await-end-{node}', dataclasses.replace(state, awaiting=state.awaiting - {node})
    if newest is None or newest.holder != node or len(state.reports) >= _MAX_REPORTS:
        return
    may_act = node not in state.stopped or mutation is Mutation.REPORTED_AFTER_RELEASE
    if node in state.awaiting or not may_act:
        return
    content = newest.report
    if content < 0 and mutation is Mutation.SENT_BEFORE_FIXED:
        content = node
    if content >= 0:
        report = Report(node, newest.token, content)
        awaiting = state.awaiting
        if mutation in _WITH_RELEASE:
            awaiting |= {node}
        yield (
            f'send-{node}',
            dataclasses.replace(
                state,
                reports=state.reports | {report},
                senders=state.senders | {(newest.token, node)},
                awaiting=awaiting,
            ),
        )


def _release_steps(state: State, node: int, mutation: Mutation) -> Iterator[Step]:
    end = state.known[node]
    newest = state.log[end - 1] if end else None
    if newest is None or newest.holder != node or newest.is_released:
        return
    if _is_full(state, end, mutation) or mutation not in _WITH_RELEASE:
        return
    if node in state.awaiting and mutation is not Mutation.RELEASED_WHILE_REPORTING:
        return
    # The step may follow a release whose response is lost.
    record = dataclasses.replace(newest, is_released=True)
    if mutation is Mutation.FORGOTTEN_AT_RELEASE:
        record = dataclasses.replace(record, report=-1)
    stopped = dataclasses.replace(state, stopped=state.stopped | {node})
    yield f'release-{node}', _with_append(stopped, end, record)


def _reported(state: State, report: Report) -> State:
    if report.token < state.highest:
        return state
    return dataclasses.replace(
        state, highest=report.token, accepted=state.accepted | {report.content}
    )


def one_report(state: State) -> bool:
    """The platform accepts no two reports of the window with different counts."""
    return len(state.accepted) <= 1


def tokens_differ(state: State) -> bool:
    """No two nodes send the same token."""
    return len({token for token, _ in state.senders}) == len(state.senders)


def tokens_increase(state: State) -> bool:
    """The token increases whenever the holder changes."""
    pairs = zip(state.log, state.log[1:], strict=False)
    return all(
        later.holder == earlier.holder or later.token > earlier.token for earlier, later in pairs
    )


def release_is_last(state: State) -> bool:
    """No node awaits the outcome of a report once its release is in the log.

    The next holder may report from then on, without waiting for the lease.
    """
    return not any(record.is_released and record.holder in state.awaiting for record in state.log)


INVARIANTS = (one_report, tokens_differ, tokens_increase, release_is_last)


def protocol(mutation: Mutation = Mutation.NONE) -> minicheck.Protocol:
    """Return the specification in the format of the model checker."""
    return checked.protocol('duty holder', mutation, State(), steps, INVARIANTS)
