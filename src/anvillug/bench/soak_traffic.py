"""Callers of a soak.

Callers keep their connections open and use them until the process at the other end is gone.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable
from typing import Any

from anvillug import clock
from anvillug.bench import soak_classes, soak_records
from anvillug.connection import http_client, http_head, http_pool

_ATTEMPT_ID = b'Anvillug-Attempt-Id'
_SEAL_NAME = b'anvillug-server-seal'
_STATUS_OK = 200
# A caller gives up after twice its deadline, but not while an answer may still be in time.
_MIN_GIVE_UP_MS = 600

OnEnd = Callable[[bool], None]
"""Called at the end of a request, with whether it has succeeded."""


class Callers:
    """Callers at all nodes.

    Args:
        reactor: Twisted reactor.
        addresses: Address for callers at each node.
        records: Receives the attempts.
        rng: Source of arrivals and sizes.
    """

    def __init__(
        self,
        reactor: Any,
        addresses: list[str],
        records: soak_records.Records,
        rng: random.Random,
    ) -> None:
        self.stopped = False
        """Whether no more requests are sent."""
        self._reactor = reactor
        self._records = records
        self._rng = rng
        self._numbers = itertools.count(1)
        self._pools = []
        for address in addresses:
            host, _, port = address.rpartition(':')
            self._pools.append(http_pool.Pool(reactor, host, int(port), max_connections=200))

    def start(self, request_class: soak_classes.RequestClass) -> None:
        """Send the requests of a class at random times until `stopped`."""
        if self.stopped:
            return
        pause_s = self._rng.expovariate(request_class.per_second)
        self._reactor.callLater(pause_s, self.start, request_class)
        self.send(request_class)

    def send(self, request_class: soak_classes.RequestClass) -> None:
        """Send one request to a random node."""
        self.send_to(self._rng.randrange(len(self._pools)), request_class, _ignore_end)

    def send_to(self, node: int, request_class: soak_classes.RequestClass, on_end: OnEnd) -> None:
        """Send one request to a node.

        Args:
            node: Number of the node.
            request_class: Kind of the request.
            on_end: Called once.
        """
        mean_bytes = request_class.body_bytes
        size = int(self._rng.expovariate(1 / mean_bytes)) if mean_bytes else 0
        request = _CallerRequest(
            self._reactor,
            self._records,
            request_class,
            node,
            f'a{next(self._numbers)}',
            size,
            on_end,
        )
        self._pools[node].acquire(request.connected, request.not_sent)


class _CallerRequest:
    """One request of a caller; see `http_client.ResponseHandler`."""

    def __init__(  # noqa: WPS211 - all describe one request
        self,
        reactor: Any,
        records: soak_records.Records,
        request_class: soak_classes.RequestClass,
        node: int,
        attempt_id: str,
        body_bytes: int,
        on_end: OnEnd,
    ) -> None:
        self._on_end = on_end
        self._reactor = reactor
        self._records = records
        self._class = request_class
        self._time = clock.SystemClock()
        self._body_bytes = body_bytes
        self._connection: http_client.ClientConnection | None = None
        self._attempt = soak_records.Attempt(
            attempt_id, node, request_class.repeatable, self._time.now()
        )
        self._attempt.route = request_class.route

    def connected(self, connection: http_client.ClientConnection) -> None:
        """Send the request, unless another process holds the port of the node."""
        if self._attempt.node in self._records.foreign_listeners:
            self._on_end(False)  # noqa: FBT003 the argument has no name
            return
        self._connection = connection
        attempt = self._attempt
        deadline_ms = self._class.deadline_ms
        give_up_ms = max(2 * deadline_ms, deadline_ms + _MIN_GIVE_UP_MS)
        attempt.sent_at = self._time.now()
        attempt.written_at = attempt.sent_at
        attempt.timeout_ms = deadline_ms
        attempt.kept = connection.requests_sent > 0
        self._records.attempts.append(attempt)
        self._reactor.callLater(clock.to_seconds(give_up_ms), self._give_up)
        headers = [
            (b'Host', soak_classes.HOST.encode()),
            (_ATTEMPT_ID, attempt.attempt_id.encode()),
            (b'Anvillug-Deadline-Ms', b'%d' % deadline_ms),
        ]
        method = b'GET' if self._class.repeatable else b'POST'
        if method == b'POST':
            headers.append((b'Content-Length', b'%d' % self._body_bytes))
        target = f'/{self._class.route}/'.encode()
        connection.request(http_head.RequestHead(method, target, headers), self)
        connection.send_body(bytes(self._body_bytes))
        connection.end_request()

    def not_sent(self) -> None:
        """Ignore a request for which there is no connection."""
        self._on_end(False)  # noqa: FBT003 the argument has no name

    def response_continue(self) -> None:
        """Ignore status 100."""

    def response_head(self, head: http_head.ResponseHead) -> None:
        """Record the status, and whether a backend server has sealed the answer."""
        self._attempt.status = head.status
        self._attempt.sealed = head.get(_SEAL_NAME) is not None

    def response_body(self, data: bytes) -> None:
        """Collect the body."""
        self._attempt.body += data

    def response_ended(self) -> None:
        """Record the end of the answer."""
        if self._attempt.ended_at is None:
            self._attempt.ended_at = self._time.now()
            self._on_end(self._attempt.status == _STATUS_OK)

    def response_failed(self, reason: http_client.ClientFailure) -> None:
        """Record that the connection was closed without a whole answer."""
        if self._attempt.ended_at is None:
            self._attempt.status = 0
            self._attempt.ended_at = self._time.now()
            self._on_end(False)  # noqa: FBT003 the argument has no name

    def request_writes_paused(self, paused: bool) -> None:
        """Record when the request was sent completely; while writes are paused, it is not."""
        self._attempt.written_at = None if paused else self._time.now()

    def _give_up(self) -> None:
        if self._attempt.ended_at is None:
            self._attempt.gave_up = True
            self._attempt.ended_at = self._time.now()
            self._connection.cancel()
            self._on_end(False)  # noqa: FBT003 the argument has no name


def _ignore_end(succeeded: bool) -> None:
    """Ignore the end of a request on which nothing waits."""
