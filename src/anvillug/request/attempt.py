"""One try of a call at one host, and the resolution of a try that broke."""

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
_WITHOUT_ANSWER = frozenset((b'not-run', b'unknown'))


class AttemptKind(enum.Enum):
    """What an attempt asks the host for."""

    SEND = 'send'
    """Run the call."""
    RESOLVE = 'resolve'
    """Tell the outcome of the call, or attach to it while it runs."""


class AttemptOwner(Interface):
    """Call that an attempt belongs to; told about its progress."""

    def attempt_connected(self, attempt: Attempt) -> None:
        """Note that a connection is ready for the request."""

    def attempt_continue(self, attempt: Attempt) -> None:
        """Note that the host asks for the request body."""

    def attempt_answered(self, attempt: Attempt, head: http_head.ResponseHead) -> None:
        """Note the head of an answer that is not a refusal."""

    def attempt_body(self, attempt: Attempt, data: bytes) -> None:
        """Take a piece of the answer."""

    def attempt_ended(self, attempt: Attempt) -> None:
        """Note that the answer is whole."""

    def attempt_not_run(self, attempt: Attempt, reason: str) -> None:
        """Note that this host has not run the call and never will."""

    def attempt_unknown(self, attempt: Attempt, reason: str) -> None:
        """Note that nothing can be proved about the run at this host."""

    def attempt_broken(self, attempt: Attempt) -> None:
        """Note that the connection broke after the request was sent."""

    def request_writes_paused(self, paused: bool) -> None:
        """Note that the sender of the request body should pause or resume."""


class LoadSink(Interface):
    """Receives the load that hosts tell with their answers."""

    def load_received(self, host_id: ids.HostId, text: bytes) -> None:
        """Take the value of an `Anvillug-Load` header."""


class Attempt:
    """One request to one host on behalf of a call.

    Args:
        owner: Call that is told about the progress.
        load_sink: Receives load told by the host.
        host_id: Host that is asked.
        call_id: Id of the call, echoed by every answer.
        kind: What is asked.
        started_at: Monotonic time in milliseconds.
    """

    __slots__ = (
        '_call_id',
        '_outcome',
        '_owner',
        '_refusal',
        'answered',
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
        'started_at',
        'status',
    )

    def __init__(  # noqa: WPS211 - all are facts of one attempt
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
        self._refusal = 'refused'
        self._outcome = b''
        self.load_sink = load_sink
        self.host_id = host_id
        self.incarnation = incarnation
        self.kind = kind
        self.started_at = started_at
        self.load_level = 0.0
        self.connection: http_client.ClientConnection | None = None
        self.answered = False
        self.done = False
        self.failed = False
        self.connect_failed = False
        self.exhausted = False
        self.status = 0

    @property
    def refused(self) -> bool:
        """Whether the host told that it has not run the call."""
        return self._outcome == b'not-run'

    def begin(self, pool: http_pool.Pool) -> None:
        """Get a connection; a resolution always takes a new one."""
        if self.kind is AttemptKind.RESOLVE:
            pool.acquire_fresh(self._connected, self._connect_failed)
        else:
            pool.acquire(self._connected, self._connect_failed)

    def cancel(self) -> None:
        """Give up; the owner is not told."""
        self.done = True
        if self.connection is not None:
            self.connection.cancel()

    def response_continue(self) -> None:
        """Note status 100; see `http_client.ResponseHandler`."""
        if not self.done:
            self._owner.attempt_continue(self)

    def response_head(self, head: http_head.ResponseHead) -> None:
        """Check the answer's id and sort refusals from answers."""
        load = head.get(_LOAD)
        if load is not None:
            self.load_sink.load_received(self.host_id, load)
        if head.get(_CALL) != self._call_id:
            self._mismatch()
            return
        self._outcome = head.get(_OUTCOME) or b''
        self.status = head.status
        self.exhausted = head.get(_RETRIES) == b'exhausted'
        if self._outcome in _WITHOUT_ANSWER:
            self._refusal = (head.get(_REASON) or b'refused').decode('latin-1')
            return
        self.answered = True
        self._owner.attempt_answered(self, head)

    def response_body(self, data: bytes) -> None:
        """Pass on a piece of the answer."""
        if self.answered and not self.done:
            self._owner.attempt_body(self, data)

    def response_ended(self) -> None:
        """Pass on the end of the answer, or the refusal."""
        if self.done:
            return
        self.done = True
        if self.answered:
            self._owner.attempt_ended(self)
        elif self._outcome == b'unknown':
            self.failed = True
            self._owner.attempt_unknown(self, self._refusal)
        else:
            self._owner.attempt_not_run(self, self._refusal)

    def response_failed(self, reason: http_client.ClientFailure) -> None:
        """Pass on that there is no whole answer."""
        if self.done:
            return
        self.done = True
        if self.refused and self.kind is AttemptKind.SEND:
            # The head of a refusal is enough: the host has not run the call.
            self._owner.attempt_not_run(self, self._refusal)
        else:
            self.failed = True
            self._owner.attempt_broken(self)

    def request_writes_paused(self, paused: bool) -> None:
        """Pass on backpressure of the request body."""
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

    def _mismatch(self) -> None:
        # The answer belongs to another call: nothing on this connection can be trusted.
        self.done = True
        self.failed = True
        if self.connection is not None:
            self.connection.cancel()
        self._owner.attempt_broken(self)
