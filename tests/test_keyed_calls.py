"""Tests of calls with an idempotency key on the entry side, with in-memory claims."""

from __future__ import annotations

import types

import pytest
from twisted.internet import defer, task

from anvillug import clock, ids
from anvillug.process import claim_coordinator, keyed_calls
from anvillug.request import call, call_table, claim

HOST = ids.HostId('host-1')
INCARNATION = ids.Incarnation(7)
CALL_ID = ids.CallId(HOST, INCARNATION, 1)
WON = claim.Verdict(claim.VerdictKind.WON)


class FakeCoordinator:
    """Coordinator whose verdicts the test supplies."""

    def __init__(self):
        self.pending = []
        self.released = []

    def claim(self, new_claim):
        """Record a claim."""
        result = defer.Deferred()
        self.pending.append((new_claim, result))
        return result

    def release(self, held):
        """Record a release."""
        self.released.append(held)


class FakeExchange:
    """Exchange with a caller; records the response."""

    def __init__(self):
        self.handler = None
        self.head_sent = False
        self.response = None

    def respond(self, status, body=b'', headers=()):
        """Record the response."""
        self.response = (status, dict(headers)[b'Anvillug-Outcome'])


class FakeCall:
    """Call that records how it is handled."""

    def __init__(self, keyed, call_id=CALL_ID, key='k'):
        self.request = types.SimpleNamespace(key=key)
        self.properties = types.SimpleNamespace(
            service=ids.ServiceName('drawbook'), call_id=call_id
        )
        self.exchange = FakeExchange()
        self.events = []
        self._keyed = keyed

    def claim_won(self):
        """Record that the call may be sent."""
        self.events.append('won')

    def reject(self, reason):
        """Record the rejection, and end as a real call does."""
        self.events.append('refused')
        self._keyed.call_ended(self.properties.call_id, call.Outcome.NOT_RUN, None)

    def transfer_exchange(self):
        """Record the transfer of the exchange, and end as a real call does."""
        self.events.append('handed over')
        self._keyed.call_ended(self.properties.call_id, call.Outcome.NOT_RUN, None)
        return self.exchange


@pytest.fixture
def coordinator():
    """Return an in-memory coordinator."""
    return FakeCoordinator()


@pytest.fixture
def keyed(coordinator):
    """Return the calls with keys of a node that has no connection pools to other hosts."""
    return keyed_calls.KeyedCalls(
        task.Clock(), clock.ManualClock(), HOST, INCARNATION, coordinator, lambda host_id: None
    )


class TestClaims:
    """Guards against a call that runs without a claim, and a key that stays held needlessly."""

    def test_call_is_sent_after_the_claim_is_won(self, keyed, coordinator):
        fake_call = FakeCall(keyed)
        keyed.claim(fake_call)
        assert fake_call.events == []
        coordinator.pending[0][1].callback(WON)
        assert fake_call.events == ['won']

    def test_call_that_did_not_run_releases_its_key(self, keyed, coordinator):
        keyed.claim(FakeCall(keyed))
        coordinator.pending[0][1].callback(WON)
        keyed.call_ended(CALL_ID, call.Outcome.NOT_RUN, None)
        assert coordinator.released == [coordinator.pending[0][0]]

    @pytest.mark.parametrize('outcome', [call.Outcome.FINISHED, call.Outcome.UNKNOWN])
    def test_call_that_may_have_run_does_not_release_its_key(self, keyed, coordinator, outcome):
        keyed.claim(FakeCall(keyed))
        coordinator.pending[0][1].callback(WON)
        keyed.call_ended(CALL_ID, outcome, call_table.StoredResponse(200, (), b''))
        assert coordinator.released == []

    def test_unsettled_claim_rejects_the_call_without_a_release(self, keyed, coordinator):
        fake_call = FakeCall(keyed)
        keyed.claim(fake_call)
        unavailable = claim_coordinator.ClaimUnavailableError('log out')
        coordinator.pending[0][1].errback(unavailable)
        assert fake_call.events == ['refused']
        # The coordinator releases a claim that wins later; a second release could release the key
        # of another call.
        assert coordinator.released == []

    def test_lost_claim_does_not_release_the_key_of_the_winner(self, keyed, coordinator):
        fake_call = FakeCall(keyed)
        keyed.claim(fake_call)
        winner = claim.Claim(
            coordinator.pending[0][0].key,
            ids.CallId(ids.HostId('host-9'), INCARNATION, 4),
            ids.HostId('host-9'),
            INCARNATION,
        )
        coordinator.pending[0][1].callback(claim.Verdict(claim.VerdictKind.LOST, winner))
        assert fake_call.events == ['handed over']
        assert coordinator.released == []
        # There is no pool for the host of the winner, so the outcome of the first call is unknown.
        assert fake_call.exchange.response == (409, b'unknown')
