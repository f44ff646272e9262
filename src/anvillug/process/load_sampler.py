"""Cheap load samples from other nodes, over the connections that carry calls."""

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
    """One sample; a host that does not answer in time has a silent connection.

    Args:
        reactor: Timers.
        host_id: Host that is asked.
        timeout_s: Time limit in seconds.
        received: Called with the load header.
        silent: Called when no answer came in time.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        host_id: ids.HostId,
        timeout_s: float,
        received: Callable[[ids.HostId, bytes], None],
        silent: Callable[[ids.HostId], None],
    ) -> None:
        self._host_id = host_id
        self._received = received
        self._silent = silent
        self._connection: http_client.ClientConnection | None = None
        self._over = False
        self._timer = reactor.callLater(timeout_s, self._timed_out)

    def start(self, pool: http_pool.Pool) -> None:
        """Send the request on an idle or new connection."""
        pool.acquire(self._connected, self._end)

    def response_continue(self) -> None:
        """Ignore status 100."""

    def response_head(self, head: http_head.ResponseHead) -> None:
        """Pass on the load."""
        load = head.get(b'anvillug-load')
        if load is not None and not self._over:
            self._received(self._host_id, load)

    def response_body(self, data: bytes) -> None:
        """Ignore a body: samples have none."""

    def response_ended(self) -> None:
        """Stop the timer."""
        self._end()

    def response_failed(self, reason: http_client.ClientFailure) -> None:
        """Stop the timer."""
        self._end()

    def request_writes_paused(self, paused: bool) -> None:
        """Ignore backpressure: samples are small."""

    def _connected(self, connection: http_client.ClientConnection) -> None:
        if self._over:
            return
        self._connection = connection
        connection.request(_HEAD, self)
        connection.end_request()

    def _timed_out(self) -> None:
        self._over = True
        if self._connection is not None:
            self._connection.cancel()
        self._silent(self._host_id)

    def _end(self) -> None:
        self._over = True
        if self._timer.active():
            self._timer.cancel()
