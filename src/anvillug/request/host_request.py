"""Parses the headers of requests from an entry side to a host side."""

from __future__ import annotations

import dataclasses
import math

from anvillug import clock, ids
from anvillug.connection import http_head
from anvillug.request import call

MAX_SMALL_BODY_BYTES = 64 * 1024
"""Bodies up to this size are received completely before the call requests a slot."""


class BadHostRequestError(Exception):
    """A malformed request between nodes."""


@dataclasses.dataclass(slots=True)
class HostRequest:
    """A call as an entry side sends it."""

    head: http_head.RequestHead
    """Head as received."""
    properties: call.CallProperties
    """Properties of the call."""
    incarnation: ids.Incarnation
    """Incarnation of the host side to which the call is addressed."""
    config_number: ids.ConfigNumber
    """Configuration number in effect at the sender."""

    @property
    def streams_body(self) -> bool:
        """Whether the body is forwarded while it is received."""
        framing = self.head.framing
        if framing is http_head.Framing.CHUNKED:
            return True
        return self.head.content_length > MAX_SMALL_BODY_BYTES


def parse(head: http_head.RequestHead, now: clock.Milliseconds) -> HostRequest:
    """Parse the headers of a call.

    Args:
        head: Head as received.
        now: Monotonic time in milliseconds.

    Returns:
        The request.

    Raises:
        BadHostRequestError: If a header is missing or malformed.
    """
    value_by_name = {name.lower(): value for name, value in head.headers}
    try:
        deadline_ms = value_by_name.get(b'anvillug-deadline-ms')
        deadline = math.inf if deadline_ms is None else now + int(deadline_ms)
        properties = call.CallProperties(
            call_id=ids.parse_call_id(value_by_name[b'anvillug-call'].decode('latin-1')),
            service=ids.ServiceName(value_by_name[b'anvillug-service'].decode('latin-1')),
            criticality=call.Criticality(value_by_name[b'anvillug-criticality'].decode('latin-1')),
            repeatable=value_by_name[b'anvillug-repeatable'] == b'1',
            deadline=clock.Milliseconds(deadline),
            depth=int(value_by_name.get(b'anvillug-depth', b'0')),
        )
        incarnation = ids.Incarnation(int(value_by_name[b'anvillug-incarnation']))
        config_number = ids.ConfigNumber(int(value_by_name.get(b'anvillug-config', b'0')))
    except KeyError as error:
        raise BadHostRequestError(f'header {error.args[0].decode()}: missing') from error
    except ValueError as error:
        raise BadHostRequestError(f'malformed Anvillug header: {error}') from error
    return HostRequest(head, properties, incarnation, config_number)


def parse_resolve(head: http_head.RequestHead) -> tuple[ids.CallId, ids.Incarnation]:
    """Parse the headers of a request for the outcome of a call.

    Args:
        head: Head as received.

    Returns:
        Id of the call and incarnation of the host side to which it was sent.

    Raises:
        BadHostRequestError: If a header is missing or malformed.
    """
    try:
        call_id = ids.parse_call_id((head.get(b'anvillug-call') or b'').decode('latin-1'))
        incarnation = ids.Incarnation(int(head.get(b'anvillug-incarnation') or b''))
    except ValueError as error:
        raise BadHostRequestError(f'malformed Anvillug header: {error}') from error
    return call_id, incarnation


def backend_head(request: HostRequest, now: clock.Milliseconds) -> http_head.RequestHead:
    """Build the head of the request to the backend server.

    Args:
        request: The call.
        now: Monotonic time in milliseconds.

    Returns:
        Head with the end-to-end headers and those that backend servers use.
    """
    head = request.head
    headers = http_head.end_to_end_headers(head.headers, _HOST_ONLY_HEADERS)
    left_ms = request.properties.deadline - now
    if left_ms < math.inf:
        headers.append((b'Anvillug-Deadline-Ms', b'%d' % max(0, int(left_ms))))
    if head.framing is http_head.Framing.CHUNKED:
        headers.append((b'Transfer-Encoding', b'chunked'))
    return http_head.RequestHead(head.method, head.target, headers)


_HOST_ONLY_HEADERS = frozenset(
    (
        b'anvillug-service',
        b'anvillug-incarnation',
        b'anvillug-config',
        b'anvillug-criticality',
        b'anvillug-repeatable',
        b'anvillug-deadline-ms',
    ),
)
