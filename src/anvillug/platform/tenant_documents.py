"""Decodes the tenants of the platform's configuration."""

from __future__ import annotations

from typing import Any

from anvillug import findings, ids
from anvillug.version import tenants

_TENANTS = 'Tenants'
_NAME = 'Name'
_KEYS = 'ApiKeys'
_PRIORITY = 'Priority'
# Jobs carry the priority in 64 bits.
_MAX_PRIORITY = 1_000_000


def decode(
    content: Any, previous: tenants.TenantTable | None
) -> tenants.TenantTable | findings.Findings | None:
    """Decode the tenants of a configuration.

    Args:
        content: Value of the configuration's field; None if the configuration has none.
        previous: Tenants in effect; those that have not changed are used again.

    Returns:
        The tenants, None if the configuration has none, or the findings.
    """
    if content is None:
        return None
    if not isinstance(content, list):
        return findings.single(_TENANTS, f'must be a list, got {type(content).__name__}')
    problems: list[findings.Finding] = []
    decoded = []
    for index, entry in enumerate(content):
        found = _entry_findings(entry, _place_of(index, None))
        problems.extend(found)
        if not found:
            decoded.append(_tenant(entry, previous))
    # Indexes of what was decoded are those of the input only if everything was.
    if not problems:
        problems.extend(tenants.check(decoded, _place_of))
    if problems:
        return tuple(problems)
    return _table(decoded, previous)


def _place_of(index: int, key_index: int | None) -> str:
    place = f'{_TENANTS}.{index}'
    return place if key_index is None else f'{place}.{_KEYS}.{key_index}'


def _entry_findings(entry: Any, place: str) -> list[findings.Finding]:
    """Return the values of a wrong type; their contents are not shown, they may be keys."""
    if not isinstance(entry, dict):
        return [findings.Finding(place, 'must be an object')]
    problems = []
    if not isinstance(entry.get(_NAME), str):
        problems.append(findings.Finding(f'{place}.{_NAME}', 'must be a string'))
    if not _is_priority(entry.get(_PRIORITY)):
        message = f'must be an integer of at most {_MAX_PRIORITY}'
        problems.append(findings.Finding(f'{place}.{_PRIORITY}', message))
    keys = entry.get(_KEYS)
    if not isinstance(keys, list | None):
        problems.append(findings.Finding(f'{place}.{_KEYS}', 'must be a list'))
        return problems
    problems.extend(
        findings.Finding(f'{place}.{_KEYS}.{index}', 'must be a string')
        for index, key in enumerate(keys or ())
        if not isinstance(key, str)
    )
    return problems


def _is_priority(content: Any) -> bool:
    if content is None:
        return True
    is_integer = isinstance(content, int) and not isinstance(content, bool)
    return is_integer and abs(content) <= _MAX_PRIORITY


def _tenant(entry: dict[str, Any], previous: tenants.TenantTable | None) -> tenants.Tenant:
    keys = tuple(key.encode(errors='replace') for key in entry.get(_KEYS) or ())
    tenant = tenants.Tenant(ids.TenantName(entry[_NAME]), keys, entry.get(_PRIORITY))
    former = None if previous is None else previous.tenants_by_name.get(tenant.name)
    if former == tenant:
        return former
    return tenant


def _table(
    decoded: list[tenants.Tenant], previous: tenants.TenantTable | None
) -> tenants.TenantTable:
    if previous is not None and list(previous.tenants_by_name.values()) == decoded:
        return previous
    return tenants.TenantTable(decoded)
