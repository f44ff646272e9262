"""Specification of the configuration fold.

Writers may pause between reading the configuration number and appending, an append may
take effect twice, snapshots are appended late, and the log drops old records only if a
retained snapshot covers them.
"""

from __future__ import annotations

import dataclasses
import enum
import functools
from collections.abc import Iterator

import minicheck

from specs import checked

MAX_STATES = 2_000_000
MAX_RECORDS = 5
MAX_SNAPSHOTS = 2
READERS = (0, 1)
SNAPSHOT_READER = 0
"""Makes the snapshots; the other reader may restart at any time. Both may be paused."""
WRITERS = ('p', 'q')


class Mutation(enum.Enum):
    """A fault injected into the specification, which must give a counterexample."""

    NONE = 'none'
    ANY_SNAPSHOT = 'any-snapshot'
    """A running reader takes a snapshot that covers less than it has read."""
    SNAPSHOT_OFFSET = 'snapshot-offset'
    """A fresh reader continues after the snapshot record instead of after the records it covers."""


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """Record of the log: a patch or a snapshot."""

    writer: str = ''
    """Writer of a patch."""
    base: int = -1
    """Configuration number that the patch was written against."""
    covers: int = -1
    """Next offset of the reader that made the snapshot; -1 for a patch."""
    accepted: tuple[str, ...] = ()
    """Configuration in the snapshot."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reader:
    """Configuration as read by one node."""

    offset: int = 0
    """Next offset to fold."""
    accepted: tuple[str, ...] = ()
    """Writers of the patches in effect, in order; their count is the configuration number."""
    highest: int = 0
    """Highest configuration number that was in effect at this node."""
    snapshot: Record | None = None
    """Snapshot that has not been appended yet."""


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """State of the log, its readers and its writers."""

    log: tuple[Record, ...] = ()
    """Every record ever appended."""
    first: int = 0
    """Lowest offset retained."""
    readers: tuple[Reader, Reader] = (Reader(), Reader())
    """Readers at two nodes."""
    bases: tuple[int, int] = (-1, -1)
    """Configuration number that each writer has read; -1 before the read."""


Step = tuple[str, State]


def apply(accepted: tuple[str, ...], record: Record) -> tuple[str, ...]:
    """Return the configuration after a record; a patch is accepted when its base is current."""
    if record.writer and record.base == len(accepted):
        return (*accepted, record.writer)
    return accepted


def expected_config(log: tuple[Record, ...]) -> tuple[str, ...]:
    """Return the configuration after all records from offset 0."""
    return functools.reduce(apply, log, ())


def steps(state: State, mutation: Mutation = Mutation.NONE) -> Iterator[Step]:
    """Yield every possible step from a state with its label."""
    for number in READERS:
        for label, reader in _reader_steps(state, number, mutation):
            yield f'{label}-{number}', _with_reader(state, number, reader)
        snapshot = state.readers[number].snapshot
        if snapshot and _has_room_for_snapshot(state.log):
            appended = dataclasses.replace(state, log=(*state.log, snapshot))
            appender = dataclasses.replace(state.readers[number], snapshot=None)
            yield f'append-snapshot-{number}', _with_reader(appended, number, appender)
    yield from _writer_steps(state)
    if state.first < len(state.log) and _is_covered(state, state.first + 1):
        yield 'drop-oldest', dataclasses.replace(state, first=state.first + 1)


def _has_room_for_snapshot(log: tuple[Record, ...]) -> bool:
    snapshots = sum(record.covers >= 0 for record in log)
    return len(log) < MAX_RECORDS and snapshots < MAX_SNAPSHOTS


def _with_reader(state: State, number: int, reader: Reader) -> State:
    readers = list(state.readers)
    readers[number] = dataclasses.replace(reader, highest=max(reader.highest, len(reader.accepted)))
    return dataclasses.replace(state, readers=tuple(readers))


def _is_covered(state: State, first: int) -> bool:
    return any(record.covers >= first for record in state.log[first:])


def _reader_steps(state: State, number: int, mutation: Mutation) -> Iterator[tuple[str, Reader]]:
    reader = state.readers[number]
    if reader.offset < state.first:
        # The reader was paused for longer than the retention and restarts.
        yield 'refresh', _restarted(state, reader, mutation)
    elif reader.offset < len(state.log):
        yield 'read', _read(reader, state.log[reader.offset], mutation)
    if number != SNAPSHOT_READER and reader.offset > 0:
        yield 'refresh', _restarted(state, reader, mutation)
    if number == SNAPSHOT_READER and reader.snapshot is None and reader.accepted:
        snapshot = Record(covers=reader.offset, accepted=reader.accepted)
        yield 'make-snapshot', dataclasses.replace(reader, snapshot=snapshot)


def _read(reader: Reader, record: Record, mutation: Mutation) -> Reader:
    accepted = apply(reader.accepted, record)
    if record.covers >= 0 and mutation is Mutation.ANY_SNAPSHOT:
        accepted = record.accepted
    return dataclasses.replace(reader, offset=reader.offset + 1, accepted=accepted)


def _restarted(state: State, reader: Reader, mutation: Mutation) -> Reader:
    retained = range(state.first, len(state.log))
    snapshots = [offset for offset in retained if state.log[offset].covers >= state.first]
    start, accepted = state.first, ()
    if snapshots:
        best = max(snapshots, key=lambda offset: state.log[offset].covers)
        start, accepted = state.log[best].covers, state.log[best].accepted
        if mutation is Mutation.SNAPSHOT_OFFSET:
            start = best + 1
    accepted = functools.reduce(apply, state.log[start:], accepted)
    return dataclasses.replace(reader, offset=len(state.log), accepted=accepted)


def _writer_steps(state: State) -> Iterator[Step]:
    for number, writer in enumerate(WRITERS):
        base = state.bases[number]
        if base < 0:
            bases = list(state.bases)
            bases[number] = len(state.readers[number].accepted)
            yield f'prepare-{writer}', dataclasses.replace(state, bases=tuple(bases))
        copies = sum(record.writer == writer for record in state.log)
        # The response to the first writer's append may be lost, so it may append twice.
        max_copies = 2 if number == 0 else 1
        if base >= 0 and copies < max_copies and len(state.log) < MAX_RECORDS:
            record = Record(writer=writer, base=base)
            yield f'append-{writer}', dataclasses.replace(state, log=(*state.log, record))


def never_reverts(state: State) -> bool:
    """Return whether the number in effect at each node never decreases."""
    return all(len(reader.accepted) >= reader.highest for reader in state.readers)


def readers_agree(state: State) -> bool:
    """Return whether each reader has the fold of all records up to its offset."""
    return all(
        reader.accepted == expected_config(state.log[: reader.offset]) for reader in state.readers
    )


INVARIANTS = (never_reverts, readers_agree)


def protocol(mutation: Mutation = Mutation.NONE) -> minicheck.Protocol:
    """Return the specification in the form that the checker takes."""
    return checked.protocol('configuration fold', mutation, State(), steps, INVARIANTS)
