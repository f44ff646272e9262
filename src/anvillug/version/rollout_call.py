"""Calls that are counted during a rollout, and which of them are slow."""

from __future__ import annotations

import dataclasses

from anvillug import ids

# On a version without faults, a few calls in a thousand are slow.
SLOW_RATIO = 2.5
"""Ratio of a slow call's normalized latency to the old version's baseline."""
# Calls that take less than this part of their latency objective do not affect callers.
_SLOW_OBJECTIVE_RATIO = 0.5
_BASELINE_SLOWNESS = 100.0


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A call that has ended or has received no response yet."""

    service: ids.ServiceName
    """Service that was called."""
    route: ids.RouteName
    """Route of the call."""
    host_id: ids.HostId
    """Host that ran it."""
    version: ids.VersionName
    """Version that ran it."""
    latency_ms: float | None
    """Time to the response, or so far if there is none yet; None if the call failed."""
    slowness: float
    """Highest slowness that the host reported during the call; 100 is normal."""
    objective_ms: float
    """Latency objective of the route."""

    @property
    def normalized_ms(self) -> float:
        """Latency without the effect of the host's slowness; 0 if the call failed."""
        slowness = max(_BASELINE_SLOWNESS, self.slowness)
        return (self.latency_ms or 0.0) * _BASELINE_SLOWNESS / slowness

    def is_slow(self, baseline_ms: float | None) -> bool:
        """Return whether the call is slow compared with the old version.

        Args:
            baseline_ms: Normalized latency of the old version on that route; None if unknown.
        """
        if baseline_ms is None or self.latency_ms is None:
            return False
        affects_callers = self.latency_ms > self.objective_ms * _SLOW_OBJECTIVE_RATIO
        return affects_callers and self.normalized_ms > baseline_ms * SLOW_RATIO
