"""Serves operators of a mesh node: its metrics, and where a request would go."""

from __future__ import annotations

import json
from urllib import parse as url_parse

from anvillug import findings
from anvillug.connection import http_exchange, http_head
from anvillug.process import explanation, metrics
from anvillug.request import access

EXPLAIN_PATH = b'/explain'
"""Path of questions; the query has `host`, `path`, `method` and `size`.

A key is sent in the same header as by callers, since targets are written to logs."""

_MAX_DIGITS = 12
_STATUS_OK = 200
_STATUS_BAD_REQUEST = 400
_JSON = ((b'Content-Type', b'application/json'),)


class Inspection:
    """Serves the requests of operators.

    Args:
        process_metrics: Metrics of the process.
        explanations: Answers questions.
    """

    def __init__(
        self, process_metrics: metrics.Metrics, explanations: explanation.Explanation
    ) -> None:
        self._metrics = process_metrics
        self._explanations = explanations

    def serve(self, exchange: http_exchange.ServerExchange) -> None:
        """Respond to a request; see `http_exchange.RequestStarted`."""
        if exchange.head.path != EXPLAIN_PATH:
            self._metrics.serve(exchange)
            return
        question = _read_question(exchange.head)
        problems = question if isinstance(question, tuple) else question.check()
        if problems:
            exchange.respond(_STATUS_BAD_REQUEST, f'{findings.report(problems)}\n'.encode())
            return
        explanation.log_question(question)
        answer = json.dumps(self._explanations.explain(question), indent=1)
        exchange.respond(_STATUS_OK, f'{answer}\n'.encode(), _JSON)


def _read_question(head: http_head.RequestHead) -> explanation.Question | findings.Findings:
    query = head.target.partition(b'?')[2]
    fields = {
        name: texts[-1] for name, texts in url_parse.parse_qs(query.decode('latin-1')).items()
    }
    size = fields.get('size', '0')
    if not (size.isascii() and size.isdigit() and len(size) <= _MAX_DIGITS):
        return findings.single('size', f'must be a whole number of bytes, got {size!r}')
    return explanation.Question(
        fields.get('host', '').encode(),
        fields.get('path', '').encode(),
        fields.get('method', 'GET').encode(),
        int(size),
        head.get(access.CREDENTIALS_HEADER) or b'',
    )
