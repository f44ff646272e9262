"""What callers and backend servers of a soak have seen, and the promises that were broken."""

from __future__ import annotations

import collections
import dataclasses
import enum

from anvillug import clock

_TOUCH_MS = 3000
_DRAIN_MS = 2300
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_SUCCESS = range(200, 300)


class Disturbance(enum.Enum):
    """What was done to a node process."""

    PLANNED = 'planned'
    """SIGTERM; it must not cost a request."""
    UNPLANNED = 'unplanned'
    """SIGKILL or a pause."""


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


@dataclasses.dataclass(slots=True)
class Run:
    """One request that a backend server has begun to run."""

    node: int
    """Number of the node beside the backend server."""
    began_at: clock.Milliseconds
    """When it began."""


_Disturbed = list[tuple[clock.Milliseconds, Disturbance]]


class Records:
    """Attempts, runs and disturbances of a soak."""

    def __init__(self) -> None:
        self.attempts: list[Attempt] = []
        """All attempts, in the order in which they were sent."""
        self.runs_by_attempt_id: dict[str, list[Run]] = collections.defaultdict(list)
        """Runs of each attempt."""
        self.late_arrivals: list[str] = []
        """Attempts that reached a backend server too long after its acknowledged leave."""
        self.own_ends: list[str] = []
        """Processes that ended by themselves or exceeded their memory, with the reason."""
        self.peak_mb = 0.0
        """Most memory that a node process had."""
        self._disturbed_by_node: dict[int, _Disturbed] = collections.defaultdict(list)

    def disturb(self, node: int, now: clock.Milliseconds, kind: Disturbance) -> None:
        """Record what was done to a node; a pause is recorded at its begin and at its end."""
        self._disturbed_by_node[node].append((now, kind))

    def arrived(self, attempt_id: str, run: Run, left_at: clock.Milliseconds | None) -> None:
        """Record that a backend server begins to run a request.

        Args:
            attempt_id: Attempt id.
            run: The run.
            left_at: When the leave of the backend server was acknowledged, None if it was not.
        """
        self.runs_by_attempt_id[attempt_id].append(run)
        if left_at is not None and run.began_at > left_at + _DRAIN_MS:
            self.late_arrivals.append(attempt_id)

    def broken(self) -> list[str]:
        """Return the promises that were broken, with the attempts that show it."""
        problems = [f'FAULT {reason}' for reason in self.own_ends]
        problems += [f'DRAIN {attempt_id}' for attempt_id in self.late_arrivals]
        for attempt in self.attempts:
            name = self._broken_by(attempt)
            if name:
                problems.append(f'{name} {attempt.attempt_id}')
        return problems

    def _broken_by(self, attempt: Attempt) -> str:
        runs = self.runs_by_attempt_id.get(attempt.attempt_id, [])
        if attempt.status in _SUCCESS and attempt.body != attempt.attempt_id.encode():
            return 'MIXED'
        if not attempt.repeatable and len(runs) > 1:
            return 'TWICE'
        if not attempt.repeatable and runs and attempt.status in _NOT_RUN_STATUSES:
            return 'REFUSED'
        is_cut = attempt.ended_at is not None and not attempt.status and not attempt.gave_up
        if is_cut and runs and self._was_in_touch(attempt):
            return 'LOST'
        return ''

    def _was_in_touch(self, attempt: Attempt) -> bool:
        """Return whether no node that had a part in an attempt was disturbed without a plan."""
        nodes = {attempt.node} | {
            run.node for run in self.runs_by_attempt_id.get(attempt.attempt_id, [])
        }
        return not any(
            kind is Disturbance.UNPLANNED
            and attempt.sent_at - _TOUCH_MS < disturbed_at <= attempt.ended_at
            for node in nodes
            for disturbed_at, kind in self._disturbed_by_node[node]
        )
