"""State of the other nodes, as reported by their beacons and responses."""

from __future__ import annotations

import collections
import dataclasses
import operator
from collections.abc import Sequence
from typing import NamedTuple

from anvillug import clock, event_log, ids
from anvillug.process import leave_record, upstream
from anvillug.request import dialect
from anvillug.version import directives

NEAR_BEACON_INTERVAL_MS = 200.0
"""Maximum time in milliseconds between two beacons to a node that needs the current load."""

# A node has timed out when two beacons in a row are missing, although both may have been lost
# in transit.
_TIMEOUT_INTERVALS = 2.75
# A beacon is overdue after this many intervals: timers fire a few milliseconds late.
_OVERDUE_INTERVALS = 1.2
# Nodes of a zone with this many hosts of a service select among those. Of hosts in other zones
# they need to know only that they exist.
_MIN_ZONE_HOSTS = 6
# Overdue beacons of so many nodes of a zone were not all lost in transit by chance.
_MIN_CUT_PEERS = 3
_MIN_CUT_MS = NEAR_BEACON_INTERVAL_MS * _TIMEOUT_INTERVALS
# Beacons are in transit for less time than this, and a restart takes longer.
_MIN_RESTART_PAUSE_MS = 300.0
_MAX_FORMER_INCARNATIONS = 8
# A node that has sent no beacon for this long is removed.
_EXPIRY_MS = 60_000.0
# A failed connection attempt or a broken connection excludes a node from selection for this time.
_AVOID_MS = 250.0


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """State of a node, as sent in its beacons."""

    host_id: ids.HostId
    """Name of the host."""
    incarnation: ids.Incarnation
    """Start time of the node's process."""
    sequence: int
    """Sequence number of the beacon, counted per process."""
    peer_address: str
    """IP:port for requests of other nodes."""
    beacon_address: str
    """IP:port for beacons."""
    zone: ids.ZoneName
    """Availability zone."""
    service: ids.ServiceName
    """Service of the node's backend server."""
    version: ids.VersionName
    """Version of the backend server."""
    instance: ids.InstanceId
    """Instance id of the backend server, different after each of its starts."""
    state: upstream.UpstreamState
    """Whether the node accepts jobs."""
    cold: bool
    """Whether the backend server is cold, so that its rate is limited."""
    load: dialect.ReportedLoad | None
    """Most recently reported load of the backend server; None if none was reported."""
    load_age_ms: float
    """Age of that load in milliseconds."""
    position: directives.Position
    """Position of the directives in effect."""
    reaches_log: bool = True
    """Whether the node's last attempt to read the log succeeded, or none was made."""
    pace_ms: float = NEAR_BEACON_INTERVAL_MS
    """Maximum time in milliseconds until the next beacon to this receiver."""


class LoadNotice(NamedTuple):
    """Load of a node, sent between two announcements."""

    host_id: ids.HostId
    """Name of the host."""
    incarnation: ids.Incarnation
    """Start time of the node's process."""
    sequence: int
    """Sequence number of the beacon, counted per process."""
    load: dialect.ReportedLoad | None
    """Most recently reported load of the backend server; None if none was reported."""
    load_age_ms: float
    """Age of that load in milliseconds."""


class BeaconTargets(NamedTuple):
    """Addresses that a node sends its beacons to."""

    near: list[str]
    """Nodes that consider the sender's load when they select a host, and new contacts."""
    other_zones: list[str]
    """Those of `near` that are in other zones, where repeated state is charged as traffic."""
    far: list[str]
    """Nodes with enough hosts in their own zone; they receive beacons less often."""


class Peer:
    """One other node.

    Args:
        announcement: Its first announcement.
        now: Monotonic time.
    """

    def __init__(self, announcement: Announcement, now: clock.Milliseconds) -> None:
        self.announcement = announcement
        """Newest announcement."""
        self.last_received_at = now
        """When the newest beacon arrived."""
        self.load = announcement.load
        """Newest load, from beacons and responses."""
        self.load_reported_at = clock.Milliseconds(now - announcement.load_age_ms)
        """When the backend server reported that load."""
        self.avoid_until = clock.Milliseconds(0)
        """Time until which the node is excluded from selection."""
        self.former_incarnations: collections.deque[ids.Incarnation] = collections.deque(
            maxlen=_MAX_FORMER_INCARNATIONS
        )
        """Processes of the node that newer ones have replaced; their beacons may be delayed."""
        self.leaves: leave_record.LeaveRecord | None = None
        """Leaves that its processes have announced; None if none has announced any record."""
        self.outstanding = 0
        """Jobs that this node has sent there and that have no result yet."""

    @property
    def host_id(self) -> ids.HostId:
        """Name of the host."""
        return self.announcement.host_id

    @property
    def version(self) -> ids.VersionName:
        """Version of the backend server."""
        return self.announcement.version

    def is_unresponsive(self, now: clock.Milliseconds) -> bool:
        """Return whether the node has timed out, so that it is selected only as a last resort."""
        return now - self.last_received_at > self.announcement.pace_ms * _TIMEOUT_INTERVALS

    def is_overdue(self, now: clock.Milliseconds) -> bool:
        """Return whether a beacon of the node is overdue, so that the node may have failed."""
        return now - self.last_received_at > self.announcement.pace_ms * _OVERDUE_INTERVALS

    def record_load(self, load: dialect.ReportedLoad | None, at: clock.Milliseconds) -> None:
        """Store a reported load unless it is older than the stored one."""
        if load is not None and at >= self.load_reported_at:
            self.load = load
            self.load_reported_at = at

    def avoid(self, now: clock.Milliseconds) -> None:
        """Exclude the node from selection for a short time."""
        self.avoid_until = clock.Milliseconds(now + _AVOID_MS)


class PeerTable:
    """All other nodes, by host.

    Args:
        local_host_id: Name of this host.
        time: Clock.
    """

    def __init__(self, local_host_id: ids.HostId, time: clock.Clock) -> None:
        self._local_host_id = local_host_id
        self._clock = time
        self.by_host_id: dict[ids.HostId, Peer] = {}
        """Nodes that have sent a beacon."""
        self.contacts_by_host_id: dict[ids.HostId, str] = {}
        """Beacon addresses from the log, of nodes that have not sent a beacon yet."""
        self._host_ids_by_address: dict[str, ids.HostId] = {}
        # Cache, read for each call; cleared when a peer is added, removed or changed.
        self._serving_by_service: dict[ids.ServiceName, Sequence[Peer]] = {}

    def receive_announcement(self, announcement: Announcement) -> bool:
        """Process an announcement.

        Returns:
            Whether the node is new, or has changed in more than its load.
        """
        if announcement.host_id == self._local_host_id:
            return False
        now = self._clock.now()
        self._host_ids_by_address[announcement.beacon_address] = announcement.host_id
        peer = self.by_host_id.get(announcement.host_id)
        if peer is None:
            self.by_host_id[announcement.host_id] = Peer(announcement, now)
            self._serving_by_service.clear()
            self.contacts_by_host_id.pop(announcement.host_id, None)
            event_log.emit(
                'peer_found',
                peer=announcement.host_id,
                service=announcement.service,
                state=announcement.state.value,
            )
            return True
        previous = peer.announcement
        order = (announcement.incarnation, announcement.sequence)
        # A process that starts while its wall clock is behind has a lower incarnation.
        restarted = announcement.incarnation != previous.incarnation
        replaces = restarted and now - peer.last_received_at > _MIN_RESTART_PAUSE_MS
        is_older = order <= (previous.incarnation, previous.sequence) and not replaces
        if is_older or announcement.incarnation in peer.former_incarnations:
            return False
        if restarted:
            peer.former_incarnations.append(previous.incarnation)
        changed = _tracked_fields(announcement) != _tracked_fields(previous)
        _check_regained(peer, now)
        peer.announcement = announcement
        peer.last_received_at = now
        peer.record_load(announcement.load, clock.Milliseconds(now - announcement.load_age_ms))
        if changed:
            self._serving_by_service.clear()
            event_log.emit(
                'peer_changed',
                peer=announcement.host_id,
                state=announcement.state.value,
                instance=announcement.instance,
                version=announcement.version,
                cold=announcement.cold,
            )
        return changed

    def host_at(self, beacon_address: str) -> ids.HostId | None:
        """Return the host whose newest announcement names an address for beacons."""
        return self._host_ids_by_address.get(beacon_address)

    def receive_load(self, notice: LoadNotice) -> bool:
        """Process a load notice; ignored unless its process has sent an announcement.

        Returns:
            Whether the process is known and had not timed out, so that its state is known too.
        """
        peer = self.by_host_id.get(notice.host_id)
        if peer is None or peer.announcement.incarnation != notice.incarnation:
            return False
        now = self._clock.now()
        is_current = not _check_regained(peer, now)
        peer.last_received_at = now
        peer.record_load(notice.load, clock.Milliseconds(now - notice.load_age_ms))
        return is_current

    def add_contact(self, host_id: ids.HostId, beacon_address: str) -> None:
        """Add the address of a node, unless the node has sent a beacon already."""
        if host_id != self._local_host_id and host_id not in self.by_host_id:
            self.contacts_by_host_id[host_id] = beacon_address

    def of_service(self, service: ids.ServiceName) -> Sequence[Peer]:
        """Return the nodes of a service that accept jobs."""
        serving = self._serving_by_service.get(service)
        if serving is None:
            serving = tuple(
                peer
                for peer in self.by_host_id.values()
                if peer.announcement.service == service
                and peer.announcement.state is upstream.UpstreamState.SERVING
            )
            self._serving_by_service[service] = serving
        return serving

    def beacon_targets(self, zone: ids.ZoneName, service: ids.ServiceName) -> BeaconTargets:
        """Return the addresses to send this node's beacons to.

        Args:
            zone: Zone of this node.
            service: Service of this node's backend server.
        """
        hosts_by_zone = collections.Counter(
            peer.announcement.zone for peer in self.of_service(service)
        )
        near = list(self.contacts_by_host_id.values())
        other_zones = []
        far = []
        for peer in self.by_host_id.values():
            peer_zone = peer.announcement.zone
            address = peer.announcement.beacon_address
            if peer_zone == zone:
                near.append(address)
            elif hosts_by_zone[peer_zone] >= _MIN_ZONE_HOSTS:
                far.append(address)
            else:
                other_zones.append(address)
        return BeaconTargets(near + other_zones, other_zones, far)

    def is_known_process(self, announcement: Announcement) -> bool:
        """Return whether the process that sent an announcement has sent one before."""
        peer = self.by_host_id.get(announcement.host_id)
        return peer is not None and peer.announcement.incarnation == announcement.incarnation

    def live_by_zone(self) -> dict[ids.ZoneName, list[Peer]]:
        """Return the live nodes, except those of zones that seem to be cut off.

        One far node times out only after several seconds. That beacons of all nodes of a zone are
        overdue is noticed sooner.
        """
        now = self._clock.now()
        live_by_zone = collections.defaultdict(list)
        for peer in self.by_host_id.values():
            if not peer.is_unresponsive(now):
                live_by_zone[peer.announcement.zone].append(peer)
        return {
            zone: peers for zone, peers in live_by_zone.items() if not _seem_cut_off(peers, now)
        }

    def expire_peers(self) -> None:
        """Remove the nodes that have sent no beacon within the expiry time."""
        oldest = self._clock.now() - _EXPIRY_MS
        for host_id, peer in tuple(self.by_host_id.items()):
            if peer.last_received_at < oldest:
                event_log.emit('peer_forgotten', peer=host_id)
                self.by_host_id.pop(host_id)
                if self.host_at(peer.announcement.beacon_address) == host_id:
                    self._host_ids_by_address.pop(peer.announcement.beacon_address)
                self._serving_by_service.clear()


def _check_regained(peer: Peer, now: clock.Milliseconds) -> bool:
    """Return whether a node that has sent a beacon had timed out, and log it."""
    if not peer.is_unresponsive(now):
        return False
    silent_ms = int(now - peer.last_received_at)
    event_log.emit('peer_regained', peer=peer.host_id, silent_ms=silent_ms)
    return True


def _seem_cut_off(peers: Sequence[Peer], now: clock.Milliseconds) -> bool:
    """Return whether beacons of all peers of a zone are overdue."""
    return len(peers) >= _MIN_CUT_PEERS and all(
        peer.is_overdue(now) and now - peer.last_received_at > _MIN_CUT_MS for peer in peers
    )


# Fields of an announcement whose change is logged and reported to the caller of
# `receive_announcement`.
_tracked_fields = operator.attrgetter(
    'incarnation', 'service', 'state', 'instance', 'version', 'cold'
)
