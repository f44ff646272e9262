"""Reads the platform's settings file and converts it to settings of a mesh node."""

from __future__ import annotations

import pathlib

import expression
import pydantic

from anvillug import findings, ids, validation
from anvillug.process import mesh_settings
from anvillug.version import rollout

_MS_PER_SECOND = 1000.0
_BYTES_PER_MB = 1024 * 1024


class _Table(pydantic.BaseModel):
    """Base of the file's tables; ignores fields that the platform adds."""

    model_config = pydantic.ConfigDict(extra='ignore', frozen=True, strict=True)


class _MachineLimits(_Table):
    MemoryMb: float = 0
    # Descriptors that the process may open.
    MaxFds: int = 0


class _Self(_Table):
    NodeName: str
    Ip: str
    Zone: str
    # Address of the backend server beside this node.
    AppAddr: validation.Address
    # Service of that backend server.
    Service: str
    Limits: _MachineLimits = _MachineLimits()


class _Listen(_Table):
    Inbound: validation.Address
    Outbound: validation.Address
    ReadyAddr: validation.Address
    Control: validation.Address


class _Network(_Table):
    Listen: _Listen
    # First and last port for traffic between nodes.
    InternalPorts: tuple[int, int] = pydantic.Field(strict=False)


class _Store(_Table):
    Address: validation.Address


class _Platform(_Table):
    Platform: _Store


class _Bounds(_Table):
    GraceS: float = 6
    RetryBudgetRatio: float = 0.2
    BudgetWindowS: float = 10
    RetryBudgetSlack: float = 62
    ExposureShare: float = 0.1
    # Requests that a bad version may receive in addition to that share.
    ExposureSlack: float = 50
    ColdFactor: float = 1.5
    ProbesPerS: float = 60


class _Terms(_Table):
    Bounds: _Bounds


class _File(_Table):
    Self: _Self
    Network: _Network
    Platform: _Platform
    Terms: _Terms


def load(path: pathlib.Path) -> expression.Result[mesh_settings.MeshSettings, findings.Findings]:
    """Read the settings file.

    Args:
        path: The file.

    Returns:
        The settings, or all findings.
    """
    try:
        content = _File.model_validate_json(path.read_bytes())
    except OSError as error:
        return expression.Error(findings.single(str(path), f'cannot be read: {error.strerror}'))
    except pydantic.ValidationError as error:
        return expression.Error(validation.findings_of(error, str(path)))
    return expression.Ok(_translate(content))


def _translate(content: _File) -> mesh_settings.MeshSettings:
    listen = content.Network.Listen
    bounds = content.Terms.Bounds
    self_table = content.Self
    return mesh_settings.MeshSettings(
        host_id=ids.HostId(self_table.NodeName),
        zone=ids.ZoneName(self_table.Zone),
        ip=self_table.Ip,
        service=ids.ServiceName(self_table.Service),
        backend_address=self_table.AppAddr,
        caller_address=listen.Outbound,
        peer_address=listen.Inbound,
        ready_address=listen.ReadyAddr,
        control_address=listen.Control,
        beacon_port=content.Network.InternalPorts[0],
        metrics_port=content.Network.InternalPorts[1],
        store_address=content.Platform.Platform.Address,
        bounds=mesh_settings.Bounds(
            grace_ms=bounds.GraceS * _MS_PER_SECOND,
            retry_ratio=bounds.RetryBudgetRatio,
            retry_window_ms=bounds.BudgetWindowS * _MS_PER_SECOND,
            retry_slack=bounds.RetryBudgetSlack,
            exposure=rollout.Exposure(bounds.ExposureShare, bounds.ExposureSlack),
            cold_factor=bounds.ColdFactor,
            probes_per_second=bounds.ProbesPerS,
        ),
        memory_bytes=int(self_table.Limits.MemoryMb * _BYTES_PER_MB),
        max_descriptors=self_table.Limits.MaxFds,
    )
