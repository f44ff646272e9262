"""One job at another node: hands it over on a connection and reads the result.

A job may be asked about first: the node says, without having the body, whether it would take it.
Then nothing is lost with a node that is gone, and a large body is not sent in vain.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from twisted.internet import interfaces

from anvillug import clock
from anvillug.connection import http_client, http_head, http_pool
from anvillug.request import job, job_wire

_STATUS_OK = 200
# An inquiry takes one round trip, 3 ms between zones; a node that is this late is cut off or busy.
_INQUIRY_TIMEOUT_MS = 80.0


class PeerRequest:
    """A request to another node whose answer is read whole.

    Args:
        head: Head of the request.
        body: Body of the request.
        on_answer: Called with the body of the answer.
        on_failure: Called with why there is none, and whether the request was sent.
    """

    def __init__(
        self,
        head: http_head.RequestHead,
        body: bytes,
        on_answer: Callable[[bytes], None],
        on_failure: Callable[[str, bool], None],
    ) -> None:
        self._head = head
        self._body = body
        self._on_answer = on_answer
        self._on_failure = on_failure
        self._pieces: list[bytes] = []
        self._connection: http_client.ClientConnection | None = None
        self._done = False
        self._status = 0

    def begin(self, pool: http_pool.Pool) -> None:
        """Get a connection and send the request."""
        pool.acquire(self._connected, lambda: self._fail('no connection'))

    def cancel(self) -> None:
        """Give up; nobody is told."""
        self._done = True
        if self._connection is not None:
            self._connection.cancel()

    # From the connection

    def response_continue(self) -> None:
        """Ignore status 100; see `http_client.ResponseHandler`."""

    def response_head(self, head: http_head.ResponseHead) -> None:
        """Note the status."""
        self._status = head.status

    def response_body(self, data: bytes) -> None:
        """Keep a piece of the answer."""
        self._pieces.append(data)

    def response_ended(self) -> None:
        """Pass the answer on."""
        if self._done:
            return
        if self._status != _STATUS_OK:
            self._fail(f'status {self._status}')
            return
        self._done = True
        self._on_answer(b''.join(self._pieces))

    def response_failed(self, reason: http_client.ClientFailure) -> None:
        """Pass on that there is no answer."""
        self._fail(reason.value)

    def request_writes_paused(self, paused: bool) -> None:
        """Ignore backpressure: the body is held whole already."""

    def _connected(self, connection: http_client.ClientConnection) -> None:
        if self._done:
            return
        self._connection = connection
        connection.request(self._head, self)
        connection.send_body(self._body)
        connection.end_request()

    def _fail(self, reason: str) -> None:
        if not self._done:
            self._done = True
            self._on_failure(reason, self._connection is not None)


class RemoteRun:
    """One job at another node.

    Args:
        reactor: Timers.
        pool: Connections to the node.
        work: The job.
        time: Clock.
        on_result: Called once with the result, unless the run is cancelled.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        pool: http_pool.Pool,
        work: job.Job,
        time: clock.Clock,
        on_result: Callable[[job.Result], None],
    ) -> None:
        self._reactor = reactor
        self._pool = pool
        self._work = work
        self._clock = time
        self._on_result = on_result
        self._request: PeerRequest | None = None
        self._timer: interfaces.IDelayedCall | None = None

    def begin(self) -> None:
        """Hand the job over."""
        self._send(job_wire.RUN_PATH, self._work, self._on_result, job.ResultKind.UNKNOWN)

    def ask_first(self) -> None:
        """Hand the job over once the node has said, without having the body, that it would run."""
        inquiry = dataclasses.replace(self._work, body=b'')
        pause = clock.to_seconds(_INQUIRY_TIMEOUT_MS)
        self._timer = self._reactor.callLater(pause, self._expire)
        self._send(job_wire.INQUIRY_PATH, inquiry, self._told, job.ResultKind.REFUSED)

    def cancel(self) -> None:
        """Give up; the result is not told."""
        self._stop_timer()
        if self._request is not None:
            self._request.cancel()

    # Private

    def _expire(self) -> None:
        self.cancel()
        self._on_result(job.Result(job.ResultKind.REFUSED, 'node: silent', node_failed=True))

    def _stop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _told(self, result: job.Result) -> None:
        self._stop_timer()
        if result.kind is job.ResultKind.WILLING:
            self.begin()
        else:
            self._on_result(result)

    def _send(
        self,
        path: bytes,
        work: job.Job,
        on_result: Callable[[job.Result], None],
        kind_without_answer: job.ResultKind,
    ) -> None:
        """Send a job and tell the result; without an answer, what is known of a job sent whole."""

        def answered(body: bytes) -> None:
            try:
                result = job_wire.unpack_result(body)
            except job_wire.MalformedError as error:
                result = job.Result(kind_without_answer, f'node: {error}', node_failed=True)
            on_result(result)

        def failed(reason: str, sent: bool) -> None:
            kind = kind_without_answer if sent else job.ResultKind.REFUSED
            on_result(job.Result(kind, f'node: {reason}', node_failed=True))

        packed = job_wire.pack_job(work, self._clock.now())
        headers = [(b'Host', b'node'), (b'Content-Length', b'%d' % len(packed))]
        head = http_head.RequestHead(b'POST', path, headers)
        self._request = PeerRequest(head, packed, answered, failed)
        self._request.begin(self._pool)
