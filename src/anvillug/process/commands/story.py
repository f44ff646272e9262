"""Subcommand `story`: prints the log lines of one request from all nodes."""

from __future__ import annotations

import pathlib
import re
import sys
from collections.abc import Iterable

_TIME = re.compile(r'time_ms=(\d+)')
_EXIT_NOT_FOUND = 1
_EXIT_BAD_INPUT = 2


def story(request: str, /, *logs: pathlib.Path) -> int:
    """Print the log lines of one request, ordered by time.

    Args:
        request: Id of the caller's attempt; the value of request= in log lines.
        logs: Log files of nodes.

    Returns:
        Exit code: 0 if lines were found, 1 if none were found, 2 if a file can't be read.
    """
    try:
        lines = [line for log in logs for line in _matching_lines(log, request)]
    except OSError as error:
        sys.stderr.write(f'{error.filename}: cannot be read: {error.strerror}\n')
        return _EXIT_BAD_INPUT
    for line in sorted(lines, key=_line_time_ms):
        sys.stdout.write(f'{line}\n')
    return 0 if lines else _EXIT_NOT_FOUND


def _matching_lines(log: pathlib.Path, request: str) -> Iterable[str]:
    field = re.compile(rf'\brequest={re.escape(request)}(?=\s|$)')
    with log.open(encoding='utf-8', errors='replace') as content:
        for line in content:
            if field.search(line):
                yield f'{log.name}: {line.rstrip()}'


def _line_time_ms(line: str) -> int:
    match = _TIME.search(line)
    return int(match.group(1)) if match else 0
