"""Keeps the signals that come before `process.lifetime` is imported.

Until a process handles a signal, its default action ends the process. This module imports only
what the interpreter has imported or has built in: `signal` alone takes several milliseconds.
"""

from __future__ import annotations

import _signal
import posix

NUMBERS = (_signal.SIGHUP, _signal.SIGTERM, _signal.SIGINT, _signal.SIGUSR1)
"""Numbers of the signals that a server handles."""

# Numbers of the signals that `deploy/interpreter.c` has blocked, and the parent process has not.
_BLOCKED_AT_START = b'ANVILLUG_BLOCKED_AT_START'
# The interpreter itself ignores these.
_IGNORED_BY_PYTHON = frozenset((_signal.SIGPIPE, _signal.SIGXFSZ))

_kept: list[int] = []
_blocked: set[int] = set()
_ignored: set[int] = set()


def keep() -> None:
    """Keep signals from now on, until other handlers are installed, also those blocked before."""
    for number in NUMBERS:
        if _signal.signal(number, _received) == _signal.SIG_IGN:
            _ignored.add(number)
    # Pending ones reach the handlers now. Threads that are started later inherit the mask.
    _blocked.update(unblock())


def unblock() -> set[int]:
    """Unblock the signals that a server handles, which a parent process may have blocked.

    Returns:
        Numbers of all signals that were blocked.
    """
    return _signal.pthread_sigmask(_signal.SIG_UNBLOCK, NUMBERS)


def take() -> list[int]:
    """Return the numbers of the signals that were kept, in their order, and forget them."""
    numbers = _kept.copy()
    _kept.clear()
    return numbers


def blocked_by_parent() -> list[int]:
    """Return the numbers of the signals that the parent process left blocked."""
    at_start = posix.environ.get(_BLOCKED_AT_START, b'').split()
    # Another program may have set the variable to something else.
    numbers = [int(number) for number in at_start if number.isdigit()]
    return sorted(_blocked.difference(numbers))


def ignored_by_parent() -> list[int]:
    """Return the numbers of the signals that the parent process left ignored."""
    others = _signal.valid_signals().difference(NUMBERS, _IGNORED_BY_PYTHON)
    ignored = {number for number in others if _signal.getsignal(number) == _signal.SIG_IGN}
    return sorted(ignored | _ignored)


def _received(number: int, frame: object) -> None:
    _kept.append(number)
