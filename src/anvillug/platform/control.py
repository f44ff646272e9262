"""Handles control calls to a node (heartbeats, deregistrations) and the readiness check."""

from __future__ import annotations

from urllib import parse as url_parse

from twisted.internet import defer
from twisted.python import failure

from anvillug import event_log, findings, ids
from anvillug.connection import http_exchange
from anvillug.platform import documents
from anvillug.process import member_records, mesh_node

READINESS_PATH = b'/-/readiness'

_RPC_PATH = b'/-/rpc'
_HEARTBEAT = 'instances.heartbeat'
_LEAVE = 'instances.deregister'
_JSON = ((b'Content-Type', b'application/json'),)
_STATUS_OK = 200
_STATUS_BAD_REQUEST = 400
_STATUS_NOT_FOUND = 404
_STATUS_TOO_LARGE = 413
_STATUS_UNAVAILABLE = 503
_MAX_BODY_BYTES = 64 * 1024


class Control:
    """Handles readiness checks and control calls.

    Args:
        node: The node.
    """

    def __init__(self, node: mesh_node.MeshNode) -> None:
        self._node = node

    def readiness(self, exchange: http_exchange.ServerExchange) -> None:
        """Respond to the readiness check; see `http_exchange.RequestStarted`."""
        if exchange.head.path == READINESS_PATH:
            exchange.respond(_STATUS_OK if self._node.is_ready else _STATUS_UNAVAILABLE)
        else:
            exchange.respond(_STATUS_NOT_FOUND)

    def control(self, exchange: http_exchange.ServerExchange) -> None:
        """Handle a control call of the backend server; see `http_exchange.RequestStarted`."""
        if exchange.head.path == _RPC_PATH:
            exchange.handler = _CallHandler(self, exchange)
        else:
            exchange.respond(_STATUS_NOT_FOUND)

    def execute(self, target: bytes, body: bytes) -> defer.Deferred[findings.Findings]:
        """Execute a control call.

        Args:
            target: Path and query; the query names the call and the instance.
            body: Body of the request.

        Returns:
            Fires once the call may be acknowledged, with its problems (none if it is valid). Fails
            with `member_records.LeaveNotStoredError` if it may not be acknowledged yet.
        """
        query = url_parse.parse_qs(target.partition(b'?')[2].decode('latin-1'))
        name = query.get('call', [''])[0]
        instance = query.get('of', [''])[0]
        if name == _HEARTBEAT:
            return self._heartbeat(instance, body)
        if name == _LEAVE:
            return self._node.leave(ids.InstanceId(instance)).addCallback(lambda _: ())
        message = f'{name!r} is neither {_HEARTBEAT} nor {_LEAVE}'
        return defer.succeed(findings.single('call', message))

    def _heartbeat(self, instance: str, body: bytes) -> defer.Deferred[findings.Findings]:
        decoded = documents.decode_heartbeat(instance, body)
        if isinstance(decoded, tuple):
            return defer.succeed(decoded)
        return self._node.heartbeat(decoded)


class _CallHandler:
    """Handler of one control call; see `http_exchange.RequestHandler`."""

    def __init__(self, control: Control, exchange: http_exchange.ServerExchange) -> None:
        self._control = control
        self._exchange = exchange
        self._body = b''
        self._is_too_large = False

    def body_received(self, data: bytes) -> None:
        """Collect a part of the body, up to the size limit."""
        self._is_too_large |= len(self._body) + len(data) > _MAX_BODY_BYTES
        if not self._is_too_large:
            self._body += data

    def request_ended(self) -> None:
        """Execute the call and respond; one whose body is too large is rejected."""
        if self._is_too_large:
            problems = findings.single('call', f'body exceeds {_MAX_BODY_BYTES} bytes')
            self._respond(problems, _STATUS_TOO_LARGE)
            return
        executed = self._control.execute(self._exchange.head.target, self._body)
        executed.addCallbacks(self._respond, self._respond_not_stored)

    def _respond(
        self, problems: findings.Findings, status_of_problems: int = _STATUS_BAD_REQUEST
    ) -> None:
        for problem in problems:
            event_log.warn('control_call_refused', place=problem.place, reason=problem.message)
        if problems:
            self._exchange.respond(status_of_problems, findings.report(problems).encode())
        else:
            self._exchange.respond(_STATUS_OK, b'{}', _JSON)

    def _respond_not_stored(self, error: failure.Failure) -> None:
        error.trap(member_records.LeaveNotStoredError)
        event_log.warn('leave_not_acknowledged', reason=error.value)
        self._exchange.respond(_STATUS_UNAVAILABLE, f'{error.value}\n'.encode())

    def request_aborted(self) -> None:
        """End the exchange without a response, since the connection is lost or closing."""
        self._exchange.ended = True

    def response_writes_paused(self, paused: bool) -> None:
        """Ignore backpressure: responses are small."""
