"""Requests that crash the backend server: blames them, and keeps them from the next one."""

from __future__ import annotations

import dataclasses
import itertools
from typing import Any

from anvillug import clock, event_log, ids
from anvillug.request import job, quarantine

# A crash shows as broken connections first, and soon after by a refused one.
_BLAME_WINDOW_MS = 1000.0
# Entries of this many fingerprints travel in a beacon; crashes that repeat are few.
_MAX_SHARED = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """A job as the watch knows it."""

    mark: ids.Fingerprint
    """What the request asks for, by service, method, path and body."""
    call_id: ids.CallId
    """Tells this job from others with the same fingerprint."""


class CrashWatch:
    """Fingerprints of requests that crash backend servers, exchanged between nodes.

    Args:
        host_id: Name of this host.
        incarnation: Start of this process.
        time: Clock.
    """

    def __init__(
        self, host_id: ids.HostId, incarnation: ids.Incarnation, time: clock.Clock
    ) -> None:
        self._host_id = host_id
        self._incarnation = incarnation
        self._clock = time
        self._numbers = itertools.count(1)
        self._suspects = quarantine.Quarantine(f'{host_id}.{incarnation}')
        self._broken: list[tuple[clock.Milliseconds, ids.Fingerprint]] = []

    def suspicion(self, work: job.Job) -> Suspicion:
        """Return how the watch knows a job."""
        mark = quarantine.fingerprint(
            work.service,
            work.head.method.decode('latin-1'),
            work.head.target.decode('latin-1'),
            work.body,
        )
        call_id = ids.CallId(self._host_id, self._incarnation, next(self._numbers))
        return Suspicion(mark, call_id)

    def refusal(self, known: Suspicion) -> str:
        """Return why a job may not run now, empty if it may."""
        state = self._suspects.check(known.mark, self._clock.now())
        if state is quarantine.QuarantineState.QUARANTINED:
            return 'crashes backend servers'
        suspect = state is quarantine.QuarantineState.SUSPECT
        if suspect and not self._suspects.start_suspect(known.call_id):
            return 'another suspect runs'
        return ''

    def ended(self, known: Suspicion, result: job.Result) -> None:
        """Note how a job that was let run has ended."""
        now = self._clock.now()
        self._suspects.end_suspect(known.call_id)
        if result.kind is job.ResultKind.ANSWERED:
            self._suspects.finished(known.mark, now)
        elif result.kind is job.ResultKind.UNKNOWN:
            horizon = now - _BLAME_WINDOW_MS
            self._broken = [entry for entry in self._broken if entry[0] > horizon]
            self._broken.append((now, known.mark))

    def backend_lost(self) -> None:
        """Blame the jobs that have just broken off: the backend server is gone."""
        now = self._clock.now()
        marks = {mark for at, mark in self._broken if at > now - _BLAME_WINDOW_MS}
        self._broken.clear()
        for entry in self._suspects.crashed(marks, now) if marks else ():
            event_log.warn(
                'request_blamed', fingerprint=entry.fingerprint, crashes=len(entry.crash_ids)
            )

    def shared(self) -> list[list[Any]]:
        """Return what other nodes should know, in its wire form."""
        now = self._clock.now()
        self._suspects.expire(now)
        entries = self._suspects.entries(now)[-_MAX_SHARED:]
        return [
            [entry.fingerprint, entry.crash_ids, entry.quarantine_ms, entry.suspect_ms]
            for entry in entries
        ]

    def heard(self, packed: list[list[Any]]) -> None:
        """Take what another node shares."""
        entries = [
            quarantine.QuarantineEntry(fingerprint, tuple(crash_ids), *times)
            for fingerprint, crash_ids, *times in packed
        ]
        self._suspects.merge(entries, self._clock.now())
