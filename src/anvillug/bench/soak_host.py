"""One host of a soak: a node process, and the backend server beside it."""

from __future__ import annotations

import dataclasses
import json
import pathlib
import random
import signal
from collections.abc import Callable
from typing import Any

from twisted.internet import defer, task

from anvillug import clock
from anvillug.bench import processes, soak_backend, soak_launch, soak_output, soak_records

RESTART_S = 0.5
"""Time from the end of a node process to the next start."""
PORT_INDEXES = (1, 2, 3, 4, 6)
"""Indexes of the addresses that a node listens on by TCP; see `Host.address`."""
CALLER_PORT_INDEX = 2
"""Index of the address for callers."""

_TOUCH_MS = 3000
_ZONES = 3
_BACK_S = 2.0
_SERVED_AFTER_LEAVE_S = 4.0
# Shortest and longest time that a backend server serves on once its leave is acknowledged.
_SERVED_BEFORE_END_S = (2.3, 6.0)
_PROBES_PER_S = 60
_BLOCKED_SIGNALS = (signal.SIGTERM, signal.SIGHUP, signal.SIGINT)


@dataclasses.dataclass(slots=True)
class Shared:
    """What all hosts of a soak share."""

    reactor: Any
    """Twisted reactor."""
    folder: pathlib.Path
    """Folder for the settings files."""
    slots: int
    """Slots of each backend server."""
    work_ms_by_route: dict[str, float]
    """Mean time of work for each route."""
    records: soak_records.Records
    """Receives what is seen."""
    rng: random.Random
    """Source of random choices."""
    network: int
    """Second byte of the addresses."""
    ports: list[int]
    """Ports of each host; see `Host.address`."""
    launch: Callable[[pathlib.Path], soak_launch.Launch] = soak_launch.as_subcommand
    """How node processes are started."""
    new_output: Callable[[], soak_output.Output] = soak_output.FileOutput
    """Creates the output of a node process."""
    behavior: soak_backend.Behavior = dataclasses.field(default_factory=soak_backend.Behavior)
    """What all backend servers do besides running requests."""
    grace_s: float = soak_records.GRACE_S
    """Time from SIGTERM to SIGKILL."""
    heartbeat_factor: float = 1
    """Factor of the interval of heartbeats."""
    store_address: str = ''
    """Address of the store."""
    stopped: bool = False
    """Whether the soak is over."""


class Host:
    """One host: a node process, and the backend server beside it.

    Args:
        shared: What all hosts share.
        number: Number of the host.
        service: Service of its backend server.
    """

    def __init__(self, shared: Shared, number: int, service: str) -> None:
        self.number = number
        """Number of the host."""
        self.service = service
        """Service of its backend server."""
        self.node: processes.ChildProcess | None = None
        """Node process."""
        self.expected_end = False
        """Whether the end of the node process was caused from outside."""
        self.terminated_at: clock.Milliseconds | None = None
        """When the node process received its first SIGTERM."""
        self.last_signal = ''
        """What is known of the last signal that the node process received; empty without one."""
        self.restart_s = RESTART_S
        """Time from the next end of the node process to its start."""
        self.before_next_start: list[Callable[[], None]] = []
        """Actions that come just before the next start of the node process."""
        self.at_next_start: list[Callable[[], None]] = []
        """Actions that follow the next start of the node process."""
        self.blocks_signals = False
        """Whether the next node process starts with blocked signals."""
        self.written_share: float = 1
        """Share of the settings that are written, from the start of their text."""
        self.output: soak_output.Output | None = None
        """Output of the node process."""
        self.outputs: list[str] = []
        """Output of the node processes that have ended."""
        self.has_backend = True
        """Whether a backend server is to run."""
        self.version = 'v1'
        """Version of the next backend server."""
        self.failing_share: float = 0
        """Share of the runs of the next backend server that respond with a failure."""
        self.store_address = ''
        """Address of a link to the store; empty without one."""
        self.backend_address = ''
        """Address of the backend server behind a link; empty without one."""
        self.bound_addresses: dict[str, str] = {}
        """Addresses that the node listens on behind links, by those that it names."""
        self._shared = shared
        self._time = clock.SystemClock()
        self._ip = f'127.{shared.network}.0.{number + 11}'
        self._started_at = clock.Milliseconds(0)
        self._is_starting = False
        self._settings_number = 0
        self._boots = 0
        self._is_leaving = False
        self._backend: soak_backend.Backend | None = None
        self._port: Any = None
        self._heartbeats: task.LoopingCall | None = None

    @property
    def is_starting(self) -> bool:
        """Whether the node process has not started, or not been started, yet."""
        return self.node is None or self._is_starting

    @property
    def zone(self) -> str:
        """Zone of the host."""
        return f'zone-{self.number % _ZONES}'

    @property
    def age_ms(self) -> float:
        """Time since the start of the node process."""
        return self._time.wall() - self._started_at

    def address(self, index: int) -> str:
        """Return the address with a port of the host, by the order of `_settings`."""
        return f'{self._ip}:{self._shared.ports[index]}'

    def second_address(self, index: int) -> str:
        """Return the address with a port of the host on another IP address."""
        return f'127.{self._shared.network}.1.{self.number + 11}:{self._shared.ports[index]}'

    def start_node(self) -> None:
        """Start the node process, and do what was to follow its start."""
        _run_and_clear(self.before_next_start)
        self.write_settings()
        self.expected_end = False
        self.terminated_at = None
        self.last_signal = ''
        self.restart_s = RESTART_S
        self.output = self._shared.new_output()
        launch = soak_launch.behind_links(
            self._shared.launch(self._settings_path), self.bound_addresses
        )
        self._started_at = self._time.wall()
        self._is_starting = True
        # A child process inherits the blocked signals.
        blocked = _BLOCKED_SIGNALS if self.blocks_signals else ()
        before = signal.pthread_sigmask(signal.SIG_BLOCK, blocked)
        try:
            self.node = processes.ChildProcess(
                (), launch.command, launch.environment, self.output.target
            )
        finally:
            signal.pthread_sigmask(signal.SIG_SETMASK, before)
        self.blocks_signals = False
        self.output.process_started()
        _run_and_clear(self.at_next_start)

    def write_settings(self) -> None:
        """Write the settings file, or the share of it that is to be written."""
        text = json.dumps(self._settings())
        self._settings_path.write_text(text[: int(self.written_share * len(text))])

    def write_partly(self, share: float) -> None:
        """Write a share of the settings file, from the start of its text, until the next call."""
        self.written_share = share
        self.write_settings()

    def change_settings(self) -> None:
        """Change the settings that the next `write_settings` writes."""
        self._settings_number += 1

    def note_start(self) -> None:
        """Record how long the start took, once the node has started."""
        started_at = soak_output.started_at_ms(self.output) if self._is_starting else None
        if started_at is not None:
            self._is_starting = False
            start_ms = started_at - self._started_at
            self._shared.records.start_ms.append((start_ms, f'host-{self.number}'))

    def end_problem(self) -> str:
        """Return what is wrong with the end of the node process, or an empty string.

        After SIGTERM it must end with 0, unless it was killed or suspended.
        """
        status = self.node.status
        age = f'{self.age_ms:.0f} ms old{self.last_signal}'
        if not self.expected_end:
            return f'host-{self.number} ended by itself with {status}, {age}'
        if self.terminated_at is None or not status:
            return ''
        was_excused = self._shared.records.was_disturbed(
            self.number,
            self.terminated_at - _TOUCH_MS,
            self._time.now(),
            frozenset((soak_records.Disturbance.UNPLANNED,)),
        )
        if was_excused and status == -signal.SIGKILL:
            return ''
        return f'host-{self.number} ended with {status} on SIGTERM, {age}'

    def node_ended(self) -> None:
        """Keep the output of the node process that has ended."""
        self.note_start()
        self.outputs.append(self.output.text())
        self.output.close_reader()
        self.node = None

    def start_backend(self) -> None:
        """Start a new instance of the backend server, unless one runs."""
        shared = self._shared
        if self._port is not None or shared.stopped or not self.has_backend:
            return
        self._is_leaving = False
        self._boots += 1
        self._backend = soak_backend.Backend(
            shared.reactor,
            self.number,
            self.service,
            f'i-{self.number}-{self._boots}',
            shared.slots,
            int(clock.SystemClock().wall()),
            shared.records,
            shared.work_ms_by_route,
            shared.rng,
            shared.behavior,
        )
        self._backend.version = self.version
        self._backend.failing_share = self.failing_share
        self._port = self._backend.serve(self.backend_address or self.address(0), self.address(0))
        self._heartbeats = self._backend.start_heartbeats(self.address(4))
        # All backend servers are in one process.
        self._heartbeats.interval *= shared.heartbeat_factor

    async def replace_backend(
        self, on_leave: Callable[[], None] | None = None, served_s: float = _SERVED_AFTER_LEAVE_S
    ) -> None:
        """Let the backend server leave, and start another instance at its address.

        Args:
            on_leave: Called as soon as the leave is acknowledged.
            served_s: Time in seconds for which it serves after its leave.
        """
        backend, port = self._backend, self._port
        if not self._begins_to_leave():
            return
        if self._shared.rng.choice((True, False)):
            backend.state = 'draining'
            await backend.send_heartbeat(self.address(4))
        self._stop_heartbeats()
        if await backend.acknowledged(backend.deregister, self.address(4)) and on_leave is not None:
            on_leave()
        await task.deferLater(self._shared.reactor, served_s)
        await defer.maybeDeferred(port.stopListening)
        if self._port is port:
            self._port = None
        await task.deferLater(self._shared.reactor, _BACK_S)
        self.start_backend()

    async def remove_backend(self) -> bool:
        """Let the backend server leave, serve on for a time, and end with its connections.

        It reports that it drains and deregisters at its end, or deregisters first.

        Returns:
            Whether it has ended; False if there is none, or it was leaving already.
        """
        backend = self._backend
        if not self._begins_to_leave():
            return False
        served_s = self._shared.rng.uniform(*_SERVED_BEFORE_END_S)
        reports_draining = self._shared.rng.choice((True, False))
        if reports_draining:
            backend.state = 'draining'
            await backend.acknowledged(backend.send_heartbeat, self.address(4))
        else:
            self._stop_heartbeats()
            await backend.acknowledged(backend.deregister, self.address(4))
        await task.deferLater(self._shared.reactor, served_s)
        if self._backend is not backend or self._port is None:
            return False
        if reports_draining:
            self._stop_heartbeats()
            await backend.acknowledged(backend.deregister, self.address(4))
        self.stop_backend()
        return True

    def _begins_to_leave(self) -> bool:
        if self._port is None or self._is_leaving:
            return False
        self._is_leaving = True
        return True

    def repeat_heartbeat(self) -> None:
        """Deliver a heartbeat that the backend server has sent before it left."""
        if self._backend is None:
            return
        self._backend.predate_heartbeat()
        defer.ensureDeferred(self._backend.send_heartbeat(self.address(4)))

    def stop_backend(self) -> None:
        """End the backend server and its connections, if there is one."""
        self._stop_heartbeats()
        port = self._port
        self._port = None
        if port is not None:
            port.stopListening()
            self._backend.end()

    def _stop_heartbeats(self) -> None:
        if self._heartbeats is not None and self._heartbeats.running:
            self._heartbeats.stop()

    @property
    def _settings_path(self) -> pathlib.Path:
        return self._shared.folder / f'host-{self.number}.json'

    def _settings(self) -> dict[str, object]:
        bounds = {
            'GraceS': self._shared.grace_s,
            'ProbesPerS': _PROBES_PER_S + self._settings_number % 2,
        }
        store_address = self.store_address or self._shared.store_address
        app, *listeners = (self.address(index) for index in range(5))
        names = ('Inbound', 'Outbound', 'ReadyAddr', 'Control')
        return {
            'Self': {
                'NodeName': f'host-{self.number}',
                'Ip': self._ip,
                'Zone': self.zone,
                'AppAddr': app,
                'Service': self.service,
            },
            'Network': {
                'Listen': dict(zip(names, listeners, strict=True)),
                'InternalPorts': self._shared.ports[5:],
            },
            'Platform': {'Platform': {'Address': store_address}},
            'Terms': {'Bounds': bounds},
        }


def _run_and_clear(actions: list[Callable[[], None]]) -> None:
    pending = tuple(actions)
    actions.clear()
    for action in pending:
        action()
