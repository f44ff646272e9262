"""Identifiers shared by all modules."""

from __future__ import annotations

import dataclasses
from typing import NewType

ServiceName = NewType('ServiceName', str)
ZoneName = NewType('ZoneName', str)
RegionName = NewType('RegionName', str)
HostId = NewType('HostId', str)
Incarnation = NewType('Incarnation', int)
"""Start of a process in milliseconds since the Unix epoch; a later start is greater."""
VersionName = NewType('VersionName', str)
RouteName = NewType('RouteName', str)
ConfigNumber = NewType('ConfigNumber', int)
InstanceId = NewType('InstanceId', str)
"""Id of one start of a backend server."""
LogOffset = NewType('LogOffset', int)
Fingerprint = NewType('Fingerprint', str)
IdempotencyKey = NewType('IdempotencyKey', str)

_CALL_ID_PARTS = 3


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class CallId:
    """Identifies one call sent by one entry side.

    The wire form is `<host id>.<incarnation>.<sequence>`.
    """

    host_id: HostId
    """Host of the entry side that sent the call."""
    incarnation: Incarnation
    """Incarnation of that entry side's process."""
    sequence: int
    """Counts the calls of that incarnation from 1."""

    def __str__(self) -> str:
        return f'{self.host_id}.{self.incarnation}.{self.sequence}'


def parse_call_id(text: str) -> CallId:
    """Parse the wire form of a call id.

    Args:
        text: `<host id>.<incarnation>.<sequence>`; the host id may contain dots.

    Returns:
        The call id.

    Raises:
        ValueError: If the text has another form.
    """
    parts = text.rsplit('.', _CALL_ID_PARTS - 1)
    if len(parts) != _CALL_ID_PARTS or not parts[0]:
        raise ValueError(f'call id {text!r} is not <host id>.<incarnation>.<sequence>')
    return CallId(HostId(parts[0]), Incarnation(int(parts[1])), int(parts[2]))
