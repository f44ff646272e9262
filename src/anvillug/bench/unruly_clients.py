"""What clients send that do not behave, and how they end their connections."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Iterator

from anvillug.bench import soak_classes

ATTEMPT_ID = 'unruly'
"""Attempt id of all their requests, none of which is judged."""

_PIECE_BYTES = 1 << 16
_ENDLESS_BYTES = 1 << 28
_DEADLINE_MS = 1500
_UPLOAD_BYTES = 4_000_000
_SENT_BYTES = 400_000
_CHUNKS = 900_000
_SHORT_LINES = 2000
_HEADS = 200
_UNREAD_REQUESTS = 3000
_SLOWLY_READ_REQUESTS = 30


class Habit(enum.Enum):
    """What a client does that does not behave."""

    RESETS_LENGTH = 'resets-length'
    """Resets an upload with a length midway, and comes again at once."""
    RESETS_CHUNKS = 'resets-chunks'
    """The same with a body in chunks."""
    ENDLESS_TRAILER = 'endless-trailer'
    """Sends a trailer field without end."""
    SWITCHES_AHEAD = 'switches-ahead'
    """Sends offers to switch the protocol ahead, each with many short lines."""
    CHUNKS_OF_ONE = 'chunks-of-one'
    """Sends a body in chunks of one byte."""
    CHUNKS_OF_TWO = 'chunks-of-two'
    """Sends a body in chunks of two bytes."""
    ENDLESS_HEAD = 'endless-head'
    """Sends short header lines without end."""
    UNREAD_AHEAD = 'unread-ahead'
    """Sends thousands of requests ahead and doesn't read the responses."""
    SLOW_AHEAD = 'slow-ahead'
    """Sends some requests ahead and reads the responses slowly."""
    EMPTY_LINES = 'empty-lines'
    """Sends empty lines without end."""
    LEAVES_UNREAD = 'leaves-unread'
    """Leaves when the responses to its requests have begun to arrive."""
    IDLE = 'idle'
    """Opens a connection and sends nothing."""


class Ending(enum.Enum):
    """What a client does once it has sent everything."""

    RESETS = 'resets'
    READS = 'reads'
    """Reads until the connection is closed."""
    READS_SLOWLY = 'reads slowly'
    HOLDS = 'holds'
    """Keeps the connection open without reading."""
    LEAVES = 'leaves'
    """Waits until something has arrived, and closes the connection without reading it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Behavior:
    """What a client does on each of its connections."""

    start: bytes
    """What it sends first."""
    repeated: bytes
    """What follows, again and again."""
    repeats: int
    """How often."""
    ending: Ending = Ending.READS
    """What it does then."""

    def pieces(self) -> Iterator[bytes]:
        """Yield what is sent, in parts of a moderate size."""
        yield self.start
        at_once = max(1, _PIECE_BYTES // max(1, len(self.repeated)))
        whole, rest = divmod(self.repeats, at_once)
        for _ in range(whole):
            yield self.repeated * at_once
        yield self.repeated * rest


def behavior(habit: Habit) -> Behavior:
    """Return what clients with a habit do."""
    return _BEHAVIORS[habit]


def _head(method: str, route: soak_classes.RequestClass, *lines: str) -> bytes:
    """Return the begin of a request, without the empty line at its end."""
    start = (
        f'{method} /{route.route}/ HTTP/1.1',
        f'Host: {soak_classes.HOST}',
        f'Anvillug-Attempt-Id: {ATTEMPT_ID}',
        f'Anvillug-Deadline-Ms: {_DEADLINE_MS}',
        *lines,
        '',
    )
    return '\r\n'.join(start).encode()


def _upload(*lines: str) -> bytes:
    return b'%b\r\n' % _head('POST', soak_classes.SCAN, *lines)


def _endless(start: bytes, repeated: bytes) -> Behavior:
    return Behavior(start, repeated, _ENDLESS_BYTES // len(repeated))


_CHUNKED = _upload('Transfer-Encoding: chunked')
_GET = _head('GET', soak_classes.SHEET)
_REQUEST = b'%b\r\n' % _GET
_MANY_LINES = b''.join(b'%x:\r\n' % number for number in range(_SHORT_LINES))
_SWITCH = _head('GET', soak_classes.SHEET, 'Connection: Upgrade', 'Upgrade: other')
_BEHAVIORS = {
    Habit.RESETS_LENGTH: Behavior(
        _upload(f'Content-Length: {_UPLOAD_BYTES}'), bytes(_SENT_BYTES), 1, Ending.RESETS
    ),
    Habit.RESETS_CHUNKS: Behavior(
        _CHUNKED, b'%x\r\n%b' % (_UPLOAD_BYTES, bytes(_SENT_BYTES)), 1, Ending.RESETS
    ),
    Habit.ENDLESS_TRAILER: _endless(b'%b1\r\na\r\n0\r\nX: ' % _CHUNKED, b'a'),
    Habit.SWITCHES_AHEAD: Behavior(b'', b'%b%b\r\n' % (_SWITCH, _MANY_LINES), _HEADS),
    Habit.CHUNKS_OF_ONE: Behavior(_CHUNKED, b'1\r\na\r\n', _CHUNKS),
    Habit.CHUNKS_OF_TWO: Behavior(_CHUNKED, b'2\r\nab\r\n', _CHUNKS),
    Habit.ENDLESS_HEAD: _endless(_GET + _MANY_LINES, b'a:\r\n'),
    Habit.UNREAD_AHEAD: Behavior(b'', _REQUEST, _UNREAD_REQUESTS, Ending.HOLDS),
    Habit.SLOW_AHEAD: Behavior(b'', _REQUEST, _SLOWLY_READ_REQUESTS, Ending.READS_SLOWLY),
    Habit.EMPTY_LINES: _endless(b'', b'\r\n'),
    Habit.LEAVES_UNREAD: Behavior(b'', _REQUEST, 2, Ending.LEAVES),
    Habit.IDLE: Behavior(b'', b'', 0),
}
