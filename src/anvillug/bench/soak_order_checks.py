"""Promises on the operator's orders: which requests of a soak reach a place that they forbid."""

from __future__ import annotations

import bisect
from collections.abc import Iterator

from anvillug.bench import soak_records

_TOUCH_MS = 3000
_EVACUATE_MS = 5000
_CONFIG_APPLY_MS = 2000
_STATUS_NOT_FOUND = 404
# A SIGHUP takes no node out of touch.
_OUT_OF_TOUCH = frozenset(soak_records.Disturbance) - {soak_records.Disturbance.HANGUP}


def broken(records: soak_records.Records) -> list[str]:
    """Return the promises that were broken, each with the attempt that shows it."""
    return [
        *(f'EVAC {attempt_id}' for attempt_id in _late_in_zone(records)),
        *_against_configs(records),
    ]


def _late_in_zone(records: soak_records.Records) -> Iterator[str]:
    """Yield the attempts that reached an evacuated zone too late, from a node in touch."""
    for attempt_id, runs in records.runs_by_attempt_id.items():
        if any(_is_late_in_zone(records, run) for run in runs):
            yield attempt_id


def _is_late_in_zone(records: soak_records.Records, run: soak_records.Run) -> bool:
    return any(
        run.node in evacuation.nodes
        and evacuation.began_at + _EVACUATE_MS < run.began_at < evacuation.ended_at
        and _in_touch(records, run.node, run.began_at, run.began_at)
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
    begin = attempt.sent_at - _CONFIG_APPLY_MS
    return run.service not in _services(records, attempt.route, begin, run.began_at) and all(
        _in_touch(records, node, attempt.sent_at, run.began_at) for node in (attempt.node, run.node)
    )


def _is_refused_in_touch(records: soak_records.Records, attempt: soak_records.Attempt) -> bool:
    begin = attempt.sent_at - _CONFIG_APPLY_MS
    has_route = None not in _services(records, attempt.route, begin, attempt.ended_at)
    return has_route and _in_touch(records, attempt.node, attempt.sent_at, attempt.ended_at)


def _services(
    records: soak_records.Records, route: str, begin: float, end: float
) -> set[str | None]:
    """Return the services of a route in the configurations in force; None if one lacks it.

    Those are the newest one at `begin`, and those that were written until `end`.
    """
    first = max(0, bisect.bisect_right(records.configs, begin) - 1)
    last = bisect.bisect_right(records.configs, end)
    return {each.get(route) for each in records.services_by_route[first:last]}


def _in_touch(records: soak_records.Records, node: int, begin: float, end: float) -> bool:
    """Return whether a node was in touch from `begin` to `end`."""
    return not records.was_disturbed(node, begin - _TOUCH_MS, end, _OUT_OF_TOUCH)
