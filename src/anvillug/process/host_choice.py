"""Selects a host for a job by the most recently reported load of its backend server."""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from typing import NamedTuple

from anvillug import clock, ids
from anvillug.process import peer_table

# Hosts sampled for one selection, so that the cost of a call does not grow with their number.
_SAMPLED_HOSTS = 32
# Hosts of the sample that are compared. If all were compared, every node would send its jobs to
# the same host.
_COMPARED_HOSTS = 5
# How many of them are taken from the caller's zone if it has that many; more if other zones have
# too few.
_COMPARED_LOCAL_HOSTS = 3
# Mean slowness over all hosts. The older a reported load is, the more this is assumed instead.
_MEAN_SLOWNESS = 160.0
# Decay time of a reported load: noisy neighbours on the machines change about twice a second.
_LOAD_DECAY_MS = 500.0
# Slowness added for a host in another zone, since bytes between zones are charged.
_OTHER_ZONE_SLOWNESS = 15.0
_OTHER_ZONE_SLOWNESS_PER_KB = 2.0
# Above this utilization of the slots, work begins to slow down.
_SLOWDOWN_UTILIZATION = 0.75
_UTILIZATION_FACTOR = 2.0
# A host that fails or delays one request in eight counts as twice as slow: a failed request is
# lost or has to be retried on another host.
_FAULT_FACTOR = 8.0
# Work takes about twice as long on a cold backend server.
_COLD_FACTOR = 2.0


class Origin(NamedTuple):
    """Where a job comes from, and the size that counts if it is sent to another zone."""

    zone: ids.ZoneName
    """Zone of the caller."""
    body_kb: float
    """Size of the body in KiB."""


def choose(
    peers: Sequence[peer_table.Peer],
    origin: Origin,
    now: clock.Milliseconds,
    rng: random.Random,
) -> peer_table.Peer | None:
    """Return the best of a few sampled hosts, None if there are no hosts.

    Args:
        peers: Hosts that may be selected.
        origin: Where the job comes from.
        now: Monotonic time.
        rng: Random number generator.
    """
    candidates = sample(peers, now, rng)
    local = [peer for peer in candidates if peer.announcement.zone == origin.zone]
    remote = [peer for peer in candidates if peer.announcement.zone != origin.zone]
    compared = local[: max(_COMPARED_LOCAL_HOSTS, _COMPARED_HOSTS - len(remote))]
    compared += remote[: _COMPARED_HOSTS - len(compared)]
    return min(compared, key=lambda peer: expected_slowness(peer, origin, now), default=None)


def sample(
    peers: Sequence[peer_table.Peer], now: clock.Milliseconds, rng: random.Random
) -> Sequence[peer_table.Peer]:
    """Return a sample of the available hosts, in random order.

    Without an available host in the sample, it consists of all that are, or else of others.
    """
    # Sampling also shuffles, so that equal hosts are selected equally often.
    sampled = rng.sample(peers, min(len(peers), _SAMPLED_HOSTS))
    return _available(sampled, now) or _last_resorts(rng.sample(peers, len(peers)), now)


def _available(
    peers: Sequence[peer_table.Peer], now: clock.Milliseconds
) -> Sequence[peer_table.Peer]:
    return [peer for peer in peers if peer.avoid_until <= now and not peer.is_unresponsive(now)]


def _last_resorts(
    peers: Sequence[peer_table.Peer], now: clock.Milliseconds
) -> Sequence[peer_table.Peer]:
    """Return available nodes, or else nodes that timed out, or else nodes to be avoided."""
    return _available(peers, now) or [peer for peer in peers if peer.avoid_until <= now] or peers


def expected_slowness(peer: peer_table.Peer, origin: Origin, now: clock.Milliseconds) -> float:
    """Return how slow work is expected to be at a host; 100 is normal."""
    load = peer.load
    announcement = peer.announcement
    if load is None:
        slowness = _MEAN_SLOWNESS
        utilization = 0.0
    else:
        weight = math.exp(-max(0.0, now - peer.load_reported_at) / _LOAD_DECAY_MS)
        slowness = load.slowness * weight + _MEAN_SLOWNESS * (1 - weight)
        slowness *= 1 + load.fault_share * _FAULT_FACTOR
        utilization = max(load.running + load.waiting, peer.outstanding) / max(1, load.slots)
    if utilization > _SLOWDOWN_UTILIZATION:
        slowness *= 1 + (utilization - _SLOWDOWN_UTILIZATION) * _UTILIZATION_FACTOR
    if announcement.cold:
        slowness *= _COLD_FACTOR
    if announcement.zone != origin.zone:
        slowness += _OTHER_ZONE_SLOWNESS + origin.body_kb * _OTHER_ZONE_SLOWNESS_PER_KB
    return slowness
