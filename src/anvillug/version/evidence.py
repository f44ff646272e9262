"""Evidence on new versions: counts per route and load level, old against new.

Both versions are counted over the same windows. Summaries hold only sums, so
those of several nodes can be added; their size does not depend on traffic.
"""

from __future__ import annotations

import dataclasses
import json
from typing import NamedTuple

from anvillug import ids
from anvillug.version import _cell, tally

WINDOW_MS = 20_000.0
EPOCH_MS = 120_000.0
"""A second count starts anew this often, so that late slowness is not averaged away."""
MAX_CELLS = 32
_MS_PER_SECOND = 1000.0
MAX_MOVES = 64

CellKey = tuple[ids.RouteName, int]
ALL_CALLS: CellKey = (ids.RouteName(''), -1)
"""Key of the cell that counts the calls of all routes and load levels."""


class Comparison(NamedTuple):
    """The move for which evidence is gathered."""

    service: ids.ServiceName
    """Service of the move."""
    old: ids.VersionName
    """Version in service before the move."""
    new: ids.VersionName
    """Version that the move brings."""
    move: int
    """Configuration number that started the move."""


@dataclasses.dataclass(slots=True)
class CellSummary:
    """Evidence of one route and load level."""

    failed: tally.Tally
    """Failures."""
    slow: tally.Tally
    """Calls slower than the old version's 95th percentile."""
    new_hosts: int
    """Hosts that ran the new version."""
    failure_moments: int = 0
    """Distinct seconds in which calls of the new version failed, counted per host."""
    recent_windows: int = 0
    """Recent windows of all hosts with the new version."""
    slow_windows: int = 0
    """Recent windows that were slow."""

    def add(self, other: CellSummary) -> None:
        """Add the evidence of another node; both may have used the same hosts."""
        self.failed.add(other.failed)
        self.slow.add(other.slow)
        self.new_hosts = max(self.new_hosts, other.new_hosts)
        self.failure_moments = max(self.failure_moments, other.failure_moments)
        if other.recent_windows > self.recent_windows:
            self.recent_windows = other.recent_windows
            self.slow_windows = other.slow_windows


@dataclasses.dataclass(slots=True)
class Summary:
    """Evidence of one move."""

    comparison: Comparison
    """The move."""
    epoch: int = 0
    """Index of the current epoch."""
    total: dict[CellKey, CellSummary] = dataclasses.field(default_factory=dict)
    """Evidence since the start, by route and load level."""
    recent: dict[CellKey, CellSummary] = dataclasses.field(default_factory=dict)
    """Evidence of the current epoch."""

    def add(self, other: Summary) -> None:
        """Add the evidence of another node; only equal epochs are added as recent."""
        _add_cells(self.total, other.total)
        if other.epoch > self.epoch:
            self.epoch = other.epoch
            self.recent = {}
        if other.epoch == self.epoch:
            _add_cells(self.recent, other.recent)

    def new_calls(self) -> float:
        """Return the compared calls of the new version."""
        found = self.total.get(ALL_CALLS)
        return 0 if found is None else found.failed.new_calls


class _MoveEvidence:
    """Cells of one move since the start and in the current epoch."""

    def __init__(self, comparison: Comparison, wall: float) -> None:
        self.comparison = comparison
        self.window = int(wall // WINDOW_MS)
        self.epoch = int(wall // EPOCH_MS)
        self.first_epoch = self.epoch
        self.total: dict[CellKey, _cell.Cell] = {}
        self.recent: dict[CellKey, _cell.Cell] = {}
        self.cells_for(ALL_CALLS)

    def roll(self, wall: float) -> None:
        """Close the window and the epoch when their time is over."""
        window = int(wall // WINDOW_MS)
        if window <= self.window:
            return
        self.window = window
        for cell in (*self.total.values(), *self.recent.values()):
            cell.close_window()
        epoch = int(wall // EPOCH_MS)
        if epoch > self.epoch:
            self.epoch = epoch
            for restarted in self.recent.values():
                restarted.tallies = (tally.Tally(), tally.Tally())
                restarted.failure_moments = 0

    def cells_for(self, key: CellKey) -> tuple[_cell.Cell, ...]:
        """Return the cells of a route and load level; none when there are too many."""
        total = self.total.get(key)
        if total is None:
            if len(self.total) >= MAX_CELLS:
                return ()
            total = self.total.setdefault(key, _cell.Cell())
            self.recent[key] = _cell.Cell()
        return total, self.recent[key]


class Evidence:
    """Evidence of all current moves at one node.

    Times are wall time, so that windows and epochs of all nodes coincide.
    """

    def __init__(self) -> None:
        self._moves: dict[ids.ServiceName, _MoveEvidence] = {}

    def start(self, comparison: Comparison, wall: float) -> None:
        """Gather evidence for a move; a known move goes on unchanged."""
        known = self._moves.get(comparison.service)
        if known is not None and known.comparison == comparison:
            return
        if known is not None or len(self._moves) < MAX_MOVES:
            self._moves[comparison.service] = _MoveEvidence(comparison, wall)

    def stop(self, service: ids.ServiceName) -> None:
        """Drop the evidence of a service."""
        self._moves.pop(service, None)

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
        """Count one finished call; calls outside a move cost one look-up.

        Args:
            service: Service of the call.
            version: Version of the backend server that ran it.
            host_id: Host that ran it; calls of one host are not independent.
            route: Route of the call.
            load_level: Load of the host at that time, such as 0 low, 1 middle, 2 high.
            failed: Whether the call failed; a call that was not run is no failure.
            latency_ms: Its latency.
            wall: Milliseconds since the epoch.
        """
        found = self._moves.get(service)
        if found is None:
            return
        is_new = version == found.comparison.new
        if not is_new and version != found.comparison.old:
            return
        found.roll(wall)
        second = int(wall // _MS_PER_SECOND)
        cells = found.cells_for((route, load_level))
        # The latency of a failure says nothing: it may have failed at once.
        slow = bool(cells) and not failed and cells[0].is_slow(is_new, latency_ms)
        for cell in (*cells, *found.cells_for(ALL_CALLS)):
            cell.count(is_new, host_id, failed, slow, second)

    def summary(self, service: ids.ServiceName, wall: float) -> Summary | None:
        """Return the evidence of a service's move up to now."""
        found = self._moves.get(service)
        if found is None:
            return None
        found.roll(wall)
        return Summary(
            found.comparison,
            found.epoch - found.first_epoch,
            _summarize(found.total),
            _summarize(found.recent),
        )

    def services(self) -> list[ids.ServiceName]:
        """Return the services for which evidence is gathered."""
        return list(self._moves)


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
        ValueError: If the data has another form.
    """
    try:
        return _from_data(*json.loads(data))
    except (TypeError, ValueError, RecursionError) as error:
        raise ValueError(f'evidence summary is malformed: {error}') from error


def _from_data(comparison: list, epoch: int, total: list, recent: list) -> Summary:
    return Summary(
        Comparison(*comparison), int(epoch), _cells_from_data(total), _cells_from_data(recent)
    )


def _summarize(cells: dict[CellKey, _cell.Cell]) -> dict[CellKey, CellSummary]:
    found = {}
    for key, cell in cells.items():
        tallies, new_hosts = cell.with_open_window()
        found[key] = CellSummary(*tallies, new_hosts, cell.failure_moments, *cell.recent_windows())
    return found


def _add_cells(cells: dict[CellKey, CellSummary], others: dict[CellKey, CellSummary]) -> None:
    for key, other in others.items():
        known = cells.get(key)
        if known is None:
            known = cells.setdefault(key, CellSummary(tally.Tally(), tally.Tally(), 0))
        known.add(other)


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
