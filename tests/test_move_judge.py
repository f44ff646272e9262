"""Tests of the task that proposes how rollouts end, with a log in memory."""

from __future__ import annotations

import random

from twisted.internet import defer, task

from anvillug import clock, ids
from anvillug.connection import log_record
from anvillug.process import membership, move_judge
from anvillug.version import config_state, evidence_pool, fold, verdict_set

SERVICE = ids.ServiceName('drawbook')
DEADLINE_MS = 1000
LONG_S = 60
MOVE = {'to': 'v2', 'start_ms': 0, 'deadline_ms': DEADLINE_MS}


class FakeLog:
    """Log that notes what is appended."""

    def __init__(self):
        self.kinds = []

    def append(self, stream, data):
        """Note the kind and the result."""
        self.kinds.append((data['kind'], data.get('result')))
        return defer.succeed(0)


class Bench:
    """A judge on a node whose configuration the tests set."""

    def __init__(self):
        self.reactor = task.Clock()
        self.time = clock.ManualClock()
        self.log = FakeLog()
        self.config = fold.empty()
        self.verdicts = verdict_set.VerdictSet()
        service = {'version': 'v1', 'targets': {'safety': 'strict'}, 'move': MOVE}
        self.patch({'services': {SERVICE: service}})
        own = membership.Member(
            host_id=ids.HostId('h'),
            zone=ids.ZoneName('z'),
            region=ids.RegionName('r'),
            incarnation=ids.Incarnation(1),
            sequence=0,
            service=ids.ServiceName(''),
            version=ids.VersionName(''),
            peer_address='127.0.0.1:1',
            control_address='127.0.0.1:2',
            state=membership.MemberState.STARTING,
        )
        self.judge = move_judge.MoveJudge(
            self.reactor,
            self.time,
            membership.MemberTable(own, self.time.now()),
            self.log,
            lambda: self.config,
            self.verdicts,
            evidence_pool.EvidencePool(own.host_id),
            lambda notices: None,
            random.Random(1),
        )

    @property
    def move(self):
        """Return the rollout."""
        return self.config.moves_by_service[SERVICE]

    def apply(self, data):
        """Fold one record."""
        record = log_record.LogRecord(self.config.next_offset, self.time.wall(), data)
        self.config = fold.apply(self.config, record)

    def patch(self, change):
        """Fold a patch."""
        number = self.config.number
        self.apply({'kind': 'patch', 'id': f'p{number}', 'base': number, 'patch': change})

    def run(self, seconds):
        """Let time pass."""
        for _ in range(seconds):
            self.time.advance(1000)
            self.reactor.advance(1)


class TestDeadline:
    """Guards against a second result of a rollout that has ended."""

    def test_result_is_proposed_once(self):
        bench = Bench()
        bench.judge.start()
        bench.run(LONG_S)
        assert bench.log.kinds == [('move_result', 'taken-back')]

    def test_nothing_is_proposed_after_the_result_of_another_node(self):
        # A node that woke from a pause, or had less evidence, took back a good version.
        bench = Bench()
        bench.judge.start()
        bench.run(3)
        done = config_state.MoveState.DONE
        bench.apply(fold.move_result_record(SERVICE, bench.move, done, 'in time'))
        bench.run(LONG_S)
        assert bench.log.kinds == []

    def test_verdict_counts_after_a_result(self):
        bench = Bench()
        bench.judge.start()
        bench.run(3)
        done = config_state.MoveState.DONE
        bench.apply(fold.move_result_record(SERVICE, bench.move, done, 'in time'))
        bench.verdicts.add(
            verdict_set.VerdictNotice(SERVICE, bench.move.to_version, bench.move.number, 'slow'),
        )
        bench.run(LONG_S)
        assert bench.log.kinds == [('verdict', None)]
