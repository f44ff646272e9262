"""JSON form of member records in the `membership` stream."""

from __future__ import annotations

import dataclasses
import typing

from anvillug import ids
from anvillug.process import membership


def to_data(member: membership.Member) -> dict[str, object]:
    """Convert a record to JSON data."""
    return {**dataclasses.asdict(member), 'state': member.state.value}


def from_data(data: typing.Mapping[str, typing.Any]) -> membership.Member:
    """Parse a record from JSON data.

    Args:
        data: Fields of `Member` by name; unknown fields are ignored.

    Returns:
        The record.

    Raises:
        ValueError: If a field is missing or has another type.
    """
    try:
        return membership.Member(
            host_id=ids.HostId(str(data['host_id'])),
            zone=ids.ZoneName(str(data['zone'])),
            region=ids.RegionName(str(data['region'])),
            incarnation=ids.Incarnation(int(data['incarnation'])),
            sequence=int(data['sequence']),
            service=ids.ServiceName(str(data['service'])),
            version=ids.VersionName(str(data['version'])),
            peer_address=str(data['peer_address']),
            control_address=str(data['control_address']),
            state=membership.MemberState(data['state']),
        )
    except (KeyError, TypeError) as error:
        raise ValueError(f'member record is malformed: {error!r}') from error
