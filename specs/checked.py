"""A specification in the format of the model checker."""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import minicheck

Invariant = Callable[[Any], bool]
Step = tuple[str, Any]
"""Label of a transition and the state after it."""


def protocol(
    name: str,
    mutation: enum.Enum,
    initial: Any,
    steps: Callable[[Any, Any], Iterable[Step]],
    invariants: Sequence[Invariant],
) -> minicheck.Protocol:
    """Return a specification in the format of the model checker.

    Args:
        name: Name of the specification.
        mutation: Fault injected into it; the member `NONE` stands for none.
        initial: First state.
        steps: Returns the transitions of a state, given the mutation.
        invariants: Functions that hold in every state, with distinct names.
    """
    return minicheck.Protocol(
        name=f'{name}, {mutation.value}',
        candidate=mutation is not type(mutation).NONE,
        fields=('state',),
        initial=(initial,),
        transitions=lambda fields: [
            (label, (after,)) for label, after in steps(fields[0], mutation)
        ],
        invariants={invariant.__name__: _on_fields(invariant) for invariant in invariants},
    )


def _on_fields(invariant: Invariant) -> Callable[[dict], bool]:
    return lambda fields: invariant(fields['state'])
