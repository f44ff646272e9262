"""Routes by host and path prefix, and the services that they lead to."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Iterable, Mapping

from anvillug import ids

_SLASH = b'/'


class RouteKind(enum.Enum):
    """What may be repeated on a route."""

    REPEATABLE = 'repeatable'
    """Requests may run more than once."""
    ONCE = 'once'
    """A request runs at most once."""
    UPLOAD = 'upload'
    """Like `ONCE`, with large bodies."""


@dataclasses.dataclass(frozen=True, slots=True)
class RoutePart:
    """Share of a route's requests that goes to one service."""

    service: ids.ServiceName
    """Service that runs the requests."""
    weight: float
    """Weight relative to the other parts of the route."""


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Treatment of the requests with one host and path prefix."""

    name: ids.RouteName
    """Name that the operator gave the route."""
    host: bytes
    """Value of the `Host` header in lower case."""
    path_prefix: bytes
    """Prefix of the path; begins and ends with a slash."""
    kind: RouteKind
    """What may be repeated."""
    timeout_ms: float
    """Longest time in milliseconds that a caller is kept waiting."""
    target_latency_ms: float
    """Latency objective in milliseconds."""
    priority: int
    """Rank under overload, 0 is the most important."""
    parts: tuple[RoutePart, ...]
    """Services that run the requests, at least one."""
    max_attempts: int
    """Most backend servers that one request is sent to."""

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.REPEATABLE

    def service_at(self, fraction: float) -> ids.ServiceName:
        """Return the service at a point of the weighted split.

        Args:
            fraction: Uniformly distributed number from 0 up to, without, 1.
        """
        point = fraction * sum(part.weight for part in self.parts)
        for part in self.parts:
            point -= part.weight
            if point < 0:
                return part.service
        return self.parts[-1].service


@dataclasses.dataclass(frozen=True, slots=True)
class ServicePolicy:
    """What the operator says of one service."""

    name: ids.ServiceName
    """Name of the service."""
    health_path: bytes
    """Path of the health check."""
    max_connections: int
    """Connections that a backend server accepts from all callers together."""
    cold_start_ms: float
    """How long a backend server stays cold after its start, in milliseconds."""
    cold_per_second: float
    """Requests per second that a cold backend server can take."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what a caller may send."""

    max_header_bytes: int
    """Largest request head."""
    max_body_bytes: int
    """Largest request body."""
    header_timeout_ms: float
    """Longest time in milliseconds from the first byte to the end of a request head."""
    idle_timeout_ms: float
    """Longest time in milliseconds between two requests on a connection."""


class RouteTable:
    """Finds the route of a request.

    Args:
        routes: All routes.
        services: Policies of all services.
        limits: Bounds on callers.
    """

    def __init__(
        self,
        routes: Iterable[Route],
        services: Iterable[ServicePolicy],
        limits: CallerLimits,
    ) -> None:
        self.limits = limits
        """Bounds on what a caller may send."""
        self.services_by_name: Mapping[ids.ServiceName, ServicePolicy] = {
            service.name: service for service in services
        }
        """Policies of all services."""
        self._routes_by_host: dict[bytes, dict[bytes, Route]] = {}
        for route in routes:
            self._routes_by_host.setdefault(route.host, {})[route.path_prefix] = route

    def match(self, host: bytes, path: bytes) -> Route | None:
        """Return the route with the longest prefix of a path.

        Args:
            host: Value of the `Host` header, with or without a port.
            path: Path without the query.
        """
        by_prefix = self._routes_by_host.get(host.partition(b':')[0].strip().lower())
        if by_prefix is None:
            return None
        end = path.rfind(_SLASH)
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind(_SLASH, 0, end)
        return None
