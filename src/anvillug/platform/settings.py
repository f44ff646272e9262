"""Reads the platform's settings file and converts it to settings of a mesh node."""

from __future__ import annotations

import pathlib

from anvillug import findings, ids, json_table
from anvillug.platform import duty_settings
from anvillug.process import mesh_settings, zone_share
from anvillug.request import room
from anvillug.version import rollout

_MS_PER_SECOND = 1000.0
_BYTES_PER_MB = 1024 * 1024
# Where links are this wide, crossing zones costs too little to be weighed for each request.
_WIDE_LINK_MBPS = 1000.0
# What a request must gain before it leaves its zone: much more than two ways between zones, so that
# traffic between zones, which is charged, buys time that callers notice.
_CROSSING_MS = 40.0
_BITS_PER_KB = 8 * 1024
_BITS_PER_MS_OF_MBPS = 1000.0
_REVOKE_MS = 5000.0
# Contracts under which callers compete for the room of backend servers.
_COMPETITION = frozenset(('pressure', 'tenants'))


def load(path: pathlib.Path) -> mesh_settings.MeshSettings | findings.Findings:
    """Read the settings file; fields that the platform adds are ignored.

    Args:
        path: The file.

    Returns:
        The settings, or all findings.
    """
    try:
        content = json_table.decode(path.read_bytes(), str(path))
    except OSError as error:
        return findings.single(str(path), f'cannot be read: {error.strerror}')
    settings = _translate(content)
    return content.findings or settings


def _translate(content: json_table.Table) -> mesh_settings.MeshSettings:
    self_table = content.table('Self')
    limits = self_table.table('Limits', {})
    network = content.table('Network')
    listen = network.table('Listen')
    # First and last port for traffic between nodes.
    beacon_port, metrics_port = network.integers('InternalPorts', 2)
    platform = content.table('Platform')
    terms = content.table('Terms')
    bounds = terms.table('Bounds')
    return mesh_settings.MeshSettings(
        host_id=ids.HostId(self_table.text('NodeName')),
        zone=ids.ZoneName(self_table.text('Zone')),
        ip=self_table.text('Ip'),
        service=ids.ServiceName(self_table.text('Service')),
        backend_address=self_table.address('AppAddr'),
        caller_address=listen.address('Outbound'),
        peer_address=listen.address('Inbound'),
        ready_address=listen.address('ReadyAddr'),
        control_address=listen.address('Control'),
        beacon_port=beacon_port,
        metrics_port=metrics_port,
        store_address=platform.table('Platform').address('Address'),
        bounds=_translate_bounds(bounds),
        crossing=_crossing(limits),
        room=None if _COMPETITION.isdisjoint(terms.texts('Contracts', [])) else room.Policy(),
        duty=duty_settings.read(platform, bounds),
        memory_bytes=int(limits.number('MemoryMb', 0, lowest=0) * _BYTES_PER_MB),
        max_descriptors=limits.integer('MaxFds', 0, lowest=0),
    )


def _translate_bounds(bounds: json_table.Table) -> mesh_settings.Bounds:
    return mesh_settings.Bounds(
        grace_ms=bounds.number('GraceS', 6) * _MS_PER_SECOND,
        retry_ratio=bounds.number('RetryBudgetRatio', 0.2),
        retry_window_ms=bounds.number('BudgetWindowS', 10) * _MS_PER_SECOND,
        retry_slack=bounds.number('RetryBudgetSlack', 62),
        exposure=rollout.Exposure(
            bounds.number('ExposureShare', 0.1),
            # Requests that a bad version may receive in addition to that share.
            bounds.number('ExposureSlack', 50),
        ),
        cold_factor=bounds.number('ColdFactor', 1.5),
        cold_slack=bounds.number('ColdSlack', 0, lowest=0),
        probes_per_second=bounds.number('ProbesPerS', 60),
        revoke_ms=_revoke_ms(bounds),
    )


def _revoke_ms(bounds: json_table.Table) -> float | None:
    """Return the time after which a withdrawn key must not run, None if nodes don't fail closed."""
    if not bounds.boolean('RevokeFailClosed', default=False):
        return None
    return bounds.number('RevokeMs', _REVOKE_MS, lowest=1)


def _crossing(limits: json_table.Table) -> zone_share.Crossing | None:
    """Return what leaving the zone costs a host with a narrow link; None for a wide one."""
    link_mbps = limits.positive('LinkMbps') if 'LinkMbps' in limits else _WIDE_LINK_MBPS
    if link_mbps >= _WIDE_LINK_MBPS or limits.findings:
        return None
    return zone_share.Crossing(_CROSSING_MS, _BITS_PER_KB / (link_mbps * _BITS_PER_MS_OF_MBPS))
