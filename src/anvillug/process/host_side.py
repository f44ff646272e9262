"""Host side of a node: admits calls to its backend server and records their outcomes."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from twisted.internet import interfaces

from anvillug import clock, event_log, ids
from anvillug.connection import http_exchange, http_head, http_pool, memory_account
from anvillug.process import backend_probe, backend_watch
from anvillug.request import (
    admission,
    call,
    call_table,
    host_call,
    host_request,
    limit,
    quarantine,
    resolution,
)

_STATUS_NO_CONTENT = 204
_STATUS_BAD_REQUEST = 400
_EXPIRY_INTERVAL_S = 1.0
_MIN_IDLE_CONNECTIONS = 2
_CONFIG_TIMEOUT_S = 0.5
_MAX_WAITING_FOR_CONFIG = 1000


@dataclasses.dataclass(slots=True)
class HostCounters:
    """Calls of the host side since the start of the process."""

    admitted: int = 0
    """Calls that got a slot or were queued."""
    refused: int = 0
    """Calls rejected as not run."""
    finished: int = 0
    """Calls with a complete response of the backend server."""
    failed: int = 0
    """Calls whose outcome is unknown."""
    resolved: int = 0
    """Requests for the outcome of a call."""


class HostSide:
    """Admits calls to the local backend server and retains their outcomes.

    Args:
        reactor: Twisted reactor.
        time: Clock.
        incarnation: Incarnation of this node.
        table: Outcomes of calls.
        crash_quarantine: Suspect and quarantined fingerprints.
        kept_answer_bytes: Size of the largest response that is retained.
        config_number: Returns the configuration number in effect.
        request_config: Requests a newer configuration from a host, given its number.
        crashed: Called with new quarantine entries, to send them to peers.
        resolve_keyed: Responds to an entry side that requests the outcome of a keyed call.
        account: Account of the memory that the process holds for clients; one of its own by
            default.
    """

    def __init__(  # noqa: WPS211 - components with the lifetime of the process
        self,
        reactor: interfaces.IReactorTime,
        time: clock.Clock,
        incarnation: ids.Incarnation,
        table: call_table.CallTable,
        crash_quarantine: quarantine.Quarantine,
        kept_answer_bytes: int,
        config_number: Callable[[], ids.ConfigNumber],
        request_config: Callable[[ids.HostId, ids.ConfigNumber], None],
        crashed: Callable[[list[quarantine.QuarantineEntry]], None],
        resolve_keyed: Callable[[http_exchange.ServerExchange], None],
        account: memory_account.MemoryAccount | None = None,
    ) -> None:
        self.reactor = reactor
        self.clock = time
        self.account = account or memory_account.create(time)
        self.kept_answer_bytes = kept_answer_bytes
        self.counters = HostCounters()
        self.concurrency = limit.ConcurrencyLimit(slots=1)
        self.admission = admission.Admission(self.concurrency)
        self.admission.has_backend = False
        self._incarnation = incarnation
        self._table = table
        self._crash_quarantine = crash_quarantine
        self._config_number = config_number
        self._request_config = request_config
        self._crashed = crashed
        self._resolve_keyed = resolve_keyed
        self._backend: backend_watch.Backend | None = None
        self._pool: http_pool.Pool | None = None
        self._calls_by_id: dict[ids.CallId, host_call.HostCall] = {}
        self._waiting_for_config: list[host_call.HostCall] = []
        self._queue_timer: interfaces.IDelayedCall | None = None
        self.probe = backend_probe.BackendProbe(reactor, time, self.pool, self.probed)
        self._expire_periodically()

    @property
    def calls_in_progress(self) -> int:
        """Calls that are queued or running."""
        return len(self._calls_by_id)

    @property
    def pools(self) -> tuple[http_pool.Pool, ...]:
        """Connections to the backend server, if there is one."""
        return () if self._pool is None else (self._pool,)

    def dump(self) -> dict[str, object]:
        """Return the state of the host side for operators."""
        now = self.clock.now()
        pool = self._pool
        return {
            'counters': dataclasses.asdict(self.counters),
            'load': call.format_load(self.admission.sample(now)),
            'calls_in_progress': self.calls_in_progress,
            'cold': self.concurrency.cold,
            'connections': 0 if pool is None else pool.open_count,
            'call_table_entries': len(self._table),
            'kept_answer_bytes': self._table.response_bytes,
            'quarantined': len(self._crash_quarantine),
            'probes': self.probe.dump(),
        }

    # Backend server

    def backend_changed(self, backend: backend_watch.Backend | None) -> None:
        """Apply a new announcement of the backend server, or its loss.

        Args:
            backend: Newest announcement; None if the backend server has stopped.
        """
        previous = self._backend
        self._backend = backend
        if backend is None:
            self.admission.has_backend = False
            self._replace_pool(None)
            return
        self.concurrency.resize(backend.slots)
        self.probe.budget.slots = backend.slots
        if previous is None or previous.incarnation != backend.incarnation:
            self.concurrency.restarted(self.clock.now())
            self._replace_pool(
                http_pool.Pool(
                    self.reactor,
                    *backend.host_and_port,
                    max_connections=backend.connections,
                ),
            )
        self.admission.has_backend = True
        self._start_calls(self.admission.start_queued(self.clock.now()))

    def probed(self, result: backend_probe.ProbeResult) -> None:
        """Record the result of a probe; its latency counts only while no calls are in progress."""
        if result.unreachable:
            self.backend_unreachable()
        elif not self._calls_by_id:
            latency_ms = None if result.failed else result.latency_ms
            self.concurrency.probed(latency_ms, self.clock.now())

    def set_zone_out(self, zone_out: bool) -> None:
        """Set whether operators have taken the zone out of service.

        When the zone returns, the concurrency limit starts from its minimum, because the backend
        server may have become cold in the meantime.
        """
        if self.admission.zone_out and not zone_out:
            self.concurrency.restarted(self.clock.now())
        self.admission.zone_out = zone_out

    # Requests of entry sides

    def request_received(self, exchange: http_exchange.ServerExchange) -> None:
        """Respond to a load sample or a resolution, or start a call."""
        path = exchange.head.path
        try:
            if path == b'/-/load':
                exchange.respond(_STATUS_NO_CONTENT, b'', (self._load_header(),))
            elif path == b'/-/resolve':
                self._resolve(exchange)
            elif path == b'/-/keyed':
                self._resolve_keyed(exchange)
            else:
                self._start_call(exchange)
        except host_request.BadHostRequestError as error:
            event_log.warn('peer_request_rejected', reason=error)
            exchange.respond(_STATUS_BAD_REQUEST, f'{error}\n'.encode())

    def config_changed(self) -> None:
        """Admit the waiting calls whose configuration is now in effect."""
        number = self._config_number()
        waiting = self._waiting_for_config
        self._waiting_for_config = [
            pending for pending in waiting if pending.request.config_number > number
        ]
        for pending in waiting:
            if pending.request.config_number <= number:
                pending.admit()

    # Calls from `HostCall`

    def must_wait_for_config(self, pending: host_call.HostCall) -> bool:
        """Delay a call whose sender has a newer configuration; see `host_call.HostContext`."""
        number = pending.request.config_number
        if number <= self._config_number():
            return False
        if len(self._waiting_for_config) >= _MAX_WAITING_FOR_CONFIG:
            self._reject_without_config(pending)
            return True
        self._waiting_for_config.append(pending)
        self._request_config(pending.request.properties.call_id.host_id, number)
        self.reactor.callLater(_CONFIG_TIMEOUT_S, self._config_timed_out, pending)
        return True

    def admit(self, pending: host_call.HostCall) -> str | None:
        """Request a slot; see `host_call.HostContext`."""
        request = pending.request
        now = self.clock.now()
        call_id = request.properties.call_id
        result = self._table.admit(call_id, request.incarnation, now)
        if result is call_table.AdmitResult.DUPLICATE:
            pending.respond_unknown('another arrival of this call is known here')
            return None
        if result is not call_table.AdmitResult.ADMITTED:
            self.counters.refused += 1
            return result.value
        reason = self._check_quarantine(pending, now)
        if reason is None:
            reason = self._request_slot(pending, now)
        if reason is not None:
            self._table.reject(call_id, now)
            self._crash_quarantine.end_suspect(call_id)
            self.counters.refused += 1
        return reason

    def dispatched(self, running: host_call.HostCall) -> None:
        """Record the dispatch; see `host_call.HostContext`."""
        self._table.dispatch(running.request.properties.call_id)
        pool = self._pool
        if pool is not None and pool.idle_count < _MIN_IDLE_CONNECTIONS:
            self.reactor.callLater(0, pool.preconnect)

    def backend_unreachable(self) -> None:
        """Reject calls until the next announcement; see `host_call.HostContext`."""
        self.admission.has_backend = False

    def pool(self) -> http_pool.Pool | None:
        """Return connections to the backend server; see `host_call.HostContext`."""
        return self._pool

    def rejected(self, ended: host_call.HostCall) -> None:
        """Record a call that did not run; see `host_call.HostContext`."""
        call_id = ended.request.properties.call_id
        now = self.clock.now()
        self.counters.refused += 1
        self._table.reject(call_id, now)
        result = limit.CallResult.SHED if ended.dispatched_at else None
        self._release(ended, result, now)

    def finished(
        self,
        ended: host_call.HostCall,
        stored_response: call_table.StoredResponse | None,
        result: limit.CallResult,
    ) -> None:
        """Record a complete response; see `host_call.HostContext`."""
        now = self.clock.now()
        self.counters.finished += 1
        self.probe.budget.call_finished(now)
        self._table.finish(ended.request.properties.call_id, stored_response, now)
        self._release(ended, result, now)

    def failed(self, ended: host_call.HostCall, *, crashed: bool) -> None:
        """Record an unknown outcome; see `host_call.HostContext`."""
        now = self.clock.now()
        self.counters.failed += 1
        self._table.fail(ended.request.properties.call_id, now)
        if crashed:
            self._connection_lost(ended)
        self._release(ended, limit.CallResult.FAILED if crashed else None, now)

    def response_headers(
        self,
        call_id: ids.CallId,
        outcome: call.Outcome,
    ) -> list[http_head.Header]:
        """Return the response headers for the entry side; see `host_call.HostContext`."""
        return [
            (b'Anvillug-Call', str(call_id).encode()),
            (b'Anvillug-Outcome', outcome.value.encode()),
            (b'Anvillug-Config', b'%d' % self._config_number()),
            self._load_header(),
        ]

    # Private

    def _start_call(self, exchange: http_exchange.ServerExchange) -> None:
        request = host_request.parse(exchange.head, self.clock.now())
        host_call.HostCall(self, exchange, request).receive()

    def _config_timed_out(self, pending: host_call.HostCall) -> None:
        if pending in self._waiting_for_config:
            self._waiting_for_config.remove(pending)
            self._reject_without_config(pending)

    def _reject_without_config(self, pending: host_call.HostCall) -> None:
        self.counters.refused += 1
        pending.respond_not_run('this host does not have the configuration of the sender yet')

    def _resolve(self, exchange: http_exchange.ServerExchange) -> None:
        call_id, incarnation = host_request.parse_resolve(exchange.head)
        self.counters.resolved += 1
        resolver = resolution.Resolver(self, self._table, exchange, call_id)
        resolver.start(self._table.resolve(call_id, incarnation, self.clock.now()))

    def _load_header(self) -> http_head.Header:
        text = call.format_load(self.admission.sample(self.clock.now()))
        return (b'Anvillug-Load', text.encode())

    @property
    def has_suspects(self) -> bool:
        """Whether requests are suspect; see `host_call.HostContext`."""
        return len(self._crash_quarantine) > 0

    def quarantine_reason(self, pending: host_call.HostCall) -> str | None:
        """Return why a call may not run; see `host_call.HostContext`."""
        return self._check_quarantine(pending, self.clock.now())

    def _check_quarantine(self, pending: host_call.HostCall, now: clock.Milliseconds) -> str | None:
        if not pending.body_complete:
            # A streamed body is checked again at its end.
            return None
        state = self._crash_quarantine.check(pending.fingerprint, now)
        if state is quarantine.QuarantineState.QUARANTINED:
            return 'quarantined: this request has crashed backend servers'
        call_id = pending.request.properties.call_id
        suspect = state is quarantine.QuarantineState.SUSPECT
        if suspect and not self._crash_quarantine.start_suspect(call_id):
            return 'suspect: another such request runs'
        return None

    def _request_slot(self, pending: host_call.HostCall, now: clock.Milliseconds) -> str | None:
        properties = pending.request.properties
        decision = self.admission.offer(properties, now)
        if decision.kind is admission.DecisionKind.REJECT:
            return decision.reason.value if decision.reason else 'refused'
        self.counters.admitted += 1
        self._calls_by_id[properties.call_id] = pending
        if decision.kind is admission.DecisionKind.ADMIT:
            pending.start()
            return None
        pending.queue()
        if decision.evicted is not None:
            self._reject_queued(decision.evicted, 'evicted by a more critical call', now)
        self._set_queue_timer(now)
        return None

    def _reject_queued(self, call_id: ids.CallId, reason: str, now: clock.Milliseconds) -> None:
        queued = self._calls_by_id.pop(call_id)
        self.counters.refused += 1
        self._table.reject(call_id, now)
        self._crash_quarantine.end_suspect(call_id)
        queued.respond_not_run(reason)

    def _release(
        self,
        ended: host_call.HostCall,
        result: limit.CallResult | None,
        now: clock.Milliseconds,
    ) -> None:
        call_id = ended.request.properties.call_id
        self._calls_by_id.pop(call_id, None)
        self._crash_quarantine.end_suspect(call_id)
        if result is None:
            started_ids = self.admission.cancel(call_id, now)
        else:
            latency_ms = ended.latency_ms(now)
            started_ids = self.admission.finished(call_id, latency_ms, result, now)
        self._start_calls(started_ids)

    def _start_calls(self, call_ids: list[ids.CallId]) -> None:
        for call_id in call_ids:
            self._calls_by_id[call_id].start()

    def _set_queue_timer(self, now: clock.Milliseconds) -> None:
        if self._queue_timer is not None and self._queue_timer.active():
            return
        expiry = self.admission.next_expiry()
        if expiry is not None:
            delay = max(0.0, clock.to_seconds(expiry - now))
            self._queue_timer = self.reactor.callLater(delay, self._expire_queue)

    def _expire_queue(self) -> None:
        now = self.clock.now()
        for call_id in self.admission.expire(now):
            self._reject_queued(call_id, 'waited too long', now)
        self._queue_timer = None
        self._set_queue_timer(now)

    def _connection_lost(self, ended: host_call.HostCall) -> None:
        backend = self._backend
        if backend is None or backend.leaving:
            return
        running = [other.fingerprint for other in self._calls_by_id.values() if other.is_running]
        backend_watch.confirm_crash(
            self.reactor,
            backend,
            lambda: self._backend,
            lambda: self._record_crash([*running, ended.fingerprint]),
        )

    def _record_crash(self, fingerprints: list[ids.Fingerprint]) -> None:
        entries = self._crash_quarantine.crashed(fingerprints, self.clock.now())
        event_log.warn('backend_server_crashed', calls=len(fingerprints))
        self._crashed(entries)

    def _replace_pool(self, pool: http_pool.Pool | None) -> None:
        if self._pool is not None:
            self._pool.close()
        self._pool = pool

    def _expire_periodically(self) -> None:
        # First, so that a failure does not end the task.
        self.reactor.callLater(_EXPIRY_INTERVAL_S, self._expire_periodically)
        now = self.clock.now()
        self._table.expire(now)
        self._crash_quarantine.expire(now)
