"""Encodes and decodes the jobs, results and directives that nodes exchange."""

from __future__ import annotations

import dataclasses
import zlib
from typing import Any

import msgpack

from anvillug import clock, ids
from anvillug.connection import http_head
from anvillug.request import dialect, job
from anvillug.version import directives

RUN_PATH = b'/-/run'
"""Path of the request that sends a job."""
INQUIRY_PATH = b'/-/inquiry'
"""Path of an inquiry: whether a job, sent without its body, would be accepted."""
INCARNATION_HEADER = b'Anvillug-Incarnation'
"""Header of the response to an inquiry that names the process that responded."""
DIRECTIVES_PATH = b'/-/directives'
"""Path of the request for the directives in effect."""

# Indexes of the fields that are converted between a job and its wire form.
_HEAD_INDEX = 3
_DEADLINE_INDEX = 5
_POSITION_INDEX = 8
_DECODE_ERRORS = (
    ValueError,
    TypeError,
    LookupError,
    AttributeError,
    zlib.error,
    msgpack.UnpackException,
)
_COMPRESSION_LEVEL = 1
# Larger directives are read from the log: serving them to 20 nodes of a zone over a link of
# 5 Mbit/s would take more than half a second.
_MAX_DIRECTIVES_BYTES = 16 * 1024


class MalformedError(Exception):
    """A message between nodes that can't be decoded."""


def pack_job(work: job.Job, now: clock.Milliseconds) -> bytes:
    """Encode a job.

    Args:
        work: The job.
        now: Monotonic time of the sender; the time left until the deadline is sent.
    """
    head = work.head
    return msgpack.packb(
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
        ],
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
        fields = msgpack.unpackb(data)
        fields[_HEAD_INDEX] = http_head.RequestHead(*_with_header_tuples(fields[_HEAD_INDEX]))
        fields[_DEADLINE_INDEX] += now
        fields[_POSITION_INDEX] = directives.unpack_position(fields[_POSITION_INDEX])
        return job.Job(*fields)
    except _DECODE_ERRORS as error:
        raise MalformedError(f'job: {error}') from error


def pack_result(result: job.Result) -> bytes:
    """Encode a result; `node_failed` is set by the receiver and not sent."""
    head = result.head
    packed_head = None if head is None else [head.status, head.reason, head.headers]
    load = None if result.load is None else list(dataclasses.astuple(result.load))
    kind = result.kind.value
    return msgpack.packb([kind, result.reason, packed_head, result.body, load, result.position])


def unpack_result(data: bytes) -> job.Result:
    """Decode a result.

    Raises:
        MalformedError: If the data can't be decoded.
    """
    try:
        kind, reason, *rest = msgpack.unpackb(data)
        packed_head, body, load, position = rest
        return job.Result(
            job.ResultKind(kind),
            reason,
            None if packed_head is None else _response_head(packed_head),
            body,
            None if load is None else dialect.ReportedLoad(*load),
            directives.unpack_position(position),
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
        packed_position, packed = msgpack.unpackb(data)
        position = directives.unpack_position(packed_position)
        if packed is None:
            return None, position
        content = msgpack.unpackb(zlib.decompress(packed))
        records = {
            key: directives.Record(directives.unpack_position(record_position), value)
            for key, (record_position, value) in content.items()
        }
    except _DECODE_ERRORS as error:
        raise MalformedError(f'directives: {error}') from error
    return records, position


def _with_header_tuples(packed_head: list[Any]) -> list[Any]:
    """Convert the headers, the last field of a head, from lists to tuples."""
    *fields, headers = packed_head
    return [*fields, [tuple(header) for header in headers]]


def _response_head(packed_head: list[Any]) -> http_head.ResponseHead:
    status, reason, headers = _with_header_tuples(packed_head)
    return http_head.ResponseHead(status, headers, reason)
