"""Stand-stills of a process that judges by times: it sees late what happens meanwhile."""

from __future__ import annotations

import collections
import threading
import time
from typing import Any

from anvillug import clock

_TICK_MS = 5.0
# The scheduler delays each wake-up a little.
_MIN_STALL_MS = 5.0
_MAX_STALLS = 5000


class Stalls:
    """Stand-stills of this process, noted by ticks that come late."""

    def __init__(self) -> None:
        self._time = clock.SystemClock()
        self._spans: collections.deque[tuple[float, float]] = collections.deque(maxlen=_MAX_STALLS)
        self._due_at: float | None = None

    def longest_ms(self, begin: float, end: float) -> float:
        """Return the longest part of a stand-still between two times, all in milliseconds."""
        spans = tuple(self._spans)
        due_at = self._due_at
        now = self._time.now()
        if due_at is not None and now > due_at + _MIN_STALL_MS:
            # The tick that notes this stand-still has not come yet.
            spans = (*spans, (due_at, now))
        overlaps = (min(stop, end) - max(start, begin) for start, stop in spans)
        return max(0.0, max(overlaps, default=0.0))

    def tick_in_thread(self) -> None:
        """Tick in a thread of its own until the process ends."""
        threading.Thread(target=self._tick_and_sleep, daemon=True).start()

    def tick_in_loop(self, reactor: Any) -> None:
        """Tick in the loop of a reactor until the process ends."""
        self._tick()
        reactor.callLater(clock.to_seconds(_TICK_MS), self.tick_in_loop, reactor)

    def _tick_and_sleep(self) -> None:
        while True:  # noqa: WPS457 - a daemon thread ends with the process
            self._tick()
            time.sleep(clock.to_seconds(_TICK_MS))

    def _tick(self) -> None:
        now = self._time.now()
        if self._due_at is not None and now > self._due_at + _MIN_STALL_MS:
            self._spans.append((self._due_at, now))
        self._due_at = now + _TICK_MS
