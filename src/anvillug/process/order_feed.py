"""Follows the operator's topic and applies its directives.

Every node reads the newest records once. After that, a few nodes follow the topic, and the other
nodes are notified by their beacons; see `process/follower_duty.py`.
"""

from __future__ import annotations

import contextlib
import random
from collections.abc import Callable
from typing import Any

from twisted.internet import defer, task

from anvillug import clock, event_log
from anvillug.connection import keyed_log
from anvillug.process import sound_word
from anvillug.version import directives

# Mean wait of a long poll. A response that never comes is noticed only after the wait, and a change
# has to be in force two seconds after it was made.
_POLL_MS = 1200
# The same where the age of the last read matters: a read is a word as of the time it was sent.
_WORD_POLL_MS = 900
# Part of the wait that varies at random: after a change, all followers begin to poll at once.
_POLL_JITTER_SHARE = 0.25
# Nodes that have started at the same time hear of each other within this time.
_FIRST_CONTACT_MS = 600.0
# Exponential backoff after a failed read.
_INITIAL_BACKOFF_MS = 80.0
_MAX_BACKOFF_MS = 600.0
_BACKOFF_FACTOR = 1.8
# A node without a turn tries this often, since the log may serve only some nodes.
_RETRY_MS = 3000.0
# After the log was restored from an older copy, the operator writes again what it has lost within
# two seconds; the rest allows for the time until the node reads it.
_REWRITE_MS = 3000.0
# Interval at which a node that does not follow the topic checks whether it has to.
_IDLE_CHECK_MS = 150.0


class OrderFeed:
    """Follows the operator's topic.

    Args:
        reactor: Timers.
        log: The log.
        topic: Operator's topic.
        active_directives: Applies the records.
        rng: Source of the jitter of delays.
        has_duty: Returns whether this node has to follow the topic now.
        may_retry: Returns whether this node should soon try again to reach a log that it has lost.
        on_applied: Called after new directives from the topic have been applied.
        on_reach_changed: Called after `reaches_log` has changed.
        word: Records how recent the directives are; None if it doesn't matter.
    """

    def __init__(  # noqa: WPS211 - callbacks keep the task independent of its users
        self,
        reactor: Any,
        log: keyed_log.KeyedLog,
        topic: str,
        active_directives: directives.ActiveDirectives,
        rng: random.Random,
        has_duty: Callable[[], bool],
        may_retry: Callable[[], bool],
        on_applied: Callable[[], None],
        on_reach_changed: Callable[[], None],
        word: sound_word.SoundWord | None = None,
    ) -> None:
        self._reactor = reactor
        self._log = log
        self._topic = topic
        self._active_directives = active_directives
        self._rng = rng
        self._has_duty = has_duty
        self._may_retry = may_retry
        self._on_applied = on_applied
        self._on_reach_changed = on_reach_changed
        self._word = word
        self._poll_ms = _POLL_MS if word is None else _WORD_POLL_MS
        self._log_reachable = True
        self._has_newest = False
        self._follows = False
        # Whether the next read must not wait: the followers before may have missed a change.
        self._reads_at_once = False
        self._backoff_ms = _INITIAL_BACKOFF_MS
        self._era = active_directives.current.position.era
        active_directives.add_listener(self._directives_changed)

    @property
    def reaches_log(self) -> bool:
        """Whether the last attempt to read the topic succeeded, or none has been made."""
        return self._log_reachable

    def start(self) -> defer.Deferred[None]:
        """Follow the topic until the returned Deferred is cancelled."""
        return defer.ensureDeferred(self._follow())

    async def _follow(self) -> None:
        with contextlib.suppress(defer.CancelledError):
            while True:
                await self._follow_once()

    async def _follow_once(self) -> None:
        try:
            await self._step()
        except defer.CancelledError:
            raise
        except keyed_log.LogUnavailableError as error:
            await self._back_off(error)
        except Exception as error:
            # A record that cannot be decoded must not end the task.
            event_log.error('order_feed_failed', error)
            await self._back_off(error)

    async def _step(self) -> None:
        """Read the newest records the first time, and later only records that follow them."""
        position = self._active_directives.current.position
        if not self._has_newest:
            await self._read_newest()
            await self._sleep(_FIRST_CONTACT_MS)
            return
        follows = self._has_duty()
        if follows is not self._follows:
            self._follows = follows
            self._reads_at_once = follows
            event_log.emit('order_duty', follows=follows, position=position)
        if self._log_reachable and not follows:
            await self._sleep(_IDLE_CHECK_MS)
            return
        if not self._log_reachable:
            await self._wait_to_retry()
        sent_at = self._now()
        try:
            batch = await self._log.read(self._topic, position.offset, self._wait_ms())
        except keyed_log.RecordsDeletedError:
            event_log.emit('order_history_dropped', position=position)
            await self._read_newest()
            return
        self._record_success()
        if batch.end.era != position.era:
            # The records before this offset may differ from those that this node has applied.
            await self._read_newest()
            return
        self._apply(batch, dict(self._active_directives.current.records), position)
        if batch.end >= position._replace(revision=0):
            self._record_word(sent_at, batch)

    async def _wait_to_retry(self) -> None:
        """Wait for the turn of this node, or until it has not tried for a while."""
        waited_ms = 0.0
        while waited_ms < _RETRY_MS and not self._may_retry():
            await self._sleep(_IDLE_CHECK_MS)
            waited_ms += _IDLE_CHECK_MS

    def _wait_ms(self) -> int:
        """Return how long the next read may wait for a record."""
        reads_at_once = self._reads_at_once
        self._reads_at_once = False
        if reads_at_once or not self._log_reachable:
            # Whatever was missed is read at once, and the others learn that the log is back.
            return 0
        return int(
            self._poll_ms * self._rng.uniform(1 - _POLL_JITTER_SHARE, 1 + _POLL_JITTER_SHARE)
        )

    async def _read_newest(self) -> None:
        position = self._active_directives.current.position
        sent_at = self._now()
        batch = await self._log.newest(self._topic)
        if batch.end < position._replace(revision=0):
            raise keyed_log.LogUnavailableError(f'ends at {batch.end}, before {position}')
        self._record_success()
        self._has_newest = True
        self._apply(batch, {}, self._active_directives.current.position)
        self._record_word(sent_at, batch)

    def _now(self) -> clock.Milliseconds:
        return clock.Milliseconds(0) if self._word is None else self._word.now()

    def _record_word(self, sent_at: clock.Milliseconds, batch: keyed_log.Batch) -> None:
        if self._word is not None and batch.is_complete:
            self._word.read_succeeded(sent_at, batch.end)

    def _apply(
        self,
        batch: keyed_log.Batch,
        records: dict[str, directives.Record],
        position: directives.Position,
    ) -> None:
        for key, record in batch.changes:
            records.pop(key, None)
            if record.value:
                records[key] = record
        if batch.changes and batch.end <= position:
            event_log.warn('directives_discarded', position=position, end=batch.end)
        # Newer directives may have been fetched from a peer while the log was read.
        if batch.end > position and self._active_directives.advance(records, batch.end):
            current = self._active_directives.current
            event_log.emit(
                'directives_applied',
                position=current.position,
                revision=current.revision,
                keys=','.join(change[0] for change in batch.changes),
                zones_out=','.join(sorted(current.zones_out)),
            )
            self._on_applied()

    def _directives_changed(self, current: directives.Directives) -> None:
        if current.position.era == self._era:
            return
        event_log.emit('order_era_began', position=current.position, previous=self._era)
        self._era = current.position.era
        self._await_rewrite()

    def _await_rewrite(self) -> None:
        self._reactor.callLater(clock.to_seconds(_REWRITE_MS), self._rewrite_ended, self._era)

    def _rewrite_ended(self, era: int) -> None:
        # If the log has been restored again, the operator is still writing.
        if era != self._era:
            return
        if self._log_reachable:
            self._active_directives.drop_lost_records()
        else:
            # The operator may have been unable to write as well.
            self._await_rewrite()

    def _record_success(self) -> None:
        self._backoff_ms = _INITIAL_BACKOFF_MS
        if not self._log_reachable:
            self._log_reachable = True
            event_log.emit('store_regained')
            self._notify_reach_changed()

    async def _back_off(self, error: Exception) -> None:
        if self._log_reachable:
            self._log_reachable = False
            event_log.warn('store_lost', reason=error)
            self._notify_reach_changed()
        delay_ms = self._backoff_ms * (1 + self._rng.random()) / 2
        self._backoff_ms = min(_MAX_BACKOFF_MS, self._backoff_ms * _BACKOFF_FACTOR)
        await self._sleep(delay_ms)

    def _notify_reach_changed(self) -> None:
        try:
            self._on_reach_changed()
        except Exception as error:
            # Raised while a failure is handled, it would end the task.
            event_log.error('reach_not_announced', error)

    async def _sleep(self, duration_ms: float) -> None:
        await task.deferLater(self._reactor, clock.to_seconds(duration_ms))
