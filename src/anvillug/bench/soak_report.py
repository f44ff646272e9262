"""Report of a soak: what it has counted, and the promises that were broken."""

from __future__ import annotations

import collections
import pathlib
import sys
from collections.abc import Iterator, Mapping

from anvillug import clock
from anvillug.bench import soak_checks, soak_records

_MAX_SHOWN = 20


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
    statuses = collections.Counter(attempt.status for attempt in records.attempts)
    broken = soak_checks.broken(records)
    slowest_ms, slowest_node = max(records.start_ms, default=(0.0, 'none'))
    lines = [
        f'seed {seed}: {len(records.attempts)} requests, answers {dict(sorted(statuses.items()))}, '
        f'faults {dict(sorted(counts.items()))}, at most {records.peak_mb:.0f} MB a node, '
        f'{records.peak_fleet_mb:.0f} MB all nodes',
        f'{len(records.start_ms)} starts, slowest {slowest_ms:.0f} ms ({slowest_node}), '
        f'this process stood still for up to {records.longest_standstill_ms:.0f} ms',
        *(
            f'roll-out of {each.version}, good: {each.is_good}, {each.state or "open"}'
            for each in records.rollouts
        ),
        *(f'broken: {problem}' for problem in broken[:_MAX_SHOWN]),
        f'seed {seed}: {len(broken)} promises broken',
    ]
    sys.stdout.write('\n'.join([*lines, '']))
    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        files = {
            **outputs,
            'broken.txt': '\n'.join(broken),
            'attempts.txt': '\n'.join(_attempt_lines(records, broken)),
            'disturbances.txt': '\n'.join(_disturbance_lines(records)),
        }
        for name, text in files.items():
            (folder / name).write_text(text)
    return 1 if broken or not statuses.get(200) else 0


def _attempt_lines(records: soak_records.Records, broken: list[str]) -> Iterator[str]:
    """Yield a line with each attempt of a broken promise and its runs, with times of the logs."""
    named = {problem.rpartition(' ')[2] for problem in broken}
    time = clock.SystemClock()
    yield f'add {time.wall() - time.now():.0f} to each time for that of the log lines'
    for attempt in records.attempts:
        if attempt.attempt_id in named:
            yield f'{attempt} {records.runs(attempt)}'


def _disturbance_lines(records: soak_records.Records) -> Iterator[str]:
    for node, disturbed in sorted(records.disturbed_by_node.items()):
        for disturbed_at, kind in disturbed:
            yield f'{disturbed_at:.0f} host-{node} {kind.value}'
    for config_at in records.configs:
        yield f'{config_at:.0f} configuration'
