"""State of the backend server beside a node, as its heartbeats, answers and probes tell it."""

from __future__ import annotations

import dataclasses
import enum

from anvillug import clock, event_log, findings, ids
from anvillug.request import dialect


class UpstreamState(enum.Enum):
    """Whether the backend server takes work."""

    ABSENT = 'absent'
    SERVING = 'serving'
    LEAVING = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """What a backend server says of itself."""

    instance: ids.InstanceId
    """Id of its start."""
    service: ids.ServiceName
    """Service that it belongs to."""
    address: str
    """IP:port where it takes requests."""
    version: ids.VersionName
    """Version of its software."""
    slots: int
    """Requests that it can run at once."""
    state: UpstreamState
    """Whether it takes work."""
    cold_ms: float
    """How much longer it stays cold, in milliseconds."""
    started_at: ids.Incarnation
    """Its start in milliseconds since the Unix epoch."""
    sequence: int
    """Counts its heartbeats since the start."""


class Upstream:
    """The backend server beside this node.

    Args:
        address: IP:port of the backend server.
        time: Clock.
    """

    def __init__(self, address: str, time: clock.Clock) -> None:
        self._address = address
        self._clock = time
        self.beat: Heartbeat | None = None
        """Newest heartbeat; None until one has arrived."""
        self.state = UpstreamState.ABSENT
        """Whether it takes work."""
        self.load: dialect.ReportedLoad | None = None
        """Load that it told last."""
        self.load_at = clock.Milliseconds(0)
        """When it told that load."""
        self._cold_until = clock.Milliseconds(0)
        self.left_at = ids.Incarnation(0)
        """Starts up to this one have left and do not come back."""

    @property
    def instance(self) -> ids.InstanceId:
        """Id of the present start, empty without one."""
        return ids.InstanceId('') if self.beat is None else self.beat.instance

    def heard(self, beat: Heartbeat) -> findings.Findings:
        """Take a heartbeat.

        Args:
            beat: The heartbeat.

        Returns:
            What is wrong with it; empty also for a late one, which changes nothing.
        """
        place = f'heartbeat of {beat.instance}'
        if beat.address != self._address:
            message = f'{beat.address} is not the address of the backend server beside this node'
            return findings.one(f'{place}: Address', message)
        former = self.beat
        order = (beat.started_at, beat.sequence)
        is_late = former is not None and order <= (former.started_at, former.sequence)
        if is_late or beat.started_at <= self.left_at:
            event_log.emit('heartbeat_late', instance=beat.instance, sequence=beat.sequence)
            return ()
        restarted = former is None or beat.started_at != former.started_at
        self.beat = beat
        self.set_cold(beat.cold_ms)
        if restarted or beat.state is not self.state:
            event_log.emit(
                'upstream_changed',
                instance=beat.instance,
                service=beat.service,
                version=beat.version,
                state=beat.state.value,
                cold_ms=beat.cold_ms,
                sequence=beat.sequence,
            )
        self.state = beat.state
        return ()

    def left(self, instance: ids.InstanceId) -> bool:
        """Note that a start of the backend server takes no more work.

        Returns:
            Whether it was the present start.
        """
        if self.beat is None or self.beat.instance != instance:
            event_log.emit('leave_ignored', instance=instance, present=self.instance)
            return False
        self.left_at = self.beat.started_at
        self.state = UpstreamState.LEAVING
        event_log.emit('upstream_left', instance=instance)
        return True

    def remember_leave(self, started_at: ids.Incarnation) -> None:
        """Take a leave that an earlier process of this node has acknowledged."""
        self.left_at = max(self.left_at, started_at)
        if self.beat is not None and self.beat.started_at <= self.left_at:
            event_log.emit('upstream_left', instance=self.instance, reason='kept in the log')
            self.state = UpstreamState.LEAVING

    def lost(self, reason: str) -> None:
        """Stop sending work until the next heartbeat."""
        if self.state is UpstreamState.SERVING:
            event_log.warn('upstream_lost', instance=self.instance, reason=reason)
            self.state = UpstreamState.ABSENT

    def told_load(self, load: dialect.ReportedLoad | None) -> None:
        """Take the load that an answer carries."""
        if load is not None:
            self.load = load
            self.load_at = self._clock.now()

    def set_cold(self, cold_ms: float) -> None:
        """Note how much longer the backend server stays cold."""
        self._cold_until = clock.Milliseconds(self._clock.now() + cold_ms)

    @property
    def cold_ms(self) -> float:
        """How much longer the backend server stays cold, in milliseconds."""
        return max(0.0, self._cold_until - self._clock.now())

    @property
    def load_age_ms(self) -> float:
        """Age of the load in milliseconds."""
        return self._clock.now() - self.load_at
