"""Child processes of benches and tests: `python -m anvillug ...`, ended by their id."""

from __future__ import annotations

import contextlib
import fcntl
import os
import pathlib
import random
import re
import signal
import socket
import subprocess  # noqa: S404 only the bench tool starts processes
import sys
import tempfile
import time
from collections.abc import Iterator, Mapping, Sequence
from typing import IO

from anvillug import clock

START_TIMEOUT_MS = 15_000
STOP_TIMEOUT_MS = 15_000
POLL_S = 0.01
PROGRAM = (sys.executable, '-m', 'anvillug')
LISTENING_EVENT = 'listening'

# Below the ports that the system gives to outgoing connections: one of those took the
# port of a backend server between the choice and its start.
_PORT_RANGE = (15_000, 32_000)
_PORT_RNG = random.SystemRandom()
# One file per port. A process holds the locks of the ports that it has chosen until it ends.
_PORT_LOCKS = pathlib.Path(tempfile.gettempdir()) / 'anvillug-ports'
_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')


class ProcessError(Exception):
    """A child process ended early or did not get ready."""


class ChildProcess:
    """One running child process with its output.

    Args:
        arguments: Command line after the program.
        program: First words of the command line.
        environment: Environment variables; None for those of this process.
    """

    def __init__(
        self,
        arguments: Sequence[str],
        program: Sequence[str] = PROGRAM,
        environment: Mapping[str, str] | None = None,
    ) -> None:
        self.arguments = tuple(arguments)
        self._output: IO[bytes] = tempfile.TemporaryFile()  # noqa: SIM115 lives as long as the object
        self._process = subprocess.Popen(  # noqa: S603 the arguments are the bench's own
            [*program, *arguments],
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self._output,
            stderr=subprocess.STDOUT,
        )

    @property
    def pid(self) -> int:
        """Id of the process."""
        return self._process.pid

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self._process.poll() is None

    def output(self) -> str:
        """Return what the process has printed so far."""
        size = os.fstat(self._output.fileno()).st_size
        return os.pread(self._output.fileno(), size, 0).decode(errors='replace')

    def wait_for_event(
        self, event: str = LISTENING_EVENT, timeout_ms: float = START_TIMEOUT_MS
    ) -> dict[str, str]:
        """Wait until the process has logged an event.

        Args:
            event: Name of the event.
            timeout_ms: Longest time to wait.

        Returns:
            The fields of its first line.

        Raises:
            ProcessError: If the process ends before or the time is over.
        """
        end = time.monotonic() + clock.to_seconds(timeout_ms)
        while True:
            was_running = self.running
            for line in self.output().splitlines():
                fields = dict(_PAIR.findall(line))
                if fields.get('event') == event:
                    return fields
            if not was_running or time.monotonic() >= end:
                state = 'not logged' if was_running else 'missing at exit'
                raise ProcessError(f'{event} {state}: {self.arguments}: {self.output()}')
            time.sleep(POLL_S)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal such as SIGSTOP, if the process still runs."""
        if self.running:
            self._process.send_signal(number)

    def stop(self, timeout_ms: float = STOP_TIMEOUT_MS) -> int:
        """Ask the process to end, then end it by force.

        Args:
            timeout_ms: Time for a planned end.

        Returns:
            Its exit status, negative for a signal.
        """
        self.send_signal(signal.SIGTERM)
        try:
            return self._process.wait(clock.to_seconds(timeout_ms))
        except subprocess.TimeoutExpired:
            return self.kill()

    def kill(self) -> int:
        """End the process at once and return its exit status."""
        self.send_signal(signal.SIGKILL)
        return self._process.wait()


@contextlib.contextmanager
def group() -> Iterator[list[ChildProcess]]:
    """Yield a list; every process in it is ended at the end, in reverse order."""
    processes: list[ChildProcess] = []
    try:
        yield processes
    finally:
        for process in reversed(processes):
            process.kill()


def start(arguments: Sequence[str], processes: list[ChildProcess]) -> ChildProcess:
    """Start a process in a group and wait until it listens.

    Args:
        arguments: Command line after `python -m anvillug`.
        processes: The list of `group`.

    Returns:
        The process.
    """
    process = ChildProcess(arguments)
    processes.append(process)
    process.wait_for_event()
    return process


def free_addresses(count: int, ip: str = '127.0.0.1') -> list[str]:
    """Return addresses with distinct ports that are free now.

    No other call of this function returns the same ports while this process lives, so benches
    and tests may run side by side. Prefer port 0 where the process tells its address; foreign
    programs may take a port between this call and its use.

    Args:
        count: Number of addresses.
        ip: IP number of the loopback network.
    """
    addresses: list[str] = []
    with contextlib.ExitStack() as stack:
        while len(addresses) < count:
            opened = stack.enter_context(socket.socket())
            port = _PORT_RNG.randrange(*_PORT_RANGE)
            with contextlib.suppress(OSError):
                opened.bind((ip, port))
                _lock_port(port)
                addresses.append(f'{ip}:{port}')
    return addresses


def _lock_port(port: int) -> None:
    """Keep other processes from choosing a port; raises OSError where one has chosen it."""
    _PORT_LOCKS.mkdir(exist_ok=True)
    descriptor = os.open(_PORT_LOCKS / str(port), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(descriptor)
        raise
