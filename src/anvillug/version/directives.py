"""What the operator has ordered, as one value with its position in the operator's log."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Mapping
from typing import NewType

from anvillug import ids
from anvillug.version import route_table

Position = NewType('Position', int)
"""Offset of the next record in the operator's log; a higher position is newer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """Newest record of one key in the operator's log."""

    offset: int
    """Offset of the record."""
    value: bytes
    """Value; never empty."""


Records = Mapping[str, Record]
"""Newest record of each key."""


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutOrder:
    """Order to move the traffic of a service to a new version."""

    service: ids.ServiceName
    """Service whose traffic moves."""
    target_version: ids.VersionName
    """Version that the traffic moves to."""
    duration_ms: float
    """Time in milliseconds within which the move has to end."""
    offset: int
    """Offset of the order's record; tells it from earlier orders for the same service."""


@dataclasses.dataclass(frozen=True, slots=True)
class Directives:
    """Routes, zones out of service and rollouts in effect at one position."""

    position: Position = Position(0)
    """Position up to which the log has been read."""
    revision: int = 0
    """Version number of the routes."""
    routes: route_table.RouteTable | None = None
    """Routes; None until the first configuration is known."""
    zones_out: frozenset[ids.ZoneName] = frozenset()
    """Zones whose backend servers get nothing."""
    rollouts_by_service: Mapping[ids.ServiceName, RolloutOrder] = dataclasses.field(
        default_factory=dict,
    )
    """Rollouts that are ordered."""
    records: Records = dataclasses.field(default_factory=dict, repr=False)
    """Records that this value was decoded from, for nodes that can't reach the log."""


Decoder = Callable[[Records, Position, Directives], Directives]
"""Decodes records at a position; the former value stands in for records that are malformed."""


class DirectiveBoard:
    """Holds the directives in effect; they only move forward while the process lives.

    Args:
        decode: Decodes records.
    """

    def __init__(self, decode: Decoder) -> None:
        self.current = Directives()
        """Directives in effect."""
        self._decode = decode
        self._listeners: list[Callable[[Directives], None]] = []

    def add_listener(self, listener: Callable[[Directives], None]) -> None:
        """Call a function with each new value."""
        self._listeners.append(listener)

    def advance(self, records: Records, position: Position) -> bool:
        """Put newer records into effect.

        Args:
            records: Newest value of each key.
            position: Position that the records were read up to.

        Returns:
            Whether they were newer than what is in effect.
        """
        if position <= self.current.position:
            return False
        self.current = self._decode(records, position, self.current)
        for listener in self._listeners:
            listener(self.current)
        return True
