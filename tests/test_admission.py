"""Tests of admission at the host side."""

from __future__ import annotations

from hypothesis import stateful, strategies

from anvillug import ids
from anvillug.request import admission, call, limit

OK = limit.CallResult.OK
ADMIT = admission.DecisionKind.ADMIT
QUEUE = admission.DecisionKind.QUEUE
REJECT = admission.DecisionKind.REJECT
Reason = admission.RejectionReason
NORMAL = call.Criticality.NORMAL
CRITICAL = call.Criticality.CRITICAL
SHEDDABLE = call.Criticality.SHEDDABLE
RANK = {CRITICAL: 0, NORMAL: 1, SHEDDABLE: 2}


def make_properties(sequence, criticality=NORMAL, deadline=1e9):
    """Return the properties of a call."""
    call_id = ids.CallId(ids.HostId('entry'), ids.Incarnation(1), sequence)
    return call.CallProperties(call_id, ids.ServiceName('s'), criticality, True, deadline)


def make_admission(slots=1):
    """Return an `Admission` whose concurrency limit equals its slots."""
    concurrency = limit.ConcurrencyLimit(slots)
    concurrency.limit = slots
    return admission.Admission(concurrency, wait_bound_ms=20)


class TestQueue:
    """Guards against shedding in the wrong order, and against unbounded waits."""

    def setup_method(self):
        self.controller = make_admission(slots=2)
        self.running = [make_properties(sequence) for sequence in (1, 2)]
        for properties in self.running:
            assert self.controller.offer(properties, 0).kind is ADMIT

    def test_starts_by_criticality_then_arrival(self):
        self.controller.offer(make_properties(3, SHEDDABLE), 1)
        critical = make_properties(4, CRITICAL)
        self.controller.offer(critical, 2)
        assert self.controller.finished(self.running[0].call_id, 5, OK, 3) == [critical.call_id]

    def test_full_queue_evicts_the_newest_of_the_lowest_criticality(self):
        queued = [make_properties(3, SHEDDABLE), make_properties(4, SHEDDABLE)]
        for properties in queued:
            assert self.controller.offer(properties, 1).kind is QUEUE
        decision = self.controller.offer(make_properties(5, CRITICAL), 2)
        assert decision.kind is QUEUE
        assert decision.evicted == queued[1].call_id

    def test_full_queue_rejects_equal_criticality(self):
        for sequence in (3, 4):
            self.controller.offer(make_properties(sequence), 1)
        decision = self.controller.offer(make_properties(5), 2)
        assert decision == admission.Decision(REJECT, Reason.QUEUE_FULL)
        assert self.controller.offer(make_properties(6, SHEDDABLE), 2).kind is REJECT

    def test_expired_call_does_not_start(self):
        late = make_properties(3, CRITICAL, deadline=5)
        self.controller.offer(late, 1)
        waiting = make_properties(4)
        self.controller.offer(waiting, 1)
        assert self.controller.next_expiry() == 5
        assert self.controller.finished(self.running[0].call_id, 5, OK, 5) == [waiting.call_id]
        assert self.controller.expire(5) == [late.call_id]
        assert self.controller.expire(6) == []

    def test_wait_is_bounded(self):
        waiting = make_properties(3)
        self.controller.offer(waiting, 1)
        assert self.controller.expire(20.9) == []
        assert self.controller.expire(21) == [waiting.call_id]

    def test_passed_deadline_is_rejected(self):
        decision = self.controller.offer(make_properties(3, deadline=4), 4)
        assert decision.reason is Reason.DEADLINE_PASSED


class TestStates:
    """Guards against new calls on a host that is shutting down or out of service."""

    def test_new_calls_are_rejected_and_queued_ones_start(self):
        for attribute, reason, state in (
            ('leaving', Reason.LEAVING, call.HostState.LEAVING),
            ('zone_out', Reason.ZONE_OUT, call.HostState.ZONE_OUT),
        ):
            controller = make_admission()
            first = make_properties(1)
            queued = make_properties(2)
            controller.offer(first, 0)
            controller.offer(queued, 0)
            setattr(controller, attribute, True)
            assert controller.offer(make_properties(3), 1).reason is reason
            assert controller.sample(1).state is state
            assert controller.finished(first.call_id, 1, OK, 1) == [queued.call_id]

    def test_nothing_starts_without_a_backend_server(self):
        controller = make_admission()
        first = make_properties(1)
        queued = make_properties(2)
        controller.offer(first, 0)
        controller.offer(queued, 0)
        controller.has_backend = False
        assert controller.finished(first.call_id, 1, limit.CallResult.FAILED, 1) == []
        assert controller.offer(make_properties(3), 1).reason is Reason.NO_BACKEND
        controller.has_backend = True
        assert controller.start_queued(2) == [queued.call_id]

    def test_cancelled_slow_calls_count_as_slow(self):
        controller = make_admission(slots=10)
        for sequence in range(40):
            properties = make_properties(sequence)
            controller.offer(properties, sequence)
            controller.finished(properties.call_id, 10, OK, sequence)
        latency = controller.sample(40).latency_ms
        properties = make_properties(50)
        controller.offer(properties, 50)
        controller.cancel(properties.call_id, 550, waited_ms=500)
        assert controller.sample(550).latency_ms > latency * 5


class AdmissionMachine(stateful.RuleBasedStateMachine):
    """Guards against leaked concurrency: each call is either running or queued, or has ended."""

    def __init__(self):
        super().__init__()
        self.concurrency = limit.ConcurrencyLimit(slots=4)
        self.controller = admission.Admission(self.concurrency, wait_bound_ms=20)
        self.now = 0
        self.sequence = 0
        self.running = {}
        self.queued = {}

    @stateful.rule(
        criticality=strategies.sampled_from(call.Criticality),
        time_left=strategies.sampled_from([-1, 0, 1, 5, 1000]),
    )
    def offer(self, criticality, time_left):
        self.sequence += 1
        properties = make_properties(self.sequence, criticality, self.now + time_left)
        had_slot = len(self.running) < self.concurrency.limit
        decision = self.controller.offer(properties, self.now)
        if decision.evicted is not None:
            victim = self.queued.pop(decision.evicted)
            expired = min(victim.deadline, self.arrivals[decision.evicted] + 20) <= self.now
            assert expired or RANK[victim.criticality] > RANK[criticality]
        if decision.kind is ADMIT:
            assert had_slot
            self.running[properties.call_id] = properties
        elif decision.kind is QUEUE:
            assert not had_slot
            self.queued[properties.call_id] = properties
            self.arrivals[properties.call_id] = self.now
        else:
            assert decision.evicted is None

    @stateful.initialize()
    def prepare(self):
        self.arrivals = {}

    @stateful.rule(
        pick=strategies.integers(0, 100),
        latency=strategies.sampled_from([1, 5, 50, 500]),
        result=strategies.sampled_from(limit.CallResult),
    )
    def finish(self, pick, latency, result):
        call_id = self._pick(self.running, pick)
        if call_id is not None:
            self.running.pop(call_id)
            self._record_started(self.controller.finished(call_id, latency, result, self.now))
            assert self.controller.finished(call_id, latency, result, self.now) == []

    @stateful.rule(pick=strategies.integers(0, 100), waited=strategies.sampled_from([None, 900]))
    def cancel(self, pick, waited):
        call_id = self._pick({**self.running, **self.queued}, pick)
        if call_id is not None:
            self.running.pop(call_id, None)
            self.queued.pop(call_id, None)
            self._record_started(self.controller.cancel(call_id, self.now, waited))
            assert self.controller.cancel(call_id, self.now) == []

    @stateful.rule(duration=strategies.sampled_from([0.5, 5, 30]))
    def expire(self, duration):
        self.now += duration
        for call_id in self.controller.expire(self.now):
            self.queued.pop(call_id)

    @stateful.rule()
    def restart(self):
        self.concurrency.restarted(self.now)

    @stateful.rule(up=strategies.booleans())
    def set_backend(self, up):
        self.controller.has_backend = up
        self._record_started(self.controller.start_queued(self.now))

    @stateful.rule(leaving=strategies.booleans(), zone_out=strategies.booleans())
    def set_states(self, leaving, zone_out):
        self.controller.leaving = leaving
        self.controller.zone_out = zone_out

    @stateful.invariant()
    def counts_match(self):
        sample = self.controller.sample(self.now)
        assert sample.in_flight == len(self.running)
        assert sample.queued == len(self.queued)
        assert 1 <= sample.limit <= 4

    def teardown(self):
        while self.running:
            call_id, _ = self.running.popitem()
            self._record_started(self.controller.cancel(call_id, self.now))
        self.controller.expire(self.now + 1000)
        sample = self.controller.sample(self.now)
        assert sample.in_flight == sample.queued == 0

    def _record_started(self, call_ids):
        for call_id in call_ids:
            properties = self.queued.pop(call_id)
            still_queued = [other for other in self.queued.values() if self._is_live(other)]
            assert all(
                RANK[other.criticality] >= RANK[properties.criticality] for other in still_queued
            )
            assert self._is_live(properties)
            self.running[call_id] = properties
        assert not call_ids or len(self.running) <= self.concurrency.limit

    def _is_live(self, properties):
        expires_at = min(properties.deadline, self.arrivals[properties.call_id] + 20)
        return expires_at > self.now

    def _pick(self, calls, pick):
        return sorted(calls)[pick % len(calls)] if calls else None


TestAdmissionMachine = AdmissionMachine.TestCase
