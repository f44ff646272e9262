"""State of a running scenario."""

from __future__ import annotations

import dataclasses
from collections.abc import Coroutine
from typing import Any

from twisted.internet import defer, task

from anvillug.bench import mesh, scenario_counts, traffic

COUNT_INTERVAL_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Seen:
    """Outcome of a step."""

    held: bool
    """Whether the step did what it says."""
    text: str
    """What was seen."""


class Run:
    """Processes, results and marks of one scenario.

    Args:
        started: Mesh without processes.
        seed: Seed of all loads.
    """

    def __init__(self, started: mesh.Mesh, seed: int) -> None:
        self.mesh = started
        self.seed = seed
        self.counts = scenario_counts.Counts(started)
        self.pending: list[mesh.HostPlan] = []
        """Hosts that are declared and not started."""
        self.number = 0
        """Newest configuration number that was accepted."""
        self.loads: dict[str, traffic.LoadResult] = {}
        """Results of finished loads by name."""
        self.uploads: dict[str, str] = {}
        """Results of finished uploads by name."""
        self.marks: dict[str, scenario_counts.Totals] = {}
        """Counts by the name of the mark."""
        self.not_run_calls: list[str] = []
        """Ids of single calls that were answered as not run."""
        self.background: dict[str, defer.Deferred[Seen]] = {}
        """Steps that run in the background by name."""
        self._reading = False
        self._reader = task.LoopingCall(self._read)
        self._reader.clock = started.reactor

    def start(self) -> None:
        """Begin to read counts regularly."""
        self._reader.start(COUNT_INTERVAL_S, now=False)

    def stop(self) -> None:
        """Read counts no more."""
        self._reader.stop()

    def begin(self, name: str, step: Coroutine[Any, Any, Seen]) -> None:
        """Run a step in the background."""
        self.background[name] = defer.ensureDeferred(step)

    def next_seed(self) -> int:
        """Return a seed that no other load of this run has."""
        return self.seed * 1000 + len(self.loads) + len(self.background)

    def default_service(self) -> str:
        """Return the service of the first host."""
        return next(iter(self.mesh.by_id.values())).plan.service

    def _read(self) -> None:
        # Slow readings don't pile up, and LoopingCall would wait for a Deferred on stop.
        if not self._reading:
            self._reading = True
            defer.ensureDeferred(self.counts.read()).addBoth(self._read_ended)

    def _read_ended(self, _outcome: object) -> None:
        self._reading = False
