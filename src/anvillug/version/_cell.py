"""Counts of one route at one load level during a rollout."""

from __future__ import annotations

import collections
import math

from anvillug import ids
from anvillug.version import tally

MAX_HOSTS = 32  # an entry side uses at most 16 hosts of a service at a time
MIN_OLD_CALLS = 20  # with fewer, the old version's 95th percentile can't be estimated
REFERENCE_CALLS = 400  # recent calls on the old version, used once it receives hardly any
_SLOW_PORTION = 0.05
_STEPS_PER_DOUBLING = 4
_HISTOGRAM_DECAY_CALLS = 4_000  # beyond it, counts are halved so that recent latencies dominate

MAX_RECENT_WINDOWS = 6  # per host; 2 minutes, while a noisy neighbour lasts up to about one
SLOW_WINDOW_EXCESS = 0.1  # additional slow calls per call that make a window count as slow

FAILED = 0
SLOW = 1


class Cell:
    """Counts of the open window and tallies of the closed ones."""

    __slots__ = (
        '_p95_step',
        '_failed_at',
        '_histogram',
        '_recent_windows_by_host',
        '_old_deviations',
        '_old_reference',
        '_window',
        'failure_moments',
        'new_hosts',
        'tallies',
    )

    def __init__(self) -> None:
        self.tallies = (tally.Tally(), tally.Tally())  # FAILED, SLOW
        self.new_hosts: set[ids.HostId] = set()
        # Distinct seconds with failures on the new version, per host: calls that fail together in
        # a crash count once.
        self.failure_moments = 0
        self._failed_at: dict[ids.HostId, int] = {}
        # Hosts of the new version: whether each of the recent windows was slow.
        self._recent_windows_by_host: dict[ids.HostId, collections.deque[bool]] = {}
        # (is new, host): calls, failures, slow calls.
        self._window: dict[tuple[bool, ids.HostId], list[int]] = {}
        # Calls on the old version by logarithmic latency step.
        self._histogram: dict[int, int] = {}
        self._p95_step: int | None = None
        # Hosts of the old version: deviation and variance of failures, the same of slow calls, and
        # number of calls.
        self._old_deviations: dict[ids.HostId, list[float]] = {}
        self._old_reference = [float(0) for _ in range(3)]

    def is_slow(self, is_new: bool, latency_ms: float) -> bool:
        """Tell whether a finished call is slower than the old version's 95th percentile.

        The latency of a call on the old version is added to the percentile's histogram.
        """
        step = int(math.log2(max(latency_ms, _MIN_LATENCY_MS)) * _STEPS_PER_DOUBLING)
        if not is_new:
            self._histogram[step] = self._histogram.get(step, 0) + 1
            if self._p95_step is None:
                self._update_p95_step()
        return self._p95_step is not None and step > self._p95_step

    def count(
        self, is_new: bool, host_id: ids.HostId, failed: bool, slow: bool, second: int
    ) -> None:
        """Count one call in the open window; calls on hosts beyond the limit are ignored."""
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
        for metric, total_tally in enumerate(self.tallies):
            self._add_window(metric, total_tally)
        self._add_old_deviations()
        self._add_recent_windows()
        self._update_old_reference()
        self.new_hosts.update(host for is_new, host in self._window if is_new)
        self._window.clear()
        self._update_p95_step()

    def with_open_window(self) -> tuple[tuple[tally.Tally, tally.Tally], int]:
        """Return the tallies with the open window, and the number of the new version's hosts."""
        tallies = (tally.Tally(), tally.Tally())
        for metric, summed in enumerate(tallies):
            summed.add(self.tallies[metric])
            self._add_window(metric, summed)
            self._set_dispersion(metric, summed)
        hosts = {host for is_new, host in self._window if is_new}
        return tallies, len(self.new_hosts | hosts)

    def recent_windows(self) -> tuple[int, int]:
        """Return the number of recent windows of the new version's hosts, and of slow ones."""
        recent = [slow for windows in self._recent_windows_by_host.values() for slow in windows]
        return len(recent), sum(recent)

    def _old_sums(self, metric: int) -> tuple[int, int]:
        old = self._sums(is_new=False, metric=metric)
        if old[0] < MIN_OLD_CALLS and self._old_reference[0] >= MIN_OLD_CALLS:
            # Once the old version receives hardly any calls, its earlier windows are used instead.
            return round(self._old_reference[0]), round(self._old_reference[1 + metric])
        return old

    def _add_recent_windows(self) -> None:
        old_rate = _rate(self._old_sums(SLOW))
        for (is_new, host_id), counts in self._window.items():
            is_tracked = host_id in self._recent_windows_by_host
            if is_new and (is_tracked or len(self._recent_windows_by_host) < MAX_HOSTS):
                windows = self._recent_windows_by_host.setdefault(
                    host_id, collections.deque(maxlen=MAX_RECENT_WINDOWS)
                )
                windows.append(counts[2] > counts[0] * (old_rate + SLOW_WINDOW_EXCESS))

    def _sums(self, is_new: bool, metric: int) -> tuple[int, int]:
        rows = [counts for (new, _), counts in self._window.items() if new is is_new]
        return sum(row[0] for row in rows), sum(row[1 + metric] for row in rows)

    def _add_window(self, metric: int, total_tally: tally.Tally) -> None:
        total_tally.add_window(self._sums(is_new=True, metric=metric), self._old_sums(metric))

    def _add_old_deviations(self) -> None:
        rates = [_rate(self._sums(is_new=False, metric=metric)) for metric in (FAILED, SLOW)]
        for (is_new, host_id), counts in self._window.items():
            is_tracked = host_id in self._old_deviations
            if is_new or (not is_tracked and len(self._old_deviations) >= MAX_HOSTS):
                continue
            sums = self._old_deviations.setdefault(host_id, [float(0) for _ in range(5)])
            for metric, rate in enumerate(rates):
                sums[2 * metric] += counts[1 + metric] - counts[0] * rate
                sums[2 * metric + 1] += counts[0] * rate * (1 - rate)
            sums[4] += counts[0]

    def _set_dispersion(self, metric: int, total_tally: tally.Tally) -> None:
        """Compare the spread between hosts of the old version with that of independent calls.

        Deviations are summed per host over all windows, so that a neighbour that is noisy for
        minutes counts as one cause.
        """
        column = 2 * metric
        rows = [sums for sums in self._old_deviations.values() if sums[column + 1] > 0]
        if len(rows) < 2:
            return
        total_tally.dispersion = sum(row[column] ** 2 / row[column + 1] - 1 for row in rows)
        total_tally.dispersion_weight = sum(row[4] for row in rows)

    def _update_old_reference(self) -> None:
        calls, _ = self._sums(is_new=False, metric=FAILED)
        if calls < MIN_OLD_CALLS:
            return
        added = (calls, *(self._sums(is_new=False, metric=metric)[1] for metric in (FAILED, SLOW)))
        total = self._old_reference[0] + calls
        retained_share = min(1, REFERENCE_CALLS / total)
        self._old_reference = [
            (previous + current) * retained_share
            for previous, current in zip(self._old_reference, added, strict=True)
        ]

    def _update_p95_step(self) -> None:
        total = sum(self._histogram.values())
        if total < MIN_OLD_CALLS:
            return
        self._p95_step = _upper_percentile_step(self._histogram, total * _SLOW_PORTION)
        if total > _HISTOGRAM_DECAY_CALLS:
            halved = {step: count // 2 for step, count in self._histogram.items()}
            self._histogram = {step: count for step, count in halved.items() if count}


_MIN_LATENCY_MS = 0.01


def _rate(sums: tuple[int, int]) -> float:
    return sums[1] / sums[0] if sums[0] else 0


def _upper_percentile_step(histogram: dict[int, int], max_calls_above: float) -> int:
    """Return the lowest step with at most the given number of calls above it."""
    calls_above = 0
    for step in sorted(histogram, reverse=True):
        calls_above += histogram[step]
        if calls_above > max_calls_above:
            return step
    return min(histogram)
