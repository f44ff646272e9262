"""One rollout: the share of the new version, its evidence, and its outcome.

The new version first gets a small share of the calls (canary). Late in the rollout all calls are
moved to it (shift), and the rollout is completed once the calls on the old version have ended,
because the old backend servers stop then. Canary and shift together stay within the exposure
bound, also for faults that occur only under full load or after some time.
"""

from __future__ import annotations

import enum
import math
from typing import NamedTuple

from anvillug import clock, event_log, ids
from anvillug.version import (
    directives,
    rollout_call,
    rollout_counts,
    rollout_evidence,
    rollout_verdict,
)

# Share of the rollout's duration after which the shift may begin. An earlier shift would miss
# faults that begin late; a later one would leave too little time to store the outcome.
_SHIFT_ELAPSED_SHARE = 0.8
# Share of the duration after which a version that has not been accepted is reverted.
_REVERT_ELAPSED_SHARE = 0.9
# Nearly all calls on the old version end within this time after the shift begins.
_DRAIN_MS = 1000.0
# Time allowed after that for storing the outcome. Beyond it, the store counts as unavailable and
# the shift is cancelled.
_STORE_WRITE_MS = 1500.0
# Part of the exposure slack that the plan uses. The rest covers random variation and the calls that
# are in flight when the version is found to be bad.
_PLANNED_SLACK_RATIO = 0.4
# Limits and initial value of the canary share; the ratios apply to the share of the exposure bound.
_MIN_EXPOSURE_RATIO = 0.3
_INITIAL_EXPOSURE_RATIO = 0.5
_MAX_CANARY_SHARE = 0.5
# The new version is not accepted with fewer calls than this on either version.
_MIN_COMPARED_CALLS = 20
# Time in which a node that has just started receives the counts of the others and observes enough
# calls to estimate their rate.
_MIN_OBSERVATION_MS = 2500.0
_EVALUATION_INTERVAL_MS = 200.0
_LOG_INTERVAL_MS = 1000.0


class Phase(enum.Enum):
    """State of a rollout."""

    CANARY = 'canary'
    SHIFTING = 'shifting'
    COMPLETED = 'completed'
    REVERTED = 'reverted'

    @property
    def is_final(self) -> bool:
        """Whether the rollout is over."""
        return self in _FINAL_PHASES


_FINAL_PHASES = frozenset((Phase.COMPLETED, Phase.REVERTED))


class Step(enum.Enum):
    """Step that one node takes on behalf of all, once it can reach the store."""

    ANNOUNCE = 'announce'
    """Write to the store that the rollout is in progress."""
    SHIFT = 'shift'
    """Move all calls to the new version."""
    COMPLETE = 'complete'
    """Write to the store that the new version has replaced the old one."""
    REVERT = 'revert'
    """Write to the store that the rollout was reverted to the old version."""


class Status(NamedTuple):
    """State of a rollout as it is shown to the operator."""

    service: ids.ServiceName
    """Service that is rolled out."""
    target_version: ids.VersionName
    """Version that the traffic moves to."""
    phase: Phase
    """`CANARY` while it is in progress, or how it ended."""


class StoredStatus(NamedTuple):
    """Status record of a service in the store."""

    position: directives.Position
    """Position of the record."""
    phase: Phase | None
    """Phase that it states; None if it is the status of another rollout."""


class Exposure(NamedTuple):
    """Bound on the calls that a bad version may receive during its rollout."""

    share: float
    """Part of the service's calls."""
    slack: float
    """Calls allowed in addition to that share."""


class Rollout:
    """One rollout.

    Args:
        order: The operator's order.
        now: Monotonic time at which this node received the order.
        exposure: Bound on the calls that a bad version may receive.
    """

    def __init__(
        self, order: directives.RolloutOrder, now: clock.Milliseconds, exposure: Exposure
    ) -> None:
        self.order = order
        """The operator's order."""
        self.canary_share = exposure.share * _INITIAL_EXPOSURE_RATIO
        """Share of calls that goes to the new version before the shift."""
        self.phase = Phase.CANARY
        """Current phase."""
        self.started_at = now
        """Earliest time at which any node is known to have received the order."""
        self.cancelled_shifts = 0
        """Number of shifts that were cancelled because the outcome could not be stored."""
        self.shifted_at = clock.Milliseconds(0)
        """When the shift began, by this node or by the report that it adopted."""
        self.stored: StoredStatus | None = None
        """Newest status record that is known in the present era of the store."""
        self.earlier_stored: StoredStatus | None = None
        """Status record of an earlier rollout to the same version, which does not apply here."""
        self.settled = False
        """Whether the outcome has been in the store, in any era."""
        self.evidence = rollout_evidence.Evidence()
        """Counted calls on both versions."""
        self._exposure = exposure
        self._observed_since = now
        self._comparisons: list[rollout_verdict.Comparison] = []
        self._evaluated_at = clock.Milliseconds(-math.inf)
        self._logged_at = now

    @property
    def share(self) -> float:
        """Share of calls that currently goes to the new version."""
        if self.phase is Phase.CANARY:
            return self.canary_share
        return 0.0 if self.phase is Phase.REVERTED else 1.0

    @property
    def stored_outcome(self) -> StoredStatus | None:
        """Status record that states the outcome of this rollout, once the store holds it."""
        is_stored = self.phase.is_final and self.stored is not None
        return self.stored if is_stored and self.stored.phase is self.phase else None

    def owns_status(self, status: Status, position: directives.Position) -> bool:
        """Return whether a status record states the progress of this rollout.

        Args:
            status: Content of the record.
            position: Position of the record.
        """
        earlier = self.earlier_stored
        is_earlier = earlier is not None and position <= earlier.position
        return status.target_version == self.order.target_version and not is_earlier

    def record(self, call: rollout_call.Call) -> rollout_counts.Outcome:
        """Count a call that has ended.

        Returns:
            The outcome under which it was counted.
        """
        baseline_ms = self.evidence.baseline_ms(call.route)
        normalized_ms = 0.0
        outcome = rollout_counts.Outcome.FAILED
        if call.latency_ms is not None:
            normalized_ms = call.normalized_ms
            slow = call.is_slow(baseline_ms)
            outcome = rollout_counts.Outcome.SLOW if slow else rollout_counts.Outcome.GOOD
        if call.version == self.order.target_version:
            self.evidence.count_new(call.route, call.host_id, outcome)
        else:
            # Uncapped, a few very slow calls would raise the baseline and hide other slow calls.
            max_ms = math.inf if baseline_ms is None else baseline_ms * rollout_call.SLOW_RATIO
            self.evidence.count_old(call.route, outcome, min(normalized_ms, max_ms))
        return outcome

    def record_if_slow(self, call: rollout_call.Call) -> rollout_counts.Outcome | None:
        """Count a call that has received no response yet, if it is slow already.

        Returns:
            The outcome under which it was counted; None if it was not counted.
        """
        return self.record(call) if call.is_slow(self.evidence.baseline_ms(call.route)) else None

    def step(self, now: clock.Milliseconds) -> bool:
        """Evaluate the evidence, at most once per evaluation interval.

        Returns:
            Whether this node has just found the new version to be bad.
        """
        if self.phase.is_final or now - self._evaluated_at < _EVALUATION_INTERVAL_MS:
            return False
        self._plan_share(now)
        self.evidence.step(now)
        self._evaluate(now)
        if now - self._logged_at >= _LOG_INTERVAL_MS:
            self._logged_at = now
            self._log('rollout_evidence', self._worst_comparison)
        for comparison in self._comparisons:
            if comparison.is_worse:
                self._enter(Phase.REVERTED, str(comparison))
                return True
        if self.phase is Phase.SHIFTING and now - self.shifted_at > _DRAIN_MS + _STORE_WRITE_MS:
            self.cancelled_shifts += 1
            self._enter(Phase.CANARY, 'outcome not written to the store in time')
        return False

    def next_step(self, now: clock.Milliseconds) -> Step | None:
        """Return the step that is due on behalf of all nodes, if any."""
        stored_phase = None if self.stored is None else self.stored.phase
        if self.phase.is_final:
            if stored_phase is self.phase:
                return None
            return Step.REVERT if self.phase is Phase.REVERTED else Step.COMPLETE
        if self._has_enough_evidence(now):
            decision = self._next_decision(now)
            if decision is not None:
                return decision
        return Step.ANNOUNCE if stored_phase is None else None

    def shift(self, now: clock.Milliseconds) -> None:
        """Move all calls to the new version."""
        self.shifted_at = now
        self._enter(Phase.SHIFTING, self._worst_comparison)

    def revert(self) -> bool:
        """Revert to the old version, because the new one has not been accepted.

        Returns:
            Whether this changed the phase.
        """
        if self.phase.is_final:
            return False
        self._enter(Phase.REVERTED, self._rejection_reason)
        return True

    def adopt_shift(self, cancelled_shifts: int, shifted_at: clock.Milliseconds) -> None:
        """Enter the shift that another node has begun, unless this node has cancelled that shift.

        Args:
            cancelled_shifts: Number of shifts that were cancelled before that one.
            shifted_at: When that shift began, by this node's monotonic clock.
        """
        if self.phase is Phase.CANARY and cancelled_shifts >= self.cancelled_shifts:
            self.cancelled_shifts = cancelled_shifts
            self.shifted_at = shifted_at
            self._enter(Phase.SHIFTING, 'reported by another node')

    def record_stored(self, stored: StoredStatus) -> None:
        """Record a status record of the present era, unless a newer one is known."""
        if self.stored is None or stored.position > self.stored.position:
            self.stored = stored

    def settle(self, phase: Phase, reason: str) -> None:
        """Adopt an outcome that the store holds or held before it was restored.

        `COMPLETED` is never replaced: the old backend servers stopped when it was stored.
        """
        if self.settled and self.phase is Phase.COMPLETED:
            return
        self.settled = True
        self.adopt(phase, reason)

    def adopt(self, phase: Phase, reason: str) -> None:
        """Adopt the outcome that the store or another node reports."""
        if phase is not self.phase:
            self._enter(phase, reason)

    # Private

    def _has_enough_evidence(self, now: clock.Milliseconds) -> bool:
        """Tell whether this node has the counts it needs to decide on behalf of all nodes."""
        return now - self._observed_since >= _MIN_OBSERVATION_MS and self.evidence.is_complete(now)

    def _next_decision(self, now: clock.Milliseconds) -> Step | None:
        if self.phase is Phase.SHIFTING:
            if now - self.shifted_at < _DRAIN_MS:
                return None
            self._evaluate(now)
            return Step.REVERT if self._rejection_reason else Step.COMPLETE
        duration_ms = self.order.duration_ms
        elapsed_ms = now - self.started_at
        latest_ms = duration_ms - _DRAIN_MS - _STORE_WRITE_MS
        if (
            elapsed_ms >= min(_SHIFT_ELAPSED_SHARE * duration_ms, latest_ms)
            and not self._rejection_reason
        ):
            return Step.SHIFT
        return Step.REVERT if elapsed_ms >= _REVERT_ELAPSED_SHARE * duration_ms else None

    def _evaluate(self, now: clock.Milliseconds) -> None:
        self._evaluated_at = now
        self._comparisons = rollout_verdict.compare(*self.evidence.strata())

    @property
    def _rejection_reason(self) -> str:
        """Why the new version can't be accepted as equally good; empty if it can."""
        total = self.evidence.total
        fewest_calls = min(total.new.calls, total.old.calls)
        if fewest_calls < _MIN_COMPARED_CALLS:
            return f'only {fewest_calls} calls to compare'
        doubtful_reasons = [
            str(comparison) for comparison in self._comparisons if comparison.is_doubtful
        ]
        return doubtful_reasons[0] if doubtful_reasons else ''

    @property
    def _worst_comparison(self) -> str:
        return str(self._comparisons[0]) if self._comparisons else 'no calls compared'

    def _plan_share(self, now: clock.Milliseconds) -> None:
        """Set the canary share so that canary and shift together stay within the exposure bound."""
        elapsed_ms = now - self.started_at
        if now - self._observed_since < _MIN_OBSERVATION_MS or elapsed_ms >= self.order.duration_ms:
            return
        total = self.evidence.total
        calls = max(1, total.new.calls + total.old.calls)
        calls_per_ms = calls / elapsed_ms
        expected = calls_per_ms * self.order.duration_ms
        allowed = self._exposure.share * expected + self._exposure.slack * _PLANNED_SLACK_RATIO
        min_planned = self._exposure.share * _MIN_EXPOSURE_RATIO * expected
        planned = max(min_planned, allowed - calls_per_ms * _DRAIN_MS)
        # The new version may have received more than planned while the old one rejected calls.
        remaining_share = (planned - total.new.calls) / (expected - calls)
        self.canary_share = min(_MAX_CANARY_SHARE, max(0.0, remaining_share))

    def _enter(self, phase: Phase, reason: str) -> None:
        self.phase = phase
        self._log('rollout_phase', reason)

    def _log(self, event: str, reason: str) -> None:
        new = self.evidence.total.new
        old = self.evidence.total.old
        event_log.emit(
            event,
            service=self.order.service,
            target_version=self.order.target_version,
            phase=self.phase.value,
            reason=reason,
            share=round(self.share, 3),
            new_calls=new.calls,
            new_failed=new.failed,
            new_slow=new.slow,
            old_calls=old.calls,
            old_failed=old.failed,
            old_slow=old.slow,
        )
