"""Estimates the time of day from the clocks of many nodes, since some of them may be wrong."""

from __future__ import annotations

from anvillug import clock, ids, median

# A node that has sent no full beacon for this long is left out.
_MAX_AGE_MS = 10_000.0
# The estimate is computed again after this time.
_CACHE_MS = 500.0


class TrueTime:
    """Median of the clocks of this node and its peers.

    The offset between a wall clock and the monotonic clock of this node changes only if the wall
    clock is set. A beacon is in transit for a few milliseconds, which are not corrected.

    Args:
        time: Clock.
    """

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        # Wall time of a peer minus monotonic time of this node, and when it was measured.
        self._offsets_by_host: dict[ids.HostId, tuple[float, clock.Milliseconds]] = {}
        self._offset = 0.0
        self._computed_at: clock.Milliseconds | None = None

    def record(self, host_id: ids.HostId, wall: clock.Milliseconds) -> None:
        """Record the wall clock of a peer, which has just been received."""
        now = self._clock.now()
        self._offsets_by_host[host_id] = (wall - now, now)

    def now(self) -> clock.Milliseconds:
        """Return the estimated milliseconds since the Unix epoch."""
        return self.at(self._clock.now())

    def at(self, moment: clock.Milliseconds) -> clock.Milliseconds:
        """Return the estimated time of day of a monotonic time of this node."""
        now = self._clock.now()
        if self._computed_at is None or now - self._computed_at >= _CACHE_MS:
            self._offset = self._median(now)
            self._computed_at = now
        return clock.Milliseconds(moment + self._offset)

    def _median(self, now: clock.Milliseconds) -> float:
        for host_id, (_, measured_at) in tuple(self._offsets_by_host.items()):
            if now - measured_at > _MAX_AGE_MS:
                self._offsets_by_host.pop(host_id)
        offsets = [offset for offset, _ in self._offsets_by_host.values()]
        return median.of([*offsets, self._clock.wall() - now])
