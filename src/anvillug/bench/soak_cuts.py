"""Requests without an answer: which promise each of them breaks, or what excuses it.

The checks and the counts of the report both ask here.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
from collections.abc import Mapping

from anvillug import clock
from anvillug.bench import soak_records

TOUCH_MS = 3000
"""A node is in touch once nothing has been done to it for this time."""
APPLY_MS = 2000
"""Time in which a configuration or a SIGHUP is applied."""
# A request that is cut unread no later than this after its last byte crosses the close.
_SLACK_MS = 200
_AFTER_GRACE_MS = 1000
# A request that was sent up to this time after SIGTERM may be cut if its work outlasts the stop:
# if a backend server is still at work in the last part of the grace time.
_SENT_IN_TIME_MS = 3000
_LAST_PART = 1 / 6
_KILLED = soak_records.Disturbance.UNPLANNED
_LINK = soak_records.Disturbance.LINK
_NETWORK = soak_records.Disturbance.NETWORK
UNPLANNED = frozenset((_KILLED, _LINK, _NETWORK))
"""What excuses a cut, from `TOUCH_MS` before the request until its end."""
_STOP = frozenset((soak_records.Disturbance.PLANNED,))
_HANGUP = frozenset((soak_records.Disturbance.HANGUP,))


class Reason(enum.Enum):
    """Why a request has no answer: a broken promise, or an excuse."""

    LOST = 'LOST'
    PASSED_ON = 'LOST passed on'
    UNREAD = 'LOST unread'
    OPEN = 'open at the end'
    GAVE_UP = 'caller gave up'
    BROKE_OFF = 'backend server broke off'
    KILLED = 'kill or pause since 3 s before'
    LINK = 'link to the backend server since 3 s before'
    NETWORK = 'link to the node since 3 s before'
    INCOMPLETE = 'not sent completely'
    EXPIRED = 'timeout reached'
    CROSSED = 'crossed the close'
    OUTLASTS = 'work outlasts the grace time'
    CALM_UNREAD = 'not passed on, no planned work'
    CALM_PASSED_ON = 'passed on but not run, no planned work'
    DOUBTED = "can't be judged"


BROKEN = frozenset((Reason.LOST, Reason.PASSED_ON, Reason.UNREAD))
"""Reasons that are broken promises."""
_REASONS_BY_DISTURBANCE = {_KILLED: Reason.KILLED, _LINK: Reason.LINK, _NETWORK: Reason.NETWORK}


@dataclasses.dataclass(slots=True)
class HabitCount:
    """Requests of the callers with one habit."""

    requests: int = 0
    """All requests."""
    left: int = 0
    """Those that their callers have left, which count neither as answered nor as unanswered."""
    unanswered_by_why: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    """Those without an answer, by the promise that was broken or the excuse."""

    @property
    def unanswered(self) -> int:
        """Number of requests without an answer."""
        return self.unanswered_by_why.total()


def is_cut(attempt: soak_records.Attempt) -> bool:
    """Return whether a node ended an attempt without an answer, and not its caller."""
    is_over = attempt.ended_at is not None and not attempt.gave_up
    return is_over and attempt.is_unanswered


def seen_sooner(attempt: soak_records.Attempt) -> soak_records.Attempt:
    """Return an attempt as a judge without its longest stand-still might have seen it."""
    ended_at = max(attempt.written_at or attempt.sent_at, attempt.ended_at - attempt.stalled_ms)
    return dataclasses.replace(attempt, ended_at=clock.Milliseconds(ended_at))


def outlasts(
    records: soak_records.Records,
    attempt_id: str,
    sent_at: float,
    ended_at: float,
    stopped_at: float,
) -> bool:
    """Return whether an attempt was sent in time and cut since its work outlasts a stop."""
    killed_at = stopped_at + records.grace_ms
    last_part_at = killed_at - records.grace_ms * _LAST_PART
    is_in_time = sent_at <= stopped_at + _SENT_IN_TIME_MS and ended_at > last_part_at
    return is_in_time and any(
        run.began_at <= killed_at and (run.finished_at is None or run.finished_at > last_part_at)
        for run in records.runs_by_attempt_id.get(attempt_id, ())
    )


def has_expired(attempt: soak_records.Attempt) -> bool:
    """Return whether an attempt ended at its timeout or later."""
    return attempt.ended_at >= attempt.sent_at + attempt.timeout_ms


class Cuts:
    """Reasons of the requests of a soak that have no answer.

    Args:
        records: What was seen.
    """

    def __init__(self, records: soak_records.Records) -> None:
        self._records = records

    def counts_by_habit(self, broken_by_id: Mapping[str, str]) -> dict[str, HabitCount]:
        """Return the counts of the requests with and without an answer.

        Args:
            broken_by_id: Promises that attempts have broken, some only together with others.
        """
        counts: dict[str, HabitCount] = collections.defaultdict(HabitCount)
        for attempt in self._records.attempts:
            count = counts[attempt.group]
            count.requests += 1
            count.left += attempt.has_left
            if attempt.is_unanswered:
                excuse = self.reason(attempt).value
                why = broken_by_id.get(attempt.attempt_id, excuse)
                count.unanswered_by_why[why] += 1
        return dict(sorted(counts.items()))

    def reason(self, attempt: soak_records.Attempt) -> Reason:
        """Return why an attempt that its caller has not left has no answer."""
        if attempt.gave_up:
            return Reason.GAVE_UP
        if attempt.ended_at is None:
            return Reason.OPEN
        reason = self.certain_reason(attempt)
        is_doubted = reason is Reason.UNREAD and self.is_late_in_doubt(attempt)
        return Reason.DOUBTED if is_doubted else reason

    def certain_reason(self, attempt: soak_records.Attempt) -> Reason:
        """Return why an attempt was cut, by the times that its judge has seen."""
        if self.broke_off(attempt):
            return Reason.BROKE_OFF
        impairment = self.impairment(attempt)
        if impairment is not None:
            return _REASONS_BY_DISTURBANCE[impairment]
        if self._records.runs(attempt):
            return Reason.OUTLASTS if self.outlasts_stop(attempt) else Reason.LOST
        return self._reason_without_run(attempt)

    def is_late_in_doubt(self, attempt: soak_records.Attempt) -> bool:
        """Return whether an attempt is lost only by a lateness that its judge may have made."""
        if self._records.runs(attempt) or not self.was_cut_late(attempt):
            return False
        return not self.was_passed_on(attempt) and not self.was_cut_late(seen_sooner(attempt))

    def is_around_planned_work(self, attempt: soak_records.Attempt) -> bool:
        """Return whether an attempt was cut around a stop or a SIGHUP of the node that took it."""
        if self.was_stopping(attempt.node, attempt.ended_at):
            return True
        begin = attempt.sent_at - APPLY_MS
        return self._records.was_disturbed(attempt.node, begin, attempt.ended_at, _HANGUP)

    def was_stopping(self, node: int, now: float) -> bool:
        """Return whether a node had got SIGTERM up to its grace time and a second before."""
        begin = now - self._records.grace_ms - _AFTER_GRACE_MS
        return self._records.was_disturbed(node, begin, now, _STOP)

    def outlasts_stop(self, attempt: soak_records.Attempt) -> bool:
        """Return whether an attempt was sent in time and cut since its work outlasts a stop."""
        return any(
            outlasts(
                self._records, attempt.attempt_id, attempt.sent_at, attempt.ended_at, stopped_at
            )
            for node in self.nodes(attempt)
            for stopped_at, kind in self._records.disturbed_by_node[node]
            if kind in _STOP and stopped_at <= attempt.ended_at
        )

    def was_cut_late(self, attempt: soak_records.Attempt) -> bool:
        """Return whether a whole attempt was cut too late to cross the close."""
        if attempt.written_at is None or has_expired(attempt):
            return False
        return attempt.ended_at > attempt.written_at + _SLACK_MS

    def was_passed_on(self, attempt: soak_records.Attempt) -> bool:
        """Return whether the head of an attempt has reached a backend server."""
        return attempt.attempt_id in self._records.passed_on

    def broke_off(self, attempt: soak_records.Attempt) -> bool:
        """Return whether a backend server broke an attempt off."""
        return any(run.broke_off for run in self._records.runs(attempt))

    def impairment(self, attempt: soak_records.Attempt) -> soak_records.Disturbance | None:
        """Return how a node that had a part in an attempt was disturbed without a plan."""
        begin = attempt.sent_at - TOUCH_MS
        for kind in (_KILLED, _LINK, _NETWORK):
            for node in self.nodes(attempt):
                if self._records.was_disturbed(node, begin, attempt.ended_at, frozenset((kind,))):
                    return kind
        return None

    def nodes(self, attempt: soak_records.Attempt) -> set[int]:
        """Return the nodes that had a part in an attempt."""
        return {attempt.node} | {run.node for run in self._records.runs(attempt)}

    def _reason_without_run(self, attempt: soak_records.Attempt) -> Reason:
        if attempt.written_at is None:
            return Reason.INCOMPLETE
        if has_expired(attempt):
            return Reason.EXPIRED
        is_planned = self.is_around_planned_work(attempt)
        if self.was_passed_on(attempt):
            return Reason.PASSED_ON if is_planned else Reason.CALM_PASSED_ON
        if not is_planned:
            return Reason.CALM_UNREAD
        return Reason.UNREAD if self.was_cut_late(attempt) else Reason.CROSSED
