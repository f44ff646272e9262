"""Runs a job on the backend server: sends the request and reads the complete response."""

from __future__ import annotations

import enum
from collections.abc import Callable

from twisted.internet import interfaces

from anvillug import clock, event_log
from anvillug.connection import http_client, http_head, http_pool, memory_account, write_batch
from anvillug.request import buffered_response, dialect, job

# The backend server itself stops at the deadline and responds; the run ends this much later if
# there is no response.
_DEADLINE_GRACE_MS = 60.0
# A backend server may close an idle connection while a request is in transit, and then it is not
# known whether the request ran. Requests that may not be repeated therefore use connections that
# were idle only briefly.
_MAX_IDLE_ONCE_ONLY_S = 1.5
_MAX_IDLE_REPEATABLE_S = 8.0


class RunState(enum.Enum):
    """Progress of a run."""

    CONNECTING = 'connecting'
    SENT = 'sent'
    DONE = 'done'


ResultReady = Callable[[job.Result], None]


def _accept(work: job.Job) -> str:
    return ''


def _ignore(result: job.Result) -> None:
    """Do nothing: the run has ended."""


class UpstreamRun:
    """The run of one job on the backend server.

    Args:
        reactor: Timers.
        time: Clock.
        header_dialect: Reads and writes the headers of the backend server.
        work: The job.
        on_done: Called once with the result, unless the run is cancelled.
        late_rejection: Returns why the job must not be sent any more, empty if it may; called when
            it has a connection, which may be long after the host accepted it.
        account: Account of memory; None if only the size of the response is limited.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        time: clock.Clock,
        header_dialect: dialect.Dialect,
        work: job.Job,
        on_done: ResultReady,
        late_rejection: Callable[[job.Job], str] = _accept,
        account: memory_account.MemoryAccount | None = None,
    ) -> None:
        self.work = work
        """The job."""
        self.state = RunState.CONNECTING
        """Progress."""
        self.connect_failed = False
        """Whether the backend server could not be reached."""
        self.wrong_instance = False
        """Whether another instance responded."""
        self.was_reset = False
        """Whether the connection closed before anything of a response was received."""
        self.load: dialect.ReportedLoad | None = None
        """Load that the response reported."""
        self.sent_at = clock.Milliseconds(0)
        """When the request was sent."""
        self.on_sent: Callable[[job.Job, clock.Milliseconds], None] | None = None
        """Called with the job and the time when the request is sent."""
        self._reactor = reactor
        self._clock = time
        self._dialect = header_dialect
        self._on_done = on_done
        self._late_rejection = late_rejection
        # Whether the connection has carried another request before.
        self._is_reused = False
        self._connection: http_client.ClientConnection | None = None
        self._head: http_head.ResponseHead | None = None
        self._not_run_reason = ''
        self._body = buffered_response.BufferedResponse(buffered_response.MAX_BYTES, account)
        self._deadline_timer: interfaces.IDelayedCall | None = None

    def begin(self, pool: http_pool.Pool) -> None:
        """Get a connection and send the request."""
        left_ms = max(0.0, self.work.deadline - self._clock.now())
        delay_s = clock.to_seconds(left_ms + _DEADLINE_GRACE_MS)
        self._deadline_timer = self._reactor.callLater(delay_s, self._deadline_passed)
        idle_s = _MAX_IDLE_REPEATABLE_S if self.work.repeatable else _MAX_IDLE_ONCE_ONLY_S
        pool.acquire(self._connected, self._connection_failed, idle_s, self.work.attempt_id)

    def cancel(self) -> bool:
        """Cancel the run; the result is not reported.

        Returns:
            Whether the backend server may have received the request.
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
        """Classify the response: the response to the job, a rejection, or one of another call."""
        if self.state is RunState.DONE:
            return
        kind = self._classify(head)
        if kind is not dialect.ReplyKind.FOREIGN:
            self.load = self._dialect.read_load(head)
        if kind is dialect.ReplyKind.FOREIGN:
            self._foreign_response(head)
        elif kind is dialect.ReplyKind.RESPONSE:
            self._head = head
        else:
            self.wrong_instance = kind is dialect.ReplyKind.OTHER_INSTANCE
            self._not_run_reason = kind.value

    def response_body(self, data: bytes) -> None:
        """Buffer a chunk of the response; the body of a rejection is not used."""
        reason = '' if self._not_run_reason else self._body.add(data)
        if reason:
            self._abort(reason)

    def response_ended(self) -> None:
        """Report the result, since the response is complete."""
        if self._not_run_reason:
            self._finish(job.Result(job.ResultKind.SHED, self._not_run_reason, load=self.load))
            return
        head = self._head
        if head is None:
            return
        headers = http_head.end_to_end_headers(head.headers, _FRAMING_HEADERS)
        forwarded_head = http_head.ResponseHead(head.status, headers, head.reason)
        body = self._body.take()
        self._finish(
            job.Result(job.ResultKind.ANSWERED, head=forwarded_head, body=body, load=self.load)
        )

    def response_failed(self, reason: http_client.ClientFailure) -> None:
        """Report that there is no complete response."""
        if self._not_run_reason:
            # The head of a rejection is enough to know that the job has not run.
            self._finish(job.Result(job.ResultKind.SHED, self._not_run_reason, load=self.load))
        else:
            self.was_reset = self._head is None and reason is http_client.ClientFailure.LOST
            self._finish(job.Result(job.ResultKind.UNKNOWN, f'backend server: {reason.value}'))

    def request_writes_paused(self, paused: bool) -> None:
        """Ignore backpressure: the whole body is in memory already."""

    # Private

    def _classify(self, head: http_head.ResponseHead) -> dialect.ReplyKind:
        """Classify a response; one that names no request may be a copy of an earlier response."""
        if self._is_reused and not self._dialect.echoed_id(head):
            return dialect.ReplyKind.FOREIGN
        return self._dialect.classify(head, self.work.attempt_id)

    def _foreign_response(self, head: http_head.ResponseHead) -> None:
        """Wait on after a late copy of a response to an earlier request; else give up."""
        connection = self._connection
        echoed_id = self._dialect.echoed_id(head)
        is_earlier = connection is not None and echoed_id in connection.carried_ids
        is_copy = is_earlier and echoed_id != self.work.attempt_id
        if is_copy and connection.skip_response():
            event_log.warn('response_copy_skipped', request=self.work.attempt_id, copy_of=echoed_id)
        else:
            self._abort('answer is not for this request')

    def _connected(self, connection: http_client.ClientConnection) -> None:
        now = self._clock.now()
        left_ms = self.work.deadline - now
        if self.state is RunState.DONE:
            return
        reason = 'deadline' if left_ms <= 0 else self._late_rejection(self.work)
        if reason:
            self._finish(job.Result(job.ResultKind.REFUSED, reason))
            return
        self._connection = connection
        self.state = RunState.SENT
        self.sent_at = now
        self._is_reused = connection.requests_sent > 0
        connection.carried_ids.add(self.work.attempt_id, self.work.deadline, now)
        head = self.work.head
        headers = [*head.headers, *self._dialect.dispatch_headers(left_ms, self.work.instance)]
        with write_batch.BATCH:
            connection.request(http_head.RequestHead(head.method, head.target, headers), self)
            connection.send_body(self.work.body)
            connection.end_request()
        if self.on_sent is not None:
            self.on_sent(self.work, now)

    def _connection_failed(self) -> None:
        self.connect_failed = True
        self._finish(job.Result(job.ResultKind.REFUSED, 'no connection to the backend server'))

    def _deadline_passed(self) -> None:
        if self.state is RunState.CONNECTING:
            self._finish(job.Result(job.ResultKind.REFUSED, 'deadline'))
        else:
            self._abort('deadline')

    def _abort(self, reason: str) -> None:
        connection = self._connection
        if connection is not None:
            connection.cancel()
        self._finish(job.Result(job.ResultKind.UNKNOWN, reason, load=self.load))

    def _finish(self, result: job.Result) -> None:
        if self.state is RunState.DONE:
            return
        on_done = self._on_done
        self._close()
        on_done(result)

    def _close(self) -> None:
        self.state = RunState.DONE
        self._body.clear()
        if self._deadline_timer is not None and self._deadline_timer.active():
            self._deadline_timer.cancel()
        # Both refer to the run, which would be freed only by the collector.
        self._deadline_timer = None
        self._on_done = _ignore


_FRAMING_HEADERS = frozenset((b'content-length',))
"""Headers that are removed, since the entry side sets them for the complete response."""
