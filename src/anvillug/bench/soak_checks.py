"""Promises to callers: which attempts of a soak break one."""

from __future__ import annotations

from collections.abc import Iterable

from anvillug.bench import soak_cuts, soak_gone, soak_habits, soak_order_checks, soak_records

_AFTER_CONFIG_MS = soak_cuts.APPLY_MS + 1000
# Cuts beside a configuration count if they are over this factor as frequent as at other times.
_CONFIG_FACTOR = 3
_CONFIG_SHARE_OF_TIME = 0.7
_MAX_KEPT_CUTS = 3
_ANSWER_SLACK_MS = 500
_MAX_UNANSWERED_SHARE = 0.5
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_SUCCESS = range(200, 300)
_OUT_OF_TOUCH = soak_cuts.UNPLANNED | {
    soak_records.Disturbance.PLANNED,
    soak_records.Disturbance.START,
}
# A crowd makes answers late, which is no reason to cut a request that was passed on.
_LATE = _OUT_OF_TOUCH | {soak_records.Disturbance.CROWD}


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
        *soak_gone.broken(records),
        *(f'LOST by habit {habit}' for habit in soak_habits.starved(records.attempts)),
    ]


def counts_by_habit(
    records: soak_records.Records, problems: Iterable[str], unjudged_problems: Iterable[str]
) -> dict[str, soak_cuts.HabitCount]:
    """Return how many requests have no answer, by the habit of their callers.

    Args:
        records: What was seen.
        problems: Broken promises.
        unjudged_problems: What can't be judged.
    """
    doubted = soak_cuts.Reason.DOUBTED.value
    why_by_id = {problem.rpartition(' ')[2]: doubted for problem in unjudged_problems}
    for problem in problems:
        name, _, attempt_id = problem.rpartition(' ')
        why_by_id[attempt_id] = name
    return soak_cuts.Cuts(records).counts_by_habit(why_by_id)


def _name(reason: soak_cuts.Reason) -> str:
    return reason.value if reason in soak_cuts.BROKEN else ''


def _named(name: str, attempts: Iterable[soak_records.Attempt]) -> list[str]:
    return [f'{name} {attempt.attempt_id}' for attempt in attempts]


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
        *soak_gone.unjudged(records),
    ]


class _Checks:
    """Checks of attempts against the runs and disturbances of their soak."""

    def __init__(self, records: soak_records.Records) -> None:
        self._records = records
        self._cuts = soak_cuts.Cuts(records)

    def broken_by(self, attempt: soak_records.Attempt) -> str:
        """Return the promise that a single attempt shows to be broken, or an empty string."""
        runs = self._records.runs(attempt)
        if _is_mixed(attempt):
            return 'MIXED'
        if not attempt.repeatable and len(runs) > 1:
            return 'TWICE'
        if not attempt.repeatable and runs and attempt.status in _NOT_RUN_STATUSES:
            return 'REFUSED'
        if soak_cuts.is_cut(attempt):
            return _name(self._cuts.reason(attempt))
        if self._was_replaced(attempt):
            return 'LOST replaced'
        return ''

    def doubt(self, attempt: soak_records.Attempt) -> str:
        """Return the promise of which an attempt can't tell whether it is broken, or nothing.

        That is whether it was cut late, or before its timeout.
        """
        if not attempt.stalled_ms or attempt.ended_at is None or self.broken_by(attempt):
            return ''
        if soak_cuts.is_cut(attempt) and self._cuts.is_late_in_doubt(attempt):
            return _name(self._cuts.certain_reason(attempt))
        sooner = soak_cuts.seen_sooner(attempt)
        was_due = soak_cuts.has_expired(attempt) and not soak_cuts.has_expired(sooner)
        return self.broken_by(sooner) if was_due else ''

    def cut_on_kept_connections(self) -> list[soak_records.Attempt]:
        """Return the attempts that their undisturbed node passed on and cut, if too many.

        Those that are lost in any case are not counted again.
        """
        cut = [
            attempt
            for attempt in self._records.attempts
            if soak_cuts.is_cut(attempt) and attempt.kept and self._was_cut_in_touch(attempt)
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
            cut_others = sum(soak_cuts.is_cut(each) for each in others)
            if len(cut) * len(others) > _CONFIG_FACTOR * cut_others * len(beside) or not others:
                lost += [each for each in cut if self._cuts.is_late_in_doubt(each) is in_doubt]
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
        return not self._is_unanswered_at(soak_cuts.seen_sooner(attempt), _ANSWER_SLACK_MS)

    def _is_unanswered_at(self, attempt: soak_records.Attempt, slack_ms: float) -> bool:
        """Return whether an attempt had no answer some time after its timeout, in touch."""
        due_at = attempt.sent_at + attempt.timeout_ms + slack_ms
        answered_by = attempt.ended_at
        is_late = answered_by is None or answered_by > due_at
        return (
            is_late
            and not self._cuts.broke_off(attempt)
            and not self._was_out_of_touch(
                attempt,
                attempt.sent_at + attempt.timeout_ms + _ANSWER_SLACK_MS,
                _LATE,
            )
        )

    def _was_cut_in_touch(self, attempt: soak_records.Attempt) -> bool:
        """Return whether a node in touch cut a request that it had passed on."""
        reason = self._cuts.certain_reason(attempt)
        if reason is soak_cuts.Reason.BROKE_OFF or reason in soak_cuts.BROKEN:
            return False
        in_touch = not self._was_out_of_touch(attempt, attempt.ended_at)
        return in_touch and self._cuts.was_passed_on(attempt)

    def _was_replaced(self, attempt: soak_records.Attempt) -> bool:
        """Return whether a stopping node answered while the backend server worked."""
        answered_at = attempt.ended_at
        if answered_at is None or attempt.sealed or not attempt.status or attempt.gave_up:
            return False
        if (
            attempt.status in _SUCCESS
            or soak_cuts.has_expired(attempt)
            or self._cuts.broke_off(attempt)
        ):
            return False
        at_work = [
            run
            for run in self._records.runs(attempt)
            if run.began_at <= answered_at
            and (run.finished_at is None or run.finished_at > answered_at)
        ]
        stopping = any(
            self._cuts.was_stopping(node, answered_at) for node in self._cuts.nodes(attempt)
        )
        is_excused = self._cuts.impairment(attempt) or self._cuts.outlasts_stop(attempt)
        return bool(at_work) and stopping and not is_excused

    def _is_beside_config(self, attempt: soak_records.Attempt) -> bool:
        return attempt.ended_at is not None and any(
            config_at <= attempt.ended_at and attempt.sent_at <= config_at + _AFTER_CONFIG_MS
            for config_at in self._records.configs
        )

    def _was_cut_beside_config(self, attempt: soak_records.Attempt) -> bool:
        if not soak_cuts.is_cut(attempt) or self._records.runs(attempt):
            return False
        used_ms = attempt.ended_at - attempt.sent_at
        if used_ms > _CONFIG_SHARE_OF_TIME * attempt.timeout_ms:
            return False
        reason = self._cuts.certain_reason(attempt)
        is_late = reason is soak_cuts.Reason.CALM_UNREAD and self._cuts.was_cut_late(attempt)
        return is_late or reason is soak_cuts.Reason.CALM_PASSED_ON

    def _was_out_of_touch(
        self,
        attempt: soak_records.Attempt,
        end: float,
        kinds: frozenset[soak_records.Disturbance] = _OUT_OF_TOUCH,
    ) -> bool:
        """Return whether the node that took an attempt was not in touch until `end`."""
        begin = attempt.sent_at - soak_cuts.TOUCH_MS
        return self._records.was_disturbed(attempt.node, begin, end, kinds)
