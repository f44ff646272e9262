"""Detects requests that crash backend servers, and rejects them.

When the backend server crashes, the jobs that lost their connection shortly before are reported to
the quarantine, which is exchanged between nodes; see `request/quarantine.py`.
"""

from __future__ import annotations

import itertools
from typing import Any, NamedTuple

from anvillug import clock, event_log, ids, wire_value
from anvillug.request import job, quarantine

# A crash breaks connections first, and is detected soon after, when a new connection is refused.
# Jobs that lost their connection within this time before the detection may be its cause.
_ATTRIBUTION_WINDOW_MS = 1000.0
# Limit of fingerprints per beacon; few requests crash backend servers repeatedly.
_MAX_SHARED_ENTRIES = 8
# Two crashes are enough for a quarantine.
_MAX_SHARED_CRASH_IDS = 2


class JobIdentity(NamedTuple):
    """Identification of a job to which a crash may be attributed."""

    fingerprint: ids.Fingerprint
    """Fingerprint of the whole request."""
    call_id: ids.CallId
    """Id that distinguishes the job from others with the same fingerprint; jobs are numbered in the
    order in which they are sent."""


class CrashWatch:
    """Fingerprints of requests that crash backend servers, as exchanged between nodes.

    Args:
        host_id: Name of this host.
        incarnation: Start time of this process.
        time: Clock.
    """

    def __init__(
        self, host_id: ids.HostId, incarnation: ids.Incarnation, time: clock.Clock
    ) -> None:
        self._host_id = host_id
        self._incarnation = incarnation
        self._clock = time
        self._call_numbers = itertools.count(1)
        self._quarantine = quarantine.Quarantine(f'{host_id}.{incarnation}')
        self._lost_jobs: list[tuple[clock.Milliseconds, JobIdentity]] = []

    def identify(self, work: job.Job, caller_service: str) -> JobIdentity:
        """Return the identification of a job, with which it is checked and reported.

        Args:
            work: The job.
            caller_service: Service that sent the request.
        """
        fingerprint = quarantine.fingerprint(
            work.service,
            caller_service,
            work.head.method.decode('latin-1'),
            work.head.target.decode('latin-1'),
            body=work.body,
        )
        call_id = ids.CallId(self._host_id, self._incarnation, next(self._call_numbers))
        return JobIdentity(fingerprint, call_id)

    def rejection_reason(self, identity: JobIdentity) -> str:
        """Return why a job is rejected; empty if it may run.

        Suspect jobs run one at a time: a suspect that may run blocks others until `job_ended`.
        """
        state = self._quarantine.check(identity.fingerprint, self._clock.now())
        if state is quarantine.QuarantineState.QUARANTINED:
            return 'crashes backend servers'
        suspect = state is quarantine.QuarantineState.SUSPECT
        if suspect and not self._quarantine.start_suspect(identity.call_id):
            return 'another suspect runs'
        return ''

    def job_ended(self, identity: JobIdentity, result: job.Result) -> None:
        """Record the result of a job that was not rejected."""
        now = self._clock.now()
        self._quarantine.end_suspect(identity.call_id)
        if result.kind is job.ResultKind.ANSWERED:
            self._quarantine.finished(identity.fingerprint, now)
        elif result.kind is job.ResultKind.UNKNOWN:
            window_start = now - _ATTRIBUTION_WINDOW_MS
            self._lost_jobs = [entry for entry in self._lost_jobs if entry[0] > window_start]
            self._lost_jobs.append((now, identity))

    def backend_lost(self) -> None:
        """Attribute the loss of the backend server to jobs that recently lost their connection."""
        now = self._clock.now()
        lost = [identity for at, identity in self._lost_jobs if at > now - _ATTRIBUTION_WINDOW_MS]
        lost.sort(key=lambda identity: identity.call_id.sequence)
        fingerprints = [identity.fingerprint for identity in lost]
        self._lost_jobs.clear()
        for entry in self._quarantine.crashed(fingerprints, now) if fingerprints else ():
            event_log.warn(
                'request_blamed', fingerprint=entry.fingerprint, crashes=len(entry.crash_ids)
            )

    def encode_entries(self) -> list[list[Any]]:
        """Return the entries to send to other nodes, in their wire form."""
        now = self._clock.now()
        self._quarantine.expire(now)
        return [
            [
                entry.fingerprint,
                entry.crash_ids[-_MAX_SHARED_CRASH_IDS:],
                entry.quarantine_ms,
                entry.suspect_ms,
            ]
            for entry in self._quarantine.most_suspect(now, _MAX_SHARED_ENTRIES)
        ]

    def lasting_state(self) -> list[Any]:
        """Return what changes in `encode_entries` without the passage of time."""
        return [
            (fingerprint, crash_ids, quarantine_ms > 0)
            for fingerprint, crash_ids, quarantine_ms, _ in self.encode_entries()
        ]

    def merge_entries(self, packed: list[list[Any]]) -> None:
        """Merge the entries that another node has sent, in their wire form.

        Raises:
            ValueError, TypeError: If the entries are malformed; none of them is merged.
        """
        entries = [
            quarantine.QuarantineEntry(
                ids.Fingerprint(wire_value.text(fingerprint, 'fingerprint')),
                tuple(wire_value.text(crash_id, 'crash id') for crash_id in crash_ids),
                wire_value.number(quarantine_ms, 'quarantine'),
                wire_value.number(suspect_ms, 'suspicion'),
            )
            for fingerprint, crash_ids, quarantine_ms, suspect_ms in packed
        ]
        self._quarantine.merge(entries, self._clock.now())
