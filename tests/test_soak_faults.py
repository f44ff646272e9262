"""Faults of the fault soak: their choice, the start, the output and the end of node processes."""

from __future__ import annotations

import json
import os
import pathlib
import random
import signal
import sys
import time
import types

import pytest
from twisted.internet import task

from anvillug import clock
from anvillug.bench import (
    processes,
    soak_faults,
    soak_fleet,
    soak_host,
    soak_launch,
    soak_output,
    soak_records,
    soak_signals,
    soak_surroundings,
)

_PRINT_MASK = """
import signal
print(*sorted(each.name for each in signal.pthread_sigmask(signal.SIG_BLOCK, ())))
"""

# The process that runs the tests may ignore SIGHUP, as below nohup.
_DEFAULT_ACTION = """
import signal
signal.signal(signal.SIGHUP, signal.SIG_DFL)
print('event=ready', flush=True)
input()
"""
_SLEEPING = 'sleeping'
# Runs a module after a time, as a slow machine starts the interpreter.
_SLOW_START = """
import runpy, sys, time
print('sleeping', flush=True)
time.sleep(0.3)
_, option, module, *arguments = sys.argv
sys.argv = [module, *arguments]
runpy.run_module(module, run_name='__main__', alter_sys=True)
"""


def _await(condition) -> None:
    """Wait until a condition holds."""
    end = time.monotonic() + clock.to_seconds(processes.START_TIMEOUT_MS)
    while not condition():
        assert time.monotonic() < end
        time.sleep(processes.POLL_S)


class TestChoice:
    """Guards against kinds that no seed chooses, and against seeds that change their meaning."""

    def test_each_kind_is_chosen_by_a_seed(self):
        chosen = {kind for seed in range(100) for kind in _choose(seed)}
        assert chosen == soak_faults.KINDS

    def test_named_kinds(self):
        assert _choose(1, ('hangup',)) == {'hangup'}

    def test_named_kinds_leave_the_source_of_choices_alike(self):
        sources = [random.Random(42), random.Random(42)]
        soak_faults.choose(sources[0], 42, ())
        soak_faults.choose(sources[1], 42, ('burst', 'pause'))
        assert sources[0].random() == sources[1].random()

    @pytest.mark.parametrize(
        ('seed', 'kinds'), [(1, {'burst', 'config', 'pause'}), (42, {'burst', 'pause'})]
    )
    def test_first_kinds_of_the_seeds_in_ci(self, seed, kinds):
        assert kinds < _choose(seed)


class TestDeployedLaunch:
    """Guards against a start that works only with variables that the platform does not give."""

    def test_environment(self):
        launch = soak_launch.as_deployed(pathlib.Path('settings.json'))
        names = {'PATH', 'HOME', 'LANG', 'PYTHONPATH', 'ANVILLUG_NODE_FILE'}
        assert set(launch.environment) <= names
        assert launch.environment['ANVILLUG_NODE_FILE'] == 'settings.json'

    def test_command(self):
        command = soak_launch.as_deployed(pathlib.Path('settings.json')).command
        interpreter = soak_launch.ROOT / 'target' / 'python3'
        assert command[0] == str(interpreter)
        assert os.access(interpreter, os.X_OK)
        assert pathlib.Path(command[-1]).is_file()


class TestSubcommandLaunch:
    """Guards against ends by early signals that the users' platform doesn't cause."""

    def test_signals_are_kept_before_the_first_line(self, tmp_path):
        # FAULT: nodes of the soak ended by a signal during the start of the interpreter.
        launch = soak_launch.as_subcommand(tmp_path / 'none.json')
        python, *arguments = launch.command
        slow = (python, '-c', _SLOW_START, *arguments)
        with processes.group() as group:
            child = processes.ChildProcess((), slow, launch.environment)
            group.append(child)
            _await(lambda: _SLEEPING in child.output())
            child.send_signal(signal.SIGTERM)
            _await(lambda: not child.running)
            assert child.status == 0
            assert 'signal=SIGTERM action=ended' in child.output()


class TestPipeOutput:
    """Guards against faults of the output's reader that a node cannot notice."""

    @pytest.fixture
    def output(self):
        """Yield an output without a reactor, whose writing end does not block."""
        reactor = types.SimpleNamespace(addReader=lambda _: None, removeReader=lambda _: None)
        output = soak_output.PipeOutput(reactor)
        os.set_blocking(output.target.fileno(), False)
        yield output
        output.close_reader()
        output.target.close()

    def test_time_of_the_start(self, output):
        output.target.write(b'time_ms=17 level=info event=other\n')
        assert soak_output.started_at_ms(output) is None
        output.target.write(b'time_ms=23 level=info event=node_started host=a\n')
        assert soak_output.started_at_ms(output) == 23

    def test_closed_reader(self, output):
        output.close_reader()
        with pytest.raises(BrokenPipeError):
            output.target.write(b'line\n')

    def test_stopped_reader(self, output):
        output.stop_reading()
        assert output.target.write(bytes(8192)) == 4096
        assert not output.text()


class TestEarlySignals:
    """Guards against ends that a soak counts as a node's faults, and no program could prevent."""

    @pytest.fixture
    def fleet(self, tmp_path):
        """Return a fleet of one host on a clock, whose node has not been started."""
        records = soak_records.Records()
        return soak_fleet.Fleet(
            task.Clock(), tmp_path, ('drawbook',), 1, (), records, random.Random(1)
        )

    @pytest.fixture
    def forked(self):
        """Yield a node whose process keeps the state that it has before its `execve`."""
        pid = os.fork()
        if not pid:
            time.sleep(60)
            os._exit(0)
        sent = []
        yield types.SimpleNamespace(pid=pid, running=True, sent=sent, send_signal=sent.append)
        os.kill(pid, signal.SIGKILL)
        os.waitpid(pid, 0)

    @pytest.mark.parametrize('name', ['terminate', 'hang_up'])
    def test_signal_before_the_program_is_postponed(self, fleet, forked, name):
        host = fleet.hosts[0]
        host.node = forked
        getattr(fleet, name)(host)
        fleet.reactor.advance(1)
        assert not forked.sent
        assert not host.expected_end
        with processes.group() as group:
            child = processes.ChildProcess((), (sys.executable, '-c', 'input()'), has_input=True)
            group.append(child)
            _await(lambda: processes.runs_program(child.pid))
            forked.pid = child.pid
            fleet.reactor.advance(1)
        assert forked.sent == [signal.SIGTERM if name == 'terminate' else signal.SIGHUP]

    def test_signal_of_a_former_process_is_not_sent_to_the_next(self, fleet, forked):
        host = fleet.hosts[0]
        host.node = forked
        fleet.terminate(host)
        host.node = types.SimpleNamespace(running=True)
        fleet.reactor.advance(1)
        assert not forked.sent

    def test_end_names_the_last_signal(self, fleet):
        host = fleet.hosts[0]
        with processes.group() as group:
            command = (sys.executable, '-c', _DEFAULT_ACTION)
            child = processes.ChildProcess((), command, has_input=True)
            group.append(child)
            child.wait_for_event('ready')
            host.node = child
            fleet.hang_up(host)
            _await(lambda: not child.running)
            problem = host.end_problem()
        assert 'host-0 ended by itself with -1,' in problem
        assert ' ms old, SIGHUP at ' in problem
        assert problem.endswith(' ms, by its default action')


class TestEnd:
    """Guards against ends of node processes that are not counted as faults."""

    @pytest.fixture
    def host(self):
        """Return a host whose node was stopped by SIGTERM five seconds ago."""
        records = soak_records.Records()
        shared = soak_host.Shared(None, pathlib.Path(), 1, {}, records, random.Random(1), 20, [])
        host = soak_host.Host(shared, 3, 'drawbook')
        host.expected_end = True
        host.terminated_at = clock.Milliseconds(clock.SystemClock().now() - 5000)
        return host

    @pytest.mark.parametrize('status', [0, 1, -signal.SIGHUP])
    def test_end_by_itself(self, host, status):
        host.expected_end = False
        host.node = types.SimpleNamespace(status=status)
        assert f'host-3 ended by itself with {status},' in host.end_problem()

    @pytest.mark.parametrize('status', [1, -signal.SIGTERM, -signal.SIGKILL])
    def test_status_after_sigterm(self, host, status):
        host.node = types.SimpleNamespace(status=status)
        assert f'host-3 ended with {status:d} on SIGTERM,' in host.end_problem()

    def test_graceful_stop(self, host):
        host.node = types.SimpleNamespace(status=0)
        assert not host.end_problem()

    def test_kill(self, host):
        host.terminated_at = None
        host.node = types.SimpleNamespace(status=-signal.SIGKILL)
        assert not host.end_problem()

    @pytest.mark.parametrize(
        ('status', 'before_stop_ms', 'is_fault'),
        [
            (-signal.SIGKILL, -1000, False),
            (-signal.SIGKILL, 2999, False),
            (-signal.SIGKILL, 3000, True),
            (-signal.SIGTERM, -1000, True),
        ],
    )
    def test_suspension_excuses_only_the_end_of_the_grace_time(
        self, host, status, before_stop_ms, is_fault
    ):
        paused_at = clock.Milliseconds(host.terminated_at - before_stop_ms)
        host._shared.records.disturb(3, paused_at, soak_records.Disturbance.UNPLANNED)
        host.node = types.SimpleNamespace(status=status)
        assert bool(host.end_problem()) is is_fault


class TestStart:
    """Guards against kinds of faults at the start that do nothing."""

    @pytest.fixture
    def host(self, tmp_path):
        """Yield a host whose process prints its blocked signals."""
        records = soak_records.Records()
        shared = soak_host.Shared(
            None, tmp_path, 1, {}, records, random.Random(1), 20, list(range(7))
        )
        command = (sys.executable, '-c', _PRINT_MASK)
        shared.launch = lambda _: soak_launch.Launch(command, None)
        host = soak_host.Host(shared, 3, 'drawbook')
        yield host
        if host.node is not None:
            host.node.kill()

    def test_blocked_signals(self, host):
        before = signal.pthread_sigmask(signal.SIG_BLOCK, ())
        for blocks_signals in (True, False):
            host.blocks_signals = blocks_signals
            host.start_node()
            host.node._process.wait(30)
            masked = host.output.text().split()
            assert masked == (['SIGHUP', 'SIGINT', 'SIGTERM'] if blocks_signals else [])
            assert not host.blocks_signals
        assert signal.pthread_sigmask(signal.SIG_BLOCK, ()) == before

    def test_settings_stay_half_written(self, host, tmp_path):
        path = tmp_path / 'host-3.json'
        host.write_partly(0)
        host.start_node()
        assert not path.read_text()
        host.write_partly(1)
        assert json.loads(path.read_text())

    @pytest.mark.parametrize(('index', 'is_released'), [(2, True), (4, False)])
    def test_another_port_of_the_node_stays_held(self, host, index, is_released):
        # Requests at the process that held the port were counted as those of the node.
        records = host._shared.records
        records.hold_port(3, clock.Milliseconds(100))
        holder = types.SimpleNamespace(stopListening=lambda: None)
        delayed = []
        reactor = types.SimpleNamespace(
            callLater=lambda _, action: delayed.append(action),
            listenTCP=lambda *_, interface: holder,
        )
        fleet = types.SimpleNamespace(rng=None, records=records, reactor=reactor)
        soak_surroundings.Surroundings(fleet, soak_signals.Signals(fleet))._hold(host, index, 1)
        delayed[0]()
        assert records.is_foreign(3, 1e12, 1e12) is not is_released

    @pytest.mark.parametrize('kind', ['mask', 'port-long', 'settings-long'])
    def test_actions(self, host, kind):
        host.node = types.SimpleNamespace(kill=lambda: None)
        ended, delayed = [], []
        fleet = types.SimpleNamespace(
            rng=random.Random(1),
            hosts=[host],
            terminate=ended.append,
            later=lambda delay_s, *_: delayed.append(delay_s),
        )
        signals = soak_signals.Signals(fleet)
        surroundings = soak_surroundings.Surroundings(fleet, signals)
        {**signals.actions_by_kind, **surroundings.actions_by_kind}[kind]()
        assert ended == [host]
        assert len(host.before_next_start) == 1
        if kind != 'port-long':
            host.before_next_start[0]()
            host.at_next_start[0]()
            assert host.blocks_signals is (kind == 'mask')
            assert (host.written_share < 1) is (kind == 'settings-long')
            assert 1 <= delayed[0] <= 10


def _choose(seed, names=()):
    return soak_faults.choose(random.Random(seed), seed, names)
