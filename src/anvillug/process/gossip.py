"""Gossip: one exchange per second with a random peer.

The cost per node is independent of the number of nodes. Verdicts, quarantine entries and
changes of this host's state are propagated immediately.
"""

from __future__ import annotations

import collections
import dataclasses
import random
from collections.abc import Iterable, Sequence
from typing import Any, Protocol

from twisted.internet import defer, interfaces, task
from twisted.python import failure as twisted_failure

from anvillug import clock, event_log, ids
from anvillug.connection import control_client, control_messages
from anvillug.process import _hot_items, membership
from anvillug.request import quarantine
from anvillug.version import verdict_set

INTERVAL_S = 1.0
LOCAL_ZONE_PROBABILITY = 0.75
"""Probability that the peer of an exchange is in the zone of this host."""
CHANGE_WINDOW_TICKS = 20
"""Number of intervals in which a node sends a changed record.

A change reaches 6,300 nodes after log2(6,300) = 13 exchanges; the rest allows for lost ones.
"""
CHANGES_PER_EXCHANGE = 32
"""Maximum number of changed records per exchange, 3.5 KB; a pull transfers the rest."""
PULL_INTERVAL_MS = 10_000.0
"""Minimum time between pulls, unless the previous one was incomplete."""
PULL_LIMIT = 250
"""Maximum number of records per pull.

1,000 records blocked the reactor for 17 ms, which delayed calls.
"""
URGENT_PEERS = 3
"""Number of peers to which a change is sent immediately."""
URGENT_PER_TICK = 9
"""Maximum number of urgent exchanges per interval."""
SEED_INTERVAL_TICKS = 60
"""Number of intervals between exchanges with a seed.

These reconnect groups of nodes that have lost contact.
"""
NOTICES_PER_EXCHANGE = 16
"""Maximum number of verdicts, and of quarantine entries, per exchange."""
SUMMARIES_PER_EXCHANGE = 8
"""Maximum number of evidence summaries per exchange."""

_MAX_PEER_DRAWS = 5


class Config(Protocol):
    """Interface to the configuration state."""

    def number(self) -> ids.ConfigNumber:
        """Return the configuration number in effect."""

    def wants_state(self) -> bool:
        """Return whether to accept state from peers, such as while the log is unavailable."""

    def state_data(self) -> bytes:
        """Return the configuration state as JSON."""

    def apply_peer_state(self, data: bytes) -> None:
        """Apply the state of a peer if it is newer."""

    def record_peer_number(self, number: ids.ConfigNumber) -> None:
        """Record the configuration number of a peer that is ahead."""


class Verdicts(Protocol):
    """Interface to the set of bad versions."""

    def notices(self) -> Sequence[verdict_set.VerdictNotice]:
        """Return all verdicts."""

    def merge(
        self, notices: Iterable[verdict_set.VerdictNotice]
    ) -> Sequence[verdict_set.VerdictNotice]:
        """Add verdicts and return the new ones."""


class Quarantine(Protocol):
    """Interface to the quarantine table."""

    def notices(self, now: clock.Milliseconds) -> Sequence[quarantine.QuarantineEntry]:
        """Return all entries in effect."""

    def merge(
        self, notices: Iterable[quarantine.QuarantineEntry], now: clock.Milliseconds
    ) -> Sequence[quarantine.QuarantineEntry]:
        """Add entries and return the new ones."""


class EvidencePool(Protocol):
    """Interface to the evidence of all nodes."""

    def summaries(self, limit: int) -> Sequence[bytes]:
        """Return summaries to send to a peer, that of this host first."""

    def merge(self, summaries: Iterable[bytes]) -> None:
        """Merge the summaries of a peer."""


class Client(Protocol):
    """Interface to the control client."""

    def exchange(
        self, address: str, request: control_messages.Request
    ) -> defer.Deferred[control_messages.Reply]:
        """Send a request; the result fails with `ExchangeError`."""


@dataclasses.dataclass(frozen=True, slots=True)
class Sources:
    """Components whose state gossip exchanges."""

    table: membership.MemberTable
    """Member table; gossip also selects its peers from it."""
    config: Config
    """Configuration."""
    verdicts: Verdicts
    """Bad versions."""
    quarantine: Quarantine
    """Quarantined fingerprints."""
    evidence: EvidencePool
    """Evidence on new versions in a rollout."""


@dataclasses.dataclass(slots=True)
class Counters:
    """Counters for the state dump."""

    sent: int = 0
    """Exchanges started by this node."""
    failed: int = 0
    """Exchanges of this node that failed."""
    received: int = 0
    """Exchanges started by peers."""
    urgent: int = 0
    """Exchanges started immediately because of a change."""
    pulls: int = 0
    """Exchanges with a pull of differing buckets."""
    members_accepted: int = 0
    """Member records that were newer than the current ones."""


class Gossip:
    """Exchanges state with peers.

    Args:
        sources: Components whose state is exchanged.
        client: Sends exchanges.
        seeds: Control addresses from the settings.
        time: Clock of the node.
        reactor: Schedules the exchanges.
        rng: Selects peers.
    """

    def __init__(
        self,
        sources: Sources,
        client: Client,
        seeds: Sequence[str],
        time: clock.Clock,
        reactor: interfaces.IReactorTime,
        rng: random.Random,
    ) -> None:
        self.counters = Counters()
        """Counters for the state dump."""
        self._sources = sources
        self._client = client
        self._seeds = seeds
        self._time = time
        self._rng = rng
        self._loop = task.LoopingCall(self.tick)
        self._loop.clock = reactor
        self._ticks = 0
        self._recent_revisions = collections.deque([sources.table.revision], CHANGE_WINDOW_TICKS)
        self._hot_verdicts = _hot_items.HotItems(_verdict_key)
        self._hot_quarantine = _hot_items.HotItems(_quarantine_key)
        self._last_pull_at = -PULL_INTERVAL_MS
        self._urgent_remaining = URGENT_PER_TICK
        self._urgent_pending = False

    def start(self) -> None:
        """Start exchanging; the first exchange is sent immediately."""
        self._loop.start(INTERVAL_S).addErrback(self._tick_failed)

    def stop(self) -> None:
        """Stop starting exchanges; requests of peers are still handled."""
        if self._loop.running:
            self._loop.stop()

    def tick(self) -> None:
        """Start the regular exchanges of one interval."""
        table = self._sources.table
        now = self._time.now()
        table.expire(now)
        self._ticks += 1
        self._urgent_remaining = URGENT_PER_TICK
        self._recent_revisions.append(table.revision)
        if len(table) == 1 or self._ticks % SEED_INTERVAL_TICKS == 0:
            self._exchange_with_seed()
        peer = self._choose_peer()
        if peer is not None:
            self._exchange(peer)
        host_to_retry = table.host_to_retry(now)
        if host_to_retry is not None and host_to_retry != peer:
            self._exchange(host_to_retry)
        if self._urgent_pending:
            self.exchange_urgently()

    def exchange_urgently(self) -> None:
        """Exchange with some peers immediately, for example after this host's state changed.

        At most `URGENT_PER_TICK` such exchanges start per interval; further ones are deferred to
        the next interval.
        """
        self._urgent_pending = False
        for _ in range(URGENT_PEERS):
            if not self._urgent_remaining:
                self._urgent_pending = True
                return
            peer = self._choose_peer()
            if peer is not None:
                self._urgent_remaining -= 1
                self.counters.urgent += 1
                self._exchange(peer)

    def exchange_with(self, host_id: ids.HostId) -> None:
        """Exchange with a host immediately, unless the limit of urgent exchanges is reached."""
        if self._urgent_remaining:
            self._urgent_remaining -= 1
            self._exchange(host_id)

    def propagate_verdicts(self, notices: Iterable[verdict_set.VerdictNotice]) -> None:
        """Propagate verdicts that this node has reached."""
        self._propagate(notices, ())

    def propagate_quarantine(self, notices: Iterable[quarantine.QuarantineEntry]) -> None:
        """Propagate quarantine entries that this node has created."""
        self._propagate((), notices)

    def handle(self, request: control_messages.Request) -> control_messages.Reply:
        """Handle the exchange of a peer, as the handler of the control server.

        Args:
            request: Request of the peer.

        Returns:
            The reply, computed after the request has been merged.
        """
        self.counters.received += 1
        self._merge(request.news)
        self._request_missing(request)
        pulled, incomplete = (), False
        if request.bucket_digests is not None:
            members, incomplete = self._sources.table.members_in_differing_buckets(
                request.bucket_digests, PULL_LIMIT
            )
            pulled = tuple(members)
        return control_messages.Reply(
            news=self._build_news(pulled),
            config_state=self._config_state_for(request),
            pull_incomplete=incomplete,
        )

    def _tick_failed(self, failure: twisted_failure.Failure) -> None:
        """Go on after a failed tick."""
        event_log.error('gossip_tick_failed', failure.value)
        self._loop.start(INTERVAL_S, now=False).addErrback(self._tick_failed)

    def _request_missing(self, request: control_messages.Request) -> None:
        """Request state from a peer whose request shows that it has newer state."""
        config = self._sources.config
        member = self._sources.table.get(request.news.sender)
        if member is None:
            return
        if request.bucket_digests is None:
            self._pull_difference(request.news, member.control_address)
        behind = request.news.config_number > config.number()
        if behind and config.wants_state() and self._urgent_remaining:
            self._urgent_remaining -= 1
            self._exchange(member.host_id)

    def dump(self) -> dict[str, Any]:
        """Return the counters for the state dump."""
        return {
            **dataclasses.asdict(self.counters),
            'members': len(self._sources.table),
            'liveness': self._sources.table.count_by_liveness(),
        }

    def _exchange_with_seed(self) -> None:
        local_address = self._sources.table.local.control_address
        other_seeds = [seed for seed in self._seeds if seed != local_address]
        if other_seeds:
            self._send(self._rng.choice(other_seeds), None, None)

    def _exchange(self, host_id: ids.HostId) -> None:
        member = self._sources.table.get(host_id)
        if member is not None:
            self._send(member.control_address, host_id, None)

    def _send(
        self, address: str, host_id: ids.HostId | None, bucket_digests: tuple[int, ...] | None
    ) -> None:
        self.counters.sent += 1
        request = control_messages.Request(
            news=self._build_news(()),
            wants_config=self._sources.config.wants_state(),
            bucket_digests=bucket_digests,
        )
        result = self._client.exchange(address, request)
        result.addCallbacks(
            self._reply_received,
            self._exchange_failed,
            callbackArgs=(address,),
            errbackArgs=(host_id,),
        )
        result.addErrback(self._processing_failed, address)

    def _reply_received(self, reply: control_messages.Reply, address: str) -> None:
        self._merge(reply.news)
        if reply.config_state is not None:
            self._sources.config.apply_peer_state(reply.config_state)
        if reply.pull_incomplete:
            self._last_pull_at = -PULL_INTERVAL_MS
        self._pull_difference(reply.news, address)

    def _pull_difference(self, news: control_messages.News, address: str) -> None:
        """Pull from the peer whose digest differs; other peers may differ in other buckets."""
        table = self._sources.table
        now = self._time.now()
        if news.digest == table.digest() or now - self._last_pull_at < PULL_INTERVAL_MS:
            return
        self._last_pull_at = now
        self.counters.pulls += 1
        self._send(address, news.sender, table.bucket_digests())

    def _exchange_failed(self, failure: Any, host_id: ids.HostId | None) -> None:
        failure.trap(control_client.ExchangeError)
        self.counters.failed += 1
        if host_id is not None:
            self._sources.table.observe(host_id, ok=False, now=self._time.now())

    def _processing_failed(self, failure: Any, address: str) -> None:
        event_log.warn('exchange_not_processed', peer=address, error=failure.getErrorMessage())

    def _merge(self, news: control_messages.News) -> None:
        now = self._time.now()
        table = self._sources.table
        self.counters.members_accepted += len(table.merge(news.members, now))
        table.observe(news.sender, ok=True, now=now)
        if news.config_number > self._sources.config.number():
            self._sources.config.record_peer_number(news.config_number)
        self._sources.evidence.merge(news.evidence)
        self._propagate(
            self._sources.verdicts.merge(news.verdicts),
            self._sources.quarantine.merge(news.quarantine, now),
        )

    def _propagate(self, verdicts: Iterable[Any], entries: Iterable[Any]) -> None:
        now = self._time.now()
        added = self._hot_verdicts.add(verdicts, now) + self._hot_quarantine.add(entries, now)
        if added:
            self.exchange_urgently()

    def _build_news(self, pulled: tuple[membership.Member, ...]) -> control_messages.News:
        sources = self._sources
        now = self._time.now()
        table = sources.table
        return control_messages.News(
            sender=table.local.host_id,
            incarnation=table.local.incarnation,
            config_number=sources.config.number(),
            digest=table.digest(),
            members=(table.local, *(pulled or self._recent_changes())),
            verdicts=self._hot_verdicts.select(
                sources.verdicts.notices(), NOTICES_PER_EXCHANGE, now
            ),
            quarantine=self._hot_quarantine.select(
                sources.quarantine.notices(now), NOTICES_PER_EXCHANGE, now
            ),
            evidence=tuple(sources.evidence.summaries(SUMMARIES_PER_EXCHANGE)),
        )

    def _recent_changes(self) -> tuple[membership.Member, ...]:
        table = self._sources.table
        changed = table.changes_since(self._recent_revisions[0], CHANGES_PER_EXCHANGE)
        return tuple(member for member in changed if member is not table.local)

    def _config_state_for(self, request: control_messages.Request) -> bytes | None:
        config = self._sources.config
        if request.wants_config and config.number() > request.news.config_number:
            return config.state_data()
        return None

    def _choose_peer(self) -> ids.HostId | None:
        """Return a random peer that is not dead, mostly from the zone of this host."""
        table = self._sources.table
        for _ in range(_MAX_PEER_DRAWS):
            hosts = table.hosts_in(self._choose_zone())
            host_id = self._rng.choice(hosts) if hosts else table.local.host_id
            dead = table.liveness(host_id) is membership.Liveness.DEAD
            if host_id != table.local.host_id and not dead:
                return host_id
        return None

    def _choose_zone(self) -> ids.ZoneName:
        table = self._sources.table
        other_zones = [zone for zone in table.zones() if zone != table.local.zone]
        alone_in_zone = len(table.hosts_in(table.local.zone)) <= 1
        if other_zones and (alone_in_zone or self._rng.random() >= LOCAL_ZONE_PROBABILITY):
            sizes = [len(table.hosts_in(zone)) for zone in other_zones]
            return self._rng.choices(other_zones, sizes)[0]
        return table.local.zone


def _verdict_key(notice: verdict_set.VerdictNotice) -> tuple[str, int]:
    return (notice.service, notice.move)


def _quarantine_key(entry: quarantine.QuarantineEntry) -> tuple[str, tuple[str, ...]]:
    # A further crash with the same fingerprint makes the entry new again.
    return (entry.fingerprint, entry.crash_ids)
