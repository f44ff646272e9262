"""Connects the room at a backend server to the host side: timers, results and metrics."""

from __future__ import annotations

import dataclasses
import functools
from collections.abc import Callable
from typing import Any

from anvillug import clock, event_log
from anvillug.process import metrics, upstream
from anvillug.request import job, occupancy, room, upstream_run

# Priorities from this one on share a label of the metrics, which bounds their number.
_MAX_PRIORITY_LABEL = 9

Start = Callable[[occupancy.Ticket, upstream_run.ResultReady], Callable[[], object] | None]
"""Starts a job that was given room; returns the function that cancels it, None if rejected."""
Reject = Callable[[str, upstream_run.ResultReady, float], None]
"""Rejects a job, with the reason and the expected milliseconds until there is room."""


@dataclasses.dataclass(slots=True, eq=False)
class _Waiter:
    on_result: upstream_run.ResultReady
    cancel_run: Callable[[], object] | None = None


class HostRoom:
    """Jobs that run or wait at one host.

    Args:
        reactor: Timers.
        time: Clock.
        policy: Bounds.
        backend: Backend server of the node.
        process_metrics: Metrics of the process.
        start: Starts a job.
        reject: Rejects a job.
    """

    def __init__(
        self,
        reactor: Any,
        time: clock.Clock,
        policy: room.Policy,
        backend: upstream.Upstream,
        process_metrics: metrics.Metrics,
        start: Start,
        reject: Reject,
    ) -> None:
        self.room = room.Room(policy)
        """Decides which jobs run, wait and are rejected."""
        self._reactor = reactor
        self._clock = time
        self._upstream = backend
        self._metrics = process_metrics
        self._start = start
        self._reject = reject
        self._waiters_by_ticket: dict[occupancy.Ticket, _Waiter] = {}
        self._timer: Any = None

    @property
    def waiting(self) -> int:
        """Number of jobs that wait."""
        return len(self._waiters_by_ticket)

    def submit(
        self, work: job.Job, usual_ms: float, on_result: upstream_run.ResultReady
    ) -> Callable[[], object] | None:
        """Run a job, let it wait, or reject it.

        Args:
            work: The job.
            usual_ms: Usual time of a run of its route in milliseconds; 0 if unknown.
            on_result: Called once with the result, unless the job is cancelled.

        Returns:
            Function that cancels the job; None if it is rejected.
        """
        self.advance()
        ticket, outcome = self.room.offer(work, usual_ms, self._clock.now())
        if outcome.evicted is not None:
            self._reject_waiting(outcome.evicted, 'evicted')
        if outcome.verdict is room.Verdict.RUN:
            return self._start(ticket, on_result)
        if outcome.verdict is room.Verdict.REJECT:
            self._count_rejection(work, outcome.reason)
            self._reject(outcome.reason, on_result, outcome.wait_ms)
            return None
        self._metrics.count('room_waits', _label(work))
        self._metrics.latency('room_expected_wait', outcome.wait_ms)
        waiter = _Waiter(on_result)
        self._waiters_by_ticket[ticket] = waiter
        self._schedule()
        return lambda: self._cancel(ticket, waiter)

    def judge(self, work: job.Job, usual_ms: float) -> room.Outcome:
        """Return what would become of a job, without taking it."""
        self.advance()
        return self.room.judge(work, usual_ms, self._clock.now())

    def gauges(self) -> dict[str, float]:
        """Return the gauges by name."""
        now = self._clock.now()
        return {'jobs_waiting': self.waiting, 'room_taken': self.room.taken(now)}

    def dropped(self, ticket: occupancy.Ticket) -> None:
        """Give the room of a job back that was not sent."""
        self.room.dropped(ticket, self._clock.now())

    def ended(self, ticket: occupancy.Ticket, *, may_run: bool) -> None:
        """Record the end of a job that was started; `advance` starts the next."""
        self.room.ended(ticket, self._clock.now(), may_run=may_run)

    def advance(self) -> None:
        """Reject the jobs that have waited too long, and start those that have room."""
        load = self._upstream.load
        if load is not None:
            self.room.observe(load, self._upstream.load_at)
        now = self._clock.now()
        for ticket in self.room.expired(now):
            self._reject_waiting(ticket, 'waited too long')
        for started in iter(functools.partial(self.room.next, now), None):
            waiter = self._waiters_by_ticket.pop(started)
            self._metrics.latency('room_wait', now - started.offered_at)
            waiter.cancel_run = self._start(started, waiter.on_result)
        self._schedule()

    def reject_all(self, reason: str) -> None:
        """Reject the jobs that wait, since the backend server is lost."""
        for ticket in self.room.line:
            if self.room.take_back(ticket):
                self._reject_waiting(ticket, reason)

    # Private

    def _cancel(self, ticket: occupancy.Ticket, waiter: _Waiter) -> None:
        if self._waiters_by_ticket.pop(ticket, None) is not None:
            self.room.take_back(ticket)
            ticket.work.release_body()
        elif waiter.cancel_run is not None:
            waiter.cancel_run()

    def _reject_waiting(self, ticket: occupancy.Ticket, reason: str) -> None:
        waiter = self._waiters_by_ticket.pop(ticket, None)
        if waiter is None:
            # Cancelled while another result was reported.
            return
        now = self._clock.now()
        wait_ms = self.room.expected_wait_ms(ticket, now)
        self._count_rejection(ticket.work, reason)
        event_log.emit(
            'wait_over',
            request=ticket.work.attempt_id,
            reason=reason,
            priority=ticket.work.priority,
            tenant=ticket.work.tenant,
            waited_ms=int(now - ticket.offered_at),
            expected_ms=int(wait_ms),
            waiting=self.waiting,
        )
        ticket.work.release_body()
        self._reject(reason, waiter.on_result, wait_ms)

    def _count_rejection(self, work: job.Job, reason: str) -> None:
        self._metrics.count('room_rejections', f'{reason}, priority {_label(work)}')
        self._metrics.count_of_tenant('tenant_room_rejections', work.tenant, reason)

    def _schedule(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
        now = self._clock.now()
        event_at = self.room.next_event(now)
        if event_at is not None:
            delay_s = clock.to_seconds(max(1.0, event_at - now))
            self._timer = self._reactor.callLater(delay_s, self.advance)


def _label(work: job.Job) -> str:
    return str(min(work.priority, _MAX_PRIORITY_LABEL))
