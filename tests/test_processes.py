"""Tests of child processes and of the ports that they get."""

from __future__ import annotations

import itertools

from anvillug.bench import processes


class _Ports:
    """Stands in for the source of random ports."""

    def __init__(self, ports) -> None:
        self._ports = iter(ports)

    def randrange(self, *bounds: int) -> int:
        return next(self._ports)


class TestFreeAddresses:
    """Guards against two runs that choose the same port before either has bound it."""

    def test_chosen_port_is_not_chosen_again(self, monkeypatch):
        chosen = int(processes.free_addresses(1)[0].rpartition(':')[2])
        ports = itertools.chain([chosen], itertools.count(chosen + 1))
        monkeypatch.setattr(processes, '_PORT_RNG', _Ports(ports))
        assert processes.free_addresses(1) != [f'127.0.0.1:{chosen}']
