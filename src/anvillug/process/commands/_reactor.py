"""Runs the coroutine of a command in the reactor."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any

from twisted.internet import defer
from twisted.python import failure as twisted_failure


def run(main: Callable[[Any], Coroutine[Any, Any, int]]) -> int:
    """Run a coroutine until it completes; possible only once per process.

    Args:
        main: Coroutine function that receives the reactor and returns the exit code.

    Returns:
        The exit code.

    Raises:
        Exception: Any exception that the coroutine raised.
    """
    from twisted.internet import reactor  # noqa: PLC0415 - the import installs the reactor

    outcome: list[Any] = []

    def _start() -> None:
        ended = defer.Deferred.fromCoroutine(main(reactor))
        ended.addBoth(outcome.append)
        ended.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(_start)
    reactor.run()
    if isinstance(outcome[0], twisted_failure.Failure):
        outcome[0].raiseException()
    return outcome[0]
