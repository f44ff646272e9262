"""Times at which the periodic tasks of a node run, so that they share wake-ups of its process.

Each wake-up costs about as much as the task that it is for.
"""

from __future__ import annotations

import math
import random

from anvillug import clock

INTERVAL_MS = 25.0
"""Distance of the times in milliseconds."""
# A timer may fire by this share of the distance early; its next time is not the one that it has
# fired for.
_EARLY_SHARE = 0.1


class WakeGrid:
    """Times at a fixed distance; each process has its own phase, so that nodes don't wake at once.

    Args:
        time: Clock.
        rng: Source of the phase.
    """

    def __init__(self, time: clock.Clock, rng: random.Random) -> None:
        self._clock = time
        self._phase_ms = rng.uniform(0, INTERVAL_MS)

    def delay_s(self, min_ms: float) -> float:
        """Return the time in seconds until the first common time after a delay.

        Args:
            min_ms: The delay in milliseconds; the result is at most an interval longer.
        """
        now = self._clock.now() - self._phase_ms
        earliest = (now + min_ms) / INTERVAL_MS - _EARLY_SHARE
        return clock.to_seconds(math.ceil(earliest) * INTERVAL_MS - now)


def unaligned(min_ms: float) -> float:
    """Return a delay in seconds as it is; for tasks without a grid."""
    return clock.to_seconds(min_ms)
