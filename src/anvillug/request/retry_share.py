"""This node's share of the retry budget that all nodes keep together."""

from __future__ import annotations

from anvillug import clock, ids
from anvillug.request import budget

# Calls that a repeated run makes count as repeats at the service that is called, and a node that
# restarts begins with a fresh share; half of the budget is left for both.
_USED_SHARE = 0.5
_MS_PER_SECOND = 1000.0


class RetryShare:
    """Token buckets of repeated arrivals, one per service.

    Args:
        ratio: Repeats allowed per request, over all nodes.
        window_ms: Window in which they are counted.
        slack: Repeats allowed beside the ratio in each window, over all nodes.
    """

    def __init__(self, ratio: float, window_ms: float, slack: float) -> None:
        self._ratio = ratio * _USED_SHARE
        self._slack = slack * _USED_SHARE
        self._window_ms = window_ms
        self._by_service: dict[ids.ServiceName, budget.TokenBudget] = {}

    def earn(self, service: ids.ServiceName, nodes: int, now: clock.Milliseconds) -> None:
        """Count a request that is not a repeat.

        Args:
            service: Service that the request goes to.
            nodes: Nodes that share the budget.
            now: Monotonic time.
        """
        self._bucket(service, nodes).earn(now)

    def spend(self, service: ids.ServiceName, nodes: int, now: clock.Milliseconds) -> bool:
        """Take a token for one repeated arrival; see `earn`."""
        return self._bucket(service, nodes).spend(now)

    def _bucket(self, service: ids.ServiceName, nodes: int) -> budget.TokenBudget:
        bucket = self._by_service.get(service)
        if bucket is None:
            per_node = self._slack / max(1, nodes)
            floor = per_node * _MS_PER_SECOND / self._window_ms / 2
            bucket = budget.TokenBudget(self._ratio, floor, max(1.0, per_node / 2))
            self._by_service[service] = bucket
        return bucket
