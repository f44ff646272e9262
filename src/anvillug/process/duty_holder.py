"""Agrees on the holder of the duty through the log, and reports usage while this node holds it."""

from __future__ import annotations

import contextlib
import enum
from collections.abc import Callable
from typing import Any
from typing import Protocol as Interface

from twisted.internet import defer, task

from anvillug import clock, event_log, ids
from anvillug.connection import keyed_log
from anvillug.process import duty_record, duty_settings, duty_state, true_time, usage_counts

_STEP_S = 0.25
# The first beacons of the other nodes, which show their order, arrive within this time.
_START_DELAY_S = 2.0
# Wait after a call of the log or the platform that failed; doubled up to the limit.
_MIN_BACKOFF_S = 0.5
_MAX_BACKOFF_S = 2.0
# Nodes, in the order of names, that see whether the holder does its duty.
_CANDIDATES = 3
_KEY = 'usage'


class ReportOutcome(enum.Enum):
    """Outcome of a report, as far as it is known."""

    ACCEPTED = 'accepted'
    """The platform has received the report."""
    FENCED = 'fenced'
    """The platform has seen a higher token."""
    REJECTED = 'rejected'
    """The platform will not accept the report."""
    UNKNOWN = 'unknown'
    """There is no response, or the platform is overloaded; the report may be sent again."""


class Reporter(Interface):
    """Sends reports to the platform."""

    async def report(
        self,
        record: duty_record.DutyRecord,
        window: usage_counts.Window,
        counts: usage_counts.TenantCounts,
        timeout_ms: float,
    ) -> ReportOutcome:
        """Send the report of a window, with the holder and the token of a record."""


class Fleet(Interface):
    """What the holder needs to know of the other nodes."""

    def rank(self) -> int:
        """Return the number of live nodes before this one in the order of names."""

    def is_isolated(self) -> bool:
        """Return whether this node hears less than half of the others."""

    def is_silent(self, host_id: ids.HostId) -> bool:
        """Return whether the beacons of a node have been missing for longer than a lease."""


class DutyHolder:
    """Holds the duty, or sees to it that another node does.

    Args:
        reactor: Timers.
        time: Clock.
        time_of_day: Estimated time of day.
        log: The log.
        topic: Topic of the record.
        state: Decides who holds the duty.
        settings: Settings of the duty.
        reporter: Sends reports.
        fleet: The other nodes.
        total: Returns the counts of a window.
        on_change: Called when this node becomes or is no longer the holder.
        on_outcome: Called with the outcome of each report.
    """

    def __init__(  # noqa: WPS211 - components that tests replace
        self,
        reactor: Any,
        time: clock.Clock,
        time_of_day: true_time.TrueTime,
        log: keyed_log.KeyedLog,
        topic: str,
        state: duty_state.DutyState,
        settings: duty_settings.DutySettings,
        reporter: Reporter,
        fleet: Fleet,
        total: Callable[[usage_counts.Window], usage_counts.TenantCounts],
        on_change: Callable[[], None],
        on_outcome: Callable[[str], None],
    ) -> None:
        self.state = state
        """Who holds the duty."""
        self.last_accepted = usage_counts.Window(0)
        """Last window whose report this process knows to be accepted; 0 if there is none."""
        self._reactor = reactor
        self._clock = time
        self._time_of_day = time_of_day
        self._log = log
        self._topic = topic
        self._settings = settings
        self._reporter = reporter
        self._fleet = fleet
        self._total = total
        self._on_change = on_change
        self._on_outcome = on_outcome
        self._backoff_s = _MIN_BACKOFF_S
        self._read_at = clock.Milliseconds(-1)
        self._was_silent = False
        self._must_look = False
        self._stops = False
        self._pausing: defer.Deferred[None] = defer.succeed(None)

    def start(self) -> None:
        """Start the task, which runs until the process ends or `stop` has had its effect."""
        defer.ensureDeferred(self._run())

    def look(self) -> None:
        """Read the record soon, since the holder seems to have released the duty."""
        self._must_look = True

    def stop(self) -> None:
        """Stop reporting, and release the duty as soon as no report is on its way.

        A call in progress is not cancelled: its outcome tells whether the next holder has to
        repeat the report. Nobody has to wait for the release; without it, the lease runs out.
        """
        self._stops = True
        self._pausing.cancel()

    async def _run(self) -> None:
        await self._pause(_START_DELAY_S)
        while not self._has_ended():
            was_holder = self.state.is_holder
            try:
                is_done = await self._step()
            except keyed_log.LogUnavailableError as error:
                event_log.warn('duty_log_unavailable', reason=error)
                is_done = False
            except Exception as error:
                # A record that cannot be decoded must not end the task.
                event_log.error('duty_failed', error)
                self.state.must_read()
                is_done = False
            if self.state.is_holder != was_holder:
                self._changed()
            await self._pause(self._pause_s(is_done))

    def _has_ended(self) -> bool:
        """Return whether this process is stopping and is certain not to hold the duty."""
        state = self.state
        is_known = state.end is not None or state.record is None
        return self._stops and is_known and not state.is_holder

    async def _pause(self, pause_s: float) -> None:
        self._pausing = task.deferLater(self._reactor, pause_s)
        with contextlib.suppress(defer.CancelledError):
            await self._pausing

    def _pause_s(self, is_done: bool) -> float:
        if is_done:
            self._backoff_s = _MIN_BACKOFF_S
            return _STEP_S
        pause_s = self._backoff_s
        self._backoff_s = min(_MAX_BACKOFF_S, 2 * pause_s)
        return pause_s

    async def _step(self) -> bool:
        """Do what is due; return whether nothing failed."""
        if self._stops:
            await self._release()
            return True
        if not self.state.is_holder:
            await self._watch()
            return True
        if self.state.end is None:
            await self._read()
        if self.state.is_holder:
            return await self._perform()
        return True

    async def _release(self) -> None:
        if self.state.end is None:
            await self._read()
        record = self.state.record
        if record is not None and self.state.may_release(self._clock.now()):
            settled = self.state.settled(self._time_of_day.now())
            await self._append(duty_record.release(record, settled))

    async def _watch(self) -> None:
        """Take over if a report is overdue, or its holder is silent or has released the duty."""
        rank = self._fleet.rank()
        due_at = self.state.check_due_at(rank)
        now = self._time_of_day.now()
        is_silent = self._is_holder_silent()
        turned_silent = is_silent and not self._was_silent
        self._was_silent = is_silent
        must_look = self._must_look or self._is_released()
        if rank >= _CANDIDATES or (now < due_at and not is_silent and not must_look):
            return
        must_read = self._read_at < due_at <= now or turned_silent or self._must_look
        if self.state.end is None or must_read:
            await self._read()
            self._read_at = now
            self._must_look = False
            is_overdue = self._time_of_day.now() >= self.state.check_due_at(rank)
            if not (is_overdue or self._is_holder_silent() or self._is_released()):
                return
        if self._stops:
            return
        if self.state.may_take_over(self._situation()):
            await self._take_token()

    def _is_holder_silent(self) -> bool:
        record = self.state.record
        return record is not None and self._fleet.is_silent(record.host_id)

    def _is_released(self) -> bool:
        record = self.state.record
        return record is not None and record.is_released

    async def _perform(self) -> bool:
        """Fix the reports that are due, and send those that were not accepted."""
        situation = self._situation()
        if self.state.needs_token() and self.state.may_take_over(situation):
            await self._take_token()
        record = self.state.record
        if record is None or self.state.needs_token():
            return True
        fixed = {window: self._total(window) for window in self.state.due_windows(situation)}
        settled = self.state.settled(situation.time_of_day)
        waiting = [window for window in (*record.pending, *fixed) if window not in settled]
        must_append = bool(fixed) or bool(waiting and not self.state.may_act(situation.now))
        # The reports are in the log before one is sent, so that another holder repeats them.
        if must_append and not await self._append(duty_record.renew(record, fixed, settled)):
            return True
        return await self._send(waiting)

    async def _send(self, windows: list[usage_counts.Window]) -> bool:
        for window in windows:
            record = self.state.record
            if record is None or window not in record.pending:
                continue
            if self._stops or not self.state.may_act(self._clock.now()):
                return True
            outcome = await self._reporter.report(
                record, window, record.pending[window], self.state.call_timeout_ms
            )
            self._on_outcome(outcome.value)
            event_log.emit('usage_report', window=window, token=record.token, outcome=outcome.value)
            if outcome is ReportOutcome.FENCED:
                self.state.fenced()
                return False
            if outcome is ReportOutcome.UNKNOWN:
                self.state.call_failed(self._clock.now())
                return False
            self.state.accepted.add(window)
            if outcome is ReportOutcome.ACCEPTED:
                self.last_accepted = max(self.last_accepted, window)
        return True

    async def _take_token(self) -> None:
        end = self.state.end
        if end is not None:
            settings = self._settings
            record = duty_record.take_over(
                self.state.record,
                end,
                self.state.process,
                self._time_of_day.now(),
                settings.window_ms,
                settings.late_ms,
            )
            await self._append(record)

    async def _append(self, record: duty_record.DutyRecord) -> bool:
        """Append a record; return whether it is the newest one."""
        end = self.state.end
        if end is None:
            return False
        started_at = self._clock.now()
        value = duty_record.encode(record)
        try:
            position = await self._log.append(self._topic, _KEY, value, expected_end=end.offset)
        except keyed_log.ConditionFailedError:
            self.state.must_read()
            return False
        except keyed_log.LogUnavailableError:
            # The record may have been appended, or is appended later.
            self.state.must_read()
            raise
        return self.state.written(record, position, started_at, self._clock.now())

    async def _read(self) -> None:
        batch = await self._log.newest(self._topic)
        newest = None
        for key, record in batch.changes:
            if key == _KEY:
                if record.position.offset + 1 != batch.end.offset:
                    raise keyed_log.LogUnavailableError('duty record changed during the read')
                newest = _decode(record.value)
        self.state.observe(newest, batch.end, self._clock.now())

    def _situation(self) -> duty_state.Situation:
        return duty_state.Situation(
            self._clock.now(),
            self._time_of_day.now(),
            self._fleet.rank(),
            self._fleet.is_isolated(),
        )

    def _changed(self) -> None:
        record = self.state.record
        if record is not None:
            event = 'duty_released' if record.process == self.state.process else 'duty_lost'
            event_log.emit(
                'duty_taken' if self.state.is_holder else event,
                holder=record.host_id,
                token=record.token,
                since_ms=record.since_ms,
                next_window=record.next_window,
            )
        self._on_change()


def _decode(content: bytes) -> duty_record.DutyRecord | None:
    """Return a record; a malformed one is replaced as if its content had been lost."""
    try:
        return duty_record.decode(content)
    except ValueError as error:
        event_log.warn('duty_record_malformed', reason=error)
        return None
