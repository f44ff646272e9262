"""Starts and stops child processes, such as `python -m anvillug ...`, for benches and tests."""

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

# Below the ephemeral ports, from which an outgoing connection could take the port of a backend
# server between the allocation of the port and the start of the server.
_PORT_RANGE = (15_000, 32_000)
_PORT_RNG = random.SystemRandom()
# One lock file per port. A process holds the locks of its allocated ports until it ends.
_PORT_LOCKS = pathlib.Path(tempfile.gettempdir()) / 'anvillug-ports'
_PROC = pathlib.Path('/proc')
_SIGNAL_MASK = re.compile(r'^Sig(?:Blk|Ign|Cgt):\s+(\w+)$', re.MULTILINE)
_LOG_FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')


class ProcessError(Exception):
    """A child process ended early or did not log an expected event in time."""


class ChildProcess:
    """A child process and its output.

    Args:
        arguments: Arguments that follow `program`.
        program: Executable and its first arguments.
        environment: Environment variables; None to inherit those of this process.
        output: File for its output, such as the writing end of a pipe; None for a temporary one,
            which is the only kind that can be read back.
        has_input: Whether `write` can be used.
    """

    def __init__(
        self,
        arguments: Sequence[str],
        program: Sequence[str] = PROGRAM,
        environment: Mapping[str, str] | None = None,
        output: IO[bytes] | None = None,
        *,
        has_input: bool = False,
    ) -> None:
        self.arguments = tuple(arguments)
        self._output: IO[bytes] = output or tempfile.TemporaryFile()  # noqa: SIM115 lives as long as the object
        self._process = subprocess.Popen(  # noqa: S603 the arguments are the bench's own
            [*program, *arguments],
            env=environment,
            stdin=subprocess.PIPE if has_input else subprocess.DEVNULL,
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

    @property
    def status(self) -> int | None:
        """Exit status, negative if a signal ended the process; None while it runs."""
        return self._process.poll()

    def write(self, text: str) -> None:
        """Write to the standard input of the process, unless it has ended."""
        with contextlib.suppress(BrokenPipeError):
            self._process.stdin.write(text.encode())
            self._process.stdin.flush()

    def output(self) -> str:
        """Return everything that the process has printed so far."""
        size = os.fstat(self._output.fileno()).st_size
        return os.pread(self._output.fileno(), size, 0).decode(errors='replace')

    def wait_for_event(
        self, event: str = LISTENING_EVENT, timeout_ms: float = START_TIMEOUT_MS
    ) -> dict[str, str]:
        """Wait until the process has logged an event.

        Args:
            event: Name of the event.
            timeout_ms: Maximum time to wait.

        Returns:
            The fields of the first log line with this event.

        Raises:
            ProcessError: If the process ends or the timeout expires before the event.
        """
        end = time.monotonic() + clock.to_seconds(timeout_ms)
        while True:
            was_running = self.running
            for line in self.output().splitlines():
                fields = dict(_LOG_FIELD.findall(line))
                if fields.get('event') == event:
                    return fields
            if not was_running or time.monotonic() >= end:
                state = 'not logged in time' if was_running else 'not logged before exit'
                raise ProcessError(f'{event} {state}: {self.arguments}: {self.output()}')
            time.sleep(POLL_S)

    def wait(self, timeout_ms: float) -> int:
        """Wait for the end of the process and return its exit status.

        Raises:
            ProcessError: If it does not end in time.
        """
        try:
            return self._process.wait(clock.to_seconds(timeout_ms))
        except subprocess.TimeoutExpired as error:
            raise ProcessError(f'not ended in time: {self.arguments}') from error

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal such as SIGSTOP if the process is running."""
        if self.running:
            self._process.send_signal(number)

    def stop(self, timeout_ms: float = STOP_TIMEOUT_MS) -> int:
        """Send SIGTERM, and SIGKILL if the process does not end in time.

        Args:
            timeout_ms: Time allowed for a graceful stop.

        Returns:
            The exit status; negative if a signal ended the process.
        """
        self.send_signal(signal.SIGTERM)
        try:
            return self._process.wait(clock.to_seconds(timeout_ms))
        except subprocess.TimeoutExpired:
            return self.kill()

    def kill(self) -> int:
        """Send SIGKILL if the process is running, and return its exit status."""
        self.send_signal(signal.SIGKILL)
        return self._process.wait()


def runs_program(pid: int) -> bool:
    """Return whether a child process runs its program.

    Until its `execve` is complete, a signal ends it whatever the program does. It has the command
    line of this process before that, and none in between.
    """
    own, line = ((_PROC / name / 'cmdline').read_bytes() for name in ('self', str(pid)))
    return line not in {b'', own}


def has_default_action(pid: int, number: signal.Signals) -> bool:
    """Return whether a process neither blocks nor ignores nor handles a signal."""
    masks = _SIGNAL_MASK.findall((_PROC / str(pid) / 'status').read_text())
    return not any(int(mask, 16) >> (number - 1) & 1 for mask in masks)


@contextlib.contextmanager
def group() -> Iterator[list[ChildProcess]]:
    """Yield a list of processes; on exit, all processes in it are killed in reverse order."""
    processes: list[ChildProcess] = []
    try:
        yield processes
    finally:
        for process in reversed(processes):
            process.kill()


def start(arguments: Sequence[str], processes: list[ChildProcess]) -> ChildProcess:
    """Start a process in a group and wait until it is listening.

    Args:
        arguments: Arguments of `python -m anvillug`.
        processes: List that `group` has yielded.

    Returns:
        The process.
    """
    process = ChildProcess(arguments)
    processes.append(process)
    process.wait_for_event()
    return process


def free_addresses(count: int, ip: str = '127.0.0.1') -> list[str]:
    """Return addresses with distinct ports that are currently free.

    No other call of this function, in any process, returns the same ports while this process
    runs, so benches and tests may run in parallel. Prefer port 0 for a process that reports its
    address: another program may bind a port between this call and its use.

    Args:
        count: Number of addresses.
        ip: IP address of the loopback network.
    """
    addresses: list[str] = []
    with contextlib.ExitStack() as stack:
        while len(addresses) < count:
            listener = stack.enter_context(socket.socket())
            port = _PORT_RNG.randrange(*_PORT_RANGE)
            with contextlib.suppress(OSError):
                listener.bind((ip, port))
                _lock_port(port)
                addresses.append(f'{ip}:{port}')
    return addresses


def _lock_port(port: int) -> None:
    """Lock a port against other calls; raises OSError if it is already locked."""
    _PORT_LOCKS.mkdir(exist_ok=True)
    descriptor = os.open(_PORT_LOCKS / str(port), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(descriptor)
        raise
