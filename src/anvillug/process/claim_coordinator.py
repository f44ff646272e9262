"""Task that settles idempotency claims through the platform log.

Claims are batched into at most one append per stream and interval; then the stream is read to
determine which claims won. A claim that is not settled before the timeout fails with
`ClaimUnavailableError`: its call has not run, and if the claim wins later, it is released.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import Any, Protocol

from twisted.internet import defer, interfaces

from anvillug import clock, event_log, ids
from anvillug.request import claim

MAX_BATCH = 500
"""Maximum number of entries per record; 500 entries are about 50 KB."""
MAX_RETRY_MS = 500.0
"""Maximum pause after failed reads: half of the claim timeout."""
MAX_QUEUED_ENTRIES = 5000
"""Maximum number of entries queued for an append, and of timed-out claims that are watched.

The same as the maximum number of calls with keys on an entry side.
"""

_MAX_BACKOFF_DOUBLINGS = 10


class LogRecord(Protocol):
    """Record of a stream."""

    offset: int
    """Position in the stream."""
    time_ms: float
    """Time of the append by the clock of the log."""
    data: Any
    """Content of the record."""


class ReadResult(Protocol):
    """Result of a read."""

    first: int
    """Lowest retained offset."""
    next: int
    """Offset that the next append will have."""
    records: tuple[LogRecord, ...]
    """Records from the requested offset, or from `first` if that is greater."""


class Log(Protocol):
    """Client of the platform log."""

    def append(self, stream: str, data: Any) -> defer.Deferred[int]:
        """Append a record."""

    def read(
        self, stream: str, offset: int, limit: int, wait_ms: int
    ) -> defer.Deferred[ReadResult]:
        """Read records; wait for one, up to `wait_ms`, if there is none."""


class ClaimUnavailableError(Exception):
    """The claim was not settled before the timeout; the call has not run."""


@dataclasses.dataclass(frozen=True, slots=True)
class CoordinatorSettings:
    """Times and limits of a claim coordinator."""

    lifetime_ms: float = 3_600_000
    """Time for which a winning claim holds its key."""
    batch_ms: float = 20
    """Interval between appends to one stream."""
    timeout_ms: float = 1_000
    """Timeout after which a claim fails and its call counts as not run."""
    retry_ms: float = 50
    """Pause after a failed append or read."""
    late_win_watch_ms: float = 30_000
    """Time for which a timed-out claim is watched, to release it if it wins late."""
    read_limit: int = 500
    """Maximum number of records per read."""
    read_wait_ms: int = 500
    """Maximum wait of one long poll."""
    partitions: int = claim.PARTITIONS
    """Number of claim streams."""


_DEFAULT_SETTINGS = CoordinatorSettings()


@dataclasses.dataclass(slots=True)
class _PendingClaim:
    claim: claim.Claim
    result: defer.Deferred[claim.Verdict]
    timer: interfaces.IDelayedCall | None = None


@dataclasses.dataclass(slots=True)
class _Stream:
    name: str
    fold: claim.ClaimFold
    pending_by_call_id: dict[ids.CallId, _PendingClaim] = dataclasses.field(default_factory=dict)
    timed_out_by_call_id: collections.OrderedDict[ids.CallId, float] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    outbox: list[dict[str, Any]] = dataclasses.field(default_factory=list)
    flushing: bool = False
    reading: bool = False
    failed_reads: int = 0
    read_until: int = 0
    """End offset up to which to read even if no claim is pending; 0 for none."""


class ClaimCoordinator:
    """Settles claims for the host side of one node.

    Args:
        log: Client of the platform log.
        reactor: Timers.
        time: Clock.
        settings: Times and limits.
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

    def claim(self, new_claim: claim.Claim) -> defer.Deferred[claim.Verdict]:
        """Claim a key.

        Args:
            new_claim: The claim; each call claims once.

        Returns:
            Deferred verdict, or a failure with `ClaimUnavailableError`; the call may run only
            if the verdict is `WON`.
        """
        stream = self._stream(new_claim.key)
        holder = stream.fold.holder(new_claim.key, self._time.wall())
        if holder is not None:
            # The response of the holder can be requested without the log. The log may contain a
            # release by now; reading it lets the next resend win the key.
            self._read_up_to(stream, 1)
            lost = claim.Verdict(claim.VerdictKind.LOST, holder)
            return defer.succeed(lost)
        pending = _PendingClaim(new_claim, defer.Deferred())
        stream.pending_by_call_id[new_claim.call_id] = pending
        pending.timer = self._schedule(self._settings.timeout_ms, self._time_out, stream, pending)
        self._enqueue(stream, claim.claim_entry(new_claim))
        self._read(stream)
        return pending.result

    def release(self, held: claim.Claim) -> None:
        """Release the key of a winning claim whose call provably did not run."""
        self._enqueue(self._stream(held.key), claim.release_entry(held.key, held.call_id))

    def _stream(self, key: ids.IdempotencyKey) -> _Stream:
        name = claim.stream_of(key, self._settings.partitions)
        if name not in self._stream_by_name:
            fold = claim.ClaimFold(self._settings.lifetime_ms)
            self._stream_by_name[name] = _Stream(name, fold)
        return self._stream_by_name[name]

    def _schedule(self, delay_ms: float, task: Any, *arguments: Any) -> interfaces.IDelayedCall:
        return self._reactor.callLater(clock.to_seconds(delay_ms), task, *arguments)

    def _enqueue(self, stream: _Stream, entry: dict[str, Any]) -> None:
        if len(stream.outbox) >= MAX_QUEUED_ENTRIES:
            # A key whose release is discarded stays held until the end of its lifetime.
            event_log.warn('claim_entry_dropped', stream=stream.name, call=entry['call'])
            return
        stream.outbox.append(entry)
        if not stream.flushing:
            stream.flushing = True
            self._schedule(self._settings.batch_ms, self._flush, stream)

    def _flush(self, stream: _Stream) -> None:
        needed = [entry for entry in stream.outbox if self._is_needed(stream, entry)]
        batch = needed[:MAX_BATCH]
        stream.outbox = needed[MAX_BATCH:]
        if not batch:
            stream.flushing = False
            return
        appended = defer.maybeDeferred(self._log.append, stream.name, batch)
        appended.addCallbacks(
            lambda offset: self._append_succeeded(stream, batch, offset),
            # The append may have taken effect; a repeated claim or release has no further effect.
            lambda _: self._schedule_flush(stream, batch, self._settings.retry_ms),
        )

    def _append_succeeded(self, stream: _Stream, batch: list[dict[str, Any]], offset: int) -> None:
        if any('release' in entry for entry in batch):
            self._read_up_to(stream, offset + 1)
        self._schedule_flush(stream, [], self._settings.batch_ms)

    def _schedule_flush(
        self, stream: _Stream, retried_entries: list[dict[str, Any]], delay_ms: float
    ) -> None:
        stream.outbox = retried_entries + stream.outbox
        self._schedule(delay_ms, self._flush, stream)

    def _is_needed(self, stream: _Stream, entry: dict[str, Any]) -> bool:
        if 'release' in entry:
            return True
        return ids.parse_call_id(entry['call']) in stream.pending_by_call_id

    def _read_up_to(self, stream: _Stream, end: int) -> None:
        stream.read_until = max(stream.read_until, end)
        self._read(stream)

    def _read(self, stream: _Stream) -> None:
        if stream.reading or not self._has_reason_to_read(stream):
            return
        stream.reading = True
        settings = self._settings
        page_read = defer.maybeDeferred(
            self._log.read,
            stream.name,
            stream.fold.next_offset,
            settings.read_limit,
            settings.read_wait_ms,
        )
        page_read.addCallback(self._fold_page, stream)
        page_read.addCallbacks(
            lambda delay_ms: self._schedule(delay_ms, self._resume_reading, stream),
            lambda _: self._read_failed(stream),
        )

    def _read_failed(self, stream: _Stream) -> None:
        # The next resend requests the read again. Reading continues only for pending claims and
        # for claims that timed out.
        stream.read_until = 0
        delay_ms = min(MAX_RETRY_MS, self._settings.retry_ms * 2**stream.failed_reads)
        stream.failed_reads = min(stream.failed_reads + 1, _MAX_BACKOFF_DOUBLINGS)
        self._schedule(delay_ms, self._resume_reading, stream)

    def _resume_reading(self, stream: _Stream) -> None:
        stream.reading = False
        self._read(stream)

    def _has_reason_to_read(self, stream: _Stream) -> bool:
        return bool(stream.pending_by_call_id or stream.timed_out_by_call_id or stream.read_until)

    def _expire_timed_out(self, stream: _Stream) -> None:
        """Stop watching claims that timed out long ago; called at the end of the stream."""
        expired_before = self._time.now() - self._settings.late_win_watch_ms
        timed_out_claims = stream.timed_out_by_call_id
        while timed_out_claims and next(iter(timed_out_claims.values())) <= expired_before:
            timed_out_claims.popitem(last=False)

    def _fold_page(self, page: ReadResult, stream: _Stream) -> float:
        for record in page.records:
            for decision in stream.fold.apply(record.offset, record.time_ms, record.data):
                self._settle(stream, decision)
        stream.fold.reached_end(page.next)
        stream.failed_reads = 0
        if not page.records or stream.fold.next_offset >= page.next:
            self._expire_timed_out(stream)
            if page.next >= stream.read_until:
                stream.read_until = 0
        # Returning to the reactor between reads keeps a long history from blocking it; the
        # pause limits the read rate if the log responds without waiting.
        return 0 if page.records else self._settings.batch_ms

    def _settle(self, stream: _Stream, decision: claim.ClaimDecision) -> None:
        call_id = decision.claim.call_id
        pending = stream.pending_by_call_id.pop(call_id, None)
        if pending is None:
            has_won = decision.verdict.kind is claim.VerdictKind.WON
            if stream.timed_out_by_call_id.pop(call_id, None) is not None and has_won:
                self.release(decision.claim)
            return
        if pending.timer is not None and pending.timer.active():
            pending.timer.cancel()
        verdict = decision.verdict
        if stream.fold.is_expired(decision.time_ms, self._time.wall()):
            verdict = claim.Verdict(claim.VerdictKind.EXPIRED)
        pending.result.callback(verdict)

    def _time_out(self, stream: _Stream, pending: _PendingClaim) -> None:
        call_id = pending.claim.call_id
        stream.pending_by_call_id.pop(call_id)
        stream.timed_out_by_call_id[call_id] = self._time.now()
        if len(stream.timed_out_by_call_id) > MAX_QUEUED_ENTRIES:
            stream.timed_out_by_call_id.popitem(last=False)
        event_log.emit('claim_unavailable', stream=stream.name, call=call_id)
        pending.result.errback(
            ClaimUnavailableError(f'claim of call {call_id} was not settled in time')
        )
