"""Processing of one caller's request on the entry side of a mesh node.

The request is read completely, routed, and sent to one host at a time (two while a hedge is
pending) until there is a response to forward. It is reported as not run only if no backend server
can have begun to execute it.
"""

from __future__ import annotations

import enum
import math
import random
from collections.abc import Callable
from typing import Protocol as Interface

from twisted.internet import interfaces

from anvillug import clock, ids
from anvillug.connection import http_exchange, http_head
from anvillug.request import access, buffered_body, dialect, job, rejection, retry_advice
from anvillug.version import directives, route_table

STATUS_BAD_GATEWAY = 502
STATUS_UNAVAILABLE = 503
STATUS_GATEWAY_TIMEOUT = 504
STATUS_UNAUTHORIZED = 401
STATUS_NOT_FOUND = 404
STATUS_TOO_LARGE = 413
_REJECTIONS = (STATUS_UNAVAILABLE, STATUS_UNAUTHORIZED, STATUS_NOT_FOUND)
_CHALLENGE = ((b'WWW-Authenticate', b'Bearer'),)

# Rejections by hosts after which the next host must accept the job even while it is slow.
_MAX_HOST_REJECTIONS = 3
# Attempts after which a call fails, including those that no backend server received.
_MAX_HOST_ATTEMPTS = 12
# With less time than this before the deadline, a response could not arrive in time.
_MIN_TIME_LEFT_MS = 5.0
# Delays of the first and of each further check for a hedge, as shares of the latency objective.
_HEDGE_DELAY_SHARE = 0.4
_HEDGE_RECHECK_SHARE = 0.15
# Sent to callers whose key can't be verified: by then this node may have reached the log again.
_NO_WORD_RETRY_AFTER_MS = 500.0
# Pause before the next attempt while no host accepts the call.
_HOST_RETRY_PAUSE_MS = 15.0
# Longest wait for a host that accepts the call, as a share of the latency objective.
_MAX_HOST_WAIT_SHARE = 0.12


class CallState(enum.Enum):
    """Progress of a call."""

    READING = 'reading'
    TRYING = 'trying'
    DONE = 'done'


class CallContext(Interface):
    """What a call needs from the entry side."""

    reactor: interfaces.IReactorTime
    """Timers."""
    clock: clock.Clock
    """Time."""
    rng: random.Random
    """Random number generator."""
    header_dialect: dialect.Dialect
    """Reads and writes the headers of callers."""
    caller_service: str
    """Service of this node, from whose hosts callers send their requests."""

    def directives(self) -> directives.Directives:
        """Return the directives in effect."""

    def has_recent_word(self) -> bool:
        """Return whether the directives are recent enough to rely on the keys in them."""

    def reserve(self, size: int, reserved: int = 0) -> bool:
        """Reserve memory for a part of a body; a negative size releases it.

        Args:
            size: Size of the part in bytes.
            reserved: What is reserved for the body already.
        """

    def start(
        self, call: RoutedCall, work: job.Job, on_result: Callable[[job.Result], None]
    ) -> Callable[[], object] | None:
        """Send a job to a selected host.

        Returns:
            A function that cancels the attempt; None if no host is available.
        """

    def spend_retry(self, service: ids.ServiceName) -> bool:
        """Spend one retry from the budget; return whether the budget allowed it."""

    def has_faster_host(self, call: RoutedCall) -> bool:
        """Return whether a much faster host is available than the one that has the call."""

    def call_ended(self, call: RoutedCall, status: int, reason: str) -> None:
        """Record the result of a call; the status is 0 if the caller disconnected."""


class RoutedCall:
    """A caller's request and its attempts.

    Args:
        context: Entry side.
        exchange: Exchange with the caller.
    """

    def __init__(self, context: CallContext, exchange: http_exchange.ServerExchange) -> None:
        self.started_at = context.clock.now()
        """When the head arrived."""
        self.attributes = context.header_dialect.read_attributes(exchange.head)
        """Attempt id and deadline from the caller's headers."""
        self.place = exchange.place
        """Place of the request among those of the caller's connection."""
        self.route: route_table.Route | None = None
        """Route in effect."""
        self.service = ids.ServiceName('')
        """Service that the request is routed to."""
        self.tenant = ids.TenantName('')
        """Tenant whose key the caller sent; empty if the route needs none."""
        self.refusal: access.Refusal | None = None
        """Why the caller may not use the route; None if it may."""
        self.is_rejected = False
        """Whether the response says that the request has not run, for want of access or room."""
        self._access = access.Access()
        self.attempted_hosts: set[ids.HostId] = set()
        """Hosts already selected; cleared when all hosts become eligible again after a pause."""
        self.arrivals = 0
        """Attempts that reached, or may have reached, a backend server."""
        self.tries = 0
        """Attempts begun, including those that no backend server received."""
        self.version_draw = context.rng.random()
        """Random number in [0, 1) that decides during a rollout whether the new version gets the
        call. It is the same for all attempts: a new one for each would direct calls that hosts of
        the old version reject to the new version."""
        self._service_draw = context.rng.random()
        self.host_rejections = 0
        """Attempts that were rejected by a host before dispatch."""
        self.deadline = clock.Milliseconds(self.started_at + self.attributes.deadline_ms)
        """The caller's deadline or the timeout of the route, whichever is earlier."""
        self._retry_advice = retry_advice.RetryAdvice()
        self._context = context
        self._exchange = exchange
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._reserved = 0
        self._max_body_bytes = 0
        self._state = CallState.READING
        self._may_have_run = False
        self._server_failure: job.Result | None = None
        # Attempts without a result, and the functions that cancel them.
        self._pending_attempts: set[int] = set()
        self._cancels_by_attempt: dict[int, Callable[[], object]] = {}
        self._deadline_timer: interfaces.IDelayedCall | None = None
        self._host_retry_timer: interfaces.IDelayedCall | None = None
        self._hedge_timer: interfaces.IDelayedCall | None = None

    # From the caller

    @property
    def reserved_bytes(self) -> int:
        """Memory that is reserved for the body."""
        return self._reserved

    def receive(self) -> None:
        """Look the route up and read the body; a host is selected once the body is complete."""
        self._exchange.handler = self
        if not self._find_route():
            return
        self._max_body_bytes = self._context.directives().routes.limits.max_body_bytes
        if self._is_too_large(self._exchange.head.content_length):
            return
        self._exchange.accept_body()
        self._deadline_timer = self._context.reactor.callLater(
            self._seconds_left(), self._deadline_passed
        )

    def body_received(self, data: bytes) -> None:
        """Buffer a chunk of the body."""
        if self._state is not CallState.READING:
            return
        if self._is_too_large(self._body_bytes + len(data)):
            return
        size = len(data) + buffered_body.PART_BYTES
        if not self._context.reserve(size, self._reserved):
            self._respond_unavailable('no memory for the body')
            return
        self._body_bytes += len(data)
        self._reserved += size
        self._body.append(data)

    def request_ended(self) -> None:
        """Begin the first attempt, since the request is complete."""
        if self._state is CallState.READING:
            self._state = CallState.TRYING
            self._next_attempt()

    def request_aborted(self) -> None:
        """Cancel the call, since the caller disconnected."""
        self._end(0, 'caller gone')

    def response_writes_paused(self, paused: bool) -> None:
        """Ignore backpressure: the whole response is in memory already."""

    # From the node

    def cut(self) -> None:
        """End the call without a response, since the process ends."""
        self._end(0, 'node ends')

    # Private

    def _is_too_large(self, size: int) -> bool:
        """Return whether a body exceeds the limit, and respond with status 413 if so."""
        if size <= self._max_body_bytes:
            return False
        self._respond(STATUS_TOO_LARGE, f'body exceeds {self._max_body_bytes} bytes')
        return True

    def _find_route(self) -> bool:
        """Look the route up; respond with an error and return False if there is none."""
        head = self._exchange.head
        current = self._context.directives()
        if current.routes is None:
            self._respond_unavailable('no configuration')
            return False
        route = current.routes.match(head.get(b'host') or b'', head.path)
        if route is None:
            self._respond(STATUS_NOT_FOUND, 'no route matches')
            return False
        if route is not self.route:
            self.route = route
            self.service = route.service_for(self._service_draw, self.service)
            timeout_at = self.started_at + route.timeout_ms
            caller_deadline = self.started_at + self.attributes.deadline_ms
            self.deadline = clock.Milliseconds(min(timeout_at, caller_deadline))
        return self._may_enter()

    def _may_enter(self) -> bool:
        """Check the caller's key; respond with an error and return False if it may not enter."""
        self._access = self._decide_access()
        self.tenant = self._access.tenant or ids.TenantName('')
        self.refusal = self._access.refusal
        if self.refusal is None:
            return True
        reason = self.refusal.value
        if self._may_have_run:
            self._respond_failed(reason)
        elif self.refusal is access.Refusal.NO_RECENT_WORD:
            self._respond_unavailable(reason, _NO_WORD_RETRY_AFTER_MS)
        else:
            self._respond(STATUS_UNAUTHORIZED, reason, _CHALLENGE)
        return False

    def _decide_access(self) -> access.Access:
        context = self._context
        routes = context.directives().routes
        return access.decide(
            routes.tenants, self.route, self._exchange.head, context.has_recent_word
        )

    def _next_attempt(self) -> None:
        """Begin an attempt, or end the call if it has no attempts or no time left."""
        self._host_retry_timer = None
        if self._state is not CallState.TRYING or not self._find_route():
            return
        now = self._context.clock.now()
        if self.tries >= _MAX_HOST_ATTEMPTS or self.deadline - now < _MIN_TIME_LEFT_MS:
            self._respond_failed('no host took the call')
        else:
            self._start_attempt()

    def _start_attempt(self) -> None:
        self.tries += 1
        number = self.tries
        self._pending_attempts.add(number)
        cancel = self._context.start(
            self, self._build_job(), lambda result: self._attempt_ended(number, result)
        )
        # `start` may have reported the result already, which may have begun a further attempt.
        if number not in self._pending_attempts:
            return
        if cancel is None:
            self._pending_attempts.discard(number)
            self._no_host_available()
        else:
            self._exchange.goes_on = not self.route.is_repeatable
            self._cancels_by_attempt[number] = cancel
            self._schedule_hedge(_HEDGE_DELAY_SHARE)

    def _no_host_available(self) -> None:
        if not self._pending_attempts:
            self._wait_for_host('no host can take the call')

    def _schedule_hedge(self, share: float) -> None:
        """Schedule the check whether a repeatable request should be hedged."""
        if self.route.is_repeatable and self._hedge_timer is None:
            pause_s = clock.to_seconds(self.route.target_latency_ms * share)
            self._hedge_timer = self._context.reactor.callLater(pause_s, self._hedge)

    def _hedge(self) -> None:
        self._hedge_timer = None
        attempts_used = self.arrivals + len(self._pending_attempts)
        is_waiting = self._state is CallState.TRYING and len(self._pending_attempts) == 1
        left_ms = self.deadline - self._context.clock.now()
        is_late = left_ms < self.route.target_latency_ms * _HEDGE_DELAY_SHARE
        if not is_waiting or is_late or attempts_used >= self.route.max_attempts:
            return
        if self._decide_access().refusal is not None:
            # The key was withdrawn; the attempt in progress began before that.
            return
        if self._context.has_faster_host(self) and self._context.spend_retry(self.service):
            self._start_attempt()
        else:
            self._schedule_hedge(_HEDGE_RECHECK_SHARE)

    def _build_job(self) -> job.Job:
        head = self._exchange.head
        # All jobs of the call share one copy.
        body = b''.join(self._body)
        self._body = [body]
        headers = self._context.header_dialect.forward_headers(
            head, self._context.caller_service, self._access.tenant
        )
        priority = self._access.priority
        headers = [header for header in headers if header[0].lower() != b'content-length']
        if head.framing is not http_head.Framing.NONE:
            headers.append((b'Content-Length', b'%d' % len(body)))
        return job.Job(
            attempt_id=self.attributes.attempt_id,
            service=self.service,
            route=self.route.name,
            head=http_head.RequestHead(head.method, head.target, headers),
            body=body,
            deadline=self.deadline,
            repeatable=self.route.is_repeatable,
            priority=self.route.priority if priority is None else priority,
            position=self._context.directives().position,
            instance=ids.InstanceId(''),
            must_accept=self.host_rejections >= _MAX_HOST_REJECTIONS,
            tenant=self.tenant,
            objective=self._objective(),
        )

    def _objective(self) -> clock.Milliseconds:
        """Return the time until which a response meets the latency objective of the route."""
        target_ms = self.route.target_latency_ms or math.inf
        return clock.Milliseconds(self.started_at + target_ms)

    def _attempt_ended(self, number: int, result: job.Result) -> None:
        """Process the result of an attempt."""
        self._pending_attempts.discard(number)
        self._cancels_by_attempt.pop(number, None)
        if self._state is not CallState.TRYING:
            return
        if result.kind is job.ResultKind.ANSWERED:
            self._response_received(result)
        elif result.kind is job.ResultKind.REFUSED:
            self.host_rejections += 1
            self._retry_advice.add(result.retry_after_ms)
            if not self._pending_attempts:
                self._next_attempt()
        elif result.kind is job.ResultKind.SHED:
            self.arrivals += 1
            self._retry(result.reason)
        else:
            self.arrivals += 1
            self._may_have_run = True
            self._retry(result.reason)

    def _response_received(self, result: job.Result) -> None:
        self.arrivals += 1
        if result.failed:
            self._may_have_run = True
            self._server_failure = result
            self._retry('backend server failed')
        else:
            self._forward(result)

    def _retry(self, reason: str) -> None:
        """Retry if the request may run again and attempts and retry budget are left.

        Args:
            reason: Why the attempt that reached a backend server did not succeed.
        """
        if self._pending_attempts:
            # The other attempt may still succeed.
            return
        must_not_run_again = self._may_have_run and not self.route.is_repeatable
        if must_not_run_again or self.arrivals >= self.route.max_attempts:
            self._respond_failed(reason)
        elif self._context.spend_retry(self.service):
            self._next_attempt()
        else:
            self._respond_failed(f'{reason}; retry budget is used up')

    def _wait_for_host(self, reason: str) -> None:
        """Make all hosts eligible again after a pause.

        After a share of the latency objective the call is rejected instead, so that the caller
        can still retry in time.
        """
        waited_ms = self._context.clock.now() - self.started_at
        if waited_ms > self.route.target_latency_ms * _MAX_HOST_WAIT_SHARE:
            self._respond_failed(reason)
            return
        self.attempted_hosts.clear()
        pause_s = clock.to_seconds(_HOST_RETRY_PAUSE_MS)
        self._host_retry_timer = self._context.reactor.callLater(pause_s, self._next_attempt)

    def _respond_failed(self, reason: str) -> None:
        if self._forward_failure():
            return
        if self._may_have_run:
            self._respond(STATUS_BAD_GATEWAY, reason)
        else:
            self._respond_unavailable(reason)

    def _forward_failure(self) -> bool:
        """Forward a failure response of a backend server, if there is one."""
        failure = self._server_failure
        if failure is None:
            return False
        self._forward(failure)
        return True

    def _deadline_passed(self) -> None:
        if self._state is CallState.DONE:
            return
        sent = self._pending_attempts or self._may_have_run
        if self._forward_failure():
            return
        if sent or self._state is CallState.READING:
            self._respond(STATUS_GATEWAY_TIMEOUT, 'timeout')
        else:
            self._respond_unavailable('timeout')

    def _respond_unavailable(self, reason: str, wait_ms: float | None = None) -> None:
        if wait_ms is None:
            left_ms = self.deadline - self._context.clock.now()
            wait_ms = self._retry_advice.wait_ms(left_ms, self._context.rng)
        headers = self._context.header_dialect.retry_headers(wait_ms)
        self._respond(STATUS_UNAVAILABLE, reason, tuple(headers))

    def _forward(self, result: job.Result) -> None:
        head = result.head
        head.headers.append((b'Content-Length', b'%d' % len(result.body)))
        try:
            self._end(head.status, result.reason)
        finally:
            # A failure to record the call must not cost the caller the answer.
            self._send(head, result.body)

    def _send(self, head: http_head.ResponseHead, body: bytes) -> None:
        self._exchange.send_head(head)
        self._exchange.send_body(body)
        self._exchange.finish()

    def _respond(
        self, status: int, reason: str, headers: tuple[http_head.Header, ...] = ()
    ) -> None:
        self.is_rejected = status in {STATUS_UNAUTHORIZED, STATUS_UNAVAILABLE}
        # A body that is too large or too late is not awaited.
        awaits_body = self._state is CallState.READING and status in _REJECTIONS
        try:
            self._end(status, reason)
        finally:
            self._answer(status, f'{reason}\n'.encode(), headers, awaits_body=awaits_body)

    def _answer(
        self, status: int, body: bytes, headers: tuple[http_head.Header, ...], *, awaits_body: bool
    ) -> None:
        exchange = self._exchange
        if awaits_body:
            rejection.Rejection(
                self._context.reactor, exchange, lambda: exchange.respond(status, body, headers)
            )
        else:
            exchange.respond(status, body, headers)

    def _seconds_left(self) -> float:
        return max(0.0, clock.to_seconds(self.deadline - self._context.clock.now()))

    def _end(self, status: int, reason: str) -> None:
        if self._state is CallState.DONE:
            return
        self._state = CallState.DONE
        for timer in (self._deadline_timer, self._host_retry_timer, self._hedge_timer):
            if timer is not None and timer.active():
                timer.cancel()
        # One that has run refers to the call, which would be freed only by the collector.
        self._deadline_timer = None
        self._host_retry_timer = None
        self._hedge_timer = None
        self._pending_attempts.clear()
        try:
            for cancel in tuple(self._cancels_by_attempt.values()):
                cancel()
        finally:
            self._release()
            self._context.call_ended(self, status, reason)

    def _release(self) -> None:
        # The exchange and the call refer to each other, and may be collected much later.
        self._cancels_by_attempt.clear()
        self._body.clear()
        self._context.reserve(-self._reserved)
