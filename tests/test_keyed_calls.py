"""Tests of calls with an idempotency key on the entry side, with claims in memory."""

from __future__ import annotations

import types

import pytest
from twisted.internet import defer, task

from anvillug import clock, ids
from anvillug.process import claim_coordinator, keyed_calls
from anvillug.request import call, call_table, claim

OWN = ids.HostId('host-1')
INCARNATION = ids.Incarnation(7)
CALL_ID = ids.CallId(OWN, INCARNATION, 1)
WON = claim.Verdict(claim.VerdictKind.WON)


class FakeCoordinator:
    """Coordinator whose verdicts the test gives."""

    def __init__(self):
        self.pending = []
        self.released = []

    def claim(self, wanted):
        """Note a claim."""
        result = defer.Deferred()
        self.pending.append((wanted, result))
        return result

    def release(self, held):
        """Note a release."""
        self.released.append(held)


class FakeExchange:
    """Exchange with a caller that notes the answer."""

    def __init__(self):
        self.handler = None
        self.head_sent = False
        self.answer = None

    def respond(self, status, body=b'', headers=()):
        """Note the answer."""
        self.answer = (status, dict(headers)[b'Anvillug-Outcome'])


class FakeCall:
    """Call that notes what becomes of it."""

    def __init__(self, keyed, call_id=CALL_ID, key='k'):
        self.request = types.SimpleNamespace(key=key)
        self.properties = types.SimpleNamespace(
            service=ids.ServiceName('drawbook'), call_id=call_id
        )
        self.exchange = FakeExchange()
        self.events = []
        self._keyed = keyed

    def claim_won(self):
        """Note that the call may be sent."""
        self.events.append('won')

    def refuse(self, reason):
        """Note the refusal, and end as a real call does."""
        self.events.append('refused')
        self._keyed.call_over(self.properties.call_id, call.Outcome.NOT_RUN, None)

    def hand_over(self):
        """Give up the exchange, and end as a real call does."""
        self.events.append('handed over')
        self._keyed.call_over(self.properties.call_id, call.Outcome.NOT_RUN, None)
        return self.exchange


@pytest.fixture
def coordinator():
    """Return a coordinator in memory."""
    return FakeCoordinator()


@pytest.fixture
def keyed(coordinator):
    """Return the calls with keys of a node that knows no other host."""
    return keyed_calls.KeyedCalls(
        task.Clock(), clock.ManualClock(), OWN, INCARNATION, coordinator, lambda host_id: None
    )


class TestClaims:
    """Guards against a call that runs without its claim, or a key lost to a call that did not."""

    def test_call_waits_for_the_claim(self, keyed, coordinator):
        started = FakeCall(keyed)
        keyed.claim(started)
        assert started.events == []
        coordinator.pending[0][1].callback(WON)
        assert started.events == ['won']

    def test_call_that_was_not_run_frees_its_key(self, keyed, coordinator):
        keyed.claim(FakeCall(keyed))
        coordinator.pending[0][1].callback(WON)
        keyed.call_over(CALL_ID, call.Outcome.NOT_RUN, None)
        assert coordinator.released == [coordinator.pending[0][0]]

    @pytest.mark.parametrize('outcome', [call.Outcome.FINISHED, call.Outcome.UNKNOWN])
    def test_call_that_may_have_run_keeps_its_key(self, keyed, coordinator, outcome):
        keyed.claim(FakeCall(keyed))
        coordinator.pending[0][1].callback(WON)
        keyed.call_over(CALL_ID, outcome, call_table.KeptAnswer(200, (), b''))
        assert coordinator.released == []

    def test_claim_that_is_not_settled_refuses_and_leaves_the_key(self, keyed, coordinator):
        started = FakeCall(keyed)
        keyed.claim(started)
        unavailable = claim_coordinator.ClaimUnavailableError('log out')
        coordinator.pending[0][1].errback(unavailable)
        assert started.events == ['refused']
        # The coordinator releases a claim that is won later; a second release could free
        # the key of another call.
        assert coordinator.released == []

    def test_lost_claim_never_frees_the_key_of_the_winner(self, keyed, coordinator):
        started = FakeCall(keyed)
        keyed.claim(started)
        winner = claim.Claim(
            coordinator.pending[0][0].key,
            ids.CallId(ids.HostId('host-9'), INCARNATION, 4),
            ids.HostId('host-9'),
            INCARNATION,
        )
        coordinator.pending[0][1].callback(claim.Verdict(claim.VerdictKind.LOST, winner))
        assert started.events == ['handed over']
        assert coordinator.released == []
        # The host of the winner is unknown here, so nothing is known of the first call.
        assert started.exchange.answer == (409, b'unknown')
