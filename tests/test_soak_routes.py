"""Configurations of the fault soak that change routes, and the checks on them."""

from __future__ import annotations

import itertools

import pytest

from anvillug import clock
from anvillug.bench import soak_classes, soak_config, soak_records, soak_routes
from tests import soak_examples
from tests.test_soak_orders import FleetDouble

_ROUTE = soak_classes.SHEET.route


class TestConfigurations:
    """Guards against changes that a configuration does not contain."""

    @pytest.mark.parametrize(
        ('changes', 'services'),
        [
            (soak_config.Changes(), {'sheet': 'drawbook', 'scan': 'fieldvault'}),
            (soak_config.Changes(dropped=frozenset(('scan',))), {'sheet': 'drawbook'}),
            (
                soak_config.Changes(moved={'sheet': 'fieldvault'}),
                {'sheet': 'fieldvault', 'scan': 'fieldvault'},
            ),
        ],
    )
    def test_routes(self, changes, services):
        document = _document(changes)
        paths = document['VirtualHosts'][0]['Paths']
        assert {path['Name']: path['Service'] for path in paths} == services

    def test_limits(self):
        changes = soak_config.Changes(max_connections=5, max_body_bytes=7, idle_timeout_ms=9)
        document = _document(changes)
        assert {service['MaxConnections'] for service in document['Services']} == {5}
        assert document['Limits']['MaxBodyBytes'] == 7
        assert document['Limits']['IdleTimeoutMs'] == 9


class TestSeries:
    """Guards against a series that leaves its changes in force, or makes none."""

    @pytest.mark.parametrize('seed', range(10))
    def test_usual_configuration_follows(self, seed):
        fleet = FleetDouble(seed)
        written = []
        fleet.change_config = lambda: written.append(fleet.changes)
        soak_routes.Routes(fleet).actions_by_kind['routes']()
        fleet.clock.pump(itertools.repeat(0.01, 1000))
        usual = soak_config.Changes()
        assert written[-1] == usual
        assert 2 <= len(written[:-1]) <= 5
        assert usual not in written[:-1]

    def test_each_change_is_made(self):
        fleet = FleetDouble()
        routes = soak_routes.Routes(fleet)
        usual = soak_config.Changes()
        made = [routes._changed() for _ in range(50)]
        for field in usual.__dataclass_fields__:
            assert any(getattr(each, field) != getattr(usual, field) for each in made)


class TestChecks:
    """Guards against a soak that does not see a route of an older configuration."""

    @pytest.fixture
    def records(self):
        """Return records of two configurations; the second moves the route."""
        records = soak_records.Records()
        records.configs += [clock.Milliseconds(0), clock.Milliseconds(10_000)]
        records.services_by_route += [{_ROUTE: 'drawbook'}, {_ROUTE: 'fieldvault'}]
        return records

    @pytest.mark.parametrize('service', ['drawbook', 'fieldvault'])
    @pytest.mark.parametrize(('sent_at', 'is_applied'), [(11_999, False), (12_000, True)])
    def test_moved_route(self, records, service, sent_at, is_applied):
        _answer(records, 200, sent_at, service)
        is_old = is_applied and service == 'drawbook'
        assert soak_examples.broken(records) == (['CONFIG old service a1'] if is_old else [])

    def test_dropped_route(self, records):
        records.services_by_route[1] = {}
        _answer(records, 200, 12_000, 'drawbook')
        assert soak_examples.broken(records) == ['CONFIG old service a1']

    @pytest.mark.parametrize('has_route', [True, False])
    @pytest.mark.parametrize(('sent_at', 'is_applied'), [(11_999, False), (12_000, True)])
    def test_refusal(self, records, has_route, sent_at, is_applied):
        records.services_by_route[0] = {}
        if not has_route:
            records.services_by_route[1] = {}
        _answer(records, 404, sent_at)
        is_broken = is_applied and has_route
        assert soak_examples.broken(records) == (['CONFIG refused a1'] if is_broken else [])

    def test_service_of_a_later_configuration(self, records):
        _answer(records, 200, 9000, 'fieldvault')
        assert soak_examples.broken(records) == ['ROUTE a1']

    @pytest.mark.parametrize('node', [0, 1])
    def test_node_out_of_touch(self, records, node):
        _answer(records, 200, 12_000, 'drawbook')
        records.disturb(node, clock.Milliseconds(9001), soak_records.Disturbance.STORE)
        soak_examples.assert_held(records)

    def test_no_disturbance_excuses_a_service_that_was_never_allowed(self, records):
        _answer(records, 200, 12_000, 'other')
        records.disturb(0, clock.Milliseconds(12_000), soak_records.Disturbance.UNPLANNED)
        assert soak_examples.broken(records) == ['ROUTE a1']


def _document(changes):
    classes = [soak_classes.SHEET, soak_classes.SCAN]
    return soak_config.document(classes, ['drawbook', 'fieldvault'], 1, changes)


def _answer(records, status, sent_at, service=''):
    attempt = soak_examples.answered(records, status, body=b'a1', sent_at=sent_at)
    attempt.route = _ROUTE
    attempt.repeatable = True
    if service:
        run = soak_records.Run(1, clock.Milliseconds(sent_at + 50), service=service)
        records.arrived('a1', run, None)
