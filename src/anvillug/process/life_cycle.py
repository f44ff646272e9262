"""Life cycle of a node: starting, serving, leaving, stopped."""

from __future__ import annotations

import enum
from typing import Protocol as Interface

import automat


class NodeState(enum.Enum):
    """State of the node's process."""

    STARTING = 'starting'
    SERVING = 'serving'
    LEAVING = 'leaving'
    STOPPED = 'stopped'


class Steps(Interface):
    """What a node does at the transitions."""

    def listen(self) -> None:
        """Open the listeners and start the tasks."""

    def withdraw(self) -> None:
        """Tell the others that this node leaves."""

    def shut_down(self) -> None:
        """Close what is left and end the process."""


class _Inputs(Interface):
    """Inputs of the state machine."""

    def start(self) -> None:
        """Begin to serve."""

    def leave(self) -> None:
        """Begin a graceful stop."""

    def drained(self) -> None:
        """Note that no call is left."""


class _Core:
    """State for the outputs of the machine, which automat does not let them read."""

    def __init__(self, steps: Steps) -> None:
        self.steps = steps
        self.state = NodeState.STARTING


def _build() -> automat.TypeMachineBuilder:
    builder = automat.TypeMachineBuilder(_Inputs, _Core)
    starting = builder.state('starting')
    serving = builder.state('serving')
    leaving = builder.state('leaving')
    stopped = builder.state('stopped')

    @starting.upon(_Inputs.start).to(serving)
    def listen(inputs: _Inputs, core: _Core) -> None:
        core.state = NodeState.SERVING
        core.steps.listen()

    @serving.upon(_Inputs.leave).to(leaving)
    def withdraw(inputs: _Inputs, core: _Core) -> None:
        core.state = NodeState.LEAVING
        core.steps.withdraw()

    @leaving.upon(_Inputs.drained).to(stopped)
    def shut_down(inputs: _Inputs, core: _Core) -> None:
        core.state = NodeState.STOPPED
        core.steps.shut_down()

    for ignoring in (starting, leaving, stopped):
        ignoring.upon(_Inputs.leave).loop().returns(None)
    return builder


_FACTORY = _build().build()


class LifeCycle:
    """Life cycle of one node, from `STARTING` on.

    Args:
        steps: What the node does at the transitions.
    """

    def __init__(self, steps: Steps) -> None:
        self._core = _Core(steps)
        self._machine = _FACTORY(self._core)

    @property
    def state(self) -> NodeState:
        """Current state."""
        return self._core.state

    def start(self) -> None:
        """Begin to serve."""
        self._machine.start()

    def leave(self) -> None:
        """Begin a graceful stop; ignored unless the node is serving."""
        self._machine.leave()

    def drained(self) -> None:
        """Note that no call is left: the process ends."""
        self._machine.drained()
