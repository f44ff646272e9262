"""Decides how much of a service's work leaves the zone of its callers.

A zone is left only while callers gain by it: the time that a request is expected to wait in its own
zone is weighed against the time and the cost of crossing. The share moves by bounded steps, so that
the nodes of a zone, which all see the same load, do not swing together.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import NamedTuple

from anvillug import clock, ids

STEP_MS = 100.0
"""Interval in milliseconds between two steps of a share."""
MAX_STEP = 0.1
"""Largest change of a share in one step."""

# While the load of other zones is old, a share rises by no more than this before it is newer.
_BLIND_RISE = 0.25
# Load that was reported longer ago than this says little about the room of a zone.
_STALE_MS = 3000.0
# A zone is regarded as full at this utilization; more work would wait behind all of its slots.
_FULL_UTILIZATION = 0.95
# Up to this utilization the waiting time follows from the theory of queues without a limit.
_MAX_UTILIZATION = 0.99
# The share is left unchanged while crossing gains or loses less than this, in milliseconds.
_DEAD_BAND_MS = 5.0
# Halvings of the interval in which the share is searched; 2^-7 is below one percent.
_SEARCH_STEPS = 7


class Crossing(NamedTuple):
    """What operators accept for sending work to another zone."""

    delay_ms: float
    """Time in milliseconds that a request must gain before it leaves its zone."""
    delay_ms_per_kb: float
    """Further time in milliseconds for each KiB of the request and its response."""

    def cost_ms(self, size_kb: float) -> float:
        """Return the time that crossing has to gain for a request of a size."""
        return self.delay_ms + self.delay_ms_per_kb * size_kb


class ZoneRoom(NamedTuple):
    """Room of one service in one zone, as far as it is known."""

    slots: int
    """Slots of the hosts that accept work."""
    busy: float
    """Requests that run or wait there, from all callers."""
    work_ms: float
    """Time that a request of the service takes there once it runs."""
    age_ms: float
    """Age of this knowledge in milliseconds."""

    @property
    def utilization(self) -> float:
        """Share of the slots that is in use; infinite without slots."""
        return self.busy / self.slots if self.slots else math.inf

    def time_ms(self, moved: float = 0.0) -> float:
        """Return the time that one more request takes.

        Args:
            moved: Requests in progress to add to those of the zone; negative to remove some.
        """
        if not self.slots:
            return math.inf
        utilization = max(0.0, self.busy + moved) / self.slots
        if utilization >= 1:
            # One request leaves each `work_ms / slots`.
            return self.work_ms * (1 + utilization)
        # Sakasegawa's approximation of the waiting time in a queue with several servers.
        exponent = math.sqrt(2 * (self.slots + 1)) - 1
        waiting = utilization**exponent / (self.slots * (1 - min(utilization, _MAX_UTILIZATION)))
        return self.work_ms * (1 + min(waiting, 1 + utilization))

    def is_usable(self, *, receives_work: bool) -> bool:
        """Return whether work of another zone may be sent here.

        Args:
            receives_work: Whether some is sent here already, so that a zone which is nearly full
                because of that keeps it.
        """
        limit = 1.0 if receives_work else _FULL_UTILIZATION
        return self.utilization < limit and self.age_ms < _STALE_MS


Rooms = Mapping[ids.ZoneName, ZoneRoom]
"""Room of a service by zone."""


class ZoneShare:
    """Share of one service's work that leaves one zone.

    Args:
        zone: Zone of the callers.
        crossing: What operators accept for crossing.
    """

    def __init__(self, zone: ids.ZoneName, crossing: Crossing) -> None:
        self.zone = zone
        """Zone of the callers."""
        self.share = 0.0
        """Share of the work that goes to other zones, in [0, 1]."""
        self.reason = 'own zone'
        """Why the share is as it is, for logs."""
        self.weights_by_zone: Mapping[ids.ZoneName, float] = {}
        """Other zones with their weights, which sum to 1 if there is any."""
        self._crossing = crossing
        self._stepped_at = clock.Milliseconds(-math.inf)

    def is_due(self, now: clock.Milliseconds) -> bool:
        """Return whether the time of the next step has come."""
        return now - self._stepped_at >= STEP_MS

    def step(
        self, rooms: Rooms, size_kb: float, comfort_ms: float, now: clock.Milliseconds
    ) -> bool:
        """Move the share towards the one that serves callers best.

        Args:
            rooms: Room by zone, also of the own one.
            size_kb: Usual size of a request and its response in KiB.
            comfort_ms: Time in which callers would not notice that a request ends sooner.
            now: Monotonic time.

        Returns:
            Whether a step was due.
        """
        if not self.is_due(now):
            return False
        self._stepped_at = now
        receivers = self.weights_by_zone if self.share else ()
        others = {
            zone: room
            for zone, room in rooms.items()
            if zone != self.zone and room.is_usable(receives_work=zone in receivers)
        }
        self._weigh(others)
        own = rooms.get(self.zone)
        if own is None:
            # Nobody can be served here; steps would only delay callers.
            self.share = float(bool(others))
            self.reason = 'no host in the zone'
            return True
        if not own.slots:
            # Its hosts have reported nothing yet, or are avoided for a moment.
            self.reason = 'load of the own zone is unknown'
            return True
        target = self._target(own, others, size_kb, comfort_ms)
        age_ms = max([room.age_ms for room in others.values()], default=0.0)
        max_rise = min(MAX_STEP, _BLIND_RISE * STEP_MS / max(STEP_MS, age_ms))
        change = max(-MAX_STEP, min(max_rise, target - self.share))
        self.share = min(1.0, max(0.0, self.share + change))
        return True

    # Private

    def _weigh(self, others: Rooms) -> None:
        """Weigh other zones by what they can still do in a time."""
        free_by_zone = {
            zone: (room.slots - room.busy) / max(1.0, room.work_ms) for zone, room in others.items()
        }
        total = sum(free_by_zone.values())
        self.weights_by_zone = {zone: free / total for zone, free in free_by_zone.items()}

    def _target(self, own: ZoneRoom, others: Rooms, size_kb: float, comfort_ms: float) -> float:
        if not others:
            # Work that crosses to be rejected has gained nothing.
            self.reason = 'other zones are full or unknown'
            return 0.0
        cost_ms = self._crossing.cost_ms(size_kb)
        # The work that leaves now is counted in the other zones and no more in this one.
        demand = own.busy / (1 - self.share) if self.share < 1 else own.busy + self._sent(others)
        if own.time_ms(demand - own.busy) <= comfort_ms:
            self.reason = 'own zone meets the objectives'
            return 0.0
        gain_ms = self._gain_ms(own, others, self.share, demand) - cost_ms
        if abs(gain_ms) < _DEAD_BAND_MS:
            return self.share
        low, high = (self.share, 1.0) if gain_ms > 0 else (0.0, self.share)
        for _ in range(_SEARCH_STEPS):
            middle = (low + high) / 2
            if self._gain_ms(own, others, middle, demand) > cost_ms:
                low = middle
            else:
                high = middle
        self.reason = 'own zone waits longer' if low else 'own zone'
        return low

    def _gain_ms(self, own: ZoneRoom, others: Rooms, share: float, demand: float) -> float:
        """Return how much sooner a request ends in other zones if a share of the work leaves."""
        moved = (share - self.share) * demand
        if moved > 0 and any(
            (others[zone].busy + moved * weight) / others[zone].slots >= _FULL_UTILIZATION
            for zone, weight in self.weights_by_zone.items()
        ):
            return -math.inf
        there_ms = sum(
            weight * others[zone].time_ms(moved * weight)
            for zone, weight in self.weights_by_zone.items()
        )
        return own.time_ms(-moved) - there_ms

    def _sent(self, others: Rooms) -> float:
        return sum(room.busy for room in others.values())
