"""What a process can find out about itself, at little cost and without further descriptors."""

from __future__ import annotations

import contextlib
import gc
import os
import resource
import time

_MEMORY_PATH = '/proc/self/statm'
_DESCRIPTORS_PATH = '/proc/self/fd'
_MAX_LINE_BYTES = 256
_RESIDENT_FIELD = 1
_SHARED_FIELD = 2  # resident pages that a file or shared memory backs
# Numbers that mallinfo2 returns, and the place of that of free bytes among them; see mallinfo(3).
_MALLOC_NUMBERS = 10
_MALLOC_FREE = 8
_PAGE_BYTES = resource.getpagesize()
_MS_PER_SECOND = 1000.0


class ProcessReadings:
    """Readings of this process; what the system doesn't tell is 0."""

    def __init__(self) -> None:
        self._memory_file = -1
        self._size_tells = False
        self._collection_began_at = 0.0
        self._longest_collection_s = 0.0

    def open(self) -> None:
        """Prepare the readings.

        A file is kept open, since a process may have used up its descriptors when it matters.
        """
        with contextlib.suppress(OSError):
            self._memory_file = os.open(_MEMORY_PATH, os.O_RDONLY | os.O_CLOEXEC)
        self._size_tells = _size_tells_descriptors()
        gc.callbacks.append(self._collecting)

    def close(self) -> None:
        """Release the file."""
        gc.callbacks.remove(self._collecting)
        if self._memory_file >= 0:
            os.close(self._memory_file)
            self._memory_file = -1

    def memory_bytes(self) -> int:
        """Return the memory that no file backs, as limits of containers count it."""
        if self._memory_file < 0:
            return 0
        try:
            fields = os.pread(self._memory_file, _MAX_LINE_BYTES, 0).split()
            pages = int(fields[_RESIDENT_FIELD]) - int(fields[_SHARED_FIELD])
        except (OSError, ValueError, IndexError):
            return 0
        return pages * _PAGE_BYTES

    def descriptors(self) -> int:
        """Return the number of open descriptors."""
        try:
            if self._size_tells:
                return os.stat(_DESCRIPTORS_PATH).st_size
            return _listed_descriptors()
        except OSError:
            return 0

    def processor_ms(self) -> float:
        """Return the processor time that the process has used, in milliseconds."""
        return time.process_time() * _MS_PER_SECOND

    def take_collection_ms(self) -> float:
        """Return the longest garbage collection since the last call, in milliseconds."""
        longest_s = self._longest_collection_s
        self._longest_collection_s = 0.0
        return longest_s * _MS_PER_SECOND

    def _collecting(self, phase: str, info: object) -> None:
        now = time.monotonic()
        if phase == 'start':
            self._collection_began_at = now
        else:
            took_s = now - self._collection_began_at
            self._longest_collection_s = max(self._longest_collection_s, took_s)


def collector() -> dict[str, int]:
    """Return the state of the garbage collector: objects since the last collection, and counts."""
    oldest = gc.get_stats()[-1]
    return {
        'gc_new_objects': gc.get_count()[0],
        'gc_full_collections': oldest['collections'],
        'gc_collected_in_full': oldest['collected'],
    }


def free_bytes() -> int:
    """Return the memory that is free, but that the C library keeps; 0 if it doesn't tell."""
    import ctypes  # noqa: PLC0415 - few processes are ever asked

    class _Counts(ctypes.Structure):
        _fields_ = (('numbers', ctypes.c_size_t * _MALLOC_NUMBERS),)  # noqa: WPS120

    try:
        mallinfo = ctypes.CDLL(None).mallinfo2
    except (OSError, AttributeError):
        return 0
    mallinfo.restype = _Counts
    return mallinfo().numbers[_MALLOC_FREE]


def _size_tells_descriptors() -> bool:
    """Return whether the size of the folder is their number, as on Linux since 6.2."""
    try:
        return os.stat(_DESCRIPTORS_PATH).st_size == _listed_descriptors()
    except OSError:
        return False


def _listed_descriptors() -> int:
    # The list holds the descriptor that reads it.
    return len(os.listdir(_DESCRIPTORS_PATH)) - 1
