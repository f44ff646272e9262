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


class Actions(Interface):
    """Actions of a node at the transitions of its life cycle."""

    def listen(self) -> None:
        """Start the tasks; the listeners are open."""

    def withdraw(self) -> None:
        """Announce to the peers that this node is leaving."""

    def shut_down(self) -> None:
        """Stop the remaining tasks and end the process."""


class _Inputs(Interface):
    """Inputs of the state machine."""

    def start(self) -> None:
        """Start serving."""

    def leave(self) -> None:
        """Start a graceful stop."""

    def drained(self) -> None:
        """Record that no call is in progress any more."""


class _Core:
    """State set by the outputs of the state machine, since automat does not expose its state."""

    def __init__(self, actions: Actions) -> None:
        self.actions = actions
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
        core.actions.listen()

    @serving.upon(_Inputs.leave).to(leaving)
    def withdraw(inputs: _Inputs, core: _Core) -> None:
        core.state = NodeState.LEAVING
        core.actions.withdraw()

    @leaving.upon(_Inputs.drained).to(stopped)
    def shut_down(inputs: _Inputs, core: _Core) -> None:
        core.state = NodeState.STOPPED
        core.actions.shut_down()

    for ignoring_state in (starting, leaving, stopped):
        ignoring_state.upon(_Inputs.leave).loop().returns(None)
    return builder


_FACTORY = _build().build()


class LifeCycle:
    """Life cycle of one node, from `STARTING` on.

    Args:
        actions: Actions of the node at the transitions.
    """

    def __init__(self, actions: Actions) -> None:
        self._core = _Core(actions)
        self._machine = _FACTORY(self._core)

    @property
    def state(self) -> NodeState:
        """Current state."""
        return self._core.state

    def start(self) -> None:
        """Start serving."""
        self._machine.start()

    def leave(self) -> None:
        """Start a graceful stop; ignored unless the node is serving."""
        self._machine.leave()

    def drained(self) -> None:
        """End the process, since no call is in progress any more."""
        self._machine.drained()
