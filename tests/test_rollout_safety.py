"""Tests of rollouts of good and bad versions on simulated nodes, over several seeds."""

from __future__ import annotations

import pytest

from anvillug.version import rollout
from tests import rollout_fleet

_SEEDS = range(12)
_RESERVE = rollout_fleet.ROUTES[1]


def _run_all(fault: rollout_fleet.Fault, **conditions: float) -> list[rollout_fleet.Fleet]:
    fleets = []
    for seed in _SEEDS:
        fleet = rollout_fleet.Fleet(seed, fault, **conditions)
        fleet.run()
        fleets.append(fleet)
    return fleets


class TestBadVersion:
    """Guards against a bad version that exceeds the exposure bound or is completed."""

    @pytest.mark.parametrize(
        ('fault', 'conditions'),
        [
            (rollout_fleet.Fault(failure_rate=0.2), {'base_failure_rate': 0.01}),
            (rollout_fleet.Fault(failure_rate=0.2), {'base_failure_rate': 0.12}),
            (rollout_fleet.Fault(failure_rate=0.38), {'base_failure_rate': 0.18}),
            (rollout_fleet.Fault(slowdown=4), {'base_failure_rate': 0.01}),
            (rollout_fleet.Fault(slowdown=8), {'base_failure_rate': 0.12}),
            (rollout_fleet.Fault(failure_rate=0.5, from_ms=9000), {}),
            (rollout_fleet.Fault(failure_rate=0.5, from_ms=12_500), {}),
            (rollout_fleet.Fault(failure_rate=0.38, under_load=True), {}),
            (rollout_fleet.Fault(failure_rate=0.38, under_load=True), {'per_second': 300}),
            (rollout_fleet.Fault(failure_rate=0.5, route=_RESERVE), {'base_failure_rate': 0.07}),
            (rollout_fleet.Fault(failure_rate=0.5), {'per_second': 25}),
        ],
    )
    def test_is_reverted_within_the_bound(self, fault, conditions):
        for fleet in _run_all(fault, **conditions):
            assert fleet.stored_phase is rollout.Phase.REVERTED
            assert fleet.new_version_calls <= fleet.max_new_version_calls

    def test_stays_within_the_bound_while_the_store_is_unavailable(self):
        fleet = rollout_fleet.Fleet(1, rollout_fleet.Fault(failure_rate=0.5, under_load=True))
        fleet.run(10_000)
        fleet.store_is_up = False
        fleet.run()
        assert fleet.new_version_calls <= fleet.max_new_version_calls
        fleet.store_is_up = True
        fleet.run(rollout_fleet.DURATION_MS + 3000)
        assert fleet.stored_phase is rollout.Phase.REVERTED

    def test_is_reverted_although_the_deciding_node_restarts(self):
        for seed in _SEEDS:
            fleet = rollout_fleet.Fleet(
                seed, rollout_fleet.Fault(failure_rate=0.2), base_failure_rate=0.07
            )
            fleet.run(3000)
            fleet.restart(0)
            fleet.run()
            assert fleet.stored_phase is rollout.Phase.REVERTED
            assert fleet.new_version_calls <= fleet.max_new_version_calls


class TestGoodVersion:
    """Guards against a good version that is not completed."""

    @pytest.mark.parametrize(
        'conditions',
        [
            {},
            {'base_failure_rate': 0.12},
            {'failing_hosts': 1},
            {'burst_ms': 6000},
            {'burst_ms': 12_600, 'per_second': 300},
            {'per_second': 25},
            {'per_second': 300},
        ],
    )
    def test_is_completed_in_time(self, conditions):
        fleets = _run_all(rollout_fleet.Fault(), **conditions)
        completed = sum(fleet.stored_phase is rollout.Phase.COMPLETED for fleet in fleets)
        assert completed >= 0.8 * len(fleets)

    def test_is_completed_once_the_store_is_available_again(self):
        fleet = rollout_fleet.Fleet(1, rollout_fleet.Fault())
        fleet.run(10_000)
        fleet.store_is_up = False
        fleet.run()
        assert fleet.nodes[0].by_service[rollout_fleet.SERVICE].phase is rollout.Phase.CANARY
        fleet.store_is_up = True
        fleet.run(rollout_fleet.DURATION_MS + 2000)
        assert fleet.stored_phase is rollout.Phase.COMPLETED
