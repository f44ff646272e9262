"""Health checks of the backend server of a node; they report its load if no response does."""

from __future__ import annotations

from typing import Any

from twisted.internet import interfaces

from anvillug import clock
from anvillug.connection import http_client, http_head, write_batch
from anvillug.process import mesh_host, upstream
from anvillug.request import dialect

_MIN_INTERVAL_MS = 50.0
# Age of the reported load from which a health check is sent. A host judges jobs by a load that is
# less than 120 ms old, and the response takes some milliseconds.
_MAX_LOAD_AGE_MS = 100.0

# Interval of health checks while responses report the load: only a health check shows that the
# backend server has become cold.
_MAX_INTERVAL_MS = 200.0
# Shortest pause before the age is checked again: timers that fire early would be busy.
_MIN_PAUSE_MS = 5.0
_TIMEOUT_S = 0.5
_MS_PER_SECOND = 1000.0


class UpstreamProbe:
    """Sends health checks to the backend server.

    Args:
        reactor: Timers.
        time: Clock.
        host: Host side of the node; provides the connections.
        header_dialect: Reads the headers of the backend server.
        max_per_second: Maximum number of health checks per second.
    """

    def __init__(
        self,
        reactor: Any,
        time: clock.Clock,
        host: mesh_host.MeshHost,
        header_dialect: dialect.Dialect,
        max_per_second: float,
    ) -> None:
        self._reactor = reactor
        self._clock = time
        self._host = host
        self._dialect = header_dialect
        self._interval_ms = max(_MIN_INTERVAL_MS, 2 * _MS_PER_SECOND / max(1.0, max_per_second))
        self._request: _HealthRequest | None = None
        self._reports_load = True
        self._sent_at = clock.Milliseconds(0)

    def start(self) -> None:
        """Send health checks until the process ends."""
        self._reactor.callLater(clock.to_seconds(self._interval_ms), self._tick)

    def _tick(self) -> None:
        now = self._clock.now()
        due_ms = self._due_ms(now)
        # First, so that a failure does not end the task.
        self._reactor.callLater(clock.to_seconds(self._pause_ms(due_ms)), self._tick)
        backend = self._host.upstream
        policy = self._host.policy()
        serving = backend.state is upstream.UpstreamState.SERVING
        if due_ms <= 0 and serving and policy is not None and self._request is None:
            self._sent_at = now
            request = _HealthRequest(self, policy.health_path, policy.name)
            self._request = request
            request.timer = self._reactor.callLater(_TIMEOUT_S, request.expire)
            self._host.pool().acquire(request.connected, request.unreachable)

    def _due_ms(self, now: clock.Milliseconds) -> float:
        """Return the time until a health check is due; 0 or less if it is."""
        since_sent_ms = now - self._sent_at
        age_ms = self._host.upstream.load_age_ms
        due_ms = min(_MAX_LOAD_AGE_MS - age_ms, _MAX_INTERVAL_MS - since_sent_ms)
        return max(due_ms, self._interval_ms - since_sent_ms)

    def _pause_ms(self, due_ms: float) -> float:
        # If health checks report no load, they are sent once per second.
        if not self._reports_load:
            return _MS_PER_SECOND
        return max(due_ms, _MIN_PAUSE_MS) if due_ms > 0 else self._interval_ms

    def is_copy(self, head: http_head.ResponseHead) -> bool:
        """Return whether a response is a late copy of the response to a call."""
        return bool(self._dialect.echoed_id(head))

    def response_received(self, head: http_head.ResponseHead) -> None:
        """Apply the response to a health check."""
        report = self._dialect.read_health(head)
        backend = self._host.upstream
        self._reports_load = report.load is not None
        if report.instance and report.instance != backend.instance:
            self._host.backend_lost('another instance responds to the health check')
            return
        backend.record_load(report.load)
        if report.cold_ms > backend.cold_ms:
            backend.set_cold(report.cold_ms)

    def request_ended(self, *, unreachable: bool) -> None:
        """Allow the next health check.

        Args:
            unreachable: Whether no connection to the backend server was available.
        """
        self._request = None
        if unreachable:
            self._host.backend_lost('no connection for a health check')


class _HealthRequest:
    """One health check; see `http_client.ResponseHandler`."""

    def __init__(self, probe: UpstreamProbe, path: bytes, service: str) -> None:
        self.timer: interfaces.IDelayedCall | None = None
        """Calls `expire`; cancelled once the health check has ended."""
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
        with write_batch.BATCH:
            connection.request(http_head.RequestHead(b'GET', self._path, headers), self)
            connection.end_request()

    def unreachable(self) -> None:
        """End the health check without a connection."""
        self._finish(unreachable=True)

    def expire(self) -> None:
        """Cancel the health check if it has not ended in time."""
        if not self._done:
            if self._connection is not None:
                self._connection.cancel()
            self._finish()

    def response_continue(self) -> None:
        """Ignore status 100."""

    def response_head(self, head: http_head.ResponseHead) -> None:
        """Forward the response, or wait on after a late copy of another one."""
        if self._done:
            return
        if not self._probe.is_copy(head):
            self._probe.response_received(head)
        elif not self._connection.skip_response():
            self._connection.cancel()
            self._finish()

    def response_body(self, data: bytes) -> None:
        """Ignore the body."""

    def response_ended(self) -> None:
        """End the health check after the complete response."""
        self._finish()

    def response_failed(self, reason: http_client.ClientFailure) -> None:
        """End the health check without a complete response."""
        self._finish()

    def request_writes_paused(self, paused: bool) -> None:
        """Ignore backpressure: the request has no body."""

    def _finish(self, *, unreachable: bool = False) -> None:
        if not self._done:
            self._done = True
            if self.timer is not None and self.timer.active():
                self.timer.cancel()
            self._probe.request_ended(unreachable=unreachable)
