"""Share of a backend server's recent runs that failed or took far longer than usual.

A backend server that fails at once runs little and looks idle, and one that is slow for some of
its requests only may report no load. Both show in how their runs end.
"""

from __future__ import annotations

from anvillug import clock, ids

# Half of the evidence is forgotten after this time, so that a host is tried again in seconds.
_HALF_LIFE_MS = 1000.0
# Runs without fault that are assumed beside those seen; one failure does not condemn a host.
_ASSUMED_RUNS = 4.0
# A run is slow at this many times the usual time of its route.
_SLOW_FACTOR = 3.0
# Runs on a route from which its usual time is known.
_LEAST_RUNS = 20
# Weight of one run in the usual time; a fault of some seconds hardly moves it.
_USUAL_WEIGHT = 0.003
# A run counts in the usual time by at most this many times that time.
_MOST_FACTOR = 2.0
_USUAL_SLOWNESS = 100.0


class FaultShare:
    """Counts the runs of one start of a backend server."""

    def __init__(self) -> None:
        self._runs = 0.0
        self._faults = 0.0
        self._counted_at = clock.Milliseconds(0)
        # One entry per route that has been used; the configuration bounds the routes.
        self._usual_by_route: dict[ids.RouteName, _UsualTime] = {}

    def failed(self, now: clock.Milliseconds) -> None:
        """Count a run that brought no answer, or a failure."""
        self._count(now, faulty=True)

    def answered(
        self, route: ids.RouteName, took_ms: float, slowness: float, now: clock.Milliseconds
    ) -> None:
        """Count a run that was answered.

        Args:
            route: Route of the request.
            took_ms: Time to the answer in milliseconds.
            slowness: Slowness that the backend server told with it, 100 as usual.
            now: Monotonic time.
        """
        usual = self._usual_by_route.setdefault(route, _UsualTime())
        cost = took_ms * _USUAL_SLOWNESS / max(_USUAL_SLOWNESS, slowness)
        self._count(now, faulty=usual.is_exceeded_by(cost))
        usual.add(cost)

    def usual_ms(self, route: ids.RouteName) -> float:
        """Return the usual time of a route's runs in milliseconds, 0 while it is not known."""
        usual = self._usual_by_route.get(route)
        return 0.0 if usual is None else usual.mean_ms

    def share(self, now: clock.Milliseconds) -> float:
        """Return the share of faulty runs, from 0 to 1; without runs it falls back to 0."""
        self._forget(now)
        return self._faults / (self._runs + _ASSUMED_RUNS)

    def _count(self, now: clock.Milliseconds, *, faulty: bool) -> None:
        self._forget(now)
        self._runs += 1
        self._faults += faulty

    def _forget(self, now: clock.Milliseconds) -> None:
        kept = 0.5 ** ((now - self._counted_at) / _HALF_LIFE_MS)
        self._runs *= kept
        self._faults *= kept
        self._counted_at = now


class _UsualTime:
    """Mean time of the runs on a route."""

    __slots__ = ('_runs', 'mean_ms')

    def __init__(self) -> None:
        self._runs = 0
        self.mean_ms = 0.0

    def is_exceeded_by(self, cost_ms: float) -> bool:
        return self._runs >= _LEAST_RUNS and cost_ms > self.mean_ms * _SLOW_FACTOR

    def add(self, cost_ms: float) -> None:
        self._runs += 1
        if self._runs > _LEAST_RUNS:
            cost_ms = min(cost_ms, self.mean_ms * _MOST_FACTOR)
        weight = max(_USUAL_WEIGHT, 1 / self._runs)
        self.mean_ms += (cost_ms - self.mean_ms) * weight
