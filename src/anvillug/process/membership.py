"""Member table: the records of all hosts, with their liveness as observed by this node.

A record is written only by the host that it describes; the record with the highest
(incarnation, sequence) is current. Liveness is based on the observations of this node alone and
is never sent to other nodes. A renewal in the log repeats the record unchanged, so that gossip
carries only actual changes.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import itertools
import operator
import sys
from collections.abc import Iterable, Sequence

import xxhash

from anvillug import clock, ids

BUCKET_COUNT = 256
"""Number of buckets of the digest; with 6,300 members a bucket holds about 25 records."""

LEFT_RETENTION_MS = 7_200_000.0  # twice the longest supported partition between regions, 1 h
DEAD_RETENTION_MS = 86_400_000.0  # a partition of 1 h must not empty the table
SUSPECT_FAILURES = 2
"""Consecutive failures after which a host is suspect."""
DEAD_FAILURES = 4
"""Consecutive failures after which a host is dead, if the first was `DEAD_AFTER_MS` ago."""
DEAD_AFTER_MS = 5_000.0
"""Minimum time from the first of these failures until a host is dead."""
RETRY_INTERVAL_MS = 5_000.0
"""Time after the last contact before a host whose last contact failed is retried."""
MAX_MEMBERS = 20_000  # three times the planned 6,300; limits memory if a peer misbehaves

_DIGEST_MASK = BUCKET_COUNT - 1


class MemberState(enum.Enum):
    """State of a host as reported by the host itself."""

    STARTING = 'starting'
    SERVING = 'serving'
    LEAVING = 'leaving'
    LEFT = 'left'


class Liveness(enum.Enum):
    """Reachability of a host as observed by this node."""

    LIVE = 'live'
    SUSPECT = 'suspect'
    DEAD = 'dead'


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """Record of one host, written by that host."""

    host_id: ids.HostId
    """The host that wrote the record."""
    zone: ids.ZoneName
    """Availability zone of the host."""
    region: ids.RegionName
    """Region of the zone."""
    incarnation: ids.Incarnation
    """Incarnation of the node process."""
    sequence: int
    """Number of the record within the incarnation; each change increments it."""
    service: ids.ServiceName
    """Service of the backend server; empty before its first announcement."""
    version: ids.VersionName
    """Version of the backend server."""
    peer_address: str
    """`ip:port` of the host side."""
    control_address: str
    """`ip:port` of the control server."""
    state: MemberState
    """State of the host."""

    def order_key(self) -> tuple[int, int]:
        """Return the sort key of records of one host; the greatest key is the newest record."""
        return (self.incarnation, self.sequence)


class _Row:
    """A record with local observations; it has slots to save memory."""

    __slots__ = ('bucket', 'failures', 'liveness', 'member', 'state_since', 'updated_at')

    def __init__(self, member: Member, now: float) -> None:
        self.member = member
        # Stored, since hashing the ids of all hosts on each pull took 3 ms.
        self.bucket = _bucket_of(member.host_id)
        self.liveness = Liveness.LIVE
        self.failures = 0
        # Time of the first of the current failures, or of the acceptance of the record.
        self.state_since = now
        self.updated_at = now


class MemberTable:
    """Records of all members, with liveness, indexes and digest.

    Args:
        local: Record of this host; records of this host from peers do not replace it.
        now: Monotonic time in milliseconds.
    """

    def __init__(self, local: Member, now: clock.Milliseconds) -> None:
        self.superseded_by: Member | None = None
        """Record with this host's id and a later incarnation, if a peer sent one."""
        self.revision = 0
        """Number of accepted records; see `changes_since`."""
        self._rows: dict[ids.HostId, _Row] = {}
        self._revision_by_host: dict[ids.HostId, int] = {}  # in order of change, oldest first
        self._hosts_by_service: dict[ids.ServiceName, dict[ids.HostId, None]] = {}
        self._usable_by_service: dict[ids.ServiceName, tuple[Member, ...]] = {}
        self._hosts_by_zone: dict[ids.ZoneName, list[ids.HostId]] = {}
        self._failing_hosts: dict[ids.HostId, None] = {}
        self._hosts_left: dict[ids.HostId, None] = {}
        self._digest_by_bucket = [0 for _ in range(BUCKET_COUNT)]
        self._digest = 0
        self.local = self._accept(local, now)
        """Current record of this host."""

    def __len__(self) -> int:
        """Return the number of members, without those that have left."""
        return len(self._rows) - len(self._hosts_left)

    def update_local(self, now: clock.Milliseconds, **changes: object) -> Member:
        """Write a new record of this host.

        Args:
            now: Monotonic time in milliseconds.
            **changes: Fields of `Member` to replace, such as `state`.

        Returns:
            The new record, with the next sequence.
        """
        sequence = self.local.sequence + 1
        self.local = dataclasses.replace(self.local, sequence=sequence, **changes)
        self.local = self._accept(self.local, now)
        return self.local

    def merge(self, records: Iterable[Member], now: clock.Milliseconds) -> list[Member]:
        """Accept the records that are newer than the current ones.

        Args:
            records: Records from a peer or the log.
            now: Monotonic time in milliseconds.

        Returns:
            The accepted records.
        """
        return [record for record in records if self._merge_one(record, now)]

    def get(self, host_id: ids.HostId) -> Member | None:
        """Return the record of a host, even if the host has left."""
        row = self._rows.get(host_id)
        return None if row is None else row.member

    def liveness(self, host_id: ids.HostId) -> Liveness:
        """Return the observed liveness; `DEAD` for a host without a record."""
        row = self._rows.get(host_id)
        return Liveness.DEAD if row is None else row.liveness

    def members_of(self, service: ids.ServiceName) -> list[Member]:
        """Return the members of a service that have not left."""
        return [self._rows[host].member for host in self._hosts_by_service.get(service, ())]

    def usable(self, service: ids.ServiceName) -> tuple[Member, ...]:
        """Return the members to which calls of a service may be sent.

        If most of them are suspect or dead, this node or its network is more likely at fault
        than they are; in that case, and if no live member is serving, all members that are not
        leaving are returned.

        Args:
            service: Name of the service.

        Returns:
            Members in no particular order; cached until a member of the service changes.
        """
        members = self._usable_by_service.get(service)
        if members is None:
            members = self._select_usable(service)
            if service in self._hosts_by_service:
                self._usable_by_service[service] = members
        return members

    def services(self) -> list[ids.ServiceName]:
        """Return the services that have members."""
        return list(self._hosts_by_service)

    def zones(self) -> list[ids.ZoneName]:
        """Return the zones that have members."""
        return list(self._hosts_by_zone)

    def hosts_in(self, zone: ids.ZoneName) -> Sequence[ids.HostId]:
        """Return the hosts of a zone that have not left; callers must not modify the result."""
        return self._hosts_by_zone.get(zone, ())

    def changes_since(self, revision: int, limit: int) -> list[Member]:
        """Return the records accepted most recently, back to a revision of the table.

        Args:
            revision: An earlier value of the attribute `revision`.
            limit: Maximum number of records; peers get older changes by a pull.

        Returns:
            Records, the one accepted last first.
        """
        newest_first = itertools.islice(reversed(self._revision_by_host.items()), limit)
        changed = itertools.takewhile(lambda entry: entry[1] > revision, newest_first)
        return [self._rows[host_id].member for host_id, _ in changed]

    def digest(self) -> int:
        """Return a 64-bit digest of all records except those of hosts that have left."""
        return self._digest

    def bucket_digests(self) -> tuple[int, ...]:
        """Return the digest of each bucket; a pull transfers only the buckets that differ."""
        return tuple(self._digest_by_bucket)

    def members_in_differing_buckets(
        self, peer_digests: Sequence[int], limit: int
    ) -> tuple[list[Member], bool]:
        """Return the records of the buckets whose digest differs from that of a peer.

        Args:
            peer_digests: Bucket digests of the peer.
            limit: Maximum number of records.

        Returns:
            The records, and whether the limit left out some.
        """
        differing = {
            index
            for index, (local_digest, peer_digest) in enumerate(
                zip(self._digest_by_bucket, peer_digests, strict=False)
            )
            if local_digest != peer_digest
        }
        if not differing:
            return [], False
        matching = [row for row in self._rows.values() if row.bucket in differing]
        # Sorted by bucket, so that each incomplete pull completes some buckets and leaves fewer
        # for the next one.
        matching.sort(key=operator.attrgetter('bucket'))
        members = [row.member for row in matching[:limit]]
        return members, len(matching) > limit

    def observe(self, host_id: ids.HostId, ok: bool, now: clock.Milliseconds) -> Liveness:
        """Record the result of an exchange or call.

        Args:
            host_id: The host that was contacted, or that contacted this node.
            ok: Whether the contact succeeded.
            now: Monotonic time in milliseconds.

        Returns:
            The liveness after this observation.
        """
        row = self._rows.get(host_id)
        if row is None:
            return Liveness.DEAD
        row.updated_at = now
        if ok or host_id == self.local.host_id:
            row.failures = 0
            self._set_liveness(row, Liveness.LIVE)
            return row.liveness
        if not row.failures:
            row.state_since = now
        row.failures += 1
        self._set_liveness(row, _liveness_after(row, now))
        return row.liveness

    def host_to_retry(self, now: clock.Milliseconds) -> ids.HostId | None:
        """Return a host whose last contact failed and whose next attempt is due, if any."""
        for host_id in self._failing_hosts:
            if now - self._rows[host_id].updated_at >= RETRY_INTERVAL_MS:
                return host_id
        return None

    def expire(self, now: clock.Milliseconds) -> list[ids.HostId]:
        """Remove the hosts that have left or have been dead for the retention time.

        Args:
            now: Monotonic time in milliseconds.

        Returns:
            The removed hosts.
        """
        expired = [
            host for host in self._hosts_left if self._is_older(host, LEFT_RETENTION_MS, now)
        ]
        expired.extend(
            host
            for host in self._failing_hosts
            if self._rows[host].liveness is Liveness.DEAD
            and self._is_older(host, DEAD_RETENTION_MS, now)
        )
        for host_id in expired:
            self._remove(host_id)
        return expired

    def count_by_liveness(self) -> dict[str, int]:
        """Return the number of hosts per liveness, for the state dump."""
        counts = collections.Counter(
            self._rows[host].liveness.value for host in self._failing_hosts
        )
        counts[Liveness.LIVE.value] += len(self) - counts.total()
        return dict(counts)

    def _is_older(self, host_id: ids.HostId, keep_ms: float, now: float) -> bool:
        return now - self._rows[host_id].state_since >= keep_ms

    def _merge_one(self, record: Member, now: float) -> bool:
        if record.host_id == self.local.host_id:
            if record.incarnation > self.local.incarnation:
                self.superseded_by = record
            return False
        row = self._rows.get(record.host_id)
        if row is None:
            if len(self._rows) >= MAX_MEMBERS:
                return False
        elif record.order_key() <= row.member.order_key():
            return False
        self._accept(record, now)
        return True

    def _accept(self, record: Member, now: float) -> Member:
        if record.host_id in self._rows:
            self._remove(record.host_id)
        member = _with_interned_names(record)
        host_id = member.host_id
        self._rows[host_id] = _Row(member, now)
        self.revision += 1
        self._revision_by_host[host_id] = self.revision
        if member.state is MemberState.LEFT:
            self._hosts_left[host_id] = None
            return member
        self._toggle_digest(member)
        self._hosts_by_service.setdefault(member.service, {})[host_id] = None
        self._hosts_by_zone.setdefault(member.zone, []).append(host_id)
        self._usable_by_service.pop(member.service, None)
        return member

    def _remove(self, host_id: ids.HostId) -> None:
        member = self._rows[host_id].member
        if member.state is not MemberState.LEFT:
            self._toggle_digest(member)
        self._rows.pop(host_id)
        self._revision_by_host.pop(host_id)
        self._failing_hosts.pop(host_id, None)
        if member.state is MemberState.LEFT:
            self._hosts_left.pop(host_id)
            return
        self._usable_by_service.pop(member.service, None)
        hosts = self._hosts_by_service[member.service]
        hosts.pop(host_id)
        if not hosts:
            self._hosts_by_service.pop(member.service)
        in_zone = self._hosts_by_zone[member.zone]
        in_zone.remove(host_id)
        if not in_zone:
            self._hosts_by_zone.pop(member.zone)

    def _toggle_digest(self, member: Member) -> None:
        # XOR makes the digest independent of order; applying it again removes the record.
        text = f'{member.host_id} {member.incarnation} {member.sequence}'
        record_hash = xxhash.xxh3_64_intdigest(text.encode(errors='replace'))
        self._digest ^= record_hash
        self._digest_by_bucket[self._rows[member.host_id].bucket] ^= record_hash

    def _set_liveness(self, row: _Row, liveness: Liveness) -> None:
        host_id = row.member.host_id
        self._failing_hosts.pop(host_id, None)
        if row.failures and row.member.state is not MemberState.LEFT:
            # The host contacted last goes to the end, so that retries rotate.
            self._failing_hosts[host_id] = None
        if row.liveness is not liveness:
            row.liveness = liveness
            self._usable_by_service.pop(row.member.service, None)

    def _select_usable(self, service: ids.ServiceName) -> tuple[Member, ...]:
        present = [
            self._rows[host]
            for host in self._hosts_by_service.get(service, ())
            if self._rows[host].member.state is not MemberState.LEAVING
        ]
        live = [row for row in present if row.liveness is Liveness.LIVE]
        serving = [row for row in live if row.member.state is MemberState.SERVING]
        mostly_unavailable = len(live) * 2 < len(present)
        selected = present if mostly_unavailable or not serving else serving
        return tuple(row.member for row in selected)


def _liveness_after(row: _Row, now: float) -> Liveness:
    if row.failures >= DEAD_FAILURES and now - row.state_since >= DEAD_AFTER_MS:
        return Liveness.DEAD
    if row.failures >= SUSPECT_FAILURES:
        return Liveness.SUSPECT if row.liveness is Liveness.LIVE else row.liveness
    return row.liveness


def _bucket_of(host_id: ids.HostId) -> int:
    return xxhash.xxh3_64_intdigest(host_id.encode(errors='replace')) & _DIGEST_MASK


def _with_interned_names(record: Member) -> Member:
    """Return the record with interned names, since thousands of records repeat them."""
    return dataclasses.replace(
        record,
        zone=sys.intern(record.zone),
        region=sys.intern(record.region),
        service=sys.intern(record.service),
        version=sys.intern(record.version),
    )
