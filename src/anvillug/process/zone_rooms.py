"""Room of a service by zone, from what its hosts have reported."""

from __future__ import annotations

import collections
from collections.abc import Sequence

from anvillug import clock, ids, median
from anvillug.process import host_choice, peer_table, zone_share
from anvillug.request import dialect


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
    available = 0
    known = 0
    slots = 0
    busy = 0
    slownesses = []
    ages_ms = []
    for host in hosts:
        if host.avoid_until > now or host.is_unresponsive(now):
            continue
        available += 1
        load = host.load
        if load is not None:
            known += 1
            slots += load.slots
            busy += host_choice.busy(host, load)
            slownesses.append(host_choice.local_slowness(host, now))
            ages_ms.append(now - host.load_reported_at)
    if not known:
        return zone_share.ZoneRoom(0, 0, work_ms, 0)
    scale = available / known
    # Requests are sent to the faster hosts, so that a slow minority says little about the zone.
    typical_slowness = median.of(slownesses)
    return zone_share.ZoneRoom(
        slots=round(scale * slots),
        busy=scale * busy,
        work_ms=work_ms * typical_slowness / dialect.NORMAL_SLOWNESS,
        age_ms=median.of(ages_ms),
    )
