"""Selection of a host for a call by load samples, and subsetting of the hosts of a service.

This module is on the per-call path: a selection compares at most `MAX_COMPARED_HOSTS` hosts,
however many are eligible.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping, Sequence
from random import Random
from typing import Protocol, TypeVar

import xxhash

from anvillug import clock, ids
from anvillug.request import call

SUBSET_SIZE = 16
MAX_COMPARED_HOSTS = 3
SAMPLE_AGE_MS = 100.0

_OTHER_ZONES_DIVISOR = 4
"""One in this many places of a subset is reserved for hosts in other zones, so that usable
candidates remain when the local zone fails."""
_IDLE_AFTER_MS = 1000.0
_STALE_AFTER_MS = 1000.0
_MIN_REJECTION_HOLD_MS = 5.0
_MAX_REJECTION_HOLD_MS = 40.0
_ERROR_GAIN = 1 / 12
"""Weight of a new call in `sample_error`. With 1/32, misleading samples made eight entry sides
at 1 call/ms prefer the slowest hosts for over 3 s."""
_DISTRUST_ABOVE_ERROR = 0.3
_TRUST_BELOW_ERROR = 0.1
"""Between the two bounds the trust does not change; with a single bound, misleading samples
would be trusted and distrusted in turn."""
_MS_PER_SECOND = 1000.0
# Rank bands: a host of a lower band is always preferred to a host of a higher one.
_HOT_BAND = 1e9
_AVOIDED_BAND = 1e12
_UNUSABLE_STATES = frozenset(
    (call.HostState.LEAVING, call.HostState.ZONE_OUT, call.HostState.NO_BACKEND)
)


WARM_UP_SHARE = 0.02
"""Share of selections that prefer a cold host below its limit, if one is compared.

A cold host is slower than the others, so by latency alone it would get no call and never warm up.
"""


class _Host:
    __slots__ = (
        'requested_at',
        'in_flight',
        'latency_ms',
        'limit',
        'observed_at',
        'observed_ms',
        'outstanding',
        'rejection_hold_ms',
        'rejection_hold_until',
        'since_sample',
        'sampled_at',
        'unusable',
        'warming',
    )

    def __init__(self) -> None:
        self.sampled_at = float('-inf')
        self.in_flight = 0
        # A host without a sample may be cold, so this entry side sends it one call at a time.
        self.limit = 1
        self.latency_ms: float = 0
        self.unusable = False
        self.warming = False
        self.outstanding = 0
        self.since_sample = 0
        self.observed_ms: float = 0
        self.observed_at = float('-inf')
        self.rejection_hold_until = float('-inf')
        self.rejection_hold_ms: float = 0
        self.requested_at = float('-inf')

    def accepts_warm_up_call(self, now: float) -> bool:
        """Return whether the host is cold and below its limit."""
        load = max(self.outstanding, self.in_flight + self.since_sample)
        return (
            self.warming
            and not self.unusable
            and now >= self.rejection_hold_until
            and load < self.limit
        )

    def rank(self, now: float, hot_threshold: float, trusted: bool) -> float:
        """Return the rank of the host; a lower rank is preferred."""
        rank: float = self.outstanding
        if trusted:
            # Calls in transit are neither in the sample nor in `since_sample`; `outstanding` is
            # their upper bound. A stale sample says nothing about the load.
            if now - self.sampled_at <= _STALE_AFTER_MS:
                rank = max(rank, self.in_flight + self.since_sample)
            rank /= self.limit
            if rank >= hot_threshold:
                rank += _HOT_BAND
            elif self.observed_ms > self.latency_ms and now - self.observed_at < _STALE_AFTER_MS:
                rank = self.observed_ms
            else:
                rank = self.latency_ms
        if self.unusable or now < self.rejection_hold_until:
            return rank + _AVOIDED_BAND
        return rank


class Candidates:
    """Load samples and outstanding calls of this entry side at the hosts of one service.

    Args:
        hot_threshold: Ratio of estimated load to limit from which a host is ranked by load
            instead of latency.
        samples_per_second: Maximum rate of requested load samples. A sample takes about 250 bytes
            on the wire, so 40/s stay below the 14 KB/s that a node may use for control traffic.
    """

    def __init__(self, hot_threshold: float = 0.7, samples_per_second: float = 40) -> None:
        self.sample_error: float = 0
        """Share of recent calls whose admission or rejection contradicted the sample, from 0.0 to
        1.0."""
        self.samples_trusted = True
        """Whether samples are used; if not, hosts are compared by outstanding calls alone."""
        self._hot_threshold = hot_threshold
        self._samples_per_second = samples_per_second
        self._sample_tokens = samples_per_second
        self._refilled_at: float = 0
        self._chosen_at = float('-inf')
        self._by_host_id: dict[ids.HostId, _Host] = {}

    def record_sample(self, host_id: ids.HostId, sample: call.LoadSample) -> None:
        """Record a sample unless it is older than the recorded one."""
        host = self._host(host_id)
        if sample.sampled_at < host.sampled_at:
            return
        host.sampled_at = sample.sampled_at
        host.in_flight = sample.in_flight + sample.queued
        host.limit = max(1, sample.limit)
        host.latency_ms = sample.latency_ms
        host.unusable = sample.state in _UNUSABLE_STATES
        host.warming = sample.state is call.HostState.COLD
        host.since_sample = 0

    def attempt_started(self, host_id: ids.HostId) -> None:
        """Count the start of an attempt."""
        host = self._host(host_id)
        host.outstanding += 1
        host.since_sample += 1

    def attempt_ended(
        self,
        host_id: ids.HostId,
        latency_ms: float | None = None,
        now: clock.Milliseconds | None = None,
    ) -> None:
        """Count the end of an attempt, rejected or not.

        Args:
            host_id: Host that the attempt was sent to.
            latency_ms: Latency measured by this entry side, if the call ran.
            now: Monotonic time; needed with `latency_ms`.
        """
        host = self._by_host_id.get(host_id)
        if host is None:
            return
        if latency_ms is not None and now is not None:
            self._record_run(host, latency_ms, now)
        host.outstanding = max(0, host.outstanding - 1)
        host.since_sample = max(0, host.since_sample - 1)

    def attempt_rejected(self, host_id: ids.HostId, now: clock.Milliseconds) -> None:
        """Avoid the host for a few milliseconds, longer each time while it rejects every call.

        Call this before recording the sample that came with the rejection, and call `attempt_ended`
        as well.
        """
        host = self._host(host_id)
        self._record_acceptance(host, accepted=False, now=now)
        hold_ms = max(
            _MIN_REJECTION_HOLD_MS, min(host.rejection_hold_ms * 2, _MAX_REJECTION_HOLD_MS)
        )
        if now >= host.rejection_hold_until:
            host.rejection_hold_ms = hold_ms
        host.rejection_hold_until = now + host.rejection_hold_ms

    def load_level(self, host_id: ids.HostId) -> float:
        """Return the ratio of estimated load to limit of a host; 0 for an unknown host."""
        host = self._by_host_id.get(host_id)
        if host is None:
            return 0
        return max(host.outstanding, host.in_flight + host.since_sample) / host.limit

    def remove_host(self, host_id: ids.HostId) -> None:
        """Remove the state of a host that left."""
        self._by_host_id.pop(host_id, None)

    def choose(
        self,
        eligible: Sequence[ids.HostId],
        excluded: Collection[ids.HostId],
        now: clock.Milliseconds,
        rng: Random,
        weights: Mapping[ids.HostId, float] | None = None,
    ) -> ids.HostId | None:
        """Select a host for a call.

        Args:
            eligible: Hosts of the service's subset.
            excluded: Hosts that must not be selected: already attempted, unresponsive, dead or
                leaving.
            now: Monotonic time.
            rng: Source of random numbers.
            weights: Probability that a host is compared when picked (0.0 to 1.0, default 1.0),
                for zones that ramp up. A host of weight 0.0 is never selected.

        Returns:
            The host, or None if all are excluded.
        """
        self._chosen_at = now
        selected = _select_at_random(eligible, excluded, rng, weights)
        if len(selected) < 2:
            return selected[0] if selected else None
        best_rank = float('inf')
        best = selected[0]
        is_warm_up = rng.random() < WARM_UP_SHARE
        # The hosts are in random order, so ties are broken at random.
        for host_id in selected:
            host = self._by_host_id.get(host_id)
            if is_warm_up and host is not None and host.accepts_warm_up_call(now):
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
        """Return the hosts to request a sample from now, the oldest sample first.

        A host is returned if its sample is older than `SAMPLE_AGE_MS` and none was requested
        within that time. No host is returned while no calls arrive.
        """
        if now - self._chosen_at > _IDLE_AFTER_MS:
            return []
        self._refill_sample_tokens(now)
        due_before = now - SAMPLE_AGE_MS
        due = []
        for candidate in eligible:
            host = self._host(candidate)
            if host.sampled_at < due_before and host.requested_at <= due_before:
                due.append((host.sampled_at, candidate))
        due.sort()
        requested = [host_id for _, host_id in due[: int(self._sample_tokens)]]
        for host_id in requested:
            self._by_host_id[host_id].requested_at = now
        self._sample_tokens -= len(requested)
        return requested

    def _refill_sample_tokens(self, now: float) -> None:
        elapsed_ms = max(0, now - self._refilled_at)
        earned = elapsed_ms * self._samples_per_second / _MS_PER_SECOND
        self._sample_tokens = min(self._samples_per_second, self._sample_tokens + earned)
        self._refilled_at = now

    def _record_run(self, host: _Host, latency_ms: float, now: float) -> None:
        self._record_acceptance(host, accepted=True, now=now)
        host.rejection_hold_ms = 0
        if now - host.observed_at > _STALE_AFTER_MS:
            host.observed_ms = latency_ms
        else:
            host.observed_ms += (latency_ms - host.observed_ms) / 4
        host.observed_at = now

    def _record_acceptance(self, host: _Host, *, accepted: bool, now: float) -> None:
        """Update `sample_error` by comparing the sample with what the host did with a call."""
        if now - host.sampled_at > _STALE_AFTER_MS:
            return
        load = host.in_flight / host.limit
        if load < 1:
            mispredicted = not accepted
        elif load >= 2:
            # The queue of a host side is as long as its limit, so at this load it rejects calls.
            mispredicted = accepted
        else:
            return
        self.sample_error += (mispredicted - self.sample_error) * _ERROR_GAIN
        bound = _DISTRUST_ABOVE_ERROR if self.samples_trusted else _TRUST_BELOW_ERROR
        self.samples_trusted = self.sample_error < bound

    def _host(self, host_id: ids.HostId) -> _Host:
        host = self._by_host_id.get(host_id)
        if host is None:
            host = _Host()
            self._by_host_id[host_id] = host
        return host


def _select_at_random(
    eligible: Sequence[ids.HostId],
    excluded: Collection[ids.HostId],
    rng: Random,
    weights: Mapping[ids.HostId, float] | None,
) -> list[ids.HostId]:
    """Return up to `MAX_COMPARED_HOSTS` distinct hosts in random order."""
    count = len(eligible)
    if count <= MAX_COMPARED_HOSTS:
        return _select_from_usable(eligible, excluded, rng, weights)
    selected: list[ids.HostId] = []
    # Twice as many tries as hosts to compare usually suffice; `_select_from_usable` handles
    # the case that no host is selected.
    tries = MAX_COMPARED_HOSTS * 2
    while tries and len(selected) < MAX_COMPARED_HOSTS:
        tries -= 1
        host_id = eligible[int(rng.random() * count)]
        if host_id in selected or host_id in excluded:
            continue
        if weights is None or rng.random() < weights.get(host_id, 1):
            selected.append(host_id)
    return selected or _select_from_usable(eligible, excluded, rng, weights)


def _select_from_usable(
    eligible: Sequence[ids.HostId],
    excluded: Collection[ids.HostId],
    rng: Random,
    weights: Mapping[ids.HostId, float] | None,
) -> list[ids.HostId]:
    usable = [host_id for host_id in eligible if host_id not in excluded]
    if weights is None:
        return rng.sample(usable, min(MAX_COMPARED_HOSTS, len(usable)))
    usable = [host_id for host_id in usable if weights.get(host_id, 1)]
    if not usable:
        return []
    probabilities = [weights.get(host_id, 1) for host_id in usable]
    selected = [
        host_id
        for host_id, probability in zip(usable, probabilities, strict=True)
        if rng.random() < probability
    ]
    if selected:
        return rng.sample(selected, min(MAX_COMPARED_HOSTS, len(selected)))
    return rng.choices(usable, probabilities)


class HostInZone(Protocol):
    """Attributes of a member that subsetting reads."""

    @property
    def host_id(self) -> ids.HostId:
        """Id of the host."""

    @property
    def zone(self) -> ids.ZoneName:
        """Availability zone of the host."""


MemberT = TypeVar('MemberT', bound=HostInZone)


def subset(
    members: Iterable[MemberT],
    local_host_id: ids.HostId,
    local_zone: ids.ZoneName,
    size: int = SUBSET_SIZE,
) -> tuple[MemberT, ...]:
    """Return the members that this entry side sends calls to, selected by rendezvous hashing.

    Members of the local zone are preferred. Some places are reserved for other zones, and the
    result spans at least two zones if there are two. Adding or removing a member changes only a
    few places.

    Args:
        members: Members of the service in any order.
        local_host_id: Host of this entry side.
        local_zone: Availability zone of this entry side.
        size: Maximum number of members; at least 2 to span zones.

    Returns:
        The selected members, those of the local zone first.
    """
    seed = xxhash.xxh3_64_intdigest(local_host_id.encode())
    ranked = sorted(
        members,
        key=lambda member: (
            xxhash.xxh3_64_intdigest(member.host_id.encode(), seed),
            member.host_id,
        ),
    )
    in_local_zone = [member for member in ranked if member.zone == local_zone]
    in_other_zones = [member for member in ranked if member.zone != local_zone]
    other_zone_places = min(
        len(in_other_zones), max(size // _OTHER_ZONES_DIVISOR, size - len(in_local_zone), 1)
    )
    chosen_in_local_zone = in_local_zone[: size - other_zone_places]
    chosen_in_other_zones = in_other_zones[:other_zone_places]
    if not chosen_in_local_zone and len({member.zone for member in chosen_in_other_zones}) == 1:
        zone = chosen_in_other_zones[0].zone
        alternatives = [member for member in in_other_zones if member.zone != zone]
        if alternatives:
            chosen_in_other_zones[-1] = alternatives[0]
    return (*chosen_in_local_zone, *chosen_in_other_zones)
