"""Decides when a process logs its state: near a limit, and after a stand-still.

What limits a process may end it at once, so that its last line has to tell the reason beforehand.
"""

from __future__ import annotations

import dataclasses
import enum
import math

from anvillug import clock

LOOK_INTERVAL_MS = 1000.0
"""Time between two looks at a process in calm."""
LONG_TURN_MS = 500.0
"""Duration from which on a turn of the reactor, or a late look, is logged."""
_MIN_INTERVAL_MS = 100.0
# Looks before memory that goes on growing as it does reaches its limit.
_LOOKS_BEFORE_LIMIT = 8
_SHARES = (1 / 2, 3 / 4, 7 / 8, 15 / 16)
# What falls by this share of its limit may pass the same level again.
_MARGIN = 1 / 16
# A level that is passed again and again, and stand-stills, are logged at this interval.
_REPEAT_MS = 10_000.0


class Reason(enum.Enum):
    """Why the state is logged."""

    MEMORY = 'memory'
    """The memory has passed a share of its limit."""
    DESCRIPTORS = 'descriptors'
    """The open descriptors have passed a share of their limit."""
    LONG_TURN = 'long turn'
    """The reactor has looked for no events for a long time."""
    LATE = 'late'
    """The look came late without a long turn: the process or its host was suspended."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """What a look has found."""

    memory_bytes: int = 0
    """Private memory of the process; 0 if it is not known."""
    descriptors: int = 0
    """Open descriptors; 0 if their number is not known."""
    turn_ms: float = 0.0
    """Duration of the longest turn since the last look in milliseconds."""
    late_ms: float = 0.0
    """How much later than planned the look came, in milliseconds."""


class _Levels:
    """Shares of one limit that were passed.

    Args:
        limit: The limit; 0 if it is not known.
    """

    def __init__(self, limit: float) -> None:
        self._limit = limit
        self._passed = 0
        self._logged_at_by_level = [-math.inf for _ in _SHARES]

    def must_log(self, used: float, now: clock.Milliseconds) -> bool:
        """Return whether a share was passed since the last call."""
        if not self._limit:
            return False
        share = used / self._limit
        while self._passed and share < _SHARES[self._passed - 1] - _MARGIN:
            self._passed -= 1
        passed = sum(share >= each for each in _SHARES)
        if passed <= self._passed:
            return False
        self._passed = passed
        is_due = now - self._logged_at_by_level[passed - 1] >= _REPEAT_MS
        if is_due:
            self._logged_at_by_level[passed - 1] = now
        return is_due


class ProcessHealth:
    """Decisions for one process.

    Args:
        memory_bytes: Limit of the memory in bytes; 0 if it is not known.
        descriptors: Limit of open descriptors; 0 if it is not known.
    """

    def __init__(self, memory_bytes: int, descriptors: int) -> None:
        self.memory_limit_bytes = memory_bytes
        """Limit of the memory; 0 if it is not known."""
        self.descriptor_limit = descriptors
        """Limit of open descriptors; 0 if it is not known."""
        self.growth_bytes = 0
        """Change of the memory between the last two looks, in bytes per second."""
        self.next_look_ms = LOOK_INTERVAL_MS
        """Time until the next look in milliseconds."""
        self._memory = _Levels(memory_bytes)
        self._descriptors = _Levels(descriptors)
        self._last: tuple[clock.Milliseconds, int] | None = None
        self._stop_logged_at = -math.inf
        self._logged_stop_ms = 0.0

    def begin(self, memory_bytes: int, now: clock.Milliseconds) -> None:
        """Take over the memory that the process holds at its start."""
        self._last = (now, memory_bytes)

    def observe(self, reading: Reading, now: clock.Milliseconds) -> list[Reason]:
        """Take over what a look has found.

        Returns:
            Why the state has to be logged; empty if it need not be.
        """
        self._measure_growth(reading.memory_bytes, now)
        must_log_by_reason = {
            Reason.MEMORY: self._memory.must_log(reading.memory_bytes, now),
            Reason.DESCRIPTORS: self._descriptors.must_log(reading.descriptors, now),
        }
        if self._must_log_stop(max(reading.turn_ms, reading.late_ms), now):
            is_long_turn = reading.turn_ms >= LONG_TURN_MS
            must_log_by_reason[Reason.LONG_TURN if is_long_turn else Reason.LATE] = True
        return [reason for reason, must_log in must_log_by_reason.items() if must_log]

    # Private

    def _measure_growth(self, memory_bytes: int, now: clock.Milliseconds) -> None:
        """Look again before the memory can reach its limit."""
        last = self._last
        self._last = (now, memory_bytes)
        self.next_look_ms = LOOK_INTERVAL_MS
        if last is None or now <= last[0]:
            return
        grown_bytes = memory_bytes - last[1]
        growth_per_ms = grown_bytes / (now - last[0])
        self.growth_bytes = int(growth_per_ms * LOOK_INTERVAL_MS)
        if self.memory_limit_bytes and grown_bytes > 0:
            left_ms = (self.memory_limit_bytes - memory_bytes) / growth_per_ms
            next_ms = max(_MIN_INTERVAL_MS, left_ms / _LOOKS_BEFORE_LIMIT)
            self.next_look_ms = min(LOOK_INTERVAL_MS, next_ms)

    def _must_log_stop(self, stopped_ms: float, now: clock.Milliseconds) -> bool:
        """Return whether a time without events is logged; a far longer one is logged at once."""
        is_due = now - self._stop_logged_at >= _REPEAT_MS or stopped_ms > 2 * self._logged_stop_ms
        if stopped_ms < LONG_TURN_MS or not is_due:
            return False
        self._stop_logged_at = now
        self._logged_stop_ms = stopped_ms
        return True
