"""Quarantine of calls that crash backend servers.

When a backend server crashes, the fingerprints of the calls that it was running become suspect. A
second crash with the same fingerprint within a time window, on any node, quarantines it. Nodes
exchange entries; the merge is a union of crash ids, so entries may arrive twice and in any order.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
from collections.abc import Collection, Iterable
from typing import NamedTuple

import xxhash

from anvillug import clock, ids

_LENGTH_BYTES = 8
# Two crash ids are enough for a quarantine; a few more are retained so that nodes agree.
_MAX_CRASH_IDS = 4


class QuarantineState(enum.Enum):
    """Treatment of calls with a fingerprint."""

    CLEAR = 'clear'
    SUSPECT = 'suspect'
    """May run, but only one suspect call at a time."""
    QUARANTINED = 'quarantined'
    """Rejected as not run."""


class LossCause(enum.Enum):
    """Why calls lost the connection to their backend server."""

    CRASHED = 'crashed'
    LEFT = 'left'
    CONNECTIONS_LOST = 'cut'
    """The backend server continues to run."""


# Fingerprints recorded as finished; they take about 400 kB.
_MAX_FINISHED_FINGERPRINTS = 4096
_FINISHED_CLEARS_MS = 600_000.0


class QuarantineEntry(NamedTuple):
    """Entry of one fingerprint that nodes exchange."""

    fingerprint: ids.Fingerprint
    """Fingerprint of the call."""
    crash_ids: tuple[str, ...]
    """Crashes in which the call was running."""
    quarantine_ms: float
    """Milliseconds until the quarantine ends; 0 for a suspect."""
    suspect_ms: float
    """Milliseconds until the fingerprint is clear again."""


class Periods(NamedTuple):
    """Limits of a quarantine in time and memory."""

    suspect_ms: float = 60_000
    """Window in which a second crash counts."""
    quarantine_ms: float = 600_000
    """Length of a quarantine; the fingerprint is suspect again for the window after it."""
    entries: int = 10_000
    """Maximum number of fingerprints; beyond it, the one changed least recently is evicted."""


_DEFAULT_PERIODS = Periods()


class RequestHash:
    """Fingerprint of a request, computed while its body passes.

    It covers the whole body: requests that differ only at the end are different ones, and one that
    finishes must not clear another one of suspicion.

    Args:
        parts: What identifies the request besides its body: service, caller, method and path with
            the query, each as far as it is known.
    """

    def __init__(self, *parts: str) -> None:
        self._digest = xxhash.xxh3_128()
        for part in parts:
            # The length distinguishes ("a", "bc") from ("ab", "c").
            encoded = part.encode()
            self._digest.update(len(encoded).to_bytes(_LENGTH_BYTES, 'big'))
            self._digest.update(encoded)

    def update(self, data: bytes) -> None:
        """Add a part of the body."""
        self._digest.update(data)

    @property
    def fingerprint(self) -> ids.Fingerprint:
        """128 bits in hexadecimal digits, of the request as far as its body has passed."""
        return ids.Fingerprint(self._digest.hexdigest())


def fingerprint(*parts: str, body: bytes) -> ids.Fingerprint:
    """Return the fingerprint of a request whose body is complete.

    Args:
        parts: See `RequestHash`.
        body: The whole body.
    """
    request_hash = RequestHash(*parts)
    request_hash.update(body)
    return request_hash.fingerprint


def loss_cause(*, was_leaving: bool, new_incarnation: bool, connect_refused: bool) -> LossCause:
    """Return the cause of the loss of connections without a response.

    Args:
        was_leaving: Whether the backend server had announced its leave or was draining.
        new_incarnation: Whether another incarnation has been announced since.
        connect_refused: Whether new connections are refused.

    Returns:
        `CRASHED` only if the backend server is known to have ended without announcing it.
    """
    if was_leaving:
        return LossCause.LEFT
    if new_incarnation or connect_refused:
        return LossCause.CRASHED
    return LossCause.CONNECTIONS_LOST


@dataclasses.dataclass(slots=True)
class _FingerprintRecord:
    crash_ids: tuple[str, ...]
    suspect_until: float
    quarantined_until: float = 0

    def state(self, now: float) -> QuarantineState:
        if now < self.quarantined_until:
            return QuarantineState.QUARANTINED
        return QuarantineState.SUSPECT if now < self.suspect_until else QuarantineState.CLEAR


class Quarantine:
    """Table of the suspect and quarantined fingerprints at one node.

    Args:
        origin: Prefix of this node's crash ids, such as `<host id>.<incarnation>`.
        periods: Limits in time and memory.
    """

    def __init__(self, origin: str, periods: Periods = _DEFAULT_PERIODS) -> None:
        self._origin = origin
        self._periods = periods
        self._crashes = 0
        # Ordered by last change, which is approximately the order of expiry.
        self._by_fingerprint: collections.OrderedDict[ids.Fingerprint, _FingerprintRecord] = (
            collections.OrderedDict()
        )
        self._running_suspect: ids.CallId | None = None
        self._finished_at: collections.OrderedDict[ids.Fingerprint, float] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._by_fingerprint)

    def check(self, call_fingerprint: ids.Fingerprint, now: clock.Milliseconds) -> QuarantineState:
        """Return the treatment of a fingerprint."""
        record = self._by_fingerprint.get(call_fingerprint)
        if record is None:
            return QuarantineState.CLEAR
        state = record.state(now)
        if state is QuarantineState.CLEAR:
            self._by_fingerprint.pop(call_fingerprint)
        return state

    def start_suspect(self, call_id: ids.CallId) -> bool:
        """Reserve the single place for a running suspect call.

        Args:
            call_id: Id of the call.

        Returns:
            Whether no other suspect runs; the call then holds the place until `end_suspect`.
        """
        if self._running_suspect not in {None, call_id}:
            return False
        self._running_suspect = call_id
        return True

    def end_suspect(self, call_id: ids.CallId) -> None:
        """Release the place of a suspect call; does nothing for any other call."""
        if self._running_suspect == call_id:
            self._running_suspect = None

    def finished(self, call_fingerprint: ids.Fingerprint, now: clock.Milliseconds) -> None:
        """Record that a call finished: such calls do not crash backend servers.

        A request that crashes every backend server that runs it never finishes.
        Without this, two unrelated crashes while a frequent call runs would quarantine it.

        Args:
            call_fingerprint: Fingerprint of the call.
            now: Monotonic time.
        """
        self._finished_at[call_fingerprint] = now
        self._finished_at.move_to_end(call_fingerprint)
        self._by_fingerprint.pop(call_fingerprint, None)
        if len(self._finished_at) > _MAX_FINISHED_FINGERPRINTS:
            self._finished_at.popitem(last=False)

    def _finished_recently(
        self, call_fingerprint: ids.Fingerprint, now: clock.Milliseconds
    ) -> bool:
        finished_at = self._finished_at.get(call_fingerprint)
        return finished_at is not None and now - finished_at < _FINISHED_CLEARS_MS

    def crashed(
        self,
        fingerprints: Collection[ids.Fingerprint],
        now: clock.Milliseconds,
        cause: LossCause = LossCause.CRASHED,
    ) -> list[QuarantineEntry]:
        """Record the loss of a backend server.

        If suspects were running, the crash is attributed only to them, so that calls that ran
        at the same time do not become suspect.

        Args:
            fingerprints: Fingerprints of the calls that were running on it, in the order in which
                they were sent. A request that crashes a backend server does so when it begins, so
                the newest are the most likely cause.
            now: Monotonic time.
            cause: Only `CRASHED` creates suspicion.

        Returns:
            New entries to send to other nodes.
        """
        if cause is not LossCause.CRASHED:
            return []
        distinct = [
            call_fingerprint
            for call_fingerprint in dict.fromkeys(fingerprints)
            if not self._finished_recently(call_fingerprint, now)
        ]
        suspects = [
            call_fingerprint
            for call_fingerprint in distinct
            if self.check(call_fingerprint, now) is not QuarantineState.CLEAR
        ]
        self._crashes += 1
        crash_id = f'{self._origin}.{self._crashes}'
        attributed = suspects or distinct
        records = [
            (call_fingerprint, self._add_crashes(call_fingerprint, (crash_id,), now))
            for call_fingerprint in attributed
        ]
        self._evict_excess()
        return [self._entry(call_fingerprint, record, now) for call_fingerprint, record in records]

    def merge(
        self, entries: Iterable[QuarantineEntry], now: clock.Milliseconds
    ) -> list[QuarantineEntry]:
        """Merge entries of other nodes.

        An entry without a new crash id changes nothing, so the exchange of entries
        never extends a quarantine.

        Args:
            entries: Entries received.
            now: Monotonic time.

        Returns:
            The entries with a new crash id, to be sent to other nodes.
        """
        accepted = []
        for entry in entries:
            record = self._by_fingerprint.get(entry.fingerprint)
            recorded_crash_ids = record.crash_ids if record else ()
            new_crash_ids = tuple(
                received_id
                for received_id in entry.crash_ids
                if received_id not in recorded_crash_ids
            )
            finished_recently = self._finished_recently(entry.fingerprint, now)
            if new_crash_ids and entry.suspect_ms > 0 and not finished_recently:
                self._merge_crashes(entry, new_crash_ids, now)
                accepted.append(entry)
        self._evict_excess()
        return accepted

    def entries(self, now: clock.Milliseconds) -> list[QuarantineEntry]:
        """Return all entries that are not clear, for a node that requests them."""
        return [
            self._entry(call_fingerprint, record, now)
            for call_fingerprint, record in self._by_fingerprint.items()
            if record.state(now) is not QuarantineState.CLEAR
        ]

    def most_suspect(self, now: clock.Milliseconds, count: int) -> list[QuarantineEntry]:
        """Return the entries that other nodes need most: the quarantined, then the newest.

        Args:
            now: Monotonic time.
            count: Max number of entries.
        """
        by_need = sorted(self.entries(now), key=lambda entry: entry.quarantine_ms > 0)
        return by_need[-count:]

    def expire(self, now: clock.Milliseconds) -> None:
        """Remove the fingerprints that are clear again."""
        clear = [
            call_fingerprint
            for call_fingerprint, record in self._by_fingerprint.items()
            if record.state(now) is QuarantineState.CLEAR
        ]
        for call_fingerprint in clear:
            self._by_fingerprint.pop(call_fingerprint)

    def _merge_crashes(
        self, entry: QuarantineEntry, crash_ids: tuple[str, ...], now: clock.Milliseconds
    ) -> None:
        self.check(entry.fingerprint, now)  # removes an expired record
        record = self._by_fingerprint.get(entry.fingerprint)
        if record is not None and entry.quarantine_ms <= 0:
            self._add_crashes(entry.fingerprint, crash_ids, now)
            return
        if record is None:
            record = _FingerprintRecord((), 0)
            self._by_fingerprint[entry.fingerprint] = record
        suspect_ms = min(entry.suspect_ms, self._periods.suspect_ms + self._periods.quarantine_ms)
        quarantine_ms = min(entry.quarantine_ms, self._periods.quarantine_ms)
        record.crash_ids = _newest_crash_ids(record.crash_ids + crash_ids)
        record.suspect_until = max(record.suspect_until, now + suspect_ms)
        record.quarantined_until = max(record.quarantined_until, now + quarantine_ms)
        self._by_fingerprint.move_to_end(entry.fingerprint)

    def _add_crashes(
        self, call_fingerprint: ids.Fingerprint, crash_ids: tuple[str, ...], now: clock.Milliseconds
    ) -> _FingerprintRecord:
        record = self._by_fingerprint.get(call_fingerprint)
        if record is None:
            record = _FingerprintRecord(crash_ids, now + self._periods.suspect_ms)
            self._by_fingerprint[call_fingerprint] = record
        else:
            record.crash_ids = _newest_crash_ids(record.crash_ids + crash_ids)
            record.quarantined_until = now + self._periods.quarantine_ms
            record.suspect_until = record.quarantined_until + self._periods.suspect_ms
        self._by_fingerprint.move_to_end(call_fingerprint)
        return record

    def _entry(
        self, call_fingerprint: ids.Fingerprint, record: _FingerprintRecord, now: clock.Milliseconds
    ) -> QuarantineEntry:
        return QuarantineEntry(
            fingerprint=call_fingerprint,
            crash_ids=record.crash_ids,
            quarantine_ms=max(0, record.quarantined_until - now),
            suspect_ms=max(0, record.suspect_until - now),
        )

    def _evict_excess(self) -> None:
        while len(self._by_fingerprint) > self._periods.entries:
            self._by_fingerprint.popitem(last=False)


def _newest_crash_ids(crash_ids: tuple[str, ...]) -> tuple[str, ...]:
    return crash_ids[-_MAX_CRASH_IDS:]
