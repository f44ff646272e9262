"""Counters and latency histograms of a mesh node, in the text format of Prometheus."""

from __future__ import annotations

import collections
from collections.abc import Callable, Iterable, Mapping

from hdrh import histogram
from prometheus_client import core, exposition, registry

from anvillug.connection import http_exchange

METRICS_PATH = b'/metrics'
"""Path at which the metrics are served."""

_STATUS_OK = 200
_STATUS_NOT_FOUND = 404
_MAX_LATENCY_US = 60_000_000
_SIGNIFICANT_DIGITS = 2  # of recorded latencies
_US_PER_MS = 1000
_QUANTILES = (50.0, 90.0, 99.0, 99.9)
_PERCENT = 100.0

Gauges = Callable[[], Mapping[str, float]]
"""Returns the current values of gauges by name, without `anvillug_`."""


class Metrics(registry.Collector):
    """Counters and latency histograms of one process; see `registry.Collector`.

    Args:
        gauges: Returns the values of the gauges by name.
    """

    def __init__(self, gauges: Gauges) -> None:
        self._gauges = gauges
        self._counts_by_key: collections.Counter[tuple[str, str]] = collections.Counter()
        self._latencies_by_name: dict[str, histogram.HdrHistogram] = {}
        self._registry = registry.CollectorRegistry(auto_describe=False)
        self._registry.register(self)

    def count(self, name: str, label: str) -> None:
        """Count an event.

        Args:
            name: Name of the counter in snake case, without `anvillug_` and `_total`.
            label: Value of the label `kind`, such as a status.
        """
        self._counts_by_key[name, label] += 1

    def latency(self, name: str, latency_ms: float) -> None:
        """Record a latency.

        Args:
            name: Name of the histogram in snake case, without `anvillug_`.
            latency_ms: Latency in milliseconds.
        """
        latencies = self._latencies_by_name.get(name)
        if latencies is None:
            latencies = histogram.HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)
            self._latencies_by_name[name] = latencies
        latencies.record_value(min(_MAX_LATENCY_US, max(1, int(latency_ms * _US_PER_MS))))

    def collect(self) -> Iterable[core.Metric]:
        """Return all metrics; see `registry.Collector`."""
        families: dict[str, core.CounterMetricFamily] = {}
        for (name, label), count in sorted(self._counts_by_key.items()):
            if name not in families:
                families[name] = core.CounterMetricFamily(f'anvillug_{name}', name, labels=['kind'])
            families[name].add_metric([label], count)
        yield from families.values()
        for name, latencies in self._latencies_by_name.items():
            yield _summary(name, latencies)
        for name, value in self._gauges().items():
            yield core.GaugeMetricFamily(f'anvillug_{name}', name, value=value)

    def serve(self, exchange: http_exchange.ServerExchange) -> None:
        """Respond to a request for the metrics; see `http_exchange.RequestStarted`."""
        if exchange.head.path != METRICS_PATH:
            exchange.respond(_STATUS_NOT_FOUND)
            return
        text = exposition.generate_latest(self._registry)
        content_type = (b'Content-Type', exposition.CONTENT_TYPE_LATEST.encode())
        exchange.respond(_STATUS_OK, text, (content_type,))


def _summary(name: str, latencies: histogram.HdrHistogram) -> core.Metric:
    metric = core.Metric(f'anvillug_{name}_ms', name, 'summary')
    for quantile in _QUANTILES:
        labels = {'quantile': f'{quantile / _PERCENT:g}'}
        latency_ms = latencies.get_value_at_percentile(quantile) / _US_PER_MS
        metric.add_sample(f'anvillug_{name}_ms', labels, latency_ms)
    metric.add_sample(f'anvillug_{name}_ms_count', {}, latencies.get_total_count())
    return metric
