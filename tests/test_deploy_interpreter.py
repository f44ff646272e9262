"""Tests of the interpreter that the deploy file builds and the run line names."""

from __future__ import annotations

import os
import pathlib
import subprocess
import sys
import tempfile
import time
import tomllib

import pytest

from anvillug import early_signals

_DEPLOY = pathlib.Path(__file__).resolve().parent.parent / 'deploy'
_TIMEOUT_S = 60
_PROBE = 'import sys; print(sys.version, sys.executable, sys.path, sys.flags, sys.argv)'
_MASK_PROBE = """
import _signal
print(*sorted(_signal.pthread_sigmask(_signal.SIG_BLOCK, ())))
"""
_HANDLERS_PROBE = """
import sys
sys.path.insert(0, sys.argv[1])
from anvillug import early_signals
early_signals.keep()
import _signal
print(*sorted(_signal.pthread_sigmask(_signal.SIG_BLOCK, ())))
"""
_BLOCKED_MASK = f'{" ".join(str(int(each)) for each in sorted(early_signals.NUMBERS))}\n'
_OTHER_MACHINE = b'\x7fELF of another machine'


# Keeps signals as late as a node does on a slow machine, and prints those that came before.
_LATE_HANDLERS_PROBE = """
import sys, time
sys.path.insert(0, sys.argv[1])
from anvillug import early_signals
time.sleep(0.2)
early_signals.keep()
print(*sorted(early_signals.take()), flush=True)
"""

# Runs the build with an interpreter that has no shared library, and its static one in a folder.
_STATIC_BUILD = """
import runpy, sys, sysconfig
_, library_folder, *sys.argv = sys.argv
variables = sysconfig.get_config_vars()
variables['INSTSONAME'] = variables['LIBRARY']
variables['LIBPL'] = library_folder or variables['LIBPL']
runpy.run_path(sys.argv[0], run_name='__main__')
"""
# Tells whether an interpreter runs without a shared library, and has a static one.
_STATIC_PROBE = """
import pathlib, sysconfig
name, *static = map(sysconfig.get_config_var, ('INSTSONAME', 'LIBPL', 'LIBRARY'))
lines = pathlib.Path('/proc/self/maps').read_text().splitlines()
is_shared = any(line.endswith(f'/{name}') for line in lines)
print(not is_shared and pathlib.Path(*static).is_file())
"""
_MAPS_PROBE = 'print(open("/proc/self/maps").read())'
_SYSTEM_PYTHON = '/usr/bin/python3'


def _is_static(python: str) -> bool:
    if not os.access(python, os.X_OK):
        return False
    command = [python, '-c', _STATIC_PROBE]
    done = subprocess.run(command, capture_output=True, text=True, timeout=_TIMEOUT_S)
    return done.stdout == 'True\n'


_NEEDS_STATIC_PYTHON = pytest.mark.skipif(
    not _is_static(_SYSTEM_PYTHON), reason=f'{_SYSTEM_PYTHON} has no static library'
)


@pytest.fixture
def target(tmp_path):
    """Return the path of the interpreter to build."""
    return tmp_path / 'target' / 'python3'


@pytest.fixture(params=[sys.executable, pytest.param(_SYSTEM_PYTHON, marks=_NEEDS_STATIC_PYTHON)])
def python(request):
    """Return the path of an interpreter to build with."""
    return request.param


@pytest.fixture
def no_compiler(tmp_path):
    """Return a folder for PATH without a compiler."""
    folder = tmp_path / 'bin'
    folder.mkdir()
    return folder


def _build(target: pathlib.Path, path: str | None = None, python: str = sys.executable) -> str:
    variables = {**os.environ, 'PATH': path or os.environ['PATH']}
    command = [python, str(_DEPLOY / 'build_interpreter.py'), str(target)]
    done = subprocess.run(
        command, env=variables, capture_output=True, text=True, check=True, timeout=_TIMEOUT_S
    )
    return done.stdout


def _build_static(target: pathlib.Path, library_folder: object = '') -> str:
    """Build as with an interpreter that has no shared library, and its static one in a folder."""
    builder = _DEPLOY / 'build_interpreter.py'
    command = [sys.executable, '-c', _STATIC_BUILD, *map(str, (library_folder, builder, target))]
    done = subprocess.run(command, capture_output=True, text=True, check=True, timeout=_TIMEOUT_S)
    return done.stdout


def _blocks_signals(pid: int) -> bool:
    """Return whether a process blocks the signals of a server."""
    lines = pathlib.Path(f'/proc/{pid}/status').read_text().splitlines()
    mask = int(next(line for line in lines if line.startswith('SigBlk:')).split()[1], 16)
    return all(mask >> number - 1 & 1 for number in early_signals.NUMBERS)


def _await_blocked_signals(process: subprocess.Popen) -> None:
    end = time.monotonic() + _TIMEOUT_S
    while not _blocks_signals(process.pid):
        assert process.poll() is None, 'ended before it has blocked signals'
        assert time.monotonic() < end


def _output_of(program: object, *arguments: str) -> str:
    command = [str(program), '-S', '-c', *arguments]
    return subprocess.run(
        command, env={}, capture_output=True, text=True, check=True, timeout=_TIMEOUT_S
    ).stdout


class TestInterpreter:
    """Guards against an interpreter that differs from `python3` in more than its signals."""

    def test_runs_like_the_interpreter_that_built_it(self, target, python):
        assert not _build(target, python=python)
        arguments = (_PROBE, '-x', 'ö')
        assert _output_of(target, *arguments) == _output_of(python, *arguments)

    def test_signals_of_a_server_are_blocked(self, target, python):
        # FAULT: with Debian's interpreter, signals during its start ended the node.
        _build(target, python=python)
        assert _output_of(target, _MASK_PROBE) == _BLOCKED_MASK

    @pytest.mark.parametrize('number', early_signals.NUMBERS)
    def test_signals_are_kept_from_the_mask_to_the_handlers(self, target, python, number):
        # FAULT: with Debian's interpreter, signals during its start ended the node.
        _build(target, python=python)
        command = [target, '-S', '-c', _LATE_HANDLERS_PROBE, str(_DEPLOY.parent / 'src')]
        with tempfile.TemporaryFile() as output:
            with subprocess.Popen(command, stdout=output) as process:
                _await_blocked_signals(process)
                process.send_signal(number)
                assert process.wait(_TIMEOUT_S) == 0
            output.seek(0)
            assert output.read() == b'%d\n' % number

    def test_handlers_unblock_them(self, target, python):
        _build(target, python=python)
        assert _output_of(target, _HANDLERS_PROBE, str(_DEPLOY.parent / 'src')) == '\n'

    def test_extension_modules_find_their_symbols(self, target, python):
        _build(target, python=python)
        assert _output_of(target, 'import _json, _socket, select, zlib, pyexpat; print(_json)')

    def test_exit_status(self, target, python):
        _build(target, python=python)
        assert subprocess.run([target, '-S', '-c', 'raise SystemExit(3)']).returncode == 3


class TestBuild:
    """Guards against a build that fails, or leaves what doesn't run, on a clean machine."""

    def test_without_a_compiler_it_is_a_link(self, target, no_compiler):
        output = _build(target, str(no_compiler))
        assert 'a link' in output
        assert "'cc'" in output
        assert target.is_symlink()
        assert target.readlink() == pathlib.Path(sys.executable)
        assert _output_of(target, _MASK_PROBE) == '\n'

    def test_without_a_shared_library_it_has_the_static_one(self, target):
        # The shared library of Debian's interpreter is slower than the interpreter by a third.
        assert not _build_static(target)
        assert not target.is_symlink()
        assert _output_of(target, _MASK_PROBE) == _BLOCKED_MASK
        assert 'libpython' not in _output_of(target, _MAPS_PROBE)

    def test_without_any_library_it_is_a_link(self, target, tmp_path):
        output = _build_static(target, tmp_path)
        assert 'does not run from a shared library' in output
        assert target.readlink() == pathlib.Path(sys.executable)

    # Headers are missing; the program is killed, differs, or is for another machine.
    @pytest.mark.parametrize(
        'text', ['exit 1', 'kill -9 $$', 'echo "#!/bin/sh" > "$out"', 'echo strange > "$out"']
    )
    def test_without_a_result_that_runs_it_is_a_link(self, target, no_compiler, text):
        compiler = no_compiler / 'cc'
        find_output = 'while [ "$1" != -o ]; do shift; done; out=$2'
        make_runnable = 'PATH=/bin:/usr/bin chmod +x "$out"'
        compiler.write_text(f'#!/bin/sh\n{find_output}\n{text}\n{make_runnable}\n')
        compiler.chmod(0o755)
        assert 'a link' in _build(target, str(no_compiler))
        assert target.readlink() == pathlib.Path(sys.executable)

    def test_replaces_what_came_from_another_machine(self, target):
        target.parent.mkdir()
        target.write_bytes(_OTHER_MACHINE)
        target.chmod(0o755)
        # Newer than all sources.
        os.utime(target, (2**32, 2**32))
        _build(target)
        assert _output_of(target, _MASK_PROBE) == _BLOCKED_MASK

    def test_replaces_a_link_once_there_is_a_compiler(self, target, no_compiler):
        _build(target, str(no_compiler))
        _build(target)
        assert not target.is_symlink()
        assert _output_of(target, _MASK_PROBE) == _BLOCKED_MASK

    def test_leaves_nothing_else(self, target, no_compiler):
        _build(target)
        _build(target, str(no_compiler))
        assert list(target.parent.iterdir()) == [target]

    def test_replaces_one_that_is_running(self, target):
        _build(target)
        command = [target, '-S', '-c', 'input()']
        with subprocess.Popen(command, stdin=subprocess.PIPE) as running:
            _build(target)
            running.communicate(b'\n', timeout=_TIMEOUT_S)
        assert running.returncode == 0

    def test_deploy_file_builds_what_it_runs(self):
        deploy_file = tomllib.loads((_DEPLOY / 'system.toml').read_text())
        program = deploy_file['roles']['node']['run'].split()[0]
        assert deploy_file['build'].endswith(f'&& python3 deploy/build_interpreter.py {program}')
