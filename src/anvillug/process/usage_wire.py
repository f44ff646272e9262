"""Encodes and decodes the counts that nodes send to the holder of the duty."""

from __future__ import annotations

from typing import Any

import msgpack

from anvillug import ids, wire_message, wire_value
from anvillug.process import usage_counts

PATH = b'/-/usage'
"""Path of the request that sends counts to the holder."""


class MalformedError(Exception):
    """A message with counts that can't be decoded."""


def pack(process: usage_counts.Process, counts: usage_counts.CountsByWindow) -> bytes:
    """Encode counts of a process."""
    return msgpack.packb([*process, list(counts.items())])


def unpack(content: bytes) -> tuple[usage_counts.Process, usage_counts.CountsByWindow]:
    """Decode counts of a process.

    Raises:
        MalformedError: If the message is malformed.
    """
    try:
        host_id, incarnation, rows = wire_message.unpack(content)
        process = (
            ids.HostId(wire_value.text(host_id, 'host')),
            ids.Incarnation(wire_value.integer(incarnation, 'incarnation')),
        )
        return process, {_window(number): tenant_counts(counts) for number, counts in rows}
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise MalformedError(str(error)) from error


def tenant_counts(content: Any) -> usage_counts.TenantCounts:
    """Return counts by tenant; raises ValueError if they are malformed."""
    return {
        ids.TenantName(wire_value.text(tenant, 'tenant')): wire_value.natural(count, 'count')
        for tenant, count in wire_value.mapping(content, 'counts').items()
    }


def _window(number: Any) -> usage_counts.Window:
    return usage_counts.Window(wire_value.natural(number, 'window'))
