"""Errors in input, collected with their location and reported together."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

_MAX_VALUE_LENGTH = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """One error in the input."""

    place: str
    """Location of the error, such as `node.json: listeners.caller_address`."""
    message: str
    """What is wrong, and what is expected."""

    def __str__(self) -> str:
        return f'{self.place}: {self.message}'


Findings = tuple[Finding, ...]


def single(place: str, message: str) -> Findings:
    """Return a single finding as `Findings`."""
    return (Finding(place, message),)


def report(findings: Iterable[Finding]) -> str:
    """Format findings as text, one line each."""
    return '\n'.join(str(finding) for finding in findings)


def shortened(value: object) -> str:
    """Return the text form of a value, cut if it is long."""
    text = repr(value)
    return text if len(text) <= _MAX_VALUE_LENGTH else f'{text[:_MAX_VALUE_LENGTH]}...'
