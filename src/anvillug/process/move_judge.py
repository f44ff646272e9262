"""Task that watches version rollouts and proposes how they end."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import xxhash
from twisted.internet import defer, interfaces

from anvillug import clock, event_log, ids
from anvillug.connection import log_client, log_record
from anvillug.process import membership, service_router
from anvillug.version import (
    config_state,
    document,
    evidence,
    evidence_pool,
    fold,
    judge,
    verdict_set,
)

_INTERVAL_S = 1.0
_LEVELS = 3
_RANKED_PROPOSERS = 3
_RANK_DELAY_S = 2.0
_LATE_PROPOSAL_S = 30.0
_WATCH_MS = 600_000.0

SpreadVerdicts = Callable[[list[verdict_set.VerdictNotice]], None]


class MoveJudge:
    """Collects evidence on rollouts and turns it into verdicts.

    A bad verdict takes effect here at once and spreads by gossip. The record
    in the log is written by one of a few hosts of the service: each waits
    longer than the one before and writes only what the fold does not show yet.

    Args:
        reactor: Timers.
        time: Clock.
        members: Known members.
        log: Access to the log.
        config: Returns the configuration in effect.
        verdicts: Set of bad versions.
        pool: Evidence of this node and its peers.
        spread: Passes new verdicts on to peers.
        rng: Jitter of delays.
    """

    def __init__(  # noqa: WPS211 - the assembly names each argument
        self,
        reactor: interfaces.IReactorTime,
        time: clock.Clock,
        members: membership.MemberTable,
        log: log_record.LogClient,
        config: Callable[[], config_state.ConfigState],
        verdicts: verdict_set.VerdictSet,
        pool: evidence_pool.EvidencePool,
        spread: SpreadVerdicts,
        rng: random.Random,
    ) -> None:
        self._reactor = reactor
        self._clock = time
        self._members = members
        self._log = log
        self._config = config
        self._verdicts = verdicts
        self._pool = pool
        self._spread = spread
        self._rng = rng
        self._evidence = evidence.Evidence()
        self._proposed: set[tuple[ids.ServiceName, int, str]] = set()
        self._judgements: dict[ids.ServiceName, judge.Verdict] = {}

    def start(self) -> None:
        """Start to watch."""
        self._watch()

    def call_ended(self, ended: service_router.EndedCall) -> None:
        """Count an ended call; see `service_router.CallObserver`."""
        level = min(_LEVELS - 1, int(ended.load_level * _LEVELS))
        self._evidence.record(
            ended.service,
            ended.version,
            ended.host_id,
            ended.route,
            level,
            ended.failed,
            ended.latency_ms,
            self._clock.wall(),
        )

    def is_bad(self, service: ids.ServiceName, move: config_state.MoveStatus) -> bool:
        """Tell whether a rollout's new version is known to be bad."""
        return self._verdicts.is_bad(service, move.to_version, move.number)

    def dump(self) -> dict[str, object]:
        """Return what operators see of the rollouts."""
        return {
            name: {'judgement': found.state.value, 'evidence': found.evidence}
            for name, found in self._judgements.items()
        }

    # Private

    def _watch(self) -> None:
        wall = self._clock.wall()
        config = self._config()
        for name, move in config.moves_by_service.items():
            service = config.document.services.get(name)
            if service is not None and self._is_watched(move, wall):
                self._judge(name, service, move, wall)
        for name in self._evidence.services():
            current = config.moves_by_service.get(name)
            if current is None or not self._is_watched(current, wall):
                self._evidence.stop(name)
                self._pool.drop(name)
                self._judgements.pop(name, None)
        self._proposed = {key for key in self._proposed if _is_current(key, config)}
        self._reactor.callLater(_INTERVAL_S, self._watch)

    def _is_watched(self, move: config_state.MoveStatus, wall: float) -> bool:
        if move.state is config_state.MoveState.TAKEN_BACK:
            return False
        return move.start_ms <= wall <= move.deadline_ms + _WATCH_MS

    def _judge(
        self,
        name: ids.ServiceName,
        service: document.Service,
        move: config_state.MoveStatus,
        wall: clock.Milliseconds,
    ) -> None:
        comparison = evidence.Comparison(name, move.from_version, move.to_version, move.number)
        self._evidence.start(comparison, wall)
        own = self._evidence.summary(name, wall)
        if own is not None:
            self._pool.put_own(own, wall)
        combined = self._pool.combined(comparison)
        safety = service.targets.safety
        found = judge.judge(combined, move, judge.THRESHOLDS[safety], wall)
        self._judgements[name] = found
        if found.state is judge.VerdictState.BAD:
            self._add_verdict(name, move, found.evidence)
        known = self._verdicts.find(name, move.number)
        if known is not None:
            self._propose(name, move, fold.verdict_record(name, move, known.evidence))
        elif wall >= move.deadline_ms and move.state is config_state.MoveState.PLANNED:
            decision, reason = judge.decide_at_deadline(combined, found, safety)
            finishes = decision is judge.Decision.FINISH
            result = config_state.MoveState.DONE if finishes else config_state.MoveState.TAKEN_BACK
            self._propose(name, move, fold.move_result_record(name, move, result, reason))

    def _add_verdict(
        self,
        name: ids.ServiceName,
        move: config_state.MoveStatus,
        reason: str,
    ) -> None:
        notice = verdict_set.VerdictNotice(name, move.to_version, move.number, reason)
        if self._verdicts.add(notice):
            event_log.warn('version_bad', service=name, version=move.to_version, evidence=reason)
            self._spread([notice])

    def _propose(
        self,
        name: ids.ServiceName,
        move: config_state.MoveStatus,
        record: dict[str, Any],
    ) -> None:
        key = (name, move.number, record['kind'])
        if key not in self._proposed:
            self._proposed.add(key)
            delay = self._proposal_delay_s(name)
            self._reactor.callLater(delay, self._append, name, move, record)

    def _proposal_delay_s(self, name: ids.ServiceName) -> float:
        """Return the turn of this host, so that one record suffices in most cases."""
        own = self._members.own.host_id
        hosts = sorted(
            (member.host_id for member in self._members.usable(name)),
            key=lambda host_id: xxhash.xxh3_64_intdigest(f'{name}/{host_id}'.encode()),
        )
        ranked = hosts[:_RANKED_PROPOSERS]
        if own in ranked:
            return _RANK_DELAY_S * ranked.index(own)
        return _RANK_DELAY_S * _RANKED_PROPOSERS + self._rng.uniform(0, _LATE_PROPOSAL_S)

    def _append(
        self,
        name: ids.ServiceName,
        move: config_state.MoveStatus,
        record: dict[str, Any],
    ) -> None:
        current = self._config().moves_by_service.get(name)
        if current is None or current.number != move.number:
            return
        is_verdict = record['kind'] == 'verdict'
        # A result is for a rollout in progress; a verdict also takes back one that is done.
        if current.state not in (_OPEN_FOR_VERDICT if is_verdict else _OPEN_FOR_RESULT):
            return
        appended: defer.Deferred[Any] = self._log.append(log_client.CONFIGURATION_STREAM, record)
        appended.addCallbacks(
            lambda offset: event_log.emit(
                'move_result_proposed',
                service=name,
                result=record.get('result', config_state.MoveState.TAKEN_BACK.value),
                evidence=record['evidence' if is_verdict else 'reason'],
            ),
            lambda _failure: self._reactor.callLater(
                _RANK_DELAY_S,
                self._append,
                name,
                move,
                record,
            ),
        )


def _is_current(key: tuple[ids.ServiceName, int, str], config: config_state.ConfigState) -> bool:
    current = config.moves_by_service.get(key[0])
    return current is not None and current.number == key[1]


_OPEN_FOR_RESULT = frozenset((config_state.MoveState.PLANNED,))
_OPEN_FOR_VERDICT = frozenset((config_state.MoveState.PLANNED, config_state.MoveState.DONE))
