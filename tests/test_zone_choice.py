"""Tests of the selection of a host by what callers gain from leaving their zone."""

from __future__ import annotations

import collections
import dataclasses
import random

from anvillug import clock
from anvillug.connection import http_head
from anvillug.process import metrics, zone_choice, zone_share
from anvillug.request import dialect, job
from tests import test_host_choice, test_job

_NOW = clock.Milliseconds(10_000)
_WORK_MS = 250.0
_OBJECTIVE_MS = 600.0
_CROSSING = zone_share.Crossing(delay_ms=40.0, delay_ms_per_kb=1.0)


def _peers(zone: str, count: int, slowness: float = 100, running: int = 0):
    return [
        test_host_choice.make_peer(f'{zone}{number}', slowness, running, zone)
        for number in range(count)
    ]


class _Callers:
    """Callers of zone `z`, whose requests usually take `_WORK_MS`."""

    def __init__(self) -> None:
        self.choice = zone_choice.ZoneChoice(
            'z', _CROSSING, metrics.Metrics(dict), random.Random(3)
        )
        answered = job.Result(
            job.ResultKind.ANSWERED,
            head=http_head.ResponseHead(200, []),
            load=dialect.ReportedLoad(0, 0, 9, 100),
        )
        self.choice.record(self.job(), answered, _WORK_MS)

    def job(self, **changes: object) -> job.Job:
        """Return a request with its whole time left."""
        objective = clock.Milliseconds(_NOW + _OBJECTIVE_MS)
        deadline = clock.Milliseconds(_NOW + 1500)
        work = dataclasses.replace(test_job.JOB, objective=objective, deadline=deadline)
        return dataclasses.replace(work, **changes)

    def zones(self, peers, now=_NOW, times: int = 300, **changes: object):
        """Select hosts and return how often each zone was selected."""
        work = self.job(**changes)
        return collections.Counter(
            self.choice.choose(work, peers, peers, now).announcement.zone for _ in range(times)
        )


class TestGain:
    """Guards against bytes between zones that no caller gains from."""

    def test_no_host_is_selected_without_hosts(self):
        assert _Callers().choice.choose(_Callers().job(), [], [], _NOW) is None

    def test_requests_stay_while_they_meet_their_objective(self):
        peers = _peers('z', 5, slowness=140) + _peers('y', 20, slowness=100)
        assert set(_Callers().zones(peers)) == {'z'}

    def test_requests_leave_a_zone_whose_hosts_are_all_slow(self):
        peers = _peers('z', 3, slowness=700) + _peers('y', 20, slowness=100)
        assert set(_Callers().zones(peers)) == {'y'}

    def test_requests_leave_the_slower_hosts_of_a_busy_zone(self):
        # Slow runs hold the slots that the requests behind them wait for.
        peers = _peers('z', 5, slowness=130, running=7) + _peers('y', 20, slowness=100)
        assert set(_Callers().zones(peers, times=1)) == {'y'}
        calm = _peers('z', 5, slowness=130, running=2) + _peers('y', 20, slowness=100)
        assert set(_Callers().zones(calm)) == {'z'}

    def test_large_request_stays_if_crossing_takes_longer(self):
        peers = _peers('z', 3, slowness=300) + _peers('y', 20, slowness=100)
        assert set(_Callers().zones(peers, times=1)) == {'y'}
        large = b'x' * 2 * 1024 * 1024
        assert set(_Callers().zones(peers, times=1, body=large)) == {'z'}

    def test_requests_without_a_host_in_their_zone_are_served(self):
        assert set(_Callers().zones(_peers('y', 4))) == {'y'}

    def test_request_without_time_left_still_gets_a_host(self):
        assert _Callers().zones(_peers('z', 2), objective=_NOW, deadline=_NOW) == {'z': 300}


class TestRoom:
    """Guards against a zone without room that is found out one rejection at a time."""

    def test_share_of_the_requests_leaves_a_full_zone(self):
        callers = _Callers()
        peers = _peers('z', 4, running=12) + _peers('y', 20)
        for step in range(5):
            callers.zones(peers, clock.Milliseconds(_NOW + step * zone_share.STEP_MS), times=1)
        share = callers.choice.shares_by_service['s'].share
        assert share > 0
        assert callers.choice.gauges() == {'zone_share_left': share}

    def test_retry_says_nothing_about_the_room_of_the_zone(self):
        callers = _Callers()
        peers = _peers('z', 1) + _peers('y', 5)
        assert callers.choice.choose(callers.job(), peers[1:], peers, _NOW) is not None
        assert callers.choice.shares_by_service['s'].share == 0

    def test_zone_whose_hosts_have_reported_no_load_is_not_left(self):
        callers = _Callers()
        unknown = [test_host_choice.make_peer(f'z{number}', load=None) for number in range(3)]
        callers.zones(unknown + _peers('y', 20), times=1)
        assert callers.choice.shares_by_service['s'].share == 0

    def test_nothing_leaves_when_the_other_zones_are_full_too(self):
        callers = _Callers()
        peers = _peers('z', 4, running=12) + _peers('y', 4, running=12)
        for step in range(5):
            callers.zones(peers, clock.Milliseconds(_NOW + step * zone_share.STEP_MS), times=1)
        assert callers.choice.shares_by_service['s'].share == 0
