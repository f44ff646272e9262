"""Room of a service by zone, from what its hosts have reported."""

from __future__ import annotations

import collections
from collections.abc import Sequence

from anvillug import clock, ids, median
from anvillug.process import host_choice, peer_table, zone_share

_NORMAL_SLOWNESS = 100.0


def slowness(peer: peer_table.Peer, now: clock.Milliseconds) -> float:
    """Return how slow work is expected to be at a host, whatever its zone; 100 is normal."""
    origin = host_choice.Origin(peer.announcement.zone, 0)
    return host_choice.expected_slowness(peer, origin, now)


def by_zone(
    hosts: Sequence[peer_table.Peer], work_ms: float, now: clock.Milliseconds
) -> zone_share.Rooms:
    """Return the room of each zone that has hosts.

    Args:
        hosts: All hosts of the service that may get work of any request.
        work_ms: Usual time of a request on a host that is not slow.
        now: Monotonic time.
    """
    hosts_by_zone: dict[ids.ZoneName, list[peer_table.Peer]] = collections.defaultdict(list)
    for host in hosts:
        hosts_by_zone[host.announcement.zone].append(host)
    return {zone: _room(members, work_ms, now) for zone, members in hosts_by_zone.items()}


def _room(
    hosts: Sequence[peer_table.Peer], work_ms: float, now: clock.Milliseconds
) -> zone_share.ZoneRoom:
    """Return the room of one zone; it has no slots if no available host has reported a load.

    Available hosts without a known load are assumed to be like the others.
    """
    available = [
        host for host in hosts if host.avoid_until <= now and not host.is_unresponsive(now)
    ]
    known = [host for host in available if host.load is not None]
    if not known:
        return zone_share.ZoneRoom(0, 0, work_ms, 0)
    scale = len(available) / len(known)
    busy = sum(max(host.outstanding, host.load.running + host.load.waiting) for host in known)
    # Requests are sent to the faster hosts, so that a slow minority says little about the zone.
    typical_slowness = median.of(slowness(host, now) for host in known)
    return zone_share.ZoneRoom(
        slots=round(scale * sum(host.load.slots for host in known)),
        busy=scale * busy,
        work_ms=work_ms * typical_slowness / _NORMAL_SLOWNESS,
        age_ms=median.of(now - host.load_reported_at for host in known),
    )
