"""Reads the platform's settings file and converts it to settings of a mesh node."""

from __future__ import annotations

import pathlib

from anvillug import findings, ids, json_table
from anvillug.process import mesh_settings
from anvillug.version import rollout

_MS_PER_SECOND = 1000.0


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
    network = content.table('Network')
    listen = network.table('Listen')
    # First and last port for traffic between nodes.
    beacon_port, metrics_port = network.integers('InternalPorts', 2)
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
        store_address=content.table('Platform').table('Platform').address('Address'),
        bounds=_translate_bounds(content.table('Terms').table('Bounds')),
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
        probes_per_second=bounds.number('ProbesPerS', 60),
    )
