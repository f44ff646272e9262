"""Checks of network addresses."""

from __future__ import annotations

import ipaddress

_MAX_PORT = 65535


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
