"""Reads and writes the HTTP headers of the platform's callers and backend servers."""

from __future__ import annotations

import math

from anvillug import event_log, ids
from anvillug.connection import http_head
from anvillug.request import access, dialect

_STATUS_OK = 200
_STATUS_MISDIRECTED = 421
_SUCCESS = range(200, 300)
_MS_PER_SECOND = 1000.0
_MAX_NUMBER_CHARS = 15
_LOAD_FIELDS = 3
_BASELINE_SLOWNESS = 100.0

_ATTEMPT_ID = b'anvillug-attempt-id'
_DEADLINE = b'anvillug-deadline-ms'
_CALLER_SERVICE = b'anvillug-caller-service'
# Id of the only instance that may run the request; any other responds with status 421.
_EXPECTED_INSTANCE = b'anvillug-expect-instance'
# Proves that a backend server made the response.
_SEAL = b'anvillug-server-seal'
_NOT_EXECUTED = b'anvillug-not-executed'
_LOAD = b'anvillug-server-load'
_INSTANCE = b'anvillug-instance-id'
_COLD = b'anvillug-cold-ms'
_TENANT = b'anvillug-tenant-name'
_HEADERS_SET_BY_NODE = frozenset((_DEADLINE, _CALLER_SERVICE, _EXPECTED_INSTANCE))


class PlatformDialect:
    """Header format of the platform; see `dialect.Dialect`."""

    def read_attributes(self, head: http_head.RequestHead) -> dialect.CallAttributes:
        """Read the attempt id and the deadline that a caller set."""
        deadline = _number(head.get(_DEADLINE))
        return dialect.CallAttributes(
            (head.get(_ATTEMPT_ID) or b'').decode('latin-1'),
            math.inf if deadline is None else deadline,
        )

    def forward_headers(
        self,
        head: http_head.RequestHead,
        caller_service: str,
        tenant: ids.TenantName | None = None,
    ) -> list[http_head.Header]:
        """Return the headers of a request to the backend server, without the remaining time."""
        headers = http_head.end_to_end_headers(head.headers, _HEADERS_SET_BY_NODE)
        if tenant is not None:
            headers = [header for header in headers if not _is_identity(header, tenant)]
        if tenant:
            headers.append((b'Anvillug-Tenant-Name', tenant.encode()))
        headers.append((b'Anvillug-Caller-Service', caller_service.encode('latin-1')))
        return headers

    def read_caller(self, head: http_head.RequestHead) -> str:
        """Return the service whose host sent a request."""
        return (head.get(_CALLER_SERVICE) or b'').decode('latin-1')

    def dispatch_headers(
        self, deadline_ms: float, instance: ids.InstanceId
    ) -> list[http_head.Header]:
        """Return the headers that are set when a request is sent to the backend server."""
        return [
            (b'Anvillug-Deadline-Ms', b'%d' % max(1, int(deadline_ms))),
            (b'Anvillug-Expect-Instance', instance.encode('latin-1')),
        ]

    def classify(self, head: http_head.ResponseHead, attempt_id: str) -> dialect.ReplyKind:
        """Return what a response means for the call with an attempt id."""
        echoed = head.get(_ATTEMPT_ID)
        if echoed is not None and echoed.decode('latin-1') != attempt_id:
            return dialect.ReplyKind.FOREIGN
        if head.status == _STATUS_MISDIRECTED:
            return dialect.ReplyKind.OTHER_INSTANCE
        if head.get(_NOT_EXECUTED) is not None:
            return dialect.ReplyKind.NOT_RUN
        if head.get(_SEAL) is None or echoed is None:
            return dialect.ReplyKind.FOREIGN
        return dialect.ReplyKind.RESPONSE

    def echoed_id(self, head: http_head.ResponseHead) -> str:
        """Return the attempt id that a response names; empty if it names none."""
        return (head.get(_ATTEMPT_ID) or b'').decode('latin-1')

    def read_load(self, head: http_head.ResponseHead) -> dialect.ReportedLoad | None:
        """Return the load that a response reports: running, waiting, slots and slowness."""
        text = head.get(_LOAD)
        if text is None:
            return None
        fields = [_number(field.strip()) for field in text.split(b',')]
        if len(fields) < _LOAD_FIELDS or None in fields:
            event_log.warn('load_header_malformed', value=text.decode('latin-1'))
            return None
        slowness = fields[_LOAD_FIELDS] if len(fields) > _LOAD_FIELDS else _BASELINE_SLOWNESS
        return dialect.ReportedLoad(
            int(fields[0]), int(fields[1]), int(fields[2]), max(1.0, slowness)
        )

    def read_health(self, head: http_head.ResponseHead) -> dialect.HealthReport:
        """Read the response to a health check."""
        return dialect.HealthReport(
            head.status == _STATUS_OK,
            ids.InstanceId((head.get(_INSTANCE) or b'').decode('latin-1')),
            _number(head.get(_COLD)) or 0.0,
            self.read_load(head),
        )

    def retry_headers(self, wait_ms: float) -> list[http_head.Header]:
        """Return the `Retry-After` header, in seconds with fractions."""
        return [(b'Retry-After', b'%.3f' % (wait_ms / _MS_PER_SECOND))]


def _is_identity(header: http_head.Header, tenant: ids.TenantName) -> bool:
    """Return whether a header tells who the caller is, or claims to.

    Without a tenant the caller needs no key: the backend server reads credentials of other forms.
    """
    name = header[0].lower()
    if tenant and name == access.CREDENTIALS_HEADER:
        return True
    return name == _TENANT or access.carries_key(header)


def _number(text: bytes | None) -> float | None:
    """Parse a non-negative decimal number; return None for anything else."""
    if text is None or len(text) > _MAX_NUMBER_CHARS:
        return None
    whole, point, fraction = text.partition(b'.')
    if whole.isdigit() and (fraction.isdigit() or not point):
        return float(text)
    return None
