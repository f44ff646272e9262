"""Counters and latency histograms of a mesh node, in the text format of Prometheus."""

from __future__ import annotations

import collections
from collections.abc import Callable, Mapping

from hdrh import histogram

from anvillug.connection import http_exchange

METRICS_PATH = b'/metrics'
"""Path at which the metrics are served."""

_STATUS_OK = 200
_STATUS_NOT_FOUND = 404
_MAX_LATENCY_US = 60_000_000
_SIGNIFICANT_DIGITS = 2  # of recorded latencies
_US_PER_MS = 1000

Gauges = Callable[[], Mapping[str, float]]
"""Returns the current values of gauges by name, without `anvillug_`."""


class Metrics:
    """Counters and latency histograms of one process.

    Args:
        gauges: Returns the values of the gauges by name.
    """

    def __init__(self, gauges: Gauges) -> None:
        self._gauges = gauges
        self._counts_by_key: collections.Counter[tuple[str, str]] = collections.Counter()
        self._latencies_by_name: dict[str, histogram.HdrHistogram] = {}

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

    def serve(self, exchange: http_exchange.ServerExchange) -> None:
        """Respond to a request for the metrics; see `http_exchange.RequestStarted`."""
        if exchange.head.path != METRICS_PATH:
            exchange.respond(_STATUS_NOT_FOUND)
            return
        from anvillug.process import metrics_page  # noqa: PLC0415 - few nodes are ever asked

        text = metrics_page.render(self._counts_by_key, self._latencies_by_name, self._gauges())
        content_type = (b'Content-Type', metrics_page.CONTENT_TYPE.encode())
        exchange.respond(_STATUS_OK, text, (content_type,))
