"""gRPC server of the control protocol.

gRPC threads hold no state: they pass each request to the reactor thread and wait
for the reply for a limited time.
"""

from __future__ import annotations

import errno
import importlib
from collections.abc import Callable
from concurrent import futures
from typing import Any, Protocol

from twisted.internet import defer

from anvillug.connection import control_messages

THREADS = 2  # a node receives about one exchange per second
MAX_CONCURRENT_EXCHANGES = 16
REPLY_TIMEOUT_MS = 900.0  # slightly less than the caller's deadline of 1 s
# The caller's deadline includes opening its connection. A failure that is reported this long before
# the deadline reaches the caller with its reason.
_REPLY_MARGIN_MS = 100.0
# Nodes that exchange messages do so about once per second.
_HANDSHAKE_TIMEOUT_MS = 30_000
_IDLE_TIMEOUT_MS = 300_000
_MS_PER_SECOND = 1000.0

Handler = Callable[[control_messages.Request], Any]
"""Handles a request in the reactor thread; returns a `Reply` or a Deferred of one."""


class ReactorFromThreads(Protocol):
    """The part of the reactor that accepts calls from other threads."""

    def callFromThread(self, call: Callable[..., Any], *args: Any) -> None:  # noqa: N802
        """Run a call in the reactor thread."""


class ControlServer:
    """Serves exchanges with other nodes.

    Args:
        reactor: Runs the handler.
        handler: Handles each request in the reactor thread.
        reply_timeout_ms: Time limit for the reply of the handler.
    """

    def __init__(
        self,
        reactor: ReactorFromThreads,
        handler: Handler,
        reply_timeout_ms: float = REPLY_TIMEOUT_MS,
    ) -> None:
        self._reactor = reactor
        self._handler = handler
        self._reply_timeout_seconds = reply_timeout_ms / _MS_PER_SECOND
        self._server: Any = None
        self.bytes_received = 0
        """Bytes of encoded requests, without framing."""
        self.bytes_sent = 0
        """Bytes of encoded replies, without framing."""
        self.timeouts = 0
        """Number of requests to which the handler did not reply in time."""

    def start(self, address: str) -> int:
        """Listen for exchanges.

        Args:
            address: `ip:port`; port 0 selects a free one.

        Returns:
            The port that is listened on.

        Raises:
            OSError: If the address can't be bound.
        """
        # Imported here, so that programs that use only the logic do not load gRPC (9 MB).
        grpc = importlib.import_module('grpc')
        stubs = importlib.import_module('anvillug.connection._control_pb2_grpc')
        options = (
            ('grpc.max_receive_message_length', control_messages.MAX_MESSAGE_BYTES),
            ('grpc.so_reuseport', 0),
            ('grpc.server_handshake_timeout_ms', _HANDSHAKE_TIMEOUT_MS),
            ('grpc.max_connection_idle_ms', _IDLE_TIMEOUT_MS),
        )
        self._server = grpc.server(
            futures.ThreadPoolExecutor(THREADS, 'control'),
            options=options,
            maximum_concurrent_rpcs=MAX_CONCURRENT_EXCHANGES,
        )
        stubs.add_ControlServicer_to_server(self, self._server)
        try:
            port = self._server.add_insecure_port(address)
        except RuntimeError as error:
            raise OSError(errno.EADDRINUSE, str(error)) from error
        self._server.start()
        return port

    def stop(self, grace_ms: float = 0) -> None:
        """Stop listening; exchanges in progress are cancelled after the grace time."""
        if self._server is not None:
            self._server.stop(grace_ms / _MS_PER_SECOND)
            self._server = None

    def dump(self) -> dict[str, int]:
        """Return counts for the state dump."""
        return {
            'bytes_sent': self.bytes_sent,
            'bytes_received': self.bytes_received,
            'timeouts': self.timeouts,
        }

    def Exchange(self, message: Any, context: Any) -> Any:  # noqa: N802
        """Handle one exchange; called by gRPC in one of its threads."""
        grpc = importlib.import_module('grpc')
        try:
            request = control_messages.request_from_wire(message)
        except control_messages.MalformedError as error:
            return context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
        reply_future: futures.Future = futures.Future()
        self._reactor.callFromThread(self._run_handler, request, reply_future)
        try:
            reply = reply_future.result(self._seconds_to_reply(context))
        except futures.TimeoutError:
            # Cancelled, so that a request that still waits for the reactor is discarded.
            reply_future.cancel()
            self._reactor.callFromThread(self._count_timeout)
            return context.abort(grpc.StatusCode.UNAVAILABLE, 'no reply in time')
        except Exception as error:
            return context.abort(grpc.StatusCode.INTERNAL, type(error).__name__)
        encoded = control_messages.reply_to_wire(reply)
        self._reactor.callFromThread(self._count_bytes, message.ByteSize(), encoded.ByteSize())
        return encoded

    def _seconds_to_reply(self, context: Any) -> float:
        remaining_s = context.time_remaining()
        if remaining_s is None:
            return self._reply_timeout_seconds
        margin_s = _REPLY_MARGIN_MS / _MS_PER_SECOND
        return min(self._reply_timeout_seconds, max(0.0, remaining_s - margin_s))

    def _run_handler(self, request: control_messages.Request, reply_future: futures.Future) -> None:
        if not reply_future.set_running_or_notify_cancel():
            return
        result = defer.maybeDeferred(self._handler, request)
        result.addCallbacks(
            reply_future.set_result, lambda failure: reply_future.set_exception(failure.value)
        )

    def _count_bytes(self, received: int, sent: int) -> None:
        self.bytes_received += received
        self.bytes_sent += sent

    def _count_timeout(self) -> None:
        self.timeouts += 1
