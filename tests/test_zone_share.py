"""Tests of the share of work that leaves a zone."""

from __future__ import annotations

import math

import pytest

from anvillug import clock
from anvillug.process import zone_share

_CROSSING = zone_share.Crossing(delay_ms=20.0, delay_ms_per_kb=1.0)
_WORK_MS = 100.0
_SIZE_KB = 5.0
_MAX_SWING = 0.02
_MAX_BLIND_SHARE = 0.26


def _room(slots: int, busy: float, *, work_ms: float = _WORK_MS, age_ms: float = 0.0):
    return zone_share.ZoneRoom(slots, busy, work_ms, age_ms)


class _Zones:
    """Zones whose callers demand a number of slots; each zone follows its own share.

    The load that a zone sees is the sum of what all zones send there, one step late.
    """

    def __init__(self, slots_by_zone, demand_by_zone) -> None:
        self.slots_by_zone = slots_by_zone
        self.demand_by_zone = demand_by_zone
        self.shares_by_zone = {
            zone: zone_share.ZoneShare(zone, _CROSSING) for zone in slots_by_zone
        }
        self._now = 0.0

    def run(self, steps: int) -> list[dict[str, float]]:
        """Let all zones take steps, and return their shares after each one."""
        history = []
        for _ in range(steps):
            rooms = {
                zone: _room(slots, self.busy(zone)) for zone, slots in self.slots_by_zone.items()
            }
            self._now += zone_share.STEP_MS
            for share in self.shares_by_zone.values():
                share.step(rooms, _SIZE_KB, 0.0, clock.Milliseconds(self._now))
            history.append(self.shares())
        return history

    def shares(self) -> dict[str, float]:
        """Return the share of each zone."""
        return {zone: share.share for zone, share in self.shares_by_zone.items()}

    def busy(self, zone: str) -> float:
        """Return the requests in progress in a zone."""
        own = self.demand_by_zone[zone] * (1 - self.shares_by_zone[zone].share)
        return own + sum(
            self.demand_by_zone[other] * share.share * share.weights_by_zone.get(zone, 0.0)
            for other, share in self.shares_by_zone.items()
            if other != zone
        )

    def crossed(self) -> float:
        """Return the part of all demand that leaves its zone."""
        total = sum(self.demand_by_zone.values())
        left = sum(
            self.demand_by_zone[zone] * share.share for zone, share in self.shares_by_zone.items()
        )
        return left / total


class TestLoad:
    """Guards against work that crosses without gain, and callers that wait beside free slots."""

    def test_nothing_leaves_while_each_zone_has_room(self):
        zones = _Zones({'a': 100, 'b': 40, 'c': 100}, {'a': 30, 'b': 20, 'c': 30})
        zones.run(50)
        assert zones.crossed() == 0

    @pytest.mark.parametrize(
        ('slots_by_zone', 'demand_by_zone'),
        [
            ({'a': 90, 'b': 90, 'c': 90}, {'a': 30, 'b': 120, 'c': 30}),
            ({'a': 120, 'b': 40, 'c': 120}, {'a': 50, 'b': 60, 'c': 50}),
            ({'a': 60, 'b': 120, 'c': 90}, {'a': 90, 'b': 30, 'c': 40}),
        ],
        ids=['uneven demand', 'uneven servers', 'both against each other'],
    )
    def test_zone_without_room_sends_what_it_cannot_serve(self, slots_by_zone, demand_by_zone):
        zones = _Zones(slots_by_zone, demand_by_zone)
        zones.run(30)
        assert all(zones.busy(zone) < slots for zone, slots in slots_by_zone.items())
        excess = sum(
            max(0.0, demand_by_zone[zone] - 0.5 * slots) for zone, slots in slots_by_zone.items()
        )
        assert zones.crossed() <= excess / sum(demand_by_zone.values())

    def test_no_zone_swings_once_the_load_is_steady(self):
        zones = _Zones({'a': 120, 'b': 40, 'c': 120}, {'a': 50, 'b': 60, 'c': 50})
        zones.run(30)
        settled = zones.run(60)
        for zone in ('a', 'b', 'c'):
            shares = [shares[zone] for shares in settled]
            assert max(shares) - min(shares) <= zone_share.MAX_STEP

    def test_zone_filled_by_another_one_does_not_swing(self):
        zones = _Zones({'a': 40, 'b': 20}, {'a': 60, 'b': 15})
        zones.run(30)
        shares = [shares['a'] for shares in zones.run(60)]
        assert max(shares) <= min(shares) + _MAX_SWING
        assert zones.busy('b') < 20

    def test_wave_that_moves_on_leaves_no_work_away_from_home(self):
        zones = _Zones({'a': 90, 'b': 90, 'c': 90}, {'a': 120, 'b': 30, 'c': 30})
        zones.run(30)
        assert zones.shares_by_zone['a'].share > 0
        zones.demand_by_zone.update(a=30, b=120)
        zones.run(30)
        assert zones.shares_by_zone['a'].share == 0
        assert zones.busy('b') < 90

    def test_nothing_crosses_to_be_rejected_when_all_zones_are_full(self):
        zones = _Zones({'a': 50, 'b': 50, 'c': 50}, {'a': 80, 'b': 80, 'c': 80})
        zones.run(50)
        assert zones.crossed() == 0


class TestKnowledge:
    """Guards against decisions on load that nobody has confirmed."""

    def _share_after(self, rooms, steps: int = 30) -> zone_share.ZoneShare:
        share = zone_share.ZoneShare('a', _CROSSING)
        for step in range(steps):
            share.step(rooms, _SIZE_KB, 0.0, clock.Milliseconds(step * zone_share.STEP_MS))
        return share

    def test_zone_whose_load_is_unknown_receives_nothing(self):
        share = self._share_after({'a': _room(10, 12), 'b': _room(100, 0, age_ms=5000.0)})
        assert share.share == 0

    def test_callers_without_a_host_in_their_zone_leave_at_once(self):
        share = self._share_after({'b': _room(100, 0), 'c': _room(100, 50)}, steps=1)
        assert share.share >= 1
        assert share.weights_by_zone['b'] > share.weights_by_zone['c']

    def test_slow_zone_is_left_for_a_fast_one(self):
        rooms = {'a': _room(50, 10, work_ms=700.0), 'b': _room(100, 10)}
        share = self._share_after(rooms)
        assert share.share * 2 > 1

    def test_large_requests_stay_where_small_ones_leave(self):
        rooms = {'a': _room(50, 10, work_ms=130.0), 'b': _room(100, 10)}
        small = zone_share.ZoneShare('a', zone_share.Crossing(5.0, 1.0))
        large = zone_share.ZoneShare('a', zone_share.Crossing(5.0, 1.0))
        small.step(rooms, 1.0, 0.0, clock.Milliseconds(0))
        large.step(rooms, 100.0, 0.0, clock.Milliseconds(0))
        assert small.share > 0
        assert large.share == 0

    def test_share_rises_slowly_while_the_load_of_other_zones_is_old(self):
        rooms = {'a': _room(10, 30), 'b': _room(100, 0, age_ms=2000.0)}
        assert self._share_after(rooms, steps=20).share < _MAX_BLIND_SHARE

    def test_zone_whose_hosts_are_avoided_keeps_its_share(self):
        share = self._share_after({'a': _room(0, 0), 'b': _room(100, 0)})
        assert share.share == 0

    def test_slow_zone_that_meets_the_objectives_is_not_left(self):
        rooms = {'a': _room(50, 10, work_ms=300.0), 'b': _room(100, 10)}
        share = zone_share.ZoneShare('a', _CROSSING)
        share.step(rooms, _SIZE_KB, 400.0, clock.Milliseconds(0))
        assert share.share == 0


class TestSteps:
    """Guards against shares that jump, and that are computed for each request."""

    def test_share_moves_by_a_bounded_step(self):
        share = zone_share.ZoneShare('a', _CROSSING)
        rooms = {'a': _room(10, 30), 'b': _room(100, 0)}
        share.step(rooms, _SIZE_KB, 0.0, clock.Milliseconds(0))
        assert share.share == pytest.approx(zone_share.MAX_STEP)

    def test_no_step_is_taken_before_its_time(self):
        share = zone_share.ZoneShare('a', _CROSSING)
        rooms = {'a': _room(10, 30), 'b': _room(100, 0)}
        assert share.step(rooms, _SIZE_KB, 0.0, clock.Milliseconds(0))
        assert not share.step(rooms, _SIZE_KB, 0.0, clock.Milliseconds(zone_share.STEP_MS / 2))

    def test_time_rises_with_load_and_is_infinite_without_slots(self):
        times = [_room(20, busy).time_ms() for busy in range(0, 60, 3)]
        assert times == sorted(times)
        assert math.isinf(_room(0, 0).time_ms())
