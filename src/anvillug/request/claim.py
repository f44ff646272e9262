"""Fold of idempotency claims: the lowest offset for a key within its lifetime wins.

Time in the fold is the time that the log gave to the records, so every reader
that has read the same records holds the same keys.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
from typing import Any

import xxhash

from anvillug import clock, ids

PARTITIONS = 16
"""Streams of claims; a power of two keeps the partitions even."""


class VerdictKind(enum.Enum):
    """Outcome of a claim."""

    WON = 'won'
    LOST = 'lost'
    TOO_EARLY = 'too-early'
    """The history of the key's lifetime or the claim itself is not read yet."""
    EXPIRED = 'expired'
    """The claim was read too late, or was released; the call must not run."""


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Claim of a key for a call that would run on a host."""

    key: ids.IdempotencyKey
    """Key within the service, see `scoped_key`."""
    call_id: ids.CallId
    """Call that would run."""
    host_id: ids.HostId
    """Host whose call table would hold the outcome."""
    incarnation: ids.Incarnation
    """Incarnation of that host side, for a resolve."""


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Outcome of a claim with the winner."""

    kind: VerdictKind
    """Outcome."""
    winner: Claim | None = None
    """Claim that holds the key, when the claim lost."""


@dataclasses.dataclass(frozen=True, slots=True)
class Decided:
    """Verdict of one claim entry at its place in the log."""

    claim: Claim
    """Claim as read."""
    verdict: Verdict
    """`WON`, `LOST`, or `EXPIRED` for a claim released before."""
    time_ms: float
    """Time of its record."""


def scoped_key(service: ids.ServiceName, key: str) -> ids.IdempotencyKey:
    """Return the key of a caller within a service; equal keys of two services differ."""
    return ids.IdempotencyKey(f'{service}/{key}')


def stream_of(key: ids.IdempotencyKey, partitions: int = PARTITIONS) -> str:
    """Return the name of the stream that holds the claims of a key."""
    return f'claims-{xxhash.xxh3_64_intdigest(key.encode()) % partitions:02d}'


def claim_entry(claim: Claim) -> dict[str, Any]:
    """Return the form of a claim in a log record."""
    return {
        'claim': claim.key,
        'call': str(claim.call_id),
        'host': claim.host_id,
        'incarnation': claim.incarnation,
    }


def release_entry(key: ids.IdempotencyKey, call_id: ids.CallId) -> dict[str, Any]:
    """Return the form of a release in a log record."""
    return {'release': key, 'call': str(call_id)}


@dataclasses.dataclass(frozen=True, slots=True)
class _Held:
    claim: Claim
    time_ms: float


class ClaimFold:
    """Keys held in one stream, folded from its records in offset order.

    Args:
        lifetime_ms: Time for which a won claim holds its key; the same on every
            node and below half of the log's retention.
    """

    def __init__(self, lifetime_ms: float) -> None:
        self._lifetime_ms = lifetime_ms
        self._held_by_key: dict[ids.IdempotencyKey, _Held] = {}
        self._released: set[ids.CallId] = set()
        # What to drop when its lifetime is over, in the order of the log.
        self._hold_ends: collections.deque[tuple[float, _Held]] = collections.deque()
        self._release_ends: collections.deque[tuple[float, ids.CallId]] = collections.deque()
        self._log_time: float = 0
        self._history_read = False
        self.next_offset = 0
        """Offset up to which records are folded."""

    def __len__(self) -> int:
        return len(self._hold_ends) + len(self._release_ends)

    @property
    def history_read(self) -> bool:
        """Whether every record within the lifetime has been read up to some end."""
        return self._history_read

    def reached_end(self, end_offset: int) -> None:
        """Note a read from the first retained record on that gave `end_offset` as its end."""
        if self.next_offset >= end_offset:
            self._history_read = True

    def apply(self, offset: int, time_ms: float, entries: object) -> list[Decided]:
        """Fold one record.

        Args:
            offset: Offset of the record; records already folded are ignored.
            time_ms: Time that the log gave to it.
            entries: Data of the record; entries of another form are ignored.

        Returns:
            Verdicts of the claims in it.
        """
        if offset < self.next_offset:
            return []
        self.next_offset = offset + 1
        # The log's clock may step back; a key's lifetime never grows by that.
        self._log_time = max(self._log_time, time_ms)
        self._drop_ended()
        decided = [self._apply_entry(entry) for entry in _listed(entries)]
        return [each for each in decided if each]

    def verdict(self, claim: Claim, wall: clock.Milliseconds) -> Verdict:
        """Return what is known of a claim after the records folded so far.

        Args:
            claim: Claim that has been appended and read back.
            wall: Present time since the epoch.

        Returns:
            `WON` only when the whole history is read and the lifetime is not over.
        """
        if not self._history_read:
            return Verdict(VerdictKind.TOO_EARLY)
        held = self._held_by_key.get(claim.key)
        if held is None:
            return Verdict(VerdictKind.EXPIRED)
        if held.claim.call_id != claim.call_id:
            return Verdict(VerdictKind.LOST, held.claim)
        if self.is_over(held.time_ms, wall):
            return Verdict(VerdictKind.EXPIRED)
        return Verdict(VerdictKind.WON)

    def holder(self, key: ids.IdempotencyKey, wall: clock.Milliseconds) -> Claim | None:
        """Return the claim that holds a key by the records folded so far.

        Args:
            key: Key within the service.
            wall: Present time since the epoch.
        """
        held = self._held_by_key.get(key)
        if held is None or self.is_over(held.time_ms, wall):
            return None
        return held.claim

    def is_over(self, time_ms: float, wall: clock.Milliseconds) -> bool:
        """Tell whether a claim of that time may have lost its key by now."""
        return max(wall, self._log_time) >= time_ms + self._lifetime_ms

    def _apply_entry(self, entry: object) -> Decided | None:
        try:
            return self._apply_valid(dict(entry))  # type: ignore[call-overload]
        except (KeyError, TypeError, ValueError):
            # Every reader ignores the same malformed entries.
            return None

    def _apply_valid(self, entry: dict[str, Any]) -> Decided | None:
        call_id = ids.parse_call_id(entry['call'])
        if 'release' in entry:
            self._release(ids.IdempotencyKey(entry['release']), call_id)
            return None
        claim = Claim(
            key=ids.IdempotencyKey(str(entry['claim'])),
            call_id=call_id,
            host_id=ids.HostId(str(entry['host'])),
            incarnation=ids.Incarnation(int(entry['incarnation'])),
        )
        return Decided(claim, self._decide(claim), self._log_time)

    def _decide(self, claim: Claim) -> Verdict:
        if claim.call_id in self._released:
            return Verdict(VerdictKind.EXPIRED)
        held = self._held_by_key.get(claim.key)
        if held is None:
            held = _Held(claim, self._log_time)
            self._held_by_key[claim.key] = held
            self._hold_ends.append((self._log_time + self._lifetime_ms, held))
            return Verdict(VerdictKind.WON)
        if held.claim.call_id == claim.call_id:
            return Verdict(VerdictKind.WON)
        return Verdict(VerdictKind.LOST, held.claim)

    def _release(self, key: ids.IdempotencyKey, call_id: ids.CallId) -> None:
        held = self._held_by_key.get(key)
        if held is not None and held.claim.call_id == call_id:
            self._held_by_key.pop(key)
        # A repeated append of the claim may follow its release.
        if call_id not in self._released:
            self._released.add(call_id)
            self._release_ends.append((self._log_time + self._lifetime_ms, call_id))

    def _drop_ended(self) -> None:
        while self._hold_ends and self._hold_ends[0][0] <= self._log_time:
            _, held = self._hold_ends.popleft()
            if self._held_by_key.get(held.claim.key) is held:
                self._held_by_key.pop(held.claim.key)
        while self._release_ends and self._release_ends[0][0] <= self._log_time:
            self._released.discard(self._release_ends.popleft()[1])


def _listed(entries: object) -> list[object]:
    return entries if isinstance(entries, list) else []
