"""Processing of one call on the host side.

A call is recorded in the call table, waits for a slot and runs on the backend server. Its response
is stored in the table for entry sides that lost their connection.
"""

from __future__ import annotations

import enum
from typing import Protocol as Interface

from twisted.internet import interfaces

from anvillug import clock, ids
from anvillug.connection import (
    http_client,
    http_exchange,
    http_head,
    http_pool,
    memory_account,
)
from anvillug.request import (
    buffered_body,
    call,
    call_table,
    host_request,
    limit,
    quarantine,
    response_copy,
)

_STATUS_OK = 200
_STATUS_BAD_GATEWAY = 502
_MIN_SERVER_ERROR_STATUS = 500
_STATUS_UNAVAILABLE = 503
_PROGRESS_TIMEOUT_S = 30.0
_NO_MEMORY = 'no memory for the request body'
_CALL_HEADER = call.CALL_HEADER.lower().encode()
_OUTCOME_HEADER = call.OUTCOME_HEADER.lower().encode()


class HostCallState(enum.Enum):
    """Progress of a call on the host side."""

    RECEIVING = 'receiving'
    QUEUED = 'queued'
    CONNECTING = 'connecting'
    RUNNING = 'running'
    DONE = 'done'


class HostContext(Interface):
    """What a call needs from the host side that processes it."""

    reactor: interfaces.IReactorTime
    """Timers."""
    clock: clock.Clock
    """Time."""
    account: memory_account.MemoryAccount
    """Account of the memory that the process holds for clients."""
    kept_answer_bytes: int
    """Largest response that is stored for a later request for the outcome."""

    def must_wait_for_config(self, host_call: HostCall) -> bool:
        """Return whether the call must wait for a newer configuration.

        The context then calls `admit` of the call once it is in effect, or `respond_not_run`.
        """

    def admit(self, host_call: HostCall) -> str | None:
        """Request a slot.

        Returns:
            The reason of a rejection; None if the call starts, is queued or already has a
            response.
        """

    @property
    def has_suspects(self) -> bool:
        """Whether requests are suspected of crashing backend servers."""

    def quarantine_reason(self, host_call: HostCall) -> str | None:
        """Return why a call may not run as it is suspect or quarantined, None if it may."""

    def backend_unreachable(self) -> None:
        """Record that a connection to the backend server failed."""

    def dispatched(self, host_call: HostCall) -> None:
        """Record that the call is sent to the backend server."""

    def pool(self) -> http_pool.Pool | None:
        """Return connections to the backend server; None if there is none."""

    def rejected(self, host_call: HostCall) -> None:
        """Record that the call has not run and release its slot."""

    def finished(
        self,
        host_call: HostCall,
        stored_response: call_table.StoredResponse | None,
        result: limit.CallResult,
    ) -> None:
        """Record the response and release the slot."""

    def failed(self, host_call: HostCall, *, crashed: bool) -> None:
        """Record that the outcome is unknown and release the slot."""

    def response_headers(
        self, call_id: ids.CallId, outcome: call.Outcome
    ) -> list[http_head.Header]:
        """Return the headers for the entry side: id, outcome, load and configuration."""


class HostCall:
    """A call from an entry side and its run on the backend server.

    Args:
        context: Host side.
        exchange: Exchange with the entry side.
        request: The call.
    """

    def __init__(
        self,
        context: HostContext,
        exchange: http_exchange.ServerExchange,
        request: host_request.HostRequest,
    ) -> None:
        self.request = request
        self.state = HostCallState.RECEIVING
        self.body_complete = False
        """Whether the whole body has been received."""
        self.in_flight_at_start = 0
        self.dispatched_at = clock.Milliseconds(0)
        self._context = context
        self._exchange = exchange
        self._connection: http_client.ClientConnection | None = None
        self._body = buffered_body.BufferedBody(context.account)
        self._hash = quarantine.RequestHash(
            request.properties.service,
            request.head.method.decode('latin-1'),
            request.head.target.decode('latin-1'),
        )
        self._entry_disconnected = False
        self._status = 0
        self._response_copy = response_copy.ResponseCopy(context.kept_answer_bytes, context.account)
        self._shed = False
        self._progress_timer: interfaces.IDelayedCall | None = None
        self._made_progress = False
        self._request_complete_at = clock.Milliseconds(0)
        self._head_received_at = clock.Milliseconds(0)

    @property
    def is_running(self) -> bool:
        """Whether the call has been sent to the backend server and has not ended."""
        return self.state is HostCallState.RUNNING

    @property
    def fingerprint(self) -> ids.Fingerprint:
        """Fingerprint of the request, as far as its body has been received."""
        return self._hash.fingerprint

    def latency_ms(self, now: clock.Milliseconds) -> float:
        """Return the time from the complete request to the arrival of the head of the response.

        Args:
            now: Monotonic time, used if no head was received.
        """
        since = max(self.dispatched_at, self._request_complete_at)
        return max(0.0, (self._head_received_at or now) - since)

    # From the entry side

    def receive(self) -> None:
        """Begin admission, or first receive the body if it is not streamed."""
        self._exchange.handler = self
        if self.request.streams_body:
            self._admit()
        else:
            self._exchange.accept_body()

    def body_received(self, data: bytes) -> None:
        """Forward or buffer a chunk of the request body."""
        self._made_progress = True
        self._hash.update(data)
        is_running = self.state is HostCallState.RUNNING and self._connection is not None
        if is_running and not (self._body.parts or self._context.has_suspects):
            self._connection.send_body(data)
        elif not self._body.add(data):
            self._reject_body()
        elif is_running:
            self._forward_body()
        elif self.request.streams_body:
            self._exchange.pause_request(paused=True)

    def request_ended(self) -> None:
        """Process the end of the request body."""
        self.body_complete = True
        self._request_complete_at = self._context.clock.now()
        if not self.request.streams_body:
            self._admit()
        elif self.state is HostCallState.RUNNING and self._connection is not None:
            self._forward_body()

    def request_aborted(self) -> None:
        """Cancel the call, since the entry side disconnected.

        A call that is not repeatable and was sent completely continues to run, and its response
        is stored.
        """
        self._entry_disconnected = True
        if self.state in (HostCallState.QUEUED, HostCallState.CONNECTING):
            self._reject('the entry side is gone')
        elif self.state is HostCallState.RUNNING:
            if self.request.properties.repeatable or not self.body_complete:
                self._fail('cancelled')
        elif self.state is HostCallState.RECEIVING:
            self.state = HostCallState.DONE
            self._body.clear()

    def response_writes_paused(self, paused: bool) -> None:
        """Propagate backpressure of the entry side to the backend server."""
        running = self.is_running and not self._entry_disconnected
        if running and self._connection is not None:
            self._connection.pause_response(paused)

    def request_writes_paused(self, paused: bool) -> None:
        """Propagate backpressure of the backend server to the entry side."""
        self._exchange.pause_request(paused)

    # From the host side

    def admit(self) -> None:
        """Request a slot, once the configuration of the sender is in effect at this node."""
        if self.state is HostCallState.DONE:
            return
        reason = self._context.admit(self)
        if reason is not None:
            self._respond_not_run(reason)

    def start(self) -> None:
        """Run the call in the slot that it received."""
        pool = self._context.pool()
        if pool is None:
            self._reject('no backend server has announced itself')
            return
        self.state = HostCallState.CONNECTING
        pool.acquire(self._connected, self._connect_failed)

    def queue(self) -> None:
        """Set the state of a call that waits for a slot."""
        self.state = HostCallState.QUEUED

    def respond_not_run(self, reason: str) -> None:
        """Respond that the call has not run; its record in the call table is already final."""
        self._respond_not_run(reason)

    def respond_unknown(self, reason: str) -> None:
        """Respond that the outcome is unknown; the record in the call table is not changed."""
        self._respond_outcome(_STATUS_BAD_GATEWAY, call.Outcome.UNKNOWN, reason)

    # From the backend server

    def response_continue(self) -> None:
        """Ignore status 100: the body is sent without waiting for it."""

    def response_head(self, head: http_head.ResponseHead) -> None:
        """Forward the head, or record that the backend server shed the call."""
        echoed_id = head.get(_CALL_HEADER)
        if echoed_id is not None and echoed_id != str(self.request.properties.call_id).encode():
            # A late response to an earlier request on this connection.
            self._fail(f'the backend server answered call {echoed_id.decode("latin-1")}')
            return
        if head.status == _STATUS_UNAVAILABLE and head.get(_OUTCOME_HEADER) == b'not-run':
            self._shed = True
            return
        self._made_progress = True
        self._note_arrival()
        self._status = head.status
        headers = http_head.end_to_end_headers(head.headers, _REPLACED_HEADERS)
        self._response_copy.start(head.status, headers)
        headers.extend(
            self._context.response_headers(
                self.request.properties.call_id,
                call.Outcome.FINISHED,
            ),
        )
        if not self._entry_disconnected:
            self._exchange.send_head(http_head.ResponseHead(head.status, headers, head.reason))

    def response_body(self, data: bytes) -> None:
        """Forward a chunk of the response and retain it while the response is small."""
        self._made_progress = True
        if self._shed:
            return
        self._response_copy.add(data)
        if not self._entry_disconnected:
            self._exchange.send_body(data)

    def response_ended(self) -> None:
        """Record the response, or respond that the call was shed."""
        if self.state is HostCallState.DONE:
            return
        self._close()
        if self._shed:
            self._context.rejected(self)
            self._respond_not_run('shed by the backend server')
            return
        failed = self._status >= _MIN_SERVER_ERROR_STATUS
        result = limit.CallResult.FAILED if failed else limit.CallResult.OK
        self._context.finished(self, self._response_copy.response(), result)
        self._response_copy.drop()
        self._exchange.finish()

    def response_failed(self, reason: http_client.ClientFailure) -> None:
        """Record that the backend server sent no complete response."""
        if self.state is not HostCallState.DONE:
            self._fail(f'backend server: {reason.value}', crashed=True)

    # Private

    def _note_arrival(self) -> None:
        # A late read by this process is no latency of the backend server.
        waited_ms = 0 if self._connection is None else self._connection.waited_ms
        self._head_received_at = clock.Milliseconds(self._context.clock.now() - waited_ms)

    def _admit(self) -> None:
        if not self._context.must_wait_for_config(self):
            self.admit()

    def _connected(self, connection: http_client.ClientConnection) -> None:
        if self.state is HostCallState.DONE:
            return
        self._connection = connection
        self.state = HostCallState.RUNNING
        self.dispatched_at = self._context.clock.now()
        self._context.dispatched(self)
        connection.request(host_request.backend_head(self.request, self.dispatched_at), self)
        self._forward_body()
        if not self.body_complete:
            self._exchange.accept_body()
            self._exchange.pause_request(paused=False)
        self._start_progress_timer()

    def _forward_body(self) -> None:
        """Send what has been received of the body.

        While requests are suspect, the end of a streamed body is sent only once it is known that
        the request is not one of them: a backend server begins to run it then.
        """
        held = 0
        if self.request.streams_body and self._context.has_suspects:
            reason = self._context.quarantine_reason(self) if self.body_complete else None
            if reason is not None:
                self._fail(reason)
                return
            held = 0 if self.body_complete else 1
        for data in self._body.take(len(self._body.parts) - held):
            self._connection.send_body(data)
        if self.body_complete:
            self._connection.end_request()

    def _reject_body(self) -> None:
        """End the call, since there is no memory for its body; its end has not been sent."""
        if self.state is HostCallState.RUNNING:
            self._fail(_NO_MEMORY)
        elif self.state is HostCallState.RECEIVING:
            self._respond_not_run(_NO_MEMORY)
        else:
            self._reject(_NO_MEMORY)

    def _connect_failed(self) -> None:
        if self.state is not HostCallState.DONE:
            self._context.backend_unreachable()
            self._reject('no connection to the backend server')

    def _start_progress_timer(self) -> None:
        if self.state is HostCallState.DONE:
            return
        self._made_progress = False
        self._progress_timer = self._context.reactor.callLater(
            _PROGRESS_TIMEOUT_S,
            self._check_progress,
        )

    def _check_progress(self) -> None:
        if self._made_progress:
            self._start_progress_timer()
        else:
            self._fail(f'no byte for {_PROGRESS_TIMEOUT_S:.0f} s')

    def _reject(self, reason: str) -> None:
        self._close()
        self._context.rejected(self)
        self._respond_not_run(reason)

    def _respond_not_run(self, reason: str) -> None:
        self._respond_outcome(_STATUS_UNAVAILABLE, call.Outcome.NOT_RUN, reason)

    def _respond_outcome(self, status: int, outcome: call.Outcome, reason: str) -> None:
        self.state = HostCallState.DONE
        self._body.clear()
        headers = self._context.response_headers(self.request.properties.call_id, outcome)
        headers.append((b'Anvillug-Reason', reason.encode('latin-1', 'replace')))
        self._exchange.respond(status, b'', tuple(headers))

    def _fail(self, reason: str, *, crashed: bool = False) -> None:
        self._close()
        self._response_copy.drop()
        if self._connection is not None:
            self._connection.cancel()
        self._context.failed(self, crashed=crashed)
        if self._exchange.head_sent:
            self._exchange.abort()
        else:
            self.respond_unknown(reason)

    def _close(self) -> None:
        self.state = HostCallState.DONE
        self._body.clear()
        if self._progress_timer is not None and self._progress_timer.active():
            self._progress_timer.cancel()


_REPLACED_HEADERS = frozenset(
    (b'anvillug-call', b'anvillug-outcome', b'anvillug-load', b'anvillug-config'),
)
