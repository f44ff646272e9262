"""Clients that do not behave, in a process of their own: one thread for each client.

`python -m anvillug.bench.unruly_callers PLAN` runs the clients of a plan in JSON, and prints the
number of connections that they have opened.
"""

from __future__ import annotations

import contextlib
import dataclasses
import itertools
import json
import socket
import struct
import sys
import threading
import time
from collections.abc import Sequence

from anvillug.bench import processes, unruly_clients

MAX_CLIENTS = 200
"""Largest number of clients of a plan."""
_PROGRAM = (sys.executable, '-m', 'anvillug.bench.unruly_callers')
_RECEIVE_BUFFER_BYTES = 4096
_TIMEOUT_S = 0.5
_REFUSED_PAUSE_S = 0.02
# A connection that the node keeps open is closed after this time.
_CONNECTION_S = 5.0
_SLOW_READ_BYTES = 512
_SLOW_READ_S = 0.05
_READ_BYTES = 65_536
# Closing a socket with this value of SO_LINGER resets its connection.
_RESET = struct.pack('ii', 1, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What the clients of one process do."""

    addresses: Sequence[str]
    """Addresses that they connect to, in turn."""
    habits: Sequence[str]
    """Values of `unruly_clients.Habit`, one for each client in turn."""
    clients: int
    """Number of clients, at most `MAX_CLIENTS`."""
    duration_s: float
    """Time after which they end."""

    def encode(self) -> str:
        """Return the plan as the argument of this program."""
        return json.dumps(dataclasses.asdict(self))


def start(plan: Plan) -> processes.ChildProcess:
    """Start the process of a plan."""
    return processes.ChildProcess((plan.encode(),), _PROGRAM)


class Client(threading.Thread):
    """Connects, sends and ends the connection, again and again.

    Args:
        address: IP:port to connect to.
        habit: What it does on each connection.
        end_s: When it ends, by the monotonic clock.
    """

    def __init__(self, address: str, habit: unruly_clients.Habit, end_s: float) -> None:
        super().__init__(daemon=True)
        self.opened = 0
        """Connections that it has opened."""
        host, _, port = address.rpartition(':')
        self._address = (host, int(port))
        self._behavior = unruly_clients.behavior(habit)
        self._end_s = end_s

    def run(self) -> None:
        """Repeat the habit until the time is over; see `threading.Thread`."""
        while time.monotonic() < self._end_s:
            with contextlib.suppress(OSError), socket.socket() as connection:
                self._connect(connection)

    def _connect(self, connection: socket.socket) -> None:
        connection.settimeout(_TIMEOUT_S)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
        if connection.connect_ex(self._address):
            time.sleep(_REFUSED_PAUSE_S)
            return
        self.opened += 1
        if self._behavior.ending is unruly_clients.Ending.RESETS:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        until_s = min(self._end_s, time.monotonic() + _CONNECTION_S)
        # A node that stops to read is no reason to leave.
        with contextlib.suppress(TimeoutError):
            self._send(connection, until_s)
        self._wait(connection, until_s)

    def _send(self, connection: socket.socket, until_s: float) -> None:
        for piece in self._behavior.pieces():
            if time.monotonic() >= until_s:
                break
            connection.sendall(piece)

    def _wait(self, connection: socket.socket, until_s: float) -> None:
        ending = self._behavior.ending
        if ending is unruly_clients.Ending.HOLDS:
            time.sleep(max(0.0, until_s - time.monotonic()))
        elif ending is unruly_clients.Ending.LEAVES:
            connection.recv(1, socket.MSG_PEEK)
        elif ending is unruly_clients.Ending.READS_SLOWLY:
            _read(connection, _SLOW_READ_BYTES, _SLOW_READ_S, until_s)
        elif ending is unruly_clients.Ending.READS:
            _read(connection, _READ_BYTES, 0, until_s)


def _read(connection: socket.socket, size: int, pause_s: float, until_s: float) -> None:
    """Read until the connection is closed or the time is over."""
    while time.monotonic() < until_s:
        with contextlib.suppress(TimeoutError):
            if not connection.recv(size):
                break
            time.sleep(pause_s)


def main(arguments: Sequence[str]) -> None:
    """Run the clients of a plan."""
    plan = Plan(**json.loads(arguments[0]))
    end_s = time.monotonic() + plan.duration_s
    habits = itertools.cycle(map(unruly_clients.Habit, plan.habits))
    addresses = itertools.cycle(plan.addresses)
    clients = [
        Client(next(addresses), next(habits), end_s) for _ in range(min(plan.clients, MAX_CLIENTS))
    ]
    for each in clients:
        each.start()
    for each in clients:
        each.join(plan.duration_s + _CONNECTION_S)
    sys.stdout.write(f'{sum(client.opened for client in clients)}\n')


if __name__ == '__main__':
    main(sys.argv[1:])
