"""Runs a scenario on processes that are started for it."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from typing import Any

from twisted.internet import defer

# Importing `scenario_checks` registers its steps with `scenario_actions.perform`.
from anvillug.bench import (
    mesh,
    processes,
    scenario_actions,
    scenario_checks,  # noqa: F401
    scenario_language,
    scenario_run,
)
from anvillug.bench import scenario_steps as steps

_MAX_SOURCE_LENGTH = 90
_STEP_TIMEOUT_S = 60


async def run(
    name: str,
    parsed_steps: Sequence[scenario_language.ParsedStep],
    seed: int,
    reactor: Any,
) -> int:
    """Run the steps in order and print each step with its outcome.

    The run continues after a failed expectation or call, and stops after any other failed step.

    Args:
        name: Name of the scenario.
        parsed_steps: The steps of the scenario.
        seed: Seed from which the seeds of the loads are derived.
        reactor: Twisted reactor.

    Returns:
        Exit code: 0 if every step succeeded, else 1.
    """
    failures = 0
    with processes.group() as group:
        running = scenario_run.Run(mesh.Mesh(reactor, group), seed)
        running.start()
        for parsed_step in parsed_steps:
            outcome = await _perform(parsed_step, running)
            _print_outcome(name, parsed_step, outcome)
            failures += not outcome.succeeded
            if not outcome.succeeded and not _is_expectation(parsed_step.step):
                break
        running.stop()
    sys.stdout.write(
        f'{name} seed {seed}: {f"{failures} steps failed" if failures else "passed"}\n'
    )
    return 1 if failures else 0


async def _perform(
    parsed_step: scenario_language.ParsedStep, running: scenario_run.Run
) -> scenario_run.StepOutcome:
    try:
        performed = defer.ensureDeferred(scenario_actions.perform(parsed_step.step, running))
        return await performed.addTimeout(_STEP_TIMEOUT_S, running.mesh.reactor)
    except Exception as failure:  # noqa: BLE001 a step that raises fails the scenario
        return scenario_run.StepOutcome(
            succeeded=False, text=f'{type(failure).__name__}: {failure}'
        )


def _is_expectation(step: Any) -> bool:
    return type(step).__name__.startswith('Expect') or isinstance(step, steps.Call)


def _print_outcome(
    name: str, parsed_step: scenario_language.ParsedStep, outcome: scenario_run.StepOutcome
) -> None:
    text = parsed_step.text
    if len(text) > _MAX_SOURCE_LENGTH:
        text = f'{text[:_MAX_SOURCE_LENGTH]}...'
    verdict = 'ok  ' if outcome.succeeded else 'FAIL'
    sys.stdout.write(f'{verdict} {name}:{parsed_step.line}: {text} -> {outcome.text}\n')
    sys.stdout.flush()
