"""Instances of a backend server that have left, as its node remembers and stores them."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from anvillug import ids, wire_value

# A leave that is announced again within this time is the same one.
_REPEAT_MS = 10_000
# A host has one backend server at a time, so few of its instances leave before they are known.
_MAX_UNKNOWN_INSTANCES = 8
# Limits of the form in beacons, which takes at most 120 bytes.
_MAX_BRIEF_INSTANCES = 1
_MAX_BRIEF_ID_BYTES = 40
_MAX_BRIEF_INTEGER = 2**63 - 1
# Keys of the stored form.
_STARTED_AT = 'started_at'
_DRAINING = 'draining'
_INSTANCES = 'instances'

HeartbeatOrder = tuple[ids.Incarnation, int]
"""Start time of an instance and sequence number of its heartbeat."""

_NO_ORDER: HeartbeatOrder = (ids.Incarnation(0), 0)


@dataclasses.dataclass(frozen=True)
class LeaveRecord:
    """Leaves that a node has received; heartbeats that they cover are late ones."""

    started_at: ids.Incarnation = ids.Incarnation(0)
    """Start time of the newest instance that has left; it and older ones have left."""
    draining: HeartbeatOrder = _NO_ORDER
    """Newest heartbeat that announced a leave; it and earlier ones are covered."""
    left_at_by_instance: Mapping[ids.InstanceId, int] = dataclasses.field(default_factory=dict)
    """Time of the leave in milliseconds since the Unix epoch, for the newest instances that left
    before the node had a heartbeat of them. An instance with the same id that starts later has not
    left."""

    def covers(self, instance: ids.InstanceId, order: HeartbeatOrder) -> bool:
        """Return whether a heartbeat was sent before a leave of its instance."""
        started_at = order[0]
        has_left = started_at <= max(self.started_at, self.left_at_by_instance.get(instance, 0))
        return has_left or order <= self.draining

    def with_start(self, started_at: ids.Incarnation) -> LeaveRecord:
        """Return the record with the leave of a known instance."""
        return dataclasses.replace(self, started_at=max(self.started_at, started_at))

    def with_draining(self, order: HeartbeatOrder) -> LeaveRecord:
        """Return the record with a heartbeat that announces a leave."""
        return dataclasses.replace(self, draining=max(self.draining, order))

    def with_unknown_instance(self, instance: ids.InstanceId, now_ms: int) -> LeaveRecord:
        """Return the record with the leave of an instance without a heartbeat so far.

        Args:
            instance: Id of the instance.
            now_ms: Milliseconds since the Unix epoch.
        """
        known_at = self.left_at_by_instance.get(instance)
        if known_at is not None and now_ms - known_at < _REPEAT_MS:
            return self
        return self._with_instances({**self.left_at_by_instance, instance: now_ms})

    def merge(self, other: LeaveRecord) -> LeaveRecord:
        """Return a record that covers what either of two records covers."""
        left_at_by_instance = dict(other.left_at_by_instance)
        for instance, left_at in self.left_at_by_instance.items():
            left_at_by_instance[instance] = max(left_at, left_at_by_instance.get(instance, 0))
        merged = LeaveRecord(
            max(self.started_at, other.started_at), max(self.draining, other.draining)
        )
        return merged._with_instances(left_at_by_instance)  # noqa: SLF001 - same class

    def brief(self) -> LeaveRecord:
        """Return the record within the limits of beacons: with the newest instance only."""
        started_at, draining_at, sequence = (
            min(max(integer, 0), _MAX_BRIEF_INTEGER)
            for integer in (self.started_at, *self.draining)
        )
        left_at_by_instance = {
            instance: left_at
            for instance, left_at in self.left_at_by_instance.items()
            if len(instance.encode()) <= _MAX_BRIEF_ID_BYTES
        }
        return LeaveRecord(
            ids.Incarnation(started_at),
            (ids.Incarnation(draining_at), sequence),
            _newest(left_at_by_instance, _MAX_BRIEF_INSTANCES),
        )

    def to_data(self) -> object:
        """Return the stored form: a start time if nothing else is known, else a mapping."""
        if self.draining == _NO_ORDER and not self.left_at_by_instance:
            return self.started_at
        return {
            _STARTED_AT: self.started_at,
            _DRAINING: list(self.draining),
            _INSTANCES: dict(self.left_at_by_instance),
        }

    def _with_instances(self, left_at_by_instance: Mapping[ids.InstanceId, int]) -> LeaveRecord:
        newest = _newest(left_at_by_instance, _MAX_UNKNOWN_INSTANCES)
        return dataclasses.replace(self, left_at_by_instance=newest)


NONE = LeaveRecord()
"""Record of a node without leaves."""


def from_data(content: object) -> LeaveRecord:
    """Parse the stored form of a record.

    Raises:
        ValueError: If the content has another type; the message names the field.
    """
    if not isinstance(content, dict):
        return LeaveRecord(ids.Incarnation(wire_value.integer(content, 'start time')))
    started_at = wire_value.integer(content.get(_STARTED_AT), _STARTED_AT)
    draining = content.get(_DRAINING)
    instances = wire_value.mapping(content.get(_INSTANCES), _INSTANCES)
    if not isinstance(draining, list) or len(draining) != len(_NO_ORDER):
        raise ValueError(f'{_DRAINING} must be a start time and a sequence number')
    draining_at, sequence = (wire_value.integer(part, _DRAINING) for part in draining)
    record = LeaveRecord(ids.Incarnation(started_at), (ids.Incarnation(draining_at), sequence))
    left_at_by_instance = {
        ids.InstanceId(wire_value.text(instance, 'instance')): (
            wire_value.integer(left_at, _INSTANCES)
        )
        for instance, left_at in instances.items()
    }
    return record.merge(LeaveRecord(left_at_by_instance=left_at_by_instance))


def _newest(
    left_at_by_instance: Mapping[ids.InstanceId, int], count: int
) -> dict[ids.InstanceId, int]:
    """Return the entries that left last, in an order that does not depend on the given one."""
    by_age = sorted(left_at_by_instance.items(), key=lambda entry: (entry[1], entry[0]))
    return dict(by_age[-count:])
