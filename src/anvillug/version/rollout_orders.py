"""Identity of rollout orders, of which the operator's log may hold several records.

After the log was restored from an older copy, it holds the records of the copy and those that the
operator writes again, in any order and also for orders that newer ones had superseded. A record is
no new order if

- it is for the version of the service's current rollout, and that is in progress or completed: a
  rollout that started again would send calls to old backend servers, which may no longer exist;
- it has the content of the current order or of one that was superseded, and is a record of the
  copy, which keeps the offsets, or was written while the operator writes lost records again.

The first record of another order in a new era may be a new order, or an older one of the copy that
this node has not read before. It starts its rollout, but the current one is only interrupted: it
continues if the operator writes its order again, which was lost then.

All other records are new orders, also at a lower offset than that of the current order.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import math
from collections.abc import Collection
from typing import NamedTuple

from anvillug import clock, ids
from anvillug.version import directives, rollout

# A record of known content that appears within this time after a restore repeats a lost order.
_REPEAT_MS = 10_000.0
# Superseded orders that are remembered for each service.
_MAX_SUPERSEDED = 8


class Identity(enum.Enum):
    """What a record is an order for."""

    NEW = 'new'
    CURRENT = 'current order'
    INTERRUPTED = 'interrupted order'
    """The order that was current until an order of the present era took its place."""
    SUPERSEDED = 'superseded order'
    """An order that a newer one has superseded."""


class Interrupted(NamedTuple):
    """State of a service before the first order of the present era took effect."""

    rollout: rollout.Rollout
    untrusted: frozenset[ids.VersionName]
    """Versions whose rollout was not completed."""


class OrderHistory:
    """Orders of each service that newer ones have superseded or interrupted.

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
        self._interrupted_by_service: dict[ids.ServiceName, Interrupted] = {}

    def enter_era(self, era: int) -> None:
        """Note the era of the directives in effect."""
        if self._era is not None and era > self._era:
            self._restored_at = self._clock.now()
        self._era = era

    def has_record(self, order: directives.RolloutOrder) -> bool:
        """Return whether this very record is known as that of a superseded order."""
        return order in self._superseded(order.service)

    def is_interrupted(self, service: ids.ServiceName) -> bool:
        """Return whether an order of the present era has interrupted a rollout of a service."""
        return service in self._interrupted_by_service

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
        interrupted = self._interrupted_by_service.get(order.service)
        if interrupted is not None and self._is_same(order, interrupted.rollout.order):
            return Identity.INTERRUPTED
        if any(self._is_same(order, known) for known in self._superseded(order.service)):
            return Identity.SUPERSEDED
        return Identity.NEW

    def replace(
        self,
        current: rollout.Rollout,
        untrusted: Collection[ids.VersionName],
        order: directives.RolloutOrder,
    ) -> None:
        """Remember the current rollout of a service before another order takes effect.

        Args:
            current: Current rollout.
            untrusted: Versions of the service whose rollout was not completed.
            order: The other order.
        """
        if order.position.era == current.order.position.era:
            self.add_superseded(current.order)
        else:
            self._interrupted_by_service[order.service] = Interrupted(current, frozenset(untrusted))

    def resume(
        self,
        current: rollout.Rollout,
        untrusted: Collection[ids.VersionName],
        order: directives.RolloutOrder,
    ) -> Interrupted:
        """Return the state that an order interrupted; that order is superseded or interrupted now.

        Args:
            current: Rollout of the order that interrupted it.
            untrusted: Versions of the service whose rollout was not completed.
            order: Record of the interrupted order in the present era.
        """
        interrupted = self._interrupted_by_service.pop(order.service)
        self.replace(current, untrusted, order)
        interrupted.rollout.order = order
        # Its status may have been lost meanwhile.
        interrupted.rollout.stored = None
        return interrupted

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
        if self._clock.now() - self._restored_at < _REPEAT_MS:
            return _has_same_content(order, known)
        is_in_copy = order.position.offset == known.position.offset
        return is_in_copy and order.is_same_in_other_era(known)


def _has_same_content(order: directives.RolloutOrder, known: directives.RolloutOrder) -> bool:
    return dataclasses.replace(order, position=known.position) == known
