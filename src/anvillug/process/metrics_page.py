"""Text format of Prometheus for the metrics of a mesh node.

It is imported when the metrics are first asked for: the import takes 20 ms of processor time.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from hdrh import histogram
from prometheus_client import core, exposition, registry

CONTENT_TYPE = exposition.CONTENT_TYPE_LATEST
"""Content type of the page."""

_QUANTILES = (50.0, 90.0, 99.0, 99.9)
_PERCENT = 100.0
_US_PER_MS = 1000


class _Collector(registry.Collector):
    """Metrics of one page; see `registry.Collector`."""

    def __init__(self, families: Iterable[core.Metric]) -> None:
        self._families = families

    def collect(self) -> Iterable[core.Metric]:
        """Return all metrics; see `registry.Collector`."""
        return self._families


def render(
    counts_by_key: Mapping[tuple[str, str], int],
    counts_by_tenant_key: Mapping[tuple[str, str, str], int],
    latencies_by_name: Mapping[str, histogram.HdrHistogram],
    gauges_by_name: Mapping[str, float],
) -> bytes:
    """Return the page.

    Args:
        counts_by_key: Counts by the name of the counter and its label `kind`.
        counts_by_tenant_key: Counts by the name of the counter and its labels `tenant` and `kind`.
        latencies_by_name: Latencies in microseconds by the name of the histogram.
        gauges_by_name: Values of the gauges.
    """
    page = registry.CollectorRegistry(auto_describe=False)
    families = [
        *_counters(counts_by_key, ['kind']),
        *_counters(counts_by_tenant_key, ['tenant', 'kind']),
        *_families(latencies_by_name, gauges_by_name),
    ]
    page.register(_Collector(families))
    return exposition.generate_latest(page)


def _counters(
    counts_by_key: Mapping[tuple[str, ...], int], label_names: Sequence[str]
) -> Iterable[core.Metric]:
    counters: dict[str, core.CounterMetricFamily] = {}
    for (name, *labels), count in sorted(counts_by_key.items()):
        if name not in counters:
            counters[name] = core.CounterMetricFamily(f'anvillug_{name}', name, labels=label_names)
        counters[name].add_metric(labels, count)
    return counters.values()


def _families(
    latencies_by_name: Mapping[str, histogram.HdrHistogram],
    gauges_by_name: Mapping[str, float],
) -> list[core.Metric]:
    families = [_summary(*entry) for entry in latencies_by_name.items()]
    families += [
        core.GaugeMetricFamily(f'anvillug_{gauge}', gauge, value=number)
        for gauge, number in gauges_by_name.items()
    ]
    return families


def _summary(name: str, latencies: histogram.HdrHistogram) -> core.Metric:
    metric = core.Metric(f'anvillug_{name}_ms', name, 'summary')
    for quantile in _QUANTILES:
        labels = {'quantile': f'{quantile / _PERCENT:g}'}
        latency_ms = latencies.get_value_at_percentile(quantile) / _US_PER_MS
        metric.add_sample(f'anvillug_{name}_ms', labels, latency_ms)
    metric.add_sample(f'anvillug_{name}_ms_count', {}, latencies.get_total_count())
    return metric
