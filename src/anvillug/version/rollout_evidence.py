"""Evidence on a rollout: calls counted by all nodes, since its start and in recent windows."""

from __future__ import annotations

import collections

from anvillug import clock, ids
from anvillug.version import rollout_counts, rollout_strata

# Disturbances that affect all hosts last about one second, so windows must be shorter.
_WINDOW_MS = 500.0
# The calls of this many windows are also evaluated separately, since a fault that begins late is
# hardly visible among all calls.
_RECENT_WINDOWS = 6
# Minimum number of calls on the old version for a comparison with them.
_MIN_WINDOW_CALLS = 20
# Minimum number of successful calls on the old version for the baseline latency of a route.
_MIN_BASELINE_CALLS = 10
# A node without a report for this long may have counted calls that the others lack. Beacons to far
# zones are sent every two seconds, and one may be lost.
_MAX_REPORT_AGE_MS = 4500.0
# Nodes without a report for this long are ignored, so that they do not block a decision.
_REPORTER_EXPIRY_MS = 60_000.0

Reporter = tuple[ids.HostId, ids.Incarnation]
"""Process that counts calls; after a restart it counts from zero."""

_WindowStart = tuple[clock.Milliseconds, rollout_counts.VersionCounts]


class Evidence:
    """Counts of this node and of all others."""

    def __init__(self) -> None:
        self.local = rollout_counts.VersionCounts()
        """Calls counted by this node."""
        self.total = rollout_counts.VersionCounts()
        """Calls counted by all nodes."""
        self._counts_by_reporter: dict[Reporter, rollout_counts.VersionCounts] = {}
        self._reported_at_by_host: dict[ids.HostId, clock.Milliseconds] = {}
        # Totals at the start of the recent windows and of the open one, oldest first.
        self._window_starts: collections.deque[_WindowStart] = collections.deque()
        self._closed_strata = rollout_strata.Strata()
        self._recent_closed_strata: collections.deque[rollout_strata.Strata] = collections.deque(
            maxlen=_RECENT_WINDOWS
        )

    def count_new(
        self, route: ids.RouteName, host_id: ids.HostId, outcome: rollout_counts.Outcome
    ) -> None:
        """Count a call of this node on the new version."""
        for counts in (self.local, self.total):
            counts.new_at(route, host_id).count(outcome)

    def count_old(
        self, route: ids.RouteName, outcome: rollout_counts.Outcome, normalized_ms: float
    ) -> None:
        """Count a call of this node on the old version.

        Args:
            route: Route of the call.
            outcome: Outcome of the call.
            normalized_ms: Latency normalized by the host's slowness, 0 if the call failed.
        """
        for counts in (self.local, self.total):
            counts.old_at(route).count(outcome, round(normalized_ms))

    def record_report(
        self,
        reporter: Reporter,
        counts: rollout_counts.VersionCounts | None,
        now: clock.Milliseconds,
    ) -> None:
        """Record the cumulative counts of another process.

        Args:
            reporter: The process.
            counts: Its counts; None if this beacon does not carry them.
            now: Monotonic time.
        """
        self._reported_at_by_host[reporter[0]] = now
        if counts is not None:
            self._add_report(reporter, counts)

    def _add_report(self, reporter: Reporter, counts: rollout_counts.VersionCounts) -> None:
        previous = self._counts_by_reporter.get(reporter, rollout_counts.VersionCounts())
        # Ignores older counts, as beacons may arrive out of order.
        if counts.new.calls + counts.old.calls > previous.new.calls + previous.old.calls:
            self._counts_by_reporter[reporter] = counts
            self.total.add(counts.since(previous))

    def baseline_ms(self, route: ids.RouteName) -> float | None:
        """Return the mean latency of a route on the old version, None with too few calls.

        Latencies are normalized by the slowness of the hosts.
        """
        counts = self.total.old_by_route.get(route)
        if counts is None or counts.calls - counts.failed < _MIN_BASELINE_CALLS:
            return None
        return counts.normalized_ms / (counts.calls - counts.failed)

    def step(self, now: clock.Milliseconds) -> None:
        """Close the open window when it has lasted long enough."""
        if not self._window_starts:
            self._window_starts.append((now, rollout_counts.VersionCounts()))
        elif now - self._window_starts[-1][0] >= _WINDOW_MS:
            window = self._open_window()
            self._closed_strata.add(window)
            self._recent_closed_strata.append(window)
            self._window_starts.append((now, self.total.copy()))
        while len(self._window_starts) > _RECENT_WINDOWS + 1:
            self._window_starts.popleft()

    def strata(self) -> tuple[rollout_strata.Strata, rollout_strata.Strata]:
        """Return the strata of all calls and of the recent calls on the new version."""
        open_window = self._open_window()
        all_strata = rollout_strata.Strata()
        recent_strata = rollout_strata.Strata()
        for window_strata in (self._closed_strata, open_window):
            all_strata.add(window_strata)
        for window_strata in (*self._recent_closed_strata, open_window):
            recent_strata.add(window_strata)
        return all_strata, recent_strata

    def _open_window(self) -> rollout_strata.Strata:
        if not self._window_starts:
            return rollout_strata.Strata()
        window = self.total.since(self._window_starts[-1][1])
        recent_old = self.total.since(self._window_starts[0][1]).old_by_route
        all_routes = self.total.old
        baseline_by_route = {}
        routes = {route for route, _ in window.new_by_place}
        for route in routes:
            # Uses the shortest period with enough calls on the old version.
            candidates = (
                window.old_by_route.get(route),
                recent_old.get(route),
                self.total.old_by_route.get(route),
            )
            enough = (old for old in candidates if old and old.calls >= _MIN_WINDOW_CALLS)
            baseline_by_route[route] = next(enough, all_routes)
        return rollout_strata.of_window(window.new_by_place, baseline_by_route)

    def is_complete(self, now: clock.Milliseconds) -> bool:
        """Tell whether at least half of the active nodes have reported recently."""
        ages = [now - reported_at for reported_at in self._reported_at_by_host.values()]
        active_count = sum(age <= _REPORTER_EXPIRY_MS for age in ages)
        return 2 * sum(age <= _MAX_REPORT_AGE_MS for age in ages) >= active_count
