"""Calls from tests into the thread of the reactor."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from typing import Any

from twisted.internet import defer, reactor
from twisted.python import failure

TIMEOUT_S = 15
"""Timeout for calls and conditions; long enough for a busy machine."""


def call(function: Callable[..., Any], *arguments: object) -> Any:
    """Call a function in the thread of the reactor and return its result."""
    done = threading.Event()
    outcomes: list[Any] = []

    def finished(outcome: Any) -> None:
        outcomes.append(outcome)
        done.set()

    def begin() -> None:
        defer.maybeDeferred(function, *arguments).addBoth(finished)

    reactor.callFromThread(begin)
    assert done.wait(TIMEOUT_S)
    if isinstance(outcomes[0], failure.Failure):
        outcomes[0].raiseException()
    return outcomes[0]


def wait_for(coroutine: Any) -> Any:
    """Run a coroutine in the thread of the reactor and return its result."""
    return call(defer.ensureDeferred, coroutine)


def eventually(condition: Callable[[], object]) -> None:
    """Wait until a condition is true; fail after `TIMEOUT_S`."""
    end = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < end
        time.sleep(0.01)
