"""Report of a soak: what it has counted, and the promises that were broken."""

from __future__ import annotations

import collections
import math
import pathlib
import sys
from collections.abc import Iterator, Mapping

from anvillug import clock
from anvillug.bench import soak_checks, soak_cuts, soak_records

_MAX_SHOWN = 20
# These are judged by the times of the backend servers, the store and the watcher.
_JUDGED_BY_LOOP = (
    'FAULT',
    'GONE',
    'DRAIN',
    'EVAC',
    'ROUTE',
    'EXPOSURE',
    'ROLLOUT',
    'CONFIG old service',
)


def write(
    seed: int,
    records: soak_records.Records,
    counts: Mapping[str, int],
    outputs: Mapping[str, str],
    folder: pathlib.Path | None,
) -> int:
    """Print what a soak has found, and keep its logs.

    Args:
        seed: Seed of the soak.
        records: What was seen.
        counts: Faults by kind.
        outputs: Output of the nodes by file name.
        folder: Folder for the logs; None discards them.

    Returns:
        Exit code: 0 if all promises held, 1 if one was broken or no request was served.
    """
    statuses = collections.Counter(
        attempt.status for attempt in records.attempts if not attempt.has_left
    )
    broken = soak_checks.broken(records)
    unjudged = soak_checks.unjudged(records)
    kinds = collections.Counter(problem.rpartition(' ')[0] for problem in unjudged)
    broken_lines = _with_stalls(records, broken)
    unjudged_lines = _with_stalls(records, unjudged)
    slowest_ms, slowest_node = max(records.start_ms, default=(0.0, 'none'))
    lines = [
        f'seed {seed}: {len(records.attempts)} requests, answers {dict(sorted(statuses.items()))}, '
        f'faults {dict(sorted(counts.items()))}, at most {records.peak_mb:.0f} MB a node, '
        f'{records.peak_fleet_mb:.0f} MB all nodes',
        f'{len(records.start_ms)} starts, slowest {slowest_ms:.0f} ms ({slowest_node}), '
        f'this process stood still for up to {records.longest_standstill_ms:.0f} ms',
        f"can't be judged: {len(unjudged)} {dict(sorted(kinds.items())) or ''}".rstrip(),
        *(f"can't be judged: {line}" for line in unjudged_lines[:_MAX_SHOWN]),
        *(
            f'roll-out of {each.version}, good: {each.is_good}, {each.state or "open"}'
            for each in records.rollouts
        ),
        *_unanswered_lines(records, soak_checks.counts_by_habit(records, broken, unjudged)),
        *(f'broken: {line}' for line in broken_lines[:_MAX_SHOWN]),
        *(f'log of {line}' for line in records.last_lines[:_MAX_SHOWN]),
        f'seed {seed}: {len(broken)} promises broken',
    ]
    sys.stdout.write('\n'.join([*lines, '']))
    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        files = {
            **outputs,
            'broken.txt': '\n'.join(broken_lines),
            'unjudged.txt': '\n'.join(unjudged_lines),
            'attempts.txt': '\n'.join(_attempt_lines(records, [*broken, *unjudged])),
            'disturbances.txt': '\n'.join(_disturbance_lines(records)),
        }
        for name, text in files.items():
            (folder / name).write_text(text)
    return 1 if broken or not statuses.get(200) else 0


def _unanswered_lines(
    records: soak_records.Records, counts_by_habit: Mapping[str, soak_cuts.HabitCount]
) -> Iterator[str]:
    """Yield a line for each habit with its requests without an answer, by reason."""
    for habit, count in counts_by_habit.items():
        why = [f'{why} {number}' for why, number in count.unanswered_by_why.most_common()]
        besides = [
            f'besides {name} {number}'
            for (each, name), number in sorted(records.unrecorded.items())
            if each == habit and number
        ]
        left = f' ({count.left} left)' if count.left else ''
        share = f'{count.unanswered:>4} of {count.requests} unanswered{left}'
        yield f'{habit:>14}: {share}: {", ".join([*why, *besides]) or "-"}'


def _with_stalls(records: soak_records.Records, problems: list[str]) -> list[str]:
    """Return problems with the longest stand-still of their judge while it waited."""
    attempts_by_id = {attempt.attempt_id: attempt for attempt in records.attempts}
    lines = []
    for problem in problems:
        attempt = attempts_by_id.get(problem.rpartition(' ')[2])
        if attempt is None or problem.startswith(_JUDGED_BY_LOOP):
            # The soak's own loop saw these, at times that are not kept.
            stalled_ms = records.stalls.longest_ms(0, math.inf)
            lines.append(f'{problem} (own loop stood still for at most {stalled_ms:.0f} ms)')
        else:
            judge = attempt.judge or 'judge'
            lines.append(f'{problem} ({judge} stood still for {attempt.stalled_ms:.0f} ms)')
    return lines


def _attempt_lines(records: soak_records.Records, broken: list[str]) -> Iterator[str]:
    """Yield a line with each attempt that is named or has no answer, and its runs."""
    named = {problem.rpartition(' ')[2] for problem in broken}
    time = clock.SystemClock()
    yield f'add {time.wall() - time.now():.0f} to each time for that of the log lines'
    for attempt in records.attempts:
        if attempt.is_unanswered or attempt.attempt_id in named:
            yield f'{attempt} {records.runs(attempt)}'


def _disturbance_lines(records: soak_records.Records) -> Iterator[str]:
    for node, disturbed in sorted(records.disturbed_by_node.items()):
        for disturbed_at, kind in disturbed:
            yield f'{disturbed_at:.0f} host-{node} {kind.value}'
    for node, begin, end in records.foreign_spans:
        yield f'{begin:.0f} host-{node} port held until {end:.0f}'
    for config_at in records.configs:
        yield f'{config_at:.0f} configuration'
