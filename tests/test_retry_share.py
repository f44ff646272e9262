"""A node's share of the common retry budget."""

from __future__ import annotations

from anvillug import clock, ids
from anvillug.request import retry_share

_SERVICE = ids.ServiceName('one')
_RATIO = 0.2
_WINDOW_MS = 10_000
_SLACK = 60
_NODES = 12
_STEP_MS = 10


def _repeats(share: retry_share.RetryShare, nodes: int, start: int, duration: int) -> int:
    """Return how many repeats a node makes that would repeat all the time."""
    times = range(start, start + duration, _STEP_MS)
    return sum(share.spend(_SERVICE, nodes, clock.Milliseconds(now)) for now in times)


class TestShare:
    """Guards against nodes that together exceed the retry budget."""

    def test_share_follows_the_number_of_nodes(self):
        # At its start a node knows no other one.
        spent = 0
        for _ in range(_NODES):
            share = retry_share.RetryShare(_RATIO, _WINDOW_MS, _SLACK)
            spent += share.spend(_SERVICE, 1, clock.Milliseconds(0))
            spent += _repeats(share, _NODES, 0, _WINDOW_MS)
        assert spent <= _SLACK

    def test_requests_earn_repeats(self):
        share = retry_share.RetryShare(_RATIO, _WINDOW_MS, _SLACK)
        requests = 0
        repeats = 0
        for now in range(0, _WINDOW_MS, _STEP_MS):
            share.earn(_SERVICE, _NODES, clock.Milliseconds(now))
            requests += 1
            repeats += share.spend(_SERVICE, _NODES, clock.Milliseconds(now))
        assert requests * _RATIO / 2 <= repeats <= requests * _RATIO + _SLACK / _NODES

    def test_quiet_time_saves_up_no_more_than_the_share(self):
        share = retry_share.RetryShare(_RATIO, _WINDOW_MS, _SLACK)
        share.earn(_SERVICE, _NODES, clock.Milliseconds(0))
        assert _repeats(share, _NODES, 60 * _WINDOW_MS, _WINDOW_MS) <= _SLACK / _NODES

    def test_lone_node_may_repeat(self):
        share = retry_share.RetryShare(_RATIO, _WINDOW_MS, _SLACK)
        share.earn(_SERVICE, 1, clock.Milliseconds(0))
        assert share.spend(_SERVICE, 1, clock.Milliseconds(1000))
