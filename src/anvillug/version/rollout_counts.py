"""Calls on both versions of a service during a rollout, and their wire form."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Iterable, Mapping
from typing import Any, Self

from anvillug import ids, wire_value

# Maximum number of routes, and of pairs of route and host, that a node counts separately. They must
# all fit into 1,400 bytes of its beacon.
_MAX_ROUTES = 8
_MAX_PLACES = 32

OTHER_ROUTES = ids.RouteName('')
"""Collects the routes beyond the limit."""
OTHER_HOSTS = ids.HostId('')
"""Collects the hosts beyond the limit."""

Place = tuple[ids.RouteName, ids.HostId]
"""Route of a call, and the host that ran it."""


class Outcome(enum.Enum):
    """Classification of a call in the canary analysis."""

    GOOD = 'good'
    """The call succeeded and was not slow."""
    FAILED = 'failed'
    """The call received no response, or one that reports a failure."""
    SLOW = 'slow'
    """The call took far longer than the baseline."""


@dataclasses.dataclass(slots=True)
class Counts:
    """Number of calls by outcome."""

    calls: int = 0
    """All calls."""
    failed: int = 0
    """Failed calls."""
    slow: int = 0
    """Slow calls."""
    normalized_ms: int = 0
    """Total latency of the calls that did not fail, normalized by the slowness of their hosts."""

    @property
    def bad(self) -> int:
        """Failed and slow calls."""
        return self.failed + self.slow

    def count(self, outcome: Outcome, normalized_ms: int = 0) -> None:
        """Count a call."""
        self.calls += 1
        self.failed += outcome is Outcome.FAILED
        self.slow += outcome is Outcome.SLOW
        self.normalized_ms += normalized_ms

    def add(self, other: Counts) -> None:
        """Add counts."""
        self.calls += other.calls
        self.failed += other.failed
        self.slow += other.slow
        self.normalized_ms += other.normalized_ms

    def since(self, earlier: Counts) -> Counts:
        """Return the calls counted since earlier counts."""
        return Counts(
            self.calls - earlier.calls,
            self.failed - earlier.failed,
            self.slow - earlier.slow,
            self.normalized_ms - earlier.normalized_ms,
        )


_NO_CALLS = Counts()


def sum_of(all_counts: Iterable[Counts]) -> Counts:
    """Return the sum of counts."""
    total = Counts()
    for counts in all_counts:
        total.add(counts)
    return total


@dataclasses.dataclass(slots=True)
class VersionCounts:
    """Calls on both versions of a service."""

    new_by_place: dict[Place, Counts] = dataclasses.field(default_factory=dict)
    """Calls on the new version, by host to tell a fault of one host from one of the version."""
    old_by_route: dict[ids.RouteName, Counts] = dataclasses.field(default_factory=dict)
    """Calls on the old version."""

    def new_at(self, route: ids.RouteName, host_id: ids.HostId) -> Counts:
        """Return the counts of the new version to which a call is added."""
        existing = self.new_by_place.get((route, host_id))
        if existing is None and len(self.new_by_place) >= _MAX_PLACES:
            return self.new_by_place.setdefault((OTHER_ROUTES, OTHER_HOSTS), Counts())
        return existing or self.new_by_place.setdefault((route, host_id), Counts())

    def old_at(self, route: ids.RouteName) -> Counts:
        """Return the counts of the old version to which a call is added."""
        existing = self.old_by_route.get(route)
        if existing is None and len(self.old_by_route) >= _MAX_ROUTES:
            return self.old_by_route.setdefault(OTHER_ROUTES, Counts())
        return existing or self.old_by_route.setdefault(route, Counts())

    def add(self, other: VersionCounts) -> None:
        """Add the calls of another node."""
        _add_all(self.new_by_place, other.new_by_place)
        _add_all(self.old_by_route, other.old_by_route)

    def since(self, earlier: VersionCounts) -> VersionCounts:
        """Return the calls counted since earlier counts."""
        return VersionCounts(
            _all_since(self.new_by_place, earlier.new_by_place),
            _all_since(self.old_by_route, earlier.old_by_route),
        )

    def copy(self) -> VersionCounts:
        """Return an independent copy."""
        return self.since(VersionCounts())

    @property
    def new(self) -> Counts:
        """All calls on the new version."""
        return sum_of(self.new_by_place.values())

    @property
    def old(self) -> Counts:
        """All calls on the old version."""
        return sum_of(self.old_by_route.values())

    def pack(self) -> list[Any]:
        """Return the wire form: routes, hosts, and rows that refer to both by index."""
        routes = sorted({*self.old_by_route, *(route for route, _ in self.new_by_place)})
        hosts = sorted({host_id for _, host_id in self.new_by_place})
        new_rows = [
            [routes.index(route), hosts.index(host_id), counts.calls, counts.failed, counts.slow]
            for (route, host_id), counts in self.new_by_place.items()
        ]
        old_rows = [
            [routes.index(route), *dataclasses.astuple(counts)]
            for route, counts in self.old_by_route.items()
        ]
        return [routes, hosts, new_rows, old_rows]

    @classmethod
    def unpack(cls, packed: list[Any]) -> Self:
        """Return counts from their wire form.

        Raises:
            ValueError, TypeError, LookupError: If the wire form is malformed.
        """
        routes, hosts, new_rows, old_rows = packed
        for name in (*routes, *hosts):
            wire_value.text(name, 'route or host')
        return cls(
            {
                (ids.RouteName(routes[route]), ids.HostId(hosts[host])): _unpack_row(numbers)
                for route, host, *numbers in new_rows
            },
            {ids.RouteName(routes[route]): _unpack_row(numbers) for route, *numbers in old_rows},
        )


def _unpack_row(numbers: list[Any]) -> Counts:
    counts = Counts(*(wire_value.natural(count, 'count') for count in numbers))
    if counts.bad > counts.calls:
        raise ValueError(f'{counts.bad} of {counts.calls} calls failed or were slow')
    return counts


def _add_all(counts_by_key: dict[Any, Counts], added_counts: Mapping[Any, Counts]) -> None:
    for key, counts in added_counts.items():
        counts_by_key.setdefault(key, Counts()).add(counts)


def _all_since(
    counts_by_key: Mapping[Any, Counts], earlier: Mapping[Any, Counts]
) -> dict[Any, Counts]:
    return {key: counts.since(earlier.get(key, _NO_CALLS)) for key, counts in counts_by_key.items()}
