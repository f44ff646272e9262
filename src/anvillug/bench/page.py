"""Page of measurements: one section per measurement, replaced by each run."""

from __future__ import annotations

import dataclasses
import pathlib
import re
from collections.abc import Iterable, Sequence

_INTRODUCTION = """# Measurements

Tables of `anvillug bench tables`, which starts real processes on one machine. Times vary between
runs on a shared machine; compare values of one run only. Each section names the command, the seed
and the date of its run.
"""
_HEADING = re.compile(r'^## ', re.MULTILINE)


@dataclasses.dataclass(frozen=True, slots=True)
class Section:
    """Result of one measurement."""

    title: str
    """Heading; replaces the section with the same title."""
    introduction: str
    """What was measured and how."""
    body: str
    """Tables and notes as Markdown."""


def table(columns: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return a Markdown table.

    Args:
        columns: Names of the columns.
        rows: Cells of each row; floats are rounded.

    Returns:
        Lines of the table, without a line break at the end.
    """
    lines = [_line(columns), _line(['---' for _ in columns])]
    lines.extend(_line([_text(cell) for cell in row]) for row in rows)
    return '\n'.join(lines)


def write(path: pathlib.Path, section: Section, stamp: str) -> None:
    """Write a section to the page, replacing an existing section with the same title.

    Args:
        path: File of the page; created if it does not exist.
        section: Section to write.
        stamp: Command, seed and date of the run.
    """
    page_text = path.read_text() if path.exists() else _INTRODUCTION
    introduction, *parts = _HEADING.split(page_text)
    by_title = {part.partition('\n')[0]: part for part in parts}
    by_title[section.title] = '\n'.join(
        (section.title, '', section.introduction, '', stamp, '', section.body, ''),
    )
    blocks = [introduction, *(f'## {part}' for part in by_title.values())]
    path.write_text('\n'.join(f'{block.rstrip()}\n' for block in blocks))


def _line(cells: Sequence[str]) -> str:
    return f'| {" | ".join(cells)} |'


def _text(cell: object) -> str:
    if isinstance(cell, float):
        return f'{cell:.2f}' if abs(cell) < 100 else f'{cell:.0f}'
    return str(cell)
