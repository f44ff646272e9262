"""Tests of the task that proposes the results of rollouts, with an in-memory log."""

from __future__ import annotations

import random

from twisted.internet import defer, task

from anvillug import clock, ids
from anvillug.connection import log_record
from anvillug.process import membership, move_judge
from anvillug.version import config_state, evidence_pool, fold, verdict_set

SERVICE = ids.ServiceName('drawbook')
DEADLINE_MS = 1000
AFTER_DEADLINE_S = 60
MOVE = {'to': 'v2', 'start_ms': 0, 'deadline_ms': DEADLINE_MS}


class FakeLog:
    """Log that records the kinds of appended records."""

    def __init__(self):
        self.kinds = []

    def append(self, stream, data):
        """Record the kind and the result."""
        self.kinds.append((data['kind'], data.get('result')))
        return defer.succeed(0)


class JudgeNode:
    """Node with a judge whose configuration the test applies."""

    def __init__(self):
        self.reactor = task.Clock()
        self.time = clock.ManualClock()
        self.log = FakeLog()
        self.config = fold.empty()
        self.verdicts = verdict_set.VerdictSet()
        service = {'version': 'v1', 'targets': {'safety': 'strict'}, 'move': MOVE}
        self.patch({'services': {SERVICE: service}})
        local_member = membership.Member(
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
            membership.MemberTable(local_member, self.time.now()),
            self.log,
            lambda: self.config,
            self.verdicts,
            evidence_pool.EvidencePool(local_member.host_id),
            lambda notices: None,
            random.Random(1),
        )

    @property
    def move(self):
        """Return the rollout."""
        return self.config.moves_by_service[SERVICE]

    def apply(self, data):
        """Apply one record to the configuration."""
        record = log_record.LogRecord(self.config.next_offset, self.time.wall(), data)
        self.config = fold.apply(self.config, record)

    def patch(self, change):
        """Apply a patch to the configuration."""
        number = self.config.number
        self.apply({'kind': 'patch', 'id': f'p{number}', 'base': number, 'patch': change})

    def run(self, seconds):
        """Advance the time."""
        for _ in range(seconds):
            self.time.advance(1000)
            self.reactor.advance(1)


class TestDeadline:
    """Guards against a second result of a rollout that has already ended."""

    def test_result_is_appended_once(self):
        node = JudgeNode()
        node.judge.start()
        node.run(AFTER_DEADLINE_S)
        assert node.log.kinds == [('move_result', 'taken-back')]

    def test_nothing_is_appended_after_the_result_of_another_node(self):
        # Otherwise a node that was paused, or has less evidence, rolls back a good version.
        node = JudgeNode()
        node.judge.start()
        node.run(3)
        done = config_state.MoveState.DONE
        node.apply(fold.move_result_record(SERVICE, node.move, done, 'in time'))
        node.run(AFTER_DEADLINE_S)
        assert node.log.kinds == []

    def test_verdict_is_appended_after_a_result(self):
        node = JudgeNode()
        node.judge.start()
        node.run(3)
        done = config_state.MoveState.DONE
        node.apply(fold.move_result_record(SERVICE, node.move, done, 'in time'))
        node.verdicts.add(
            verdict_set.VerdictNotice(SERVICE, node.move.to_version, node.move.number, 'slow'),
        )
        node.run(AFTER_DEADLINE_S)
        assert node.log.kinds == [('verdict', None)]
