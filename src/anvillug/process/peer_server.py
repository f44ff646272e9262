"""Serves other nodes: runs jobs on this node's backend server and returns the directives."""

from __future__ import annotations

from collections.abc import Callable

from anvillug import clock, event_log, ids
from anvillug.connection import http_exchange, http_head, memory_account
from anvillug.process import mesh_host, sound_word, usage_wire
from anvillug.request import job, job_wire
from anvillug.version import directives

_JOB_PATHS = (job_wire.RUN_PATH, job_wire.INQUIRY_PATH)
_NO_MEMORY = 'no memory for the job'
_TOO_LARGE = 'job is too large'
# A job holds a body, which may exceed a limit that its sender does not know yet, and a head.
_BODY_FACTOR = 2
_MAX_HEAD_BYTES = 1024 * 1024
_STATUS_OK = 200
_STATUS_BAD_REQUEST = 400
_STATUS_NOT_FOUND = 404


class PeerServer:
    """Serves the requests of other nodes.

    Args:
        host: Host side of this node.
        active_directives: Directives in effect.
        time: Clock.
        incarnation: Start time of this process.
        account: Account of the memory that is held for clients and other nodes.
        word: Newest word of the log; None if nodes do not ask for it.
    """

    def __init__(
        self,
        host: mesh_host.MeshHost,
        active_directives: directives.ActiveDirectives,
        time: clock.Clock,
        incarnation: ids.Incarnation,
        account: memory_account.MemoryAccount,
        word: sound_word.SoundWord | None = None,
    ) -> None:
        self.account = account
        """Account of the memory that is held for clients and other nodes."""
        self.host = host
        """Host side of this node."""
        self.clock = time
        """Clock."""
        self.inquiry_headers = ((job_wire.INCARNATION_HEADER, b'%d' % incarnation),)
        """Headers of a response to an inquiry."""
        self._word = word
        self.usage_received: http_exchange.RequestStarted | None = None
        """Handles a message with counts of requests; None if they are not reported."""
        self._active_directives = active_directives
        # Wire form of the most recently requested directives; cached, since the nodes of a zone
        # request them at the same time.
        self._packed: tuple[directives.Directives | None, bytes] = (None, b'')

    @property
    def max_job_bytes(self) -> int:
        """Size that no job of a node exceeds."""
        routes = self._active_directives.current.routes
        if routes is None:
            return memory_account.DEFAULT_LIMIT_BYTES
        return _BODY_FACTOR * routes.limits.max_body_bytes + _MAX_HEAD_BYTES

    def request_received(self, exchange: http_exchange.ServerExchange) -> None:
        """Handle a request; see `http_exchange.RequestStarted`."""
        path = exchange.head.path
        if path in _JOB_PATHS:
            exchange.handler = _JobExchange(self, exchange)
        elif path == job_wire.DIRECTIVES_PATH:
            exchange.respond(_STATUS_OK, self._packed_directives())
        elif path == sound_word.PATH and self._word is not None:
            exchange.respond(_STATUS_OK, self._word.encode())
        elif path == usage_wire.PATH and self.usage_received is not None:
            self.usage_received(exchange)
        else:
            exchange.respond(_STATUS_NOT_FOUND)

    def _packed_directives(self) -> bytes:
        current = self._active_directives.current
        if self._packed[0] is not current:
            self._packed = (current, job_wire.pack_directives(current))
        return self._packed[1]


class _JobExchange:
    """A job or an inquiry of another node; see `http_exchange.RequestHandler`."""

    def __init__(self, server: PeerServer, exchange: http_exchange.ServerExchange) -> None:
        self._server = server
        self._exchange = exchange
        self._body = bytearray()
        self._reserved = 0
        self._rejection = ''
        self._cancel: Callable[[], object] | None = None

    def body_received(self, data: bytes) -> None:
        """Buffer a chunk of the job, or reject it if it is too large or there is no memory."""
        if self._rejection:
            return
        if self._reserved + len(data) > self._server.max_job_bytes:
            self._rejection = _TOO_LARGE
        elif not self._server.account.reserve_more(len(data), self._reserved):
            self._rejection = _NO_MEMORY
        if self._rejection:
            self._release()
            return
        self._reserved += len(data)
        self._body += data

    def request_ended(self) -> None:
        """Run the job or respond to the inquiry, since the request is complete."""
        if self._rejection:
            self._respond(job.Result(job.ResultKind.REFUSED, self._rejection))
            return
        try:
            work = job_wire.unpack_job(self._body, self._server.clock.now())
        except job_wire.MalformedError as error:
            event_log.warn('job_malformed', reason=error)
            self._release()
            self._exchange.respond(_STATUS_BAD_REQUEST, f'{error}\n'.encode())
            return
        self._body = bytearray()
        if self._exchange.head.path == job_wire.INQUIRY_PATH:
            self._respond(self._server.host.handle_inquiry(work), self._server.inquiry_headers)
            return
        self._cancel = self._server.host.submit(work, self._respond)

    def request_aborted(self) -> None:
        """Cancel the job, since its sender has cancelled it or disconnected."""
        self._release()
        cancel = self._cancel
        self._cancel = None
        if cancel is not None:
            cancel()

    def response_writes_paused(self, paused: bool) -> None:
        """Ignore backpressure: the whole result is in memory already."""

    def _release(self) -> None:
        self._body = bytearray()
        self._server.account.reserve(-self._reserved)
        self._reserved = 0

    def _respond(self, result: job.Result, headers: tuple[http_head.Header, ...] = ()) -> None:
        self._release()
        # It refers to the run, which refers to this object.
        self._cancel = None
        self._exchange.respond(_STATUS_OK, job_wire.pack_result(result), headers)
