"""An upstream starts again under its id, leaves, and is sent requests after its leave was acked.

Eight upstreams of one service and a machine with clients. One upstream crashes and is back under
the id that it had. Its first liveness report comes late; before that it deregisters and exits after
its grace, as upstreams do that never report `draining`.
"""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'kit-2'))

import stage as stages

_DOWN_S = 2.0
# The report is sent at the start of the upstream and arrives this much later.
_REPORT_LATE_S = 2.0
# From the start to the planned shutdown.
_SHUTDOWN_AFTER_S = 1.0
_DRAIN_S = 2.0
# "It continues serving for `DrainMs` after the ack and a little longer (at times many seconds)".
_LONGER_S = 2.0
_PERIOD_S = 0.01


async def _clients(stage: stages.Stage, node: stages.Node) -> None:
    while True:
        stage.spawn(stage.request(node, 'POST', '/issue/1', deadline_ms=1500))
        await asyncio.sleep(_PERIOD_S)


async def scene(stage: stages.Stage) -> list[str]:
    # The upstream is the one of the clients' zone, which nodes prefer.
    places = [('kochi-a', 'drawbook')]
    places += [(zone, 'drawbook') for zone in ('kochi-b', 'kochi-c') * 3]
    places += [('kochi-b', 'drawbook')]
    places += [('kochi-a', 'fieldvault')]
    nodes = await stage.start(places)
    node, entry = nodes[0], nodes[-1]
    upstream = node.upstream
    for other in nodes:
        other.upstream.work_s = 0.078
    stage.spawn(_clients(stage, entry))
    await asyncio.sleep(4)

    upstream.beats = False
    if stage.trouble:
        stage.record(f'{node.name}: the upstream crashes')
        upstream.stop()
        await asyncio.sleep(_DOWN_S)
        upstream.born = stages.now_ms()
        upstream.sequence = 0
        await upstream.start()
        stage.record(f'{node.name}: the upstream is back under {upstream.instance}')
        late = upstream.beat_body()
        arrival = stage.spawn(_arrive_late(upstream, late))
    await asyncio.sleep(_SHUTDOWN_AFTER_S)
    upstream.state = 'draining'
    status = await upstream.deregister()
    acked_at = time.monotonic()
    if status != 200:
        raise stages.Unable(f'deregister was answered {status}')
    await asyncio.sleep(_DRAIN_S + _LONGER_S)
    cut = upstream.running
    upstream.stop()
    stage.record(f'{node.name}: the upstream exits, {cut} requests are running')
    if stage.trouble:
        await arrival
    await asyncio.sleep(1.7)

    late_runs = [attempt for at, attempt in upstream.runs if at > acked_at + _DRAIN_S]
    if not late_runs:
        return []
    return [
        f'DRAIN: {len(late_runs)} requests reached {upstream.instance} later than DrainMs after its'
        f' leave was acknowledged; {cut} of them were running when it exited: {late_runs[:3]} ...'
    ]


async def _arrive_late(upstream: stages.Upstream, report: dict) -> None:
    await asyncio.sleep(_REPORT_LATE_S)
    await upstream.send_beat(report)


if __name__ == '__main__':
    stages.play(__file__, scene)
