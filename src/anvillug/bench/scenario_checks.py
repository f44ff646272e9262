"""Steps of a scenario that state what must hold."""

from __future__ import annotations

import itertools

from anvillug.bench import scenario_actions, scenario_run, traffic
from anvillug.bench import scenario_steps as steps

_UNHANDLED = 'event=unhandled_error'
_SHOWN = 3
_MS_PER_SECOND = 1000


@scenario_actions.perform.register
async def _load(step: steps.ExpectLoad, run: scenario_run.Run) -> scenario_run.Seen:
    result = run.loads[step.name]
    seen = _metric(result, step.metric)
    if step.bound.relative:
        seen /= max(result.sent, 1)
    return scenario_run.Seen(result.sent > 0 and step.bound.holds(seen), f'{seen:.4g}')


@scenario_actions.perform.register
async def _upload(step: steps.ExpectUpload, run: scenario_run.Run) -> scenario_run.Seen:
    seen = run.uploads[step.name]
    return scenario_run.Seen(seen == 'whole', seen)


@scenario_actions.perform.register
async def _host(step: steps.ExpectHost, run: scenario_run.Run) -> scenario_run.Seen:
    before, now = run.marks[step.since], await run.counts.totals()
    metric = 'probes' if step.metric == 'probe-cost' else step.metric
    grown: float = now.by_host[step.name][metric] - before.by_host[step.name][metric]
    if step.metric == 'probe-cost':
        host = run.mesh.by_id[step.name]
        state = await run.mesh.get(host.backend_address, '/control/state')
        settings = state['settings']
        elapsed_ms = (now.at_s - before.at_s) * _MS_PER_SECOND
        grown *= settings['probe_cost_ms'] / (elapsed_ms * settings['slots'])
    return scenario_run.Seen(step.bound.holds(grown), f'{grown:.4g}')


@scenario_actions.perform.register
async def _share(step: steps.ExpectShare, run: scenario_run.Run) -> scenario_run.Seen:
    before = run.marks[step.since].started_by_version
    now = (await run.counts.totals()).started_by_version
    grown = {version: now[version] - before[version] for version in now}
    total = sum(grown.values())
    share = grown.get(step.version, 0) / max(total, 1)
    held = total > 0 and step.bound.holds(share if step.bound.relative else share * total)
    return scenario_run.Seen(held, f'{share:.1%} of {total} calls')


@scenario_actions.perform.register
async def _configuration(
    step: steps.ExpectConfiguration, run: scenario_run.Run
) -> scenario_run.Seen:
    async def in_effect() -> bool:
        hosts = run.counts.reachable_hosts()
        numbers = [
            (await run.mesh.get(host.operator_address, '/config'))['number'] for host in hosts
        ]
        return min(numbers) >= step.number

    what = f'configuration {step.number} on all nodes'
    waited_ms = await run.mesh.wait_until(what, in_effect, step.within_ms)
    return scenario_run.Seen(held=True, text=f'after {waited_ms:.0f} ms')


@scenario_actions.perform.register
async def _ended(step: steps.ExpectEnded, run: scenario_run.Run) -> scenario_run.Seen:
    node = run.mesh.by_id[step.name].node

    async def ended() -> bool:
        return not node.running

    waited_ms = await run.mesh.wait_until(f'{step.name} ends', ended, step.within_ms)
    status = node.kill()  # the node has ended: this only returns its exit status
    return scenario_run.Seen(status == 0, f'exit status {status} after {waited_ms:.0f} ms')


@scenario_actions.perform.register
async def _move(step: steps.ExpectRollout, run: scenario_run.Run) -> scenario_run.Seen:
    async def all_tell() -> bool:
        for host in run.counts.reachable_hosts():
            moves = (await run.mesh.state(host.plan.host_id))['moves_by_service']
            if moves.get(step.service, {}).get('state') != step.state:
                return False
        return True

    what = f'rollout of {step.service} is {step.state}'
    waited_ms = await run.mesh.wait_until(what, all_tell, step.within_ms)
    return scenario_run.Seen(held=True, text=f'after {waited_ms:.0f} ms')


@scenario_actions.perform.register
async def _invariants(step: steps.ExpectInvariants, run: scenario_run.Run) -> scenario_run.Seen:
    faults = [
        f'load {name}: wrong responses {dict(result.wrong)}'
        for name, result in run.loads.items()
        if result.wrong
    ]
    faults.extend(await _run_faults(run))
    faults.extend(f'configuration number went back on {text}' for text in run.counts.reverts)
    faults.extend(
        f'{host_id} logged an unhandled error'
        for host_id, host in run.mesh.by_id.items()
        if _UNHANDLED in host.node.output()
    )
    return scenario_run.Seen(not faults, '; '.join(faults) or 'all hold')


async def _run_faults(run: scenario_run.Run) -> list[str]:
    """Compare what callers were told with the executions at the backend servers."""
    by_key = await run.counts.runs('by_key')
    by_call = await run.counts.runs('by_call')
    told = list(run.not_run_calls)
    told.extend(itertools.chain.from_iterable(each.not_run_calls for each in run.loads.values()))
    faults = []
    if '' in told:
        faults.append(f'{told.count("")} responses "not run" without a call id')
    ran = [call_id for call_id in told if call_id and by_call[call_id]]
    if ran:
        faults.append(f'{len(ran)} calls answered "not run" ran: {ran[:_SHOWN]}')
    twice = {key: count for key, count in by_key.items() if count > 1}
    if twice:
        first = dict(itertools.islice(twice.items(), _SHOWN))
        faults.append(f'{len(twice)} keys ran more than once: {first}')
    return faults


def _metric(result: traffic.LoadResult, metric: str) -> float:
    if metric.startswith('p'):
        return result.percentile_ms(float(metric.removeprefix('p')))
    lost = result.errors.total()
    refused = sum(count for name, count in result.errors.items() if name.startswith('connect_'))
    values = {
        'sent': result.sent,
        'whole': result.by_status['200'] - result.wrong.total(),
        'wrong': result.wrong.total(),
        'lost': lost,
        'cut': lost - refused,
        'not-run': result.by_outcome['not-run'],
        'unknown': result.by_outcome['unknown'],
    }
    return values[metric]
