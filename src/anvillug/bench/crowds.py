"""Crowds of clients that do not behave at one of some real nodes.

The nodes may run the code of another checkout, so that one reproduction can be played on several
versions.
"""

from __future__ import annotations

import collections
import dataclasses
import itertools
import os
import pathlib
import random
import sys
import tempfile
from collections.abc import Iterator
from http import client as http_client
from typing import Any

from twisted.internet import task, threads

from anvillug import clock
from anvillug.bench import (
    processes,
    soak_classes,
    soak_fleet,
    soak_host,
    soak_records,
    stops,
    unruly_callers,
    unruly_clients,
    usage,
)

MAX_S = 120
"""Longest time of a crowd, in seconds."""
MIN_NODES = 2
"""Smallest number of nodes, with a node of each service."""
MAX_NODES = 12
"""Largest number of nodes."""

_SLOTS = 40
_START_S = 6.0
_AFTER_S = 3.0
_SAMPLE_S = 0.1
_REQUESTS = 5
_TIMEOUT_S = 4.0
_STATUS_OK = 200
# From the end of the crowd's time until its process is killed.
_LATE_S = 15.0
_STATE_NAMES = {'01': 'established', '08': 'close-wait'}
_LISTENING = '0A'


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Parameters of a crowd."""

    habit: unruly_clients.Habit
    """What its clients do."""
    clients: int = 10
    """Number of clients."""
    duration_s: float = 15
    """Time for which they do it."""
    nodes: int = 4
    """Node processes."""
    code: pathlib.Path | None = None
    """Checkout whose code the nodes run; None for this one."""
    memory_mb: float = soak_fleet.MEMORY_LIMIT_MB
    """Memory of a node process; one that exceeds it is killed."""


@dataclasses.dataclass(slots=True)
class Result:
    """What was seen."""

    own_ends: list[str]
    """Processes that ended by themselves or exceeded their memory, with the reason."""
    peak_mb: float = 0
    """Most private memory of the node of the crowd, in samples."""
    peak_mb_of_all: float = 0
    """Most private memory of a node when the fleet has looked at it."""
    peak_fds: int = 0
    """Most open descriptors of it."""
    states: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    """Connections at its address for callers at that time, by TCP state."""
    opened: int = 0
    """Connections that the crowd has opened."""
    answered: int = 0
    """Ordinary requests that were answered after the crowd."""

    @property
    def is_sound(self) -> bool:
        """Whether no process ended and all ordinary requests were answered."""
        return not self.own_ends and self.answered == _REQUESTS

    def measure(self, host: soak_host.Host) -> None:
        """Take a sample of the memory and the descriptors of the node of the crowd."""
        if host.node is None or not host.node.running:
            return
        self.peak_mb = max(self.peak_mb, usage.anonymous_mb(host.node.pid))
        fds = usage.open_descriptors(host.node.pid)
        if fds > self.peak_fds:
            self.peak_fds = fds
            self.states = _states(host.node.pid, host.address(soak_host.CALLER_PORT_INDEX))


async def run(plan: Plan, reactor: Any) -> int:
    """Play a crowd and print what was seen.

    Returns:
        Exit code: 0 if no node ended by itself and all ordinary requests were answered, else 1.
    """
    result = await play(plan, reactor)
    sys.stdout.write('\n'.join([*_lines(plan, result), '']))
    return 0 if result.is_sound else 1


async def play(plan: Plan, reactor: Any) -> Result:
    """Play a crowd at the first node."""
    records = soak_records.Records()
    services = [*itertools.repeat('drawbook', plan.nodes - 1), 'fieldvault']
    with (
        tempfile.TemporaryDirectory(prefix='anvillug-crowd-') as folder,
        processes.group() as group,
    ):
        fleet = soak_fleet.Fleet(
            reactor,
            pathlib.Path(folder),
            services,
            _SLOTS,
            soak_classes.CALLERS,
            records,
            random.Random(1),
        )
        fleet.memory_limit_mb = plan.memory_mb
        if plan.code is not None:
            code = plan.code
            fleet.shared.launch = lambda path: stops.as_other_code(code, path)
        try:
            return await _play(plan, fleet, group)
        finally:
            fleet.stop()


async def _play(plan: Plan, fleet: soak_fleet.Fleet, group: list[processes.ChildProcess]) -> Result:
    result = Result(fleet.records.own_ends)
    fleet.start()
    await task.deferLater(fleet.reactor, _START_S)
    await fleet.wait_for_start()
    host = fleet.hosts[0]
    address = host.address(soak_host.CALLER_PORT_INDEX)
    sampling = task.LoopingCall(result.measure, host)
    sampling.start(_SAMPLE_S)
    crowd = unruly_callers.start(
        unruly_callers.Plan([address], [plan.habit.value], plan.clients, plan.duration_s)
    )
    group.append(crowd)
    time = clock.SystemClock()
    last_at = time.now() + 1000 * (plan.duration_s + _LATE_S)
    while crowd.running and time.now() < last_at:
        await task.deferLater(fleet.reactor, _SAMPLE_S)
    crowd.kill()
    result.opened = int(crowd.output() or 0)
    await task.deferLater(fleet.reactor, _AFTER_S)
    for number in range(_REQUESTS):
        result.answered += await threads.deferToThread(_is_answered, address, number)
    sampling.stop()
    result.peak_mb_of_all = fleet.records.peak_mb
    return result


def _is_answered(address: str, number: int) -> bool:
    """Return whether an ordinary request is answered by a backend server."""
    attempt_id = f'ordinary-{number}'
    headers = {
        'Host': soak_classes.HOST,
        'Anvillug-Attempt-Id': attempt_id,
        'Anvillug-Deadline-Ms': str(soak_classes.SHEET.deadline_ms),
    }
    connection = http_client.HTTPConnection(address, timeout=_TIMEOUT_S)
    try:
        connection.request('GET', f'/{soak_classes.SHEET.route}/', headers=headers)
        response = connection.getresponse()
        return response.status == _STATUS_OK and response.read() == attempt_id.encode()
    except (OSError, http_client.HTTPException):
        return False
    finally:
        connection.close()


def _states(pid: int, address: str) -> collections.Counter[str]:
    """Return the number of connections at an address of a process by TCP state.

    A connection that was reset has none; its descriptor may be open still.
    """
    ip, _, port = address.rpartition(':')
    packed = bytes(map(int, ip.split('.')))
    name = f'{int.from_bytes(packed, sys.byteorder):08X}:{int(port):04X}'
    try:
        lines = pathlib.Path(f'/proc/{pid}/net/tcp').read_text().splitlines()[1:]
    except OSError:
        return collections.Counter()
    fields = map(str.split, lines)
    return collections.Counter(
        _STATE_NAMES.get(each[3], 'other')
        for each in fields
        if each[1] == name and each[3] != _LISTENING
    )


def _lines(plan: Plan, result: Result) -> Iterator[str]:
    states = ', '.join(f'{count} {name}' for name, count in sorted(result.states.items()))
    yield (
        f'{plan.habit.value}, {plan.clients} clients, {plan.duration_s:.0f} s: '
        f'{len(result.own_ends)} own ends, {result.peak_mb:.0f} MB '
        f'({result.peak_mb_of_all:.0f} MB of any node), '
        f'{result.peak_fds} descriptors ({states or "no connections"}), '
        f'{result.opened} connections opened, '
        f'after: {result.answered} of {_REQUESTS} answered, load {os.getloadavg()[0]:.1f}'
    )
    for reason in result.own_ends:
        yield f'own end: {reason}'
