"""Tests of the planned shares."""

from __future__ import annotations

import dataclasses

import pytest
from hypothesis import given, strategies

from anvillug.version import share


@dataclasses.dataclass(frozen=True)
class Move:
    """A rollout of 100 s."""

    start_ms: float = 1_000
    deadline_ms: float = 101_000


@dataclasses.dataclass(frozen=True)
class ZoneChange:
    """A change accepted at 1 s."""

    state: str
    accepted_ms: float = 1_000


class TestPlannedShare:
    """Guards against rollouts that start too big or miss their deadline."""

    @pytest.mark.parametrize(('safety', 'canary'), share.CANARY_SHARES.items())
    def test_canary_then_full_before_the_deadline(self, safety: share.Safety, canary: float):
        assert share.planned_share(Move(), safety, 999) == 0
        assert share.planned_share(Move(), safety.value, 1_000) == canary
        assert share.planned_share(Move(), safety, share.canary_end(Move()) - 1) == canary
        assert share.planned_share(Move(), safety, 90_000) < 1
        assert share.planned_share(Move(), safety, 91_000) == 1

    @given(strategies.lists(strategies.floats(0, 200_000), min_size=2))
    def test_never_falls(self, times: list):
        shares = [share.planned_share(Move(), 'balanced', wall) for wall in sorted(times)]
        assert shares == sorted(shares)
        assert shares[0] >= 0
        assert shares[-1] <= 1

    def test_deadline_at_the_start_means_at_once(self):
        assert share.planned_share(Move(5, 5), 'strict', 5) == 1


class TestZoneShare:
    """Guards against a returning zone that gets its full load while cold."""

    def test_ramp(self):
        change = ZoneChange('in')
        shares = [share.zone_share(change, 30_000, at) for at in (0, 1_000, 16_000, 31_000, 99_000)]
        assert shares == [0, 0, 0.5, 1, 1]

    def test_out_and_no_ramp(self):
        assert share.zone_share(ZoneChange('out'), 30_000, 99_000) == 0
        assert share.zone_share(ZoneChange('in'), 0, 1_000) == 1
