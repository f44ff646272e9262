"""Subcommand `config`: shows the configuration number and what nodes have in force."""

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
_EXIT_UNKNOWN = 3
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
    """Show the configuration number and what each node has in force.

    Args:
        log: Address of the platform log, as IP:port.
        nodes: Operator addresses of nodes, as IP:port.
        wait: Wait until the log and all nodes have reached this number.
        timeout_s: Longest time to wait in seconds.

    Returns:
        0 when the number is reached everywhere, 1 when not in time, 3 when the log is unavailable.
    """
    query = Query(tuple(nodes), wait, timeout_s)
    return _reactor.run(functools.partial(_query, log, query))


@dataclasses.dataclass(frozen=True, slots=True)
class Query:
    """What to show and wait for."""

    nodes: tuple[str, ...]
    """Operator addresses."""
    wait: int
    """Number to wait for."""
    timeout_s: float
    """Longest time to wait in seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Overview:
    """Numbers seen in one round."""

    number: ids.ConfigNumber | None
    """Number by the log; None when it is unavailable."""
    numbers_by_node: dict[str, int | None]
    """Number in force by operator address; None without an answer."""

    def reached(self, wanted: int) -> bool:
        """Tell whether the log and all nodes have reached a number."""
        numbers = (self.number, *self.numbers_by_node.values())
        return all(number is not None and number >= wanted for number in numbers)

    def report(self) -> str:
        """Return one line for the log and one per node."""
        lines = [f'log number={_text(self.number)}']
        lines.extend(
            f'node={address} number={_text(number)}'
            for address, number in self.numbers_by_node.items()
        )
        return '\n'.join(lines)


async def _query(log: str, query: Query, reactor: Any) -> int:
    client = log_client.HttpLogClient(reactor, log)
    try:
        seen = await watch(reader.ConfigReader(client), query, _number_of_node, reactor)
    finally:
        await client.close()
    print(seen.report())
    if seen.number is None:
        return _EXIT_UNKNOWN
    return 0 if seen.reached(query.wait) else _EXIT_NOT_REACHED


async def watch(
    config_reader: reader.ConfigReader,
    query: Query,
    get_number: GetNumber,
    timer: Any,
) -> Overview:
    """Look until the wanted number is reached everywhere or the time is over.

    Args:
        config_reader: Reader of the log.
        query: What to wait for.
        get_number: Asks a node for its number.
        timer: Reactor that runs the delays.

    Returns:
        The last numbers seen.
    """
    end = timer.seconds() + query.timeout_s
    seen = await _look(config_reader, query, get_number)
    while query.wait and not seen.reached(query.wait) and timer.seconds() < end:
        await task.deferLater(timer, _POLL_S)
        seen = await _look(config_reader, query, get_number)
    return seen


async def _look(
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


async def _number_of_node(address: str) -> int | None:
    request = treq.get(f'http://{address}/config', timeout=_NODE_TIMEOUT_S)
    try:
        answer = await request.addCallback(treq.json_content)
    except Exception:
        # Any failure, also of reading the body, means that the node does not answer.
        return None
    number = answer.get('number') if isinstance(answer, dict) else None
    return number if isinstance(number, int) else None


def _text(number: int | None) -> str:
    return 'unknown' if number is None else str(number)
