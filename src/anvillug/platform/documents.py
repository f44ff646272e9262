"""Decodes and encodes documents of the platform: configuration, rollouts, heartbeats and status."""

from __future__ import annotations

import dataclasses
import json
import math
from typing import NamedTuple

from anvillug import event_log, findings, ids, json_table
from anvillug.platform import tenant_documents
from anvillug.process import upstream
from anvillug.version import directives, rollout, route_table, tenants

CONFIG_KEY = 'config'
ROLLOUT_PREFIX = 'rollout/'
_EVACUATE_PREFIX = 'evacuate/'
_REVISION_BASE = 16
_MAX_FINDINGS = 20
_MS_PER_SECOND = 1000.0
# Path prefixes begin and end with a slash.
_SLASH = '/'

_KIND_BY_NAME = {
    'idempotent': route_table.RouteKind.REPEATABLE,
    'non_idempotent': route_table.RouteKind.ONCE,
    'upload': route_table.RouteKind.UPLOAD,
}
_STATE_BY_NAME = {
    'ready': upstream.UpstreamState.SERVING,
    'draining': upstream.UpstreamState.LEAVING,
}
_NAME_BY_PHASE = {
    rollout.Phase.CANARY: 'active',
    rollout.Phase.COMPLETED: 'completed',
    rollout.Phase.REVERTED: 'reverted',
}


@dataclasses.dataclass(frozen=True, slots=True)
class _DecodedConfig:
    revision: int
    routes: route_table.RouteTable


class _Path(NamedTuple):
    """Fields of a path of a virtual host, before they are checked against each other."""

    name: str
    prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float
    priority: int
    max_attempts: int
    parts: tuple[route_table.RoutePart, ...]
    is_anonymous: bool


def decode_directives(
    records: directives.Records,
    position: directives.Position,
    previous: directives.Directives,
) -> directives.Directives:
    """Decode the operator's records; see `directives.Decoder`."""
    config = _decode_config(records, previous)
    records = dict(records)
    if config is previous and CONFIG_KEY in previous.records:
        # Other nodes are served these records, and have to receive the configuration in effect,
        # which is valid in this era even if the log lacks its record.
        kept = previous.records[CONFIG_KEY]
        kept_position = kept.position._replace(era=position.era)
        records[CONFIG_KEY] = dataclasses.replace(kept, position=kept_position)
    rollouts = {}
    zones_out = set()
    for key, record in records.items():
        if key.startswith(ROLLOUT_PREFIX):
            order = _decode_rollout(key, record)
            if order is not None:
                rollouts[order.service] = order
        elif key.startswith(_EVACUATE_PREFIX):
            zones_out.add(ids.ZoneName(key.removeprefix(_EVACUATE_PREFIX)))
        elif key != CONFIG_KEY:
            event_log.warn('operator_record_ignored', key=key, reason='unknown key')
    return directives.Directives(
        position,
        config.revision,
        config.routes,
        frozenset(zones_out),
        rollouts,
        records,
    )


def decode_heartbeat(instance: str, body: bytes) -> upstream.Heartbeat | findings.Findings:
    """Decode a heartbeat.

    Args:
        instance: Instance id of the backend server, from the query of the call.
        body: JSON body.

    Returns:
        The heartbeat, or the findings if it is malformed.
    """
    place = f'heartbeat of {instance or "nobody"}'
    if not instance:
        return findings.single(place, 'the instance id is missing')
    table = json_table.decode(body, place)
    state_name = table.text('State')
    heartbeat = upstream.Heartbeat(
        instance=ids.InstanceId(instance),
        service=ids.ServiceName(table.text('Service')),
        address=table.text('Address'),
        version=ids.VersionName(table.text('Version')),
        slots=table.integer('Slots', lowest=1),
        state=_STATE_BY_NAME.get(state_name, upstream.UpstreamState.LEAVING),
        cold_ms=table.number('ColdLeftMs', 0),
        # Milliseconds since the epoch.
        started_at=ids.Incarnation(table.integer('born')),
        # Increases with each heartbeat of an instance.
        sequence=table.integer('Sequence'),
    )
    # It names no upstream to use without its zone.
    table.text('Zone')
    if table.findings:
        return table.findings
    if state_name not in _STATE_BY_NAME:
        return findings.single(
            f'{place}: State', f'{state_name!r} is not one of {sorted(_STATE_BY_NAME)}'
        )
    return heartbeat


def encode_status(status: rollout.Status) -> bytes:
    """Return the status document of a rollout."""
    document = {'State': _NAME_BY_PHASE[status.phase], 'TargetVersion': status.target_version}
    return json.dumps(document, separators=(',', ':')).encode()


def decode_status(service: ids.ServiceName, body: bytes) -> rollout.Status | None:
    """Decode the status document of a rollout; return None if it is malformed."""
    table = json_table.decode(body, f'status of the rollout of {service}')
    state, target_version = table.text('State'), table.text('TargetVersion')
    if table.findings:
        event_log.warn('status_malformed', findings=table.findings[0])
        return None
    for phase, name in _NAME_BY_PHASE.items():
        if name == state:
            return rollout.Status(service, ids.VersionName(target_version), phase)
    event_log.warn('status_malformed', service=service, state=state)
    return None


def _decode_config(
    records: directives.Records, previous: directives.Directives
) -> directives.Directives | _DecodedConfig:
    """Return the configuration, or the previous value if there is no newer valid one."""
    record = records.get(CONFIG_KEY)
    in_effect = previous.records.get(CONFIG_KEY)
    if record is None or (in_effect is not None and record.value == in_effect.value):
        return previous
    table = json_table.decode(record.value, CONFIG_KEY)
    try:
        config = _read_config(table, previous)
    except ValueError as error:
        event_log.warn('config_rejected', place=CONFIG_KEY, reason=error)
        return previous
    for finding in table.findings:
        event_log.warn('config_rejected', place=finding.place, reason=finding.message)
    if table.findings:
        return previous
    if config.revision <= previous.revision:
        event_log.warn('config_rejected', place='Version', reason='older', revision=config.revision)
        return previous
    return config


def _read_config(table: json_table.Table, previous: directives.Directives) -> _DecodedConfig:
    """Return a configuration, which is valid if the table has no findings.

    Raises:
        ValueError: If fields with valid types contradict each other.
    """
    version = table.text('Version')
    services = [_service(entry) for entry in table.tables('Services')]
    limits = _limits(table.table('Limits'))
    paths = [
        (host.text('Host'), _read_path(path))
        for host in table.tables('VirtualHosts')
        for path in host.tables('Paths')
    ]
    tenant_table = _tenants(table, previous)
    if table.findings:
        return _DecodedConfig(0, route_table.RouteTable([], [], limits))
    names = {service.name for service in services}
    routes = [_route(host, path, names) for host, path in paths]
    return _DecodedConfig(
        int(version, _REVISION_BASE),
        route_table.RouteTable(routes, services, limits, tenant_table),
    )


def _tenants(
    table: json_table.Table, previous: directives.Directives
) -> tenants.TenantTable | None:
    """Return the tenants; findings about them never contain a key."""
    in_effect = None if previous.routes is None else previous.routes.tenants
    decoded = tenant_documents.decode(table.raw('Tenants'), in_effect)
    if isinstance(decoded, tuple):
        # Tenants of another form could have a finding for each of their values.
        table.report(decoded[:_MAX_FINDINGS])
        return None
    return decoded


def _limits(table: json_table.Table) -> route_table.CallerLimits:
    return route_table.CallerLimits(
        table.integer('MaxHeaderBytes', lowest=1),
        table.integer('MaxBodyBytes', lowest=0),
        table.positive('HeaderTimeoutMs'),
        table.positive('IdleTimeoutMs'),
    )


def _service(table: json_table.Table) -> route_table.ServicePolicy:
    return route_table.ServicePolicy(
        ids.ServiceName(table.text('Name')),
        table.text('HealthPath').encode(),
        table.integer('MaxConnections'),
        table.number('ColdStartS', 0) * _MS_PER_SECOND,
        table.number('ColdPerS', math.inf, finite=False),
    )


def _read_path(table: json_table.Table) -> _Path:
    service = table.text('Service') if 'Service' in table else None
    split = table.tables('WeightedSplit') if 'WeightedSplit' in table else []
    parts = tuple(
        route_table.RoutePart(
            ids.ServiceName(part.text('Service')), part.number('Weight', finite=False)
        )
        for part in split
    )
    if service is not None:
        parts = (route_table.RoutePart(ids.ServiceName(service), 1),)
    return _Path(
        name=table.text('Name'),
        prefix=table.text('PathPrefix'),
        kind=table.text('Kind'),
        timeout_ms=table.positive('TimeoutMs'),
        target_latency_ms=table.number('TargetLatencyMs', 0, lowest=0),
        priority=table.integer('Priority', 0),
        max_attempts=table.integer('MaxAttempts', 1),
        parts=parts,
        # Whether callers need no key; without effect if there are no tenants.
        is_anonymous=table.boolean('Anonymous', default=False),
    )


def _route(host: str, path: _Path, services: set[ids.ServiceName]) -> route_table.Route:
    place = f'VirtualHosts.{host}.{path.name}'
    _check_parts(place, path.parts, services)
    if path.kind not in _KIND_BY_NAME:
        raise ValueError(f'{place}: Kind {path.kind!r} is not one of {sorted(_KIND_BY_NAME)}')
    if not (path.prefix.startswith(_SLASH) and path.prefix.endswith(_SLASH)):
        raise ValueError(f'{place}: PathPrefix must begin and end with a slash')
    return route_table.Route(
        name=ids.RouteName(path.name),
        host=host.lower().encode(),
        path_prefix=path.prefix.encode(),
        kind=_KIND_BY_NAME[path.kind],
        timeout_ms=path.timeout_ms,
        target_latency_ms=path.target_latency_ms,
        priority=path.priority,
        parts=path.parts,
        max_attempts=max(1, path.max_attempts),
        is_anonymous=path.is_anonymous,
    )


def _check_parts(
    place: str, parts: tuple[route_table.RoutePart, ...], services: set[ids.ServiceName]
) -> None:
    unknown = [part.service for part in parts if part.service not in services]
    if not parts or unknown:
        raise ValueError(f'{place}: must list configured services, unknown: {unknown}')
    invalid = [part for part in parts if part.weight < 0 or not math.isfinite(part.weight)]
    if invalid:
        weight, service = invalid[0].weight, invalid[0].service
        raise ValueError(f'{place}: Weight {weight} of {service!r} must be 0 or more, and finite')
    if not any(part.weight for part in parts):
        raise ValueError(f'{place}: at least one Weight must be above 0')


def _decode_rollout(key: str, record: directives.Record) -> directives.RolloutOrder | None:
    table = json_table.decode(record.value, key)
    order = directives.RolloutOrder(
        ids.ServiceName(table.text('Service')),
        ids.VersionName(table.text('TargetVersion')),
        table.number('DurationS') * _MS_PER_SECOND,
        record.position,
    )
    for finding in table.findings:
        event_log.warn('rollout_rejected', place=finding.place, reason=finding.message)
    return None if table.findings else order
