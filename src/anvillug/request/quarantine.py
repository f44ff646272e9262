"""Calls that crash backend servers.

A crash makes the fingerprints of the calls running on the backend server
suspect. A second crash with the same fingerprint within the window, on any
node, quarantines it. Nodes exchange entries; the merge is a union of crash ids,
so entries may arrive twice and in any order.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
from collections.abc import Collection, Iterable

import xxhash

from anvillug import clock, ids

BODY_PREFIX_BYTES = 4096
"""Bytes of the body that take part in the fingerprint; they are at hand before dispatch."""

_LENGTH_BYTES = 8
# A third crash id changes nothing; a few are kept so that nodes agree on them.
_MAX_CRASH_IDS = 4


class QuarantineState(enum.Enum):
    """Treatment of a fingerprint."""

    CLEAR = 'clear'
    SUSPECT = 'suspect'
    """May run, but only one suspect at a time."""
    QUARANTINED = 'quarantined'
    """Rejected as not run."""


class LossCause(enum.Enum):
    """Why calls lost their backend server."""

    CRASHED = 'crashed'
    LEFT = 'left'
    CUT = 'cut'
    """Only connections were lost; the backend server goes on."""


# Fingerprints remembered as finished; about 400 kB.
_MAX_FINISHED = 4096
_CLEARED_MS = 600_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineEntry:
    """Entry of one fingerprint as exchanged between nodes."""

    fingerprint: ids.Fingerprint
    """Fingerprint of the call."""
    crash_ids: tuple[str, ...]
    """Crashes in which the call was running."""
    quarantine_ms: float
    """Milliseconds for which the quarantine still lasts; 0 for a suspect."""
    suspect_ms: float
    """Milliseconds after which the fingerprint is clear again."""


@dataclasses.dataclass(frozen=True, slots=True)
class Periods:
    """Bounds of a quarantine in time and memory."""

    suspect_ms: float = 60_000
    """Window in which a second crash counts."""
    quarantine_ms: float = 600_000
    """Length of a quarantine; the fingerprint is suspect again for the window after it."""
    entries: int = 10_000
    """Fingerprints in the table; the one that would clear first is dropped."""


_DEFAULT_PERIODS = Periods()


def fingerprint(
    service: ids.ServiceName, method: str, path: str, body_prefix: bytes
) -> ids.Fingerprint:
    """Return the fingerprint of a call.

    Args:
        service: Service that the caller named.
        method: HTTP method.
        path: Path with the query.
        body_prefix: Start of the body, of which `BODY_PREFIX_BYTES` are used.

    Returns:
        128 bits in hexadecimal digits.
    """
    digest = xxhash.xxh3_128()
    for part in (service.encode(), method.encode(), path.encode()):
        # The length keeps ("a", "bc") and ("ab", "c") apart.
        digest.update(len(part).to_bytes(_LENGTH_BYTES, 'big'))
        digest.update(part)
    digest.update(body_prefix[:BODY_PREFIX_BYTES])
    return ids.Fingerprint(digest.hexdigest())


def loss_cause(*, was_leaving: bool, new_incarnation: bool, connect_refused: bool) -> LossCause:
    """Classify the loss of connections without a response.

    Args:
        was_leaving: Whether the backend server had announced that it leaves, or was draining.
        new_incarnation: Whether another incarnation has announced itself since.
        connect_refused: Whether new connects are refused.

    Returns:
        `CRASHED` only when the backend server is known to have ended unannounced.
    """
    if was_leaving:
        return LossCause.LEFT
    if new_incarnation or connect_refused:
        return LossCause.CRASHED
    return LossCause.CUT


@dataclasses.dataclass(slots=True)
class _Case:
    crash_ids: tuple[str, ...]
    suspect_until: float
    quarantined_until: float = 0

    def state(self, now: float) -> QuarantineState:
        if now < self.quarantined_until:
            return QuarantineState.QUARANTINED
        return QuarantineState.SUSPECT if now < self.suspect_until else QuarantineState.CLEAR


class Quarantine:
    """Suspect and quarantined fingerprints known to one node.

    Args:
        origin: Prefix of this node's crash ids, such as `<host id>.<incarnation>`.
        periods: Bounds in time and memory.
    """

    def __init__(self, origin: str, periods: Periods = _DEFAULT_PERIODS) -> None:
        self._origin = origin
        self._periods = periods
        self._crashes = 0
        # Ordered by the last change, which is nearly the order of expiry.
        self._by_fingerprint: collections.OrderedDict[ids.Fingerprint, _Case] = (
            collections.OrderedDict()
        )
        self._running_suspect: ids.CallId | None = None
        self._finished_at: collections.OrderedDict[ids.Fingerprint, float] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._by_fingerprint)

    def check(self, mark: ids.Fingerprint, now: clock.Milliseconds) -> QuarantineState:
        """Return the treatment of a fingerprint."""
        case = self._by_fingerprint.get(mark)
        if case is None:
            return QuarantineState.CLEAR
        state = case.state(now)
        if state is QuarantineState.CLEAR:
            self._by_fingerprint.pop(mark)
        return state

    def start_suspect(self, call_id: ids.CallId) -> bool:
        """Ask to run a suspect call.

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
        """Free the place of a suspect call; other call ids change nothing."""
        if self._running_suspect == call_id:
            self._running_suspect = None

    def finished(self, mark: ids.Fingerprint, now: clock.Milliseconds) -> None:
        """Note that a call ran to its end: such calls do not crash backend servers.

        A request that crashes every backend server that runs it never finishes.
        Without this, two unrelated crashes under a popular call quarantine it.

        Args:
            mark: Fingerprint of the call.
            now: Monotonic time.
        """
        self._finished_at[mark] = now
        self._finished_at.move_to_end(mark)
        self._by_fingerprint.pop(mark, None)
        if len(self._finished_at) > _MAX_FINISHED:
            self._finished_at.popitem(last=False)

    def _is_cleared(self, mark: ids.Fingerprint, now: clock.Milliseconds) -> bool:
        finished_at = self._finished_at.get(mark)
        return finished_at is not None and now - finished_at < _CLEARED_MS

    def crashed(
        self,
        fingerprints: Collection[ids.Fingerprint],
        now: clock.Milliseconds,
        cause: LossCause = LossCause.CRASHED,
    ) -> list[QuarantineEntry]:
        """Note that a backend server was lost.

        When suspects were running, the crash is put to them alone, so that calls
        that only ran beside one don't become suspect.

        Args:
            fingerprints: Calls that were running on it.
            now: Monotonic time.
            cause: Only `CRASHED` creates suspicion.

        Returns:
            New entries to spread to other nodes.
        """
        if cause is not LossCause.CRASHED:
            return []
        distinct = sorted(mark for mark in set(fingerprints) if not self._is_cleared(mark, now))
        suspects = [mark for mark in distinct if self.check(mark, now) is not QuarantineState.CLEAR]
        self._crashes += 1
        crash_id = f'{self._origin}.{self._crashes}'
        blamed = suspects or distinct
        cases = [(mark, self._add_crashes(mark, (crash_id,), now)) for mark in blamed]
        self._trim()
        return [self._entry(mark, case, now) for mark, case in cases]

    def merge(
        self, entries: Iterable[QuarantineEntry], now: clock.Milliseconds
    ) -> list[QuarantineEntry]:
        """Take over entries of other nodes.

        An entry without a crash unknown here changes nothing, so an exchange
        never lengthens a quarantine.

        Args:
            entries: Entries received.
            now: Monotonic time.

        Returns:
            The entries that told of a crash unknown here, to be passed on.
        """
        accepted = []
        for entry in entries:
            case = self._by_fingerprint.get(entry.fingerprint)
            known = case.crash_ids if case else ()
            unknown = tuple(each for each in entry.crash_ids if each not in known)
            cleared = self._is_cleared(entry.fingerprint, now)
            if unknown and entry.suspect_ms > 0 and not cleared:
                self._merge_crashes(entry, unknown, now)
                accepted.append(entry)
        self._trim()
        return accepted

    def entries(self, now: clock.Milliseconds) -> list[QuarantineEntry]:
        """Return all current entries, for a node that asks for them."""
        return [
            self._entry(mark, case, now)
            for mark, case in self._by_fingerprint.items()
            if case.state(now) is not QuarantineState.CLEAR
        ]

    def expire(self, now: clock.Milliseconds) -> None:
        """Drop the fingerprints that are clear again."""
        clear = [
            mark
            for mark, case in self._by_fingerprint.items()
            if case.state(now) is QuarantineState.CLEAR
        ]
        for mark in clear:
            self._by_fingerprint.pop(mark)

    def _merge_crashes(
        self, entry: QuarantineEntry, crash_ids: tuple[str, ...], now: clock.Milliseconds
    ) -> None:
        self.check(entry.fingerprint, now)  # drops a case that is over
        case = self._by_fingerprint.get(entry.fingerprint)
        if case is not None and entry.quarantine_ms <= 0:
            self._add_crashes(entry.fingerprint, crash_ids, now)
            return
        if case is None:
            case = _Case((), 0)
            self._by_fingerprint[entry.fingerprint] = case
        suspect_ms = min(entry.suspect_ms, self._periods.suspect_ms + self._periods.quarantine_ms)
        quarantine_ms = min(entry.quarantine_ms, self._periods.quarantine_ms)
        case.crash_ids = _bounded(case.crash_ids + crash_ids)
        case.suspect_until = max(case.suspect_until, now + suspect_ms)
        case.quarantined_until = max(case.quarantined_until, now + quarantine_ms)
        self._by_fingerprint.move_to_end(entry.fingerprint)

    def _add_crashes(
        self, mark: ids.Fingerprint, crash_ids: tuple[str, ...], now: clock.Milliseconds
    ) -> _Case:
        case = self._by_fingerprint.get(mark)
        if case is None:
            case = _Case(crash_ids, now + self._periods.suspect_ms)
            self._by_fingerprint[mark] = case
        else:
            case.crash_ids = _bounded(case.crash_ids + crash_ids)
            case.quarantined_until = now + self._periods.quarantine_ms
            case.suspect_until = case.quarantined_until + self._periods.suspect_ms
        self._by_fingerprint.move_to_end(mark)
        return case

    def _entry(
        self, mark: ids.Fingerprint, case: _Case, now: clock.Milliseconds
    ) -> QuarantineEntry:
        return QuarantineEntry(
            fingerprint=mark,
            crash_ids=case.crash_ids,
            quarantine_ms=max(0, case.quarantined_until - now),
            suspect_ms=max(0, case.suspect_until - now),
        )

    def _trim(self) -> None:
        while len(self._by_fingerprint) > self._periods.entries:
            self._by_fingerprint.popitem(last=False)


def _bounded(crash_ids: tuple[str, ...]) -> tuple[str, ...]:
    return crash_ids[-_MAX_CRASH_IDS:]
