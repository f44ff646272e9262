"""Requests of callers around the stop of a real node process of the product."""

from __future__ import annotations

import signal
import time
from http import client as http_client

import pytest

from anvillug.bench import processes
from tests import test_bad_input, test_mesh_stop

_CALL = test_mesh_stop.Message('GET', '/x', b'', {'Host': 'drawbook'})
# The listener of callers closes two seconds after the signal.
_BEFORE_CLOSE_S = 0.5


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
