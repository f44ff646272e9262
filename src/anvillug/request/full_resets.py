"""Learns from resets that a backend server resets requests when it is full.

The reset of one request says nothing: connections break for many reasons. That the backend server
was full is taken to be shown if an earlier request is still responded to afterwards, so that
neither the server nor its link had failed.
"""

from __future__ import annotations

from typing import NamedTuple

from anvillug import clock

# An earlier request that ends within this time of the reset does not show that the server lives:
# its response may have been on its way.
_MIN_SURVIVAL_MS = 5.0
# Resets that no response has followed after this time are forgotten.
_MAX_PENDING_MS = 2000.0
_MAX_PENDING = 16
# The limit is raised by one after this time without a further reset.
_RECOVERY_MS = 5000.0
# Lowest limit, as a share of the slots.
_MIN_LIMIT_SHARE = 0.5
# Resets above the slots, within the window, that show that the server resets when it is full.
_CONFIRMATIONS = 2
_WINDOW_MS = 30_000.0


class _Reset(NamedTuple):
    at: clock.Milliseconds
    taken: int
    slots: int


class FullResets:
    """Resets of one instance of a backend server."""

    def __init__(self) -> None:
        self.confirmed = False
        """Whether the server has shown that it resets requests beyond its slots."""
        self._pending: list[_Reset] = []
        self._above_slots: list[clock.Milliseconds] = []
        self._limit = 0
        self._lowered_at = clock.Milliseconds(0)

    def limit(self, slots: int, now: clock.Milliseconds) -> int:
        """Return how many jobs may be sent: the slots, or fewer for a while after a reset."""
        if not self._limit:
            return slots
        raised = int((now - self._lowered_at) / _RECOVERY_MS)
        if self._limit + raised >= slots:
            self._limit = 0
            return slots
        return self._limit + raised

    def reset(self, taken: int, slots: int, now: clock.Milliseconds) -> None:
        """Record that a request was reset.

        Args:
            taken: Jobs that the server may have held, including that request.
            slots: Jobs that it can run at once.
            now: Monotonic time.
        """
        if taken >= slots and len(self._pending) < _MAX_PENDING:
            self._pending.append(_Reset(now, taken, slots))

    def answered(self, sent_at: clock.Milliseconds, now: clock.Milliseconds) -> bool:
        """Record a response; return whether it has shown that the server reset when it was full.

        Args:
            sent_at: When the request was sent.
            now: Monotonic time.
        """
        shown = False
        pending = self._pending
        self._pending = []
        for reset in pending:
            if sent_at < reset.at and now - reset.at >= _MIN_SURVIVAL_MS:
                self._lower(reset, now)
                shown = True
            elif now - reset.at < _MAX_PENDING_MS:
                self._pending.append(reset)
        return shown

    def _lower(self, reset: _Reset, now: clock.Milliseconds) -> None:
        if reset.taken > reset.slots:
            recent = [at for at in self._above_slots if now - at < _WINDOW_MS]
            self._above_slots = [*recent, now][-_CONFIRMATIONS:]
            self.confirmed = self.confirmed or len(self._above_slots) >= _CONFIRMATIONS
            return
        lowest = max(1, int(reset.slots * _MIN_LIMIT_SHARE))
        self._limit = max(lowest, min(self.limit(reset.slots, now), reset.taken) - 1)
        self._lowered_at = now
