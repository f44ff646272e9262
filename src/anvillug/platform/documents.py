"""Decodes and encodes documents of the platform: configuration, rollouts, heartbeats and status."""

from __future__ import annotations

import dataclasses
import math
from typing import Annotated, Any

import pydantic

from anvillug import event_log, findings, ids, validation
from anvillug.platform import tenant_documents
from anvillug.process import upstream
from anvillug.version import directives, rollout, route_table, tenants

CONFIG_KEY = 'config'
ROLLOUT_PREFIX = 'rollout/'
_EVACUATE_PREFIX = 'evacuate/'
_REVISION_BASE = 16
_MS_PER_SECOND = 1000.0
_MAX_FINDINGS = 20
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


_PositiveMs = Annotated[float, pydantic.Field(gt=0, allow_inf_nan=False)]


class _Document(pydantic.BaseModel):
    """Base of the platform's documents; ignores fields that the platform adds."""

    model_config = pydantic.ConfigDict(extra='ignore', frozen=True, strict=True)


class _Service(_Document):
    Name: str
    HealthPath: str
    MaxConnections: int
    ColdStartS: float = 0
    ColdPerS: float = math.inf


class _Limits(_Document):
    MaxHeaderBytes: pydantic.PositiveInt
    MaxBodyBytes: pydantic.NonNegativeInt
    HeaderTimeoutMs: _PositiveMs
    IdleTimeoutMs: _PositiveMs


class _Weighted(_Document):
    Service: str
    Weight: float


class _Path(_Document):
    Name: str
    PathPrefix: str
    Kind: str
    TimeoutMs: _PositiveMs
    TargetLatencyMs: float = pydantic.Field(0, ge=0, allow_inf_nan=False)
    Priority: int = 0
    MaxAttempts: int = 1
    # Whether callers need no key; without effect if there are no tenants.
    Anonymous: bool = False
    # Either `Service` or `WeightedSplit` is set.
    Service: str | None = None
    WeightedSplit: list[_Weighted] | None = None


class _VirtualHost(_Document):
    Host: str
    Paths: list[_Path]


class _Config(_Document):
    Version: str
    Services: list[_Service]
    Limits: _Limits
    VirtualHosts: list[_VirtualHost]
    # Decoded by `tenant_documents`, whose findings never contain a key.
    Tenants: Any = None


class _Rollout(_Document):
    Service: str
    TargetVersion: str
    DurationS: float


class _Heartbeat(_Document):
    Service: str
    Address: str
    Zone: str
    Version: str
    Slots: int = pydantic.Field(gt=0)
    State: str
    ColdLeftMs: float = pydantic.Field(0, allow_inf_nan=False)
    # Increases with each heartbeat of an instance.
    Sequence: int
    # Start time in milliseconds since the epoch.
    born: int


class _Status(_Document):
    State: str
    TargetVersion: str


class _RejectedError(Exception):
    """Raised for a configuration that does not come into effect."""

    def __init__(self, problems: findings.Findings) -> None:
        super().__init__(findings.report(problems))
        # A configuration of another form could have a finding for each of its values.
        self.problems = problems[:_MAX_FINDINGS]


@dataclasses.dataclass(frozen=True, slots=True)
class _DecodedConfig:
    revision: int
    routes: route_table.RouteTable


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
    try:
        heartbeat = _Heartbeat.model_validate_json(body)
    except pydantic.ValidationError as error:
        return validation.findings_of(error, place)
    state = _STATE_BY_NAME.get(heartbeat.State)
    if state is None:
        return findings.single(
            f'{place}: State', f'{heartbeat.State!r} is not one of {sorted(_STATE_BY_NAME)}'
        )
    return upstream.Heartbeat(
        instance=ids.InstanceId(instance),
        service=ids.ServiceName(heartbeat.Service),
        address=heartbeat.Address,
        version=ids.VersionName(heartbeat.Version),
        slots=heartbeat.Slots,
        state=state,
        cold_ms=heartbeat.ColdLeftMs,
        started_at=ids.Incarnation(heartbeat.born),
        sequence=heartbeat.Sequence,
    )


def encode_status(status: rollout.Status) -> bytes:
    """Return the status document of a rollout."""
    document = _Status(State=_NAME_BY_PHASE[status.phase], TargetVersion=status.target_version)
    return document.model_dump_json().encode()


def decode_status(service: ids.ServiceName, body: bytes) -> rollout.Status | None:
    """Decode the status document of a rollout; return None if it is malformed."""
    try:
        document = _Status.model_validate_json(body)
    except pydantic.ValidationError as error:
        place = f'status of the rollout of {service}'
        event_log.warn('status_malformed', findings=validation.findings_of(error, place)[0])
        return None
    for phase, name in _NAME_BY_PHASE.items():
        if name == document.State:
            return rollout.Status(service, ids.VersionName(document.TargetVersion), phase)
    event_log.warn('status_malformed', service=service, state=document.State)
    return None


def _decode_config(
    records: directives.Records, previous: directives.Directives
) -> directives.Directives | _DecodedConfig:
    """Return the configuration, or the previous value if there is no newer valid one."""
    record = records.get(CONFIG_KEY)
    in_effect = previous.records.get(CONFIG_KEY)
    if record is None or (in_effect is not None and record.value == in_effect.value):
        return previous
    try:
        document = _Config.model_validate_json(record.value)
        revision = int(document.Version, _REVISION_BASE)
        tenant_table = _tenants(document, previous)
        routes = _routes(document, tenant_table)
    except _RejectedError as error:
        for finding in error.problems:
            event_log.warn('config_rejected', place=finding.place, reason=finding.message)
        return previous
    except pydantic.ValidationError as error:
        for finding in validation.findings_of(error, CONFIG_KEY):
            event_log.warn('config_rejected', place=finding.place, reason=finding.message)
        return previous
    except ValueError as error:
        event_log.warn('config_rejected', place=CONFIG_KEY, reason=error)
        return previous
    if revision <= previous.revision:
        event_log.warn('config_rejected', place='Version', reason='older', revision=revision)
        return previous
    return _DecodedConfig(revision, routes)


def _tenants(document: _Config, previous: directives.Directives) -> tenants.TenantTable | None:
    in_effect = None if previous.routes is None else previous.routes.tenants
    decoded = tenant_documents.decode(document.Tenants, in_effect)
    if isinstance(decoded, tuple):
        raise _RejectedError(decoded)
    return decoded


def _routes(document: _Config, tenant_table: tenants.TenantTable | None) -> route_table.RouteTable:
    services = [_service(service) for service in document.Services]
    names = {service.name for service in services}
    routes = [
        _route(host.Host, path, names) for host in document.VirtualHosts for path in host.Paths
    ]
    limits = route_table.CallerLimits(
        document.Limits.MaxHeaderBytes,
        document.Limits.MaxBodyBytes,
        document.Limits.HeaderTimeoutMs,
        document.Limits.IdleTimeoutMs,
    )
    return route_table.RouteTable(routes, services, limits, tenant_table)


def _service(service: _Service) -> route_table.ServicePolicy:
    return route_table.ServicePolicy(
        ids.ServiceName(service.Name),
        service.HealthPath.encode(),
        service.MaxConnections,
        service.ColdStartS * _MS_PER_SECOND,
        service.ColdPerS,
    )


def _route(host: str, path: _Path, services: set[ids.ServiceName]) -> route_table.Route:
    place = f'VirtualHosts.{host}.{path.Name}'
    parts = _route_parts(place, path, services)
    if path.Kind not in _KIND_BY_NAME:
        raise ValueError(f'{place}: Kind {path.Kind!r} is not one of {sorted(_KIND_BY_NAME)}')
    if not (path.PathPrefix.startswith(_SLASH) and path.PathPrefix.endswith(_SLASH)):
        raise ValueError(f'{place}: PathPrefix must begin and end with a slash')
    return route_table.Route(
        name=ids.RouteName(path.Name),
        host=host.lower().encode(),
        path_prefix=path.PathPrefix.encode(),
        kind=_KIND_BY_NAME[path.Kind],
        timeout_ms=path.TimeoutMs,
        target_latency_ms=path.TargetLatencyMs,
        priority=path.Priority,
        parts=parts,
        max_attempts=max(1, path.MaxAttempts),
        is_anonymous=path.Anonymous,
    )


def _route_parts(
    place: str, path: _Path, services: set[ids.ServiceName]
) -> tuple[route_table.RoutePart, ...]:
    parts = tuple(
        route_table.RoutePart(ids.ServiceName(part.Service), part.Weight)
        for part in path.WeightedSplit or ()
    )
    if path.Service is not None:
        parts = (route_table.RoutePart(ids.ServiceName(path.Service), 1),)
    unknown = [part.service for part in parts if part.service not in services]
    if not parts or unknown:
        raise ValueError(f'{place}: must list configured services, unknown: {unknown}')
    invalid = [part for part in parts if part.weight < 0 or not math.isfinite(part.weight)]
    if invalid:
        weight, service = invalid[0].weight, invalid[0].service
        raise ValueError(f'{place}: Weight {weight} of {service!r} must be 0 or more, and finite')
    if not any(part.weight for part in parts):
        raise ValueError(f'{place}: at least one Weight must be above 0')
    return parts


def _decode_rollout(key: str, record: directives.Record) -> directives.RolloutOrder | None:
    try:
        order: Any = _Rollout.model_validate_json(record.value)
    except pydantic.ValidationError as error:
        for finding in validation.findings_of(error, key):
            event_log.warn('rollout_rejected', place=finding.place, reason=finding.message)
        return None
    return directives.RolloutOrder(
        ids.ServiceName(order.Service),
        ids.VersionName(order.TargetVersion),
        order.DurationS * _MS_PER_SECOND,
        record.position,
    )
