"""Calls on both versions of a service during a rollout, and their wire form."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Iterable, Mapping
from typing import Any, Self

from anvillug import ids

# Routes, and pairs of route and host, that a node counts by themselves. Its beacon carries all of
# them, in up to 1,400 bytes.
_MAX_ROUTES = 8
_MAX_PLACES = 32

OTHER_ROUTES = ids.RouteName('')
"""Stands for the routes beyond the limit."""
OTHER_HOSTS = ids.HostId('')
"""Stands for the hosts beyond the limit."""

Place = tuple[ids.RouteName, ids.HostId]
"""Route of a call, and the host that ran it."""


class Outcome(enum.Enum):
    """What a call tells of the version that ran it."""

    GOOD = 'good'
    """It was answered in the usual time."""
    FAILED = 'failed'
    """It was not answered, or with a failure."""
    SLOW = 'slow'
    """It took far longer than usual."""


@dataclasses.dataclass(slots=True)
class Counts:
    """Calls and how they ended."""

    calls: int = 0
    """All calls."""
    failed: int = 0
    """Those that failed."""
    slow: int = 0
    """Those that took far longer than usual."""
    normalized_ms: int = 0
    """Time of those that did not fail, with the slowness of their hosts taken out."""

    @property
    def bad(self) -> int:
        """Calls that speak against the version."""
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
        """Return the calls after earlier counts."""
        return Counts(
            self.calls - earlier.calls,
            self.failed - earlier.failed,
            self.slow - earlier.slow,
            self.normalized_ms - earlier.normalized_ms,
        )


_NONE = Counts()


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
    """Calls on the new version; a fault of one host must not pass for one of the version."""
    old_by_route: dict[ids.RouteName, Counts] = dataclasses.field(default_factory=dict)
    """Calls on the old version."""

    def new_at(self, route: ids.RouteName, host_id: ids.HostId) -> Counts:
        """Return the counts of the new version that a call belongs to."""
        known = self.new_by_place.get((route, host_id))
        if known is None and len(self.new_by_place) >= _MAX_PLACES:
            return self.new_by_place.setdefault((OTHER_ROUTES, OTHER_HOSTS), Counts())
        return known or self.new_by_place.setdefault((route, host_id), Counts())

    def old_at(self, route: ids.RouteName) -> Counts:
        """Return the counts of the old version that a call belongs to."""
        known = self.old_by_route.get(route)
        if known is None and len(self.old_by_route) >= _MAX_ROUTES:
            return self.old_by_route.setdefault(OTHER_ROUTES, Counts())
        return known or self.old_by_route.setdefault(route, Counts())

    def add(self, other: VersionCounts) -> None:
        """Add the calls of another node."""
        _add(self.new_by_place, other.new_by_place)
        _add(self.old_by_route, other.old_by_route)

    def since(self, earlier: VersionCounts) -> VersionCounts:
        """Return the calls after earlier counts."""
        return VersionCounts(
            _since(self.new_by_place, earlier.new_by_place),
            _since(self.old_by_route, earlier.old_by_route),
        )

    def copy(self) -> VersionCounts:
        """Return counts that do not change with these."""
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
            ValueError, TypeError, LookupError: If it has another form.
        """
        routes, hosts, new_rows, old_rows = packed
        return cls(
            {
                (ids.RouteName(routes[route]), ids.HostId(hosts[host])): Counts(*figures)
                for route, host, *figures in new_rows
            },
            {ids.RouteName(routes[route]): Counts(*figures) for route, *figures in old_rows},
        )


def _add(counts_by_key: dict[Any, Counts], others: Mapping[Any, Counts]) -> None:
    for key, counts in others.items():
        counts_by_key.setdefault(key, Counts()).add(counts)


def _since(counts_by_key: Mapping[Any, Counts], earlier: Mapping[Any, Counts]) -> dict[Any, Counts]:
    return {key: counts.since(earlier.get(key, _NONE)) for key, counts in counts_by_key.items()}
