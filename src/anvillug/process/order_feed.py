"""Follows the operator's topic and puts what it says into effect.

Every node reads the newest records once. After that a few nodes of each zone follow the topic,
and the others hear from their beacons; see `process/follower_duty.py`.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from twisted.internet import defer, task

from anvillug import clock, event_log
from anvillug.connection import keyed_log
from anvillug.version import directives

# A connection that has gone silent is noticed at the end of a long poll. Outages last 4.5 s or
# more, so each is noticed while it lasts; beacons tell of newer directives meanwhile.
_POLL_MS = 4000
_FIRST_PAUSE_MS = 80.0
_LONGEST_PAUSE_MS = 600.0
_PAUSE_FACTOR = 1.8
# A node that need not follow looks this often whether it has to.
_IDLE_CHECK_MS = 150.0


class OrderFeed:
    """Follows the operator's topic.

    Args:
        reactor: Timers.
        log: The log.
        topic: Topic that the operator writes to.
        board: Receives the records.
        rng: Source of randomness.
        has_duty: Tells whether this node has to follow the topic now.
        on_applied: Called when something new was read from the topic.
    """

    def __init__(
        self,
        reactor: Any,
        log: keyed_log.KeyedLog,
        topic: str,
        board: directives.DirectiveBoard,
        rng: random.Random,
        has_duty: Callable[[], bool],
        on_applied: Callable[[], None],
    ) -> None:
        self._reactor = reactor
        self._log = log
        self._topic = topic
        self._board = board
        self._rng = rng
        self._has_duty = has_duty
        self._on_applied = on_applied
        self._has_log = True
        self._has_read = False
        self._follows = True
        self._pause_ms = _FIRST_PAUSE_MS

    @property
    def reaches_log(self) -> bool:
        """Whether the last attempt to read the topic has succeeded, or none was made."""
        return self._has_log

    def start(self) -> defer.Deferred[None]:
        """Follow the topic until the returned Deferred is cancelled."""
        return defer.ensureDeferred(self._follow())

    async def _follow(self) -> None:
        while True:
            try:
                await self._step()
            except keyed_log.LogUnavailableError as error:
                await self._failed(error)
            except defer.CancelledError:
                return
            except Exception as error:
                # A record that nothing can read must not end the task.
                event_log.error('order_feed_failed', error)
                await self._failed(error)

    async def _step(self) -> None:
        """Read the newest records once, and then only what comes after them."""
        position = self._board.current.position
        if not self._has_read:
            await self._read_newest()
            return
        follows = self._has_duty()
        if follows is not self._follows:
            self._follows = follows
            event_log.emit('order_duty', follows=follows, position=position)
        if self._has_log and not follows:
            await self._sleep(_IDLE_CHECK_MS)
            return
        try:
            batch = await self._log.read(self._topic, position, _POLL_MS)
        except keyed_log.HistoryDroppedError:
            event_log.emit('order_history_dropped', position=position)
            await self._read_newest()
            return
        self._reached()
        self._apply(batch, dict(self._board.current.records), position)

    async def _read_newest(self) -> None:
        batch = await self._log.newest(self._topic)
        self._reached()
        self._has_read = True
        self._apply(batch, {}, self._board.current.position)

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
        # A node may have told newer directives while the store answered.
        if batch.end > position and self._board.advance(records, directives.Position(batch.end)):
            current = self._board.current
            event_log.emit(
                'directives_applied',
                position=current.position,
                revision=current.revision,
                keys=','.join(change[0] for change in batch.changes),
                zones_out=','.join(sorted(current.zones_out)),
            )
            self._on_applied()

    def _reached(self) -> None:
        self._pause_ms = _FIRST_PAUSE_MS
        if not self._has_log:
            self._has_log = True
            event_log.emit('store_regained')

    async def _failed(self, error: Exception) -> None:
        if self._has_log:
            self._has_log = False
            event_log.warn('store_lost', reason=error)
        pause = self._pause_ms * (1 + self._rng.random()) / 2
        self._pause_ms = min(_LONGEST_PAUSE_MS, self._pause_ms * _PAUSE_FACTOR)
        await self._sleep(pause)

    async def _sleep(self, duration_ms: float) -> None:
        await task.deferLater(self._reactor, clock.to_seconds(duration_ms))
