"""Evidence on new versions: calls by route and load level, compared with the old version.

Both versions are counted over the same windows. Summaries hold only sums, so those of several nodes
can be added; their size does not depend on traffic.
"""

from __future__ import annotations

import dataclasses
import json
from typing import NamedTuple

from anvillug import ids
from anvillug.version import _cell, tally

WINDOW_MS = 20_000.0
"""Length of the windows over which the versions are compared."""
EPOCH_MS = 120_000.0
"""Interval at which a second set of counts restarts, so that late faults are not averaged away."""
MAX_CELLS = 32  # per rollout; further routes and load levels are counted only in `ALL_CALLS`
_MS_PER_SECOND = 1000.0
MAX_MOVES = 64  # rollouts for which a node collects evidence at a time

CellKey = tuple[ids.RouteName, int]
ALL_CALLS: CellKey = (ids.RouteName(''), -1)
"""Key of the cell that counts the calls of all routes and load levels."""


class Comparison(NamedTuple):
    """Rollout for which evidence is collected."""

    service: ids.ServiceName
    """Service that is rolled out."""
    old: ids.VersionName
    """Version in service before the rollout."""
    new: ids.VersionName
    """Version that is rolled out."""
    move: int
    """Configuration number that started the rollout."""


@dataclasses.dataclass(slots=True)
class CellSummary:
    """Evidence on one route at one load level."""

    failed: tally.Tally
    """Comparison of failures."""
    slow: tally.Tally
    """Comparison of calls slower than the old version's 95th percentile."""
    new_hosts: int
    """Number of hosts that ran the new version."""
    failure_moments: int = 0
    """Distinct seconds in which calls on the new version failed, counted per host."""
    recent_windows: int = 0
    """Recent windows of all hosts with the new version."""
    slow_windows: int = 0
    """Recent windows that were slow."""

    def add(self, other: CellSummary) -> None:
        """Add the evidence of another node.

        Counts of hosts and windows are not summed, since both nodes may have used the same hosts.
        """
        self.failed.add(other.failed)
        self.slow.add(other.slow)
        self.new_hosts = max(self.new_hosts, other.new_hosts)
        self.failure_moments = max(self.failure_moments, other.failure_moments)
        if other.recent_windows > self.recent_windows:
            self.recent_windows = other.recent_windows
            self.slow_windows = other.slow_windows


@dataclasses.dataclass(slots=True)
class Summary:
    """Evidence on one rollout."""

    comparison: Comparison
    """The rollout."""
    epoch: int = 0
    """Index of the current epoch."""
    total: dict[CellKey, CellSummary] = dataclasses.field(default_factory=dict)
    """Evidence since the start, by route and load level."""
    recent: dict[CellKey, CellSummary] = dataclasses.field(default_factory=dict)
    """Evidence of the current epoch."""

    def add(self, other: Summary) -> None:
        """Add the evidence of another node; recent evidence is added only for the same epoch."""
        _add_cells(self.total, other.total)
        if other.epoch > self.epoch:
            self.epoch = other.epoch
            self.recent = {}
        if other.epoch == self.epoch:
            _add_cells(self.recent, other.recent)

    def new_calls(self) -> float:
        """Return the number of compared calls on the new version."""
        cell = self.total.get(ALL_CALLS)
        return 0 if cell is None else cell.failed.new_calls


class _RolloutEvidence:
    """Cells of one rollout, since its start and in the current epoch."""

    def __init__(self, comparison: Comparison, wall: float) -> None:
        self.comparison = comparison
        self.window = int(wall // WINDOW_MS)
        self.epoch = int(wall // EPOCH_MS)
        self.first_epoch = self.epoch
        self.total: dict[CellKey, _cell.Cell] = {}
        self.recent: dict[CellKey, _cell.Cell] = {}
        self.cells_for(ALL_CALLS)

    def close_elapsed(self, wall: float) -> None:
        """Close the window and the epoch if they have elapsed."""
        window = int(wall // WINDOW_MS)
        if window <= self.window:
            return
        self.window = window
        for cell in (*self.total.values(), *self.recent.values()):
            cell.close_window()
        epoch = int(wall // EPOCH_MS)
        if epoch > self.epoch:
            self.epoch = epoch
            for recent_cell in self.recent.values():
                recent_cell.tallies = (tally.Tally(), tally.Tally())
                recent_cell.failure_moments = 0

    def cells_for(self, key: CellKey) -> tuple[_cell.Cell, ...]:
        """Return the cells of a route and load level; none beyond the maximum number of cells."""
        total = self.total.get(key)
        if total is None:
            if len(self.total) >= MAX_CELLS:
                return ()
            total = self.total.setdefault(key, _cell.Cell())
            self.recent[key] = _cell.Cell()
        return total, self.recent[key]


class Evidence:
    """Evidence collected by one node on all current rollouts.

    Times are wall time, so that windows and epochs coincide on all nodes.
    """

    def __init__(self) -> None:
        self._by_service: dict[ids.ServiceName, _RolloutEvidence] = {}

    def start(self, comparison: Comparison, wall: float) -> None:
        """Collect evidence on a rollout.

        Has no effect if this is being done already, or for `MAX_MOVES` other services.
        """
        current = self._by_service.get(comparison.service)
        if current is not None and current.comparison == comparison:
            return
        if current is not None or len(self._by_service) < MAX_MOVES:
            self._by_service[comparison.service] = _RolloutEvidence(comparison, wall)

    def stop(self, service: ids.ServiceName) -> None:
        """Discard the evidence on a service."""
        self._by_service.pop(service, None)

    def record(  # noqa: WPS211 (one value per property of the call)
        self,
        service: ids.ServiceName,
        version: ids.VersionName,
        host_id: ids.HostId,
        route: ids.RouteName,
        load_level: int,
        failed: bool,
        latency_ms: float,
        wall: float,
    ) -> None:
        """Count one finished call; without a rollout of the service this costs one look-up.

        Args:
            service: Service of the call.
            version: Version of the backend server that ran it.
            host_id: Host that ran it; calls on one host are not independent.
            route: Route of the call.
            load_level: Load of the host at that time, such as 0 low, 1 medium, 2 high.
            failed: Whether the call failed; a call that was not run does not count as failed.
            latency_ms: Latency of the call.
            wall: Milliseconds since the epoch.
        """
        current = self._by_service.get(service)
        if current is None:
            return
        is_new = version == current.comparison.new
        if not is_new and version != current.comparison.old:
            return
        current.close_elapsed(wall)
        second = int(wall // _MS_PER_SECOND)
        cells = current.cells_for((route, load_level))
        # The latency of a failed call has no meaning: it may have failed immediately.
        slow = bool(cells) and not failed and cells[0].is_slow(is_new, latency_ms)
        for cell in (*cells, *current.cells_for(ALL_CALLS)):
            cell.count(is_new, host_id, failed, slow, second)

    def summary(self, service: ids.ServiceName, wall: float) -> Summary | None:
        """Return the evidence on a service's rollout so far; None without a rollout."""
        current = self._by_service.get(service)
        if current is None:
            return None
        current.close_elapsed(wall)
        return Summary(
            current.comparison,
            current.epoch - current.first_epoch,
            _summarize(current.total),
            _summarize(current.recent),
        )

    def services(self) -> list[ids.ServiceName]:
        """Return the services for which evidence is collected."""
        return list(self._by_service)


def serialize(summary: Summary) -> bytes:
    """Return the summary as compact JSON."""
    data = [
        list(summary.comparison),
        summary.epoch,
        _cells_to_data(summary.total),
        _cells_to_data(summary.recent),
    ]
    return json.dumps(data, separators=(',', ':')).encode()


def parse(data: bytes) -> Summary:
    """Parse a serialized summary.

    Raises:
        ValueError: If the data is malformed.
    """
    try:
        return _summary_from_data(*json.loads(data))
    except (TypeError, ValueError, RecursionError) as error:
        raise ValueError(f'evidence summary is malformed: {error}') from error


def _summary_from_data(comparison: list, epoch: int, total: list, recent: list) -> Summary:
    return Summary(
        Comparison(*comparison), int(epoch), _cells_from_data(total), _cells_from_data(recent)
    )


def _summarize(cells: dict[CellKey, _cell.Cell]) -> dict[CellKey, CellSummary]:
    summaries = {}
    for key, cell in cells.items():
        tallies, new_hosts = cell.with_open_window()
        summaries[key] = CellSummary(
            *tallies, new_hosts, cell.failure_moments, *cell.recent_windows()
        )
    return summaries


def _add_cells(cells: dict[CellKey, CellSummary], others: dict[CellKey, CellSummary]) -> None:
    for key, other in others.items():
        cell = cells.get(key)
        if cell is None:
            cell = cells.setdefault(key, CellSummary(tally.Tally(), tally.Tally(), 0))
        cell.add(other)


def _cells_to_data(cells: dict[CellKey, CellSummary]) -> list[object]:
    return [
        [
            *key,
            cell.failed.to_list(),
            cell.slow.to_list(),
            [cell.new_hosts, cell.failure_moments, cell.recent_windows, cell.slow_windows],
        ]
        for key, cell in cells.items()
    ]


def _cells_from_data(rows: list[list]) -> dict[CellKey, CellSummary]:
    if len(rows) > MAX_CELLS:
        raise ValueError(f'{len(rows)} cells are more than {MAX_CELLS}')
    return {
        (ids.RouteName(str(route)), int(level)): CellSummary(
            tally.from_list(failed), tally.from_list(slow), *map(int, counts)
        )
        for route, level, failed, slow, counts in rows
    }
