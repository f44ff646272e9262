"""Starts a module whose sockets listen behind links: `soak_node ADDRESSES MODULE ARGUMENT...`.

ADDRESSES is a JSON object of the addresses that are bound, by those that the module names.
"""

from __future__ import annotations

import json
import runpy
import socket
import sys

_bind = socket.socket.bind


def main() -> None:
    """Run the module."""
    _, addresses, module, *arguments = sys.argv
    bound = {_split(named): _split(address) for named, address in json.loads(addresses).items()}

    def bind_behind_link(bindable: socket.socket, address: tuple[str, int]) -> None:
        # Beacons are no streams, and are not relayed.
        is_stream = bindable.type == socket.SOCK_STREAM
        _bind(bindable, bound.get(address, address) if is_stream else address)

    socket.socket.bind = bind_behind_link
    sys.argv = [module, *arguments]
    runpy.run_module(module, run_name='__main__', alter_sys=True)


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    return host, int(port)


if __name__ == '__main__':
    main()
