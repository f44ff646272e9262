"""Checks of values that other processes have sent, which may be of any type.

A value of a wrong type that is stored fails later, in a task that did not receive it. Each function
takes a value and its name, and returns the value or raises ValueError with the name.
"""

from __future__ import annotations

import math
from typing import Any

from anvillug import network_address


def integer(content: Any, name: str) -> int:
    """Return an integer; raises ValueError for another type."""
    if isinstance(content, bool) or not isinstance(content, int):
        raise _wrong_type(content, name, 'an integer')
    return content


def natural(content: Any, name: str) -> int:
    """Return an integer that is not negative; raises ValueError otherwise."""
    if integer(content, name) < 0:
        raise ValueError(f'{name} must not be negative, got {content}')
    return content


def finite(content: Any, name: str) -> float:
    """Return a finite number; raises ValueError otherwise."""
    if isinstance(content, bool) or not isinstance(content, int | float):
        raise _wrong_type(content, name, 'a number')
    if not math.isfinite(content):
        raise ValueError(f'{name} must be finite, got {content}')
    return content


def number(content: Any, name: str) -> float:
    """Return a finite number that is not negative; raises ValueError otherwise."""
    if finite(content, name) < 0:
        raise ValueError(f'{name} must not be negative, got {content}')
    return content


def text(content: Any, name: str) -> str:
    """Return a string; raises ValueError for another type."""
    if not isinstance(content, str):
        raise _wrong_type(content, name, 'a string')
    return content


def data(content: Any, name: str) -> bytes:
    """Return bytes; raises ValueError for another type."""
    if not isinstance(content, bytes):
        raise _wrong_type(content, name, 'bytes')
    return content


def boolean(content: Any, name: str) -> bool:
    """Return true or false; raises ValueError for another type."""
    if not isinstance(content, bool):
        raise _wrong_type(content, name, 'true or false')
    return content


def address(content: Any, name: str) -> str:
    """Return an address as IP:port; raises ValueError if it has no port."""
    _, _, port = text(content, name).rpartition(':')
    if not network_address.is_port(port):
        raise ValueError(f'{name} must be IP:port, got {content!r}')
    return content


def mapping(content: Any, name: str) -> dict[Any, Any]:
    """Return a mapping; raises ValueError for another type."""
    if not isinstance(content, dict):
        raise _wrong_type(content, name, 'a mapping')
    return content


def sequence(content: Any, name: str) -> list[Any]:
    """Return a list; raises ValueError for another type."""
    if not isinstance(content, list):
        raise _wrong_type(content, name, 'a list')
    return content


def _wrong_type(content: object, name: str, expected: str) -> ValueError:
    return ValueError(f'{name} must be {expected}, got {type(content).__name__}')
