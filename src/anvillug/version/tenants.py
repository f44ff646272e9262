"""Tenants and the keys by which their callers identify themselves."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterable, Iterator, Sequence

from anvillug import findings, ids

PlaceOf = Callable[[int, int | None], str]
"""Returns the place of a tenant, or of one of its keys, by their indexes in the input."""


@dataclasses.dataclass(frozen=True, slots=True)
class Tenant:
    """A customer whose callers identify themselves with keys."""

    name: ids.TenantName
    """Name; not empty."""
    keys: tuple[bytes, ...] = dataclasses.field(repr=False)
    """Keys; none if all were withdrawn."""
    priority: int | None
    """Priority that takes precedence over the route's; None if the route's applies."""


class TenantTable:
    """Finds the tenant of a key.

    Args:
        tenants: All tenants; `check` finds nothing in them.
    """

    def __init__(self, tenants: Iterable[Tenant]) -> None:
        self.tenants_by_name = {tenant.name: tenant for tenant in tenants}
        """All tenants."""
        self._tenants_by_key = {
            key: tenant for tenant in self.tenants_by_name.values() for key in tenant.keys
        }

    def find(self, key: bytes) -> Tenant | None:
        """Return the tenant that holds a key, None if the key is unknown."""
        return self._tenants_by_key.get(key)


def check(tenants: Sequence[Tenant], place_of: PlaceOf) -> findings.Findings:
    """Return empty, unusable and repeated names and keys; a finding never contains a key.

    Args:
        tenants: Tenants in the order of the input.
        place_of: Returns their place in the input.
    """
    return (*_name_findings(tenants, place_of), *_key_findings(tenants, place_of))


def _name_findings(tenants: Sequence[Tenant], place_of: PlaceOf) -> Iterator[findings.Finding]:
    names: set[ids.TenantName] = set()
    for index, tenant in enumerate(tenants):
        name = tenant.name
        # Backend servers receive the name as the value of a header.
        if not name or not name.isprintable() or name != name.strip():
            message = f'the name must be printable and not empty, got {name!r}'
            yield findings.Finding(place_of(index, None), message)
        if name in names:
            yield findings.Finding(place_of(index, None), f'tenant {name!r} is listed twice')
        names.add(name)


def _key_findings(tenants: Sequence[Tenant], place_of: PlaceOf) -> Iterator[findings.Finding]:
    places_by_key: dict[bytes, str] = {}
    for index, tenant in enumerate(tenants):
        for key_index, key in enumerate(tenant.keys):
            place = place_of(index, key_index)
            if not _is_usable(key):
                yield findings.Finding(place, 'a key consists of visible ASCII characters')
            if key in places_by_key:
                yield findings.Finding(place, f'the key is the same as {places_by_key[key]}')
            places_by_key.setdefault(key, place)


def _is_usable(key: bytes) -> bool:
    """Return whether a caller can send a key as one word of a header."""
    text = key.decode('latin-1')
    return bool(key) and key.isascii() and text.isprintable() and ' ' not in text
