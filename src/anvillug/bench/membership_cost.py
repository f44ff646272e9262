"""Measures the cost of membership per member: memory, CPU time and bytes of messages.

Run with `python -m anvillug.bench.membership_cost`. Each row shows one table size;
the last row shows the slopes from the smallest to the largest size.
"""

from __future__ import annotations

import dataclasses
import gc
import time
import tracemalloc
from collections.abc import Callable

from anvillug import clock, ids
from anvillug.connection import control_messages
from anvillug.process import gossip, membership

SIZES = (100, 400, 1600, 6300)
ZONES = 7
SERVICES = 310
REPEATS = 5
NOW = clock.Milliseconds(0)

_NS_PER_US = 1_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Costs at one table size; the fields are the columns."""

    members: int
    """Number of members in the table."""
    table_bytes: float
    """Memory of the table with its records."""
    merge_us: float
    """CPU time to merge all records into an empty table."""
    bucket_us: float
    """CPU time to compare all bucket digests and collect the records of one differing bucket."""
    usable_us: float
    """CPU time of `usable` for a service after a change."""
    exchange_us: float
    """CPU time to encode and decode an exchange in which one member changed."""
    exchange_bytes: float
    """Bytes of that exchange, request and reply."""
    pull_us: float
    """CPU time to collect and encode a full pull, limited to `gossip.PULL_LIMIT` records."""
    pull_bytes: float
    """Bytes of that pull."""


def make_member(index: int, sequence: int = 1) -> membership.Member:
    """Return a member with names of realistic length."""
    return membership.Member(
        host_id=ids.HostId(f'host-{index:05d}.rack-{index % 300:03d}'),
        zone=ids.ZoneName(f'region-{index % 3}-zone-{index % ZONES}'),
        region=ids.RegionName(f'region-{index % 3}'),
        incarnation=ids.Incarnation(1_790_000_000_000 + index),
        sequence=sequence,
        service=ids.ServiceName(f'service-{index % SERVICES}'),
        version=ids.VersionName('v2026.11.3'),
        peer_address=f'10.{index % 7}.{index // 250}.{index % 250}:7001',
        control_address=f'10.{index % 7}.{index // 250}.{index % 250}:7002',
        state=membership.MemberState.SERVING,
    )


def measure(size: int) -> Row:
    """Measure one table size.

    Args:
        size: Number of members in the table.

    Returns:
        The costs; times are the minimum of several runs, since other programs share the machine.
    """
    gc.collect()
    tracemalloc.start()
    table = _make_table([make_member(index) for index in range(size)])
    gc.collect()
    table_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    records = [make_member(index) for index in range(size)]
    service = records[0].service
    empty = membership.MemberTable(make_member(0), NOW)
    digests_with_one_differing = (0, *table.bucket_digests()[1:])
    pull = _make_news(
        table,
        tuple(table.members_in_differing_buckets(empty.bucket_digests(), gossip.PULL_LIMIT)[0]),
    )
    exchange = _make_news(table, (table.local, records[-1]))
    return Row(
        members=size,
        table_bytes=table_bytes,
        merge_us=_cpu_us(lambda: _make_table(records)),
        bucket_us=_cpu_us(
            lambda: table.members_in_differing_buckets(digests_with_one_differing, 100)
        ),
        usable_us=_cpu_us(lambda: _usable_after_change(table, service)),
        exchange_us=2 * _cpu_us(lambda: _round_trip(exchange)),
        exchange_bytes=2 * _encoded_bytes(exchange),
        pull_us=_cpu_us(lambda: _encode_pull(table, empty)),
        pull_bytes=_encoded_bytes(pull),
    )


def format_table(rows: list[Row]) -> str:
    """Return the rows as text, with a last row of the slopes per member."""
    names = [field.name for field in dataclasses.fields(Row)]
    lines = [' '.join(f'{name:>14}' for name in names)]
    for row in rows:
        lines.append(' '.join(f'{value:>14.1f}' for value in dataclasses.astuple(row)))
    first, last = dataclasses.astuple(rows[0]), dataclasses.astuple(rows[-1])
    added_members = last[0] - first[0]
    slopes = [(end - start) / added_members for start, end in zip(first[1:], last[1:], strict=True)]
    lines.append(' '.join([f'{"per member":>14}', *(f'{slope:>14.3f}' for slope in slopes)]))
    return '\n'.join(lines)


def main() -> None:
    """Print the table."""
    print(format_table([measure(size) for size in SIZES]))


def _make_table(records: list[membership.Member]) -> membership.MemberTable:
    table = membership.MemberTable(records[0], NOW)
    table.merge(records, NOW)
    return table


def _usable_after_change(table: membership.MemberTable, service: ids.ServiceName) -> None:
    table.update_local(NOW)
    table.usable(service)


def _make_news(
    table: membership.MemberTable, members: tuple[membership.Member, ...]
) -> control_messages.News:
    return control_messages.News(
        sender=table.local.host_id,
        incarnation=table.local.incarnation,
        config_number=ids.ConfigNumber(1),
        digest=table.digest(),
        members=members,
    )


def _encoded_bytes(news: control_messages.News) -> int:
    return control_messages.request_to_wire(control_messages.Request(news)).ByteSize()


def _round_trip(news: control_messages.News) -> None:
    message = control_messages.request_to_wire(control_messages.Request(news))
    data = message.SerializeToString()
    control_messages.request_from_wire(type(message).FromString(data))


def _encode_pull(table: membership.MemberTable, empty: membership.MemberTable) -> None:
    records, _ = table.members_in_differing_buckets(empty.bucket_digests(), gossip.PULL_LIMIT)
    message = control_messages.reply_to_wire(
        control_messages.Reply(_make_news(table, tuple(records)))
    )
    message.SerializeToString()


def _cpu_us(work: Callable[[], object]) -> float:
    times = []
    for _ in range(REPEATS):
        start = time.process_time_ns()
        work()
        times.append(time.process_time_ns() - start)
    return min(times) / _NS_PER_US


if __name__ == '__main__':
    main()
