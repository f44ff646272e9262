"""Wire form of the state of a rollout, as exchanged between nodes."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, NamedTuple

from anvillug import wire_value
from anvillug.version import directives, rollout, rollout_counts


class Report(NamedTuple):
    """State of a rollout on one node."""

    order_position: directives.Position
    """Position of the order."""
    phase: rollout.Phase
    """State of the rollout."""
    stored: rollout.StoredStatus | None
    """Newest known status record of the store's present era."""
    settled: bool
    """Whether its end is known to be final."""
    age_ms: float
    """Milliseconds since its start."""
    cancelled_shifts: int
    """Number of shifts that were cancelled."""
    shift_age_ms: float
    """Milliseconds since the start of the present shift."""
    counts: rollout_counts.VersionCounts | None
    """Calls that the node has counted; None if they are sent another time."""

    def pack(self) -> list[Any]:
        """Return the wire form."""
        counts = None if self.counts is None else self.counts.pack()
        return [
            self.order_position,
            self.phase.value,
            pack_stored(self.stored),
            self.settled,
            int(self.age_ms),
            self.cancelled_shifts,
            int(self.shift_age_ms),
            counts,
        ]


def unpack(packed: Sequence[Any]) -> Report:
    """Decode a report.

    Raises:
        ValueError, TypeError, LookupError: If it is malformed.
    """
    report = Report(*packed)
    return Report(
        directives.unpack_position(report.order_position),
        rollout.Phase(report.phase),
        None if report.stored is None else unpack_stored(report.stored),
        wire_value.boolean(report.settled, 'settled'),
        wire_value.number(report.age_ms, 'age'),
        wire_value.natural(report.cancelled_shifts, 'cancelled shifts'),
        wire_value.number(report.shift_age_ms, 'age of the shift'),
        None if report.counts is None else rollout_counts.VersionCounts.unpack(report.counts),
    )


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
