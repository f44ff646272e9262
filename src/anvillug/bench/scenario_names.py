"""Checks that the steps of a scenario refer only to names declared by earlier steps."""

from __future__ import annotations

import functools
from collections.abc import Sequence
from typing import Any

from anvillug import findings
from anvillug.bench import scenario_language
from anvillug.bench import scenario_steps as steps

_LOG_SIGNALS = ('freeze', 'thaw')


class _DeclaredNames:
    """Names declared so far, by kind, and messages about the faults of the current step."""

    def __init__(self) -> None:
        self.by_kind: dict[str, set[str]] = {}
        self.messages: list[str] = []

    def declare(self, kind: str, name: str) -> None:
        self.by_kind.setdefault(kind, set()).add(name)

    def require(self, kind: str, *names: str) -> None:
        declared = self.by_kind.get(kind, set())
        self.messages.extend(
            f'{kind} {name!r} is not declared before this step'
            for name in names
            if name not in declared
        )


def check(parsed_steps: Sequence[scenario_language.ParsedStep], place: str) -> findings.Findings:
    """Check the names that a scenario uses.

    Args:
        parsed_steps: The steps in order.
        place: Name of the file for findings.

    Returns:
        All findings, with file and line.
    """
    names = _DeclaredNames()
    all_findings = []
    for parsed_step in parsed_steps:
        names.messages = []
        _check_step(parsed_step.step, names)
        all_findings.extend(
            findings.Finding(f'{place}:{parsed_step.line}', message) for message in names.messages
        )
    return tuple(all_findings)


@functools.singledispatch
def _check_step(step: Any, names: _DeclaredNames) -> None:
    """Check one step; a step that refers to no name passes."""


@_check_step.register
def _check_host(step: steps.Host, names: _DeclaredNames) -> None:
    names.messages.extend(
        f'host {step.name!r} needs {option}=...'
        for option in ('zone', 'service')
        if option not in step.options
    )
    names.declare('host', step.name)


@_check_step.register
def _check_load(step: steps.Load, names: _DeclaredNames) -> None:
    names.require('host', *step.via)
    names.declare('load', step.name)


@_check_step.register
def _check_upload(step: steps.Upload, names: _DeclaredNames) -> None:
    names.require('host', step.via)
    names.declare('upload', step.name)


@_check_step.register
def _check_call(step: steps.Call, names: _DeclaredNames) -> None:
    names.require('host', *step.via)


@_check_step.register
def _check_background(step: steps.Background, names: _DeclaredNames) -> None:
    _check_step(step.step, names)
    if not step.step.name:
        names.messages.append('a step in the background needs a name')
    names.declare('background step', step.step.name)


@_check_step.register
def _check_finish(step: steps.Finish, names: _DeclaredNames) -> None:
    names.require('background step', step.name)


@_check_step.register
def _check_fault(step: steps.Fault, names: _DeclaredNames) -> None:
    if step.target != 'log':
        names.require('host', step.name)


@_check_step.register
def _check_signal(step: steps.SignalProcess, names: _DeclaredNames) -> None:
    if step.process != 'log':
        names.require('host', step.name)
    elif step.action not in _LOG_SIGNALS:
        names.messages.append(
            f'the log supports only freeze and thaw; it loses its records on {step.action}'
        )


@_check_step.register
def _check_restart(step: steps.Restart, names: _DeclaredNames) -> None:
    names.require('host', step.name)


@_check_step.register
def _check_drain(step: steps.Drain, names: _DeclaredNames) -> None:
    names.require('host', step.name)


@_check_step.register
def _check_mark(step: steps.Mark, names: _DeclaredNames) -> None:
    names.declare('mark', step.name)


@_check_step.register
def _check_expect_load(step: steps.ExpectLoad, names: _DeclaredNames) -> None:
    names.require('load', step.name)


@_check_step.register
def _check_expect_upload(step: steps.ExpectUpload, names: _DeclaredNames) -> None:
    names.require('upload', step.name)


@_check_step.register
def _check_expect_host(step: steps.ExpectHost, names: _DeclaredNames) -> None:
    names.require('host', step.name)
    names.require('mark', step.since)


@_check_step.register
def _check_expect_share(step: steps.ExpectShare, names: _DeclaredNames) -> None:
    names.require('mark', step.since)


@_check_step.register
def _check_expect_ended(step: steps.ExpectEnded, names: _DeclaredNames) -> None:
    names.require('host', step.name)
