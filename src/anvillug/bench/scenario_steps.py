"""Typed steps of a scenario."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from typing import Any

Options = Mapping[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class RelativeTime:
    """Time relative to the execution of the step."""

    offset_ms: float
    """Offset in milliseconds; negative for a time before the execution."""


@dataclasses.dataclass(frozen=True, slots=True)
class Bound:
    """Comparison of a value with a limit; percentages are ratios, times are in milliseconds."""

    operator: str
    """`<=`, `>=` or `=`."""
    limit: float
    """Right-hand side of the comparison."""
    relative: bool
    """Whether the limit was given as a percentage, a share of the total."""

    def holds(self, actual: float) -> bool:
        """Return whether a value satisfies the comparison."""
        if self.operator == '<=':
            return actual <= self.limit
        if self.operator == '>=':
            return actual >= self.limit
        return actual == self.limit


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
    """Starts the declared hosts and waits until each node lists all of them as members."""


@dataclasses.dataclass(frozen=True, slots=True)
class Publish:
    """Publishes a configuration patch and checks the decision.

    `against` is the base configuration number; None selects the newest accepted number.
    """

    name: str
    patch: Any
    against: int | None
    decision: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Race:
    """Publishes patches concurrently on the same base number; exactly one must be accepted."""

    patches: tuple[Any, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Pauses the scenario."""

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
    """Sends one request whose body is sent slowly, over the given duration."""

    name: str
    path: str
    body_bytes: int
    duration_ms: float
    via: str
    options: Options


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """Sends the same request to each given host concurrently, and checks the responses."""

    method: str
    path: str
    via: tuple[str, ...]
    options: Options
    result: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Background:
    """Starts a step without waiting for its completion."""

    step: Load | Upload | Publish


@dataclasses.dataclass(frozen=True, slots=True)
class Finish:
    """Waits for the completion of a background step."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """Sets the injected faults of a backend server, a link or the log."""

    target: str
    name: str
    options: Options


@dataclasses.dataclass(frozen=True, slots=True)
class SignalProcess:
    """Kills, stops, freezes or thaws a process."""

    action: str
    process: str
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Restart:
    """Restarts a process that has ended."""

    process: str
    name: str
    options: Options


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """Requests a graceful stop of a node."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Mark:
    """Records the current counters of all hosts under a name."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectLoad:
    """Compares a count or a latency of a finished load with a bound."""

    name: str
    metric: str
    bound: Bound


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectUpload:
    """Checks that an upload received a complete response to its own request."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectHost:
    """Compares the increase of a host's counter since a mark with a bound."""

    name: str
    metric: str
    since: str
    bound: Bound


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectShare:
    """Compares a version's share of the calls started since a mark with a bound."""

    version: str
    since: str
    bound: Bound


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectConfiguration:
    """Waits until a configuration number is in effect on all running nodes."""

    number: int
    within_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectEnded:
    """Waits until a node has ended on its own, with exit status 0."""

    name: str
    within_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectRollout:
    """Waits until all running nodes report a given state for the rollout of a service."""

    service: str
    state: str
    within_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectInvariants:
    """Checks the invariants that hold in every scenario, over the whole run."""
