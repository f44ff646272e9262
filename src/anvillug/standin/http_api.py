"""Helpers shared by the klein endpoints of the stand-ins."""

from __future__ import annotations

import dataclasses
import json
from typing import Any, TypeVar

import pydantic
from twisted.internet import interfaces
from twisted.web import http, iweb

FaultsT = TypeVar('FaultsT')


def json_response(request: iweb.IRequest, data: Any, status: int = http.OK) -> bytes:
    """Set status and content type of the response and return the encoded body."""
    request.setResponseCode(status)
    request.setHeader(b'Content-Type', b'application/json')
    return json.dumps(data).encode()


def error_response(request: iweb.IRequest, status: int, message: object) -> bytes:
    """Set the status of the response and return a JSON body with an error message."""
    return json_response(request, {'error': str(message)}, status)


def updated_faults(faults: FaultsT, body: bytes) -> FaultsT:
    """Return the active faults with the changes of a control request applied.

    Args:
        faults: Frozen dataclass with the active faults.
        body: JSON object; fields that are missing in it retain their values.

    Returns:
        The new faults.

    Raises:
        ValueError: If the body is not a JSON object, or a fault is unknown or has a wrong type.
    """
    changes = json.loads(body)
    if not isinstance(changes, dict):
        raise ValueError('faults must be a JSON object')
    field_names = {field.name for field in dataclasses.fields(faults)}  # type: ignore[arg-type]
    unknown = sorted(set(changes) - field_names)
    if unknown:
        raise ValueError(f'unknown faults {unknown}, expected any of {sorted(field_names)}')
    adapter = pydantic.TypeAdapter(type(faults))
    return adapter.validate_python({**dataclasses.asdict(faults), **changes})


def split_address(address: str) -> tuple[str, int]:
    """Split `host:port`.

    Args:
        address: IP address and port.

    Returns:
        IP address and port.

    Raises:
        ValueError: If there is no host or no port number.
    """
    host, colon, port = address.rpartition(':')
    if not colon or not host:
        raise ValueError(f'address {address!r} is not <host>:<port>')
    return host, int(port)


def bound_address(port: interfaces.IListeningPort) -> str:
    """Return the `host:port` to which a listening port is bound."""
    host = port.getHost()
    return f'{host.host}:{host.port}'
