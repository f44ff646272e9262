"""Typed steps of a scenario."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from typing import Any

Options = Mapping[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Moment:
    """Time relative to the moment at which the step runs."""

    offset_ms: float
    """Milliseconds from then."""


@dataclasses.dataclass(frozen=True, slots=True)
class Bound:
    """Comparison with a number; percentages are given as ratios, times in milliseconds."""

    operator: str
    """`<=`, `>=` or `=`."""
    limit: float
    """Right side."""
    relative: bool
    """Whether the limit is a share of all."""

    def holds(self, seen: float) -> bool:
        """Tell whether a number satisfies the comparison."""
        if self.operator == '<=':
            return seen <= self.limit
        if self.operator == '>=':
            return seen >= self.limit
        return seen == self.limit


@dataclasses.dataclass(frozen=True, slots=True)
class Log:
    """Starts the platform log."""

    options: Options


@dataclasses.dataclass(frozen=True, slots=True)
class Host:
    """Declares a node with its backend server."""

    name: str
    options: Options


@dataclasses.dataclass(frozen=True, slots=True)
class StartHosts:
    """Starts the declared hosts and waits until all nodes know them."""


@dataclasses.dataclass(frozen=True, slots=True)
class Publish:
    """Publishes a configuration patch."""

    name: str
    patch: Any
    against: int | None
    decision: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Race:
    """Publishes patches against the same number at once; exactly one may be accepted."""

    patches: tuple[Any, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Lets time pass."""

    duration_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """One kind of request of a load."""

    method: str
    path: str
    options: Options


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Sends an open-loop load."""

    name: str
    rate_per_second: float
    duration_ms: float
    via: tuple[str, ...]
    options: Options
    kinds: tuple[Kind, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Upload:
    """Sends one request whose body arrives slowly."""

    name: str
    path: str
    body_bytes: int
    duration_ms: float
    via: str
    options: Options


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """Sends the same request once to each host named, at once."""

    method: str
    path: str
    via: tuple[str, ...]
    options: Options
    result: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Background:
    """Starts a step without waiting for its end."""

    step: Load | Upload | Publish


@dataclasses.dataclass(frozen=True, slots=True)
class Finish:
    """Waits for a step that was started in the background."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """Changes faults of a backend server, a link or the log."""

    target: str
    name: str
    options: Options


@dataclasses.dataclass(frozen=True, slots=True)
class SignalProcess:
    """Kills, stops, freezes or thaws a process."""

    verb: str
    process: str
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Restart:
    """Starts a process that has ended again."""

    process: str
    name: str
    options: Options


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """Asks a node for a graceful stop."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Mark:
    """Takes down the counters of all hosts."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectLoad:
    """Compares a count or latency of a finished load."""

    name: str
    metric: str
    bound: Bound


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectUpload:
    """Checks that an upload ended with a whole response of its own."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectHost:
    """Compares the growth of a host's counter since a mark."""

    name: str
    metric: str
    since: str
    bound: Bound


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectShare:
    """Compares a version's share of the calls started since a mark."""

    version: str
    since: str
    bound: Bound


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectConfiguration:
    """Waits until all running nodes have a configuration number in effect."""

    number: int
    within_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectEnded:
    """Waits until a node has ended by itself with exit status 0."""

    name: str
    within_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectMove:
    """Waits until all running nodes report a state of a service's rollout."""

    service: str
    state: str
    within_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectInvariants:
    """Checks what must hold at any moment, over the whole run."""
