"""Requests of callers around the stop of a real node process of the product."""

from __future__ import annotations

import collections
import signal
import sys
import time
from http import client as http_client

import pytest

from anvillug.bench import processes, socket_callers
from tests import test_bad_input, test_mesh_stop

_CALL = test_mesh_stop.Message('GET', '/x', b'', {'Host': 'drawbook'})
# The listener of callers closes two seconds after the signal.
_BEFORE_CLOSE_S = 0.5
_CONNECTIONS = 30
_CALLING_S = 14.0
_ENDED_WITHOUT_ANSWER = {'closed', 'reset', 'timeout'}


@pytest.fixture
def node(tmp_path):
    """Yield a node with a log and a backend server."""
    with processes.group() as group:
        yield test_bad_input._Node(tmp_path, group)  # noqa: SLF001


class TestStop:
    """Guards against requests that a stopping node leaves without an answer."""

    # Guards against kept connections that are closed under a request.
    def test_kept_connections_lose_no_request(self, node):
        host, _, port = node.caller.rpartition(':')
        address = (host, int(port))
        senders = [test_mesh_stop.Sender(address, _CALL) for _ in range(test_mesh_stop.CALLERS)]
        node.process.send_signal(signal.SIGTERM)
        assert set(test_mesh_stop.outcomes(senders)) <= {'200', '503'}

    # Guards against callers that are not told to leave before idle connections are closed.
    def test_responses_announce_the_close_from_the_signal_on(self, node):
        connection = http_client.HTTPConnection(node.caller, timeout=5)
        connection.request('GET', '/x', headers={'Host': 'drawbook'})
        connection.getresponse().read()
        node.process.send_signal(signal.SIGTERM)
        time.sleep(_BEFORE_CLOSE_S)
        connection.request('GET', '/x', headers={'Host': 'drawbook'})
        assert connection.getresponse().getheader('Connection') == 'close'


def _play_stop(node, habit: socket_callers.Habit, pause_ms: float) -> list[socket_callers.Sent]:
    """Stop a node under callers of their own process; return their requests."""
    plan = socket_callers.Plan(
        name='c',
        addresses=[node.caller],
        connections=_CONNECTIONS,
        habit=habit.value,
        pause_ms=pause_ms,
        duration_s=_CALLING_S,
        messages=[socket_callers.Message('GET', '/x', 'drawbook')],
        seed=1,
    )
    with processes.group() as group:
        program = (sys.executable, '-m', 'anvillug.bench.socket_callers')
        callers = processes.ChildProcess((plan.encode(),), program)
        group.append(callers)
        # Callers use kept connections by then.
        while callers.output().count('\n') < 2 * _CONNECTIONS:
            time.sleep(processes.POLL_S)
        assert node.process.stop() == 0
        while callers.running:
            time.sleep(processes.POLL_S)
        return socket_callers.read_lines(callers.output())


class TestCallersThatGoOn:
    """Guards against a stop that cuts a caller more than once."""

    # LOST: callers that use their connection until the process is gone were cut again and again.
    @pytest.mark.parametrize('pause_ms', [100, 600])
    @pytest.mark.parametrize(
        ('habit', 'allowed'),
        [(socket_callers.Habit.GOES_ON, 1), (socket_callers.Habit.HONOURS_CLOSE, 0)],
    )
    def test_stop_cuts_a_caller_at_most_once(self, node, habit, allowed, pause_ms):
        requests = _play_stop(node, habit, pause_ms)
        assert {sent.status for sent in requests} <= {0, 200, 503}
        assert sum(sent.status == 200 for sent in requests) > _CONNECTIONS
        cuts = collections.Counter(
            sent.caller for sent in requests if sent.ending in _ENDED_WITHOUT_ANSWER
        )
        assert max(cuts.values(), default=0) <= allowed, cuts
