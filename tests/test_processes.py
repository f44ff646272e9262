"""Tests of the allocation of ports for child processes."""

from __future__ import annotations

import itertools

from anvillug.bench import processes


class _FixedPorts:
    """Replaces the random number generator that picks ports."""

    def __init__(self, ports) -> None:
        self._ports = iter(ports)

    def randrange(self, *bounds: int) -> int:
        return next(self._ports)


class TestFreeAddresses:
    """Guards against two runs that pick the same port before either of them binds it."""

    def test_allocated_port_is_not_allocated_again(self, monkeypatch):
        allocated = int(processes.free_addresses(1)[0].rpartition(':')[2])
        ports = itertools.chain([allocated], itertools.count(allocated + 1))
        monkeypatch.setattr(processes, '_PORT_RNG', _FixedPorts(ports))
        assert processes.free_addresses(1) != [f'127.0.0.1:{allocated}']
