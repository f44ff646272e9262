"""Callers in a process of their own: blocking sockets, one thread for each connection.

`python -m anvillug.bench.socket_callers PLAN` runs the callers of a plan in JSON and prints one
JSON line for each request. A line on its standard input is a number of further requests, which
follow within a second. Each line of output holds the longest stand-still of this process while it
waited, since a process that doesn't run sees events late.
"""

from __future__ import annotations

import dataclasses
import itertools
import json
import os
import random
import sys
import threading
import time
from collections.abc import Sequence

from anvillug import clock
from anvillug.bench import socket_exchange, stalls

_REFUSED_PAUSE_S = 0.02
_MAX_BEHIND_S = 1.0
_SENT_AHEAD = 3
_BURST_S = 1.0
_LEAVING_SHARE = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What the callers of one process do."""

    name: str
    """Begin of the attempt ids."""
    addresses: Sequence[str]
    """Addresses of the nodes."""
    connections: int
    """Connections to each node."""
    habits: Sequence[str]
    """Values of `socket_exchange.Habit`; each caller has one of them."""
    duration_s: float
    """Time during which requests are sent."""
    messages: Sequence[socket_exchange.Message]
    """Kinds of requests."""
    seed: int
    """Seed of the times, sizes and habits."""
    pause_ms: float = 0
    """Mean time between the end of a request and the next one."""
    per_second: float = 0
    """Requests a second of each caller, at random times and of all kinds; 0 to send with pauses,
    each caller one kind.
    """
    some_leave: bool = False
    """Whether one caller in ten leaves instead; see `socket_exchange.Habit.LEAVES`."""

    def encode(self) -> str:
        """Return the plan as the argument of this program."""
        return json.dumps(dataclasses.asdict(self))


def decode_plan(text: str) -> Plan:
    """Return the plan of an argument of this program."""
    document = json.loads(text)
    messages = [socket_exchange.Message(**each) for each in document.pop('messages')]
    return Plan(messages=messages, **document)


class Caller(threading.Thread):
    """Sends requests on one connection at a time.

    Args:
        plan: What it does.
        node: Index of its address.
        name: Begin of its attempt ids.
        stood_still: Stand-stills of this process.
    """

    def __init__(self, plan: Plan, node: int, name: str, stood_still: stalls.Stalls) -> None:
        super().__init__(name=name)
        self._plan = plan
        self._node = node
        self._stalls = stood_still
        self._rng = random.Random(f'{plan.seed} {name}')
        self._habit = socket_exchange.Habit(self._rng.choice(plan.habits))
        # A source of its own, so that the others send what they sent before some left.
        self._leaving_rng = random.Random(f'{plan.seed} {name} leaves')
        if plan.some_leave and self._leaving_rng.random() < _LEAVING_SHARE:
            self._habit = socket_exchange.Habit.LEAVES
        self._refused = 0
        self._numbers = itertools.count()
        self._due_s = time.monotonic()
        self._connection: socket_exchange.Connection | None = None

    def run(self) -> None:
        """Send requests until the time is over; see `threading.Thread`."""
        end_s = time.monotonic() + self._plan.duration_s
        while True:
            self._pause()
            if time.monotonic() >= end_s:
                break
            self.send()
        self.close()

    def send(self) -> None:
        """Send one request, or several ahead."""
        connection = self._connected()
        if connection is None:
            self._refused += 1
            time.sleep(_REFUSED_PAUSE_S)
            return
        message = self._message()
        is_ahead = self._habit is socket_exchange.Habit.SENDS_AHEAD and message.method == 'GET'
        requests = []
        last_id = connection.last_id
        for number in itertools.islice(self._numbers, _SENT_AHEAD if is_ahead else 1):
            requests.append(self._sent(f'{self.name}-{number}', last_id, message))
            last_id = requests[-1].attempt_id
        requests[0].refused = self._refused
        self._refused = 0
        if self._plan.per_second:
            self._due_s += (len(requests) - 1) / self._plan.per_second
        connection.exchange(message, self._body(message), requests, self._leaving_rng.random())
        for sent in requests:
            begin = sent.written_at or sent.sent_at
            stalled_ms = self._stalls.longest_ms(begin, sent.ended_at)
            sent.stalled_ms = max(sent.stalled_ms, stalled_ms)
            print_line(sent)
        if self._is_over(requests[-1]):
            self.close()

    def close(self) -> None:
        """Close the connection if it is open."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _pause(self) -> None:
        if self._plan.per_second:
            next_s = self._due_s + self._rng.expovariate(self._plan.per_second)
            self._due_s = max(next_s, time.monotonic() - _MAX_BEHIND_S)
            time.sleep(max(0.0, self._due_s - time.monotonic()))
        else:
            time.sleep(self._rng.uniform(0.5, 1.5) * clock.to_seconds(self._plan.pause_ms))

    def _is_over(self, last: socket_exchange.Sent) -> bool:
        """Return whether the connection is not used again after a request."""
        if last.announced and self._habit is socket_exchange.Habit.HONOURS_CLOSE:
            return True
        # A request that was answered before it was sent completely leaves its rest.
        is_whole = last.ending == socket_exchange.Ending.ANSWERED.value and last.written_at
        return not is_whole or self._habit in socket_exchange.ONE_REQUEST

    def _message(self) -> socket_exchange.Message:
        messages = self._plan.messages
        if self._plan.per_second:
            return self._rng.choices(messages, [each.weight for each in messages])[0]
        return messages[int(self.name.rpartition('-')[2]) % len(messages)]

    def _body(self, message: socket_exchange.Message) -> bytes:
        if message.body_bytes:
            return bytes(int(self._rng.expovariate(1 / message.body_bytes)))
        return b'x' if message.method == 'POST' else b''

    def _sent(
        self, attempt_id: str, last_id: str, message: socket_exchange.Message
    ) -> socket_exchange.Sent:
        return socket_exchange.Sent(
            attempt_id,
            self._node,
            self.name,
            bool(last_id),
            last_id,
            clock.SystemClock().now(),
            message.target,
            self._habit.value,
            self._connection.connecting_at,
            self._connection.connected_at,
        )

    def _connected(self) -> socket_exchange.Connection | None:
        """Return the open connection, or a new one; None if the node does not accept one."""
        if self._connection is None:
            address = self._plan.addresses[self._node]
            try:
                self._connection = socket_exchange.Connection(address, self._habit)
            except OSError:
                return None
        return self._connection


class _Burst(threading.Thread):
    """Sends one request after a random time of up to a second."""

    def __init__(self, caller: Caller, delay_s: float) -> None:
        super().__init__()
        self._caller = caller
        self._delay_s = delay_s

    def run(self) -> None:
        """Send the request; see `threading.Thread`."""
        time.sleep(self._delay_s)
        self._caller.send()
        self._caller.close()


def print_line(sent: socket_exchange.Sent) -> None:
    """Print a request as one line, in one system call."""
    os.write(sys.stdout.fileno(), f'{json.dumps(dataclasses.asdict(sent))}\n'.encode())


def read_lines(text: str) -> list[socket_exchange.Sent]:
    """Return the requests of an output."""
    return [socket_exchange.Sent(**json.loads(line)) for line in text.splitlines()]


def _read_bursts(plan: Plan, stood_still: stalls.Stalls) -> None:
    rng = random.Random(f'{plan.seed} burst')
    numbers = itertools.count()
    for line in sys.stdin:
        for number in itertools.islice(numbers, int(line)):
            node = rng.randrange(len(plan.addresses))
            caller = Caller(plan, node, f'{plan.name}-burst-{number}', stood_still)
            _Burst(caller, rng.uniform(0, _BURST_S)).start()


def main(arguments: Sequence[str]) -> None:
    """Run the callers of a plan."""
    plan = decode_plan(arguments[0])
    stood_still = stalls.Stalls()
    stood_still.tick_in_thread()
    callers = [
        Caller(plan, node, f'{plan.name}-{node}-{number}', stood_still)
        for node in range(len(plan.addresses))
        for number in range(plan.connections)
    ]
    for caller in callers:
        caller.start()
    threading.Thread(target=_read_bursts, args=(plan, stood_still), daemon=True).start()
    for caller in callers:
        caller.join()


if __name__ == '__main__':
    main(sys.argv[1:])
