"""Rejects a request whose body has not been received, and keeps its connection if it can.

A response before the end of the request closes the connection, and costs a caller that sends ahead
the requests behind it. The rest of a small body mostly follows at once.
"""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet import interfaces

from anvillug.connection import http_exchange

_MAX_WAIT_S = 0.1
_MAX_BODY_BYTES = 64 * 1024


class Rejection:
    """Handler of a rejected request; see `http_exchange.RequestHandler`.

    Responds at the end of the request, or at once if the body is large, awaits status 100 or
    doesn't follow soon.

    Args:
        reactor: Timers.
        exchange: Exchange with the caller.
        respond: Sends the response.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        exchange: http_exchange.ServerExchange,
        respond: Callable[[], None],
    ) -> None:
        self._respond = respond
        self._body_bytes = 0
        self._timer: interfaces.IDelayedCall | None = None
        exchange.handler = self
        head = exchange.head
        is_small = head.content_length <= _MAX_BODY_BYTES
        if head.has_body and is_small and exchange.expects_body:
            self._timer = reactor.callLater(_MAX_WAIT_S, self.request_ended)
        else:
            respond()

    def body_received(self, data: bytes) -> None:
        """Discard a chunk of the body."""
        self._body_bytes += len(data)
        if self._body_bytes > _MAX_BODY_BYTES:
            self.request_ended()

    def request_ended(self) -> None:
        """Respond, since the request is complete or is awaited no longer."""
        self.request_aborted()
        self._respond()

    def request_aborted(self) -> None:
        """End the wait, since the caller disconnected."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def response_writes_paused(self, paused: bool) -> None:
        """Ignore backpressure: the response is small."""
