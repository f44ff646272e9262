"""An upload that crashes each upstream that runs it comes again and again."""

from __future__ import annotations

import asyncio
import hashlib
import itertools
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / 'standins'))
import mesh as standins  # noqa: E402

DURATION_S = 75
BACK_S = 2.0  # 'the upstream is back after some seconds'
AGAIN_S = 3.0  # 'such a request comes again'
CONTACT_S = 3.0  # ContactMs
BOUND = 3  # 'in more than three retries'
PER_S = 30
DEADLINE_MS = 2000
WORK_S = 0.072  # mean of scan-upload
FILE_HEADER = b'CAVESCAN 2 ' + b'calibration of the scanner '.ljust(8192, b'.')
# With 1, all files differ from their first byte on; it shows what the fault depends on.
UNIQUE_START = os.environ.get('UNIQUE_START') == '1'


def scan(number: int) -> bytes:
    """Return a scan of 20 KB, which begins with the header that all files of the scanner have."""
    points = b''.join(hashlib.sha256(b'%d %d' % (number, row)).digest() for row in range(400))
    return points + FILE_HEADER if UNIQUE_START else FILE_HEADER + points


POISON = scan(0)


class Fieldvault(standins.Upstream):
    """Crashes when it begins to run one certain upload, and is back after some seconds."""

    crashes: list[float] = []
    poison_arrivals: list[float] = []

    async def run(self, request, attempt, writer):
        """Run an upload."""
        is_poison = request.body == POISON
        now = self.mesh.record.write(
            'run', attempt=attempt, instance=self.instance, crashes=int(is_poison)
        )
        if is_poison:
            self.poison_arrivals.append(now)
            self.crashes.append(now)
            await self.exit()
            asyncio.get_running_loop().create_task(self._come_back())
            return
        self.running += 1
        await asyncio.sleep(WORK_S)
        self.running -= 1
        writer.write(self.answer(attempt, b'stored'))

    async def _come_back(self) -> None:
        await asyncio.sleep(BACK_S)
        self.running = 0
        self.born = int(time.time() * 1000)
        self.instance = f'{self.instance.partition(".")[0]}.{self.born}'
        self.sequence = 0
        await self.listen()
        await self.beat()


async def beats(upstream: standins.Upstream) -> None:
    """Send heartbeats while the upstream is up."""
    while True:
        if upstream._server.is_serving():
            await upstream.beat()
        await asyncio.sleep(1.5)


async def upload(mesh, machine, attempt: str, body: bytes, answers: list) -> None:
    """Upload a scan."""
    headers = {'Anvillug-Attempt-Id': attempt, 'Anvillug-Deadline-Ms': DEADLINE_MS}
    try:
        answer = await standins.call(machine.address('outbound'), 'POST', '/scan/1', headers, body)
        status = 'closed' if answer is None else answer.status
    except (OSError, asyncio.IncompleteReadError):
        status = 'closed'
    mesh.record.write('answer', attempt=attempt, status=status)
    answers.append((attempt, status))


async def case(record: standins.Record, folder: pathlib.Path, trouble: bool) -> int:
    """Return whether the upload reached upstreams too often after it had crashed the third."""
    mesh = standins.Mesh(record, folder, ['fieldvault', 'fieldvault', 'fieldvault', 'drawbook'])
    answers: list[tuple[str, object]] = []
    tasks = []
    upstreams = []
    try:
        route = standins.route(
            'scan', 'upload', 'fieldvault', TimeoutMs=DEADLINE_MS, TargetLatencyMs=300
        )
        await mesh.start(standins.config(['drawbook', 'fieldvault'], [route]))
        for number, machine in enumerate(mesh.machines[:3]):
            upstreams.append(Fieldvault(mesh, machine, f'i-f{number}'))
            await upstreams[-1].listen()
            tasks.append(asyncio.create_task(beats(upstreams[-1])))
        await asyncio.sleep(3)
        poison_numbers = itertools.count(1)
        poison_at = record.now + AGAIN_S
        end = record.now + DURATION_S
        for number in itertools.count(1):
            if record.now > end:
                break
            if trouble and record.now > poison_at:
                poison_at += AGAIN_S
                again = next(poison_numbers)
                machine = mesh.machines[again % 4]
                coroutine = upload(mesh, machine, f'poison{again}', POISON, answers)
            else:
                machine = mesh.machines[number % 4]
                coroutine = upload(mesh, machine, f'u{number}', scan(number), answers)
            tasks.append(asyncio.create_task(coroutine))
            await asyncio.sleep(1 / PER_S)
        await asyncio.sleep(2.5)
    finally:
        for task in tasks:
            task.cancel()
        await mesh.stop()
    if not any(status == 200 for _, status in answers):
        raise standins.CaseError('no upload was answered')
    crashes = Fieldvault.crashes
    after = 0
    if len(crashes) >= 3:
        after = sum(at > crashes[2] + CONTACT_S for at in Fieldvault.poison_arrivals)
    lost = sum(name[0] == 'u' and status in (502, 504, 'closed') for name, status in answers)
    record.write('summary', crashes=len(crashes), arrivals_after_third=after, other_uploads_lost=lost)
    return standins.BROKEN if after > BOUND else standins.HELD


standins.main(str(pathlib.Path(__file__).parent), case)
