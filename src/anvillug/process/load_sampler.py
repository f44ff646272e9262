"""Requests for the load of other nodes, over the connections that carry calls."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet import interfaces

from anvillug import ids
from anvillug.connection import http_client, http_head, http_pool

_HEAD = http_head.RequestHead(
    b'GET',
    b'/-/load',
    [(b'Host', b'node')],
)


class SampleRequest:
    """One request for a load sample; a timeout indicates an unresponsive connection.

    Args:
        reactor: Source of timers.
        host_id: Host that the request is sent to.
        timeout_s: Timeout in seconds.
        received: Called with the host and the value of its load header.
        unresponsive: Called with the host on a timeout.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        host_id: ids.HostId,
        timeout_s: float,
        received: Callable[[ids.HostId, bytes], None],
        unresponsive: Callable[[ids.HostId], None],
    ) -> None:
        self._host_id = host_id
        self._received = received
        self._unresponsive = unresponsive
        self._connection: http_client.ClientConnection | None = None
        self._done = False
        self._timer = reactor.callLater(timeout_s, self._timed_out)

    def start(self, pool: http_pool.Pool) -> None:
        """Send the request on an idle or new connection."""
        pool.acquire(self._connected, self._end)

    def response_continue(self) -> None:
        """Ignore status 100."""

    def response_head(self, head: http_head.ResponseHead) -> None:
        """Forward the load header."""
        load = head.get(b'anvillug-load')
        if load is not None and not self._done:
            self._received(self._host_id, load)

    def response_body(self, data: bytes) -> None:
        """Ignore the body: the response has none."""

    def response_ended(self) -> None:
        """Stop the timer."""
        self._end()

    def response_failed(self, reason: http_client.ClientFailure) -> None:
        """Stop the timer."""
        self._end()

    def request_writes_paused(self, paused: bool) -> None:
        """Ignore backpressure: the request has no body."""

    def _connected(self, connection: http_client.ClientConnection) -> None:
        if self._done:
            return
        self._connection = connection
        connection.request(_HEAD, self)
        connection.end_request()

    def _timed_out(self) -> None:
        self._done = True
        if self._connection is not None:
            self._connection.cancel()
        self._unresponsive(self._host_id)

    def _end(self) -> None:
        self._done = True
        if self._timer.active():
            self._timer.cancel()
