"""Choice of a host by the load that its backend server told last."""

from __future__ import annotations

import dataclasses
import math
import random
from collections.abc import Sequence

from anvillug import clock, ids
from anvillug.process import peer_table

# Hosts that are looked at for one choice; the work for a call stays the same as hosts are added.
_DRAWN_HOSTS = 32
# Hosts of those that are compared; comparing all would send every node's jobs to the same one.
_COMPARED_HOSTS = 5
# As many of them are in the caller's own zone, where it has that many; more where others lack.
_COMPARED_NEAR = 3
# Mean slowness over all hosts, which old samples are taken to have returned to.
_MEAN_SLOWNESS = 160.0
# Neighbours change about twice a second.
_SAMPLE_LIFE_MS = 500.0
# Slowness that a faster host in another zone has to make up for; bytes between zones are priced.
_OTHER_ZONE_SLOWNESS = 15.0
_OTHER_ZONE_SLOWNESS_PER_KB = 2.0
# Above this share of busy slots, work begins to slow down.
_BUSY_FROM = 0.75
_BUSY_FACTOR = 2.0
# A host that fails or delays one request in eight counts as twice as slow: a failed request is
# lost, or starts anew elsewhere.
_FAULT_FACTOR = 8.0
# Work takes about twice as long on a cold backend server.
_COLD_FACTOR = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """Where a job comes from, and what it takes to bring it to another zone."""

    zone: ids.ZoneName
    """Zone of the caller."""
    body_kb: float
    """Size of the body in kilobytes."""


def choose(
    peers: Sequence[peer_table.Peer],
    origin: Origin,
    now: clock.Milliseconds,
    rng: random.Random,
) -> peer_table.Peer | None:
    """Return the best of a few hosts, None without any.

    Args:
        peers: Hosts that may be chosen.
        origin: Where the job comes from.
        now: Monotonic time.
        rng: Source of randomness.
    """
    # Sampling also shuffles, so that equal hosts are chosen equally often.
    drawn = rng.sample(peers, min(len(peers), _DRAWN_HOSTS))
    pool = _heard(drawn, now) or _last_resorts(rng.sample(peers, len(peers)), now)
    near = [peer for peer in pool if peer.announcement.zone == origin.zone]
    far = [peer for peer in pool if peer.announcement.zone != origin.zone]
    compared = near[: max(_COMPARED_NEAR, _COMPARED_HOSTS - len(far))]
    compared += far[: _COMPARED_HOSTS - len(compared)]
    return min(compared, key=lambda peer: slowness_of(peer, origin, now), default=None)


def _heard(peers: Sequence[peer_table.Peer], now: clock.Milliseconds) -> Sequence[peer_table.Peer]:
    return [peer for peer in peers if peer.avoid_until <= now and not peer.is_silent(now)]


def _last_resorts(
    peers: Sequence[peer_table.Peer], now: clock.Milliseconds
) -> Sequence[peer_table.Peer]:
    """Return the nodes that may still answer: those that are heard, then the silent ones."""
    return _heard(peers, now) or [peer for peer in peers if peer.avoid_until <= now] or peers


def slowness_of(peer: peer_table.Peer, origin: Origin, now: clock.Milliseconds) -> float:
    """Return how long work is expected to take at a host, 100 as usual."""
    load = peer.load
    announcement = peer.announcement
    if load is None:
        slowness = _MEAN_SLOWNESS
        busy = 0.0
    else:
        weight = math.exp(-max(0.0, now - peer.load_reported_at) / _SAMPLE_LIFE_MS)
        slowness = load.slowness * weight + _MEAN_SLOWNESS * (1 - weight)
        slowness *= 1 + load.fault_share * _FAULT_FACTOR
        busy = max(load.running + load.waiting, peer.outstanding) / max(1, load.slots)
    if busy > _BUSY_FROM:
        slowness *= 1 + (busy - _BUSY_FROM) * _BUSY_FACTOR
    if announcement.cold:
        slowness *= _COLD_FACTOR
    if announcement.zone != origin.zone:
        slowness += _OTHER_ZONE_SLOWNESS + origin.body_kb * _OTHER_ZONE_SLOWNESS_PER_KB
    return slowness
