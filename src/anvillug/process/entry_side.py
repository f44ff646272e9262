"""Entry side of a node: receives calls from callers and routes them to hosts."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable

from twisted.internet import interfaces

from anvillug import clock, event_log, ids
from anvillug.connection import http_exchange, http_head, memory_account
from anvillug.process import (
    keyed_calls,
    load_sampler,
    membership,
    peer_pools,
    service_router,
    service_view,
    settings,
)
from anvillug.request import attempt as attempts
from anvillug.request import budget, call, entry_call, entry_request
from anvillug.version import config_state

_STATUS_BAD_REQUEST = 400
_STATUS_NOT_FOUND = 404
_SAMPLE_INTERVAL_S = 0.05
# Past it, requests that are sent ahead begin one after the other on each connection. Each call may
# need connections of its own, to its host and from it.
_MAX_CALLS_FOR_OVERLAP = 32
_MAX_VIEW_AGE_MS = 500
_MIN_SILENCE_MS = 500.0
_SILENCE_FACTOR = 4.0
"""Number of hedge delays without a response after which the outcome of a call is resolved."""


@dataclasses.dataclass(slots=True)
class EntryCounters:
    """Calls of the entry side since the start of the process."""

    calls: int = 0
    """Calls received."""
    answered: int = 0
    """Calls with a response of a backend server."""
    not_run: int = 0
    """Calls reported as not run, or whose caller disconnected before the call was sent."""
    unknown: int = 0
    """Calls whose outcome is unknown, or whose caller disconnected after the call was sent."""
    attempts: int = 0
    """Requests sent to hosts."""
    resolves: int = 0
    """Requests for the outcome of a call, sent to hosts."""
    hedges: int = 0
    """Hedges sent."""
    samples: int = 0
    """Load samples requested."""


class EntrySide:
    """Routes the calls of callers to hosts.

    Args:
        reactor: Twisted reactor.
        time: Clock.
        members: Table of members.
        pools: Connections to other nodes.
        config: Returns the configuration in effect.
        is_bad: Returns whether the new version of a rollout has a bad verdict.
        observer: Notified of each ended attempt.
        keyed: Claims idempotency keys.
        rng: Source of random numbers.
        timeouts: Timeouts of the settings.
        chooser: Algorithm that selects hosts; see the setting of this name.
        account: Account of the memory that the process holds for clients; one of its own by
            default.
    """

    def __init__(  # noqa: WPS211 - components with the lifetime of the process
        self,
        reactor: interfaces.IReactorTime,
        time: clock.Clock,
        members: membership.MemberTable,
        pools: peer_pools.PeerPools,
        config: Callable[[], config_state.ConfigState],
        is_bad: Callable[[ids.ServiceName, config_state.MoveStatus], bool],
        observer: service_router.AttemptObserver,
        keyed: keyed_calls.KeyedCalls,
        rng: random.Random,
        timeouts: settings.Timeouts,
        chooser: str = service_router.DEFAULT_CHOOSER,
        account: memory_account.MemoryAccount | None = None,
    ) -> None:
        self.reactor = reactor
        self.clock = time
        self.account = account or memory_account.create(time)
        self.counters = EntryCounters()
        self.in_progress: set[entry_call.EntryCall] = set()
        self._members = members
        self._pools = pools
        self._config = config
        self._is_bad = is_bad
        self._observer = observer
        self._keyed = keyed
        self._rng = rng
        self._chooser = chooser
        self._sample_timeout_s = clock.to_seconds(timeouts.sample_ms)
        self._max_silence_ms = timeouts.silence_ms
        self._routers_by_service: dict[ids.ServiceName, service_router.ServiceRouter] = {}
        self._sequence = 0
        self._request_samples()

    def request_received(self, exchange: http_exchange.ServerExchange) -> None:
        """Start a call, or reject a request that is malformed or names an unknown service."""
        now = self.clock.now()
        try:
            request = entry_request.parse(exchange.head, now)
        except entry_request.BadRequestError as error:
            event_log.warn('caller_request_rejected', reason=error)
            exchange.respond(_STATUS_BAD_REQUEST, f'{error}\n'.encode())
            return
        router = self._router(request.service, now)
        if router is None:
            text = f'service {request.service!r} is not in the configuration\n'
            exchange.respond(_STATUS_NOT_FOUND, text.encode())
            return
        self._sequence += 1
        self.counters.calls += 1
        local_member = self._members.local
        call_id = ids.CallId(local_member.host_id, local_member.incarnation, self._sequence)
        route = router.match_route(request.head)
        properties = call.CallProperties(
            call_id=call_id,
            service=request.service,
            criticality=route.criticality,
            repeatable=route.repeatable,
            deadline=request.deadline,
            depth=request.depth + 1,
        )
        started = entry_call.EntryCall(self, exchange, request, properties)
        started.route = route.name
        self.in_progress.add(started)
        router.call_started(now)
        started.receive()

    def may_overlap(self, head: http_head.RequestHead) -> bool:
        """Return whether a request may run while others before it on its connection do.

        See `http_server.MayOverlap`.
        """
        if len(self.in_progress) >= _MAX_CALLS_FOR_OVERLAP:
            return False
        now = self.clock.now()
        try:
            request = entry_request.parse(head, now)
        except entry_request.BadRequestError:
            return False
        router = self._router(request.service, now)
        return router is not None and router.match_route(head).repeatable

    # Calls from `EntryCall`

    def start_attempt(
        self,
        active_call: entry_call.EntryCall,
        kind: attempts.AttemptKind,
        host: tuple[ids.HostId, ids.Incarnation] | None,
    ) -> attempts.Attempt | None:
        """Start an attempt; see `entry_context.EntryContext`."""
        now = self.clock.now()
        router = self._router(active_call.request.service, now)
        if router is None:
            return None
        if host is None:
            host = self._choose(router, active_call, now)
        pool = None if host is None else self._pools.get(host[0])
        if host is None or pool is None:
            return None
        attempt = attempts.Attempt(active_call, router, *host, active_call.call_id, kind, now)
        active_call.attempt_started(attempt)
        if kind is attempts.AttemptKind.SEND:
            self.counters.attempts += 1
            attempt.load_level = router.candidates.load_level(attempt.host_id)
            router.candidates.attempt_started(attempt.host_id)
        else:
            self.counters.resolves += 1
        attempt.begin(pool)
        return attempt

    def attempt_finished(
        self, active_call: entry_call.EntryCall, attempt: attempts.Attempt
    ) -> None:
        """Record the end of an attempt; see `entry_context.EntryContext`."""
        now = self.clock.now()
        router = self._routers_by_service.get(active_call.request.service)
        if router is not None:
            router.attempt_finished(attempt, active_call.route, now)
        if attempt.connect_failed or attempt.responded:
            self._members.observe(attempt.host_id, attempt.responded, now)

    def connection_unresponsive(self, host_id: ids.HostId) -> None:
        """Close idle connections to a host; see `entry_context.EntryContext`."""
        self._pools.close_idle(host_id)

    def claim(self, active_call: entry_call.EntryCall) -> None:
        """Claim the key of a call; see `entry_context.EntryContext`."""
        self._keyed.claim(active_call)

    def config_number(self) -> ids.ConfigNumber:
        """Return the number in effect; see `entry_context.EntryContext`."""
        return self._config().number

    def may_retry(self, active_call: entry_call.EntryCall, outcome: call.Outcome) -> bool:
        """Check the retry budget; see `entry_context.EntryContext`."""
        now = self.clock.now()
        router = self._router(active_call.request.service, now)
        if router is None:
            return False
        allowed = budget.may_retry(
            outcome,
            active_call.properties.repeatable,
            active_call.attempt_count,
            active_call.response_exhausted,
            active_call.properties.deadline,
            now,
        )
        return allowed and router.retries.spend(now)

    def hedge_delay_ms(self, active_call: entry_call.EntryCall) -> float | None:
        """Return the delay before a hedge; see `entry_context.EntryContext`."""
        if not active_call.properties.repeatable or not active_call.request.small_body:
            return None
        router = self._router(active_call.request.service, self.clock.now())
        return None if router is None else router.hedge_delay_ms()

    def may_hedge(self, active_call: entry_call.EntryCall) -> bool:
        """Check the hedge budget; see `entry_context.EntryContext`."""
        now = self.clock.now()
        router = self._router(active_call.request.service, now)
        if router is None:
            return False
        waited_ms = now - active_call.started_at
        properties = active_call.properties
        allowed = router.hedges.may_hedge(
            properties.repeatable,
            waited_ms,
            properties.deadline,
            now,
        )
        self.counters.hedges += allowed
        return allowed

    def silence_ms(self, active_call: entry_call.EntryCall) -> float:
        """Return the time until the outcome is resolved; see `entry_context.EntryContext`."""
        router = self._router(active_call.request.service, self.clock.now())
        hedge_delay_ms = None if router is None else router.hedges.delay_ms()
        return min(
            self._max_silence_ms, max(_MIN_SILENCE_MS, _SILENCE_FACTOR * (hedge_delay_ms or 0))
        )

    def call_ended(self, ended: entry_call.EntryCall, status: int, outcome: call.Outcome) -> None:
        """Record the result of a call; see `entry_context.EntryContext`."""
        self.in_progress.discard(ended)
        if ended.keyed:
            self._keyed.call_ended(ended.properties.call_id, outcome, ended.stored_response)
        if outcome is call.Outcome.FINISHED:
            self.counters.answered += 1
        elif outcome is call.Outcome.NOT_RUN:
            self.counters.not_run += 1
        else:
            self.counters.unknown += 1
        router = self._routers_by_service.get(ended.request.service)
        if router is not None:
            router.call_ended(ended, status, outcome, self.clock.now())

    def dump(self) -> dict[str, object]:
        """Return the state of the entry side for operators."""
        return {
            'counters': dataclasses.asdict(self.counters),
            'in_progress': len(self.in_progress),
            'keyed': self._keyed.dump(),
            'connections_by_host_id': self._pools.counts(),
            'services': {name: router.dump() for name, router in self._routers_by_service.items()},
        }

    def refresh(self) -> None:
        """Invalidate the views of all services after a change of configuration or members."""
        for router in self._routers_by_service.values():
            router.max_view_age_ms = 0

    # Private

    def _router(
        self,
        name: ids.ServiceName,
        now: clock.Milliseconds,
    ) -> service_router.ServiceRouter | None:
        router = self._routers_by_service.get(name)
        if router is not None and now - router.view_built_at < router.max_view_age_ms:
            return router
        config = self._config()
        view = service_view.build(
            config,
            self._members,
            name,
            self._members.local,
            self.clock.wall(),
            self._is_bad,
        )
        if view is None:
            self._routers_by_service.pop(name, None)
            return None
        if router is None:
            router = service_router.ServiceRouter(
                name,
                view,
                self.clock,
                self._observer,
                self._chooser,
            )
            self._routers_by_service[name] = router
        router.set_view(view, now, _MAX_VIEW_AGE_MS)
        return router

    def _choose(
        self,
        router: service_router.ServiceRouter,
        active_call: entry_call.EntryCall,
        now: clock.Milliseconds,
    ) -> tuple[ids.HostId, ids.Incarnation] | None:
        host_id = router.choose(active_call.attempted_hosts, now, self._rng)
        member = None if host_id is None else self._members.get(host_id)
        if member is None or host_id is None:
            return None
        return (host_id, member.incarnation)

    def _request_samples(self) -> None:
        # First, so that a failure does not end the task.
        self.reactor.callLater(_SAMPLE_INTERVAL_S, self._request_samples)
        now = self.clock.now()
        for router in self._routers_by_service.values():
            for host_id in router.hosts_to_sample(now):
                self._request_sample(router, host_id)

    def _request_sample(self, router: service_router.ServiceRouter, host_id: ids.HostId) -> None:
        pool = self._pools.get(host_id)
        if pool is not None:
            self.counters.samples += 1
            load_sampler.SampleRequest(
                self.reactor,
                host_id,
                self._sample_timeout_s,
                router.load_received,
                self._pools.close_idle,
            ).start(pool)
