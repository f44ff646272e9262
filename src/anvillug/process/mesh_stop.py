"""Graceful stop of a mesh node: ends the process once all that arrived is answered."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet import interfaces

from anvillug import clock, event_log
from anvillug.connection import http_listener
from anvillug.process import caller_close, mesh_entry, mesh_host

# The process stops this long before the end of the grace time even if calls are in progress.
_STOP_MARGIN_MS = 350.0
# New requests and jobs are rejected from this time on, and the rest of the grace time is for those
# in progress. Whatever is sent later than 3 s after SIGTERM must not be cut at the end; the signal
# and each check may be late.
_MAX_SERVE_MS = 2700.0
# Share of a shorter grace time after which they are rejected.
_MAX_SERVE_SHARE = 0.45
_CHECK_S = 0.05
# Connections of other nodes stay open this long after the node has begun to reject their jobs. A
# job that follows an accepted inquiry arrives within this time.
_REJECTION_MS = 200.0


class MeshStop:
    """Stop of one node.

    Callers are served as usual until they have left, but no longer than a part of the grace time;
    see `caller_close`. Other nodes are rejected last, or after the same time.

    Args:
        reactor: Twisted reactor; stopped at the end.
        time: Clock.
        entry: Entry side.
        host: Host side.
        callers: Connections of callers.
        peers: Connections of other nodes.
        grace_ms: Returns the time in milliseconds after which the process is killed.
    """

    def __init__(
        self,
        reactor: Any,
        time: clock.Clock,
        entry: mesh_entry.MeshEntry,
        host: mesh_host.MeshHost,
        callers: http_listener.ServerFactory,
        peers: http_listener.ServerFactory,
        grace_ms: Callable[[], float],
    ) -> None:
        self.callers = caller_close.CallerClose(time, callers, self._is_busy)
        """Close of the connections of callers."""
        self.peer_port: interfaces.IListeningPort | None = None
        """Listener of other nodes."""
        self.may_end: Callable[[], bool] = lambda: True
        """Returns whether a node with nothing in progress may end before its grace time."""
        self._reactor = reactor
        self._clock = time
        self._entry = entry
        self._host = host
        self._caller_connections = callers
        self._peers = peers
        self._grace_ms = grace_ms
        self._has_begun = False
        self._host_closed_at = clock.Milliseconds(0)
        # Whether no connection of another node is accepted any more.
        self._refuses_peers = False

    @property
    def has_begun(self) -> bool:
        """Whether the node is stopping."""
        return self._has_begun

    def begin(self) -> None:
        """Tell other nodes to close their connections, and end later."""
        self._has_begun = True
        self.callers.begin()
        event_log.emit(
            'node_stopping',
            calls=len(self._entry.in_progress),
            running=self._host.running,
            connections=self._caller_connections.open_count,
        )
        self._peers.close_after_responses()
        self._check()

    # Private

    def _check(self) -> None:
        """Take the next step of the stop if the last one is complete, or the time is over."""
        # First, so that a failure does not end the task.
        next_check = self._reactor.callLater(_CHECK_S, self._check)
        stopped_for_ms = self.callers.stopped_for_ms
        grace_ms = self._grace_ms()
        is_late = grace_ms - stopped_for_ms < _STOP_MARGIN_MS
        if self._refuses_peers and (is_late or self._is_done()):
            next_check.cancel()
            self._end(stopped_for_ms)
            return
        must_drain = stopped_for_ms > min(_MAX_SERVE_MS, grace_ms * _MAX_SERVE_SHARE)
        if must_drain:
            self._entry.closed = True
            self._reject_jobs()
        self.callers.check(must_close=must_drain, must_end=is_late)
        if self.callers.phase is caller_close.Phase.CLOSED:
            self._close_rest(is_late=is_late)

    def _close_rest(self, *, is_late: bool) -> None:
        """Reject callers, and once nothing is in progress, other nodes."""
        self._entry.closed = True
        if self._rejects_jobs_for_ms() >= _REJECTION_MS or is_late:
            self._peers.close_when_idle()
        if not self._refuses_peers and (is_late or not self._is_busy()):
            self._refuses_peers = True
            self._reject_jobs()
            http_listener.stop_listening(self.peer_port)

    def _reject_jobs(self) -> None:
        if not self._host.closed:
            self._host.closed = True
            self._host_closed_at = self._clock.now()

    def _end(self, stopped_for_ms: float) -> None:
        try:
            self._cut_rest(stopped_for_ms)
        finally:
            self._reactor.stop()

    def _cut_rest(self, stopped_for_ms: float) -> None:
        calls = len(self._entry.in_progress)
        running = self._host.running
        self._host.log_cut_runs()
        self._entry.cut_calls()
        event_log.emit(
            'node_stopped',
            calls=calls,
            running=running,
            connections=self._caller_connections.open_count,
            after_ms=int(stopped_for_ms),
        )

    def _is_done(self) -> bool:
        """Return whether nothing is in progress and no other node can send a job any more."""
        return not (self._is_busy() or self._peers.open_count) and self.may_end()

    def _rejects_jobs_for_ms(self) -> float:
        """Return for how long the jobs of other nodes have been rejected, 0 if they are not."""
        return self._clock.now() - self._host_closed_at if self._host.closed else 0

    def _is_busy(self) -> bool:
        connections = self._caller_connections.busy_count + self._peers.busy_count
        return bool(self._entry.in_progress or self._host.running or connections)
