"""Task that judges version rollouts and proposes their results in the log."""

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

_REVIEW_INTERVAL_S = 1.0
_LOAD_LEVELS = 3
"""Number of load levels by which the evidence is grouped."""
_RANKED_PROPOSERS = 3
"""Hosts of a service that append a proposal after a fixed delay, in the order of their rank."""
_RANK_DELAY_S = 2.0
"""Delay per rank, and pause after a failed append."""
_MAX_LATE_PROPOSAL_DELAY_S = 30.0
"""Maximum additional delay of the hosts without a rank."""
_REVIEW_AFTER_DEADLINE_MS = 600_000.0
"""Time after the deadline for which a rollout is still reviewed."""

PropagateVerdicts = Callable[[list[verdict_set.VerdictNotice]], None]


class MoveJudge:
    """Collects evidence on rollouts and derives verdicts from it.

    A verdict that a version is bad takes effect on this node immediately and is propagated by
    gossip. One of a few hosts of the service appends the record to the log: the hosts wait for
    increasing times, and each appends only what the fold does not contain yet.

    Args:
        reactor: Timers.
        time: Clock.
        members: Member table.
        log: Access to the log.
        config: Returns the configuration state in effect.
        verdicts: Set of bad versions.
        pool: Evidence of this node and of its peers.
        propagate_verdicts: Sends new verdicts to peers.
        rng: Source of the jitter of delays.
    """

    def __init__(  # noqa: WPS211 - components with the lifetime of the process
        self,
        reactor: interfaces.IReactorTime,
        time: clock.Clock,
        members: membership.MemberTable,
        log: log_record.LogClient,
        config: Callable[[], config_state.ConfigState],
        verdicts: verdict_set.VerdictSet,
        pool: evidence_pool.EvidencePool,
        propagate_verdicts: PropagateVerdicts,
        rng: random.Random,
    ) -> None:
        self._reactor = reactor
        self._clock = time
        self._members = members
        self._log = log
        self._config = config
        self._verdicts = verdicts
        self._pool = pool
        self._propagate_verdicts = propagate_verdicts
        self._rng = rng
        self._evidence = evidence.Evidence()
        self._scheduled_proposals: set[tuple[ids.ServiceName, int, str]] = set()
        self._judgements_by_service: dict[ids.ServiceName, judge.Verdict] = {}

    def start(self) -> None:
        """Start reviewing the rollouts periodically."""
        self._review_rollouts()

    def attempt_ended(self, ended: service_router.EndedAttempt) -> None:
        """Add an ended attempt to the evidence; see `service_router.AttemptObserver`."""
        level = min(_LOAD_LEVELS - 1, int(ended.load_level * _LOAD_LEVELS))
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
        """Return whether the new version of a rollout has a bad verdict."""
        return self._verdicts.is_bad(service, move.to_version, move.number)

    def dump(self) -> dict[str, object]:
        """Return the state of the rollouts for operators."""
        return {
            name: {'judgement': judgement.state.value, 'evidence': judgement.evidence}
            for name, judgement in self._judgements_by_service.items()
        }

    # Private

    def _review_rollouts(self) -> None:
        # First, so that a failure does not end the task.
        self._reactor.callLater(_REVIEW_INTERVAL_S, self._review_rollouts)
        wall = self._clock.wall()
        config = self._config()
        for name, move in config.moves_by_service.items():
            service = config.document.services.get(name)
            if service is not None and self._is_reviewed(move, wall):
                self._review(name, service, move, wall)
        for name in self._evidence.services():
            current = config.moves_by_service.get(name)
            if current is None or not self._is_reviewed(current, wall):
                self._evidence.stop(name)
                self._pool.drop(name)
                self._judgements_by_service.pop(name, None)
        self._scheduled_proposals = {
            key for key in self._scheduled_proposals if _is_current(key, config)
        }

    def _is_reviewed(self, move: config_state.MoveStatus, wall: float) -> bool:
        if move.state is config_state.MoveState.TAKEN_BACK:
            return False
        return move.start_ms <= wall <= move.deadline_ms + _REVIEW_AFTER_DEADLINE_MS

    def _review(
        self,
        name: ids.ServiceName,
        service: document.Service,
        move: config_state.MoveStatus,
        wall: clock.Milliseconds,
    ) -> None:
        comparison = evidence.Comparison(name, move.from_version, move.to_version, move.number)
        self._evidence.start(comparison, wall)
        local_summary = self._evidence.summary(name, wall)
        if local_summary is not None:
            self._pool.put_local(local_summary, wall)
        combined = self._pool.combined(comparison)
        safety = service.targets.safety
        judgement = judge.judge(combined, move, judge.THRESHOLDS[safety], wall)
        self._judgements_by_service[name] = judgement
        if judgement.state is judge.VerdictState.BAD:
            self._add_verdict(name, move, judgement.evidence)
        notice = self._verdicts.find(name, move.number)
        if notice is not None:
            self._schedule_proposal(name, move, fold.verdict_record(name, move, notice.evidence))
        elif wall >= move.deadline_ms and move.state is config_state.MoveState.PLANNED:
            decision, reason = judge.decide_at_deadline(combined, judgement, safety)
            finishes = decision is judge.Decision.FINISH
            result = config_state.MoveState.DONE if finishes else config_state.MoveState.TAKEN_BACK
            self._schedule_proposal(name, move, fold.move_result_record(name, move, result, reason))

    def _add_verdict(
        self,
        name: ids.ServiceName,
        move: config_state.MoveStatus,
        reason: str,
    ) -> None:
        notice = verdict_set.VerdictNotice(name, move.to_version, move.number, reason)
        if self._verdicts.add(notice):
            event_log.warn('version_bad', service=name, version=move.to_version, evidence=reason)
            self._propagate_verdicts([notice])

    def _schedule_proposal(
        self,
        name: ids.ServiceName,
        move: config_state.MoveStatus,
        record: dict[str, Any],
    ) -> None:
        key = (name, move.number, record['kind'])
        if key not in self._scheduled_proposals:
            self._scheduled_proposals.add(key)
            delay = self._proposal_delay_s(name)
            self._reactor.callLater(delay, self._append_proposal, name, move, record)

    def _proposal_delay_s(self, name: ids.ServiceName) -> float:
        """Return the delay of this host; ranking makes a single record sufficient in most cases."""
        local_host_id = self._members.local.host_id
        hosts = sorted(
            (member.host_id for member in self._members.usable(name)),
            key=lambda host_id: xxhash.xxh3_64_intdigest(f'{name}/{host_id}'.encode()),
        )
        ranked_hosts = hosts[:_RANKED_PROPOSERS]
        if local_host_id in ranked_hosts:
            return _RANK_DELAY_S * ranked_hosts.index(local_host_id)
        return _RANK_DELAY_S * _RANKED_PROPOSERS + self._rng.uniform(0, _MAX_LATE_PROPOSAL_DELAY_S)

    def _append_proposal(
        self,
        name: ids.ServiceName,
        move: config_state.MoveStatus,
        record: dict[str, Any],
    ) -> None:
        current = self._config().moves_by_service.get(name)
        if current is None or current.number != move.number:
            return
        is_verdict = record['kind'] == 'verdict'
        # A result applies to a rollout in progress; a verdict also rolls back a completed one.
        if current.state not in (
            _STATES_OPEN_FOR_VERDICT if is_verdict else _STATES_OPEN_FOR_RESULT
        ):
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
                self._append_proposal,
                name,
                move,
                record,
            ),
        )


def _is_current(key: tuple[ids.ServiceName, int, str], config: config_state.ConfigState) -> bool:
    current = config.moves_by_service.get(key[0])
    return current is not None and current.number == key[1]


_STATES_OPEN_FOR_RESULT = frozenset((config_state.MoveState.PLANNED,))
_STATES_OPEN_FOR_VERDICT = frozenset((config_state.MoveState.PLANNED, config_state.MoveState.DONE))
