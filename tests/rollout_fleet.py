"""Simulated rollout on several nodes, with random calls and counts exchanged by beacons."""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import math
import random
from collections.abc import Callable

from anvillug import clock, ids
from anvillug.version import directives, rollout, rollout_call, rollouts

SERVICE = ids.ServiceName('one')
OLD = ids.VersionName('v1')
NEW = ids.VersionName('v2')
DURATION_MS = 16_000
EXPOSURE = rollout.Exposure(0.1, 50)
OBJECTIVE_MS = 400.0
ROUTES = (ids.RouteName('browse'), ids.RouteName('reserve'))
_TICK_MS = 50
# Beacons are more frequent during the shift.
_BEACON_TICKS = 10
_URGENT_TICKS = 3
_STEP_TICKS = 2
_TYPICAL_LATENCY_MS = 200.0
_LATENCY_SIGMA = 0.3
_TIMEOUT_MS = 1000.0
# Share of calls that a noisy neighbour slows down, and the factor by which it does.
_NOISY_CALL_SHARE = 0.1
_NOISE_RATIO = 5.0
# Share of the calls that fail on a faulty host.
_HOST_FAILURE_RATE = 0.4
# Share of the calls that fail in a burst, and how long it lasts.
_BURST_FAILURE_RATE = 0.6
_BURST_MS = 400.0
# Share of the calls that a slow version slows down.
_SLOW_CALL_SHARE = 0.5


@dataclasses.dataclass(frozen=True)
class Host:
    """One host of the service, with its version."""

    host_id: ids.HostId
    version: ids.VersionName


@dataclasses.dataclass(frozen=True)
class Fault:
    """Fault of the new version; the defaults describe a good version."""

    failure_rate: float = 0.0
    """Share of its calls that fail."""
    slowdown: float = 1.0
    """Factor by which the latency of half of its calls increases."""
    from_ms: float = 0.0
    """Time in milliseconds from the order to the beginning of the fault."""
    under_load: bool = False
    """Whether it occurs only while all calls go to the new version."""
    route: ids.RouteName | None = None
    """The only route on which it occurs; all routes if None."""


_ScheduledEnd = tuple[float, int, Callable[[], object]]
"""Time at which a call ends, a tie-breaker for equal times, and the action at that time."""


class Fleet:
    """Nodes that roll out a version, and the calls that pass through them.

    Args:
        seed: Seed of the random numbers.
        fault: Fault of the new version.
        base_failure_rate: Share of the calls on either version that fail without the fault.
        failing_hosts: Number of hosts of the new version on which another 40% of the calls fail.
        burst_ms: Time in milliseconds from the order to a short burst in which 60% of calls fail.
        per_second: Calls per second.
        node_count: Number of nodes.
    """

    def __init__(
        self,
        seed: int,
        fault: Fault,
        *,
        base_failure_rate: float = 0.01,
        failing_hosts: int = 0,
        burst_ms: float = math.inf,
        per_second: float = 100.0,
        node_count: int = 4,
    ) -> None:
        self.rng = random.Random(seed)
        self.time = clock.ManualClock(1000)
        self.new_version_calls = 0
        self.calls = 0
        self.stored_phase: rollout.Phase | None = None
        self.store_is_up = True
        self._fault = fault
        self._base_failure_rate = base_failure_rate
        self._burst_ms = burst_ms
        self._calls_per_tick = per_second * _TICK_MS / 1000
        self._hosts = [
            Host(ids.HostId(f'{version}-{index}'), version)
            for version in (OLD, NEW)
            for index in range(8)
        ]
        self._failing_hosts = set(self._hosts[-1 : -1 - failing_hosts : -1])
        self._scheduled_ends: list[_ScheduledEnd] = []
        self._tie_breakers = itertools.count()
        self._started_at = self.time.now()
        self._status_offsets = itertools.count()
        self.nodes = [self.new_node() for _ in range(node_count)]
        # Number of restarts of each node's process.
        self._incarnations = [0 for _ in range(node_count)]

    def restart(self, node_index: int) -> None:
        """Replace a node by a new process, which has lost all counts."""
        self._incarnations[node_index] += 1
        self.nodes[node_index] = self.new_node()

    def new_node(self) -> rollouts.Rollouts:
        """Return a node that has just read the order."""
        node = rollouts.Rollouts(self.time, EXPOSURE, lambda: None)
        order = directives.RolloutOrder(SERVICE, NEW, DURATION_MS, directives.Position(1, 7))
        node.apply_orders(directives.Directives(rollouts_by_service={SERVICE: order}))
        return node

    @property
    def elapsed_ms(self) -> float:
        """Time since the order."""
        return self.time.now() - self._started_at

    @property
    def max_new_version_calls(self) -> float:
        """Number of calls that a bad version may have received so far."""
        return EXPOSURE.share * self.calls + EXPOSURE.slack

    def run(self, until_ms: float = DURATION_MS) -> None:
        """Run the simulation up to a time since the order."""
        for tick in itertools.count(1):
            if self.elapsed_ms >= until_ms:
                return
            self.time.advance(_TICK_MS)
            self._start_calls()
            while self._scheduled_ends and self._scheduled_ends[0][0] <= self.time.now():
                heapq.heappop(self._scheduled_ends)[2]()
            self._run_nodes(tick)

    def _run_nodes(self, tick: int) -> None:
        if tick % (_URGENT_TICKS if self.nodes[0].shifting else _BEACON_TICKS) == 0:
            self._exchange()
        if tick % _URGENT_TICKS == 0:
            self._take_step()
        if tick % _STEP_TICKS == 0:
            for node in self.nodes:
                node.step()

    def _start_calls(self) -> None:
        fraction, whole = math.modf(self._calls_per_tick)
        for _ in range(int(whole) + (self.rng.random() < fraction)):
            self._start_call(self.rng.randrange(len(self.nodes)), self.rng.choice(ROUTES))

    def _start_call(self, node_index: int, route: ids.RouteName) -> None:
        node = self.nodes[node_index]
        hosts = node.allowed(SERVICE, self._hosts, self.rng.random())
        if self.stored_phase is rollout.Phase.COMPLETED:
            hosts = [host for host in hosts if host.version == NEW]
        if not hosts:
            return
        host = self.rng.choice(hosts)
        self.calls += 1
        self.new_version_calls += host.version == NEW
        latency_ms, slowness, is_failure = self._sample_call(host, route)
        call = rollout_call.Call(
            SERVICE,
            route,
            host.host_id,
            host.version,
            None if is_failure else latency_ms,
            slowness,
            OBJECTIVE_MS,
        )
        if latency_ms > _TIMEOUT_MS:
            overdue = dataclasses.replace(call, latency_ms=_TIMEOUT_MS)
            self._schedule(_TIMEOUT_MS, lambda: node.record_if_slow(overdue))
        else:
            self._schedule(latency_ms, lambda: node.record(call))

    def _sample_call(self, host: Host, route: ids.RouteName) -> tuple[float, float, bool]:
        """Return the latency, the slowness that the host reports, and whether the call fails."""
        noise = _NOISE_RATIO if self.rng.random() < _NOISY_CALL_SHARE else 1.0
        latency_ms = _TYPICAL_LATENCY_MS * self.rng.lognormvariate(0, _LATENCY_SIGMA) * noise
        failure_rate = self._base_failure_rate
        if self._burst_ms <= self.elapsed_ms < self._burst_ms + _BURST_MS:
            failure_rate = _BURST_FAILURE_RATE
        if host.version == NEW:
            if host in self._failing_hosts:
                failure_rate += _HOST_FAILURE_RATE
            if self._fault_applies(route):
                failure_rate += self._fault.failure_rate
                if self.rng.random() < _SLOW_CALL_SHARE:
                    latency_ms *= self._fault.slowdown
        return latency_ms, 100 * noise, self.rng.random() < failure_rate

    def _fault_applies(self, route: ids.RouteName) -> bool:
        """Tell whether the fault affects a route at present."""
        fault = self._fault
        if fault.under_load and self._phase is not rollout.Phase.SHIFTING:
            return False
        return self.elapsed_ms >= fault.from_ms and fault.route in {None, route}

    @property
    def _phase(self) -> rollout.Phase:
        return self.nodes[0].by_service[SERVICE].phase

    def _schedule(self, delay_ms: float, action: Callable[[], object]) -> None:
        heapq.heappush(
            self._scheduled_ends, (self.time.now() + delay_ms, next(self._tie_breakers), action)
        )

    def _exchange(self) -> None:
        reports = [node.encode_report() for node in self.nodes]
        for (sender, packed), (receiver, node) in itertools.product(
            enumerate(reports), enumerate(self.nodes)
        ):
            if sender != receiver:
                incarnation = ids.Incarnation(self._incarnations[sender])
                node.receive_report((ids.HostId(f'h{sender}'), incarnation), packed)

    def _take_step(self) -> None:
        """Take the step that is due on behalf of all nodes, on the first node."""
        node = self.nodes[0]
        current = node.by_service[SERVICE]
        step = current.next_step(self.time.now())
        if step is None or not self.store_is_up:
            return
        if step is rollout.Step.SHIFT:
            node.shift(current)
        else:
            if step is rollout.Step.REVERT:
                node.revert(current)
            self.stored_phase = _PHASE_BY_STEP[step]
            position = directives.Position(1, next(self._status_offsets))
            node.apply_status(rollout.Status(SERVICE, NEW, self.stored_phase), position)


_PHASE_BY_STEP = {
    rollout.Step.ANNOUNCE: rollout.Phase.CANARY,
    rollout.Step.COMPLETE: rollout.Phase.COMPLETED,
    rollout.Step.REVERT: rollout.Phase.REVERTED,
}
