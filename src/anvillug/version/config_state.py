"""State of the configuration at an offset of its stream, and its JSON form."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Mapping
from typing import Any

import expression

from anvillug import clock, findings, ids
from anvillug.version import document


class MoveState(enum.Enum):
    """State of a rollout; it changes only forward in this order."""

    PLANNED = 'planned'
    DONE = 'done'
    TAKEN_BACK = 'taken-back'


@dataclasses.dataclass(frozen=True, slots=True)
class PatchResult:
    """Result of applying a patch."""

    accepted: bool
    """Whether the patch is in effect."""
    number: ids.ConfigNumber
    """Configuration number after the patch; unchanged when it was rejected."""
    reason: str = ''
    """Why the patch was rejected."""


@dataclasses.dataclass(frozen=True, slots=True)
class MoveStatus:
    """A rollout of the document with its state."""

    number: ids.ConfigNumber
    """Configuration number that planned the rollout; identifies it in records."""
    from_version: ids.VersionName
    """Version in service before the rollout."""
    to_version: ids.VersionName
    """New version."""
    start_ms: int
    """Start of the rollout in milliseconds since the epoch."""
    deadline_ms: int
    """Deadline of the rollout in milliseconds since the epoch."""
    state: MoveState = MoveState.PLANNED
    """Planned, completed or rolled back."""
    evidence: str = ''
    """Evidence or reason given by the record that set the state."""


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneChange:
    """Last change of a zone's state."""

    state: document.ZoneState
    """State since the change."""
    changed_at: clock.Milliseconds
    """Wall-clock time of the log record that changed the state."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigState:
    """Result of folding the configuration stream up to an offset."""

    number: ids.ConfigNumber
    """Configuration number: how many patches have been accepted."""
    document: document.Document
    """Document in effect."""
    next_offset: ids.LogOffset
    """Offset of the next record to apply."""
    results_by_patch_id: Mapping[str, PatchResult]
    """Results of recent patches, oldest first."""
    moves_by_service: Mapping[ids.ServiceName, MoveStatus]
    """Rollouts of the document in effect."""
    zone_changes_by_name: Mapping[ids.ZoneName, ZoneChange]
    """Last state change of each zone that has ever been out."""


def empty() -> ConfigState:
    """Return the state before the first record."""
    return ConfigState(
        number=ids.ConfigNumber(0),
        document=document.Document(),
        next_offset=ids.LogOffset(0),
        results_by_patch_id={},
        moves_by_service={},
        zone_changes_by_name={},
    )


def to_json(state: ConfigState) -> dict[str, Any]:
    """Return a state as JSON data."""
    return {
        'number': state.number,
        'document': document.to_json(state.document),
        'next_offset': state.next_offset,
        'results': [
            # Not `asdict`, which deep-copies: that blocked the reactor for 6 ms with 512 results.
            {
                'id': patch_id,
                'accepted': result.accepted,
                'number': result.number,
                'reason': result.reason,
            }
            for patch_id, result in state.results_by_patch_id.items()
        ],
        'moves': {
            name: {**dataclasses.asdict(move), 'state': move.state.value}
            for name, move in state.moves_by_service.items()
        },
        'zone_changes': {
            name: {'state': change.state.value, 'changed_at': change.changed_at}
            for name, change in state.zone_changes_by_name.items()
        },
    }


def from_json(data: Any, place: str) -> expression.Result[ConfigState, findings.Findings]:
    """Decode a state from JSON data.

    Args:
        data: Value returned by `to_json`, possibly in another version of this program.
        place: Name of the input in findings.

    Returns:
        The state, or findings when it is malformed.
    """
    if not isinstance(data, dict):
        return expression.Error(findings.single(place, 'is not a JSON object'))
    try:
        return document.parse(data['document'], place).map(
            lambda config: _with_document(data, config),
        )
    except (LookupError, TypeError, ValueError) as error:
        return expression.Error(findings.single(place, f'is not a configuration state: {error!r}'))


def _with_document(data: Any, config: document.Document) -> ConfigState:
    return ConfigState(
        number=ids.ConfigNumber(int(data['number'])),
        document=config,
        next_offset=ids.LogOffset(int(data['next_offset'])),
        results_by_patch_id={
            entry['id']: PatchResult(entry['accepted'], entry['number'], entry['reason'])
            for entry in data['results']
        },
        moves_by_service={
            name: MoveStatus(**{**entry, 'state': MoveState(entry['state'])})
            for name, entry in data['moves'].items()
        },
        zone_changes_by_name={
            name: ZoneChange(document.ZoneState(entry['state']), entry['changed_at'])
            for name, entry in data['zone_changes'].items()
        },
    )
