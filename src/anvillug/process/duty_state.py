"""Decides whether this node holds the duty, may act for it, or may take it over.

A holder acts within half a lease of the start of an append that succeeded, and its calls time out
within another quarter. Another node takes over only if the record has not changed for two leases
since that node read it. So a lease passes between the acts of two holders, whatever their clocks
show, and a former holder that takes the duty back comes later than a lease.

A holder that has released the duty never acts again, so that nobody waits for its lease. It has
held the duty for a lease by then, so that its predecessor, if it is the next holder as well, comes
later than that too.
"""

from __future__ import annotations

from typing import NamedTuple

from anvillug import clock
from anvillug.process import duty_record, duty_settings, usage_counts
from anvillug.version import directives

SETTLE_MS = 2000.0
"""Time in milliseconds after the end of a window, or after a change of the holder, until the counts
of all nodes have arrived."""

_ACT_SHARE = 0.5
_CALL_SHARE = 0.25
_TAKE_OVER_LEASES = 2.0
# A report is overdue when it is not fixed this long after the counts have arrived.
_OVERDUE_MS = 1500.0
_ORDER_MS = 500.0
# A node that hears less than half of the others lacks their counts. It leaves the duty to better
# connected ones: it takes over later by the first time, and fixes a report only when the second is
# left before the report is late.
_ISOLATED_MS = 3000.0
_ISOLATED_LEFT_MS = 1000.0


class Situation(NamedTuple):
    """What a decision depends on besides the records."""

    now: clock.Milliseconds
    """Monotonic time."""
    time_of_day: clock.Milliseconds
    """Estimated milliseconds since the Unix epoch."""
    rank: int
    """Number of live nodes before this one in the order of names."""
    is_isolated: bool
    """Whether this node hears less than half of the others."""


class DutyState:
    """The newest known record, and what follows from it.

    Args:
        process: This process.
        settings: Settings of the duty.
    """

    def __init__(self, process: usage_counts.Process, settings: duty_settings.DutySettings) -> None:
        self.process = process
        """This process."""
        self.record: duty_record.DutyRecord | None = None
        """Newest known record."""
        self.end: directives.Position | None = None
        """End of the topic after that record; None if the log has to be read before an append."""
        self.accepted: set[usage_counts.Window] = set()
        """Windows whose reports were accepted or rejected for good."""
        self._settings = settings
        self._seen_at = clock.Milliseconds(0)
        self._acts_until = clock.Milliseconds(0)
        self._held_from = clock.Milliseconds(0)
        self._releases_from = clock.Milliseconds(0)
        self._fenced_token = duty_record.Token(-1)

    @property
    def is_holder(self) -> bool:
        """Whether this process is the holder as far as it knows."""
        record = self.record
        is_own = record is not None and record.process == self.process
        return is_own and not record.is_released

    @property
    def call_timeout_ms(self) -> float:
        """Time in milliseconds after which a call to the platform is cancelled."""
        return self._settings.lease_ms * _CALL_SHARE

    def observe(
        self,
        record: duty_record.DutyRecord | None,
        end: directives.Position,
        now: clock.Milliseconds,
    ) -> None:
        """Take over the newest record, which has just been read."""
        if (end, record) != (self.end, self.record):
            self._seen_at = now
        self._set(record, end, now)

    def written(
        self,
        record: duty_record.DutyRecord,
        position: directives.Position,
        started_at: clock.Milliseconds,
        now: clock.Milliseconds,
    ) -> bool:
        """Take over a record of this process that has been appended.

        Args:
            record: The record.
            position: Its position.
            started_at: When the append was sent.
            now: Monotonic time.

        Returns:
            Whether the record is in the expected place; else the log was restored meanwhile and
            has to be read.
        """
        if self.end is None or position != self.end:
            self.end = None
            return False
        self._set(record, directives.Position(position.era, position.offset + 1), now)
        self._acts_until = clock.Milliseconds(started_at + self._settings.lease_ms * _ACT_SHARE)
        return True

    def must_read(self) -> None:
        """Require a read: another node has appended, or the outcome of an append is unknown."""
        self.end = None
        self._acts_until = clock.Milliseconds(0)

    def fenced(self) -> None:
        """Stop using the token, since the platform has seen a higher one."""
        if self.record is not None:
            self._fenced_token = self.record.token
        self.must_read()

    def call_failed(self, now: clock.Milliseconds) -> None:
        """Put off a release, since a call to the platform may be carried out late."""
        self._releases_from = clock.Milliseconds(now + self._settings.lease_ms)

    def may_release(self, now: clock.Milliseconds) -> bool:
        """Return whether this process, which has stopped to act, may append a release."""
        return self.is_holder and self.end is not None and now >= self._releases_from

    def needs_token(self) -> bool:
        """Return whether the holder must take a new token before it acts."""
        record = self.record
        if record is None or self.end is None:
            return True
        return record.era != self.end.era or record.token <= self._fenced_token

    def may_act(self, now: clock.Milliseconds) -> bool:
        """Return whether a call to the platform may be sent now."""
        is_current = self.is_holder and not self.needs_token()
        return is_current and now <= self._acts_until

    def check_due_at(self, rank: int) -> clock.Milliseconds:
        """Return the time of day from which another node should see whether the duty is done."""
        if self.record is None:
            return clock.Milliseconds(0)
        delay_ms = SETTLE_MS + _OVERDUE_MS + rank * _ORDER_MS
        return clock.Milliseconds(self._end_of(self.record.next_window) + delay_ms)

    def may_take_over(self, situation: Situation) -> bool:
        """Return whether this process may append a record that makes it the holder."""
        if self.end is None:
            return False
        if self._is_of_this_host(self.end):
            return True
        wait_ms = situation.rank * _ORDER_MS + situation.is_isolated * _ISOLATED_MS
        # Without any record nobody can hold the duty.
        if self.end.offset and not self._is_released(self.end):
            wait_ms += self._settings.lease_ms * _TAKE_OVER_LEASES
        return situation.now - self._seen_at > wait_ms

    def due_windows(self, situation: Situation) -> list[usage_counts.Window]:
        """Return the windows whose reports the holder has to fix now."""
        record = self.record
        if record is None:
            return []
        delay_ms = SETTLE_MS
        if situation.is_isolated:
            delay_ms = max(delay_ms, self._settings.late_ms - _ISOLATED_LEFT_MS)
        if situation.now - self._held_from < SETTLE_MS:
            return []
        window_ms = self._settings.window_ms
        # A window has ended if the next one has begun.
        end = usage_counts.window_at(situation.time_of_day - delay_ms, window_ms)
        start = usage_counts.window_at(situation.time_of_day - self._settings.late_ms, window_ms)
        return [usage_counts.Window(n) for n in range(max(start, record.next_window), end)]

    def settled(self, time_of_day: clock.Milliseconds) -> frozenset[usage_counts.Window]:
        """Return the pending windows that were accepted or are too late to be reported."""
        if self.record is None:
            return frozenset()
        late_ms = self._settings.late_ms
        return frozenset(
            window
            for window in self.record.pending
            if window in self.accepted or self._end_of(window) + late_ms < time_of_day
        )

    def _is_of_this_host(self, end: directives.Position) -> bool:
        """Return whether this process or a former one of its host is certain to be the holder."""
        record = self.record
        if record is None or record.host_id != self.process[0]:
            return False
        return record.era == end.era and record.token > self._fenced_token

    def _is_released(self, end: directives.Position) -> bool:
        """Return whether the newest holder has certainly released the duty."""
        record = self.record
        # A restored log may have lost the records of a later holder.
        return record is not None and record.is_released and record.era == end.era

    def _set(
        self,
        record: duty_record.DutyRecord | None,
        end: directives.Position,
        now: clock.Milliseconds,
    ) -> None:
        was_holder = self.is_holder
        self.record = record
        self.end = end
        if self.is_holder and not was_holder:
            self._held_from = now
            self._releases_from = clock.Milliseconds(now + self._settings.lease_ms)
        pending = {} if record is None else record.pending
        self.accepted.intersection_update(pending)

    def _end_of(self, window: usage_counts.Window) -> float:
        return (window + 1) * self._settings.window_ms
