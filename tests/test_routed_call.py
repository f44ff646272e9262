"""Tests of the processing of one caller's request on the entry side of a mesh node."""

from __future__ import annotations

import itertools
import random
import sys
import weakref

import pytest
from twisted.internet import task

from anvillug import clock, ids
from anvillug.connection import http_exchange, http_head
from anvillug.platform import headers
from anvillug.request import job, routed_call
from anvillug.version import directives, route_table

_SERVICE = ids.ServiceName('one')
_OTHER_SERVICE = ids.ServiceName('other')
_TARGET_LATENCY_MS = 200
_TIMEOUT_MS = 800
_PATHS = {
    route_table.RouteKind.REPEATABLE: b'/get/',
    route_table.RouteKind.ONCE: b'/once/',
}


def _directives(
    *parts: tuple[ids.ServiceName, float],
) -> directives.Directives:
    routes = [
        route_table.Route(
            ids.RouteName(kind.value),
            b'a.example',
            path,
            kind,
            _TIMEOUT_MS,
            _TARGET_LATENCY_MS,
            1,
            tuple(route_table.RoutePart(*part) for part in parts or ((_SERVICE, 1),)),
            2,
        )
        for kind, path in _PATHS.items()
    ]
    limits = route_table.CallerLimits(16384, 1000, 3000, 15000)
    return directives.Directives(routes=route_table.RouteTable(routes, (), limits))


class _Connection:
    """Fake connection to the caller that records what is sent."""

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
    """Fake entry side whose hosts give the results that the test sets."""

    def __init__(self):
        self.reactor = task.Clock()
        self.clock = clock.ManualClock()
        self.rng = random.Random(1)
        self.header_dialect = headers.PlatformDialect()
        self.caller_service = 'one'
        self.current = _directives()
        self.jobs: list[job.Job] = []
        self.pending = []
        self.cancelled = 0
        self.has_host = True
        self.faster = False
        self.budget = 10
        self.results: list[job.Result] = []
        self.word_is_recent = True
        self.reserved = 0

    def has_recent_word(self) -> bool:
        return self.word_is_recent

    def directives(self) -> directives.Directives:
        return self.current

    def reserve(self, size: int, reserved: int = 0) -> bool:
        assert size < 0 or reserved == self.reserved
        self.reserved += size
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

    def spend_retry(self, service: ids.ServiceName) -> bool:
        self.budget -= 1
        return self.budget >= 0

    def has_faster_host(self, call) -> bool:
        return self.faster

    def call_ended(self, call, status: int, reason: str):
        """Ignore the end."""

    def advance(self, duration_ms: float):
        self.clock.advance(duration_ms)
        self.reactor.advance(duration_ms / 1000)


class RoutedRequest:
    """One request of a caller, processed by the fake entry side."""

    def __init__(
        self,
        kind=route_table.RouteKind.REPEATABLE,
        path: bytes | None = None,
        extra_headers: tuple[http_head.Header, ...] = (),
    ):
        self.context = _Context()
        self.connection = _Connection()
        request_headers = [
            (b'Host', b'a.example'),
            (b'Anvillug-Attempt-Id', b'a1'),
            (b'Anvillug-Deadline-Ms', b'1200'),
            *extra_headers,
        ]
        head = http_head.RequestHead(b'GET', b'%bx?q=1' % (path or _PATHS[kind]), request_headers)
        self.exchange = http_exchange.ServerExchange(self.connection, head)
        self.call = routed_call.RoutedCall(self.context, self.exchange)

    def begin(self, *results: job.Result) -> RoutedRequest:
        self.context.results = list(results)
        self.call.receive()
        if self.exchange.handler is not None and not self.exchange.ended:
            self.call.request_ended()
        return self


def make_answered(status: int = 200, body: bytes = b'whole') -> job.Result:
    """Return the result of a job whose backend server responded."""
    head = http_head.ResponseHead(status, [(b'Anvillug-Server-Seal', b's')])
    return job.Result(job.ResultKind.ANSWERED, head=head, body=body)


_REFUSED = job.Result(job.ResultKind.REFUSED, 'slow')
_SHED = job.Result(job.ResultKind.SHED, 'not-run')
_UNKNOWN = job.Result(job.ResultKind.UNKNOWN, 'lost')
_ONCE = route_table.RouteKind.ONCE
_REPEATABLE = route_table.RouteKind.REPEATABLE


class TestEndedCall:
    """Guards against calls that are held after their response."""

    def test_call_that_timed_out_is_freed(self, collector_disabled):
        routed = RoutedRequest().begin()
        reference = weakref.ref(routed.call)
        del routed.call
        routed.context.advance(_TIMEOUT_MS)
        routed.context.pending.clear()
        routed.exchange.detach()
        assert (routed.connection.status, reference()) == (504, None)


class TestResponses:
    """Guards against responses that are altered or made up on the way to the caller."""

    def test_response_is_forwarded_unchanged(self):
        routed = RoutedRequest().begin(make_answered())
        assert routed.connection.status == 200
        assert routed.connection.sent.endswith(b'\r\n\r\nwhole')
        assert b'Anvillug-Server-Seal: s' in routed.connection.sent
        assert routed.context.jobs[0].head.target == b'/get/x?q=1'

    def test_unknown_route_is_not_found(self):
        assert RoutedRequest(path=b'/none/').begin().connection.status == 404

    def test_request_without_configuration_is_unavailable(self):
        routed = RoutedRequest()
        routed.context.current = directives.Directives()
        assert routed.begin().connection.status == 503

    def test_body_above_the_limit_is_too_large(self):
        routed = RoutedRequest(extra_headers=((b'Content-Length', b'1001'),))
        assert routed.begin().connection.status == 413

    def test_chunked_body_above_the_limit_is_too_large(self):
        routed = RoutedRequest(extra_headers=((b'Transfer-Encoding', b'chunked'),))
        routed.call.receive()
        routed.call.body_received(b'x' * 600)
        routed.call.body_received(b'x' * 600)
        assert routed.connection.status == 413
        assert routed.context.reserved == 0

    # Guards against small parts that take twenty times the memory that is counted.
    def test_parts_of_a_body_are_counted_with_their_memory(self):
        routed = RoutedRequest(extra_headers=((b'Transfer-Encoding', b'chunked'),))
        routed.call.receive()
        parts = [b'%2d' % number for number in range(100)]
        for part in parts:
            routed.call.body_received(part)
        assert routed.context.reserved >= sum(map(sys.getsizeof, parts))
        assert routed.connection.status == 0
        routed.call.request_aborted()
        assert routed.context.reserved == 0


class TestFailedRecord:
    """Guards against a failure to count or log a call that costs its caller the answer."""

    @pytest.mark.parametrize(('result', 'status'), [(make_answered(), 200), (_UNKNOWN, 502)])
    def test_caller_is_answered(self, result, status):
        routed = RoutedRequest(_ONCE)
        routed.context.call_ended = _fail
        with pytest.raises(ZeroDivisionError):
            routed.begin(result)
        assert routed.connection.status == status

    def test_call_ends_although_an_attempt_is_not_cancelled(self):
        routed = RoutedRequest()
        ended = []
        routed.context.call_ended = lambda call, status, reason: ended.append(status)
        routed.begin()
        routed.call._cancels_by_attempt = {1: _fail}  # noqa: SLF001
        with pytest.raises(ZeroDivisionError):
            routed.call.request_aborted()
        assert ended == [0]


def _fail(*arguments: object) -> None:
    raise ZeroDivisionError


class TestRetries:
    """Guards against requests that run twice, and against "not run" for one that may have run."""

    @pytest.mark.parametrize('kind', [_ONCE, _REPEATABLE])
    def test_rejection_by_a_host_needs_no_retry_budget(self, kind):
        routed = RoutedRequest(kind)
        routed.context.budget = 0
        assert routed.begin(_REFUSED, _REFUSED, make_answered()).connection.status == 200

    @pytest.mark.parametrize('kind', [_ONCE, _REPEATABLE])
    def test_shed_request_is_retried_within_the_budget(self, kind):
        assert RoutedRequest(kind).begin(_SHED, make_answered()).connection.status == 200

    # A change of weights in the middle of a call would move it to a service with more room.
    def test_retry_after_a_change_of_weights_stays_with_the_service(self):
        routed = RoutedRequest(_ONCE)
        routed.begin()
        routed.context.current = _directives((_SERVICE, 1), (_OTHER_SERVICE, 1_000_000))
        routed.context.pending.pop()(_SHED)
        assert [work.service for work in routed.context.jobs] == [_SERVICE, _SERVICE]

    def test_retry_follows_the_route_to_another_service(self):
        routed = RoutedRequest(_ONCE)
        routed.begin()
        routed.context.current = _directives((_SERVICE, 0), (_OTHER_SERVICE, 1))
        routed.context.pending.pop()(_SHED)
        assert [work.service for work in routed.context.jobs] == [_SERVICE, _OTHER_SERVICE]

    def test_shed_request_without_budget_is_unavailable(self):
        routed = RoutedRequest(_ONCE)
        routed.context.budget = 0
        assert routed.begin(_SHED).connection.status == 503
        assert b'Retry-After' in routed.connection.sent

    def test_unknown_outcome_of_a_repeatable_request_is_retried(self):
        assert RoutedRequest().begin(_UNKNOWN, make_answered()).connection.status == 200

    def test_unknown_outcome_of_a_once_only_request_ends_the_call(self):
        routed = RoutedRequest(_ONCE).begin(_UNKNOWN, make_answered())
        assert routed.connection.status == 502
        assert len(routed.context.jobs) == 1

    def test_shed_after_an_unknown_outcome_is_no_proof_of_not_run(self):
        routed = RoutedRequest()
        routed.context.budget = 1
        assert routed.begin(_UNKNOWN, _SHED).connection.status == 502

    def test_attempts_are_bounded(self):
        routed = RoutedRequest().begin(_UNKNOWN, _UNKNOWN, make_answered())
        assert routed.connection.status == 502
        assert len(routed.context.jobs) == 2

    def test_failure_response_is_forwarded_after_the_last_attempt(self):
        routed = RoutedRequest().begin(make_answered(500, b'first'), _UNKNOWN)
        assert routed.connection.status == 500

    def test_failure_of_a_once_only_request_is_forwarded_at_once(self):
        routed = RoutedRequest(_ONCE).begin(make_answered(500), make_answered())
        assert routed.connection.status == 500
        assert len(routed.context.jobs) == 1


class TestDeadlines:
    """Guards against callers that wait too long, and work that goes on after the call ended."""

    def test_timeout_of_the_route_ends_the_call(self):
        routed = RoutedRequest().begin()
        routed.context.advance(_TIMEOUT_MS + 1)
        assert routed.connection.status == 504
        assert routed.context.cancelled == 1

    def test_disconnect_of_the_caller_cancels_the_job(self):
        routed = RoutedRequest().begin()
        routed.call.request_aborted()
        assert routed.context.cancelled == 1
        assert not routed.connection.sent

    def test_late_result_is_discarded(self):
        routed = RoutedRequest().begin()
        routed.context.advance(_TIMEOUT_MS + 1)
        sent = routed.connection.sent
        routed.context.pending[0](make_answered())
        assert routed.connection.sent == sent

    def test_without_a_host_the_call_is_rejected_early(self):
        routed = RoutedRequest(_ONCE)
        routed.context.has_host = False
        routed.begin()
        for _ in range(10):
            routed.context.advance(10)
        assert routed.connection.status == 503
        assert routed.context.clock.now() <= _TARGET_LATENCY_MS

    def test_host_that_becomes_available_in_time_gets_the_request(self):
        routed = RoutedRequest()
        routed.context.has_host = False
        routed.begin()
        routed.context.has_host = True
        routed.context.results = [make_answered()]
        routed.context.advance(20)
        assert routed.connection.status == 200


class TestHedging:
    """Guards against repeatable requests that wait for a slow host while a fast one is free."""

    def _begin(self, kind=_REPEATABLE, *, faster: bool = True) -> RoutedRequest:
        routed = RoutedRequest(kind).begin()
        routed.context.faster = faster
        routed.context.advance(_TARGET_LATENCY_MS / 2 + 1)
        return routed

    def test_first_response_wins_and_the_other_attempt_is_cancelled(self):
        routed = self._begin()
        assert len(routed.context.jobs) == 2
        routed.context.pending[1](make_answered())
        assert routed.connection.status == 200
        assert routed.context.cancelled == 1

    def test_failed_hedge_does_not_end_the_first_attempt(self):
        routed = self._begin()
        routed.context.pending[1](_UNKNOWN)
        assert not routed.connection.sent
        routed.context.pending[0](make_answered())
        assert routed.connection.status == 200

    def test_rejected_hedge_does_not_end_the_first_attempt(self):
        routed = self._begin()
        routed.context.pending[1](_REFUSED)
        assert len(routed.context.jobs) == 2
        routed.context.pending[0](make_answered())
        assert routed.connection.status == 200

    def test_last_hedge_does_not_end_the_first_attempt(self):
        routed = RoutedRequest()
        routed.context.faster = True
        routed.begin(*itertools.repeat(_REFUSED, 11))
        routed.context.advance(_TARGET_LATENCY_MS)
        assert not routed.connection.sent
        routed.context.pending[0](make_answered())
        assert routed.connection.status == 200

    def test_once_only_request_is_not_hedged(self):
        assert len(self._begin(_ONCE).context.jobs) == 1

    def test_without_a_faster_host_nothing_is_hedged(self):
        assert len(self._begin(faster=False).context.jobs) == 1

    def test_without_budget_nothing_is_hedged(self):
        routed = RoutedRequest().begin()
        routed.context.budget = 0
        routed.context.faster = True
        routed.context.advance(_TARGET_LATENCY_MS)
        assert len(routed.context.jobs) == 1
