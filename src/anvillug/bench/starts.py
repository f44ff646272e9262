"""Starts of one real node under trouble, with the code of this checkout or another.

Each trial starts the run line of the checkout's deploy file and tells how the process fared, so
that one reproduction can be played on several versions.
"""

from __future__ import annotations

import collections
import contextlib
import dataclasses
import enum
import json
import pathlib
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from typing import NewType

from anvillug import clock
from anvillug.bench import processes, soak_launch

_IP = '127.77.3.21'
_NOBODY = '127.0.0.1:9'
_GRACE_S = 6
_STARTED = 'node_started'
_END_SLACK_S = 3.0
_ADDRESS_NAMES = ('Inbound', 'Outbound', 'ReadyAddr', 'Control', 'beacons', 'metrics')
_DATAGRAMS = 'beacons'
BLOCKING_PROGRAM = """
import os, signal, sys
signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGTERM, signal.SIGHUP, signal.SIGINT))
os.execvp(sys.argv[1], sys.argv[1:])
"""
"""Starts a program with the signals of a server blocked."""
_EARLY_SIGNALS = (signal.SIGTERM, signal.SIGHUP)

Outcome = NewType('Outcome', str)
"""How a node fared."""

STARTED = Outcome('started')
"""It runs, and serves if it has to."""
ENDED_WELL = Outcome('ended with 0')
"""It ended as it was told to."""


class Trouble(enum.Enum):
    """What a node meets at its start."""

    PORT = 'port'
    """Another process holds one of its addresses for a time."""
    SETTINGS = 'settings'
    """Its settings file is half written for a time."""
    MASK = 'mask'
    """Signals are blocked by the process that starts it."""
    EARLY = 'early'
    """A signal comes some milliseconds after its start."""


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Parameters of the starts."""

    trouble: Trouble
    """What the nodes meet."""
    hold_s: float = 25
    """Time for which an address is held, or the settings are half written."""
    delays_ms: tuple[float, ...] = (1, 2, 4, 8, 12, 20, 30, 60)
    """Delays of signals after the start."""
    repeats: int = 20
    """Starts for each signal and delay."""
    code: pathlib.Path = soak_launch.ROOT
    """Checkout whose code the nodes run."""


@dataclasses.dataclass(frozen=True, slots=True)
class Trial:
    """One start."""

    name: str
    """What was done."""
    outcome: Outcome
    """How the node fared."""

    @property
    def is_sound(self) -> bool:
        """Whether the node did not end by itself, nor by a signal."""
        return self.outcome in {STARTED, ENDED_WELL}


class _Node:
    """Settings and process of one node."""

    def __init__(self, plan: Plan, folder: pathlib.Path) -> None:
        addresses = processes.free_addresses(len(_ADDRESS_NAMES), _IP)
        self.addresses_by_name = dict(zip(_ADDRESS_NAMES, addresses, strict=True))
        self.path = folder / 'local.json'
        self._code = plan.code
        self._child: processes.ChildProcess | None = None

    def write_settings(self, share: float = 1) -> None:
        """Write a share of the settings file."""
        addresses = self.addresses_by_name
        ports = [int(addresses[name].rpartition(':')[2]) for name in _ADDRESS_NAMES[4:]]
        document = {
            'Self': {
                'NodeName': 'host-1',
                'Ip': _IP,
                'Zone': 'zone-1',
                'AppAddr': f'{_IP}:9',
                'Service': 'drawbook',
            },
            'Network': {
                'Listen': {name: addresses[name] for name in _ADDRESS_NAMES[:4]},
                'InternalPorts': ports,
            },
            'Platform': {'Platform': {'Address': _NOBODY}},
            'Terms': {'Bounds': {'GraceS': _GRACE_S}},
        }
        text = json.dumps(document)
        self.path.write_text(text[: int(share * len(text))])

    def start(self, prefix: tuple[str, ...] = ()) -> processes.ChildProcess:
        """Start the process; a prefix is put before its command."""
        launch = soak_launch.as_deployed(self.path, self._code)
        self._child = processes.ChildProcess((), (*prefix, *launch.command), launch.environment)
        return self._child

    def outcome(self, wait_s: float) -> Outcome:
        """Wait until the node has started or ended, and kill it."""
        end = time.monotonic() + wait_s
        while self._child.running and time.monotonic() < end:
            if f'event={_STARTED}' in self._child.output():
                break
            time.sleep(processes.POLL_S)
        is_started = f'event={_STARTED}' in self._child.output()
        status = self._child.status
        self._child.kill()
        if status is not None:
            return Outcome(f'ended with {status}')
        return STARTED if is_started else Outcome('runs without having started')

    def outcome_of_stop(self) -> Outcome:
        """Send SIGTERM, and wait for the end as long as the platform does."""
        status = self._child.stop(timeout_ms=(_GRACE_S + 1) * 1000)
        return Outcome(f'ended with {status}')


async def run(plan: Plan, reactor: object) -> int:
    """Play the starts and print how they went.

    Returns:
        Exit code: 0 if no node ended otherwise than it was told to, 1 otherwise.
    """
    trials = list(play(plan))
    counts = collections.Counter((trial.name, trial.outcome) for trial in trials)
    for (name, outcome), count in counts.items():
        sys.stdout.write(f'{plan.trouble.value} {name}: {count} {outcome}\n')
    unsound = sum(not trial.is_sound for trial in trials)
    sys.stdout.write(f'{unsound} of {len(trials)} starts failed\n')
    return 1 if unsound else 0


def play(plan: Plan) -> Iterator[Trial]:
    """Play the starts.

    Yields:
        Each start.
    """
    with tempfile.TemporaryDirectory(prefix='anvillug-starts-') as folder:
        yield from _PLAYERS[plan.trouble](plan, pathlib.Path(folder))


def _play_ports(plan: Plan, folder: pathlib.Path) -> Iterator[Trial]:
    for name in _ADDRESS_NAMES:
        node = _Node(plan, folder)
        node.write_settings()
        with _held(node.addresses_by_name[name], is_datagram=name == _DATAGRAMS):
            child = node.start()
            _sleep_while(child, plan.hold_s)
        yield Trial(f'{name} held for {plan.hold_s:.0f} s', node.outcome(_END_SLACK_S))


def _play_settings(plan: Plan, folder: pathlib.Path) -> Iterator[Trial]:
    for share in (0, 0.5):
        node = _Node(plan, folder)
        node.write_settings(share)
        child = node.start()
        _sleep_while(child, plan.hold_s)
        node.write_settings()
        name = f'{share:.0%} written for {plan.hold_s:.0f} s'
        yield Trial(name, node.outcome(_END_SLACK_S))


def _play_masks(plan: Plan, folder: pathlib.Path) -> Iterator[Trial]:
    node = _Node(plan, folder)
    node.write_settings()
    child = node.start((sys.executable, '-c', BLOCKING_PROGRAM))
    child.wait_for_event(_STARTED)
    yield Trial('blocked, SIGTERM', node.outcome_of_stop())


def _play_early(plan: Plan, folder: pathlib.Path) -> Iterator[Trial]:
    for number in _EARLY_SIGNALS:
        for delay_ms in plan.delays_ms:
            for _ in range(plan.repeats):
                node = _Node(plan, folder)
                node.write_settings()
                child = node.start()
                time.sleep(clock.to_seconds(delay_ms))
                child.send_signal(number)
                name = f'{number.name} after {delay_ms:g} ms'
                yield Trial(name, node.outcome(processes.START_TIMEOUT_MS / 1000))


_Player = Callable[[Plan, pathlib.Path], Iterator[Trial]]
_PLAYERS: dict[Trouble, _Player] = {
    Trouble.PORT: _play_ports,
    Trouble.SETTINGS: _play_settings,
    Trouble.MASK: _play_masks,
    Trouble.EARLY: _play_early,
}


@contextlib.contextmanager
def _held(address: str, *, is_datagram: bool) -> Iterator[None]:
    """Hold an address."""
    host, _, port = address.rpartition(':')
    kind = socket.SOCK_DGRAM if is_datagram else socket.SOCK_STREAM
    with socket.socket(socket.AF_INET, kind) as holder:
        holder.bind((host, int(port)))
        if not is_datagram:
            holder.listen()
        yield


def _sleep_while(child: processes.ChildProcess, duration_s: float) -> None:
    """Sleep for a time, or until a process has ended."""
    end = time.monotonic() + duration_s
    while child.running and time.monotonic() < end:
        time.sleep(processes.POLL_S)
