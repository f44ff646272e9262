"""Beacons: UDP datagrams in which a node sends its state and load to the other nodes.

A full beacon carries the complete announcement of the node and extra state. Between full beacons,
shorter load beacons carry the load alone.
"""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Callable
from typing import Any, NamedTuple

import msgpack
from twisted.internet import error as net_error
from twisted.internet import protocol, udp

from anvillug import clock, event_log, ids, wire_value
from anvillug.process import peer_table, upstream, wake_grid
from anvillug.request import dialect
from anvillug.version import directives

# The slowness of a backend server changes several times a second, and the other nodes should
# receive a change within a few tens of milliseconds.
_TICK_MS = wake_grid.INTERVAL_MS
# Interval at which near nodes get a full beacon if they may lack a part of the state.
_FULL_INTERVAL_MS = 500.0
# The same while a rollout shifts all calls: the counts of calls that the beacons carry decide
# whether the rollout is rolled back.
_ROLLOUT_INTERVAL_MS = 150.0
# Interval at which the same is checked for near nodes of other zones, where bytes are charged.
_OTHER_ZONES_INTERVAL_MS = 2000.0
# Intervals of beacons to far nodes; see `peer_table.BeaconTargets`. With the shorter intervals
# above, the traffic of beacons would grow with the square of the number of nodes in a deployment.
_FAR_INTERVAL_MS = 2000.0
_FAR_ROLLOUT_INTERVAL_MS = 1000.0
# A full beacon takes twice the processor time of a load beacon and several times its bytes. While
# the state stays the same, full beacons are sent only so often. After a change they are repeated
# this many times, since datagrams may be lost; bytes between zones are charged.
_UNCHANGED_INTERVAL_MS = 2000.0
_REPEATS = 3
_OTHER_ZONES_UNCHANGED_INTERVAL_MS = 30_000.0
_OTHER_ZONES_REPEATS = 1
# Relative change of the slowness, and absolute change of the share of faulty runs, above which the
# load is sent at the next tick.
_SLOWNESS_CHANGE_RATIO = 0.2
_FAULT_SHARE_CHANGE = 0.1
_MAX_BEACONS_PER_SECOND = 120.0  # bounds the CPU time as nodes are added
_MS_PER_SECOND = 1000.0
_NEVER = clock.Milliseconds(0)
_PERCENT = 100
MAX_BYTES = 2400
"""Maximum size of a datagram; it is fragmented above 1200 bytes."""
_SEND_ERRORS = (OSError, ValueError, net_error.MessageLengthError)
# Key of the additional state by which a node asks for the state of the receiver.
_ASKS = '?'
MALFORMED_ERRORS = (ValueError, TypeError, LookupError, msgpack.UnpackException)
"""Errors of decoding a beacon or a part of one."""


class Need(enum.Enum):
    """How soon the other nodes need the extra state."""

    NONE = 'none'
    """It has not changed since they received it."""
    SOON = 'soon'
    """It changes with each call, and decisions are based on it."""
    AT_ONCE = 'at once'
    """A decision about all calls of a service is due."""


ExtraState = dict[str, Any]
"""Additional state that full beacons carry, by topic."""


class LoadBeacon(NamedTuple):
    """Load of a node between two announcements; its host is known by the sender's address."""

    incarnation: ids.Incarnation
    """Start time of the node's process."""
    sequence: int
    """Sequence number of the beacon, counted per process."""
    load: dialect.ReportedLoad | None
    """Most recently reported load of the backend server; None if none was reported."""
    load_age_ms: float
    """Age of that load in milliseconds."""


Message = LoadBeacon | tuple[peer_table.Announcement, ExtraState]


class BeaconTask(protocol.DatagramProtocol):
    """Sends the beacons of this node and receives those of other nodes.

    Args:
        reactor: Twisted reactor.
        time: Clock.
        local_announcement: Returns the announcement of this node; the task sets its sequence and
            pace.
        peers: Other nodes.
        extra_state: Returns the extra state to send.
        lasting_state: Returns the part of the extra state that other nodes have to learn when it
            changes: all but ages and times.
        on_extra_state: Called with the announcement and extra state of another node.
        need: Returns how soon the other nodes need the extra state.
        reply: Called with the host and the extra state of another node; returns state that it
            lacks, which is sent to it at once.
        delay_s: Returns the delay of the next tick; see `wake_grid.WakeGrid`.
    """

    def __init__(  # noqa: WPS211 - callbacks keep the task independent of what it sends
        self,
        reactor: Any,
        time: clock.Clock,
        local_announcement: Callable[[], peer_table.Announcement],
        peers: peer_table.PeerTable,
        extra_state: Callable[[], ExtraState],
        lasting_state: Callable[[], Any],
        on_extra_state: Callable[[peer_table.Announcement, ExtraState], None],
        need: Callable[[], Need],
        reply: Callable[[ids.HostId, ExtraState], ExtraState],
        delay_s: Callable[[float], float] = wake_grid.unaligned,
    ) -> None:
        self._reactor = reactor
        self._clock = time
        self._local_announcement = local_announcement
        self._peers = peers
        self._extra_state = extra_state
        self._lasting_state = lasting_state
        self._on_extra_state = on_extra_state
        self._need = need
        self._reply = reply
        self._delay_s = delay_s
        self._sequence = 0
        self._malformed_count = 0
        self._last_sent_load: dialect.ReportedLoad | None = None
        self._load_sent_at = _NEVER
        self._near_sent_at = _NEVER
        self._far_sent_at = _NEVER
        # Beacons to the own zone and to far nodes are sent at the interval of their checks.
        self._zone_repeats = _Repeats(0, _UNCHANGED_INTERVAL_MS, _REPEATS)
        self._other_zones_repeats = _Repeats(
            _OTHER_ZONES_INTERVAL_MS, _OTHER_ZONES_UNCHANGED_INTERVAL_MS, _OTHER_ZONES_REPEATS
        )
        self._far_repeats = _Repeats(0, _OTHER_ZONES_UNCHANGED_INTERVAL_MS, _OTHER_ZONES_REPEATS)
        # Updated for each full beacon, and reused for the load beacons between them.
        self._targets = peer_table.BeaconTargets([], [], [])

    def start(self) -> None:
        """Start sending; the port is open."""
        if isinstance(self.transport, udp.Port):
            # Each datagram would wake the process.
            self.transport.stopReading()
        self._tick()

    def receive_pending(self) -> None:
        """Receive the beacons that have arrived; called at each tick and before they are needed."""
        if isinstance(self.transport, udp.Port) and self.transport.connected:
            self.transport.doRead()

    def send_now(self) -> None:
        """Send a full beacon to all nodes at once, after a change that they need to receive."""
        self.send_near()
        self.send_far()

    def send_near(self) -> None:
        """Send a full beacon at once to the nodes that choose this one by its load."""
        self._update_targets()
        announcement = self._next_near_announcement()
        self._zone_repeats.sent(self._near_sent_at)
        self._other_zones_repeats.sent(self._near_sent_at)
        self._send(encode(announcement, self._extra_state()), self._targets.near)

    def send_far(self) -> None:
        """Send a full beacon at once to the nodes that `send_near` leaves out."""
        self._update_targets()
        now = self._clock.now()
        self._far_sent_at = now
        self._far_repeats.sent(now)
        if self._targets.far:
            extra_state = self._extra_state()
            announcement = self._next_announcement(_FAR_INTERVAL_MS)
            self._send(encode(announcement, extra_state), self._targets.far)

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802
        """Receive a beacon; see Twisted."""
        try:
            message = decode(datagram)
        except MALFORMED_ERRORS as error:
            self._malformed_count += 1
            event_log.warn(
                'beacon_malformed', sender=addr[0], reason=error, count=self._malformed_count
            )
            return
        if isinstance(message, LoadBeacon):
            self._receive_load(message, f'{addr[0]}:{addr[1]}')
            return
        announcement, extra_state = message
        was_known = self._peers.is_known_process(announcement)
        self._peers.receive_announcement(announcement)
        # Processes that are not accepted, such as this one, would be introduced again and again.
        if self._peers.is_known_process(announcement):
            reply = self._reply(announcement.host_id, extra_state)
            if reply or not was_known or _ASKS in extra_state:
                self._introduce(announcement.beacon_address, reply)
        self._on_extra_state(announcement, extra_state)

    def _receive_load(self, message: LoadBeacon, sender: str) -> None:
        host_id = self._peers.host_at(sender)
        is_current = host_id is not None and self._peers.receive_load(
            peer_table.LoadNotice(host_id, *message)
        )
        if not is_current:
            # Each may lack what the other has sent in full.
            self._introduce(sender, {_ASKS: 1})

    @property
    def _min_interval_ms(self) -> float:
        """Shortest interval in milliseconds between beacons that keeps their rate in the limit."""
        return len(self._targets.near) * _MS_PER_SECOND / _MAX_BEACONS_PER_SECOND

    def _tick(self) -> None:
        # First, so that a failure does not end the task.
        self._reactor.callLater(self._delay_s(_TICK_MS), self._tick)
        self.receive_pending()
        now = self._clock.now()
        need = self._need()
        urgent = need is Need.AT_ONCE
        interval_ms = _ROLLOUT_INTERVAL_MS if urgent else _FULL_INTERVAL_MS
        if now - self._near_sent_at >= max(interval_ms, self._min_interval_ms):
            if need is Need.NONE:
                self._repeat_near(now)
            else:
                self.send_near()
            self._peers.expire_peers()
        elif now - self._load_sent_at >= self._min_interval_ms:
            self._send_load_if_due(now)
        if now - self._far_sent_at >= (_FAR_ROLLOUT_INTERVAL_MS if urgent else _FAR_INTERVAL_MS):
            self._repeat_far(now, need)

    def _repeat_near(self, now: clock.Milliseconds) -> None:
        """Send full beacons to the near nodes that may lack a part of the state, else the load."""
        self._update_targets()
        announcement = self._next_near_announcement()
        state = self._lasting(announcement)
        near = self._targets.near
        with_full: set[str] = set()
        if self._zone_repeats.is_due(state, now):
            with_full.update(near)
            with_full.difference_update(self._targets.other_zones)
        if self._other_zones_repeats.is_due(state, now):
            with_full.update(self._targets.other_zones)
        if with_full:
            full = encode(announcement, self._extra_state())
            self._send(full, [address for address in near if address in with_full])
        load = encode_load(announcement)
        self._send(load, [address for address in near if address not in with_full])

    def _repeat_far(self, now: clock.Milliseconds, need: Need) -> None:
        """Send far nodes a full beacon if they may lack a part of the state, else a short one."""
        state = self._lasting(self._local_announcement())
        if self._far_repeats.is_due(state, now) or need is not Need.NONE:
            self.send_far()
        else:
            self._update_targets()
            self._far_sent_at = now
            # The load tells far nodes how much room the zone has for work of theirs.
            self._send(encode_load(self._next_announcement()), self._targets.far)

    def _lasting(self, announcement: peer_table.Announcement) -> Any:
        """Return what other nodes have to learn when it changes."""
        lasting = dataclasses.replace(announcement, sequence=0, load=None, load_age_ms=0, pace_ms=0)
        return lasting, self._lasting_state()

    def _next_near_announcement(self) -> peer_table.Announcement:
        now = self._clock.now()
        self._near_sent_at = now
        self._load_sent_at = now
        announcement = self._next_announcement(
            max(peer_table.NEAR_BEACON_INTERVAL_MS, self._min_interval_ms)
        )
        self._last_sent_load = announcement.load
        return announcement

    def _introduce(self, address: str, reply: ExtraState) -> None:
        """Send a full beacon to one process, such as one that is heard for the first time.

        Args:
            address: Address for its beacons.
            reply: Extra state for this process only.
        """
        self._update_targets()
        is_far = address in self._targets.far
        pace_ms = _FAR_INTERVAL_MS if is_far else peer_table.NEAR_BEACON_INTERVAL_MS
        extra_state = {**self._extra_state(), **reply}
        self._send(encode(self._next_announcement(pace_ms), extra_state), [address])

    def _send_load_if_due(self, now: clock.Milliseconds) -> None:
        """Send the load if it has changed, or if the pace of beacons requires it."""
        local = self._local_announcement()
        is_due = now - self._load_sent_at >= peer_table.NEAR_BEACON_INTERVAL_MS
        if not is_due and not _differs_enough(local.load, self._last_sent_load):
            return
        self._load_sent_at = now
        self._last_sent_load = local.load
        self._send(encode_load(self._next_announcement()), self._targets.near)

    def _update_targets(self) -> None:
        local = self._local_announcement()
        self._targets = self._peers.beacon_targets(local.zone, local.service)

    def _next_announcement(
        self, pace_ms: float = peer_table.NEAR_BEACON_INTERVAL_MS
    ) -> peer_table.Announcement:
        self._sequence += 1
        return dataclasses.replace(
            self._local_announcement(), sequence=self._sequence, pace_ms=pace_ms
        )

    def _send(self, datagram: bytes, addresses: list[str]) -> None:
        for address in addresses:
            host, _, port = address.rpartition(':')
            try:
                self.transport.write(datagram, (host, int(port)))
            except _SEND_ERRORS as error:
                # A full buffer, a missing route or an unusable address; the next beacon replaces
                # this one soon, and the other nodes get theirs.
                event_log.warn('beacon_not_sent', peer=host, reason=error)


class _Repeats:
    """Tells when some receivers may lack a part of the state.

    Args:
        interval_ms: Shortest interval of checks in milliseconds.
        unchanged_interval_ms: Interval in milliseconds after which they may, without a change.
        repeats: Number of times that they may after a change.
    """

    def __init__(self, interval_ms: float, unchanged_interval_ms: float, repeats: int) -> None:
        self._interval_ms = interval_ms
        self._unchanged_interval_ms = unchanged_interval_ms
        self._repeats = repeats
        self._state: Any = None
        self._left = 0
        self._checked_at = _NEVER
        self._sent_at = _NEVER

    def sent(self, now: clock.Milliseconds) -> None:
        """Record that they are sent the whole state."""
        self._checked_at = now
        self._sent_at = now

    def is_due(self, state: Any, now: clock.Milliseconds) -> bool:
        """Return whether they are to be sent the whole state now, which counts as sent then."""
        if now - self._checked_at < self._interval_ms:
            return False
        self._checked_at = now
        if state != self._state:
            self._state = state
            self._left = self._repeats
        if self._left:
            self._left -= 1
        elif now - self._sent_at < self._unchanged_interval_ms:
            return False
        self._sent_at = now
        return True


def _differs_enough(load: dialect.ReportedLoad | None, sent: dialect.ReportedLoad | None) -> bool:
    """Return whether a load differs from the one sent last by enough to be sent at once."""
    if load is None or sent is None:
        return load is not sent
    faults_changed = abs(load.fault_share - sent.fault_share) > _FAULT_SHARE_CHANGE
    return (
        faults_changed
        or abs(load.slowness - sent.slowness) > sent.slowness * _SLOWNESS_CHANGE_RATIO
    )


def encode_load(announcement: peer_table.Announcement) -> bytes:
    """Return the wire form of a load beacon, with the load in whole percent."""
    load = announcement.load
    packed_load = (
        None
        if load is None
        else [
            load.running,
            load.waiting,
            load.slots,
            round(load.slowness),
            round(load.fault_share * _PERCENT),
        ]
    )
    return msgpack.packb(
        [
            announcement.incarnation,
            announcement.sequence,
            packed_load,
            int(announcement.load_age_ms),
        ],
    )


def encode(announcement: peer_table.Announcement, extra_state: ExtraState) -> bytes:
    """Return the wire form of a full beacon: the fields of the announcement and extra state."""
    fields = [getattr(announcement, field.name) for field in _FIELDS]
    load = announcement.load
    packed_load = None if load is None else list(dataclasses.astuple(load))
    fields[_STATE_INDEX] = announcement.state.value
    fields[_LOAD_INDEX] = packed_load
    return msgpack.packb([fields, extra_state])


def decode(datagram: bytes) -> Message:
    """Return the announcement and extra state of a full beacon, or a load beacon.

    Raises:
        ValueError, TypeError, LookupError, msgpack.UnpackException: If the beacon is malformed.
    """
    fields, *rest = msgpack.unpackb(datagram)
    if len(rest) > 1:
        sequence, load, load_age_ms = rest
        return LoadBeacon(
            ids.Incarnation(wire_value.integer(fields, 'incarnation')),
            wire_value.integer(sequence, 'sequence'),
            _unpack_rounded_load(load),
            wire_value.number(load_age_ms, 'load_age_ms'),
        )
    values = [
        _DECODERS_BY_NAME[name](content, name)
        for name, content in zip(_NAMES, fields, strict=False)
    ]
    if len(fields) > len(_NAMES):
        raise ValueError(f'{len(_NAMES)} fields are known, got {len(fields)}')
    return peer_table.Announcement(*values), wire_value.mapping(rest[0], 'extra state')


def _unpack_rounded_load(fields: list[Any] | None) -> dialect.ReportedLoad | None:
    if fields is None:
        return None
    *others, fault_percent = fields
    return dialect.unpack_load([*others, wire_value.number(fault_percent, 'faults') / _PERCENT])


_DECODERS_BY_NAME: dict[str, Callable[[Any, str], Any]] = {
    'host_id': wire_value.text,
    'incarnation': wire_value.integer,
    'sequence': wire_value.integer,
    'peer_address': wire_value.address,
    'beacon_address': wire_value.address,
    'zone': wire_value.text,
    'service': wire_value.text,
    'version': wire_value.text,
    'instance': wire_value.text,
    'state': lambda content, _: upstream.UpstreamState(content),
    'cold': wire_value.boolean,
    'load': lambda content, _: dialect.unpack_load(content),
    'load_age_ms': wire_value.number,
    'position': lambda content, _: directives.unpack_position(content),
    'reaches_log': wire_value.boolean,
    'pace_ms': wire_value.number,
}


_FIELDS = dataclasses.fields(peer_table.Announcement)
_NAMES = [field.name for field in _FIELDS]
_STATE_INDEX = _NAMES.index('state')
_LOAD_INDEX = _NAMES.index('load')
