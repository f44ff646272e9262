"""Room at a backend server: which jobs run, which wait at the node, and which are rejected.

No more jobs are sent to the backend server than it can run at once. A few wait at the node, where
they can still be reordered and taken back as not run; a job that would wait longer than it pays to
try another host is rejected at once.
"""

from __future__ import annotations

import enum
import math
from typing import NamedTuple

from anvillug import clock
from anvillug.request import dialect, full_resets, job, occupancy, waiting_line

# A job is accepted to wait if the expected wait is at most this share of its spare time. One with
# `must_accept` has been rejected by several hosts; it may use all of it.
_EXPECTED_SHARE = 0.25
# An accepted job is rejected after this share of its spare time, so that another host can run it.
_GIVE_UP_SHARE = 0.5
# Weight of one run in the mean time that a run takes room.
_RUN_WEIGHT = 0.1


class Policy(NamedTuple):
    """Bounds of what waits at the node and of what is sent to the backend server."""

    max_waiting: int = 32
    """Jobs that may wait."""
    max_waiting_bytes: int = 4 * 1024 * 1024
    """Bytes of the bodies of jobs that wait."""
    max_upload_bytes: int = 32 * 1024 * 1024
    """Bytes of bodies that the backend server may hold; a larger job runs by itself."""


class Verdict(enum.Enum):
    """What becomes of a job that is offered."""

    RUN = 'run'
    WAIT = 'wait'
    REJECT = 'reject'


class Outcome(NamedTuple):
    """Verdict on a job."""

    verdict: Verdict
    """The verdict."""
    reason: str = ''
    """Why it is rejected."""
    wait_ms: float = 0.0
    """Expected time in milliseconds until there is room for the job."""
    evicted: occupancy.Ticket | None = None
    """Waiting job that is rejected in its place."""


class Room:
    """Room at one backend server.

    Args:
        policy: Bounds.
    """

    def __init__(self, policy: Policy) -> None:
        self.line = waiting_line.WaitingLine()
        """Jobs that wait."""
        self.occupancy = occupancy.Occupancy()
        """What the backend server holds."""
        self.resets = full_resets.FullResets()
        """Resets of a full backend server, which lower its limit."""
        self.slots = 1
        """Jobs that the backend server can run at once."""
        self._policy = policy
        self._mean_run_ms = 0.0

    def new_instance(self, slots: int, now: clock.Milliseconds, *, is_first: bool) -> None:
        """Start counting anew for another instance of the backend server.

        Args:
            slots: Jobs that it can run at once.
            now: Monotonic time.
            is_first: Whether a previous process of this node may have sent jobs to it.
        """
        self.slots = max(1, slots)
        self.occupancy = occupancy.Occupancy()
        self.resets = full_resets.FullResets()
        self._mean_run_ms = 0.0
        if is_first:
            self.occupancy.assume_previous(self.slots, now)

    def observe(self, load: dialect.ReportedLoad, load_at: clock.Milliseconds) -> None:
        """Take a reported load into account; see `Occupancy.observe`."""
        self.occupancy.observe(load, load_at)

    def adopt(self, work: job.Job, sent_at: clock.Milliseconds) -> occupancy.Ticket:
        """Count a job that was sent before the room was counted."""
        ticket = _ticket(work, 0.0, sent_at)
        self.occupancy.start(ticket, sent_at)
        return ticket

    def judge(self, work: job.Job, usual_ms: float, now: clock.Milliseconds) -> Outcome:
        """Return what would become of a job, without taking it."""
        return self._judge(_ticket(work, usual_ms, now), now)

    def offer(
        self, work: job.Job, usual_ms: float, now: clock.Milliseconds
    ) -> tuple[occupancy.Ticket, Outcome]:
        """Take a job or reject it.

        Args:
            work: The job.
            usual_ms: Usual time of a run of its route in milliseconds; 0 if unknown.
            now: Monotonic time.

        Returns:
            The job's ticket, which runs, waits or is rejected as the outcome says.
        """
        ticket = _ticket(work, usual_ms, now)
        outcome = self._judge(ticket, now)
        if outcome.verdict is Verdict.RUN:
            self.occupancy.start(ticket, now)
        elif outcome.verdict is Verdict.WAIT:
            if outcome.evicted is not None:
                self.line.remove(outcome.evicted)
            ticket.has_waited = True
            self.line.add(ticket)
        return ticket, outcome

    def next(self, now: clock.Milliseconds) -> occupancy.Ticket | None:
        """Start the next waiting job if there is room for it."""
        ticket = self.line.peek()
        if ticket is None or not self._has_room(ticket, now):
            return None
        self.line.take(ticket)
        self.occupancy.start(ticket, now)
        return ticket

    def take_back(self, ticket: occupancy.Ticket) -> bool:
        """Remove a waiting job; return False if it does not wait."""
        return self.line.remove(ticket)

    def ended(self, ticket: occupancy.Ticket, now: clock.Milliseconds, *, may_run: bool) -> None:
        """Record the end of a job that was started.

        Args:
            ticket: The job.
            now: Monotonic time.
            may_run: Whether the backend server may still hold it.
        """
        if ticket in self.occupancy.running and not may_run:
            took_ms = now - ticket.started_at
            weight = _RUN_WEIGHT if self._mean_run_ms else 1.0
            self._mean_run_ms += (took_ms - self._mean_run_ms) * weight
        self.occupancy.end(ticket, now, may_run=may_run)

    def dropped(self, ticket: occupancy.Ticket, now: clock.Milliseconds) -> None:
        """Give back the room of a job that was started and then not sent."""
        self.occupancy.end(ticket, now, may_run=False)

    def taken(self, now: clock.Milliseconds) -> int:
        """Return the number of jobs that the backend server may hold."""
        return self.occupancy.taken(now)

    def expired(self, now: clock.Milliseconds) -> list[occupancy.Ticket]:
        """Remove and return the jobs that have waited as long as pays off."""
        tickets = [ticket for ticket in self.line if ticket.give_up_at <= now]
        for ticket in tickets:
            self.line.remove(ticket)
        return tickets

    def next_event(self, now: clock.Milliseconds) -> clock.Milliseconds | None:
        """Return when time alone next changes what waits; None if nothing waits."""
        if not len(self.line):
            return None
        events = [ticket.give_up_at for ticket in self.line]
        release = self.occupancy.next_release(now)
        return min(events) if release is None else min(release, *events)

    def expected_wait_ms(self, ticket: occupancy.Ticket, now: clock.Milliseconds) -> float:
        """Return the expected time in milliseconds until there is room for a job."""
        # While no run ends, the age of those that run tells more than the last ones to end.
        run_ms = max(self._mean_run_ms, self.occupancy.mean_age_ms(now)) or ticket.usual_ms
        run_ms = run_ms or _time_left(ticket.work, now)
        return (self.line.ahead_of(ticket) + 1) * run_ms / self._limit(now)

    # Private

    def _limit(self, now: clock.Milliseconds) -> int:
        return self.resets.limit(self.slots, now)

    def _has_room(self, ticket: occupancy.Ticket, now: clock.Milliseconds) -> bool:
        if self.occupancy.taken(now) >= self._limit(now):
            return False
        held = self.occupancy.held_bytes(now)
        return not held or held + ticket.size <= self._policy.max_upload_bytes

    def _judge(self, ticket: occupancy.Ticket, now: clock.Milliseconds) -> Outcome:
        if now + ticket.usual_ms > ticket.work.deadline:
            return Outcome(Verdict.REJECT, 'too late')
        if not len(self.line) and self._has_room(ticket, now):
            return Outcome(Verdict.RUN)
        wait_ms = self.expected_wait_ms(ticket, now)
        if wait_ms > _allowed_wait_ms(ticket, now):
            return Outcome(Verdict.REJECT, 'no room in time', wait_ms)
        evicted = None
        if not self._fits_line(ticket, None):
            evicted = self.line.victim_for(ticket)
            if evicted is None or not self._fits_line(ticket, evicted):
                return Outcome(Verdict.REJECT, 'full', wait_ms)
        return Outcome(Verdict.WAIT, wait_ms=wait_ms, evicted=evicted)

    def _fits_line(self, ticket: occupancy.Ticket, evicted: occupancy.Ticket | None) -> bool:
        count = len(self.line) - (evicted is not None)
        held = self.line.held_bytes - (0 if evicted is None else evicted.size)
        policy = self._policy
        return count < policy.max_waiting and held + ticket.size <= policy.max_waiting_bytes


def _ticket(work: job.Job, usual_ms: float, now: clock.Milliseconds) -> occupancy.Ticket:
    latest_start = work.deadline - usual_ms
    spare_ms = _spare_ms(work, usual_ms, now)
    give_up_at = latest_start if work.must_accept else now + spare_ms * _GIVE_UP_SHARE
    give_up_at = clock.Milliseconds(min(latest_start, give_up_at))
    return occupancy.Ticket(work, usual_ms, now, work.size, give_up_at)


def _allowed_wait_ms(ticket: occupancy.Ticket, now: clock.Milliseconds) -> float:
    spare_ms = _spare_ms(ticket.work, ticket.usual_ms, now)
    return spare_ms if ticket.work.must_accept else spare_ms * _EXPECTED_SHARE


def _spare_ms(work: job.Job, usual_ms: float, now: clock.Milliseconds) -> float:
    """Return the time left beyond a usual run, to the objective or else to the deadline."""
    spare_ms = work.objective - now - usual_ms
    if math.isinf(spare_ms) or spare_ms <= 0:
        spare_ms = work.deadline - now - usual_ms
    return max(0.0, spare_ms)


def _time_left(work: job.Job, now: clock.Milliseconds) -> float:
    return max(0.0, min(work.objective, work.deadline) - now)
