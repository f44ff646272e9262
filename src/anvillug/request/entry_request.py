"""Request of a caller, and the head of the request that forwards it to a host."""

from __future__ import annotations

import dataclasses
import math

from anvillug import clock, ids
from anvillug.connection import http_head
from anvillug.request import call

MAX_SMALL_BODY_BYTES = 64 * 1024
"""Bodies up to this size are buffered whole, so that they can be resent."""

_MAX_DIGITS = 15  # integers of this length are exact as float, the type of times
_MAX_SHOWN_BYTES = 40
_INTERNAL_PREFIX = b'anvillug-'
_DEADLINE = call.DEADLINE_HEADER.lower().encode()
_DEPTH = call.DEPTH_HEADER.lower().encode()
_KEY = call.KEY_HEADER.lower().encode()


class BadRequestError(Exception):
    """Raised for a request that can't be forwarded; the message gives the reason."""


@dataclasses.dataclass(slots=True)
class EntryRequest:
    """Request of a caller, with the headers that determine how it is handled."""

    head: http_head.RequestHead
    """Head as received."""
    service: ids.ServiceName
    """First label of the `Host` header."""
    deadline: clock.Milliseconds
    """Monotonic time in milliseconds; infinite if the caller set no deadline."""
    depth: int
    """Number of calls above this one in the chain of nested calls."""
    key: ids.IdempotencyKey | None
    """Value of `Idempotency-Key`."""

    small_body: bool = dataclasses.field(init=False)
    """Whether the body is small enough to be buffered whole."""

    def __post_init__(self) -> None:
        """Compute `small_body` once, since a call reads it several times."""
        framing = self.head.framing
        self.small_body = framing is http_head.Framing.NONE or (
            framing is http_head.Framing.LENGTH and self.head.content_length <= MAX_SMALL_BODY_BYTES
        )


def parse(head: http_head.RequestHead, now: clock.Milliseconds) -> EntryRequest:
    """Parse the headers that determine how a call is handled.

    Args:
        head: Head as received.
        now: Monotonic time in milliseconds.

    Returns:
        The request.

    Raises:
        BadRequestError: If a header is missing or malformed.
    """
    host = head.get(b'host')
    if not host:
        raise BadRequestError('header Host: missing; its first label names the service')
    label = host.partition(b':')[0].partition(b'.')[0].decode('latin-1').lower()
    deadline_ms = _number(head, _DEADLINE)
    depth = int(_number(head, _DEPTH) or 0)
    if depth > call.MAX_DEPTH:
        raise BadRequestError(f'header {call.DEPTH_HEADER}: {depth} exceeds {call.MAX_DEPTH}')
    deadline = math.inf if deadline_ms is None else now + deadline_ms
    key = head.get(_KEY)
    return EntryRequest(
        head=head,
        service=ids.ServiceName(label),
        deadline=clock.Milliseconds(deadline),
        depth=depth,
        key=None if key is None else ids.IdempotencyKey(key.decode('latin-1')),
    )


def host_head(  # noqa: WPS211 - each argument becomes a header
    request: EntryRequest,
    properties: call.CallProperties,
    incarnation: ids.Incarnation,
    config_number: ids.ConfigNumber,
    now: clock.Milliseconds,
) -> http_head.RequestHead:
    """Build the head of the request to a host side.

    Args:
        request: Request of the caller.
        properties: Properties of the call.
        incarnation: Incarnation of the host side that is addressed.
        config_number: Configuration number in effect on this node.
        now: Monotonic time in milliseconds.

    Returns:
        Head with the end-to-end headers of the caller except `Anvillug-*`, and the headers for
        the host side.
    """
    caller_head = request.head
    headers = [
        header
        for header in http_head.end_to_end_headers(caller_head.headers)
        if not header[0].lower().startswith(_INTERNAL_PREFIX)
    ]
    headers.extend(
        (
            (b'Anvillug-Call', str(properties.call_id).encode()),
            (b'Anvillug-Service', properties.service.encode()),
            (b'Anvillug-Incarnation', b'%d' % incarnation),
            (b'Anvillug-Config', b'%d' % config_number),
            (b'Anvillug-Criticality', properties.criticality.value.encode()),
            (b'Anvillug-Repeatable', b'1' if properties.repeatable else b'0'),
            (b'Anvillug-Depth', b'%d' % (properties.depth)),
        ),
    )
    if properties.deadline < math.inf:
        left_ms = max(0, int(properties.deadline - now))
        headers.append((b'Anvillug-Deadline-Ms', b'%d' % left_ms))
    if caller_head.framing is http_head.Framing.CHUNKED:
        headers.append((b'Transfer-Encoding', b'chunked'))
    if not request.small_body:
        headers.append((b'Expect', b'100-continue'))
    return http_head.RequestHead(caller_head.method, caller_head.target, headers)


def resolve_head(
    properties: call.CallProperties,
    incarnation: ids.Incarnation,
) -> http_head.RequestHead:
    """Build the head of a request that resolves the outcome of a call."""
    headers = [
        (b'Host', properties.service.encode()),
        (b'Content-Length', b'0'),
        (b'Anvillug-Call', str(properties.call_id).encode()),
        (b'Anvillug-Incarnation', b'%d' % incarnation),
    ]
    return http_head.RequestHead(b'POST', b'/-/resolve', headers)


def _number(head: http_head.RequestHead, name: bytes) -> float | None:
    text = head.get(name)
    if text is None:
        return None
    if not text.isdigit() or len(text) > _MAX_DIGITS:
        shown = text[:_MAX_SHOWN_BYTES].decode('latin-1')
        raise BadRequestError(
            f'header {name.decode()}: {shown!r} is not a whole number of at most '
            f'{_MAX_DIGITS} digits',
        )
    return float(text)
