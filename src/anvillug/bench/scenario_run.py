"""State of a running scenario."""

from __future__ import annotations

import dataclasses
from collections.abc import Coroutine
from typing import Any

from twisted.internet import defer, task

from anvillug.bench import mesh, scenario_counts, traffic

COUNTER_READ_INTERVAL_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class StepOutcome:
    """Outcome of a step."""

    succeeded: bool
    """Whether the step was executed and its condition, if any, holds."""
    text: str
    """What was observed."""


class Run:
    """Processes, results and marks of one scenario.

    Args:
        bench_mesh: Mesh in which no process is started yet.
        seed: Seed from which the seeds of the loads are derived.
    """

    def __init__(self, bench_mesh: mesh.Mesh, seed: int) -> None:
        self.mesh = bench_mesh
        self.seed = seed
        self.counters = scenario_counts.CounterReader(bench_mesh)
        self.pending: list[mesh.HostPlan] = []
        """Hosts that are declared but not started."""
        self.number = 0
        """Highest configuration number of an accepted patch."""
        self.loads: dict[str, traffic.LoadResult] = {}
        """Results of finished loads by name."""
        self.uploads: dict[str, str] = {}
        """Results of finished uploads by name."""
        self.marks: dict[str, scenario_counts.Totals] = {}
        """Recorded counters by the name of the mark."""
        self.not_run_calls: list[str] = []
        """Call ids of single calls that were reported as not run."""
        self.background: dict[str, defer.Deferred[StepOutcome]] = {}
        """Background steps by name."""
        self._is_reading = False
        self._reader = task.LoopingCall(self._read_counters)
        self._reader.clock = bench_mesh.reactor

    def start(self) -> None:
        """Start reading the counters at a regular interval."""
        self._reader.start(COUNTER_READ_INTERVAL_S, now=False)

    def stop(self) -> None:
        """Stop reading the counters."""
        self._reader.stop()

    def start_background(self, name: str, step: Coroutine[Any, Any, StepOutcome]) -> None:
        """Start a step in the background."""
        self.background[name] = defer.ensureDeferred(step)

    def next_seed(self) -> int:
        """Return the seed of the next load, derived from the seed of the run."""
        return self.seed * 1000 + len(self.loads) + len(self.background)

    def default_service(self) -> str:
        """Return the service of the first host."""
        return next(iter(self.mesh.by_id.values())).plan.service

    def _read_counters(self) -> None:
        # The Deferred is not returned to LoopingCall, which would wait for it on stop. The flag
        # keeps slow reads from overlapping.
        if not self._is_reading:
            self._is_reading = True
            defer.ensureDeferred(self.counters.read()).addBoth(self._finish_reading)

    def _finish_reading(self, _outcome: object) -> None:
        self._is_reading = False
