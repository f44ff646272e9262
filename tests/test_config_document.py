"""Tests of the configuration document and the parameters derived from it."""

from __future__ import annotations

import pytest
from hypothesis import given, strategies

from anvillug import findings
from anvillug.version import document, targets

_MOVE = {'to': 'v2', 'start_ms': 0, 'deadline_ms': 600_000}

_ROUTE = {'name': 'r', 'prefix': '/'}


def _service(**parts):
    return document.parse({'services': {'a': {'version': 'v1', **parts}}}, 'd').ok.services['a']


class TestParse:
    """Guards against documents that nodes interpret differently."""

    def test_round_trip_preserves_the_document(self):
        written = {
            'services': {
                'drawbook': {
                    'targets': {'latency_p99_ms': 50, 'safety': 'strict'},
                    'routes': [{'name': 'r', 'prefix': '/r', 'methods': ['POST']}],
                    'version': 'v1',
                    'move': _MOVE,
                },
            },
            'zones': {'kochi-a': {'state': 'out'}},
        }
        assert document.to_json(document.parse(written, 'd').ok) == written

    @pytest.mark.parametrize(
        ('service', 'part'),
        [
            ({'version': 'v1', 'hegde': True}, 'd: services.a.hegde: unknown key'),
            ({'version': 1}, 'd: services.a.version: Input should be a valid string'),
            ({'version': 'v2', 'move': _MOVE}, 'd: services.a: move.to must differ'),
            ({'version': 'v1', 'move': {**_MOVE, 'start_ms': 600_000}}, 'must be after start_ms'),
            ({'version': 'v1', 'targets': {'spare_percent': float('nan')}}, 'spare_percent'),
            (
                {'version': 'v1', 'routes': [_ROUTE, _ROUTE]},
                'route names must be unique, repeated: r',
            ),
        ],
    )
    def test_finding_includes_place(self, service, part: str):
        assert part in findings.report(document.parse({'services': {'a': service}}, 'd').error)


class TestMergePatch:
    """Guards against deviations from RFC 7396; the examples are from its appendix A."""

    @pytest.mark.parametrize(
        ('target', 'patch', 'merged'),
        [
            ({'a': 'b'}, {'a': 'c'}, {'a': 'c'}),
            ({'a': 'b', 'b': 'c'}, {'a': None}, {'b': 'c'}),
            ({'a': ['b']}, {'a': 'c'}, {'a': 'c'}),
            ({'a': {'b': 'c'}}, {'a': {'b': 'd', 'c': None}}, {'a': {'b': 'd'}}),
            ({'a': [{'b': 'c'}]}, {'a': [1]}, {'a': [1]}),
            ({'a': 'foo'}, 'bar', 'bar'),
            ([1, 2], {'a': 'b', 'c': None}, {'a': 'b'}),
            ({}, {'a': {'bb': {'ccc': None}}}, {'a': {'bb': {}}}),
            ({'e': None}, {'a': 1}, {'e': None, 'a': 1}),
        ],
    )
    def test_examples(self, target, patch, merged):
        assert document.merge_patch(target, patch) == merged

    @given(
        strategies.recursive(
            strategies.integers(),
            lambda inner: strategies.dictionaries(strategies.text(max_size=2), inner),
        ),
    )
    def test_idempotent(self, patch):
        once = document.merge_patch({'': 1}, patch)
        assert document.merge_patch(once, patch) == once


class TestPatchDocument:
    """Guards against partial validation that differs from validation of the whole document."""

    @given(
        strategies.dictionaries(
            strategies.sampled_from(['services', 'zones', 'other', 'model_fields']),
            strategies.none()
            | strategies.integers()
            | strategies.dictionaries(
                strategies.sampled_from(['a', 'b', 'B']),
                strategies.none()
                | strategies.just({})
                | strategies.fixed_dictionaries(
                    {},
                    optional={
                        'version': strategies.sampled_from(['v1', 'v2', 3]),
                        'move': strategies.sampled_from([None, _MOVE, {'to': 'v1'}]),
                        'state': strategies.sampled_from(['in', 'out', 'up']),
                        'routes': strategies.sampled_from([None, [_ROUTE], [_ROUTE, _ROUTE]]),
                    },
                ),
                max_size=2,
            ),
            max_size=2,
        ),
    )
    def test_agrees_with_parse(self, patch):
        written = {
            'services': {'a': {'version': 'v1', 'move': _MOVE}, 'c': {'version': 'v1'}},
            'zones': {'a': {'state': 'out'}, 'c': {}},
        }
        whole = document.parse(document.merge_patch(written, patch), 'd')
        assert document.patch_document(document.parse(written, 'd').ok, patch, 'd') == whole


class TestDecide:
    """Guards against targets that have no effect on the derived parameters."""

    def test_defaults(self):
        decisions = targets.decide(_service())
        assert decisions.queue_bound_ms == pytest.approx(20)
        assert decisions.hot_threshold == pytest.approx(0.8)
        assert decisions.canary_share == pytest.approx(0.05)
        assert decisions.probe_budget == pytest.approx(0.01)

    def test_stricter_safety_gives_smaller_canary(self):
        by_safety = [
            targets.decide(_service(targets={'safety': safety.value})) for safety in document.Safety
        ]
        shares = [decisions.canary_share for decisions in by_safety]
        assert shares == [0.01, 0.05, 0.1]

    def test_spare_capacity_limits_hedging(self):
        assert targets.decide(_service(targets={'spare_percent': 0})).hedge_ratio == 0
        assert targets.decide(_service(hedge=False)).hedge_ratio == 0
        decisions = targets.decide(_service(targets={'spare_percent': 8}))
        assert decisions.hedge_ratio == pytest.approx(0.04)
        decisions = targets.decide(_service(targets={'spare_percent': 80}))
        assert decisions.hedge_ratio == pytest.approx(0.1)


class TestExplain:
    """Guards against conflicting targets that are not reported when the document is checked."""

    @pytest.mark.parametrize(
        ('service', 'part'),
        [
            ({'targets': {'latency_p99_ms': 7}}, 'targets.latency_p99_ms: 7 ms leaves no time'),
            ({'targets': {'spare_percent': 0}}, 'a hedge budget of 0'),
            ({'probe_budget_percent': 5, 'targets': {'spare_percent': 4}}, 'for probes exceeds'),
            (
                {'targets': {'spare_percent': 0, 'safety': 'strict'}, 'move': _MOVE},
                '0% spare with strict safety and a move',
            ),
            ({'move': {**_MOVE, 'deadline_ms': 5}}, 'needs at least 60 s'),
        ],
    )
    def test_conflict(self, service, part: str):
        written = {'services': {'a': {'version': 'v1', **service}}}
        assert part in findings.report(targets.explain(document.parse(written, 'd').ok, 'd'))

    def test_no_conflict(self):
        written = {'services': {'a': {'version': 'v1', 'move': _MOVE}}}
        assert not targets.explain(document.parse(written, 'd').ok, 'd')
