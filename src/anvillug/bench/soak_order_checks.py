"""Promises on the operator's orders: which requests of a soak reach a place that they forbid."""

from __future__ import annotations

import bisect
from collections.abc import Iterator

from anvillug.bench import soak_cuts, soak_records

_EVACUATE_MS = 5000
_STATUS_NOT_FOUND = 404
_EXPOSURE_SHARE = 0.1
_EXPOSURE_SLACK = 50
_MAX_FAILED = 50
_ROLLBACK_MS = 5000
# Time after its deadline in which a roll-out gets its final state.
_STATUS_SLACK_MS = 2000
# A SIGHUP takes no node out of touch.
_OUT_OF_TOUCH = frozenset(soak_records.Disturbance) - {soak_records.Disturbance.HANGUP}


def broken(records: soak_records.Records) -> list[str]:
    """Return the promises that were broken, each with the attempt that shows it."""
    return [
        *_late_in_zones(records),
        *_against_configs(records),
        *(
            problem
            for rollout in records.rollouts
            for problem in (*_exposed(records, rollout), *_without_end(records, rollout))
        ),
    ]


def _late_in_zones(records: soak_records.Records) -> Iterator[str]:
    """Yield the attempts that reached an evacuated zone too late, from a node in touch."""
    for attempt_id, runs in records.runs_by_attempt_id.items():
        if any(_is_late_in_zone(records, run) for run in runs):
            yield f'EVAC {attempt_id}'


def _is_late_in_zone(records: soak_records.Records, run: soak_records.Run) -> bool:
    return any(
        run.node in evacuation.nodes
        and evacuation.began_at + _EVACUATE_MS < run.began_at < evacuation.ended_at
        and in_touch(records, run.node, run.began_at, run.began_at)
        for evacuation in records.evacuations
    )


def _against_configs(records: soak_records.Records) -> Iterator[str]:
    """Yield what no configuration, or no configuration in force, allows, with the attempt."""
    for attempt in records.attempts:
        if not attempt.route:
            continue
        for run in records.runs(attempt):
            if run.service not in _services(records, attempt.route, 0, run.began_at):
                yield f'ROUTE {attempt.attempt_id}'
            elif _is_old_in_touch(records, attempt, run):
                yield f'CONFIG old service {attempt.attempt_id}'
        if attempt.status == _STATUS_NOT_FOUND and _is_refused_in_touch(records, attempt):
            yield f'CONFIG refused {attempt.attempt_id}'


def _is_old_in_touch(
    records: soak_records.Records, attempt: soak_records.Attempt, run: soak_records.Run
) -> bool:
    begin = attempt.sent_at - soak_cuts.APPLY_MS
    return run.service not in _services(records, attempt.route, begin, run.began_at) and all(
        in_touch(records, node, attempt.sent_at, run.began_at) for node in (attempt.node, run.node)
    )


def _is_refused_in_touch(records: soak_records.Records, attempt: soak_records.Attempt) -> bool:
    begin = attempt.sent_at - soak_cuts.APPLY_MS
    has_route = None not in _services(records, attempt.route, begin, attempt.ended_at)
    return has_route and in_touch(records, attempt.node, attempt.sent_at, attempt.ended_at)


def _services(
    records: soak_records.Records, route: str, begin: float, end: float
) -> set[str | None]:
    """Return the services of a route in the configurations in force; None if one lacks it.

    Those are the newest one at `begin`, and those that were written until `end`.
    """
    first = max(0, bisect.bisect_right(records.configs, begin) - 1)
    last = bisect.bisect_right(records.configs, end)
    return {each.get(route) for each in records.services_by_route[first:last]}


def _exposed(records: soak_records.Records, rollout: soak_records.Rollout) -> Iterator[str]:
    """Yield what a bad version got beyond its share, or long after its 50th failure."""
    if rollout.is_good:
        return
    runs = [
        run
        for each in records.runs_by_attempt_id.values()
        for run in each
        if run.service == rollout.service and rollout.ordered_at <= run.began_at <= rollout.due_at
    ]
    new = [
        run
        for run in runs
        if run.version == rollout.version
        and in_touch(records, run.node, run.began_at, run.began_at)
    ]
    if len(new) > _EXPOSURE_SHARE * len(runs) + _EXPOSURE_SLACK:
        yield f'EXPOSURE {rollout.version}: {len(new)} of {len(runs)} requests'
    failed = sorted(
        run.failed_at
        for run in runs
        if run.version == rollout.version and run.failed_at is not None
    )
    if len(failed) < _MAX_FAILED:
        return
    limit = failed[_MAX_FAILED - 1] + _ROLLBACK_MS
    for attempt in records.attempts:
        for run in records.runs(attempt):
            is_new = run.service == rollout.service and run.version == rollout.version
            is_late = attempt.sent_at > limit
            if is_new and is_late and in_touch(records, run.node, rollout.ordered_at, run.began_at):
                yield f'EXPOSURE after the roll-back {attempt.attempt_id}'


def _without_end(records: soak_records.Records, rollout: soak_records.Rollout) -> Iterator[str]:
    """Yield a roll-out without a final state after its deadline, though some node was in touch."""
    limit = rollout.due_at + _STATUS_SLACK_MS
    is_over = limit < records.ended_at
    nodes = {attempt.node for attempt in records.attempts}
    is_due = any(in_touch(records, node, rollout.due_at, limit) for node in nodes)
    if is_over and is_due and rollout.ended_at > limit:
        yield f'ROLLOUT without an end {rollout.version}'


def in_touch(records: soak_records.Records, node: int, begin: float, end: float) -> bool:
    """Return whether a node was in touch for orders from `begin` to `end`."""
    return not records.was_disturbed(node, begin - soak_cuts.TOUCH_MS, end, _OUT_OF_TOUCH)
