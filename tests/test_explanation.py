"""Tests of the explanation where a request would go."""

from __future__ import annotations

import random
import types

import pytest

from anvillug import clock
from anvillug.platform import documents
from anvillug.process import explanation, inspection, metrics, peer_table, upstream
from anvillug.process.commands import explain
from anvillug.version import directives, rollout, rollouts, route_table
from tests import test_host_choice, test_mesh_host

_NOW = clock.Milliseconds(10_000)
_QUESTION = explanation.Question(b'a.example', b'/get/1')


class _Entry:
    """Entry side with given hosts, which prefers the first one."""

    def __init__(self, hosts) -> None:
        self._hosts = hosts

    def hosts(self, service, now) -> list[peer_table.Peer]:
        return self._hosts

    def eligible(self, service, now) -> list[peer_table.Peer]:
        return [
            host
            for host in self._hosts
            if host.announcement.state is upstream.UpstreamState.SERVING
        ]

    def preview(self, work, hosts, rng: random.Random) -> peer_table.Peer | None:
        return hosts[0] if hosts else None

    def zone_share(self, service) -> tuple[float, str]:
        return 0.25, 'own zone waits longer'


def _explanation(hosts, routes=None, zones_out=()) -> explanation.Explanation:
    active = directives.ActiveDirectives(documents.decode_directives)
    active.current = directives.Directives(
        directives.Position(1, 7), 3, routes=routes, zones_out=frozenset(zones_out)
    )
    time = clock.ManualClock(_NOW)
    all_rollouts = rollouts.Rollouts(time, rollout.Exposure(0.1, 50), lambda: None)
    return explanation.Explanation(
        test_mesh_host.settings(), time, active, all_rollouts, _Entry(hosts)
    )


def _hosts():
    avoided = test_host_choice.make_peer('b')
    avoided.avoid(_NOW)
    return [
        test_host_choice.make_peer('a', 120),
        avoided,
        test_host_choice.make_peer('c', state=upstream.UpstreamState.LEAVING),
        test_host_choice.make_peer('d', zone='out'),
    ]


class TestExplanation:
    """Guards against an explanation that differs from what happens, or that leaves a trace."""

    def test_each_host_has_a_rank_or_a_reason(self, routes):
        answer = _explanation(_hosts(), routes, ('out',)).explain(_QUESTION)
        service = answer['services'][0]
        assert service['would_go_to'] == 'a'
        assert {host['host']: host['excluded'] for host in service['hosts']} == {
            'a': '',
            'b': 'avoided after a failure',
            'c': 'backend server is leaving',
            'd': 'zone is out',
        }
        assert service['hosts'][0]['slowness'] == 120
        assert (service['share_to_other_zones'], answer['node']['revision']) == (0.25, 3)

    def test_request_without_a_host_is_rejected(self, routes):
        service = _explanation([], routes).explain(_QUESTION)['services'][0]
        assert (service['status'], service['would_go_to']) == (503, None)

    def test_unknown_path_and_missing_configuration(self, routes):
        unknown = explanation.Question(b'a.example', b'/unknown/')
        assert _explanation([], routes).explain(unknown)['status'] == 404
        assert _explanation([]).explain(_QUESTION)['reason'] == 'no configuration'


class TestQuestions:
    """Guards against malformed questions that are answered, or that end in an internal error."""

    @pytest.mark.parametrize(
        ('query', 'place'),
        [(b'path=/x/', 'host'), (b'host=a&path=x', 'path'), (b'host=a&path=/x&size=-1', 'size')],
    )
    def test_malformed_question_is_rejected_with_its_place(self, routes, query, place):
        responses = []
        exchange = types.SimpleNamespace(
            head=types.SimpleNamespace(path=b'/explain', target=b'/explain?%b' % query),
            respond=lambda status, body, headers=(): responses.append((status, body)),
        )
        served = inspection.Inspection(metrics.Metrics(dict), _explanation([], routes))
        served.serve(exchange)
        status, body = responses[0]
        assert status == 400
        assert body.decode().startswith(place)

    def test_answer_for_people_names_the_reason_of_each_exclusion(self, routes):
        answer = _explanation(_hosts(), routes).explain(_QUESTION)
        lines = list(explain.describe(answer))
        assert any(line.startswith('  host host="a"') for line in lines)
        assert any(line.endswith('reason="avoided after a failure"') for line in lines)


@pytest.fixture
def routes():
    """Return routes with one path."""
    route = route_table.Route(
        name='r',
        host=b'a.example',
        path_prefix=b'/get/',
        kind=route_table.RouteKind.REPEATABLE,
        timeout_ms=1000,
        target_latency_ms=500,
        priority=1,
        parts=(route_table.RoutePart('one', 1),),
        max_attempts=2,
    )
    return route_table.RouteTable([route], [], route_table.CallerLimits(16384, 1000, 3000, 15000))
