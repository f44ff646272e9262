"""Task that follows the configuration stream and notifies listeners of each new state."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable
from typing import Any

from twisted.internet import defer, interfaces, task

from anvillug import clock, event_log
from anvillug.connection import log_client, log_record
from anvillug.version import fold, reader

Listener = Callable[[fold.ConfigState], None]

_WAIT_MS = 10_000
_MIN_BACKOFF_MS = 100
# A configuration must be in effect within 18 s; with this limit a node detects in time that the
# log is available again.
_MAX_BACKOFF_MS = 5000
DEFAULT_RETENTION_MS = 24 * 3_600_000
# A snapshot is required at least once per half of the retention time. It is due after a quarter,
# which leaves another quarter for outages of the log.
_SNAPSHOT_INTERVAL_RATIO = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Options of a follower."""

    should_snapshot: Callable[[fold.ConfigState], bool] = lambda state: False
    """Returns whether this node is currently the one that appends snapshots."""
    retention_ms: int = DEFAULT_RETENTION_MS
    """Retention time of records in the log."""
    rng: random.Random = dataclasses.field(default_factory=random.Random)
    """Source of the jitter of delays."""


class ConfigFollower:
    """Holds the configuration state of this node and updates it from the log.

    Args:
        client: Access to the log.
        timer: Reactor for timers.
        time: Clock.
        options: Options; the defaults if `None`.
    """

    def __init__(
        self,
        client: log_record.LogClient,
        timer: interfaces.IReactorTime,
        time: clock.Clock,
        options: Options | None = None,
    ) -> None:
        self._client = client
        self._timer: Any = timer
        self._time = time
        self._options = Options() if options is None else options
        self._reader = reader.ConfigReader(client)
        self._listeners: list[Listener] = []
        self._notified_state = self._reader.state
        self._last_contact_at: clock.Milliseconds | None = None
        self._current_failure = 'not yet read'
        self._backoff_ms = _MIN_BACKOFF_MS
        self._task: defer.Deferred[None] | None = None

    @property
    def state(self) -> fold.ConfigState:
        """Return the configuration state in effect."""
        return self._reader.state

    @property
    def log_reachable(self) -> bool:
        """Whether the last read of the log succeeded."""
        return not self._current_failure

    def add_listener(self, listener: Listener) -> None:
        """Register a function to be called with each state whose configuration has changed."""
        self._listeners.append(listener)

    def start(self) -> None:
        """Start following the stream."""
        self._task = defer.Deferred.fromCoroutine(self._run())
        self._task.addErrback(_report_failure)

    def stop(self) -> None:
        """Stop following the stream; the state is retained."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def offer(self, state: fold.ConfigState) -> bool:
        """Apply the state of a peer if it covers more of the stream.

        Args:
            state: State of the peer.

        Returns:
            Whether the state was applied.
        """
        applied = self._reader.offer(state)
        if applied:
            self._notify_listeners()
        return applied

    def dump(self) -> dict[str, Any]:
        """Return the state of the follower for operators."""
        age_ms = None if self._last_contact_at is None else self._time.now() - self._last_contact_at
        return {
            'number': self.state.number,
            'next_offset': self.state.next_offset,
            'log_reachable': not self._current_failure,
            'log_failure': self._current_failure,
            'last_contact_age_ms': age_ms,
        }

    async def _run(self) -> None:
        while True:
            try:
                await self._follow_once()
            except defer.CancelledError:
                raise
            except fold.GapError as error:
                self._last_contact_at = self._time.now()
                self._record_failure(f'waiting for the state of a peer: {error}')
                await task.deferLater(self._timer, self._next_delay_s())
            except Exception as error:
                # An unexpected failure, for example in a listener, must not end the task either.
                self._record_failure(str(error) or repr(error))
                await task.deferLater(self._timer, self._next_delay_s())

    async def _follow_once(self) -> None:
        previous_offset = self._reader.state.next_offset
        await self._reader.poll(0 if self._last_contact_at is None else _WAIT_MS)
        self._record_contact()
        # A log that returns an empty page without waiting must not cause a busy loop.
        if self._reader.state.next_offset == previous_offset:
            await task.deferLater(self._timer, clock.to_seconds(_MIN_BACKOFF_MS))
        self._notify_listeners()
        if self._is_snapshot_due() and self._options.should_snapshot(self.state):
            record = fold.snapshot_record(self.state)
            await self._client.append(log_client.CONFIGURATION_STREAM, record)
            event_log.emit('config_snapshot_appended', number=self.state.number)

    def _is_snapshot_due(self) -> bool:
        if self.state.next_offset == 0 or self.state.next_offset < self._reader.log_next:
            return False
        last_snapshot_at = self._reader.last_snapshot_at
        interval_ms = self._options.retention_ms * _SNAPSHOT_INTERVAL_RATIO
        return last_snapshot_at is None or self._time.wall() - last_snapshot_at >= interval_ms

    def _notify_listeners(self) -> None:
        state = self._reader.state
        if _same_config(state, self._notified_state):
            return
        self._notified_state = state
        event_log.emit('config_in_effect', number=state.number, next_offset=state.next_offset)
        for listener in self._listeners:
            listener(state)

    def _record_contact(self) -> None:
        if self._current_failure:
            event_log.emit('config_log_reachable', number=self.state.number)
        self._current_failure = ''
        self._backoff_ms = _MIN_BACKOFF_MS
        self._last_contact_at = self._time.now()

    def _record_failure(self, failure: str) -> None:
        if failure != self._current_failure:
            event_log.warn('config_log_failed', failure=failure, number=self.state.number)
        self._current_failure = failure

    def _next_delay_s(self) -> float:
        delay_ms = self._backoff_ms * self._options.rng.uniform(0.5, 1)
        self._backoff_ms = min(_MAX_BACKOFF_MS, self._backoff_ms * 2)
        return clock.to_seconds(delay_ms)


def _same_config(one: fold.ConfigState, other: fold.ConfigState) -> bool:
    return (one.number, one.moves_by_service) == (other.number, other.moves_by_service)


def _report_failure(failure: Any) -> None:
    if failure.check(defer.CancelledError) is None:
        event_log.warn('config_follower_ended', failure=failure.getTraceback())
