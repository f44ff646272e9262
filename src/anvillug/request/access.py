"""Decides whether a caller may use a route, by the key that it sent."""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import NamedTuple

from anvillug import ids
from anvillug.connection import http_head
from anvillug.version import route_table, tenants

CREDENTIALS_HEADER = b'authorization'
"""Name of the header that carries the key, in lower case."""

_KEY_SCHEME = b'bearer'


class Refusal(enum.Enum):
    """Why a request is rejected."""

    NO_KEY = 'no key'
    """There is no key, or not exactly one in the expected form."""
    UNKNOWN_KEY = 'unknown key'
    """No tenant holds the key."""
    NO_RECENT_WORD = 'no recent word of the log'
    """The key may have been withdrawn without this node's knowledge."""


class Access(NamedTuple):
    """Decision on one request."""

    tenant: ids.TenantName | None = None
    """Tenant of the caller, empty on a route that needs no key; None if there are no tenants."""
    priority: int | None = None
    """Priority of the tenant; None if that of the route applies."""
    refusal: Refusal | None = None
    """Why the request is rejected; None if it is accepted."""


_NO_TENANTS = Access()
_ANONYMOUS = Access(ids.TenantName(''))


def decide(
    table: tenants.TenantTable | None,
    route: route_table.Route,
    head: http_head.RequestHead,
    has_recent_word: Callable[[], bool],
) -> Access:
    """Decide on a request.

    Args:
        table: Tenants of the configuration in effect; None if it has none.
        route: Route of the request.
        head: Head of the request.
        has_recent_word: Returns whether the configuration is known to be recent enough to rely
            on the keys in it.
    """
    if table is None:
        return _NO_TENANTS
    if route.is_anonymous:
        return _ANONYMOUS
    key = _read_key(head)
    if not key:
        return Access(refusal=Refusal.NO_KEY)
    if not has_recent_word():
        # The key may as well have been added since.
        return Access(refusal=Refusal.NO_RECENT_WORD)
    tenant = table.find(key)
    if tenant is None:
        return Access(refusal=Refusal.UNKNOWN_KEY)
    return Access(tenant.name, tenant.priority)


def carries_key(header: http_head.Header) -> bool:
    """Return whether a header carries credentials of the form that keys have."""
    name, text = header
    return name.lower() == CREDENTIALS_HEADER and _split(text)[0] == _KEY_SCHEME


def _read_key(head: http_head.RequestHead) -> bytes:
    """Return the key of a request, empty if there is not exactly one."""
    credentials = [text for name, text in head.headers if name.lower() == CREDENTIALS_HEADER]
    if len(credentials) != 1:
        return b''
    scheme, key = _split(credentials[0])
    return key if scheme == _KEY_SCHEME else b''


def _split(credentials: bytes) -> tuple[bytes, bytes]:
    scheme, _, key = credentials.strip().partition(b' ')
    return scheme.lower(), key.strip()
