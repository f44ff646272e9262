"""Types of command line arguments, and parsers that report what is wrong with a value."""

from __future__ import annotations

import argparse
import dataclasses
from collections.abc import Callable, Mapping
from typing import Any, NewType

from anvillug import network_address

Address = NewType('Address', str)
"""IP:port of another process."""

ListenAddress = NewType('ListenAddress', str)
"""IP:port to listen on; port 0 selects a free one."""


@dataclasses.dataclass(frozen=True, slots=True)
class RouteTime:
    """Service time of the requests under a path prefix; for the stand-in backend server."""

    prefix: str
    """Path prefix."""
    milliseconds: float
    """Median service time in milliseconds."""


def _parse_address(text: str) -> Address:
    return Address(_checked_address(text, lowest_port=1))


def _parse_listen_address(text: str) -> ListenAddress:
    return ListenAddress(_checked_address(text, lowest_port=0))


def _checked_address(text: str, lowest_port: int) -> str:
    try:
        return network_address.check_address(text, lowest_port=lowest_port)
    except ValueError as error:
        raise argparse.ArgumentTypeError(f'{error}, got {text!r}') from None


def _parse_route_time(text: str) -> RouteTime:
    prefix, _, milliseconds = text.rpartition('=')
    try:
        return RouteTime(prefix, float(milliseconds))
    except ValueError:
        raise argparse.ArgumentTypeError(f'{text!r} is not <path prefix>=<ms>') from None


PARSERS: Mapping[Any, Callable[[str], object]] = {
    Address: _parse_address,
    ListenAddress: _parse_listen_address,
    RouteTime: _parse_route_time,
}
"""Parsers by type, for `defopt`."""
