"""Share of one node in the retry budget of all nodes."""

from __future__ import annotations

from anvillug import clock, ids

# Nodes use half of the budget. The rest covers the calls that a retried call makes, which count as
# retries at the called service, and nodes that restart, which begin with a new share.
_BUDGET_SHARE = 0.5
# Share of a node's slack that may be saved for a burst; the rest is earned over the window.
_BURST_SHARE = 0.5


class RetryShare:
    """Token buckets of retries, one per service.

    Args:
        ratio: Retries allowed per request, over all nodes.
        window_ms: Window in which the retries are counted.
        slack: Retries allowed in each window in addition to the ratio, over all nodes.
    """

    def __init__(self, ratio: float, window_ms: float, slack: float) -> None:
        self._ratio = ratio * _BUDGET_SHARE
        self._slack = slack * _BUDGET_SHARE
        self._window_ms = window_ms
        self._by_service: dict[ids.ServiceName, _Bucket] = {}

    def earn(self, service: ids.ServiceName, nodes: int, now: clock.Milliseconds) -> None:
        """Count a request that is not a retry.

        Args:
            service: Service that the request goes to.
            nodes: Number of nodes that currently share the budget.
            now: Monotonic time.
        """
        self._refill(service, nodes, now).tokens += self._ratio

    def spend(self, service: ids.ServiceName, nodes: int, now: clock.Milliseconds) -> bool:
        """Take a token for one retry; return whether there was one. See `earn`."""
        bucket = self._refill(service, nodes, now)
        if bucket.tokens < 1:
            return False
        bucket.tokens -= 1
        return True

    def _refill(self, service: ids.ServiceName, nodes: int, now: clock.Milliseconds) -> _Bucket:
        """Add the tokens earned over time, up to the current share, and return the bucket."""
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
