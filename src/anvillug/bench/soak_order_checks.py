"""Promises on the operator's orders: which requests of a soak reach a place that they forbid."""

from __future__ import annotations

from collections.abc import Iterator

from anvillug.bench import soak_records

_TOUCH_MS = 3000
_EVACUATE_MS = 5000
# A SIGHUP takes no node out of touch.
_OUT_OF_TOUCH = frozenset(soak_records.Disturbance) - {soak_records.Disturbance.HANGUP}


def broken(records: soak_records.Records) -> list[str]:
    """Return the promises that were broken, each with the attempt that shows it."""
    return [f'EVAC {attempt_id}' for attempt_id in _late_in_zone(records)]


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


def _in_touch(records: soak_records.Records, node: int, begin: float, end: float) -> bool:
    """Return whether a node was in touch from `begin` to `end`."""
    return not records.was_disturbed(node, begin - _TOUCH_MS, end, _OUT_OF_TOUCH)
