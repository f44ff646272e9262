"""Maps the host and path prefix of requests to routes and their services."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from anvillug import ids
from anvillug.version import tenants

_SLASH = b'/'


class RouteKind(enum.Enum):
    """Whether requests of a route may be repeated."""

    REPEATABLE = 'repeatable'
    """Requests may run more than once."""
    ONCE = 'once'
    """A request runs at most once."""
    UPLOAD = 'upload'
    """Like `ONCE`, for large bodies."""


class RoutePart(NamedTuple):
    """Share of a route's requests that goes to one service."""

    service: ids.ServiceName
    """Service that runs the requests."""
    weight: float
    """Weight relative to the other parts of the route."""


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Settings of the requests with one host and path prefix."""

    name: ids.RouteName
    """Name that the operator gave the route."""
    host: bytes
    """Value of the `Host` header in lower case."""
    path_prefix: bytes
    """Prefix of the path; begins and ends with a slash."""
    kind: RouteKind
    """Whether requests may be repeated."""
    timeout_ms: float
    """Time in milliseconds after which the request times out."""
    target_latency_ms: float
    """Latency objective in milliseconds."""
    priority: int
    """Priority under overload; 0 is the highest."""
    parts: tuple[RoutePart, ...]
    """Services that run the requests, at least one."""
    max_attempts: int
    """Maximum number of attempts of one request."""
    is_anonymous: bool = False
    """Whether callers need no key, although the configuration has tenants."""

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.REPEATABLE

    def service_at(self, fraction: float) -> ids.ServiceName:
        """Return the service at a point of the weighted split.

        Args:
            fraction: Uniformly distributed random number in [0, 1).
        """
        point = fraction * sum(part.weight for part in self.parts)
        for part in self.parts:
            point -= part.weight
            if point < 0:
                return part.service
        return self.parts[-1].service

    def service_for(self, fraction: float, current: ids.ServiceName) -> ids.ServiceName:
        """Return the service of a call, which stays the same while the route allows it.

        Args:
            fraction: The call's point of the weighted split, in [0, 1).
            current: Service that the call was routed to so far; empty at first.
        """
        stays = any(part.service == current and part.weight > 0 for part in self.parts)
        return current if stays else self.service_at(fraction)


class ServicePolicy(NamedTuple):
    """The operator's settings of one service."""

    name: ids.ServiceName
    """Name of the service."""
    health_path: bytes
    """Path of the health check."""
    max_connections: int
    """Maximum number of connections to a backend server, from all callers together."""
    cold_start_ms: float
    """Warm-up time of a backend server after its start, in milliseconds."""
    cold_per_second: float
    """Requests per second that a backend server can handle while it is cold."""


class CallerLimits(NamedTuple):
    """Limits on requests and their connections."""

    max_header_bytes: int
    """Maximum size of a request head."""
    max_body_bytes: int
    """Maximum size of a request body."""
    header_timeout_ms: float
    """Maximum time in milliseconds from the first byte to the end of a request head."""
    idle_timeout_ms: float
    """Maximum time in milliseconds between two requests on a connection."""


class RouteTable:
    """Finds the route of a request.

    Args:
        routes: All routes.
        services: Policies of all services.
        limits: Limits on requests.
        tenant_table: Tenants; None if requests need no key.
    """

    def __init__(
        self,
        routes: Iterable[Route],
        services: Iterable[ServicePolicy],
        limits: CallerLimits,
        tenant_table: tenants.TenantTable | None = None,
    ) -> None:
        self.tenants = tenant_table
        """Tenants; None if requests need no key."""
        self.limits = limits
        """Limits on requests and their connections."""
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

        Returns:
            The route, or None if no route matches.
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
