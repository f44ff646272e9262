"""Command line of the program."""

from __future__ import annotations

import dataclasses
import importlib
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import defopt

from anvillug import event_log
from anvillug.process.commands import arguments as argument_types

PROGRAM = 'anvillug'
VERSION = '0.1.0'


@dataclasses.dataclass(frozen=True, slots=True)
class _Command:
    """Location and summary of a subcommand."""

    module: str
    """Module in `anvillug.process.commands`."""
    summary: str
    """Line in the list of subcommands; stored here, so that the list imports no command module."""
    parts: tuple[str, ...] = ()
    """Names of the functions of nested subcommands; empty if there are none."""


_STANDINS = ('backend_server', 'log', 'link')
_BENCHES = (
    'demo',
    'scenario',
    'tables',
    'capacity',
    'footprint',
    'soak',
    'starts',
    'stops',
    'crowd',
)
_COMMANDS_BY_NAME = {
    'node': _Command('node', 'Run a node beside a backend server.'),
    'mesh': _Command('mesh', "Run a node on the users' platform."),
    'story': _Command('story', 'Print the log lines of one request, ordered by time.'),
    'explain': _Command('explain', 'Print where a request would go now, and why.'),
    'check': _Command('check', 'Check a settings file or a configuration document.'),
    'patch': _Command('patch', 'Submit a patch of the configuration document.'),
    'config': _Command(
        'config', 'Show the configuration number in the log and in effect on nodes.'
    ),
    'state': _Command('state', 'Print the state dump of a node as JSON.'),
    'drain': _Command('state', 'Stop a node gracefully.'),
    'standin': _Command('standin', 'Run a stand-in process for benchmarks and tests.', _STANDINS),
    'bench': _Command('bench', 'Run a demonstration or measurement on real processes.', _BENCHES),
}


def run(arguments: Sequence[str]) -> int:
    """Run a subcommand.

    Args:
        arguments: Command line arguments, without the program's name.

    Returns:
        Exit code; 2 for invalid arguments.
    """
    event_log.set_up()
    result = defopt.run(
        _functions_by_name(arguments),
        argv=list(arguments),
        short={},
        cli_options='kwonly',
        parsers=dict(argument_types.PARSERS),
        version=f'{PROGRAM} {VERSION}',
        argparse_kwargs={'prog': PROGRAM},
    )
    return int(result or 0)


def _functions_by_name(arguments: Sequence[str]) -> dict[str, Any]:
    """Return the functions of subcommands; imports only the module of the requested one."""
    command_name = arguments[0] if arguments else ''
    if command_name in _COMMANDS_BY_NAME:
        return {command_name: _load_function(command_name, _COMMANDS_BY_NAME[command_name])}
    return {name: _placeholder(command) for name, command in _COMMANDS_BY_NAME.items()}


def _load_function(
    name: str,
    command: _Command,
) -> Callable[..., Any] | Mapping[str, Callable[..., Any]]:
    module = importlib.import_module(f'anvillug.process.commands.{command.module}')
    if command.parts:
        return {part.replace('_', '-'): getattr(module, part) for part in command.parts}
    return getattr(module, name)


def _placeholder(command: _Command) -> Callable[[], None]:
    """Return a function that represents a subcommand in the list of subcommands."""

    def placeholder() -> None:
        raise AssertionError('placeholder of a subcommand must not run')

    placeholder.__doc__ = command.summary
    return placeholder
