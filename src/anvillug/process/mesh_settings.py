"""Settings of a mesh node: its addresses, and limits that apply to the whole deployment."""

from __future__ import annotations

import dataclasses

from anvillug import ids
from anvillug.process import duty_settings, zone_share
from anvillug.request import room
from anvillug.version import rollout


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Limits that apply to the whole deployment."""

    grace_ms: float
    """Time in milliseconds from SIGTERM to SIGKILL."""
    retry_ratio: float
    """Maximum ratio of repeated arrivals at backend servers to requests, over all nodes."""
    retry_window_ms: float
    """Window in milliseconds over which repeated arrivals are counted."""
    retry_slack: float
    """Repeated arrivals allowed in each window in addition to the ratio, over all nodes."""
    exposure: rollout.Exposure
    """Limit of the requests that a bad version may receive during its rollout."""
    cold_factor: float
    """Maximum rate of a cold backend server, as a multiple of the rate in the service's policy."""
    probes_per_second: float
    """Maximum number of health checks per backend server and second."""
    cold_slack: float = 0.0
    """Requests that a cold backend server may get in a second in addition to that rate."""
    revoke_ms: float | None = None
    """Time in milliseconds after which no node runs requests with a withdrawn key, whether it
    reaches the log or not; None if nodes that don't reach it go on with the keys they know."""


@dataclasses.dataclass(frozen=True, slots=True)
class MeshSettings:
    """Settings of one node."""

    host_id: ids.HostId
    """Name of the host."""
    zone: ids.ZoneName
    """Availability zone of the host."""
    ip: str
    """IP address of the host."""
    service: ids.ServiceName
    """Service of the node's backend server."""
    backend_address: str
    """IP:port of the backend server."""
    caller_address: str
    """IP:port for requests of callers on the host."""
    peer_address: str
    """IP:port for requests of other nodes."""
    ready_address: str
    """IP:port of the readiness check."""
    control_address: str
    """IP:port for control calls of the backend server, such as heartbeats."""
    beacon_port: int
    """UDP port for beacons, the same on all hosts."""
    metrics_port: int
    """TCP port that serves the metrics."""
    store_address: str
    """IP:port of the store with the records of the operator and of nodes."""
    bounds: Bounds
    """Limits that apply to the whole deployment."""
    crossing: zone_share.Crossing | None = None
    """What callers must gain from leaving their zone; None for a fixed preference of it."""
    room: room.Policy | None = None
    """Bounds of jobs that wait at the node; None to pass them to the backend server instead."""
    duty: duty_settings.DutySettings | None = None
    """Settings of the usage reports; None if the deployment has none."""
    memory_bytes: int = 0
    """Memory of the machine in bytes; 0 if it is not known."""
    max_descriptors: int = 0
    """Descriptors that the process may open; 0 if their number is not known."""


def differences(first: MeshSettings, second: MeshSettings) -> list[str]:
    """Return the names of the settings that differ."""
    return [
        field.name
        for field in dataclasses.fields(first)
        if getattr(first, field.name) != getattr(second, field.name)
    ]
