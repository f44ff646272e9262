"""Checks dist/anvillug: it starts with a wiped unpack folder, serves, and starts no process."""

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
# A python3.11 on the PATH may be a script that starts processes before the interpreter, so
# the interpreter is named; -I and -S keep out packages that are installed on this machine.
_NODE_PROGRAM = (str(pathlib.Path(sys.executable).resolve()), '-I', '-S', str(_BINARY))
_LISTENERS = ('caller_address', 'peer_address', 'control_address', 'operator_address')
_TIMEOUT_S = 10
_MS_PER_S = 1000
_STATUS_OK = 200
_STATUS_NOT_FOUND = 404
_CHILD_MINOR_FAULTS = 8  # field 11 of /proc/<pid>/stat, counted from the state after the name
_UNKNOWN_SERVICE = 'drawbook'


class BinaryCheck:
    """Runs the file and notes which checks failed.

    Args:
        folder: Empty folder for the unpacked file and the settings.
        group: List of `processes.group`.
    """

    def __init__(self, folder: pathlib.Path, group: list[processes.ChildProcess]) -> None:
        self.failures = 0
        self._folder = folder
        self._group = group
        self._unpacked = folder / 'unpacked'
        self._settings = folder / 'settings.json'
        # The sources of this repository must not stand in for the unpacked ones.
        kept = {name: text for name, text in os.environ.items() if not name.startswith('PYTHON')}
        self._environment = {**kept, 'SHIV_ROOT': str(self._unpacked)}

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
        for moment in ('wiped', 'kept'):
            if moment == 'wiped':
                shutil.rmtree(self._unpacked)
            self._check_node(moment, addresses)

    def _check_node(self, moment: str, addresses: dict[str, str]) -> None:
        began = time.monotonic()
        node = self._start(('node', str(self._settings)), 'node_started', _NODE_PROGRAM)
        took_ms = (time.monotonic() - began) * _MS_PER_S
        self._tell(f'node starts, unpack folder {moment}', f'{took_ms:.0f} ms', held=True)
        health = _get(f'http://{addresses["operator_address"]}/health')
        self._tell('it answers operators', health, health == _STATUS_OK)
        answer = _get(
            f'http://{addresses["caller_address"]}/sheets',
            _UNKNOWN_SERVICE,
        )
        self._tell('it answers callers', answer, answer == _STATUS_NOT_FOUND)
        children = _children(node.pid)
        self._tell('it has no child process', f'{len(children)} children', not children)
        faults = _faults_of_ended_children(node.pid)
        self._tell('it has had none', f'{faults} page faults of ended children', not faults)
        exit_code = node.stop()
        self._tell('SIGTERM ends it', f'exit code {exit_code}', exit_code == 0)

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

    def _tell(self, check: str, seen: object, held: bool) -> None:  # noqa: FBT001
        self.failures += not held
        print(f'{"ok  " if held else "FAIL"} {check}: {seen}')


def _children(pid: int) -> list[str]:
    """Return the ids of the processes that the threads of a process have started."""
    tasks = pathlib.Path(f'/proc/{pid}/task').glob('*/children')
    return [child for path in tasks for child in path.read_text().split()]


def _faults_of_ended_children(pid: int) -> int:
    """Return the page faults of children that have ended and were waited for.

    Each process has some, so that 0 shows that there was no such child.
    """
    after_name = pathlib.Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    return int(after_name[_CHILD_MINOR_FAULTS])


def _get(url: str, service: str = '') -> int:
    """Return the status of a request; 0 without an answer."""
    asked = request.Request(url, headers={'Host': service} if service else {})  # noqa: S310
    try:
        with request.urlopen(asked, timeout=_TIMEOUT_S) as answer:  # noqa: S310
            return answer.status
    except error.HTTPError as refused:
        return refused.code
    except (OSError, client.HTTPException):
        return 0


def main() -> int:
    """Check the file that `make binary` has built.

    Returns:
        Exit code: 0 if every check held.
    """
    with tempfile.TemporaryDirectory() as folder, processes.group() as group:
        check = BinaryCheck(pathlib.Path(folder), group)
        check.run()
    return 1 if check.failures else 0


if __name__ == '__main__':
    sys.exit(main())
