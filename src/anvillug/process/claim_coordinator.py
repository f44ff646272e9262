"""Task that settles idempotency claims through the platform log.

Claims are batched into at most one append per stream and interval, then the
stream is read back. A claim that is not settled in time fails with
`ClaimUnavailableError`: its call did not run, and a late win is released.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import Any, Protocol

from twisted.internet import defer, interfaces

from anvillug import clock, event_log, ids
from anvillug.request import claim

MAX_BATCH = 500
"""Entries per record, about 50 KB."""
MAX_RETRY_MS = 500.0
"""Longest pause after failed reads, half of the time that a claim waits."""
MAX_OUTBOX = 5000
"""Bound of the entries that wait for an append and of the claims given up that are looked
for, as many as calls with keys on an entry side."""


_MAX_DOUBLINGS = 10


class LogRecord(Protocol):
    """Record of a stream."""

    offset: int
    """Place in the stream."""
    time_ms: float
    """Time that the log gave to it."""
    data: Any
    """Content."""


class ReadResult(Protocol):
    """Answer to a read."""

    first: int
    """Lowest offset retained."""
    next: int
    """Offset of the next append."""
    records: tuple[LogRecord, ...]
    """Records from the offset asked for, or from `first` when that is greater."""


class Log(Protocol):
    """Client of the platform log."""

    def append(self, stream: str, data: Any) -> defer.Deferred[int]:
        """Append a record."""

    def read(
        self, stream: str, offset: int, limit: int, wait_ms: int
    ) -> defer.Deferred[ReadResult]:
        """Read records, waiting for one when there is none."""


class ClaimUnavailableError(Exception):
    """The claim could not be settled in time; the call was not run."""


@dataclasses.dataclass(frozen=True, slots=True)
class CoordinatorSettings:
    """Times of a claim coordinator."""

    lifetime_ms: float = 3_600_000
    """Time for which a won claim holds its key."""
    batch_ms: float = 20
    """Interval between appends to one stream."""
    give_up_ms: float = 1_000
    """Time after which a claim fails as not run."""
    retry_ms: float = 50
    """Pause after a failed append or read."""
    watch_ms: float = 30_000
    """Time for which a claim given up is looked for, to release a late win."""
    read_limit: int = 500
    """Records per read."""
    read_wait_ms: int = 500
    """Wait of one long poll."""
    partitions: int = claim.PARTITIONS
    """Streams of claims."""


_DEFAULT_SETTINGS = CoordinatorSettings()


@dataclasses.dataclass(slots=True)
class _Pending:
    claim: claim.Claim
    result: defer.Deferred[claim.Verdict]
    timer: interfaces.IDelayedCall | None = None


@dataclasses.dataclass(slots=True)
class _Stream:
    name: str
    fold: claim.ClaimFold
    pending_by_call_id: dict[ids.CallId, _Pending] = dataclasses.field(default_factory=dict)
    given_up_by_call_id: collections.OrderedDict[ids.CallId, float] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    outbox: list[dict[str, Any]] = dataclasses.field(default_factory=list)
    flushing: bool = False
    reading: bool = False
    failed_reads: int = 0
    read_to: int = 0
    """End up to which to read although no claim waits; 0 for no such read."""


class ClaimCoordinator:
    """Settles claims for the host side of one node.

    Args:
        log: Client of the platform log.
        reactor: Source of delayed calls.
        time: Clock, for the wall time.
        settings: Times and bounds.
    """

    def __init__(
        self,
        log: Log,
        reactor: interfaces.IReactorTime,
        time: clock.Clock,
        settings: CoordinatorSettings = _DEFAULT_SETTINGS,
    ) -> None:
        self._log = log
        self._reactor = reactor
        self._time = time
        self._settings = settings
        self._stream_by_name: dict[str, _Stream] = {}

    def claim(self, wanted: claim.Claim) -> defer.Deferred[claim.Verdict]:
        """Claim a key.

        Args:
            wanted: Claim; each call claims once.

        Returns:
            Fires with the verdict, or fails with `ClaimUnavailableError`; the call
            may run only on `WON`.
        """
        stream = self._stream(wanted.key)
        holder = stream.fold.holder(wanted.key, self._time.wall())
        if holder is not None:
            # The answer may be had without the log. It may know of a release, which the
            # next resend is to find.
            self._read_up_to(stream, 1)
            lost = claim.Verdict(claim.VerdictKind.LOST, holder)
            return defer.succeed(lost)
        pending = _Pending(wanted, defer.Deferred())
        stream.pending_by_call_id[wanted.call_id] = pending
        pending.timer = self._later(self._settings.give_up_ms, self._give_up, stream, pending)
        self._post(stream, claim.claim_entry(wanted))
        self._read(stream)
        return pending.result

    def release(self, held: claim.Claim) -> None:
        """Free the key of a won claim whose call provably did not run."""
        self._post(self._stream(held.key), claim.release_entry(held.key, held.call_id))

    def _stream(self, key: ids.IdempotencyKey) -> _Stream:
        name = claim.stream_of(key, self._settings.partitions)
        if name not in self._stream_by_name:
            fold = claim.ClaimFold(self._settings.lifetime_ms)
            self._stream_by_name[name] = _Stream(name, fold)
        return self._stream_by_name[name]

    def _later(self, delay_ms: float, task: Any, *arguments: Any) -> interfaces.IDelayedCall:
        return self._reactor.callLater(clock.to_seconds(delay_ms), task, *arguments)

    def _post(self, stream: _Stream, entry: dict[str, Any]) -> None:
        if len(stream.outbox) >= MAX_OUTBOX:
            # Without its release a key stays held until the end of its lifetime.
            event_log.warn('claim_entry_dropped', stream=stream.name, call=entry['call'])
            return
        stream.outbox.append(entry)
        if not stream.flushing:
            stream.flushing = True
            self._later(self._settings.batch_ms, self._flush, stream)

    def _flush(self, stream: _Stream) -> None:
        wanted = [entry for entry in stream.outbox if self._is_wanted(stream, entry)]
        batch = wanted[:MAX_BATCH]
        stream.outbox = wanted[MAX_BATCH:]
        if not batch:
            stream.flushing = False
            return
        appended = defer.maybeDeferred(self._log.append, stream.name, batch)
        appended.addCallbacks(
            lambda offset: self._appended(stream, batch, offset),
            # The append may have taken effect; a claim or release twice counts once.
            lambda _: self._flushed(stream, batch, self._settings.retry_ms),
        )

    def _appended(self, stream: _Stream, batch: list[dict[str, Any]], offset: int) -> None:
        if any('release' in entry for entry in batch):
            self._read_up_to(stream, offset + 1)
        self._flushed(stream, [], self._settings.batch_ms)

    def _flushed(self, stream: _Stream, again: list[dict[str, Any]], delay_ms: float) -> None:
        stream.outbox = again + stream.outbox
        self._later(delay_ms, self._flush, stream)

    def _is_wanted(self, stream: _Stream, entry: dict[str, Any]) -> bool:
        if 'release' in entry:
            return True
        return ids.parse_call_id(entry['call']) in stream.pending_by_call_id

    def _read_up_to(self, stream: _Stream, end: int) -> None:
        stream.read_to = max(stream.read_to, end)
        self._read(stream)

    def _read(self, stream: _Stream) -> None:
        if stream.reading or not self._is_watched(stream):
            return
        stream.reading = True
        settings = self._settings
        found = defer.maybeDeferred(
            self._log.read,
            stream.name,
            stream.fold.next_offset,
            settings.read_limit,
            settings.read_wait_ms,
        )
        found.addCallback(self._fold, stream)
        found.addCallbacks(
            lambda delay_ms: self._later(delay_ms, self._read_again, stream),
            lambda _: self._read_failed(stream),
        )

    def _read_failed(self, stream: _Stream) -> None:
        # The next resend asks again; without claims that wait, nothing else needs the log.
        stream.read_to = 0
        delay_ms = min(MAX_RETRY_MS, self._settings.retry_ms * 2**stream.failed_reads)
        stream.failed_reads = min(stream.failed_reads + 1, _MAX_DOUBLINGS)
        self._later(delay_ms, self._read_again, stream)

    def _read_again(self, stream: _Stream) -> None:
        stream.reading = False
        self._read(stream)

    def _is_watched(self, stream: _Stream) -> bool:
        return bool(stream.pending_by_call_id or stream.given_up_by_call_id or stream.read_to)

    def _drop_watched(self, stream: _Stream) -> None:
        """Look no more for claims given up long ago; called at the end of the stream."""
        oldest = self._time.now() - self._settings.watch_ms
        given_up = stream.given_up_by_call_id
        while given_up and next(iter(given_up.values())) <= oldest:
            given_up.popitem(last=False)

    def _fold(self, found: ReadResult, stream: _Stream) -> float:
        for record in found.records:
            for decided in stream.fold.apply(record.offset, record.time_ms, record.data):
                self._settle(stream, decided)
        stream.fold.reached_end(found.next)
        stream.failed_reads = 0
        if not found.records or stream.fold.next_offset >= found.next:
            self._drop_watched(stream)
            if found.next >= stream.read_to:
                stream.read_to = 0
        # A turn of the reactor between reads keeps a long history from blocking it;
        # the pause bounds the rate when the log answers without waiting.
        return 0 if found.records else self._settings.batch_ms

    def _settle(self, stream: _Stream, decided: claim.Decided) -> None:
        call_id = decided.claim.call_id
        pending = stream.pending_by_call_id.pop(call_id, None)
        if pending is None:
            has_won = decided.verdict.kind is claim.VerdictKind.WON
            if stream.given_up_by_call_id.pop(call_id, None) is not None and has_won:
                self.release(decided.claim)
            return
        if pending.timer is not None and pending.timer.active():
            pending.timer.cancel()
        verdict = decided.verdict
        if stream.fold.is_over(decided.time_ms, self._time.wall()):
            verdict = claim.Verdict(claim.VerdictKind.EXPIRED)
        pending.result.callback(verdict)

    def _give_up(self, stream: _Stream, pending: _Pending) -> None:
        call_id = pending.claim.call_id
        stream.pending_by_call_id.pop(call_id)
        stream.given_up_by_call_id[call_id] = self._time.now()
        if len(stream.given_up_by_call_id) > MAX_OUTBOX:
            stream.given_up_by_call_id.popitem(last=False)
        event_log.emit('claim_unavailable', stream=stream.name, call=call_id)
        pending.result.errback(ClaimUnavailableError(f'claim of call {call_id} was not settled'))
