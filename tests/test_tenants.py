"""Tests of tenants: their documents, the keys of requests, and what backend servers receive."""

from __future__ import annotations

import json

import pytest

from anvillug import ids
from anvillug.connection import http_head
from anvillug.platform import documents, headers, tenant_documents
from anvillug.request import access, job
from anvillug.version import directives, route_table, tenants
from tests import test_platform_documents, test_routed_call

_TENANTS = [
    {'Name': 'small', 'ApiKeys': ['key-1', 'key-2'], 'Priority': 2},
    {'Name': 'large', 'ApiKeys': ['key-3']},
]
_RECENT = True
_KEY = (b'Authorization', b'bEARER key-1')
_FORGED = (b'anvillug-tenant-name', b'large')


def _decode(
    revision: int, *added: object, previous: directives.Directives | None = None
) -> directives.Directives:
    """Decode a configuration with these tenants besides the usual ones."""
    version = {'Version': f'{revision:08x}', 'Tenants': [*_TENANTS, *added]}
    content = json.dumps({**test_platform_documents.CONFIG, **version}).encode()
    position = directives.Position(1, revision)
    records = {'config': directives.Record(position, content)}
    return documents.decode_directives(records, position, previous or directives.Directives())


class TestDocuments:
    """Guards against tenants that are misread, and against keys in logs."""

    def test_keys_belong_to_their_tenants(self):
        table = _decode(13).routes.tenants
        assert (table.find(b'key-2').name, table.find(b'key-2').priority) == ('small', 2)
        assert (table.find(b'key-3').name, table.find(b'key-3').priority) == ('large', None)
        assert table.find(b'key-4') is None
        assert 'key-2' not in repr(table.find(b'key-2'))

    @pytest.mark.parametrize(
        ('added', 'place'),
        [
            ({'Name': 'x', 'ApiKeys': ['key-1']}, 'Tenants.2.ApiKeys.0'),
            ({'Name': 'x', 'ApiKeys': ['key-9', 'key-9']}, 'Tenants.2.ApiKeys.1'),
            ({'Name': 'x', 'ApiKeys': ['key-9 ']}, 'Tenants.2.ApiKeys.0'),
            ({'Name': 'x', 'ApiKeys': ['']}, 'Tenants.2.ApiKeys.0'),
            ({'Name': 'x', 'ApiKeys': [9]}, 'Tenants.2.ApiKeys.0'),
            ({'Name': 'x', 'ApiKeys': 'key-9'}, 'Tenants.2.ApiKeys'),
            ({'Name': 'x', 'Priority': True}, 'Tenants.2.Priority'),
            ({'Name': 'x', 'Priority': 10**400}, 'Tenants.2.Priority'),
            ({'Name': 'small'}, 'Tenants.2'),
            ({'Name': ''}, 'Tenants.2'),
            ({'Name': 'x\r\nHost: y'}, 'Tenants.2'),
            ({'ApiKeys': []}, 'Tenants.2.Name'),
            (None, 'Tenants.2'),
        ],
    )
    def test_findings_have_a_place_and_no_key(self, caplog, added, place):
        previous = _decode(13)
        decoded = _decode(14, added, previous=previous)
        assert (decoded.revision, decoded.routes) == (13, previous.routes)
        assert 'config_rejected' in caplog.text
        assert place in caplog.text
        assert 'key-' not in caplog.text

    def test_storm_of_configurations_makes_only_what_changes(self):
        many = [{'Name': f't{number}', 'ApiKeys': [f'k{number}']} for number in range(1000)]
        table = tenant_documents.decode(many, None)
        assert tenant_documents.decode(many, table) is table
        many[7] = {'Name': 't7', 'ApiKeys': []}
        later = tenant_documents.decode(many, table)
        made = set(map(id, later.tenants_by_name.values()))
        assert len(made.difference(map(id, table.tenants_by_name.values()))) == 1
        assert later.find(b'k7') is None


def _route(*, is_anonymous: bool = False) -> route_table.Route:
    part = route_table.RoutePart(ids.ServiceName('one'), 1)
    kind = route_table.RouteKind.REPEATABLE
    return route_table.Route(
        ids.RouteName('r'), b'a.example', b'/get/', kind, 800, 200, 1, (part,), 2, is_anonymous
    )


class TestAccess:
    """Guards against requests that run without a key, and odd headers that end a connection."""

    @pytest.mark.parametrize(
        ('sent', 'refusal'),
        [
            ([b'Bearer key-1'], None),
            ([b'bEARER   key-1 '], None),
            ([b'Bearer key-9'], access.Refusal.UNKNOWN_KEY),
            ([b'Bearer key-1 key-2'], access.Refusal.UNKNOWN_KEY),
            ([b'Bearer %b' % (b'\xff' * 10_000)], access.Refusal.UNKNOWN_KEY),
            ([b'Bearer key-1', b'Bearer key-1'], access.Refusal.NO_KEY),
            ([b'Basic key-1'], access.Refusal.NO_KEY),
            ([b'Bearer'], access.Refusal.NO_KEY),
            ([b''], access.Refusal.NO_KEY),
            ([], access.Refusal.NO_KEY),
        ],
    )
    def test_refusal(self, sent, refusal):
        head = http_head.RequestHead(b'GET', b'/', [(b'authorization', text) for text in sent])
        table = tenant_documents.decode(_TENANTS, None)
        assert access.decide(table, _route(), head, lambda: _RECENT).refusal is refusal
        assert (
            access.decide(table, _route(is_anonymous=True), head, lambda: not _RECENT).refusal
            is None
        )
        assert access.decide(None, _route(), head, lambda: not _RECENT).refusal is None

    def test_backend_server_gets_the_tenant_and_no_key(self):
        head = http_head.RequestHead(b'GET', b'/', [_KEY, _FORGED, (b'X-Kept', b'1')])
        basic = (b'Authorization', b'Basic x')
        forward = headers.PlatformDialect().forward_headers
        last = (b'Anvillug-Caller-Service', b'one')
        named = (b'Anvillug-Tenant-Name', b'small')
        assert forward(head, 'one', ids.TenantName('small')) == [(b'X-Kept', b'1'), named, last]
        assert forward(head, 'one', ids.TenantName('')) == [(b'X-Kept', b'1'), last]
        assert forward(head, 'one') == [*head.headers, last]
        head = http_head.RequestHead(b'GET', b'/', [basic])
        assert forward(head, 'one', ids.TenantName('')) == [basic, last]


def _directives(table: tenants.TenantTable) -> directives.Directives:
    limits = route_table.CallerLimits(16384, 1000, 3000, 15000)
    return directives.Directives(routes=route_table.RouteTable([_route()], (), limits, table))


class TestCall:
    """Guards against attempts that begin after the key was withdrawn, and untrue rejections."""

    @pytest.fixture
    def routed(self):
        request = test_routed_call.RoutedRequest(extra_headers=(_KEY,))
        request.context.current = _directives(tenant_documents.decode(_TENANTS, None))
        return request

    def test_job_carries_tenant_and_priority(self, routed):
        work = routed.begin().context.jobs[0]
        assert (work.tenant, work.priority) == ('small', 2)

    @pytest.mark.parametrize(('kind', 'status'), [('REFUSED', 401), ('UNKNOWN', 502)])
    def test_no_retry_after_the_withdrawal(self, routed, kind, status):
        routed.begin()
        routed.context.current = _directives(tenants.TenantTable(()))
        routed.context.pending[0](job.Result(job.ResultKind[kind], 'x'))
        assert len(routed.context.jobs) == 1
        assert routed.connection.status == status
        assert (b'WWW-Authenticate: Bearer' in routed.connection.sent) is (status == 401)

    def test_no_hedge_after_the_withdrawal(self, routed):
        routed.begin()
        routed.context.faster = True
        routed.context.current = _directives(tenants.TenantTable(()))
        routed.context.advance(500)
        assert len(routed.context.jobs) == 1

    def test_request_without_a_recent_word_is_not_run(self, routed):
        routed.context.word_is_recent = False
        routed.begin()
        assert not routed.context.jobs
        assert routed.connection.status == 503
        assert b'Retry-After' in routed.connection.sent

    @pytest.mark.parametrize(
        ('result', 'is_recent', 'is_rejected'),
        [
            (job.Result(job.ResultKind.REFUSED, 'no room in time'), True, True),
            (test_routed_call.make_answered(503), True, False),
            (job.Result(job.ResultKind.UNKNOWN, 'lost'), True, False),
            (job.Result(job.ResultKind.REFUSED, 'not reached'), False, True),
        ],
    )
    def test_only_own_rejections_count(self, routed, result, is_recent, is_rejected):
        routed.context.word_is_recent = is_recent
        routed.begin()
        for number in range(200):
            routed.context.advance(10)
            if number < len(routed.context.pending):
                routed.context.pending[number](result)
        assert routed.connection.status
        assert routed.call.is_rejected is is_rejected
