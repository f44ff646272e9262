"""Encodes and decodes the jobs, results and directives that nodes exchange."""

from __future__ import annotations

import dataclasses
import math
import zlib
from collections.abc import Callable, Sequence
from typing import Any

import msgpack

from anvillug import clock, ids, wire_message, wire_value
from anvillug.connection import http_client, http_head
from anvillug.request import buffered_response, dialect, job
from anvillug.version import directives

RUN_PATH = b'/-/run'
"""Path of the request that sends a job."""
INQUIRY_PATH = b'/-/inquiry'
"""Path of an inquiry: whether a job, sent without its body, would be accepted."""
INCARNATION_HEADER = b'Anvillug-Incarnation'
"""Header of the response to an inquiry that names the process that responded."""
DIRECTIVES_PATH = b'/-/directives'
"""Path of the request for the directives in effect."""
MAX_RESULT_BYTES = buffered_response.MAX_BYTES + 2 * http_client.MAX_HEAD_BYTES
"""Largest result; the fields beside the response are small."""

_MIN_STATUS = 100
_MAX_STATUS = 599
_CHECKS_BY_FIELD: dict[str, Callable[[Any, str], Any]] = {
    'attempt_id': wire_value.text,
    'service': wire_value.text,
    'route': wire_value.text,
    'body': wire_value.data,
    'repeatable': wire_value.boolean,
    'priority': wire_value.integer,
    'instance': wire_value.text,
    'must_accept': wire_value.boolean,
    'tenant': wire_value.text,
    'origin_zone': wire_value.text,
}
_DECODE_ERRORS = (
    ValueError,
    TypeError,
    LookupError,
    AttributeError,
    zlib.error,
    msgpack.UnpackException,
)
# Fields of a result in messages of all releases.
_RESULT_FIELDS = 6
_COMPRESSION_LEVEL = 1
# Larger directives are read from the log: serving them to 20 nodes of a zone over a link of
# 5 Mbit/s would take more than half a second.
_MAX_DIRECTIVES_BYTES = 16 * 1024
# Each packer allocates a buffer of 256 KiB. The shared one keeps its buffer, so that it must not
# grow much.
_PACKER = msgpack.Packer()
_MAX_SHARED_BYTES = 64 * 1024


class MalformedError(Exception):
    """A message between nodes that can't be decoded."""


def pack_job(work: job.Job, now: clock.Milliseconds) -> bytes:
    """Encode a job.

    Args:
        work: The job.
        now: Monotonic time of the sender; the time left until the deadline is sent.
    """
    head = work.head
    return _pack(
        [
            work.attempt_id,
            work.service,
            work.route,
            [head.method, head.target, head.headers],
            work.body,
            work.deadline - now,
            work.repeatable,
            work.priority,
            work.position,
            work.instance,
            work.must_accept,
            work.tenant,
            work.origin_zone,
            _time_left(work.objective, now),
        ],
        work.size,
    )


def unpack_job(data: bytes, now: clock.Milliseconds) -> job.Job:
    """Decode a job.

    Args:
        data: Wire form.
        now: Monotonic time of the receiver.

    Raises:
        MalformedError: If the data can't be decoded.
    """
    try:
        work = job.Job(*wire_value.sequence(wire_message.unpack(data), 'job'))
        for name, check in _CHECKS_BY_FIELD.items():
            check(getattr(work, name), name)
        work.head = _request_head(work.head)
        # Negative if the sender stood still.
        work.deadline = clock.Milliseconds(now + wire_value.finite(work.deadline, 'deadline'))
        work.position = directives.unpack_position(work.position)
        work.objective = _objective(work.objective, now)
    except _DECODE_ERRORS as error:
        raise MalformedError(f'job: {error}') from error
    return work


def pack_result(result: job.Result) -> bytes:
    """Encode a result; `node_failed` is set by the receiver and not sent."""
    head = result.head
    packed_head = None if head is None else [head.status, head.reason, head.headers]
    load = None if result.load is None else list(dataclasses.astuple(result.load))
    kind = result.kind.value
    fields = [kind, result.reason, packed_head, result.body, load, result.position]
    if result.retry_after_ms:
        # Left out without a value, since nodes of earlier releases reject a further field.
        fields.append(result.retry_after_ms)
    return _pack(fields, len(result.body))


def unpack_result(data: bytes) -> job.Result:
    """Decode a result.

    Raises:
        MalformedError: If the data can't be decoded.
    """
    try:
        fields = wire_message.unpack(data)
        kind, reason, *rest = fields[:_RESULT_FIELDS]
        packed_head, body, load, position = rest
        return job.Result(
            job.ResultKind(kind),
            wire_value.text(reason, 'reason'),
            None if packed_head is None else _response_head(packed_head),
            wire_value.data(body, 'body'),
            dialect.unpack_load(load),
            directives.unpack_position(position),
            _retry_after(fields[_RESULT_FIELDS:]),
        )
    except _DECODE_ERRORS as error:
        raise MalformedError(f'result: {error}') from error


def read_incarnation(head: http_head.ResponseHead) -> ids.Incarnation | None:
    """Return the process that responded to an inquiry; None if its response names none."""
    digits = head.get(INCARNATION_HEADER.lower())
    return ids.Incarnation(int(digits)) if digits is not None and digits.isdigit() else None


def pack_directives(current: directives.Directives) -> bytes:
    """Encode the directives in effect; the records are left out if they are too large."""
    records = {key: [record.position, record.value] for key, record in current.records.items()}
    packed = zlib.compress(msgpack.packb(records), _COMPRESSION_LEVEL)
    fits = len(packed) <= _MAX_DIRECTIVES_BYTES
    return msgpack.packb([current.position, packed if fits else None])


def unpack_directives(data: bytes) -> tuple[directives.Records | None, directives.Position]:
    """Decode records and position; the records are None if the sender left them out.

    Raises:
        MalformedError: If the data can't be decoded.
    """
    try:
        packed_position, packed = wire_message.unpack(data)
        position = directives.unpack_position(packed_position)
        if packed is None:
            return None, position
        if len(packed) > _MAX_DIRECTIVES_BYTES:
            raise ValueError(f'records exceed {_MAX_DIRECTIVES_BYTES} bytes')
        content = wire_message.unpack(zlib.decompress(packed))
        records = {
            wire_value.text(key, 'key'): directives.Record(
                directives.unpack_position(record_position), wire_value.data(value, key)
            )
            for key, (record_position, value) in content.items()
        }
    except _DECODE_ERRORS as error:
        raise MalformedError(f'directives: {error}') from error
    return records, position


def _pack(fields: Sequence[Any], body_bytes: int) -> bytes:
    return (_PACKER.pack if body_bytes < _MAX_SHARED_BYTES else msgpack.packb)(fields)


def _time_left(objective: clock.Milliseconds, now: clock.Milliseconds) -> float | None:
    return None if math.isinf(objective) else objective - now


def _objective(time_left: Any, now: clock.Milliseconds) -> clock.Milliseconds:
    """Return the time of an objective; without one, or from an older release, it is infinite."""
    if time_left is None or time_left == math.inf:
        return clock.Milliseconds(math.inf)
    return clock.Milliseconds(now + wire_value.finite(time_left, 'objective'))


def _retry_after(rest: Sequence[Any]) -> float:
    if len(rest) > 1:
        raise ValueError(f'result has {len(rest) - 1} fields too many')
    return wire_value.number(rest[0], 'retry after') if rest else 0.0


def _request_head(packed_head: Sequence[Any]) -> http_head.RequestHead:
    method, target, headers = packed_head
    return http_head.RequestHead(
        wire_value.data(method, 'method'), wire_value.data(target, 'target'), _headers(headers)
    )


def _response_head(packed_head: Sequence[Any]) -> http_head.ResponseHead:
    status, reason, headers = packed_head
    if not _MIN_STATUS <= wire_value.integer(status, 'status') <= _MAX_STATUS:
        raise ValueError(f'status must be {_MIN_STATUS} to {_MAX_STATUS}, got {status}')
    return http_head.ResponseHead(
        status, _headers(headers), wire_value.data(reason, 'reason phrase')
    )


def _headers(packed: Sequence[Any]) -> list[http_head.Header]:
    return [
        (wire_value.data(name, 'header'), wire_value.data(content, 'header'))
        for name, content in packed
    ]
