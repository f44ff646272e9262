"""Counts the requests of each tenant that began to run, by windows of time."""

from __future__ import annotations

import collections
from collections.abc import Mapping
from typing import NewType

from anvillug import ids

Window = NewType('Window', int)
"""Number of a window since the Unix epoch."""
TenantCounts = dict[ids.TenantName, int]
"""Number of requests by tenant."""
CountsByWindow = dict[Window, TenantCounts]
"""Counts of one process."""
Process = tuple[ids.HostId, ids.Incarnation]
"""A process of a node."""

# Tenants per window. Names come from the configuration; the limit bounds the memory if a node
# sends others.
_MAX_TENANTS = 20_000
# Processes per host whose counts are retained in a window.
_MAX_PROCESSES = 20_000


class LocalCounts:
    """Counts of this process that may still be needed for a report.

    Args:
        max_windows: Number of retained windows.
    """

    def __init__(self, max_windows: int) -> None:
        self.by_window: CountsByWindow = {}
        """Counts by window."""
        self._max_windows = max_windows
        self._changed: set[tuple[Window, ids.TenantName]] = set()

    @property
    def has_changed(self) -> bool:
        """Whether counts have changed since the last call of `take_changed`."""
        return bool(self._changed)

    def add(self, window: Window, tenant: ids.TenantName, change: int = 1) -> None:
        """Count a request, or with -1 remove one that has not run."""
        if window not in self.by_window:
            if change < 0:
                return
            self.by_window[window] = {}
            while len(self.by_window) > self._max_windows:
                self.by_window.pop(min(self.by_window))
        counts = self.by_window.get(window)
        if counts is not None and (tenant in counts or len(counts) < _MAX_TENANTS):
            counts[tenant] = max(0, counts.get(tenant, 0) + change)
            self._changed.add((window, tenant))

    def take_changed(self) -> CountsByWindow:
        """Return the counts that have changed since the previous call."""
        changed: CountsByWindow = {}
        for window, tenant in self._changed:
            if window in self.by_window:
                changed.setdefault(window, {})[tenant] = self.by_window[window][tenant]
        self._changed.clear()
        return changed

    def mark_all_changed(self) -> None:
        """Let the next `take_changed` return all counts, for a receiver that knows none."""
        self._changed = {
            (window, tenant) for window, counts in self.by_window.items() for tenant in counts
        }

    def mark_changed(self, counts: CountsByWindow) -> None:
        """Return counts that could not be delivered to `take_changed`."""
        for window, by_tenant in counts.items():
            self._changed.update((window, tenant) for tenant in by_tenant)


class CollectedCounts:
    """Counts of all processes, at the node that reports them.

    Counts are totals of a process, so that a repeated message has no effect. The counts of former
    processes of a host are retained beside those of the present one.

    Args:
        max_windows: Number of retained windows.
    """

    def __init__(self, max_windows: int) -> None:
        self._max_windows = max_windows
        self._by_window: dict[Window, dict[Process, TenantCounts]] = {}

    def receive(self, process: Process, counts_by_window: CountsByWindow) -> None:
        """Replace counts of a process by newer ones."""
        for window, counts in counts_by_window.items():
            by_process = self._by_window.setdefault(window, {})
            if process in by_process or len(by_process) < _MAX_PROCESSES:
                by_process.setdefault(process, {}).update(counts)
        while len(self._by_window) > self._max_windows:
            self._by_window.pop(min(self._by_window))

    def total(self, window: Window) -> TenantCounts:
        """Return the number of requests by tenant in a window, without tenants that had none."""
        total: collections.Counter[ids.TenantName] = collections.Counter()
        for counts in self._by_window.get(window, {}).values():
            total.update(counts)
        return _positive(total)

    def clear(self) -> None:
        """Discard all counts, since another node collects them now."""
        self._by_window.clear()


def window_at(time_of_day_ms: float, window_ms: float) -> Window:
    """Return the window that contains a time.

    Args:
        time_of_day_ms: Milliseconds since the Unix epoch.
        window_ms: Length of a window in milliseconds.
    """
    return Window(int(time_of_day_ms // window_ms))


def _positive(counts: Mapping[ids.TenantName, int]) -> TenantCounts:
    return {tenant: count for tenant, count in sorted(counts.items()) if count > 0}
