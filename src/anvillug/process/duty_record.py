"""The record that names the holder of the duty and fixes its reports, and how it may change.

Each record is appended on the condition that no other was appended since the last read. So the
records of one era form one sequence, in which each node decides from the one before.
"""

from __future__ import annotations

import dataclasses
import json
import math
from collections.abc import Mapping
from typing import NewType

from anvillug import ids, wire_value
from anvillug.process import usage_counts, usage_wire
from anvillug.version import directives

Token = NewType('Token', int)
"""Number that increases with each change of the holder."""

# Offsets of one era lie below this, so that tokens increase with the era first.
_TOKENS_PER_ERA = 2**40


@dataclasses.dataclass(frozen=True, slots=True)
class DutyRecord:
    """State of the duty."""

    host_id: ids.HostId
    """Host of the holder."""
    incarnation: ids.Incarnation
    """Process of the holder."""
    token: Token
    """Token of the holder."""
    since_ms: int
    """When it became the holder, in milliseconds since the Unix epoch."""
    era: int
    """Era of the log that the record was written for."""
    next_window: usage_counts.Window
    """First window whose report is not fixed; reports of earlier windows never change."""
    pending: Mapping[usage_counts.Window, usage_counts.TenantCounts]
    """Reports that are fixed, and that were not known to be accepted."""
    is_released: bool = False
    """Whether the holder has ended its acts, so that another node need not await its lease."""

    @property
    def process(self) -> usage_counts.Process:
        """Process of the holder."""
        return (self.host_id, self.incarnation)


def encode(record: DutyRecord) -> bytes:
    """Encode a record."""
    fields = {field.name: getattr(record, field.name) for field in dataclasses.fields(record)}
    fields['pending'] = list(record.pending.items())
    return json.dumps(fields, separators=(',', ':')).encode()


def decode(content: bytes) -> DutyRecord:
    """Decode a record.

    Raises:
        ValueError: If the record is malformed.
    """
    try:
        fields = wire_value.mapping(json.loads(content), 'record')
        numbers = {name: wire_value.natural(fields[name], name) for name in _NUMBERS}
        host_id = ids.HostId(wire_value.text(fields['host_id'], 'host_id'))
        pending = {
            usage_counts.Window(wire_value.natural(window, 'window')): (
                usage_wire.tenant_counts(counts)
            )
            for window, counts in fields['pending']
        }
        # Nodes of older releases don't write it, and take no notice of it.
        is_released = wire_value.boolean(fields.get('is_released', False), 'is_released')
    except (LookupError, TypeError) as error:
        raise ValueError(f'duty record: {error!r}') from error
    return DutyRecord(host_id=host_id, pending=pending, is_released=is_released, **numbers)


def token_at(end: directives.Position) -> Token:
    """Return the token of a holder whose first record is appended at the end of the topic.

    Offsets are never used twice in an era, so that no two holders have the same token, even if a
    record is overwritten by one that was written for another era.
    """
    return Token(end.era * _TOKENS_PER_ERA + end.offset + 1)


def take_over(
    previous: DutyRecord | None,
    end: directives.Position,
    process: usage_counts.Process,
    now_ms: float,
    window_ms: float,
    late_ms: float,
) -> DutyRecord:
    """Return the first record of a new holder.

    Args:
        previous: Newest record; None if there is none.
        end: End of the topic, at which the record will be appended.
        process: The new holder.
        now_ms: Time of day in milliseconds since the Unix epoch.
        window_ms: Length of a window in milliseconds.
        late_ms: Time after the end of a window until which its report is of use.
    """
    host_id, incarnation = process
    pending: Mapping[usage_counts.Window, usage_counts.TenantCounts] = {}
    first_due = usage_counts.window_at(now_ms - late_ms, window_ms)
    if previous is not None and previous.era == end.era:
        next_window = max(previous.next_window, first_due)
        pending = previous.pending
    elif previous is None and not end.offset and not end.era:
        next_window = first_due
    else:
        # Records that a restored log has lost may have fixed the report of any window that ended.
        next_window = usage_counts.window_at(now_ms, window_ms)
        if previous is not None:
            next_window = max(next_window, previous.next_window)
    return DutyRecord(
        host_id=host_id,
        incarnation=incarnation,
        token=token_at(end),
        since_ms=math.floor(now_ms),
        era=end.era,
        next_window=usage_counts.Window(next_window),
        pending=pending,
    )


def renew(
    record: DutyRecord,
    fixed: Mapping[usage_counts.Window, usage_counts.TenantCounts],
    settled: frozenset[usage_counts.Window],
) -> DutyRecord:
    """Return the next record of the same holder.

    Args:
        record: Its newest record.
        fixed: Reports of windows that are fixed by the new record.
        settled: Windows whose reports were accepted or are of no use any more.

    Raises:
        ValueError: If the report of a window is fixed already.
    """
    if any(window < record.next_window for window in fixed):
        raise ValueError(f'reports before window {record.next_window} are fixed')
    pending = {
        window: counts
        for window, counts in {**record.pending, **fixed}.items()
        if window not in settled
    }
    next_window = usage_counts.Window(max([record.next_window, *(window + 1 for window in fixed)]))
    return dataclasses.replace(record, next_window=next_window, pending=pending)


def release(record: DutyRecord, settled: frozenset[usage_counts.Window]) -> DutyRecord:
    """Return the last record of a holder that hands the duty over; see `renew`.

    Reports that are not settled stay fixed, and the next holder repeats them.
    """
    return dataclasses.replace(renew(record, {}, settled), is_released=True)


_NUMBERS = ('incarnation', 'token', 'since_ms', 'era', 'next_window')
