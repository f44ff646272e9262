"""Clocks that measure time in milliseconds.

Decision logic never reads the system time itself. It receives a `Clock` or a time as an argument,
so that tests control the time.
"""

from __future__ import annotations

import time
from typing import NewType, Protocol

Milliseconds = NewType('Milliseconds', float)

_MS_PER_SECOND = 1000.0
_NS_PER_MS = 1_000_000.0
# Only Linux has a clock that counts suspensions apart from the monotonic one.
_CLOCK_ID = getattr(time, 'CLOCK_BOOTTIME', time.CLOCK_MONOTONIC)


class Clock(Protocol):
    """Source of time in milliseconds."""

    def now(self) -> Milliseconds:
        """Return monotonic time, for durations within this process."""

    def wall(self) -> Milliseconds:
        """Return time since the Unix epoch, comparable between hosts."""


class SystemClock:
    """Clock of the operating system."""

    def now(self) -> Milliseconds:
        """Return monotonic time in milliseconds, including time in which the host was suspended.

        What was known before a suspension would otherwise count as recent after it.
        """
        return Milliseconds(time.clock_gettime_ns(_CLOCK_ID) / _NS_PER_MS)

    def wall(self) -> Milliseconds:
        """Return milliseconds since the Unix epoch."""
        return Milliseconds(time.time_ns() / _NS_PER_MS)


class ManualClock:
    """Clock that changes only by `advance`, for tests and simulations.

    Args:
        start: Initial monotonic time in milliseconds.
        wall_start: Initial time since the Unix epoch in milliseconds.
    """

    def __init__(self, start: float = 0, wall_start: float = 0) -> None:
        self._now = start
        self._wall = wall_start

    def now(self) -> Milliseconds:
        """Return monotonic time in milliseconds."""
        return Milliseconds(self._now)

    def wall(self) -> Milliseconds:
        """Return milliseconds since the Unix epoch."""
        return Milliseconds(self._wall)

    def advance(self, duration_ms: float) -> None:
        """Move both times forward.

        Args:
            duration_ms: Milliseconds to add; must not be negative.

        Raises:
            ValueError: If the duration is negative.
        """
        if duration_ms < 0:
            raise ValueError(f'duration must not be negative, got {duration_ms}')
        self._now += duration_ms
        self._wall += duration_ms


def to_milliseconds(duration_s: float) -> float:
    """Convert seconds to milliseconds."""
    return duration_s * _MS_PER_SECOND


def to_seconds(duration_ms: float) -> float:
    """Convert milliseconds to seconds, for libraries that expect seconds."""
    return duration_ms / _MS_PER_SECOND
