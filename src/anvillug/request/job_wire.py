"""Wire form of jobs, results and directives between nodes."""

from __future__ import annotations

import dataclasses
import zlib
from typing import Any

import msgpack

from anvillug import clock
from anvillug.connection import http_head
from anvillug.request import dialect, job
from anvillug.version import directives

RUN_PATH = b'/-/run'
"""Path of the request that hands a job over."""
INQUIRY_PATH = b'/-/inquiry'
"""Path of the request that asks whether a job, sent without its body, would be taken."""
DIRECTIVES_PATH = b'/-/directives'
"""Path of the request for the directives in effect."""


# Places of the fields that have a wire form of their own.
_HEAD_FIELD = 3
_DEADLINE_FIELD = 5
_MALFORMED = (
    ValueError,
    TypeError,
    LookupError,
    AttributeError,
    zlib.error,
    msgpack.UnpackException,
)
_FAST = 1
# Larger directives are read from the log: a node that serves them to a zone of 20 over a link of
# 5 Mbit/s would need more than half a second.
_MAX_SERVED_BYTES = 16 * 1024


class MalformedError(Exception):
    """A message between nodes that can't be read; the message says why."""


def pack_job(work: job.Job, now: clock.Milliseconds) -> bytes:
    """Return the wire form of a job.

    Args:
        work: The job.
        now: Monotonic time of the sender; only the time left goes over the wire.
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
            work.insists,
        ],
    )


def unpack_job(data: bytes, now: clock.Milliseconds) -> job.Job:
    """Return a job from its wire form.

    Args:
        data: Wire form.
        now: Monotonic time of the receiver.

    Raises:
        MalformedError: If the data has another form.
    """
    try:
        fields = msgpack.unpackb(data)
        fields[_HEAD_FIELD] = http_head.RequestHead(*_tuples(fields[_HEAD_FIELD]))
        fields[_DEADLINE_FIELD] += now
        return job.Job(*fields)
    except _MALFORMED as error:
        raise MalformedError(f'job: {error}') from error


def pack_result(result: job.Result) -> bytes:
    """Return the wire form of a result."""
    head = result.head
    packed_head = None if head is None else [head.status, head.reason, head.headers]
    load = None if result.load is None else list(dataclasses.astuple(result.load))
    kind = result.kind.value
    return msgpack.packb([kind, result.reason, packed_head, result.body, load, result.position])


def unpack_result(data: bytes) -> job.Result:
    """Return a result from its wire form.

    Raises:
        MalformedError: If the data has another form.
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
            directives.Position(position),
        )
    except _MALFORMED as error:
        raise MalformedError(f'result: {error}') from error


def pack_directives(current: directives.Directives) -> bytes:
    """Return the wire form of the directives in effect, without records that are too large."""
    records = {key: [record.offset, record.value] for key, record in current.records.items()}
    packed = zlib.compress(msgpack.packb(records), _FAST)
    fits = len(packed) <= _MAX_SERVED_BYTES
    return msgpack.packb([current.position, packed if fits else None])


def unpack_directives(data: bytes) -> tuple[directives.Records | None, directives.Position]:
    """Return records and position from their wire form; no records where they are too large.

    Raises:
        MalformedError: If the data has another form.
    """
    try:
        position, packed = msgpack.unpackb(data)
        if packed is None:
            return None, directives.Position(position)
        content = msgpack.unpackb(zlib.decompress(packed))
        records = {key: directives.Record(*fields) for key, fields in content.items()}
    except _MALFORMED as error:
        raise MalformedError(f'directives: {error}') from error
    return records, directives.Position(position)


def _tuples(packed_head: list[Any]) -> list[Any]:
    """Return the fields of a head, whose last one is the list of headers."""
    *fields, headers = packed_head
    return [*fields, [tuple(header) for header in headers]]


def _response_head(packed_head: list[Any]) -> http_head.ResponseHead:
    status, reason, headers = _tuples(packed_head)
    return http_head.ResponseHead(status, headers, reason)
