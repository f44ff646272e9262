"""Measures the control plane of one process: memory by part, CPU and bytes per message.

Runs in its own process, because memory that was used once is not returned to the
operating system. Both ends of each exchange are in this process, so CPU times and
the memory of channels are those of the calling and the called node together. A
node starts and receives about one exchange per second.
"""

from __future__ import annotations

import dataclasses
import functools
import importlib
import json
import os
import sys
import time
from collections.abc import Awaitable, Callable
from typing import Any

from twisted.internet import endpoints, interfaces, task
from twisted.protocols import portforward

from anvillug import ids
from anvillug.bench import processes, usage

MEMBERS = 6300
SERVICES = 310

_CALL_PATH = (
    'anvillug.process.settings',
    'anvillug.process.operator_api',
    'anvillug.process.entry_side',
    'anvillug.process.host_side',
    'anvillug.process.backend_watch',
    'anvillug.process.error_reports',
)
_CONFIG_AND_LOG = (
    'anvillug.connection.log_client',
    'anvillug.process.config_follower',
    'anvillug.process.membership_log',
    'anvillug.process.move_judge',
    'anvillug.process.claim_coordinator',
)
_GOSSIP = ('anvillug.process.gossip', 'anvillug.connection.control_client')
_CHANNEL_COUNT = 16
_EXCHANGE_COUNT = 200
_LOG_CALL_COUNT = 100
_US_PER_SECOND = 1_000_000
_READ_WAIT_MS = 0
_RESULT_PREFIX = 'footprint '
_TIMEOUT_S = 120


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """Memory added by one part of a node."""

    name: str
    """Name of the part."""
    resident_mb: float
    """Resident memory added."""
    private_mb: float
    """Memory added that is not shared with other processes."""


@dataclasses.dataclass(frozen=True, slots=True)
class MessageCost:
    """Costs of one kind of message."""

    name: str
    """Kind of message."""
    cpu_us: float
    """CPU time of both ends, or of this end if the other end is another process."""
    wire_bytes: float
    """Bytes in both directions with HTTP framing, without TCP and IP headers."""


class Footprint:
    """Loads the parts of a node one after the other and measures each of them.

    Args:
        reactor: Twisted reactor.
    """

    def __init__(self, reactor: Any) -> None:
        self.parts: list[Part] = []
        self.costs: list[MessageCost] = []
        self._reactor = reactor
        self._relayed_bytes = 0
        self._previous_memory = usage.Memory(0, 0)
        self._retained_objects: list[object] = []

    async def run(self, log_address: str) -> None:
        """Measure all parts and messages.

        Args:
            log_address: Address of a log stand-in that runs in another process.
        """
        self._add_modules('call path: reactor, HTTP, operator API', _CALL_PATH)
        self._add_modules('log client, config follower, judge, claims', _CONFIG_AND_LOG)
        self._add_modules('gossip and protobuf messages', _GOSSIP)
        await self._measure_exchanges()
        self._add_state()
        await self._measure_log_calls(log_address)

    def _add_modules(self, name: str, modules: tuple[str, ...]) -> None:
        for module in modules:
            importlib.import_module(module)
        self._record_part(name)

    def _record_part(self, name: str) -> None:
        memory = usage.memory(os.getpid())
        before = self._previous_memory
        self.parts.append(
            Part(
                name, memory.resident_mb - before.resident_mb, memory.private_mb - before.private_mb
            ),
        )
        self._previous_memory = memory

    async def _measure_exchanges(self) -> None:
        control_client = importlib.import_module('anvillug.connection.control_client')
        control_server = importlib.import_module('anvillug.connection.control_server')
        request, reply = _messages()
        server = control_server.ControlServer(self._reactor, lambda _: reply)
        port = server.start('0.0.0.0:0')  # noqa: S104 one listener serves as 16 peers
        client = control_client.ControlClient(self._reactor)
        addresses = [f'127.0.0.{number + 1}:{port}' for number in range(_CHANNEL_COUNT)]
        for address in addresses:
            await client.exchange(address, request)
        self._record_part('gRPC with 16 channels, both ends')

        async def exchange_on_open_channel(index: int) -> None:
            await client.exchange(addresses[index % _CHANNEL_COUNT], request)

        async def exchange_on_new_channel(index: int) -> None:
            new_client = control_client.ControlClient(self._reactor)
            await new_client.exchange(addresses[0], request)
            new_client.close()

        open_us = await _cpu_us(exchange_on_open_channel, _EXCHANGE_COUNT)
        new_us = await _cpu_us(exchange_on_new_channel, _EXCHANGE_COUNT)
        first, later = await self._exchange_bytes(f'127.0.0.1:{port}', request)
        self.costs.append(MessageCost('exchange on an open channel', open_us, later))
        self.costs.append(MessageCost('exchange on a new channel', new_us, first))
        client.close()
        server.stop()

    async def _exchange_bytes(self, address: str, request: Any) -> tuple[float, float]:
        """Return the bytes of the first exchange on a channel and the mean of later ones."""
        control_client = importlib.import_module('anvillug.connection.control_client')
        relay = await self._start_relay(address)
        client = control_client.ControlClient(self._reactor)

        async def exchange(index: int) -> None:
            await client.exchange(relay, request)

        first = await self._bytes_of(exchange, 1)
        later = await self._bytes_of(exchange, _LOG_CALL_COUNT)
        client.close()
        return first, later

    def _add_state(self) -> None:
        costs = importlib.import_module('anvillug.bench.membership_cost')
        membership = importlib.import_module('anvillug.process.membership')
        logic = importlib.import_module('anvillug.bench.capacity_logic')
        self._record_part('modules of the bench itself')
        table = membership.MemberTable(costs.make_member(0), costs.NOW)
        for index in range(1, MEMBERS):
            table.merge([costs.make_member(index)], costs.NOW)
        self._record_part(f'member table with {MEMBERS} members')
        self._retained_objects.extend((table, logic.make_state(SERVICES)))
        self._record_part(f'configuration with {SERVICES} services')

    async def _measure_log_calls(self, log_address: str) -> None:
        log_client = importlib.import_module('anvillug.connection.log_client')
        client = log_client.HttpLogClient(self._reactor, log_address)
        relayed_client = log_client.HttpLogClient(
            self._reactor, await self._start_relay(log_address)
        )

        async def append(log: Any, index: int) -> None:
            await log.append('bench', '')

        async def read(log: Any, index: int) -> None:
            await log.read('bench', ids.LogOffset(index), 1, _READ_WAIT_MS)

        for name, work in (('append to the log', append), ('read of one log record', read)):
            cpu_us = await _cpu_us(functools.partial(work, client), _LOG_CALL_COUNT)
            size = await self._bytes_of(functools.partial(work, relayed_client), _LOG_CALL_COUNT)
            self.costs.append(MessageCost(name, cpu_us, size))

    async def _start_relay(self, address: str) -> str:
        """Start a relay to an address that counts bytes; return the address of the relay."""
        host, _, port = address.rpartition(':')
        relay_port: interfaces.IListeningPort = await endpoints.TCP4ServerEndpoint(
            self._reactor,
            0,
            interface='127.0.0.1',
        ).listen(_CountingFactory(host, int(port), self._count_bytes))
        return f'127.0.0.1:{relay_port.getHost().port}'

    def _count_bytes(self, size: int) -> None:
        self._relayed_bytes += size

    async def _bytes_of(self, work: Callable[[int], Awaitable[None]], times: int) -> float:
        self._relayed_bytes = 0
        for index in range(times):
            await work(index)
        # Acknowledgements of the protocol may arrive after the response.
        await task.deferLater(self._reactor, 0.1)
        return self._relayed_bytes / times


class _CountingClient(portforward.ProxyClient):
    def dataReceived(self, data: bytes) -> None:  # noqa: N802 name given by Twisted
        self.peer.factory.count(len(data))
        super().dataReceived(data)


class _CountingClientFactory(portforward.ProxyClientFactory):
    protocol = _CountingClient


class _CountingServer(portforward.ProxyServer):
    clientProtocolFactory = _CountingClientFactory  # noqa: N815 name given by Twisted

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 name given by Twisted
        self.factory.count(len(data))
        super().dataReceived(data)


class _CountingFactory(portforward.ProxyFactory):
    protocol = _CountingServer

    def __init__(self, host: str, port: int, count: Callable[[int], None]) -> None:
        super().__init__(host, port)
        self.count = count


async def main(reactor: Any) -> int:
    """Measure in this process and print the result as one line of JSON.

    Args:
        reactor: Twisted reactor.

    Returns:
        Exit code: 0.
    """
    footprint = Footprint(reactor)
    with processes.group() as group:
        log = processes.start(['standin', 'log', '--append-limit-per-second', '100000'], group)
        await footprint.run(log.wait_for_event()['address'])
    parts = [dataclasses.asdict(part) for part in footprint.parts]
    costs = [dataclasses.asdict(cost) for cost in footprint.costs]
    sys.stdout.write(f'{_RESULT_PREFIX}{json.dumps({"parts": parts, "costs": costs})}\n')
    return 0


def measure() -> tuple[list[Part], list[MessageCost]]:
    """Measure in a child process, which loads only what is measured.

    Returns:
        The memory of the parts and the cost of messages.

    Raises:
        ProcessError: If the child process failed.
    """
    with processes.group() as group:
        child = processes.ChildProcess(['bench', 'footprint'])
        group.append(child)
        end = time.monotonic() + _TIMEOUT_S
        while child.running and time.monotonic() < end:
            time.sleep(processes.POLL_S)
        results = [line for line in child.output().splitlines() if line.startswith(_RESULT_PREFIX)]
        if not results:
            raise processes.ProcessError(f'footprint process printed no result: {child.output()}')
    result = json.loads(results[0].removeprefix(_RESULT_PREFIX))
    return (
        [Part(**part) for part in result['parts']],
        [MessageCost(**cost) for cost in result['costs']],
    )


async def _cpu_us(work: Callable[[int], Awaitable[None]], times: int) -> float:
    for index in range(_CHANNEL_COUNT):
        await work(index)
    start = time.process_time()
    for index in range(times):
        await work(index)
    return (time.process_time() - start) / times * _US_PER_SECOND


def _messages() -> tuple[Any, Any]:
    """Return request and reply of an exchange in which three members have changed."""
    control_messages = importlib.import_module('anvillug.connection.control_messages')
    costs = importlib.import_module('anvillug.bench.membership_cost')
    members = tuple(costs.make_member(index) for index in range(3))
    news = control_messages.News(
        sender=members[0].host_id,
        incarnation=members[0].incarnation,
        config_number=ids.ConfigNumber(28_000),
        digest=members[0].incarnation,
        members=members,
    )
    return control_messages.Request(news), control_messages.Reply(news)
