"""Callers in a process of their own: blocking sockets, one thread for each connection.

`python -m anvillug.bench.socket_callers PLAN` runs the callers of a plan in JSON and prints one
JSON line for each request. Its times are those of the machine's monotonic clock, which all
processes share, taken next to the system call that they describe. Each line holds the longest
stand-still of this process while it waited, since a process that doesn't run sees events late.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import itertools
import json
import os
import random
import socket
import sys
import threading
import time
from collections.abc import Sequence
from http import client as http_client
from typing import IO

_MS = 1000.0
_CONNECT_TIMEOUT_S = 1.0
_REFUSED_PAUSE_S = 0.02
_TICK_S = 0.005
# The scheduler delays each wake-up a little.
_MIN_STALL_S = 0.005
_MAX_STALLS = 5000
_SEAL = 'Anvillug-Server-Seal'


class Habit(enum.Enum):
    """How a caller uses its connection."""

    HONOURS_CLOSE = 'honours-close'
    """Closes the connection after a response that announces the close."""
    GOES_ON = 'goes-on'
    """Uses the connection until it is closed, whatever responses announce."""


class Ending(enum.Enum):
    """How the wait for the response to a request ended."""

    ANSWERED = 'answered'
    CLOSED = 'closed'
    """The connection was closed without a whole response."""
    RESET = 'reset'
    TIMEOUT = 'timeout'


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """Request that is sent again and again."""

    method: str
    target: str
    host: str
    body: str = ''
    deadline_ms: int = 1500


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What the callers of one process do."""

    name: str
    """Begin of the attempt ids."""
    addresses: Sequence[str]
    """Addresses of the nodes."""
    connections: int
    """Connections to each node."""
    habit: str
    """Value of a `Habit`."""
    pause_ms: float
    """Mean time between the end of a request and the next one."""
    duration_s: float
    """Time during which requests are sent."""
    messages: Sequence[Message]
    """Requests; each caller sends one kind."""
    seed: int
    """Seed of the pauses."""

    def encode(self) -> str:
        """Return the plan as the argument of this program."""
        return json.dumps(dataclasses.asdict(self))


def decode_plan(text: str) -> Plan:
    """Return the plan of an argument of this program."""
    document = json.loads(text)
    messages = [Message(**each) for each in document.pop('messages')]
    return Plan(messages=messages, **document)


@dataclasses.dataclass(slots=True)
class Sent:
    """One request, and what became of it; one line of output."""

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
    written_at: float = 0
    """After the last byte was sent; 0 before."""
    ended_at: float = 0
    """At the end of the response, or when the end of the connection was seen."""
    ending: str = Ending.TIMEOUT.value
    """Value of an `Ending`."""
    status: int = 0
    """Status of the response, 0 without one."""
    is_own: bool = False
    """Whether the body of the response is that of this attempt."""
    sealed: bool = False
    """Whether a backend server has sealed the response."""
    announced: bool = False
    """Whether the response announces the close of the connection."""
    stalled_ms: float = 0
    """Longest stand-still of this process between `written_at` and `ended_at`."""


class StallMeter:
    """Records when this process did not run although it could have."""

    def __init__(self) -> None:
        self._stalls: collections.deque[tuple[float, float]] = collections.deque(maxlen=_MAX_STALLS)
        threading.Thread(target=self._tick, daemon=True).start()

    def longest_ms(self, begin_ms: float, end_ms: float) -> float:
        """Return the longest part of a stand-still between two times."""
        overlaps = (min(end, end_ms) - max(begin, begin_ms) for begin, end in tuple(self._stalls))
        return max(0.0, max(overlaps, default=0.0))

    def _tick(self) -> None:
        while True:  # noqa: WPS457 - a daemon thread ends with the process
            began_at_ms = now_ms()
            time.sleep(_TICK_S)
            woke_at_ms = now_ms()
            due_ms = began_at_ms + _TICK_S * _MS
            if woke_at_ms - due_ms > _MIN_STALL_S * _MS:
                self._stalls.append((due_ms, woke_at_ms))


class _Connection:
    """One connection of a caller."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(':')
        self.last_id = ''
        """Attempt id of the request that it has carried last."""
        self._socket = socket.create_connection((host, int(port)), _CONNECT_TIMEOUT_S)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._reader: IO[bytes] = self._socket.makefile('rb')

    def exchange(self, message: Message, sent: Sent) -> None:
        """Send a request and wait for its response."""
        body = message.body.encode()
        lines = [
            f'{message.method} {message.target} HTTP/1.1',
            f'Host: {message.host}',
            f'Anvillug-Attempt-Id: {sent.attempt_id}',
            f'Anvillug-Deadline-Ms: {message.deadline_ms}',
            *([f'Content-Length: {len(body)}'] if body else []),
        ]
        self._socket.settimeout(2 * message.deadline_ms / _MS)
        self.last_id = sent.attempt_id
        try:
            self._socket.sendall('\r\n'.join([*lines, '', '']).encode() + body)
            sent.written_at = now_ms()
            ending = self._receive(sent)
        except TimeoutError:
            ending = Ending.TIMEOUT
        except OSError:
            ending = Ending.RESET
        sent.ended_at = now_ms()
        sent.ending = ending.value

    def close(self) -> None:
        """Close the connection."""
        self._reader.close()
        self._socket.close()

    def _receive(self, sent: Sent) -> Ending:
        words = self._reader.readline().split()
        if len(words) < 2:
            return Ending.CLOSED
        headers = http_client.parse_headers(self._reader)
        size = int(headers.get('Content-Length', 0))
        body = self._reader.read(size)
        if len(body) < size:
            return Ending.CLOSED
        sent.status = int(words[1])
        sent.is_own = body == sent.attempt_id.encode()
        sent.sealed = _SEAL in headers
        sent.announced = headers.get('Connection', '').lower() == 'close'
        return Ending.ANSWERED


class Caller(threading.Thread):
    """Sends requests on one connection at a time.

    Args:
        plan: What it does.
        node: Index of its address.
        number: Number of the caller at this address.
        stalls: Stand-stills of this process.
    """

    def __init__(self, plan: Plan, node: int, number: int, stalls: StallMeter) -> None:
        super().__init__()
        self._plan = plan
        self._node = node
        self._name = f'{plan.name}-{node}-{number}'
        self._message = plan.messages[number % len(plan.messages)]
        self._habit = Habit(plan.habit)
        self._stalls = stalls
        self._rng = random.Random(f'{plan.seed} {self._name}')
        self._connection: _Connection | None = None

    def run(self) -> None:
        """Send requests until the time is over; see `threading.Thread`."""
        end_s = time.monotonic() + self._plan.duration_s
        for number in itertools.count():
            self._pause()
            if time.monotonic() >= end_s:
                break
            self._send(f'{self._name}-{number}')
        if self._connection is not None:
            self._connection.close()

    def _pause(self) -> None:
        time.sleep(self._rng.uniform(0.5, 1.5) * self._plan.pause_ms / _MS)

    def _send(self, attempt_id: str) -> None:
        connection = self._connected()
        if connection is None:
            time.sleep(_REFUSED_PAUSE_S)
            return
        last_id = connection.last_id
        sent = Sent(attempt_id, self._node, self._name, bool(last_id), last_id, now_ms())
        connection.exchange(self._message, sent)
        sent.stalled_ms = self._stalls.longest_ms(sent.written_at or sent.sent_at, sent.ended_at)
        print_line(sent)
        closes = sent.announced and self._habit is Habit.HONOURS_CLOSE
        if closes or sent.ending != Ending.ANSWERED.value:
            connection.close()
            self._connection = None

    def _connected(self) -> _Connection | None:
        """Return the open connection, or a new one; None if the node does not accept one."""
        if self._connection is None:
            try:
                self._connection = _Connection(self._plan.addresses[self._node])
            except OSError:
                return None
        return self._connection


def now_ms() -> float:
    """Return the time of the machine's monotonic clock in milliseconds."""
    return time.monotonic() * _MS


def print_line(sent: Sent) -> None:
    """Print a request as one line, in one system call."""
    os.write(sys.stdout.fileno(), f'{json.dumps(dataclasses.asdict(sent))}\n'.encode())


def read_lines(text: str) -> list[Sent]:
    """Return the requests of an output."""
    return [Sent(**json.loads(line)) for line in text.splitlines()]


def main(arguments: Sequence[str]) -> None:
    """Run the callers of a plan."""
    plan = decode_plan(arguments[0])
    stalls = StallMeter()
    callers = [
        Caller(plan, node, number, stalls)
        for node in range(len(plan.addresses))
        for number in range(plan.connections)
    ]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()


if __name__ == '__main__':
    main(sys.argv[1:])
