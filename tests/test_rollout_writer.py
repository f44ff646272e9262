"""Tests of the rollout steps that one node takes on behalf of all, with an in-memory log."""

from __future__ import annotations

import json
from collections.abc import Callable

import pytest
from twisted.internet import task

from anvillug import clock, ids
from anvillug.connection import keyed_log
from anvillug.process import rollout_writer
from anvillug.version import directives, rollout, rollout_call, rollouts

_SERVICE = ids.ServiceName('one')
_OLD = ids.VersionName('v1')
_NEW = ids.VersionName('v2')
_DURATION_MS = 10_000.0


def _do_nothing() -> None:
    """Do nothing."""


class _Log:
    """In-memory keyed log of the status records of one service."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.era = 1
        self.is_up = True
        self.on_read: Callable[[], object] = _do_nothing
        self.on_append: Callable[[], object] = _do_nothing
        self.on_appended: Callable[[], object] = _do_nothing

    @property
    def phases(self) -> list[str]:
        return [json.loads(value)[1] for value in self.records]

    async def newest(self, topic: str) -> keyed_log.Batch:
        self._check()
        self.on_read()
        end = directives.Position(self.era, len(self.records))
        newest = directives.Position(self.era, len(self.records) - 1)
        records = tuple(('one', directives.Record(newest, value)) for value in self.records[-1:])
        return keyed_log.Batch(records, end)

    async def append(
        self, topic: str, key: str, value: bytes, expected_end: int | None = None
    ) -> directives.Position:
        self.on_append()
        self._check()
        if expected_end != len(self.records):
            raise keyed_log.ConditionFailedError
        self.records.append(value)
        position = directives.Position(self.era, expected_end)
        self.on_appended()
        return position

    def write(self, version: ids.VersionName, phase: rollout.Phase) -> None:
        """Append the status that another node writes."""
        self.records.append(_Codec().encode(rollout.Status(_SERVICE, version, phase)))

    def restore(self, record_count: int) -> None:
        """Return to a copy that holds the first records only."""
        self.era += 1
        del self.records[record_count:]

    def _check(self) -> None:
        if not self.is_up:
            raise keyed_log.LogUnavailableError('down')


class _Codec:
    def key(self, service: ids.ServiceName) -> str:
        return service

    def encode(self, status: rollout.Status) -> bytes:
        return json.dumps([status.target_version, status.phase.value]).encode()

    def decode(self, key: str, value: bytes) -> rollout.Status:
        version, phase = json.loads(value)
        return rollout.Status(ids.ServiceName(key), version, rollout.Phase(phase))


class _WriterSetup:
    """One node with a rollout in progress and a writer of its status."""

    def __init__(self, rank: int = 0, log: _Log | None = None) -> None:
        self.reactor = task.Clock()
        self.time = clock.ManualClock(1000)
        self.log = log or _Log()
        exposure = rollout.Exposure(0.1, 50)
        self.rollouts = rollouts.Rollouts(self.time, exposure, lambda: None)
        self.apply_order(directives.Position(1, 7))
        self.current_rollout = self.rollouts.by_service[_SERVICE]
        self.writer = rollout_writer.RolloutWriter(
            self.reactor, self.time, self.log, 't', _Codec(), self.rollouts, lambda: rank
        )
        self.writer.start()

    def apply_order(self, position: directives.Position) -> None:
        order = directives.RolloutOrder(_SERVICE, _NEW, _DURATION_MS, position)
        self.rollouts.apply_orders(
            directives.Directives(position, rollouts_by_service={_SERVICE: order})
        )

    def restore_store(self, record_count: int) -> None:
        """Restore the store from a copy that lacks the order and the later status records.

        Then run until the node has written what is due.
        """
        self.log.restore(record_count)
        self.rollouts.apply_orders(directives.Directives(directives.Position(self.log.era, 3)))
        self.run(1000)

    def receive_report(self, other: _WriterSetup) -> None:
        reporter = (ids.HostId('other'), ids.Incarnation(1))
        self.rollouts.receive_report(reporter, other.rollouts.encode_report())

    def record_calls(
        self, version: ids.VersionName, count: int, latency_ms: float | None = 60
    ) -> None:
        for _ in range(count):
            call = rollout_call.Call(
                _SERVICE, ids.RouteName('r'), ids.HostId('h'), version, latency_ms, 100, 200
            )
            self.rollouts.record(call)

    def run(self, duration_ms: float) -> None:
        for _ in range(int(duration_ms / 50)):
            self.time.advance(50)
            self.reactor.advance(0.05)
            self.rollouts.step()


@pytest.fixture
def writer_setup():
    """Return a node without faulty calls on the new version."""
    setup = _WriterSetup()
    setup.record_calls(_OLD, 400)
    setup.record_calls(_NEW, 40)
    return setup


class TestEnd:
    """Guards against an irreversible step that is taken too early, or by two nodes."""

    def test_good_version_is_announced_and_completed(self, writer_setup):
        writer_setup.run(_DURATION_MS)
        assert writer_setup.log.phases == ['canary', 'completed']
        assert writer_setup.current_rollout.phase is rollout.Phase.COMPLETED

    def test_rollout_is_not_completed_before_its_status_is_stored(self, writer_setup):
        writer_setup.run(0.82 * _DURATION_MS)
        assert writer_setup.current_rollout.phase is rollout.Phase.SHIFTING
        writer_setup.log.is_up = False
        writer_setup.run(1500)
        assert writer_setup.current_rollout.phase is rollout.Phase.SHIFTING
        writer_setup.record_calls(_NEW, 20, latency_ms=None)
        writer_setup.run(200)
        writer_setup.log.is_up = True
        writer_setup.run(1000)
        assert writer_setup.log.phases == ['canary', 'reverted']

    def test_no_shift_while_the_store_is_unavailable(self, writer_setup):
        writer_setup.run(1000)
        writer_setup.log.is_up = False
        writer_setup.run(_DURATION_MS)
        assert writer_setup.current_rollout.phase is rollout.Phase.CANARY

    def test_outcome_written_by_another_node_takes_precedence(self, writer_setup):
        writer_setup.run(0.82 * _DURATION_MS)
        writer_setup.log.write(_NEW, rollout.Phase.REVERTED)
        writer_setup.run(2000)
        assert writer_setup.log.phases == ['canary', 'reverted']
        assert writer_setup.current_rollout.phase is rollout.Phase.REVERTED

    def test_verdict_reached_while_the_store_is_read_takes_effect(self, writer_setup):
        writer_setup.run(0.82 * _DURATION_MS)
        writer_setup.log.on_read = lambda: writer_setup.current_rollout.adopt(
            rollout.Phase.REVERTED, 'test'
        )
        writer_setup.run(2000)
        assert writer_setup.log.phases == ['canary', 'reverted']

    def test_version_without_calls_is_reverted_before_the_deadline(self):
        writer_setup = _WriterSetup()
        writer_setup.record_calls(_OLD, 400)
        writer_setup.run(_DURATION_MS)
        assert writer_setup.log.phases == ['canary', 'reverted']

    def test_node_of_higher_rank_waits_for_its_turn(self):
        writer_setup = _WriterSetup(rank=2)
        writer_setup.record_calls(_OLD, 200)
        writer_setup.record_calls(_NEW, 20, latency_ms=None)
        writer_setup.run(500)
        assert not writer_setup.log.records
        writer_setup.run(2000)
        assert writer_setup.log.phases == ['reverted']


class TestRestoredStore:
    """Guards against a status that the store has lost and no node writes again."""

    @pytest.mark.parametrize('record_count', [0, 1])
    def test_lost_completion_is_written_again(self, writer_setup, record_count):
        writer_setup.run(_DURATION_MS)
        assert writer_setup.log.phases == ['canary', 'completed']
        writer_setup.restore_store(record_count)
        assert writer_setup.log.phases[record_count:] == ['completed']
        assert writer_setup.current_rollout.phase is rollout.Phase.COMPLETED

    @pytest.mark.parametrize('record_count', [0, 1])
    def test_lost_reversion_is_written_again(self, record_count):
        writer_setup = _WriterSetup()
        writer_setup.record_calls(_OLD, 400)
        writer_setup.run(_DURATION_MS)
        assert writer_setup.log.phases == ['canary', 'reverted']
        writer_setup.restore_store(record_count)
        assert writer_setup.log.phases[record_count:] == ['reverted']
        assert writer_setup.current_rollout.phase is rollout.Phase.REVERTED

    def test_rollout_in_progress_is_announced_again(self, writer_setup):
        writer_setup.run(3000)
        writer_setup.restore_store(0)
        assert writer_setup.log.phases == ['canary']
        assert writer_setup.current_rollout.phase is rollout.Phase.CANARY

    def test_status_that_the_copy_holds_is_not_written_again(self, writer_setup):
        writer_setup.run(_DURATION_MS)
        writer_setup.restore_store(2)
        assert writer_setup.log.phases == ['canary', 'completed']

    def test_completion_is_written_again_after_each_of_two_restores(self, writer_setup):
        writer_setup.run(_DURATION_MS)
        for _ in range(2):
            writer_setup.restore_store(1)
        assert writer_setup.log.phases == ['canary', 'completed']

    def test_report_of_an_earlier_era_does_not_prevent_the_write(self, writer_setup):
        other = _WriterSetup()
        writer_setup.run(_DURATION_MS)
        other.log.restore(0)
        other.rollouts.apply_orders(directives.Directives(directives.Position(2, 3)))
        other.receive_report(writer_setup)
        other.run(1000)
        assert other.log.phases == ['completed']

    def test_restored_store_is_noticed_by_reading_the_statuses(self, writer_setup):
        writer_setup.run(1000)
        writer_setup.log.restore(0)
        writer_setup.run(0.85 * _DURATION_MS)
        assert writer_setup.log.phases == ['canary', 'completed']

    def test_statuses_of_the_previous_era_are_not_counted_as_kept(self, writer_setup):
        writer_setup.run(1000)
        writer_setup.rollouts.apply_orders(directives.Directives(directives.Position(2, 3)))
        writer_setup.run(1000)
        assert writer_setup.log.phases == ['canary']
        writer_setup.log.restore(0)
        writer_setup.run(1000)
        assert writer_setup.log.phases == ['canary']


class TestSettledOutcome:
    """Guards against an outcome that changes after the operator may have acted on it."""

    def test_new_process_adopts_the_outcome_that_the_store_has_lost(self, writer_setup):
        writer_setup.run(_DURATION_MS)
        writer_setup.restore_store(0)
        new_process = _WriterSetup()
        new_process.receive_report(writer_setup)
        assert new_process.current_rollout.phase is rollout.Phase.COMPLETED

    def test_completed_rollout_is_not_reverted_by_a_later_status(self, writer_setup):
        writer_setup.run(_DURATION_MS)
        writer_setup.log.restore(0)
        writer_setup.log.write(_NEW, rollout.Phase.REVERTED)
        writer_setup.rollouts.apply_orders(directives.Directives(directives.Position(2, 3)))
        writer_setup.run(1000)
        assert writer_setup.current_rollout.phase is rollout.Phase.COMPLETED
        assert writer_setup.log.phases == ['reverted', 'completed']

    def test_outcome_that_another_status_replaced_is_written_again(self, writer_setup):
        other = _WriterSetup(log=writer_setup.log)
        writer_setup.run(_DURATION_MS)
        other.receive_report(writer_setup)
        status = rollout.Status(_SERVICE, _OLD, rollout.Phase.COMPLETED)
        position = directives.Position(1, len(other.log.records))
        other.log.write(_OLD, rollout.Phase.COMPLETED)
        other.rollouts.apply_status(status, position)
        writer_setup.receive_report(other)
        writer_setup.run(1000)
        assert writer_setup.log.phases == ['canary', 'completed', 'completed', 'completed']


class TestRestoreDuringWrite:
    """Guards against a write whose condition held for other records than those that were read."""

    def test_outcome_that_follows_the_write_is_adopted(self, writer_setup):
        log = writer_setup.log
        writer_setup.run(0.82 * _DURATION_MS)

        def restore() -> None:
            log.on_append = _do_nothing
            log.restore(0)
            log.write(_OLD, rollout.Phase.COMPLETED)

        def write_outcome() -> None:
            log.on_appended = _do_nothing
            log.write(_NEW, rollout.Phase.REVERTED)

        log.on_append = restore
        log.on_appended = write_outcome
        writer_setup.run(2000)
        assert log.phases[1:] == ['completed', 'reverted']
        assert writer_setup.current_rollout.phase is rollout.Phase.REVERTED

    def test_outcome_that_the_write_replaced_is_written_again(self):
        log = _Log()
        log.write(_OLD, rollout.Phase.COMPLETED)
        other = _WriterSetup(rank=9, log=log)

        def restore() -> None:
            log.on_append = _do_nothing
            log.restore(0)
            log.write(_NEW, rollout.Phase.REVERTED)
            status = rollout.Status(_SERVICE, _NEW, rollout.Phase.REVERTED)
            other.rollouts.apply_status(status, directives.Position(2, 0))

        log.on_append = restore
        writer_setup = _WriterSetup(log=log)
        assert log.phases == ['reverted', 'canary']
        writer_setup.receive_report(other)
        writer_setup.run(1000)
        assert log.phases == ['reverted', 'canary', 'reverted']

    def test_position_of_the_write_is_in_the_new_era(self, writer_setup):
        log = writer_setup.log

        def restore() -> None:
            log.on_append = _do_nothing
            log.restore(len(log.records))

        writer_setup.run(1000)
        log.on_append = restore
        writer_setup.run(_DURATION_MS)
        assert log.phases == ['canary', 'completed']
        assert writer_setup.current_rollout.stored.position == directives.Position(2, 1)

    def test_outcome_that_was_written_before_the_restore_stays(self, writer_setup):
        log = writer_setup.log

        def restore() -> None:
            log.on_appended = _do_nothing
            log.restore(1)
            writer_setup.rollouts.apply_orders(directives.Directives(directives.Position(2, 3)))

        writer_setup.run(0.82 * _DURATION_MS)
        log.on_appended = restore
        writer_setup.run(2000)
        assert log.phases == ['canary', 'completed']
        assert writer_setup.current_rollout.phase is rollout.Phase.COMPLETED
