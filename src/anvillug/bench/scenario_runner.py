"""Runs a scenario on processes of its own."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from typing import Any

from twisted.internet import defer

# `scenario_checks` registers its steps with `scenario_actions.perform`.
from anvillug.bench import (
    mesh,
    processes,
    scenario_actions,
    scenario_checks,  # noqa: F401
    scenario_language,
    scenario_run,
)
from anvillug.bench import scenario_steps as steps

_MAX_TEXT = 90
_STEP_TIMEOUT_S = 60


async def run(
    name: str,
    parsed_steps: Sequence[scenario_language.ParsedStep],
    seed: int,
    reactor: Any,
) -> int:
    """Run the steps in order and print each with its outcome.

    An expectation that does not hold does not end the run; any other step that fails does.

    Args:
        name: Name of the scenario.
        parsed_steps: Its steps.
        seed: Seed of all loads.
        reactor: Twisted reactor.

    Returns:
        Exit code: 0 if every step held, else 1.
    """
    failures = 0
    with processes.group() as group:
        running = scenario_run.Run(mesh.Mesh(reactor, group), seed)
        running.start()
        for parsed_step in parsed_steps:
            seen = await _perform(parsed_step, running)
            _tell(name, parsed_step, seen)
            failures += not seen.held
            if not seen.held and not _is_expectation(parsed_step.step):
                break
        running.stop()
    sys.stdout.write(f'{name} seed {seed}: {f"{failures} steps failed" if failures else "held"}\n')
    return 1 if failures else 0


async def _perform(
    parsed_step: scenario_language.ParsedStep, running: scenario_run.Run
) -> scenario_run.Seen:
    try:
        performed = defer.ensureDeferred(scenario_actions.perform(parsed_step.step, running))
        return await performed.addTimeout(_STEP_TIMEOUT_S, running.mesh.reactor)
    except Exception as failure:  # noqa: BLE001 a step that cannot run is a failure of the scenario
        return scenario_run.Seen(held=False, text=f'{type(failure).__name__}: {failure}')


def _is_expectation(step: Any) -> bool:
    return type(step).__name__.startswith('Expect') or isinstance(step, steps.Call)


def _tell(name: str, parsed_step: scenario_language.ParsedStep, seen: scenario_run.Seen) -> None:
    text = parsed_step.text
    if len(text) > _MAX_TEXT:
        text = f'{text[:_MAX_TEXT]}...'
    verdict = 'ok  ' if seen.held else 'FAIL'
    sys.stdout.write(f'{verdict} {name}:{parsed_step.line}: {text} -> {seen.text}\n')
    sys.stdout.flush()
