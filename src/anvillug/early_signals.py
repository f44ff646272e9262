"""Keeps the signals that come before `process.lifetime` is imported.

Until a process handles a signal, its default action ends the process. This module imports only
what the interpreter has imported or has built in: `signal` alone takes several milliseconds.
"""

from __future__ import annotations

import _signal

NUMBERS = (_signal.SIGHUP, _signal.SIGTERM, _signal.SIGINT)
"""Numbers of the signals that a server handles."""

_kept: list[int] = []


def keep() -> None:
    """Keep signals from now on, until other handlers are installed."""
    for number in NUMBERS:
        _signal.signal(number, _received)
    # The interpreter of the deploy file blocks them until now.
    _signal.pthread_sigmask(_signal.SIG_UNBLOCK, NUMBERS)


def take() -> list[int]:
    """Return the numbers of the signals that were kept, in their order, and forget them."""
    numbers = _kept.copy()
    _kept.clear()
    return numbers


def _received(number: int, frame: object) -> None:
    _kept.append(number)
