"""Builds dist/anvillug, a single file with the program and its run-time dependencies.

The packages are copied from the environment that runs this script, so that the
build needs no network.
"""

from __future__ import annotations

import pathlib
import shutil
import sys
import tempfile
from collections.abc import Iterable, Iterator
from importlib import metadata

from packaging import requirements
from shiv import cli

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_SOURCE = _ROOT / 'src' / 'anvillug'
_TARGET = _ROOT / 'dist' / 'anvillug'
_PYTHON = '/usr/bin/env python3.11'
_ENTRY_POINT = 'anvillug.__main__:main'
_EXCLUDED_FOLDERS = frozenset(('__pycache__', 'test', 'tests'))
_BYTES_PER_MB = 1_000_000


def main() -> int:
    """Build the file and print its size.

    Returns:
        Exit code 0.
    """
    _TARGET.parent.mkdir(exist_ok=True)
    with tempfile.TemporaryDirectory() as folder:
        staged = pathlib.Path(folder)
        for name in sorted(_required_packages(_direct_requirements())):
            _copy_package(name, staged)
        shutil.copytree(
            _SOURCE,
            staged / _SOURCE.name,
            ignore=shutil.ignore_patterns('__pycache__'),
        )
        _build(staged)
        unpacked = sum(path.stat().st_size for path in staged.rglob('*') if path.is_file())
    packed = _TARGET.stat().st_size
    print(f'{_TARGET.relative_to(_ROOT)}: {_megabytes(packed)}, unpacked {_megabytes(unpacked)}')
    return 0


def _direct_requirements() -> list[requirements.Requirement]:
    lines = (_ROOT / 'requirements.in').read_text().split()
    return [requirements.Requirement(line) for line in lines]


def _required_packages(direct: Iterable[requirements.Requirement]) -> set[str]:
    """Return the names of the required packages and their dependencies in this environment."""
    names: set[str] = set()
    seen: set[str] = set()
    remaining = list(direct)
    while remaining:
        requirement = remaining.pop()
        if str(requirement) not in seen:
            seen.add(str(requirement))
            names.add(_installed(requirement.name).name)
            remaining.extend(_dependencies(requirement))
    return names


def _dependencies(requirement: requirements.Requirement) -> Iterator[requirements.Requirement]:
    for line in _installed(requirement.name).requires or ():
        dependency = requirements.Requirement(line)
        extras = ('', *requirement.extras)
        if dependency.marker is None or any(
            dependency.marker.evaluate({'extra': extra}) for extra in extras
        ):
            yield dependency


def _installed(name: str) -> metadata.Distribution:
    return metadata.distribution(name)


def _copy_package(name: str, target: pathlib.Path) -> None:
    """Copy the files of an installed package, except scripts outside of the package folders."""
    for file in _installed(name).files or ():
        is_excluded = file.is_absolute() or '..' in file.parts
        if is_excluded or _EXCLUDED_FOLDERS.intersection(file.parts):
            continue
        copied = target / file
        copied.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy2(file.locate(), copied)


def _build(staged: pathlib.Path) -> None:
    options = {
        '--site-packages': staged,
        '--entry-point': _ENTRY_POINT,
        '--python': _PYTHON,
        '--output-file': _TARGET,
    }
    arguments = [str(argument) for option in options.items() for argument in option]
    # --compile-pyc is not used: with it, the first start compiles in child processes.
    cli.main(['--reproducible', *arguments], standalone_mode=False)


def _megabytes(size_bytes: int) -> str:
    return f'{size_bytes / _BYTES_PER_MB:.1f} MB'


if __name__ == '__main__':
    sys.exit(main())
