"""Requests on a blocking socket, with their times taken next to the system calls."""

from __future__ import annotations

import collections
import dataclasses
import enum
import socket
import time
from collections.abc import Sequence
from http import client as http_client
from typing import IO

from anvillug import clock

_CONNECT_TIMEOUT_S = 1.0
_SEAL = 'Anvillug-Server-Seal'
_ATTEMPT_ID = 'Anvillug-Attempt-Id'
_STATUS_CONTINUE = 100
_STATUS_FINAL = 200
_MAX_BODY = 200
# A caller gives up after twice its deadline, but not while an answer may still be in time.
_MIN_GIVE_UP_MS = 600
_PARTS = 4
_PART_PAUSE_S = 0.03
_READ_PAUSE_MS = 100.0
WORK_MS_HEADER = 'Soak-Work-Ms'
"""Header with the time of work that a caller who leaves asks for, beyond its deadline."""
_WORK_BEYOND_MS = 100
# Such a caller leaves so early that its deadline is over half a second later.
_LEAVE_SHARE = 0.5
_TIME = clock.SystemClock()


class Habit(enum.Enum):
    """How a caller uses its connection, and sends and reads."""

    HONOURS_CLOSE = 'honours-close'
    """Closes the connection after a response that announces the close."""
    GOES_ON = 'goes-on'
    """Uses the connection until it is closed, whatever responses announce, as do those below."""
    SENDS_AHEAD = 'sends-ahead'
    """Sends several repeatable requests at once."""
    NEW_CONNECTION = 'new-connection'
    """Uses a new connection for each request."""
    OLD_VERSION = 'http-1.0'
    """Speaks HTTP/1.0, with a new connection for each request."""
    EXPECTS = 'expects'
    """Sends a body only once status 100 has come."""
    HALF_CLOSES = 'half-closes'
    """Closes its end after the request."""
    SLOW_BODY = 'slow-body'
    """Sends a body in parts."""
    SLOW_READER = 'slow-reader'
    """Reads the response late."""
    CHUNKED = 'chunked'
    """Sends a body in chunks without its length."""
    LEAVES = 'leaves'
    """Closes the connection at a random time after the request, unless it is answered before."""


ONE_REQUEST = frozenset((Habit.NEW_CONNECTION, Habit.OLD_VERSION, Habit.HALF_CLOSES, Habit.LEAVES))
"""Habits with a new connection for each request."""


class Ending(enum.Enum):
    """How the wait for the response to a request ended."""

    ANSWERED = 'answered'
    CLOSED = 'closed'
    """The connection was closed without a whole response."""
    LEFT = 'left'
    """The caller has closed the connection, since it leaves."""
    GARBLED = 'garbled'
    """Something came that is no response."""
    RESET = 'reset'
    TIMEOUT = 'timeout'


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """Kind of a request that is sent again and again."""

    method: str
    target: str
    host: str
    deadline_ms: int = 1500
    body_bytes: int = 0
    """Mean size of the body; 0 for one byte with POST and none otherwise."""
    weight: float = 1
    """Share of the requests, beside the weights of the other kinds."""


@dataclasses.dataclass(slots=True)
class Sent:
    """One request, and what became of it; one line of output. Times are those of `clock`."""

    attempt_id: str
    node: int
    """Index of its address."""
    caller: str
    """Name of the caller, which has one connection at a time."""
    kept: bool
    """Whether the connection had carried a request before."""
    previous_id: str
    """Attempt id of the request before it on the same connection, empty without one."""
    sent_at: float
    """Before the first byte was sent, in milliseconds."""
    target: str = ''
    """Target of the request."""
    habit: str = Habit.GOES_ON.value
    """Value of a `Habit`."""
    connecting_at: float = 0
    """Before its connection was opened."""
    connected_at: float = 0
    """When its connection was open."""
    refused: int = 0
    """Connections that were refused to the caller since its request before."""
    written_at: float = 0
    """After the last byte was sent; 0 before."""
    ended_at: float = 0
    """At the end of the response, or when the end of the connection was seen."""
    ending: str = Ending.TIMEOUT.value
    """Value of an `Ending`."""
    status: int = 0
    """Status of the response, 0 without one."""
    body: str = ''
    """Begin of the body of the response."""
    echoed_id: str = ''
    """Attempt id that the response names."""
    sealed: bool = False
    """Whether a backend server has sealed the response."""
    announced: bool = False
    """Whether the response announces the close of the connection."""
    stalled_ms: float = 0
    """Longest stand-still of this process between `written_at` and `ended_at`, or its own wait."""


class Connection:
    """One connection of a caller.

    Args:
        address: IP:port of the node.
        habit: Habit of the caller.

    Raises:
        OSError: If the node does not accept it.
    """

    def __init__(self, address: str, habit: Habit) -> None:
        host, _, port = address.rpartition(':')
        self.last_id = ''
        """Attempt id of the request that it has carried last."""
        self.connecting_at = _TIME.now()
        """Before it was opened."""
        self._habit = habit
        self._status_line = b''
        self._socket = socket.create_connection((host, int(port)), _CONNECT_TIMEOUT_S)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._reader: IO[bytes] = self._socket.makefile('rb')
        self.connected_at = _TIME.now()
        """When it was open."""

    def exchange(
        self, message: Message, body: bytes, requests: Sequence[Sent], patience: float = 0
    ) -> None:
        """Send requests of one kind, all at once, and wait for their responses.

        Args:
            message: Their kind.
            body: Their body.
            requests: Receive what becomes of them.
            patience: Share of the longest time, from 0 to 1, after which a caller leaves.
        """
        give_up_ms = max(2 * message.deadline_ms, message.deadline_ms + _MIN_GIVE_UP_MS)
        self._socket.settimeout(clock.to_seconds(give_up_ms))
        waiting = collections.deque(requests)
        try:
            self._send(message, body, requests)
            self._prepare_to_read(max(1.0, patience * _LEAVE_SHARE * message.deadline_ms))
            while waiting:
                ending = self._receive(waiting[0])
                if ending is not Ending.ANSWERED:
                    break
                _end(waiting.popleft(), ending)
        except TimeoutError:
            ending = Ending.TIMEOUT
            if self._habit is Habit.LEAVES and requests[0].written_at:
                self.close()
                ending = Ending.LEFT
        except OSError:
            ending = Ending.RESET
        except (ValueError, http_client.HTTPException):
            ending = Ending.GARBLED
        for sent in waiting:
            _end(sent, ending)

    def _prepare_to_read(self, leave_ms: float) -> None:
        if self._habit is Habit.SLOW_READER:
            time.sleep(clock.to_seconds(_READ_PAUSE_MS))
        elif self._habit is Habit.LEAVES:
            self._socket.settimeout(clock.to_seconds(leave_ms))

    def close(self) -> None:
        """Close the connection."""
        self._reader.close()
        self._socket.close()

    def _send(self, message: Message, body: bytes, requests: Sequence[Sent]) -> None:
        heads = [self._head(message, body, sent) for sent in requests]
        self.last_id = requests[-1].attempt_id
        if self._habit is Habit.EXPECTS and body:
            self._socket.sendall(heads[0])
            if not self._may_go_on():
                return
            self._socket.sendall(body)
        elif self._habit in {Habit.SLOW_BODY, Habit.CHUNKED} and body:
            self._send_in_parts(heads[0], body)
        else:
            self._socket.sendall(b''.join(head + body for head in heads))
        written_at = _TIME.now()
        for sent in requests:
            sent.written_at = written_at
        if self._habit is Habit.HALF_CLOSES:
            self._socket.shutdown(socket.SHUT_WR)

    def _head(self, message: Message, body: bytes, sent: Sent) -> bytes:
        version = '1.0' if self._habit is Habit.OLD_VERSION else '1.1'
        lines = [
            f'{message.method} {message.target} HTTP/{version}',
            f'Host: {message.host}',
            f'{_ATTEMPT_ID}: {sent.attempt_id}',
            f'Anvillug-Deadline-Ms: {message.deadline_ms}',
        ]
        if body and self._habit is Habit.CHUNKED:
            lines.append('Transfer-Encoding: chunked')
        elif message.method == 'POST':
            lines.append(f'Content-Length: {len(body)}')
        if self._habit is Habit.LEAVES and message.method == 'GET':
            lines.append(f'{WORK_MS_HEADER}: {message.deadline_ms + _WORK_BEYOND_MS}')
        if body and self._habit is Habit.EXPECTS:
            lines.append('Expect: 100-continue')
        return '\r\n'.join([*lines, '', '']).encode()

    def _send_in_parts(self, head: bytes, body: bytes) -> None:
        self._socket.sendall(head)
        size = -(-len(body) // _PARTS)
        for begin in range(0, len(body), size):
            part = body[begin : begin + size]
            if self._habit is Habit.CHUNKED:
                part = b'%x\r\n%b\r\n' % (len(part), part)
            else:
                time.sleep(_PART_PAUSE_S)
            self._socket.sendall(part)
        if self._habit is Habit.CHUNKED:
            self._socket.sendall(b'0\r\n\r\n')

    def _may_go_on(self) -> bool:
        """Wait for status 100; a final response instead stays to be read."""
        self._status_line = self._reader.readline()
        if self._status_line.split()[1:2] != [b'%d' % _STATUS_CONTINUE]:
            return False
        http_client.parse_headers(self._reader)
        self._status_line = b''
        return True

    def _receive(self, sent: Sent) -> Ending:
        line = self._status_line or self._reader.readline()
        self._status_line = b''
        if not line.endswith(b'\n'):
            return Ending.CLOSED
        words = line.split()
        if len(words) < 2 or not line.startswith(b'HTTP/1.'):
            return Ending.GARBLED
        headers = http_client.parse_headers(self._reader)
        if _STATUS_CONTINUE <= int(words[1]) < _STATUS_FINAL:
            return self._receive(sent)
        length = headers.get('Content-Length')
        body = self._reader.read(None if length is None else int(length))
        if length is not None and len(body) < int(length):
            return Ending.CLOSED
        sent.status = int(words[1])
        sent.body = body[:_MAX_BODY].decode('latin-1')
        sent.echoed_id = headers.get(_ATTEMPT_ID, '')
        sent.sealed = _SEAL in headers
        sent.announced = headers.get('Connection', '').lower() == 'close'
        return Ending.ANSWERED


def _end(sent: Sent, ending: Ending) -> None:
    sent.ended_at = _TIME.now()
    sent.ending = ending.value
    if sent.habit == Habit.SLOW_READER.value:
        sent.stalled_ms = _READ_PAUSE_MS
