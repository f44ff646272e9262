"""Choice and schedule of the faults of a soak, which overlap."""

from __future__ import annotations

import collections
import functools
import random
from collections.abc import Callable, Sequence
from typing import Any

from anvillug import event_log
from anvillug.bench import (
    soak_classes,
    soak_fleet,
    soak_launch,
    soak_links,
    soak_orders,
    soak_output,
    soak_rollouts,
    soak_routes,
    soak_signals,
    soak_surroundings,
    soak_traffic,
    soak_unruly,
)

CALLS = 'calls'
"""Kind by which backend servers call other services through their node."""
_DEPLOYED = 'deployed'
_BREAK_OFF = 'break-off'
_EARLY_ANSWERS = 'early-answers'
_NOISE = 'noise'
# These apply during the whole soak.
_LASTING_KINDS = frozenset((CALLS, _DEPLOYED, _BREAK_OFF, _EARLY_ANSWERS, _NOISE))
# These have sources of choices of their own.
_SEPARATE_KINDS = frozenset((_NOISE, soak_unruly.UNRULY))
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
    *sorted(soak_links.KINDS),
    *sorted(_LASTING_KINDS - _SEPARATE_KINDS),
)
_FURTHER_KINDS = (
    soak_signals.SCALE_IN,
    'evacuate',
    'routes',
    soak_rollouts.ROLLOUT,
    *sorted(soak_links.LISTENER_KINDS),
)
_START_KINDS = ('mask', 'port-long', 'settings-long')
KINDS = frozenset((*_BASE_KINDS, *_MORE_KINDS, *_FURTHER_KINDS, *_START_KINDS, *_SEPARATE_KINDS))
"""Names of all kinds."""
_READER_KINDS = frozenset(('reader-gone', 'reader-stuck'))

_MIN_KINDS = 2
_MAX_KINDS = 5
_MAX_MORE_KINDS = 3
_MAX_FURTHER_KINDS = 2
_FAULT_INTERVAL_S = 1.5
_BREAK_OFF_SHARE = 0.02
_EARLY_SHARE = 0.2
_NOISY_SEEDS = 0.25
_UNRULY_SEEDS = 0.4
# A neighbour takes the processor from a backend server.
_NOISE_SHARE = 0.25
_NOISE_FACTOR = 7
_BURST_REQUESTS = 100


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
    # Sources of their own, so that a seed with named kinds plays as before there were more.
    more = random.Random(f'{seed} more')
    further = random.Random(f'{seed} further')
    starts = random.Random(f'{seed} starts')
    is_noisy = random.Random(f'{seed} noise').random() < _NOISY_SEEDS
    is_unruly = random.Random(f'{seed} unruly').random() < _UNRULY_SEEDS
    further_count = further.randint(0, min(_MAX_FURTHER_KINDS, len(_FURTHER_KINDS)))
    return frozenset(
        (
            *chosen,
            *more.sample(_MORE_KINDS, more.randint(1, _MAX_MORE_KINDS)),
            *further.sample(_FURTHER_KINDS, further_count),
            *starts.sample(_START_KINDS, starts.randint(0, 1)),
            *([_NOISE] if is_noisy else ()),
            *([soak_unruly.UNRULY] if is_unruly else ()),
        )
    )


class Faults:
    """Begins faults at random times, of a few kinds.

    Args:
        fleet: The processes and stand-ins; its nodes are not started yet.
        callers: Send additional requests in bursts.
        classes: Kinds of requests in bursts.
        call: Kind of the calls between services.
        kinds: Kinds of faults.
    """

    def __init__(
        self,
        fleet: soak_fleet.Fleet,
        callers: soak_traffic.Callers,
        classes: Sequence[soak_classes.RequestClass],
        call: soak_classes.RequestClass,
        kinds: frozenset[str],
    ) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        """Faults by kind."""
        self._fleet = fleet
        self._callers = callers
        self._classes = classes
        self._call_class = call
        self._rng = fleet.rng
        signals = soak_signals.Signals(fleet)
        actions: dict[str, Callable[[], Any]] = {
            **signals.actions_by_kind,
            **soak_surroundings.Surroundings(fleet, signals).actions_by_kind,
            **soak_links.Links(fleet, signals, kinds).actions_by_kind,
            **soak_orders.Orders(fleet).actions_by_kind,
            **soak_rollouts.Rollouts(fleet, kinds).actions_by_kind,
            **soak_routes.Routes(fleet).actions_by_kind,
            'burst': self._burst,
        }
        self._actions = {
            name: actions[name] for name in sorted(kinds - _LASTING_KINDS - _SEPARATE_KINDS)
        }
        self._set_up(kinds)

    def begin(self) -> None:
        """Begin the next fault and schedule the one after it, until the soak is over."""
        if self._fleet.stopped or self._callers.stopped or not self._actions:
            return
        name = self._rng.choice(sorted(self._actions))
        self.counts[name] += 1
        event_log.emit('soak_fault', kind=name)
        self._actions[name]()
        self._fleet.later(self._rng.expovariate(1 / _FAULT_INTERVAL_S), self.begin)

    def _set_up(self, kinds: frozenset[str]) -> None:
        """Apply the kinds that last during the whole soak."""
        shared = self._fleet.shared
        behavior = shared.behavior
        if CALLS in kinds:
            behavior.call = self._call
            behavior.calls_by_route = {each.route: each.calls for each in self._classes}
        if _BREAK_OFF in kinds:
            behavior.break_off_share = _BREAK_OFF_SHARE
        if _EARLY_ANSWERS in kinds:
            behavior.early_share = _EARLY_SHARE
        if _NOISE in kinds:
            behavior.noise_share = _NOISE_SHARE
            behavior.noise_factor = _NOISE_FACTOR
        # Not with the first start, which would hold up the reactor.
        soak_launch.build_interpreter(soak_launch.ROOT)
        if _DEPLOYED in kinds and not kinds & soak_links.LISTENER_KINDS:
            shared.launch = soak_launch.as_deployed
        if kinds & _READER_KINDS:
            shared.new_output = functools.partial(soak_output.PipeOutput, shared.reactor)

    def _call(self, node: int, on_end: soak_traffic.OnEnd) -> None:
        self._callers.send_to(node, self._call_class, on_end)

    def _burst(self) -> None:
        self._callers.burst(_BURST_REQUESTS)
