"""Node process: creates its components, and starts and stops them."""

from __future__ import annotations

import dataclasses
import gc
import random
import resource
from typing import Any

import xxhash

from anvillug import clock, event_log, ids
from anvillug.connection import (
    client_guard,
    client_limits,
    control_client,
    control_server,
    http_listener,
    log_client,
    memory_account,
)
from anvillug.process import (
    backend_watch,
    caller_close,
    claim_coordinator,
    config_follower,
    drain,
    entry_side,
    gossip,
    gossip_sources,
    host_side,
    keyed_calls,
    life_cycle,
    lifetime,
    listeners,
    membership,
    membership_log,
    move_judge,
    operator_api,
    peer_pools,
    process_watch,
    settings,
)
from anvillug.request import call_table, quarantine
from anvillug.version import config_state, document, evidence_pool, targets, verdict_set

# Delay after the announcement of a leave, in which peers can react to it.
_REJECTION_DELAY_S = 1.0
# Callers that send requests for this long after the announcement do not leave by themselves.
_MAX_SERVE_MS = 4000.0
# Connections that are in use now and then are used once more within this time.
_MAX_CLOSE_MS = 3000.0
# Calls create few reference cycles; the default threshold of 700 causes several collections per
# 100 calls.
_GC_THRESHOLDS = (20_000, 20, 20)
# Time for the last member record to reach the peers and the log.
_EXIT_DELAY_S = 0.1
_CLIENT_CHECK_INTERVAL_S = 0.5
# A configuration is requested from a peer if the log has not delivered it within this time.
_PEER_REQUEST_DELAY_S = 0.12
_SNAPSHOT_HOST_COUNT = 2
# A former process that is still stopping closes its last listener once its calls have ended.
_ADDRESS_TIMEOUT_MS = 10_000.0
# Entry sides add headers to a request head whose size may already be at the limit for callers.
_MAX_ADDED_HEADER_BYTES = 4096
# Maximum size of a retained response; each running call may buffer this much until it ends.
_MAX_RETAINED_RESPONSE_BYTES = 256 * 1024
_NO_SERVICE = ids.ServiceName('')
_NO_VERSION = ids.VersionName('')


class Node:
    """Node process on the host of one backend server.

    Args:
        reactor: Twisted reactor.
        config: Settings.
        time: Clock.
    """

    def __init__(self, reactor: Any, config: settings.Settings, time: clock.Clock) -> None:
        self._reactor = reactor
        self._settings = config
        self._clock = time
        self._rng = random.Random()
        self._life_cycle = life_cycle.LifeCycle(self)
        self._incarnation = ids.Incarnation(int(time.wall()))
        self.members = membership.MemberTable(self._initial_member(), time.now())
        self._log = log_client.HttpLogClient(reactor, config.log_address)
        self.config = config_follower.ConfigFollower(
            self._log,
            reactor,
            time,
            config_follower.Options(
                should_snapshot=self._should_snapshot,
                retention_ms=config.log_retention_ms,
                rng=self._rng,
            ),
        )
        self.config.add_listener(self._config_changed)
        self._membership_log = membership_log.MembershipLog(
            self._log,
            self.members,
            reactor,
            time,
            self._rng,
        )
        self.crash_quarantine = quarantine.Quarantine(f'{config.host_id}.{self._incarnation}')
        self.verdicts = verdict_set.VerdictSet()
        self.evidence = evidence_pool.EvidencePool(config.host_id)
        self._config_source = gossip_sources.ConfigSource(self.config, time)
        self._control_client = control_client.ControlClient(reactor)
        self.gossip_task = self._build_gossip()
        self._control = control_server.ControlServer(reactor, self.gossip_task.handle)
        self.judge = move_judge.MoveJudge(
            reactor,
            time,
            self.members,
            self._log,
            lambda: self.config.state,
            self.verdicts,
            self.evidence,
            self.gossip_task.propagate_verdicts,
            self._rng,
        )
        connections = client_limits.connections_for(_max_descriptors(), client_limits.SIXTH)
        self._pools = peer_pools.PeerPools(
            reactor,
            self.members,
            clock.to_seconds(config.timeouts.connect_ms),
            min(peer_pools.MAX_CONNECTIONS, connections),
        )
        self.keyed = keyed_calls.KeyedCalls(
            reactor,
            time,
            config.host_id,
            self._incarnation,
            claim_coordinator.ClaimCoordinator(
                self._log,
                reactor,
                time,
                claim_coordinator.CoordinatorSettings(lifetime_ms=config.claim_lifetime_ms),
            ),
            self._pools.get,
        )
        self._account = memory_account.MemoryAccount(config.limits.client_memory_bytes, time)
        self.host = self._build_host_side()
        self.entry = self._build_entry_side()
        self.backend = backend_watch.BackendWatch(reactor, time, self._backend_changed)
        caller_guard = client_guard.ClientGuard('callers', self._account, time)
        caller_guard.limits = client_limits.ClientLimits(
            head_ms=config.timeouts.head_ms,
            idle_ms=config.timeouts.idle_ms,
            reader_ms=config.timeouts.silence_ms,
            connections=config.limits.caller_connections or connections,
        )
        peer_guard = client_guard.ClientGuard('nodes', self._account, time)
        peer_guard.limits = client_limits.ClientLimits(head_ms=config.timeouts.head_ms)
        operator_guard = client_guard.ClientGuard('operators', self._account, time)
        operator_guard.limits = client_limits.for_operators(_max_descriptors())
        self._operator_site = operator_api.OperatorApi(self).site(operator_guard)
        self._caller_factory = http_listener.ServerFactory(
            self.entry.request_received,
            config.limits.max_header_bytes,
            self.entry.may_overlap,
            guard=caller_guard,
        )
        self._peer_factory = http_listener.ServerFactory(
            self.host.request_received,
            config.limits.max_header_bytes + _MAX_ADDED_HEADER_BYTES,
            answers_half_closed=False,
            guard=peer_guard,
        )
        self._caller_close = caller_close.CallerClose(
            time,
            self._caller_factory,
            lambda: bool(self.entry.in_progress or self._caller_factory.busy_count),
        )
        self._listeners = listeners.Listeners(reactor, time, _ADDRESS_TIMEOUT_MS)
        self._watch = process_watch.ProcessWatch(
            reactor,
            time,
            process_watch.Sources(
                self._account,
                lambda: {
                    'callers': self._caller_factory.connections,
                    'nodes': self._peer_factory.connections,
                    'operators': self._operator_site.open_channels,
                },
                lambda: {'nodes': self._pools.pools, 'backend': self.host.pools},
                lambda: self._listeners.open_count,
                int,
            ),
            config.limits.process_memory_bytes or 0,
            _max_descriptors(),
        )

    def start(self) -> None:
        """Open the listeners and stop gracefully on SIGTERM and SIGINT.

        Raises:
            ListenError: If an address can't be listened on.
        """
        config = self._settings
        self._listeners.add(config.peer_address, self._peer_factory)
        caller_listener = self._listeners.add(config.caller_address, self._caller_factory)
        self._listeners.add(config.operator_address, self._operator_site)
        self._listeners.add_opener(config.control_address, self._control.start)
        self._listeners.open(self._take_over)
        self._caller_close.port = caller_listener.port
        self._life_cycle.start()

    # Actions of the life cycle

    def listen(self) -> None:
        """Start the tasks of a node that listens; see `life_cycle.Actions`."""
        config = self._settings
        self._check_clients()
        self.config.start()
        self._membership_log.start()
        self.gossip_task.start()
        self.judge.start()
        # Collections that include long-lived objects would add latency to calls.
        gc.collect()
        gc.freeze()
        gc.set_threshold(*_GC_THRESHOLDS)
        self._watch.start()
        event_log.emit(
            'node_started',
            host=config.host_id,
            zone=config.zone,
            caller_address=config.caller_address,
            operator_address=config.operator_address,
            start_ms=int(lifetime.PROCESS.age_ms),
        )

    def withdraw(self) -> None:
        """Announce the leave, let callers leave, then drain; see `life_cycle.Actions`."""
        event_log.emit('node_leaving', calls=self._calls_in_progress())
        self._caller_close.begin()
        self._update_local_member()
        self._reactor.callLater(_REJECTION_DELAY_S, self._reject_new_calls)
        self._close_callers()

    def shut_down(self) -> None:
        """Publish the final state and end the process; see `life_cycle.Actions`."""
        self._update_local_member()
        self.gossip_task.stop()
        self._control.stop()
        event_log.emit('node_stopped')
        self._reactor.callLater(_EXIT_DELAY_S, self._reactor.stop)

    # View for operators

    def dump(self) -> dict[str, Any]:
        """Return the state of the process; see `operator_api.NodeView`."""
        backend = self.backend.backend
        state = self.config.state
        return {
            'host_id': self._settings.host_id,
            'zone': self._settings.zone,
            'incarnation': self._incarnation,
            'state': self._life_cycle.state.value,
            'config': self.config.dump(),
            'backend_server': None if backend is None else dataclasses.asdict(backend),
            'process': {**self._watch.gauges(), **self._watch.states()},
            'host': self.host.dump(),
            'entry': self.entry.dump(),
            'gossip': self.gossip_task.dump(),
            'control': {
                'client': self._control_client.dump(),
                'server': self._control.dump(),
                'log': self._log.dump(),
            },
            'rollouts': self.judge.dump(),
            'verdicts': [dataclasses.asdict(notice) for notice in self.verdicts.notices()],
            'members': {
                'count': len(self.members),
                'by_liveness': self.members.count_by_liveness(),
                'services': {
                    name: len(self.members.members_of(name)) for name in self.members.services()
                },
                'log': self._membership_log.dump(),
            },
            'moves_by_service': {
                name: {'to': move.to_version, 'state': move.state.value, 'evidence': move.evidence}
                for name, move in state.moves_by_service.items()
            },
        }

    def config_number(self) -> ids.ConfigNumber:
        """Return the configuration number in effect; see `operator_api.NodeView`."""
        return self.config.state.number

    def is_serving(self) -> bool:
        """Return whether the node accepts new calls; see `operator_api.NodeView`."""
        return self._life_cycle.state is life_cycle.NodeState.SERVING

    def drain(self) -> None:
        """Start a graceful stop; see `operator_api.NodeView`."""
        self._life_cycle.leave()

    def announced(self, backend: backend_watch.Backend) -> None:
        """Record an announcement; see `operator_api.NodeView`."""
        self.backend.announced(backend)

    # Private

    def _initial_member(self) -> membership.Member:
        config = self._settings
        return membership.Member(
            host_id=config.host_id,
            zone=config.zone,
            region=config.region,
            incarnation=self._incarnation,
            sequence=0,
            service=_NO_SERVICE,
            version=_NO_VERSION,
            peer_address=config.advertised_peer_address or config.peer_address,
            control_address=config.control_address,
            state=membership.MemberState.STARTING,
        )

    def _build_host_side(self) -> host_side.HostSide:
        limits = self._settings.limits
        return host_side.HostSide(
            self._reactor,
            self._clock,
            self._incarnation,
            call_table.CallTable(
                self._incarnation,
                call_table.Bounds(
                    entries=limits.call_table_entries,
                    response_bytes=limits.kept_answer_bytes,
                    one_answer_bytes=_MAX_RETAINED_RESPONSE_BYTES,
                ),
            ),
            self.crash_quarantine,
            _MAX_RETAINED_RESPONSE_BYTES,
            self.config_number,
            self._request_config,
            self.gossip_task.propagate_quarantine,
            self.keyed.resolve,
            self._account,
        )

    def _build_gossip(self) -> gossip.Gossip:
        sources = gossip.Sources(
            self.members,
            self._config_source,
            self.verdicts,
            gossip_sources.QuarantineSource(self.crash_quarantine),
            self.evidence,
        )
        return gossip.Gossip(
            sources,
            self._control_client,
            self._settings.seeds,
            self._clock,
            self._reactor,
            self._rng,
        )

    def _build_entry_side(self) -> entry_side.EntrySide:
        return entry_side.EntrySide(
            self._reactor,
            self._clock,
            self.members,
            self._pools,
            lambda: self.config.state,
            self.judge.is_bad,
            self.judge,
            self.keyed,
            self._rng,
            self._settings.timeouts,
            self._settings.chooser,
            self._account,
        )

    def _should_snapshot(self, state: config_state.ConfigState) -> bool:
        """Return whether this host has one of the lowest hashes, so that it writes snapshots."""
        hosts = sorted(self._hosts_with_hashes())
        return self.members.local.host_id in {
            host_id for _, host_id in hosts[:_SNAPSHOT_HOST_COUNT]
        }

    def _hosts_with_hashes(self) -> list[tuple[int, ids.HostId]]:
        return [
            (xxhash.xxh3_64_intdigest(host_id.encode()), host_id)
            for zone in self.members.zones()
            for host_id in self.members.hosts_in(zone)
        ]

    def _request_config(self, host_id: ids.HostId, number: ids.ConfigNumber) -> None:
        if self._config_source.number() >= number:
            return
        self._config_source.record_peer_number(number)
        self._reactor.callLater(
            _PEER_REQUEST_DELAY_S, self._request_config_if_behind, host_id, number
        )

    def _request_config_if_behind(self, host_id: ids.HostId, number: ids.ConfigNumber) -> None:
        if self.config_number() < number:
            self.gossip_task.exchange_with(host_id)

    def _check_clients(self) -> None:
        # First, so that a failure does not end the task.
        self._reactor.callLater(_CLIENT_CHECK_INTERVAL_S, self._check_clients)
        self._caller_factory.check_clients()
        self._peer_factory.check_clients()
        self._operator_site.check_clients()

    def _take_over(self) -> None:
        lifetime.PROCESS.take_over(
            self._reactor.callFromThread, event_log.emit, self._life_cycle.leave
        )
        self._reactor.addSystemEventTrigger('after', 'shutdown', lifetime.PROCESS.ignore_signals)

    def _backend_changed(self, backend: backend_watch.Backend | None) -> None:
        self.host.backend_changed(backend)
        self._apply_service_config()
        self._update_local_member()

    def _config_changed(self, state: config_state.ConfigState) -> None:
        self._apply_service_config()
        self.host.config_changed()
        self.entry.refresh()

    def _apply_service_config(self) -> None:
        state = self.config.state
        zone = state.document.zones.get(self._settings.zone)
        self.host.set_zone_out(zone is not None and zone.state is document.ZoneState.OUT)
        backend = self.backend.backend
        service = None if backend is None else state.document.services.get(backend.service)
        if service is not None:
            decisions = targets.decide(service)
            self.host.admission.wait_bound_ms = decisions.queue_bound_ms
            self.host.probe.budget.percent = service.probe_budget_percent

    def _update_local_member(self) -> None:
        backend = self.backend.backend
        current = self.members.local
        state = self._member_state(backend)
        service = current.service if backend is None else backend.service
        version = current.version if backend is None else backend.version
        if (current.state, current.service, current.version) == (state, service, version):
            return
        self.members.update_local(self._clock.now(), state=state, service=service, version=version)
        self.entry.refresh()
        self._membership_log.publish()
        self.gossip_task.exchange_urgently()
        if state is membership.MemberState.LEAVING:
            self._reactor.callLater(_REJECTION_DELAY_S, self._reject_new_calls)
        elif state is not membership.MemberState.LEFT:
            self.host.admission.leaving = False

    def _member_state(self, backend: backend_watch.Backend | None) -> membership.MemberState:
        node_state = self._life_cycle.state
        if node_state is life_cycle.NodeState.STOPPED:
            return membership.MemberState.LEFT
        if node_state is life_cycle.NodeState.LEAVING:
            return membership.MemberState.LEAVING
        if backend is None:
            return membership.MemberState.STARTING
        if backend.leaving:
            return membership.MemberState.LEAVING
        return membership.MemberState.SERVING

    def _reject_new_calls(self) -> None:
        if self.members.local.state is membership.MemberState.LEAVING:
            self.host.admission.leaving = True

    def _close_callers(self) -> None:
        # The peer listener stays open, since entry sides resolve running calls through it.
        check = self._reactor.callLater(drain.CHECK_INTERVAL_S, self._close_callers)
        stopped_for_ms = self._caller_close.stopped_for_ms
        self._caller_close.check(
            must_close=stopped_for_ms >= _MAX_SERVE_MS,
            must_end=stopped_for_ms >= _MAX_SERVE_MS + _MAX_CLOSE_MS,
        )
        if self._caller_close.phase is not caller_close.Phase.CLOSED:
            return
        check.cancel()
        drain.Drain(
            self._reactor,
            self._clock,
            self._calls_in_progress,
            self._busy_connections,
            self._life_cycle.drained,
        ).check()

    def _calls_in_progress(self) -> int:
        return self.host.calls_in_progress + len(self.entry.in_progress)

    def _busy_connections(self) -> int:
        # Closes connections whose last response did not announce the close.
        self._caller_factory.close_when_idle()
        return self._caller_factory.busy_count + self._peer_factory.busy_count


def _max_descriptors() -> int:
    """Return how many descriptors the process may open, 0 without a limit."""
    soft_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return 0 if soft_limit == resource.RLIM_INFINITY else soft_limit
