"""Counts what a backend server holds, including jobs that may still run there unobserved.

A cancelled run, a run without a response and the runs of a previous process of this node may
still take room at the backend server.
"""

from __future__ import annotations

import dataclasses
from typing import NamedTuple

from anvillug import clock
from anvillug.request import dialect, job

# Runs of a previous process are assumed for this long if the backend server reports no load.
_MAX_ASSUMED_MS = 1000.0
# Assumed runs of a previous process, as a share of the slots.
_ASSUMED_SHARE = 0.5
# A backend server that stops work at the deadline needs this much longer to free its slot.
_RELEASE_MS = 60.0


@dataclasses.dataclass(slots=True, eq=False)
class Ticket:
    """A job at the host, from its offer to its end."""

    work: job.Job
    """The job."""
    usual_ms: float
    """Usual time of a run of its route in milliseconds; 0 if unknown."""
    offered_at: clock.Milliseconds
    """When it was offered."""
    size: int
    """Bytes of its body; kept when the body is released."""
    give_up_at: clock.Milliseconds
    """When it is rejected if it still waits."""
    started_at: clock.Milliseconds = clock.Milliseconds(0)
    """When it was sent; 0 while it waits."""
    has_waited: bool = False
    """Whether it had to wait."""


class _Unobserved(NamedTuple):
    """Room that may still be taken, until the backend server reports otherwise."""

    since: clock.Milliseconds
    until: clock.Milliseconds
    size: int


class Occupancy:
    """What one instance of a backend server holds, as far as this node knows."""

    def __init__(self) -> None:
        self.running: set[Ticket] = set()
        """Jobs that were sent and are not over."""
        self._unobserved: list[_Unobserved] = []
        self._load_at = clock.Milliseconds(0)

    def assume_previous(self, slots: int, now: clock.Milliseconds) -> None:
        """Assume runs of a previous process of this node until the load is reported."""
        until = clock.Milliseconds(now + _MAX_ASSUMED_MS)
        assumed = int(slots * _ASSUMED_SHARE)
        self._unobserved.extend(_Unobserved(now, until, 0) for _ in range(assumed))

    def start(self, ticket: Ticket, now: clock.Milliseconds) -> None:
        """Count a job that is sent."""
        ticket.started_at = now
        self.running.add(ticket)

    def end(self, ticket: Ticket, now: clock.Milliseconds, *, may_run: bool) -> None:
        """Count a job as over, or as unobserved if it may still run at the backend server."""
        if ticket not in self.running:
            return
        self.running.discard(ticket)
        until = clock.Milliseconds(ticket.work.deadline + _RELEASE_MS)
        if may_run and until > now:
            self._unobserved.append(_Unobserved(now, until, ticket.size))

    def observe(self, load: dialect.ReportedLoad, load_at: clock.Milliseconds) -> None:
        """Release what a reported load shows to be over; it never adds any.

        Args:
            load: Reported load.
            load_at: Monotonic time of the report.
        """
        if load_at <= self._load_at:
            return
        # Jobs that were sent before the previous report have arrived.
        arrived = sum(ticket.started_at <= self._load_at for ticket in self.running)
        self._load_at = load_at
        most = max(0, load.running + load.waiting - arrived)
        before = [entry for entry in self._unobserved if entry.since < load_at]
        after = [entry for entry in self._unobserved if entry.since >= load_at]
        self._unobserved = before[max(0, len(before) - most) :] + after

    def taken(self, now: clock.Milliseconds) -> int:
        """Return the number of jobs that the backend server may hold."""
        return len(self.running) + len(self._current(now))

    def held_bytes(self, now: clock.Milliseconds) -> int:
        """Return the bytes of request bodies that the backend server may hold."""
        unobserved = sum(entry.size for entry in self._current(now))
        return unobserved + sum(ticket.size for ticket in self.running)

    def next_release(self, now: clock.Milliseconds) -> clock.Milliseconds | None:
        """Return when the next unobserved job is over at the latest; None without any."""
        return min((entry.until for entry in self._current(now)), default=None)

    def mean_age_ms(self, now: clock.Milliseconds) -> float:
        """Return the mean time in milliseconds since the running jobs were sent."""
        ages = [now - ticket.started_at for ticket in self.running]
        return sum(ages) / len(ages) if ages else 0.0

    def _current(self, now: clock.Milliseconds) -> list[_Unobserved]:
        if self._unobserved:
            self._unobserved = [entry for entry in self._unobserved if entry.until > now]
        return self._unobserved
