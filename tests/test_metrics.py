"""Metrics of a mesh node."""

from __future__ import annotations

from anvillug import ids
from anvillug.connection import http_exchange, http_head
from anvillug.process import metrics

_SMALL = ids.TenantName('small')
_LARGE = ids.TenantName('large')


class _Connection:
    """Connection that records the data sent."""

    def __init__(self):
        self.sent = b''

    def send(self, data: bytes):
        self.sent += data

    def exchange_ended(self, exchange: object):
        """Ignore the end."""

    def closes_after(self, exchange: object) -> bool:
        return False


def _get(node_metrics: metrics.Metrics, path: bytes) -> str:
    connection = _Connection()
    head = http_head.RequestHead(b'GET', path, [])
    node_metrics.serve(http_exchange.ServerExchange(connection, head))
    return connection.sent.decode()


class TestMetrics:
    """Guards against metrics that monitoring cannot parse."""

    def test_counters_latencies_and_gauges(self):
        node_metrics = metrics.Metrics(lambda: {'calls_in_progress': 3})
        node_metrics.count('calls', '200')
        node_metrics.count('calls', '200')
        node_metrics.latency('call_latency', 60)
        text = _get(node_metrics, b'/metrics')
        assert 'anvillug_calls_total{kind="200"} 2.0' in text
        assert 'anvillug_call_latency_ms{quantile="0.99"} 60' in text
        assert 'anvillug_calls_in_progress 3.0' in text

    def test_other_paths_are_not_found(self):
        assert ' 404 ' in _get(metrics.Metrics(dict), b'/other')


class TestTenants:
    """Guards against labels that grow with clients, or with each change of the configuration."""

    def test_counts_by_tenant_and_kind(self):
        node_metrics = metrics.Metrics(dict)
        node_metrics.set_tenants({_SMALL, _LARGE})
        for tenant in (_SMALL, _LARGE, _SMALL):
            node_metrics.count_of_tenant('tenant_rejections', tenant, '503')
        text = _get(node_metrics, b'/metrics')
        assert 'anvillug_tenant_rejections_total{kind="503",tenant="small"} 2.0' in text
        assert 'anvillug_tenant_rejections_total{kind="503",tenant="large"} 1.0' in text

    def test_nothing_without_tenants(self):
        node_metrics = metrics.Metrics(dict)
        node_metrics.count_of_tenant('tenant_rejections', _SMALL, '503')
        assert 'rejections' not in _get(node_metrics, b'/metrics')

    def test_unknown_and_former_tenants_have_no_label(self):
        node_metrics = metrics.Metrics(dict)
        for number in range(100):
            tenant = ids.TenantName(f'tenant-{number}')
            node_metrics.set_tenants({tenant})
            node_metrics.count_of_tenant('tenant_rejections', tenant, '503')
            node_metrics.count_of_tenant('tenant_rejections', ids.TenantName('other'), '503')
        text = _get(node_metrics, b'/metrics')
        lines = [line for line in text.splitlines() if line.startswith('anvillug_tenant')]
        assert lines == [
            'anvillug_tenant_rejections_total{kind="503",tenant=""} 199.0',
            'anvillug_tenant_rejections_total{kind="503",tenant="tenant-99"} 1.0',
        ]
