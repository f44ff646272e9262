"""Memory that a process holds for its clients, and which of them it gives up first.

Connections report what they hold: incomplete heads, responses that wait for their turn, and bytes
that the client has not read. Request bodies and jobs are reserved by those that buffer them.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Protocol as Interface

from anvillug import clock, event_log

DEFAULT_LIMIT_BYTES = 64 * 1024 * 1024
"""Limit where the memory of the machine is not known."""
HEADS = 'heads'
"""Kind of heads whose end has not been received."""
AHEAD = 'ahead'
"""Kind of parts of requests that were sent ahead, and wait for their turn."""
RESPONSES = 'responses'
"""Kind of responses that wait for their turn."""
UNREAD = 'unread'
"""Kind of responses that the client has not read."""
KINDS = (HEADS, AHEAD, RESPONSES, UNREAD)
"""Kinds that connections report."""
RESERVED = 'reserved'
"""Kind of bodies, jobs and copies of responses, which are reserved; see `held_by_kind`."""
# The rest is for the program, copies made while a message is encoded, and buffers of the system.
_SHARE_OF_MACHINE = 0.25
# One message of up to the default limit is accepted while the others hold less than this share,
# which connections may always hold.
_CALM_SHARE = 0.125
# Overlapping requests of a connection begin only below this share.
_AMPLE_SHARE = 0.5
# Relief goes on until this share of what connections may hold is left, so that the next report
# doesn't start it again.
_RELIEVED_SHARE = 0.75
_MIN_HELD_MS = 1.0
_MEMORY = 'memory'


def limit_for(memory_bytes: int) -> int:
    """Return the limit of a process.

    Args:
        memory_bytes: Memory of its machine in bytes; 0 if it is not known.
    """
    return int(memory_bytes * _SHARE_OF_MACHINE) or DEFAULT_LIMIT_BYTES


class Holder(Interface):
    """Connection that memory is held for."""

    listener: str
    """Name of its listener, for the log and the metrics."""

    def give_up(self) -> None:
        """Close the connection with a reset, and release what is held for it."""

    def held_by_kind(self) -> dict[str, int]:
        """Return what is held for the connection, by kind."""


@dataclasses.dataclass(slots=True)
class _Charge:
    size: int
    since: clock.Milliseconds
    """When the size last shrank, or the first byte was held."""


class MemoryAccount:
    """Account of one process; used in the reactor thread only.

    Args:
        limit_bytes: Maximum of all that is held.
        time: Clock.
        on_limit: Called with the name of a limit each time that it acts.
    """

    def __init__(
        self,
        limit_bytes: int,
        time: clock.Clock,
        on_limit: Callable[[str], None] | None = None,
    ) -> None:
        self.limit_bytes = limit_bytes
        """Maximum of all that is held."""
        self.used_bytes = 0
        """What is held, for connections and reserved."""
        self._clock = time
        self._on_limit = on_limit or _ignore
        self._charges_by_holder: dict[Holder, _Charge] = {}
        self._charged_bytes = 0

    @property
    def is_ample(self) -> bool:
        """Whether there is memory for work that can wait."""
        return self.used_bytes < self.limit_bytes * _AMPLE_SHARE

    def held_by_kind(self) -> dict[str, int]:
        """Return what is held, by kinds of the connections, and `reserved` for the rest.

        The kinds are found out only now, since connections report far more often. They may differ
        by what has changed since the last report.
        """
        held = dict.fromkeys(KINDS, 0)
        for holder in self._charges_by_holder:
            for kind, size in holder.held_by_kind().items():
                held[kind] += size
        charged_bytes = sum(charge.size for charge in self._charges_by_holder.values())
        held[RESERVED] = self.used_bytes - charged_bytes
        return held

    def update(self, holder: Holder, size: int) -> None:
        """Set what is held for a connection, and relieve the account if it exceeds the limit."""
        charge = self._charges_by_holder.get(holder)
        if charge is None:
            if not size:
                return
            charge = _Charge(0, self._clock.now())
            self._charges_by_holder[holder] = charge
        elif size < charge.size:
            charge.since = self._clock.now()
        self.used_bytes += size - charge.size
        self._charged_bytes += size - charge.size
        charge.size = size
        if not size:
            self._charges_by_holder.pop(holder)
        elif self.used_bytes > self.limit_bytes:
            # Connections can't make room for what bodies hold.
            self._relieve(max(self.limit_bytes - self._reserved_bytes, self._calm_bytes))

    def reserve(self, size: int) -> bool:
        """Reserve memory; a negative size releases it.

        Returns:
            Whether there is memory for it, if need be after connections are given up.
        """
        if size > 0 and not self._fits(size):
            allowed_bytes = self.limit_bytes - self._reserved_bytes - size
            if allowed_bytes < min(self._charged_bytes, self._calm_bytes):
                self._on_limit('reservation')
                return False
            self._relieve(allowed_bytes)
        self.used_bytes += size
        return True

    def reserve_more(self, size: int, reserved: int) -> bool:
        """Reserve memory for a further part of a message; see `reserve`.

        Args:
            size: Size of the part in bytes.
            reserved: What is reserved for the message already. A large one is accepted while
                hardly anything else is held.
        """
        others = self.used_bytes - reserved
        is_calm = others < self._calm_bytes
        if is_calm and reserved + size <= DEFAULT_LIMIT_BYTES:
            self.used_bytes += size
            return True
        return self.reserve(size)

    # Private

    @property
    def _reserved_bytes(self) -> int:
        return self.used_bytes - self._charged_bytes

    @property
    def _calm_bytes(self) -> float:
        return self.limit_bytes * _CALM_SHARE

    def _fits(self, size: int) -> bool:
        return self.used_bytes + size <= self.limit_bytes

    def _relieve(self, allowed_bytes: float) -> None:
        """Give up the connections that hold most for longest without progress.

        Args:
            allowed_bytes: What all connections together may hold.
        """
        if self._charged_bytes <= allowed_bytes:
            return
        now = self._clock.now()
        by_cost = sorted(
            self._charges_by_holder.items(),
            key=lambda item: item[1].size * (now - item[1].since + _MIN_HELD_MS),
            reverse=True,
        )
        for holder, charge in by_cost:
            if self._charged_bytes <= allowed_bytes * _RELIEVED_SHARE:
                return
            event_log.warn(
                'client_given_up',
                listener=holder.listener,
                limit=_MEMORY,
                held_bytes=charge.size,
                held_ms=int(now - charge.since),
                used_bytes=self.used_bytes,
            )
            self._on_limit(f'{holder.listener} {_MEMORY}')
            self.update(holder, 0)
            holder.give_up()


def create(time: clock.Clock) -> MemoryAccount:
    """Return an account with the default limit."""
    return MemoryAccount(DEFAULT_LIMIT_BYTES, time)


def _ignore(limit: str) -> None:
    """Count nothing."""
