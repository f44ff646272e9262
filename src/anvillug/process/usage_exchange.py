"""Carries the counts of all nodes to the holder of the duty.

Beacons of the holder name its token, and beacons of all nodes carry their time of day. Each node
sends the counts that have changed to the holder, and all counts to a new one.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet import interfaces

from anvillug import clock, event_log, ids, wire_value
from anvillug.connection import http_exchange, http_head, http_pool, memory_account
from anvillug.process import (
    duty_settings,
    duty_state,
    peer_table,
    true_time,
    usage_counts,
    usage_wire,
)
from anvillug.request import buffered_body, job, remote_run

# What a node has counted since the last message is lost if it is killed.
_INTERVAL_S = 1.0
# The same for a node that is stopping, whose process may be killed at the end of the grace time.
_STOPPING_INTERVAL_S = 0.25
# After this time a message is cancelled; its counts are sent again.
_TIMEOUT_S = 0.6
# Windows retained beside those whose reports may be due.
_SPARE_WINDOWS = 3
_STATUS_OK = 200
_STATUS_BAD_REQUEST = 400
_STATUS_NOT_FOUND = 404
_STATUS_UNAVAILABLE = 503


class UsageExchange:
    """Counts requests on this node and brings the counts to the holder.

    Args:
        reactor: Timers.
        time_of_day: Estimated time of day.
        settings: Settings of the duty.
        state: Who holds the duty.
        peers: Other nodes.
        find_pool: Returns the connections to the address of another node.
        wall: Returns the wall clock of this node.
    """

    def __init__(
        self,
        reactor: Any,
        time_of_day: true_time.TrueTime,
        settings: duty_settings.DutySettings,
        state: duty_state.DutyState,
        peers: peer_table.PeerTable,
        find_pool: Callable[[str], http_pool.Pool],
        wall: Callable[[], clock.Milliseconds],
    ) -> None:
        self._reactor = reactor
        self._time_of_day = time_of_day
        self._settings = settings
        self._state = state
        self._peers = peers
        self._find_pool = find_pool
        self._wall = wall
        windows = int(settings.late_ms // settings.window_ms) + _SPARE_WINDOWS
        self._local = usage_counts.LocalCounts(windows)
        self._collected = usage_counts.CollectedCounts(windows)
        self._holder: usage_counts.Process | None = None
        self._holder_token = 0
        self._message: remote_run.PeerRequest | None = None
        self._interval_s = _INTERVAL_S
        self._timer: interfaces.IDelayedCall | None = None
        self.on_release: Callable[[], None] = lambda: None
        """Called when the holder no longer announces the duty."""
        self.account = memory_account.MemoryAccount(memory_account.DEFAULT_LIMIT_BYTES, time_of_day)
        """Account of the memory that is held for other nodes; one of its own by default."""

    @property
    def is_flushed(self) -> bool:
        """Whether the holder has all counts of this node."""
        return self._message is None and not self._local.has_changed

    def start(self) -> None:
        """Send counts until the process ends."""
        # First, so that a failure does not end the task.
        self._timer = self._reactor.callLater(self._interval_s, self.start)
        self._send()

    def stop(self) -> None:
        """Send counts sooner from now on."""
        self._interval_s = _STOPPING_INTERVAL_S
        if self._timer is not None:
            self._timer.reset(0)

    def run_sent(self, work: job.Job, sent_at: clock.Milliseconds) -> None:
        """Count a request that has been sent to the backend server.

        Args:
            work: The job.
            sent_at: Monotonic time at which it was sent.
        """
        self._count(work.tenant, sent_at, 1)

    def run_not_begun(self, work: job.Job, sent_at: clock.Milliseconds) -> None:
        """Remove a request that the backend server has not run; see `run_sent`."""
        self._count(work.tenant, sent_at, -1)

    def total(self, window: usage_counts.Window) -> usage_counts.TenantCounts:
        """Return the number of requests by tenant in a window, as far as they were received."""
        return self._collected.total(window)

    def holder_changed(self) -> None:
        """Collect counts if this node has become the holder, or discard those collected."""
        record = self._state.record
        if self._state.is_holder and record is not None:
            self._follow(self._state.process, record.token)
            return
        self._collected.clear()
        if self._holder == self._state.process:
            # The next holder gets all counts, those until it is known among them.
            self._holder = None
            self._local.mark_all_changed()

    def announced(self) -> list[int]:
        """Return the state for beacons: the time of day, and the token of a holder or 0."""
        return [int(self._wall()), self.announced_token]

    @property
    def announced_token(self) -> int:
        """Token of this node as the holder, 0 if it is not the holder."""
        record = self._state.record
        return record.token if self._state.is_holder and record is not None else 0

    def beacon_received(self, announcement: peer_table.Announcement, content: Any) -> None:
        """Process the state in the beacon of another node.

        Raises:
            ValueError, TypeError: If the state is malformed.
        """
        wall, token = content
        time_of_day = clock.Milliseconds(wire_value.number(wall, 'time of day'))
        self._time_of_day.record(announcement.host_id, time_of_day)
        if wire_value.natural(token, 'token') > self._holder_token:
            self._follow((announcement.host_id, announcement.incarnation), token)
        elif not token and self._holder == (announcement.host_id, announcement.incarnation):
            self.on_release()

    def request_received(self, exchange: http_exchange.ServerExchange) -> None:
        """Handle a message with counts; see `http_exchange.RequestStarted`."""
        exchange.handler = _CountsExchange(self, exchange)

    def receive(self, content: bytes) -> bool:
        """Add the counts of another node; return whether this node collects them.

        Raises:
            MalformedError: If the message is malformed.
        """
        process, counts = usage_wire.unpack(content)
        if self._state.is_holder:
            self._collected.receive(process, counts)
        return self._state.is_holder

    # Private

    def _count(self, tenant: ids.TenantName, sent_at: clock.Milliseconds, change: int) -> None:
        if tenant:
            time_of_day = self._time_of_day.at(sent_at)
            window = usage_counts.window_at(time_of_day, self._settings.window_ms)
            self._local.add(window, tenant, change)

    def _follow(self, holder: usage_counts.Process, token: int) -> None:
        self._holder = holder
        self._holder_token = token
        self._local.mark_all_changed()

    def _send(self) -> None:
        if self._message is not None or self._holder is None:
            return
        if self._holder == self._state.process:
            self._collected.receive(self._holder, self._local.take_changed())
            return
        peer = self._peers.by_host_id.get(self._holder[0])
        if peer is None:
            return
        counts = self._local.take_changed()
        if counts:
            self._begin(peer.announcement.peer_address, counts)

    def _begin(self, address: str, counts: usage_counts.CountsByWindow) -> None:
        body = usage_wire.pack(self._state.process, counts)
        headers = [(b'Host', b'node'), (b'Content-Length', b'%d' % len(body))]
        head = http_head.RequestHead(b'POST', usage_wire.PATH, headers)

        def sent(_response: bytes) -> None:
            self._message = None

        def failed(reason: str, _sent: bool) -> None:
            self._message = None
            self._local.mark_changed(counts)
            event_log.warn('usage_counts_not_sent', address=address, reason=reason)

        message = remote_run.PeerRequest(head, body, sent, failed)
        message.limit_time(self._reactor, _TIMEOUT_S)
        self._message = message
        message.begin(self._find_pool(address))


class _CountsExchange:
    """Counts that another node sends; see `http_exchange.RequestHandler`."""

    def __init__(self, collector: UsageExchange, exchange: http_exchange.ServerExchange) -> None:
        self._collector = collector
        self._exchange = exchange
        self._body = buffered_body.BufferedBody(collector.account)
        self._is_rejected = False

    def body_received(self, data: bytes) -> None:
        """Buffer a chunk of the message, or reject it if there is no memory for it."""
        if not self._is_rejected and not self._body.add(data):
            self._is_rejected = True
            self._body.clear()

    def request_ended(self) -> None:
        """Add the counts, since the message is complete; the sender repeats a rejected one."""
        if self._is_rejected:
            self._exchange.respond(_STATUS_UNAVAILABLE)
            return
        try:
            is_collected = self._collector.receive(b''.join(self._body.take()))
        except usage_wire.MalformedError as error:
            event_log.warn('usage_counts_malformed', reason=error)
            self._exchange.respond(_STATUS_BAD_REQUEST)
            return
        self._exchange.respond(_STATUS_OK if is_collected else _STATUS_NOT_FOUND)

    def request_aborted(self) -> None:
        """Drop a message that is incomplete; its sender repeats it."""
        self._body.clear()

    def response_writes_paused(self, paused: bool) -> None:
        """Ignore backpressure: the response has no body."""
