"""Load of the platform log at the planned size: appends and reads of each kind."""

from __future__ import annotations

import dataclasses
import random
import statistics
from collections.abc import Sequence
from typing import Any

from twisted.internet import defer

from anvillug import clock
from anvillug.bench import capacity_logic, membership_cost, processes
from anvillug.connection import log_client
from anvillug.process import claim_coordinator, membership, membership_log
from anvillug.request import claim

NODES = 6300
ZONES = 7
CALLS_PER_SECOND = 880_000
CHANGES_PER_DAY = 28_000
REPLACEMENTS_PER_DAY = 1_000
APPEND_BUDGET_PER_SECOND = 400
"""Append limit of the platform log, specified as "several hundred"; default of the log stand-in."""
KEYED_SHARES = (0.0001, 0.0004, 0.001, 0.01)
"""Shares of calls with an idempotency key for which the appends are computed."""

_SECONDS_PER_DAY = 86_400
_RECORDS_PER_REPLACEMENT = 3  # STARTING and SERVING of the new host, LEAVING of the old one
_RECORDS_PER_RETURN = 2  # STARTING and SERVING
_MS_PER_SECOND = 1000
# Limits 16 streams to 267 appends per second, whatever the share of calls with a key.
_PLANNED_BATCH_MS = 60
_KB = 1024
# Request and response of a read without the record; see `capacity_control`.
_READ_OVERHEAD_BYTES = 300
_APPEND_TIMEOUT_S = 120
_POLL_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class AppendLoad:
    """Appends of one kind; the fields are the columns."""

    kind: str
    """Kind of records appended."""
    appends_s: float
    """Appends per second."""
    budget_percent: float
    """Share of `APPEND_BUDGET_PER_SECOND`."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadLoad:
    """Reads of one stream; the fields are the columns."""

    stream: str
    """Stream and the nodes that follow it."""
    readers: int
    """Number of nodes that follow the stream by long polling."""
    answers_s: float
    """Responses of the log per second to all readers together."""
    log_mb_s: float
    """Bytes that the log sends per second."""
    reader_kb_s: float
    """Bytes per reader and second."""


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneReturn:
    """Append times when all hosts of a zone return at the same time."""

    hosts: int
    """Number of hosts of the zone."""
    last_append_ms: float
    """Time until the record of the last host was in the log."""
    median_append_ms: float
    """Median time until a host's record was in the log."""


def append_rows() -> list[AppendLoad]:
    """Compute the appends per second of each kind."""
    per_day = {
        'configuration patches': CHANGES_PER_DAY,
        'membership: replacements': _RECORDS_PER_REPLACEMENT * REPLACEMENTS_PER_DAY,
        'verdicts and rollout results, if every change were a rollout': CHANGES_PER_DAY,
    }
    renewals_s = NODES * _MS_PER_SECOND / membership_log.RENEWAL_MS
    rows = [_append_row('membership: renewals', renewals_s)]
    rows.extend(_append_row(kind, count / _SECONDS_PER_DAY) for kind, count in per_day.items())
    batch_ms = claim_coordinator.CoordinatorSettings().batch_ms
    for keyed_share in KEYED_SHARES:
        kind = f'claims, {keyed_share:.2%} of calls with a key'
        per_node_s = claim_appends(keyed_share, NODES * claim.PARTITIONS, batch_ms)
        per_stream_s = claim_appends(keyed_share, claim.PARTITIONS, _PLANNED_BATCH_MS)
        rows.append(_append_row(f'{kind}, batched per node', per_node_s))
        rows.append(_append_row(f'{kind}, one batcher per stream (planned)', per_stream_s))
    return rows


def claim_appends(keyed_share: float, batches: int, interval_ms: float) -> float:
    """Return the claim appends per second of all nodes.

    Claims arrive independently of each other. The first claim opens a batch; all
    claims that arrive within the interval are written in the same append.

    Args:
        keyed_share: Share of calls with a key.
        batches: Number of concurrent batches: batching processes times streams.
        interval_ms: Time for which a batch stays open.
    """
    claims_s = CALLS_PER_SECOND * keyed_share / batches
    return batches * claims_s / (1 + claims_s * clock.to_seconds(interval_ms))


def read_rows() -> list[ReadLoad]:
    """Compute the reads of each stream."""
    renewals_s = NODES * _MS_PER_SECOND / membership_log.RENEWAL_MS
    replaced_s = _RECORDS_PER_REPLACEMENT * REPLACEMENTS_PER_DAY / _SECONDS_PER_DAY
    member_bytes = capacity_logic.membership_record_bytes()
    patches_s = CHANGES_PER_DAY / _SECONDS_PER_DAY
    patch_bytes = capacity_logic.patch_record_bytes()
    relays = ZONES * membership_log.RELAYS_PER_ZONE
    members_s = renewals_s + replaced_s
    return [
        _read_row('membership, every node follows', NODES, members_s, member_bytes),
        _read_row('membership, relays follow (built)', relays, members_s, member_bytes),
        _read_row('configuration, every node follows (built)', NODES, patches_s, patch_bytes),
        _read_row('configuration, relays follow (planned)', relays, patches_s, patch_bytes),
    ]


async def zone_return(reactor: Any, hosts: int, seed: int) -> ZoneReturn:
    """Append the records of all hosts of a zone to a log stand-in at the same time.

    Args:
        reactor: Twisted reactor.
        hosts: Number of hosts of the zone.
        seed: Seed of the jitter of retries.

    Returns:
        Times until the records were in the log.

    Raises:
        TimeoutError: If the log did not contain all records in time.
    """
    time_source = clock.SystemClock()
    rng = random.Random(seed)
    with processes.group() as group:
        options = ['--append-limit-per-second', str(APPEND_BUDGET_PER_SECOND)]
        log = processes.start(['standin', 'log', *options], group)
        address = log.wait_for_event()['address']
        client = log_client.HttpLogClient(reactor, address)
        begin = time_source.wall()
        for index in range(hosts):
            table = membership.MemberTable(membership_cost.make_member(index), time_source.now())
            membership_log.MembershipLog(client, table, reactor, time_source, rng).publish()
        times = await _append_times(reactor, client, hosts)
        await client.close()
    waits = [time_ms - begin for time_ms in times]
    return ZoneReturn(hosts, max(waits), statistics.median(waits))


async def _append_times(
    reactor: Any,
    client: log_client.HttpLogClient,
    hosts: int,
) -> Sequence[float]:
    end = reactor.seconds() + _APPEND_TIMEOUT_S
    while reactor.seconds() < end:
        page = await client.read(membership_log.MEMBERSHIP_STREAM, 0, 4 * hosts, 0)
        first_time_by_host: dict[str, float] = {}
        for record in page.records:
            first_time_by_host.setdefault(record.data['host_id'], record.time_ms)
        if len(first_time_by_host) == hosts:
            return tuple(first_time_by_host.values())
        pause: defer.Deferred[None] = defer.Deferred()
        reactor.callLater(_POLL_S, pause.callback, None)
        await pause
    raise TimeoutError(f'timed out waiting for the records of {hosts} hosts in the log')


def _append_row(kind: str, appends_s: float) -> AppendLoad:
    return AppendLoad(kind, appends_s, 100 * appends_s / APPEND_BUDGET_PER_SECOND)


def _read_row(stream: str, readers: int, records_s: float, record_bytes: int) -> ReadLoad:
    """Return the load of long polls whose responses contain one record each."""
    reader_bytes = records_s * (record_bytes + _READ_OVERHEAD_BYTES)
    return ReadLoad(
        stream,
        readers,
        readers * records_s,
        readers * reader_bytes / _KB / _KB,
        reader_bytes / _KB,
    )
