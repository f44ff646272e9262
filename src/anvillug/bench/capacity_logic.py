"""Measures the control-plane logic alone, up to the planned number of members and services.

Uses no sockets and no child processes: memory is what Python allocates, times
are CPU times of one process.
"""

from __future__ import annotations

import dataclasses
import gc
import json
import time
import tracemalloc
from collections.abc import Callable

from anvillug import clock, ids
from anvillug.bench import capacity_nodes, membership_cost
from anvillug.connection import log_record
from anvillug.process import member_record, membership, service_view
from anvillug.request import choice, claim
from anvillug.version import config_state, document, fold

MEMBER_SIZES = (100, 400, 1600, 6300)
SERVICE_SIZES = (10, 100, 310)
MEAN_SERVICE_HOSTS = 20
"""Mean number of hosts of a service: 6,300 hosts with 310 services."""

_NOW = clock.Milliseconds(0)
_REPEATS = 5
_CLAIM_KEYS = 20_000
_CLAIM_LIFETIME_MS = 3_600_000.0
_MS_PER_SECOND = 1000
_PATCH_RESULTS = fold.MAX_PATCH_RESULTS


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigRow:
    """Costs at one document size; the fields are the columns."""

    services: int
    """Number of services in the document."""
    state_kb: float
    """Memory of the folded state with the results of 512 patches."""
    fold_ms: float
    """CPU time to fold a patch of one service."""
    zone_fold_ms: float
    """CPU time to fold a patch of one zone."""
    snapshot_kb: float
    """Size of the state as JSON, as in a snapshot or in a transfer to a peer."""
    write_ms: float
    """CPU time to write the state as JSON."""
    read_ms: float
    """CPU time to read and validate the state from JSON."""


@dataclasses.dataclass(frozen=True, slots=True)
class ViewRow:
    """Costs of the routing view of one service; the fields are the columns."""

    hosts: int
    """Number of hosts of the service."""
    view_us: float
    """CPU time to build the complete view."""
    subset_us: float
    """CPU time to select the subset alone."""


def member_rows() -> list[membership_cost.Row]:
    """Measure the member table at several sizes."""
    return [membership_cost.measure(size) for size in MEMBER_SIZES]


def config_rows() -> list[ConfigRow]:
    """Measure the configuration at several sizes."""
    return [_config_row(size) for size in SERVICE_SIZES]


def view_rows() -> list[ViewRow]:
    """Measure the routing view of services of several sizes."""
    return [_view_row(size) for size in (MEAN_SERVICE_HOSTS, 200, 1000)]


def membership_record_bytes() -> int:
    """Return the size of a membership record in a response of the log, in bytes."""
    member = membership_cost.make_member(1)
    return record_bytes(member_record.to_data(member))


def patch_record_bytes() -> int:
    """Return the size of a patch record in a response of the log, in bytes."""
    return record_bytes(_service_patch(1))


def record_bytes(data: object) -> int:
    """Return the size of a record with this data in a response of the log, in bytes."""
    record = {'offset': 10_000_000, 'time_ms': 1_790_000_000_000, 'data': data}
    return len(json.dumps(record))


def _config_row(services: int) -> ConfigRow:
    gc.collect()
    tracemalloc.start()
    state = make_state(services)
    gc.collect()
    allocated, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    text = json.dumps(config_state.to_json(state))
    return ConfigRow(
        services=services,
        state_kb=allocated / 1024,
        fold_ms=_cpu_ms(lambda: fold.apply(state, _record(state, _service_patch(state.number)))),
        zone_fold_ms=_cpu_ms(lambda: fold.apply(state, _record(state, _zone_patch(state)))),
        snapshot_kb=len(text) / 1024,
        write_ms=_cpu_ms(lambda: json.dumps(config_state.to_json(state))),
        read_ms=_cpu_ms(lambda: config_state.from_json(json.loads(text), 'bench')),
    )


def make_state(services: int) -> config_state.ConfigState:
    """Return a state that holds the maximum number of patch results."""
    state = fold.empty()
    first = fold.patch_record('first', 0, capacity_nodes.document_of(services), 'bench')
    state = fold.apply(state, _record(state, first))
    for _ in range(_PATCH_RESULTS):
        state = fold.apply(state, _record(state, _service_patch(state.number)))
    return state


def _record(state: config_state.ConfigState, data: object) -> log_record.LogRecord:
    return log_record.LogRecord(state.next_offset, clock.Milliseconds(0), data)


def _service_patch(base: int) -> dict[str, object]:
    change = {'services': {'service-001': {'targets': {'latency_p99_ms': 100 + base}}}}
    return fold.patch_record(f'{base:032x}', base, change, 'bench')


def _zone_patch(state: config_state.ConfigState) -> dict[str, object]:
    change = {'zones': {'zone-1': {'state': 'out'}}}
    return fold.patch_record(f'zone-{state.number}', state.number, change, 'bench')


def _view_row(hosts: int) -> ViewRow:
    service = ids.ServiceName('service-000')
    members = [
        dataclasses.replace(membership_cost.make_member(index), service=service)
        for index in range(hosts)
    ]
    table = membership.MemberTable(members[0], _NOW)
    table.merge(members, _NOW)
    state = dataclasses.replace(
        fold.empty(),
        document=document.parse(capacity_nodes.document_of(1), 'bench').ok,
    )
    local = table.local
    return ViewRow(
        hosts=hosts,
        view_us=_MS_PER_SECOND
        * _cpu_ms(lambda: service_view.build(state, table, service, local, _NOW, _never_bad)),
        subset_us=_MS_PER_SECOND
        * _cpu_ms(lambda: choice.subset(members, local.host_id, local.zone)),
    )


def _never_bad(name: ids.ServiceName, move: config_state.MoveStatus) -> bool:
    return False


def _cpu_ms(work: Callable[[], object]) -> float:
    """Return the minimum CPU time of several runs, since other programs share the machine."""
    times = []
    for _ in range(_REPEATS):
        start = time.process_time()
        work()
        times.append(time.process_time() - start)
    return min(times) * _MS_PER_SECOND


def claim_key_bytes() -> float:
    """Return the memory in bytes that a node needs per key in the claim streams that it reads."""
    entries = [_claim_entry(index) for index in range(_CLAIM_KEYS)]
    gc.collect()
    tracemalloc.start()
    claims = claim.ClaimFold(_CLAIM_LIFETIME_MS)
    # Each record is parsed from JSON, as from the log, so that it shares no strings with `entries`.
    for index, entry in enumerate(entries):
        claims.apply(index, index, json.loads(json.dumps([entry])))
    allocated, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return allocated / len(claims)


def _claim_entry(index: int) -> dict[str, object]:
    host_id = ids.HostId(f'host-{index % MEMBER_SIZES[-1]:05d}')
    incarnation = ids.Incarnation(1_790_000_000_000 + index)
    key = claim.scoped_key(ids.ServiceName('service-001'), f'{index:036x}')
    call_id = ids.CallId(host_id, incarnation, index)
    return claim.claim_entry(claim.Claim(key, call_id, host_id, incarnation))
