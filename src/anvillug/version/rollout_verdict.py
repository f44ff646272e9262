"""Compares the versions of a service by their calls during a rollout."""

from __future__ import annotations

import collections
import dataclasses

from anvillug import ids
from anvillug.version import rollout_counts, rollout_strata, tally

# Probability of judging a good version bad over a whole rollout, for each comparison.
_ALPHA = 0.001
# A version is not doubtful with fewer bad calls than this beyond the expected ones. Many routes are
# compared, and on a route with few calls, two bad calls already are a large deviation.
_MIN_EXCESS_CALLS = 3.0
# One in this many hosts of the new version, up to the maximum, may be worse than the others without
# counting against the version: a fault of the version affects all hosts.
_HOSTS_PER_OUTLIER = 4
_MAX_OUTLIERS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Comparison:
    """How the calls on the new version compare with those on the old one."""

    subject: str
    """Description of the compared calls."""
    observed: float
    """Bad calls on the new version; outliers are lowered to the rate of the next worst host."""
    expected: float
    """Bad calls expected on the new version if both versions were equal."""
    deviation: float
    """Difference of the two, in standard deviations."""
    is_worse: bool
    """Whether the new version is significantly worse."""

    @property
    def is_doubtful(self) -> bool:
        """Whether the new version is worse by more than random variation explains."""
        has_min_excess = self.observed - self.expected >= _MIN_EXCESS_CALLS
        return has_min_excess and self.deviation > tally.DOUBTFUL_DEVIATION

    def __str__(self) -> str:
        return (
            f'{self.subject}: {self.observed:.0f} bad, {self.expected:.1f} expected,'
            f' {self.deviation:.1f} deviations'
        )


def compare(
    all_strata: rollout_strata.Strata, recent_strata: rollout_strata.Strata
) -> list[Comparison]:
    """Compare the versions by all calls, by recent calls, and by route.

    Args:
        all_strata: All calls of the rollout.
        recent_strata: Calls of the recent windows.

    Returns:
        The comparisons, the one with the largest deviation first.
    """
    comparisons = [_compare('all calls', all_strata), _compare('recent calls', recent_strata)]
    routes = {route for route, _ in all_strata.by_place}
    for route in routes if len(routes) > 1 else ():
        comparisons.append(_compare(f'route {route}', all_strata.on_route(route)))
    return sorted(comparisons, key=lambda comparison: comparison.deviation, reverse=True)


def _compare(subject: str, strata: rollout_strata.Strata) -> Comparison:
    weight_by_host = _weight_by_host(strata)
    compared = tally.Tally()
    for (_, host_id), stratum in strata.by_place.items():
        compared.new_calls += stratum.calls
        compared.observed += stratum.bad * weight_by_host[host_id]
        compared.expected += stratum.expected
        compared.variance += stratum.variance
    new_hosts = len(weight_by_host)
    return Comparison(
        subject,
        compared.observed,
        compared.expected,
        compared.deviation(new_hosts),
        compared.exceeds(_ALPHA, new_hosts),
    )


def _weight_by_host(strata: rollout_strata.Strata) -> dict[ids.HostId, float]:
    """Return the weight of each host's bad calls.

    Weights below 1 lower the share of bad calls on outlier hosts to that of the next worst host.
    """
    calls_by_host: collections.Counter[ids.HostId] = collections.Counter()
    bad_by_host: collections.Counter[ids.HostId] = collections.Counter()
    for (_, host_id), stratum in strata.by_place.items():
        calls_by_host[host_id] += stratum.calls
        bad_by_host[host_id] += stratum.bad
    bad_share_by_host = {
        name: bad_by_host[name] / calls
        for name, calls in calls_by_host.items()
        if name != rollout_counts.OTHER_HOSTS
    }
    outlier_count = min(_MAX_OUTLIERS, len(bad_share_by_host) // _HOSTS_PER_OUTLIER)
    bad_shares = sorted(bad_share_by_host.values(), reverse=True)
    max_share = bad_shares[outlier_count] if bad_shares else 1.0
    return {
        name: max_share / bad_share_by_host[name]
        if bad_share_by_host.get(name, 0.0) > max_share
        else 1.0
        for name in calls_by_host
    }
