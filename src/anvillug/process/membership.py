"""Member table: what this node knows about all nodes.

A record is written only by the host it describes and is ordered by
(incarnation, sequence). Liveness is this node's own observation and is never
sent to others. A renewal in the log repeats the record unchanged, so that only
real changes travel by gossip.
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
"""Buckets of the digest; 6,300 members put about 25 of them in each."""

LEFT_KEEP_MS = 7_200_000.0  # twice the hour for which regions may be partitioned
DEAD_KEEP_MS = 86_400_000.0  # an hour of partition must not empty the table
SUSPECT_FAILURES = 2
DEAD_FAILURES = 4
DEAD_AFTER_MS = 5_000.0
RETRY_AFTER_MS = 5_000.0
MAX_MEMBERS = 20_000  # three times the planned 6,300; bounds memory against bad peers

_DIGEST_MASK = BUCKET_COUNT - 1


class MemberState(enum.Enum):
    """State of a host as told by the host itself."""

    STARTING = 'starting'
    SERVING = 'serving'
    LEAVING = 'leaving'
    LEFT = 'left'


class Liveness(enum.Enum):
    """What this node observed of a host."""

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
    """Counts the changes of the record within one incarnation."""
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

    def order(self) -> tuple[int, int]:
        """Return the key by which records of one host are ordered."""
        return (self.incarnation, self.sequence)


class _Row:
    """A record with local observations; slots keep it small."""

    __slots__ = ('bucket', 'failures', 'liveness', 'member', 'since', 'tried_at')

    def __init__(self, member: Member, now: float) -> None:
        self.member = member
        self.bucket = _bucket_of(member.host_id)  # hashing all hosts for a pull took 3 ms
        self.liveness = Liveness.LIVE
        self.failures = 0
        self.since = now  # of the first failure, or of the state LEFT
        self.tried_at = now


class MemberTable:
    """All known members with liveness, indexes and digest.

    Args:
        own: Record of this host; it wins over what peers say about this host.
        now: Monotonic time in milliseconds.
    """

    def __init__(self, own: Member, now: clock.Milliseconds) -> None:
        self.superseded_by: Member | None = None
        """Record with this host's id and a later incarnation, if a peer has one."""
        self.change_mark = 0
        """Counts accepted records; a mark for `changes_since`."""
        self._rows: dict[ids.HostId, _Row] = {}
        self._marks: dict[ids.HostId, int] = {}  # oldest change first
        self._hosts_by_service: dict[ids.ServiceName, dict[ids.HostId, None]] = {}
        self._usable_by_service: dict[ids.ServiceName, tuple[Member, ...]] = {}
        self._hosts_by_zone: dict[ids.ZoneName, list[ids.HostId]] = {}
        self._doubtful: dict[ids.HostId, None] = {}
        self._left: dict[ids.HostId, None] = {}
        self._buckets = [0 for _ in range(BUCKET_COUNT)]
        self._digest = 0
        self.own = self._accept(own, now)
        """Current record of this host."""

    def __len__(self) -> int:
        """Return the number of members, without those that have left."""
        return len(self._rows) - len(self._left)

    def update_own(self, now: clock.Milliseconds, **changes: object) -> Member:
        """Write a new record of this host.

        Args:
            now: Monotonic time in milliseconds.
            **changes: Fields of `Member` to replace, such as `state`.

        Returns:
            The new record, with the next sequence.
        """
        sequence = self.own.sequence + 1
        self.own = dataclasses.replace(self.own, sequence=sequence, **changes)
        self.own = self._accept(self.own, now)
        return self.own

    def merge(self, records: Iterable[Member], now: clock.Milliseconds) -> list[Member]:
        """Accept the records that are newer than the known ones.

        Args:
            records: Records from a peer or the log.
            now: Monotonic time in milliseconds.

        Returns:
            The accepted records.
        """
        return [record for record in records if self._merge_one(record, now)]

    def get(self, host_id: ids.HostId) -> Member | None:
        """Return the record of a host, also when it has left."""
        row = self._rows.get(host_id)
        return None if row is None else row.member

    def liveness(self, host_id: ids.HostId) -> Liveness:
        """Return the observed liveness; unknown hosts are `DEAD`."""
        row = self._rows.get(host_id)
        return Liveness.DEAD if row is None else row.liveness

    def members_of(self, service: ids.ServiceName) -> list[Member]:
        """Return the members of a service that have not left."""
        return [self._rows[host].member for host in self._hosts_by_service.get(service, ())]

    def usable(self, service: ids.ServiceName) -> tuple[Member, ...]:
        """Return the members to which calls of a service may go.

        When most of them are suspect or dead, the fault is more likely on this
        node's side: then all that are not leaving are returned.

        Args:
            service: Name of the service.

        Returns:
            Members in no particular order; kept until a change concerns the service.
        """
        found = self._usable_by_service.get(service)
        if found is None:
            found = self._find_usable(service)
            if service in self._hosts_by_service:
                self._usable_by_service[service] = found
        return found

    def services(self) -> list[ids.ServiceName]:
        """Return the services that have members."""
        return list(self._hosts_by_service)

    def zones(self) -> list[ids.ZoneName]:
        """Return the zones that have members."""
        return list(self._hosts_by_zone)

    def hosts_in(self, zone: ids.ZoneName) -> Sequence[ids.HostId]:
        """Return the hosts of a zone that have not left; do not change the result."""
        return self._hosts_by_zone.get(zone, ())

    def changes_since(self, mark: int, limit: int) -> list[Member]:
        """Return the newest changes after a mark.

        Args:
            mark: An earlier value of `change_mark`.
            limit: Largest number of records; older changes are left to the pull.

        Returns:
            Records, newest change first.
        """
        newest_first = itertools.islice(reversed(self._marks.items()), limit)
        changed = itertools.takewhile(lambda entry: entry[1] > mark, newest_first)
        return [self._rows[host_id].member for host_id, _ in changed]

    def digest(self) -> int:
        """Return a 64-bit digest of all records but `LEFT` ones, in any order."""
        return self._digest

    def bucket_digests(self) -> tuple[int, ...]:
        """Return the digest of each bucket, so that a pull moves only what differs."""
        return tuple(self._buckets)

    def members_differing(self, theirs: Sequence[int], limit: int) -> tuple[list[Member], bool]:
        """Return the records of the buckets whose digest differs.

        Args:
            theirs: Bucket digests of the peer.
            limit: Largest number of records.

        Returns:
            The records, and whether some were left out.
        """
        differing = {
            index
            for index, (ours, other) in enumerate(zip(self._buckets, theirs, strict=False))
            if ours != other
        }
        if not differing:
            return [], False
        matching = [row for row in self._rows.values() if row.bucket in differing]
        # Whole buckets first: each incomplete pull leaves fewer buckets for the next one.
        matching.sort(key=operator.attrgetter('bucket'))
        found = [row.member for row in matching[:limit]]
        return found, len(matching) > limit

    def observe(self, host_id: ids.HostId, ok: bool, now: clock.Milliseconds) -> Liveness:
        """Record the result of an exchange or call.

        Args:
            host_id: The host that was contacted, or that contacted this node.
            ok: Whether it answered.
            now: Monotonic time in milliseconds.

        Returns:
            The liveness after this observation.
        """
        row = self._rows.get(host_id)
        if row is None:
            return Liveness.DEAD
        row.tried_at = now
        if ok or host_id == self.own.host_id:
            row.failures = 0
            self._set_liveness(row, Liveness.LIVE)
            return row.liveness
        if not row.failures:
            row.since = now
        row.failures += 1
        self._set_liveness(row, _liveness_after(row, now))
        return row.liveness

    def host_to_retry(self, now: clock.Milliseconds) -> ids.HostId | None:
        """Return a host whose last contact failed and that was not tried for a while."""
        for host_id in self._doubtful:
            if now - self._rows[host_id].tried_at >= RETRY_AFTER_MS:
                return host_id
        return None

    def expire(self, now: clock.Milliseconds) -> list[ids.HostId]:
        """Drop hosts that left long ago and hosts that were dead for a day.

        Args:
            now: Monotonic time in milliseconds.

        Returns:
            The dropped hosts.
        """
        dropped = [host for host in self._left if self._is_older(host, LEFT_KEEP_MS, now)]
        dropped.extend(
            host
            for host in self._doubtful
            if self._rows[host].liveness is Liveness.DEAD
            and self._is_older(host, DEAD_KEEP_MS, now)
        )
        for host_id in dropped:
            self._remove(host_id)
        return dropped

    def count_by_liveness(self) -> dict[str, int]:
        """Return the number of hosts per liveness, for the state dump."""
        counts = collections.Counter(self._rows[host].liveness.value for host in self._doubtful)
        counts[Liveness.LIVE.value] += len(self) - counts.total()
        return dict(counts)

    def _is_older(self, host_id: ids.HostId, keep_ms: float, now: float) -> bool:
        return now - self._rows[host_id].since >= keep_ms

    def _merge_one(self, record: Member, now: float) -> bool:
        if record.host_id == self.own.host_id:
            if record.incarnation > self.own.incarnation:
                self.superseded_by = record
            return False
        row = self._rows.get(record.host_id)
        if row is None:
            if len(self._rows) >= MAX_MEMBERS:
                return False
        elif record.order() <= row.member.order():
            return False
        self._accept(record, now)
        return True

    def _accept(self, record: Member, now: float) -> Member:
        if record.host_id in self._rows:
            self._remove(record.host_id)
        member = _with_shared_names(record)
        host_id = member.host_id
        self._rows[host_id] = _Row(member, now)
        self.change_mark += 1
        self._marks[host_id] = self.change_mark
        if member.state is MemberState.LEFT:
            self._left[host_id] = None
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
        self._marks.pop(host_id)
        self._doubtful.pop(host_id, None)
        if member.state is MemberState.LEFT:
            self._left.pop(host_id)
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
        # XOR makes the digest independent of order and undoes itself on removal.
        text = f'{member.host_id} {member.incarnation} {member.sequence}'
        mark = xxhash.xxh3_64_intdigest(text.encode(errors='replace'))
        self._digest ^= mark
        self._buckets[self._rows[member.host_id].bucket] ^= mark

    def _set_liveness(self, row: _Row, liveness: Liveness) -> None:
        host_id = row.member.host_id
        self._doubtful.pop(host_id, None)
        if row.failures and row.member.state is not MemberState.LEFT:
            # The host tried last goes to the end, so that retries take turns.
            self._doubtful[host_id] = None
        if row.liveness is not liveness:
            row.liveness = liveness
            self._usable_by_service.pop(row.member.service, None)

    def _find_usable(self, service: ids.ServiceName) -> tuple[Member, ...]:
        present = [
            self._rows[host]
            for host in self._hosts_by_service.get(service, ())
            if self._rows[host].member.state is not MemberState.LEAVING
        ]
        live = [row for row in present if row.liveness is Liveness.LIVE]
        serving = [row for row in live if row.member.state is MemberState.SERVING]
        most_suspect = len(live) * 2 < len(present)
        chosen = present if most_suspect or not serving else serving
        return tuple(row.member for row in chosen)


def _liveness_after(row: _Row, now: float) -> Liveness:
    if row.failures >= DEAD_FAILURES and now - row.since >= DEAD_AFTER_MS:
        return Liveness.DEAD
    if row.failures >= SUSPECT_FAILURES:
        return Liveness.SUSPECT if row.liveness is Liveness.LIVE else row.liveness
    return row.liveness


def _bucket_of(host_id: ids.HostId) -> int:
    return xxhash.xxh3_64_intdigest(host_id.encode(errors='replace')) & _DIGEST_MASK


def _with_shared_names(record: Member) -> Member:
    """Return the record with interned names, which thousands of records repeat."""
    return dataclasses.replace(
        record,
        zone=sys.intern(record.zone),
        region=sys.intern(record.region),
        service=sys.intern(record.service),
        version=sys.intern(record.version),
    )
