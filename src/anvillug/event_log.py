"""Event log: one line of key=value pairs per event, through `absl.logging`."""

from __future__ import annotations

import json
import re

from absl import logging

_PLAIN_VALUE = re.compile(r'[^\s="\\]+')


def emit(event: str, **fields: object) -> None:
    """Log an event at level INFO.

    Args:
        event: Name of the event in snake case.
        **fields: Values by key; quoted as JSON strings where they hold blanks.
    """
    logging.info('%s', format_line(event, fields))


def warn(event: str, **fields: object) -> None:
    """Log an event at level WARNING; see `emit`."""
    logging.warning('%s', format_line(event, fields))


def format_line(event: str, fields: dict[str, object]) -> str:
    """Return the line of an event.

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
    if _PLAIN_VALUE.fullmatch(text):
        return text
    return json.dumps(text)
