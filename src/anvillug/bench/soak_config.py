"""Configurations of a soak: the routes of its traffic, and changes of them."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Mapping, Sequence

from anvillug.bench import soak_classes

_MAX_CONNECTIONS = 260
_MAX_BODY_BYTES = 64 << 20
_IDLE_TIMEOUT_MS = 15000


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """How a configuration differs from the usual one."""

    dropped: frozenset[str] = frozenset()
    """Names of routes that it lacks."""
    moved: Mapping[str, str] = dataclasses.field(default_factory=dict)
    """Services by the names of routes that it moves."""
    max_connections: int = _MAX_CONNECTIONS
    """Connections that callers may open, by service."""
    max_body_bytes: int = _MAX_BODY_BYTES
    """Largest body of a request."""
    idle_timeout_ms: int = _IDLE_TIMEOUT_MS
    """Time that a connection of a caller may stay idle."""


def services_by_route(
    classes: Iterable[soak_classes.RequestClass], changes: Changes
) -> dict[str, str]:
    """Return the service of each route that a configuration has."""
    return {
        each.route: changes.moved.get(each.route, each.service)
        for each in classes
        if each.route not in changes.dropped
    }


def document(
    classes: Sequence[soak_classes.RequestClass],
    services: Iterable[str],
    version: int,
    changes: Changes,
) -> dict[str, object]:
    """Return a configuration; versions differ in the timeout of the routes besides."""
    service_by_route = services_by_route(classes, changes)
    paths = [
        {
            'Name': each.route,
            'PathPrefix': f'/{each.route}/',
            'Kind': each.kind,
            'Service': service_by_route[each.route],
            'TimeoutMs': each.deadline_ms + version % 2,
            'TargetLatencyMs': each.target_ms,
            'Priority': 1,
            'MaxAttempts': 2,
        }
        for each in classes
        if each.route in service_by_route
    ]
    return {
        'Version': f'{version:08x}',
        'Services': [
            {
                'Name': name,
                'HealthPath': '/health',
                'MaxConnections': changes.max_connections,
                'ColdPerS': 43,
            }
            for name in sorted(services)
        ],
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': changes.max_body_bytes,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': changes.idle_timeout_ms,
        },
        'VirtualHosts': [{'Host': soak_classes.HOST, 'Paths': paths}],
    }
