"""Times of the requests that a test sends to a stopping node.

A stopping node closes a connection without an announcement once no request has arrived for a
second. A test whose callers stood still for that long can't tell such a close from a fault.
"""

from __future__ import annotations

import contextlib
import dataclasses
import itertools
import time
from collections.abc import Callable, Iterator, Sequence
from http import client as http_client

import pytest

QUIET_S = 1.0
# A node serves as usual at least this long after SIGTERM.
_MIN_SERVE_S = 2.3
_WORKED = '200'
MAX_ATTEMPTS = 5
"""Attempts to stop a node without a stand-still of the test."""


class StoodStillError(Exception):
    """A connection was lost after the test had stood still for so long that the node may close."""


class Pace:
    """Times of the requests of the only caller of a node."""

    def __init__(self) -> None:
        self._begun_at_s = float('inf')
        self._sent_at_s: float | None = None

    def sent(self) -> None:
        """Note that a request has been sent."""
        self._sent_at_s = time.monotonic()

    @contextlib.contextmanager
    def request(self) -> Iterator[None]:
        """Note the begin of a request.

        Raises:
            StoodStillError: If its connection is lost, and it was sent too late.
        """
        previous_s = self._begun_at_s
        self._begun_at_s = time.monotonic()
        self._sent_at_s = None
        try:
            yield
        except (OSError, http_client.HTTPException) as error:
            quiet_s = (self._sent_at_s or time.monotonic()) - previous_s
            if quiet_s < QUIET_S:
                raise
            raise StoodStillError(f'sent {quiet_s:.3f} s after the last one') from error


def judge(attempt: Callable[[], None]) -> None:
    """Repeat an attempt until the test has not stood still in it.

    Args:
        attempt: Starts a node and stops it; raises `StoodStillError` if it can't be judged.
    """
    findings = []
    while len(findings) < MAX_ATTEMPTS:
        try:
            return attempt()
        except StoodStillError as error:
            findings.append(str(error))
            print(f'not judged: {error}')
    return pytest.fail(f'no attempt can be judged: {findings}')


@dataclasses.dataclass(slots=True)
class Sent:
    """One request of one of several callers."""

    begun_at_s: float
    """Before its first byte was sent."""
    head_at_s: float = 0
    """After its head was sent, or when its failure was seen."""
    is_kept: bool = False
    """Whether its connection had carried a request before."""
    outcome: str = ''
    """Status, or the name of the error."""

    @property
    def is_answered(self) -> bool:
        """Whether a response came."""
        return self.outcome.isdigit()


def outcomes(
    callers: Sequence[Sequence[Sent]], stopped_at_s: float, work_s: float = 0
) -> list[str]:
    """Return what became of the requests to one node.

    Cuts of kept connections are left out if the callers stood still before.

    Args:
        callers: Requests of each caller in their order.
        stopped_at_s: Time of SIGTERM.
        work_s: For how long a request with status 200 is in progress at least.
    """
    answered = [sent for requests in callers for sent in requests if sent.is_answered]
    found = [sent.outcome for sent in answered]
    for previous, sent in itertools.chain.from_iterable(map(_with_previous, callers)):
        if sent.is_answered:
            continue
        begin_s = stopped_at_s + _MIN_SERVE_S - QUIET_S
        if previous is not None:
            begin_s = max(begin_s, _over_at_s(previous, work_s))
        quiet_s = _longest_quiet_s(answered, begin_s, sent.head_at_s, work_s)
        text = (
            f'{sent.outcome} {sent.head_at_s - stopped_at_s:.3f} s after SIGTERM, kept '
            f'{sent.is_kept}, {quiet_s:.3f} s in which no request need have arrived'
        )
        if sent.is_kept and quiet_s >= QUIET_S:
            print(f'not judged: {text}')
        else:
            found.append(text)
    return found


def _with_previous(requests: Sequence[Sent]) -> Iterator[tuple[Sent | None, Sent]]:
    return zip((None, *requests), requests, strict=False)


def _over_at_s(sent: Sent, work_s: float) -> float:
    """Return when a request was over at the earliest."""
    return sent.begun_at_s + (work_s if sent.outcome == _WORKED else 0)


def _longest_quiet_s(
    answered: Sequence[Sent], begin_s: float, end_s: float, work_s: float
) -> float:
    """Return the longest time in which no request need have arrived or have been in progress.

    A request arrives at an unknown time from its begin until its head is sent.
    """
    inside = [sent for sent in answered if sent.begun_at_s >= begin_s and sent.head_at_s <= end_s]
    quiet_s = 0.0
    next_head_s = end_s
    for sent in sorted(inside, key=lambda each: each.begun_at_s, reverse=True):
        quiet_s = max(quiet_s, next_head_s - _over_at_s(sent, work_s))
        next_head_s = min(next_head_s, sent.head_at_s)
    return max(quiet_s, next_head_s - begin_s)
