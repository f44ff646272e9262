"""Identity of rollout orders, of which the operator's log may hold several records.

After the log was restored from an older copy, it holds the records of the copy and those that the
operator writes again, in any order and also for orders that newer ones had superseded. A record is
no new order if

- it is for the version of the service's current rollout, and that is in progress or completed: a
  rollout that started again would send calls to old backend servers, which may no longer exist;
- it has the content of the current order or of one that was superseded, and is a record of the
  copy, which keeps the offsets, or was written while the operator writes lost records again.

All other records are new orders, also at a lower offset than that of the current order.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import math

from anvillug import clock, ids
from anvillug.version import directives, rollout

# Time after a restore in which the operator writes the records again that were lost.
_REWRITE_MS = 10_000.0
# Superseded orders that are remembered for each service.
_MAX_SUPERSEDED = 8


class Identity(enum.Enum):
    """What a record is an order for."""

    NEW = 'new'
    CURRENT = 'current order'
    SUPERSEDED = 'superseded order'
    """An order that a newer one has superseded."""


class OrderHistory:
    """Orders of each service that newer ones have superseded.

    Args:
        time: Clock.
    """

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self._era: int | None = None
        self._restored_at = clock.Milliseconds(-math.inf)
        self._superseded_by_service: dict[
            ids.ServiceName, collections.deque[directives.RolloutOrder]
        ] = {}

    def enter_era(self, era: int) -> None:
        """Note the era of the directives in effect."""
        if self._era is not None and era > self._era:
            self._restored_at = self._clock.now()
        self._era = era

    def has_record(self, order: directives.RolloutOrder) -> bool:
        """Return whether this very record is known as that of a superseded order."""
        return order in self._superseded(order.service)

    def identify(self, order: directives.RolloutOrder, current: rollout.Rollout) -> Identity:
        """Return what a record that is newer than the current order is an order for.

        Args:
            order: Order as stated by the record.
            current: Newest rollout of its service.
        """
        if order.target_version == current.order.target_version:
            is_over = current.phase is rollout.Phase.REVERTED
            if not is_over or self._is_same(order, current.order):
                return Identity.CURRENT
            return Identity.NEW
        if any(self._is_same(order, known) for known in self._superseded(order.service)):
            return Identity.SUPERSEDED
        return Identity.NEW

    def add_superseded(self, order: directives.RolloutOrder) -> None:
        """Remember an order that a newer one has superseded, or another record of it."""
        superseded = self._superseded(order.service)
        for known in tuple(superseded):
            if _has_same_content(order, known):
                superseded.remove(known)
        superseded.append(order)

    def _superseded(self, service: ids.ServiceName) -> collections.deque[directives.RolloutOrder]:
        return self._superseded_by_service.setdefault(
            service, collections.deque(maxlen=_MAX_SUPERSEDED)
        )

    def _is_same(self, order: directives.RolloutOrder, known: directives.RolloutOrder) -> bool:
        if self._clock.now() - self._restored_at < _REWRITE_MS:
            return _has_same_content(order, known)
        is_in_copy = order.position.offset == known.position.offset
        return is_in_copy and order.is_same_in_other_era(known)


def _has_same_content(order: directives.RolloutOrder, known: directives.RolloutOrder) -> bool:
    return dataclasses.replace(order, position=known.position) == known
