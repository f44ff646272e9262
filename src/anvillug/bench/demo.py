"""Demonstration on three nodes: calls, patches, a zone taken out and back in, a graceful stop."""

from __future__ import annotations

import dataclasses
import sys
from typing import Any

from anvillug.bench import load, mesh, processes, traffic
from anvillug.version import publisher

ZONES = ('kochi-1', 'kochi-2', 'kochi-3')
SWITCHED_ZONE = 'kochi-3'
SERVICE = 'drawbook'
_RATE_PER_SECOND = 100
_WARM_UP_PER_SECOND = 40
_DURATION_MS = 2000
_SETTLE_S = 2.0
_SEED = 7

CONFIGURATION = {
    'services': {
        SERVICE: {
            'version': 'v1',
            'routes': [
                {
                    'name': 'revisions',
                    'prefix': '/revisions',
                    'methods': ['POST'],
                    'repeatable': False,
                    'criticality': 'critical',
                },
            ],
        },
    },
    'zones': {zone: {'state': 'in', 'ramp_ms': 2000} for zone in ZONES},
}


class Demo:
    """Runs the steps, prints their results and counts failures.

    Args:
        bench_mesh: Mesh in which no process is started yet.
    """

    def __init__(self, bench_mesh: mesh.Mesh) -> None:
        self._mesh = bench_mesh
        self._failures = 0

    async def run(self) -> int:
        """Run all steps.

        Returns:
            Exit code: 0 if every step succeeded, else 1.
        """
        await self._start()
        await self._warm_up()
        await self._check_calls('calls from callers in each zone')
        await self._publish_stale_patch()
        await self._take_zone_out_and_in()
        await self._stop_gracefully()
        sys.stdout.write(f'{"some steps failed" if self._failures else "all steps succeeded"}\n')
        return 1 if self._failures else 0

    async def _start(self) -> None:
        bench_mesh = self._mesh
        bench_mesh.start_log()
        bench_mesh.add_hosts(
            [
                mesh.HostPlan(f'host-{number}', zone, SERVICE)
                for number, zone in enumerate(ZONES, start=1)
            ],
        )
        accepted = await bench_mesh.publish_patch(0, CONFIGURATION)
        self._print_result('patch against number 0 is accepted', accepted, _is_accepted(accepted))
        waited_ms = await bench_mesh.wait_until_config_in_effect(1)
        self._print_result(
            'configuration 1 is in effect on 3 nodes', f'{waited_ms:.0f} ms', succeeded=True
        )
        await bench_mesh.wait_until_serving(len(ZONES))
        self._print_result('each node lists 3 serving hosts', 'state dumps agree', succeeded=True)

    async def _warm_up(self) -> None:
        plan = dataclasses.replace(self._load_plan(), rate_per_second=_WARM_UP_PER_SECOND)
        result = await load.run(plan, self._mesh.reactor)
        answered = result.by_status['200'] + result.by_outcome['not-run']
        step = 'cold backend servers: calls are answered or rejected as not run'
        self._print_result(step, f'{dict(result.by_status)}', succeeded=answered == result.sent)

    async def _check_calls(self, step: str) -> traffic.LoadResult:
        result = await load.run(self._load_plan(), self._mesh.reactor)
        whole = result.by_status['200']
        succeeded = whole == result.sent and not result.wrong and not result.errors
        percentile = result.percentile_ms(99)
        self._print_result(
            step, f'{whole} of {result.sent} complete, p99 {percentile:.1f} ms', succeeded
        )
        return result

    def _load_plan(self) -> traffic.LoadPlan:
        return traffic.LoadPlan(
            addresses=tuple(
                host.caller_address for host in self._mesh.by_id.values() if host.node.running
            ),
            kinds=(
                traffic.RequestKind('sheet', SERVICE, path='/sheets/12', weight=4),
                traffic.RequestKind(
                    'revision',
                    SERVICE,
                    method='POST',
                    path='/revisions/12',
                    body_bytes=512,
                    keyed=True,
                ),
                traffic.RequestKind(
                    'scan',
                    SERVICE,
                    method='POST',
                    path='/scans',
                    body_bytes=200_000,
                    weight=0.2,
                ),
            ),
            rate_per_second=_RATE_PER_SECOND,
            duration_ms=_DURATION_MS,
            seed=_SEED,
        )

    async def _publish_stale_patch(self) -> None:
        refused = await self._mesh.publish_patch(0, {'zones': {ZONES[0]: {'state': 'out'}}})
        succeeded = isinstance(refused, publisher.Refused)
        self._print_result('patch against the stale number 0 is refused', refused, succeeded)

    async def _take_zone_out_and_in(self) -> None:
        await self._set_zone(1, 'out')
        at_start = await self._admitted_calls('host-3')
        await self._check_calls(f'calls while {SWITCHED_ZONE} is out')
        while_out = await self._admitted_calls('host-3')
        self._print_result(
            f'no new calls in {SWITCHED_ZONE}',
            f'{while_out - at_start} calls',
            while_out == at_start,
        )
        await self._set_zone(2, 'in')
        await self._mesh.sleep(_SETTLE_S)
        await self._check_calls(f'calls after {SWITCHED_ZONE} is back in')
        at_end = await self._admitted_calls('host-3')
        self._print_result(
            f'new calls in {SWITCHED_ZONE}', f'{at_end - while_out} calls', at_end > while_out
        )

    async def _set_zone(self, base: int, state: str) -> None:
        accepted = await self._mesh.publish_patch(
            base, {'zones': {SWITCHED_ZONE: {'state': state}}}
        )
        self._print_result(
            f'patch sets {SWITCHED_ZONE} to "{state}"', accepted, _is_accepted(accepted)
        )
        await self._mesh.wait_until_config_in_effect(base + 1)

    async def _stop_gracefully(self) -> None:
        host = self._mesh.by_id['host-2']
        pending_load = load.run(self._load_plan(), self._mesh.reactor)
        await self._mesh.sleep(_SETTLE_S / 4)
        await self._mesh.post(host.operator_address, '/drain', {})
        result = await pending_load
        refused = result.errors['connect_ConnectionRefusedError']
        cut = result.sent - result.by_status['200'] - refused
        not_run = result.by_outcome['not-run']
        errors = dict(result.errors)
        details = f'{cut} of {result.sent} calls incomplete, {not_run} as not run, errors {errors}'
        self._print_result('a node drains while calls run', details, cut == 0)

        async def ended() -> bool:
            return not host.node.running

        waited_ms = await self._mesh.wait_until('the node has ended', ended)
        self._print_result(
            'the drained node ends on its own', f'{waited_ms:.0f} ms later', succeeded=True
        )

    async def _admitted_calls(self, host_id: str) -> int:
        state = await self._mesh.state(host_id)
        return int(state['host']['counters']['admitted'])

    def _print_result(self, step: str, details: object, succeeded: bool) -> None:  # noqa: FBT001
        self._failures += not succeeded
        sys.stdout.write(f'{"ok  " if succeeded else "FAIL"} {step}: {details}\n')


def _is_accepted(result: publisher.Publication) -> bool:
    return isinstance(result, publisher.Accepted)


async def run(reactor: Any) -> int:
    """Run the demonstration on processes that are started for it.

    Args:
        reactor: Twisted reactor.

    Returns:
        Exit code: 0 if every step succeeded, else 1.
    """
    with processes.group() as group:
        return await Demo(mesh.Mesh(reactor, group)).run()
