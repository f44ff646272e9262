"""Expected number of bad calls on the new version, computed over short windows.

Both versions are compared over the same windows, so that a temporary disturbance does not count
against the version whose share grows meanwhile. All fields are sums, so windows can be added.
"""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Mapping

from anvillug import ids
from anvillug.version import rollout_counts, tally


@dataclasses.dataclass(slots=True)
class Stratum:
    """Calls on the new version on one route at one host."""

    calls: int = 0
    """All calls."""
    bad: int = 0
    """Failed and slow calls."""
    expected: float = 0.0
    """Expected value of `bad` if both versions were equal."""
    variance: float = 0.0
    """Variance of `bad` under the same assumption."""

    def add(self, other: Stratum) -> None:
        """Add the calls of another window."""
        self.calls += other.calls
        self.bad += other.bad
        self.expected += other.expected
        self.variance += other.variance


@dataclasses.dataclass(slots=True)
class Strata:
    """Calls on the new version by route and host, compared with the old version."""

    by_place: dict[rollout_counts.Place, Stratum] = dataclasses.field(default_factory=dict)
    """Strata by route and host."""

    def add(self, other: Strata) -> None:
        """Add the calls of other windows."""
        for place, stratum in other.by_place.items():
            self.by_place.setdefault(place, Stratum()).add(stratum)

    def on_route(self, route: ids.RouteName) -> Strata:
        """Return the calls on one route."""
        return Strata(
            {place: stratum for place, stratum in self.by_place.items() if place[0] == route}
        )


def of_window(
    new_by_place: Mapping[rollout_counts.Place, rollout_counts.Counts],
    old_by_route: Mapping[ids.RouteName, rollout_counts.Counts],
) -> Strata:
    """Compare the calls of one window.

    Args:
        new_by_place: Calls on the new version.
        old_by_route: Calls on the old version to compare them with.

    Returns:
        The strata of the window; routes without calls on the old version are left out.
    """
    new_by_route: dict[ids.RouteName, rollout_counts.Counts] = collections.defaultdict(
        rollout_counts.Counts
    )
    for (route, _), counts in new_by_place.items():
        new_by_route[route].add(counts)
    tally_by_route = {
        name: _tally_of(new, old_by_route[name])
        for name, new in new_by_route.items()
        if new.calls and name in old_by_route and old_by_route[name].calls
    }
    strata = Strata()
    for place, counts in new_by_place.items():
        compared = tally_by_route.get(place[0])
        if compared is not None and counts.calls:
            fraction = counts.calls / compared.new_calls
            strata.by_place[place] = Stratum(
                counts.calls, counts.bad, compared.expected * fraction, compared.variance * fraction
            )
    return strata


def _tally_of(new: rollout_counts.Counts, old: rollout_counts.Counts) -> tally.Tally:
    compared = tally.Tally()
    compared.add_window((new.calls, new.bad), (old.calls, old.bad))
    return compared
