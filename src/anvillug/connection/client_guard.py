"""Applies the limits of clients to the connections of one listener, and reports when they act."""

from __future__ import annotations

from collections.abc import Callable

from anvillug import clock, event_log
from anvillug.connection import client_limits, memory_account

_CHECK_INTERVAL_MS = 500.0
_CONNECTIONS = 'connections'
# Given-up connections keep their descriptors until the next turn of the reactor, while one turn can
# accept a hundred others. Up to this share of the limit is open beyond it meanwhile.
_CLOSING_SHARE = 0.25


class ClientGuard:
    """Limits of one listener.

    Args:
        listener: Name of the listener, for the log and the metrics.
        account: Account of the memory that the process holds for clients.
        time: Clock.
        count: Counts each time that a limit acts, by the names of the listener and the limit.
    """

    def __init__(
        self,
        listener: str,
        account: memory_account.MemoryAccount,
        time: clock.Clock,
        count: Callable[[str], None] | None = None,
    ) -> None:
        self.account = account
        """Account of the memory that the process holds for clients."""
        self.limits = client_limits.UNLIMITED
        """Limits in effect; they also apply to open connections."""
        self.listener = listener
        """Name of the listener."""
        self._clock = time
        self._count = count or _ignore
        self._checked_at = clock.Milliseconds(0)
        self._closing: set[client_limits.Client] = set()

    def check(self, clients: set[client_limits.Client]) -> None:
        """Reject or close the clients that have exceeded a time limit; called again and again."""
        now = self._clock.now()
        if now - self._checked_at < _CHECK_INTERVAL_MS:
            return
        self._checked_at = now
        for client in client_limits.overdue(tuple(clients), self.limits, now):
            self._report(client, client.wait.waiting.value, now)
            client.limit_exceeded(client.wait.waiting)

    def has_room(self, clients: set[client_limits.Client]) -> bool:
        """Return whether a further client may connect; if need be, one that waits is given up.

        Args:
            clients: Clients whose connections have not been closed, also those given up before.
        """
        if len(clients) < self.limits.connections:
            return True
        now = self._clock.now()
        client = self._least_needed(clients, now)
        if client is None:
            event_log.warn('client_refused', listener=self.listener, limit=_CONNECTIONS)
            self._count(f'{self.listener} {_CONNECTIONS}')
            return False
        self._report(client, _CONNECTIONS, now)
        self._closing.add(client)
        client.give_up()
        return True

    # Private

    def _least_needed(
        self, clients: set[client_limits.Client], now: clock.Milliseconds
    ) -> client_limits.Client | None:
        self._closing &= clients
        if len(self._closing) >= self.limits.connections * _CLOSING_SHARE:
            return None
        return client_limits.longest_waiting(clients - self._closing, now)

    def _report(self, client: client_limits.Client, limit: str, now: clock.Milliseconds) -> None:
        event_log.warn(
            'client_limit_exceeded',
            listener=self.listener,
            limit=limit,
            waited_ms=int(now - client.wait.since),
        )
        self._count(f'{self.listener} {limit}')


def _ignore(name: str) -> None:
    """Count nothing."""
