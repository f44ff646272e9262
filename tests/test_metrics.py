"""Metrics of a mesh node."""

from __future__ import annotations

from anvillug.connection import http_exchange, http_head
from anvillug.process import metrics


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
