"""Shared fixtures, and the order of tests and known failures."""

from __future__ import annotations

import gc
import logging
import pathlib
import threading

import pytest
from twisted.internet import reactor

_STOP_TIMEOUT_S = 10
_KNOWN_RED_PATH = pathlib.Path(__file__).resolve().parent.parent / 'KNOWN-RED.txt'


def pytest_collection_modifyitems(items):
    """Sort the tests, and mark those that `KNOWN-RED.txt` lists.

    Tests that use the fixture `running_reactor` run last, since tests of `twisted.trial` run the
    reactor themselves. Listed tests run as well, but their failure does not fail the run.
    """
    items.sort(key=_needs_running_reactor)
    known_red = {line.strip() for line in _KNOWN_RED_PATH.read_text().splitlines()}
    for item in items:
        if item.nodeid in known_red:
            item.add_marker(pytest.mark.xfail(reason='listed in KNOWN-RED.txt', strict=False))


@pytest.fixture(autouse=True)
def log_of_commands():
    """Remove the log handler of a command that a test has run.

    It writes to a stream that is closed with the test. Each event after that would print a
    stack, which made tests with many events exceed their time limits.
    """
    logger = logging.getLogger('anvillug')
    level = logger.level
    yield
    logger.setLevel(level)
    for handler in tuple(logging.root.handlers):
        if type(handler).__module__.startswith('absl.'):
            logging.root.removeHandler(handler)


def _needs_running_reactor(item) -> bool:
    return 'running_reactor' in getattr(item, 'fixturenames', ())


@pytest.fixture
def collector_disabled():
    """Disable the collector, which could hide what is left."""
    gc.collect()
    gc.disable()
    yield
    gc.enable()


@pytest.fixture(scope='session')
def running_reactor():
    """Run the reactor in a thread for the whole session; it can be started only once."""
    thread = threading.Thread(target=reactor.run, args=(False,), daemon=True)
    thread.start()
    yield reactor
    reactor.callFromThread(reactor.stop)
    thread.join(_STOP_TIMEOUT_S)
