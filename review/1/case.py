"""An upstream rejects requests, and sends late second copies of some of its answers."""

from __future__ import annotations

import asyncio
import collections
import itertools
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / 'standins'))
import mesh as standins  # noqa: E402

DURATION_S = 90
EPISODE_S = 5.0  # for_s of garble with 'extra late'; srv_grey with 'shed' lasts up to 8.5 s
PERIOD_S = 10.0
SHED_SHARE = 0.15  # srv_grey with 'shed': x up to 0.55 on all servers of a service
COPY_SHARE = 0.03  # garble with 'extra late': x 0.03 on 0.6 of the servers, here on one of two
WORK_S = 0.078  # mean of rev-issue
PER_S = 20
DEADLINE_MS = 1500


class Drawbook(standins.Upstream):
    """Rejects part of the requests as not executed, and repeats some answers."""

    def __init__(self, *args, copies: bool) -> None:
        super().__init__(*args)
        self.runs: collections.Counter = collections.Counter()
        self._copies = copies
        self._rng = random.Random(7)
        self._answers = 0
        self._copied = 0
        self._copy_by_connection: dict[object, bytes] = {}

    async def handle(self, request, writer):
        """Send the copy where the next response is expected."""
        copy = self._copy_by_connection.pop(writer, None)
        if copy is not None:
            self.mesh.record.write('copy', of=copy.split(b'Attempt-Id: ')[1].split(b'\r')[0].decode())
            writer.write(copy)
            await writer.drain()
        await super().handle(request, writer)

    async def run(self, request, attempt, writer):
        """Reject a request, or run and answer it."""
        is_faulty = self.mesh.record.now % PERIOD_S < EPISODE_S
        if not is_faulty:
            self._answers = 0
            self._copied = 0
        self._answers += 1
        sheds = is_faulty and self._rng.random() < SHED_SHARE
        if sheds:
            self.mesh.record.write('shed', attempt=attempt)
            answer = standins.response_bytes(
                503, Anvillug_Attempt_Id=attempt, Anvillug_Not_Executed=1,
                Anvillug_Server_Load=self.load,
            )  # fmt: skip
        else:
            self.mesh.record.write('run', attempt=attempt)
            self.runs[attempt] += 1
            self.running += 1
            await asyncio.sleep(WORK_S)
            self.running -= 1
            answer = self.answer(attempt, b'issued')
        writer.write(answer)
        # Its fault is in the code that rejects; the share is that of all its answers.
        if sheds and self._copies and self._copied + 1 <= COPY_SHARE * self._answers:
            self._copied += 1
            self._copy_by_connection[writer] = answer


async def beats(upstream: standins.Upstream) -> None:
    """Send heartbeats."""
    while True:
        await upstream.beat()
        await asyncio.sleep(1.5)


async def one_request(mesh, machine, attempt: str, answers: dict) -> None:
    """Send a request that may run only once."""
    headers = {'Anvillug-Attempt-Id': attempt, 'Anvillug-Deadline-Ms': DEADLINE_MS}
    try:
        answer = await standins.call(machine.address('outbound'), 'POST', '/rev/1', headers, b'r')
        status = 'closed' if answer is None else answer.status
    except (OSError, asyncio.IncompleteReadError):
        status = 'closed'
    mesh.record.write('answer', attempt=attempt, status=status)
    answers[attempt] = status


async def case(record: standins.Record, folder: pathlib.Path, trouble: bool) -> int:
    """Return whether a request was answered 503 and has run, or ran twice."""
    mesh = standins.Mesh(record, folder, ['drawbook', 'fieldvault'])
    answers: dict[str, object] = {}
    tasks = []
    try:
        route = standins.route('rev', 'non_idempotent', 'drawbook')
        await mesh.start(standins.config(['drawbook', 'fieldvault'], [route]))
        upstream = Drawbook(mesh, mesh.machines[0], 'i-a', copies=trouble)
        other = Drawbook(mesh, mesh.machines[1], 'i-f', copies=False)
        for each in (upstream, other):
            await each.listen()
            tasks.append(asyncio.create_task(beats(each)))
        await asyncio.sleep(3)
        for number in itertools.count(1):
            machine = mesh.machines[number % 2]
            tasks.append(asyncio.create_task(one_request(mesh, machine, f'r{number}', answers)))
            await asyncio.sleep(1 / PER_S)
            if number >= DURATION_S * PER_S:
                break
        await asyncio.sleep(2)
    finally:
        for task in tasks:
            task.cancel()
        await mesh.stop()
    if 200 not in answers.values():
        raise standins.CaseError('no request was answered')
    refused = [name for name, status in answers.items() if status in (429, 503) and upstream.runs[name]]
    twice = [name for name, count in upstream.runs.items() if count > 1]
    record.write('summary', refused_and_run=','.join(refused) or '-', twice=','.join(twice) or '-',
                 answers=dict(collections.Counter(answers.values())))  # fmt: skip
    return standins.BROKEN if refused or twice else standins.HELD


standins.main(str(pathlib.Path(__file__).parent), case)
