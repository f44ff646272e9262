"""Conversion of pydantic errors to findings, and base types of validated models."""

from __future__ import annotations

import ipaddress
from typing import Annotated, Any

import pydantic

from anvillug import findings

_MAX_PORT = 65535


class Model(pydantic.BaseModel):
    """Base of input models: immutable, without unknown keys or type conversions."""

    model_config = pydantic.ConfigDict(
        extra='forbid',
        frozen=True,
        strict=True,
        allow_inf_nan=False,
        use_attribute_docstrings=True,
    )


def findings_of(error: pydantic.ValidationError, place: str) -> findings.Findings:
    """Convert a validation error to findings, one for each of its errors.

    Args:
        error: Error raised by the validation of a model.
        place: Name of the input, such as its file.

    Returns:
        Findings in the order of the model's fields.
    """
    return tuple(
        findings.Finding(_join(place, detail['loc']), _message_of(detail))
        for detail in error.errors(include_url=False, include_context=False)
    )


def _message_of(detail: Any) -> str:
    if detail['type'] == 'extra_forbidden':
        return 'unknown key'
    if detail['type'] == 'missing':
        return 'required key is missing'
    message = str(detail['msg']).removeprefix('Value error, ')
    if isinstance(detail['input'], (str, int, float)):
        return f'{message}, got {detail["input"]!r}'
    return message


def _join(place: str, location: tuple[int | str, ...]) -> str:
    if not location:
        return place
    path = '.'.join(str(part) for part in location if part != '[key]')
    return f'{place}: {path}'


def is_port(text: str, lowest: int = 1) -> bool:
    """Return whether a text is a port number that is not below the lowest valid one."""
    return text.isascii() and text.isdigit() and lowest <= int(text) <= _MAX_PORT


def check_address(text: str, *, lowest_port: int = 1) -> str:
    """Check that an address consists of an IP address and a port.

    Args:
        text: IP:port, with brackets around an IPv6 address.
        lowest_port: Lowest valid port; 0 lets a listener use any free port.

    Returns:
        The address, unchanged.

    Raises:
        ValueError: If the address is malformed.
    """
    host, _, port = text.rpartition(':')
    bracketed = host.startswith('[') and host.endswith(']')
    try:
        address = ipaddress.ip_address(host[1:-1] if bracketed else host)
    except ValueError:
        raise ValueError('address must be <IP number>:<port>') from None
    if bracketed != (address.version == 6):
        raise ValueError('address must be <IP number>:<port>, with brackets around IPv6 only')
    if not is_port(port, lowest_port):
        raise ValueError(f'port must be a number from {lowest_port} to {_MAX_PORT}')
    return text


Address = Annotated[str, pydantic.AfterValidator(check_address)]
