"""Noisy neighbour that slows one backend server at a time."""

from __future__ import annotations

import random
from typing import Any

from twisted.internet import defer

from anvillug import clock
from anvillug.bench import mesh

_REPORT_IDLE = 0.0
_REPORT_FULL = 1.0


class NoisyNeighbour:
    """Slows the backend server of one host after the other, in random order, until it is stopped.

    Args:
        bench_mesh: Mesh whose hosts have started.
        seed: Seed of the order of the hosts.
        slow_factor: Factor by which service times on the slowed host grow.
        interval_ms: Time for which each host is slowed.
        misleading: Whether the slowed backend server reports no load and all others full load.
    """

    def __init__(
        self,
        bench_mesh: mesh.Mesh,
        seed: int,
        slow_factor: float,
        interval_ms: float,
        *,
        misleading: bool,
    ) -> None:
        self._mesh = bench_mesh
        self._rng = random.Random(seed)
        self._slow_factor = slow_factor
        self._interval_ms = interval_ms
        self._misleading = misleading
        self._stopped = False
        self._ended: defer.Deferred[Any] | None = None

    def start(self) -> None:
        """Start to slow hosts."""
        self._ended = defer.ensureDeferred(self._run())

    async def stop(self) -> None:
        """Stop and wait until no host is slowed."""
        self._stopped = True
        if self._ended is not None:
            await self._ended

    async def _run(self) -> None:
        host_ids = sorted(self._mesh.by_id)
        if self._misleading:
            await self._set_reported_load(host_ids, _REPORT_FULL)
        slowed_host_id = host_ids[0]
        while not self._stopped:
            slowed_host_id = self._rng.choice(
                [host_id for host_id in host_ids if host_id != slowed_host_id]
            )
            await self._set_faults(slowed_host_id, self._slow_factor, _REPORT_IDLE)
            await self._mesh.sleep(clock.to_seconds(self._interval_ms))
            await self._set_faults(slowed_host_id, 1, _REPORT_FULL)
        if self._misleading:
            await self._set_reported_load(host_ids, None)

    async def _set_reported_load(self, host_ids: list[str], report: float | None) -> None:
        for host_id in host_ids:
            await self._mesh.set_backend_faults(host_id, mislead_load=report)

    async def _set_faults(self, host_id: str, slow_factor: float, report: float) -> None:
        faults = {'slow_factor': slow_factor}
        if self._misleading:
            faults['mislead_load'] = report
        await self._mesh.set_backend_faults(host_id, **faults)
