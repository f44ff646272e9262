"""Counters and latency histograms of a mesh node, in the text format of Prometheus."""

from __future__ import annotations

import collections
from collections.abc import Callable, Collection, Mapping

from hdrh import histogram

from anvillug import ids
from anvillug.connection import http_exchange

METRICS_PATH = b'/metrics'
"""Path at which the metrics are served."""

_STATUS_OK = 200
_STATUS_NOT_FOUND = 404
_MAX_LATENCY_US = 60_000_000
_SIGNIFICANT_DIGITS = 2  # of recorded latencies
_US_PER_MS = 1000
# Label of counts of no tenant, and of tenants that the configuration no longer has.
_NO_TENANT = ids.TenantName('')

Gauges = Callable[[], Mapping[str, float]]
"""Returns the current values of gauges by name, without `anvillug_`."""


TenantKey = tuple[str, ids.TenantName, str]
"""Name of a counter, and its labels `tenant` and `kind`."""


class Metrics:
    """Counters and latency histograms of one process.

    Args:
        gauges: Returns the values of the gauges by name.
    """

    def __init__(self, gauges: Gauges) -> None:
        self._gauges = gauges
        self._counts_by_key: collections.Counter[tuple[str, str]] = collections.Counter()
        self._counts_by_tenant_key: collections.Counter[TenantKey] = collections.Counter()
        self._tenants: Collection[ids.TenantName] | None = None
        self._latencies_by_name: dict[str, histogram.HdrHistogram] = {}

    def count(self, name: str, label: str) -> None:
        """Count an event.

        Args:
            name: Name of the counter in snake case, without `anvillug_` and `_total`.
            label: Value of the label `kind`, such as a status.
        """
        self._counts_by_key[name, label] += 1

    def count_of_tenant(self, name: str, tenant: ids.TenantName, label: str) -> None:
        """Count an event by tenant; nothing is counted where there are no tenants.

        Args:
            name: Name of the counter; see `count`.
            tenant: The tenant, empty if it isn't known.
            label: Value of the label `kind`, one of few.
        """
        if self._tenants is not None:
            known = tenant if tenant in self._tenants else _NO_TENANT
            self._counts_by_tenant_key[name, known, label] += 1

    def set_tenants(self, tenants: Collection[ids.TenantName] | None) -> None:
        """Take over the tenants of the configuration; None if it has none.

        Counts of others are kept without their names, so that the labels are bounded by the
        configuration and the sums don't decrease.
        """
        self._tenants = tenants
        for key in tuple(self._counts_by_tenant_key):
            name, tenant, label = key
            if tenant and tenant not in (tenants or ()):
                count = self._counts_by_tenant_key.pop(key)
                self._counts_by_tenant_key[name, _NO_TENANT, label] += count

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

        text = metrics_page.render(
            self._counts_by_key,
            self._counts_by_tenant_key,
            self._latencies_by_name,
            self._gauges(),
        )
        content_type = (b'Content-Type', metrics_page.CONTENT_TYPE.encode())
        exchange.respond(_STATUS_OK, text, (content_type,))
