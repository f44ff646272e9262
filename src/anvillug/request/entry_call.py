"""State machine of one call on the entry side.

A call is sent to one host at a time, except for hedges of repeatable calls. Each attempt ends
with a complete response, a proven "not run", an unknown outcome, or a broken connection; in the
last case the outcome is resolved on a new connection.
"""

from __future__ import annotations

import enum

from twisted.internet import interfaces

from anvillug import clock, ids
from anvillug.connection import http_exchange, http_head
from anvillug.request import attempt as attempts
from anvillug.request import (
    buffered_body,
    call,
    call_table,
    entry_context,
    entry_request,
    response_copy,
)

_MAX_RESOLUTIONS_WITHOUT_RESPONSE = 3
_RESOLVE_BACKOFF_S = 0.2
_BODY_TIMEOUT_S = 30.0
_NO_MEMORY = 'no memory for the request body'
_STATUS_TIMEOUT = 408
_STATUS_REPLAYED = 409
_STATUS_BAD_GATEWAY = 502
_STATUS_UNAVAILABLE = 503
_STATUS_GATEWAY_TIMEOUT = 504


class EntryState(enum.Enum):
    """Progress of a call on the entry side."""

    RECEIVING = 'receiving'
    WAITING = 'waiting'
    SENT = 'sent'
    RESPONDING = 'answering'
    DONE = 'done'


class EntryCall:
    """Request of a caller and its attempts.

    Args:
        context: Entry side that handles the call.
        exchange: Exchange with the caller.
        request: Request of the caller.
        properties: Properties of the call.
    """

    def __init__(
        self,
        context: entry_context.EntryContext,
        exchange: http_exchange.ServerExchange,
        request: entry_request.EntryRequest,
        properties: call.CallProperties,
    ) -> None:
        self.request = request
        self.properties = properties
        self.call_id = str(properties.call_id).encode()
        self.started_at = context.clock.now()
        self.attempted_hosts: set[ids.HostId] = set()
        self.attempt_count = 0
        self.response_exhausted = False
        self.route = ids.RouteName('')
        self.keyed = request.key is not None and not properties.repeatable
        self.state = EntryState.RECEIVING
        self._context = context
        self._exchange = exchange
        self._body = buffered_body.BufferedBody(context.account)
        self._body_complete = False
        self._body_progressed = False
        self._active: list[attempts.Attempt] = []
        self._streaming_to: attempts.Attempt | None = None
        self._winner: attempts.Attempt | None = None
        self._deadline_timer: interfaces.IDelayedCall | None = None
        self._timers: list[interfaces.IDelayedCall] = []
        self._resolver: attempts.Attempt | None = None
        self._resolver_attached = False
        self._resolving_host: tuple[ids.HostId, ids.Incarnation] | None = None
        self._resolutions_without_response = 0
        self._claimed = False
        self._may_have_run = False
        # Hosts at which an attempt broke after the call was sent and is not resolved yet.
        self._unresolved_hosts: set[ids.HostId] = set()
        self._response_copy = response_copy.ResponseCopy() if self.keyed else None

    @property
    def stored_response(self) -> call_table.StoredResponse | None:
        """Complete response of a call with a key, if it is small."""
        return None if self._response_copy is None else self._response_copy.response()

    # Events of the caller

    def receive(self) -> None:
        """Start the call; a small body is received whole before a host is selected."""
        self._exchange.handler = self
        self._start_deadline()
        if self.request.small_body:
            self._exchange.accept_body()
            if self.request.head.has_body:
                self._start_body_timer()
        else:
            self.send()

    def body_received(self, data: bytes) -> None:
        """Forward or buffer a part of the request body."""
        self._body_progressed = True
        target = self._streaming_to
        if target is None:
            if not self._body.add(data):
                self.reject(_NO_MEMORY)
            elif not self.request.small_body:
                self._exchange.pause_request(paused=True)
        elif not target.done and target.connection is not None:
            target.connection.send_body(data)

    def request_ended(self) -> None:
        """Handle the end of the request body."""
        self._body_complete = True
        if self.request.small_body:
            _cancel_all(self._timers)
            self.send()
        elif self._streaming_to is not None and self._streaming_to.connection is not None:
            self._streaming_to.connection.end_request()

    def request_aborted(self) -> None:
        """Cancel the attempts, since the caller has disconnected.

        A call with a key whose body is complete continues, so that a resend can get its response.
        """
        if not self.keyed or not self._body_complete:
            self._end(0, self._outcome_so_far())

    def response_writes_paused(self, paused: bool) -> None:
        """Forward backpressure from the caller to the host."""
        winner = self._winner
        if winner is not None and not winner.done and winner.connection is not None:
            winner.connection.pause_response(paused)

    def request_writes_paused(self, paused: bool) -> None:
        """Forward backpressure from the host to the caller."""
        self._exchange.pause_request(paused)

    # Attempts

    def send(self) -> None:
        """Send the call to a host; a call with a key claims the key first."""
        if self.state is EntryState.DONE:
            return
        self.state = EntryState.WAITING
        if self.keyed and not self._claimed:
            self._context.claim(self)
            return
        attempt = self._context.start_attempt(self, attempts.AttemptKind.SEND, None)
        if attempt is None:
            self.reject('no host can take the call')

    def claim_won(self) -> None:
        """Send the call, since no other call with this key may run."""
        self._claimed = True
        self.send()

    def transfer_exchange(self) -> http_exchange.ServerExchange | None:
        """End the call and return its exchange with the caller; None if it is already over."""
        if self.state is EntryState.DONE:
            return None
        self._end(_STATUS_REPLAYED, call.Outcome.NOT_RUN)
        return self._exchange

    def attempt_started(self, attempt: attempts.Attempt) -> None:
        """Record an attempt that the entry side has started."""
        self._active.append(attempt)
        if attempt.kind is attempts.AttemptKind.SEND:
            self.attempt_count += 1
            self.attempted_hosts.add(attempt.host_id)

    def attempt_connected(self, attempt: attempts.Attempt) -> None:
        """Send the request; see `attempt.AttemptOwner`."""
        connection = attempt.connection
        if connection is None or self.state is EntryState.DONE:
            attempt.cancel()
            return
        if attempt.kind is attempts.AttemptKind.RESOLVE:
            head = entry_request.resolve_head(self.properties, attempt.incarnation)
            connection.request(head, attempt)
            connection.end_request()
            return
        self.state = EntryState.SENT
        now = self._context.clock.now()
        head = entry_request.host_head(
            self.request,
            self.properties,
            attempt.incarnation,
            self._context.config_number(),
            now,
        )
        connection.request(head, attempt)
        if self.request.small_body:
            for data in self._body.parts:
                connection.send_body(data)
            connection.end_request()
        self._start_timers()

    def attempt_continue(self, attempt: attempts.Attempt) -> None:
        """Stream the body, since the host has admitted the call.

        For a resolution, status 100 means that the host is alive and runs the call.
        """
        if attempt is self._resolver:
            self._resolutions_without_response = 0
            self._resolver_attached = True
            return
        connection = attempt.connection
        if connection is None or self.request.small_body or self._streaming_to is not None:
            return
        self._streaming_to = attempt
        for data in self._body.take():
            connection.send_body(data)
        self._exchange.accept_body()
        if self._body_complete:
            connection.end_request()
        else:
            self._exchange.pause_request(paused=False)

    def attempt_responded(
        self,
        attempt: attempts.Attempt,
        head: http_head.ResponseHead,
    ) -> None:
        """Forward the first response and cancel the other attempts."""
        if self._winner is not None or self.state is EntryState.DONE:
            attempt.cancel()
            return
        self._winner = attempt
        self.state = EntryState.RESPONDING
        self._cancel_timers()
        if attempt.kind is attempts.AttemptKind.RESOLVE and self._active[0] is not attempt:
            self._context.connection_unresponsive(attempt.host_id)
        for other in tuple(self._active):
            if other is not attempt:
                self._cancel_attempt(other)
        headers = [
            header
            for header in http_head.end_to_end_headers(head.headers)
            if header[0].lower() not in _INTERNAL_HEADERS
        ]
        if self._response_copy is not None:
            self._response_copy.start(head.status, headers)
        self._exchange.send_head(http_head.ResponseHead(head.status, headers, head.reason))

    def attempt_body(self, attempt: attempts.Attempt, data: bytes) -> None:
        """Forward a part of the response body."""
        if attempt is not self._winner:
            return
        if self._response_copy is not None:
            self._response_copy.add(data)
        self._exchange.send_body(data)

    def attempt_ended(self, attempt: attempts.Attempt) -> None:
        """Complete the response."""
        self._remove_attempt(attempt)
        if attempt is self._winner:
            self._exchange.finish()
            self._end(200, call.Outcome.FINISHED)  # noqa: WPS432

    def attempt_not_run(self, attempt: attempts.Attempt, reason: str) -> None:
        """Retry at another host within the budget, or respond that the call was not run."""
        is_fenced = attempt.kind is attempts.AttemptKind.RESOLVE
        self.response_exhausted = self.response_exhausted or attempt.exhausted
        self._remove_attempt(attempt)
        if is_fenced:
            # The id is now fenced, so the first attempt can no longer run.
            self._unresolved_hosts.discard(attempt.host_id)
            self._cancel_attempts_at(attempt.host_id)
        if self._active or self.state is EntryState.DONE:
            return
        if self._body_was_streamed():
            self.reject(reason)
        elif self._context.may_retry(self, self._worst_outcome()):
            self.send()
        else:
            self.reject(reason)

    def attempt_unknown(self, attempt: attempts.Attempt, reason: str) -> None:
        """Retry a repeatable call within the budget, or respond that the outcome is unknown."""
        self._remove_attempt(attempt)
        if attempt.kind is attempts.AttemptKind.RESOLVE:
            self._cancel_attempts_at(attempt.host_id)
        self._handle_unknown(reason)

    def attempt_broken(self, attempt: attempts.Attempt) -> None:
        """Resolve the outcome on a new connection, or abort a response in progress."""
        self._remove_attempt(attempt)
        if attempt is self._winner:
            self._exchange.abort()
            self._end(_STATUS_BAD_GATEWAY, call.Outcome.UNKNOWN)
            return
        if self.state is EntryState.DONE:
            return
        self._unresolved_hosts.add(attempt.host_id)
        resolving = attempt.kind is attempts.AttemptKind.RESOLVE
        if self._active and not resolving:
            return
        self._context.connection_unresponsive(attempt.host_id)
        if resolving:
            self._resolutions_without_response += 1
        backoff_s = _RESOLVE_BACKOFF_S * self._resolutions_without_response
        host = (attempt.host_id, attempt.incarnation)
        self._timers.append(self._context.reactor.callLater(backoff_s, self._resolve, host))

    # Internals

    def _start_body_timer(self) -> None:
        self._body_progressed = False
        later = self._context.reactor.callLater
        self._timers = [later(_BODY_TIMEOUT_S, self._check_body_progress)]

    def _check_body_progress(self) -> None:
        if self._body_progressed:
            self._start_body_timer()
        else:
            reason = f'no byte of the request for {_BODY_TIMEOUT_S:.0f} s'
            self._respond(_STATUS_TIMEOUT, call.Outcome.NOT_RUN, reason)

    def _start_deadline(self) -> None:
        remaining_ms = self.properties.deadline - self._context.clock.now()
        if remaining_ms < _MAX_TIMER_MS:
            delay = max(0, clock.to_seconds(remaining_ms))
            self._deadline_timer = self._context.reactor.callLater(delay, self._deadline_passed)

    def _start_timers(self) -> None:
        if len(self._active) > 1:
            # This is a hedge; the timers of the first attempt apply to both.
            return
        _cancel_all(self._timers)
        later = self._context.reactor.callLater
        silence_ms = self._context.silence_ms(self)
        self._timers.append(
            later(clock.to_seconds(silence_ms), self._resolve_unresponsive, silence_ms)
        )
        hedge_ms = self._context.hedge_delay_ms(self)
        if hedge_ms is not None:
            self._timers.append(later(clock.to_seconds(hedge_ms), self._hedge))

    def _hedge(self) -> None:
        if self.state is EntryState.SENT and self._context.may_hedge(self):
            self._context.start_attempt(self, attempts.AttemptKind.SEND, None)

    def _resolve_unresponsive(self, silence_ms: float) -> None:
        if self.state is not EntryState.SENT:
            return
        if self._resolver in self._active and not self._resolver_attached:
            self._resolutions_without_response += 1
        if self._active:
            # A running resolution is repeated at its host, else the oldest active attempt is
            # resolved; attempts at resolved hosts are no longer active.
            awaited = self._resolver if self._resolver in self._active else self._active[0]
            self._resolve((awaited.host_id, awaited.incarnation))
        if self.state is not EntryState.SENT:
            return
        next_ms = min(2 * silence_ms, _MAX_SILENCE_MS)
        self._timers.append(
            self._context.reactor.callLater(
                clock.to_seconds(next_ms),
                self._resolve_unresponsive,
                next_ms,
            ),
        )

    def _resolve(self, host: tuple[ids.HostId, ids.Incarnation]) -> None:
        """Resolve the outcome at a host; a new resolution replaces the previous one."""
        if self.state is EntryState.DONE:
            return
        if host != self._resolving_host:
            self._resolving_host = host
            self._resolutions_without_response = 0
        if self._resolutions_without_response >= _MAX_RESOLUTIONS_WITHOUT_RESPONSE:
            self._cancel_attempts_at(host[0])
            self._handle_unknown('the host does not answer')
            return
        replaced = self._resolver
        self._resolver_attached = False
        self._resolver = self._context.start_attempt(self, attempts.AttemptKind.RESOLVE, host)
        if replaced is not None:
            self._cancel_attempt(replaced)
        if self._resolver is None and not self._active:
            self._handle_unknown('the host is gone')

    def _deadline_passed(self) -> None:
        if self.state in (EntryState.RESPONDING, EntryState.DONE):
            return
        self._respond(_STATUS_GATEWAY_TIMEOUT, self._outcome_so_far(), 'deadline passed')

    def _handle_unknown(self, reason: str) -> None:
        self._may_have_run = True
        if self._active or self.state is EntryState.DONE:
            return
        if self._body_was_streamed() or not self._context.may_retry(self, call.Outcome.UNKNOWN):
            self._respond(_STATUS_BAD_GATEWAY, call.Outcome.UNKNOWN, reason)
        else:
            self.send()

    def reject(self, reason: str) -> None:
        """Respond that the call was not run, unless an earlier attempt may have run."""
        if self._worst_outcome() is call.Outcome.UNKNOWN:
            self._respond(_STATUS_BAD_GATEWAY, call.Outcome.UNKNOWN, reason)
        else:
            self._respond(_STATUS_UNAVAILABLE, call.Outcome.NOT_RUN, reason)

    def _outcome_so_far(self) -> call.Outcome:
        """Return the outcome to report if the call is abandoned now."""
        if self.state in (EntryState.SENT, EntryState.RESPONDING):
            return call.Outcome.UNKNOWN
        return self._worst_outcome()

    def _worst_outcome(self) -> call.Outcome:
        """Return `UNKNOWN` if an attempt that is over may have run, otherwise `NOT_RUN`."""
        may_have_run = self._may_have_run or self._unresolved_hosts
        return call.Outcome.UNKNOWN if may_have_run else call.Outcome.NOT_RUN

    def _respond(self, status: int, outcome: call.Outcome, reason: str) -> None:
        headers = [
            (b'Content-Type', b'text/plain; charset=utf-8'),
            (b'Anvillug-Call', self.call_id),
            (b'Anvillug-Outcome', outcome.value.encode()),
            (b'Anvillug-Reason', reason.encode('latin-1', 'replace')),
        ]
        if outcome is call.Outcome.NOT_RUN:
            headers.append((b'Retry-After', b'1'))
        if self.attempt_count > 1:
            headers.append((b'Anvillug-Retries', b'exhausted'))
        text = f'{outcome.value}: {reason}\n'.encode()
        self._exchange.respond(status, text, tuple(headers))
        self._end(status, outcome)

    def _body_was_streamed(self) -> bool:
        return self._streaming_to is not None

    def _cancel_attempts_at(self, host_id: ids.HostId) -> None:
        for other in tuple(self._active):
            if other.host_id == host_id:
                self._cancel_attempt(other)

    def _cancel_attempt(self, attempt: attempts.Attempt) -> None:
        attempt.cancel()
        self._remove_attempt(attempt)

    def _remove_attempt(self, attempt: attempts.Attempt) -> None:
        if attempt in self._active:
            self._active.remove(attempt)
            self._context.attempt_finished(self, attempt)

    def _cancel_timers(self) -> None:
        _cancel_all(self._timers)
        if self._deadline_timer is not None and self._deadline_timer.active():
            self._deadline_timer.cancel()
        self._deadline_timer = None

    def _end(self, status: int, outcome: call.Outcome) -> None:
        if self.state is EntryState.DONE:
            return
        self.state = EntryState.DONE
        self._body.clear()
        self._cancel_timers()
        for attempt in tuple(self._active):
            self._cancel_attempt(attempt)
        # They refer to the call, which would be freed only by the collector.
        self._winner = None
        self._streaming_to = None
        self._resolver = None
        self._context.call_ended(self, status, outcome)


def _cancel_all(timers: list[interfaces.IDelayedCall]) -> None:
    for timer in timers:
        if timer.active():
            timer.cancel()
    timers.clear()


_INTERNAL_HEADERS = frozenset((b'anvillug-load', b'anvillug-config'))
_MAX_TIMER_MS = 3_600_000
_MAX_SILENCE_MS = 8000
