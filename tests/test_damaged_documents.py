"""Documents of the platform with values that a damaged or foreign sender writes."""

from __future__ import annotations

import json
import math

import msgpack
from hypothesis import example, given, strategies

from anvillug import clock, findings
from anvillug.platform import documents
from anvillug.process import beacon, upstream
from anvillug.version import directives
from tests import damaged, test_beacon, test_platform_documents

_START_MS = 100_000
_POSITION = directives.Position(1, 1)
_VALUES = strategies.one_of(
    strategies.sampled_from(['\ud800', '', 'x', '1', 10**400, -1, 0, [], {}, None, True]),
    strategies.floats(),
    strategies.integers(),
)


def _damaged(document: object) -> strategies.SearchStrategy[bytes]:
    """Return documents in which a value at any depth is replaced or removed."""
    return damaged.content(document, _VALUES).map(lambda content: json.dumps(content).encode())


class TestHeartbeats:
    """Guards against heartbeats that are accepted and can't be sent on, or never end to be cold."""

    @given(body=_damaged(test_platform_documents.HEARTBEAT))
    @example(
        body=json.dumps({**test_platform_documents.HEARTBEAT, 'ColdLeftMs': math.inf}).encode()
    )
    def test_what_is_accepted_can_be_announced(self, body):
        backend = upstream.Upstream(
            test_platform_documents.HEARTBEAT['Address'], clock.ManualClock(_START_MS)
        )
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

    @given(body=_damaged(test_platform_documents.CONFIG))
    def test_what_is_applied_can_be_used(self, body):
        records = {documents.CONFIG_KEY: directives.Record(_POSITION, body)}
        applied = documents.decode_directives(records, _POSITION, directives.Directives())
        if applied.routes is None:
            return
        route = applied.routes.match(b'a.example', b'/p/x')
        limits = applied.routes.limits
        times = [limits.idle_timeout_ms, limits.header_timeout_ms]
        if route is not None:
            assert {part.service for part in route.parts} <= set(applied.routes.services_by_name)
            assert 0 <= route.target_latency_ms < math.inf
            times.append(route.timeout_ms)
        assert all(0 < time < math.inf for time in times)
        assert limits.max_header_bytes > 0
