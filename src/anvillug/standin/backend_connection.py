"""HTTP/1.1 connection of the backend server stand-in."""

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

MAX_PIPELINED_REQUESTS = 16
"""Requests without a response at which reading from the connection pauses."""
MAX_HEAD_BYTES = 65_536
"""Max length of request target and headers."""

_NOT_RUN_HEADERS = {call.OUTCOME_HEADER: call.Outcome.NOT_RUN.value}
_PROBE_PATHS = frozenset(('/health', '/load'))


class Server(Protocol):
    """Server state that a connection uses; see `backend_server.BackendFactory`."""

    model: backend_model.BackendModel
    reactor: interfaces.IReactorTime
    clock: clock.Clock
    open_connections: set[BackendConnection]
    closing: bool

    @property
    def leaving(self) -> bool:
        """Whether the server announces that it is leaving."""

    def has_room(self) -> bool:
        """Return whether one more connection is within the limit."""

    def is_crash_path(self, path: str) -> bool:
        """Return whether a call with this path crashes the process."""

    def crash(self) -> None:
        """Exit the process immediately."""

    def handle_control(self, exchange: backend_exchange.Exchange) -> tuple[int, Any]:
        """Handle a request whose path starts with `/control/`."""


@interface.implementer(interfaces.IPullProducer)
class PaddingProducer:
    """Writes the padding of a response as fast as the transport accepts it."""

    def __init__(self, connection: BackendConnection, chunks: Iterator[bytes]) -> None:
        self._connection = connection
        self._chunks = chunks

    def resumeProducing(self) -> None:  # noqa: N802 the name is Twisted's
        """Write one chunk, or end the response after the last one."""
        chunk = next(self._chunks, None)
        if chunk is None:
            self._connection.transport.unregisterProducer()
            self._connection.response_written()
        else:
            self._connection.transport.write(chunk)

    def stopProducing(self) -> None:  # noqa: N802 the name is Twisted's
        """Stop, since the connection is closed."""
        self._chunks = iter(())


class BackendConnection(protocol.Protocol):
    """Reads requests, runs them in order through the model and sends the responses.

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
        self._is_set_up = False
        self._is_silent = False
        self._rejection_body = b''
        self._is_closing = False
        self._is_paused = False

    @property
    def is_busy(self) -> bool:
        """Whether a request is being read or processed, or a response is not flushed yet."""
        return (bool(self._exchanges) or self._is_closing) and not self._is_silent

    def connectionMade(self) -> None:  # noqa: N802 the name is Twisted's
        """Submit the set-up as work; reject the connection at the limit or during shutdown."""
        if self._server.closing or not self._server.has_room():
            self._write(HTTPStatus.SERVICE_UNAVAILABLE, _NOT_RUN_HEADERS, b'', keep_alive=False)
            self._is_closing = True
            self.transport.loseConnection()
            return
        self._server.open_connections.add(self)
        self.transport.setTcpNoDelay(True)  # noqa: FBT003 the argument is Twisted's
        self._submit(backend_model.Work(backend_model.Kind.CONNECT, on_start=self.run))

    def connectionLost(  # noqa: N802 the name is Twisted's
        self, reason: twisted_failure.Failure = protocol.connectionDone
    ) -> None:
        """Cancel the running or queued work of this connection."""
        self._server.open_connections.discard(self)
        self._exchanges.clear()
        self._is_closing = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        if self._work is not None:
            work = self._work
            self._work = None
            if work.kind is backend_model.Kind.CALL:
                self._model.counts['cancelled'] += 1
            self._release(work)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 the name is Twisted's
        """Parse received bytes; respond with 400 to malformed HTTP."""
        if self._is_silent or self._is_closing:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject_malformed('protocol upgrades are not supported')
        except httptools.HttpParserError as failure:
            # If a callback raised the error, the parser's error has it as its context.
            self._reject_malformed(failure.__context__ or failure)

    def stop_responding(self) -> None:
        """Keep the connection open, but send no further responses on it."""
        self._is_silent = True

    def run(self, work: backend_model.Work) -> None:
        """Run work of this connection that has received a slot."""
        remaining_ms = self._remaining_ms(work)
        if remaining_ms <= 0:
            self._work = None
            self._release(work)
            self._respond_not_run('deadline passed')
            return
        execution = self._model.execute(work)
        if work.kind is backend_model.Kind.CALL and self._server.is_crash_path(work.path):
            self._server.crash()
        execution = execution.within(remaining_ms)
        seconds = clock.to_seconds(execution.duration_ms)
        self._timer = self._server.reactor.callLater(seconds, self._on_finished, work, execution)

    def response_written(self) -> None:
        """Continue with the next request after a response has been written."""
        exchange = self._exchanges.popleft()
        if self._is_silent:
            return
        if self._rejection_body and not self._exchanges:
            self._send_rejection()
            return
        if not exchange.keep_alive or self._server.closing:
            self._is_closing = True
            self.transport.loseConnection()
            return
        if self._is_paused and len(self._exchanges) < MAX_PIPELINED_REQUESTS:
            self._is_paused = False
            self.transport.resumeProducing()
        self._process_next()

    def on_message_begin(self) -> None:
        """Prepare for the head of a new request; called by httptools."""
        self._reset_head()

    def on_url(self, url: bytes) -> None:
        """Receive a part of the request target; called by httptools."""
        self._add_head_bytes(len(url))
        self._target += url

    def on_header(self, name: bytes, header: bytes) -> None:
        """Receive a header; called by httptools."""
        self._add_head_bytes(len(name) + len(header))
        self._headers[name.decode('latin-1').lower()] = header.decode('latin-1')

    def on_headers_complete(self) -> None:
        """Queue the request whose head is complete; called by httptools."""
        exchange = backend_exchange.Exchange(
            self._parser.get_method().decode('latin-1'),
            self._target.decode('latin-1'),
            self._headers,
            keep_alive=self._parser.should_keep_alive(),
            arrived_at=self._server.clock.now(),
        )
        exchange.rejected = self._server.closing
        self._exchanges.append(exchange)
        if self._headers.get('expect', '').lower() == '100-continue' and len(self._exchanges) == 1:
            self.transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def on_body(self, chunk: bytes) -> None:
        """Receive a part of the body; called by httptools."""
        self._exchanges[-1].receive(chunk)

    def on_message_complete(self) -> None:
        """Process the request if no earlier one is pending; called by httptools."""
        self._exchanges[-1].complete = True
        if len(self._exchanges) == 1:
            self._process_next()
        elif len(self._exchanges) >= MAX_PIPELINED_REQUESTS and not self._is_paused:
            self._is_paused = True
            self.transport.pauseProducing()

    def _reset_head(self) -> None:
        self._target = b''
        self._headers: dict[str, str] = {}
        self._head_bytes = 0

    def _add_head_bytes(self, length: int) -> None:
        self._head_bytes += length
        if self._head_bytes > MAX_HEAD_BYTES:
            raise backend_exchange.BadRequestError('request head is too long')

    def _reject_malformed(self, reason: object) -> None:
        self._is_closing = True
        self._rejection_body = json.dumps({'error': str(reason)}).encode()
        if self._exchanges and not self._exchanges[-1].complete:
            self._exchanges.pop()
        if not self._exchanges:
            self._send_rejection()

    def _send_rejection(self) -> None:
        self._write(HTTPStatus.BAD_REQUEST, {}, self._rejection_body, keep_alive=False)
        self.transport.loseConnection()

    def _process_next(self) -> None:
        if not self._is_set_up or not self._exchanges or not self._exchanges[0].complete:
            return
        exchange = self._exchanges[0]
        if exchange.path.startswith('/control/'):
            status, data = self._server.handle_control(exchange)
            self._respond(status, {}, json.dumps(data).encode())
        elif exchange.rejected:
            self._respond_not_run('shutting down')
        else:
            self._submit(self._create_work(exchange))

    def _create_work(self, exchange: backend_exchange.Exchange) -> backend_model.Work:
        is_probe = exchange.method == 'GET' and exchange.path in _PROBE_PATHS
        return backend_model.Work(
            backend_model.Kind.PROBE if is_probe else backend_model.Kind.CALL,
            exchange.path,
            exchange.fixed_ms,
            exchange.key,
            exchange.call_id,
            self.run,
        )

    def _submit(self, work: backend_model.Work) -> None:
        self._work = work
        admission = self._model.submit(work)
        if admission is backend_model.Admission.SHED:
            self._work = None
            self._respond_not_run('overloaded')
        elif admission is backend_model.Admission.START:
            self.run(work)

    def _release(self, work: backend_model.Work) -> None:
        for started in self._model.release(work):
            started.on_start(started)

    def _on_finished(self, work: backend_model.Work, execution: backend_model.Execution) -> None:
        self._work = None
        started = self._model.finish(work, failed=execution.failed)
        if work.kind is backend_model.Kind.CONNECT:
            self._is_set_up = True
            self._process_next()
        elif work.kind is backend_model.Kind.PROBE:
            self._respond_to_probe(work.path)
        elif execution.timed_out:
            self._respond_error(HTTPStatus.GATEWAY_TIMEOUT, {}, 'deadline passed while running')
        else:
            self._respond_to_call(failed=execution.failed)
        for next_work in started:
            next_work.on_start(next_work)

    def _respond_to_probe(self, path: str) -> None:
        report = self._model.report(self._server.clock.now(), leaving=self._server.leaving)
        status = report.pop('status')
        data = {'status': status} if path == '/health' else report
        self._respond(HTTPStatus.OK, {}, json.dumps(data).encode())

    def _respond_to_call(self, *, failed: bool) -> None:
        exchange = self._exchanges[0]
        settings = self._model.settings
        status = HTTPStatus.INTERNAL_SERVER_ERROR if failed else HTTPStatus.OK
        headers = {call.CALL_HEADER: exchange.call_id} if exchange.call_id else {}
        body = exchange.encode_response_body(settings.backend_id, settings.version)
        self._respond(
            status, headers, body, min_body_bytes=0 if failed else exchange.response_bytes
        )

    def _respond_not_run(self, reason: str) -> None:
        self._respond_error(HTTPStatus.SERVICE_UNAVAILABLE, _NOT_RUN_HEADERS, reason)

    def _respond_error(self, status: int, headers: dict[str, str], reason: str) -> None:
        self._respond(status, headers, json.dumps({'error': reason}).encode())

    def _respond(
        self, status: int, headers: dict[str, str], body: bytes, min_body_bytes: int = 0
    ) -> None:
        exchange = self._exchanges[0]
        padding_bytes = max(min_body_bytes - len(body), 0)
        self._write(
            status,
            headers,
            body,
            padding_bytes=padding_bytes,
            keep_alive=exchange.keep_alive and not self._server.closing,
            send_body=exchange.method != 'HEAD',
        )
        if padding_bytes and exchange.method != 'HEAD' and not self._is_silent:
            producer = PaddingProducer(self, backend_exchange.padding_chunks(padding_bytes))
            self.transport.registerProducer(producer, streaming=False)
        else:
            self.response_written()

    def _write(
        self,
        status: int,
        headers: dict[str, str],
        body: bytes,
        *,
        keep_alive: bool,
        padding_bytes: int = 0,
        send_body: bool = True,
    ) -> None:
        if self._is_silent:
            return
        length = len(body) + padding_bytes
        head = backend_exchange.encode_head(status, length, headers, keep_alive=keep_alive)
        self.transport.write(head + body if send_body else head)

    def _remaining_ms(self, work: backend_model.Work) -> float:
        if work.kind is backend_model.Kind.CONNECT or self._exchanges[0].deadline is None:
            return math.inf
        return self._exchanges[0].deadline - self._server.clock.now()
