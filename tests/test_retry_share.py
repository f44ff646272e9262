"""Tests of the share of one node in the retry budget."""

from __future__ import annotations

from anvillug import clock, ids
from anvillug.request import retry_share

_SERVICE = ids.ServiceName('one')
_RATIO = 0.2
_WINDOW_MS = 10_000
_SLACK = 60
_NODES = 12
_STEP_MS = 10


def _spend_continuously(
    share: retry_share.RetryShare, nodes: int, start: int, duration: int
) -> int:
    """Return how many retries a node makes that attempts one at every step."""
    times = range(start, start + duration, _STEP_MS)
    return sum(share.spend(_SERVICE, nodes, clock.Milliseconds(now)) for now in times)


class TestShare:
    """Guards against nodes that together exceed the retry budget."""

    def test_share_follows_the_number_of_nodes(self):
        # A node that starts counts only itself.
        total_retries = 0
        for _ in range(_NODES):
            share = retry_share.RetryShare(_RATIO, _WINDOW_MS, _SLACK)
            total_retries += share.spend(_SERVICE, 1, clock.Milliseconds(0))
            total_retries += _spend_continuously(share, _NODES, 0, _WINDOW_MS)
        assert total_retries <= _SLACK

    def test_requests_earn_retries(self):
        share = retry_share.RetryShare(_RATIO, _WINDOW_MS, _SLACK)
        requests = 0
        retries = 0
        for now in range(0, _WINDOW_MS, _STEP_MS):
            share.earn(_SERVICE, _NODES, clock.Milliseconds(now))
            requests += 1
            retries += share.spend(_SERVICE, _NODES, clock.Milliseconds(now))
        assert requests * _RATIO / 2 <= retries <= requests * _RATIO + _SLACK / _NODES

    def test_idle_time_saves_no_more_than_the_share(self):
        share = retry_share.RetryShare(_RATIO, _WINDOW_MS, _SLACK)
        share.earn(_SERVICE, _NODES, clock.Milliseconds(0))
        assert _spend_continuously(share, _NODES, 60 * _WINDOW_MS, _WINDOW_MS) <= _SLACK / _NODES

    def test_single_node_may_retry(self):
        share = retry_share.RetryShare(_RATIO, _WINDOW_MS, _SLACK)
        share.earn(_SERVICE, 1, clock.Milliseconds(0))
        assert share.spend(_SERVICE, 1, clock.Milliseconds(1000))
