"""Tests of the fold of claims and of the coordinator that decides them through a log."""

from __future__ import annotations

import types

import pytest
from twisted.internet import defer, task

from anvillug import clock, ids
from anvillug.process import claim_coordinator
from anvillug.request import claim

KIND = claim.VerdictKind
LIFETIME_MS = 1000


def _claim(sequence, key='drawbook/k', host='h'):
    call_id = ids.CallId(ids.HostId('e'), ids.Incarnation(1), sequence)
    return claim.Claim(ids.IdempotencyKey(key), call_id, ids.HostId(host), ids.Incarnation(7))


FIRST, SECOND = _claim(1), _claim(2, host='g')


def _kinds(decisions):
    return [decision.verdict.kind for decision in decisions]


class TestFold:
    """Guards against two calls that hold the same key."""

    def test_lowest_offset_wins(self):
        fold = claim.ClaimFold(LIFETIME_MS)
        decisions = fold.apply(0, 0, [claim.claim_entry(FIRST), claim.claim_entry(SECOND)])
        assert _kinds(decisions) == [KIND.WON, KIND.LOST]
        assert decisions[1].verdict.winner == FIRST

    def test_claim_appended_twice_wins_once(self):
        fold = claim.ClaimFold(LIFETIME_MS)
        entry = claim.claim_entry(FIRST)
        assert _kinds(fold.apply(0, 0, [entry])) == [KIND.WON]
        assert _kinds(fold.apply(1, 5, [entry])) == [KIND.WON]
        assert not fold.apply(1, 5, [entry])

    def test_key_is_free_after_its_lifetime(self):
        fold = claim.ClaimFold(LIFETIME_MS)
        fold.apply(0, 0, [claim.claim_entry(FIRST)])
        assert _kinds(fold.apply(1, 999, [claim.claim_entry(SECOND)])) == [KIND.LOST]
        assert _kinds(fold.apply(2, 1000, [claim.claim_entry(SECOND)])) == [KIND.WON]
        assert len(fold) == 1

    def test_release_frees_the_key_for_others_only(self):
        fold = claim.ClaimFold(LIFETIME_MS)
        fold.apply(0, 0, [claim.claim_entry(FIRST)])
        fold.apply(1, 0, [claim.release_entry(FIRST.key, SECOND.call_id)])
        assert _kinds(fold.apply(2, 0, [claim.claim_entry(_claim(3))])) == [KIND.LOST]
        fold.apply(3, 0, [claim.release_entry(FIRST.key, FIRST.call_id)])
        assert _kinds(fold.apply(4, 0, [claim.claim_entry(FIRST)])) == [KIND.EXPIRED]
        assert _kinds(fold.apply(5, 0, [claim.claim_entry(_claim(3))])) == [KIND.WON]

    @pytest.mark.parametrize('entries', [None, 3, [None], [{'claim': 'k'}], [{'call': 'x'}], ['a']])
    def test_malformed_entries_are_ignored(self, entries):
        fold = claim.ClaimFold(LIFETIME_MS)
        assert not fold.apply(0, 0, entries)
        assert fold.next_offset == 1

    def test_verdict_requires_the_whole_history(self):
        fold = claim.ClaimFold(LIFETIME_MS)
        fold.apply(0, 0, [claim.claim_entry(FIRST)])
        fold.reached_end(2)
        assert fold.verdict(FIRST, 0).kind is KIND.TOO_EARLY
        fold.reached_end(1)
        assert fold.verdict(FIRST, 999).kind is KIND.WON
        assert fold.verdict(FIRST, 1000).kind is KIND.EXPIRED
        assert fold.verdict(SECOND, 0) == claim.Verdict(KIND.LOST, FIRST)


class FakeLog:
    """Log in memory with faults that the tests switch on and off."""

    def __init__(self, time):
        self.time = time
        self.records = []
        self.appends = 0
        self.is_unavailable = False
        self.drops_responses = False
        self.reads = 0

    def append(self, stream, data):
        self.appends += 1
        if not self.is_unavailable or self.drops_responses:
            self.records.append(
                types.SimpleNamespace(
                    offset=len(self.records), time_ms=self.time.wall(), data=data, stream=stream
                )
            )
        if self.is_unavailable or self.drops_responses:
            return defer.fail(ConnectionError('append'))
        return defer.succeed(len(self.records) - 1)

    def read(self, stream, offset, limit, wait_ms):
        self.reads += 1
        if self.is_unavailable:
            return defer.fail(ConnectionError('read'))
        read_records = tuple(self.records[offset : offset + limit])
        return defer.succeed(
            types.SimpleNamespace(first=0, next=len(self.records), records=read_records)
        )


class CoordinatorSetup:
    """Nodes whose coordinators share a fake log with one stream."""

    def __init__(self):
        self.reactor = task.Clock()
        self.time = clock.ManualClock()
        self.log = FakeLog(self.time)

    def coordinator(self, late_win_watch_ms=30_000):
        settings = claim_coordinator.CoordinatorSettings(
            lifetime_ms=LIFETIME_MS,
            partitions=1,
            timeout_ms=200,
            late_win_watch_ms=late_win_watch_ms,
        )
        return claim_coordinator.ClaimCoordinator(self.log, self.reactor, self.time, settings)

    def run_until_settled(self):
        self.run(100)

    def run(self, duration):
        for _ in range(duration // 5):
            self.time.advance(5)
            self.reactor.advance(0.005)


class TestCoordinator:
    """Guards against a call that runs without its key, or waits for the key forever."""

    def test_one_of_two_nodes_wins_the_key(self):
        setup = CoordinatorSetup()
        results = [setup.coordinator().claim(claimed) for claimed in (FIRST, SECOND)]
        setup.run(100)
        assert [result.result.kind for result in results] == [KIND.WON, KIND.LOST]
        assert results[1].result.winner == FIRST

    def test_claims_are_batched(self):
        setup = CoordinatorSetup()
        coordinator = setup.coordinator()
        results = [coordinator.claim(_claim(seq, key=f'k{seq}')) for seq in range(50)]
        setup.run(100)
        assert all(result.result.kind is KIND.WON for result in results)
        assert setup.log.appends == 1

    def test_lost_append_response_is_resolved_by_reading(self):
        setup = CoordinatorSetup()
        setup.log.drops_responses = True
        deferred = setup.coordinator().claim(FIRST)
        setup.run(100)
        assert deferred.result.kind is KIND.WON

    def test_unavailable_log_fails_the_claim(self):
        setup = CoordinatorSetup()
        setup.log.is_unavailable = True
        deferred = setup.coordinator().claim(FIRST)
        setup.run(195)
        assert not deferred.called
        setup.run(10)
        deferred.addErrback(lambda failure: failure.trap(claim_coordinator.ClaimUnavailableError))
        assert deferred.result is claim_coordinator.ClaimUnavailableError

    def test_late_win_is_released(self):
        setup = CoordinatorSetup()
        setup.log.is_unavailable = True
        setup.log.drops_responses = True
        deferred = setup.coordinator().claim(FIRST)
        deferred.addErrback(lambda failure: None)
        setup.run(300)
        setup.log.is_unavailable = False
        setup.log.drops_responses = False
        setup.run(300)
        second = setup.coordinator().claim(SECOND)
        setup.run(100)
        assert second.result.kind is KIND.WON

    def test_claim_read_after_its_lifetime_is_expired(self):
        setup = CoordinatorSetup()
        deferred = setup.coordinator().claim(FIRST)
        setup.time.advance(LIFETIME_MS)
        setup.log.time = clock.ManualClock()
        setup.run(100)
        assert deferred.result.kind is KIND.EXPIRED


class TestRelease:
    """Guards against a key that is held by a call that has not run."""

    def test_released_key_is_free_at_the_same_coordinator(self):
        # A coordinator that does not read its own release lets each resend lose to a call
        # that has not run.
        setup = CoordinatorSetup()
        coordinator = setup.coordinator()
        coordinator.claim(FIRST)
        setup.run_until_settled()
        coordinator.release(FIRST)
        setup.run_until_settled()
        second = coordinator.claim(SECOND)
        setup.run_until_settled()
        assert second.result.kind is KIND.WON

    def test_key_released_by_another_node_is_free_at_the_next_resend(self):
        setup = CoordinatorSetup()
        holder, other = setup.coordinator(), setup.coordinator()
        holder.claim(FIRST)
        lost = other.claim(SECOND)
        setup.run_until_settled()
        assert lost.result.kind is KIND.LOST
        holder.release(FIRST)
        setup.run_until_settled()
        other.claim(_claim(3))
        setup.run_until_settled()
        won = other.claim(_claim(4))
        setup.run_until_settled()
        assert won.result.kind is KIND.WON

    def test_holder_is_returned_while_the_log_is_unavailable(self):
        setup = CoordinatorSetup()
        coordinator = setup.coordinator()
        coordinator.claim(FIRST)
        setup.run_until_settled()
        setup.log.is_unavailable = True
        assert coordinator.claim(SECOND).result.winner == FIRST

    def test_releases_of_an_outage_are_bounded(self):
        # Each call that ends before its claim is decided appends a release.
        setup = CoordinatorSetup()
        setup.log.is_unavailable = True
        coordinator = setup.coordinator()
        for sequence in range(3 * claim_coordinator.MAX_QUEUED_ENTRIES):
            coordinator.release(_claim(sequence))
        setup.run_until_settled()
        setup.log.is_unavailable = False
        setup.run(30 * claim_coordinator.MAX_QUEUED_ENTRIES // claim_coordinator.MAX_BATCH)
        sizes = [len(record.data) for record in setup.log.records]
        assert max(sizes) == claim_coordinator.MAX_BATCH
        assert sum(sizes) == claim_coordinator.MAX_QUEUED_ENTRIES

    def test_late_win_is_released_after_a_long_outage(self):
        # A claim that is no longer read when the log is available again would leave its key
        # held by a call that was rejected as not run.
        setup = CoordinatorSetup()
        setup.log.is_unavailable = True
        setup.log.drops_responses = True
        coordinator = setup.coordinator(late_win_watch_ms=50)
        coordinator.claim(FIRST).addErrback(lambda failure: None)
        setup.run(300)
        setup.log.is_unavailable = False
        setup.log.drops_responses = False
        setup.run(300)
        second = setup.coordinator().claim(SECOND)
        setup.run_until_settled()
        assert second.result.kind is KIND.WON

    def test_read_rate_during_an_outage_is_bounded(self):
        setup = CoordinatorSetup()
        setup.log.is_unavailable = True
        coordinator = setup.coordinator()
        coordinator.claim(FIRST).addErrback(lambda failure: None)
        setup.run(10_000)
        assert setup.log.reads <= 10_000 / claim_coordinator.MAX_RETRY_MS + 5
