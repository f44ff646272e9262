"""Effects of received bytes that wait for the responses to earlier requests."""

from __future__ import annotations

import collections
from collections.abc import Callable
from typing import NamedTuple

from anvillug import event_log


class Step(NamedTuple):
    """Effect of received bytes on one connection."""

    may_run: Callable[[], bool]
    run: Callable[[], None]
    is_answered: bool = False
    """Whether it leads to a response."""
    ends_request: bool = False
    """Whether it is the end of a request."""


class StepQueue:
    """Runs steps in the order in which they were received, each as soon as it may run."""

    def __init__(self) -> None:
        self.holds_all = False
        """Whether steps wait even if they may run."""
        self._steps: collections.deque[Step] = collections.deque()
        self._is_running = False

    @property
    def is_empty(self) -> bool:
        """Whether no step waits."""
        return not self._steps

    @property
    def count(self) -> int:
        """Number of steps that wait."""
        return len(self._steps)

    @property
    def has_request(self) -> bool:
        """Whether one of the steps that wait leads to a response."""
        return any(step.is_answered for step in self._steps)

    @property
    def has_request_end(self) -> bool:
        """Whether one of the steps that wait is the end of a request."""
        return any(step.ends_request for step in self._steps)

    def add(self, step: Step) -> None:
        """Run a step, or let it wait."""
        if self.holds_all or self._steps or not step.may_run():
            self._steps.append(step)
        else:
            step.run()

    def run(self, on_failure: Callable[[], None]) -> None:
        """Run the steps that may run now.

        Args:
            on_failure: Called when a step that had to wait raises an exception; the caller of
                those that run at once handles theirs.
        """
        # A request that ends within a step calls this again; the outer loop continues then.
        if self._is_running:
            return
        self._is_running = True
        try:
            while self._steps and self._steps[0].may_run():
                _run_step(self._steps.popleft(), on_failure)
        finally:
            self._is_running = False

    def clear(self) -> None:
        """Drop the steps that wait."""
        self._steps.clear()


def _run_step(step: Step, on_failure: Callable[[], None]) -> None:
    try:
        step.run()
    except Exception as error:  # noqa: BLE001 - whatever a handler raises
        event_log.error('request_handler_failed', error)
        on_failure()
