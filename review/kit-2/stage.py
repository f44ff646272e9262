"""Stage for the scripts of the second review: a small deployment on loopback addresses.

Starts nodes with the command of the deploy file and meets them with stand-ins that follow
PROTOCOL.md and DEPLOY.md: the platform's store, the upstream beside each node, and clients. The
standard library is enough. Nodes are ended by their process ids only.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from urllib import parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'app.example'
_LENGTH = struct.Struct('>I')
_ids = itertools.count(1)
_PIECE_BYTES = 1024 * 1024
_PIECE = b'x' * _PIECE_BYTES


def new_attempt(prefix: str = 'a') -> str:
    return f'{prefix}{next(_ids):06d}'


def now_ms() -> int:
    return time.time_ns() // 1_000_000


def free_ports(ip: str, count: int) -> list[int]:
    sockets = []
    for _ in range(count):
        opened = socket.socket()
        opened.bind((ip, 0))
        sockets.append(opened)
    ports = [opened.getsockname()[1] for opened in sockets]
    for opened in sockets:
        opened.close()
    return ports


class Record:
    """Log of the case: what was sent, answered and run."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.path = folder / 'record.txt'
        self._file = self.path.open('w')
        self.began = time.monotonic()

    def __call__(self, text: str) -> None:
        self._file.write(f'{time.monotonic() - self.began:8.3f} {text}\n')
        self._file.flush()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    raw = await reader.readuntil(b'\r\n\r\n')
    lines = raw.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(':')
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if 'chunked' in headers.get('transfer-encoding', ''):
        parts = []
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            if not size:
                while (await reader.readline()).strip():
                    pass
                return b''.join(parts)
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
    return await reader.readexactly(int(headers.get('content-length', 0)))


def answer(status: int, body: bytes, headers: dict[str, str]) -> bytes:
    lines = [f'HTTP/1.1 {status} Status', f'Content-Length: {len(body)}']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode() + body


class Store:
    """The platform's store, in memory; only the calls of a log that nodes use."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.topics: dict[str, list[tuple[str, bytes]]] = {}
        self.changed = asyncio.Condition()
        self.down = False
        """Whether it is down: connections are accepted and nothing is answered."""
        self.address = ''

    async def start(self, ip: str) -> None:
        server = await asyncio.start_server(self._serve, ip, 0)
        self.address = '%s:%d' % server.sockets[0].getsockname()[:2]

    async def put(self, key: str, value: object | None) -> None:
        """Write a record of the operator."""
        data = b'' if value is None else json.dumps(value).encode()
        await self._append('keyed.op', key, data)
        self.record(f'operator wrote {key}: {value if key != "config" else value["Version"]}')

    async def _append(self, topic: str, key: str, value: bytes) -> int:
        records = self.topics.setdefault(topic, [])
        records.append((key, value))
        async with self.changed:
            self.changed.notify_all()
        return len(records) - 1

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = line.split(' ')
                if self.down:
                    await asyncio.sleep(3600)
                url = parse.urlsplit(target)
                query = {name: values[0] for name, values in parse.parse_qs(url.query).items()}
                status, content = await self._call(url.path, query, body)
                if self.down:
                    await asyncio.sleep(3600)
                writer.write(answer(status, content, {}))
                await writer.drain()
        writer.close()

    async def _call(self, path: str, query: dict[str, str], body: bytes) -> tuple[int, bytes]:
        topic = query.get('Topic', '')
        records = self.topics.setdefault(topic, [])
        await asyncio.sleep(0.004)
        if path == '/-/log-newest':
            newest = {key: (offset, value) for offset, (key, value) in enumerate(records)}
            items = [
                {'Key': key, 'Value': base64.b64encode(value).decode(), 'Offset': offset}
                for key, (offset, value) in sorted(newest.items())
                if value and key > query.get('after', '')
            ]
            page = {'items': items, 'HasMore': False, 'End': len(records)}
            return 200, json.dumps(page).encode()
        if path == '/-/log-read':
            start = int(query['From'])
            until = time.monotonic() + int(query.get('WaitMs', 0)) / 1000
            while len(records) <= start and time.monotonic() < until:
                async with self.changed:
                    with contextlib.suppress(TimeoutError):
                        wait_s = until - time.monotonic()
                        await asyncio.wait_for(self.changed.wait(), max(0.001, wait_s))
            out = struct.pack('>QQ', len(records), 0)
            for key, value in records[start:]:
                content = bytes((len(key),)) + key.encode() + value
                out += _LENGTH.pack(len(content)) + content
            return 200, out
        if path == '/-/log-append':
            if 'At' in query and int(query['At']) != len(records):
                return 412, json.dumps({'End': len(records)}).encode()
            size = _LENGTH.unpack_from(body)[0]
            content = body[4 : 4 + size]
            key_end = 1 + content[0]
            key, value = content[1:key_end].decode(), content[key_end:]
            offset = await self._append(topic, key, value)
            self.record(f'store took {topic} {key} at {offset}')
            return 200, json.dumps({'Offset': offset, 'End': offset + 1}).encode()
        return 404, b''


class Upstream:
    """The upstream beside one node."""

    def __init__(self, record: Record, name: str, ip: str, zone: str, service: str) -> None:
        self.record = record
        self.name, self.ip, self.zone, self.service = name, ip, zone, service
        self.port = free_ports(ip, 1)[0]
        self.instance = f'i-{name}'
        self.born = now_ms()
        self.sequence = 0
        self.state = 'ready'
        self.slots = 12
        self.queue = 48
        self.work_s = 0.02
        self.cold_until = 0.0
        self.cold_since = 0.0
        self.slow = 100
        self.running = 0
        self.runs: list[tuple[float, str]] = []
        """Monotonic time and attempt id of each request that was begun."""
        self.seen: list[tuple[float, str, str]] = []
        """The same with the service that the request names as its caller."""
        self.control = ''
        self.beats = True
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.cold_bound = float('inf')
        """Requests in one second at which it crashes while it is cold."""
        self.crashes = 0
        self.cut: list[str] = []
        """Attempt ids of the requests that were running when it crashed."""
        self._running_ids: set[str] = set()

    @property
    def address(self) -> str:
        return f'{self.ip}:{self.port}'

    async def start(self) -> None:
        self.server = await asyncio.start_server(
            self._serve, self.ip, self.port, reuse_address=True, limit=2**20
        )

    def stop(self) -> None:
        """End at once, with all connections."""
        self.beats = False
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in tuple(self.writers):
            writer.transport.abort()

    def cold_left_ms(self) -> int:
        return max(0, int((self.cold_until - time.monotonic()) * 1000))

    def beat_body(self) -> dict[str, object]:
        """Return what the next liveness report says."""
        self.sequence += 1
        return {
            'Service': self.service,
            'Address': self.address,
            'Zone': self.zone,
            'Version': 'v1',
            'Slots': self.slots,
            'State': self.state,
            'ColdLeftMs': self.cold_left_ms(),
            'Sequence': self.sequence,
            'born': self.born,
        }

    async def send_beat(self, body: dict[str, object] | None = None) -> int:
        """Send a liveness report and return the status of the response."""
        body = self.beat_body() if body is None else body
        target = f'/-/rpc?call=instances.heartbeat&of={self.instance}'
        status = await call(self.control, 'POST', target, json.dumps(body).encode())
        self.record(
            f'{self.name}: report {body["Sequence"]} of {self.instance} {body["State"]}'
            f' cold {body["ColdLeftMs"]} -> {status}'
        )
        return status

    async def deregister(self) -> int:
        target = f'/-/rpc?call=instances.deregister&of={self.instance}'
        status = await call(self.control, 'POST', target, json.dumps({'born': self.born}).encode())
        self.record(f'{self.name}: deregister of {self.instance} -> {status}')
        return status

    async def keep_beating(self, every_s: float = 1.5) -> None:
        while True:
            if self.beats:
                await self.send_beat()
            await asyncio.sleep(every_s * random.uniform(0.95, 1.05))

    def _is_overrun(self) -> bool:
        """Return whether it has got more requests than it tolerates while it is cold."""
        if not self.cold_left_ms():
            return False
        since = time.monotonic() - 1
        recent = 0
        for at, _ in reversed(self.runs):
            if at < max(since, self.cold_since):
                break
            recent += 1
        return recent > self.cold_bound

    async def _crash(self) -> None:
        self.crashes += 1
        self.cut += self._running_ids
        self.record(f'{self.name}: the upstream crashes, {len(self._running_ids)} requests run')
        self._running_ids.clear()
        self.running = 0
        self.stop()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                line, headers = await read_head(reader)
                method, target, _ = line.split(' ')
                body = await read_body(reader, headers)
                load = f'{self.running},0,{self.slots},{self.slow}'
                if target == '/health':
                    head = {'Anvillug-Instance-Id': self.instance, 'Anvillug-Server-Load': load}
                    if self.cold_left_ms():
                        head['Anvillug-Cold-Ms'] = str(self.cold_left_ms())
                    writer.write(answer(200 if self.state == 'ready' else 503, b'', head))
                    continue
                attempt = headers.get('anvillug-attempt-id', '')
                expected = headers.get('anvillug-expect-instance', self.instance)
                if expected != self.instance:
                    head = {'Anvillug-Instance-Id': self.instance}
                    writer.write(answer(421, b'', head))
                    continue
                if self.running >= self.slots + self.queue:
                    head = {'Anvillug-Not-Executed': '1', 'Anvillug-Attempt-Id': attempt}
                    writer.write(answer(503, b'', head))
                    continue
                self.running += 1
                self._running_ids.add(attempt)
                self.runs.append((time.monotonic(), attempt))
                caller = headers.get('anvillug-caller-service', '')
                self.seen.append((time.monotonic(), attempt, caller))
                self.record(f'{self.name}: runs {attempt} {method} {target} {len(body)} bytes')
                if self._is_overrun():
                    await self._crash()
                    return
                try:
                    rounds = 1 + max(0, self.running - self.slots) / self.slots
                    await asyncio.sleep(self.work_s * rounds)
                finally:
                    self.running = max(0, self.running - 1)
                    self._running_ids.discard(attempt)
                content = f'{attempt} by {self.instance}'.encode()
                head = {
                    'Anvillug-Attempt-Id': attempt,
                    'Anvillug-Server-Seal': f'seal.{attempt}',
                    'Anvillug-Server-Load': load,
                }
                if self.state != 'ready':
                    # As in the answers of an upstream that is leaving.
                    head['Connection'] = 'close'
                writer.write(answer(200, content, head))
                await writer.drain()
                if self.state != 'ready':
                    break
        self.writers.discard(writer)
        writer.close()


async def call(address: str, method: str, target: str, body: bytes = b'') -> int:
    """Make a call to a node's interface and return the status, 0 without an answer."""
    ip, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(5):
            reader, writer = await asyncio.open_connection(ip, int(port))
            head = f'{method} {target} HTTP/1.1\r\nHost: node\r\nContent-Type: application/json\r\n'
            writer.write(f'{head}Content-Length: {len(body)}\r\n\r\n'.encode() + body)
            line, headers = await read_head(reader)
            await read_body(reader, headers)
            writer.close()
            return int(line.split(' ')[1])
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0


class Node:
    """One node process, started with the command of the deploy file."""

    def __init__(self, stage: Stage, name: str, ip: str, zone: str, service: str) -> None:
        self.stage = stage
        self.name, self.ip, self.zone, self.service = name, ip, zone, service
        names = ('inbound', 'outbound', 'ready', 'control', 'beacon', 'metrics')
        self.ports = dict(zip(names, free_ports(ip, len(names)), strict=True))
        self.upstream = Upstream(stage.record, name, ip, zone, service)
        self.upstream.control = f'{ip}:{self.ports["control"]}'
        self.process: asyncio.subprocess.Process | None = None
        self.settings = stage.folder / f'{name}.json'
        self.log = stage.folder / f'{name}.log'
        self.memory_mb = 300
        self.starts = 0
        self.peak_kb = 0
        """Largest peak of a process's memory in KB that `Stage.keep_memory` has seen."""
        self.own_ends = 0
        """Ends that `Stage.keep_memory` has seen."""

    @property
    def outbound(self) -> tuple[str, int]:
        return self.ip, self.ports['outbound']

    def write_settings(self) -> None:
        ip, ports = self.ip, self.ports
        settings = {
            'Self': {
                'NodeName': self.name, 'Role': 'node', 'MachineClass': 'sidecar',
                'Serves': ['sidecar'], 'Ip': ip, 'Zone': self.zone, 'Region': 'kochi',
                'CountedInFaults': False, 'Bootstrap': not self.starts, 'DataDir': None,
                'Limits': {'CpuShare': 0.86, 'Cores': 1, 'MemoryMb': self.memory_mb,
                           'MaxFds': 4100, 'LinkMbps': 1000.0, 'DiskMb': 0},
                'AppAddr': self.upstream.address, 'Service': self.service,
            },
            'Network': {
                'Listen': {'Inbound': f'{ip}:{ports["inbound"]}',
                           'Outbound': f'{ip}:{ports["outbound"]}',
                           'ReadyAddr': f'{ip}:{ports["ready"]}',
                           'Control': f'{ip}:{ports["control"]}'},
                'InternalPorts': [ports['beacon'], ports['metrics']], 'Seeds': [],
                'Zones': {zone: 'kochi' for zone in self.stage.zones},
            },
            'Platform': {
                'Discovery': 'static', 'Entry': 'static', 'HeartbeatMs': 1500,
                'Platform': {'Address': self.stage.store.address, 'form': 'log',
                             'WritesPerS': 400, 'ReadsPerS': 2000, 'parts': 8, 'AppendMs': 4.0,
                             'PartMbPerS': 20.0, 'ReadMbPerS': 80.0, 'RecordBytes': 262144,
                             'CallBytes': 2097152, 'keep_s': 20, 'PartMb': 200, 'TtlMinMs': 1000},
            },
            'Terms': {
                'Contracts': self.stage.contracts,
                'FaultTolerance': {'Machines': 2, 'Zones': 1, 'Regions': 0},
                'Bounds': BOUNDS,
            },
        }
        self.settings.write_text(json.dumps(settings))

    async def start(self) -> None:
        self.write_settings()
        self.starts += 1
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = deploy['roles']['node']['run'].split()
        env = {name: os.environ[name] for name in ('PATH', 'HOME', 'LANG') if name in os.environ}
        env['ANVILLUG_NODE_FILE'] = str(self.settings)
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        with self.log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.stage.record(f'{self.name}: process {self.starts} started')

    def signal(self, number: int) -> None:
        self.stage.record(f'{self.name}: {signal.Signals(number).name}')
        self.process.send_signal(number)

    async def kill(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.signal(signal.SIGKILL)
            await self.process.wait()

    async def is_ready(self) -> bool:
        return await call(f'{self.ip}:{self.ports["ready"]}', 'GET', '/-/readiness') == 200

    def memory_peak_kb(self) -> int:
        """Return the peak of the process's memory in KB; mapped files don't count."""
        return self.status_kb('VmHWM') - self.status_kb('RssFile')

    def status_kb(self, field: str) -> int:
        """Return a field of the process's status in KB, 0 if it has ended."""
        try:
            text = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        except OSError:
            return 0
        for line in text.splitlines():
            if line.startswith(f'{field}:'):
                return int(line.split()[1])
        return 0


BOUNDS = {
    'SeedLagS': 3, 'ReuseAfterS': 2, 'ContactMs': 3000, 'AckMs': 4000, 'CatchUpS': 4,
    'DrainMs': 2000, 'GraceS': 6, 'LossSlackMs': 200, 'ConfigApplyMs': 2000,
    'RevertSlackMs': 250, 'CoreStretchMs': 5000, 'RetryBudgetRatio': 0.2, 'BudgetWindowS': 10,
    'RetryBudgetSlack': 62, 'ExposureShare': 0.1, 'ExposureSlack': 50, 'RollbackMs': 5000,
    'ColdFactor': 1.5, 'ColdSlack': 5, 'EvacuateMs': 5000, 'RecoverS': 15, 'ProbesPerS': 60,
}


class Stage:
    """A deployment of a few machines."""

    def __init__(self, case: pathlib.Path) -> None:
        self.case = case
        self.trouble = os.environ.get('TROUBLE') != '0'
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='anvillug-case-'))
        self.record = Record(case)
        self.store = Store(self.record)
        self.nodes: dict[str, Node] = {}
        self.zones = ['kochi-a', 'kochi-b', 'kochi-c']
        self.tasks: list[asyncio.Task] = []
        # Starts of processes aren't cancelled: one half done would leave a process behind.
        self.starting: list[asyncio.Task] = []
        self.contracts = ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'health',
                          'places', 'rollout', 'platform']

    def spawn(self, coroutine) -> asyncio.Task:
        task = asyncio.create_task(coroutine)
        self.tasks.append(task)
        return task

    def config(self, version: int, services: list[str], service: str = '') -> dict:
        """Return a configuration: a route to repeat, one that runs once, and one for uploads."""
        service = service or services[0]
        common = {'Service': service, 'MaxAttempts': 2, 'Priority': 1, 'TargetLatencyMs': 250}
        paths = [
            {'Name': 'view', 'PathPrefix': '/view/', 'Kind': 'idempotent', 'TimeoutMs': 1200},
            {'Name': 'issue', 'PathPrefix': '/issue/', 'Kind': 'non_idempotent', 'TimeoutMs': 1500},
            {'Name': 'upload', 'PathPrefix': '/upload/', 'Kind': 'upload', 'TimeoutMs': 5000},
        ]
        return {
            'Version': f'{version:08x}',
            'Services': [
                {'Name': name, 'HealthPath': '/health', 'MaxConnections': 260, 'Protocol': 'h1',
                 'Tls': False, 'ColdStartS': 3.0, 'ColdPerS': 43.0}
                for name in services
            ],
            'Limits': {'MaxHeaderBytes': 16384, 'MaxBodyBytes': 67108864,
                       'HeaderTimeoutMs': 3000, 'IdleTimeoutMs': 15000},
            'VirtualHosts': [{'Host': HOST, 'Paths': [{**common, **path} for path in paths]}],
        }

    async def start(
        self, places: list[tuple[str, str]], config: dict | None = None, memory_mb: int = 300
    ) -> list[Node]:
        """Start the store, a node and an upstream for each zone and service, and wait for them."""
        await self.store.start('127.0.0.1')
        services = sorted({service for _, service in places})
        await self.store.put('config', config or self.config(1, services))
        for number, (zone, service) in enumerate(places, 1):
            name = f'sidecar-{zone}-{number}'
            node = Node(self, name, f'127.0.0.{10 + number}', zone, service)
            node.memory_mb = memory_mb
            self.nodes[name] = node
        for node in self.nodes.values():
            await node.upstream.start()
            await node.start()
        for node in self.nodes.values():
            await self.until_ready(node)
            self.spawn(node.upstream.keep_beating())
        await asyncio.sleep(2.5)
        return list(self.nodes.values())

    async def until_ready(self, node: Node, within_s: float = 15) -> None:
        until = time.monotonic() + within_s
        while not await node.is_ready():
            if time.monotonic() > until:
                raise Unable(f'{node.name} is not ready')
            await asyncio.sleep(0.1)

    async def request(
        self, node: Node, method: str, path: str, *, deadline_ms: int = 2000, body: bytes = b'',
        attempt: str = '',
    ) -> tuple[int, dict[str, str], bytes]:
        """Send a request as a client of a node's machine; status 0 stands for a closed connection,
        -1 for no answer by the deadline."""
        attempt = attempt or f'a{next(_ids):06d}'
        head = (
            f'{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAnvillug-Attempt-Id: {attempt}\r\n'
            f'Anvillug-Deadline-Ms: {deadline_ms}\r\n'
        )
        if body or method == 'POST':
            head += f'Content-Length: {len(body)}\r\n'
        began = time.monotonic()
        status, headers, content = 0, {}, b''
        writer = None
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 0.5):
                reader, writer = await asyncio.open_connection(*node.outbound, limit=2**20)
                writer.write(head.encode() + b'\r\n' + body)
                line, headers = await read_head(reader)
                status = int(line.split(' ')[1])
                content = await read_body(reader, headers)
        except TimeoutError:
            status = -1
        except (OSError, asyncio.IncompleteReadError):
            status = 0
        finally:
            if writer is not None:
                writer.transport.abort()
        took_ms = int((time.monotonic() - began) * 1000)
        self.record(f'client at {node.name}: {attempt} {method} {path} -> {status} {took_ms} ms')
        return status, headers, content

    async def upload_and_leave(
        self, node: Node, path: str, size: int, *, deadline_ms: int, leave_ms: int | None
    ) -> int:
        """Send a large body, and leave after a time; return the status, 0 for none, -2 if left."""
        attempt = f'u{next(_ids):06d}'
        head = (
            f'POST {path} HTTP/1.1\r\nHost: {HOST}\r\nAnvillug-Attempt-Id: {attempt}\r\n'
            f'Anvillug-Deadline-Ms: {deadline_ms}\r\nContent-Length: {size}\r\n\r\n'
        )
        began = time.monotonic()
        limit_ms = deadline_ms + 500 if leave_ms is None else leave_ms
        status, writer = 0, None
        try:
            async with asyncio.timeout(limit_ms / 1000):
                reader, writer = await asyncio.open_connection(*node.outbound)
                writer.write(head.encode())
                for _ in range(size // _PIECE_BYTES):
                    writer.write(_PIECE)
                    await writer.drain()
                writer.write(_PIECE[: size % _PIECE_BYTES])
                line, headers = await read_head(reader)
                status = int(line.split(' ')[1])
                await read_body(reader, headers)
        except TimeoutError:
            status = -2
        except (OSError, asyncio.IncompleteReadError):
            status = 0
        finally:
            if writer is not None:
                # As the system does for a client whose process ends with an answer unread.
                linger = struct.pack('ii', 1, 0)
                with contextlib.suppress(OSError, AttributeError):
                    peer = writer.get_extra_info('socket')
                    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                writer.transport.abort()
        took_ms = int((time.monotonic() - began) * 1000)
        shown = 'left' if status == -2 else status
        self.record(
            f'client at {node.name}: {attempt} POST {path} {size} bytes -> {shown} {took_ms} ms'
        )
        return status

    async def keep_memory(self) -> None:
        """Kill each process that exceeds the memory of its machine, and start it again.

        Both as DEPLOY.md says: "A process that exceeds `MemoryMb` is killed"; "A process that exits
        or is killed is restarted after a short delay".
        """
        while True:
            for node in self.nodes.values():
                ended = node.process is not None and node.process.returncode is not None
                peak_kb = 0 if ended or node.process is None else node.memory_peak_kb()
                node.peak_kb = max(node.peak_kb, peak_kb)
                if peak_kb > node.memory_mb * 1024:
                    self.record(
                        f'{node.name}: process {node.starts} holds {peak_kb} KB of'
                        f' {node.memory_mb * 1024}: killed by the platform'
                    )
                    node.process.send_signal(signal.SIGKILL)
                    await node.process.wait()
                    ended = True
                if ended:
                    node.process = None
                    node.own_ends += 1
                    self.record(f'{node.name}: ended by itself, {node.own_ends} times so far')
                    self.starting.append(asyncio.create_task(self._start_again(node)))
            await asyncio.sleep(0.02)

    async def _start_again(self, node: Node) -> None:
        await asyncio.sleep(0.5)
        await node.start()

    async def end(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, *self.starting, return_exceptions=True)
        for node in self.nodes.values():
            await node.kill()
            node.upstream.stop()
        await asyncio.sleep(0.05)
        if os.environ.get('KEEP_LOGS'):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Unable(Exception):
    """The case could not run."""


def play(case: str, scene) -> None:
    """Run a scene, a coroutine function that returns what broke the rule, and exit."""
    stage = Stage(pathlib.Path(case).resolve().parent)

    # Connections that are open at the end are dropped with the event loop.
    sys.unraisablehook = lambda _: None

    async def run() -> list[str]:
        try:
            async with asyncio.timeout(110):
                return await scene(stage)
        finally:
            await stage.end()

    try:
        broken = asyncio.run(run())
    except (Unable, TimeoutError, OSError) as error:
        stage.record(f'the case could not run: {error!r}')
        print(f'could not run: {error!r}')
        sys.exit(2)
    for line in broken:
        stage.record(f'BROKEN {line}')
        print(line)
    stage.record('the rule was broken' if broken else 'the rule held')
    sys.exit(1 if broken else 0)
