"""Tables of control-plane costs with linear fits, for docs/CAPACITY.md."""

from __future__ import annotations

import dataclasses
import datetime
import sys
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

from anvillug.bench import (
    capacity_control,
    capacity_log,
    capacity_logic,
    capacity_nodes,
    slopes,
)

TARGET_NODES = 6300
"""Planned number of nodes, to which the fits are extrapolated."""
ZONE_HOSTS = 900
"""Planned number of hosts in a zone."""

_EXIT_UNKNOWN_PART = 2
_PER_NODE_METRICS = ('resident_mb', 'private_mb', 'cpu_percent', 'gossip_kb_s', 'spread_p50_ms')

Write = Callable[[str], object]
Part = Callable[[Any, Any, Write], Awaitable[None]]


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Parts and sizes to measure."""

    parts: tuple[str, ...]
    """Names of the parts; see `PARTS`."""
    nodes: tuple[int, ...]
    """Sizes of the meshes in nodes."""
    services: tuple[int, ...]
    """Numbers of services in the configuration document."""
    seed: int
    """Seed of random choices."""


async def run(plan: Plan, reactor: Any, write: Write = sys.stdout.write) -> int:
    """Measure the parts and print the tables.

    Args:
        plan: What to measure.
        reactor: Twisted reactor.
        write: Function that receives the output.

    Returns:
        Exit code: 0 when everything was measured, 2 for an unknown part.
    """
    unknown = [name for name in plan.parts if name not in PARTS]
    if unknown:
        write(f'unknown parts: {", ".join(unknown)}; valid parts: {", ".join(PARTS)}\n')
        return _EXIT_UNKNOWN_PART
    now = datetime.datetime.now(datetime.UTC)
    write(f'seed {plan.seed}, {now:%Y-%m-%d}\n')
    for name in sorted(plan.parts, key=list(PARTS).index):
        await PARTS[name](plan, reactor, write)
    return 0


def markdown(rows: Sequence[Any]) -> str:
    """Return instances of one dataclass as a Markdown table with its fields as columns."""
    names = [field.name for field in dataclasses.fields(rows[0])]
    lines = [f'| {" | ".join(names)} |', f'|{"---|" * len(names)}']
    lines.extend(
        f'| {" | ".join(_format_value(value) for value in dataclasses.astuple(row))} |'
        for row in rows
    )
    return '\n'.join(lines)


def slope_lines(rows: Sequence[Any], size_name: str, names: Sequence[str], target: int) -> str:
    """Return one line per metric with its linear fit and its value at a target size.

    Args:
        rows: Measured rows.
        size_name: Field with the size.
        names: Fields with the metrics.
        target: Size to extrapolate to.
    """
    sizes = [getattr(row, size_name) for row in rows]
    lines = []
    for name in names:
        line = slopes.fit(sizes, [getattr(row, name) for row in rows])
        lines.append(
            f'- {name}: {line.base:.3g} + {line.slope:.3g} per unit of {size_name}; '
            f'{line.at(target):.3g} at {target} (maximum deviation: {line.residual:.2g})',
        )
    return '\n'.join(lines)


async def _memory(plan: Plan, reactor: Any, write: Write) -> None:
    parts, costs = capacity_control.measure()
    _write_section(write, 'Memory by part', markdown(parts))
    _write_section(write, 'Messages', markdown(costs))


async def _logic(plan: Plan, reactor: Any, write: Write) -> None:
    members = capacity_logic.member_rows()
    names = [field.name for field in dataclasses.fields(members[0])][1:]
    text = slope_lines(members, 'members', names, TARGET_NODES)
    _write_section(write, 'Member table', f'{markdown(members)}\n\n{text}')
    _write_section(write, 'Configuration', markdown(capacity_logic.config_rows()))
    _write_section(write, 'Service view', markdown(capacity_logic.view_rows()))


async def _log(plan: Plan, reactor: Any, write: Write) -> None:
    _write_section(write, 'Appends', markdown(capacity_log.append_rows()))
    claim_memory = f'{capacity_logic.claim_key_bytes():.0f} bytes per key held\n'
    _write_section(write, 'Memory of claims', claim_memory)
    _write_section(write, 'Reads', markdown(capacity_log.read_rows()))
    zone_return_row = await capacity_log.zone_return(reactor, ZONE_HOSTS, plan.seed)
    _write_section(write, 'Return of a zone', markdown([zone_return_row]))


async def _nodes(plan: Plan, reactor: Any, write: Write) -> None:
    for services in plan.services:
        rows = []
        for count in plan.nodes:
            rows.extend(await capacity_nodes.run(reactor, count, services, plan.seed))
            sys.stderr.write(f'{count} nodes and {services} services measured\n')
        _write_section(write, f'Nodes with {services} services', markdown(rows))
        for load in dict.fromkeys(row.load for row in rows):
            rows_of_load = [row for row in rows if row.load == load]
            if len(rows_of_load) > 1:
                text = slope_lines(rows_of_load, 'nodes', _PER_NODE_METRICS, TARGET_NODES)
                _write_section(write, f'Slopes, {load}', text)


PARTS: dict[str, Part] = {
    'memory': _memory,
    'logic': _logic,
    'log': _log,
    'nodes': _nodes,
}
"""Parts by name, in the order in which they run."""


def _write_section(write: Write, title: str, text: str) -> None:
    write(f'\n{title}\n\n{text}\n')


def _format_value(value: object) -> str:
    return f'{value:.4g}' if isinstance(value, float) else str(value)
