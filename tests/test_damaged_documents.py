"""Documents of the platform with values that a damaged or foreign sender writes."""

from __future__ import annotations

import json
import math
from collections.abc import Iterator
from typing import Any

import msgpack
from hypothesis import example, given, strategies

from anvillug import clock, findings
from anvillug.platform import documents
from anvillug.process import beacon, upstream
from anvillug.version import directives
from tests import test_beacon

_ADDRESS = '127.0.0.1:80'
_START_MS = 100_000
_POSITION = directives.Position(1, 1)
_HEARTBEAT = {
    'Service': 'one',
    'Address': _ADDRESS,
    'Zone': 'z',
    'Version': 'v1',
    'Slots': 4,
    'State': 'ready',
    'ColdLeftMs': 100.0,
    'Sequence': 1,
    'born': 1,
}
_CONFIG = {
    'Version': '0000000b',
    'Services': [{'Name': 'one', 'HealthPath': '/h', 'MaxConnections': 9, 'ColdPerS': 10.0}],
    'Limits': {
        'MaxHeaderBytes': 16384,
        'MaxBodyBytes': 1000,
        'HeaderTimeoutMs': 3000,
        'IdleTimeoutMs': 15000,
    },
    'VirtualHosts': [
        {
            'Host': 'a.example',
            'Paths': [
                {
                    'Name': 'r',
                    'PathPrefix': '/r/',
                    'Kind': 'idempotent',
                    'TimeoutMs': 3000,
                    'TargetLatencyMs': 100,
                    'Service': 'one',
                }
            ],
        }
    ],
}
_VALUES = strategies.one_of(
    strategies.sampled_from(['\ud800', '', 'x', '1', 10**400, -1, 0, [], {}, None, True]),
    strategies.floats(),
    strategies.integers(),
)


def _places(content: Any) -> Iterator[tuple[Any, Any]]:
    """Yield each container at any depth with each of its keys."""
    keys: Any = ()
    if isinstance(content, list):
        keys = range(len(content))
    elif isinstance(content, dict):
        keys = tuple(content)
    for key in keys:
        yield content, key
        yield from _places(content[key])


@strategies.composite
def _damaged(draw, document: object) -> bytes:
    """Return a document in which a value at any depth is replaced or removed."""
    content = json.loads(json.dumps(document))
    container, key = draw(strategies.sampled_from(list(_places(content))))
    if draw(strategies.booleans()):
        container.pop(key)
    else:
        container[key] = draw(_VALUES)
    return json.dumps(content).encode()


class TestHeartbeats:
    """Guards against heartbeats that are accepted and can't be sent on, or never end to be cold."""

    @given(body=_damaged(_HEARTBEAT))
    @example(body=json.dumps({**_HEARTBEAT, 'ColdLeftMs': math.inf}).encode())
    def test_what_is_accepted_can_be_announced(self, body):
        backend = upstream.Upstream(_ADDRESS, clock.ManualClock(_START_MS))
        decoded = documents.decode_heartbeat('i-1', body)
        if isinstance(decoded, tuple):
            assert all(isinstance(finding, findings.Finding) for finding in decoded)
            return
        if backend.receive_heartbeat(decoded):
            return
        sent = test_beacon.announcement(
            service=decoded.service,
            version=decoded.version,
            cold=backend.cold_ms > 0,
        )
        assert beacon.decode(beacon.encode(sent, {})) == (sent, {})
        msgpack.packb(backend.leaves.brief().to_data())
        assert math.isfinite(backend.cold_ms)

    @given(body=strategies.binary(max_size=60))
    def test_arbitrary_bytes_are_findings(self, body):
        assert isinstance(documents.decode_heartbeat('i-1', body), tuple)


class TestConfigurations:
    """Guards against configurations that are applied and fail at the first request."""

    @given(body=_damaged(_CONFIG))
    def test_what_is_applied_can_be_used(self, body):
        records = {documents.CONFIG_KEY: directives.Record(_POSITION, body)}
        applied = documents.decode_directives(records, _POSITION, directives.Directives())
        if applied.routes is None:
            return
        route = applied.routes.match(b'a.example', b'/r/x')
        limits = applied.routes.limits
        times = [limits.idle_timeout_ms, limits.header_timeout_ms]
        if route is not None:
            assert {part.service for part in route.parts} <= set(applied.routes.services_by_name)
            assert 0 <= route.target_latency_ms < math.inf
            times.append(route.timeout_ms)
        assert all(0 < time < math.inf for time in times)
        assert limits.max_header_bytes > 0
