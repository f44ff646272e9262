"""What callers and backend servers of a soak have seen."""

from __future__ import annotations

import collections
import dataclasses
import enum
import math

from anvillug import clock
from anvillug.bench import stalls

GRACE_S = 6.0
"""Time from SIGTERM to SIGKILL of the guhachitra-mesh deployment."""

_MS_PER_S = 1000
_DRAIN_MS = 2300
_HELD_UP_MS = 3000


class Disturbance(enum.Enum):
    """What was done to a node process."""

    PLANNED = 'planned'
    """SIGTERM; it must not cost a request."""
    HANGUP = 'hangup'
    """SIGHUP; it must not cost a request."""
    START = 'start'
    """Start of the process after an end that was caused from outside."""
    UNPLANNED = 'unplanned'
    """SIGKILL or a pause."""
    LINK = 'link'
    """Trouble on the link to the backend server beside the node."""
    NETWORK = 'network'
    """Trouble on the links to other nodes or to callers; it excuses what a kill excuses."""
    STORE = 'store'
    """Trouble of the store or on the link to it; it excuses only what orders demand in time."""
    CROWD = 'crowd'
    """Clients that do not behave; it excuses only what is demanded in time."""


@dataclasses.dataclass(slots=True)
class Attempt:
    """One request of a caller."""

    attempt_id: str
    """Attempt id."""
    node: int
    """Number of the node that received it."""
    repeatable: bool
    """Whether it may run more than once."""
    sent_at: clock.Milliseconds
    """When it was sent."""
    status: int = 0
    """Status of the answer; 0 if the connection was closed without one."""
    body: bytes = b''
    """Body of the answer."""
    ended_at: clock.Milliseconds | None = None
    """When the answer was complete or the connection was closed."""
    gave_up: bool = False
    """Whether the caller closed the connection after its deadline."""
    written_at: clock.Milliseconds | None = None
    """When its last byte was sent; None before."""
    timeout_ms: float = math.inf
    """Timeout of its route, which is also the deadline of the caller."""
    kept: bool = False
    """Whether its connection had carried a request before."""
    sealed: bool = False
    """Whether the answer bears the seal of a backend server."""
    echoed_id: str = ''
    """Attempt id that the answer names; empty without one."""
    garbled: bool = False
    """Whether something came that is no answer."""
    judge: str = ''
    """Process that took the times: a caller's name, or that of the soak's own loop."""
    stalled_ms: float = 0
    """Longest stand-still of the judge while it waited for the answer."""
    habit: str = ''
    """How its caller uses connections."""
    has_left: bool = False
    """Whether its caller closed the connection at `ended_at`, since it left."""
    route: str = ''
    """Name of its route; empty if it is not recorded."""

    @property
    def is_unanswered(self) -> bool:
        """Whether it has no answer, although its caller has not left."""
        return not self.status and not self.has_left

    @property
    def group(self) -> str:
        """Habit of its caller, or its judge if the caller has none."""
        return self.habit or self.judge


@dataclasses.dataclass(slots=True)
class Run:
    """One request that a backend server has begun to run."""

    node: int
    """Number of the node beside the backend server."""
    began_at: clock.Milliseconds
    """When it began."""
    finished_at: clock.Milliseconds | None = None
    """When the backend server responded; None while it works."""
    broke_off: bool = False
    """Whether the backend server closed the connection instead of responding."""
    service: str = ''
    """Service of the backend server; empty if it is not recorded."""
    version: str = ''
    """Version of the backend server."""
    failed_at: clock.Milliseconds | None = None
    """When the backend server responded with a failure."""
    due_at: float = 0
    """When its own work was to end."""
    cancelled_at: float = math.inf
    """When the backend server saw that the node had cancelled it."""


@dataclasses.dataclass(slots=True)
class Evacuation:
    """Order that nothing be sent to the backend servers of a zone."""

    nodes: frozenset[int]
    """Numbers of the nodes of the zone."""
    began_at: clock.Milliseconds
    """When the store had the order, which acknowledges it."""
    ended_at: float = math.inf
    """When it was taken back."""


@dataclasses.dataclass(slots=True)
class Rollout:
    """Order that the traffic of a service be moved to a new version."""

    service: str
    """The service."""
    version: str
    """The new version."""
    is_good: bool
    """Whether the new version works as well as the old one."""
    ordered_at: clock.Milliseconds
    """When the store had the order."""
    due_at: float
    """Deadline."""
    state: str = ''
    """Final state in the status; empty before."""
    ended_at: float = math.inf
    """When the status was final."""


_Disturbed = list[tuple[clock.Milliseconds, Disturbance]]


class Records:
    """Attempts, runs and disturbances of a soak.

    Args:
        grace_s: Time from SIGTERM to SIGKILL.
    """

    def __init__(self, grace_s: float = GRACE_S) -> None:
        self.grace_ms = clock.Milliseconds(grace_s * _MS_PER_S)
        """Time from SIGTERM to SIGKILL."""
        self.attempts: list[Attempt] = []
        """All attempts, in the order in which they were sent."""
        self.runs_by_attempt_id: dict[str, list[Run]] = collections.defaultdict(list)
        """Runs of each attempt."""
        self.passed_on: set[str] = set()
        """Attempts whose head has reached a backend server."""
        self.last_arrival_by_id: dict[str, float] = {}
        """When the head of an attempt has reached a backend server last."""
        self.unrecorded: collections.Counter[tuple[str, str]] = collections.Counter()
        """What callers have seen besides attempts, by habit and kind."""
        self.late_arrivals: list[str] = []
        """Attempts that reached a backend server too long after its acknowledged leave."""
        self.own_ends: list[str] = []
        """Processes that ended by themselves or exceeded their memory, with the reason."""
        self.last_lines: list[str] = []
        """Last warnings and states in the logs of these processes, with the name of the node."""
        self.configs: list[clock.Milliseconds] = []
        """Times at which a configuration was written."""
        self.stalls = stalls.Stalls()
        """Stand-stills of the soak's own loop, which runs the backend servers and the store."""
        self.foreign_spans: list[tuple[int, float, float]] = []
        """Nodes whose port for callers another process held, with begin and end."""
        self.services_by_route: list[dict[str, str]] = []
        """Routes of each configuration, with their services."""
        self.evacuations: list[Evacuation] = []
        """Orders to evacuate a zone."""
        self.rollouts: list[Rollout] = []
        """Roll-outs that were ordered."""
        self.start_ms: list[tuple[float, str]] = []
        """Time of each start until the node had started, with the name of the node."""
        self.longest_standstill_ms = 0.0
        """Longest time for which the process of the soak, which is also the store, stood still."""
        self.ended_at = math.inf
        """When the soak ended."""
        self.peak_mb = 0.0
        """Most memory that a node process had."""
        self.peak_fleet_mb = 0.0
        """Most memory that all node processes had at once."""
        self.disturbed_by_node: dict[int, _Disturbed] = collections.defaultdict(list)
        """What was done to each node, in order; a pause stands for its begin and its end."""

    def disturb(self, node: int, now: clock.Milliseconds, kind: Disturbance) -> None:
        """Record what was done to a node; a pause is recorded at its begin and at its end."""
        self.disturbed_by_node[node].append((now, kind))

    def hold_port(self, node: int, begin: clock.Milliseconds) -> None:
        """Record that another process holds the port of a node for callers."""
        self.foreign_spans.append((node, begin, math.inf))

    def release_port(self, node: int, end: clock.Milliseconds) -> None:
        """Record that the port of a node for callers is free again."""
        self.foreign_spans = [
            (held, begin, end if held == node and math.isinf(until) else until)
            for held, begin, until in self.foreign_spans
        ]

    def is_foreign(self, node: int, begin: float, end: float) -> bool:
        """Return whether another process held a node's port for callers between two times."""
        return any(
            held == node and held_from <= end and begin <= held_until
            for held, held_from, held_until in self.foreign_spans
        )

    def arrived(self, attempt_id: str, run: Run, left_at: clock.Milliseconds | None) -> None:
        """Record that a backend server begins to run a request.

        Args:
            attempt_id: Attempt id.
            run: The run.
            left_at: When the leave of the backend server was acknowledged, None if it was not.
        """
        self.passed_on.add(attempt_id)
        self.runs_by_attempt_id[attempt_id].append(run)
        is_late = left_at is not None and run.began_at > left_at + _DRAIN_MS
        if is_late and not self._was_held_up(run):
            self.late_arrivals.append(attempt_id)

    def runs(self, attempt: Attempt) -> list[Run]:
        """Return the runs of an attempt."""
        return self.runs_by_attempt_id.get(attempt.attempt_id, [])

    def was_disturbed(
        self,
        node: int,
        begin: float,
        end: float,
        kinds: frozenset[Disturbance],
    ) -> bool:
        """Return whether something was done to a node after `begin` and until `end`."""
        return any(
            kind in kinds and begin < disturbed_at <= end
            for disturbed_at, kind in self.disturbed_by_node[node]
        )

    def _was_held_up(self, run: Run) -> bool:
        """Return whether the link to the backend server may have delayed a request."""
        begin = run.began_at - _HELD_UP_MS
        link = frozenset((Disturbance.LINK,))
        return self.was_disturbed(run.node, begin, run.began_at, link)
