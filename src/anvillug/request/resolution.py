"""Responds to an entry side that requests the outcome of a call."""

from __future__ import annotations

from typing import Protocol as Interface

from anvillug import ids
from anvillug.connection import http_exchange, http_head
from anvillug.request import call, call_table

_STATUS_BAD_GATEWAY = 502
_STATUS_UNAVAILABLE = 503


class ResponseHeaders(Interface):
    """Builds the headers of every response to an entry side."""

    def response_headers(
        self, call_id: ids.CallId, outcome: call.Outcome
    ) -> list[http_head.Header]:
        """Return the headers with id, outcome, load and configuration."""


class Resolver:
    """One request for the outcome of a call; waits for the end of a running call.

    Args:
        context: Builds the response headers.
        table: Outcomes of calls.
        exchange: Exchange with the entry side.
        call_id: Id of the call.
    """

    def __init__(
        self,
        context: ResponseHeaders,
        table: call_table.CallTable,
        exchange: http_exchange.ServerExchange,
        call_id: ids.CallId,
    ) -> None:
        self._context = context
        self._table = table
        self._exchange = exchange
        self._call_id = call_id
        exchange.handler = self

    def start(self, resolution: call_table.Resolution) -> None:
        """Respond with the outcome, or wait for it if the call is running."""
        running = resolution.kind is call_table.ResolutionKind.RUNNING
        if running and self._table.attach(self._call_id, self._resolved):
            # Status 100 shows the entry side that the call is running and this host responds.
            self._exchange.send_continue()
        elif running:
            self._resolved(call_table.Resolution(call_table.ResolutionKind.UNKNOWN))
        else:
            self._resolved(resolution)

    def body_received(self, data: bytes) -> None:
        """Ignore the body: the request has none."""

    def request_ended(self) -> None:
        """Do nothing: the response does not depend on a body."""

    def request_aborted(self) -> None:
        """Stop waiting, since the entry side disconnected."""
        self._table.detach(self._call_id, self._resolved)

    def response_writes_paused(self, paused: bool) -> None:
        """Ignore backpressure: stored responses are small."""

    def _resolved(self, resolution: call_table.Resolution) -> None:
        if (
            resolution.kind is call_table.ResolutionKind.FINISHED
            and resolution.response is not None
        ):
            self._respond_stored(resolution.response)
        elif resolution.kind is call_table.ResolutionKind.FENCED:
            self._respond(_STATUS_UNAVAILABLE, call.Outcome.NOT_RUN, 'fenced')
        elif resolution.kind is call_table.ResolutionKind.FINISHED:
            self._respond(_STATUS_BAD_GATEWAY, call.Outcome.UNKNOWN, 'ran; answer not retained')
        else:
            self._respond(_STATUS_BAD_GATEWAY, call.Outcome.UNKNOWN, 'nothing is known of the call')

    def _respond_stored(self, response: call_table.StoredResponse) -> None:
        headers = [
            header for header in response.headers if header[0].lower() not in _REPLACED_HEADERS
        ]
        headers.extend(self._context.response_headers(self._call_id, call.Outcome.FINISHED))
        self._exchange.respond(response.status, response.body, tuple(headers))

    def _respond(self, status: int, outcome: call.Outcome, reason: str) -> None:
        headers = self._context.response_headers(self._call_id, outcome)
        headers.append((b'Anvillug-Reason', reason.encode()))
        self._exchange.respond(status, b'', tuple(headers))


_REPLACED_HEADERS = frozenset((b'content-length', b'anvillug-call', b'anvillug-outcome'))
