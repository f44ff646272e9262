"""Tests of child processes: allocation of ports, and what signals find them doing."""

from __future__ import annotations

import itertools
import os
import signal
import sys
import time

import pytest

from anvillug.bench import processes


class _FixedPorts:
    """Replaces the random number generator that picks ports."""

    def __init__(self, ports) -> None:
        self._ports = iter(ports)

    def randrange(self, *bounds: int) -> int:
        return next(self._ports)


class TestFreeAddresses:
    """Guards against two runs that pick the same port before either of them binds it."""

    def test_allocated_port_is_not_allocated_again(self, monkeypatch):
        allocated = int(processes.free_addresses(1)[0].rpartition(':')[2])
        ports = itertools.chain([allocated], itertools.count(allocated + 1))
        monkeypatch.setattr(processes, '_PORT_RNG', _FixedPorts(ports))
        assert processes.free_addresses(1) != [f'127.0.0.1:{allocated}']


_SLEEPING = 'import time; time.sleep(60)'
_TIMEOUT_S = 15


@pytest.fixture
def forked():
    """Yield the id of a process before its `execve`, and a pipe whose end lets it go on."""
    reader, writer = os.pipe()
    pid = os.fork()
    if not pid:
        os.close(writer)
        os.read(reader, 1)
        os.execv(sys.executable, (sys.executable, '-c', _SLEEPING))
    os.close(reader)
    yield pid, writer
    os.kill(pid, signal.SIGKILL)
    os.waitpid(pid, 0)


def _await(condition) -> None:
    """Wait until a condition holds."""
    end = time.monotonic() + _TIMEOUT_S
    while not condition():
        assert time.monotonic() < end
        time.sleep(processes.POLL_S)


class TestSignals:
    """Guards against faults of a node that no program could prevent."""

    def test_program_that_is_not_in_place(self, forked):
        # FAULT: a soak counted a node that a signal had ended during its `execve`.
        pid, writer = forked
        assert not processes.runs_program(pid)
        os.close(writer)
        _await(lambda: processes.runs_program(pid))

    @pytest.mark.parametrize('action', [signal.SIG_IGN, 'lambda *_: None', None])
    def test_action_of_a_signal(self, action):
        name = 'signal.SIG_IGN' if action is signal.SIG_IGN else action
        change = f'signal.signal(signal.SIGTERM, {name})' if action else 'pass'
        # The process that runs the tests may ignore it, as below nohup.
        default = 'signal.signal(signal.SIGHUP, signal.SIG_DFL)'
        code = f"import signal; {default}; {change}; print('event=ready', flush=True); {_SLEEPING}"
        with processes.group() as group:
            child = processes.ChildProcess((), (sys.executable, '-c', code))
            group.append(child)
            child.wait_for_event('ready')
            found = processes.has_default_action(child.pid, signal.SIGTERM)
            assert found is (action is None)
            assert processes.has_default_action(child.pid, signal.SIGHUP)

    def test_blocked_signal(self):
        before = signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGTERM,))
        try:
            assert not processes.has_default_action(os.getpid(), signal.SIGTERM)
        finally:
            signal.pthread_sigmask(signal.SIG_SETMASK, before)
