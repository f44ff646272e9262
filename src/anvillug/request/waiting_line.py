"""Jobs that wait for room at a host, and which of them is next.

Priority comes first, then tenants in turn by the time that their jobs take, then the time left to
the latency objective against the usual time. A route that others have passed too often is next
whatever its priority.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Iterator

from anvillug import ids
from anvillug.request import occupancy

# A waiting route is next after this many starts of others; its floor is one start in that many.
_MAX_PASSED = 8
# Cost of a job whose usual time is not known, in milliseconds.
_UNKNOWN_COST_MS = 1.0


class WaitingLine:
    """Ordered jobs; its state is bounded by the number of jobs that wait."""

    def __init__(self) -> None:
        self._tickets: dict[occupancy.Ticket, None] = {}
        self._passed_by_route: collections.Counter[ids.RouteName] = collections.Counter()
        # Time given to each tenant since it has been waiting, relative to the least of them.
        self._given_ms_by_tenant: dict[ids.TenantName, float] = {}

    def __len__(self) -> int:
        return len(self._tickets)

    def __iter__(self) -> Iterator[occupancy.Ticket]:
        return iter(tuple(self._tickets))

    @property
    def held_bytes(self) -> int:
        """Bytes of the bodies of waiting jobs."""
        return sum(ticket.size for ticket in self._tickets)

    def add(self, ticket: occupancy.Ticket) -> None:
        """Add a job."""
        if ticket.work.tenant not in self._given_ms_by_tenant:
            # A tenant saves no turns while none of its jobs wait.
            given = min(self._given_ms_by_tenant.values(), default=0.0)
            self._given_ms_by_tenant[ticket.work.tenant] = given
        self._tickets[ticket] = None

    def remove(self, ticket: occupancy.Ticket) -> bool:
        """Remove a job without serving it; return whether it was waiting."""
        if ticket not in self._tickets:
            return False
        del self._tickets[ticket]
        self._forget()
        return True

    def peek(self) -> occupancy.Ticket | None:
        """Return the next job; None if none waits."""
        return min(self._candidates(), key=self._order, default=None)

    def take(self, ticket: occupancy.Ticket) -> None:
        """Remove a job since it starts, and charge its tenant for it."""
        del self._tickets[ticket]
        cost_ms = max(_UNKNOWN_COST_MS, ticket.usual_ms)
        self._given_ms_by_tenant[ticket.work.tenant] += cost_ms
        routes = {other.work.route for other in self._tickets}
        routes.discard(ticket.work.route)
        self._passed_by_route.update(routes)
        self._passed_by_route[ticket.work.route] = 0
        self._forget()

    def ahead_of(self, ticket: occupancy.Ticket) -> int:
        """Return how many waiting jobs would start before a job that is added now."""
        priority = ticket.work.priority
        higher = sum(other.work.priority < priority for other in self._tickets)
        equal = [other for other in self._tickets if other.work.priority == priority]
        same_tenant = [other for other in equal if other.work.tenant == ticket.work.tenant]
        urgency = _latest_start(ticket)
        own = sum(_latest_start(other) <= urgency for other in same_tenant)
        count_by_tenant = collections.Counter(other.work.tenant for other in equal)
        del count_by_tenant[ticket.work.tenant]
        others = sum(min(count, own + 1) for count in count_by_tenant.values())
        route_ahead = sum(other.work.route == ticket.work.route for other in self._tickets)
        floor = _MAX_PASSED * (route_ahead + 1) - 1
        return min(higher + own + others, floor)

    def victim_for(self, ticket: occupancy.Ticket) -> occupancy.Ticket | None:
        """Return the job that gives way to a job when the line is full; None if none does.

        The last job of a route keeps its place, so that no route is without one.
        """
        count_by_route = collections.Counter(other.work.route for other in self._tickets)
        count_by_tenant = collections.Counter(other.work.tenant for other in self._tickets)
        removable = [other for other in self._tickets if count_by_route[other.work.route] > 1]
        victim = max(
            removable,
            key=lambda other: (
                other.work.priority,
                count_by_tenant[other.work.tenant],
                _latest_start(other),
            ),
            default=None,
        )
        if victim is None:
            return None
        work = ticket.work
        fewer = count_by_tenant[work.tenant] + 1 < count_by_tenant[victim.work.tenant]
        new_route = work.route not in count_by_route
        is_higher = work.priority < victim.work.priority
        has_turn = work.priority == victim.work.priority and fewer
        return victim if is_higher or has_turn or new_route else None

    def _candidates(self) -> list[occupancy.Ticket]:
        passed = max(
            (self._passed_by_route[ticket.work.route] for ticket in self._tickets), default=0
        )
        if passed < _MAX_PASSED - 1:
            return list(self._tickets)
        return [
            ticket for ticket in self._tickets if self._passed_by_route[ticket.work.route] == passed
        ]

    def _order(self, ticket: occupancy.Ticket) -> tuple[int, float, float, float]:
        work = ticket.work
        given_ms = self._given_ms_by_tenant[work.tenant]
        return (work.priority, given_ms, _latest_start(ticket), ticket.offered_at)

    def _forget(self) -> None:
        """Forget the tenants and routes that no longer wait."""
        tenants = {ticket.work.tenant for ticket in self._tickets}
        routes = {ticket.work.route for ticket in self._tickets}
        for tenant in self._given_ms_by_tenant.keys() - tenants:
            del self._given_ms_by_tenant[tenant]
        for route in self._passed_by_route.keys() - routes:
            del self._passed_by_route[route]


def _latest_start(ticket: occupancy.Ticket) -> float:
    """Return until when a job has to start to meet its objective, or its deadline without one."""
    work = ticket.work
    end = work.deadline if math.isinf(work.objective) else work.objective
    return end - ticket.usual_ms
