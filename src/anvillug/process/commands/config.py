"""Subcommand `config`: shows the configuration numbers of the log and of nodes."""

from __future__ import annotations

import dataclasses
import functools
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import treq
from twisted.internet import defer, task

from anvillug import ids
from anvillug.connection import log_client, log_record
from anvillug.process.commands import _reactor, arguments
from anvillug.version import fold, reader

_EXIT_NOT_REACHED = 1
_EXIT_LOG_UNAVAILABLE = 3
_POLL_S = 0.25
_NODE_TIMEOUT_S = 2

GetNumber = Callable[[str], Awaitable[int | None]]


def config(
    *,
    log: arguments.Address,
    nodes: Sequence[arguments.Address] = (),
    wait: int = 0,
    timeout_s: float = 18,
) -> int:
    """Show the configuration number in the log and the one in effect on each node.

    Args:
        log: Address of the platform log, as IP:port.
        nodes: Operator addresses of nodes, as IP:port.
        wait: Number to wait for until the log and all nodes have reached it.
        timeout_s: Max time to wait in seconds.

    Returns:
        Exit code: 0 if all have reached the number, 1 if not in time, 3 if the log is unavailable.
    """
    query = Query(tuple(nodes), wait, timeout_s)
    return _reactor.run(functools.partial(_query, log, query))


@dataclasses.dataclass(frozen=True, slots=True)
class Query:
    """Nodes to query and number to wait for."""

    nodes: tuple[str, ...]
    """Operator addresses of the nodes."""
    wait: int
    """Configuration number to wait for."""
    timeout_s: float
    """Max time to wait in seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Overview:
    """Configuration numbers of one poll."""

    number: ids.ConfigNumber | None
    """Number in the log; None if the log is unavailable."""
    numbers_by_node: dict[str, int | None]
    """Numbers in effect, by operator address; None for a node that does not respond."""

    def has_reached(self, required_number: int) -> bool:
        """Return whether the log and all nodes have reached a number."""
        numbers = (self.number, *self.numbers_by_node.values())
        return all(number is not None and number >= required_number for number in numbers)

    def report(self) -> str:
        """Return the numbers as text, one line for the log and one per node."""
        lines = [f'log number={_format_number(self.number)}']
        lines.extend(
            f'node={address} number={_format_number(number)}'
            for address, number in self.numbers_by_node.items()
        )
        return '\n'.join(lines)


async def _query(log: str, query: Query, reactor: Any) -> int:
    client = log_client.HttpLogClient(reactor, log)
    try:
        overview = await wait_for_number(
            reader.ConfigReader(client), query, _fetch_node_number, reactor
        )
    finally:
        await client.close()
    print(overview.report())
    if overview.number is None:
        return _EXIT_LOG_UNAVAILABLE
    return 0 if overview.has_reached(query.wait) else _EXIT_NOT_REACHED


async def wait_for_number(
    config_reader: reader.ConfigReader,
    query: Query,
    get_number: GetNumber,
    timer: Any,
) -> Overview:
    """Poll until the log and all nodes have reached the number, or the time is over.

    Args:
        config_reader: Reader of the log.
        query: Nodes, number and time limit.
        get_number: Fetches the number of a node.
        timer: Reactor that runs the delays.

    Returns:
        The numbers of the last poll.
    """
    end = timer.seconds() + query.timeout_s
    overview = await _collect_numbers(config_reader, query, get_number)
    while query.wait and not overview.has_reached(query.wait) and timer.seconds() < end:
        await task.deferLater(timer, _POLL_S)
        overview = await _collect_numbers(config_reader, query, get_number)
    return overview


async def _collect_numbers(
    config_reader: reader.ConfigReader,
    query: Query,
    get_number: GetNumber,
) -> Overview:
    pending = [defer.ensureDeferred(get_number(address)) for address in query.nodes]
    try:
        number = (await config_reader.catch_up()).number
    except (log_record.LogError, fold.GapError):
        number = None
    numbers = await defer.gatherResults(pending)
    return Overview(number, dict(zip(query.nodes, numbers, strict=True)))


async def _fetch_node_number(address: str) -> int | None:
    request = treq.get(f'http://{address}/config', timeout=_NODE_TIMEOUT_S)
    try:
        content = await request.addCallback(treq.json_content)
    except Exception:
        # Any failure, also of reading the body, counts as no response of the node.
        return None
    number = content.get('number') if isinstance(content, dict) else None
    return number if isinstance(number, int) else None


def _format_number(number: int | None) -> str:
    return 'unknown' if number is None else str(number)
