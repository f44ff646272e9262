"""Whether a host has a room: by its policy, or since its backend server resets when it is full."""

from __future__ import annotations

from collections.abc import Callable, MutableMapping

from anvillug import clock, event_log, ids
from anvillug.process import host_room, upstream
from anvillug.request import full_resets, job, occupancy, room, upstream_run

# A backend server that resets a request since it is full does so as soon as it arrives.
_MAX_FULL_RESET_MS = 100.0

Runs = MutableMapping[upstream_run.UpstreamRun, occupancy.Ticket | None]
"""Runs in progress, with their tickets; None for runs without a room."""


class RoomSwitch:
    """Creates the room of a host where one is needed.

    Args:
        time: Clock.
        backend: Backend server of the node.
        policy: Bounds from the settings; None for no room as long as the server needs none.
        create: Creates a room.
    """

    def __init__(
        self,
        time: clock.Clock,
        backend: upstream.Upstream,
        policy: room.Policy | None,
        create: Callable[[room.Policy], host_room.HostRoom],
    ) -> None:
        self.room = None if policy is None else create(policy)
        """Room at the backend server; None if jobs wait inside it."""
        self._clock = time
        self._upstream = backend
        self._create = create
        self._resets = full_resets.FullResets()

    @property
    def waiting(self) -> int:
        """Number of jobs that wait at the node."""
        return 0 if self.room is None else self.room.waiting

    def gauges(self) -> dict[str, float]:
        """Return the gauges by name; empty without a room."""
        return {} if self.room is None else self.room.gauges()

    def new_instance(self, *, is_first: bool) -> None:
        """Start anew for another instance of the backend server; see `Room.new_instance`."""
        self._resets = full_resets.FullResets()
        heartbeat = self._upstream.heartbeat
        if self.room is not None and heartbeat is not None:
            now = self._clock.now()
            self.room.room.new_instance(heartbeat.slots, now, is_first=is_first)

    def learn(self, run: upstream_run.UpstreamRun, result: job.Result, runs: Runs) -> None:
        """Learn from the result of a run whether the backend server resets when it is full.

        Args:
            run: The run that has ended.
            result: Its result.
            runs: The runs in progress; their tickets are set when a room is created.
        """
        now = self._clock.now()
        resets = self._resets if self.room is None else self.room.room.resets
        heartbeat = self._upstream.heartbeat
        if run.was_reset and heartbeat is not None and now - run.sent_at < _MAX_FULL_RESET_MS:
            taken = len(runs) + 1 if self.room is None else self.room.room.taken(now)
            resets.reset(taken, heartbeat.slots, now)
        elif result.kind is job.ResultKind.ANSWERED and resets.answered(run.sent_at, now):
            event_log.warn('full_reset', instance=run.work.instance, enough=resets.confirmed)
            if self.room is None and resets.confirmed:
                self._enable(runs)

    def _enable(self, runs: Runs) -> None:
        self.room = self._create(room.Policy())
        heartbeat = self._upstream.heartbeat
        self.room.room.slots = 1 if heartbeat is None else max(1, heartbeat.slots)
        for run in runs:
            sent_at = run.sent_at or self._clock.now()
            runs[run] = self.room.room.adopt(run.work, sent_at)
        instance = ids.InstanceId(self._upstream.instance)
        event_log.emit('room_enabled', instance=instance, running=len(runs))
