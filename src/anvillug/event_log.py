"""Event log: one line of key=value pairs per event, through Python's `logging`.

Commands print their lines with `absl.logging`. A mesh node writes them itself, without absl: the
import takes 35 ms of processor time at each start.
"""

from __future__ import annotations

import json
import logging
import re
import traceback

from anvillug import clock, log_writer

_LOGGER = logging.getLogger('anvillug')
_MS_PER_SECOND = 1000
_EVENT_PATTERN = re.compile(r'event=(\S+)')
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
    handler = _BoundedHandler(writer)
    handler.setFormatter(_LineFormatter())
    _LOGGER.handlers = [handler]
    _LOGGER.propagate = False
    _LOGGER.setLevel(logging.INFO)
    return writer


class _BoundedHandler(logging.Handler):
    """Sends lines to a writer that does not block."""

    def __init__(self, writer: log_writer.LineWriter) -> None:
        super().__init__()
        self._writer = writer

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, unless its event exceeds its rate limit."""
        line = self.format(record)
        event = _EVENT_PATTERN.search(line)
        suppressed = self._writer.admit(event.group(1) if event else '')
        if suppressed is None:
            return
        if suppressed:
            line = f'{line} suppressed_before={suppressed}'
        self._writer.write(line)


class _LineFormatter(logging.Formatter):
    """Prefixes each line with time and level as key=value pairs."""

    def format(self, record: logging.LogRecord) -> str:
        level = record.levelname.lower()
        return f'time_ms={record.created * _MS_PER_SECOND:.0f} level={level} {record.getMessage()}'


def emit(event: str, **fields: object) -> None:
    """Log an event at level INFO.

    Args:
        event: Name of the event in snake case.
        **fields: Values by key; written as JSON strings if they are empty or contain whitespace,
            quotes, equals signs or backslashes.
    """
    _LOGGER.info('%s', format_line(event, fields))


def warn(event: str, **fields: object) -> None:
    """Log an event at level WARNING; see `emit`."""
    _LOGGER.warning('%s', format_line(event, fields))


def error(event: str, cause: BaseException) -> None:
    """Log an unhandled exception with its traceback, at level ERROR.

    Args:
        event: Name of the event in snake case.
        cause: The exception.
    """
    trace = ''.join(traceback.format_exception(cause))
    _LOGGER.error('%s', format_line(event, {'error': repr(cause), 'trace': trace}))


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
