"""Counts of one route at one load level during a move."""

from __future__ import annotations

import collections
import math

from anvillug import ids
from anvillug.version import tally

MAX_HOSTS = 32  # an entry side uses at most 16 hosts of a service at a time
MIN_OLD_CALLS = 20  # below, the old version's 95th percentile is not known
REFERENCE_CALLS = 400  # of the old version, used once it gets no more calls
_SLOW_PORTION = 0.05
_STEPS_PER_DOUBLING = 4
_DECAY_AT = 4_000

MAX_RECENT_WINDOWS = 6  # per host; with 20 s windows longer than a minute of a noisy neighbour
SLOW_WINDOW_EXCESS = 0.1  # additional slow calls per call that make a window count as slow

FAILED = 0
SLOW = 1


class Cell:
    """Window counts, and tallies of the closed windows."""

    __slots__ = (
        '_edge',
        '_failed_at',
        '_histogram',
        '_recent_windows_by_host',
        '_old_deviations',
        '_reference',
        '_window',
        'failure_moments',
        'new_hosts',
        'tallies',
    )

    def __init__(self) -> None:
        self.tallies = (tally.Tally(), tally.Tally())  # FAILED, SLOW
        self.new_hosts: set[ids.HostId] = set()
        # Distinct seconds with failures of the new version, per host: the calls that
        # one crash ends at once are one moment.
        self.failure_moments = 0
        self._failed_at: dict[ids.HostId, int] = {}
        # New host: whether each of its last windows was slow.
        self._recent_windows_by_host: dict[ids.HostId, collections.deque[bool]] = {}
        # (is new, host): calls, failures, slow calls
        self._window: dict[tuple[bool, ids.HostId], list[int]] = {}
        self._histogram: dict[int, int] = {}
        self._edge: int | None = None
        # Old host: deviation and variance of failures, then of slow calls, then its calls.
        self._old_deviations: dict[ids.HostId, list[float]] = {}
        self._reference = [float(0) for _ in range(3)]

    def is_slow(self, is_new: bool, latency_ms: float) -> bool:
        """Tell whether a finished call is slower than the old version's 95th percentile."""
        step = int(math.log2(max(latency_ms, _MIN_LATENCY_MS)) * _STEPS_PER_DOUBLING)
        if not is_new:
            self._histogram[step] = self._histogram.get(step, 0) + 1
            if self._edge is None:
                self._update_edge()
        return self._edge is not None and step > self._edge

    def count(
        self, is_new: bool, host_id: ids.HostId, failed: bool, slow: bool, second: int
    ) -> None:
        """Count one call."""
        key = (is_new, host_id)
        counts = self._window.get(key)
        if counts is None:
            if len(self._window) >= 2 * MAX_HOSTS:
                return
            counts = self._window.setdefault(key, [0, 0, 0])
        counts[0] += 1
        counts[2] += slow
        if failed:
            counts[1] += 1
            if is_new and self._failed_at.get(host_id) != second:
                self._failed_at[host_id] = second
                self.failure_moments += 1

    def close_window(self) -> None:
        """Add the window to the tallies and start a new one."""
        for metric, summary in enumerate(self.tallies):
            self._add_window(metric, summary)
        self._add_deviations()
        self._add_recent_windows()
        self._add_reference()
        self.new_hosts.update(host for is_new, host in self._window if is_new)
        self._window.clear()
        self._update_edge()

    def with_open_window(self) -> tuple[tuple[tally.Tally, tally.Tally], int]:
        """Return the tallies including the open window, and the number of new hosts."""
        found = (tally.Tally(), tally.Tally())
        for metric, summary in enumerate(found):
            summary.add(self.tallies[metric])
            self._add_window(metric, summary)
            self._set_dispersion(metric, summary)
        hosts = {host for is_new, host in self._window if is_new}
        return found, len(self.new_hosts | hosts)

    def recent_windows(self) -> tuple[int, int]:
        """Return the recent windows of all new hosts, and how many were slow."""
        recent = [slow for windows in self._recent_windows_by_host.values() for slow in windows]
        return len(recent), sum(recent)

    def _old_sums(self, metric: int) -> tuple[int, int]:
        old = self._sums(is_new=False, metric=metric)
        if old[0] < MIN_OLD_CALLS and self._reference[0] >= MIN_OLD_CALLS:
            # The old version gets no more calls; its last windows stand in for it.
            return round(self._reference[0]), round(self._reference[1 + metric])
        return old

    def _add_recent_windows(self) -> None:
        usual = _rate(self._old_sums(SLOW))
        for (is_new, host_id), counts in self._window.items():
            known = host_id in self._recent_windows_by_host
            if is_new and (known or len(self._recent_windows_by_host) < MAX_HOSTS):
                windows = self._recent_windows_by_host.setdefault(
                    host_id, collections.deque(maxlen=MAX_RECENT_WINDOWS)
                )
                windows.append(counts[2] > counts[0] * (usual + SLOW_WINDOW_EXCESS))

    def _sums(self, is_new: bool, metric: int) -> tuple[int, int]:
        rows = [counts for (new, _), counts in self._window.items() if new is is_new]
        return sum(row[0] for row in rows), sum(row[1 + metric] for row in rows)

    def _add_window(self, metric: int, summary: tally.Tally) -> None:
        summary.add_window(self._sums(is_new=True, metric=metric), self._old_sums(metric))

    def _add_deviations(self) -> None:
        rates = [_rate(self._sums(is_new=False, metric=metric)) for metric in (FAILED, SLOW)]
        for (is_new, host_id), counts in self._window.items():
            known = host_id in self._old_deviations
            if is_new or (not known and len(self._old_deviations) >= MAX_HOSTS):
                continue
            sums = self._old_deviations.setdefault(host_id, [float(0) for _ in range(5)])
            for metric, rate in enumerate(rates):
                sums[2 * metric] += counts[1 + metric] - counts[0] * rate
                sums[2 * metric + 1] += counts[0] * rate * (1 - rate)
            sums[4] += counts[0]

    def _set_dispersion(self, metric: int, summary: tally.Tally) -> None:
        """Compare the spread between old hosts with that of independent calls.

        Deviations are summed per host over all windows, so that a neighbour
        that stays noisy for minutes counts as one cause.
        """
        column = 2 * metric
        rows = [sums for sums in self._old_deviations.values() if sums[column + 1] > 0]
        if len(rows) < 2:
            return
        summary.dispersion = sum(row[column] ** 2 / row[column + 1] - 1 for row in rows)
        summary.dispersion_weight = sum(row[4] for row in rows)

    def _add_reference(self) -> None:
        calls, _ = self._sums(is_new=False, metric=FAILED)
        if calls < MIN_OLD_CALLS:
            return
        added = (calls, *(self._sums(is_new=False, metric=metric)[1] for metric in (FAILED, SLOW)))
        total = self._reference[0] + calls
        keep = min(1, REFERENCE_CALLS / total)
        self._reference = [
            (known + more) * keep for known, more in zip(self._reference, added, strict=True)
        ]

    def _update_edge(self) -> None:
        total = sum(self._histogram.values())
        if total < MIN_OLD_CALLS:
            return
        self._edge = _percentile_step(self._histogram, total * _SLOW_PORTION)
        if total > _DECAY_AT:
            halved = {step: count // 2 for step, count in self._histogram.items()}
            self._histogram = {step: count for step, count in halved.items() if count}


_MIN_LATENCY_MS = 0.01


def _rate(sums: tuple[int, int]) -> float:
    return sums[1] / sums[0] if sums[0] else 0


def _percentile_step(histogram: dict[int, int], allowed: float) -> int:
    """Return the lowest step above which at most the allowed number of calls lie."""
    above = 0
    for step in sorted(histogram, reverse=True):
        above += histogram[step]
        if above > allowed:
            return step
    return min(histogram)
