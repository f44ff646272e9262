"""Health probes that a host side sends to its backend server, within a budget of slot time."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from twisted.internet import interfaces

from anvillug import clock
from anvillug.connection import http_client, http_head, http_pool
from anvillug.request import probing

_CHECK_INTERVAL_S = 0.05
_STATUS_OK = 200
_HEAD = http_head.RequestHead(b'GET', b'/health', [(b'Host', b'backend')])


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeResult:
    """Result of a probe."""

    latency_ms: float
    """Time to the end of the response, or until the probe failed or timed out."""
    failed: bool
    """Whether there was no response with status 200 before the timeout."""
    unreachable: bool
    """Whether no connection to the backend server was available."""


@dataclasses.dataclass(slots=True)
class ProbeCounters:
    """Probes since the start of the process."""

    sent: int = 0
    """Probes sent."""
    failed: int = 0
    """Probes without a response with status 200 before the timeout."""


class BackendProbe:
    """Sends a probe to the backend server whenever the budget allows one.

    Args:
        reactor: Source of timers.
        time: Clock.
        pool: Returns the connection pool of the backend server; None while there is none.
        probed: Called with the result of each probe.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        time: clock.Clock,
        pool: Callable[[], http_pool.Pool | None],
        probed: Callable[[ProbeResult], None],
    ) -> None:
        # There is no budget until a configuration is in effect.
        self.budget = probing.ProbeBudget(slots=1, percent=0)
        """Budget of slot time; the host side sets slots and percent and counts finished calls."""
        self.counters = ProbeCounters()
        self._reactor = reactor
        self._clock = time
        self._pool = pool
        self._probed = probed
        self._check()

    def dump(self) -> dict[str, object]:
        """Return the state of the probes for operators."""
        return {**dataclasses.asdict(self.counters), 'budget_percent': self.budget.percent}

    def ended(self, result: ProbeResult) -> None:
        """Charge the budget and forward the result; called once for each probe."""
        self.budget.probe_ended(result.latency_ms, self._clock.now())
        self.counters.failed += result.failed
        self._probed(result)

    def _check(self) -> None:
        # First, so that a failure does not end the task.
        self._reactor.callLater(_CHECK_INTERVAL_S, self._check)
        pool = self._pool()
        if pool is not None and self.budget.start_probe(self._clock.now()):
            self.counters.sent += 1
            _Probe(self._reactor, self._clock, self.ended).start(pool)


class _Probe:
    """One probe; implements `http_client.ResponseHandler`."""

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        time: clock.Clock,
        ended: Callable[[ProbeResult], None],
    ) -> None:
        self._clock = time
        self._ended = ended
        self._started_at = time.now()
        self._status = 0
        self._done = False
        self._connection: http_client.ClientConnection | None = None
        timeout_s = clock.to_seconds(probing.PROBE_TIMEOUT_MS)
        self._timer = reactor.callLater(timeout_s, self._timed_out)

    def start(self, pool: http_pool.Pool) -> None:
        """Send the request on an idle or new connection."""
        pool.acquire(self._connected, self._unreachable)

    def response_continue(self) -> None:
        """Ignore status 100."""

    def response_head(self, head: http_head.ResponseHead) -> None:
        """Store the status."""
        self._status = head.status

    def response_body(self, data: bytes) -> None:
        """Ignore the body: it may be outdated or wrong."""

    def response_ended(self) -> None:
        """Finish the probe; it failed unless the status is 200."""
        self._end(failed=self._status != _STATUS_OK)

    def response_failed(self, reason: http_client.ClientFailure) -> None:
        """Finish the probe as failed."""
        self._end(failed=True)

    def request_writes_paused(self, paused: bool) -> None:
        """Ignore backpressure: probes have no body."""

    def _connected(self, connection: http_client.ClientConnection) -> None:
        if self._done:
            return
        self._connection = connection
        connection.request(_HEAD, self)
        connection.end_request()

    def _unreachable(self) -> None:
        self._end(failed=True, unreachable=True)

    def _timed_out(self) -> None:
        self._end(failed=True)
        if self._connection is not None:
            self._connection.cancel()

    def _end(self, *, failed: bool, unreachable: bool = False) -> None:
        if self._done:
            return
        self._done = True
        if self._timer.active():
            self._timer.cancel()
        latency_ms = self._clock.now() - self._started_at
        self._ended(ProbeResult(latency_ms, failed, unreachable))
