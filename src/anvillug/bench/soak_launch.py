"""Command and environment of the node processes of a soak."""

from __future__ import annotations

import dataclasses
import functools
import json
import os
import pathlib
import shlex
import subprocess  # noqa: S404 builds what the run line names
import sys
import tomllib
from collections.abc import Mapping

from anvillug.bench import processes
from anvillug.platform import location

ROOT = pathlib.Path(__file__).resolve().parents[3]
"""This checkout."""

_LINKED_NODE = 'anvillug.bench.soak_node'
_PLATFORM_VARIABLES = ('HOME', 'LANG')
_BUILDER = pathlib.Path('deploy', 'build_interpreter.py')
_INTERPRETER = pathlib.Path('target', 'python3')


@dataclasses.dataclass(frozen=True, slots=True)
class Launch:
    """How a process is started."""

    command: tuple[str, ...]
    """Executable and arguments."""
    environment: Mapping[str, str] | None
    """Environment variables; None to inherit those of this process."""


def as_subcommand(path: pathlib.Path) -> Launch:
    """Return how `anvillug mesh` is started with a settings file.

    In a checkout, the interpreter of the deploy file runs it: the usual one ends by signals that
    come before the first line of the program. It is built first, once by each process.
    """
    build_interpreter(ROOT)
    interpreter = ROOT / _INTERPRETER
    python, *arguments = processes.PROGRAM
    program = str(interpreter) if interpreter.is_file() else python
    return Launch((program, *arguments, 'mesh', str(path)), None)


def behind_links(launch: Launch, bound_addresses: Mapping[str, str]) -> Launch:
    """Return how a node is started that listens behind links.

    Args:
        launch: How it is started without links, as a module.
        bound_addresses: Addresses that it listens on, by those that its settings name.

    Raises:
        ValueError: If the node is not started as a module.
    """
    if not bound_addresses:
        return launch
    python, option, *arguments = launch.command
    if option != '-m':
        raise ValueError(f'cannot listen behind links: {" ".join(launch.command)}')
    command = (python, option, _LINKED_NODE, json.dumps(dict(bound_addresses)), *arguments)
    return Launch(command, launch.environment)


def as_deployed(path: pathlib.Path, checkout: pathlib.Path = ROOT) -> Launch:
    """Return how the run line of the deploy file is started, with the platform's variables only.

    The interpreter that it names is built first, once by each process.

    Args:
        path: Settings file.
        checkout: Checkout with the deploy file and the code.

    Raises:
        OSError: If there is no deploy file, as in an installed package.
    """
    build_interpreter(checkout)
    deploy_file = tomllib.loads((checkout / 'deploy' / 'system.toml').read_text())
    words = shlex.split(deploy_file['roles']['node']['run'])
    command = tuple(str(checkout / word) if (checkout / word).is_file() else word for word in words)
    variables = {name: os.environ[name] for name in _PLATFORM_VARIABLES if name in os.environ}
    variables['PATH'] = _path_variable()
    variables['PYTHONPATH'] = ':'.join(each for each in sys.path if each.endswith('-packages'))
    variables[location.SETTINGS_VARIABLE] = str(path)
    return Launch(command, variables)


@functools.cache
def build_interpreter(checkout: pathlib.Path) -> None:
    """Build the interpreter of the deploy file; older checkouts have none.

    Raises:
        subprocess.CalledProcessError: If it can't be built.
    """
    if (checkout / _BUILDER).is_file():
        subprocess.run(  # noqa: S603 the project's own file
            ['python3', str(checkout / _BUILDER), str(checkout / _INTERPRETER)],  # noqa: S607
            env={**os.environ, 'PATH': _path_variable()},
            check=True,
        )


def _path_variable() -> str:
    """Return the variable PATH with the folder of this interpreter first."""
    return f'{pathlib.Path(sys.executable).parent}:{os.environ["PATH"]}'
