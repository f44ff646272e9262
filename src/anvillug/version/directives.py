"""The operator's directives: routes, zones out of service and rollouts at one log position."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from anvillug import ids, wire_value
from anvillug.version import route_table


class Position(NamedTuple):
    """Position in the operator's log; a higher one is newer.

    The log begins a new era when it is restored from an older copy. Offsets are used again after
    that, so those of different eras can't be compared.
    """

    era: int
    """Number of the era."""
    offset: int
    """Offset in that era."""
    revision: int = 0
    """Version number of the configuration in effect at that offset; 0 in positions of records. It
    differs between nodes if only some have read a configuration that a restored log has lost."""

    def __str__(self) -> str:
        """Return the form that is written to the event log."""
        return f'{self.era}:{self.offset}'


ORIGIN = Position(0, 0)
"""Position of a node that has read nothing yet."""


def unpack_position(packed: Sequence[int]) -> Position:
    """Decode a position from a message of another node.

    Raises:
        ValueError, TypeError: If it is malformed.
    """
    era, offset, revision = packed
    return Position(
        wire_value.integer(era, 'era'),
        wire_value.integer(offset, 'offset'),
        wire_value.integer(revision, 'revision'),
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """Newest record of one key in the operator's log."""

    position: Position
    """Position of the record."""
    value: bytes
    """Value; never empty, since an empty value deletes the key."""


Records = Mapping[str, Record]
"""Newest record of each key."""


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutOrder:
    """Operator's order to roll a service out to a new version."""

    service: ids.ServiceName
    """Service to roll out."""
    target_version: ids.VersionName
    """New version."""
    duration_ms: float
    """Time in milliseconds within which the rollout has to end."""
    position: Position
    """Position of the order's record; distinguishes it from earlier orders for the same service."""

    def is_same_in_other_era(self, other: RolloutOrder) -> bool:
        """Return whether this is another record of an order from before the log was restored."""
        return (
            self.position.era != other.position.era
            and dataclasses.replace(self, position=other.position) == other
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Directives:
    """Routes, zones out of service and rollouts in effect at one position."""

    position: Position = ORIGIN
    """Position up to which the log has been read."""
    revision: int = 0
    """Version number of the routes."""
    routes: route_table.RouteTable | None = None
    """Routes; None until the first configuration has been read."""
    zones_out: frozenset[ids.ZoneName] = frozenset()
    """Zones whose backend servers receive no traffic."""
    rollouts_by_service: Mapping[ids.ServiceName, RolloutOrder] = dataclasses.field(
        default_factory=dict,
    )
    """Ordered rollouts."""
    records: Records = dataclasses.field(default_factory=dict, repr=False)
    """Records that this value was decoded from; served to nodes that can't reach the log."""


Decoder = Callable[[Records, Position, Directives], Directives]
"""Decodes records at a position; where one is malformed, the previous value stays in effect."""


class ActiveDirectives:
    """Holds the directives in effect and replaces them only by newer ones.

    Args:
        decode: Decodes records.
    """

    def __init__(self, decode: Decoder) -> None:
        self.current = Directives()
        """Directives in effect."""
        self._decode = decode
        self._keeps_lost_records = False
        self._listeners: list[Callable[[Directives], None]] = []

    def add_listener(self, listener: Callable[[Directives], None]) -> None:
        """Call a function with each new value."""
        self._listeners.append(listener)

    def advance(self, records: Records, position: Position) -> bool:
        """Put newer records into effect.

        In a new era, records that the log has lost stay in effect until `drop_lost_records`, so
        that the operator can write them again.

        Args:
            records: Newest record of each key.
            position: Position that the records were read up to.

        Returns:
            Whether the records were newer than those in effect.
        """
        if position <= self.current.position:
            return False
        if position.era > self.current.position.era:
            records = {**self.current.records, **records}
            self._keeps_lost_records = True
        elif not self._keeps_lost_records:
            # A node that has noticed the era later still has records that have ended here.
            records = _of_era(records, position.era)
        newer = self._decode_at(records, position)
        if newer.position <= self.current.position:
            # This node can't decode the configuration that makes the other node's position newer.
            return False
        self._put_into_effect(newer)
        return True

    def drop_lost_records(self) -> None:
        """Drop the records of earlier eras: the operator has not written them again."""
        self._keeps_lost_records = False
        position = self.current.position
        records = _of_era(self.current.records, position.era)
        if len(records) < len(self.current.records):
            self._put_into_effect(self._decode_at(records, position))

    def _decode_at(self, records: Records, position: Position) -> Directives:
        decoded = self._decode(records, position, self.current)
        return dataclasses.replace(decoded, position=position._replace(revision=decoded.revision))

    def _put_into_effect(self, newer: Directives) -> None:
        self.current = newer
        for listener in self._listeners:
            listener(self.current)


def _of_era(records: Records, era: int) -> Records:
    return {key: record for key, record in records.items() if record.position.era == era}
