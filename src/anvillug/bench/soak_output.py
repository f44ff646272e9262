"""Output of a node process of a soak: a file, or a pipe whose reader may go away."""

from __future__ import annotations

import fcntl
import os
import re
import tempfile
from typing import IO, Any
from typing import Protocol as Interface

_STARTED = re.compile(r'^time_ms=(\d+) .*event=node_started\b', re.MULTILINE)
_WARNING = re.compile(r'\blevel=(?:warn|error)|\bevent=process_state\b')
_LAST_WARNINGS = 3
_MAX_READ_BYTES = 65_536
# The smallest pipe, so that it is soon full once it is not read any more.
_PIPE_BYTES = 4096


class Output(Interface):
    """Output of one process."""

    target: IO[bytes]
    """File that the process writes to."""

    def text(self) -> str:
        """Return everything that was read of it so far."""

    def process_started(self) -> None:
        """Release what only the process needs."""

    def stop_reading(self) -> None:
        """Stop to read the output."""

    def close_reader(self) -> None:
        """Close the reading end."""


def started_at_ms(output: Output) -> int | None:
    """Return when the node had started, in milliseconds since the Unix epoch; None before."""
    found = _STARTED.search(output.text())
    return int(found.group(1)) if found else None


def last_warnings(output: Output) -> list[str]:
    """Return the last warnings and states of the process in its log."""
    lines = [line for line in output.text().splitlines() if _WARNING.search(line)]
    return lines[-_LAST_WARNINGS:]


class FileOutput:
    """Output of one process, kept in a temporary file; see `Output`."""

    def __init__(self) -> None:
        self.target: IO[bytes] = tempfile.TemporaryFile()  # noqa: SIM115 lives as long as the process

    def text(self) -> str:
        """Return everything that the process has written so far."""
        size = os.fstat(self.target.fileno()).st_size
        return os.pread(self.target.fileno(), size, 0).decode(errors='replace')

    def process_started(self) -> None:
        """Do nothing: the file is read by the same descriptor."""

    def stop_reading(self) -> None:
        """Do nothing: a file has no reader that the process could notice."""

    def close_reader(self) -> None:
        """Do nothing: a file has no reader that the process could notice."""


class PipeOutput:
    """Output of one process, read from a small pipe; see `Output`.

    Args:
        reactor: Twisted reactor.
    """

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._text = b''
        reading_end, writing_end = os.pipe()
        self._reading_end = reading_end
        fcntl.fcntl(self._reading_end, fcntl.F_SETPIPE_SZ, _PIPE_BYTES)
        os.set_blocking(self._reading_end, False)  # noqa: FBT003 the argument has no name
        self.target = os.fdopen(writing_end, 'wb', buffering=0)
        self._is_read = True
        reactor.addReader(self)

    def text(self) -> str:
        """Return everything that was read of it so far, and what waits in the pipe if it is."""
        if self._is_read:
            self.doRead()
        return self._text.decode(errors='replace')

    def process_started(self) -> None:
        """Close the writing end of this process."""
        self.target.close()

    def stop_reading(self) -> None:
        """Stop to read the output, so that the pipe fills."""
        if self._is_read:
            self._is_read = False
            self._reactor.removeReader(self)

    def close_reader(self) -> None:
        """Close the reading end."""
        self.stop_reading()
        if self._reading_end >= 0:
            os.close(self._reading_end)
            self._reading_end = -1

    def fileno(self) -> int:
        """Return the reading end; see Twisted."""
        return self._reading_end

    def doRead(self) -> None:  # noqa: N802 the name is Twisted's
        """Read what has arrived; see Twisted."""
        try:
            chunk = os.read(self._reading_end, _MAX_READ_BYTES)
        except BlockingIOError:
            return
        if chunk:
            self._text += chunk
        else:
            self.close_reader()

    def connectionLost(self, reason: object) -> None:  # noqa: N802 the name is Twisted's
        """Do nothing: the reader is closed with the process; see Twisted."""

    def logPrefix(self) -> str:  # noqa: N802 the name is Twisted's
        """Return a name for log lines; see Twisted."""
        return 'soak output'
