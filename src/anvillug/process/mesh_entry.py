"""Entry side of a mesh node: receives requests from callers and sends them to hosts."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable, Collection, Mapping, Sequence
from typing import Any

from anvillug import clock, event_log, ids
from anvillug.connection import http_exchange, http_head, http_pool, memory_account
from anvillug.process import (
    directive_fetch,
    host_choice,
    mesh_host,
    mesh_settings,
    metrics,
    peer_table,
    pending_attempt,
    sound_word,
    upstream,
    zone_choice,
)
from anvillug.request import dialect, job, rejection, remote_run, retry_share, routed_call
from anvillug.version import directives, rollout_counts, rollouts

_MAX_CONNECTIONS = 256
# While so many calls are in progress, a request begins only once those ahead of it on its
# connection are answered, so that callers that send ahead leave room for the others.
_MAX_OVERLAPPING_CALLS = 32
_CONNECT_TIMEOUT_S = 0.25
# A body of this size or more is sent to another zone only after an inquiry, which costs a round
# trip, so that it isn't sent between zones only to be rejected.
_MIN_INQUIRY_BODY_BYTES = 16 * 1024


class MeshEntry:
    """Entry side of a mesh node; see `routed_call.CallContext`.

    Args:
        reactor: Twisted reactor.
        time: Clock.
        settings: Settings of the node.
        active_directives: Directives in effect.
        peers: Other nodes.
        host: Host side of this node.
        header_dialect: Reads and writes the headers of callers.
        rollouts: Rollouts in progress.
        process_metrics: Metrics of the process.
        local_announcement: Returns the current announcement of this node.
        account: Account of the memory that is held for clients.
        on_too_large: Called with the position of directives that are too large to be fetched from
            another node and have to be read from the log.
        word: Newest word of the log; None if the newest known keys count, however old they are.
    """

    def __init__(  # noqa: WPS211 - components with the lifetime of the process
        self,
        reactor: Any,
        time: clock.Clock,
        settings: mesh_settings.MeshSettings,
        active_directives: directives.ActiveDirectives,
        peers: peer_table.PeerTable,
        host: mesh_host.MeshHost,
        header_dialect: dialect.Dialect,
        rollouts: rollouts.Rollouts,
        process_metrics: metrics.Metrics,
        local_announcement: Callable[[], peer_table.Announcement],
        account: memory_account.MemoryAccount,
        on_too_large: Callable[[directives.Position], None],
        word: sound_word.SoundWord | None = None,
    ) -> None:
        self.reactor = reactor
        self.clock = time
        self.rng = random.Random()
        self.header_dialect = header_dialect
        self.caller_service: str = settings.service
        self.in_progress: set[routed_call.RoutedCall] = set()
        """Calls that have not ended."""
        self.closed = False
        """Whether the process is about to stop and rejects new requests."""
        self.receive_loads: Callable[[], object] = _no_loads
        """Called before a host is chosen; receives the loads that other nodes have sent."""
        self.serves: Callable[[ids.ServiceName], bool] = self._announces_service
        """Returns whether the backend server of this node accepts jobs of a service."""
        self._settings = settings
        self._word = word
        self._active_directives = active_directives
        self._pending_attempts: set[pending_attempt.PendingAttempt] = set()
        self._peers = peers
        self._host = host
        self._rollouts = rollouts
        self._local_announcement = local_announcement
        self._metrics = process_metrics
        self._account = account
        self._pools_by_address: dict[str, http_pool.Pool] = {}
        self._fetch = directive_fetch.DirectiveFetch(reactor, active_directives, on_too_large)
        bounds = settings.bounds
        self._zone_choice = (
            None
            if settings.crossing is None
            else zone_choice.ZoneChoice(settings.zone, settings.crossing, process_metrics, self.rng)
        )
        self._retries = retry_share.RetryShare(
            bounds.retry_ratio, bounds.retry_window_ms, bounds.retry_slack
        )

    def request_received(self, exchange: http_exchange.ServerExchange) -> None:
        """Process a caller's request; see `http_exchange.RequestStarted`."""
        if self.closed:
            headers = tuple(self.header_dialect.retry_headers(_STOPPING_RETRY_AFTER_MS))
            rejection.Rejection(
                self.reactor,
                exchange,
                lambda: exchange.respond(
                    routed_call.STATUS_UNAVAILABLE, b'node is stopping\n', headers
                ),
            )
            return
        call = routed_call.RoutedCall(self, exchange)
        self.in_progress.add(call)
        call.receive()

    def may_overlap(self, head: http_head.RequestHead) -> bool:
        """Return whether a request may run while others before it on its connection do.

        See `http_server.MayOverlap`.
        """
        if len(self.in_progress) >= _MAX_OVERLAPPING_CALLS:
            return False
        routes = self._active_directives.current.routes
        route = None if routes is None else routes.match(head.get(b'host') or b'', head.path)
        return route is not None and route.is_repeatable

    def gauges(self) -> Mapping[str, float]:
        """Return the gauges of the entry side."""
        return {} if self._zone_choice is None else self._zone_choice.gauges()

    # For explanations

    def hosts(self, service: ids.ServiceName, now: clock.Milliseconds) -> list[peer_table.Peer]:
        """Return all hosts of a service; see `explanation.EntrySide`."""
        local = self._local_announcement()
        others = [
            peer for peer in self._peers.by_host_id.values() if peer.announcement.service == service
        ]
        return [*others, self._local_peer(local, now)] if local.service == service else others

    def eligible(
        self, service: ids.ServiceName, now: clock.Milliseconds
    ) -> Sequence[peer_table.Peer]:
        """Return the hosts of a service that may get requests; see `explanation.EntrySide`."""
        candidates = self._candidates(service, now)
        zones_out = self._active_directives.current.zones_out
        if not zones_out:
            return candidates
        return [peer for peer in candidates if peer.announcement.zone not in zones_out]

    def preview(
        self, work: job.Job, hosts: Sequence[peer_table.Peer], rng: random.Random
    ) -> peer_table.Peer | None:
        """Return the host that a job would be sent to; see `explanation.EntrySide`."""
        now = self.clock.now()
        if not hosts or self._zone_choice is None:
            return host_choice.choose(hosts, self._origin(work), now, rng)
        share = self._zone_choice.share_of(work.service)
        return self._zone_choice.select(work, hosts, share, now, rng)

    def zone_share(self, service: ids.ServiceName) -> tuple[float, str]:
        """Return the share of work that leaves the zone; see `explanation.EntrySide`."""
        if self._zone_choice is None:
            return 0.0, 'fixed preference of the own zone'
        share = self._zone_choice.share_of(service)
        return share.share, share.reason

    def own_rejection(self, work: job.Job) -> tuple[str, float]:
        """Return why the host of this node rejects a job; see `explanation.EntrySide`."""
        instance = self._host.upstream.instance
        return self._host.preview(dataclasses.replace(work, instance=instance))

    # For calls

    def directives(self) -> directives.Directives:
        """Return the directives in effect; see `routed_call.CallContext`."""
        return self._active_directives.current

    def has_recent_word(self) -> bool:
        """Return whether keys can be relied on; see `routed_call.CallContext`."""
        return self._word is None or self._word.is_recent

    def reserve(self, size: int, reserved: int = 0) -> bool:
        """Reserve memory for a body; see `routed_call.CallContext`."""
        return self._account.reserve_more(size, reserved)

    def spend_retry(self, service: ids.ServiceName) -> bool:
        """Spend the retry budget; see `routed_call.CallContext`."""
        return self._retries.spend(service, self._node_count(), self.clock.now())

    def start(
        self,
        call: routed_call.RoutedCall,
        work: job.Job,
        on_result: Callable[[job.Result], None],
    ) -> Callable[[], object] | None:
        """Select a host and send a job to it; see `routed_call.CallContext`."""
        self.receive_loads()
        now = self.clock.now()
        if call.tries == 1:
            self._retries.earn(call.service, self._node_count(), now)
        peer = self._choose(call, work, now)
        if peer is None:
            return None
        call.attempted_hosts.add(peer.announcement.host_id)
        work.instance = peer.announcement.instance
        work.origin_zone = self._settings.zone
        attempt = pending_attempt.PendingAttempt(
            self, peer, work, call.route.target_latency_ms, on_result
        )
        if peer.announcement.host_id == self._settings.host_id:
            attempt.run_started(self._host.submit(work, attempt.result))
        else:
            pool = self.pool(peer.announcement.peer_address)
            run = remote_run.RemoteRun(
                self.reactor, pool, work, self.clock, attempt.result, self._account
            )
            attempt.run_started(run.cancel)
            # An inquiry guards against a node that has failed: a job that must not be repeated
            # would be lost, whether it has run or not, and others would cost time and retry budget.
            if not work.repeatable or peer.is_overdue(now) or self._has_costly_body(work, peer):
                attempt.inquire_first(run)
            else:
                run.begin()
        return attempt.cancel

    def attempt_ended(self, attempt: pending_attempt.PendingAttempt, result: job.Result) -> None:
        """Record the result of an attempt and update the state of its host."""
        now = self.clock.now()
        peer = attempt.peer
        work = attempt.work
        # The next attempt of the call needs this, even if recording the result fails.
        if result.node_failed:
            peer.avoid(now)
        peer.record_load(result.load, now)
        self._metrics.count('tries', result.kind.value)
        if self._zone_choice is not None:
            self._zone_choice.record(work, result, now - attempt.started_at)
        self._count_for_rollout(attempt, result, now)
        event_log.emit(
            'try_over',
            request=work.attempt_id,
            host=peer.announcement.host_id,
            instance=work.instance,
            version=attempt.version,
            route=work.route,
            outcome=result.kind.value,
            reason=result.reason,
            counted_as=attempt.counted_name,
            slowness=attempt.slowness,
            slowness_after=-1 if result.load is None else int(result.load.slowness),
            faulty_percent=attempt.faulty_percent,
            load_age_ms=attempt.load_age_ms,
            position=work.position,
            host_position=result.position,
            took_ms=int(now - attempt.started_at),
        )
        if result.position > self._active_directives.current.position:
            self._fetch.start(self.pool(peer.announcement.peer_address))

    def attempt_cancelled(self, attempt: pending_attempt.PendingAttempt) -> None:
        """Record a cancelled attempt, whose result remains unknown."""
        work = attempt.work
        load = attempt.peer.load
        event_log.emit(
            'try_cancelled',
            request=work.attempt_id,
            host=attempt.peer.announcement.host_id,
            version=attempt.version,
            route=work.route,
            counted_as=attempt.counted_name,
            slowness=attempt.slowness,
            slowness_after=-1 if load is None else int(load.slowness),
            waited_ms=int(self.clock.now() - attempt.started_at),
        )

    def count_overdue(self) -> None:
        """Count attempts without a response as evidence on their version once they are slow.

        An attempt that is cancelled, at the timeout of its route or since another attempt was
        faster, has no result that could be counted.
        """
        now = self.clock.now()
        for attempt in self._pending_attempts:
            if attempt.counted_as is None:
                waited_ms = now - attempt.started_at
                call = attempt.as_call(waited_ms, attempt.peer.load)
                self._record_counted(attempt, self._rollouts.record_if_slow(call))

    def _count_for_rollout(
        self, attempt: pending_attempt.PendingAttempt, result: job.Result, now: clock.Milliseconds
    ) -> None:
        """Count a result as evidence on the version that it came from."""
        if result.is_version_evidence and attempt.counted_as is None:
            answered = result.kind is job.ResultKind.ANSWERED and not result.failed
            latency_ms = now - attempt.started_at if answered else None
            call = attempt.as_call(latency_ms, result.load)
            self._record_counted(attempt, self._rollouts.record(call))

    def _record_counted(
        self, attempt: pending_attempt.PendingAttempt, outcome: rollout_counts.Outcome | None
    ) -> None:
        attempt.counted_as = outcome
        if outcome is not None:
            self._metrics.count('rollout_calls', f'{attempt.version} {outcome.value}')

    def has_faster_host(self, call: routed_call.RoutedCall) -> bool:
        """Return whether a much faster host is available; see `routed_call.CallContext`."""
        now = self.clock.now()
        attempt = self._pending_attempt(call.attributes.attempt_id)
        if attempt is None:
            return False
        self.receive_loads()
        work = attempt.work
        origin = self._origin(work)
        # First, since most hosts are not slow, and a choice costs more.
        if not self._is_slow(attempt.peer, origin, now):
            self._step_zone_share(call, work, now)
            return False
        other = self._choose(call, work, now)
        if other is None or other.is_unresponsive(now):
            return False
        return host_choice.expected_slowness(other, origin, now) < _MAX_HEDGE_SLOWNESS

    def abort_lost_attempts(self) -> None:
        """Abort the attempts whose process was replaced, since it can't respond to them any more.

        Attempts whose node has only timed out stay pending: the backend server may still be
        executing the request, and the response may still arrive.
        """
        for attempt in tuple(self._pending_attempts):
            if attempt.has_node_restarted:
                attempt.abort('node: restarted')

    def pending_changed(self, attempt: pending_attempt.PendingAttempt, *, ended: bool) -> None:
        """Update the set of pending attempts when one has begun or ended."""
        if ended:
            self._pending_attempts.discard(attempt)
        else:
            self._pending_attempts.add(attempt)

    def call_ended(self, call: routed_call.RoutedCall, status: int, reason: str) -> None:
        """Record the result of a call; see `routed_call.CallContext`."""
        self.in_progress.discard(call)
        held_ms = self.clock.now() - call.started_at
        self._metrics.count('calls', str(status))
        self._metrics.latency('call_latency', held_ms)
        if call.refusal is not None:
            self._metrics.count('access_rejections', call.refusal.value)
        if call.is_rejected:
            kind = str(status) if call.refusal is None else call.refusal.value
            self._metrics.count_of_tenant('tenant_rejections', call.tenant, kind)
        event_log.emit(
            'call_over',
            request=call.attributes.attempt_id,
            status=status,
            reason=reason,
            route='' if call.route is None else call.route.name,
            service=call.service,
            tenant=call.tenant,
            tries=call.tries,
            arrivals=call.arrivals,
            position=self._active_directives.current.position,
            held_ms=int(held_ms),
            connection=call.place.connection,
            ahead=call.place.ahead,
        )

    def cut_calls(self) -> None:
        """End the calls in progress without a response, since the process ends."""
        for call in tuple(self.in_progress):
            call.cut()

    def fetch_directives(self, address: str) -> None:
        """Fetch newer directives from another node."""
        self._fetch.start(self.pool(address))

    def pool(self, address: str) -> http_pool.Pool:
        """Return the connections to another node."""
        pool = self._pools_by_address.get(address)
        if pool is None:
            self._close_unused_pools()
            host, _, port = address.rpartition(':')
            pool = http_pool.Pool(
                self.reactor,
                host,
                int(port),
                max_connections=_MAX_CONNECTIONS,
                connect_timeout_s=_CONNECT_TIMEOUT_S,
            )
            self._pools_by_address[address] = pool
        return pool

    @property
    def pools(self) -> Collection[http_pool.Pool]:
        """Connections to other nodes."""
        return self._pools_by_address.values()

    @property
    def reserved_bytes(self) -> int:
        """Memory that is reserved for the bodies of calls in progress."""
        return sum(call.reserved_bytes for call in self.in_progress)

    # Private

    def _close_unused_pools(self) -> None:
        """Close the pools of addresses that no node has any more."""
        used = {peer.announcement.peer_address for peer in self._peers.by_host_id.values()}
        for address in self._pools_by_address.keys() - used:
            self._pools_by_address.pop(address).close()

    def _pending_attempt(self, attempt_id: str) -> pending_attempt.PendingAttempt | None:
        for attempt in self._pending_attempts:
            if attempt.work.attempt_id == attempt_id:
                return attempt
        return None

    def _is_slow(
        self, peer: peer_table.Peer, origin: host_choice.Origin, now: clock.Milliseconds
    ) -> bool:
        """Return whether a host that has a job is slow or does not respond."""
        if peer.announcement.host_id == self._settings.host_id:
            peer = peer_table.Peer(self._local_announcement(), now)
        current_slowness = host_choice.expected_slowness(peer, origin, now)
        return current_slowness > mesh_host.SLOWNESS_LIMIT or peer.is_unresponsive(now)

    def _step_zone_share(
        self, call: routed_call.RoutedCall, work: job.Job, now: clock.Milliseconds
    ) -> None:
        """Move the share of work that leaves the zone as a choice would."""
        choice = self._zone_choice
        if choice is not None and choice.share_of(work.service).is_due(now):
            allowed, in_service = self._allowed(call, work, now)
            if allowed:
                choice.stepped_share(work, in_service, now)

    def _allowed(
        self, call: routed_call.RoutedCall, work: job.Job, now: clock.Milliseconds
    ) -> tuple[Sequence[peer_table.Peer], Sequence[peer_table.Peer]]:
        """Return the hosts that may be selected for a job, and those for any of its service."""
        in_service = self.eligible(work.service, now)
        untried = in_service
        if call.attempted_hosts:
            untried = [peer for peer in in_service if peer.host_id not in call.attempted_hosts]
        return self._rollouts.allowed(work.service, untried, call.version_draw), in_service

    def _choose(
        self, call: routed_call.RoutedCall, work: job.Job, now: clock.Milliseconds
    ) -> peer_table.Peer | None:
        allowed, in_service = self._allowed(call, work, now)
        if self._zone_choice is not None:
            return self._zone_choice.choose(work, allowed, in_service, now)
        return host_choice.choose(allowed, self._origin(work), now, self.rng)

    def _has_costly_body(self, work: job.Job, peer: peer_table.Peer) -> bool:
        """Return whether a job's body is large and would be sent to another zone."""
        is_remote = peer.announcement.zone != self._settings.zone
        return is_remote and len(work.body) >= _MIN_INQUIRY_BODY_BYTES

    def _origin(self, work: job.Job) -> host_choice.Origin:
        return host_choice.Origin(self._settings.zone, len(work.body) / _BYTES_PER_KB)

    def _candidates(
        self, service: ids.ServiceName, now: clock.Milliseconds
    ) -> Sequence[peer_table.Peer]:
        others = self._peers.of_service(service)
        if not self.serves(service):
            return others
        return (*others, self._local_peer(self._local_announcement(), now))

    def _announces_service(self, service: ids.ServiceName) -> bool:
        local = self._local_announcement()
        return local.service == service and local.state is upstream.UpstreamState.SERVING

    def _local_peer(
        self, local: peer_table.Announcement, now: clock.Milliseconds
    ) -> peer_table.Peer:
        """Return this node as a host that may be selected."""
        peer = peer_table.Peer(local, now)
        peer.outstanding = self._host.running
        return peer

    def _node_count(self) -> int:
        return len(self._peers.by_host_id) + 1


def _no_loads() -> None:
    """Receive nothing."""


_BYTES_PER_KB = 1024
# A hedge is sent only to a host that is fast and has free slots, so that hedging stops when the
# hosts are overloaded.
_MAX_HEDGE_SLOWNESS = 140.0
# Sent to callers that are rejected while the process stops: by then they use another node, or the
# process has restarted.
_STOPPING_RETRY_AFTER_MS = 100.0
