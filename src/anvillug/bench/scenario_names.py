"""Checks that the steps of a scenario name only what earlier steps declare."""

from __future__ import annotations

import functools
from collections.abc import Sequence
from typing import Any

from anvillug import findings
from anvillug.bench import scenario_language
from anvillug.bench import scenario_steps as steps

_SIGNALS_OF_LOG = ('freeze', 'thaw')


class _Names:
    """Names declared so far, by what they name."""

    def __init__(self) -> None:
        self.by_kind: dict[str, set[str]] = {}
        self.messages: list[str] = []

    def declare(self, kind: str, name: str) -> None:
        self.by_kind.setdefault(kind, set()).add(name)

    def need(self, kind: str, *names: str) -> None:
        known = self.by_kind.get(kind, set())
        self.messages.extend(
            f'{kind} {name!r} is not declared before this step'
            for name in names
            if name not in known
        )


def check(parsed_steps: Sequence[scenario_language.ParsedStep], place: str) -> findings.Findings:
    """Check the names of a scenario.

    Args:
        parsed_steps: Its steps in order.
        place: Name of the file.

    Returns:
        All findings, with file and line.
    """
    names = _Names()
    found = []
    for parsed_step in parsed_steps:
        names.messages = []
        _check(parsed_step.step, names)
        found.extend(
            findings.Finding(f'{place}:{parsed_step.line}', message) for message in names.messages
        )
    return tuple(found)


@functools.singledispatch
def _check(step: Any, names: _Names) -> None:
    """Check one step; those without names pass."""


@_check.register
def _host(step: steps.Host, names: _Names) -> None:
    names.messages.extend(
        f'host {step.name!r} needs {option}=...'
        for option in ('zone', 'service')
        if option not in step.options
    )
    names.declare('host', step.name)


@_check.register
def _load(step: steps.Load, names: _Names) -> None:
    names.need('host', *step.via)
    names.declare('load', step.name)


@_check.register
def _upload(step: steps.Upload, names: _Names) -> None:
    names.need('host', step.via)
    names.declare('upload', step.name)


@_check.register
def _call(step: steps.Call, names: _Names) -> None:
    names.need('host', *step.via)


@_check.register
def _background(step: steps.Background, names: _Names) -> None:
    _check(step.step, names)
    if not step.step.name:
        names.messages.append('a step in the background needs a name')
    names.declare('background step', step.step.name)


@_check.register
def _finish(step: steps.Finish, names: _Names) -> None:
    names.need('background step', step.name)


@_check.register
def _fault(step: steps.Fault, names: _Names) -> None:
    if step.target != 'log':
        names.need('host', step.name)


@_check.register
def _signal(step: steps.SignalProcess, names: _Names) -> None:
    if step.process != 'log':
        names.need('host', step.name)
    elif step.action not in _SIGNALS_OF_LOG:
        names.messages.append(
            f'the log can only freeze and thaw, it loses its records on {step.action}'
        )


@_check.register
def _restart(step: steps.Restart, names: _Names) -> None:
    names.need('host', step.name)


@_check.register
def _drain(step: steps.Drain, names: _Names) -> None:
    names.need('host', step.name)


@_check.register
def _mark(step: steps.Mark, names: _Names) -> None:
    names.declare('mark', step.name)


@_check.register
def _expect_load(step: steps.ExpectLoad, names: _Names) -> None:
    names.need('load', step.name)


@_check.register
def _expect_upload(step: steps.ExpectUpload, names: _Names) -> None:
    names.need('upload', step.name)


@_check.register
def _expect_host(step: steps.ExpectHost, names: _Names) -> None:
    names.need('host', step.name)
    names.need('mark', step.since)


@_check.register
def _expect_share(step: steps.ExpectShare, names: _Names) -> None:
    names.need('mark', step.since)


@_check.register
def _expect_ended(step: steps.ExpectEnded, names: _Names) -> None:
    names.need('host', step.name)
