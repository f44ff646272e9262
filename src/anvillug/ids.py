"""Identifier types used by all modules."""

from __future__ import annotations

import dataclasses
from typing import NewType

ServiceName = NewType('ServiceName', str)
ZoneName = NewType('ZoneName', str)
RegionName = NewType('RegionName', str)
HostId = NewType('HostId', str)
Incarnation = NewType('Incarnation', int)
"""Start time of a process in milliseconds since the Unix epoch; increases with each start."""
VersionName = NewType('VersionName', str)
RouteName = NewType('RouteName', str)
ConfigNumber = NewType('ConfigNumber', int)
InstanceId = NewType('InstanceId', str)
"""Id of one running instance of a backend server; each start has a new one."""
LogOffset = NewType('LogOffset', int)
Fingerprint = NewType('Fingerprint', str)
IdempotencyKey = NewType('IdempotencyKey', str)
TenantName = NewType('TenantName', str)
"""Name of a customer whose callers identify themselves with keys; empty if there is none."""

_CALL_ID_PARTS = 3


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class CallId:
    """Id of a call that an entry side has sent.

    The wire form is `<host id>.<incarnation>.<sequence>`.
    """

    host_id: HostId
    """Host of the entry side that sent the call."""
    incarnation: Incarnation
    """Incarnation of that entry side's process."""
    sequence: int
    """Number of the call in that incarnation, starting at 1."""

    def __str__(self) -> str:
        return f'{self.host_id}.{self.incarnation}.{self.sequence}'


def parse_call_id(text: str) -> CallId:
    """Parse a call id from its wire form.

    Args:
        text: `<host id>.<incarnation>.<sequence>`; the host id may contain dots.

    Returns:
        The call id.

    Raises:
        ValueError: If the text is malformed.
    """
    parts = text.rsplit('.', _CALL_ID_PARTS - 1)
    if len(parts) != _CALL_ID_PARTS or not parts[0]:
        raise ValueError(f'call id {text!r} is not <host id>.<incarnation>.<sequence>')
    return CallId(HostId(parts[0]), Incarnation(int(parts[1])), int(parts[2]))
