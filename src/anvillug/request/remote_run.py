"""One job at another node: hands it over on a connection and reads the result."""

from __future__ import annotations

from collections.abc import Callable

from anvillug.connection import http_client, http_head, http_pool
from anvillug.request import job, job_wire

_STATUS_OK = 200


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


def run_remotely(
    pool: http_pool.Pool,
    packed_job: bytes,
    on_result: Callable[[job.Result], None],
) -> Callable[[], None]:
    """Hand a job to another node.

    Args:
        pool: Connections to the node.
        packed_job: Wire form of the job.
        on_result: Called once with the result.

    Returns:
        Function that cancels the job; the result is not told then.
    """

    def answered(body: bytes) -> None:
        try:
            result = job_wire.unpack_result(body)
        except job_wire.MalformedError as error:
            result = job.Result(job.ResultKind.UNKNOWN, f'node: {error}', node_failed=True)
        on_result(result)

    def failed(reason: str, sent: bool) -> None:
        kind = job.ResultKind.UNKNOWN if sent else job.ResultKind.REFUSED
        on_result(job.Result(kind, f'node: {reason}', node_failed=True))

    headers = [(b'Host', b'node'), (b'Content-Length', b'%d' % len(packed_job))]
    head = http_head.RequestHead(b'POST', job_wire.RUN_PATH, headers)
    request = PeerRequest(head, packed_job, answered, failed)
    request.begin(pool)
    return request.cancel
