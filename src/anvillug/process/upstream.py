"""State of the backend server of a node.

It is derived from the heartbeats, responses and health checks of the backend server.
"""

from __future__ import annotations

import dataclasses
import enum

from anvillug import clock, event_log, findings, ids
from anvillug.process import leave_record
from anvillug.request import dialect


class UpstreamState(enum.Enum):
    """Whether the backend server accepts requests."""

    ABSENT = 'absent'
    """No heartbeat has arrived, or the backend server was lost since the last one."""
    SERVING = 'serving'
    LEAVING = 'leaving'
    """It accepts no new requests and will stop."""


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Heartbeat of a backend server."""

    instance: ids.InstanceId
    """Id of the backend server's current instance."""
    service: ids.ServiceName
    """Service of the backend server."""
    address: str
    """IP:port at which it accepts requests."""
    version: ids.VersionName
    """Version of its software."""
    slots: int
    """Maximum number of concurrent requests."""
    state: UpstreamState
    """Whether it accepts requests."""
    cold_ms: float
    """Milliseconds for which it remains cold."""
    started_at: ids.Incarnation
    """Time of its start in milliseconds since the Unix epoch."""
    sequence: int
    """Sequence number of the heartbeat; increases from the start of the instance."""

    @property
    def order(self) -> leave_record.HeartbeatOrder:
        """Position among the heartbeats of all instances of a backend server."""
        return (self.started_at, self.sequence)


class Upstream:
    """The backend server of this node.

    Args:
        address: IP:port of the backend server.
        time: Clock.
    """

    def __init__(self, address: str, time: clock.Clock) -> None:
        self._address = address
        self._clock = time
        self.heartbeat: Heartbeat | None = None
        """Newest heartbeat; None until the first has arrived."""
        self.state = UpstreamState.ABSENT
        """Whether it accepts requests."""
        self.load: dialect.ReportedLoad | None = None
        """Load that it reported last."""
        self.load_at = clock.Milliseconds(0)
        """Monotonic time at which that load was reported."""
        self._cold_until = clock.Milliseconds(0)
        self.leaves = leave_record.NONE
        """Leaves of its instances; heartbeats that they cover are ignored."""
        self._awaits_leave = False

    @property
    def instance(self) -> ids.InstanceId:
        """Id of the current instance; empty before the first heartbeat."""
        return ids.InstanceId('') if self.heartbeat is None else self.heartbeat.instance

    def receive_heartbeat(self, heartbeat: Heartbeat) -> findings.Findings:
        """Apply a heartbeat.

        Args:
            heartbeat: The heartbeat.

        Returns:
            Errors in the heartbeat; empty also if it arrives late and is ignored.
        """
        place = f'heartbeat of {heartbeat.instance}'
        if heartbeat.address != self._address:
            message = (
                f'{heartbeat.address} is not the address of the backend server beside this node'
            )
            return findings.single(f'{place}: Address', message)
        previous = self.heartbeat
        is_late = previous is not None and heartbeat.order <= previous.order
        if is_late or self._has_left(heartbeat):
            event_log.emit(
                'heartbeat_late', instance=heartbeat.instance, sequence=heartbeat.sequence
            )
            return ()
        restarted = previous is None or heartbeat.started_at != previous.started_at
        self.heartbeat = heartbeat
        self.set_cold(heartbeat.cold_ms)
        if restarted or heartbeat.state is not self.state:
            event_log.emit(
                'upstream_changed',
                instance=heartbeat.instance,
                service=heartbeat.service,
                version=heartbeat.version,
                state=heartbeat.state.value,
                cold_ms=heartbeat.cold_ms,
                sequence=heartbeat.sequence,
            )
        if heartbeat.state is UpstreamState.LEAVING:
            self._record_draining(heartbeat)
        self.state = self._state_of(heartbeat)
        return ()

    @property
    def knows_leaves(self) -> bool:
        """Whether this process awaits no leaves of previous ones."""
        return not self._awaits_leave

    def await_leave(self) -> None:
        """Accept no requests until `leave_known` or `leave_unknown` is called.

        A heartbeat that arrives meanwhile may be a late one of an instance that has left while the
        previous process of this node was running.
        """
        self._awaits_leave = True

    def leave_known(self) -> None:
        """Accept requests, since leaves that previous processes knew have been restored."""
        if not self._awaits_leave:
            return
        self._awaits_leave = False
        heartbeat = self.heartbeat
        if heartbeat is not None and not self._has_left(heartbeat):
            self.state = heartbeat.state
            event_log.emit(
                'upstream_accepted', instance=heartbeat.instance, state=heartbeat.state.value
            )

    def leave_unknown(self) -> None:
        """Accept requests from the next heartbeat on, since the leaves have not become known.

        Heartbeats that have arrived so far may be late ones of an instance that has left.
        """
        self._awaits_leave = False

    def record_leave(self, instance: ids.InstanceId) -> None:
        """Record that an instance of the backend server leaves and accepts no more requests.

        The leave of an instance without a heartbeat so far is recorded as well: after a restart of
        the node, a late heartbeat of that instance may still arrive.
        """
        heartbeat = self.heartbeat
        if heartbeat is None or heartbeat.instance != instance:
            self.leaves = self.leaves.with_unknown_instance(instance, int(self._clock.wall()))
            event_log.emit('leave_before_heartbeat', instance=instance, present=self.instance)
            return
        if not self._has_left(heartbeat):
            self.leaves = self.leaves.with_start(heartbeat.started_at)
        self.state = UpstreamState.LEAVING
        event_log.emit('upstream_left', instance=instance)

    def restore_leaves(self, record: leave_record.LeaveRecord, source: str = 'the log') -> None:
        """Restore the leaves that a previous process of this node has known.

        Args:
            record: The leaves.
            source: Where they were kept, for the log.
        """
        self.leaves = self.leaves.merge(record)
        if self.heartbeat is not None and self._has_left(self.heartbeat):
            event_log.emit(
                'upstream_left', instance=self.instance, reason=f'restored from {source}'
            )
            self.state = UpstreamState.LEAVING

    def mark_lost(self, reason: str) -> None:
        """Mark a serving backend server as absent until the next heartbeat.

        Args:
            reason: Why it is considered lost, for the log.
        """
        if self.state is UpstreamState.SERVING:
            event_log.warn('upstream_lost', instance=self.instance, reason=reason)
            self.state = UpstreamState.ABSENT

    def record_load(self, load: dialect.ReportedLoad | None) -> None:
        """Record the load that a response reports, if any."""
        if load is not None:
            self.load = load
            self.load_at = self._clock.now()

    def set_cold(self, cold_ms: float) -> None:
        """Record the milliseconds for which the backend server remains cold."""
        self._cold_until = clock.Milliseconds(self._clock.now() + cold_ms)

    def _has_left(self, heartbeat: Heartbeat) -> bool:
        return self.leaves.covers(heartbeat.instance, heartbeat.order)

    def _record_draining(self, heartbeat: Heartbeat) -> None:
        """Record that the instance announces its leave, unless an earlier heartbeat did."""
        is_new = self.leaves.draining[0] != heartbeat.started_at
        if is_new or self.state is UpstreamState.SERVING:
            self.leaves = self.leaves.with_draining(heartbeat.order)

    def _state_of(self, heartbeat: Heartbeat) -> UpstreamState:
        is_held = self._awaits_leave and heartbeat.state is UpstreamState.SERVING
        return UpstreamState.ABSENT if is_held else heartbeat.state

    @property
    def cold_ms(self) -> float:
        """Milliseconds for which the backend server remains cold."""
        return max(0.0, self._cold_until - self._clock.now())

    @property
    def load_age_ms(self) -> float:
        """Age of the reported load in milliseconds."""
        return self._clock.now() - self.load_at
