"""Host side of a mesh node: admits jobs to the node's backend server and runs them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from anvillug import clock, event_log, ids
from anvillug.connection import http_pool, memory_account
from anvillug.process import (
    crash_watch,
    fault_share,
    host_room,
    mesh_settings,
    metrics,
    room_switch,
    sound_word,
    upstream,
)
from anvillug.request import (
    dialect,
    job,
    occupancy,
    rate_gate,
    room,
    upstream_run,
)
from anvillug.version import directives

SLOWNESS_LIMIT = 180.0
"""Slowness above which a host rejects jobs, so that a faster host runs them; 100 is normal."""

# A load that was reported longer ago than this is stale.
_MAX_LOAD_AGE_MS = 120.0
# Requests that may wait in the backend server while all slots are busy, as a share of the slots.
_QUEUE_SHARE = 0.34
# Requests of low priority may use only this share of that queue.
_LOW_PRIORITY_QUEUE_SHARE = 0.5
# Priority number from which a request has low priority; 0 is the highest priority.
_LOW_PRIORITY = 2
# A job is rejected if less time than this is left before its deadline.
_MIN_TIME_LEFT_MS = 3.0
# Work takes about twice as long on a cold backend server, and its reported slowness includes that.
# The limit is raised accordingly, since the other hosts are mostly cold at the same time.
_COLD_SLOWNESS_FACTOR = 2.0
# Share of what the bounds allow a cold backend server in a second; the rest is reserved for
# requests that arrive later than they were sent.
_COLD_SHARE = 0.9
# Maximum number of saved tokens of a cold backend server, as a share of the tokens of one second.
# It is small, so that the requests are spread over the second.
_COLD_BURST_SHARE = 0.1
_COLD = 'cold'
_CONNECT_TIMEOUT_S = 0.4
_MAX_WAITING_REQUESTS = 64


RunListener = Callable[[job.Job, clock.Milliseconds], None]


class MeshHost:
    """Host side of a mesh node.

    Args:
        reactor: Twisted reactor.
        time: Clock.
        backend: Backend server of the node.
        active_directives: Directives in effect.
        header_dialect: Reads and writes the headers of the backend server.
        settings: Settings of the node.
        process_metrics: Metrics of the process.
        crashes: Detects requests that crash backend servers.
        word: Newest word of the log; None if the newest known keys count, however old they are.
        account: Account of the memory that the process holds for clients; one of its own by
            default.
    """

    def __init__(  # noqa: WPS211 - components with the lifetime of the process
        self,
        reactor: Any,
        time: clock.Clock,
        backend: upstream.Upstream,
        active_directives: directives.ActiveDirectives,
        header_dialect: dialect.Dialect,
        settings: mesh_settings.MeshSettings,
        process_metrics: metrics.Metrics,
        crashes: crash_watch.CrashWatch,
        word: sound_word.SoundWord | None = None,
        account: memory_account.MemoryAccount | None = None,
    ) -> None:
        self._account = account or memory_account.create(time)
        self._metrics = process_metrics
        self._crashes = crashes
        self._word = word
        self.upstream = backend
        """Backend server of the node."""
        self.closed = False
        """Whether the process is about to stop and rejects new jobs."""
        self.on_run_sent: RunListener | None = None
        """Called with the job and the time when a request is sent to the backend server."""
        self.on_run_not_begun: RunListener | None = None
        """Called with the same if the backend server reports that it has not run the request."""
        self._reactor = reactor
        self._clock = time
        self._active_directives = active_directives
        self._dialect = header_dialect
        self._settings = settings
        # The ticket is None while jobs have no room of their own.
        self._runs: dict[upstream_run.UpstreamRun, occupancy.Ticket | None] = {}
        self._switch = room_switch.RoomSwitch(time, backend, settings.room, self._create_room)
        self._cold_gate = rate_gate.RateGate(_COLD_BURST_SHARE)
        self._pool: http_pool.Pool | None = None
        self._pool_start = ids.Incarnation(0)
        self._faults = fault_share.FaultShare()

    @property
    def running(self) -> int:
        """Number of jobs that run on the backend server or wait for it."""
        return len(self._runs) + self._switch.waiting

    @property
    def load(self) -> dialect.ReportedLoad | None:
        """Most recently reported load, with the share of faulty runs; None if none was reported."""
        load = self.upstream.load
        if load is None:
            return None
        return dialect.ReportedLoad(
            load.running,
            load.waiting + self._switch.waiting,
            load.slots,
            load.slowness,
            self._faults.share(self._clock.now()),
        )

    def submit(
        self, work: job.Job, on_result: upstream_run.ResultReady
    ) -> Callable[[], object] | None:
        """Run a job or reject it.

        Args:
            work: The job.
            on_result: Called once with the result; before this returns if the job is rejected.

        Returns:
            Function that cancels the job; None if the job is rejected.
        """
        reason = self._rejection_reason(work) or self._cold_reason()
        if reason:
            return self._reject(reason, on_result)
        if self._switch.room is None:
            return self._start(work, on_result)
        # Begins the count of another instance, if there is one.
        self.pool()
        return self._switch.room.submit(work, self._usual_ms(work), on_result)

    def handle_inquiry(self, work: job.Job) -> job.Result:
        """Return whether a job would be accepted, as far as can be determined without its body."""
        reason, wait_ms = self.preview(work)
        if reason:
            return self._rejected(reason, wait_ms)
        return self._with_host_state(job.Result(job.ResultKind.WILLING))

    def preview(self, work: job.Job) -> tuple[str, float]:
        """Return why a job would be rejected now, without a trace.

        Returns:
            The reason, empty if the job would be accepted, and the expected time in milliseconds
            until there is room for it, 0 if that isn't known.
        """
        reason = self._rejection_reason(work) or self._cold_reason()
        if reason or self._switch.room is None:
            return reason, 0.0
        outcome = self._switch.room.judge(work, self._usual_ms(work))
        return outcome.reason, outcome.wait_ms

    def room_gauges(self) -> dict[str, float]:
        """Return the gauges of the room by name; empty without one."""
        return self._switch.gauges()

    @property
    def pools(self) -> tuple[http_pool.Pool, ...]:
        """Connections to the current instance of the backend server, if there were any."""
        return () if self._pool is None else (self._pool,)

    def pool(self) -> http_pool.Pool:
        """Return the connections to the current instance of the backend server."""
        heartbeat = self.upstream.heartbeat
        start = ids.Incarnation(0) if heartbeat is None else heartbeat.started_at
        if self._pool is None or start != self._pool_start:
            if self._pool is not None:
                self._pool.close()
            host, _, port = self._settings.backend_address.rpartition(':')
            self._pool = http_pool.Pool(
                self._reactor,
                host,
                int(port),
                max_connections=self._max_connections(),
                max_waiting=_MAX_WAITING_REQUESTS,
                connect_timeout_s=_CONNECT_TIMEOUT_S,
            )
            self._faults = fault_share.FaultShare()
            self._switch.new_instance(is_first=self._pool_start == 0)
            self._pool_start = start
        return self._pool

    def backend_lost(self, reason: str) -> None:
        """Stop sending to the backend server until its next heartbeat."""
        if self.upstream.state is not upstream.UpstreamState.ABSENT:
            self.upstream.mark_lost(reason)
            self._crashes.backend_lost()
            if self._switch.room is not None:
                self._switch.room.reject_all(reason)

    def log_cut_runs(self) -> None:
        """Log the runs that the end of the process cuts."""
        now = self._clock.now()
        for run in self._runs:
            event_log.emit(
                'run_cut',
                request=run.work.attempt_id,
                state=run.state.value,
                took_ms=int(now - run.sent_at) if run.sent_at else 0,
                left_ms=int(run.work.deadline - now),
            )

    def policy(self) -> Any:
        """Return the operator's policy for the service, None if there is none."""
        routes = self._active_directives.current.routes
        heartbeat = self.upstream.heartbeat
        if routes is None or heartbeat is None:
            return None
        return routes.services_by_name.get(heartbeat.service)

    # Private

    def _create_room(self, policy: room.Policy) -> host_room.HostRoom:
        return host_room.HostRoom(
            self._reactor,
            self._clock,
            policy,
            self.upstream,
            self._metrics,
            self._start_with_room,
            self._reject,
        )

    def _start_with_room(
        self, ticket: occupancy.Ticket, on_result: upstream_run.ResultReady
    ) -> Callable[[], object] | None:
        # Much may have changed while the job waited.
        reason = self._rejection_reason(ticket.work) if ticket.has_waited else ''
        if reason:
            self._switch.room.dropped(ticket)
            return self._reject(reason, on_result)
        return self._start(ticket.work, on_result, ticket)

    def _start(
        self,
        work: job.Job,
        on_result: upstream_run.ResultReady,
        ticket: occupancy.Ticket | None = None,
    ) -> Callable[[], object] | None:
        is_cold = self.upstream.cold_ms > 0
        reason = _COLD if is_cold and not self._take_cold_token() else ''
        # Not computed for jobs that are rejected anyway, since the fingerprint hashes the body.
        identity = None
        if not reason:
            identity = self._crashes.identify(work, self._dialect.read_caller(work.head))
            reason = self._crashes.rejection_reason(identity)
        if reason:
            if ticket is not None:
                self._switch.room.dropped(ticket)
            return self._reject(reason, on_result)
        run = upstream_run.UpstreamRun(
            self._reactor,
            self._clock,
            self._dialect,
            work,
            lambda result: self._done(run, identity, result, on_result),
            self._key_rejection_reason,
            self._account,
        )
        run.on_sent = self.on_run_sent
        self._runs[run] = ticket
        run.begin(self.pool())
        return lambda: self._cancel(run, identity)

    def _usual_ms(self, work: job.Job) -> float:
        """Return the usual time of a run at the current slowness, 0 if the route had none."""
        load = self.upstream.load
        is_fresh = load is not None and self.upstream.load_age_ms < _MAX_LOAD_AGE_MS
        slowness = (
            max(dialect.NORMAL_SLOWNESS, load.slowness) if is_fresh else dialect.NORMAL_SLOWNESS
        )
        return self._faults.baseline_ms(work.route) * slowness / dialect.NORMAL_SLOWNESS

    def _reject(
        self, reason: str, on_result: upstream_run.ResultReady, wait_ms: float = 0.0
    ) -> None:
        on_result(self._rejected(reason, wait_ms))

    def _rejected(self, reason: str, wait_ms: float) -> job.Result:
        self._metrics.count('refusals', reason)
        if reason == _COLD:
            # Callers that come back sooner would take the few requests of a cold server from new
            # ones, which can still be answered in time.
            wait_ms = self.upstream.cold_ms
        result = job.Result(job.ResultKind.REFUSED, reason, retry_after_ms=wait_ms)
        return self._with_host_state(result)

    def _rejection_reason(self, work: job.Job) -> str:
        """Return why a job is rejected, empty if it may run."""
        backend = self.upstream
        current = self._active_directives.current
        heartbeat = backend.heartbeat
        is_serving = heartbeat is not None and backend.state is upstream.UpstreamState.SERVING
        if self.closed or not is_serving:
            return 'node is stopping' if self.closed else f'backend server is {backend.state.value}'
        if (work.service, work.instance) != (heartbeat.service, heartbeat.instance):
            return 'other instance'
        if self._settings.zone in current.zones_out:
            return 'zone is out'
        if work.position < current.position:
            return 'older directives'
        if work.deadline - self._clock.now() < _MIN_TIME_LEFT_MS:
            return 'deadline'
        return self._key_rejection_reason(work) or self._overload_reason(work, heartbeat.slots)

    def _key_rejection_reason(self, work: job.Job) -> str:
        """Return why a job may not be sent any more, since its key may have been withdrawn."""
        if not work.tenant:
            return ''
        if work.position < self._active_directives.current.position:
            return 'older directives'
        if self._word is not None and not self._word.is_recent:
            return 'no recent word of the log'
        return ''

    def _overload_reason(self, work: job.Job, slots: int) -> str:
        queue = slots * _QUEUE_SHARE
        if work.priority >= _LOW_PRIORITY:
            queue *= _LOW_PRIORITY_QUEUE_SHARE
        if self._switch.room is None and len(self._runs) >= slots + queue:
            return 'full'
        load = self.upstream.load
        is_fresh = load is not None and self.upstream.load_age_ms < _MAX_LOAD_AGE_MS
        slowness_limit = (
            SLOWNESS_LIMIT * _COLD_SLOWNESS_FACTOR if self.upstream.cold_ms > 0 else SLOWNESS_LIMIT
        )
        if is_fresh and load.slowness > slowness_limit:
            return self._slowness_rejection_reason(work, load.slowness)
        return ''

    def _slowness_rejection_reason(self, work: job.Job, slowness: float) -> str:
        """Return why a slow host rejects a job, empty if it may run.

        A job with `must_accept` has been rejected by several hosts already. It is rejected only if
        it is expected to miss its deadline.
        """
        if not work.must_accept:
            return 'slow'
        expected_ms = self._faults.baseline_ms(work.route) * slowness / dialect.NORMAL_SLOWNESS
        if expected_ms > work.deadline - self._clock.now():
            return 'too slow'
        return ''

    def _take_cold_token(self) -> bool:
        return self._cold_gate.take(self._cold_rate(), self._clock.now())

    def _cold_reason(self) -> str:
        """Return why a cold host rejects a job, without using up its rate."""
        is_cold = self.upstream.cold_ms > 0
        has_token = not is_cold or self._cold_gate.has_token(self._cold_rate(), self._clock.now())
        return '' if has_token else _COLD

    def _cold_rate(self) -> float:
        policy = self.policy()
        if policy is None:
            return 1.0
        bounds = self._settings.bounds
        allowed = policy.cold_per_second * max(1.0, bounds.cold_factor) + bounds.cold_slack
        return rate_gate.rate_within(allowed * _COLD_SHARE, _COLD_BURST_SHARE)

    def _max_connections(self) -> int:
        policy = self.policy()
        heartbeat = self.upstream.heartbeat
        slots = 1 if heartbeat is None else heartbeat.slots
        # Half of what the backend server accepts, to leave room for a node that takes over.
        connection_limit = 2 * slots if policy is None else policy.max_connections // 2
        return max(2, min(connection_limit, 2 * slots + 2))

    def _cancel(self, run: upstream_run.UpstreamRun, identity: crash_watch.JobIdentity) -> None:
        if run in self._runs and (run.work.repeatable or run.state is not _SENT):
            ticket = self._runs.pop(run)
            may_run = run.cancel()
            run.work.release_body()
            self._crashes.job_ended(identity, _CANCELLED)
            if ticket is not None:
                self._switch.room.ended(ticket, may_run=may_run)
                self._switch.room.advance()

    def _done(
        self,
        run: upstream_run.UpstreamRun,
        identity: crash_watch.JobIdentity,
        result: job.Result,
        on_result: upstream_run.ResultReady,
    ) -> None:
        ticket = self._runs.pop(run, None)
        if ticket is not None and result.kind in _RUN_KINDS:
            self._switch.room.ended(ticket, may_run=result.kind is job.ResultKind.UNKNOWN)
        elif ticket is not None:
            self._switch.room.dropped(ticket)
        try:
            self._record(run, identity, result)
        finally:
            # A failure to record the run must not cost the caller the answer.
            on_result(self._with_host_state(result))
            if self._switch.room is not None:
                self._switch.room.advance()

    def _record(
        self,
        run: upstream_run.UpstreamRun,
        identity: crash_watch.JobIdentity,
        result: job.Result,
    ) -> None:
        run.work.release_body()
        if result.kind is job.ResultKind.SHED and self.on_run_not_begun is not None:
            self.on_run_not_begun(run.work, run.sent_at)
        self._crashes.job_ended(identity, result)
        self.upstream.record_load(run.load)
        self._count_run(run, result)
        self._switch.learn(run, result, self._runs)
        if run.connect_failed:
            self.backend_lost('no connection')
        if run.wrong_instance:
            self.backend_lost('another instance responded')
        self._metrics.count('runs', result.kind.value)
        if run.sent_at:
            self._metrics.latency('run_latency', self._clock.now() - run.sent_at)
        event_log.emit(
            'run_over',
            request=run.work.attempt_id,
            outcome=result.kind.value,
            reason=result.reason,
            status=0 if result.head is None else result.head.status,
            instance=run.work.instance,
            running=len(self._runs),
            cold_ms=int(self.upstream.cold_ms),
            took_ms=int(self._clock.now() - run.sent_at) if run.sent_at else 0,
        )

    def _with_host_state(self, result: job.Result) -> job.Result:
        """Return the result with the load and directives position of this host."""
        return job.Result(
            result.kind,
            result.reason,
            result.head,
            result.body,
            self.load,
            self._active_directives.current.position,
            result.retry_after_ms,
        )

    def _count_run(self, run: upstream_run.UpstreamRun, result: job.Result) -> None:
        """Count a run for the share of faulty runs if its request was sent."""
        now = self._clock.now()
        if result.kind is job.ResultKind.ANSWERED and not result.failed:
            slowness = 0.0 if run.load is None else run.load.slowness
            self._faults.record_response(run.work.route, now - run.sent_at, slowness, now)
        elif run.sent_at:
            self._faults.record_failure(now)


_CANCELLED = job.Result(job.ResultKind.REFUSED, 'cancelled')
_SENT = upstream_run.RunState.SENT
# Results of jobs that took room at the backend server.
_RUN_KINDS = (job.ResultKind.ANSWERED, job.ResultKind.UNKNOWN)
