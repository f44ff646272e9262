"""Faults of a soak around the node processes: settings files, ports, readers of the output."""

from __future__ import annotations

import functools
from collections.abc import Callable
from typing import Any

from twisted.internet import defer, error, interfaces, protocol

from anvillug import clock, event_log
from anvillug.bench import soak_fleet, soak_host, soak_signals
from anvillug.standin import platform_store

# Shortest and longest time.
_STORE_FAULT_S = (0.5, 6.0)
_HALF_WRITTEN_S = (0.02, 0.3)
_INVALID_S = (2.0, 10.0)
_PORT_HELD_S = (0.5, 2.0)
_PORT_HELD_LONG_S = (2.0, 25.0)
_LATE_HEARTBEATS_S = (1.8, 2.6, 3.4, 4.2, 5.0)
_SERVED_AFTER_KILL_S = 8.0
_MAX_CONFIGS = 4
_CONFIG_STEP_S = 0.3
_BEACON_PORT_INDEX = 5


class _Resetting(protocol.Protocol):
    """Connection to another process than the node, which resets it."""

    def connectionMade(self) -> None:  # noqa: N802 the name is Twisted's
        """Reset the connection; see Twisted."""
        self.transport.abortConnection()


class Surroundings:
    """Faults around the node processes.

    Args:
        fleet: The processes and stand-ins.
        signals: Ends nodes.
    """

    def __init__(self, fleet: soak_fleet.Fleet, signals: soak_signals.Signals) -> None:
        self._fleet = fleet
        self._rng = fleet.rng
        self._signals = signals
        self.actions_by_kind: dict[str, Callable[[], Any]] = {
            'store': self._store,
            'config': self._config,
            'replace': self._replace,
            'settings': self._settings,
            'port': self._port,
            'port-long': functools.partial(self._port, _PORT_HELD_LONG_S),
            'settings-long': self._settings_long,
            'reader-gone': self._reader_gone,
            'reader-stuck': self._reader_stuck,
            'kill-all-at-ack': self._kill_all_at_ack,
        }
        """Begins a fault of each kind."""

    def _store(self) -> None:
        fault = self._rng.choice(('outage', 'silent'))
        faults = platform_store.StoreFaults(**{fault: True})
        self._fleet.fail_store(self._rng.uniform(*_STORE_FAULT_S), faults)

    def _config(self) -> None:
        for place in range(self._rng.randint(1, _MAX_CONFIGS)):
            self._fleet.later(place * _CONFIG_STEP_S, self._fleet.change_config)

    def _replace(self) -> None:
        defer.ensureDeferred(self._signals.running_host().replace_backend())

    def _kill_all_at_ack(self) -> None:
        """Kill all nodes as soon as the leave of a backend server is acknowledged.

        Heartbeats that were sent before the leave arrive seconds late, at the next processes.
        """
        host = self._signals.running_host()
        on_leave = functools.partial(self._kill_all, host)
        defer.ensureDeferred(host.replace_backend(on_leave, _SERVED_AFTER_KILL_S))

    def _kill_all(self, left: soak_host.Host) -> None:
        for host in self._fleet.hosts:
            self._signals.on_node(self._fleet.kill, host)
        for delay_s in _LATE_HEARTBEATS_S:
            self._fleet.later(delay_s, left.repeat_heartbeat)

    def _settings(self) -> None:
        """Change a settings file, which is half written for a moment, with SIGHUP or without."""
        host = self._signals.running_host()
        host.change_settings()
        host.write_partly(self._rng.random())
        half_written_s = self._rng.uniform(*_HALF_WRITTEN_S)
        self._fleet.later(half_written_s, host.write_partly, 1)
        if self._rng.choice((True, False)):
            # In one case of two, while the file is half written.
            hangup_s = half_written_s * self._rng.uniform(0, 2)
            self._fleet.later(hangup_s, self._signals.on_node, self._fleet.hang_up, host)

    def _settings_long(self) -> None:
        """Restart a node whose settings file stays half written, also empty, for some seconds."""
        host = self._signals.running_host()
        share = self._rng.choice((0, self._rng.random()))
        invalid_s = self._rng.uniform(*_INVALID_S)
        host.before_next_start.append(functools.partial(host.write_partly, share))
        # Written again also while the node is not running.
        host.at_next_start.append(
            functools.partial(self._fleet.later, invalid_s, host.write_partly, 1)
        )
        self._signals.on_node(self._fleet.terminate, host)

    def _port(self, bounds_s: tuple[float, float] = _PORT_HELD_S) -> None:
        """Restart a node while another process holds one of its ports."""
        host = self._signals.running_host()
        index = self._rng.choice((*soak_host.PORT_INDEXES, _BEACON_PORT_INDEX))
        held_s = self._rng.uniform(*bounds_s)
        host.before_next_start.append(functools.partial(self._hold, host, index, held_s))
        self._signals.on_node(self._fleet.terminate, host)

    def _hold(self, host: soak_host.Host, index: int, duration_s: float) -> None:
        ip, _, port = host.address(index).rpartition(':')
        reactor = self._fleet.reactor
        try:
            if index == _BEACON_PORT_INDEX:
                holder = reactor.listenUDP(int(port), protocol.DatagramProtocol(), interface=ip)
            else:
                factory = protocol.Factory.forProtocol(_Resetting)
                holder = reactor.listenTCP(int(port), factory, interface=ip)
        except error.CannotListenError as problem:
            event_log.warn('soak_port_not_held', reason=problem)
            return
        is_for_callers = index == soak_host.CALLER_PORT_INDEX
        if is_for_callers:
            self._fleet.records.hold_port(host.number, clock.SystemClock().now())
        reactor.callLater(
            duration_s,
            lambda: defer.ensureDeferred(self._release(host, holder, is_for_callers)),
        )

    async def _release(
        self, host: soak_host.Host, holder: interfaces.IListeningPort, is_for_callers: bool
    ) -> None:
        # The port is free only after a turn of the loop, which may stand still before it.
        await defer.maybeDeferred(holder.stopListening)
        if is_for_callers:
            self._fleet.records.release_port(host.number, clock.SystemClock().now())

    def _reader_gone(self) -> None:
        """Close the reading end of a node's output."""
        host = self._signals.running_host()
        if host.output is not None:
            host.output.close_reader()

    def _reader_stuck(self) -> None:
        """Stop to read a node's output."""
        host = self._signals.running_host()
        if host.output is not None:
            host.output.stop_reading()
