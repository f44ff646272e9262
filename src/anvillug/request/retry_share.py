"""This node's share of the retry budget that all nodes keep together."""

from __future__ import annotations

from anvillug import clock, ids

# Calls that a repeated run makes count as repeats at the service that is called, and a node that
# restarts begins with a fresh share; half of the budget is left for both.
_USED_SHARE = 0.5
# Share of a node's part of the slack that may be saved up for a burst; the rest comes with time.
_BURST_SHARE = 0.5


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
        self._by_service: dict[ids.ServiceName, _Bucket] = {}

    def earn(self, service: ids.ServiceName, nodes: int, now: clock.Milliseconds) -> None:
        """Count a request that is not a repeat.

        Args:
            service: Service that the request goes to.
            nodes: Nodes that share the budget now.
            now: Monotonic time.
        """
        self._refilled(service, nodes, now).tokens += self._ratio

    def spend(self, service: ids.ServiceName, nodes: int, now: clock.Milliseconds) -> bool:
        """Take a token for one repeated arrival; see `earn`."""
        bucket = self._refilled(service, nodes, now)
        if bucket.tokens < 1:
            return False
        bucket.tokens -= 1
        return True

    def _refilled(self, service: ids.ServiceName, nodes: int, now: clock.Milliseconds) -> _Bucket:
        """Return a service's bucket with what time has brought, within the share of the moment."""
        slack = self._slack / max(1, nodes)
        burst = max(1.0, slack * _BURST_SHARE)
        bucket = self._by_service.get(service)
        if bucket is None:
            bucket = _Bucket(burst, now)
            self._by_service[service] = bucket
        earned = (now - bucket.refilled_at) * slack * (1 - _BURST_SHARE) / self._window_ms
        bucket.tokens = min(burst, bucket.tokens + earned)
        bucket.refilled_at = now
        return bucket


class _Bucket:
    """Tokens of one service."""

    def __init__(self, tokens: float, now: clock.Milliseconds) -> None:
        self.tokens = tokens
        self.refilled_at = now
