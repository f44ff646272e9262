"""Effects of accepted records on rollouts and zones; internals of the fold."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from typing import Any

from anvillug import clock, ids
from anvillug.version import config_state, document

MAX_TEXT_CHARS = 500
"""Length to which evidence and reasons are cut, so that snapshots stay small."""

_STATE_ORDER = {
    config_state.MoveState.PLANNED: 0,
    config_state.MoveState.DONE: 1,
    config_state.MoveState.TAKEN_BACK: 2,
}


def moves_for_document(
    state: config_state.ConfigState,
    config: document.Document,
    number: ids.ConfigNumber,
) -> dict[ids.ServiceName, config_state.MoveStatus]:
    """Return the rollouts of a new document; unchanged rollouts keep their number and state."""
    moves = {}
    for name, service in config.services.items():
        if service.move is None:
            continue
        planned = config_state.MoveStatus(
            number=number,
            from_version=service.version,
            to_version=service.move.to,
            start_ms=service.move.start_ms,
            deadline_ms=service.move.deadline_ms,
        )
        current = state.moves_by_service.get(name)
        moves[name] = (
            current if current is not None and _is_same_move(current, planned) else planned
        )
    return moves


def _is_same_move(current: config_state.MoveStatus, planned: config_state.MoveStatus) -> bool:
    return planned == dataclasses.replace(
        current,
        number=planned.number,
        state=planned.state,
        evidence=planned.evidence,
    )


def zone_changes_for_document(
    state: config_state.ConfigState,
    config: document.Document,
    wall_ms: clock.Milliseconds,
) -> dict[ids.ZoneName, config_state.ZoneChange]:
    """Return the zone changes, including those that a new document makes at a wall-clock time."""
    changes = dict(state.zone_changes_by_name)
    for name in sorted({*state.document.zones, *config.zones}):
        before = _zone_state(state.document, name)
        after = _zone_state(config, name)
        if before is not after:
            changes[name] = config_state.ZoneChange(after, wall_ms)
    return changes


def _zone_state(config: document.Document, name: ids.ZoneName) -> document.ZoneState:
    zone = config.zones.get(name)
    return document.ZoneState.IN if zone is None else zone.state


def current_move(
    state: config_state.ConfigState, data: Mapping[str, Any]
) -> config_state.MoveStatus | None:
    """Return the rollout that a record refers to, if it is the current one of its service."""
    name = data.get('service')
    move = state.moves_by_service.get(ids.ServiceName(name)) if isinstance(name, str) else None
    return move if move is not None and data.get('move') == move.number else None


def set_move_state(
    state: config_state.ConfigState,
    name: ids.ServiceName,
    target: config_state.MoveState,
    evidence: object,
) -> config_state.ConfigState:
    """Set the state of a service's rollout unless that would be a step backward."""
    move = state.moves_by_service[name]
    if _STATE_ORDER[target] <= _STATE_ORDER[move.state]:
        return state
    text = evidence[:MAX_TEXT_CHARS] if isinstance(evidence, str) else ''
    ended = dataclasses.replace(move, state=target, evidence=text)
    return dataclasses.replace(state, moves_by_service={**state.moves_by_service, name: ended})
