"""Orders of the operator in the fault soak, and the checks on them."""

from __future__ import annotations

import random
import types

import pytest
from twisted.internet import task

from anvillug import clock
from anvillug.bench import soak_orders, soak_records
from anvillug.standin import platform_store
from tests import soak_examples

_ORDERED_AT = clock.Milliseconds(10_000)


class FleetDouble:
    """Fleet without processes, on a clock that tests advance."""

    def __init__(self, seed=1) -> None:
        self.clock = task.Clock()
        self.rng = random.Random(seed)
        self.records = soak_records.Records()
        self.store = platform_store.PlatformStore(self.clock)
        self.stopped = False
        self.orders = {}
        self.hosts = [
            types.SimpleNamespace(number=number, zone=f'zone-{number % 3}') for number in range(6)
        ]

    def order(self, name, document):
        """Record an order."""
        self.orders[name] = document

    def later(self, delay_s, action, *arguments):
        """Call something after a delay."""
        self.clock.callLater(delay_s, action, *arguments)


class TestEvacuation:
    """Guards against evacuations that never end, or that leave no zone."""

    @pytest.fixture
    def fleet(self):
        """Return a fleet."""
        return FleetDouble()

    @pytest.fixture
    def evacuate(self, fleet):
        """Return the action."""
        return soak_orders.Orders(fleet).actions_by_kind['evacuate']

    def test_order_is_taken_back(self, fleet, evacuate):
        evacuate()
        name = next(iter(fleet.orders))
        evacuation = fleet.records.evacuations[0]
        assert fleet.orders == {name: {}}
        assert {fleet.hosts[number].zone for number in evacuation.nodes} == {name.split('/')[1]}
        fleet.clock.advance(10)
        assert fleet.orders == {name: None}
        assert evacuation.ended_at >= evacuation.began_at

    def test_one_zone_at_a_time(self, fleet, evacuate):
        evacuate()
        evacuate()
        assert len(fleet.records.evacuations) == 1
        fleet.clock.advance(10)
        evacuate()
        assert len(fleet.records.evacuations) == 2


class TestEvacuationCheck:
    """Guards against a soak that does not see a request in an evacuated zone."""

    @pytest.fixture
    def records(self):
        """Return records of an evacuation of node 1."""
        records = soak_records.Records()
        records.evacuations.append(soak_records.Evacuation(frozenset((1,)), _ORDERED_AT))
        return records

    @pytest.mark.parametrize(('began_at', 'is_late'), [(15_000, False), (15_001, True)])
    def test_request_after_the_order(self, records, began_at, is_late):
        _run(records, began_at)
        assert soak_examples.broken(records) == (['EVAC a1'] if is_late else [])

    def test_request_after_the_order_was_taken_back(self, records):
        records.evacuations[0].ended_at = 15_100
        _run(records, 15_100)
        soak_examples.assert_held(records)

    def test_other_zone(self, records):
        _run(records, 15_001, node=2)
        soak_examples.assert_held(records)

    @pytest.mark.parametrize('kind', soak_records.Disturbance)
    @pytest.mark.parametrize(('disturbed_at', 'is_recent'), [(12_001, False), (12_002, True)])
    def test_node_out_of_touch(self, records, kind, disturbed_at, is_recent):
        _run(records, 15_001)
        records.disturb(1, clock.Milliseconds(disturbed_at), kind)
        is_excused = is_recent and kind is not soak_records.Disturbance.HANGUP
        assert soak_examples.broken(records) == ([] if is_excused else ['EVAC a1'])


def _run(records, began_at, node=1):
    records.arrived('a1', soak_records.Run(node, clock.Milliseconds(began_at)), None)
