"""Process beside a backend server that takes its members, orders and rollouts from a keyed log."""

from __future__ import annotations

import dataclasses
import gc
import random
import signal
from typing import Any

from twisted.internet import defer, interfaces, task

from anvillug import clock, event_log, ids, log_writer
from anvillug.connection import http_exchange, http_server, keyed_log
from anvillug.process import (
    beacon,
    crash_watch,
    follower_duty,
    member_records,
    mesh_entry,
    mesh_host,
    mesh_settings,
    metrics,
    order_feed,
    peer_server,
    peer_table,
    rollout_writer,
    upstream,
    upstream_probe,
)
from anvillug.request import dialect
from anvillug.version import directives, rollouts

# Callers hear within two seconds that the node is not ready, and send nothing more then.
_LEAST_STOP_S = 2.3
# Left of the grace time when the process ends although a call is not answered.
_STOP_MARGIN_MS = 350.0
# From this long before the end of the grace time, new requests are refused: those in progress
# take up to their route's timeout.
_FINISH_MS = 3000.0
_STOP_CHECK_S = 0.05
_STEP_S = 0.1
# A node of the same zone may have newer directives by then; bytes between zones are priced.
_FAR_FETCH_PAUSE_S = 0.15
# Further state in beacons, by topic.
_ROLLOUTS = 'r'
_CRASHES = 'c'
# Calls leave few cycles behind; the default of 700 collects several times per 100 calls.
_GC_THRESHOLDS = (20_000, 20, 20)


class Topics:
    """Names of the topics in the log.

    Args:
        orders: What the operator orders.
        statuses: How rollouts stand.
        members: First contact between nodes.
    """

    def __init__(self, orders: str, statuses: str, members: str) -> None:
        self.orders = orders
        self.statuses = statuses
        self.members = members


class MeshNode:
    """One process beside one backend server.

    Args:
        reactor: Twisted reactor.
        settings: Settings.
        time: Clock.
        log: Keyed log.
        topics: Topics in that log.
        speech: Headers of callers and backend servers.
        decode: Decodes the operator's records.
        status_codec: Writes and reads the status of rollouts.
        log_lines: Writer of the process's own log lines.
    """

    def __init__(  # noqa: WPS211 - each is a choice of the platform
        self,
        reactor: Any,
        settings: mesh_settings.MeshSettings,
        time: clock.Clock,
        log: keyed_log.KeyedLog,
        topics: Topics,
        speech: dialect.Dialect,
        decode: directives.Decoder,
        status_codec: rollout_writer.StatusCodec,
        log_lines: log_writer.LineWriter,
    ) -> None:
        self.upstream = upstream.Upstream(settings.backend_address, time)
        """Backend server beside the node."""
        self._reactor = reactor
        self._settings = settings
        self._clock = time
        self._log = log
        self._topics = topics
        self._log_lines = log_lines
        self._rng = random.Random()
        self._incarnation = ids.Incarnation(int(time.wall()))
        self._stopping_since: clock.Milliseconds | None = None
        self.board = directives.DirectiveBoard(decode)
        self.rollouts = rollouts.Rollouts(
            time, settings.bounds.exposure, lambda: self._beacons.send_now()
        )
        self.board.add_listener(self.rollouts.ordered)
        self.peers = peer_table.PeerTable(settings.host_id, time)
        self._duty = follower_duty.FollowerDuty(
            settings.host_id, settings.zone, self.peers, self.board, time
        )
        self._metrics = metrics.Metrics(self._gauges)
        self._crashes = crash_watch.CrashWatch(settings.host_id, self._incarnation, time)
        self.host = mesh_host.MeshHost(
            reactor,
            time,
            self.upstream,
            self.board,
            speech,
            settings,
            self._metrics,
            self._crashes,
        )
        self.entry = mesh_entry.MeshEntry(
            reactor,
            time,
            settings,
            self.board,
            self.peers,
            self.host,
            speech,
            self.rollouts,
            self._metrics,
            self._announcement,
            self._duty.wanted,
        )
        self._beacons = beacon.BeaconTask(
            reactor,
            time,
            self._announcement,
            self.peers,
            settings.beacon_port,
            self._shared,
            self._beacon_heard,
            lambda: self.rollouts.shifting,
        )
        self.board.add_listener(self._directives_changed)
        self._probe = upstream_probe.UpstreamProbe(
            reactor, time, self.host, speech, settings.bounds.probes_per_second
        )
        self._records = member_records.MemberRecords(
            reactor,
            log,
            topics.members,
            settings.host_id,
            f'{settings.ip}:{settings.beacon_port}',
            self.peers,
            self.upstream,
            self._beacons.send_now,
        )
        self._feed = order_feed.OrderFeed(
            reactor,
            log,
            topics.orders,
            self.board,
            self._rng,
            self._duty.holds,
            self._beacons.send_far,
        )
        self._writer = rollout_writer.RolloutWriter(
            reactor, time, log, topics.statuses, status_codec, self.rollouts, self._writer_rank
        )
        self._peer_server = peer_server.PeerServer(self.host, self.board, time)
        self._caller_factory = http_server.ServerFactory(self.entry.request_received)
        self._peer_factory = http_server.ServerFactory(self._peer_server.request_received)
        self._caller_port: interfaces.IListeningPort | None = None

    @property
    def is_ready(self) -> bool:
        """Whether callers may send requests."""
        return self._stopping_since is None and self.board.current.routes is not None

    def start(self) -> None:
        """Open the listeners and start the tasks."""
        settings = self._settings
        self._listen(settings.peer_address, self._peer_factory)
        self._caller_port = self._listen(settings.caller_address, self._caller_factory)
        self._listen(
            f'{settings.ip}:{settings.metrics_port}', http_server.ServerFactory(self._metrics.serve)
        )
        self._beacons.start(settings.ip)
        self._feed.start()
        self._writer.start()
        self._probe.start()
        self._records.start()
        task.LoopingCall(self._step).start(_STEP_S)
        signal.signal(signal.SIGTERM, self._signalled)
        # Collections of long-lived objects would show as latency.
        gc.collect()
        gc.freeze()
        gc.set_threshold(*_GC_THRESHOLDS)
        event_log.emit(
            'node_started',
            host=settings.host_id,
            zone=settings.zone,
            service=settings.service,
            incarnation=self._incarnation,
        )

    def listen(self, address: str, handler: http_exchange.RequestStarted) -> None:
        """Open one more listener for HTTP."""
        self._listen(address, http_server.ServerFactory(handler))

    def heartbeat(self, beat: upstream.Heartbeat) -> Any:
        """Take a heartbeat of the backend server; returns what is wrong with it."""
        former = (self.upstream.state, self.upstream.instance)
        findings = self.upstream.heard(beat)
        if (self.upstream.state, self.upstream.instance) != former:
            self._beacons.send_now()
        return findings

    def apply(self, settings: mesh_settings.MeshSettings) -> None:
        """Put a changed service and grace time into effect; the rest counts at the next start."""
        self._settings = dataclasses.replace(
            self._settings, service=settings.service, bounds=settings.bounds
        )
        self.entry.caller_service = settings.service

    def leave(self, instance: ids.InstanceId) -> defer.Deferred[None]:
        """Note that the backend server leaves.

        Returns:
            Fires when that may be acknowledged: the next process of this node will know of it.
        """
        known = self.upstream.left(instance)
        self._beacons.send_now()
        if known:
            return self._records.leave_taken(self.upstream.left_at)
        return defer.succeed(None)

    # Private

    def _gauges(self) -> dict[str, float]:
        return {
            'calls_in_progress': len(self.entry.in_progress),
            'runs_in_progress': self.host.running,
            'peers_known': len(self.peers.by_host_id),
            'directives_position': self.board.current.position,
            'log_lines_dropped': self._log_lines.dropped,
        }

    def _announcement(self) -> peer_table.Announcement:
        own = self.upstream
        beat = own.beat
        settings = self._settings
        state = own.state if self._stopping_since is None else upstream.UpstreamState.LEAVING
        return peer_table.Announcement(
            host_id=settings.host_id,
            incarnation=self._incarnation,
            sequence=0,
            peer_address=settings.peer_address,
            beacon_address=f'{settings.ip}:{settings.beacon_port}',
            zone=settings.zone,
            service=settings.service if beat is None else beat.service,
            version=ids.VersionName('') if beat is None else beat.version,
            instance=own.instance,
            state=state,
            cold=own.cold_ms > 0,
            load=self.host.load,
            load_age_ms=own.load_age_ms,
            position=self.board.current.position,
            reaches_log=self._feed.reaches_log,
        )

    def _shared(self) -> beacon.Extra:
        return {_ROLLOUTS: self.rollouts.shared(), _CRASHES: self._crashes.shared()}

    def _beacon_heard(self, announcement: peer_table.Announcement, extra: beacon.Extra) -> None:
        reporter = (announcement.host_id, announcement.incarnation)
        self.rollouts.heard(reporter, extra[_ROLLOUTS])
        self._crashes.heard(extra[_CRASHES])
        self._duty.heard(announcement.position)
        if announcement.position > self.board.current.position:
            is_near = announcement.zone == self._settings.zone
            pause_s = 0.0 if is_near else _FAR_FETCH_PAUSE_S
            self._reactor.callLater(pause_s, self._fetch, announcement)

    def _fetch(self, announcement: peer_table.Announcement) -> None:
        if announcement.position > self.board.current.position:
            self.entry.fetch_directives(announcement.peer_address)

    def _directives_changed(self, current: directives.Directives) -> None:
        self._beacons.send_near()

    def _step(self) -> None:
        self.entry.count_overdue()
        self.rollouts.step()
        self.entry.abort_lost_attempts()

    def _writer_rank(self) -> int:
        """Return how many live nodes come before this one in the order of names."""
        now = self._clock.now()
        return sum(
            host_id < self._settings.host_id and not peer.is_silent(now)
            for host_id, peer in self.peers.by_host_id.items()
        )

    def _listen(self, address: str, factory: Any) -> interfaces.IListeningPort:
        host, _, port = address.rpartition(':')
        return self._reactor.listenTCP(int(port), factory, backlog=1024, interface=host)

    def _signalled(self, number: int, frame: object) -> None:
        self._reactor.callFromThread(self._stop)

    def _stop(self) -> None:
        """Finish what was read, tell callers to go elsewhere, and end."""
        if self._stopping_since is not None:
            return
        self._stopping_since = self._clock.now()
        event_log.emit(
            'node_stopping', calls=len(self.entry.in_progress), running=self.host.running
        )
        self._beacons.send_now()
        self._reactor.callLater(_LEAST_STOP_S, self._end_when_idle)

    def _end_when_idle(self) -> None:
        """End after the last request; new ones are refused while there is time to finish."""
        self._caller_factory.close_when_idle()
        busy = self._is_busy()
        stopped_for = self._clock.now() - self._stopping_since
        left_ms = self._settings.bounds.grace_ms - stopped_for
        if self.entry.closed and (not busy or left_ms < _STOP_MARGIN_MS):
            calls = len(self.entry.in_progress)
            event_log.emit('node_stopped', calls=calls, after_ms=int(stopped_for))
            self._reactor.stop()
            return
        if not self.entry.closed and (not busy or left_ms < _FINISH_MS):
            self.entry.closed = True
            self._caller_port.stopListening()
        self._reactor.callLater(_STOP_CHECK_S, self._end_when_idle)

    def _is_busy(self) -> bool:
        connections = self._caller_factory.busy_count + self._peer_factory.busy_count
        return bool(self.entry.in_progress or self.host.running or connections)
