"""Adapters between gossip and the owners of the state that it carries."""

from __future__ import annotations

import json
from collections.abc import Iterable, Sequence

from anvillug import clock, event_log, ids
from anvillug.process import config_follower
from anvillug.request import quarantine
from anvillug.version import config_state

_LOG_GRACE_MS = 100.0


class ConfigSource:
    """Configuration as gossip sees it.

    State is taken from peers when the log is out of reach, or has not brought
    within a tenth of a second what a peer has.

    Args:
        follower: Owner of the configuration state.
        time: Clock.
    """

    def __init__(self, follower: config_follower.ConfigFollower, time: clock.Clock) -> None:
        self._follower = follower
        self._clock = time
        self._highest_seen = ids.ConfigNumber(0)
        self._seen_at = clock.Milliseconds(0)
        self._written_state: config_state.ConfigState | None = None
        self._written = b''

    def number(self) -> ids.ConfigNumber:
        """Return the number in effect."""
        return self._follower.state.number

    def wants_state(self) -> bool:
        """Tell whether to take state from peers."""
        if not self._follower.log_reachable:
            return True
        behind = self._highest_seen > self.number()
        return behind and self._clock.now() - self._seen_at > _LOG_GRACE_MS

    def state_data(self) -> bytes:
        """Return the state as JSON, written once per state as many peers may want it."""
        state = self._follower.state
        if self._written_state is not state:
            self._written = json.dumps(config_state.to_json(state)).encode()
            self._written_state = state
        return self._written

    def offer_state(self, data: bytes) -> None:
        """Take the state of a peer if it covers more."""
        try:
            parsed = json.loads(data)
        except ValueError as error:
            event_log.warn('peer_config_rejected', reason=error)
            return
        offered = config_state.from_json(parsed, 'peer state')
        if offered.is_error():
            event_log.warn('peer_config_rejected', reason=offered.error[0])
        elif self._follower.feed(offered.ok):
            event_log.emit('config_from_peer', number=self.number())

    def peer_has(self, number: ids.ConfigNumber) -> None:
        """Note the number of a peer that is ahead."""
        if number > self._highest_seen:
            self._highest_seen = number
            self._seen_at = self._clock.now()


class QuarantineSource:
    """Quarantine as gossip sees it.

    Args:
        suspects: Owner of the entries.
    """

    def __init__(self, suspects: quarantine.Quarantine) -> None:
        self._suspects = suspects

    def notices(self, now: clock.Milliseconds) -> Sequence[quarantine.QuarantineEntry]:
        """Return all entries in force."""
        return self._suspects.entries(now)

    def merge(
        self,
        entries: Iterable[quarantine.QuarantineEntry],
        now: clock.Milliseconds,
    ) -> Sequence[quarantine.QuarantineEntry]:
        """Add entries and return those that tell of a crash unknown here."""
        return self._suspects.merge(entries, now)
