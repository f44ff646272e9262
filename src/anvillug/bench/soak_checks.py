"""Promises to callers: which attempts of a soak break one."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from anvillug import clock
from anvillug.bench import soak_order_checks, soak_records

_TOUCH_MS = 3000
# A request that is cut unread no later than this after its last byte crosses the close.
_SLACK_MS = 200
_GRACE_MS = 6000
_AFTER_STOP_MS = _GRACE_MS + 1000
_APPLY_MS = 2000
_AFTER_CONFIG_MS = _APPLY_MS + 1000
# Cuts beside a configuration count if they are over this factor as frequent as at other times.
_CONFIG_FACTOR = 3
_CONFIG_SHARE_OF_TIME = 0.7
_MAX_KEPT_CUTS = 3
_ANSWER_SLACK_MS = 500
_MAX_UNANSWERED_SHARE = 0.5
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_SUCCESS = range(200, 300)
_UNPLANNED = frozenset(
    (
        soak_records.Disturbance.UNPLANNED,
        soak_records.Disturbance.LINK,
        soak_records.Disturbance.NETWORK,
    )
)
_STOP = frozenset((soak_records.Disturbance.PLANNED,))
_HANGUP = frozenset((soak_records.Disturbance.HANGUP,))
_OUT_OF_TOUCH = _UNPLANNED | _STOP | {soak_records.Disturbance.START}


def broken(records: soak_records.Records) -> list[str]:
    """Return the promises that were broken, each with the attempt or the node that shows it."""
    checks = _Checks(records)
    problems = [f'FAULT {reason}' for reason in records.own_ends]
    problems += [f'DRAIN {attempt_id}' for attempt_id in records.late_arrivals]
    for attempt in records.attempts:
        name = checks.broken_by(attempt)
        if name:
            problems.append(f'{name} {attempt.attempt_id}')
    return [
        *problems,
        *soak_order_checks.broken(records),
        *_named('LOST kept connection', checks.cut_on_kept_connections()),
        *_named('LOST unread beside a configuration', checks.cut_beside_configs()),
        *_named('CONFIG unanswered', checks.unanswered()),
    ]


def _named(name: str, attempts: Iterable[soak_records.Attempt]) -> list[str]:
    return [f'{name} {attempt.attempt_id}' for attempt in attempts]


def _is_cut(attempt: soak_records.Attempt) -> bool:
    """Return whether a node ended an attempt without an answer, and not its caller."""
    is_over = attempt.ended_at is not None and not attempt.gave_up
    return is_over and not attempt.status


def _is_mixed(attempt: soak_records.Attempt) -> bool:
    """Return whether an attempt got what is not its own whole answer."""
    if attempt.garbled or attempt.echoed_id not in {'', attempt.attempt_id}:
        return True
    is_own = attempt.sealed and attempt.body == attempt.attempt_id.encode()
    return attempt.status in _SUCCESS and not is_own


def unjudged(records: soak_records.Records) -> list[str]:
    """Return what can't be judged, since its judge stood still, with the attempt that shows it.

    That are promises that would be broken or held by the time at which the judge began to stand
    still, and the contrary by the time at which it saw the end of the attempt.
    """
    checks = _Checks(records)
    lost = {attempt.attempt_id: checks.doubt(attempt) for attempt in records.attempts}
    return [
        *(f'{name} {attempt_id}' for attempt_id, name in lost.items() if name),
        *_named('LOST unread beside a configuration', checks.cut_beside_configs(in_doubt=True)),
        *_named('CONFIG unanswered', checks.unanswered(in_doubt=True)),
    ]


def _seen_sooner(attempt: soak_records.Attempt) -> soak_records.Attempt:
    """Return an attempt as a judge without its longest stand-still might have seen it."""
    ended_at = max(attempt.written_at or attempt.sent_at, attempt.ended_at - attempt.stalled_ms)
    return dataclasses.replace(attempt, ended_at=clock.Milliseconds(ended_at))


class _Checks:
    """Checks of attempts against the runs and disturbances of their soak."""

    def __init__(self, records: soak_records.Records) -> None:
        self._records = records

    def broken_by(self, attempt: soak_records.Attempt) -> str:
        """Return the promise that a single attempt shows to be broken, or an empty string."""
        runs = self._records.runs(attempt)
        if _is_mixed(attempt):
            return 'MIXED'
        if not attempt.repeatable and len(runs) > 1:
            return 'TWICE'
        if not attempt.repeatable and runs and attempt.status in _NOT_RUN_STATUSES:
            return 'REFUSED'
        if _is_cut(attempt):
            return '' if self._is_late_in_doubt(attempt) else self._lost_by_cut(attempt)
        if self._was_replaced(attempt):
            return 'LOST replaced'
        return ''

    def doubt(self, attempt: soak_records.Attempt) -> str:
        """Return the promise of which an attempt can't tell whether it is broken, or nothing.

        That is whether it was cut late, or before its timeout.
        """
        if not attempt.stalled_ms or attempt.ended_at is None or self.broken_by(attempt):
            return ''
        if _is_cut(attempt) and self._is_late_in_doubt(attempt):
            return self._lost_by_cut(attempt)
        sooner = _seen_sooner(attempt)
        was_due = self._has_expired(attempt) and not self._has_expired(sooner)
        return self.broken_by(sooner) if was_due else ''

    def cut_on_kept_connections(self) -> list[soak_records.Attempt]:
        """Return the attempts that their undisturbed node passed on and cut, if too many.

        Those that are lost in any case are not counted again.
        """
        cut = [
            attempt
            for attempt in self._records.attempts
            if _is_cut(attempt) and attempt.kept and self._was_cut_in_touch(attempt)
        ]
        return cut if len(cut) > _MAX_KEPT_CUTS else []

    def cut_beside_configs(self, *, in_doubt: bool = False) -> list[soak_records.Attempt]:
        """Return the attempts that were cut unread beside a configuration, by node.

        They count at nodes that cut attempts over three times as often then as at other times.

        Args:
            in_doubt: Whether those are returned that count only by a time that is in doubt.
        """
        attempts_by_node: dict[int, list[soak_records.Attempt]] = {}
        for attempt in self._records.attempts:
            attempts_by_node.setdefault(attempt.node, []).append(attempt)
        lost = []
        for attempts in attempts_by_node.values():
            beside = [each for each in attempts if self._is_beside_config(each)]
            cut = [each for each in beside if self._was_cut_beside_config(each)]
            others = [each for each in attempts if not self._is_beside_config(each)]
            cut_others = sum(_is_cut(each) for each in others)
            if len(cut) * len(others) > _CONFIG_FACTOR * cut_others * len(beside) or not others:
                lost += [each for each in cut if self._is_late_in_doubt(each) is in_doubt]
        return lost

    def unanswered(self, *, in_doubt: bool = False) -> list[soak_records.Attempt]:
        """Return the attempts without an answer half a second after their timeout, if too many.

        They count if they are over half of those that had no answer at their timeout, all at
        nodes in touch.

        Args:
            in_doubt: Whether those are returned that count only by a time that is in doubt, if
                they are too many together with the others.
        """
        due = [each for each in self._records.attempts if self._is_unanswered_at(each, 0)]
        overdue = [each for each in due if self._is_unanswered_at(each, _ANSWER_SLACK_MS)]
        doubted = [each for each in overdue if self._is_answer_in_doubt(each)]
        if in_doubt:
            return doubted if len(overdue) > _MAX_UNANSWERED_SHARE * len(due) else []
        certain = [each for each in overdue if not self._is_answer_in_doubt(each)]
        is_broken = len(certain) > _MAX_UNANSWERED_SHARE * (len(due) - len(doubted))
        return certain if is_broken else []

    def _is_answer_in_doubt(self, attempt: soak_records.Attempt) -> bool:
        """Return whether an overdue attempt may have been answered or closed in time."""
        if attempt.ended_at is None:
            return False
        return not self._is_unanswered_at(_seen_sooner(attempt), _ANSWER_SLACK_MS)

    def _is_late_in_doubt(self, attempt: soak_records.Attempt) -> bool:
        """Return whether an attempt is lost only by a lateness that its judge may have made."""
        if self._records.runs(attempt) or not self._was_cut_late(attempt):
            return False
        was_passed_on = self._was_whole_and_due(attempt) and self._was_passed_on(attempt)
        return not was_passed_on and not self._was_cut_late(_seen_sooner(attempt))

    def _is_unanswered_at(self, attempt: soak_records.Attempt, slack_ms: float) -> bool:
        """Return whether an attempt had no answer some time after its timeout, in touch."""
        due_at = attempt.sent_at + attempt.timeout_ms + slack_ms
        answered_by = attempt.ended_at
        is_late = answered_by is None or answered_by > due_at
        return (
            is_late
            and not self._broke_off(attempt)
            and not self._was_out_of_touch(
                attempt,
                attempt.sent_at + attempt.timeout_ms + _ANSWER_SLACK_MS,
            )
        )

    def _was_cut_in_touch(self, attempt: soak_records.Attempt) -> bool:
        """Return whether a node in touch cut a request that it had passed on."""
        if self._broke_off(attempt) or self._lost_by_cut(attempt):
            return False
        in_touch = not self._was_out_of_touch(attempt, attempt.ended_at)
        return in_touch and self._was_passed_on(attempt)

    def _lost_by_cut(self, attempt: soak_records.Attempt) -> str:
        if self._broke_off(attempt) or self._was_impaired(attempt):
            return ''
        if self._records.runs(attempt):
            return 'LOST'
        if not self._is_around_planned_work(attempt):
            return ''
        if self._was_whole_and_due(attempt) and self._was_passed_on(attempt):
            return 'LOST passed on'
        return 'LOST unread' if self._was_cut_late(attempt) else ''

    def _was_replaced(self, attempt: soak_records.Attempt) -> bool:
        """Return whether a stopping node answered while the backend server worked."""
        answered_at = attempt.ended_at
        if answered_at is None or attempt.sealed or not attempt.status or attempt.gave_up:
            return False
        if attempt.status in _SUCCESS or self._has_expired(attempt) or self._broke_off(attempt):
            return False
        at_work = [
            run
            for run in self._records.runs(attempt)
            if run.began_at <= answered_at
            and (run.finished_at is None or run.finished_at > answered_at)
        ]
        stopping = any(self._was_stopping(node, answered_at) for node in self._nodes(attempt))
        return bool(at_work) and stopping and not self._was_impaired(attempt)

    def _was_stopping(self, node: int, now: float) -> bool:
        begin = now - _AFTER_STOP_MS
        return self._records.was_disturbed(node, begin, now, _STOP)

    def _is_around_planned_work(self, attempt: soak_records.Attempt) -> bool:
        """Return whether an attempt was cut around a stop or a SIGHUP of the node that took it."""
        if self._was_stopping(attempt.node, attempt.ended_at):
            return True
        begin = attempt.sent_at - _APPLY_MS
        return self._records.was_disturbed(attempt.node, begin, attempt.ended_at, _HANGUP)

    def _was_whole_and_due(self, attempt: soak_records.Attempt) -> bool:
        return attempt.written_at is not None and not self._has_expired(attempt)

    def _was_cut_late(self, attempt: soak_records.Attempt) -> bool:
        """Return whether a whole attempt was cut too late to cross the close."""
        is_due = self._was_whole_and_due(attempt)
        return is_due and attempt.ended_at > attempt.written_at + _SLACK_MS

    def _is_beside_config(self, attempt: soak_records.Attempt) -> bool:
        return attempt.ended_at is not None and any(
            config_at <= attempt.ended_at and attempt.sent_at <= config_at + _AFTER_CONFIG_MS
            for config_at in self._records.configs
        )

    def _was_cut_beside_config(self, attempt: soak_records.Attempt) -> bool:
        if not _is_cut(attempt) or self._records.runs(attempt):
            return False
        used_ms = attempt.ended_at - attempt.sent_at
        if used_ms > _CONFIG_SHARE_OF_TIME * attempt.timeout_ms:
            return False
        is_counted = self._is_around_planned_work(attempt)
        was_passed_on = self._was_whole_and_due(attempt) and self._was_passed_on(attempt)
        is_lost = was_passed_on or self._was_cut_late(attempt)
        return is_lost and not is_counted and not self._was_impaired(attempt)

    def _was_passed_on(self, attempt: soak_records.Attempt) -> bool:
        return attempt.attempt_id in self._records.passed_on

    def _broke_off(self, attempt: soak_records.Attempt) -> bool:
        return any(run.broke_off for run in self._records.runs(attempt))

    def _has_expired(self, attempt: soak_records.Attempt) -> bool:
        return attempt.ended_at >= attempt.sent_at + attempt.timeout_ms

    def _nodes(self, attempt: soak_records.Attempt) -> set[int]:
        """Return the nodes that had a part in an attempt."""
        return {attempt.node} | {run.node for run in self._records.runs(attempt)}

    def _was_impaired(self, attempt: soak_records.Attempt) -> bool:
        """Return whether a node that had a part in an attempt was disturbed without a plan."""
        begin = attempt.sent_at - _TOUCH_MS
        return any(
            self._records.was_disturbed(node, begin, attempt.ended_at, _UNPLANNED)
            for node in self._nodes(attempt)
        )

    def _was_out_of_touch(self, attempt: soak_records.Attempt, end: float) -> bool:
        """Return whether the node that took an attempt was not in touch until `end`."""
        begin = attempt.sent_at - _TOUCH_MS
        return self._records.was_disturbed(attempt.node, begin, end, _OUT_OF_TOUCH)
