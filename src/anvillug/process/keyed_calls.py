"""Calls with an idempotency key on the entry side: claims, retained responses and replays."""

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
    response_bytes=4_000_000,
    one_answer_bytes=64 * 1024,
    retention_ms=600_000,
)
_EXPIRY_INTERVAL_S = 5.0
_UNAVAILABLE = 'the log is out of reach, so the idempotency key could not be claimed'

FindPool = Callable[[ids.HostId], http_pool.Pool | None]


@dataclasses.dataclass(slots=True)
class KeyedCounters:
    """Counters of calls with a key since the start of the process."""

    won: int = 0
    """Claims won; the calls were sent."""
    replayed: int = 0
    """Resends for which the response of the first call was requested."""
    refused: int = 0
    """Calls rejected because their claim was not settled in time or has expired."""


class KeyedCalls:
    """Lets a call with an idempotency key run only after it has claimed the key.

    Args:
        reactor: Timers.
        time: Clock.
        local_host_id: This host.
        incarnation: Incarnation of this process.
        coordinator: Settles claims through the log.
        find_pool: Returns the connection pool of a host, if any.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        time: clock.Clock,
        local_host_id: ids.HostId,
        incarnation: ids.Incarnation,
        coordinator: claim_coordinator.ClaimCoordinator,
        find_pool: FindPool,
    ) -> None:
        self.counters = KeyedCounters()
        self._reactor = reactor
        self._clock = time
        self._local_host_id = local_host_id
        self._incarnation = incarnation
        self._coordinator = coordinator
        self._find_pool = find_pool
        self._table = call_table.CallTable(incarnation, _BOUNDS)
        self._claims_by_call_id: dict[ids.CallId, claim.Claim] = {}
        self._expire_periodically()

    def claim(self, pending_call: entry_call.EntryCall) -> None:
        """Claim the key of a call, then send the call, replay the first response or reject it."""
        properties = pending_call.properties
        key = pending_call.request.key
        if key is None:
            pending_call.claim_won()
            return
        new_claim = claim.Claim(
            claim.scoped_key(properties.service, key),
            properties.call_id,
            self._local_host_id,
            self._incarnation,
        )
        admitted = self._table.admit(properties.call_id, self._incarnation, self._clock.now())
        if admitted is not call_table.AdmitResult.ADMITTED:
            pending_call.reject('too many calls with idempotency keys')
            return
        self._claims_by_call_id[properties.call_id] = new_claim
        verdict_received = self._coordinator.claim(new_claim)
        verdict_received.addCallbacks(
            lambda verdict: self._claim_settled(pending_call, verdict),
            lambda _failure: self._claim_unavailable(pending_call),
        )
        verdict_received.addErrback(_log_failure)

    def call_ended(
        self,
        call_id: ids.CallId,
        outcome: call.Outcome,
        stored_response: call_table.StoredResponse | None,
    ) -> None:
        """Record the outcome of a call, and release its key if the call has not run."""
        held = self._claims_by_call_id.pop(call_id, None)
        if held is None:
            return
        now = self._clock.now()
        if outcome is call.Outcome.FINISHED:
            self._table.finish(call_id, stored_response, now)
        elif outcome is call.Outcome.NOT_RUN:
            self._table.reject(call_id, now)
            self._coordinator.release(held)
        else:
            self._table.fail(call_id, now)

    def resolve(self, exchange: http_exchange.ServerExchange) -> None:
        """Respond to an entry side that requests the response of a call with a key."""
        call_id, incarnation = host_request.parse_resolve(exchange.head)
        resolver = resolution.Resolver(_Headers(), self._table, exchange, call_id)
        resolver.start(self._table.resolve(call_id, incarnation, self._clock.now()))

    def dump(self) -> dict[str, object]:
        """Return the state of calls with keys for operators."""
        return {
            **dataclasses.asdict(self.counters),
            'in_progress': len(self._claims_by_call_id),
            'kept_answers': len(self._table),
        }

    # Private

    def _claim_settled(self, pending_call: entry_call.EntryCall, verdict: claim.Verdict) -> None:
        if verdict.kind is claim.VerdictKind.WON:
            self.counters.won += 1
            pending_call.claim_won()
        elif verdict.winner is None:
            self.counters.refused += 1
            pending_call.reject(f'idempotency key: claim {verdict.kind.value}')
        else:
            self._replay(pending_call, verdict.winner)

    def _claim_unavailable(self, pending_call: entry_call.EntryCall) -> None:
        # The coordinator releases the claim if it wins later.
        self._discard_claim(pending_call)
        self.counters.refused += 1
        pending_call.reject(_UNAVAILABLE)

    def _replay(self, pending_call: entry_call.EntryCall, winner: claim.Claim) -> None:
        self._discard_claim(pending_call)
        exchange = pending_call.transfer_exchange()
        if exchange is None:
            return
        self.counters.replayed += 1
        replayed_call = replay.Replay(self._reactor, self._clock, exchange, winner)
        replayed_call.start(self._find_pool(winner.host_id))

    def _discard_claim(self, pending_call: entry_call.EntryCall) -> None:
        """Discard the claim of a call that has not won, so that the call cannot release the key."""
        call_id = pending_call.properties.call_id
        if self._claims_by_call_id.pop(call_id, None) is not None:
            self._table.reject(call_id, self._clock.now())

    def _expire_periodically(self) -> None:
        # First, so that a failure does not end the task.
        self._reactor.callLater(_EXPIRY_INTERVAL_S, self._expire_periodically)
        self._table.expire(self._clock.now())


class _Headers:
    """Headers of responses between entry sides."""

    def response_headers(
        self, call_id: ids.CallId, outcome: call.Outcome
    ) -> list[http_head.Header]:
        """Return the call id and outcome; see `resolution.ResponseHeaders`."""
        return [
            (b'Anvillug-Call', str(call_id).encode()),
            (b'Anvillug-Outcome', outcome.value.encode()),
        ]


def _log_failure(failure: Any) -> None:
    event_log.warn('claim_failed', error=failure.getErrorMessage())
