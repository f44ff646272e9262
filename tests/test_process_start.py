"""Tests of the first and the last second of real processes."""

from __future__ import annotations

import contextlib
import fcntl
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import sysconfig
import time
from typing import IO

import pytest

from anvillug import event_log, findings
from anvillug.bench import processes, soak_launch, starts
from anvillug.platform import settings

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_IP = '127.77.3.11'
_REFUSING_ADDRESS = '127.0.0.1:9'
_GRACE_S = 0.5
# Signals at these times after the first line arrive during the imports, the set-up and later.
_DELAYS_S = (0.0, 0.1, 0.3, 0.8)
_KINDS = ('platform', 'mesh', 'node', 'standin')
_MESH_KINDS = ('platform', 'mesh')
_ENDING_SIGNALS = (signal.SIGTERM, signal.SIGINT)
_OTHER_SIGNALS = (signal.SIGTERM, signal.SIGHUP)
_IN_USE_S = 1.5
# Longer than any time limit of a start.
_LONG_S = 4.0
_MAX_DESCRIPTORS = 40
# The process must end at once, not after a time limit of its own.
_AT_ONCE_MS = 3000.0
_FIRST_LINE_TIMEOUT_MS = 5000.0
_MESH_ADDRESSES = ('Inbound', 'Outbound', 'ReadyAddr', 'Control', 'beacons', 'metrics')
_OTHER_KINDS = ('node', 'standin')
_NODE_ADDRESSES = ('caller_address', 'peer_address', 'control_address', 'operator_address')


# Sends a signal to its own process when it is imported, and then makes way for the real module.
_SIGNALLING_MODULE = """
import posix, sys
posix.kill(posix.getpid(), {})
sys.path.remove(__file__.rpartition('/')[0])
del sys.modules['select']
import select
sys.modules['select'] = select
"""

# Starts a program with two signals ignored, one of which a server handles.
_IGNORING_PROGRAM = """
import os, signal, sys
signal.signal(signal.SIGHUP, signal.SIG_IGN)
signal.signal(signal.SIGUSR2, signal.SIG_IGN)
os.execvp(sys.argv[1], sys.argv[1:])
"""


class _Program:
    """Starts one kind of process, with ports of its own."""

    def __init__(self, kind: str, folder: pathlib.Path) -> None:
        self.kind = kind
        self.path = folder / 'settings.json'
        names = _MESH_ADDRESSES if kind in _MESH_KINDS else _NODE_ADDRESSES
        addresses = processes.free_addresses(len(names), _IP)
        self.addresses_by_name = dict(zip(names, addresses, strict=True))
        self.started_event = 'listening' if kind == 'standin' else 'node_started'
        self.write_settings()

    def settings(self, grace_s: float = _GRACE_S, service: str = 'one') -> str:
        """Return the text of the settings file."""
        addresses = self.addresses_by_name
        if self.kind not in _MESH_KINDS:
            identity = {'host_id': 'h1', 'zone': 'z', 'region': 'r'}
            return json.dumps({**identity, **addresses, 'log_address': _REFUSING_ADDRESS})
        ports = [int(addresses[name].rpartition(':')[2]) for name in ('beacons', 'metrics')]
        listen = {name: addresses[name] for name in _MESH_ADDRESSES[:4]}
        node = {'NodeName': 'h1', 'Ip': _IP, 'Zone': 'z', 'AppAddr': f'{_IP}:9'}
        document = {
            'Self': {**node, 'Service': service},
            'Network': {'Listen': listen, 'InternalPorts': ports},
            'Platform': {'Platform': {'Address': _REFUSING_ADDRESS}},
            'Terms': {'Bounds': {'GraceS': grace_s}},
        }
        return json.dumps(document)

    def write_settings(self, **arguments: object) -> None:
        """Write the settings file."""
        self.path.write_text(self.settings(**arguments))

    def command(self) -> list[str]:
        """Return the command line."""
        if self.kind == 'platform':
            return list(soak_launch.as_deployed(self.path).command)
        if self.kind == 'standin':
            address = self.addresses_by_name['caller_address']
            return [*processes.PROGRAM, 'standin', 'log', '--address', address]
        return [*processes.PROGRAM, self.kind, str(self.path)]

    def environment(self) -> dict[str, str]:
        """Return the variables that the platform passes, and the path of the sources."""
        variables = {'PATH': os.environ['PATH'], 'PYTHONDONTWRITEBYTECODE': '1'}
        if self.kind == 'platform':
            packages = sysconfig.get_path('purelib')
            return {**variables, 'PYTHONPATH': packages, 'ANVILLUG_NODE_FILE': str(self.path)}
        return {**variables, 'PYTHONPATH': str(_ROOT / 'src')}


class _Starter:
    """Starts processes of a program, and kills them at the end of the test."""

    def __init__(self, program: _Program, group: list[processes.ChildProcess]) -> None:
        self.program = program
        self._group = group

    def start(
        self,
        prefix: tuple[str, ...] = (),
        output: IO[bytes] | None = None,
        path: pathlib.Path | None = None,
    ) -> processes.ChildProcess:
        """Start a process; a prefix is put before its command line, a path before its modules."""
        environment = self.program.environment()
        if path is not None:
            environment['PYTHONPATH'] = f'{path}:{environment["PYTHONPATH"]}'
        child = processes.ChildProcess(self.program.command(), prefix, environment, output)
        self._group.append(child)
        return child

    def start_to_first_line(self) -> processes.ChildProcess:
        """Start a process and wait for its first line."""
        child = self.start()
        child.wait_for_event('process_starting', _FIRST_LINE_TIMEOUT_MS)
        return child

    def start_to_end_of_start(self) -> processes.ChildProcess:
        """Start a process and wait until it is started."""
        child = self.start()
        child.wait_for_event(self.program.started_event)
        return child


@pytest.fixture
def starter(request, tmp_path, monkeypatch):
    """Yield a starter of the kind of process that the test names."""
    monkeypatch.chdir(_ROOT)
    with processes.group() as group:
        yield _Starter(_Program(request.param, tmp_path), group)


def _each(kinds=_KINDS):
    return pytest.mark.parametrize('starter', kinds, indirect=True)


def _end(child: processes.ChildProcess, timeout_ms: float = processes.STOP_TIMEOUT_MS) -> int:
    """Return the exit status of a process that ends without a further signal."""
    end = time.monotonic() + timeout_ms / 1000
    while child.running and time.monotonic() < end:
        time.sleep(processes.POLL_S)
    assert not child.running, f'still running: {child.output()}'
    return child.kill()


def _lines(child: processes.ChildProcess, event: str) -> list[str]:
    return [line for line in child.output().splitlines() if f'event={event}' in line.split()]


@contextlib.contextmanager
def _in_use(address: str, kind: socket.SocketKind = socket.SOCK_STREAM):
    """Occupy an address."""
    ip, _, port = address.rpartition(':')
    with socket.socket(socket.AF_INET, kind) as other:
        other.bind((ip, int(port)))
        if kind is socket.SOCK_STREAM:
            other.listen()
        yield


def _listening() -> socket.socket:
    listener = socket.create_server(('127.0.0.1', 0))
    listener.settimeout(processes.START_TIMEOUT_MS / 1000)
    return listener


def _address_of(listener: socket.socket) -> str:
    ip, port = listener.getsockname()
    return f'{ip}:{port}'


def _await_output(child: processes.ChildProcess, text: str) -> None:
    """Wait until a process has printed a text."""
    end = time.monotonic() + processes.START_TIMEOUT_MS / 1000
    while text not in child.output():
        assert child.running
        assert time.monotonic() < end
        time.sleep(processes.POLL_S)


def _refuses_connections(address: str) -> bool:
    ip, _, port = address.rpartition(':')
    try:
        socket.create_connection((ip, int(port)), timeout=1).close()
    except ConnectionRefusedError:
        return True
    return False


def _names(line: str, finding: findings.Finding) -> bool:
    """Return whether a log line names the place and the reason of a finding."""
    expected = event_log.format_line(
        'settings_not_read', {'place': finding.place, 'reason': finding.message}
    )
    return f'{expected} invalid_ms=' in line


def _status_of_readiness(program: _Program) -> int:
    """Return the status that a mesh node answers the readiness check with."""
    ip, _, port = program.addresses_by_name['ReadyAddr'].rpartition(':')
    with socket.create_connection((ip, int(port)), timeout=1) as connection:
        connection.sendall(b'GET /-/readiness HTTP/1.1\r\nHost: a\r\n\r\n')
        return int(connection.recv(4096).split()[1])


def _await_listener(program: _Program, child: processes.ChildProcess) -> None:
    """Wait until a process accepts callers."""
    name = 'Outbound' if program.kind in _MESH_KINDS else 'caller_address'
    end = time.monotonic() + processes.START_TIMEOUT_MS / 1000
    while _refuses_connections(program.addresses_by_name[name]):
        assert child.running
        assert time.monotonic() < end
        time.sleep(processes.POLL_S)


@contextlib.contextmanager
def _full_pipe():
    """Yield the writing end of a pipe that nobody reads and that has no room."""
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    os.write(writer, bytes(fcntl.fcntl(writer, fcntl.F_GETPIPE_SZ)))
    os.set_blocking(writer, True)
    with open(writer, 'wb') as output:
        yield output
    os.close(reader)


def _imported(arguments: list[str]) -> list[str]:
    """Return the modules that Python imports with these arguments, in their order."""
    command = [sys.executable, '-X', 'importtime', *arguments]
    done = subprocess.run(command, cwd=_ROOT, env={}, capture_output=True, text=True, check=False)
    lines = [line for line in done.stderr.splitlines() if line.startswith('import time:')]
    return [line.rpartition('|')[2].strip() for line in lines]


def _kind_of(name: str) -> socket.SocketKind:
    return socket.SOCK_DGRAM if name == 'beacons' else socket.SOCK_STREAM


class TestStartLines:
    """Guards against a start that leaves no trace of its time and of what came meanwhile."""

    @_each()
    def test_first_line_names_the_process(self, starter):
        child = starter.start()
        fields = child.wait_for_event('process_starting', _FIRST_LINE_TIMEOUT_MS)
        assert fields['pid'] == str(child.pid)
        if starter.program.kind != 'standin':
            assert fields['settings'] == str(starter.program.path)

    @_each()
    @pytest.mark.usefixtures('default_action')
    def test_first_line_tells_what_the_parent_left_of_signals(self, starter):
        # FAULT: nothing told that a node did not stop since its parent had blocked SIGTERM.
        child = starter.start()
        fields = child.wait_for_event('process_starting', _FIRST_LINE_TIMEOUT_MS)
        assert (fields['blocked'], fields['ignored']) == ('none', 'none')
        child = starter.start((sys.executable, '-c', starts.BLOCKING_PROGRAM))
        fields = child.wait_for_event('process_starting', _FIRST_LINE_TIMEOUT_MS)
        assert (fields['blocked'], fields['ignored']) == ('SIGHUP,SIGINT,SIGTERM', 'none')
        child = starter.start((sys.executable, '-c', _IGNORING_PROGRAM))
        fields = child.wait_for_event('process_starting', _FIRST_LINE_TIMEOUT_MS)
        assert (fields['blocked'], fields['ignored']) == ('none', 'SIGHUP,SIGUSR2')

    @_each()
    def test_end_of_the_start_has_its_duration(self, starter):
        before = time.monotonic()
        fields = starter.start().wait_for_event(starter.program.started_event)
        assert 0 < float(fields['start_ms']) <= (time.monotonic() - before) * 1000

    @_each(_MESH_KINDS)
    def test_age_of_the_process_is_a_metric(self, starter):
        starter.start_to_end_of_start()
        ip, _, port = starter.program.addresses_by_name['metrics'].rpartition(':')
        with socket.create_connection((ip, int(port)), timeout=5) as connection:
            connection.sendall(b'GET /metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n')
            text = b''.join(iter(lambda: connection.recv(65536), b''))
        assert b'anvillug_uptime_ms ' in text


class TestSignalsAtStart:
    """Guards against processes that end by a signal which comes before their start is done."""

    @_each()
    @pytest.mark.parametrize('delay_s', _DELAYS_S)
    def test_reload_ends_no_process(self, starter, delay_s):
        # FAULT: SIGHUP in the first 600 ms ended the process with status -1.
        child = starter.start_to_first_line()
        time.sleep(delay_s)
        child.send_signal(signal.SIGHUP)
        child.wait_for_event(starter.program.started_event)
        time.sleep(0.1)
        assert child.running

    @_each()
    @pytest.mark.parametrize('number', _ENDING_SIGNALS)
    @pytest.mark.parametrize('delay_s', _DELAYS_S)
    def test_termination_ends_without_failure(self, starter, number, delay_s):
        # FAULT: SIGTERM or SIGINT in the first 400 ms ended the process with the signal's status.
        child = starter.start_to_first_line()
        time.sleep(delay_s)
        child.send_signal(number)
        assert _end(child) == 0

    @_each(_MESH_KINDS)
    def test_kept_reload_is_done_after_the_start(self, starter):
        child = starter.start_to_first_line()
        child.send_signal(signal.SIGHUP)
        child.wait_for_event('settings_applied')
        events = child.output()
        assert events.index('event=node_started') < events.index('event=settings_applied')
        assert 'signal=SIGHUP action=kept' in events

    @_each(_MESH_KINDS)
    def test_settings_changed_during_the_start_are_applied(self, starter):
        child = starter.start_to_first_line()
        starter.program.write_settings(service='two')
        child.send_signal(signal.SIGHUP)
        child.wait_for_event('settings_applied')
        lines = _lines(child, 'settings_applied')
        started = child.wait_for_event('node_started')
        assert started['service'] == 'two' or 'changed=service' in lines[0]

    @_each()
    def test_termination_before_the_start_is_done_is_logged(self, starter):
        child = starter.start_to_first_line()
        child.send_signal(signal.SIGTERM)
        assert _end(child, _AT_ONCE_MS) == 0
        assert 'signal=SIGTERM action=ended' in child.output()

    @_each(('node', 'standin'))
    def test_reload_of_a_process_without_reload_is_ignored(self, starter):
        # FAULT: SIGHUP ended these processes at any time.
        child = starter.start_to_end_of_start()
        child.send_signal(signal.SIGHUP)
        time.sleep(0.3)
        assert child.running
        assert 'signal=SIGHUP action=ignored' in child.output()
        assert child.stop() == 0


class TestFirstImports:
    """Guards against processes that end by a signal which comes during their first imports."""

    @_each(_MESH_KINDS)
    @pytest.mark.parametrize('number', [signal.SIGHUP, *_ENDING_SIGNALS])
    def test_signal_during_an_import_of_the_handlers_module_is_kept(
        self, starter, tmp_path, number
    ):
        # FAULT: the process ended with the signal's status. The module takes the place of one that
        # the module of the handlers imports.
        (tmp_path / 'select.py').write_text(_SIGNALLING_MODULE.format(number.value))
        child = starter.start(path=tmp_path)
        if number == signal.SIGHUP:
            child.wait_for_event('settings_applied')
        else:
            assert _end(child) == 0
            assert f'signal={number.name} action=ended' in child.output()

    @_each(('platform',))
    def test_node_starts_by_hand(self, starter):
        arguments = ('-S', 'deploy/node.py')
        environment = starter.program.environment()
        with processes.group() as group:
            group.append(processes.ChildProcess(arguments, (sys.executable,), environment))
            group[0].wait_for_event('node_started')
            assert group[0].stop() == 0

    def test_modules_are_found_by_a_plain_path(self):
        # FAULT: on the users' bench no node started, since it had no file behind `deploy/..`.
        code = 'import runpy, sys; runpy.run_path(sys.argv[1]); print(sys.path[0])'
        command = (sys.executable, '-S', '-c', code, str(_ROOT / 'deploy' / 'node.py'))
        found = subprocess.run(command, capture_output=True, text=True, check=True, timeout=30)
        assert found.stdout == f'{_ROOT / "src"}\n'

    def test_foreign_value_of_the_variable_ends_no_process(self):
        # A value that is no number ended the process with a traceback at its first line.
        code = 'from anvillug import early_signals as e; e.keep(); print(e.blocked_by_parent())'
        variables = {'PYTHONPATH': str(_ROOT / 'src'), 'ANVILLUG_BLOCKED_AT_START': 'x 1'}
        done = subprocess.run(
            (sys.executable, '-c', code), env=variables, capture_output=True, text=True, check=False
        )
        assert done.stdout == '[]\n'

    def test_signals_are_kept_before_any_further_import(self):
        # FAULT: 13 ms of imports came before the handlers.
        base = _imported(['-S', '-c', 'pass'])
        names = _imported(['-S', 'deploy/node.py'])
        before = names[: names.index('anvillug.early_signals')]
        assert set(before) - set(base) == {'__future__', 'anvillug'}


class TestSignalsOfTheParent:
    """Guards against processes that inherit blocked signals, and do not stop when told to."""

    @_each()
    @pytest.mark.parametrize('number', _ENDING_SIGNALS)
    def test_blocked_signal_ends_the_process(self, starter, number):
        # FAULT: SIGTERM did nothing, and the process was killed with all requests in progress.
        child = starter.start((sys.executable, '-c', starts.BLOCKING_PROGRAM))
        child.wait_for_event(starter.program.started_event)
        child.send_signal(number)
        assert _end(child) == 0

    @_each()
    def test_blocked_signal_is_handled_during_the_start(self, starter):
        child = starter.start((sys.executable, '-c', starts.BLOCKING_PROGRAM))
        child.wait_for_event('process_starting', _FIRST_LINE_TIMEOUT_MS)
        child.send_signal(signal.SIGTERM)
        assert _end(child, _AT_ONCE_MS) == 0


class TestStateOnRequest:
    """Guards against processes that end by the signal that asks for their state."""

    @_each(_MESH_KINDS)
    def test_state_of_a_mesh_node_is_logged(self, starter):
        # SIGUSR1 ended the process.
        child = starter.start_to_end_of_start()
        child.send_signal(signal.SIGUSR1)
        fields = child.wait_for_event('node_state')
        assert (fields['ready'], fields['stopping']) == ('False', 'False')
        assert (fields['calls_in_progress'], fields['peers_known']) == ('0', '0')
        assert child.stop() == 0

    @_each()
    def test_request_during_the_start_ends_no_process(self, starter):
        child = starter.start_to_first_line()
        child.send_signal(signal.SIGUSR1)
        _await_output(child, 'signal=SIGUSR1 action=')
        child.wait_for_event(starter.program.started_event)
        child.send_signal(signal.SIGUSR1)
        time.sleep(0.3)
        assert child.running
        assert child.stop() == 0


class TestSignalsBeforeTheFirstLine:
    """Guards against processes that end by a signal which comes before the program runs."""

    @_each(('platform',))
    @pytest.mark.parametrize('number', (signal.SIGHUP, *_ENDING_SIGNALS))
    @pytest.mark.parametrize('delay_ms', [8, 12, 16])
    def test_signal_in_the_first_milliseconds_is_kept(self, starter, number, delay_ms):
        # FAULT: the start of the interpreter leaves signals their default action.
        child = starter.start()
        time.sleep(delay_ms / 1000)
        child.send_signal(number)
        if number == signal.SIGHUP:
            child.wait_for_event('node_started')
            assert child.running
        else:
            assert _end(child) == 0


class TestSignalsAtEnd:
    """Guards against processes that end by a signal which comes while they stop."""

    @_each()
    @pytest.mark.parametrize('number', (signal.SIGHUP, *_ENDING_SIGNALS))
    def test_signal_while_stopping_does_nothing(self, starter, number):
        child = starter.start_to_end_of_start()
        child.send_signal(signal.SIGTERM)
        for _ in range(10):
            time.sleep(0.02)
            child.send_signal(number)
        assert _end(child) == 0

    @_each(_MESH_KINDS)
    def test_signal_while_stopping_is_logged(self, starter):
        child = starter.start_to_end_of_start()
        child.send_signal(signal.SIGTERM)
        child.wait_for_event('node_stopping')
        child.send_signal(signal.SIGHUP)
        child.send_signal(signal.SIGINT)
        assert _end(child) == 0
        assert 'signal=SIGTERM action=applied' in child.output()
        assert 'signal=SIGHUP action=ignored' in child.output()
        assert 'signal=SIGINT action=ignored' in child.output()

    @_each((*_MESH_KINDS, 'node'))
    @pytest.mark.parametrize('number', (signal.SIGHUP, *_ENDING_SIGNALS))
    def test_signal_after_the_stop_does_nothing(self, starter, number):
        # FAULT: the shutdown of the interpreter resets handlers to the default action.
        child = starter.start_to_end_of_start()
        child.send_signal(signal.SIGTERM)
        child.wait_for_event('node_stopped')
        while child.running:
            child.send_signal(number)
            time.sleep(0.0005)
        assert child.kill() == 0


class TestAddressInUse:
    """Guards against processes that end because the former one still holds an address."""

    def _starts_once_free(self, starter, name: str) -> None:
        address = starter.program.addresses_by_name[name]
        with _in_use(address, _kind_of(name)):
            child = starter.start()
            child.wait_for_event('listen_failed')
            time.sleep(_IN_USE_S)
        child.wait_for_event(starter.program.started_event)
        lines = _lines(child, 'listen_failed')
        assert lines
        assert all(f'address={address}' in line and 'in use' in line for line in lines)
        assert child.running

    @_each(_MESH_KINDS)
    @pytest.mark.parametrize('name', _MESH_ADDRESSES)
    def test_mesh_node_starts_once_the_address_is_free(self, starter, name):
        # FAULT: the node ended with a traceback and status 1.
        starter.program.write_settings(grace_s=6)
        self._starts_once_free(starter, name)

    @_each(('platform',))
    @pytest.mark.parametrize('name', _MESH_ADDRESSES)
    def test_mesh_node_waits_for_longer_than_the_grace_time(self, starter, name):
        # FAULT: the node ended with 2 after the grace time and a second.
        address = starter.program.addresses_by_name[name]
        with _in_use(address, _kind_of(name)):
            child = starter.start()
            time.sleep(_GRACE_S + _LONG_S)
            assert child.running, child.output()
        child.wait_for_event('node_started')

    @_each(('node',))
    @pytest.mark.parametrize('name', _NODE_ADDRESSES)
    def test_node_starts_once_the_address_is_free(self, starter, name):
        # FAULT: the node ended with status 2, or with a traceback for the control address.
        self._starts_once_free(starter, name)

    @_each(('standin',))
    def test_standin_starts_once_the_address_is_free(self, starter):
        # FAULT: the stand-in ended with status 2.
        self._starts_once_free(starter, 'caller_address')

    @_each(_MESH_KINDS)
    def test_mesh_node_stays_while_an_address_is_in_use(self, starter):
        # FAULT: it ended with status 2, and after three such ends nothing ran there.
        program = starter.program
        address = program.addresses_by_name['Inbound']
        with _in_use(address):
            child = starter.start()
            time.sleep(_GRACE_S + _LONG_S)
            assert child.running, child.output()
            assert _status_of_readiness(program) == 503
            child.send_signal(signal.SIGTERM)
            assert _end(child, _AT_ONCE_MS) == 0
        failed = f'address={address} reason="Address already in use" in_use_ms=0'
        assert _lines(child, 'listen_failed')[0].endswith(failed)
        assert 'Traceback' not in child.output()

    @_each(_MESH_KINDS)
    @pytest.mark.parametrize('number', _ENDING_SIGNALS)
    def test_signals_while_an_address_is_in_use(self, starter, number):
        with _in_use(starter.program.addresses_by_name['Control']):
            child = starter.start()
            child.wait_for_event('listen_failed')
            child.send_signal(signal.SIGHUP)
            _await_output(child, 'signal=SIGHUP action=kept')
            time.sleep(0.3)
            assert child.running
            child.send_signal(number)
            assert _end(child, _AT_ONCE_MS) == 0

    @_each(_MESH_KINDS)
    def test_changed_settings_replace_an_address_in_use(self, starter):
        # A node that stays would wait for ever for an address that its settings name by mistake.
        program = starter.program
        address = program.addresses_by_name['Inbound']
        with _in_use(address):
            child = starter.start()
            child.wait_for_event('listen_failed')
            assert _status_of_readiness(program) == 503
            program.addresses_by_name['Inbound'] = processes.free_addresses(1, _IP)[0]
            program.write_settings()
            child.wait_for_event('node_started')
            assert _lines(child, 'settings_applied')[0].endswith('changed=peer_address')
            for name in ('Inbound', 'Outbound', 'Control', 'metrics'):
                assert not _refuses_connections(program.addresses_by_name[name])
            assert _status_of_readiness(program) == 503
        assert child.stop() == 0

    @_each(_MESH_KINDS)
    def test_mesh_node_stays_while_callers_use_its_descriptors(self, starter):
        # FAULT: it ended with status 2 once connections to ReadyAddr had used them up.
        program = starter.program
        host, _, port = program.addresses_by_name['ReadyAddr'].rpartition(':')
        with contextlib.ExitStack() as stack:
            stack.enter_context(_in_use(program.addresses_by_name['Inbound']))
            child = starter.start(('prlimit', f'--nofile={_MAX_DESCRIPTORS}'))
            child.wait_for_event('listen_failed')
            # The readiness check is answered from the next turn of the reactor on.
            time.sleep(0.3)
            for _ in range(2 * _MAX_DESCRIPTORS):
                with contextlib.suppress(OSError):
                    stack.enter_context(socket.create_connection((host, int(port)), timeout=1))
            _await_output(child, 'Too many open files')
            time.sleep(1)
            assert child.running, child.output()
        child.wait_for_event('node_started')

    @_each(('mesh',))
    def test_unusable_replacement_ends_no_node_that_waits(self, starter):
        # FAULT: it ended with status 2; such settings in the tables of addresses are rejected.
        program = starter.program
        with _in_use(program.addresses_by_name['Inbound']):
            child = starter.start()
            child.wait_for_event('listen_failed')
            document = json.loads(program.settings())
            document['Network']['InternalPorts'] = [77_777, 77_778]
            program.path.write_text(json.dumps(document))
            time.sleep(_IN_USE_S + 1)
            assert child.running, child.output()

    @_each(_MESH_KINDS)
    @pytest.mark.parametrize(
        ('table', 'setting', 'replacement', 'reason'),
        [
            ('Self', 'Ip', '127.77.3.999', 'Name or service not known'),
            ('Network', 'InternalPorts', [77_777, 77_778], 'bind(): port must be 0-65535.'),
        ],
    )
    def test_address_that_can_never_be_used_is_an_error(
        self, starter, table, setting, replacement, reason
    ):
        program = starter.program
        document = json.loads(program.settings())
        document[table][setting] = replacement
        program.path.write_text(json.dumps(document))
        child = starter.start()
        assert _end(child) == 2
        message = child.output().splitlines()[-1]
        assert message.startswith(f'{program.path}: ')
        assert message.endswith(f': cannot listen: {reason}')
        assert 'Traceback' not in child.output()

    @_each(_OTHER_KINDS)
    def test_address_in_use_for_good_is_an_error(self, starter):
        program = starter.program
        address = program.addresses_by_name['caller_address']
        with _in_use(address):
            child = starter.start()
            assert _end(child) == 2
        message = child.output().splitlines()[-1]
        place = address if program.kind == 'standin' else f'{program.path}: {address}'
        assert message == f'{place}: cannot listen: Address already in use'
        assert 'Traceback' not in child.output()

    @_each()
    def test_termination_while_waiting_ends_at_once(self, starter):
        program = starter.program
        program.write_settings(grace_s=60)
        name = 'Inbound' if program.kind in _MESH_KINDS else 'caller_address'
        with _in_use(program.addresses_by_name[name]):
            child = starter.start()
            child.wait_for_event('listen_failed')
            child.send_signal(signal.SIGTERM)
            assert _end(child, _AT_ONCE_MS) == 0

    @_each(_MESH_KINDS)
    @pytest.mark.parametrize('in_use_name', ['metrics', 'beacons', 'ReadyAddr', 'Inbound'])
    def test_only_readiness_is_answered_while_an_address_is_in_use(self, starter, in_use_name):
        # A node that cannot serve accepted callers, or let readiness checks wait in its queue.
        program = starter.program
        names = [name for name in program.addresses_by_name if name != 'beacons']
        with _in_use(program.addresses_by_name[in_use_name], _kind_of(in_use_name)):
            child = starter.start()
            child.wait_for_event('listen_failed')
            for _ in range(10):
                for name in set(names) - {in_use_name, 'ReadyAddr'}:
                    assert _refuses_connections(program.addresses_by_name[name])
                assert in_use_name == 'ReadyAddr' or _status_of_readiness(program) == 503
                time.sleep(0.05)

    @_each(('node',))
    def test_no_address_accepts_connections_while_one_is_in_use(self, starter):
        # A node that cannot serve accepted callers, or let readiness checks wait in its queue.
        program = starter.program
        program.write_settings(grace_s=60)
        names = [name for name in program.addresses_by_name if name != 'beacons']
        for in_use_name in (names[-1], names[0]):
            with _in_use(program.addresses_by_name[in_use_name]):
                child = starter.start()
                child.wait_for_event('listen_failed')
                for name in set(names) - {in_use_name}:
                    assert _refuses_connections(program.addresses_by_name[name])
                child.kill()

    @_each(('platform',))
    def test_restart_beside_a_stopping_process(self, starter):
        # A platform may start the next process before the former has ended.
        starter.program.write_settings(grace_s=6)
        former = starter.start_to_end_of_start()
        former.send_signal(signal.SIGTERM)
        child = starter.start()
        child.wait_for_event('node_started')
        assert _end(former) == 0
        assert child.running


class TestSettingsAtStart:
    """Guards against processes that end because their settings file is being written."""

    @_each(_MESH_KINDS)
    @pytest.mark.parametrize('length', [None, 0, 40])
    def test_file_that_is_completed_soon_is_read(self, starter, length):
        # FAULT: the node ended with status 2.
        program = starter.program
        text = program.path.read_text()
        program.path.unlink()
        if length is not None:
            program.path.write_text(text[:length])
        child = starter.start()
        child.wait_for_event('settings_not_read')
        time.sleep(0.3)
        program.path.write_text(text)
        child.wait_for_event('node_started')

    @_each(('platform',))
    @pytest.mark.parametrize('text', [None, '', '{"Self": {}}'])
    def test_mesh_node_waits_for_valid_settings(self, starter, text):
        # FAULT: the node ended with 2 after two seconds.
        path = starter.program.path
        path.unlink()
        if text is not None:
            path.write_text(text)
        child = starter.start()
        time.sleep(_LONG_S)
        assert child.running, child.output()
        starter.program.write_settings()
        child.wait_for_event('node_started')

    @_each(_MESH_KINDS)
    @pytest.mark.parametrize('text', [None, '', '{', '{"Self": {}}'])
    def test_mesh_node_stays_while_its_settings_are_invalid(self, starter, text):
        # FAULT: it ended with status 2.
        path = starter.program.path
        path.unlink()
        if text is not None:
            path.write_text(text)
        child = starter.start()
        time.sleep(_LONG_S)
        assert child.running, child.output()
        child.send_signal(signal.SIGTERM)
        assert _end(child, _AT_ONCE_MS) == 0
        lines = _lines(child, 'settings_not_read')
        found = settings.load(path)
        assert isinstance(found, tuple)
        for finding in found:
            assert sum(_names(line, finding) for line in lines) == 1
        assert 'Traceback' not in child.output()

    @_each(('platform',))
    def test_run_line_without_the_path_is_an_error(self, starter):
        # No change of a file can mend it.
        child = starter.start(('/usr/bin/env', '-u', 'ANVILLUG_NODE_FILE'))
        assert _end(child, _AT_ONCE_MS) == 2
        message = child.output().splitlines()[-1]
        assert message == 'ANVILLUG_NODE_FILE: not set, must name the settings file'

    @_each(('node',))
    @pytest.mark.parametrize('text', [None, '', '{'])
    def test_file_that_stays_incomplete_is_an_error(self, starter, text):
        path = starter.program.path
        path.unlink()
        if text is not None:
            path.write_text(text)
        child = starter.start()
        assert _end(child) == 2
        assert str(path) in child.output().splitlines()[-1]
        assert 'Traceback' not in child.output()

    @_each(_MESH_KINDS)
    def test_termination_while_waiting_ends_at_once(self, starter):
        starter.program.path.unlink()
        child = starter.start()
        child.wait_for_event('settings_not_read')
        child.send_signal(signal.SIGTERM)
        assert _end(child, _AT_ONCE_MS) == 0

    @_each(('platform',))
    @pytest.mark.parametrize('delay_s', [0.2, 0.35, 0.4, 0.45, 0.5])
    def test_change_without_a_signal_during_the_start_is_applied(self, starter, delay_s):
        # A change between the first read and the start of the watch was not noticed.
        child = starter.start_to_first_line()
        time.sleep(delay_s)
        starter.program.write_settings(service='two')
        if child.wait_for_event('node_started')['service'] != 'two':
            assert child.wait_for_event('settings_applied')['changed'] == 'service'

    def test_check_answers_at_once(self, tmp_path):
        command = [*processes.PROGRAM, 'mesh', '--check', str(tmp_path / 'none')]
        done = subprocess.run(command, capture_output=True, text=True, check=False)
        assert done.returncode == 2
        assert 'settings_not_read' not in done.stdout + done.stderr


class TestStandardStreams:
    """Guards against processes that end because a standard stream is closed or full."""

    @_each()
    @pytest.mark.parametrize('closed', ['>&-', '2>&-', '<&- >&- 2>&-'])
    def test_closed_streams_end_no_process(self, starter, closed):
        # FAULT: without standard output the node ended with a traceback and status 1.
        child = starter.start(('/bin/sh', '-c', f'exec "$0" "$@" {closed}'))
        _await_listener(starter.program, child)
        time.sleep(0.3)
        assert child.stop() == 0

    @_each(('platform', 'mesh', 'node'))
    def test_full_pipe_holds_up_no_start(self, starter):
        # A first line that waits for the reader would keep the process from starting.
        with _full_pipe() as output:
            child = starter.start(output=output)
            _await_listener(starter.program, child)
            assert child.stop() == 0

    @_each(_MESH_KINDS)
    def test_status_of_an_address_error_that_cannot_be_printed(self, starter):
        document = json.loads(starter.program.settings())
        document['Self']['Ip'] = '127.77.3.999'
        starter.program.path.write_text(json.dumps(document))
        child = starter.start(('/bin/sh', '-c', 'exec "$0" "$@" 2>/dev/full'))
        assert _end(child) == 2

    @_each(_MESH_KINDS)
    def test_node_whose_findings_cannot_be_logged_stays(self, starter):
        starter.program.path.write_text('{')
        child = starter.start(('/bin/sh', '-c', 'exec "$0" "$@" >/dev/full 2>&1'))
        time.sleep(_LONG_S)
        assert child.running
        child.send_signal(signal.SIGTERM)
        assert _end(child, _AT_ONCE_MS) == 0

    @_each(('node',))
    def test_status_of_an_error_that_cannot_be_printed(self, starter):
        starter.program.path.write_text('{')
        child = starter.start(('/bin/sh', '-c', 'exec "$0" "$@" 2>/dev/full'))
        assert _end(child) == 2

    @_each(('node', 'standin'))
    def test_full_device_ends_no_process(self, starter):
        child = starter.start(('/bin/sh', '-c', 'exec "$0" "$@" >/dev/full 2>&1'))
        time.sleep(2)
        assert child.running
        assert child.stop() == 0


@pytest.fixture
def default_action():
    """Give ending signals their default action, which a child inherits.

    It inherits that they are ignored under `nohup`, or in the background of a script.
    """
    numbers = (*_OTHER_SIGNALS, signal.SIGINT, signal.SIGQUIT)
    actions_by_number = {number: signal.signal(number, signal.SIG_DFL) for number in numbers}
    yield
    for number, action in actions_by_number.items():
        signal.signal(number, action)


class TestOtherCommands:
    """Guards against commands that can no longer be ended as usual."""

    @pytest.mark.parametrize('number', _OTHER_SIGNALS)
    @pytest.mark.usefixtures('default_action')
    def test_signal_during_the_imports_has_its_default_action(self, number):
        # Server commands handle signals by now; the event log is imported after that.
        program = (sys.executable, '-X', 'importtime', '-m', 'anvillug')
        with processes.group() as group, _listening() as listener:
            child = processes.ChildProcess(['state', _address_of(listener)], program)
            group.append(child)
            _await_output(child, ' anvillug.event_log\n')
            child.send_signal(number)
            assert _end(child, _AT_ONCE_MS) == -number

    # The reactor's own handler of SIGTERM and SIGINT ended the command with a traceback.
    @pytest.mark.parametrize('number', [*_OTHER_SIGNALS, signal.SIGINT])
    @pytest.mark.usefixtures('default_action')
    def test_signal_during_the_request_has_its_default_action(self, number):
        with processes.group() as group, _listening() as listener:
            child = processes.ChildProcess(['state', _address_of(listener)])
            group.append(child)
            with listener.accept()[0]:
                child.send_signal(number)
                assert _end(child, _AT_ONCE_MS) == -number

    @pytest.mark.parametrize('number', [*_OTHER_SIGNALS, signal.SIGINT])
    @pytest.mark.usefixtures('default_action')
    def test_signal_that_the_parent_blocked_ends_the_command(self, number):
        # The command went on and could only be killed.
        program = (sys.executable, '-c', starts.BLOCKING_PROGRAM, *processes.PROGRAM)
        with processes.group() as group, _listening() as listener:
            child = processes.ChildProcess(['state', _address_of(listener)], program)
            group.append(child)
            with listener.accept()[0]:
                child.send_signal(number)
                assert _end(child, _AT_ONCE_MS) == -number
