"""Attempts of the entry side that have no result yet."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol as Interface

from anvillug import clock, ids
from anvillug.process import peer_table
from anvillug.request import dialect, job, remote_run
from anvillug.version import rollout_call, rollout_counts


class AttemptOwner(Interface):
    """Interface to the entry side that started an attempt."""

    clock: clock.Clock
    """Clock."""

    def attempt_ended(self, attempt: PendingAttempt, result: job.Result) -> None:
        """Process the result of an attempt."""

    def attempt_cancelled(self, attempt: PendingAttempt) -> None:
        """Record that an attempt was cancelled before it had a result."""

    def pending_changed(self, attempt: PendingAttempt, *, ended: bool) -> None:
        """Update the set of pending attempts when one has begun or ended."""


class PendingAttempt:
    """One attempt: a job that was sent to a host and has no result yet.

    Args:
        owner: Entry side.
        peer: Node of the host.
        work: The job.
        objective_ms: Latency objective of its route in milliseconds.
        on_result: Called once with the result, unless the attempt is cancelled.
    """

    def __init__(
        self,
        owner: AttemptOwner,
        peer: peer_table.Peer,
        work: job.Job,
        objective_ms: float,
        on_result: Callable[[job.Result], None],
    ) -> None:
        self.peer = peer
        """Node of the host."""
        self.work = work
        """The job."""
        self.started_at = owner.clock.now()
        """When the host was selected."""
        self.slowness = -1 if peer.load is None else int(peer.load.slowness)
        """Slowness that the host had reported by then, -1 if none."""
        self.faulty_percent = 0 if peer.load is None else round(100 * peer.load.fault_share)
        """Percentage of faulty runs that the host had reported by then, 0 if none was reported."""
        self.load_age_ms = -1 if peer.load is None else int(self.started_at - peer.load_reported_at)
        """Age of the reported load in milliseconds, -1 if none was reported."""
        self.version = peer.version
        """Version of the backend server that the job was sent to."""
        self.counted_as: rollout_counts.Outcome | None = None
        """Outcome under which a rollout counted the attempt, None if it was not counted."""
        self._cancel_run: Callable[[], object] | None = None
        self._objective_ms = objective_ms
        # None while an inquiry has no response, since the job has not been sent.
        self._receiver: ids.Incarnation | None = peer.announcement.incarnation
        self._owner = owner
        self._on_result = on_result
        self._ended = False
        peer.outstanding += 1
        owner.pending_changed(self, ended=False)

    @property
    def has_node_restarted(self) -> bool:
        """Whether the process that received the job has been replaced by a newer one."""
        return self._receiver in self.peer.former_incarnations

    def run_started(self, cancel_run: Callable[[], object] | None) -> None:
        """Set the function that cancels the run at the host; None if the host rejected the job.

        The run refers to the attempt, and both would be freed only by the collector if an attempt
        that has ended kept it.
        """
        if not self._ended:
            self._cancel_run = cancel_run

    def inquire_first(self, run: remote_run.RemoteRun) -> None:
        """Send an inquiry before the job, whose response tells which process receives the job.

        The process may be newer than the newest announcement.
        """
        announced = self._receiver
        self._receiver = None

        def found(incarnation: ids.Incarnation | None) -> None:
            self._receiver = announced if incarnation is None else incarnation

        run.inquire_first(found)

    @property
    def counted_name(self) -> str:
        """Name of the outcome under which a rollout counted the attempt, empty if none."""
        return '' if self.counted_as is None else self.counted_as.value

    def as_call(
        self, latency_ms: float | None, load: dialect.ReportedLoad | None
    ) -> rollout_call.Call:
        """Return the attempt as evidence on the version.

        Args:
            latency_ms: Time to the response, or up to now; None if the attempt failed.
            load: Newest load of the backend server.
        """
        slowness_after = self.slowness if load is None else load.slowness
        return rollout_call.Call(
            self.work.service,
            self.work.route,
            self.peer.announcement.host_id,
            self.version,
            latency_ms,
            max(self.slowness, slowness_after),
            self._objective_ms,
        )

    def result(self, result: job.Result) -> None:
        """End the attempt and report its result, unless it has ended already."""
        if self._ended:
            return
        self._finish()
        try:
            self._owner.attempt_ended(self, result)
        finally:
            # A failure to record the attempt must not cost the caller the answer.
            self.work.release_body()
            self._on_result(result)

    def cancel(self) -> None:
        """Cancel the attempt; no result is reported."""
        if not self._ended:
            cancel_run = self._cancel_run
            self._finish()
            self._owner.attempt_cancelled(self)
            if cancel_run is not None:
                cancel_run()
            self.work.release_body()

    def abort(self, reason: str) -> None:
        """Cancel the run and report that its outcome is unknown."""
        if self._cancel_run is not None:
            self._cancel_run()
        self.result(job.Result(job.ResultKind.UNKNOWN, reason, node_failed=True))

    def _finish(self) -> None:
        self._ended = True
        self._cancel_run = None
        self._owner.pending_changed(self, ended=True)
        self.peer.outstanding -= 1
