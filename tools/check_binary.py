"""Checks that dist/anvillug starts with an empty unpack folder, serves and starts no process."""

from __future__ import annotations

import json
import os
import pathlib
import shutil
import sys
import tempfile
import time
from http import client
from urllib import error, request

from anvillug.bench import processes

_BINARY = pathlib.Path(__file__).resolve().parent.parent / 'dist' / 'anvillug'
# A python3.11 on the PATH may be a wrapper script that starts processes, so the path of the
# interpreter is given; -I and -S exclude the packages that are installed on this machine.
_NODE_PROGRAM = (str(pathlib.Path(sys.executable).resolve()), '-I', '-S', str(_BINARY))
_LISTENERS = ('caller_address', 'peer_address', 'control_address', 'operator_address')
_TIMEOUT_S = 10
_MS_PER_S = 1000
_STATUS_OK = 200
_STATUS_NOT_FOUND = 404
_CHILD_MINOR_FAULTS_INDEX = 8  # field 11 of /proc/<pid>/stat; index 0 is field 3, the state
_UNKNOWN_SERVICE = 'drawbook'


class BinaryCheck:
    """Runs the file and counts the checks that failed.

    Args:
        folder: Empty folder, for the content of the file and the settings.
        group: List of `processes.group`.
    """

    def __init__(self, folder: pathlib.Path, group: list[processes.ChildProcess]) -> None:
        self.failures = 0
        self._folder = folder
        self._group = group
        self._unpacked = folder / 'unpacked'
        self._settings = folder / 'settings.json'
        # The program must import the unpacked modules, not those of this repository.
        inherited = {
            name: text for name, text in os.environ.items() if not name.startswith('PYTHON')
        }
        self._environment = {**inherited, 'SHIV_ROOT': str(self._unpacked)}

    def run(self) -> None:
        """Run all checks."""
        log = self._start(('standin', 'log'), 'listening', (str(_BINARY),))
        listeners = processes.free_addresses(len(_LISTENERS))
        addresses = dict(zip(_LISTENERS, listeners, strict=True))
        self._settings.write_text(
            json.dumps(
                {
                    'host_id': 'host-1',
                    'region': 'south',
                    'zone': 'kochi-1',
                    'log_address': log.wait_for_event()['address'],
                    **addresses,
                },
            ),
        )
        for folder_state in ('empty', 'reused'):
            if folder_state == 'empty':
                shutil.rmtree(self._unpacked)
            self._check_node(folder_state, addresses)

    def _check_node(self, folder_state: str, addresses: dict[str, str]) -> None:
        started_at = time.monotonic()
        node = self._start(('node', str(self._settings)), 'node_started', _NODE_PROGRAM)
        took_ms = (time.monotonic() - started_at) * _MS_PER_S
        self._report_check(
            f'node starts, unpack folder {folder_state}', f'{took_ms:.0f} ms', passed=True
        )
        operator_status = _get(f'http://{addresses["operator_address"]}/health')
        self._report_check('operator API responds', operator_status, operator_status == _STATUS_OK)
        caller_status = _get(
            f'http://{addresses["caller_address"]}/sheets',
            _UNKNOWN_SERVICE,
        )
        self._report_check(
            'caller listener responds', caller_status, caller_status == _STATUS_NOT_FOUND
        )
        children = _children(node.pid)
        self._report_check('node has no child process', f'{len(children)} children', not children)
        faults = _faults_of_exited_children(node.pid)
        self._report_check(
            'no child process has exited', f'{faults} page faults of exited children', not faults
        )
        exit_code = node.stop()
        self._report_check('node exits on SIGTERM', f'exit code {exit_code}', exit_code == 0)

    def _start(
        self,
        arguments: tuple[str, ...],
        event: str,
        program: tuple[str, ...],
    ) -> processes.ChildProcess:
        process = processes.ChildProcess(arguments, program, self._environment)
        self._group.append(process)
        process.wait_for_event(event)
        return process

    def _report_check(self, check: str, result: object, passed: bool) -> None:  # noqa: FBT001
        self.failures += not passed
        print(f'{"ok  " if passed else "FAIL"} {check}: {result}')


def _children(pid: int) -> list[str]:
    """Return the ids of the child processes of all threads of a process."""
    tasks = pathlib.Path(f'/proc/{pid}/task').glob('*/children')
    return [child for path in tasks for child in path.read_text().split()]


def _faults_of_exited_children(pid: int) -> int:
    """Return the page faults of child processes that have exited and were waited for.

    Every process has page faults, so 0 means that there was no such child.
    """
    fields_from_state = pathlib.Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    return int(fields_from_state[_CHILD_MINOR_FAULTS_INDEX])


def _get(url: str, service: str = '') -> int:
    """Return the status of a response; 0 if there was none."""
    http_request = request.Request(url, headers={'Host': service} if service else {})  # noqa: S310
    try:
        with request.urlopen(http_request, timeout=_TIMEOUT_S) as response:  # noqa: S310
            return response.status
    except error.HTTPError as http_error:
        return http_error.code
    except (OSError, client.HTTPException):
        return 0


def main() -> int:
    """Check the file that `make binary` has built.

    Returns:
        Exit code: 0 if every check passed.
    """
    with tempfile.TemporaryDirectory() as folder, processes.group() as group:
        check = BinaryCheck(pathlib.Path(folder), group)
        check.run()
    return 1 if check.failures else 0


if __name__ == '__main__':
    sys.exit(main())
