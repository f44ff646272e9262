"""Answers an entry side that asks for the outcome of a call."""

from __future__ import annotations

from typing import Protocol as Interface

from anvillug import ids
from anvillug.connection import http_exchange, http_head
from anvillug.request import call, call_table

_STATUS_BAD_GATEWAY = 502
_STATUS_UNAVAILABLE = 503


class AnswerHeaders(Interface):
    """Builds the headers that every answer to an entry side carries."""

    def answer_headers(self, call_id: ids.CallId, outcome: call.Outcome) -> list[http_head.Header]:
        """Return id, outcome, load and configuration headers."""


class Resolver:
    """One resolution; attaches to the call while it runs.

    Args:
        context: Builds headers.
        table: Outcomes of calls.
        exchange: Exchange with the entry side.
        call_id: Call that is asked for.
    """

    def __init__(
        self,
        context: AnswerHeaders,
        table: call_table.CallTable,
        exchange: http_exchange.ServerExchange,
        call_id: ids.CallId,
    ) -> None:
        self._context = context
        self._table = table
        self._exchange = exchange
        self._call_id = call_id
        exchange.handler = self

    def start(self, known: call_table.Resolution) -> None:
        """Answer what is known, or attach to the running call."""
        running = known.kind is call_table.ResolutionKind.RUNNING
        if running and self._table.attach(self._call_id, self._answer):
            # Tells the entry side that the call runs and that this host is alive.
            self._exchange.send_continue()
        elif running:
            self._answer(call_table.Resolution(call_table.ResolutionKind.UNKNOWN))
        else:
            self._answer(known)

    def body_received(self, data: bytes) -> None:
        """Ignore a body: a resolution has none."""

    def request_ended(self) -> None:
        """Do nothing: the answer needs no body."""

    def request_aborted(self) -> None:
        """Withdraw: the entry side is gone."""
        self._table.detach(self._call_id, self._answer)

    def response_writes_paused(self, paused: bool) -> None:
        """Ignore backpressure: kept answers are small."""

    def _answer(self, known: call_table.Resolution) -> None:
        if known.kind is call_table.ResolutionKind.FINISHED and known.answer is not None:
            self._replay(known.answer)
        elif known.kind is call_table.ResolutionKind.FENCED:
            self._tell(_STATUS_UNAVAILABLE, call.Outcome.NOT_RUN, 'fenced')
        elif known.kind is call_table.ResolutionKind.FINISHED:
            self._tell(_STATUS_BAD_GATEWAY, call.Outcome.UNKNOWN, 'ran; answer not retained')
        else:
            self._tell(_STATUS_BAD_GATEWAY, call.Outcome.UNKNOWN, 'nothing is known of the call')

    def _replay(self, answer: call_table.KeptAnswer) -> None:
        headers = [
            header for header in answer.headers if header[0].lower() not in _REPLACED_HEADERS
        ]
        headers.extend(self._context.answer_headers(self._call_id, call.Outcome.FINISHED))
        self._exchange.respond(answer.status, answer.body, tuple(headers))

    def _tell(self, status: int, outcome: call.Outcome, reason: str) -> None:
        headers = self._context.answer_headers(self._call_id, outcome)
        headers.append((b'Anvillug-Reason', reason.encode()))
        self._exchange.respond(status, b'', tuple(headers))


_REPLACED_HEADERS = frozenset((b'content-length', b'anvillug-call', b'anvillug-outcome'))
