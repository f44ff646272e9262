"""Tests of the planned shares."""

from __future__ import annotations

import pytest
from hypothesis import given, strategies

from anvillug.version import config_state, document, share


def make_move(start_ms: int = 1_000, deadline_ms: int = 101_000) -> config_state.MoveStatus:
    """Return a rollout of 100 s."""
    return config_state.MoveStatus(1, 'v1', 'v2', start_ms, deadline_ms)


def make_change(state: document.ZoneState) -> config_state.ZoneChange:
    """Return a change accepted at 1 s."""
    return config_state.ZoneChange(state, 1_000)


class TestPlannedShare:
    """Guards against rollouts that begin with too large a share or miss their deadline."""

    @pytest.mark.parametrize('canary', [0.01, 0.05, 0.1])
    def test_canary_then_full_before_the_deadline(self, canary: float):
        move = make_move()
        assert share.planned_share(move, canary, 999) == 0
        assert share.planned_share(move, canary, 1_000) == canary
        assert share.planned_share(move, canary, share.canary_end(move) - 1) == canary
        assert share.planned_share(move, canary, 90_000) < 1
        assert share.planned_share(move, canary, 91_000) == 1

    @given(strategies.lists(strategies.floats(0, 200_000), min_size=2))
    def test_never_decreases(self, times: list):
        shares = [share.planned_share(make_move(), 0.05, wall) for wall in sorted(times)]
        assert shares == sorted(shares)
        assert shares[0] >= 0
        assert shares[-1] <= 1

    def test_zero_duration_gives_the_full_share_at_once(self):
        assert share.planned_share(make_move(5, 5), 0.01, 5) == 1


class TestZoneShare:
    """Guards against a returning zone that gets full load while its hosts are cold."""

    def test_ramp(self):
        change = make_change(document.ZoneState.IN)
        shares = [share.zone_share(change, 30_000, at) for at in (0, 1_000, 16_000, 31_000, 99_000)]
        assert shares == [0, 0, 0.5, 1, 1]

    def test_zone_that_is_out_or_has_no_ramp(self):
        assert share.zone_share(make_change(document.ZoneState.OUT), 30_000, 99_000) == 0
        assert share.zone_share(make_change(document.ZoneState.IN), 0, 1_000) == 1
