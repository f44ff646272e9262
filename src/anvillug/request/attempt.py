"""One attempt of a call at one host, and the request that resolves a broken attempt."""

from __future__ import annotations

import enum
from typing import Protocol as Interface

from anvillug import clock, ids
from anvillug.connection import http_client, http_head, http_pool
from anvillug.request import call

_CALL = call.CALL_HEADER.lower().encode()
_LOAD = call.LOAD_HEADER.lower().encode()
_OUTCOME = call.OUTCOME_HEADER.lower().encode()
_RETRIES = call.RETRIES_HEADER.lower().encode()
_REASON = call.REASON_HEADER.lower().encode()
_OUTCOMES_WITHOUT_RESPONSE = frozenset((b'not-run', b'unknown'))


class AttemptKind(enum.Enum):
    """What an attempt requests from the host."""

    SEND = 'send'
    """Run the call."""
    RESOLVE = 'resolve'
    """Return the outcome of the call, or wait for it while the call runs."""


class AttemptOwner(Interface):
    """Call that an attempt belongs to; receives the progress of the attempt."""

    def attempt_connected(self, attempt: Attempt) -> None:
        """Handle a connection that is ready for the request."""

    def attempt_continue(self, attempt: Attempt) -> None:
        """Handle status 100, by which the host requests the body."""

    def attempt_responded(self, attempt: Attempt, head: http_head.ResponseHead) -> None:
        """Handle the head of a response that carries a result of the call."""

    def attempt_body(self, attempt: Attempt, data: bytes) -> None:
        """Handle a part of the response body."""

    def attempt_ended(self, attempt: Attempt) -> None:
        """Handle the end of a complete response."""

    def attempt_not_run(self, attempt: Attempt, reason: str) -> None:
        """Handle the report that this host has not run the call and never will."""

    def attempt_unknown(self, attempt: Attempt, reason: str) -> None:
        """Handle the report that this host may have run the call."""

    def attempt_broken(self, attempt: Attempt) -> None:
        """Handle a connection that broke after the request was sent."""

    def request_writes_paused(self, paused: bool) -> None:
        """Pause or resume the sender of the request body."""


class LoadSink(Interface):
    """Receives the load that hosts report in their responses."""

    def load_received(self, host_id: ids.HostId, text: bytes) -> None:
        """Record the value of an `Anvillug-Load` header."""


class Attempt:
    """One request to one host on behalf of a call.

    Args:
        owner: Call that receives the progress.
        load_sink: Receives the load that the host reports.
        host_id: Host that the request is sent to.
        incarnation: Incarnation of the host side that is addressed.
        call_id: Id of the call, repeated in each response.
        kind: Whether the host runs the call or resolves its outcome.
        started_at: Monotonic time in milliseconds.
    """

    __slots__ = (
        '_call_id',
        '_outcome',
        '_owner',
        '_reported_reason',
        'connect_failed',
        'connection',
        'done',
        'exhausted',
        'failed',
        'host_id',
        'incarnation',
        'kind',
        'load_level',
        'load_sink',
        'responded',
        'started_at',
        'status',
    )

    def __init__(  # noqa: WPS211 - all describe one attempt
        self,
        owner: AttemptOwner,
        load_sink: LoadSink,
        host_id: ids.HostId,
        incarnation: ids.Incarnation,
        call_id: bytes,
        kind: AttemptKind,
        started_at: clock.Milliseconds,
    ) -> None:
        self._owner = owner
        self._call_id = call_id
        self._reported_reason = 'refused'
        self._outcome = b''
        self.load_sink = load_sink
        self.host_id = host_id
        self.incarnation = incarnation
        self.kind = kind
        self.started_at = started_at
        self.load_level = 0.0
        self.connection: http_client.ClientConnection | None = None
        self.responded = False
        self.done = False
        self.failed = False
        self.connect_failed = False
        self.exhausted = False
        self.status = 0

    @property
    def rejected(self) -> bool:
        """Whether the host reported that it has not run the call."""
        return self._outcome == b'not-run'

    def begin(self, pool: http_pool.Pool) -> None:
        """Acquire a connection; a resolution always opens a new one."""
        if self.kind is AttemptKind.RESOLVE:
            pool.acquire_new(self._connected, self._connect_failed)
        else:
            pool.acquire(self._connected, self._connect_failed)

    def cancel(self) -> None:
        """Cancel the attempt without notifying the owner."""
        self.done = True
        if self.connection is not None:
            self.connection.cancel()

    def response_continue(self) -> None:
        """Handle status 100; see `http_client.ResponseHandler`."""
        if not self.done:
            self._owner.attempt_continue(self)

    def response_head(self, head: http_head.ResponseHead) -> None:
        """Check the call id, and distinguish results of the call from rejections."""
        load = head.get(_LOAD)
        if load is not None:
            self.load_sink.load_received(self.host_id, load)
        if head.get(_CALL) != self._call_id:
            self._reject_mismatched_response()
            return
        self._outcome = head.get(_OUTCOME) or b''
        self.status = head.status
        self.exhausted = head.get(_RETRIES) == b'exhausted'
        if self._outcome in _OUTCOMES_WITHOUT_RESPONSE:
            self._reported_reason = (head.get(_REASON) or b'refused').decode('latin-1')
            return
        self.responded = True
        self._owner.attempt_responded(self, head)

    def response_body(self, data: bytes) -> None:
        """Forward a part of the response body."""
        if self.responded and not self.done:
            self._owner.attempt_body(self, data)

    def response_ended(self) -> None:
        """Forward the end of the response, or the reason why there is none."""
        if self.done:
            return
        self.done = True
        if self.responded:
            self._owner.attempt_ended(self)
        elif self._outcome == b'unknown':
            self.failed = True
            self._owner.attempt_unknown(self, self._reported_reason)
        else:
            self._owner.attempt_not_run(self, self._reported_reason)

    def response_failed(self, reason: http_client.ClientFailure) -> None:
        """Handle a response that is incomplete or missing."""
        if self.done:
            return
        self.done = True
        if self.rejected and self.kind is AttemptKind.SEND:
            # The head of a rejection proves that the host has not run the call.
            self._owner.attempt_not_run(self, self._reported_reason)
        else:
            self.failed = True
            self._owner.attempt_broken(self)

    def request_writes_paused(self, paused: bool) -> None:
        """Forward backpressure on the request body."""
        if not self.done:
            self._owner.request_writes_paused(paused)

    def _connected(self, connection: http_client.ClientConnection) -> None:
        if self.done:
            return
        self.connection = connection
        self._owner.attempt_connected(self)

    def _connect_failed(self) -> None:
        if self.done:
            return
        self.done = True
        self.connect_failed = True
        if self.kind is AttemptKind.RESOLVE:
            self._owner.attempt_broken(self)
        else:
            self._owner.attempt_not_run(self, 'no connection to the host')

    def _reject_mismatched_response(self) -> None:
        # The response belongs to another call, so no data on this connection can be trusted.
        self.done = True
        self.failed = True
        if self.connection is not None:
            self.connection.cancel()
        self._owner.attempt_broken(self)
