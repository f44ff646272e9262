"""Planned stops of one node under callers of their own process, which keep connections open.

The nodes may run the code of another checkout, so that one reproduction can be played on several
versions.
"""

from __future__ import annotations

import collections
import dataclasses
import os
import pathlib
import random
import sys
import tempfile
from collections.abc import Iterator, Sequence
from typing import Any

from twisted.internet import task

from anvillug.bench import (
    processes,
    soak_classes,
    soak_cuts,
    soak_fleet,
    soak_launch,
    soak_records,
    socket_callers,
    socket_exchange,
)

_SERVICES = ('drawbook', 'drawbook', 'drawbook', 'fieldvault')
_SLOTS = 40
_START_S = 6.0
_BEFORE_STOP_S = 2.0
# From the end of the grace time until the next stop.
_AFTER_GRACE_S = 3.0
HABITS = (
    socket_exchange.Habit.GOES_ON,
    socket_exchange.Habit.HONOURS_CLOSE,
    socket_exchange.Habit.HALF_CLOSES,
)
"""Habits that the callers may have."""
_BUSY_PROGRAM = (sys.executable, '-c', 'while True: pass')
SLACK_MS = 200.0
"""A request that is cut no later than this after its last byte, and not passed on, crosses the
close of its connection.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Parameters of the stops."""

    habit: socket_exchange.Habit
    """What the callers do with a connection that is announced to close."""
    connections: int = 60
    """Connections to the node that stops."""
    pause_ms: float = 100
    """Mean time between the end of a request and the next one."""
    stops: int = 4
    """Number of stops."""
    grace_s: float = soak_records.GRACE_S
    """Time from SIGTERM to SIGKILL."""
    work_ms: float = 0
    """Mean time of work on a request; 0 for that of its kind."""
    timeout_ms: int = 1500
    """Timeout of the routes, and deadline of the callers."""
    busy: int = 0
    """Busy processes beside."""
    code: pathlib.Path | None = None
    """Checkout whose code the nodes run; None for this one."""
    seed: int = 1
    """Seed of the work and the pauses."""

    @property
    def interval_s(self) -> float:
        """Time between two stops."""
        return self.grace_s + _AFTER_GRACE_S


@dataclasses.dataclass(frozen=True, slots=True)
class Cut:
    """A request whose connection ended without a whole response."""

    sent: socket_exchange.Sent
    passed_on: bool
    """Whether it had reached a backend server."""
    stop: int
    """Number of the last stop before its end, from 1; 0 before the first."""
    after_stop_ms: float
    """Time from SIGTERM to its end."""
    outlasts: bool = False
    """Whether it was sent in time, but its work outlasts the grace time."""

    @property
    def waited_ms(self) -> float:
        """Time from its last byte to its end."""
        return self.sent.ended_at - (self.sent.written_at or self.sent.ended_at)

    @property
    def is_lost(self) -> bool:
        """Whether it neither crossed the close of its connection nor outlasts the grace time."""
        return not self.outlasts and (self.passed_on or self.waited_ms > SLACK_MS)


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What the callers have seen."""

    requests: list[socket_exchange.Sent]
    cuts: list[Cut]

    @property
    def lost(self) -> list[Cut]:
        """Cuts that neither crossed the close of the connection nor outlast the grace time."""
        return [cut for cut in self.cuts if cut.is_lost]

    @property
    def most_of_a_caller(self) -> int:
        """Largest number of requests of one caller that one stop has cut."""
        counts = collections.Counter((cut.sent.caller, cut.stop) for cut in self.cuts)
        return max(counts.values(), default=0)

    @property
    def cut_after_announcement(self) -> int:
        """Number of cuts on a connection whose close had been announced to the caller."""
        announced = {each.attempt_id for each in self.requests if each.announced}
        return sum(cut.sent.kept and cut.sent.previous_id in announced for cut in self.cuts)


def as_other_code(checkout: pathlib.Path, settings_file: pathlib.Path) -> soak_launch.Launch:
    """Return how `anvillug mesh` of another checkout is started with a settings file."""
    environment = {**os.environ, 'PYTHONPATH': str(checkout / 'src')}
    return soak_launch.Launch((*processes.PROGRAM, 'mesh', str(settings_file)), environment)


async def run(plan: Plan, reactor: Any) -> int:
    """Play the stops and print what the callers have seen.

    Returns:
        Exit code: 0 if no request was lost, and each caller that goes on had at most one cut by a
        stop, the others none; 1 otherwise.
    """
    result = await play(plan, reactor)
    sys.stdout.write('\n'.join([*_lines(result), '']))
    allowed = 1 if plan.habit is socket_exchange.Habit.GOES_ON else 0
    is_sound = result.requests and not result.lost and result.most_of_a_caller <= allowed
    return 0 if is_sound else 1


async def play(plan: Plan, reactor: Any) -> Result:
    """Play the stops."""
    records = soak_records.Records(plan.grace_s)
    classes = [
        dataclasses.replace(each, work_ms=plan.work_ms or each.work_ms, deadline_ms=plan.timeout_ms)
        for each in (soak_classes.SHEET, soak_classes.REVISION)
    ]
    with (
        tempfile.TemporaryDirectory(prefix='anvillug-stops-') as folder,
        processes.group() as group,
    ):
        fleet = soak_fleet.Fleet(
            reactor,
            pathlib.Path(folder),
            _SERVICES,
            _SLOTS,
            (*classes, soak_classes.SCAN),
            records,
            random.Random(plan.seed),
        )
        if plan.code is not None:
            code = plan.code
            fleet.shared.launch = lambda path: as_other_code(code, path)
        try:
            callers = await _play_stops(plan, fleet, group, classes)
        finally:
            fleet.stop()
        return _judge(socket_callers.read_lines(callers.output()), records)


async def _play_stops(
    plan: Plan,
    fleet: soak_fleet.Fleet,
    group: list[processes.ChildProcess],
    classes: Sequence[soak_classes.RequestClass],
) -> processes.ChildProcess:
    fleet.start()
    await task.deferLater(fleet.reactor, _START_S)
    group.extend(processes.ChildProcess((), _BUSY_PROGRAM) for _ in range(plan.busy))
    callers = processes.ChildProcess(
        (_caller_plan(plan, fleet, classes).encode(),),
        (sys.executable, '-m', 'anvillug.bench.socket_callers'),
    )
    group.append(callers)
    await task.deferLater(fleet.reactor, _BEFORE_STOP_S)
    for _ in range(plan.stops):
        fleet.terminate(fleet.hosts[0])
        await task.deferLater(fleet.reactor, plan.interval_s)
    while callers.running:
        await task.deferLater(fleet.reactor, processes.POLL_S)
    return callers


def _caller_plan(
    plan: Plan, fleet: soak_fleet.Fleet, classes: Sequence[soak_classes.RequestClass]
) -> socket_callers.Plan:
    return socket_callers.Plan(
        name='c',
        addresses=[fleet.hosts[0].address(2)],
        connections=plan.connections,
        habits=[plan.habit.value],
        pause_ms=plan.pause_ms,
        duration_s=_BEFORE_STOP_S + plan.stops * plan.interval_s,
        messages=[
            socket_exchange.Message(
                'GET' if each.repeatable else 'POST',
                f'/{each.route}/',
                soak_classes.HOST,
                plan.timeout_ms,
            )
            for each in classes
        ],
        seed=plan.seed,
    )


def _judge(requests: list[socket_exchange.Sent], records: soak_records.Records) -> Result:
    stops = [
        at for at, kind in records.disturbed_by_node[0] if kind is soak_records.Disturbance.PLANNED
    ]
    unanswered = frozenset(
        (socket_exchange.Ending.CLOSED.value, socket_exchange.Ending.RESET.value)
    )
    cuts = []
    for sent in requests:
        if sent.ending in unanswered:
            before = [at for at in stops if at <= sent.ended_at]
            after_ms = sent.ended_at - before[-1] if before else 0
            passed_on = sent.attempt_id in records.passed_on
            outlasts = bool(before) and soak_cuts.outlasts(
                records, sent.attempt_id, sent.sent_at, sent.ended_at, before[-1]
            )
            cuts.append(Cut(sent, passed_on, len(before), after_ms, outlasts))
    return Result(requests, cuts)


def _lines(result: Result) -> Iterator[str]:
    statuses = collections.Counter(each.status for each in result.requests)
    endings = collections.Counter(each.ending for each in result.requests)
    cuts = result.cuts
    answers = dict(sorted(statuses.items()))
    yield f'{len(result.requests)} requests, answers {answers}, {dict(endings)}'
    stalled_ms = max((cut.sent.stalled_ms for cut in cuts), default=0)
    after_ms = sorted(cut.after_stop_ms for cut in cuts) or [0]
    waited_ms = max((cut.waited_ms for cut in cuts), default=0)
    yield (
        f'{len(cuts)} cut: {len(result.lost)} passed on or later than {SLACK_MS:.0f} ms, '
        f'{sum(cut.outlasts for cut in cuts)} whose work outlasts the grace time, '
        f'{result.cut_after_announcement} after the close was announced, '
        f'at most {result.most_of_a_caller} of a caller by one stop'
    )
    yield (
        f'cut {after_ms[0]:.0f} to {after_ms[-1]:.0f} ms after SIGTERM, at most {waited_ms:.0f} ms '
        f'after the last byte, callers stood still for up to {stalled_ms:.0f} ms'
    )
    for cut in result.lost:
        yield f'lost: {cut}'
