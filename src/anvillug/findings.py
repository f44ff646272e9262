"""Findings about bad input, collected with their place and reported together."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable
from typing import TypeVar

import expression

ValueT = TypeVar('ValueT')


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """One fault of some input."""

    place: str
    """Where the fault is, such as `node.json: listeners.caller_address`."""
    message: str
    """What is wrong and what would be right."""

    def __str__(self) -> str:
        return f'{self.place}: {self.message}'


Findings = tuple[Finding, ...]


def one(place: str, message: str) -> Findings:
    """Return findings with a single entry."""
    return (Finding(place, message),)


def report(findings: Iterable[Finding]) -> str:
    """Return all findings as text, one line each."""
    return '\n'.join(str(finding) for finding in findings)


def result_of(value: ValueT, findings: Findings) -> expression.Result[ValueT, Findings]:
    """Return an error when there are findings, else the value."""
    if findings:
        return expression.Error(findings)
    return expression.Ok(value)
