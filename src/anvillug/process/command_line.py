"""Command line of the program."""

from __future__ import annotations

import importlib
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import defopt

from anvillug import event_log

_MODULE_BY_COMMAND = {
    'node': 'node',
    'check': 'check',
    'patch': 'patch',
    'config': 'config',
    'state': 'state',
    'drain': 'state',
    'standin': 'standin',
    'bench': 'bench',
}
_STANDINS = ('backend_server', 'log', 'link')
_BENCHES = ('demo', 'capacity', 'footprint')


def run(arguments: Sequence[str]) -> int:
    """Run a subcommand.

    Args:
        arguments: Words after the program's name.

    Returns:
        Exit code; 2 for bad use.
    """
    event_log.set_up()
    result = defopt.run(
        _functions(arguments),
        argv=list(arguments),
        short={},
        cli_options='kwonly',
    )
    return int(result or 0)


def _functions(arguments: Sequence[str]) -> dict[str, Any]:
    """Return the functions by name; only the module of the wanted command is imported."""
    wanted = arguments[0] if arguments else ''
    names = [wanted] if wanted in _MODULE_BY_COMMAND else list(_MODULE_BY_COMMAND)
    return {name: _function(name) for name in names}


def _function(name: str) -> Callable[..., Any] | Mapping[str, Callable[..., Any]]:
    module = importlib.import_module(f'anvillug.process.commands.{_MODULE_BY_COMMAND[name]}')
    if name == 'standin':
        return {each.replace('_', '-'): getattr(module, each) for each in _STANDINS}
    if name == 'bench':
        return {each.replace('_', '-'): getattr(module, each) for each in _BENCHES}
    return getattr(module, name)
