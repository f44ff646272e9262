"""Fixtures that several test files share."""

from __future__ import annotations

import pathlib
import threading

import pytest
from twisted.internet import reactor

_STOP_TIMEOUT_S = 10
_KNOWN_RED = pathlib.Path(__file__).resolve().parent.parent / 'KNOWN-RED.txt'


def pytest_collection_modifyitems(items):
    """Run the tests with a running reactor last: those of `twisted.trial` run it themselves.

    The tests that `KNOWN-RED.txt` names run, but their failure does not fail the run.
    """
    items.sort(key=_needs_running_reactor)
    known = {line.strip() for line in _KNOWN_RED.read_text().splitlines()}
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason='listed in KNOWN-RED.txt', strict=False))


def _needs_running_reactor(item) -> bool:
    return 'running_reactor' in getattr(item, 'fixturenames', ())


@pytest.fixture(scope='session')
def running_reactor():
    """Run the reactor, which can be started only once, in a thread of its own."""
    thread = threading.Thread(target=reactor.run, args=(False,), daemon=True)
    thread.start()
    yield reactor
    reactor.callFromThread(reactor.stop)
    thread.join(_STOP_TIMEOUT_S)
