"""Adapters between gossip and the components whose state it exchanges."""

from __future__ import annotations

import json
from collections.abc import Iterable, Sequence

from anvillug import clock, event_log, ids
from anvillug.process import config_follower
from anvillug.request import quarantine
from anvillug.version import config_state

_LOG_GRACE_MS = 100.0
"""Time for the log to deliver a number that a peer has reported."""


class ConfigSource:
    """Adapter between the configuration follower and gossip.

    State is accepted from peers while the log is unreachable, or if the log has not delivered a
    configuration number within 100 ms after a peer reported it.

    Args:
        follower: Holder of the configuration state.
        time: Clock.
    """

    def __init__(self, follower: config_follower.ConfigFollower, time: clock.Clock) -> None:
        self._follower = follower
        self._clock = time
        self._highest_peer_number = ids.ConfigNumber(0)
        self._peer_number_at = clock.Milliseconds(0)
        self._serialized_state: config_state.ConfigState | None = None
        self._serialized = b''

    def number(self) -> ids.ConfigNumber:
        """Return the configuration number in effect."""
        return self._follower.state.number

    def wants_state(self) -> bool:
        """Return whether to accept state from peers."""
        if not self._follower.log_reachable:
            return True
        behind = self._highest_peer_number > self.number()
        return behind and self._clock.now() - self._peer_number_at > _LOG_GRACE_MS

    def state_data(self) -> bytes:
        """Return the state as JSON, serialized once per state since many peers may request it."""
        state = self._follower.state
        if self._serialized_state is not state:
            self._serialized = json.dumps(config_state.to_json(state)).encode()
            self._serialized_state = state
        return self._serialized

    def apply_peer_state(self, data: bytes) -> None:
        """Apply the state of a peer if it covers more of the stream."""
        try:
            parsed = json.loads(data)
        except ValueError as error:
            event_log.warn('peer_config_rejected', reason=error)
            return
        peer_state = config_state.from_json(parsed, 'peer state')
        if peer_state.is_error():
            event_log.warn('peer_config_rejected', reason=peer_state.error[0])
        elif self._follower.offer(peer_state.ok):
            event_log.emit('config_from_peer', number=self.number())

    def record_peer_number(self, number: ids.ConfigNumber) -> None:
        """Record the configuration number of a peer that is ahead."""
        if number > self._highest_peer_number:
            self._highest_peer_number = number
            self._peer_number_at = self._clock.now()


class QuarantineSource:
    """Adapter between the quarantine table and gossip.

    Args:
        table: Quarantine table of this node.
    """

    def __init__(self, table: quarantine.Quarantine) -> None:
        self._table = table

    def notices(self, now: clock.Milliseconds) -> Sequence[quarantine.QuarantineEntry]:
        """Return all entries in effect."""
        return self._table.entries(now)

    def merge(
        self,
        entries: Iterable[quarantine.QuarantineEntry],
        now: clock.Milliseconds,
    ) -> Sequence[quarantine.QuarantineEntry]:
        """Add entries and return those that add a crash not yet recorded on this node."""
        return self._table.merge(entries, now)
