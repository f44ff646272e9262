"""Wire form of the state of a rollout, as exchanged between nodes."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, NamedTuple

from anvillug.version import directives, rollout


class Report(NamedTuple):
    """State of a rollout on one node, in its wire form."""

    order_position: Sequence[int]
    phase_name: str
    stored: Sequence[Any] | None
    """Newest known status record of the store's present era; see `pack_stored`."""
    settled: bool
    age_ms: int
    cancelled_shifts: int
    shift_age_ms: int
    counts: list[Any] | None


def pack_stored(stored: rollout.StoredStatus | None) -> list[Any] | None:
    """Return the wire form of a status record."""
    if stored is None:
        return None
    return [*stored.position, stored.phase and stored.phase.value]


def unpack_stored(packed: Sequence[Any]) -> rollout.StoredStatus:
    """Decode a status record.

    Raises:
        ValueError, TypeError: If it is malformed.
    """
    *position, phase_name = packed
    phase = None if phase_name is None else rollout.Phase(phase_name)
    return rollout.StoredStatus(directives.unpack_position(position), phase)
