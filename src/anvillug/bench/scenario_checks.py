"""Execution of the steps of a scenario that check expectations."""

from __future__ import annotations

import itertools

from anvillug.bench import scenario_actions, scenario_run, traffic
from anvillug.bench import scenario_steps as steps

_UNHANDLED_ERROR_EVENT = 'event=unhandled_error'
_MAX_EXAMPLES = 3
_MS_PER_SECOND = 1000


@scenario_actions.perform.register
async def _check_load(step: steps.ExpectLoad, run: scenario_run.Run) -> scenario_run.StepOutcome:
    result = run.loads[step.name]
    actual = _load_metric(result, step.metric)
    if step.bound.relative:
        actual /= max(result.sent, 1)
    return scenario_run.StepOutcome(result.sent > 0 and step.bound.holds(actual), f'{actual:.4g}')


@scenario_actions.perform.register
async def _check_upload(
    step: steps.ExpectUpload, run: scenario_run.Run
) -> scenario_run.StepOutcome:
    actual = run.uploads[step.name]
    return scenario_run.StepOutcome(actual == 'whole', actual)


@scenario_actions.perform.register
async def _check_host(step: steps.ExpectHost, run: scenario_run.Run) -> scenario_run.StepOutcome:
    previous, current = run.marks[step.since], await run.counters.totals()
    metric = 'probes' if step.metric == 'probe-cost' else step.metric
    increase: float = current.by_host[step.name][metric] - previous.by_host[step.name][metric]
    if step.metric == 'probe-cost':
        host = run.mesh.by_id[step.name]
        state = await run.mesh.get(host.backend_address, '/control/state')
        settings = state['settings']
        elapsed_ms = (current.at_s - previous.at_s) * _MS_PER_SECOND
        increase *= settings['probe_cost_ms'] / (elapsed_ms * settings['slots'])
    return scenario_run.StepOutcome(step.bound.holds(increase), f'{increase:.4g}')


@scenario_actions.perform.register
async def _check_share(step: steps.ExpectShare, run: scenario_run.Run) -> scenario_run.StepOutcome:
    previous = run.marks[step.since].started_by_version
    current = (await run.counters.totals()).started_by_version
    increase = {version: current[version] - previous[version] for version in current}
    total = sum(increase.values())
    share = increase.get(step.version, 0) / max(total, 1)
    succeeded = total > 0 and step.bound.holds(share if step.bound.relative else share * total)
    return scenario_run.StepOutcome(succeeded, f'{share:.1%} of {total} calls')


@scenario_actions.perform.register
async def _wait_for_configuration(
    step: steps.ExpectConfiguration, run: scenario_run.Run
) -> scenario_run.StepOutcome:
    async def is_in_effect() -> bool:
        hosts = run.counters.reachable_hosts()
        numbers = [
            (await run.mesh.get(host.operator_address, '/config'))['number'] for host in hosts
        ]
        return min(numbers) >= step.number

    what = f'configuration {step.number} in effect on all nodes'
    waited_ms = await run.mesh.wait_until(what, is_in_effect, step.within_ms)
    return scenario_run.StepOutcome(succeeded=True, text=f'after {waited_ms:.0f} ms')


@scenario_actions.perform.register
async def _wait_for_end(step: steps.ExpectEnded, run: scenario_run.Run) -> scenario_run.StepOutcome:
    node = run.mesh.by_id[step.name].node

    async def ended() -> bool:
        return not node.running

    waited_ms = await run.mesh.wait_until(f'{step.name} has ended', ended, step.within_ms)
    status = node.kill()  # the node has ended, so this only returns its exit status
    return scenario_run.StepOutcome(status == 0, f'exit status {status} after {waited_ms:.0f} ms')


@scenario_actions.perform.register
async def _wait_for_rollout_state(
    step: steps.ExpectRollout, run: scenario_run.Run
) -> scenario_run.StepOutcome:
    async def all_report_state() -> bool:
        for host in run.counters.reachable_hosts():
            rollouts = (await run.mesh.state(host.plan.host_id))['moves_by_service']
            if rollouts.get(step.service, {}).get('state') != step.state:
                return False
        return True

    what = f'rollout of {step.service} is {step.state}'
    waited_ms = await run.mesh.wait_until(what, all_report_state, step.within_ms)
    return scenario_run.StepOutcome(succeeded=True, text=f'after {waited_ms:.0f} ms')


@scenario_actions.perform.register
async def _check_invariants(
    step: steps.ExpectInvariants, run: scenario_run.Run
) -> scenario_run.StepOutcome:
    faults = [
        f'load {name}: wrong responses {dict(result.wrong)}'
        for name, result in run.loads.items()
        if result.wrong
    ]
    faults.extend(await _execution_faults(run))
    faults.extend(
        f'configuration number decreased on {text}' for text in run.counters.config_regressions
    )
    faults.extend(
        f'{host_id} logged an unhandled error'
        for host_id, host in run.mesh.by_id.items()
        if _UNHANDLED_ERROR_EVENT in host.node.output()
    )
    return scenario_run.StepOutcome(not faults, '; '.join(faults) or 'all invariants hold')


async def _execution_faults(run: scenario_run.Run) -> list[str]:
    """Compare the outcomes reported to callers with the executions at the backend servers."""
    by_key = await run.counters.runs('by_key')
    by_call = await run.counters.runs('by_call')
    not_run_ids = list(run.not_run_calls)
    not_run_ids.extend(
        itertools.chain.from_iterable(result.not_run_calls for result in run.loads.values())
    )
    faults = []
    if '' in not_run_ids:
        faults.append(f'{not_run_ids.count("")} responses with outcome "not run" lack a call id')
    executed = [call_id for call_id in not_run_ids if call_id and by_call[call_id]]
    if executed:
        faults.append(
            f'{len(executed)} calls reported as not run were executed: {executed[:_MAX_EXAMPLES]}'
        )
    repeated = {key: count for key, count in by_key.items() if count > 1}
    if repeated:
        examples = dict(itertools.islice(repeated.items(), _MAX_EXAMPLES))
        faults.append(f'{len(repeated)} keys were executed more than once: {examples}')
    return faults


def _load_metric(result: traffic.LoadResult, metric: str) -> float:
    """Return a metric; `cut` is `lost` without the requests that could not connect."""
    if metric.startswith('p'):
        return result.percentile_ms(float(metric.removeprefix('p')))
    lost = result.errors.total()
    connect_failures = sum(
        count for name, count in result.errors.items() if name.startswith('connect_')
    )
    values = {
        'sent': result.sent,
        'whole': result.by_status['200'] - result.wrong.total(),
        'wrong': result.wrong.total(),
        'lost': lost,
        'cut': lost - connect_failures,
        'not-run': result.by_outcome['not-run'],
        'unknown': result.by_outcome['unknown'],
    }
    return values[metric]
