"""Responds to a resent request with the response of the call that holds its idempotency key."""

from __future__ import annotations

from twisted.internet import interfaces

from anvillug import clock, ids
from anvillug.connection import http_exchange, http_head, http_pool
from anvillug.request import attempt as attempts
from anvillug.request import claim

_TIMEOUT_S = 30.0
_STATUS_CONFLICT = 409
_STATUS_UNAVAILABLE = 503
_KEYED_TARGET = b'/-/keyed'


class Replay:
    """One resent request; fetches the response from the entry side of the first call.

    Args:
        reactor: Timers.
        time: Clock.
        exchange: Exchange with the caller.
        winner: Claim of the first call, which holds the key.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        time: clock.Clock,
        exchange: http_exchange.ServerExchange,
        winner: claim.Claim,
    ) -> None:
        self._exchange = exchange
        self._winner = winner
        self._attempt = attempts.Attempt(
            self,
            self,
            winner.host_id,
            winner.incarnation,
            str(winner.call_id).encode(),
            attempts.AttemptKind.RESOLVE,
            time.now(),
        )
        self._timer = reactor.callLater(_TIMEOUT_S, self._timed_out)
        exchange.handler = self

    def start(self, pool: http_pool.Pool | None) -> None:
        """Request the response from the entry side of the first call.

        Args:
            pool: Connections to its host; None if the host is not known.
        """
        if pool is None:
            self._respond_conflict('its host is gone')
        else:
            self._attempt.begin(pool)

    # From the caller

    def body_received(self, data: bytes) -> None:
        """Ignore the body of the resent request."""

    def request_ended(self) -> None:
        """Do nothing: the response does not depend on the body."""

    def request_aborted(self) -> None:
        """Cancel, since the caller disconnected."""
        self._stop()

    def response_writes_paused(self, paused: bool) -> None:
        """Ignore backpressure: stored responses are small."""

    # From the attempt

    def attempt_connected(self, attempt: attempts.Attempt) -> None:
        """Send the request; see `attempt.AttemptOwner`."""
        connection = attempt.connection
        if connection is None:
            return
        headers = [
            (b'Host', b'node'),
            (b'Content-Length', b'0'),
            (b'Anvillug-Call', str(self._winner.call_id).encode()),
            (b'Anvillug-Incarnation', b'%d' % self._winner.incarnation),
        ]
        connection.request(http_head.RequestHead(b'POST', _KEYED_TARGET, headers), attempt)
        connection.end_request()

    def attempt_continue(self, attempt: attempts.Attempt) -> None:
        """Continue to wait: the first call is still running."""

    def attempt_responded(self, attempt: attempts.Attempt, head: http_head.ResponseHead) -> None:
        """Forward the head."""
        headers = http_head.end_to_end_headers(head.headers)
        headers.append((b'Anvillug-Replayed', b'1'))
        self._exchange.send_head(http_head.ResponseHead(head.status, headers, head.reason))

    def attempt_body(self, attempt: attempts.Attempt, data: bytes) -> None:
        """Forward a chunk of the response."""
        self._exchange.send_body(data)

    def attempt_ended(self, attempt: attempts.Attempt) -> None:
        """Complete the response."""
        self._stop()
        self._exchange.finish()

    def attempt_not_run(self, attempt: attempts.Attempt, reason: str) -> None:
        """Respond that the first call has not run, so that the request may be resent."""
        if attempt.connect_failed:
            self._respond_conflict('its host does not answer')
        else:
            self._respond(_STATUS_UNAVAILABLE, b'not-run', f'first call: {reason}')

    def attempt_unknown(self, attempt: attempts.Attempt, reason: str) -> None:
        """Respond that the outcome of the first call is unknown."""
        self._respond_conflict(reason)

    def attempt_broken(self, attempt: attempts.Attempt) -> None:
        """Respond that the outcome is unknown, or abort a response that was begun."""
        if self._exchange.head_sent:
            self._stop()
            self._exchange.abort()
        else:
            self._respond_conflict('its host does not answer')

    def request_writes_paused(self, paused: bool) -> None:
        """Ignore backpressure: the request is small."""

    def load_received(self, host_id: ids.HostId, text: bytes) -> None:
        """Ignore the load; see `attempt.LoadSink`."""

    # Private

    def _respond_conflict(self, reason: str) -> None:
        self._respond(
            _STATUS_CONFLICT,
            b'unknown',
            f'the idempotency key is held by call {self._winner.call_id}: {reason}',
        )

    def _respond(self, status: int, outcome: bytes, reason: str) -> None:
        self._stop()
        headers = [
            (b'Anvillug-Outcome', outcome),
            (b'Anvillug-Reason', reason.encode('latin-1', 'replace')),
        ]
        if status == _STATUS_UNAVAILABLE:
            headers.append((b'Retry-After', b'1'))
        self._exchange.respond(status, f'{reason}\n'.encode(), tuple(headers))

    def _timed_out(self) -> None:
        self._respond_conflict('it is still running')

    def _stop(self) -> None:
        if self._timer.active():
            self._timer.cancel()
        if not self._attempt.done:
            self._attempt.cancel()
