"""HTTP client of the platform's duties."""

from __future__ import annotations

import json

import treq
from treq import client as treq_client
from twisted.internet import interfaces
from twisted.web import client as web_client

from anvillug import clock, event_log
from anvillug.connection import live_endpoints
from anvillug.process import duty_holder, duty_record, duty_settings, usage_counts

_HOLDER_HEADER = 'Anvillug-Duty-Holder'
_TOKEN_HEADER = 'Anvillug-Fencing-Token'
_STATUS_OK = 200
_STATUS_CONFLICT = 409
_STATUS_TOO_MANY = 429
_MIN_SERVER_ERROR_STATUS = 500


class Cloud:
    """Sends usage reports; see `duty_holder.Reporter`.

    Args:
        reactor: Reactor that owns the sockets and timers.
        settings: Settings of the duty.
    """

    def __init__(
        self, reactor: interfaces.IReactorTCP, settings: duty_settings.DutySettings
    ) -> None:
        self._pool = web_client.HTTPConnectionPool(reactor)
        endpoint_factory = live_endpoints.EndpointFactory(
            reactor, clock.to_seconds(settings.lease_ms / 4)
        )
        agent = web_client.Agent.usingEndpointFactory(reactor, endpoint_factory, pool=self._pool)
        self._http = treq_client.HTTPClient(agent)
        self._url = f'http://{settings.address}/usage'

    async def report(
        self,
        record: duty_record.DutyRecord,
        window: usage_counts.Window,
        counts: usage_counts.TenantCounts,
        timeout_ms: float,
    ) -> duty_holder.ReportOutcome:
        """Send the report of a window; see `duty_holder.Reporter`."""
        headers = {
            _HOLDER_HEADER: record.host_id,
            _TOKEN_HEADER: str(record.token),
            'Content-Type': 'application/json',
        }
        body = json.dumps({'WindowSeq': window, 'Counts': counts}).encode()
        timeout = clock.to_seconds(timeout_ms)
        try:
            response = await self._http.post(self._url, data=body, headers=headers, timeout=timeout)
            await treq.content(response)
        except Exception as error:
            # Twisted has no common base class of request failures.
            self._pool.closeCachedConnections()
            event_log.warn('usage_report_failed', window=window, reason=repr(error))
            return duty_holder.ReportOutcome.UNKNOWN
        return outcome_of(response.code)


def outcome_of(status: int) -> duty_holder.ReportOutcome:
    """Return the outcome of a report from the status of the response."""
    if status == _STATUS_OK:
        return duty_holder.ReportOutcome.ACCEPTED
    if status == _STATUS_CONFLICT:
        return duty_holder.ReportOutcome.FENCED
    if status == _STATUS_TOO_MANY or status >= _MIN_SERVER_ERROR_STATUS:
        return duty_holder.ReportOutcome.UNKNOWN
    return duty_holder.ReportOutcome.REJECTED
