"""Reads the settings of the usage reports from the platform's settings file."""

from __future__ import annotations

from anvillug import json_table
from anvillug.process import duty_settings

_DUTY = 'usage_report'
_MS_PER_SECOND = 1000.0


def read(platform: json_table.Table, bounds: json_table.Table) -> duty_settings.DutySettings | None:
    """Read the settings of the usage reports; invalid ones add findings to the tables.

    Args:
        platform: Table of the platform's services.
        bounds: Table of the bounds.

    Returns:
        The settings, None if the deployment has no usage reports.
    """
    if 'Cloud' not in platform:
        return None
    cloud = platform.table('Cloud')
    if _DUTY not in cloud.texts('Duties', [_DUTY]):
        return None
    return duty_settings.DutySettings(
        cloud.address('Address'),
        bounds.positive('LeaseMs'),
        bounds.positive('UsageWindowS') * _MS_PER_SECOND,
        bounds.positive('UsageLateS') * _MS_PER_SECOND,
    )
