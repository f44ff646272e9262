"""One job that was handed to a host and has no result yet."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol as Interface

from anvillug import clock
from anvillug.process import peer_table
from anvillug.request import dialect, job
from anvillug.version import rollout, rollout_counts


class TryOwner(Interface):
    """What a try needs from the entry side."""

    clock: clock.Clock
    """Time."""

    def try_over(self, handed_over: PendingTry, result: job.Result) -> None:
        """Learn from the result of a try."""

    def try_cancelled(self, handed_over: PendingTry) -> None:
        """Record that a try was given up before there was a result."""

    def tries_changed(self, handed_over: PendingTry, *, over: bool) -> None:
        """Note that a try has begun or ended."""


class PendingTry:
    """One job that was handed to a host.

    Args:
        owner: Entry side.
        peer: Node of the host.
        work: The job.
        objective_ms: Latency objective of its route in milliseconds.
        on_result: Called once with the result, unless the try is cancelled.
    """

    def __init__(
        self,
        owner: TryOwner,
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
        """When the host was chosen."""
        self.slowness = -1 if peer.load is None else int(peer.load.slowness)
        """Slowness that the host had told, -1 without any."""
        self.faulty_percent = 0 if peer.load is None else round(100 * peer.load.fault_share)
        """Share of faulty runs that the host had told."""
        self.load_age_ms = -1 if peer.load is None else int(self.started_at - peer.load_reported_at)
        """Age of both in milliseconds, -1 without any."""
        self.version = peer.version
        """Version of the backend server that the job was sent to."""
        self.counted_as: rollout_counts.Outcome | None = None
        """What the try was counted as for a rollout, None if it was not."""
        self.cancel_run: Callable[[], object] | None = None
        """Ends the run at the host."""
        self._objective_ms = objective_ms
        self._incarnation = peer.announcement.incarnation
        self._owner = owner
        self._on_result = on_result
        self._over = False
        peer.outstanding += 1
        owner.tries_changed(self, over=False)

    @property
    def process_ended(self) -> bool:
        """Whether another process of the node has followed the one that got the job."""
        return self.peer.announcement.incarnation != self._incarnation

    @property
    def counted_name(self) -> str:
        """What the try was counted as for a rollout, empty if it was not."""
        return '' if self.counted_as is None else self.counted_as.value

    def as_call(self, latency_ms: float | None, load: dialect.ReportedLoad | None) -> rollout.Call:
        """Return the try as evidence on the version.

        Args:
            latency_ms: Time to the answer, or up to now; None where it failed.
            load: Newest load of the backend server.
        """
        slowness_after = self.slowness if load is None else load.slowness
        return rollout.Call(
            self.work.service,
            self.work.route,
            self.peer.announcement.host_id,
            self.version,
            latency_ms,
            max(self.slowness, slowness_after),
            self._objective_ms,
        )

    def result(self, result: job.Result) -> None:
        """Pass the result on."""
        if self._over:
            return
        self._finish()
        self._owner.try_over(self, result)
        self._on_result(result)

    def cancel(self) -> None:
        """Give the job up."""
        if not self._over:
            self._finish()
            self._owner.try_cancelled(self)
            if self.cancel_run is not None:
                self.cancel_run()

    def give_up(self, reason: str) -> None:
        """Cancel the run and pass on that its outcome is unknown."""
        if self.cancel_run is not None:
            self.cancel_run()
        self.result(job.Result(job.ResultKind.UNKNOWN, reason, node_failed=True))

    def _finish(self) -> None:
        self._over = True
        self._owner.tries_changed(self, over=True)
        self.peer.outstanding -= 1
