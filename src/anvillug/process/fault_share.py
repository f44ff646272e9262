"""Share of a backend server's recent runs that failed or took far longer than the baseline.

A backend server that fails requests immediately runs few at a time and appears idle, and one that
is slow for only some of its requests may not report this as load. Both are visible in the results
of their runs.
"""

from __future__ import annotations

from anvillug import clock, ids
from anvillug.request import dialect

# Counted runs lose half of their weight in this time, so that a host is used again within seconds.
_HALF_LIFE_MS = 1000.0
# Successful runs that are assumed in addition to the counted ones, so that a single failure does
# not exclude a host.
_PRIOR_RUNS = 4.0
# A run is slow if it takes this many times the baseline of its route.
_SLOW_FACTOR = 3.0
# The baseline of a route is used only after this many runs.
_MIN_BASELINE_RUNS = 20
# Weight of one run in the baseline; a fault of a few seconds hardly changes it.
_RUN_WEIGHT = 0.003
# Upper limit of the time with which a run enters the baseline, as a multiple of the baseline.
_MAX_RUN_FACTOR = 2.0


class FaultShare:
    """Counts the runs of one instance of a backend server."""

    def __init__(self) -> None:
        self._runs = 0.0
        self._faults = 0.0
        self._counted_at = clock.Milliseconds(0)
        # One entry per route in use; the configuration limits the number of routes.
        self._baselines_by_route: dict[ids.RouteName, _Baseline] = {}

    def record_failure(self, now: clock.Milliseconds) -> None:
        """Count a run that failed or ended without a response."""
        self._count(now, faulty=True)

    def record_response(
        self, route: ids.RouteName, took_ms: float, slowness: float, now: clock.Milliseconds
    ) -> None:
        """Count a run with a response; it is faulty if it was too slow.

        Args:
            route: Route of the request.
            took_ms: Time to the response in milliseconds.
            slowness: Slowness that the backend server reported in it; 100 is normal.
            now: Monotonic time.
        """
        baseline = self._baselines_by_route.setdefault(route, _Baseline())
        scaled_ms = took_ms * dialect.NORMAL_SLOWNESS / max(dialect.NORMAL_SLOWNESS, slowness)
        self._count(now, faulty=baseline.is_exceeded_by(scaled_ms))
        baseline.add(scaled_ms)

    def baseline_ms(self, route: ids.RouteName) -> float:
        """Return the baseline of a route in milliseconds, 0 if it has had no runs."""
        baseline = self._baselines_by_route.get(route)
        return 0.0 if baseline is None else baseline.mean_ms

    def share(self, now: clock.Milliseconds) -> float:
        """Return the share of faulty runs, from 0 to 1; it decays to 0 without new runs."""
        self._decay(now)
        return self._faults / (self._runs + _PRIOR_RUNS)

    def _count(self, now: clock.Milliseconds, *, faulty: bool) -> None:
        self._decay(now)
        self._runs += 1
        self._faults += faulty

    def _decay(self, now: clock.Milliseconds) -> None:
        remaining = 0.5 ** ((now - self._counted_at) / _HALF_LIFE_MS)
        self._runs *= remaining
        self._faults *= remaining
        self._counted_at = now


class _Baseline:
    """Mean time of the runs on a route, scaled to normal slowness."""

    __slots__ = ('_runs', 'mean_ms')

    def __init__(self) -> None:
        self._runs = 0
        self.mean_ms = 0.0

    def is_exceeded_by(self, scaled_ms: float) -> bool:
        return self._runs >= _MIN_BASELINE_RUNS and scaled_ms > self.mean_ms * _SLOW_FACTOR

    def add(self, scaled_ms: float) -> None:
        self._runs += 1
        if self._runs > _MIN_BASELINE_RUNS:
            scaled_ms = min(scaled_ms, self.mean_ms * _MAX_RUN_FACTOR)
        weight = max(_RUN_WEIGHT, 1 / self._runs)
        self.mean_ms += (scaled_ms - self.mean_ms) * weight
