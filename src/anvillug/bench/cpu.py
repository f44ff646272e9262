"""CPU time of processes and of the machine, from `/proc`."""

from __future__ import annotations

import dataclasses
import os
import pathlib
import time
from collections.abc import Iterable, Mapping

_TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
_MS_PER_SECOND = 1000
_IDLE_FIELDS = (3, 4)  # idle and iowait in the line `cpu` of /proc/stat
_USER_TIME_FIELD = 11  # utime, counted after the program name, see proc(5)
_PERCENT = 100


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """CPU time used during an interval."""

    machine_percent: float
    """Busy share of all cores, including other programs."""
    busiest_percent: float
    """Share of one core used by the busiest of the measured processes."""
    ms_by_name: Mapping[str, float]
    """CPU time by process name."""


class Meter:
    """Measures the CPU time used since its construction.

    Args:
        pids_by_name: Ids of the processes to measure, by name.
    """

    def __init__(self, pids_by_name: Mapping[str, int]) -> None:
        self._pids_by_name = dict(pids_by_name)
        self._started_at = time.monotonic()
        self._machine_ticks_at_start = _machine_ticks()
        self._ticks_by_name_at_start = self._process_ticks()

    def read(self) -> Usage:
        """Return the usage since the construction."""
        elapsed_ms = (time.monotonic() - self._started_at) * _MS_PER_SECOND
        now = self._process_ticks()
        ms_by_name = {
            name: (ticks - self._ticks_by_name_at_start[name]) * _MS_PER_SECOND / _TICKS_PER_SECOND
            for name, ticks in now.items()
        }
        idle, total = (
            new - old
            for new, old in zip(_machine_ticks(), self._machine_ticks_at_start, strict=True)
        )
        busiest = max(ms_by_name.values(), default=0)
        return Usage(
            machine_percent=_PERCENT * (1 - idle / max(total, 1)),
            busiest_percent=_PERCENT * busiest / max(elapsed_ms, 1),
            ms_by_name=ms_by_name,
        )

    def _process_ticks(self) -> dict[str, int]:
        return {name: _ticks(pid) for name, pid in self._pids_by_name.items()}


def total_ms(usage: Usage, prefixes: Iterable[str]) -> float:
    """Return the CPU time of the processes whose names start with one of the prefixes."""
    name_prefixes = tuple(prefixes)
    return sum(ms for name, ms in usage.ms_by_name.items() if name.startswith(name_prefixes))


def _ticks(pid: int) -> int:
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    return int(fields[_USER_TIME_FIELD]) + int(fields[_USER_TIME_FIELD + 1])


def _machine_ticks() -> tuple[int, int]:
    with pathlib.Path('/proc/stat').open() as lines:
        fields = [int(field) for field in lines.readline().split()[1:9]]
    return sum(fields[index] for index in _IDLE_FIELDS), sum(fields)
