"""Choice of a host for a call from load samples, and subsetting of a service's hosts.

This module is on the per-call path: a choice looks at up to `MAX_DRAWS` hosts however many are
eligible.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping, Sequence
from random import Random
from typing import Protocol, TypeVar

import xxhash

from anvillug import clock, ids
from anvillug.request import call

SUBSET_SIZE = 16
MAX_DRAWS = 3
SAMPLE_AGE_MS = 100.0

_FOREIGN_SHARE = 4
"""One in this many places of a subset is kept for other zones, so that losing the own zone
leaves usable candidates."""
_IDLE_AFTER_MS = 1000.0
_STALE_AFTER_MS = 1000.0
_REFUSAL_HOLD_MS = 5.0
_MAX_REFUSAL_HOLD_MS = 40.0
_ERROR_GAIN = 1 / 12
"""With 1/32, eight entry sides at 1 call/ms were led to the slowest hosts for over 3 s."""
_DISTRUST_ERROR = 0.3
_TRUST_ERROR = 0.1
"""Between the two bounds the state stays, else samples that mislead are trusted in turns."""
_MS_PER_SECOND = 1000.0
# Rank bands: a host of a lower band always wins over a host of a higher one.
_HOT_BAND = 1e9
_AVOIDED_BAND = 1e12
_UNUSABLE_STATES = frozenset(
    (call.HostState.LEAVING, call.HostState.ZONE_OUT, call.HostState.NO_BACKEND)
)


WARM_UP_SHARE = 0.02
"""Share of draws that go to a cold host with room, if one is drawn.

A cold host is slower than the others, so by latency alone it would get no call and never warm up.
"""


class _Host:
    __slots__ = (
        'asked_at',
        'in_flight',
        'latency_ms',
        'limit',
        'observed_at',
        'observed_ms',
        'outstanding',
        'refusal_hold_ms',
        'refused_until',
        'since_sample',
        'taken_at',
        'unusable',
        'warming',
    )

    def __init__(self) -> None:
        self.taken_at = float('-inf')
        self.in_flight = 0
        # A host without a sample may be cold, so it gets one call of this entry side at a time.
        self.limit = 1
        self.latency_ms: float = 0
        self.unusable = False
        self.warming = False
        self.outstanding = 0
        self.since_sample = 0
        self.observed_ms: float = 0
        self.observed_at = float('-inf')
        self.refused_until = float('-inf')
        self.refusal_hold_ms: float = 0
        self.asked_at = float('-inf')

    def takes_warm_up(self, now: float) -> bool:
        """Tell whether the host is cold and has room for a call."""
        load = max(self.outstanding, self.in_flight + self.since_sample)
        return (
            self.warming and not self.unusable and now >= self.refused_until and load < self.limit
        )

    def rank(self, now: float, hot_threshold: float, trusted: bool) -> float:
        """Return the order of preference of the host; lower is better."""
        rank: float = self.outstanding
        if trusted:
            # Calls in transit are in neither the sample nor `since_sample`; `outstanding` bounds
            # them. An old sample tells nothing about the load.
            if now - self.taken_at <= _STALE_AFTER_MS:
                rank = max(rank, self.in_flight + self.since_sample)
            rank /= self.limit
            if rank >= hot_threshold:
                rank += _HOT_BAND
            elif self.observed_ms > self.latency_ms and now - self.observed_at < _STALE_AFTER_MS:
                rank = self.observed_ms
            else:
                rank = self.latency_ms
        if self.unusable or now < self.refused_until:
            return rank + _AVOIDED_BAND
        return rank


class Candidates:
    """Load samples and own outstanding calls of the hosts of one service.

    Args:
        hot_threshold: Estimated load over limit from which a host competes by load.
        samples_per_second: Most load samples to ask for. A sample costs about 250 bytes on the
            wire, so 40/s stay under the 14 KB/s that a node may spend on control.
    """

    def __init__(self, hot_threshold: float = 0.7, samples_per_second: float = 40) -> None:
        self.sample_error: float = 0
        """Share of recent calls whose acceptance contradicted the sample, 0.0 to 1.0."""
        self.samples_trusted = True
        """Whether samples are used; if not, only own outstanding calls are compared."""
        self._hot_threshold = hot_threshold
        self._samples_per_second = samples_per_second
        self._sample_allowance = samples_per_second
        self._allowance_at: float = 0
        self._chosen_at = float('-inf')
        self._by_host_id: dict[ids.HostId, _Host] = {}

    def record_sample(self, host_id: ids.HostId, sample: call.LoadSample) -> None:
        """Take in a sample; one older than the sample already held is ignored."""
        host = self._host(host_id)
        if sample.taken_at < host.taken_at:
            return
        host.taken_at = sample.taken_at
        host.in_flight = sample.in_flight + sample.queued
        host.limit = max(1, sample.limit)
        host.latency_ms = sample.latency_ms
        host.unusable = sample.state in _UNUSABLE_STATES
        host.warming = sample.state is call.HostState.COLD
        host.since_sample = 0

    def call_started(self, host_id: ids.HostId) -> None:
        """Count a call sent to the host."""
        host = self._host(host_id)
        host.outstanding += 1
        host.since_sample += 1

    def call_ended(
        self,
        host_id: ids.HostId,
        latency_ms: float | None = None,
        now: clock.Milliseconds | None = None,
    ) -> None:
        """Count the end of a call, refused or not.

        Args:
            host_id: Host that the call was sent to.
            latency_ms: Latency seen by this entry side, if the call ran.
            now: Monotonic time; needed with `latency_ms`.
        """
        host = self._by_host_id.get(host_id)
        if host is None:
            return
        if latency_ms is not None and now is not None:
            self._ran(host, latency_ms, now)
        host.outstanding = max(0, host.outstanding - 1)
        host.since_sample = max(0, host.since_sample - 1)

    def call_refused(self, host_id: ids.HostId, now: clock.Milliseconds) -> None:
        """Avoid the host for a few milliseconds, longer while it refuses every call.

        Call this before recording the sample that came with the refusal, and call `call_ended`
        as well.
        """
        host = self._host(host_id)
        self._learn(host, accepted=False, now=now)
        hold = max(_REFUSAL_HOLD_MS, min(host.refusal_hold_ms * 2, _MAX_REFUSAL_HOLD_MS))
        if now >= host.refused_until:
            host.refusal_hold_ms = hold
        host.refused_until = now + host.refusal_hold_ms

    def load_level(self, host_id: ids.HostId) -> float:
        """Return the estimated load over the limit of a host; 0 without a sample."""
        host = self._by_host_id.get(host_id)
        if host is None:
            return 0
        return max(host.outstanding, host.in_flight + host.since_sample) / host.limit

    def forget(self, host_id: ids.HostId) -> None:
        """Drop what is known of a host that left."""
        self._by_host_id.pop(host_id, None)

    def choose(
        self,
        eligible: Sequence[ids.HostId],
        excluded: Collection[ids.HostId],
        now: clock.Milliseconds,
        rng: Random,
        weights: Mapping[ids.HostId, float] | None = None,
    ) -> ids.HostId | None:
        """Choose a host.

        Args:
            eligible: Hosts of the service's subset.
            excluded: Hosts that must not be chosen: tried already, silent, dead, leaving.
            now: Monotonic time.
            rng: Source of the draws.
            weights: Chance of a host to take part in a draw (0.0 to 1.0, default 1.0), for zones
                that ramp up. A host of weight 0.0 is never chosen.

        Returns:
            The host, or None if all are excluded.
        """
        self._chosen_at = now
        drawn = _draw(eligible, excluded, rng, weights)
        if len(drawn) < 2:
            return drawn[0] if drawn else None
        best_rank = float('inf')
        best = drawn[0]
        warms = rng.random() < WARM_UP_SHARE
        # Draws are in random order, so that the first of equals is a random one.
        for host_id in drawn:
            host = self._by_host_id.get(host_id)
            if warms and host is not None and host.takes_warm_up(now):
                return host_id
            rank = 0 if host is None else host.rank(now, self._hot_threshold, self.samples_trusted)
            if rank < best_rank:
                best_rank = rank
                best = host_id
        return best

    def hosts_to_sample(
        self,
        eligible: Sequence[ids.HostId],
        now: clock.Milliseconds,
    ) -> list[ids.HostId]:
        """Return the hosts to ask for a sample now, the oldest sample first.

        A host is returned when its sample is older than `SAMPLE_AGE_MS` and it was not asked
        within that time; no host is returned while no calls arrive.
        """
        if now - self._chosen_at > _IDLE_AFTER_MS:
            return []
        self._refill_allowance(now)
        due_before = now - SAMPLE_AGE_MS
        due = []
        for candidate in eligible:
            host = self._host(candidate)
            if host.taken_at < due_before and host.asked_at <= due_before:
                due.append((host.taken_at, candidate))
        due.sort()
        asked = [host_id for _, host_id in due[: int(self._sample_allowance)]]
        for host_id in asked:
            self._by_host_id[host_id].asked_at = now
        self._sample_allowance -= len(asked)
        return asked

    def _refill_allowance(self, now: float) -> None:
        elapsed_ms = max(0, now - self._allowance_at)
        earned = elapsed_ms * self._samples_per_second / _MS_PER_SECOND
        self._sample_allowance = min(self._samples_per_second, self._sample_allowance + earned)
        self._allowance_at = now

    def _ran(self, host: _Host, latency_ms: float, now: float) -> None:
        self._learn(host, accepted=True, now=now)
        host.refusal_hold_ms = 0
        if now - host.observed_at > _STALE_AFTER_MS:
            host.observed_ms = latency_ms
        else:
            host.observed_ms += (latency_ms - host.observed_ms) / 4
        host.observed_at = now

    def _learn(self, host: _Host, *, accepted: bool, now: float) -> None:
        """Compare what the sample promised with what the host did."""
        if now - host.taken_at > _STALE_AFTER_MS:
            return
        load = host.in_flight / host.limit
        if load < 1:
            misled = not accepted
        elif load >= 2:
            # The queue of a host side is as long as its limit, so it should have refused.
            misled = accepted
        else:
            return
        self.sample_error += (misled - self.sample_error) * _ERROR_GAIN
        bound = _DISTRUST_ERROR if self.samples_trusted else _TRUST_ERROR
        self.samples_trusted = self.sample_error < bound

    def _host(self, host_id: ids.HostId) -> _Host:
        host = self._by_host_id.get(host_id)
        if host is None:
            host = _Host()
            self._by_host_id[host_id] = host
        return host


def _draw(
    eligible: Sequence[ids.HostId],
    excluded: Collection[ids.HostId],
    rng: Random,
    weights: Mapping[ids.HostId, float] | None,
) -> list[ids.HostId]:
    """Return up to `MAX_DRAWS` distinct hosts in random order."""
    count = len(eligible)
    if count <= MAX_DRAWS:
        return _draw_from_all(eligible, excluded, rng, weights)
    drawn: list[ids.HostId] = []
    # Twice as many tries as draws usually suffice; `_draw_from_all` handles the rest.
    tries = MAX_DRAWS * 2
    while tries and len(drawn) < MAX_DRAWS:
        tries -= 1
        host_id = eligible[int(rng.random() * count)]
        if host_id in drawn or host_id in excluded:
            continue
        if weights is None or rng.random() < weights.get(host_id, 1):
            drawn.append(host_id)
    return drawn or _draw_from_all(eligible, excluded, rng, weights)


def _draw_from_all(
    eligible: Sequence[ids.HostId],
    excluded: Collection[ids.HostId],
    rng: Random,
    weights: Mapping[ids.HostId, float] | None,
) -> list[ids.HostId]:
    usable = [host_id for host_id in eligible if host_id not in excluded]
    if weights is None:
        return rng.sample(usable, min(MAX_DRAWS, len(usable)))
    usable = [host_id for host_id in usable if weights.get(host_id, 1)]
    if not usable:
        return []
    chances = [weights.get(host_id, 1) for host_id in usable]
    drawn = [
        host_id for host_id, chance in zip(usable, chances, strict=True) if rng.random() < chance
    ]
    if drawn:
        return rng.sample(drawn, min(MAX_DRAWS, len(drawn)))
    return rng.choices(usable, chances)


class Located(Protocol):
    """What subsetting needs to know of a member."""

    @property
    def host_id(self) -> ids.HostId:
        """Id of the host."""

    @property
    def zone(self) -> ids.ZoneName:
        """Availability zone of the host."""


MemberT = TypeVar('MemberT', bound=Located)


def subset(
    members: Iterable[MemberT],
    own_host_id: ids.HostId,
    own_zone: ids.ZoneName,
    size: int = SUBSET_SIZE,
) -> tuple[MemberT, ...]:
    """Return the members that this entry side considers, by rendezvous hashing.

    Members of the own zone are preferred. A part of the places is kept for other zones, and the
    result spans at least two zones when there are two. Adding or removing a member changes at
    most a few places.

    Args:
        members: Members of the service in any order.
        own_host_id: Host of this entry side.
        own_zone: Availability zone of this entry side.
        size: Most members to return; at least 2 to span zones.

    Returns:
        The chosen members, those of the own zone first.
    """
    seed = xxhash.xxh3_64_intdigest(own_host_id.encode())
    ranked = sorted(
        members,
        key=lambda member: (
            xxhash.xxh3_64_intdigest(member.host_id.encode(), seed),
            member.host_id,
        ),
    )
    own = [member for member in ranked if member.zone == own_zone]
    foreign = [member for member in ranked if member.zone != own_zone]
    foreign_places = min(len(foreign), max(size // _FOREIGN_SHARE, size - len(own), 1))
    chosen_own = own[: size - foreign_places]
    chosen_foreign = foreign[:foreign_places]
    if not chosen_own and len({member.zone for member in chosen_foreign}) == 1:
        zone = chosen_foreign[0].zone
        others = [member for member in foreign if member.zone != zone]
        if others:
            chosen_foreign[-1] = others[0]
    return (*chosen_own, *chosen_foreign)
