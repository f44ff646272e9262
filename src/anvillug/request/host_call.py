"""Life of one call on the host side.

A call is recorded in the call table, waits for a slot, runs on the backend
server, and leaves its answer in the table for entry sides whose connection broke.
"""

from __future__ import annotations

import enum
from typing import Protocol as Interface

from twisted.internet import interfaces

from anvillug import clock, ids
from anvillug.connection import http_client, http_exchange, http_head, http_pool
from anvillug.request import answer_keeper, call, call_table, host_request, limit, quarantine

_STATUS_OK = 200
_STATUS_BAD_GATEWAY = 502
_STATUS_SERVER_ERROR = 500
_STATUS_UNAVAILABLE = 503
_PROGRESS_LIMIT_S = 30.0
_CALL = call.CALL_HEADER.lower().encode()
_OUTCOME = call.OUTCOME_HEADER.lower().encode()


class HostCallState(enum.Enum):
    """Progress of a call on the host side."""

    RECEIVING = 'receiving'
    QUEUED = 'queued'
    CONNECTING = 'connecting'
    RUNNING = 'running'
    DONE = 'done'


class HostContext(Interface):
    """What a call needs from the host side that carries it."""

    reactor: interfaces.IReactorTime
    """Timers."""
    clock: clock.Clock
    """Time."""
    kept_answer_bytes: int
    """Largest answer that is kept for a resolution."""

    def is_behind(self, host_call: HostCall) -> bool:
        """Tell whether the call has to wait for a newer configuration.

        The context then calls `admit` of the call when it is there, or `refuse`.
        """

    def admit(self, host_call: HostCall) -> str | None:
        """Ask for a slot; returns why the call is refused, None when it is settled otherwise."""

    def backend_unreachable(self) -> None:
        """Note that a connect to the backend server failed."""

    def dispatched(self, host_call: HostCall) -> None:
        """Record that the first byte goes to the backend server."""

    def pool(self) -> http_pool.Pool | None:
        """Return connections to the backend server, None without one."""

    def refused(self, host_call: HostCall) -> None:
        """Record that the call has not been run and give its slot back."""

    def finished(
        self,
        host_call: HostCall,
        kept: call_table.KeptAnswer | None,
        result: limit.CallResult,
    ) -> None:
        """Record the answer and give the slot back."""

    def failed(self, host_call: HostCall, *, crashed: bool) -> None:
        """Record that the outcome is unknown and give the slot back."""

    def answer_headers(self, call_id: ids.CallId, outcome: call.Outcome) -> list[http_head.Header]:
        """Return the headers for the entry side: id, outcome, load, configuration."""


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
        self.fingerprint: ids.Fingerprint | None = None
        self.in_flight_at_start = 0
        self.dispatched_at = clock.Milliseconds(0)
        self._context = context
        self._exchange = exchange
        self._connection: http_client.ClientConnection | None = None
        self._body: list[bytes] = []
        self._body_complete = False
        self._entry_gone = False
        self._status = 0
        self._kept = answer_keeper.AnswerKeeper(context.kept_answer_bytes)
        self._shed = False
        self._progress_timer: interfaces.IDelayedCall | None = None
        self._progressed = False
        self._request_complete_at = clock.Milliseconds(0)
        self._answered_at = clock.Milliseconds(0)

    @property
    def is_running(self) -> bool:
        """Whether the backend server has the call."""
        return self.state is HostCallState.RUNNING

    def latency_ms(self, now: clock.Milliseconds) -> float:
        """Return the time from the complete request to the head of the response.

        Args:
            now: Monotonic time, taken as the head's arrival where none came.
        """
        since = max(self.dispatched_at, self._request_complete_at)
        return max(0.0, (self._answered_at or now) - since)

    # From the entry side

    def receive(self) -> None:
        """Start: bodies that are not streamed are received whole first."""
        self._exchange.handler = self
        if self.request.streams_body:
            self._admit()
        else:
            self._exchange.accept_body()

    def body_received(self, data: bytes) -> None:
        """Take a piece of the request body."""
        self._progressed = True
        if self.state is HostCallState.RUNNING and self._connection is not None:
            self._connection.send_body(data)
            return
        self._body.append(data)
        if self.request.streams_body:
            self._exchange.pause_request(paused=True)

    def request_ended(self) -> None:
        """Note the end of the request body."""
        self._body_complete = True
        self._request_complete_at = self._context.clock.now()
        if not self.request.streams_body:
            self._admit()
        elif self.state is HostCallState.RUNNING and self._connection is not None:
            self._connection.end_request()

    def request_aborted(self) -> None:
        """Cancel a repeatable call; others run on, their answer is kept."""
        self._entry_gone = True
        if self.state in (HostCallState.QUEUED, HostCallState.CONNECTING):
            self._refuse('the entry side is gone')
        elif self.state is HostCallState.RUNNING:
            if self.request.properties.repeatable or not self._body_complete:
                self._fail('cancelled')
        elif self.state is HostCallState.RECEIVING:
            self.state = HostCallState.DONE

    def response_writes_paused(self, paused: bool) -> None:
        """Pass backpressure of the entry side on to the backend server."""
        running = self.is_running and not self._entry_gone
        if running and self._connection is not None:
            self._connection.pause_response(paused)

    def request_writes_paused(self, paused: bool) -> None:
        """Pass backpressure of the backend server on to the entry side."""
        self._exchange.pause_request(paused)

    # From the host side

    def admit(self) -> None:
        """Ask for a slot, with the configuration of the sender in effect here."""
        if self.state is HostCallState.DONE:
            return
        reason = self._context.admit(self)
        if reason is not None:
            self._answer_refusal(reason)

    def start(self) -> None:
        """Run the call: it has a slot."""
        pool = self._context.pool()
        if pool is None:
            self._refuse('no backend server has announced itself')
            return
        self.state = HostCallState.CONNECTING
        pool.acquire(self._connected, self._connect_failed)

    def queue(self) -> None:
        """Note that the call waits for a slot."""
        self.state = HostCallState.QUEUED

    def refuse(self, reason: str) -> None:
        """Answer that the call has not been run; its record is settled already."""
        self._answer_refusal(reason)

    def answer_unknown(self, reason: str) -> None:
        """Answer that nothing is said about a run of the call; its record stays as it is."""
        self._answer_without_run(_STATUS_BAD_GATEWAY, call.Outcome.UNKNOWN, reason)

    # From the backend server

    def response_continue(self) -> None:
        """Ignore status 100: the body is sent without waiting for it."""

    def response_head(self, head: http_head.ResponseHead) -> None:
        """Pass the head on, or note that the backend server has shed the call."""
        echoed = head.get(_CALL)
        if echoed is not None and echoed != str(self.request.properties.call_id).encode():
            # A late answer to an earlier request on this connection.
            self._fail(f'the backend server answered call {echoed.decode("latin-1")}')
            return
        if head.status == _STATUS_UNAVAILABLE and head.get(_OUTCOME) == b'not-run':
            self._shed = True
            return
        self._progressed = True
        self._answered_at = self._context.clock.now()
        self._status = head.status
        headers = http_head.end_to_end(head.headers, _OWN_HEADERS)
        self._kept.start(head.status, headers)
        headers.extend(
            self._context.answer_headers(
                self.request.properties.call_id,
                call.Outcome.FINISHED,
            ),
        )
        if not self._entry_gone:
            self._exchange.send_head(http_head.ResponseHead(head.status, headers, head.reason))

    def response_body(self, data: bytes) -> None:
        """Pass on a piece of the answer and keep it while it is small."""
        self._progressed = True
        if self._shed:
            return
        self._kept.add(data)
        if not self._entry_gone:
            self._exchange.send_body(data)

    def response_ended(self) -> None:
        """Record the answer."""
        if self.state is HostCallState.DONE:
            return
        self._close()
        if self._shed:
            self._context.refused(self)
            self._answer_refusal('shed by the backend server')
            return
        failed = self._status >= _STATUS_SERVER_ERROR
        result = limit.CallResult.FAILED if failed else limit.CallResult.OK
        self._context.finished(self, self._kept.answer(), result)
        self._exchange.finish()

    def response_failed(self, reason: http_client.ClientFailure) -> None:
        """Record that the backend server gave no whole answer."""
        if self.state is not HostCallState.DONE:
            self._fail(f'backend server: {reason.value}', crashed=True)

    # Private

    def _admit(self) -> None:
        self.fingerprint = quarantine.fingerprint(
            self.request.properties.service,
            self.request.head.method.decode('latin-1'),
            self.request.head.target.decode('latin-1'),
            b''.join(self._body),
        )
        if not self._context.is_behind(self):
            self.admit()

    def _connected(self, connection: http_client.ClientConnection) -> None:
        if self.state is HostCallState.DONE:
            return
        self._connection = connection
        self.state = HostCallState.RUNNING
        self.dispatched_at = self._context.clock.now()
        self._context.dispatched(self)
        connection.request(host_request.backend_head(self.request, self.dispatched_at), self)
        for data in self._body:
            connection.send_body(data)
        self._body.clear()
        if self._body_complete:
            connection.end_request()
        else:
            self._exchange.accept_body()
            self._exchange.pause_request(paused=False)
        self._watch_progress()

    def _connect_failed(self) -> None:
        if self.state is not HostCallState.DONE:
            self._context.backend_unreachable()
            self._refuse('no connection to the backend server')

    def _watch_progress(self) -> None:
        if self.state is HostCallState.DONE:
            return
        self._progressed = False
        self._progress_timer = self._context.reactor.callLater(
            _PROGRESS_LIMIT_S,
            self._check_progress,
        )

    def _check_progress(self) -> None:
        if self._progressed:
            self._watch_progress()
        else:
            self._fail(f'no byte for {_PROGRESS_LIMIT_S:.0f} s')

    def _refuse(self, reason: str) -> None:
        self._close()
        self._context.refused(self)
        self._answer_refusal(reason)

    def _answer_refusal(self, reason: str) -> None:
        self._answer_without_run(_STATUS_UNAVAILABLE, call.Outcome.NOT_RUN, reason)

    def _answer_without_run(self, status: int, outcome: call.Outcome, reason: str) -> None:
        self.state = HostCallState.DONE
        headers = self._context.answer_headers(self.request.properties.call_id, outcome)
        headers.append((b'Anvillug-Reason', reason.encode('latin-1', 'replace')))
        self._exchange.respond(status, b'', tuple(headers))

    def _fail(self, reason: str, *, crashed: bool = False) -> None:
        self._close()
        if self._connection is not None:
            self._connection.cancel()
        self._context.failed(self, crashed=crashed)
        if self._exchange.head_sent:
            self._exchange.abort()
        else:
            self.answer_unknown(reason)

    def _close(self) -> None:
        self.state = HostCallState.DONE
        if self._progress_timer is not None and self._progress_timer.active():
            self._progress_timer.cancel()


_OWN_HEADERS = frozenset(
    (b'anvillug-call', b'anvillug-outcome', b'anvillug-load', b'anvillug-config'),
)
