"""Checks of values that other processes have sent, which may be of any type.

A value of a wrong type that is stored fails later, in a task that did not receive it.
"""

from __future__ import annotations

import math
from typing import Any

_MAX_PORT = 65535


def integer(content: Any, name: str) -> int:
    """Return an integer.

    Raises:
        ValueError: If it is not an integer; the message has its name and type.
    """
    if isinstance(content, bool) or not isinstance(content, int):
        raise ValueError(f'{name} must be an integer, got {type(content).__name__}')
    return content


def natural(content: Any, name: str) -> int:
    """Return an integer that is not negative; raises ValueError like `integer`."""
    if integer(content, name) < 0:
        raise ValueError(f'{name} must not be negative, got {content}')
    return content


def finite(content: Any, name: str) -> float:
    """Return a finite number.

    Raises:
        ValueError: If it is another value; the message has its name.
    """
    if isinstance(content, bool) or not isinstance(content, int | float):
        raise ValueError(f'{name} must be a number, got {type(content).__name__}')
    if not math.isfinite(content):
        raise ValueError(f'{name} must be finite, got {content}')
    return content


def number(content: Any, name: str) -> float:
    """Return a finite number that is not negative; raises ValueError like `finite`."""
    if finite(content, name) < 0:
        raise ValueError(f'{name} must not be negative, got {content}')
    return content


def text(content: Any, name: str) -> str:
    """Return a string.

    Raises:
        ValueError: If it is not a string; the message has its name and type.
    """
    if not isinstance(content, str):
        raise ValueError(f'{name} must be a string, got {type(content).__name__}')
    return content


def data(content: Any, name: str) -> bytes:
    """Return bytes.

    Raises:
        ValueError: If they are not bytes; the message has their name and type.
    """
    if not isinstance(content, bytes):
        raise ValueError(f'{name} must be bytes, got {type(content).__name__}')
    return content


def boolean(content: Any, name: str) -> bool:
    """Return true or false.

    Raises:
        ValueError: If it is neither; the message has its name and type.
    """
    if not isinstance(content, bool):
        raise ValueError(f'{name} must be true or false, got {type(content).__name__}')
    return content


def address(content: Any, name: str) -> str:
    """Return an address as IP:port.

    Raises:
        ValueError: If it has no port; the message has its name.
    """
    _, _, port = text(content, name).rpartition(':')
    if not (port.isascii() and port.isdigit() and 0 < int(port) <= _MAX_PORT):
        raise ValueError(f'{name} must be IP:port, got {content!r}')
    return content


def mapping(content: Any, name: str) -> dict[Any, Any]:
    """Return a mapping.

    Raises:
        ValueError: If it is not a mapping; the message has its name and type.
    """
    if not isinstance(content, dict):
        raise ValueError(f'{name} must be a mapping, got {type(content).__name__}')
    return content
