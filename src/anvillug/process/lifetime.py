"""Life of a server process from its first line to its end: signals, standard streams and age.

A platform may send a signal at any moment. Until a process handles it, the signal has its default
action and ends the process. The entry points let `early_signals` keep signals before they import
this module, which imports little, so that handlers are installed before the imports of the server.
"""

from __future__ import annotations

import contextlib
import enum
import os
import select
import signal
import sys
import time

from anvillug import early_signals

STANDARD_OUTPUT = 1
"""File descriptor of standard output."""
STANDARD_ERROR = 2
"""File descriptor of standard error."""

_MS_PER_SECOND = 1000.0
_NS_PER_MS = 1_000_000
_TO_QUOTE = frozenset(' \t\n="\\')

# Only a type checker needs these names; their modules take several milliseconds to import.
TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
    from typing import Any, Protocol

    class Log(Protocol):
        """Logs an event; see `event_log.emit`."""

        def __call__(self, event: str, **fields: object) -> None:
            """Log an event with its fields."""


class _Action(enum.Enum):
    """What is done with a signal that was received."""

    APPLIED = 'applied'
    """The process stops, reloads its settings, or logs its state."""
    KEPT = 'kept'
    """The settings are reloaded once the process is started."""
    IGNORED = 'ignored'
    """The process is stopping, or has nothing to reload or no state to log."""
    ENDED = 'ended'
    """The process was not started and has ended at once."""


class Lifetime:
    """Signals and age of this process.

    SIGHUP reloads the settings. SIGTERM and SIGINT stop the process: before `take_over` at once
    with status 0, since it has accepted nothing. A stopping process ignores all of them. SIGUSR1
    logs the state of a process that has taken over, also while it stops.
    """

    def __init__(self) -> None:
        self._began_at_s = time.monotonic()
        self._descriptor = STANDARD_ERROR
        self._schedule: Callable[..., Any] | None = None
        self._terminate: Callable[[], None] | None = None
        self._reload: Callable[[], None] | None = None
        self._log_state: Callable[[], None] | None = None
        self._log: Log | None = None
        self._reload_kept = False
        self._stopping = False
        self._held: list[int] | None = None

    @property
    def age_ms(self) -> float:
        """Time in milliseconds since the first line of the program."""
        return (time.monotonic() - self._began_at_s) * _MS_PER_SECOND

    def begin(self, descriptor: int, **fields: object) -> None:
        """Handle signals, also those kept, and log the start; call this before the long imports.

        Args:
            descriptor: File descriptor of the log until `take_over`.
            **fields: Further fields of the event.
        """
        self._descriptor = descriptor
        self._install_handlers()
        # Without a free descriptor or a null device the server may still be able to run.
        with contextlib.suppress(OSError):
            _open_standard_streams()
        self._write(
            'process_starting',
            pid=os.getpid(),
            **fields,
            blocked=_names(early_signals.blocked_by_parent()),
            ignored=_names(early_signals.ignored_by_parent()),
        )
        for number in early_signals.take():
            self._received(number, None)

    def take_over(
        self,
        schedule: Callable[..., Any],
        log: Log,
        terminate: Callable[[], None],
        reload: Callable[[], None] | None = None,
        log_state: Callable[[], None] | None = None,
    ) -> None:
        """Pass signals on to the server, also a reload that was requested during the start.

        Args:
            schedule: Calls a function with arguments in the thread of the reactor.
            log: Logs an event.
            terminate: Starts a graceful stop; called once.
            reload: Reloads the settings; None if the server can't.
            log_state: Logs the state of the server; None if it can't.
        """
        self._log = log
        self._terminate = terminate
        self._reload = reload
        self._log_state = log_state
        self._schedule = schedule
        self._install_handlers()
        if self._reload_kept and reload is not None:
            schedule(reload)

    @contextlib.contextmanager
    def signals_held(self) -> Iterator[None]:
        """Handle signals only at the end of the context, for `take_over` with other steps."""
        self._held = []
        try:
            yield
        finally:
            self._release_held()

    def ignore_signals(self) -> None:
        """Ignore signals until the end of the process.

        The interpreter's shutdown resets handlers to the default action, which would end the
        process with the signal's status. Ignored signals stay ignored.
        """
        for number in early_signals.NUMBERS:
            signal.signal(number, signal.SIG_IGN)

    def end(self, status: int) -> None:
        """End the process without the interpreter's shutdown.

        The shutdown replaces the status by 120 if it can't flush a stream, and waits for threads.

        Args:
            status: Exit status.
        """
        self.ignore_signals()
        for stream in (sys.stdout, sys.stderr):
            with contextlib.suppress(OSError, ValueError):
                stream.flush()
        os._exit(status)

    def _install_handlers(self) -> None:
        for number in early_signals.NUMBERS:
            signal.signal(number, self._received)
        early_signals.unblock()

    def _received(self, number: int, frame: object) -> None:
        if self._held is not None:
            self._held.append(number)
            return
        action = self._action_of(number)
        name = signal.Signals(number).name
        if self._schedule is None:
            self._write('signal_received', signal=name, action=action.value)
        else:
            self._schedule(self._log_received, name, action)
        if action is _Action.ENDED:
            # An exception could be caught by a module that is being imported.
            os._exit(0)
        if action is _Action.KEPT:
            self._reload_kept = True
        elif action is _Action.APPLIED:
            self._apply(number)

    def _release_held(self) -> None:
        # The handler may add to the list until the next statement is done.
        held = self._held
        self._held = None
        for number in held:
            self._received(number, None)

    def _action_of(self, number: int) -> _Action:
        if number == signal.SIGUSR1:
            return _Action.IGNORED if self._log_state is None else _Action.APPLIED
        if self._stopping:
            return _Action.IGNORED
        if number == signal.SIGHUP:
            if self._schedule is None:
                return _Action.KEPT
            return _Action.IGNORED if self._reload is None else _Action.APPLIED
        return _Action.ENDED if self._schedule is None else _Action.APPLIED

    def _apply(self, number: int) -> None:
        if number == signal.SIGHUP:
            self._schedule(self._reload)
        elif number == signal.SIGUSR1:
            self._schedule(self._log_state)
        else:
            self._stopping = True
            self._schedule(self._terminate)

    def _log_received(self, name: str, action: _Action) -> None:
        self._log('signal_received', signal=name, action=action.value)

    def _write(self, event: str, **fields: object) -> None:
        """Write a log line without the modules of the event log."""
        pairs = [f'time_ms={time.time_ns() // _NS_PER_MS} level=info event={event}']
        pairs.extend(f'{key}={_quoted(str(value))}' for key, value in fields.items())
        line = ' '.join(pairs)
        # A log that can't be written must neither end the process nor hold it up.
        with contextlib.suppress(OSError):
            _, writable, _ = select.select((), (self._descriptor,), (), 0)
            if writable:
                os.write(self._descriptor, f'{line}\n'.encode(errors='backslashreplace'))


def print_error(text: str) -> None:
    """Print a line on standard error; one that can't be written must not change the exit status."""
    with contextlib.suppress(OSError):
        sys.stderr.write(f'{text}\n')


def _names(numbers: list[int]) -> str:
    # Signals of real time have no names.
    names_by_number = {number.value: number.name for number in signal.Signals}
    return ','.join(names_by_number.get(number, str(number)) for number in numbers) or 'none'


def _quoted(text: str) -> str:
    if text and not _TO_QUOTE & set(text):
        return text
    escaped = text.replace('\\', r'\\').replace('"', r'\"').replace('\n', r'\n')
    return f'"{escaped}"'


def _open_standard_streams() -> None:
    """Open standard streams that are closed, so that no socket takes their descriptors.

    A line of the log would otherwise be sent on that socket.
    """
    while True:
        descriptor = os.open(os.devnull, os.O_RDWR)
        if descriptor > STANDARD_ERROR:
            os.close(descriptor)
            break
    if sys.stdout is None:
        sys.stdout = os.fdopen(STANDARD_OUTPUT, 'w', encoding='utf-8', closefd=False)
    if sys.stderr is None:
        sys.stderr = os.fdopen(STANDARD_ERROR, 'w', encoding='utf-8', closefd=False)


PROCESS = Lifetime()
"""Signals and age of this process."""
