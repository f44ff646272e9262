"""Requests that a load generator sends, and the results that it counts."""

from __future__ import annotations

import collections
import dataclasses
import hashlib
import json
import random
from typing import Any

from hdrh import histogram

from anvillug.request import call
from anvillug.standin import backend_exchange

MIN_LATENCY_US = 1
MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 3
US_PER_MS = 1000

_OK = 200
_NO_OUTCOME = 'none'


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKind:
    """One kind of request in a mix."""

    name: str
    """Name in the results."""
    service: str
    """Name of the service, the first label of the `Host` header."""
    method: str = 'GET'
    """HTTP method."""
    path: str = '/'
    """Path, optionally with a query."""
    body_bytes: int = 0
    """Length of the body."""
    weight: float = 1
    """Share of the mix, relative to the weights of the other kinds."""
    headers: tuple[tuple[str, str], ...] = ()
    """Additional headers."""
    keyed: bool = False
    """Whether each request carries a unique `Idempotency-Key`."""

    def __post_init__(self) -> None:
        if self.method == 'HEAD':
            raise ValueError('HEAD is not supported: its responses have no body to compare')


@dataclasses.dataclass(frozen=True, slots=True)
class LoadPlan:
    """Settings of one run of the load generator."""

    addresses: tuple[str, ...]
    """Addresses of the entry sides; each request is sent to a random one."""
    kinds: tuple[RequestKind, ...]
    """Kinds of requests in the mix."""
    rate_per_second: float
    """Mean rate of the Poisson arrivals."""
    duration_ms: float
    """Time during which requests are sent."""
    seed: int = 1
    """Seed of arrival times, kinds, addresses and keys."""
    max_connections: int = 200
    """Maximum number of connections to each address; requests beyond it are queued."""
    timeout_ms: float = 10_000
    """Time from the intended send time until a request counts as timed out."""
    spin_ms: float = 0
    """Time before each arrival spent polling, as epoll rounds waits up to whole milliseconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedRequest:
    """One request of a run."""

    kind: RequestKind
    """Kind of the request."""
    address: str
    """Address that the request is sent to."""
    tag: str
    """Unique text that the backend server echoes."""
    key: str
    """`Idempotency-Key` of the request; empty for a request without a key."""
    body: bytes
    """Body, which differs between requests of the same kind."""

    def encode(self) -> bytes:
        """Return the request in HTTP/1.1 form."""
        kind = self.kind
        lines = [
            f'{kind.method} {kind.path} HTTP/1.1',
            f'Host: {kind.service}.local',
            f'{backend_exchange.TAG_HEADER}: {self.tag}',
            *(f'{name}: {value}' for name, value in kind.headers),
        ]
        if self.key:
            lines.append(f'{call.KEY_HEADER}: {self.key}')
        if self.body or kind.method != 'GET':
            lines.append(f'Content-Length: {len(self.body)}')
        return b''.join(('\r\n'.join([*lines, '', '']).encode('latin-1'), self.body))


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A complete response."""

    status: int
    """Status code."""
    headers: dict[str, str]
    """Headers by lower-case name."""
    body: bytes
    """Start of the body, up to the size that the client retains."""
    body_bytes: int
    """Number of body bytes received."""


def draw_request(plan: LoadPlan, rng: random.Random, sequence: int) -> PlannedRequest:
    """Return a randomly chosen request of the mix.

    Args:
        plan: Settings of the run.
        rng: Random number generator.
        sequence: Number of the request in this run.

    Returns:
        A request with a key and a body that no other request of the run has.
    """
    kind = rng.choices(plan.kinds, [kind.weight for kind in plan.kinds])[0]
    tag = f'{kind.name}-{plan.seed}-{rng.getrandbits(64):016x}-{sequence}'
    key = tag if kind.keyed else ''
    pattern = f'{plan.seed}:{sequence};'.encode()
    repeats = kind.body_bytes // len(pattern) + 1
    body = (pattern * repeats)[: kind.body_bytes]
    return PlannedRequest(kind, rng.choice(plan.addresses), tag, key, body)


def find_mismatch(request: PlannedRequest, response: Response) -> str | None:
    """Check that a response with status 200 belongs to its request.

    Args:
        request: The request as sent.
        response: The complete response.

    Returns:
        Name of the first mismatch; None if there is none or the status is not 200.
    """
    if response.status != _OK:
        return None
    try:
        echoed = json.loads(response.body)
    except ValueError:
        return 'body_not_json'
    if not isinstance(echoed, dict):
        return 'body_not_object'
    expected = {
        'method': request.kind.method,
        'path': request.kind.path.partition('?')[0],
        'key': request.key,
        'tag': request.tag,
        'body_bytes': len(request.body),
        'body_sha256': hashlib.sha256(request.body).hexdigest(),
    }
    for name, expected_value in expected.items():
        if echoed.get(name) != expected_value:
            return f'wrong_{name}'
    return None


def _new_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


@dataclasses.dataclass(slots=True)
class LoadResult:
    """Counts and latencies of one run, or of several merged runs."""

    sent: int = 0
    """Requests whose intended send time was reached."""
    by_status: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    """Complete responses by status code."""
    by_outcome: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    """Complete responses by `Anvillug-Outcome`; `none` counts those without the header."""
    by_reason: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    """Complete responses with the header `Anvillug-Reason`, by its value."""
    by_kind: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    """Complete responses with status 200 by kind."""
    errors: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    """Requests without a complete response, by reason."""
    wrong: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    """Responses that don't belong to their request, by kind of mismatch."""
    keys: dict[str, str] = dataclasses.field(default_factory=dict)
    """Results by `Idempotency-Key`: status and outcome, or the reason of the error."""
    not_run_calls: list[str] = dataclasses.field(default_factory=list)
    """Call ids of the responses with outcome `not-run`; empty for a response without one."""
    latency_us: histogram.HdrHistogram = dataclasses.field(default_factory=_new_histogram)
    """Latencies of responses with status 200, measured from the intended send time."""

    def add_response(self, request: PlannedRequest, response: Response, latency_ms: float) -> None:
        """Count a complete response."""
        outcome = response.headers.get(call.OUTCOME_HEADER.lower(), _NO_OUTCOME)
        self.by_status[str(response.status)] += 1
        self.by_outcome[outcome] += 1
        if outcome == call.Outcome.NOT_RUN.value:
            self.not_run_calls.append(response.headers.get(call.CALL_HEADER.lower(), ''))
        reason = response.headers.get(call.REASON_HEADER.lower())
        if reason is not None:
            self.by_reason[reason] += 1
        if request.key:
            self.keys[request.key] = f'{response.status} {outcome}'
        mismatch = find_mismatch(request, response)
        if mismatch is not None:
            self.wrong[mismatch] += 1
        if response.status == _OK:
            self.by_kind[request.kind.name] += 1
            self.latency_us.record_value(max(round(latency_ms * US_PER_MS), MIN_LATENCY_US))

    def add_error(self, request: PlannedRequest, reason: str) -> None:
        """Count a request without a complete response."""
        self.errors[reason] += 1
        if request.key:
            self.keys[request.key] = reason

    def percentile_ms(self, percentile: float) -> float:
        """Return a percentile of the latencies in milliseconds."""
        return self.latency_us.get_value_at_percentile(percentile) / US_PER_MS

    def completed(self) -> int:
        """Return the number of complete responses of any status."""
        return sum(self.by_status.values())

    def merge(self, other: LoadResult) -> None:
        """Add the counts and latencies of another run."""
        self.sent += other.sent
        for name in _COUNTERS:
            getattr(self, name).update(getattr(other, name))
        self.keys.update(other.keys)
        self.not_run_calls.extend(other.not_run_calls)
        self.latency_us.add(other.latency_us)

    def to_json(self) -> dict[str, Any]:
        """Return a JSON value that `from_json` reads, to transfer results between processes."""
        counters = {name: dict(getattr(self, name)) for name in _COUNTERS}
        encoded = self.latency_us.encode().decode('ascii')
        return {
            'sent': self.sent,
            **counters,
            'keys': self.keys,
            'not_run_calls': self.not_run_calls,
            'latency_us': encoded,
        }


_COUNTERS = ('by_status', 'by_outcome', 'by_reason', 'by_kind', 'errors', 'wrong')


def from_json(data: dict[str, Any]) -> LoadResult:
    """Read the value of `LoadResult.to_json`."""
    counters = {name: collections.Counter(data[name]) for name in _COUNTERS}
    latencies = _new_histogram()
    latencies.decode_and_add(data['latency_us'])
    return LoadResult(
        sent=data['sent'],
        keys=dict(data['keys']),
        not_run_calls=list(data['not_run_calls']),
        latency_us=latencies,
        **counters,
    )
