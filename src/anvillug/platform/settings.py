"""Reads the platform's settings file and converts it to settings of a mesh node."""

from __future__ import annotations

import dataclasses
import pathlib

import expression
import pydantic

from anvillug import findings, ids, validation
from anvillug.platform import duty_settings
from anvillug.process import mesh_settings, zone_share
from anvillug.request import room
from anvillug.version import rollout

_MS_PER_SECOND = 1000.0
# Where links are this wide, crossing zones costs too little to be weighed for each request.
_WIDE_LINK_MBPS = 1000.0
# What a request must gain before it leaves its zone: much more than two ways between zones, so that
# traffic between zones, which is charged, buys time that callers notice.
_CROSSING_MS = 40.0
_BITS_PER_KB = 8 * 1024
_BITS_PER_MS_OF_MBPS = 1000.0
# Contracts under which callers compete for the room of backend servers.
_COMPETITION = frozenset(('pressure', 'tenants'))


class _Table(pydantic.BaseModel):
    """Base of the file's tables; ignores fields that the platform adds."""

    model_config = pydantic.ConfigDict(extra='ignore', frozen=True, strict=True)


class _Limits(_Table):
    # Rate of the host's link, in megabits per second.
    LinkMbps: float = pydantic.Field(_WIDE_LINK_MBPS, gt=0, allow_inf_nan=False)


class _Self(_Table):
    NodeName: str
    Ip: str
    Zone: str
    # Address of the backend server beside this node.
    AppAddr: validation.Address
    # Service of that backend server.
    Service: str
    Limits: _Limits = _Limits()


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
    # Whether a node that can't know which keys were withdrawn rejects requests with keys.
    RevokeFailClosed: bool = False
    RevokeMs: float = pydantic.Field(5000, gt=0, allow_inf_nan=False)


class _Terms(_Table):
    Contracts: tuple[str, ...] = pydantic.Field(default=(), strict=False)
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
        raw = path.read_bytes()
        content = _File.model_validate_json(raw)
    except OSError as error:
        return expression.Error(findings.single(str(path), f'cannot be read: {error.strerror}'))
    except pydantic.ValidationError as error:
        return expression.Error(validation.findings_of(error, str(path)))
    translated = _translate(content)
    return duty_settings.load(raw, str(path)).map(
        lambda duty: dataclasses.replace(translated, duty=duty)
    )


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
        crossing=_crossing(self_table.Limits.LinkMbps),
        bounds=mesh_settings.Bounds(
            grace_ms=bounds.GraceS * _MS_PER_SECOND,
            retry_ratio=bounds.RetryBudgetRatio,
            retry_window_ms=bounds.BudgetWindowS * _MS_PER_SECOND,
            retry_slack=bounds.RetryBudgetSlack,
            exposure=rollout.Exposure(bounds.ExposureShare, bounds.ExposureSlack),
            cold_factor=bounds.ColdFactor,
            probes_per_second=bounds.ProbesPerS,
            revoke_ms=bounds.RevokeMs if bounds.RevokeFailClosed else None,
        ),
        room=None if _COMPETITION.isdisjoint(content.Terms.Contracts) else room.Policy(),
    )


def _crossing(link_mbps: float) -> zone_share.Crossing | None:
    """Return what leaving the zone costs a host with a narrow link; None for a wide one."""
    if link_mbps >= _WIDE_LINK_MBPS:
        return None
    return zone_share.Crossing(_CROSSING_MS, _BITS_PER_KB / (link_mbps * _BITS_PER_MS_OF_MBPS))
