"""Life of one caller's request on the entry side of a mesh node."""

from __future__ import annotations

import itertools
import random

import pytest
from twisted.internet import task

from anvillug import clock, ids
from anvillug.connection import http_exchange, http_head
from anvillug.platform import headers
from anvillug.request import job, routed_call
from anvillug.version import directives, route_table

_SERVICE = ids.ServiceName('one')
_TARGET_LATENCY_MS = 200
_TIMEOUT_MS = 800
_PATHS = {
    route_table.RouteKind.REPEATABLE: b'/get/',
    route_table.RouteKind.ONCE: b'/once/',
}


def _directives() -> directives.Directives:
    routes = [
        route_table.Route(
            ids.RouteName(kind.value),
            b'a.example',
            path,
            kind,
            _TIMEOUT_MS,
            _TARGET_LATENCY_MS,
            1,
            (route_table.RoutePart(_SERVICE, 1),),
            2,
        )
        for kind, path in _PATHS.items()
    ]
    limits = route_table.CallerLimits(16384, 1000, 3000, 15000)
    return directives.Directives(routes=route_table.RouteTable(routes, (), limits))


class _Connection:
    """Connection to the caller that keeps what is sent."""

    def __init__(self):
        self.sent = b''
        self.aborted = False

    def send(self, data: bytes):
        self.sent += data

    def abort(self):
        self.aborted = True

    def pause_reading(self, paused: bool):
        """Ignore flow control."""

    def exchange_ended(self, exchange: object):
        """Ignore the end."""

    def closes_after(self, exchange: object) -> bool:
        return False

    @property
    def status(self) -> int:
        return int(self.sent.split()[1]) if self.sent else 0


class _Context:
    """Entry side whose hosts answer what the test says."""

    def __init__(self):
        self.reactor = task.Clock()
        self.clock = clock.ManualClock()
        self.rng = random.Random(1)
        self.speech = headers.PlatformDialect()
        self.caller_service = 'one'
        self.current = _directives()
        self.jobs: list[job.Job] = []
        self.pending = []
        self.cancelled = 0
        self.has_host = True
        self.faster = False
        self.budget = 10
        self.results: list[job.Result] = []

    def directives(self) -> directives.Directives:
        return self.current

    def reserve(self, size: int) -> bool:
        return True

    def start(self, call, work, on_result):
        if not self.has_host:
            return None
        self.jobs.append(work)
        if self.results:
            on_result(self.results.pop(0))
            return None
        self.pending.append(on_result)
        return self._cancel

    def _cancel(self):
        self.cancelled += 1

    def may_repeat(self, service: ids.ServiceName) -> bool:
        self.budget -= 1
        return self.budget >= 0

    def has_faster_host(self, call) -> bool:
        return self.faster

    def call_over(self, call, status: int, reason: str):
        """Ignore the end."""

    def advance(self, duration_ms: float):
        self.clock.advance(duration_ms)
        self.reactor.advance(duration_ms / 1000)


class _Trial:
    """One request of a caller."""

    def __init__(
        self,
        kind=route_table.RouteKind.REPEATABLE,
        path: bytes | None = None,
        extra: tuple[http_head.Header, ...] = (),
    ):
        self.context = _Context()
        self.connection = _Connection()
        sent = [
            (b'Host', b'a.example'),
            (b'Anvillug-Attempt-Id', b'a1'),
            (b'Anvillug-Deadline-Ms', b'1200'),
            *extra,
        ]
        head = http_head.RequestHead(b'GET', b'%bx?q=1' % (path or _PATHS[kind]), sent)
        self.exchange = http_exchange.ServerExchange(self.connection, head)
        self.call = routed_call.RoutedCall(self.context, self.exchange)

    def begin(self, *results: job.Result) -> _Trial:
        self.context.results = list(results)
        self.call.receive()
        if self.exchange.handler is not None and not self.exchange.ended:
            self.call.request_ended()
        return self


def _answer(status: int = 200, body: bytes = b'whole') -> job.Result:
    head = http_head.ResponseHead(status, [(b'Anvillug-Server-Seal', b's')])
    return job.Result(job.ResultKind.ANSWERED, head=head, body=body)


_REFUSED = job.Result(job.ResultKind.REFUSED, 'slow')
_SHED = job.Result(job.ResultKind.SHED, 'not-run')
_UNKNOWN = job.Result(job.ResultKind.UNKNOWN, 'lost')
_ONCE = route_table.RouteKind.ONCE
_REPEATABLE = route_table.RouteKind.REPEATABLE


class TestAnswers:
    """Guards against answers that are changed on their way, or made up."""

    def test_answer_is_passed_on_whole(self):
        trial = _Trial().begin(_answer())
        assert trial.connection.status == 200
        assert trial.connection.sent.endswith(b'\r\n\r\nwhole')
        assert b'Anvillug-Server-Seal: s' in trial.connection.sent
        assert trial.context.jobs[0].head.target == b'/get/x?q=1'

    def test_unknown_route_is_not_found(self):
        assert _Trial(path=b'/none/').begin().connection.status == 404

    def test_without_configuration_is_unavailable(self):
        trial = _Trial()
        trial.context.current = directives.Directives()
        assert trial.begin().connection.status == 503

    def test_body_above_the_limit_is_too_large(self):
        trial = _Trial(extra=((b'Content-Length', b'1001'),))
        assert trial.begin().connection.status == 413

    def test_chunked_body_above_the_limit_is_too_large(self):
        trial = _Trial(extra=((b'Transfer-Encoding', b'chunked'),))
        trial.call.receive()
        trial.call.body_received(b'x' * 600)
        trial.call.body_received(b'x' * 600)
        assert trial.connection.status == 413


class TestRepeats:
    """Guards against requests that run twice, and against "not run" told for one that may have."""

    @pytest.mark.parametrize('kind', [_ONCE, _REPEATABLE])
    def test_refusal_by_a_host_moves_on_without_budget(self, kind):
        trial = _Trial(kind)
        trial.context.budget = 0
        assert trial.begin(_REFUSED, _REFUSED, _answer()).connection.status == 200

    @pytest.mark.parametrize('kind', [_ONCE, _REPEATABLE])
    def test_shed_request_is_offered_again_within_the_budget(self, kind):
        assert _Trial(kind).begin(_SHED, _answer()).connection.status == 200

    def test_shed_request_without_budget_is_refused(self):
        trial = _Trial(_ONCE)
        trial.context.budget = 0
        assert trial.begin(_SHED).connection.status == 503
        assert b'Retry-After' in trial.connection.sent

    def test_unknown_outcome_of_a_repeatable_request_is_tried_again(self):
        assert _Trial().begin(_UNKNOWN, _answer()).connection.status == 200

    def test_unknown_outcome_of_others_ends_the_call(self):
        trial = _Trial(_ONCE).begin(_UNKNOWN, _answer())
        assert trial.connection.status == 502
        assert len(trial.context.jobs) == 1

    def test_refusal_after_an_unknown_outcome_is_not_a_promise(self):
        trial = _Trial()
        trial.context.budget = 1
        assert trial.begin(_UNKNOWN, _SHED).connection.status == 502

    def test_attempts_are_bounded(self):
        trial = _Trial().begin(_UNKNOWN, _UNKNOWN, _answer())
        assert trial.connection.status == 502
        assert len(trial.context.jobs) == 2

    def test_failure_of_the_backend_server_is_passed_on_in_the_end(self):
        trial = _Trial().begin(_answer(500, b'first'), _UNKNOWN)
        assert trial.connection.status == 500

    def test_failure_of_a_once_only_request_is_passed_on_at_once(self):
        trial = _Trial(_ONCE).begin(_answer(500), _answer())
        assert trial.connection.status == 500
        assert len(trial.context.jobs) == 1


class TestTime:
    """Guards against callers that are kept waiting, and work that goes on for nobody."""

    def test_timeout_of_the_route_ends_the_call(self):
        trial = _Trial().begin()
        trial.context.advance(_TIMEOUT_MS + 1)
        assert trial.connection.status == 504
        assert trial.context.cancelled == 1

    def test_caller_that_leaves_cancels_the_job(self):
        trial = _Trial().begin()
        trial.call.request_aborted()
        assert trial.context.cancelled == 1
        assert not trial.connection.sent

    def test_late_result_is_dropped(self):
        trial = _Trial().begin()
        trial.context.advance(_TIMEOUT_MS + 1)
        sent = trial.connection.sent
        trial.context.pending[0](_answer())
        assert trial.connection.sent == sent

    def test_without_a_host_the_refusal_is_early_and_true(self):
        trial = _Trial(_ONCE)
        trial.context.has_host = False
        trial.begin()
        for _ in range(10):
            trial.context.advance(10)
        assert trial.connection.status == 503
        assert trial.context.clock.now() <= _TARGET_LATENCY_MS

    def test_host_that_appears_in_time_gets_the_request(self):
        trial = _Trial()
        trial.context.has_host = False
        trial.begin()
        trial.context.has_host = True
        trial.context.results = [_answer()]
        trial.context.advance(20)
        assert trial.connection.status == 200


class TestHedges:
    """Guards against repeatable requests that wait at a slow host while a fast one is free."""

    def _begin(self, kind=_REPEATABLE, *, faster: bool = True) -> _Trial:
        trial = _Trial(kind).begin()
        trial.context.faster = faster
        trial.context.advance(_TARGET_LATENCY_MS / 2 + 1)
        return trial

    def test_first_answer_wins_and_the_other_try_is_cancelled(self):
        trial = self._begin()
        assert len(trial.context.jobs) == 2
        trial.context.pending[1](_answer())
        assert trial.connection.status == 200
        assert trial.context.cancelled == 1

    def test_failed_hedge_leaves_the_first_try_alone(self):
        trial = self._begin()
        trial.context.pending[1](_UNKNOWN)
        assert not trial.connection.sent
        trial.context.pending[0](_answer())
        assert trial.connection.status == 200

    def test_refused_hedge_leaves_the_first_try_alone(self):
        trial = self._begin()
        trial.context.pending[1](_REFUSED)
        assert len(trial.context.jobs) == 2
        trial.context.pending[0](_answer())
        assert trial.connection.status == 200

    def test_last_hedge_does_not_end_the_first_try(self):
        trial = _Trial()
        trial.context.faster = True
        trial.begin(*itertools.repeat(_REFUSED, 11))
        trial.context.advance(_TARGET_LATENCY_MS)
        assert not trial.connection.sent
        trial.context.pending[0](_answer())
        assert trial.connection.status == 200

    def test_request_that_runs_once_is_not_hedged(self):
        assert len(self._begin(_ONCE).context.jobs) == 1

    def test_without_a_faster_host_nothing_is_hedged(self):
        assert len(self._begin(faster=False).context.jobs) == 1

    def test_without_budget_nothing_is_hedged(self):
        trial = _Trial().begin()
        trial.context.budget = 0
        trial.context.faster = True
        trial.context.advance(_TARGET_LATENCY_MS)
        assert len(trial.context.jobs) == 1
