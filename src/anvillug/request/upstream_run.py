"""One job on the backend server: sends the request and collects the whole answer."""

from __future__ import annotations

import enum
from collections.abc import Callable

from twisted.internet import interfaces

from anvillug import clock
from anvillug.connection import http_client, http_head, http_pool
from anvillug.request import dialect, job

MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""Largest answer that is held; the process has to stay within its memory."""

# The backend server stops at the deadline itself and says so; this is for one that is silent.
_DEADLINE_GRACE_MS = 60.0
# A backend server may close an idle connection while a request is on its way, and then nobody
# knows whether the request ran. Requests that run once use connections that were idle briefly.
_MAX_IDLE_ONCE_S = 1.5
_MAX_IDLE_REPEATABLE_S = 8.0


class RunState(enum.Enum):
    """Progress of a run."""

    CONNECTING = 'connecting'
    SENT = 'sent'
    DONE = 'done'


ResultReady = Callable[[job.Result], None]


class UpstreamRun:
    """One job on the backend server.

    Args:
        reactor: Timers.
        time: Clock.
        speech: Headers of the backend server.
        work: The job.
        on_done: Called once with the result, unless the run is cancelled.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        time: clock.Clock,
        speech: dialect.Dialect,
        work: job.Job,
        on_done: ResultReady,
    ) -> None:
        self.work = work
        """The job."""
        self.state = RunState.CONNECTING
        """Progress."""
        self.connect_failed = False
        """Whether the backend server could not be reached."""
        self.wrong_instance = False
        """Whether another instance answered."""
        self.load: dialect.ReportedLoad | None = None
        """Load that the answer told."""
        self.sent_at = clock.Milliseconds(0)
        """When the request was sent."""
        self._reactor = reactor
        self._clock = time
        self._dialect = speech
        self._on_done = on_done
        self._connection: http_client.ClientConnection | None = None
        self._head: http_head.ResponseHead | None = None
        self._refusal = ''
        self._body: list[bytes] = []
        self._size = 0
        self._timer: interfaces.IDelayedCall | None = None

    def begin(self, pool: http_pool.Pool) -> None:
        """Get a connection and send the request."""
        left = max(0.0, self.work.deadline - self._clock.now())
        delay = clock.to_seconds(left + _DEADLINE_GRACE_MS)
        self._timer = self._reactor.callLater(delay, self._expire)
        idle_s = _MAX_IDLE_REPEATABLE_S if self.work.repeatable else _MAX_IDLE_ONCE_S
        pool.acquire(self._connected, self._connect_failed, idle_s)

    def cancel(self) -> bool:
        """Give up; the result is not told.

        Returns:
            Whether the backend server may have got the request.
        """
        sent = self.state is RunState.SENT
        if self.state is not RunState.DONE:
            self._close()
        if self._connection is not None:
            self._connection.cancel()
        return sent

    # From the connection

    def response_continue(self) -> None:
        """Ignore status 100: the body is sent without waiting for it."""

    def response_head(self, head: http_head.ResponseHead) -> None:
        """Sort the answer by what it says about the job."""
        if self.state is RunState.DONE:
            return
        kind = self._dialect.classify(head, self.work.attempt_id)
        self.load = self._dialect.read_load(head)
        if kind is dialect.ReplyKind.FOREIGN:
            self._break_off('answer is not for this request')
        elif kind is dialect.ReplyKind.ANSWER:
            self._head = head
        else:
            self.wrong_instance = kind is dialect.ReplyKind.OTHER_INSTANCE
            self._refusal = kind.value

    def response_body(self, data: bytes) -> None:
        """Keep a piece of the answer."""
        self._size += len(data)
        if self._size > MAX_ANSWER_BYTES:
            self._break_off(f'answer exceeds {MAX_ANSWER_BYTES} bytes')
        else:
            self._body.append(data)

    def response_ended(self) -> None:
        """Tell the result: the answer is whole."""
        if self._refusal:
            self._finish(job.Result(job.ResultKind.SHED, self._refusal, load=self.load))
            return
        head = self._head
        if head is None:
            return
        headers = http_head.end_to_end(head.headers, _FRAMING)
        whole = http_head.ResponseHead(head.status, headers, head.reason)
        body = b''.join(self._body)
        self._finish(job.Result(job.ResultKind.ANSWERED, head=whole, body=body, load=self.load))

    def response_failed(self, reason: http_client.ClientFailure) -> None:
        """Tell that there is no whole answer."""
        if self._refusal:
            # The head of a refusal is enough.
            self._finish(job.Result(job.ResultKind.SHED, self._refusal, load=self.load))
        else:
            self._finish(job.Result(job.ResultKind.UNKNOWN, f'backend server: {reason.value}'))

    def request_writes_paused(self, paused: bool) -> None:
        """Ignore backpressure: the body is held whole already."""

    # Private

    def _connected(self, connection: http_client.ClientConnection) -> None:
        now = self._clock.now()
        left = self.work.deadline - now
        if self.state is RunState.DONE:
            return
        if left <= 0:
            self._finish(job.Result(job.ResultKind.REFUSED, 'deadline'))
            return
        self._connection = connection
        self.state = RunState.SENT
        self.sent_at = now
        head = self.work.head
        headers = [*head.headers, *self._dialect.dispatch_headers(left, self.work.instance)]
        connection.request(http_head.RequestHead(head.method, head.target, headers), self)
        connection.send_body(self.work.body)
        connection.end_request()

    def _connect_failed(self) -> None:
        self.connect_failed = True
        self._finish(job.Result(job.ResultKind.REFUSED, 'no connection to the backend server'))

    def _expire(self) -> None:
        if self.state is RunState.CONNECTING:
            self._finish(job.Result(job.ResultKind.REFUSED, 'deadline'))
        else:
            self._break_off('deadline')

    def _break_off(self, reason: str) -> None:
        connection = self._connection
        if connection is not None:
            connection.cancel()
        self._finish(job.Result(job.ResultKind.UNKNOWN, reason, load=self.load))

    def _finish(self, result: job.Result) -> None:
        if self.state is RunState.DONE:
            return
        self._close()
        self._on_done(result)

    def _close(self) -> None:
        self.state = RunState.DONE
        if self._timer is not None and self._timer.active():
            self._timer.cancel()


_FRAMING = frozenset((b'content-length',))
"""Headers that are set anew, since the answer is passed on whole."""
