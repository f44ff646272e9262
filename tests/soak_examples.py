"""Requests and disturbances for tests of the fault soak's checks."""

from __future__ import annotations

from anvillug import clock
from anvillug.bench import soak_checks, soak_records

STOP_AT = clock.Milliseconds(9000)
PLANNED = soak_records.Disturbance.PLANNED
HANGUP = soak_records.Disturbance.HANGUP
UNPLANNED = soak_records.Disturbance.UNPLANNED


def broken(records):
    """Return the promises that were broken."""
    return soak_checks.broken(records)


def assert_held(records):
    """Assert that no promise was broken."""
    assert not broken(records)


def answered(records, status, *, body=b'', sent_at=10_000):
    """Record request a1 at node 0, answered after 100 ms."""
    attempt = soak_records.Attempt('a1', 0, repeatable=False, sent_at=sent_at)
    attempt.status = status
    attempt.body = body
    attempt.sealed = status == 200
    attempt.ended_at = clock.Milliseconds(sent_at + 100)
    records.attempts.append(attempt)
    return attempt


def run(records):
    """Record that a1 runs beside node 1."""
    records.arrived('a1', soak_records.Run(1, clock.Milliseconds(10_050)), None)


def cut(records, number=0, *, written_at=10_000, ended_at=10_300, **fields):
    """Record a request at node 0 whose connection was closed without an answer."""
    attempt = soak_records.Attempt(f'a{number}', 0, repeatable=True, sent_at=10_000, **fields)
    attempt.written_at = written_at
    attempt.ended_at = ended_at
    records.attempts.append(attempt)
    return attempt
