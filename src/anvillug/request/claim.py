"""Fold of idempotency claims: the claim with the lowest offset holds a key for its lifetime.

The fold takes the time from the records of the log, so all readers of the same records agree on
who holds a key.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
from typing import Any

import xxhash

from anvillug import clock, ids

PARTITIONS = 16
"""Number of claim streams; a power of two keeps the partitions even in size."""


class VerdictKind(enum.Enum):
    """Outcome of a claim."""

    WON = 'won'
    LOST = 'lost'
    TOO_EARLY = 'too-early'
    """The records within the lifetime, or the claim itself, have not been read yet."""
    EXPIRED = 'expired'
    """The claim was read after its lifetime, or was released; the call must not run."""


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Claim of an idempotency key for a call to be run on a host."""

    key: ids.IdempotencyKey
    """Key scoped to the service; see `scoped_key`."""
    call_id: ids.CallId
    """Call to be run."""
    host_id: ids.HostId
    """Host whose call table records the outcome."""
    incarnation: ids.Incarnation
    """Incarnation of that host side, needed to resolve the call."""


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Outcome of a claim, with the winner if it lost."""

    kind: VerdictKind
    """Outcome."""
    winner: Claim | None = None
    """Claim that holds the key, if this claim lost."""


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimDecision:
    """Verdict on one claim entry at its position in the log."""

    claim: Claim
    """Claim as read from the log."""
    verdict: Verdict
    """`WON`, `LOST`, or `EXPIRED` for a claim that was released earlier in the log."""
    time_ms: float
    """Time of the record."""


def scoped_key(service: ids.ServiceName, key: str) -> ids.IdempotencyKey:
    """Return the key prefixed with the service, so that equal keys of two services differ."""
    return ids.IdempotencyKey(f'{service}/{key}')


def stream_of(key: ids.IdempotencyKey, partitions: int = PARTITIONS) -> str:
    """Return the name of the stream that holds the claims of a key."""
    return f'claims-{xxhash.xxh3_64_intdigest(key.encode()) % partitions:02d}'


def claim_entry(claim: Claim) -> dict[str, Any]:
    """Return the log entry of a claim."""
    return {
        'claim': claim.key,
        'call': str(claim.call_id),
        'host': claim.host_id,
        'incarnation': claim.incarnation,
    }


def release_entry(key: ids.IdempotencyKey, call_id: ids.CallId) -> dict[str, Any]:
    """Return the log entry of a release."""
    return {'release': key, 'call': str(call_id)}


@dataclasses.dataclass(frozen=True, slots=True)
class _HeldKey:
    claim: Claim
    time_ms: float


class ClaimFold:
    """Keys held in one stream, computed from its records in offset order.

    Args:
        lifetime_ms: Time for which a winning claim holds its key; the same on all nodes, and
            less than half of the retention time of the log.
    """

    def __init__(self, lifetime_ms: float) -> None:
        self._lifetime_ms = lifetime_ms
        self._held_by_key: dict[ids.IdempotencyKey, _HeldKey] = {}
        self._released: set[ids.CallId] = set()
        # Expiry times with what to remove then, in log order.
        self._held_expiries: collections.deque[tuple[float, _HeldKey]] = collections.deque()
        self._release_expiries: collections.deque[tuple[float, ids.CallId]] = collections.deque()
        self._log_time_ms: float = 0
        self._history_read = False
        self.next_offset = 0
        """Offset of the next record to fold."""

    def __len__(self) -> int:
        return len(self._held_expiries) + len(self._release_expiries)

    @property
    def history_read(self) -> bool:
        """Whether all records within the lifetime were read up to the end reported by a read."""
        return self._history_read

    def reached_end(self, end_offset: int) -> None:
        """Record the end offset reported by a read that started at the first retained record."""
        if self.next_offset >= end_offset:
            self._history_read = True

    def apply(self, offset: int, time_ms: float, entries: object) -> list[ClaimDecision]:
        """Fold one record.

        Args:
            offset: Offset of the record; a record that is already folded is ignored.
            time_ms: Time of the record, set by the log.
            entries: Data of the record; malformed entries are ignored.

        Returns:
            Verdicts on the claims in the record.
        """
        if offset < self.next_offset:
            return []
        self.next_offset = offset + 1
        # The clock of the log may step back; this must not extend the lifetime of a key.
        self._log_time_ms = max(self._log_time_ms, time_ms)
        self._remove_expired()
        decisions = [self._apply_entry(entry) for entry in _as_list(entries)]
        return [decision for decision in decisions if decision]

    def verdict(self, claim: Claim, wall: clock.Milliseconds) -> Verdict:
        """Return the verdict on a claim by the records folded so far.

        Args:
            claim: Claim that has been appended and read back.
            wall: Current wall-clock time since the epoch.

        Returns:
            The verdict; `WON` only if the whole history is read and the lifetime is not over.
        """
        if not self._history_read:
            return Verdict(VerdictKind.TOO_EARLY)
        held = self._held_by_key.get(claim.key)
        if held is None:
            return Verdict(VerdictKind.EXPIRED)
        if held.claim.call_id != claim.call_id:
            return Verdict(VerdictKind.LOST, held.claim)
        if self.is_expired(held.time_ms, wall):
            return Verdict(VerdictKind.EXPIRED)
        return Verdict(VerdictKind.WON)

    def holder(self, key: ids.IdempotencyKey, wall: clock.Milliseconds) -> Claim | None:
        """Return the claim that holds a key by the records folded so far.

        Args:
            key: Key within the service.
            wall: Current wall-clock time since the epoch.
        """
        held = self._held_by_key.get(key)
        if held is None or self.is_expired(held.time_ms, wall):
            return None
        return held.claim

    def is_expired(self, time_ms: float, wall: clock.Milliseconds) -> bool:
        """Return whether the lifetime of a claim made at that time may be over."""
        return max(wall, self._log_time_ms) >= time_ms + self._lifetime_ms

    def _apply_entry(self, entry: object) -> ClaimDecision | None:
        try:
            return self._apply_valid(dict(entry))  # type: ignore[call-overload]
        except (KeyError, TypeError, ValueError):
            # All readers ignore the same malformed entries, so their folds stay equal.
            return None

    def _apply_valid(self, entry: dict[str, Any]) -> ClaimDecision | None:
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
        return ClaimDecision(claim, self._decide(claim), self._log_time_ms)

    def _decide(self, claim: Claim) -> Verdict:
        if claim.call_id in self._released:
            return Verdict(VerdictKind.EXPIRED)
        held = self._held_by_key.get(claim.key)
        if held is None:
            held = _HeldKey(claim, self._log_time_ms)
            self._held_by_key[claim.key] = held
            self._held_expiries.append((self._log_time_ms + self._lifetime_ms, held))
            return Verdict(VerdictKind.WON)
        if held.claim.call_id == claim.call_id:
            return Verdict(VerdictKind.WON)
        return Verdict(VerdictKind.LOST, held.claim)

    def _release(self, key: ids.IdempotencyKey, call_id: ids.CallId) -> None:
        held = self._held_by_key.get(key)
        if held is not None and held.claim.call_id == call_id:
            self._held_by_key.pop(key)
        # The release may be followed by a repeated append of the claim, which must not win.
        if call_id not in self._released:
            self._released.add(call_id)
            self._release_expiries.append((self._log_time_ms + self._lifetime_ms, call_id))

    def _remove_expired(self) -> None:
        while self._held_expiries and self._held_expiries[0][0] <= self._log_time_ms:
            _, held = self._held_expiries.popleft()
            if self._held_by_key.get(held.claim.key) is held:
                self._held_by_key.pop(held.claim.key)
        while self._release_expiries and self._release_expiries[0][0] <= self._log_time_ms:
            self._released.discard(self._release_expiries.popleft()[1])


def _as_list(entries: object) -> list[object]:
    return entries if isinstance(entries, list) else []
