"""Tests of the explanation where a request would go."""

from __future__ import annotations

import random
import types
from unittest import mock

import pytest

from anvillug import clock, ids
from anvillug.connection import http_head
from anvillug.platform import documents
from anvillug.process import explanation, inspection, metrics, peer_table, upstream
from anvillug.process.commands import explain
from anvillug.version import directives, rollout, rollouts, route_table, tenants
from tests import test_host_choice, test_mesh_host

_NOW = clock.Milliseconds(10_000)
_QUESTION = explanation.Question(b'a.example', b'/get/1')


class _Entry:
    """Entry side with given hosts, which prefers the first one."""

    def __init__(self, hosts) -> None:
        self._hosts = hosts
        self.word_is_recent = True
        self.rejection = ('', 0.0)
        self.offered = []

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

    def has_recent_word(self) -> bool:
        return self.word_is_recent

    def own_rejection(self, work) -> tuple[str, float]:
        self.offered.append(work)
        return self.rejection

    def zone_share(self, service) -> tuple[float, str]:
        return 0.25, 'own zone waits longer'


def _explanation(hosts, routes=None, zones_out=(), entry=None) -> explanation.Explanation:
    active = directives.ActiveDirectives(documents.decode_directives)
    active.current = directives.Directives(
        directives.Position(1, 7), 3, routes=routes, zones_out=frozenset(zones_out)
    )
    time = clock.ManualClock(_NOW)
    all_rollouts = rollouts.Rollouts(time, rollout.Exposure(0.1, 50), lambda: None)
    return explanation.Explanation(
        test_mesh_host.settings(), time, active, all_rollouts, entry or _Entry(hosts)
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


class TestTenants:
    """Guards against an answer for another tenant than the key's, and against keys in output."""

    @pytest.fixture
    def keyed(self):
        tenant = tenants.Tenant(ids.TenantName('small'), (b'secret-key',), 4)
        table = tenants.TenantTable([tenant])
        return _routes(table)

    def _ask(self, keyed, credentials, entry=None):
        question = explanation.Question(b'a.example', b'/get/1', credentials=credentials)
        return _explanation(_hosts(), keyed, entry=entry).explain(question)

    def test_tenant_of_the_key(self, keyed):
        entry = _Entry([test_host_choice.make_peer('h')])
        answer = self._ask(keyed, b'Bearer secret-key', entry)
        assert answer['tenant'] == {'name': 'small', 'priority': 4}
        assert [(work.tenant, work.priority) for work in entry.offered] == [('small', 4)]

    def test_without_a_key_none_is_checked(self, keyed):
        answer = self._ask(keyed, b'')
        assert ('tenant' in answer, 'status' in answer) == (False, False)

    @pytest.mark.parametrize(
        ('is_recent', 'status', 'reason'),
        [(True, 401, 'unknown key'), (False, 503, 'no recent word of the log')],
    )
    def test_rejected(self, keyed, is_recent, status, reason):
        entry = _Entry([])
        entry.word_is_recent = is_recent
        answer = self._ask(keyed, b'Bearer other-key', entry)
        assert (answer['status'], answer['reason'], answer['services']) == (status, reason, [])
        assert f'status={status} reason="{reason}"' in list(explain.describe(answer))[-1]

    @pytest.mark.parametrize('credentials', [b'Bearer secret-key', b'Bearer other-key'])
    def test_key_is_in_no_output(self, keyed, credentials, monkeypatch):
        logged = mock.Mock()
        monkeypatch.setattr(explanation.event_log, 'emit', logged)
        responses = []
        exchange = types.SimpleNamespace(
            head=http_head.RequestHead(
                b'GET', b'/explain?host=a.example&path=/get/1', [(b'Authorization', credentials)]
            ),
            respond=lambda status, body, headers=(): responses.append((status, body)),
        )
        served = inspection.Inspection(metrics.Metrics(dict), _explanation(_hosts(), keyed))
        served.serve(exchange)
        key = credentials.split()[1].decode()
        assert responses[0][0] == 200
        assert key not in f'{responses} {logged.mock_calls}'
        assert key not in repr(explanation.Question(b'a', b'/', credentials=credentials))

    @pytest.mark.parametrize(('wait_ms', 'low', 'high'), [(0.0, 60, 60), (100.0, 100, 200)])
    def test_rejection_by_the_own_host(self, routes, wait_ms, low, high):
        entry = _Entry([test_host_choice.make_peer('h'), test_host_choice.make_peer('a')])
        entry.rejection = ('no room in time', wait_ms)
        answer = _explanation([], routes, entry=entry).explain(_QUESTION)
        own, other = sorted(
            answer['services'][0]['hosts'], key=lambda host: host['host'], reverse=True
        )
        assert own['rejects'] == 'no room in time'
        assert low <= own['retry_after_ms'] <= high
        assert 'rejects' not in other

    @pytest.mark.parametrize('content', [b'', b'two keys', b'\xff', None])
    def test_unusable_key_file(self, tmp_path, capsys, content):
        path = tmp_path / 'key'
        if content is not None:
            path.write_bytes(content)
        status = explain.explain('10.0.0.1:1', host='a', path='/', key_file=str(path))
        assert status == 2
        message = capsys.readouterr().err
        assert str(path) in message
        assert 'two keys' not in message


class TestQuestions:
    """Guards against malformed questions that are answered, or that end in an internal error."""

    @pytest.mark.parametrize(
        ('query', 'place'),
        [(b'path=/x/', 'host'), (b'host=a&path=x', 'path'), (b'host=a&path=/x&size=-1', 'size')],
    )
    def test_malformed_question_is_rejected_with_its_place(self, routes, query, place):
        responses = []
        exchange = types.SimpleNamespace(
            head=http_head.RequestHead(b'GET', b'/explain?%b' % query, []),
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
    return _routes()


def _routes(table: tenants.TenantTable | None = None) -> route_table.RouteTable:
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
    limits = route_table.CallerLimits(16384, 1000, 3000, 15000)
    return route_table.RouteTable([route], [], limits, table)
