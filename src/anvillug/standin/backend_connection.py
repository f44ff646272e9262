"""A connection of the backend server stand-in."""

from __future__ import annotations

import collections
import json
import math
from collections.abc import Iterator
from http import HTTPStatus
from typing import Any, Protocol

import httptools
from twisted.internet import interfaces, protocol
from twisted.python import failure as twisted_failure
from zope import interface

from anvillug import clock
from anvillug.request import call
from anvillug.standin import backend_exchange, backend_model

MAX_PIPELINED = 16
MAX_HEAD_BYTES = 65_536

_NOT_RUN = {call.OUTCOME_HEADER: call.Outcome.NOT_RUN.value}
_PROBE_PATHS = frozenset(('/health', '/load'))


class Server(Protocol):
    """What a connection needs from its server; see `backend_server.BackendFactory`."""

    model: backend_model.BackendModel
    reactor: interfaces.IReactorTime
    clock: clock.Clock
    open_connections: set[BackendConnection]
    closing: bool

    @property
    def leaving(self) -> bool:
        """Whether the server announces that it is leaving."""

    def has_room(self) -> bool:
        """Tell whether one more connection is within the limit."""

    def crashes_on(self, path: str) -> bool:
        """Tell whether a call with this path ends the process."""

    def crash(self) -> None:
        """End the process at once."""

    def control(self, exchange: backend_exchange.Exchange) -> tuple[int, Any]:
        """Answer a request below `/control/`."""


@interface.implementer(interfaces.IPullProducer)
class PaddingProducer:
    """Writes the padding of a response as fast as the connection takes it."""

    def __init__(self, connection: BackendConnection, chunks: Iterator[bytes]) -> None:
        self._connection = connection
        self._chunks = chunks

    def resumeProducing(self) -> None:  # noqa: N802 the name is Twisted's
        """Write one chunk, or end the response after the last one."""
        chunk = next(self._chunks, None)
        if chunk is None:
            self._connection.transport.unregisterProducer()
            self._connection.answered()
        else:
            self._connection.transport.write(chunk)

    def stopProducing(self) -> None:  # noqa: N802 the name is Twisted's
        """Stop because the connection is lost."""
        self._chunks = iter(())


class BackendConnection(protocol.Protocol):
    """Reads requests, runs them in order through the model and answers them.

    Args:
        server: State shared by all connections.
    """

    def __init__(self, server: Server) -> None:
        self._server = server
        self._model = server.model
        self._parser = httptools.HttpRequestParser(self)
        self._exchanges: collections.deque[backend_exchange.Exchange] = collections.deque()
        self._reset_head()
        self._work: backend_model.Work | None = None
        self._timer: interfaces.IDelayedCall | None = None
        self._ready = False
        self._silent = False
        self._rejection = b''
        self._broken = False
        self._paused = False

    @property
    def busy(self) -> bool:
        """Whether a request is being read, run or answered, or an answer is not flushed yet."""
        return (bool(self._exchanges) or self._broken) and not self._silent

    def connectionMade(self) -> None:  # noqa: N802 the name is Twisted's
        """Take the slot time of the connection set-up, or refuse the connection."""
        if self._server.closing or not self._server.has_room():
            self._write(HTTPStatus.SERVICE_UNAVAILABLE, _NOT_RUN, b'', keep_alive=False)
            self._broken = True
            self.transport.loseConnection()
            return
        self._server.open_connections.add(self)
        self.transport.setTcpNoDelay(True)  # noqa: FBT003 the argument is Twisted's
        self._offer(backend_model.Work(backend_model.Kind.CONNECT, on_start=self.run))

    def connectionLost(  # noqa: N802 the name is Twisted's
        self, reason: twisted_failure.Failure = protocol.connectionDone
    ) -> None:
        """Cancel what this connection runs or waits for."""
        self._server.open_connections.discard(self)
        self._exchanges.clear()
        self._broken = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        if self._work is not None:
            work = self._work
            self._work = None
            if work.kind is backend_model.Kind.CALL:
                self._model.counts['cancelled'] += 1
            self._release(work)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 the name is Twisted's
        """Parse received bytes; malformed HTTP gets 400."""
        if self._silent or self._broken:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject('protocol upgrades are not supported')
        except httptools.HttpParserError as failure:
            # A callback's own error is the cause of the parser's.
            self._reject(failure.__context__ or failure)

    def silence(self) -> None:
        """Keep the connection open and never answer on it again."""
        self._silent = True

    def run(self, work: backend_model.Work) -> None:
        """Run work of this connection that holds a slot now."""
        remaining_ms = self._remaining_ms(work)
        if remaining_ms <= 0:
            self._work = None
            self._release(work)
            self._shed('deadline passed')
            return
        execution = self._model.execute(work)
        if work.kind is backend_model.Kind.CALL and self._server.crashes_on(work.path):
            self._server.crash()
        execution = execution.within(remaining_ms)
        seconds = clock.to_seconds(execution.duration_ms)
        self._timer = self._server.reactor.callLater(seconds, self._finished, work, execution)

    def answered(self) -> None:
        """Go on with the next request after a response is written."""
        exchange = self._exchanges.popleft()
        if self._silent:
            return
        if self._rejection and not self._exchanges:
            self._end_with_rejection()
            return
        if not exchange.keep_alive or self._server.closing:
            self._broken = True
            self.transport.loseConnection()
            return
        if self._paused and len(self._exchanges) < MAX_PIPELINED:
            self._paused = False
            self.transport.resumeProducing()
        self._next()

    def on_message_begin(self) -> None:
        """Begin a request (httptools)."""
        self._reset_head()

    def on_url(self, url: bytes) -> None:
        """Take a part of the target (httptools)."""
        self._count_head(len(url))
        self._target += url

    def on_header(self, name: bytes, header: bytes) -> None:
        """Take a header (httptools)."""
        self._count_head(len(name) + len(header))
        self._headers[name.decode('latin-1').lower()] = header.decode('latin-1')

    def on_headers_complete(self) -> None:
        """Take up the request (httptools)."""
        exchange = backend_exchange.Exchange(
            self._parser.get_method().decode('latin-1'),
            self._target.decode('latin-1'),
            self._headers,
            keep_alive=self._parser.should_keep_alive(),
            arrived_at=self._server.clock.now(),
        )
        exchange.refused = self._server.closing
        self._exchanges.append(exchange)
        if self._headers.get('expect', '').lower() == '100-continue' and len(self._exchanges) == 1:
            self.transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def on_body(self, chunk: bytes) -> None:
        """Take a part of the body (httptools)."""
        self._exchanges[-1].receive(chunk)

    def on_message_complete(self) -> None:
        """Run the request when it is the next one (httptools)."""
        self._exchanges[-1].complete = True
        if len(self._exchanges) == 1:
            self._next()
        elif len(self._exchanges) >= MAX_PIPELINED and not self._paused:
            self._paused = True
            self.transport.pauseProducing()

    def _reset_head(self) -> None:
        self._target = b''
        self._headers: dict[str, str] = {}
        self._head_bytes = 0

    def _count_head(self, length: int) -> None:
        self._head_bytes += length
        if self._head_bytes > MAX_HEAD_BYTES:
            raise backend_exchange.BadRequestError('request head is too long')

    def _reject(self, reason: object) -> None:
        self._broken = True
        self._rejection = json.dumps({'error': str(reason)}).encode()
        if self._exchanges and not self._exchanges[-1].complete:
            self._exchanges.pop()
        if not self._exchanges:
            self._end_with_rejection()

    def _end_with_rejection(self) -> None:
        self._write(HTTPStatus.BAD_REQUEST, {}, self._rejection, keep_alive=False)
        self.transport.loseConnection()

    def _next(self) -> None:
        if not self._ready or not self._exchanges or not self._exchanges[0].complete:
            return
        exchange = self._exchanges[0]
        if exchange.path.startswith('/control/'):
            status, data = self._server.control(exchange)
            self._answer(status, {}, json.dumps(data).encode())
        elif exchange.refused:
            self._shed('shutting down')
        else:
            self._offer(self._work_of(exchange))

    def _work_of(self, exchange: backend_exchange.Exchange) -> backend_model.Work:
        is_probe = exchange.method == 'GET' and exchange.path in _PROBE_PATHS
        return backend_model.Work(
            backend_model.Kind.PROBE if is_probe else backend_model.Kind.CALL,
            exchange.path,
            exchange.fixed_ms,
            exchange.key,
            exchange.call_id,
            self.run,
        )

    def _offer(self, work: backend_model.Work) -> None:
        self._work = work
        admission = self._model.offer(work)
        if admission is backend_model.Admission.SHED:
            self._work = None
            self._shed('overloaded')
        elif admission is backend_model.Admission.START:
            self.run(work)

    def _release(self, work: backend_model.Work) -> None:
        for started in self._model.release(work):
            started.on_start(started)

    def _finished(self, work: backend_model.Work, execution: backend_model.Execution) -> None:
        self._work = None
        started = self._model.finish(work, failed=execution.failed)
        if work.kind is backend_model.Kind.CONNECT:
            self._ready = True
            self._next()
        elif work.kind is backend_model.Kind.PROBE:
            self._answer_probe(work.path)
        elif execution.timed_out:
            self._answer_error(HTTPStatus.GATEWAY_TIMEOUT, {}, 'deadline passed while running')
        else:
            self._answer_call(failed=execution.failed)
        for following in started:
            following.on_start(following)

    def _answer_probe(self, path: str) -> None:
        report = self._model.report(self._server.clock.now(), leaving=self._server.leaving)
        status = report.pop('status')
        data = {'status': status} if path == '/health' else report
        self._answer(HTTPStatus.OK, {}, json.dumps(data).encode())

    def _answer_call(self, *, failed: bool) -> None:
        exchange = self._exchanges[0]
        settings = self._model.settings
        status = HTTPStatus.INTERNAL_SERVER_ERROR if failed else HTTPStatus.OK
        headers = {call.CALL_HEADER: exchange.call_id} if exchange.call_id else {}
        body = exchange.describe(settings.backend_id, settings.version)
        self._answer(status, headers, body, padded_bytes=0 if failed else exchange.response_bytes)

    def _shed(self, reason: str) -> None:
        self._answer_error(HTTPStatus.SERVICE_UNAVAILABLE, _NOT_RUN, reason)

    def _answer_error(self, status: int, headers: dict[str, str], reason: str) -> None:
        self._answer(status, headers, json.dumps({'error': reason}).encode())

    def _answer(
        self, status: int, headers: dict[str, str], body: bytes, padded_bytes: int = 0
    ) -> None:
        exchange = self._exchanges[0]
        padding_bytes = max(padded_bytes - len(body), 0)
        self._write(
            status,
            headers,
            body,
            padding_bytes=padding_bytes,
            keep_alive=exchange.keep_alive and not self._server.closing,
            body_sent=exchange.method != 'HEAD',
        )
        if padding_bytes and exchange.method != 'HEAD' and not self._silent:
            producer = PaddingProducer(self, backend_exchange.padding(padding_bytes))
            self.transport.registerProducer(producer, streaming=False)
        else:
            self.answered()

    def _write(
        self,
        status: int,
        headers: dict[str, str],
        body: bytes,
        *,
        keep_alive: bool,
        padding_bytes: int = 0,
        body_sent: bool = True,
    ) -> None:
        if self._silent:
            return
        length = len(body) + padding_bytes
        head = backend_exchange.head(status, length, headers, keep_alive=keep_alive)
        self.transport.write(head + body if body_sent else head)

    def _remaining_ms(self, work: backend_model.Work) -> float:
        if work.kind is backend_model.Kind.CONNECT or self._exchanges[0].deadline is None:
            return math.inf
        return self._exchanges[0].deadline - self._server.clock.now()
