"""CPU time and memory of processes, from `/proc`."""

from __future__ import annotations

import dataclasses
import os
import pathlib
import re

_KB_PER_MB = 1024
_ANONYMOUS_MEMORY = re.compile(r'^RssAnon:\s+(\d+) kB', re.MULTILINE)
_PROC = pathlib.Path('/proc')
_TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
_USER_TIME_FIELD = 11  # utime, counted after the program name, see proc(5)


@dataclasses.dataclass(frozen=True, slots=True)
class Memory:
    """Memory of one process."""

    resident_mb: float
    """Resident memory, including pages shared with other processes."""
    private_mb: float
    """Memory not shared with other processes.

    On a host with a single node it is larger, since nothing shares the libraries there.
    """


def memory(pid: int) -> Memory:
    """Return the memory of a process."""
    kb_by_name: dict[str, int] = {}
    for line in (_PROC / str(pid) / 'smaps_rollup').read_text().splitlines()[1:]:
        name, value = line.split(':')
        kb_by_name[name] = int(value.split()[0])
    private = kb_by_name['Private_Clean'] + kb_by_name['Private_Dirty']
    return Memory(kb_by_name['Rss'] / _KB_PER_MB, private / _KB_PER_MB)


def cpu_seconds(pid: int) -> float:
    """Return the CPU time that a process has used, in user and kernel mode."""
    text = (_PROC / str(pid) / 'stat').read_text()
    fields = text.rpartition(')')[2].split()
    ticks = int(fields[_USER_TIME_FIELD]) + int(fields[_USER_TIME_FIELD + 1])
    return ticks / _TICKS_PER_SECOND


def anonymous_mb(pid: int) -> float:
    """Return the memory of a process that no file backs, in MB; 0 if it has ended."""
    try:
        status = (_PROC / str(pid) / 'status').read_text()
    except OSError:
        return 0
    found = _ANONYMOUS_MEMORY.search(status)
    return int(found.group(1)) / _KB_PER_MB if found else 0


def open_descriptors(pid: int) -> int:
    """Return the number of open descriptors of a process; 0 if it has ended."""
    try:
        return len(os.listdir(_PROC / str(pid) / 'fd'))
    except OSError:
        return 0
