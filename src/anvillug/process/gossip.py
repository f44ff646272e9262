"""Gossip: one exchange per second with a random peer.

Cost per node does not depend on the number of nodes. Verdicts, quarantine
entries and this host's own state changes are passed on at once.
"""

from __future__ import annotations

import collections
import dataclasses
import random
from collections.abc import Iterable, Sequence
from typing import Any, Protocol

from twisted.internet import defer, interfaces, task

from anvillug import clock, event_log, ids
from anvillug.connection import control_client, control_messages
from anvillug.process import _hot_items, membership
from anvillug.request import quarantine
from anvillug.version import verdict_set

INTERVAL_SECONDS = 1.0
OWN_ZONE_PROBABILITY = 0.75
CHANGE_WINDOW_TICKS = 20  # log2(6,300) is 13 exchanges, plus some for lost ones
CHANGES_PER_EXCHANGE = 32  # 3.5 KB of records; the pull brings the rest
PULL_INTERVAL_MS = 10_000.0
PULL_LIMIT = 250  # 1,000 kept the reactor busy for 17 ms, which callers notice
URGENT_PEERS = 3
URGENT_PER_TICK = 9
SEED_INTERVAL_TICKS = 60  # joins groups of nodes that have lost each other
NOTICES_PER_EXCHANGE = 16
SUMMARIES_PER_EXCHANGE = 8
_PEER_DRAWS = 5


class Config(Protocol):
    """What gossip needs of the configuration."""

    def number(self) -> ids.ConfigNumber:
        """Return the number in effect."""

    def wants_state(self) -> bool:
        """Tell whether to take state from peers, as when the log is unavailable."""

    def state_data(self) -> bytes:
        """Return the state as JSON."""

    def offer_state(self, data: bytes) -> None:
        """Take the state of a peer if it is newer."""

    def peer_has(self, number: ids.ConfigNumber) -> None:
        """Note the number of a peer that is ahead."""


class Verdicts(Protocol):
    """What gossip needs of the set of bad versions."""

    def notices(self) -> Sequence[verdict_set.VerdictNotice]:
        """Return all verdicts."""

    def merge(
        self, notices: Iterable[verdict_set.VerdictNotice]
    ) -> Sequence[verdict_set.VerdictNotice]:
        """Add verdicts and return the new ones."""


class Quarantine(Protocol):
    """What gossip needs of the quarantine."""

    def notices(self, now: clock.Milliseconds) -> Sequence[quarantine.QuarantineEntry]:
        """Return all entries in force."""

    def merge(
        self, notices: Iterable[quarantine.QuarantineEntry], now: clock.Milliseconds
    ) -> Sequence[quarantine.QuarantineEntry]:
        """Add entries and return the new ones."""


class EvidencePool(Protocol):
    """What gossip needs of the evidence of all nodes."""

    def summaries(self, limit: int) -> Sequence[bytes]:
        """Return summaries to pass on, this host's own first."""

    def merge(self, summaries: Iterable[bytes]) -> None:
        """Take the summaries of a peer."""


class Client(Protocol):
    """What gossip needs of the control client."""

    def exchange(
        self, address: str, request: control_messages.Request
    ) -> defer.Deferred[control_messages.Reply]:
        """Send a request; fails with `ExchangeError`."""


@dataclasses.dataclass(frozen=True, slots=True)
class Sources:
    """The state owners whose state is exchanged."""

    table: membership.MemberTable
    """Member table, which gossip also uses to find peers."""
    config: Config
    """Configuration."""
    verdicts: Verdicts
    """Bad versions."""
    quarantine: Quarantine
    """Quarantined fingerprints."""
    evidence: EvidencePool
    """Evidence on new versions."""


@dataclasses.dataclass(slots=True)
class Counters:
    """Counts for the state dump."""

    sent: int = 0
    """Exchanges started by this node."""
    failed: int = 0
    """Exchanges of this node that failed."""
    received: int = 0
    """Exchanges started by peers."""
    urgent: int = 0
    """Exchanges started at once because of news."""
    pulls: int = 0
    """Exchanges with a pull of differing buckets."""
    members_accepted: int = 0
    """Member records that were newer than the known ones."""


class Gossip:
    """Exchanges state with peers.

    Args:
        sources: The state owners.
        client: Sends exchanges.
        seeds: Control addresses from the settings.
        time: Clock of the node.
        reactor: Schedules the exchanges.
        rng: Chooses peers.
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
        """Counts for the state dump."""
        self._sources = sources
        self._client = client
        self._seeds = seeds
        self._time = time
        self._rng = rng
        self._loop = task.LoopingCall(self.tick)
        self._loop.clock = reactor
        self._ticks = 0
        self._marks = collections.deque([sources.table.revision], CHANGE_WINDOW_TICKS)
        self._verdicts_hot = _hot_items.HotItems(_verdict_key)
        self._quarantine_hot = _hot_items.HotItems(_quarantine_key)
        self._pulled_at = -PULL_INTERVAL_MS
        self._urgent_left = URGENT_PER_TICK
        self._urgent_waiting = False

    def start(self) -> None:
        """Start exchanging; the first exchange is sent at once."""
        self._loop.start(INTERVAL_SECONDS)

    def stop(self) -> None:
        """Stop starting exchanges; requests of peers are still answered."""
        if self._loop.running:
            self._loop.stop()

    def tick(self) -> None:
        """Start the exchanges of one second."""
        table = self._sources.table
        now = self._time.now()
        table.expire(now)
        self._ticks += 1
        self._urgent_left = URGENT_PER_TICK
        self._marks.append(table.revision)
        if len(table) == 1 or self._ticks % SEED_INTERVAL_TICKS == 0:
            self._exchange_with_seed()
        peer = self._choose_peer()
        if peer is not None:
            self._exchange(peer)
        retried = table.host_to_retry(now)
        if retried is not None and retried != peer:
            self._exchange(retried)
        if self._urgent_waiting:
            self.spread_now()

    def spread_now(self) -> None:
        """Exchange with some peers at once, as after this host's state changed.

        At most `URGENT_PER_TICK` such exchanges start per second; further news wait.
        """
        self._urgent_waiting = False
        for _ in range(URGENT_PEERS):
            if not self._urgent_left:
                self._urgent_waiting = True
                return
            peer = self._choose_peer()
            if peer is not None:
                self._urgent_left -= 1
                self.counters.urgent += 1
                self._exchange(peer)

    def ask(self, host_id: ids.HostId) -> None:
        """Exchange with a host at once, unless too many such exchanges were started."""
        if self._urgent_left:
            self._urgent_left -= 1
            self._exchange(host_id)

    def spread_verdicts(self, notices: Iterable[verdict_set.VerdictNotice]) -> None:
        """Pass on verdicts that this node has found."""
        self._spread(notices, ())

    def spread_quarantine(self, notices: Iterable[quarantine.QuarantineEntry]) -> None:
        """Pass on quarantine entries that this node has made."""
        self._spread((), notices)

    def handle(self, request: control_messages.Request) -> control_messages.Reply:
        """Answer the exchange of a peer; the handler of the control server.

        Args:
            request: What the peer sent.

        Returns:
            The reply, computed after the request was merged.
        """
        self.counters.received += 1
        self._merge(request.news)
        self._reach_back(request)
        pulled, incomplete = (), False
        if request.bucket_digests is not None:
            found, incomplete = self._sources.table.members_differing(
                request.bucket_digests, PULL_LIMIT
            )
            pulled = tuple(found)
        return control_messages.Reply(
            news=self._news(pulled),
            config_state=self._state_for(request),
            pull_incomplete=incomplete,
        )

    def _reach_back(self, request: control_messages.Request) -> None:
        """Get from a caller what its request showed to be missing here."""
        config = self._sources.config
        member = self._sources.table.get(request.news.sender)
        if member is None:
            return
        if request.bucket_digests is None:
            self._pull_difference(request.news, member.control_address)
        behind = request.news.config_number > config.number()
        if behind and config.wants_state() and self._urgent_left:
            self._urgent_left -= 1
            self._exchange(member.host_id)

    def dump(self) -> dict[str, Any]:
        """Return counts for the state dump."""
        return {
            **dataclasses.asdict(self.counters),
            'members': len(self._sources.table),
            'liveness': self._sources.table.count_by_liveness(),
        }

    def _exchange_with_seed(self) -> None:
        own = self._sources.table.own.control_address
        others = [seed for seed in self._seeds if seed != own]
        if others:
            self._send(self._rng.choice(others), None, None)

    def _exchange(self, host_id: ids.HostId) -> None:
        member = self._sources.table.get(host_id)
        if member is not None:
            self._send(member.control_address, host_id, None)

    def _send(
        self, address: str, host_id: ids.HostId | None, bucket_digests: tuple[int, ...] | None
    ) -> None:
        self.counters.sent += 1
        request = control_messages.Request(
            news=self._news(()),
            wants_config=self._sources.config.wants_state(),
            bucket_digests=bucket_digests,
        )
        result = self._client.exchange(address, request)
        result.addCallbacks(
            self._replied, self._failed, callbackArgs=(address,), errbackArgs=(host_id,)
        )
        result.addErrback(self._broke, address)

    def _replied(self, reply: control_messages.Reply, address: str) -> None:
        self._merge(reply.news)
        if reply.config_state is not None:
            self._sources.config.offer_state(reply.config_state)
        if reply.pull_incomplete:
            self._pulled_at = -PULL_INTERVAL_MS
        self._pull_difference(reply.news, address)

    def _pull_difference(self, news: control_messages.News, address: str) -> None:
        """Pull from the very peer whose digest differs; others may differ elsewhere."""
        table = self._sources.table
        now = self._time.now()
        if news.digest == table.digest() or now - self._pulled_at < PULL_INTERVAL_MS:
            return
        self._pulled_at = now
        self.counters.pulls += 1
        self._send(address, news.sender, table.bucket_digests())

    def _failed(self, failure: Any, host_id: ids.HostId | None) -> None:
        failure.trap(control_client.ExchangeError)
        self.counters.failed += 1
        if host_id is not None:
            self._sources.table.observe(host_id, ok=False, now=self._time.now())

    def _broke(self, failure: Any, address: str) -> None:
        event_log.warn('exchange_not_processed', peer=address, error=failure.getErrorMessage())

    def _merge(self, news: control_messages.News) -> None:
        now = self._time.now()
        table = self._sources.table
        self.counters.members_accepted += len(table.merge(news.members, now))
        table.observe(news.sender, ok=True, now=now)
        if news.config_number > self._sources.config.number():
            self._sources.config.peer_has(news.config_number)
        self._sources.evidence.merge(news.evidence)
        self._spread(
            self._sources.verdicts.merge(news.verdicts),
            self._sources.quarantine.merge(news.quarantine, now),
        )

    def _spread(self, verdicts: Iterable[Any], entries: Iterable[Any]) -> None:
        now = self._time.now()
        added = self._verdicts_hot.add(verdicts, now) + self._quarantine_hot.add(entries, now)
        if added:
            self.spread_now()

    def _news(self, pulled: tuple[membership.Member, ...]) -> control_messages.News:
        sources = self._sources
        now = self._time.now()
        table = sources.table
        return control_messages.News(
            sender=table.own.host_id,
            incarnation=table.own.incarnation,
            config_number=sources.config.number(),
            digest=table.digest(),
            members=(table.own, *(pulled or self._changes())),
            verdicts=self._verdicts_hot.pick(sources.verdicts.notices(), NOTICES_PER_EXCHANGE, now),
            quarantine=self._quarantine_hot.pick(
                sources.quarantine.notices(now), NOTICES_PER_EXCHANGE, now
            ),
            evidence=tuple(sources.evidence.summaries(SUMMARIES_PER_EXCHANGE)),
        )

    def _changes(self) -> tuple[membership.Member, ...]:
        table = self._sources.table
        changed = table.changes_since(self._marks[0], CHANGES_PER_EXCHANGE)
        return tuple(member for member in changed if member is not table.own)

    def _state_for(self, request: control_messages.Request) -> bytes | None:
        config = self._sources.config
        if request.wants_config and config.number() > request.news.config_number:
            return config.state_data()
        return None

    def _choose_peer(self) -> ids.HostId | None:
        """Return a random peer that is not dead, mostly of the own zone."""
        table = self._sources.table
        for _ in range(_PEER_DRAWS):
            hosts = table.hosts_in(self._choose_zone())
            host_id = self._rng.choice(hosts) if hosts else table.own.host_id
            dead = table.liveness(host_id) is membership.Liveness.DEAD
            if host_id != table.own.host_id and not dead:
                return host_id
        return None

    def _choose_zone(self) -> ids.ZoneName:
        table = self._sources.table
        others = [zone for zone in table.zones() if zone != table.own.zone]
        alone = len(table.hosts_in(table.own.zone)) <= 1
        if others and (alone or self._rng.random() >= OWN_ZONE_PROBABILITY):
            sizes = [len(table.hosts_in(zone)) for zone in others]
            return self._rng.choices(others, sizes)[0]
        return table.own.zone


def _verdict_key(notice: verdict_set.VerdictNotice) -> tuple[str, int]:
    return (notice.service, notice.move)


def _quarantine_key(entry: quarantine.QuarantineEntry) -> tuple[str, tuple[str, ...]]:
    # A further crash of the same fingerprint is news again.
    return (entry.fingerprint, entry.crash_ids)
