"""What an entry side asks a host side for, read from the headers."""

from __future__ import annotations

import dataclasses
import math

from anvillug import clock, ids
from anvillug.connection import http_head
from anvillug.request import call

WHOLE_BODY_BYTES = 64 * 1024
"""Bodies up to this size are received whole before the call asks for a slot."""


class BadHostRequestError(Exception):
    """A request between nodes that is malformed; the message says where."""


@dataclasses.dataclass(slots=True)
class HostRequest:
    """A call as an entry side sends it."""

    head: http_head.RequestHead
    """Head as it arrived."""
    properties: call.CallProperties
    """Properties of the call."""
    incarnation: ids.Incarnation
    """Incarnation of the host side that is addressed."""
    config_number: ids.ConfigNumber
    """Configuration number in effect at the sender."""

    @property
    def streams_body(self) -> bool:
        """Whether the body is passed on while it arrives."""
        framing = self.head.framing
        if framing is http_head.Framing.CHUNKED:
            return True
        return self.head.content_length > WHOLE_BODY_BYTES


def parse(head: http_head.RequestHead, now: clock.Milliseconds) -> HostRequest:
    """Read the headers of a call.

    Args:
        head: Head as it arrived.
        now: Monotonic time in milliseconds.

    Returns:
        The request.

    Raises:
        BadHostRequestError: If a header is missing or malformed.
    """
    by_name = {name.lower(): value for name, value in head.headers}
    try:
        deadline_ms = by_name.get(b'anvillug-deadline-ms')
        deadline = math.inf if deadline_ms is None else now + int(deadline_ms)
        properties = call.CallProperties(
            call_id=ids.parse_call_id(by_name[b'anvillug-call'].decode('latin-1')),
            service=ids.ServiceName(by_name[b'anvillug-service'].decode('latin-1')),
            criticality=call.Criticality(by_name[b'anvillug-criticality'].decode('latin-1')),
            repeatable=by_name[b'anvillug-repeatable'] == b'1',
            deadline=clock.Milliseconds(deadline),
            depth=int(by_name.get(b'anvillug-depth', b'0')),
        )
        incarnation = ids.Incarnation(int(by_name[b'anvillug-incarnation']))
        config_number = ids.ConfigNumber(int(by_name.get(b'anvillug-config', b'0')))
    except KeyError as error:
        raise BadHostRequestError(f'header {error.args[0].decode()}: missing') from error
    except ValueError as error:
        raise BadHostRequestError(f'malformed Anvillug header: {error}') from error
    return HostRequest(head, properties, incarnation, config_number)


def parse_resolve(head: http_head.RequestHead) -> tuple[ids.CallId, ids.Incarnation]:
    """Read the headers of a resolution.

    Args:
        head: Head as it arrived.

    Returns:
        Id of the call and incarnation of the host side that it was sent to.

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
        Head with end-to-end headers and those that backend servers know.
    """
    head = request.head
    headers = http_head.end_to_end(head.headers, _FOR_HOST_ONLY)
    left = request.properties.deadline - now
    if left < math.inf:
        headers.append((b'Anvillug-Deadline-Ms', b'%d' % max(0, int(left))))
    if head.framing is http_head.Framing.CHUNKED:
        headers.append((b'Transfer-Encoding', b'chunked'))
    return http_head.RequestHead(head.method, head.target, headers)


_FOR_HOST_ONLY = frozenset(
    (
        b'anvillug-service',
        b'anvillug-incarnation',
        b'anvillug-config',
        b'anvillug-criticality',
        b'anvillug-repeatable',
        b'anvillug-deadline-ms',
    ),
)
