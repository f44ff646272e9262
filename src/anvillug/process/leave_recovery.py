"""Decides when a process knows the leaves that previous processes of its node have acknowledged.

Until then, its backend server gets no requests. The log keeps the leaves; while it is away, other
nodes remember them.
"""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import Any

from anvillug import event_log
from anvillug.process import leave_record, upstream

# Time for the first read of the log, and for more than one peer to respond: a single one may have
# missed the newest leave.
_PEER_WAIT_S = 1.0
# Time after which a node serves even if nobody knows its leaves, as after the restart of all nodes
# while the log is away. Heartbeats arrive at most a few seconds late.
_MAX_WAIT_S = 5.0


class _Source(enum.Enum):
    LOG = 'log'
    PEERS = 'peers'


class LeaveRecovery:
    """Recovery of the leaves at the start of a process.

    Args:
        reactor: Timers.
        backend: Backend server of the node.
        on_served: Called when the backend server may accept requests by what peers remember.
    """

    def __init__(
        self, reactor: Any, backend: upstream.Upstream, on_served: Callable[[], None]
    ) -> None:
        self._reactor = reactor
        self._upstream = backend
        self._on_served = on_served
        self._has_waited = False
        self._has_response = False

    def start(self) -> None:
        """Hold the backend server back until its leaves are known or have not been told in time."""
        self._upstream.await_leave()
        self._reactor.callLater(_PEER_WAIT_S, self._wait_ended)
        self._reactor.callLater(_MAX_WAIT_S, self._give_up)

    def log_read(self) -> None:
        """End the recovery, since the leaves in the log have been restored."""
        if not self._upstream.knows_leaves:
            self._end(_Source.LOG)

    def peer_responded(self, leaves: leave_record.LeaveRecord) -> None:
        """Restore the leaves that a peer remembers."""
        self._upstream.restore_leaves(leaves, 'a peer')
        self._has_response = True
        self._end_if_told()

    # Private

    def _wait_ended(self) -> None:
        self._has_waited = True
        self._end_if_told()

    def _end_if_told(self) -> None:
        if self._has_waited and self._has_response and not self._upstream.knows_leaves:
            self._end(_Source.PEERS)
            self._on_served()

    def _end(self, source: _Source) -> None:
        event_log.emit('leaves_known', source=source.value)
        self._upstream.leave_known()

    def _give_up(self) -> None:
        """Accept requests although neither the log nor a peer has told the leaves."""
        if not self._upstream.knows_leaves:
            event_log.warn('leaves_unknown', waited_s=_MAX_WAIT_S)
            self._upstream.leave_unknown()
