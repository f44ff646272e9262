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
"""What "several hundred" is taken to be, as in the log stand-in."""
KEYED_SHARES = (0.0001, 0.0004, 0.001, 0.01)
"""Shares of calls with an idempotency key."""

_SECONDS_PER_DAY = 86_400
_RECORDS_PER_REPLACEMENT = 3  # STARTING, SERVING, and LEAVING of the one replaced
_RECORDS_PER_RETURN = 2  # STARTING and SERVING
_MS_PER_SECOND = 1000
# 16 streams then take at most 267 appends a second, whatever the share of keyed calls.
_PLANNED_BATCH_MS = 60
_KB = 1024
# Heads of a read with its answer: measured by `capacity_control`, without the record.
_READ_HEAD_BYTES = 300
_LOG_READY_TIMEOUT_S = 120
_POLL_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class AppendLoad:
    """Appends of one kind; the fields are the columns."""

    kind: str
    """What is appended."""
    appends_s: float
    """Appends per second."""
    budget_percent: float
    """Share of what the log accepts."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadLoad:
    """Reads of one stream; the fields are the columns."""

    stream: str
    """Stream, and who follows it."""
    readers: int
    """Nodes that follow the stream by long poll."""
    answers_s: float
    """Answers of the log per second, all readers together."""
    log_mb_s: float
    """Bytes that the log sends per second."""
    reader_kb_s: float
    """Bytes per reader and second."""


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneReturn:
    """A zone whose hosts all come back at once."""

    hosts: int
    """Hosts of the zone."""
    last_append_ms: float
    """Time until the record of the last host was in the log."""
    median_append_ms: float
    """Median time until a host's record was in the log."""


def append_rows() -> list[AppendLoad]:
    """Work out the appends per second of each kind."""
    per_day = {
        'configuration patches': CHANGES_PER_DAY,
        'membership: replacements': _RECORDS_PER_REPLACEMENT * REPLACEMENTS_PER_DAY,
        'verdicts and move results, were every change a rollout': CHANGES_PER_DAY,
    }
    renewals_s = NODES * _MS_PER_SECOND / membership_log.RENEWAL_MS
    rows = [_append_row('membership: renewals', renewals_s)]
    rows.extend(_append_row(kind, count / _SECONDS_PER_DAY) for kind, count in per_day.items())
    batch_ms = claim_coordinator.CoordinatorSettings().batch_ms
    for keyed in KEYED_SHARES:
        kind = f'claims, {keyed:.2%} of calls with a key'
        built_s = claim_appends(keyed, NODES * claim.PARTITIONS, batch_ms)
        planned_s = claim_appends(keyed, claim.PARTITIONS, _PLANNED_BATCH_MS)
        rows.append(_append_row(f'{kind}, batched per node', built_s))
        rows.append(_append_row(f'{kind}, one batcher per stream (planned)', planned_s))
    return rows


def claim_appends(keyed: float, batches: int, interval_ms: float) -> float:
    """Return the claim appends per second of all nodes.

    Claims arrive independently of each other. The first claim of a batch opens an
    interval; those that come within it ride along in one append.

    Args:
        keyed: Share of calls with a key.
        batches: Batches that are open side by side: batching processes times streams.
        interval_ms: Time for which a batch stays open.
    """
    claims_s = CALLS_PER_SECOND * keyed / batches
    return batches * claims_s / (1 + claims_s * clock.to_seconds(interval_ms))


def read_rows() -> list[ReadLoad]:
    """Work out the reads of each stream."""
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
    """Let the hosts of a zone append their records at once to a log stand-in.

    Args:
        reactor: Twisted reactor.
        hosts: Hosts of the zone.
        seed: Seed of the jitter of retries.

    Returns:
        Times until the records were in the log.

    Raises:
        TimeoutError: If some records were not in the log in time.
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
    waits = [each - begin for each in times]
    return ZoneReturn(hosts, max(waits), statistics.median(waits))


async def _append_times(
    reactor: Any,
    client: log_client.HttpLogClient,
    hosts: int,
) -> Sequence[float]:
    end = reactor.seconds() + _LOG_READY_TIMEOUT_S
    while reactor.seconds() < end:
        page = await client.read(membership_log.MEMBERSHIP_STREAM, 0, 4 * hosts, 0)
        first_by_host: dict[str, float] = {}
        for record in page.records:
            first_by_host.setdefault(record.data['host_id'], record.time_ms)
        if len(first_by_host) == hosts:
            return tuple(first_by_host.values())
        pause: defer.Deferred[None] = defer.Deferred()
        reactor.callLater(_POLL_S, pause.callback, None)
        await pause
    raise TimeoutError(f'records of {hosts} hosts are not in the log')


def _append_row(kind: str, appends_s: float) -> AppendLoad:
    return AppendLoad(kind, appends_s, 100 * appends_s / APPEND_BUDGET_PER_SECOND)


def _read_row(stream: str, readers: int, records_s: float, record_bytes: int) -> ReadLoad:
    """Return the load of long polls, of which each is answered by one record."""
    reader_bytes = records_s * (record_bytes + _READ_HEAD_BYTES)
    return ReadLoad(
        stream,
        readers,
        readers * records_s,
        readers * reader_bytes / _KB / _KB,
        reader_bytes / _KB,
    )
