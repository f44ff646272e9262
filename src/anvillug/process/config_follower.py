"""Task that follows the configuration stream and tells each new state."""

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
# A configuration is in effect within 18 s, so a log that is back is found in time.
_MAX_BACKOFF_MS = 5000
DEFAULT_RETENTION_MS = 24 * 3_600_000
# Half the retention is the bound; a quarter leaves as long again for outages.
_SNAPSHOT_PART = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Choices of the owner of a follower."""

    should_snapshot: Callable[[fold.ConfigState], bool] = lambda state: False
    """Whether this node is the one to append snapshots now."""
    retention_ms: int = DEFAULT_RETENTION_MS
    """Time for which the log retains records."""
    rng: random.Random = dataclasses.field(default_factory=random.Random)
    """Source of the jitter of delays."""


class ConfigFollower:
    """Owner of this node's configuration state.

    Args:
        client: Access to the log.
        timer: Reactor that runs the delays.
        time: Source of monotonic and wall time.
        options: Choices of the owner.
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
        self._told = self._reader.state
        self._last_contact: clock.Milliseconds | None = None
        self._failure = 'not yet read'
        self._backoff_ms = _MIN_BACKOFF_MS
        self._task: defer.Deferred[None] | None = None

    @property
    def state(self) -> fold.ConfigState:
        """Return the state in effect."""
        return self._reader.state

    @property
    def log_reachable(self) -> bool:
        """Whether the last read of the log succeeded."""
        return not self._failure

    def add_listener(self, listener: Listener) -> None:
        """Call a function with each state whose configuration differs from the one before."""
        self._listeners.append(listener)

    def start(self) -> None:
        """Start to follow the stream."""
        self._task = defer.Deferred.fromCoroutine(self._run())
        self._task.addErrback(_report_failure)

    def stop(self) -> None:
        """Stop to follow the stream; the state stays."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def feed(self, state: fold.ConfigState) -> bool:
        """Take a peer's state when it covers more of the stream.

        Args:
            state: The peer's state.

        Returns:
            Whether the state was taken.
        """
        taken = self._reader.offer(state)
        if taken:
            self._tell()
        return taken

    def dump(self) -> dict[str, Any]:
        """Return what operators see of the follower."""
        age_ms = None if self._last_contact is None else self._time.now() - self._last_contact
        return {
            'number': self.state.number,
            'next_offset': self.state.next_offset,
            'log_reachable': not self._failure,
            'log_failure': self._failure,
            'last_contact_age_ms': age_ms,
        }

    async def _run(self) -> None:
        while True:
            try:
                await self._follow_once()
            except defer.CancelledError:
                raise
            except fold.GapError as error:
                self._last_contact = self._time.now()
                self._note_failure(f'waiting for the state of a peer: {error}')
                await task.deferLater(self._timer, self._next_delay())
            except Exception as error:
                # Also an unexpected failure, such as a listener's, must not end the task.
                self._note_failure(str(error) or repr(error))
                await task.deferLater(self._timer, self._next_delay())

    async def _follow_once(self) -> None:
        before = self._reader.state.next_offset
        await self._reader.poll(0 if self._last_contact is None else _WAIT_MS)
        self._note_contact()
        # An empty page ahead of time, from a log that does not wait, must not spin.
        if self._reader.state.next_offset == before:
            await task.deferLater(self._timer, clock.to_seconds(_MIN_BACKOFF_MS))
        self._tell()
        if self._snapshot_due() and self._options.should_snapshot(self.state):
            record = fold.snapshot_record(self.state)
            await self._client.append(log_client.CONFIGURATION_STREAM, record)
            event_log.emit('config_snapshot_appended', number=self.state.number)

    def _snapshot_due(self) -> bool:
        if self.state.next_offset == 0 or self.state.next_offset < self._reader.log_next:
            return False
        last = self._reader.last_snapshot_at
        interval_ms = self._options.retention_ms * _SNAPSHOT_PART
        return last is None or self._time.wall() - last >= interval_ms

    def _tell(self) -> None:
        state = self._reader.state
        if _same_config(state, self._told):
            return
        self._told = state
        event_log.emit('config_in_effect', number=state.number, next_offset=state.next_offset)
        for listener in self._listeners:
            listener(state)

    def _note_contact(self) -> None:
        if self._failure:
            event_log.emit('config_log_reachable', number=self.state.number)
        self._failure = ''
        self._backoff_ms = _MIN_BACKOFF_MS
        self._last_contact = self._time.now()

    def _note_failure(self, failure: str) -> None:
        if failure != self._failure:
            event_log.warn('config_log_failed', failure=failure, number=self.state.number)
        self._failure = failure

    def _next_delay(self) -> float:
        delay = self._backoff_ms * self._options.rng.uniform(0.5, 1)
        self._backoff_ms = min(_MAX_BACKOFF_MS, self._backoff_ms * 2)
        return clock.to_seconds(delay)


def _same_config(one: fold.ConfigState, other: fold.ConfigState) -> bool:
    return (one.number, one.moves_by_service) == (other.number, other.moves_by_service)


def _report_failure(failure: Any) -> None:
    if failure.check(defer.CancelledError) is None:
        event_log.warn('config_follower_ended', failure=failure.getTraceback())
