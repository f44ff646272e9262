"""Host side of a mesh node: decides which jobs the backend server beside it gets, and runs them."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Any

from anvillug import clock, event_log, ids
from anvillug.connection import http_pool
from anvillug.process import crash_watch, fault_share, mesh_settings, metrics, upstream
from anvillug.request import dialect, job, rate_gate, upstream_run
from anvillug.version import directives

SLOW_FROM = 180.0
"""Slowness from which a host hands a job back, so that a faster one can take it; 100 is usual."""

_USUAL_SLOWNESS = 100.0
# Load that was told longer ago than this says nothing about the present.
_LOAD_FRESH_MS = 120.0
# Requests beyond the slots that may wait in the backend server, as a share of its slots.
_QUEUE_SHARE = 0.34
# The least important requests may use only this share of that queue.
_LOW_PRIORITY_QUEUE_SHARE = 0.5
_LOW_PRIORITY = 2
# Time that has to be left for a job to be worth starting.
_LEAST_TIME_MS = 3.0
# Work takes about twice as long on a cold backend server, and its load says so. Other hosts are
# mostly cold at the same time.
_COLD_SLOWNESS = 2.0
# Part of what the bounds allow beyond a cold backend server's own rate; the rest is for the burst
# and for requests that arrive later than they were sent.
_COLD_EXCESS_SHARE = 0.7
# A cold backend server's tokens are spread over the second.
_COLD_BURST_SHARE = 0.1
_CONNECT_TIMEOUT_S = 0.4
_MAX_WAITING = 64


class MeshHost:
    """Host side of a mesh node.

    Args:
        reactor: Twisted reactor.
        time: Clock.
        own: Backend server beside the node.
        board: Directives in effect.
        speech: Headers of the backend server.
        settings: Settings of the node.
        figures: Metrics of the process.
        crashes: Requests that crash backend servers.
    """

    def __init__(  # noqa: WPS211 - each is a part that lives as long as the process
        self,
        reactor: Any,
        time: clock.Clock,
        own: upstream.Upstream,
        board: directives.DirectiveBoard,
        speech: dialect.Dialect,
        settings: mesh_settings.MeshSettings,
        figures: metrics.Metrics,
        crashes: crash_watch.CrashWatch,
    ) -> None:
        self._metrics = figures
        self._crashes = crashes
        self.upstream = own
        """Backend server beside the node."""
        self._reactor = reactor
        self._clock = time
        self._board = board
        self._dialect = speech
        self._settings = settings
        self._runs: set[upstream_run.UpstreamRun] = set()
        self._gate = rate_gate.RateGate(_COLD_BURST_SHARE)
        self._pool: http_pool.Pool | None = None
        self._pool_start = ids.Incarnation(0)
        self._faults = fault_share.FaultShare()

    @property
    def running(self) -> int:
        """Jobs at the backend server."""
        return len(self._runs)

    @property
    def load(self) -> dialect.ReportedLoad | None:
        """Load that the backend server told last, with the share of its faulty runs."""
        load = self.upstream.load
        if load is None:
            return None
        return dataclasses.replace(load, fault_share=self._faults.share(self._clock.now()))

    def submit(
        self, work: job.Job, on_result: upstream_run.ResultReady
    ) -> Callable[[], object] | None:
        """Run a job, or refuse it.

        Args:
            work: The job.
            on_result: Called once with the result, before this returns where it is refused.

        Returns:
            Function that cancels the job; None when it is refused.
        """
        reason = self._refusal(work)
        if not reason and self.upstream.cold_ms > 0 and not self._take_cold_token():
            reason = 'cold'
        if reason:
            return self._refuse(reason, on_result)
        # The fingerprint hashes the body, so jobs that are refused anyway go without.
        known = self._crashes.suspicion(work)
        reason = self._crashes.refusal(known)
        if reason:
            return self._refuse(reason, on_result)
        run = upstream_run.UpstreamRun(
            self._reactor,
            self._clock,
            self._dialect,
            work,
            lambda result: self._done(run, known, result, on_result),
        )
        self._runs.add(run)
        run.begin(self.pool())
        return lambda: self._cancel(run, known)

    def consider(self, work: job.Job) -> job.Result:
        """Tell whether a job would run, as far as that is known without its body."""
        reason = self._refusal(work)
        if not reason and self.upstream.cold_ms > 0 and not self._has_cold_token():
            reason = 'cold'
        if reason:
            self._metrics.count('refusals', reason)
            return self._complete(job.Result(job.ResultKind.REFUSED, reason))
        return self._complete(job.Result(job.ResultKind.WILLING))

    def pool(self) -> http_pool.Pool:
        """Return the connections to the present start of the backend server."""
        beat = self.upstream.beat
        start = ids.Incarnation(0) if beat is None else beat.started_at
        if self._pool is None or start != self._pool_start:
            if self._pool is not None:
                self._pool.close()
            host, _, port = self._settings.backend_address.rpartition(':')
            self._pool = http_pool.Pool(
                self._reactor,
                host,
                int(port),
                max_connections=self._max_connections(),
                max_waiting=_MAX_WAITING,
                connect_timeout_s=_CONNECT_TIMEOUT_S,
            )
            self._pool_start = start
            self._faults = fault_share.FaultShare()
        return self._pool

    def backend_lost(self, reason: str) -> None:
        """Send nothing more to the backend server until its next heartbeat."""
        if self.upstream.state is not upstream.UpstreamState.ABSENT:
            self.upstream.lost(reason)
            self._crashes.backend_lost()

    def policy(self) -> Any:
        """Return the operator's policy of the service, None where there is none."""
        routes = self._board.current.routes
        beat = self.upstream.beat
        if routes is None or beat is None:
            return None
        return routes.services_by_name.get(beat.service)

    # Private

    def _refuse(self, reason: str, on_result: upstream_run.ResultReady) -> None:
        self._metrics.count('refusals', reason)
        on_result(self._complete(job.Result(job.ResultKind.REFUSED, reason)))

    def _refusal(self, work: job.Job) -> str:
        """Return why a job is refused, empty if it may run."""
        own = self.upstream
        current = self._board.current
        beat = own.beat
        if beat is None or own.state is not upstream.UpstreamState.SERVING:
            return f'backend server is {own.state.value}'
        if (work.service, work.instance) != (beat.service, beat.instance):
            return 'other instance'
        if self._settings.zone in current.zones_out:
            return 'zone is out'
        if work.position < current.position:
            return 'older directives'
        if work.deadline - self._clock.now() < _LEAST_TIME_MS:
            return 'deadline'
        return self._overload(work, beat.slots)

    def _overload(self, work: job.Job, slots: int) -> str:
        queue = slots * _QUEUE_SHARE
        if work.priority >= _LOW_PRIORITY:
            queue *= _LOW_PRIORITY_QUEUE_SHARE
        if len(self._runs) >= slots + queue:
            return 'full'
        load = self.upstream.load
        fresh = load is not None and self.upstream.load_age_ms < _LOAD_FRESH_MS
        slow_from = SLOW_FROM * _COLD_SLOWNESS if self.upstream.cold_ms > 0 else SLOW_FROM
        if fresh and load.slowness > slow_from:
            return self._slow_refusal(work, load.slowness)
        return ''

    def _slow_refusal(self, work: job.Job, slowness: float) -> str:
        """Refuse a job that a faster host can take, and one that would not end in time."""
        if not work.insists:
            return 'slow'
        expected_ms = self._faults.baseline_ms(work.route) * slowness / _USUAL_SLOWNESS
        if expected_ms > work.deadline - self._clock.now():
            return 'too slow'
        return ''

    def _take_cold_token(self) -> bool:
        return self._gate.take(self._cold_rate(), self._clock.now())

    def _has_cold_token(self) -> bool:
        return self._gate.has_token(self._cold_rate(), self._clock.now())

    def _cold_rate(self) -> float:
        policy = self.policy()
        if policy is None:
            return 1.0
        excess = (self._settings.bounds.cold_factor - 1) * _COLD_EXCESS_SHARE
        return policy.cold_per_second * (1 + max(0.0, excess))

    def _max_connections(self) -> int:
        policy = self.policy()
        beat = self.upstream.beat
        slots = 1 if beat is None else beat.slots
        # Half of what the backend server accepts leaves room for a node that takes over.
        most = 2 * slots if policy is None else policy.max_connections // 2
        return max(2, min(most, 2 * slots + 2))

    def _cancel(self, run: upstream_run.UpstreamRun, known: crash_watch.Suspicion) -> None:
        if run in self._runs and (run.work.repeatable or run.state is not _SENT):
            self._runs.discard(run)
            run.cancel()
            self._crashes.ended(known, _CANCELLED)

    def _done(
        self,
        run: upstream_run.UpstreamRun,
        known: crash_watch.Suspicion,
        result: job.Result,
        on_result: upstream_run.ResultReady,
    ) -> None:
        self._runs.discard(run)
        self._crashes.ended(known, result)
        self.upstream.told_load(run.load)
        self._count(run, result)
        if run.connect_failed:
            self.backend_lost('no connection')
        if run.wrong_instance:
            self.backend_lost('another instance answers')
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
        on_result(self._complete(result))

    def _complete(self, result: job.Result) -> job.Result:
        """Add what the sender should know about this host."""
        return job.Result(
            result.kind,
            result.reason,
            result.head,
            result.body,
            self.load,
            self._board.current.position,
        )

    def _count(self, run: upstream_run.UpstreamRun, result: job.Result) -> None:
        """Count a run that the backend server got in the share of faulty ones."""
        now = self._clock.now()
        if result.kind is job.ResultKind.ANSWERED and not result.failed:
            slowness = 0.0 if run.load is None else run.load.slowness
            self._faults.record_response(run.work.route, now - run.sent_at, slowness, now)
        elif run.sent_at:
            self._faults.record_failure(now)


_CANCELLED = job.Result(job.ResultKind.REFUSED, 'cancelled')
_SENT = upstream_run.RunState.SENT
