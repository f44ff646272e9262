"""Derives parameters of routing and rollouts from a service's targets and finds conflicts.

| parameter | derived from | rule |
|---|---|---|
| `queue_bound_ms` | latency | 40% of the 99th percentile, limited to 2 to 1000 ms |
| `hedge_delay_ms` | latency | 50% of the 99th percentile, at least 4 ms |
| `hedge_ratio` | cost, `hedge` | half of the spare share, at most 10%; 0 without `hedge` |
| `hot_threshold` | cost | 1 minus the spare share, at least 0.5 of a host's limit |
| `canary_share` | safety | strict 1%, balanced 5%, fast 10% |
| `probe_budget` | `probe_budget_percent` | the same, as a fraction of slot time |

`judge.THRESHOLDS` defines for each safety level when a version counts as bad.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator

from anvillug import findings
from anvillug.version import document

_PERCENT = 100.0
_QUEUE_BOUND_RATIO = 0.4
_MIN_QUEUE_BOUND_MS = 2.0
_MAX_QUEUE_BOUND_MS = 1000.0
_HEDGE_DELAY_RATIO = 0.5
# A hedge to another zone takes 3 ms for the round trip and 0.91 ms in the nodes.
_MIN_HEDGE_DELAY_MS = 4.0
_HEDGE_SHARE_OF_SPARE = 0.5
_MAX_HEDGE_RATIO = 0.1
_MIN_HOT_THRESHOLD = 0.5
_MS_PER_SECOND = 1000

_CANARY_SHARE_BY_SAFETY = {
    document.Safety.STRICT: 0.01,
    document.Safety.BALANCED: 0.05,
    document.Safety.FAST: 0.1,
}
# Time that a rollout needs to gather enough evidence at the canary share.
_MIN_MOVE_MS_BY_SAFETY = {
    document.Safety.STRICT: 300_000,
    document.Safety.BALANCED: 60_000,
    document.Safety.FAST: 20_000,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Decisions:
    """Parameters of routing and rollouts of one service."""

    queue_bound_ms: float
    """Maximum time that a call waits in the queue of a host."""
    hedge_delay_ms: float
    """Time after which a repeatable call may be hedged to a second host."""
    hedge_ratio: float
    """Share of calls that may be hedged."""
    hot_threshold: float
    """Share of a host's limit above which hosts are selected by load instead of latency."""
    canary_share: float
    """Initial traffic share of a new version."""
    probe_budget: float
    """Share of slot time that probes may use."""


def decide(service: document.Service) -> Decisions:
    """Derive the parameters of a service.

    Args:
        service: The service with its targets.

    Returns:
        The parameters, according to the table in the docstring of this module.
    """
    service_targets = service.targets
    spare = service_targets.spare_percent / _PERCENT
    hedge_ratio = min(_MAX_HEDGE_RATIO, spare * _HEDGE_SHARE_OF_SPARE) if service.hedge else 0
    return Decisions(
        queue_bound_ms=min(
            _MAX_QUEUE_BOUND_MS,
            max(_MIN_QUEUE_BOUND_MS, service_targets.latency_p99_ms * _QUEUE_BOUND_RATIO),
        ),
        hedge_delay_ms=max(
            _MIN_HEDGE_DELAY_MS, service_targets.latency_p99_ms * _HEDGE_DELAY_RATIO
        ),
        hedge_ratio=hedge_ratio,
        hot_threshold=max(_MIN_HOT_THRESHOLD, 1 - spare),
        canary_share=_CANARY_SHARE_BY_SAFETY[service_targets.safety],
        probe_budget=service.probe_budget_percent / _PERCENT,
    )


def explain(config: document.Document, place: str) -> findings.Findings:
    """Find targets of a valid document that can't be met together.

    Args:
        config: The document.
        place: Name of the input, such as its file.

    Returns:
        One finding per conflict.
    """
    conflicts = [
        findings.Finding(f'{place}: services.{name}.{key}', message)
        for name, service in config.services.items()
        for key, message in _conflicts(service)
    ]
    zones = config.zones.values()
    if zones and all(zone.state is document.ZoneState.OUT for zone in zones):
        conflicts.append(
            findings.Finding(f'{place}: zones', 'every zone is out: no listed host accepts calls'),
        )
    return tuple(conflicts)


def _conflicts(service: document.Service) -> Iterator[tuple[str, str]]:
    yield from _latency_conflicts(service)
    yield from _cost_conflicts(service)
    if service.move is not None:
        yield from _move_conflicts(service, service.move)


def _latency_conflicts(service: document.Service) -> Iterator[tuple[str, str]]:
    latency_ms = service.targets.latency_p99_ms
    if service.hedge and latency_ms * _HEDGE_DELAY_RATIO < _MIN_HEDGE_DELAY_MS:
        yield (
            'targets.latency_p99_ms',
            f'{latency_ms:g} ms leaves no time for hedging: the earliest second attempt starts '
            f'after {_MIN_HEDGE_DELAY_MS:g} ms and needs the same time again; '
            f'raise it to {_MIN_HEDGE_DELAY_MS / _HEDGE_DELAY_RATIO:g} ms or set hedge to false',
        )
    if latency_ms <= _MIN_QUEUE_BOUND_MS:
        yield (
            'targets.latency_p99_ms',
            f'{latency_ms:g} ms is not above the minimum queue bound of {_MIN_QUEUE_BOUND_MS:g} ms',
        )


def _cost_conflicts(service: document.Service) -> Iterator[tuple[str, str]]:
    spare = service.targets.spare_percent
    if service.hedge and spare == 0:
        yield (
            'targets.spare_percent',
            '0% spare leaves a hedge budget of 0; raise it or set hedge to false',
        )
    if service.probe_budget_percent > spare:
        yield (
            'probe_budget_percent',
            f'{service.probe_budget_percent:g}% of slot time for probes exceeds '
            f'the spare capacity of {spare:g}%',
        )


def _move_conflicts(
    service: document.Service,
    move: document.Move,
) -> Iterator[tuple[str, str]]:
    safety = service.targets.safety
    spare = service.targets.spare_percent
    canary = _CANARY_SHARE_BY_SAFETY[safety] * _PERCENT
    if spare < canary:
        yield (
            'targets.spare_percent',
            f'{spare:g}% spare with {safety.value} safety and a move: after a rollback the old '
            f'version must handle the initial {canary:g}% of traffic of the new version again; '
            f'raise it to {canary:g}%',
        )
    min_ms = _MIN_MOVE_MS_BY_SAFETY[safety]
    if move.deadline_ms - move.start_ms < min_ms:
        yield (
            'move.deadline_ms',
            f'a move with {safety.value} safety needs at least {min_ms // _MS_PER_SECOND} s '
            f'from start to deadline to gather evidence',
        )
