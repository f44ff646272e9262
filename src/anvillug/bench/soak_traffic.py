"""Traffic of a soak: its callers, and the calls of its backend servers.

Callers run in processes of their own; see `socket_callers`. Calls between services are sent by the
loop of the soak itself, and are judged by its times.
"""

from __future__ import annotations

import itertools
import math
import sys
from collections.abc import Callable, Sequence
from typing import Any

from anvillug import clock
from anvillug.bench import (
    processes,
    soak_classes,
    soak_records,
    socket_callers,
    socket_exchange,
)
from anvillug.connection import http_client, http_head, http_pool

_ATTEMPT_ID = b'Anvillug-Attempt-Id'
_SEAL_NAME = b'anvillug-server-seal'
_STATUS_OK = 200
# A caller gives up after twice its deadline, but not while an answer may still be in time.
_MIN_GIVE_UP_MS = 600
_PROGRAM = (sys.executable, '-m', 'anvillug.bench.socket_callers')
_CONNECTIONS_PER_PROCESS = 60
# Requests a second of one connection.
_RATE_OF_A_CONNECTION = 2.0
OWN_LOOP = 'own loop'
"""Judge of calls between services."""

OnEnd = Callable[[bool], None]
"""Called at the end of a request, with whether it has succeeded."""


class CallerProcesses:
    """Callers at all nodes, in processes of their own.

    Args:
        addresses: Address for callers at each node.
        classes: Requests that they send.
        seed: Seed of times, sizes and habits.
        duration_s: Time during which they send.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        classes: Sequence[soak_classes.RequestClass],
        seed: int,
        duration_s: float,
    ) -> None:
        self._classes_by_target = {f'/{each.route}/': each for each in classes}
        rate = sum(each.per_second for each in classes)
        connections = math.ceil(rate / _RATE_OF_A_CONNECTION / len(addresses))
        count = math.ceil(connections * len(addresses) / _CONNECTIONS_PER_PROCESS)
        connections = math.ceil(connections / count)
        messages = [
            socket_exchange.Message(
                'GET' if each.repeatable else 'POST',
                target,
                soak_classes.HOST,
                each.deadline_ms,
                each.body_bytes,
                each.per_second,
            )
            for target, each in self._classes_by_target.items()
        ]
        self._plans = [
            socket_callers.Plan(
                f'c{number}',
                addresses,
                connections,
                [
                    each.value
                    for each in socket_exchange.Habit
                    if each is not socket_exchange.Habit.LEAVES
                ],
                duration_s,
                messages,
                seed,
                per_second=rate / (count * connections * len(addresses)),
                some_leave=True,
            )
            for number in range(count)
        ]
        self._processes: list[processes.ChildProcess] = []

    @property
    def running(self) -> bool:
        """Whether a process still waits for answers."""
        return any(each.running for each in self._processes)

    def start(self) -> None:
        """Start the processes."""
        self._processes = [
            processes.ChildProcess((plan.encode(),), _PROGRAM, has_input=True)
            for plan in self._plans
        ]

    def burst(self, requests: int) -> None:
        """Send requests within a second besides."""
        for number, process in enumerate(self._processes):
            share = len(range(number, requests, len(self._processes)))
            process.write(f'{share}\n')

    def stop(self) -> None:
        """End the processes that have not ended."""
        for process in self._processes:
            process.kill()

    def record(self, records: soak_records.Records) -> None:
        """Add the attempts of the callers to the records, once the processes have ended.

        Not those on connections that another process had accepted, which held the node's port.

        Raises:
            ValueError: If a process has printed something else.
        """
        for process in self._processes:
            for sent in socket_callers.read_lines(process.output()):
                records.unrecorded[sent.habit, 'refused'] += sent.refused
                if records.is_foreign(sent.node, sent.connecting_at, sent.connected_at):
                    records.unrecorded[sent.habit, 'at another process'] += 1
                else:
                    records.attempts.append(self._attempt(sent))
        records.attempts.sort(key=lambda attempt: attempt.sent_at)

    def _attempt(self, sent: socket_exchange.Sent) -> soak_records.Attempt:
        request_class = self._classes_by_target[sent.target]
        return soak_records.Attempt(
            sent.attempt_id,
            sent.node,
            request_class.repeatable,
            clock.Milliseconds(sent.sent_at),
            sent.status,
            sent.body.encode('latin-1'),
            clock.Milliseconds(sent.ended_at),
            sent.ending == socket_exchange.Ending.TIMEOUT.value,
            clock.Milliseconds(sent.written_at) if sent.written_at else None,
            request_class.deadline_ms,
            sent.kept,
            sent.sealed,
            sent.echoed_id,
            sent.ending == socket_exchange.Ending.GARBLED.value,
            sent.caller,
            sent.stalled_ms,
            sent.habit,
            sent.ending == socket_exchange.Ending.LEFT.value,
            route=request_class.route,
        )


class Callers:
    """All senders of requests in a soak.

    Args:
        reactor: Twisted reactor.
        addresses: Address for callers at each node.
        records: Receives the attempts.
        outside: Callers in processes of their own.
    """

    def __init__(
        self,
        reactor: Any,
        addresses: Sequence[str],
        records: soak_records.Records,
        outside: CallerProcesses,
    ) -> None:
        self.stopped = False
        """Whether no more faults begin."""
        self.burst = outside.burst
        """Sends requests within a second besides."""
        self._reactor = reactor
        self._records = records
        self._numbers = itertools.count(1)
        self._pools = []
        for address in addresses:
            host, _, port = address.rpartition(':')
            self._pools.append(http_pool.Pool(reactor, host, int(port), max_connections=200))

    def send_to(self, node: int, request_class: soak_classes.RequestClass, on_end: OnEnd) -> None:
        """Send a call of a backend server to a node.

        Args:
            node: Number of the node.
            request_class: Kind of the request, without a body.
            on_end: Called once.
        """
        attempt_id = f'a{next(self._numbers)}'
        request = _Call(self._reactor, self._records, request_class, node, attempt_id, on_end)
        self._pools[node].acquire(request.connected, request.not_sent)


class _Call:
    """One call of a backend server; see `http_client.ResponseHandler`."""

    def __init__(  # noqa: WPS211 - all describe one request
        self,
        reactor: Any,
        records: soak_records.Records,
        request_class: soak_classes.RequestClass,
        node: int,
        attempt_id: str,
        on_end: OnEnd,
    ) -> None:
        self._on_end = on_end
        self._reactor = reactor
        self._records = records
        self._class = request_class
        self._time = clock.SystemClock()
        self._connection: http_client.ClientConnection | None = None
        self._attempt = soak_records.Attempt(
            attempt_id, node, request_class.repeatable, self._time.now()
        )
        self._attempt.route = request_class.route

    def connected(self, connection: http_client.ClientConnection) -> None:
        """Send the request, unless another process holds the port of the node."""
        now = self._time.now()
        if self._records.is_foreign(self._attempt.node, now, now):
            self._on_end(False)  # noqa: FBT003 the argument has no name
            return
        self._connection = connection
        attempt = self._attempt
        deadline_ms = self._class.deadline_ms
        give_up_ms = max(2 * deadline_ms, deadline_ms + _MIN_GIVE_UP_MS)
        attempt.sent_at = self._time.now()
        attempt.written_at = attempt.sent_at
        attempt.timeout_ms = deadline_ms
        attempt.judge = OWN_LOOP
        attempt.kept = connection.requests_sent > 0
        self._records.attempts.append(attempt)
        self._reactor.callLater(clock.to_seconds(give_up_ms), self._give_up)
        headers = [
            (b'Host', soak_classes.HOST.encode()),
            (_ATTEMPT_ID, attempt.attempt_id.encode()),
            (b'Anvillug-Deadline-Ms', b'%d' % deadline_ms),
        ]
        target = f'/{self._class.route}/'.encode()
        connection.request(http_head.RequestHead(b'GET', target, headers), self)
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
        self._attempt.echoed_id = (head.get(_ATTEMPT_ID.lower()) or b'').decode('latin-1')

    def response_body(self, data: bytes) -> None:
        """Collect the body."""
        self._attempt.body += data

    def response_ended(self) -> None:
        """Record the end of the answer."""
        if self._attempt.ended_at is None:
            self._end(succeeded=self._attempt.status == _STATUS_OK)

    def response_failed(self, reason: http_client.ClientFailure) -> None:
        """Record that the connection was closed without a whole answer."""
        if self._attempt.ended_at is None:
            self._attempt.status = 0
            self._end(succeeded=False)

    def request_writes_paused(self, paused: bool) -> None:
        """Record when the request was sent completely; while writes are paused, it is not."""
        self._attempt.written_at = None if paused else self._time.now()

    def _give_up(self) -> None:
        if self._attempt.ended_at is None:
            self._attempt.gave_up = True
            self._end(succeeded=False)
            self._connection.cancel()

    def _end(self, *, succeeded: bool) -> None:
        attempt = self._attempt
        attempt.ended_at = self._time.now()
        attempt.stalled_ms = self._records.stalls.longest_ms(attempt.sent_at, attempt.ended_at)
        self._on_end(succeeded)
