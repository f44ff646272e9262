"""Takes the steps of rollouts that one node takes on behalf of all, and writes their status.

A step is taken only after the log has been read, because the status in the log is authoritative. So
a shift begins only while the log is reachable, which is needed to write its outcome.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from typing import Protocol as Interface

from twisted.internet import defer, task

from anvillug import clock, event_log, ids
from anvillug.connection import keyed_log
from anvillug.version import directives, rollout, rollouts

_CHECK_INTERVAL_S = 0.15
# Wait for each live node that comes before this one in the order of names.
_TURN_S = 0.5


class StatusCodec(Interface):
    """Encodes and decodes records with the status of rollouts."""

    def key(self, service: ids.ServiceName) -> str:
        """Return the record key of a service's rollout."""

    def encode(self, status: rollout.Status) -> bytes:
        """Encode a status."""

    def decode(self, key: str, value: bytes) -> rollout.Status | None:
        """Decode a status from its record; return None for any other record."""


class RolloutWriter:
    """Takes the steps of rollouts, and applies the status that other nodes have written.

    Args:
        reactor: Timers.
        time: Clock.
        log: The log.
        topic: Topic of the status records.
        codec: Codec of the status records.
        all_rollouts: All rollouts that were ordered.
        rank: Returns the number of live nodes before this one in the order of names.
    """

    def __init__(
        self,
        reactor: Any,
        time: clock.Clock,
        log: keyed_log.KeyedLog,
        topic: str,
        codec: StatusCodec,
        all_rollouts: rollouts.Rollouts,
        rank: Callable[[], int],
    ) -> None:
        self._reactor = reactor
        self._clock = time
        self._log = log
        self._topic = topic
        self._codec = codec
        self._rollouts = all_rollouts
        self._rank = rank
        self._has_read = False
        self._turns_waited = 0

    def start(self) -> None:
        """Take steps until the process ends."""
        defer.ensureDeferred(self._run())

    async def _run(self) -> None:
        while True:
            try:
                await self._step()
            except keyed_log.LogUnavailableError as error:
                event_log.warn('rollout_status_not_settled', reason=error)
                await task.deferLater(self._reactor, _TURN_S)
            except Exception as error:
                # A record that cannot be decoded must not end the task.
                event_log.error('rollout_writer_failed', error)
            await task.deferLater(self._reactor, _CHECK_INTERVAL_S)

    async def _step(self) -> None:
        if self._rollouts.by_service and not self._has_read:
            await self._read()
            self._has_read = True
        due = [
            current for current in self._rollouts.by_service.values() if self._next_step(current)
        ]
        if not due:
            self._turns_waited = 0
            return
        # The nodes before this one go first; a step that they take is announced by beacons.
        if self._turns_waited < self._rank():
            self._turns_waited += 1
            await task.deferLater(self._reactor, _TURN_S)
            return
        for current in due:
            await self._take_step(current)

    def _next_step(self, current: rollout.Rollout) -> rollout.Step | None:
        return current.next_step(self._clock.now())

    async def _take_step(self, current: rollout.Rollout) -> None:
        end = await self._read()
        # Another node may have taken the step while the log was read.
        step = self._next_step(current)
        if step is None:
            return
        if step is rollout.Step.SHIFT:
            self._rollouts.shift(current)
            return
        if step is rollout.Step.REVERT:
            self._rollouts.revert(current)
        status = rollout.Status(
            current.order.service, current.order.target_version, _PHASES_BY_STEP[step]
        )
        key = self._codec.key(status.service)
        try:
            position = await self._log.append(
                self._topic, key, self._codec.encode(status), expected_end=end.offset
            )
        except keyed_log.ConditionFailedError:
            # Another node has written a status; the next check reads it.
            return
        event_log.emit(
            'rollout_status_written',
            service=status.service,
            phase=status.phase.value,
            position=position,
        )
        if position.era == end.era:
            self._rollouts.apply_status(status, position)
            return
        # The log was restored after it was read. Other nodes may have written before or after this
        # record, so the newest record decides.
        event_log.warn('rollout_status_era_changed', service=status.service, position=position)
        await self._read()

    async def _read(self) -> directives.Position:
        """Apply the statuses in the log, and return the position at which their topic ends."""
        batch = await self._log.newest(self._topic)
        self._rollouts.enter_era(batch.end.era)
        if batch.end.era < self._rollouts.era:
            raise keyed_log.LogUnavailableError(
                f'statuses of era {batch.end.era} received in era {self._rollouts.era}'
            )
        for key, record in batch.changes:
            status = self._codec.decode(key, record.value)
            if status is not None:
                self._rollouts.apply_status(status, record.position)
        return batch.end


_PHASES_BY_STEP = {
    rollout.Step.ANNOUNCE: rollout.Phase.CANARY,
    rollout.Step.COMPLETE: rollout.Phase.COMPLETED,
    rollout.Step.REVERT: rollout.Phase.REVERTED,
}
