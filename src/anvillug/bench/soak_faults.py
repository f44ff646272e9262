"""Choice and schedule of the faults of a soak, which overlap."""

from __future__ import annotations

import collections
import functools
import random
from collections.abc import Callable, Sequence
from typing import Any

from anvillug import event_log
from anvillug.bench import (
    soak_fleet,
    soak_launch,
    soak_output,
    soak_signals,
    soak_surroundings,
    soak_traffic,
)

DEPLOYED = 'deployed'
"""Kind by which nodes are started as the deploy file says."""
_BASE_KINDS = (
    'roll',
    'terminate',
    'kill',
    'herd',
    'pause',
    'store',
    'config',
    'replace',
    'burst',
)
_MORE_KINDS = (
    'hangup',
    'settings',
    'early',
    'late',
    'at-once',
    'terminate-all',
    'port',
    'reader-gone',
    'reader-stuck',
    'kill-all-at-ack',
    DEPLOYED,
)
KINDS = frozenset((*_BASE_KINDS, *_MORE_KINDS))
"""Names of all kinds."""
_READER_KINDS = frozenset(('reader-gone', 'reader-stuck'))

_MIN_KINDS = 2
_MAX_KINDS = 5
_MAX_MORE_KINDS = 3
_FAULT_INTERVAL_S = 1.5
_BURST_REQUESTS = 100
_BURST_STEP_S = 0.01


def choose(rng: random.Random, seed: int, names: Sequence[str]) -> frozenset[str]:
    """Return the kinds of faults of a soak.

    With few kinds, processes also live long enough to show slow growth.

    Args:
        rng: Source of random choices of the soak.
        seed: Its seed.
        names: The kinds, if they are not to be chosen by the seed.
    """
    chosen = rng.sample(sorted(_BASE_KINDS), rng.randint(_MIN_KINDS, _MAX_KINDS))
    if names:
        return frozenset(names)
    # A source of their own, so that a seed with named kinds plays as before there were more.
    more = random.Random(f'{seed} more')
    return frozenset((*chosen, *more.sample(_MORE_KINDS, more.randint(1, _MAX_MORE_KINDS))))


class Faults:
    """Begins faults at random times, of a few kinds.

    Args:
        fleet: The processes and stand-ins; its nodes are not started yet.
        callers: Send additional requests in bursts.
        classes: Kinds of requests in bursts.
        kinds: Kinds of faults.
    """

    def __init__(
        self,
        fleet: soak_fleet.Fleet,
        callers: soak_traffic.Callers,
        classes: Sequence[soak_traffic.RequestClass],
        kinds: frozenset[str],
    ) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        """Faults by kind."""
        self._fleet = fleet
        self._callers = callers
        self._classes = classes
        self._rng = fleet.rng
        signals = soak_signals.Signals(fleet)
        actions: dict[str, Callable[[], Any]] = {
            **signals.actions_by_kind,
            **soak_surroundings.Surroundings(fleet, signals).actions_by_kind,
            'burst': self._burst,
        }
        self._actions = {name: actions[name] for name in sorted(kinds - {DEPLOYED})}
        if DEPLOYED in kinds:
            fleet.shared.launch = soak_launch.as_deployed
        if kinds & _READER_KINDS:
            fleet.shared.new_output = functools.partial(soak_output.PipeOutput, fleet.reactor)

    def begin(self) -> None:
        """Begin the next fault and schedule the one after it, until the soak is over."""
        if self._fleet.stopped or self._callers.stopped or not self._actions:
            return
        name = self._rng.choice(sorted(self._actions))
        self.counts[name] += 1
        event_log.emit('soak_fault', kind=name)
        self._actions[name]()
        self._fleet.later(self._rng.expovariate(1 / _FAULT_INTERVAL_S), self.begin)

    def _burst(self) -> None:
        for number in range(_BURST_REQUESTS):
            self._fleet.later(
                number * _BURST_STEP_S, self._callers.send, self._rng.choice(self._classes)
            )
