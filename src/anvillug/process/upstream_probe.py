"""Health checks of the backend server beside a node, for its load where no answer tells it."""

from __future__ import annotations

from typing import Any

from anvillug import clock
from anvillug.connection import http_client, http_head
from anvillug.process import mesh_host, upstream
from anvillug.request import dialect

INTERVAL_MS = 50.0
"""Age of the load from which a probe is sent."""

# Answers tell the load, but only a health check tells that the backend server has turned cold.
_LONGEST_PAUSE_MS = 200.0
_TIMEOUT_S = 0.5
_MS_PER_SECOND = 1000.0


class UpstreamProbe:
    """Sends health checks.

    Args:
        reactor: Timers.
        time: Clock.
        host: Host side, for the connections.
        speech: Headers of the backend server.
        max_per_second: Most probes per second.
    """

    def __init__(
        self,
        reactor: Any,
        time: clock.Clock,
        host: mesh_host.MeshHost,
        speech: dialect.Dialect,
        max_per_second: float,
    ) -> None:
        self._reactor = reactor
        self._clock = time
        self._host = host
        self._dialect = speech
        self._interval_ms = max(INTERVAL_MS, 2 * _MS_PER_SECOND / max(1.0, max_per_second))
        self._request: _HealthRequest | None = None
        self._tells_load = True
        self._sent_at = clock.Milliseconds(0)

    def start(self) -> None:
        """Probe for as long as the process lives."""
        self._reactor.callLater(clock.to_seconds(self._interval_ms), self._tick)

    def _tick(self) -> None:
        own = self._host.upstream
        policy = self._host.policy()
        now = self._clock.now()
        stale = own.load_age_ms >= self._interval_ms or now - self._sent_at >= _LONGEST_PAUSE_MS
        serving = own.state is upstream.UpstreamState.SERVING
        if serving and stale and policy is not None and self._request is None:
            self._sent_at = now
            self._request = _HealthRequest(self, policy.health_path, policy.name)
            self._host.pool().acquire(self._request.connected, self._request.unreachable)
            self._reactor.callLater(_TIMEOUT_S, self._request.expire)
        pause = self._interval_ms if self._tells_load else _MS_PER_SECOND
        self._reactor.callLater(clock.to_seconds(pause), self._tick)

    def answered(self, head: http_head.ResponseHead) -> None:
        """Take the answer to a health check."""
        report = self._dialect.read_health(head)
        own = self._host.upstream
        self._tells_load = report.load is not None
        if report.instance and report.instance != own.instance:
            self._host.backend_lost('another instance answers the health check')
            return
        own.told_load(report.load)
        if report.cold_ms > own.cold_ms:
            own.set_cold(report.cold_ms)

    def over(self, *, unreachable: bool) -> None:
        """Note that the health check has ended."""
        self._request = None
        if unreachable:
            self._host.backend_lost('no connection for a health check')


class _HealthRequest:
    """One health check; see `http_client.ResponseHandler`."""

    def __init__(self, probe: UpstreamProbe, path: bytes, service: str) -> None:
        self._probe = probe
        self._path = path
        self._service = service
        self._connection: http_client.ClientConnection | None = None
        self._done = False

    def connected(self, connection: http_client.ClientConnection) -> None:
        """Send the request."""
        if self._done:
            return
        self._connection = connection
        headers = [(b'Host', self._service.encode())]
        connection.request(http_head.RequestHead(b'GET', self._path, headers), self)
        connection.end_request()

    def unreachable(self) -> None:
        """Note that there is no connection."""
        self._finish(unreachable=True)

    def expire(self) -> None:
        """Give up on a health check without an answer."""
        if not self._done:
            if self._connection is not None:
                self._connection.cancel()
            self._finish()

    def response_continue(self) -> None:
        """Ignore status 100."""

    def response_head(self, head: http_head.ResponseHead) -> None:
        """Pass the answer on."""
        if not self._done:
            self._probe.answered(head)

    def response_body(self, data: bytes) -> None:
        """Ignore the body."""

    def response_ended(self) -> None:
        """Note the end of the answer."""
        self._finish()

    def response_failed(self, reason: http_client.ClientFailure) -> None:
        """Note that there is no answer."""
        self._finish()

    def request_writes_paused(self, paused: bool) -> None:
        """Ignore backpressure: there is no body."""

    def _finish(self, *, unreachable: bool = False) -> None:
        if not self._done:
            self._done = True
            self._probe.over(unreachable=unreachable)
