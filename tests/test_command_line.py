"""Tests of the command line."""

from __future__ import annotations

import pathlib
import subprocess
import sys

import pytest

from anvillug.process import command_line

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_COMMANDS = ('node', 'check', 'patch', 'config', 'state', 'drain', 'standin', 'bench')
_NESTED_COMMANDS = (
    'standin backend-server',
    'standin log',
    'standin link',
    'bench demo',
)


def _run(capsys, text: str) -> tuple[int, str, str]:
    """Run the program and return its exit code, standard output and standard error."""
    try:
        code = command_line.run(text.split())
    except SystemExit as program_exit:
        code = program_exit.code
    captured = capsys.readouterr()
    return code, captured.out, captured.err


class TestHelp:
    """Guards against missing help, and a list of subcommands that imports the whole program."""

    def test_help_lists_all_subcommands(self, capsys):
        code, out, _err = _run(capsys, '--help')
        assert code == 0
        assert out.startswith('usage: anvillug ')
        for name in _COMMANDS:
            assert any(line.split()[:1] == [name] for line in out.splitlines()), name

    @pytest.mark.parametrize('name', [*_COMMANDS, *_NESTED_COMMANDS])
    def test_each_subcommand_has_help(self, capsys, name):
        code, out, _err = _run(capsys, f'{name} --help')
        assert code == 0
        assert out.startswith(f'usage: anvillug {name} ')

    def test_list_imports_no_reactor_and_no_clients(self):
        program = (
            'import sys\n'
            'from anvillug.process import command_line\n'
            'try:\n'
            '    command_line.run(["--help"])\n'
            'except SystemExit:\n'
            '    imported = {"twisted.internet.reactor", "treq", "grpc"} & set(sys.modules)\n'
            '    sys.exit(" ".join(sorted(imported)) or 0)\n'
        )
        done = subprocess.run(
            [sys.executable, '-c', program],
            env={'PYTHONPATH': str(_ROOT / 'src')},
            capture_output=True,
            check=False,
        )
        assert done.returncode == 0, done.stderr

    def test_version_equals_that_of_the_package(self, capsys):
        code, out, _err = _run(capsys, '--version')
        assert code == 0
        assert out == f'anvillug {command_line.VERSION}\n'
        assert f'version = "{command_line.VERSION}"' in (_ROOT / 'pyproject.toml').read_text()


class TestInvalidArguments:
    """Guards against tracebacks, wrong exit codes and messages that do not name the option."""

    @pytest.mark.parametrize(
        ('text', 'message'),
        [
            ('', 'too few arguments'),
            ('standin', 'too few arguments'),
            ('node', 'required: settings_file'),
            ('node --fast x', 'unrecognized arguments: --fast'),
            ('patch x --log 1.2.3.4:5', 'required: --base'),
            ('patch x --base one --log 1.2.3.4:5', "--base: invalid int value: 'one'"),
            ('patch x --base 1 --log here', '--log: address must be <IP number>:<port>'),
            ('config --log 1.2.3.4:0', '--log: port must be a number from 1 to 65535'),
            ('config --log 1.2.3.4:5 --nodes 1.2.3.4:5 b', '--nodes: address must be <IP number>'),
            ('state nowhere', "node: address must be <IP number>:<port>, got 'nowhere'"),
            ('drain 1.2.3.4', 'node: address must be <IP number>:<port>'),
            ('standin log --address log:1', '--address: address must be <IP number>:<port>'),
            ('standin log --address 1.2.3.4:-1', '--address: port must be a number from 0 to'),
            ('standin backend-server --route-ms /a', "--route-ms: '/a' is not <path prefix>=<ms>"),
        ],
    )
    def test_exit_code_and_message_with_the_option(self, capsys, text, message):
        code, _out, err = _run(capsys, text)
        assert code == 2
        assert message in err.splitlines()[-1]

    def test_unknown_subcommand_lists_the_existing_ones(self, capsys):
        code, _out, err = _run(capsys, 'nodes x')
        last = err.splitlines()[-1]
        assert code == 2
        assert "invalid choice: 'nodes'" in last
        assert all(f"'{name}'" in last for name in _COMMANDS)

    def test_invalid_file_is_reported_with_path_and_line(self, capsys, tmp_path):
        path = tmp_path / 'input.json'
        path.write_text('{\n"services" {}}')
        for text in (f'node {path}', f'check {path}', f'patch {path} --base 0 --log 1.2.3.4:5'):
            code, out, err = _run(capsys, text)
            assert code == 2
            assert f'{path}:2: is not JSON' in out + err
