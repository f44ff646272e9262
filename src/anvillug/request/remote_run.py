"""Sends a job to another node and reads the result.

An inquiry may precede the job: it carries no body, and the node responds whether it would accept
the job. So a node that has failed loses no job, and a large body is not sent only to be rejected.
"""

from __future__ import annotations

import dataclasses
import functools
from collections.abc import Callable

from twisted.internet import interfaces

from anvillug import clock, ids
from anvillug.connection import http_client, http_head, http_pool, memory_account, write_batch
from anvillug.request import buffered_response, job, job_wire

_STATUS_OK = 200
# An inquiry takes one round trip, 3 ms between zones; a node that needs longer than this is
# unreachable or overloaded.
_INQUIRY_TIMEOUT_MS = 80.0
_MAX_RESPONSE_BYTES = 1024 * 1024
"""Largest response to a request other than a job."""


class PeerRequest:
    """A request to another node whose response is read completely.

    Args:
        head: Head of the request.
        body: Body of the request.
        on_response: Called with the body of the response.
        on_failure: Called with the reason why there is no response, and whether a connection was
            available, so that the request was sent.
        response: Holds the body of the response; small ones only by default.
    """

    def __init__(
        self,
        head: http_head.RequestHead,
        body: bytes,
        on_response: Callable[[bytes], None],
        on_failure: Callable[[str, bool], None],
        response: buffered_response.BufferedResponse | None = None,
    ) -> None:
        self._head = head
        self._body = body
        self._on_response = on_response
        self._on_failure = on_failure
        self._response_body = response or buffered_response.BufferedResponse(_MAX_RESPONSE_BYTES)
        self._pool: http_pool.Pool | None = None
        self._connection: http_client.ClientConnection | None = None
        self._ended = False
        self._timer: interfaces.IDelayedCall | None = None
        self.response: http_head.ResponseHead | None = None
        """Head of the response; None until it has arrived."""

    def limit_time(self, reactor: interfaces.IReactorTime, timeout_s: float) -> None:
        """Cancel the request after a time and report that there is no response.

        Args:
            reactor: Timers.
            timeout_s: Time from now in seconds.
        """
        self._timer = reactor.callLater(timeout_s, self._timed_out)

    def begin(self, pool: http_pool.Pool, previous: PeerRequest | None = None) -> None:
        """Get a connection and send the request.

        Args:
            pool: Connections to the node.
            previous: Request whose response has just ended. Its connection is used again, since
                it is known to work.
        """
        self._pool = pool
        if previous is None:
            pool.acquire(self._connected, self._connection_failed)
        else:
            connection = previous._connection  # noqa: SLF001 - same class
            pool.acquire_when_released(connection, self._connected, self._connection_failed)

    def cancel(self) -> None:
        """Cancel the request; neither callback is called.

        Whatever kept the response away may have silenced the idle connections as well.
        """
        if self._ended:
            return
        self._end()
        if self._connection is not None:
            self._connection.cancel()
            if self.response is None:
                self._pool.close_idle_without_response_since(self._connection)

    # From the connection

    def response_continue(self) -> None:
        """Ignore status 100; see `http_client.ResponseHandler`."""

    def response_head(self, head: http_head.ResponseHead) -> None:
        """Store the head."""
        self.response = head

    def response_body(self, data: bytes) -> None:
        """Buffer a chunk of the response."""
        reason = self._response_body.add(data)
        if reason:
            self._connection.cancel()
            self._fail(reason)

    def response_ended(self) -> None:
        """Report the response."""
        if self._ended:
            return
        if self.response.status != _STATUS_OK:
            self._fail(f'status {self.response.status}')
            return
        response = self._response_body.take()
        self._end()
        self._on_response(response)

    def response_failed(self, reason: http_client.ClientFailure) -> None:
        """Report that there is no complete response."""
        self._fail(reason.value)

    def request_writes_paused(self, paused: bool) -> None:
        """Ignore backpressure: the whole body is in memory already."""

    def _connection_failed(self) -> None:
        self._fail('no connection')

    def _connected(self, connection: http_client.ClientConnection) -> None:
        if self._ended:
            return
        self._connection = connection
        with write_batch.BATCH:
            connection.request(self._head, self)
            connection.send_body(self._body)
            # Callbacks refer to this request, which may be collected much later.
            self._body = b''
            connection.end_request()

    def _fail(self, reason: str) -> None:
        if not self._ended:
            self._end()
            self._on_failure(reason, self._connection is not None)

    def _timed_out(self) -> None:
        self.cancel()
        self._on_failure('no response', True)

    def _end(self) -> None:
        self._ended = True
        self._body = b''
        self._response_body.clear()
        if self._timer is not None and self._timer.active():
            self._timer.cancel()


class RemoteRun:
    """One job that is sent to another node.

    Args:
        reactor: Timers.
        pool: Connections to the node.
        work: The job.
        time: Clock.
        on_result: Called once with the result, unless the run is cancelled.
        account: Account of memory; None if only the size of the result is limited.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        pool: http_pool.Pool,
        work: job.Job,
        time: clock.Clock,
        on_result: Callable[[job.Result], None],
        account: memory_account.MemoryAccount | None = None,
    ) -> None:
        self._reactor = reactor
        self._pool = pool
        self._work = work
        self._clock = time
        self._on_result = on_result
        self._account = account
        self._request: PeerRequest | None = None
        self._inquiry_timer: interfaces.IDelayedCall | None = None

    def begin(self) -> None:
        """Send the job."""
        self._send_job(job_wire.RUN_PATH, self._work, self._on_result, job.ResultKind.UNKNOWN)

    def inquire_first(self, on_willing: Callable[[ids.Incarnation | None], None]) -> None:
        """Send an inquiry, and the job once the node has responded that it would accept it.

        Args:
            on_willing: Called before the job is sent, with the process that responded; None if
                its response names none.
        """
        inquiry = dataclasses.replace(self._work, body=b'')
        delay_s = clock.to_seconds(_INQUIRY_TIMEOUT_MS)
        self._inquiry_timer = self._reactor.callLater(delay_s, self._inquiry_timed_out)
        self._send_job(
            job_wire.INQUIRY_PATH,
            inquiry,
            functools.partial(self._inquiry_ended, on_willing),
            job.ResultKind.REFUSED,
        )

    def cancel(self) -> None:
        """Cancel the run; the result is not reported."""
        self._stop_inquiry_timer()
        request = self._request
        # It refers to this run, and both would be freed only by the collector.
        self._request = None
        if request is not None:
            request.cancel()

    # Private

    def _inquiry_timed_out(self) -> None:
        self.cancel()
        self._on_result(job.Result(job.ResultKind.REFUSED, 'node: silent', node_failed=True))

    def _stop_inquiry_timer(self) -> None:
        if self._inquiry_timer is not None and self._inquiry_timer.active():
            self._inquiry_timer.cancel()
        self._inquiry_timer = None

    def _inquiry_ended(
        self, on_willing: Callable[[ids.Incarnation | None], None], result: job.Result
    ) -> None:
        self._stop_inquiry_timer()
        if result.kind is job.ResultKind.WILLING:
            on_willing(job_wire.read_incarnation(self._request.response))
            # The inquiry has shown that its connection works; an idle one may be silent.
            self.begin()
        else:
            self._request = None
            self._on_result(result)

    def _send_job(
        self,
        path: bytes,
        work: job.Job,
        on_result: Callable[[job.Result], None],
        kind_if_sent: job.ResultKind,
    ) -> None:
        """Send a job and report the result.

        Args:
            path: `RUN_PATH` or `INQUIRY_PATH` of `job_wire`.
            work: The job; an inquiry has no body.
            on_result: Called with the result.
            kind_if_sent: Kind of the result if the job was sent but there is no valid response.
        """

        def answered(body: bytes) -> None:
            try:
                result = job_wire.unpack_result(body)
            except job_wire.MalformedError as error:
                result = job.Result(kind_if_sent, f'node: {error}', node_failed=True)
            on_result(result)

        def failed(reason: str, sent: bool) -> None:
            kind = kind_if_sent if sent else job.ResultKind.REFUSED
            on_result(job.Result(kind, f'node: {reason}', node_failed=True))

        job_bytes = job_wire.pack_job(work, self._clock.now())
        headers = [(b'Host', b'node'), (b'Content-Length', b'%d' % len(job_bytes))]
        head = http_head.RequestHead(b'POST', path, headers)
        inquiry = self._request
        response = buffered_response.BufferedResponse(job_wire.MAX_RESULT_BYTES, self._account)
        self._request = PeerRequest(head, job_bytes, answered, failed, response)
        self._request.begin(self._pool, inquiry)
