"""Builds the interpreter that the run line names: `python3 build_interpreter.py TARGET`.

It is compiled from `interpreter.c` each time, since the folder may come from another machine. It
loads the shared library of the interpreter that runs this file, or is linked with the static one
where that interpreter does not run from a shared library. Where this fails, as without a compiler,
it is a link to that interpreter.
"""

from __future__ import annotations

import json
import os
import pathlib
import shlex
import subprocess  # noqa: S404 runs the compiler and what it has built
import sys
import sysconfig

_ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, f'{_ROOT}/src')
sys.dont_write_bytecode = True

from anvillug import early_signals  # noqa: E402 - needs the path above

_SOURCE = _ROOT / 'deploy' / 'interpreter.c'
_MAPS = pathlib.Path('/proc/self/maps')
_TIMEOUT_S = 60
# Options that extension modules and the interpreter's own modules need.
_LINK_VARIABLES = ('LINKFORSHARED', 'MODLIBS', 'LIBS', 'SYSLIBS')
# What the node's start depends on.
_PROBE = 'import sys; print(sys.version, sys.executable, sys.path, sys.flags)'


class _BuildError(Exception):
    """The interpreter can't be built on this machine."""


def _main(target: pathlib.Path) -> None:
    target.parent.mkdir(parents=True, exist_ok=True)
    # Under another name until it works, since other processes may start the one before it.
    made = target.with_name(f'{target.name}.{os.getpid()}')
    try:
        _compile(made)
        _check(made)
    except (_BuildError, OSError, subprocess.SubprocessError) as error:
        sys.stdout.write(f'{target}: a link, signals are not blocked: {error}\n')
        made.unlink(missing_ok=True)
        made.symlink_to(sys.executable)
    made.replace(target)


def _compile(made: pathlib.Path) -> None:
    texts = {'INTERPRETER': sys.executable}
    library = _shared_library()
    if library:
        texts['LIBRARY'] = library
    libraries = ['-ldl'] if library else _static_library()
    options = [f'-D{name}={json.dumps(text)}' for name, text in texts.items()]
    options.append(f'-DNUMBERS={",".join(str(int(number)) for number in early_signals.NUMBERS)}')
    _output_of(['cc', '-O2', *options, '-o', str(made), str(_SOURCE), *libraries])


def _shared_library() -> str:
    """Return the path of the shared library that this interpreter runs from; empty without one."""
    name = sysconfig.get_config_var('INSTSONAME')
    for line in _MAPS.read_text().splitlines():
        path = line[line.find('/') :]
        if path.endswith(f'/{name}'):
            return path
    return ''


def _static_library() -> list[str]:
    """Return the options to link a program with the static library of this interpreter.

    Debian's interpreter does not use its shared library, which is slower than the static one.
    """
    library = pathlib.Path(*map(sysconfig.get_config_var, ('LIBPL', 'LIBRARY')))
    if not library.is_file():
        raise _BuildError(
            f'{sys.executable} does not run from a shared library, and {library} does not exist'
        )
    words = [sysconfig.get_config_var(name) or '' for name in _LINK_VARIABLES]
    # Its objects may not be position-independent.
    return ['-no-pie', str(library), *shlex.split(' '.join(words))]


def _check(made: pathlib.Path) -> None:
    """Check that what was built runs like this interpreter."""
    expected, found = (
        _output_of([program, '-S', '-c', _PROBE]) for program in (sys.executable, str(made))
    )
    if found != expected:
        raise _BuildError(f'it prints {found!r} instead of {expected!r}')


def _output_of(command: list[str]) -> str:
    done = subprocess.run(  # noqa: S603 compiler and interpreter
        command, capture_output=True, text=True, check=False, timeout=_TIMEOUT_S
    )
    if done.returncode != 0:
        raise _BuildError(f'{command[0]}: status {done.returncode}: {done.stderr.strip()}')
    return done.stdout


if __name__ == '__main__':
    _main(pathlib.Path(sys.argv[1]).absolute())
