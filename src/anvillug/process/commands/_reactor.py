"""Runs the coroutine of a command in the reactor."""

from __future__ import annotations

import contextlib
import signal
from collections.abc import Callable, Coroutine
from typing import Any

from twisted.internet import defer
from twisted.python import failure as twisted_failure

_NUMBERS = (signal.SIGTERM, signal.SIGINT)


def run(main: Callable[[Any], Coroutine[Any, Any, int]]) -> int:
    """Run a coroutine until it completes; possible only once per process.

    SIGTERM and SIGINT close the coroutine, so that it cleans up, and end the process.

    Args:
        main: Coroutine function that receives the reactor and returns the exit code.

    Returns:
        The exit code.

    Raises:
        Exception: Any exception that the coroutine raised.
    """
    from twisted.internet import reactor  # noqa: PLC0415 - the import installs the reactor

    coroutine = main(reactor)
    outcome: list[Any] = []
    received: list[int] = []

    def _start() -> None:
        ended = defer.Deferred.fromCoroutine(coroutine)
        ended.addBoth(outcome.append)
        ended.addBoth(lambda _: reactor.stop())

    def _received(number: int, frame: object) -> None:
        received.append(number)
        if len(received) == 1:
            reactor.callFromThread(reactor.stop)

    for number in _NUMBERS:
        if signal.getsignal(number) is not signal.SIG_IGN:
            signal.signal(number, _received)
    reactor.callWhenRunning(_start)
    # The reactor's own handlers leave neither an outcome nor the number of the signal.
    reactor.run(installSignalHandlers=False)
    if received:
        with contextlib.suppress(RuntimeError):
            coroutine.close()
        signal.signal(received[0], signal.SIG_DFL)
        signal.raise_signal(received[0])
    if isinstance(outcome[0], twisted_failure.Failure):
        outcome[0].raiseException()
    return outcome[0]
