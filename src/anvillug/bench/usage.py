"""CPU time, memory and bytes of processes, as the kernel counts them."""

from __future__ import annotations

import dataclasses
import os
import pathlib

_KB_PER_MB = 1024
_PROC = pathlib.Path('/proc')
_TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
_USER_TIME_FIELD = 11  # of the fields after the name of the program, see proc(5)


@dataclasses.dataclass(frozen=True, slots=True)
class Memory:
    """Memory of one process."""

    resident_mb: float
    """Resident memory, with pages shared between processes."""
    private_mb: float
    """Memory that no other process shares; a host with one node pays more for libraries."""


def memory(pid: int) -> Memory:
    """Return the memory of a process in MB."""
    kilobytes: dict[str, int] = {}
    for line in (_PROC / str(pid) / 'smaps_rollup').read_text().splitlines()[1:]:
        name, value = line.split(':')
        kilobytes[name] = int(value.split()[0])
    private = kilobytes['Private_Clean'] + kilobytes['Private_Dirty']
    return Memory(kilobytes['Rss'] / _KB_PER_MB, private / _KB_PER_MB)


def cpu_seconds(pid: int) -> float:
    """Return the CPU time that a process has used, in user and kernel mode."""
    text = (_PROC / str(pid) / 'stat').read_text()
    fields = text.rpartition(')')[2].split()
    ticks = int(fields[_USER_TIME_FIELD]) + int(fields[_USER_TIME_FIELD + 1])
    return ticks / _TICKS_PER_SECOND
