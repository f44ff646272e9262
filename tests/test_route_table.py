"""Tests of the lookup of routes by host and path prefix."""

from __future__ import annotations

from anvillug import ids
from anvillug.version import route_table

_LIMITS = route_table.CallerLimits(16384, 1 << 20, 3000, 15000)


def _route(prefix: bytes, host: bytes = b'a.example', weights: tuple[float, ...] = (1,)):
    parts = tuple(
        route_table.RoutePart(ids.ServiceName(f's{number}'), weight)
        for number, weight in enumerate(weights)
    )
    return route_table.Route(
        ids.RouteName(prefix.decode()),
        host,
        prefix,
        route_table.RouteKind.ONCE,
        800,
        250,
        1,
        parts,
        2,
    )


def _table(*routes: route_table.Route) -> route_table.RouteTable:
    return route_table.RouteTable(routes, (), _LIMITS)


class TestMatch:
    """Guards against requests that match a route of another host or of a shorter prefix."""

    def test_longest_prefix_wins(self):
        table = _table(_route(b'/'), _route(b'/a/'), _route(b'/a/b/'))
        assert table.match(b'a.example', b'/a/b/c').path_prefix == b'/a/b/'
        assert table.match(b'a.example', b'/a/c').path_prefix == b'/a/'
        assert table.match(b'a.example', b'/c').path_prefix == b'/'

    def test_prefix_ends_at_a_slash(self):
        table = _table(_route(b'/a/'))
        assert table.match(b'a.example', b'/a') is None
        assert table.match(b'a.example', b'/ab/') is None
        assert table.match(b'a.example', b'/a/') is not None

    def test_host_is_compared_without_case_and_port(self):
        table = _table(_route(b'/a/'))
        assert table.match(b'A.Example:8080', b'/a/x') is not None
        assert table.match(b'b.example', b'/a/x') is None


class TestSplit:
    """Guards against traffic shares that differ from the weights."""

    def test_fraction_selects_by_weight(self):
        route = _route(b'/a/', weights=(90, 10))
        assert route.service_at(0) == 's0'
        assert route.service_at(0.899) == 's0'
        assert route.service_at(0.901) == 's1'
        assert route.service_at(0.999) == 's1'

    def test_part_with_zero_weight_receives_nothing(self):
        route = _route(b'/a/', weights=(0, 10))
        assert route.service_at(0) == 's1'

    # Calls of a service that has no room would be moved to the other one by their retries.
    def test_call_keeps_its_service(self):
        for weights in ((90, 10), (10, 90)):
            route = _route(b'/a/', weights=weights)
            assert route.service_for(0.5, ids.ServiceName('s1')) == 's1'

    def test_call_leaves_a_service_that_the_route_has_left(self):
        route = _route(b'/a/', weights=(10, 0))
        for service in ('s1', 's2', ''):
            assert route.service_for(0.5, ids.ServiceName(service)) == 's0'
