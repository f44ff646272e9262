"""Promises on callers who have left: no new work for them, and an end of what goes on (GONE)."""

from __future__ import annotations

import math
from collections.abc import Iterable

from anvillug.bench import soak_cuts, soak_order_checks, soak_records

_GONE_MS = 500
_MAX_ARRIVALS = 3
_MAX_SHARE_AT_WORK = 0.25


def broken(records: soak_records.Records) -> list[str]:
    """Return the promises that were broken, each with the attempt that shows it."""
    attempts = _left_in_touch(records)
    return _problems(records, [each for each in attempts if not _is_doubted(records, each)])


def unjudged(records: soak_records.Records) -> list[str]:
    """Return what the stand-stills of the soak's own loop may have made."""
    attempts = _left_in_touch(records)
    doubted = {each.attempt_id for each in attempts if _is_doubted(records, each)}
    problems = _problems(records, attempts)
    return [each for each in problems if each.rpartition(' ')[2] in doubted]


def _problems(records: soak_records.Records, attempts: Iterable[soak_records.Attempt]) -> list[str]:
    late, lasting, at_work = [], 0, []
    for attempt in attempts:
        limit = attempt.ended_at + _GONE_MS
        if records.last_arrival_by_id.get(attempt.attempt_id, 0) > limit:
            late.append(f'GONE reached {attempt.attempt_id}')
        ends = [_end(run) for run in records.runs(attempt) if run.due_at > limit]
        if attempt.repeatable and ends:
            lasting += 1
            if max(ends) > limit:
                at_work.append(f'GONE at work {attempt.attempt_id}')
    return [
        *(late if len(late) > _MAX_ARRIVALS else ()),
        *(at_work if len(at_work) > _MAX_SHARE_AT_WORK * lasting else ()),
    ]


def _end(run: soak_records.Run) -> float:
    """Return when the work on a run ended or was cancelled."""
    ended_at = math.inf if run.finished_at is None else run.finished_at
    return min(ended_at, run.cancelled_at)


def _left_in_touch(records: soak_records.Records) -> list[soak_records.Attempt]:
    """Return the attempts that their callers left at nodes in touch."""
    cuts = soak_cuts.Cuts(records)
    return [
        attempt
        for attempt in records.attempts
        if attempt.has_left
        and not cuts.broke_off(attempt)
        and all(
            soak_order_checks.in_touch(records, node, attempt.sent_at, attempt.ended_at + _GONE_MS)
            for node in cuts.nodes(attempt)
        )
    ]


def _is_doubted(records: soak_records.Records, attempt: soak_records.Attempt) -> bool:
    """Return whether only a stand-still of the soak's own loop may have made an attempt late."""
    limit = attempt.ended_at + _GONE_MS
    times = [records.last_arrival_by_id.get(attempt.attempt_id, 0)]
    times += [_end(run) for run in records.runs(attempt) if run.due_at > limit]
    return any(
        limit < time <= limit + records.stalls.longest_ms(attempt.ended_at, time) for time in times
    )
