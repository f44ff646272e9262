"""Event log: one line of key=value pairs per event.

Commands print their lines with `absl.logging`, through Python's `logging`. A mesh node writes them
itself: the import of absl takes 35 ms of processor time at each start, and the records of `logging`
took twice the time of the rest of a line.
"""

from __future__ import annotations

import json
import logging
import re
import threading
import traceback

from anvillug import clock, log_writer

_LOGGER = logging.getLogger('anvillug')
_MS_PER_SECOND = 1000
_NAMES_BY_LEVEL = {
    level: logging.getLevelName(level).lower()
    for level in (logging.DEBUG, logging.INFO, logging.WARNING, logging.ERROR, logging.CRITICAL)
}
_PLAIN_VALUE_PATTERN = re.compile(r'[^\s="\\]+')


def set_up() -> None:
    """Send log lines of level INFO and above to standard error, without a prefix."""
    from absl import flags  # noqa: PLC0415 - see the module
    from absl import logging as absl_logging  # noqa: PLC0415

    # The command line is parsed by defopt; absl warns until its own flags are marked as parsed.
    flags.FLAGS.mark_as_parsed()
    absl_logging.set_verbosity(absl_logging.INFO)
    absl_logging.use_absl_handler()
    absl_logging.get_absl_handler().setFormatter(_LineFormatter())
    _LOGGER.setLevel(logging.INFO)


def set_up_bounded(descriptor: int, time: clock.Clock) -> log_writer.LineWriter:
    """Send log lines to a file descriptor without blocking on a slow reader.

    Args:
        descriptor: File descriptor, such as that of standard output.
        time: Clock.

    Returns:
        The writer, which counts the dropped lines.
    """
    writer = log_writer.LineWriter(descriptor, time)
    _OUTPUT.set_writer(writer, time)
    return writer


class _Output:
    """Where lines go: to `logging`, until there is a writer that does not block."""

    def __init__(self) -> None:
        self._writer: log_writer.LineWriter | None = None
        self._clock: clock.Clock | None = None
        # Lines also come from other threads and from signal handlers.
        self._lock = threading.RLock()

    @property
    def waiting_bytes(self) -> int:
        """Size of the lines that wait for a slow reader."""
        return 0 if self._writer is None else self._writer.waiting_bytes

    def set_writer(self, writer: log_writer.LineWriter, time: clock.Clock) -> None:
        """Write all lines to a writer from now on."""
        self._writer = writer
        self._clock = time

    def write(self, level: int, event: str, fields: dict[str, object]) -> None:
        """Write a line, unless its event exceeds its rate limit."""
        if self._writer is None:
            _LOGGER.log(level, '%s', format_line(event, fields), stacklevel=3)
            return
        with self._lock:
            suppressed = self._writer.admit(event)
            if suppressed is None:
                return
            line = _prefixed(self._clock.wall(), level, format_line(event, fields))
            if suppressed:
                line = f'{line} suppressed_before={suppressed}'
            self._writer.write(line)


_OUTPUT = _Output()


class _LineFormatter(logging.Formatter):
    """Prefixes each line with time and level as key=value pairs."""

    def format(self, record: logging.LogRecord) -> str:
        return _prefixed(record.created * _MS_PER_SECOND, record.levelno, record.getMessage())


def _prefixed(wall_ms: float, level: int, line: str) -> str:
    return f'time_ms={wall_ms:.0f} level={_NAMES_BY_LEVEL[level]} {line}'


def waiting_bytes() -> int:
    """Return the size of the lines that wait for a slow reader; see `set_up_bounded`."""
    return _OUTPUT.waiting_bytes


def emit(event: str, **fields: object) -> None:
    """Log an event at level INFO.

    Args:
        event: Name of the event in snake case.
        **fields: Values by key; written as JSON strings if they are empty or contain whitespace,
            quotes, equals signs or backslashes.
    """
    _OUTPUT.write(logging.INFO, event, fields)


def warn(event: str, **fields: object) -> None:
    """Log an event at level WARNING; see `emit`."""
    _OUTPUT.write(logging.WARNING, event, fields)


def error(event: str, cause: BaseException) -> None:
    """Log an unhandled exception with its traceback, at level ERROR.

    Args:
        event: Name of the event in snake case.
        cause: The exception.
    """
    trace = ''.join(traceback.format_exception(cause))
    _OUTPUT.write(logging.ERROR, event, {'error': repr(cause), 'trace': trace})


def format_line(event: str, fields: dict[str, object]) -> str:
    """Format the line of an event.

    Args:
        event: Name of the event in snake case.
        fields: Values by key.

    Returns:
        `event=<name>` followed by the fields in the given order.
    """
    pairs = [f'event={event}']
    pairs.extend(f'{key}={_quote(value)}' for key, value in fields.items())
    return ' '.join(pairs)


def _quote(value: object) -> str:
    text = str(value)
    if _PLAIN_VALUE_PATTERN.fullmatch(text):
        return text
    return json.dumps(text)
