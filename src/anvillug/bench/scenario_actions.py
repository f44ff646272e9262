"""Execution of the steps of a scenario that act on the mesh or send requests."""

from __future__ import annotations

import functools
import signal
from typing import Any

import treq
from twisted.internet import defer, threads

from anvillug import clock
from anvillug.bench import load, mesh, scenario_run, slow_upload, traffic
from anvillug.bench import scenario_steps as steps
from anvillug.request import call
from anvillug.version import publisher

_SERVING_TIMEOUT_MS = 15_000
_CALL_TIMEOUT_S = 20
_DONE = scenario_run.StepOutcome(succeeded=True, text='done')
_HOST_PLAN_FIELDS = ('zone', 'service', 'version', 'link_delay_ms')
_SIGNALS = {'stop': signal.SIGTERM, 'freeze': signal.SIGSTOP, 'thaw': signal.SIGCONT}


@functools.singledispatch
async def perform(step: Any, run: scenario_run.Run) -> scenario_run.StepOutcome:
    """Execute a step.

    Args:
        step: One of the classes of `scenario_steps`.
        run: The running scenario.

    Returns:
        Whether the step succeeded, and what was observed.
    """
    raise NotImplementedError(type(step).__name__)


@perform.register
async def _start_log(step: steps.Log, run: scenario_run.Run) -> scenario_run.StepOutcome:
    run.mesh.start_log(**step.options)
    return _DONE


@perform.register
async def _declare_host(step: steps.Host, run: scenario_run.Run) -> scenario_run.StepOutcome:
    options = dict(step.options)
    planned = {name: options.pop(name) for name in _HOST_PLAN_FIELDS if name in options}
    backend_options = {name.replace('_', '-'): option for name, option in options.items()}
    run.pending.append(mesh.HostPlan(step.name, **planned, backend_options=backend_options))
    return _DONE


@perform.register
async def _start_hosts(step: steps.StartHosts, run: scenario_run.Run) -> scenario_run.StepOutcome:
    run.mesh.add_hosts(run.pending)
    run.pending = []
    expected_count = sum(host.backend is not None for host in run.mesh.by_id.values())

    async def all_hosts_listed() -> bool:
        for host in run.counters.reachable_hosts():
            services = (await run.mesh.state(host.plan.host_id))['members']['services']
            if sum(host_count for name, host_count in services.items() if name) < expected_count:
                return False
        return True

    waited_ms = await run.mesh.wait_until(
        f'{expected_count} hosts are serving', all_hosts_listed, _SERVING_TIMEOUT_MS
    )
    return scenario_run.StepOutcome(
        succeeded=True, text=f'each node lists all hosts after {waited_ms:.0f} ms'
    )


@perform.register
async def _publish(step: steps.Publish, run: scenario_run.Run) -> scenario_run.StepOutcome:
    base = run.number if step.against is None else step.against
    result = await run.mesh.publish_patch(base, _resolve_times(step.patch))
    if isinstance(result, publisher.Accepted):
        run.number = max(run.number, result.number)
    reason = getattr(result, 'reason', '')
    succeeded = type(result).__name__.lower() == step.decision and step.reason in reason
    return scenario_run.StepOutcome(succeeded, str(result))


@perform.register
async def _publish_concurrently(
    step: steps.Race, run: scenario_run.Run
) -> scenario_run.StepOutcome:
    base = run.number
    publications = [run.mesh.publish_patch(base, _resolve_times(patch)) for patch in step.patches]
    results = await defer.gatherResults(
        [defer.ensureDeferred(publication) for publication in publications]
    )
    accepted = [result for result in results if isinstance(result, publisher.Accepted)]
    refused = [result for result in results if isinstance(result, publisher.Refused)]
    numbers = {result.number for result in (*accepted, *refused)}
    succeeded = len(accepted) == 1 and len(refused) == len(results) - 1 and numbers == {base + 1}
    run.number = max([run.number, *(result.number for result in accepted)])
    return scenario_run.StepOutcome(succeeded, f'{len(accepted)} accepted, {len(refused)} refused')


@perform.register
async def _pause(step: steps.Wait, run: scenario_run.Run) -> scenario_run.StepOutcome:
    await run.mesh.sleep(clock.to_seconds(step.duration_ms))
    return _DONE


@perform.register
async def _run_load(step: steps.Load, run: scenario_run.Run) -> scenario_run.StepOutcome:
    hosts = [run.mesh.by_id[name] for name in step.via] or run.counters.reachable_hosts()
    plan = traffic.LoadPlan(
        addresses=tuple(host.caller_address for host in hosts),
        kinds=tuple(_request_kind(kind, run.default_service()) for kind in step.kinds),
        rate_per_second=step.rate_per_second,
        duration_ms=step.duration_ms,
        seed=run.next_seed(),
        **step.options,
    )
    result = await load.run(plan, run.mesh.reactor)
    run.loads[step.name] = result
    parts = [f'sent {result.sent}', f'outcomes {dict(result.by_outcome)}']
    parts.append(f'statuses {dict(result.by_status)}')
    parts.extend(
        f'{name} {dict(counter)}' for name, counter in _failure_counters(result).items() if counter
    )
    parts.append(f'p99 {result.percentile_ms(99):.1f} ms')  # noqa: WPS432
    return scenario_run.StepOutcome(succeeded=True, text=', '.join(parts))


@perform.register
async def _send_upload(step: steps.Upload, run: scenario_run.Run) -> scenario_run.StepOutcome:
    address = run.mesh.by_id[step.via].caller_address
    service = str(step.options.get('service', run.default_service()))
    result = await slow_upload.send(
        run.mesh.reactor,
        f'http://{address}{step.path}',
        service,
        f'{step.name}-{run.seed}',
        step.body_bytes,
        step.duration_ms,
    )
    run.uploads[step.name] = result
    return scenario_run.StepOutcome(succeeded=True, text=result)


@perform.register
async def _send_calls(step: steps.Call, run: scenario_run.Run) -> scenario_run.StepOutcome:
    calls = [defer.ensureDeferred(_send_call_to_host(step, run, name)) for name in step.via]
    results = await defer.gatherResults(calls)
    succeeded = all(matches for matches, _ in results)
    return scenario_run.StepOutcome(succeeded, '; '.join(text for _, text in results))


@perform.register
async def _start_background_step(
    step: steps.Background, run: scenario_run.Run
) -> scenario_run.StepOutcome:
    run.start_background(step.step.name, perform(step.step, run))
    return scenario_run.StepOutcome(succeeded=True, text='started')


@perform.register
async def _await_background_step(
    step: steps.Finish, run: scenario_run.Run
) -> scenario_run.StepOutcome:
    return await run.background.pop(step.name)


@perform.register
async def _set_faults(step: steps.Fault, run: scenario_run.Run) -> scenario_run.StepOutcome:
    if step.target == 'log':
        await run.mesh.set_log_faults(**step.options)
    elif step.target == 'link':
        await run.mesh.set_link_faults(step.name, **step.options)
    else:
        await run.mesh.set_backend_faults(step.name, **step.options)
    return _DONE


@perform.register
async def _signal_process(
    step: steps.SignalProcess, run: scenario_run.Run
) -> scenario_run.StepOutcome:
    if step.process == 'log':
        process = run.mesh.log
    else:
        process = getattr(run.mesh.by_id[step.name], step.process)
    if step.action == 'kill':
        await run.counters.read()
        return scenario_run.StepOutcome(succeeded=True, text=f'exit status {process.kill()}')
    process.send_signal(_SIGNALS[step.action])
    if step.action == 'freeze':
        run.counters.frozen_pids.add(process.pid)
    elif step.action == 'thaw':
        run.counters.frozen_pids.discard(process.pid)
    return _DONE


@perform.register
async def _restart_process(step: steps.Restart, run: scenario_run.Run) -> scenario_run.StepOutcome:
    host = run.mesh.by_id[step.name]
    # Waiting for a process blocks, and in the thread of the reactor would delay running loads.
    if step.process == 'node':
        await threads.deferToThread(run.mesh.restart_node, host)
        return _DONE
    if host.backend is not None and host.backend.running:
        return scenario_run.StepOutcome(succeeded=False, text='the backend server still runs')
    run.mesh.start_backend(host, **step.options)
    await threads.deferToThread(host.backend.wait_for_event)
    return _DONE


@perform.register
async def _request_drain(step: steps.Drain, run: scenario_run.Run) -> scenario_run.StepOutcome:
    await run.mesh.post(run.mesh.by_id[step.name].operator_address, '/drain', {})
    return _DONE


@perform.register
async def _record_counters(step: steps.Mark, run: scenario_run.Run) -> scenario_run.StepOutcome:
    run.marks[step.name] = await run.counters.totals()
    return _DONE


def _request_kind(kind: steps.Kind, service: str) -> traffic.RequestKind:
    options = {'name': f'{kind.method}-{kind.path}', 'service': service, **kind.options}
    return traffic.RequestKind(method=kind.method, path=kind.path, **options)


def _failure_counters(result: traffic.LoadResult) -> dict[str, dict[str, int]]:
    return {'reasons': result.by_reason, 'errors': result.errors, 'wrong': result.wrong}


async def _send_call_to_host(
    step: steps.Call, run: scenario_run.Run, host_id: str
) -> tuple[bool, str]:
    headers = {'Host': f'{step.options.get("service", run.default_service())}.local'}
    if 'key' in step.options:
        headers[call.KEY_HEADER] = f'{step.options["key"]}-{run.seed}'
    url = f'http://{run.mesh.by_id[host_id].caller_address}{step.path}'
    try:
        response = await treq.request(
            step.method,
            url,
            headers=headers,
            data=str(step.options.get('body', '')).encode(),
            reactor=run.mesh.reactor,
            timeout=_CALL_TIMEOUT_S,
            persistent=False,
        )
        body = await treq.text_content(response)
    except Exception as failure:  # noqa: BLE001 treq raises exceptions of many types
        return step.result == 'any', f'{host_id}: {failure!r}'
    outcome = _response_header(response, call.OUTCOME_HEADER)
    if outcome == call.Outcome.NOT_RUN.value:
        run.not_run_calls.append(_response_header(response, call.CALL_HEADER))
    matches = step.result in {'any', outcome, str(response.code)} and step.reason in body
    return matches, f'{host_id}: {response.code} {outcome} {body.strip()[:80]}'


def _response_header(response: Any, name: str) -> str:
    header_values = response.headers.getRawHeaders(name) or ['']
    return header_values[0]


def _resolve_times(value: Any) -> Any:
    if isinstance(value, steps.RelativeTime):
        return round(clock.SystemClock().wall() + value.offset_ms)
    if isinstance(value, dict):
        return {key: _resolve_times(inner) for key, inner in value.items()}
    return [_resolve_times(inner) for inner in value] if isinstance(value, list) else value
