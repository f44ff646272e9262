"""Tests of decoding and encoding the platform's documents."""

from __future__ import annotations

import json

import pytest

from anvillug import ids
from anvillug.platform import documents
from anvillug.process import upstream
from anvillug.version import directives, rollout, route_table

CONFIG = {
    'Version': '0000000c',
    'Services': [
        {'Name': 'one', 'HealthPath': '/health', 'MaxConnections': 260, 'ColdPerS': 43.0},
        {'Name': 'two', 'HealthPath': '/health', 'MaxConnections': 260},
    ],
    'Limits': {
        'MaxHeaderBytes': 16384,
        'MaxBodyBytes': 1000,
        'HeaderTimeoutMs': 3000,
        'IdleTimeoutMs': 15000,
    },
    'VirtualHosts': [
        {
            'Host': 'A.example',
            'Paths': [
                {
                    'Name': 'r',
                    'PathPrefix': '/p/',
                    'Kind': 'idempotent',
                    'TimeoutMs': 800,
                    'WeightedSplit': [
                        {'Service': 'one', 'Weight': 90},
                        {'Service': 'two', 'Weight': 10},
                    ],
                },
            ],
        },
    ],
}
HEARTBEAT = {
    'Service': 'one',
    'Address': '10.0.0.1:80',
    'Zone': 'z',
    'Version': 'v1',
    'Slots': 9,
    'State': 'ready',
    'ColdLeftMs': 0,
    'Sequence': 4,
    'born': 1700000000000,
}


def _decode(records: dict[str, object], previous: directives.Directives | None = None):
    packed = {
        key: directives.Record(
            directives.Position(1, number), value if isinstance(value, bytes) else _json(value)
        )
        for number, (key, value) in enumerate(records.items())
    }
    return documents.decode_directives(
        packed, directives.Position(1, len(packed)), previous or directives.Directives()
    )


def _split_of(config: dict) -> list[dict]:
    return config['VirtualHosts'][0]['Paths'][0]['WeightedSplit']


def _json(value: object) -> bytes:
    return json.dumps(value).encode()


class TestDirectives:
    """Guards against directives that are lost, or malformed ones that replace valid ones."""

    def test_config(self):
        decoded = _decode({'config': CONFIG})
        route = decoded.routes.match(b'a.example', b'/p/x')
        assert decoded.revision == 12
        assert route.kind is route_table.RouteKind.REPEATABLE
        assert [part.weight for part in route.parts] == [90, 10]
        assert decoded.routes.services_by_name['one'].cold_per_second == 43

    @pytest.mark.parametrize(
        'rejected',
        [
            b'{"Version',
            _json({**CONFIG, 'Version': 'x'}),
            _json({**CONFIG, 'Services': []}),
            _json({**CONFIG, 'Version': '00000001'}),
        ],
    )
    def test_malformed_or_older_config_is_ignored(self, rejected: bytes):
        previous = _decode({'config': CONFIG})
        decoded = _decode({'other': b'{}', 'config': rejected}, previous)
        assert decoded.revision == 12
        assert decoded.routes is previous.routes

    @pytest.mark.parametrize(
        ('weights', 'message'),
        [
            ((-1, 5), "Weight -1.0 of 'one' must be 0 or more"),
            ((float('inf'), 5), "Weight inf of 'one' must be 0 or more, and finite"),
            ((0, 0), 'at least one Weight must be above 0'),
        ],
    )
    def test_bad_weights_are_found_with_their_place(self, weights, message, caplog):
        previous = _decode({'config': CONFIG})
        changed = json.loads(json.dumps({**CONFIG, 'Version': '0000000d'}))
        for part, weight in zip(_split_of(changed), weights, strict=True):
            part['Weight'] = weight
        decoded = _decode({'other': b'{}', 'config': changed}, previous)
        assert decoded.routes is previous.routes
        assert f'VirtualHosts.A.example.r: {message}' in caplog.text.replace('\\', '')

    # A node that has just started would apply the older configuration of a restored store.
    @pytest.mark.parametrize(
        'records', [{'config': {**CONFIG, 'Version': '00000001'}}, {'config': b'{'}, {}]
    )
    def test_peers_are_not_served_a_config_that_was_ignored(self, records: dict[str, object]):
        previous = _decode({'config': CONFIG})
        decoded = _decode(records, previous)
        assert decoded.records['config'] == previous.records['config']

    def test_rollouts_and_evacuated_zones(self):
        decoded = _decode(
            {
                'evacuate/z1': {},
                'rollout/one': {'Service': 'one', 'TargetVersion': 'v2', 'DurationS': 12},
                'rollout/two': b'?',
            },
        )
        order = decoded.rollouts_by_service['one']
        assert decoded.zones_out == {'z1'}
        assert (order.target_version, order.duration_ms) == ('v2', 12000)
        assert order.position == directives.Position(1, 1)
        assert 'two' not in decoded.rollouts_by_service


class TestHeartbeat:
    """Guards against accepting malformed heartbeats of backend servers."""

    def test_valid(self):
        heartbeat = documents.decode_heartbeat('i-1', _json(HEARTBEAT))
        assert heartbeat.state is upstream.UpstreamState.SERVING
        assert (heartbeat.instance, heartbeat.sequence, heartbeat.slots) == ('i-1', 4, 9)

    @pytest.mark.parametrize('field', sorted(set(HEARTBEAT) - {'ColdLeftMs'}))
    def test_missing_field_is_reported(self, field: str):
        content = {key: value for key, value in HEARTBEAT.items() if key != field}
        finding = documents.decode_heartbeat('i-1', _json(content))[0]
        assert finding.place == f'heartbeat of i-1: {field}'

    @pytest.mark.parametrize(
        ('field', 'value'),
        [('State', 'gone'), ('Sequence', 'x'), ('born', 1.5), ('Slots', 0), ('Service', 3)],
    )
    def test_wrong_value_is_rejected(self, field: str, value: object):
        findings = documents.decode_heartbeat('i-1', _json({**HEARTBEAT, field: value}))
        assert findings[0].place.endswith(field)

    def test_malformed_json_is_rejected(self):
        assert documents.decode_heartbeat('i-1', b'\xff{')[0].message


class TestStatus:
    """Guards against a status that other nodes can't decode."""

    @pytest.mark.parametrize(
        'phase', [rollout.Phase.CANARY, rollout.Phase.COMPLETED, rollout.Phase.REVERTED]
    )
    def test_round_trip(self, phase: rollout.Phase):
        status = rollout.Status(ids.ServiceName('one'), ids.VersionName('v2'), phase)
        assert documents.decode_status(status.service, documents.encode_status(status)) == status

    def test_malformed_status_is_none(self):
        assert documents.decode_status(ids.ServiceName('one'), b'{"State": "odd"}') is None
