"""Node process of one backend server; members, orders and rollouts come from a keyed log."""

from __future__ import annotations

import dataclasses
import functools
import gc
import random
from collections.abc import Callable
from typing import Any

from twisted.internet import defer

from anvillug import clock, event_log, findings, ids, log_writer
from anvillug.connection import (
    client_guard,
    client_limits,
    http_exchange,
    http_listener,
    keyed_log,
    memory_account,
)
from anvillug.process import (
    beacon,
    crash_watch,
    explanation,
    follower_duty,
    inspection,
    leave_exchange,
    lifetime,
    listeners,
    member_records,
    mesh_entry,
    mesh_host,
    mesh_settings,
    mesh_stop,
    metrics,
    order_feed,
    peer_server,
    peer_table,
    process_watch,
    rollout_writer,
    sound_word,
    upstream,
    upstream_probe,
    usage_duty,
    wake_grid,
    word_task,
)
from anvillug.request import dialect
from anvillug.version import directives, rollouts, route_table

_STEP_MS = 100.0
_TIME_MARGIN = 1.25
# A head of short lines grows by a quarter when it is serialized with a space after each colon.
_HEAD_MARGIN = 1.5
# Delay before directives are fetched from another zone: by then a node of the same zone may have
# them, and bytes between zones are charged.
_OTHER_ZONE_FETCH_DELAY_S = 0.15
# Keys of the additional state in beacons.
_ROLLOUTS = 'r'
_CRASHES = 'c'
# Calls create few reference cycles. The default threshold of 700 would trigger several collections
# per 100 calls.
_GC_THRESHOLDS = (20_000, 20, 20)


class Topics:
    """Names of the topics in the log.

    Args:
        orders: Records of the operator.
        statuses: Statuses of rollouts.
        members: Records of nodes, for their first contact with each other.
        duties: Record of the holder of the usage reports.
    """

    def __init__(self, orders: str, statuses: str, members: str, duties: str) -> None:
        self.orders = orders
        self.statuses = statuses
        self.members = members
        self.duties = duties


class MeshNode:
    """The node process of one backend server.

    Args:
        reactor: Twisted reactor.
        settings: Settings of the node.
        time: Clock.
        log: Keyed log.
        topics: Topics in that log.
        header_dialect: Reads and writes the headers of callers and backend servers.
        decode: Decodes the operator's records.
        status_codec: Encodes and decodes the status of rollouts.
        log_lines: Writer of the log lines of this process.
        create_reporter: Creates the client that sends usage reports.
    """

    def __init__(  # noqa: WPS211 - components that the platform provides
        self,
        reactor: Any,
        settings: mesh_settings.MeshSettings,
        time: clock.Clock,
        log: keyed_log.KeyedLog,
        topics: Topics,
        header_dialect: dialect.Dialect,
        decode: directives.Decoder,
        status_codec: rollout_writer.StatusCodec,
        log_lines: log_writer.LineWriter,
        create_reporter: usage_duty.ReporterFactory,
    ) -> None:
        self.upstream = upstream.Upstream(settings.backend_address, time)
        """Backend server of the node."""
        self._reactor = reactor
        self._settings = settings
        self._clock = time
        self._log = log
        self._topics = topics
        self._log_lines = log_lines
        self._rng = random.Random()
        grid = wake_grid.WakeGrid(time, self._rng)
        self._delay_s = grid.delay_s
        self._incarnation = ids.Incarnation(int(time.wall()))
        self.active_directives = directives.ActiveDirectives(decode)
        self.rollouts = rollouts.Rollouts(
            time, settings.bounds.exposure, lambda: self._beacons.send_now()
        )
        self.active_directives.add_listener(self.rollouts.apply_orders)
        self.peers = peer_table.PeerTable(settings.host_id, time)
        self._word = self._sound_word()
        self._duty = follower_duty.FollowerDuty(
            settings.host_id, settings.zone, self.peers, self.active_directives, time
        )
        self._metrics = metrics.Metrics(self._gauges)
        self._account = memory_account.MemoryAccount(
            memory_account.limit_for(settings.memory_bytes), time, self._count_limit
        )
        self._caller_guard = client_guard.ClientGuard(
            'callers', self._account, time, self._count_limit
        )
        self._peer_guard = client_guard.ClientGuard('nodes', self._account, time, self._count_limit)
        self._peer_guard.limits = client_limits.ClientLimits(head_ms=client_limits.PEER_HEAD_MS)
        self._operator_factories: dict[str, http_listener.ServerFactory] = {}
        self._crashes = crash_watch.CrashWatch(settings.host_id, self._incarnation, time)
        self.host = mesh_host.MeshHost(
            reactor,
            time,
            self.upstream,
            self.active_directives,
            header_dialect,
            settings,
            self._metrics,
            self._crashes,
            self._word,
            self._account,
        )
        self.entry = mesh_entry.MeshEntry(
            reactor,
            time,
            settings,
            self.active_directives,
            self.peers,
            self.host,
            header_dialect,
            self.rollouts,
            self._metrics,
            self._announcement,
            self._account,
            self._duty.require_position,
            self._word,
        )
        self._inspection = inspection.Inspection(
            self._metrics,
            explanation.Explanation(
                settings, time, self.active_directives, self.rollouts, self.entry
            ),
        )
        self._leaves = leave_exchange.LeaveExchange(
            self.upstream, self.peers, lambda leaves: self._records.receive_remembered(leaves)
        )
        self._beacons = beacon.BeaconTask(
            reactor,
            time,
            self._announcement,
            self.peers,
            self._beacon_extra_state,
            self._lasting_state,
            self._beacon_received,
            self._beacon_need,
            self._leaves.receive,
            grid.delay_s,
        )
        self.entry.receive_loads = self._beacons.receive_pending
        self.entry.serves = self._serves
        self.active_directives.add_listener(self._directives_changed)
        self._probe = upstream_probe.UpstreamProbe(
            reactor,
            time,
            self.host,
            header_dialect,
            settings.bounds.probes_per_second,
        )
        self._records = member_records.MemberRecords(
            reactor,
            log,
            topics.members,
            settings.host_id,
            f'{settings.ip}:{settings.beacon_port}',
            self.peers,
            self.upstream,
            self._rng,
            self._beacons.send_now,
        )
        self._feed = order_feed.OrderFeed(
            reactor,
            log,
            topics.orders,
            self.active_directives,
            self._rng,
            self._duty.is_follower,
            self._duty.may_retry,
            self._beacons.send_far,
            self._beacons.send_near,
            self._word,
        )
        self._writer = rollout_writer.RolloutWriter(
            reactor, time, log, topics.statuses, status_codec, self.rollouts, self._writer_rank
        )
        self._peer_server = peer_server.PeerServer(
            self.host, self.active_directives, time, self._incarnation, self._account, self._word
        )
        self._caller_factory = http_listener.ServerFactory(
            self.entry.request_received,
            may_overlap=self.entry.may_overlap,
            guard=self._caller_guard,
        )
        self._peer_factory = http_listener.ServerFactory(
            self._peer_server.request_received, answers_half_closed=False, guard=self._peer_guard
        )
        self._stop = mesh_stop.MeshStop(
            reactor,
            time,
            self.entry,
            self.host,
            self._caller_factory,
            self._peer_factory,
            lambda: self._settings.bounds.grace_ms,
        )
        self._listeners = listeners.Listeners(reactor, time)
        self._watch = process_watch.ProcessWatch(
            reactor,
            time,
            process_watch.Sources(
                self._account,
                self._connections_by_listener,
                lambda: {
                    'nodes': self.entry.pools,
                    'backend': self.host.pools,
                    'store': self._log.pools,
                },
                lambda: self._listeners.open_count,
                lambda: self.entry.reserved_bytes,
            ),
            settings.memory_bytes,
            settings.max_descriptors,
            grid.delay_s,
        )
        self._usage = self._create_usage_duty(create_reporter)
        self._has_started = False

    @property
    def has_started(self) -> bool:
        """Whether all listeners are open."""
        return self._has_started

    @property
    def is_ready(self) -> bool:
        """Whether callers may send requests."""
        return not self._stop.has_begun and self.active_directives.current.routes is not None

    async def start(self, reload: Callable[[], None]) -> None:
        """Open the listeners once their addresses are free, and start the tasks.

        Args:
            reload: Reloads the settings on SIGHUP.

        Raises:
            ListenError: If an address can never be listened on.
        """
        settings = self._settings
        add = self._listeners.add
        caller_listener = add(settings.caller_address, self._caller_factory)
        peer_listener = add(settings.peer_address, self._peer_factory)
        metrics_address = f'{settings.ip}:{settings.metrics_port}'
        self.listen('metrics', metrics_address, self._inspection.serve)
        self._listeners.add_datagrams(
            f'{settings.ip}:{settings.beacon_port}', self._beacons, beacon.MAX_BYTES
        )
        await self._listeners.open_when_free(lambda: self._take_over(reload))
        self._has_started = True
        self._stop.callers.port = caller_listener.port
        self._stop.peer_port = peer_listener.port
        self._beacons.start()
        self._feed.start()
        self._writer.start()
        self._probe.start()
        self._records.start()
        self._start_word_task()
        if self._usage is not None:
            self._usage.start()
        self._step()
        # Long-lived objects are frozen, since collecting them would delay calls.
        gc.collect()
        gc.freeze()
        gc.set_threshold(*_GC_THRESHOLDS)
        self._watch.start()
        event_log.emit(
            'node_started',
            host=settings.host_id,
            zone=settings.zone,
            service=settings.service,
            incarnation=self._incarnation,
            start_ms=int(lifetime.PROCESS.age_ms),
        )

    def listen(
        self,
        name: str,
        address: str,
        handler: http_exchange.RequestStarted,
        *,
        is_early: bool = False,
    ) -> None:
        """Add an HTTP listener for operators or local programs, which `start` opens.

        Args:
            name: Name of the listener, for the log and the metrics.
            address: See `Listeners.add`.
            handler: Handles the requests.
            is_early: See `Listeners.add`.
        """
        guard = client_guard.ClientGuard(name, self._account, self._clock, self._count_limit)
        guard.limits = client_limits.for_operators(self._settings.max_descriptors)
        factory = http_listener.ServerFactory(handler, guard=guard)
        self._operator_factories[name] = factory
        self._listeners.add(address, factory, is_early=is_early)

    def heartbeat(self, heartbeat: upstream.Heartbeat) -> defer.Deferred[findings.Findings]:
        """Process a heartbeat of the backend server.

        Returns:
            Fires with its problems when it may be acknowledged. One that announces a leave is
            stored first; see `MemberRecords.store_leaves`.
        """
        problems = self._service_findings(heartbeat)
        if problems:
            return defer.succeed(problems)
        previous = (self.upstream.state, self.upstream.instance)
        problems = self.upstream.receive_heartbeat(heartbeat)
        if (self.upstream.state, self.upstream.instance) != previous:
            self._beacons.send_now()
        if problems or heartbeat.state is not upstream.UpstreamState.LEAVING:
            return defer.succeed(problems)
        return self._records.store_leaves().addCallback(lambda _: ())

    def apply(self, settings: mesh_settings.MeshSettings) -> None:
        """Apply a changed service and grace time; other changes take effect at the next start."""
        self._settings = dataclasses.replace(
            self._settings, service=settings.service, bounds=settings.bounds
        )
        self.entry.caller_service = settings.service

    def leave(self, instance: ids.InstanceId) -> defer.Deferred[None]:
        """Record that an instance of the backend server leaves.

        Returns:
            Fires when the leave may be acknowledged; see `MemberRecords.store_leaves`.
        """
        self.upstream.record_leave(instance)
        self._beacons.send_now()
        return self._records.store_leaves()

    # Private

    def _sound_word(self) -> sound_word.SoundWord | None:
        revoke_ms = self._settings.bounds.revoke_ms
        if revoke_ms is None:
            return None
        return sound_word.SoundWord(self._clock, self.active_directives, revoke_ms)

    def _start_word_task(self) -> None:
        if self._word is not None:
            settings = self._settings
            word_task.WordTask(
                self._reactor, self._word, self.peers, settings.zone, self.entry.pool, self._rng
            ).start()

    def _create_usage_duty(
        self, create_reporter: usage_duty.ReporterFactory
    ) -> usage_duty.UsageDuty | None:
        settings = self._settings
        if settings.duty is None:
            return None
        usage = usage_duty.UsageDuty(
            self._reactor,
            self._clock,
            self._log,
            self._topics.duties,
            settings.duty,
            (settings.host_id, self._incarnation),
            self.peers,
            self.entry.pool,
            self._writer_rank,
            create_reporter(settings.duty),
            self._metrics,
            self._beacons.send_now,
        )
        usage.attach(self.host, self._peer_server)
        self._stop.may_end = usage.may_end
        return usage

    def _service_findings(self, heartbeat: upstream.Heartbeat) -> findings.Findings:
        """Return an error if the service of a heartbeat is not one of the configuration."""
        routes = self.active_directives.current.routes
        known = () if routes is None else routes.services_by_name
        if heartbeat.service == self._settings.service or heartbeat.service in known:
            return ()
        message = f'{heartbeat.service!r} is not a service of the configuration'
        return findings.single(f'heartbeat of {heartbeat.instance}: Service', message)

    def _gauges(self) -> dict[str, float]:
        position = self.active_directives.current.position
        word = self._word
        word_gauges = {} if word is None else {'word_age_ms': word.shown_age_ms}
        return {
            **word_gauges,
            'calls_in_progress': len(self.entry.in_progress),
            'runs_in_progress': self.host.running,
            **self.host.room_gauges(),
            'peers_known': len(self.peers.by_host_id),
            'directives_era': position.era,
            'directives_position': position.offset,
            'log_lines_dropped': self._log_lines.dropped,
            'client_memory_bytes': self._account.used_bytes,
            'uptime_ms': lifetime.PROCESS.age_ms,
            **self.entry.gauges(),
            **self._watch.gauges(),
            **({} if self._usage is None else self._usage.gauges()),
        }

    def _announcement(self) -> peer_table.Announcement:
        backend = self.upstream
        heartbeat = backend.heartbeat
        settings = self._settings
        return peer_table.Announcement(
            host_id=settings.host_id,
            incarnation=self._incarnation,
            sequence=0,
            peer_address=settings.peer_address,
            beacon_address=f'{settings.ip}:{settings.beacon_port}',
            zone=settings.zone,
            service=self._announced_service(),
            version=ids.VersionName('') if heartbeat is None else heartbeat.version,
            instance=backend.instance,
            state=self._announced_state(),
            cold=backend.cold_ms > 0,
            load=self.host.load,
            load_age_ms=backend.load_age_ms,
            position=self.active_directives.current.position,
            reaches_log=self._feed.reaches_log,
        )

    def _announced_service(self) -> ids.ServiceName:
        heartbeat = self.upstream.heartbeat
        return self._settings.service if heartbeat is None else heartbeat.service

    def _announced_state(self) -> upstream.UpstreamState:
        return upstream.UpstreamState.LEAVING if self._stop.has_begun else self.upstream.state

    def _serves(self, service: ids.ServiceName) -> bool:
        """Return whether an announcement made now offers a service; see `MeshEntry.serves`."""
        is_serving = self._announced_state() is upstream.UpstreamState.SERVING
        return is_serving and self._announced_service() == service

    def _beacon_extra_state(self) -> beacon.ExtraState:
        usage = self._usage
        return {
            **({} if usage is None else {usage_duty.BEACON_TOPIC: usage.exchange.announced()}),
            _ROLLOUTS: self.rollouts.encode_report(),
            _CRASHES: self._crashes.encode_entries(),
            **self._leaves.announced(),
        }

    def _lasting_state(self) -> Any:
        """Return what other nodes have to learn of `_beacon_extra_state` when it changes."""
        return (
            None if self._usage is None else self._usage.exchange.announced_token,
            self.rollouts.lasting_state(),
            self._crashes.lasting_state(),
            self._leaves.announced(),
        )

    def _beacon_need(self) -> beacon.Need:
        if self.rollouts.shifting:
            return beacon.Need.AT_ONCE
        return beacon.Need.SOON if self.rollouts.in_progress else beacon.Need.NONE

    def _beacon_received(
        self, announcement: peer_table.Announcement, extra_state: beacon.ExtraState
    ) -> None:
        reporter = (announcement.host_id, announcement.incarnation)
        merge_by_topic = {
            _ROLLOUTS: functools.partial(self.rollouts.receive_report, reporter),
            _CRASHES: self._crashes.merge_entries,
        }
        if self._usage is not None and usage_duty.BEACON_TOPIC in extra_state:
            merge_by_topic[usage_duty.BEACON_TOPIC] = functools.partial(
                self._usage.exchange.beacon_received, announcement
            )
        for topic, merge in merge_by_topic.items():
            try:
                merge(extra_state[topic])
            except beacon.MALFORMED_ERRORS as error:
                event_log.warn(
                    'beacon_state_malformed', peer=reporter[0], topic=topic, reason=error
                )
        self._duty.record_peer_position(announcement.position)
        if announcement.position > self.active_directives.current.position:
            # The first node of a zone fetches for the others.
            is_direct = announcement.zone == self._settings.zone or self._duty.is_first_of_zone()
            delay_s = 0.0 if is_direct else _OTHER_ZONE_FETCH_DELAY_S
            self._reactor.callLater(delay_s, self._fetch_directives, announcement)

    def _fetch_directives(self, announcement: peer_table.Announcement) -> None:
        if announcement.position > self.active_directives.current.position:
            self.entry.fetch_directives(announcement.peer_address)

    def _directives_changed(self, current: directives.Directives) -> None:
        self._records.notice_era(current.position.era)
        if current.routes is not None:
            self._apply_limits(current.routes.limits)
            table = current.routes.tenants
            self._metrics.set_tenants(None if table is None else table.tenants_by_name)
        self._beacons.send_near()

    def _apply_limits(self, limits: route_table.CallerLimits) -> None:
        """Apply the limits of the configuration to callers, with a margin for a late event loop."""
        self._caller_factory.max_head_bytes = int(limits.max_header_bytes * _HEAD_MARGIN)
        self._caller_guard.limits = client_limits.ClientLimits(
            head_ms=limits.header_timeout_ms * _TIME_MARGIN,
            idle_ms=limits.idle_timeout_ms * _TIME_MARGIN,
            reader_ms=limits.idle_timeout_ms,
            connections=client_limits.connections_for(self._settings.max_descriptors),
        )

    def _factories_by_listener(self) -> dict[str, http_listener.ServerFactory]:
        return {
            'callers': self._caller_factory,
            'nodes': self._peer_factory,
            **self._operator_factories,
        }

    def _connections_by_listener(self) -> process_watch.ConnectionsByListener:
        return {
            name: factory.connections for name, factory in self._factories_by_listener().items()
        }

    def _count_limit(self, limit: str) -> None:
        self._metrics.count('client_limits', limit)

    def _step(self) -> None:
        # First, so that a failure does not end the task.
        self._reactor.callLater(self._delay_s(_STEP_MS), self._step)
        for factory in self._factories_by_listener().values():
            factory.check_clients()
        self.entry.count_overdue()
        self.rollouts.step()
        self.entry.abort_lost_attempts()

    def _writer_rank(self) -> int:
        """Return how many live nodes precede this one in the order of host names."""
        now = self._clock.now()
        return sum(
            host_id < self._settings.host_id and not peer.is_unresponsive(now)
            for host_id, peer in self.peers.by_host_id.items()
        )

    def _take_over(self, reload: Callable[[], None]) -> None:
        lifetime.PROCESS.take_over(
            self._reactor.callFromThread,
            event_log.emit,
            self._begin_stop,
            reload,
            self._log_state,
        )
        self._reactor.addSystemEventTrigger('after', 'shutdown', lifetime.PROCESS.ignore_signals)

    def _log_state(self) -> None:
        backend = self.upstream
        event_log.emit(
            'node_state',
            ready=self.is_ready,
            stopping=self._stop.has_begun,
            backend=backend.state.value,
            instance=backend.instance,
            reaches_log=self._feed.reaches_log,
            follows=self._duty.is_follower(),
            **{name: int(number) for name, number in self._gauges().items()},
            **self._watch.states(),
        )

    def _begin_stop(self) -> None:
        """Report that the node is not ready, and end once its requests are completed."""
        if not self._stop.has_begun:
            self._stop.begin()
            if self._usage is not None:
                self._usage.stop()
            self._beacons.send_now()
