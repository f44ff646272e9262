"""The parts of a mesh node that count requests and report them, if the deployment asks for it."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from anvillug import clock, ids
from anvillug.connection import http_pool, keyed_log
from anvillug.process import (
    duty_holder,
    duty_settings,
    duty_state,
    mesh_host,
    metrics,
    peer_server,
    peer_table,
    true_time,
    usage_exchange,
)

BEACON_TOPIC = 'u'
"""Key of the additional state in beacons."""

# An idle node that stops waits no longer than this until the holder has its counts.
_MAX_FLUSH_MS = 1000.0

ReporterFactory = Callable[[duty_settings.DutySettings], duty_holder.Reporter]
"""Creates the client that sends reports."""


class UsageDuty:
    """Counts requests, and reports them while this node holds the duty.

    Args:
        reactor: Twisted reactor.
        time: Clock.
        log: Keyed log.
        topic: Topic of the record that names the holder.
        settings: Settings of the duty.
        process: Host and incarnation of this process.
        peers: Other nodes.
        find_pool: Returns the connections to the address of another node.
        rank: Returns the number of live nodes before this one in the order of names.
        reporter: Sends reports.
        process_metrics: Metrics of the process.
        send_beacons: Sends a beacon to all nodes at once.
    """

    def __init__(  # noqa: WPS211 - components of the node
        self,
        reactor: Any,
        time: clock.Clock,
        log: keyed_log.KeyedLog,
        topic: str,
        settings: duty_settings.DutySettings,
        process: tuple[ids.HostId, ids.Incarnation],
        peers: peer_table.PeerTable,
        find_pool: Callable[[str], http_pool.Pool],
        rank: Callable[[], int],
        reporter: duty_holder.Reporter,
        process_metrics: metrics.Metrics,
        send_beacons: Callable[[], None],
    ) -> None:
        self._send_beacons = send_beacons
        self._clock = time
        self._flushes_from: clock.Milliseconds | None = None
        time_of_day = true_time.TrueTime(time)
        self._state = duty_state.DutyState(process, settings)
        self.exchange = usage_exchange.UsageExchange(
            reactor, time_of_day, settings, self._state, peers, find_pool, time.wall
        )
        """Counts of this node and, at the holder, of all nodes."""
        self._holder = duty_holder.DutyHolder(
            reactor,
            time,
            time_of_day,
            log,
            topic,
            self._state,
            settings,
            reporter,
            _Fleet(peers, time, rank, settings.lease_ms),
            self.exchange.total,
            self._changed,
            lambda outcome: process_metrics.count('usage_reports', outcome),
        )
        self.exchange.on_release = self._holder.look

    def attach(self, host: mesh_host.MeshHost, server: peer_server.PeerServer) -> None:
        """Count the requests of a host side, and take counts from other nodes."""
        host.on_run_sent = self.exchange.run_sent
        host.on_run_not_begun = self.exchange.run_not_begun
        self.exchange.account = server.account
        server.usage_received = self.exchange.request_received

    def start(self) -> None:
        """Start the tasks; the beacons have started."""
        self.exchange.start()
        self._holder.start()

    def stop(self) -> None:
        """Hand the duty over if this node holds it; requests are still counted."""
        self._holder.stop()
        self.exchange.stop()

    def may_end(self) -> bool:
        """Return whether an idle node may end: its counts are sent, or it has tried for long."""
        now = self._clock.now()
        if self._flushes_from is None:
            self._flushes_from = now
        return self.exchange.is_flushed or now - self._flushes_from >= _MAX_FLUSH_MS

    def gauges(self) -> Mapping[str, float]:
        """Return the values of the gauges by name."""
        record = self._state.record
        return {
            'duty_held': self._state.is_holder,
            'duty_token': 0 if record is None else record.token,
            'duty_since_ms': 0 if record is None else record.since_ms,
            'usage_last_window': self._holder.last_accepted,
        }

    def _changed(self) -> None:
        self.exchange.holder_changed()
        self._send_beacons()


class _Fleet:
    """The other nodes as this one hears them; see `duty_holder.Fleet`."""

    def __init__(
        self,
        peers: peer_table.PeerTable,
        time: clock.Clock,
        rank: Callable[[], int],
        lease_ms: float,
    ) -> None:
        self._lease_ms = lease_ms
        self._peers = peers
        self._clock = time
        self.rank = rank

    def is_isolated(self) -> bool:
        """Return whether this node hears less than half of the others."""
        now = self._clock.now()
        known = self._peers.by_host_id.values()
        return 2 * sum(not peer.is_unresponsive(now) for peer in known) < len(known)

    def is_silent(self, host_id: ids.HostId) -> bool:
        """Return whether the beacons of a node have been missing for longer than a lease."""
        peer = self._peers.by_host_id.get(host_id)
        if peer is None:
            return True
        now = self._clock.now()
        return peer.is_unresponsive(now) and now - peer.last_received_at > self._lease_ms
