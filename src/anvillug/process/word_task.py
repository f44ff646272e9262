"""Asks other nodes for their word of the log, so that few nodes have to read the log itself."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from anvillug import clock, event_log, ids
from anvillug.connection import http_head, http_pool
from anvillug.process import peer_table, sound_word
from anvillug.request import remote_run

# Age from which a node asks, as a share of the limit. The nodes that read the log stay below it.
_ASK_SHARE = 0.5
_STEP_MS = 150.0
# While no node has a newer word, a node asks less often, up to this interval.
_MAX_PAUSE_MS = 1200.0
_PAUSE_FACTOR = 2.0
_TIMEOUT_MS = 400.0


class WordTask:
    """Keeps the word of this node recent.

    It asks the node that reads the log in the same zone, and any live node if that is of no use.

    Args:
        reactor: Timers.
        word: Word of this node.
        peers: Other nodes.
        zone: Zone of this node.
        pool: Returns the connections to an address.
        rng: Selects nodes.
    """

    def __init__(
        self,
        reactor: Any,
        word: sound_word.SoundWord,
        peers: peer_table.PeerTable,
        zone: ids.ZoneName,
        pool: Callable[[str], http_pool.Pool],
        rng: random.Random,
    ) -> None:
        self._reactor = reactor
        self._word = word
        self._peers = peers
        self._zone = zone
        self._pool = pool
        self._rng = rng
        self._request: remote_run.PeerRequest | None = None
        self._sent_at = clock.Milliseconds(0)
        self._pause_ms = 0.0
        self._was_useless = False
        self._was_recent = True

    def start(self) -> None:
        """Ask from now on whenever the word is not recent."""
        # First, so that a failure does not end the task.
        self._reactor.callLater(clock.to_seconds(_STEP_MS), self.start)
        self._report()
        if self._word.age_ms < self._word.limit_ms * _ASK_SHARE:
            self._pause_ms = 0.0
        elif self._request is None and self._word.now() - self._sent_at >= self._pause_ms:
            self._ask()

    def choose(self) -> peer_table.Peer | None:
        """Return the node to ask next; None if no other node is live."""
        live_by_zone = self._peers.live_by_zone()
        readers = [
            peer for peer in live_by_zone.get(self._zone, ()) if peer.announcement.reaches_log
        ]
        if readers and not self._was_useless:
            return min(readers, key=lambda peer: peer.host_id)
        live = [peer for peers in live_by_zone.values() for peer in peers]
        return self._rng.choice(live) if live else None

    def _ask(self) -> None:
        peer = self.choose()
        if peer is None:
            return
        head = http_head.RequestHead(b'GET', sound_word.PATH, [(b'Host', b'node')])
        self._sent_at = self._word.now()
        self._request = remote_run.PeerRequest(head, b'', self._answered, self._failed)
        self._request.limit_time(self._reactor, clock.to_seconds(_TIMEOUT_MS))
        self._request.begin(self._pool(peer.announcement.peer_address))

    def _answered(self, body: bytes) -> None:
        try:
            is_newer = self._word.receive(self._sent_at, body)
        except sound_word.MALFORMED_ERRORS as error:
            event_log.warn('word_malformed', reason=error)
            is_newer = False
        self._finish(is_useless=not is_newer)

    def _failed(self, reason: str, sent: bool) -> None:
        event_log.warn('word_not_received', reason=reason, sent=sent)
        self._finish(is_useless=True)

    def _finish(self, *, is_useless: bool) -> None:
        self._request = None
        self._was_useless = is_useless and not self._was_useless
        longer_ms = max(_STEP_MS, self._pause_ms * _PAUSE_FACTOR)
        self._pause_ms = min(_MAX_PAUSE_MS, longer_ms) if is_useless else 0.0

    def _report(self) -> None:
        if self._word.is_recent is not self._was_recent:
            self._was_recent = self._word.is_recent
            event_log.emit(
                'word_recent' if self._was_recent else 'word_too_old',
                age_ms=int(self._word.shown_age_ms),
                limit_ms=int(self._word.limit_ms),
            )
