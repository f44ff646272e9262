"""Conversion of pydantic's errors to findings, and the types shared by validated models."""

from __future__ import annotations

import ipaddress
from typing import Annotated, Any

import pydantic

from anvillug import findings

_MAX_PORT = 65535


class Model(pydantic.BaseModel):
    """Base of validated input: immutable, without unknown keys or converted types."""

    model_config = pydantic.ConfigDict(
        extra='forbid',
        frozen=True,
        strict=True,
        allow_inf_nan=False,
        use_attribute_docstrings=True,
    )


def findings_of(error: pydantic.ValidationError, place: str) -> findings.Findings:
    """Return one finding for each fault that pydantic saw.

    Args:
        error: Error raised by a model's validation.
        place: Name of the input, such as its file.

    Returns:
        Findings in the order of the model's fields.
    """
    return tuple(
        findings.Finding(_join(place, fault['loc']), _message_of(fault))
        for fault in error.errors(include_url=False, include_context=False)
    )


def _message_of(fault: Any) -> str:
    if fault['type'] == 'extra_forbidden':
        return 'unknown key'
    if fault['type'] == 'missing':
        return 'required key is missing'
    message = str(fault['msg']).removeprefix('Value error, ')
    if isinstance(fault['input'], (str, int, float)):
        return f'{message}, got {fault["input"]!r}'
    return message


def _join(place: str, location: tuple[int | str, ...]) -> str:
    if not location:
        return place
    path = '.'.join(str(part) for part in location if part != '[key]')
    return f'{place}: {path}'


def check_address(text: str, *, lowest_port: int = 1) -> str:
    """Return an address if it is an IP number and a port.

    Args:
        text: IP:port, with brackets around an IPv6 number.
        lowest_port: 0 where a listener may take a free port.

    Returns:
        The text.

    Raises:
        ValueError: If it has another form.
    """
    host, _, port = text.rpartition(':')
    bracketed = host.startswith('[') and host.endswith(']')
    try:
        address = ipaddress.ip_address(host[1:-1] if bracketed else host)
    except ValueError:
        raise ValueError('address must be <IP number>:<port>') from None
    if bracketed != (address.version == 6):
        raise ValueError('address must be <IP number>:<port>, with brackets around IPv6 only')
    if not (port.isascii() and port.isdigit() and lowest_port <= int(port) <= _MAX_PORT):
        raise ValueError(f'port must be a number from {lowest_port} to {_MAX_PORT}')
    return text


Address = Annotated[str, pydantic.AfterValidator(check_address)]
