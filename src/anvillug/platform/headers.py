"""Headers that callers and backend servers of the platform speak."""

from __future__ import annotations

import math

from anvillug import event_log, ids
from anvillug.connection import http_head
from anvillug.request import dialect

_STATUS_OK = 200
_STATUS_MISDIRECTED = 421
_SUCCESS = range(200, 300)
_MS_PER_SECOND = 1000.0
_MAX_NUMBER_CHARS = 15
_LOAD_FIELDS = 3
_USUAL_SLOWNESS = 100.0

_ATTEMPT_ID = b'anvillug-attempt-id'
_DEADLINE = b'anvillug-deadline-ms'
_CALLER_SERVICE = b'anvillug-caller-service'
# The id of the only instance that may run the request; any other answers 421.
_EXPECTED_INSTANCE = b'anvillug-expect-instance'
# Proves that the answer was made by a backend server.
_SEAL = b'anvillug-server-seal'
_NOT_EXECUTED = b'anvillug-not-executed'
_LOAD = b'anvillug-server-load'
_INSTANCE = b'anvillug-instance-id'
_COLD = b'anvillug-cold-ms'
_SET_BY_US = frozenset((_DEADLINE, _CALLER_SERVICE, _EXPECTED_INSTANCE))


class PlatformDialect:
    """The platform's headers; see `dialect.Dialect`."""

    def read_terms(self, head: http_head.RequestHead) -> dialect.CallerTerms:
        """Read what a caller says about its request."""
        deadline = _number(head.get(_DEADLINE))
        return dialect.CallerTerms(
            (head.get(_ATTEMPT_ID) or b'').decode('latin-1'),
            math.inf if deadline is None else deadline,
        )

    def forward_headers(
        self,
        head: http_head.RequestHead,
        caller_service: str,
    ) -> list[http_head.Header]:
        """Return the headers of a request for the backend server, without the time left."""
        headers = http_head.end_to_end(head.headers, _SET_BY_US)
        headers.append((b'Anvillug-Caller-Service', caller_service.encode('latin-1')))
        return headers

    def dispatch_headers(
        self, deadline_ms: float, instance: ids.InstanceId
    ) -> list[http_head.Header]:
        """Return the headers that are set when a request goes to the backend server."""
        return [
            (b'Anvillug-Deadline-Ms', b'%d' % max(1, int(deadline_ms))),
            (b'Anvillug-Expect-Instance', instance.encode('latin-1')),
        ]

    def classify(self, head: http_head.ResponseHead, attempt_id: str) -> dialect.ReplyKind:
        """Tell what an answer says about the call with an attempt id."""
        echoed = head.get(_ATTEMPT_ID)
        if echoed is not None and echoed.decode('latin-1') != attempt_id:
            return dialect.ReplyKind.FOREIGN
        if head.status == _STATUS_MISDIRECTED:
            return dialect.ReplyKind.OTHER_INSTANCE
        if head.get(_NOT_EXECUTED) is not None:
            return dialect.ReplyKind.NOT_RUN
        if head.get(_SEAL) is None or echoed is None:
            return dialect.ReplyKind.FOREIGN
        return dialect.ReplyKind.ANSWER

    def read_load(self, head: http_head.ResponseHead) -> dialect.ReportedLoad | None:
        """Return the load that an answer tells: running, waiting, slots, slowness."""
        text = head.get(_LOAD)
        if text is None:
            return None
        fields = [_number(field.strip()) for field in text.split(b',')]
        if len(fields) < _LOAD_FIELDS or None in fields:
            event_log.warn('load_header_malformed', value=text.decode('latin-1'))
            return None
        slowness = fields[_LOAD_FIELDS] if len(fields) > _LOAD_FIELDS else _USUAL_SLOWNESS
        return dialect.ReportedLoad(
            int(fields[0]), int(fields[1]), int(fields[2]), max(1.0, slowness)
        )

    def read_health(self, head: http_head.ResponseHead) -> dialect.HealthReport:
        """Read the answer to a health check."""
        return dialect.HealthReport(
            head.status == _STATUS_OK,
            ids.InstanceId((head.get(_INSTANCE) or b'').decode('latin-1')),
            _number(head.get(_COLD)) or 0.0,
            self.read_load(head),
        )

    def retry_headers(self, wait_ms: float) -> list[http_head.Header]:
        """Return the headers that tell a caller when to come back, in fractions of seconds."""
        return [(b'Retry-After', b'%.3f' % (wait_ms / _MS_PER_SECOND))]


def _number(text: bytes | None) -> float | None:
    """Return a number that is not negative, None for anything else."""
    if text is None or len(text) > _MAX_NUMBER_CHARS:
        return None
    whole, point, fraction = text.partition(b'.')
    if whole.isdigit() and (fraction.isdigit() or not point):
        return float(text)
    return None
