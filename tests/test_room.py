"""Room at a backend server under competing load."""

from __future__ import annotations

import collections
import functools
import itertools
import random

import pytest
from hypothesis import settings, stateful
from hypothesis import strategies as st

from anvillug import clock, ids
from anvillug.connection import http_head
from anvillug.request import (
    dialect,
    full_resets,
    job,
    occupancy,
    retry_advice,
    room,
    waiting_line,
)
from anvillug.version import directives

_SLOTS = 4
_RUN_MS = 100.0
_NO_SPARE_MS = 110.0


def job_at(  # noqa: WPS211 - what the room reads of a job
    now: float = 0,
    *,
    priority: int = 1,
    tenant: str = '',
    route: str = 'r',
    objective_ms: float = 1000,
    deadline_ms: float = 2000,
    size: int = 0,
) -> job.Job:
    """Return a job with a priority, a tenant and times relative to now."""
    return job.Job(
        'a',
        ids.ServiceName('s'),
        ids.RouteName(route),
        http_head.RequestHead(b'GET', b'/', []),
        b'x' * size,
        clock.Milliseconds(now + deadline_ms),
        True,
        priority,
        directives.ORIGIN,
        ids.InstanceId('i'),
        tenant=ids.TenantName(tenant),
        objective=clock.Milliseconds(now + objective_ms),
    )


class _Host:
    """Room of a backend server whose runs take a fixed time."""

    def __init__(self, policy: room.Policy | None = None) -> None:
        self.room = room.Room(policy or room.Policy())
        self.room.slots = _SLOTS
        self.now = clock.Milliseconds(0)

    def offer(self, **attributes) -> tuple[occupancy.Ticket, room.Outcome]:
        return self.room.offer(job_at(self.now, **attributes), _RUN_MS, self.now)

    def verdict(self, **attributes) -> room.Verdict:
        return self.offer(**attributes)[1].verdict

    def fill(self, **attributes) -> list[occupancy.Ticket]:
        return [self.offer(**attributes)[0] for _ in range(_SLOTS)]

    def pass_time(self, duration_ms: float) -> list[occupancy.Ticket]:
        """Return the jobs that start meanwhile."""
        started = []
        end = self.now + duration_ms
        while self.now < end:
            self.now = clock.Milliseconds(self.now + 5)
            for ticket in tuple(self.room.occupancy.running):
                if self.now - ticket.started_at >= _RUN_MS:
                    self.room.ended(ticket, self.now, may_run=False)
            self.room.expired(self.now)
            started.extend(iter(functools.partial(self.room.next, self.now), None))
        return started


@pytest.fixture
def host():
    """Return a room without jobs."""
    return _Host()


class TestBurst:
    """Guards against waiting inside the backend server and against waits that cannot pay off."""

    def test_only_the_slots_are_sent_and_few_wait(self, host):
        verdicts = collections.Counter(host.verdict() for _ in range(100))
        assert verdicts[room.Verdict.RUN] == _SLOTS
        assert 0 < verdicts[room.Verdict.WAIT] < 32
        assert verdicts[room.Verdict.REJECT] > 60

    def test_rejection_tells_when_there_is_room(self, host):
        outcomes = [host.offer()[1] for _ in range(100)]
        assert outcomes[-1].reason == 'no room in time'
        assert outcomes[-1].wait_ms > 0.25 * (1000 - _RUN_MS)

    def test_job_without_spare_time_is_rejected_at_once(self, host):
        host.fill()
        assert host.verdict(objective_ms=_NO_SPARE_MS, deadline_ms=_NO_SPARE_MS) is (
            room.Verdict.REJECT
        )

    def test_job_that_cannot_end_before_its_deadline_does_not_start(self, host):
        assert host.offer(deadline_ms=_RUN_MS - 1)[1].reason == 'too late'

    def test_slow_server_shortens_the_line_before_a_run_ends(self, host):
        host.fill()
        assert host.verdict() is room.Verdict.WAIT
        host.now = clock.Milliseconds(12 * _RUN_MS)
        assert host.verdict() is room.Verdict.REJECT

    def test_job_is_not_run_once_it_has_waited_too_long(self, host):
        host.fill()
        ticket, outcome = host.offer()
        assert outcome.verdict is room.Verdict.WAIT
        assert not host.room.expired(clock.Milliseconds(ticket.give_up_at - 1))
        assert host.room.expired(ticket.give_up_at) == [ticket]
        assert ticket.give_up_at + _RUN_MS < ticket.work.objective

    def test_job_that_is_taken_back_leaves_no_trace(self, host):
        host.fill()
        ticket, _ = host.offer()
        assert host.room.take_back(ticket)
        assert not host.pass_time(2 * _RUN_MS)


class TestOrder:
    """Guards against valuable jobs behind others, and against kinds or tenants without any room."""

    def test_priority_then_urgency(self, host):
        host.fill()
        offered = [
            host.offer(priority=2)[0],
            host.offer(objective_ms=900)[0],
            host.offer(objective_ms=700)[0],
            host.offer(priority=0)[0],
        ]
        assert host.pass_time(_RUN_MS) == list(reversed(offered))

    def test_low_kind_is_served_under_lasting_pressure(self, host):
        served = collections.Counter()
        for _ in range(400):
            for _ in range(3):
                host.offer(priority=0, route='high')
            host.offer(priority=2, route='low')
            served.update(ticket.work.route for ticket in host.pass_time(25))
        assert served['low'] >= sum(served.values()) / 12
        assert served['high'] > 4 * served['low']

    def test_tenant_at_twenty_times_its_share_leaves_room(self, host):
        tenants = [*itertools.repeat('large', 20), 'small-1', 'small-2']
        rng = random.Random(5)
        offered, served = collections.Counter(), collections.Counter()
        for _ in range(400):
            for tenant in rng.sample(tenants, 6):
                offered[tenant] += 1
                ticket, outcome = host.offer(tenant=tenant)
                served[tenant] += outcome.verdict is room.Verdict.RUN
            served.update(ticket.work.tenant for ticket in host.pass_time(25))
        shares = {name: served[name] / count for name, count in offered.items()}
        assert shares['large'] < 2 / 5
        assert min(shares['small-1'], shares['small-2']) > 2 / 3

    def test_tenants_take_turns_within_a_priority(self, host):
        host.fill(tenant='large')
        for _ in range(3):
            host.offer(tenant='large', objective_ms=900)
        host.offer(tenant='small')
        started = [ticket.work.tenant for ticket in host.pass_time(_RUN_MS)]
        assert started.index('small') <= 1

    def test_full_line_gives_way_to_a_higher_priority_only(self):
        host = _Host(room.Policy(max_waiting=2))
        host.fill()
        waiting = [host.offer()[0] for _ in range(2)]
        assert host.offer()[1].reason == 'full'
        assert host.offer(priority=0)[1].evicted in waiting
        assert len(host.room.line) == 2

    def test_bytes_that_wait_are_bounded(self):
        host = _Host(room.Policy(max_waiting_bytes=10))
        host.fill()
        assert host.verdict(size=8) is room.Verdict.WAIT
        assert host.offer(size=8)[1].reason == 'full'

    def test_state_of_tenants_is_bounded_by_those_that_wait(self):
        line = waiting_line.WaitingLine()
        for number in range(1000):
            work = job_at(tenant=f't{number}')
            ticket = occupancy.Ticket(work, _RUN_MS, clock.Milliseconds(0), 0, work.deadline)
            line.add(ticket)
            line.take(ticket)
        assert not line._given_ms_by_tenant  # noqa: SLF001


class TestOccupancy:
    """Guards against a backend server that gets more than it holds from runs out of sight."""

    def test_cancelled_runs_keep_their_room_until_the_load_tells(self, host):
        for ticket in host.fill():
            host.room.ended(ticket, clock.Milliseconds(1), may_run=True)
        assert host.verdict() is not room.Verdict.RUN
        host.room.observe(dialect.ReportedLoad(1, 0, _SLOTS, 100), clock.Milliseconds(2))
        assert host.room.taken(clock.Milliseconds(2)) == 1

    def test_load_reported_before_the_cut_says_nothing(self, host):
        for ticket in host.fill():
            host.room.ended(ticket, clock.Milliseconds(10), may_run=True)
        host.room.observe(dialect.ReportedLoad(0, 0, _SLOTS, 100), clock.Milliseconds(9))
        assert host.room.taken(clock.Milliseconds(11)) == _SLOTS

    def test_report_that_is_read_again_releases_nothing(self, host):
        for ticket in host.fill():
            host.room.ended(ticket, clock.Milliseconds(1), may_run=True)
        load = dialect.ReportedLoad(2, 0, _SLOTS, 100)
        host.room.observe(load, clock.Milliseconds(10))
        host.room.adopt(job_at(), clock.Milliseconds(5))
        host.room.observe(load, clock.Milliseconds(10))
        assert host.room.taken(clock.Milliseconds(11)) == 3

    def test_cancelled_runs_end_with_their_deadline(self, host):
        for ticket in host.fill():
            host.room.ended(ticket, clock.Milliseconds(1), may_run=True)
        assert not host.room.taken(clock.Milliseconds(2100))

    def test_runs_of_a_previous_process_are_assumed(self, host):
        host.room.new_instance(_SLOTS, clock.Milliseconds(0), is_first=True)
        assert host.room.taken(clock.Milliseconds(1)) == _SLOTS / 2
        host.room.observe(dialect.ReportedLoad(0, 0, _SLOTS, 100), clock.Milliseconds(2))
        assert not host.room.taken(clock.Milliseconds(2))

    def test_uploads_are_bounded_and_a_larger_one_runs_alone(self):
        host = _Host(room.Policy(max_upload_bytes=10))
        assert host.verdict(size=11) is room.Verdict.RUN
        assert host.verdict(size=1) is room.Verdict.WAIT
        assert len(host.pass_time(_RUN_MS + 5)) == 1


class TestFullResets:
    """Guards against resets of a full backend server, and against crashes taken for them."""

    def test_limit_is_lowered_and_recovers(self):
        resets = full_resets.FullResets()
        resets.reset(_SLOTS, _SLOTS, clock.Milliseconds(100))
        assert resets.answered(clock.Milliseconds(50), clock.Milliseconds(150))
        assert resets.limit(_SLOTS, clock.Milliseconds(150)) == _SLOTS - 1
        assert resets.limit(_SLOTS, clock.Milliseconds(5200)) == _SLOTS

    @pytest.mark.parametrize(
        ('taken', 'sent_at', 'answered_at'), [(_SLOTS - 1, 50, 150), (_SLOTS, 120, 150)]
    )
    def test_other_resets_do_not_count(self, taken, sent_at, answered_at):
        resets = full_resets.FullResets()
        resets.reset(taken, _SLOTS, clock.Milliseconds(100))
        assert not resets.answered(clock.Milliseconds(sent_at), clock.Milliseconds(answered_at))

    def test_two_beyond_the_slots_show_the_habit(self):
        resets = full_resets.FullResets()
        for at in (100, 200):
            assert not resets.confirmed
            resets.reset(_SLOTS + 1, _SLOTS, clock.Milliseconds(at))
            resets.answered(clock.Milliseconds(at - 1), clock.Milliseconds(at + 50))
        assert resets.confirmed


class TestRetryAdvice:
    """Guards against retries of many callers that arrive together, too early or too late."""

    def test_spread_from_the_least_wait(self):
        advice = retry_advice.RetryAdvice()
        for wait_ms in (0, 400, 150):
            advice.add(wait_ms)
        rng = random.Random(3)
        waits = [advice.wait_ms(3000, rng) for _ in range(200)]
        assert 150 <= min(waits) < 160
        assert 290 < max(waits) <= 300

    def test_within_a_third_of_the_time_left_or_as_before(self):
        advice = retry_advice.RetryAdvice()
        rng = random.Random(3)
        assert advice.wait_ms(3000, rng) == 60
        advice.add(5000)
        assert all(100 <= advice.wait_ms(600, rng) <= 200 for _ in range(100))


class RoomMachine(stateful.RuleBasedStateMachine):
    """Offers, ends, cancels and lets time pass; each job has one outcome."""

    def __init__(self) -> None:
        super().__init__()
        self.room = room.Room(room.Policy(max_waiting=5))
        self.room.slots = _SLOTS
        self.now = clock.Milliseconds(0)
        self.waiting: set[occupancy.Ticket] = set()

    @stateful.rule(
        priority=st.integers(0, 2),
        tenant=st.sampled_from('abc'),
        route=st.sampled_from('pq'),
        objective_ms=st.integers(1, 3000),
    )
    def offer(self, priority, tenant, route, objective_ms):
        work = job_at(
            self.now, priority=priority, tenant=tenant, route=route, objective_ms=objective_ms
        )
        ticket, outcome = self.room.offer(work, _RUN_MS, self.now)
        if outcome.evicted is not None:
            self.waiting.remove(outcome.evicted)
        if outcome.verdict is room.Verdict.WAIT:
            self.waiting.add(ticket)
        assert (ticket in self.room.occupancy.running) is (outcome.verdict is room.Verdict.RUN)

    @stateful.rule(may_run=st.booleans(), duration_ms=st.integers(0, 400))
    def end(self, may_run, duration_ms):
        self.now = clock.Milliseconds(self.now + duration_ms)
        for ticket in list(self.room.occupancy.running)[:1]:
            self.room.ended(ticket, self.now, may_run=may_run)
        self.waiting -= set(self.room.expired(self.now))
        self.waiting -= set(iter(functools.partial(self.room.next, self.now), None))

    @stateful.rule()
    def cancel(self):
        for ticket in list(self.waiting)[:1]:
            assert self.room.take_back(ticket)
            self.waiting.remove(ticket)

    @stateful.invariant()
    def nothing_is_lost_and_no_slot_taken_twice(self):
        assert set(self.room.line) == self.waiting
        assert len(self.waiting) <= 5
        assert self.room.taken(self.now) <= _SLOTS
        assert not self.waiting & self.room.occupancy.running

    @stateful.invariant()
    def whatever_waits_is_woken(self):
        assert not self.waiting or self.room.next_event(self.now) is not None


class TestRoomMachine(RoomMachine.TestCase):
    """Guards against lost jobs and double outcomes in any order of events."""

    settings = settings(max_examples=60, stateful_step_count=40, deadline=None)
