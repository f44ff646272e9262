"""Selects a host for a job by the most recently reported load of its backend server."""

from __future__ import annotations

import math
import random
from collections.abc import Iterator, Sequence
from typing import NamedTuple

from anvillug import clock, ids
from anvillug.process import peer_table
from anvillug.request import dialect

# Hosts sampled for one selection, so that the cost of a call does not grow with their number.
_SAMPLED_HOSTS = 32
# Hosts of the sample that are compared. If all were compared, every node would send its jobs to
# the same host.
_COMPARED_HOSTS = 5
# How many of them are taken from the caller's zone if it has that many; more if other zones have
# too few.
_COMPARED_LOCAL_HOSTS = 3
_COMPARED_REMOTE_HOSTS = _COMPARED_HOSTS - _COMPARED_LOCAL_HOSTS
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
    counts = (_COMPARED_LOCAL_HOSTS, _COMPARED_REMOTE_HOSTS)
    local, remote = sample_by_zone(peers, origin.zone, counts, now, rng)
    compared = local[: max(_COMPARED_LOCAL_HOSTS, _COMPARED_HOSTS - len(remote))]
    compared += remote[: _COMPARED_HOSTS - len(compared)]
    return min(compared, key=lambda host: expected_slowness(host, origin, now), default=None)


def sample_by_zone(
    peers: Sequence[peer_table.Peer],
    zone: ids.ZoneName,
    counts: tuple[int, int],
    now: clock.Milliseconds,
    rng: random.Random,
) -> tuple[list[peer_table.Peer], list[peer_table.Peer]]:
    """Return hosts of a zone and hosts of others from a sample of the available ones.

    Args:
        peers: Hosts that may be selected.
        zone: The zone.
        counts: How many of the zone and of others are enough, so that the sample ends; one of them
            may be more, and both less if there are too few.
        now: Monotonic time.
        rng: Random number generator.
    """
    enough_local, enough_remote = counts
    local: list[peer_table.Peer] = []
    remote: list[peer_table.Peer] = []
    for peer in sample(peers, now, rng):
        (local if peer.announcement.zone == zone else remote).append(peer)
        if len(local) >= enough_local and len(remote) >= enough_remote:
            break
    return local, remote


def sample(
    peers: Sequence[peer_table.Peer], now: clock.Milliseconds, rng: random.Random
) -> Iterator[peer_table.Peer]:
    """Yield a sample of the available hosts, in random order.

    Without an available host in the sample, it consists of all that are, or else of others.
    """
    # Drawn one by one as by `rng.sample`, which does the same up to some 270 hosts, since most
    # selections need a part of the sample. Random order selects equal hosts equally often.
    rest = list(peers)
    found = False
    for last in range(len(rest) - 1, max(-1, len(rest) - 1 - _SAMPLED_HOSTS), -1):
        place = rng.randrange(last + 1)
        peer = rest[place]
        rest[place] = rest[last]
        if peer.avoid_until <= now and not peer.is_unresponsive(now):
            found = True
            yield peer
    if not found:
        yield from _last_resorts(rng.sample(peers, len(peers)), now)


def _last_resorts(
    peers: Sequence[peer_table.Peer], now: clock.Milliseconds
) -> Sequence[peer_table.Peer]:
    """Return available nodes, or else nodes that timed out, or else nodes to be avoided."""
    usable = [peer for peer in peers if peer.avoid_until <= now]
    return [peer for peer in usable if not peer.is_unresponsive(now)] or usable or peers


def expected_slowness(peer: peer_table.Peer, origin: Origin, now: clock.Milliseconds) -> float:
    """Return how slow work is expected to be at a host; 100 is normal."""
    slowness = local_slowness(peer, now)
    if peer.announcement.zone != origin.zone:
        slowness += _OTHER_ZONE_SLOWNESS + origin.body_kb * _OTHER_ZONE_SLOWNESS_PER_KB
    return slowness


def local_slowness(peer: peer_table.Peer, now: clock.Milliseconds) -> float:
    """Return how slow work is expected to be at a host, whatever its zone; 100 is normal."""
    load = peer.load
    slowness = _MEAN_SLOWNESS
    if load is not None:
        age_ms = now - peer.load_reported_at
        if age_ms > 0:
            weight = math.exp(-age_ms / _LOAD_DECAY_MS)
            slowness = load.slowness * weight + _MEAN_SLOWNESS * (1 - weight)
        else:
            slowness = load.slowness
        slowness *= 1 + load.fault_share * _FAULT_FACTOR
        utilization = busy(peer, load) / (load.slots or 1)
        if utilization > _SLOWDOWN_UTILIZATION:
            slowness *= 1 + (utilization - _SLOWDOWN_UTILIZATION) * _UTILIZATION_FACTOR
    return slowness * _COLD_FACTOR if peer.announcement.cold else slowness


def busy(peer: peer_table.Peer, load: dialect.ReportedLoad) -> int:
    """Return how many requests a host has: those that it reports, or more that were sent since."""
    reported = load.running + load.waiting
    return reported if reported > peer.outstanding else peer.outstanding
