"""Pure fold of the records of the configuration stream.

Every node folds the same records in offset order, so all nodes agree on which
patches are accepted without communicating.

Records are JSON objects with a `kind`:

- `patch`: `id`, `base`, `patch` (JSON merge patch), `author`;
- `verdict`: `service`, `version`, `move`, `evidence`: the new version was found bad;
- `move_result`: `service`, `move`, `result` (`done` or `taken-back`), `reason`;
- `snapshot`: `covers` (last offset folded), `state`.

`move` is the configuration number that planned the rollout.
"""

from __future__ import annotations

import dataclasses
import functools
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

import expression

from anvillug import clock, findings, ids
from anvillug.connection import log_record
from anvillug.version import _fold_effects, config_state, document

ConfigState = config_state.ConfigState

# At 28,000 changes per day, 512 results cover 26 minutes. A publisher whose append
# got no response looks the result up within one minute.
MAX_PATCH_RESULTS = 512
# The document nests 7 levels deep. Deeper patches are rejected before any recursion,
# since the recursion limit depends on the stack of the reader: readers could disagree.
_MAX_PATCH_DEPTH = 32

_FINAL_STATES = {
    final_state.value: final_state
    for final_state in (config_state.MoveState.DONE, config_state.MoveState.TAKEN_BACK)
}


@dataclasses.dataclass(frozen=True, slots=True)
class Gap:
    """Range of records that are needed but no longer retained."""

    start: ids.LogOffset
    """First missing offset."""
    end: ids.LogOffset
    """Offset after the last missing one."""

    def __str__(self) -> str:
        return f'configuration records {self.start} to {self.end - 1} are missing'


class GapError(ValueError):
    """Records before the applied one are missing from the state."""


def empty() -> ConfigState:
    """Return the state before the first record."""
    return config_state.empty()


def apply(state: ConfigState, record: log_record.LogRecord) -> ConfigState:
    """Apply the next record of the stream.

    A record that the state already covers changes nothing. Malformed records
    and snapshots only advance the offset: a reader without a gap already covers
    more than any snapshot that it reads.

    Args:
        state: State before the record.
        record: The record.

    Returns:
        State after the record.

    Raises:
        GapError: If records between the state and this one were skipped.
    """
    if record.offset < state.next_offset:
        return state
    if record.offset > state.next_offset:
        raise GapError(str(Gap(state.next_offset, record.offset)))
    data = record.data if isinstance(record.data, dict) else {}
    handler = _HANDLERS.get(str(data.get('kind')), _ignore)
    changed = handler(state, data, record.time_ms)
    return dataclasses.replace(changed, next_offset=ids.LogOffset(record.offset + 1))


def advance(
    state: ConfigState,
    first_offset: ids.LogOffset,
    records: Sequence[log_record.LogRecord],
) -> expression.Result[ConfigState, Gap]:
    """Apply the records of a read, from a snapshot on if earlier records are no longer retained.

    Args:
        state: State of the reader.
        first_offset: First offset that the log retains.
        records: Consecutive records of the read, in offset order.

    Returns:
        The state after the records, or the gap if neither the state nor a
        snapshot among the records covers all records before the first one.
    """
    start = records[0].offset if records else first_offset
    if state.next_offset < start:
        best = best_snapshot(start, records)
        if best is None:
            return expression.Error(Gap(state.next_offset, start))
        state = best
    return expression.Ok(functools.reduce(apply, records, state))


def from_records(
    first_offset: ids.LogOffset,
    records: Sequence[log_record.LogRecord],
) -> expression.Result[ConfigState, Gap]:
    """Fold all retained records from an empty state or the best snapshot.

    Args:
        first_offset: First offset that the log retains.
        records: All records from that offset, in offset order.

    Returns:
        The state, or the gap between the best snapshot and the first record.
    """
    best = best_snapshot(first_offset, records)
    return advance(empty() if best is None else best, first_offset, records)


def best_snapshot(
    start: ids.LogOffset,
    records: Iterable[log_record.LogRecord],
) -> ConfigState | None:
    """Return the state of the best snapshot that covers all records before an offset.

    The best snapshot is the one with the highest configuration number.

    Args:
        start: First offset from which all records are available.
        records: Records to search for snapshots.

    Returns:
        The state, or None without a usable snapshot.
    """
    usable = [
        state
        for state in map(_snapshot_state, records)
        if state is not None and state.next_offset >= start
    ]
    return max(usable, key=lambda state: (state.number, state.next_offset), default=None)


def snapshot_record(state: ConfigState) -> dict[str, Any]:
    """Return the data of a snapshot record for a state."""
    return {
        'kind': 'snapshot',
        'covers': state.next_offset - 1,
        'state': config_state.to_json(state),
    }


def patch_record(patch_id: str, base: int, patch: object, author: str) -> dict[str, Any]:
    """Return the data of a patch record.

    Args:
        patch_id: Unique id, by which the result is looked up after a lost response.
        base: Configuration number that the patch was written against.
        patch: JSON merge patch of the document.
        author: Author of the patch.

    Returns:
        JSON object.
    """
    return {'kind': 'patch', 'id': patch_id, 'base': base, 'patch': patch, 'author': author}


def verdict_record(
    service: ids.ServiceName,
    move: config_state.MoveStatus,
    evidence: str,
) -> dict[str, Any]:
    """Return the data of a record that reports the new version of a rollout as bad."""
    return {
        'kind': 'verdict',
        'service': service,
        'version': move.to_version,
        'move': move.number,
        'evidence': evidence,
    }


def move_result_record(
    service: ids.ServiceName,
    move: config_state.MoveStatus,
    result: config_state.MoveState,
    reason: str,
) -> dict[str, Any]:
    """Return the data of a record with the result of a rollout."""
    return {
        'kind': 'move_result',
        'service': service,
        'move': move.number,
        'result': result.value,
        'reason': reason,
    }


def _snapshot_state(record: log_record.LogRecord) -> ConfigState | None:
    data = record.data
    if not isinstance(data, dict) or data.get('kind') != 'snapshot':
        return None
    parsed = config_state.from_json(data.get('state'), f'snapshot at {record.offset}')
    if parsed.is_error():
        return None
    state = parsed.ok
    consistent = data.get('covers') == state.next_offset - 1
    # A snapshot is written after the records it covers.
    return state if consistent and state.next_offset <= record.offset else None


def _ignore(state: ConfigState, data: Mapping[str, Any], wall_ms: float) -> ConfigState:
    return state


def _apply_patch(state: ConfigState, data: Mapping[str, Any], wall_ms: float) -> ConfigState:
    patch_id = data.get('id')
    if not isinstance(patch_id, str) or patch_id in state.results_by_patch_id:
        return state
    problem, config = _evaluate_patch(state, data)
    if config is None:
        rejected = config_state.PatchResult(
            accepted=False,
            number=state.number,
            reason=problem[: _fold_effects.MAX_TEXT_CHARS],
        )
        return _add_result(state, patch_id, rejected)
    number = ids.ConfigNumber(state.number + 1)
    accepted = dataclasses.replace(
        state,
        number=number,
        document=config,
        moves_by_service=_fold_effects.moves_for_document(state, config, number),
        zone_changes_by_name=_fold_effects.zone_changes_for_document(
            state, config, clock.Milliseconds(wall_ms)
        ),
    )
    return _add_result(accepted, patch_id, config_state.PatchResult(accepted=True, number=number))


def _evaluate_patch(
    state: ConfigState,
    data: Mapping[str, Any],
) -> tuple[str, document.Document | None]:
    base = data.get('base')
    if base != state.number or isinstance(base, bool):
        return f'base {base} is not the current number {state.number}', None
    if not isinstance(data.get('patch'), dict):
        return 'patch is not a JSON object', None
    if document.depth_exceeds(data['patch'], _MAX_PATCH_DEPTH):
        return f'patch nests deeper than {_MAX_PATCH_DEPTH} levels', None
    parsed = document.patch_document(state.document, data['patch'], 'document')
    if parsed.is_error():
        return findings.report(parsed.error), None
    return '', parsed.ok


def _add_result(state: ConfigState, patch_id: str, result: config_state.PatchResult) -> ConfigState:
    entries = [*state.results_by_patch_id.items(), (patch_id, result)]
    return dataclasses.replace(state, results_by_patch_id=dict(entries[-MAX_PATCH_RESULTS:]))


def _apply_verdict(state: ConfigState, data: Mapping[str, Any], wall_ms: float) -> ConfigState:
    move = _fold_effects.current_move(state, data)
    if move is None or data.get('version') != move.to_version:
        return state
    return _fold_effects.set_move_state(
        state,
        data['service'],
        config_state.MoveState.TAKEN_BACK,
        data.get('evidence'),
    )


def _apply_move_result(state: ConfigState, data: Mapping[str, Any], wall_ms: float) -> ConfigState:
    final_state = _FINAL_STATES.get(str(data.get('result')))
    move = _fold_effects.current_move(state, data)
    # The first result is final, except that a verdict rolls a completed rollout back.
    if final_state is None or move is None or move.state is not config_state.MoveState.PLANNED:
        return state
    return _fold_effects.set_move_state(state, data['service'], final_state, data.get('reason'))


_HANDLERS = {
    'patch': _apply_patch,
    'verdict': _apply_verdict,
    'move_result': _apply_move_result,
}
