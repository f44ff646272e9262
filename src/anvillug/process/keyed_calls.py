"""Calls with an idempotency key on the entry side: claims, kept answers, replays."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Any

from twisted.internet import interfaces

from anvillug import clock, event_log, ids
from anvillug.connection import http_exchange, http_head, http_pool
from anvillug.process import claim_coordinator
from anvillug.request import (
    call,
    call_table,
    claim,
    entry_call,
    host_request,
    replay,
    resolution,
)

_BOUNDS = call_table.Bounds(
    entries=5000,
    answer_bytes=4_000_000,
    one_answer_bytes=64 * 1024,
    keep_ms=600_000,
)
_EXPIRY_INTERVAL_S = 5.0
_UNAVAILABLE = 'the log is out of reach, so the idempotency key could not be claimed'

PoolOf = Callable[[ids.HostId], http_pool.Pool | None]


@dataclasses.dataclass(slots=True)
class KeyedCounters:
    """Calls with a key since the start of the process."""

    won: int = 0
    """Claims won; the calls were sent."""
    replayed: int = 0
    """Resends answered with the kept answer of the first call."""
    refused: int = 0
    """Calls refused: no claim, or nothing known of the first call."""


class KeyedCalls:
    """Lets a call with a key run only after its key has won a claim.

    Args:
        reactor: Timers.
        time: Clock.
        own_host_id: This host.
        incarnation: Incarnation of this process.
        coordinator: Settles claims through the log.
        pool_of: Returns the connections to a host.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        time: clock.Clock,
        own_host_id: ids.HostId,
        incarnation: ids.Incarnation,
        coordinator: claim_coordinator.ClaimCoordinator,
        pool_of: PoolOf,
    ) -> None:
        self.counters = KeyedCounters()
        self._reactor = reactor
        self._clock = time
        self._own_host_id = own_host_id
        self._incarnation = incarnation
        self._coordinator = coordinator
        self._pool_of = pool_of
        self._table = call_table.CallTable(incarnation, _BOUNDS)
        self._claims_by_call_id: dict[ids.CallId, claim.Claim] = {}
        self._expire_regularly()

    def claim(self, started: entry_call.EntryCall) -> None:
        """Claim the key of a call, then let it go on, replay an answer, or refuse it."""
        properties = started.properties
        key = started.request.key
        if key is None:
            started.claim_won()
            return
        wanted = claim.Claim(
            claim.scoped_key(properties.service, key),
            properties.call_id,
            self._own_host_id,
            self._incarnation,
        )
        admitted = self._table.admit(properties.call_id, self._incarnation, self._clock.now())
        if admitted is not call_table.AdmitResult.ADMITTED:
            started.refuse('too many calls with idempotency keys')
            return
        self._claims_by_call_id[properties.call_id] = wanted
        settled = self._coordinator.claim(wanted)
        settled.addCallbacks(
            lambda verdict: self._settled(started, verdict),
            lambda _failure: self._unavailable(started),
        )
        settled.addErrback(_report)

    def call_over(
        self,
        call_id: ids.CallId,
        outcome: call.Outcome,
        kept: call_table.KeptAnswer | None,
    ) -> None:
        """Record the result of a call; frees the key of one that has not been run."""
        held = self._claims_by_call_id.pop(call_id, None)
        if held is None:
            return
        now = self._clock.now()
        if outcome is call.Outcome.FINISHED:
            self._table.finish(call_id, kept, now)
        elif outcome is call.Outcome.NOT_RUN:
            self._table.refuse(call_id, now)
            self._coordinator.release(held)
        else:
            self._table.fail(call_id, now)

    def resolve(self, exchange: http_exchange.ServerExchange) -> None:
        """Answer another entry side that asks for the answer of a call with a key."""
        call_id, incarnation = host_request.parse_resolve(exchange.head)
        resolver = resolution.Resolver(_Headers(), self._table, exchange, call_id)
        resolver.start(self._table.resolve(call_id, incarnation, self._clock.now()))

    def dump(self) -> dict[str, object]:
        """Return what operators see of calls with keys."""
        return {
            **dataclasses.asdict(self.counters),
            'in_progress': len(self._claims_by_call_id),
            'kept_answers': len(self._table),
        }

    # Private

    def _settled(self, started: entry_call.EntryCall, verdict: claim.Verdict) -> None:
        if verdict.kind is claim.VerdictKind.WON:
            self.counters.won += 1
            started.claim_won()
        elif verdict.winner is None:
            self.counters.refused += 1
            started.refuse(f'idempotency key: claim {verdict.kind.value}')
        else:
            self._replay(started, verdict.winner)

    def _unavailable(self, started: entry_call.EntryCall) -> None:
        # The coordinator itself releases a claim that turns out to be won later.
        self._drop(started)
        self.counters.refused += 1
        started.refuse(_UNAVAILABLE)

    def _replay(self, started: entry_call.EntryCall, winner: claim.Claim) -> None:
        self._drop(started)
        exchange = started.hand_over()
        if exchange is None:
            return
        self.counters.replayed += 1
        asked = replay.Replay(self._reactor, self._clock, exchange, winner)
        asked.start(self._pool_of(winner.host_id))

    def _drop(self, started: entry_call.EntryCall) -> None:
        """Forget a call whose claim was not won: it must not release the key."""
        call_id = started.properties.call_id
        if self._claims_by_call_id.pop(call_id, None) is not None:
            self._table.refuse(call_id, self._clock.now())

    def _expire_regularly(self) -> None:
        self._table.expire(self._clock.now())
        self._reactor.callLater(_EXPIRY_INTERVAL_S, self._expire_regularly)


class _Headers:
    """Headers of answers between entry sides."""

    def answer_headers(self, call_id: ids.CallId, outcome: call.Outcome) -> list[http_head.Header]:
        """Return id and outcome; see `resolution.AnswerHeaders`."""
        return [
            (b'Anvillug-Call', str(call_id).encode()),
            (b'Anvillug-Outcome', outcome.value.encode()),
        ]


def _report(failure: Any) -> None:
    event_log.warn('claim_failed', error=failure.getErrorMessage())
