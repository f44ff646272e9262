"""Watches the memory, descriptors and turns of a process, and logs its state in time.

A process that exceeds its limits may be ended without a further line; see `process_health`.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Collection, Iterable, Mapping
from typing import Any

from twisted.internet import interfaces

from anvillug import clock, event_log
from anvillug.connection import connection_states, http_pool, memory_account
from anvillug.process import event_loop, process_health, process_readings, wake_grid

# The longest turn in the metrics is that of this time or twice as long.
_TURN_PERIOD_MS = 30_000.0


ConnectionsByListener = Mapping[str, Collection[connection_states.Observed]]
"""Connections of clients by the names of their listeners."""
PoolsByKind = Mapping[str, Iterable[http_pool.Pool]]
"""Connections to others by their kind."""


@dataclasses.dataclass(frozen=True, slots=True)
class Sources:
    """Parts of a node that hold memory and descriptors; they are asked only for a line."""

    account: memory_account.MemoryAccount
    """Memory that is held for clients."""
    connections_by_listener: Callable[[], ConnectionsByListener]
    """Returns the connections of clients."""
    pools_by_kind: Callable[[], PoolsByKind]
    """Returns the connections to others."""
    listeners: Callable[[], int]
    """Returns the number of open listeners."""
    reserved_for_callers: Callable[[], int]
    """Returns how many bytes are reserved for bodies of callers."""


class ProcessWatch:
    """Task of one process.

    Args:
        reactor: Reactor of the process.
        time: Clock.
        sources: Parts of the node.
        memory_bytes: Limit of the private memory in bytes; 0 if it is not known.
        descriptors: Limit of open descriptors; 0 if it is not known.
        delay_s: Returns the delay of the next look; see `wake_grid.WakeGrid`.
    """

    def __init__(
        self,
        reactor: Any,
        time: clock.Clock,
        sources: Sources,
        memory_bytes: int,
        descriptors: int,
        delay_s: Callable[[float], float] = wake_grid.unaligned,
    ) -> None:
        self._reactor = reactor
        self._clock = time
        self._health = process_health.ProcessHealth(memory_bytes, descriptors)
        self._sources = sources
        self._delay_s = delay_s
        self._readings = process_readings.ProcessReadings()
        self._next_look: interfaces.IDelayedCall | None = None
        self._start_bytes = 0
        self._looked_at = time.now()
        self._processor_ms = 0.0
        self._planned_ms = process_health.LOOK_INTERVAL_MS
        self._longest_turns_ms = [0.0, 0.0]
        self._period_began_at = time.now()

    def start(self) -> None:
        """Begin to look; the memory held now is what the program needs by itself."""
        self._readings.open()
        self._start_bytes = self._readings.memory_bytes()
        self._processor_ms = self._readings.processor_ms()
        self._looked_at = self._clock.now()
        self._health.begin(self._start_bytes, self._looked_at)
        self._schedule()

    def stop(self) -> None:
        """End the task."""
        if self._next_look is not None:
            self._next_look.cancel()
            self._next_look = None
            self._readings.close()

    def look(self) -> None:
        """Look at the process once, and log its state if that is due."""
        now = self._clock.now()
        turn = event_loop.take_longest(self._reactor)
        self._keep_longest(turn.turn_ms, now)
        reading = process_health.Reading(
            self._readings.memory_bytes(),
            self._readings.descriptors(),
            turn.turn_ms,
            now - self._looked_at - self._planned_ms,
        )
        reasons = self._health.observe(reading, now)
        processor_ms = self._readings.processor_ms()
        collection_ms = self._readings.take_collection_ms()
        if reasons:
            event_log.warn(
                'process_state',
                reason=','.join(reason.value for reason in reasons),
                turn_ms=int(turn.turn_ms),
                turn_events=turn.events,
                step=turn.step,
                step_ms=int(turn.step_ms),
                collection_ms=int(collection_ms),
                looked_ms=int(now - self._looked_at),
                processor_ms=int(processor_ms - self._processor_ms),
                **self.gauges(),
                **self.states(),
            )
        self._looked_at = now
        self._processor_ms = processor_ms

    def gauges(self) -> dict[str, int]:
        """Return what is known of the process, by names of gauges."""
        connections_by_listener = self._sources.connections_by_listener()
        pools_by_kind = self._sources.pools_by_kind()
        counts = {
            **{
                f'connections_{listener}': len(connections)
                for listener, connections in connections_by_listener.items()
            },
            **{
                f'connections_to_{kind}': sum(pool.open_count for pool in pools)
                for kind, pools in pools_by_kind.items()
            },
            'listeners': self._sources.listeners(),
        }
        return {
            **self._memory_gauges(connections_by_listener),
            **self._descriptor_gauges(sum(counts.values())),
            **counts,
            'longest_turn_ms': int(max(self._longest_turns_ms)),
            **process_readings.collector(),
        }

    def states(self) -> dict[str, str]:
        """Return the numbers of connections by state, for a line of the log."""
        states_by_listener = {
            listener: connection_states.count(connections)
            for listener, connections in self._sources.connections_by_listener().items()
        }
        states_by_kind = {
            f'to_{kind}': _sum(pool.states() for pool in pools)
            for kind, pools in self._sources.pools_by_kind().items()
        }
        return {
            name: connection_states.text(counts)
            for name, counts in (states_by_listener | states_by_kind).items()
        }

    # Private

    def _schedule(self) -> None:
        delay_s = self._delay_s(self._health.next_look_ms)
        self._planned_ms = clock.to_milliseconds(delay_s)
        self._next_look = self._reactor.callLater(delay_s, self._look_again)

    def _look_again(self) -> None:
        try:
            self.look()
        finally:
            self._schedule()

    def _keep_longest(self, turn_ms: float, now: clock.Milliseconds) -> None:
        if now - self._period_began_at >= _TURN_PERIOD_MS:
            self._period_began_at = now
            self._longest_turns_ms = [self._longest_turns_ms[1], 0.0]
        self._longest_turns_ms[1] = max(self._longest_turns_ms[1], turn_ms)

    def _memory_gauges(self, connections_by_listener: ConnectionsByListener) -> dict[str, int]:
        held = self._sources.account.held_by_kind()
        reserved_bytes = held.pop(memory_account.RESERVED)
        held['bodies'] = self._sources.reserved_for_callers()
        held['jobs'] = reserved_bytes - held['bodies']
        gauges = {f'client_memory_{kind}_bytes': size for kind, size in held.items()}
        gauges['socket_memory_bytes'] = sum(
            connection_states.received_bytes(connections)
            for connections in connections_by_listener.values()
        )
        gauges['log_memory_bytes'] = event_log.waiting_bytes()
        memory_bytes = self._readings.memory_bytes()
        if memory_bytes:
            covered_bytes = sum(held.values()) + gauges['log_memory_bytes']
            gauges['process_memory_bytes'] = memory_bytes
            gauges['process_memory_limit_bytes'] = self._health.memory_limit_bytes
            gauges['process_memory_start_bytes'] = self._start_bytes
            gauges['process_memory_growth_bytes'] = self._health.growth_bytes
            gauges['process_memory_free_bytes'] = process_readings.free_bytes()
            gauges['process_memory_other_bytes'] = memory_bytes - self._start_bytes - covered_bytes
        return gauges

    def _descriptor_gauges(self, counted: int) -> dict[str, int]:
        descriptors = self._readings.descriptors()
        if not descriptors:
            return {}
        return {
            'process_descriptors': descriptors,
            'process_descriptors_limit': self._health.descriptor_limit,
            'process_descriptors_other': descriptors - counted,
        }


def _sum(counts: Iterable[Mapping[str, int]]) -> dict[str, int]:
    total: dict[str, int] = {}
    for each in counts:
        for state, number in each.items():
            total[state] = total.get(state, 0) + number
    return total
