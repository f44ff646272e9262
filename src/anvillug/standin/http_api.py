"""Helpers shared by the klein endpoints of the stand-ins."""

from __future__ import annotations

import dataclasses
import json
from typing import Any, TypeVar

import pydantic
from twisted.internet import interfaces
from twisted.web import http, iweb

FaultsT = TypeVar('FaultsT')


def json_answer(request: iweb.IRequest, data: Any, status: int = http.OK) -> bytes:
    """Set status and content type of a request and return the encoded body."""
    request.setResponseCode(status)
    request.setHeader(b'Content-Type', b'application/json')
    return json.dumps(data).encode()


def error_answer(request: iweb.IRequest, status: int, message: object) -> bytes:
    """Set the status of a request and return an error body."""
    return json_answer(request, {'error': str(message)}, status)


def updated_faults(faults: FaultsT, body: bytes) -> FaultsT:
    """Return faults changed by the JSON object of a control request.

    Args:
        faults: Frozen dataclass with the faults in effect.
        body: JSON object; fields it does not name keep their value.

    Returns:
        The new faults.

    Raises:
        ValueError: If the body is no JSON object, names an unknown fault or has a wrong type.
    """
    changes = json.loads(body)
    if not isinstance(changes, dict):
        raise ValueError('faults are not a JSON object')
    known = {field.name for field in dataclasses.fields(faults)}  # type: ignore[arg-type]
    unknown = sorted(set(changes) - known)
    if unknown:
        raise ValueError(f'unknown faults {unknown}, known are {sorted(known)}')
    adapter = pydantic.TypeAdapter(type(faults))
    return adapter.validate_python({**dataclasses.asdict(faults), **changes})


def split_address(address: str) -> tuple[str, int]:
    """Split `host:port`.

    Args:
        address: IP number and port.

    Returns:
        Host and port.

    Raises:
        ValueError: If there is no port number.
    """
    host, colon, port = address.rpartition(':')
    if not colon or not host:
        raise ValueError(f'address {address!r} is not <host>:<port>')
    return host, int(port)


def bound_address(port: interfaces.IListeningPort) -> str:
    """Return the `host:port` on which a listening port is bound."""
    host = port.getHost()
    return f'{host.host}:{host.port}'
