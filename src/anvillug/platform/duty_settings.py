"""Reads the settings of the usage reports from the platform's settings file."""

from __future__ import annotations

import json
from typing import Any

import expression

from anvillug import findings, wire_value
from anvillug.process import duty_settings

_DUTY = 'usage_report'
_MS_PER_SECOND = 1000.0

Loaded = expression.Result[duty_settings.DutySettings | None, findings.Findings]


def load(content: bytes, place: str) -> Loaded:
    """Read the settings of the usage reports.

    Args:
        content: The settings file, valid in its other parts.
        place: Name of the file, for findings.

    Returns:
        The settings, None if the deployment has no usage reports, or all findings.
    """
    document = json.loads(content)
    cloud = document['Platform'].get('Cloud')
    if cloud is None:
        return expression.Ok(None)
    found: list[findings.Finding] = []
    cloud_reader = _Reader(cloud, f'{place}: Platform.Cloud', found)
    duties = cloud_reader.read('Duties', _texts)
    if duties is not None and _DUTY not in duties:
        return expression.Ok(None)
    bounds = _Reader(document['Terms']['Bounds'], f'{place}: Terms.Bounds', found)
    address = cloud_reader.read('Address', wire_value.address)
    lease_ms = bounds.read('LeaseMs', _positive)
    window_s = bounds.read('UsageWindowS', _positive)
    late_s = bounds.read('UsageLateS', _positive)
    if found:
        return expression.Error(tuple(found))
    return expression.Ok(
        duty_settings.DutySettings(
            address, lease_ms, window_s * _MS_PER_SECOND, late_s * _MS_PER_SECOND
        )
    )


class _Reader:
    """Reads the fields of a table and collects findings."""

    def __init__(self, table: Any, place: str, found: list[findings.Finding]) -> None:
        self._place = place
        self._found = found
        self._table: dict[str, Any] = {}
        if isinstance(table, dict):
            self._table = table
        else:
            found.append(findings.Finding(place, 'must be a table'))

    def read(self, name: str, check: Any) -> Any:
        """Return a checked value; None after a finding."""
        if name not in self._table:
            self._found.append(findings.Finding(f'{self._place}.{name}', 'is missing'))
            return None
        try:
            return check(self._table[name], name)
        except ValueError as error:
            self._found.append(findings.Finding(f'{self._place}.{name}', str(error)))
            return None


def _positive(content: Any, name: str) -> float:
    if wire_value.number(content, name) <= 0:
        raise ValueError(f'{name} must be positive, got {content}')
    return content


def _texts(content: Any, name: str) -> list[str]:
    if not isinstance(content, list):
        raise ValueError(f'{name} must be a list, got {type(content).__name__}')
    return [wire_value.text(entry, name) for entry in content]
