"""Beacons between nodes: UDP datagrams that carry a node's state and load."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Any

import msgpack
from twisted.internet import protocol

from anvillug import clock, event_log
from anvillug.process import peer_table, upstream
from anvillug.request import dialect

# The slowness of a backend server changes several times a second.
INTERVAL_MS = 50.0
"""Pause between two beacons to each node."""

_MAX_BEACONS_PER_SECOND = 400.0  # keeps the share of a core flat as nodes are added
_MS_PER_SECOND = 1000.0
_MALFORMED = (ValueError, TypeError, LookupError, msgpack.UnpackException)
# Datagrams of this size pass without fragments.
_MAX_BYTES = 1200

Extra = dict[str, Any]
"""Further state that travels with beacons, by topic."""


class BeaconTask(protocol.DatagramProtocol):
    """Sends the beacons of this node and takes those of others.

    Args:
        reactor: Twisted reactor.
        time: Clock.
        own: Returns what this node says of itself, given the sequence number.
        peers: Other nodes.
        port: UDP port.
        extra: Returns further state to send.
        on_extra: Called with the further state of another node.
    """

    def __init__(
        self,
        reactor: Any,
        time: clock.Clock,
        own: Callable[[int], peer_table.Announcement],
        peers: peer_table.PeerTable,
        port: int,
        extra: Callable[[], Extra],
        on_extra: Callable[[peer_table.Announcement, Extra], None],
    ) -> None:
        self._reactor = reactor
        self._clock = time
        self._own = own
        self._peers = peers
        self._port = port
        self._extra = extra
        self._on_extra = on_extra
        self._sequence = 0
        self._malformed = 0

    def start(self, ip: str) -> None:
        """Open the port and start to send."""
        self._reactor.listenUDP(self._port, self, interface=ip, maxPacketSize=2 * _MAX_BYTES)
        self._send_later()

    def send_now(self) -> None:
        """Send a beacon to all nodes at once: something has changed that they should know."""
        self._sequence += 1
        datagram = encode(self._own(self._sequence), self._extra())
        for address in self._peers.beacon_addresses():
            host, _, port = address.rpartition(':')
            self._write(datagram, host, int(port))

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802
        """Take a beacon; see Twisted."""
        try:
            announcement, extra = decode(datagram)
        except _MALFORMED as error:
            self._malformed += 1
            event_log.warn('beacon_malformed', sender=addr[0], reason=error, count=self._malformed)
            return
        self._peers.announced(announcement)
        self._on_extra(announcement, extra)

    def _write(self, datagram: bytes, host: str, port: int) -> None:
        try:
            self.transport.write(datagram, (host, port))
        except OSError as error:
            # The next beacon follows soon; a full buffer or a missing route is not worth more.
            event_log.warn('beacon_not_sent', peer=host, reason=error)

    def _send_later(self) -> None:
        count = len(self._peers.by_host_id) + len(self._peers.contacts_by_host_id)
        pause_ms = max(INTERVAL_MS, count * _MS_PER_SECOND / _MAX_BEACONS_PER_SECOND)
        self._reactor.callLater(clock.to_seconds(pause_ms), self._send_and_repeat)

    def _send_and_repeat(self) -> None:
        self.send_now()
        self._peers.forget_silent()
        self._send_later()


def encode(announcement: peer_table.Announcement, extra: Extra) -> bytes:
    """Return the wire form of a beacon: the announcement's fields in order, then further state."""
    fields = [getattr(announcement, field.name) for field in _FIELDS]
    load = announcement.load
    packed_load = None if load is None else list(dataclasses.astuple(load))
    fields[_STATE] = announcement.state.value
    fields[_LOAD] = packed_load
    return msgpack.packb([fields, extra])


def decode(datagram: bytes) -> tuple[peer_table.Announcement, Extra]:
    """Return the announcement and further state of a beacon.

    Raises:
        ValueError, TypeError, LookupError: If it has another form.
    """
    fields, extra = msgpack.unpackb(datagram)
    load = fields[_LOAD]
    fields[_LOAD] = None if load is None else dialect.ReportedLoad(*load)
    fields[_STATE] = upstream.UpstreamState(fields[_STATE])
    return peer_table.Announcement(*fields), extra


_FIELDS = dataclasses.fields(peer_table.Announcement)
_NAMES = [field.name for field in _FIELDS]
_STATE = _NAMES.index('state')
_LOAD = _NAMES.index('load')
