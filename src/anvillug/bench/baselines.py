"""Baseline choosers with the interface of `choice.Candidates`, for comparisons by the bench."""

from __future__ import annotations

import collections
from collections.abc import Callable, Collection, Mapping, Sequence
from random import Random
from typing import Protocol

from anvillug import clock, ids
from anvillug.request import call, choice

TURN_MS = 6000
"""Duration of the turn of one chooser in a rotation."""

_HOT_THRESHOLD = 0.7  # ratio of load to limit


class Chooser(Protocol):
    """Interface of a chooser; see `choice.Candidates`."""

    def record_sample(self, host_id: ids.HostId, sample: call.LoadSample) -> None:
        """Record a load sample."""

    def attempt_started(self, host_id: ids.HostId) -> None:
        """Count the start of an attempt."""

    def attempt_ended(
        self,
        host_id: ids.HostId,
        latency_ms: float | None = None,
        now: clock.Milliseconds | None = None,
    ) -> None:
        """Count the end of an attempt."""

    def attempt_rejected(self, host_id: ids.HostId, now: clock.Milliseconds) -> None:
        """Record that the host rejected an attempt."""

    def remove_host(self, host_id: ids.HostId) -> None:
        """Remove the state of a host that left."""

    def choose(
        self,
        eligible: Sequence[ids.HostId],
        excluded: Collection[ids.HostId],
        now: clock.Milliseconds,
        rng: Random,
        weights: Mapping[ids.HostId, float] | None = None,
    ) -> ids.HostId | None:
        """Choose a host."""

    def hosts_to_sample(
        self,
        eligible: Sequence[ids.HostId],
        now: clock.Milliseconds,
    ) -> list[ids.HostId]:
        """Return the hosts to request a sample from now."""

    def load_level(self, host_id: ids.HostId) -> float:
        """Return the ratio of estimated load to limit of a host."""

    @property
    def sample_error(self) -> float:
        """Share of recent calls whose admission or rejection contradicted the sample."""


class RandomChooser:
    """Chooses a host at random; like all baselines, it respects the weights of the hosts."""

    sample_error: float = 0

    def __init__(self) -> None:
        self._outstanding: collections.Counter[ids.HostId] = collections.Counter()

    def record_sample(self, host_id: ids.HostId, sample: call.LoadSample) -> None:
        """Ignore the sample."""

    def attempt_started(self, host_id: ids.HostId) -> None:
        """Count the start of an attempt."""
        self._outstanding[host_id] += 1

    def attempt_ended(
        self,
        host_id: ids.HostId,
        latency_ms: float | None = None,
        now: clock.Milliseconds | None = None,
    ) -> None:
        """Count the end of an attempt."""
        self._outstanding[host_id] -= 1

    def attempt_rejected(self, host_id: ids.HostId, now: clock.Milliseconds) -> None:
        """Ignore the rejection."""

    def remove_host(self, host_id: ids.HostId) -> None:
        """Remove the state of a host that left."""
        self._outstanding.pop(host_id, None)

    def choose(
        self,
        eligible: Sequence[ids.HostId],
        excluded: Collection[ids.HostId],
        now: clock.Milliseconds,
        rng: Random,
        weights: Mapping[ids.HostId, float] | None = None,
    ) -> ids.HostId | None:
        """Choose a host; None if all are excluded."""
        usable = [host_id for host_id in eligible if host_id not in excluded]
        if weights is not None:
            usable = [host_id for host_id in usable if weights.get(host_id, 1)]
            drawn = [host_id for host_id in usable if rng.random() < weights.get(host_id, 1)]
            usable = drawn or usable
        return self._pick(usable, rng) if usable else None

    def hosts_to_sample(
        self,
        eligible: Sequence[ids.HostId],
        now: clock.Milliseconds,
    ) -> list[ids.HostId]:
        """Return no hosts."""
        return []

    def load_level(self, host_id: ids.HostId) -> float:
        """Return 0, since the baselines do not estimate the load."""
        return 0

    def _pick(self, usable: list[ids.HostId], rng: Random) -> ids.HostId:
        return rng.choice(usable)


class RoundRobinChooser(RandomChooser):
    """Chooses the hosts in turn."""

    def __init__(self) -> None:
        super().__init__()
        self._turn = 0

    def _pick(self, usable: list[ids.HostId], rng: Random) -> ids.HostId:
        self._turn += 1
        return usable[self._turn % len(usable)]


class LeastInFlightChooser(RandomChooser):
    """Chooses the host with the fewest calls in flight from this node, ties at random."""

    def _pick(self, usable: list[ids.HostId], rng: Random) -> ids.HostId:
        min_outstanding = min(self._outstanding[host_id] for host_id in usable)
        return rng.choice([host for host in usable if self._outstanding[host] == min_outstanding])


class TwoChoicesChooser(RandomChooser):
    """Chooses the one of two random hosts with the lower ratio of reported load to limit."""

    def __init__(self) -> None:
        super().__init__()
        self._samples_by_host_id: dict[ids.HostId, call.LoadSample] = {}
        self._requested_at_by_host_id: dict[ids.HostId, float] = {}

    def record_sample(self, host_id: ids.HostId, sample: call.LoadSample) -> None:
        """Store the sample in place of the previous one."""
        self._samples_by_host_id[host_id] = sample

    def remove_host(self, host_id: ids.HostId) -> None:
        """Remove the state of a host that left."""
        super().remove_host(host_id)
        self._samples_by_host_id.pop(host_id, None)

    def hosts_to_sample(
        self,
        eligible: Sequence[ids.HostId],
        now: clock.Milliseconds,
    ) -> list[ids.HostId]:
        """Return the hosts with neither a recent sample nor a recent request for one."""
        due_before = now - choice.SAMPLE_AGE_MS
        due = [host_id for host_id in eligible if self._last_sampled_at(host_id) < due_before]
        for host_id in due:
            self._requested_at_by_host_id[host_id] = now
        return due

    def _last_sampled_at(self, host_id: ids.HostId) -> float:
        requested_at = self._requested_at_by_host_id.get(host_id, float('-inf'))
        sample = self._samples_by_host_id.get(host_id)
        return requested_at if sample is None else max(requested_at, sample.sampled_at)

    def _pick(self, usable: list[ids.HostId], rng: Random) -> ids.HostId:
        return min(rng.sample(usable, min(2, len(usable))), key=self._reported_load)

    def _reported_load(self, host_id: ids.HostId) -> float:
        sample = self._samples_by_host_id.get(host_id)
        if sample is None:
            return 0
        return (sample.in_flight + sample.queued) / max(1, sample.limit)


class RotatingChooser:
    """Delegates the choice to one chooser at a time, so that one mesh compares all of them.

    All choosers record all calls and samples. The turns are derived from the wall clock, so
    that all nodes on one machine switch choosers at the same time.

    Args:
        choosers: The choosers in the order of their turns.
        time: Clock.
    """

    def __init__(self, choosers: Sequence[Chooser], time: clock.Clock) -> None:
        self._choosers = tuple(choosers)
        self._clock = time

    @property
    def sample_error(self) -> float:
        """Share of recent calls whose admission or rejection contradicted the sample."""
        return self._choosers[0].sample_error

    def record_sample(self, host_id: ids.HostId, sample: call.LoadSample) -> None:
        """Record a load sample."""
        for chooser in self._choosers:
            chooser.record_sample(host_id, sample)

    def attempt_started(self, host_id: ids.HostId) -> None:
        """Count the start of an attempt."""
        for chooser in self._choosers:
            chooser.attempt_started(host_id)

    def attempt_ended(
        self,
        host_id: ids.HostId,
        latency_ms: float | None = None,
        now: clock.Milliseconds | None = None,
    ) -> None:
        """Count the end of an attempt."""
        for chooser in self._choosers:
            chooser.attempt_ended(host_id, latency_ms, now)

    def attempt_rejected(self, host_id: ids.HostId, now: clock.Milliseconds) -> None:
        """Record that the host rejected an attempt."""
        for chooser in self._choosers:
            chooser.attempt_rejected(host_id, now)

    def remove_host(self, host_id: ids.HostId) -> None:
        """Remove the state of a host that left."""
        for chooser in self._choosers:
            chooser.remove_host(host_id)

    def choose(
        self,
        eligible: Sequence[ids.HostId],
        excluded: Collection[ids.HostId],
        now: clock.Milliseconds,
        rng: Random,
        weights: Mapping[ids.HostId, float] | None = None,
    ) -> ids.HostId | None:
        """Choose a host with the chooser whose turn it is."""
        return self._current().choose(eligible, excluded, now, rng, weights)

    def hosts_to_sample(
        self,
        eligible: Sequence[ids.HostId],
        now: clock.Milliseconds,
    ) -> list[ids.HostId]:
        """Return the hosts that the chooser whose turn it is requests samples from."""
        return self._current().hosts_to_sample(eligible, now)

    def load_level(self, host_id: ids.HostId) -> float:
        """Return the ratio of estimated load to limit of a host."""
        return self._choosers[0].load_level(host_id)

    def _current(self) -> Chooser:
        return self._choosers[turn_index(self._clock.wall(), len(self._choosers))]


def turn_index(wall: float, count: int) -> int:
    """Return the index of the chooser whose turn it is.

    Args:
        wall: Milliseconds since the epoch.
        count: Number of choosers.

    Returns:
        Index in the order of turns.
    """
    return int(wall // TURN_MS) % count


_BASELINES_BY_NAME: dict[str, Callable[[], Chooser]] = {
    'random': RandomChooser,
    'round-robin': RoundRobinChooser,
    'least-in-flight': LeastInFlightChooser,
    'two-choices': TwoChoicesChooser,
}
CHOOSER_NAMES = ('samples', *_BASELINES_BY_NAME)
"""The load-sample chooser and the baselines, in the order of their turns in a rotation."""

ROTATION = 'rotation'


def make_chooser(name: str, hot_threshold: float = _HOT_THRESHOLD) -> Chooser:
    """Return a chooser by its name.

    Args:
        name: One of `CHOOSER_NAMES`, or `ROTATION`.
        hot_threshold: Threshold of `choice.Candidates`; ignored by the baselines.

    Returns:
        A new chooser.

    Raises:
        ValueError: If there is no chooser of that name.
    """
    if name == ROTATION:
        choosers = [make_chooser(chooser_name, hot_threshold) for chooser_name in CHOOSER_NAMES]
        return RotatingChooser(choosers, clock.SystemClock())
    if name == CHOOSER_NAMES[0]:
        return choice.Candidates(hot_threshold)
    factory = _BASELINES_BY_NAME.get(name)
    if factory is None:
        raise ValueError(f'chooser {name!r} is not one of {", ".join(CHOOSER_NAMES)}')
    return factory()
