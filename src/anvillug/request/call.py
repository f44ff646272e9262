"""Properties and headers of a call shared by entry side, host side and backend server."""

from __future__ import annotations

import dataclasses
import enum

from anvillug import clock, ids

CALL_HEADER = 'Anvillug-Call'
SERVICE_HEADER = 'Anvillug-Service'
INCARNATION_HEADER = 'Anvillug-Incarnation'
CONFIG_HEADER = 'Anvillug-Config'
CRITICALITY_HEADER = 'Anvillug-Criticality'
DEADLINE_HEADER = 'Anvillug-Deadline-Ms'
REPEATABLE_HEADER = 'Anvillug-Repeatable'
DEPTH_HEADER = 'Anvillug-Depth'
RETRIES_HEADER = 'Anvillug-Retries'
OUTCOME_HEADER = 'Anvillug-Outcome'
LOAD_HEADER = 'Anvillug-Load'
REASON_HEADER = 'Anvillug-Reason'
KEY_HEADER = 'Idempotency-Key'

MAX_DEPTH = 26

_LOAD_FIELDS = 5
_US_PER_MS = 1000


class Criticality(enum.Enum):
    """Importance of a call: under overload `SHEDDABLE` calls are shed first."""

    CRITICAL = 'critical'
    NORMAL = 'normal'
    SHEDDABLE = 'sheddable'


class Outcome(enum.Enum):
    """What is known about the execution of a call."""

    FINISHED = 'finished'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class HostState(enum.Enum):
    """State of a host side, reported with its load."""

    SERVING = 'serving'
    COLD = 'cold'
    LEAVING = 'leaving'
    ZONE_OUT = 'zone-out'
    NO_BACKEND = 'no-backend'


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSample:
    """Load of a host side at one moment."""

    in_flight: int
    """Calls running on the backend server."""
    limit: int
    """Current concurrency limit of the host side."""
    queued: int
    """Calls in the queue of the host side."""
    latency_ms: float
    """Recent latency of the backend server in milliseconds at this in-flight level."""
    state: HostState
    """State of the host side."""
    sampled_at: clock.Milliseconds
    """Monotonic time of the receiver when the sample arrived."""


def format_load(sample: LoadSample) -> str:
    """Return the value of the `Anvillug-Load` header: counts and microseconds."""
    latency_us = round(sample.latency_ms * _US_PER_MS)
    return f'{sample.in_flight},{sample.limit},{sample.queued},{latency_us},{sample.state.value}'


def parse_load(text: str, sampled_at: clock.Milliseconds) -> LoadSample:
    """Parse the value of the `Anvillug-Load` header.

    Args:
        text: `in_flight,limit,queued,latency_us,state`.
        sampled_at: Monotonic time of arrival in milliseconds.

    Returns:
        The sample.

    Raises:
        ValueError: If the text is malformed.
    """
    fields = text.split(',')
    if len(fields) != _LOAD_FIELDS:
        raise ValueError(f'load {text!r} does not have {_LOAD_FIELDS} fields')
    return LoadSample(
        in_flight=int(fields[0]),
        limit=int(fields[1]),
        queued=int(fields[2]),
        latency_ms=int(fields[3]) / _US_PER_MS,
        state=HostState(fields[4]),
        sampled_at=sampled_at,
    )


def is_repeatable_method(method: str) -> bool:
    """Return whether an HTTP method is safe (RFC 9110, section 9.2.1) and may be resent."""
    return method in _SAFE_METHODS


_SAFE_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))


@dataclasses.dataclass(frozen=True, slots=True)
class CallProperties:
    """Properties of a call that determine how the host side handles it."""

    call_id: ids.CallId
    """Id assigned by the entry side."""
    service: ids.ServiceName
    """Service that the caller named."""
    criticality: Criticality
    """Importance of the call when calls are shed under overload."""
    repeatable: bool
    """Whether the call may run more than once."""
    deadline: clock.Milliseconds
    """Monotonic time of this process after which the caller no longer needs the response."""
    depth: int = 0
    """Number of calls above this one in the chain of nested calls."""
