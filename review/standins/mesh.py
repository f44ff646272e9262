"""Stand-ins of the platform for the cases: store, upstreams, clients and process control.

Only the standard library is used. Everything listens on loopback addresses, one address per
machine. A case writes what was sent, answered and run to `record.txt` in its folder.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import socket
import struct
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from urllib import parse as url_parse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
NODE_COMMAND = ('python3', 'deploy/node.py')  # `run` of deploy/system.toml
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = 'shop.example'
SEAL = '3e1b.07.5a2.600.0.c9f2a4d1'
MEMORY_MB = 300
BOUNDS = {  # of guhachitra-mesh
    'SeedLagS': 3, 'ReuseAfterS': 2, 'ContactMs': 3000, 'AckMs': 4000, 'CatchUpS': 4,
    'DrainMs': 2000, 'GraceS': 6, 'LossSlackMs': 200, 'ConfigApplyMs': 2000,
    'RevertSlackMs': 250, 'CoreStretchMs': 5000, 'RetryBudgetRatio': 0.2, 'BudgetWindowS': 10,
    'RetryBudgetSlack': 62, 'ExposureShare': 0.1, 'ExposureSlack': 50, 'RollbackMs': 5000,
    'ColdFactor': 1.5, 'ColdSlack': 5, 'EvacuateMs': 5000, 'RecoverS': 15, 'ProbesPerS': 60,
}  # fmt: skip


class CaseError(Exception):
    """The case could not run."""


class Record:
    """Writes one line for each event, with the seconds since the start."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._started = time.monotonic()
        self._file = (folder / 'record.txt').open('w', buffering=1)

    @property
    def now(self) -> float:
        """Seconds since the start of the case."""
        return time.monotonic() - self._started

    def write(self, event: str, **fields: object) -> float:
        """Write an event and return its time."""
        now = self.now
        text = ' '.join(f'{name}={value}' for name, value in fields.items())
        self._file.write(f'{now:8.3f} {event} {text}'.rstrip() + '\n')
        return now


class Message:
    """Head and body of an HTTP message."""

    def __init__(self, first_line: str, headers: dict[str, str], body: bytes) -> None:
        self.first_line = first_line
        self.headers = headers
        self.body = body

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.first_line.split(' ')[1])


async def read_message(reader: asyncio.StreamReader, *, with_body: bool = True) -> Message | None:
    """Read a request or response; None at the end of the connection."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(':')
        if colon:
            headers.setdefault(name.lower(), value.strip())
    message = Message(lines[0], headers, b'')
    if with_body:
        message.body = await read_body(reader, headers)
    return message


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Read a body with a length or in chunks."""
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        pieces = []
        while size := int((await reader.readline()).split(b';')[0], 16):
            pieces.append(await reader.readexactly(size))
            await reader.readline()
        await reader.readline()
        return b''.join(pieces)
    return await reader.readexactly(int(headers.get('content-length', 0)))


def head_bytes(first_line: str, headers: dict[str, object]) -> bytes:
    """Return a head with the empty line that ends it."""
    lines = [first_line, *(f'{name}: {value}' for name, value in headers.items()), '', '']
    return '\r\n'.join(lines).encode('latin-1')


def response_bytes(status: int, body: bytes = b'', **headers: object) -> bytes:
    """Return a whole response with a length."""
    named = {name.replace('_', '-'): value for name, value in headers.items()}
    reason = {200: 'OK', 421: 'Misdirected Request', 503: 'Service Unavailable'}.get(status, 'X')
    return head_bytes(f'HTTP/1.1 {status} {reason}', {**named, 'Content-Length': len(body)}) + body


class Store:
    """The platform's store: keyed topics with one partition."""

    def __init__(self) -> None:
        self.address = ''
        self.is_silent = False
        """Whether the store responds to nothing; what it receives then is not done."""
        self._records: dict[str, list[tuple[str, bytes]]] = {}
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self, host: str) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{host}:{port}'

    def put(self, topic: str, key: str, value: object) -> None:
        """Append a record, as the operator does."""
        content = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._records.setdefault(topic, []).append((key, content))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while request := await read_message(reader):
                answer = None if self.is_silent else await self._answer(request)
                if self.is_silent or answer is None:
                    await asyncio.sleep(30)
                    return
                writer.write(answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def restore(self) -> None:
        """Respond again."""
        self.is_silent = False

    async def _answer(self, request: Message) -> bytes:
        target = url_parse.urlsplit(request.first_line.split(' ')[1])
        query = {name: values[0] for name, values in url_parse.parse_qs(target.query).items()}
        records = self._records.setdefault(query['Topic'], [])
        await asyncio.sleep(0.004)
        if target.path == '/-/log-append':
            return self._append(query, records, request.body)
        if target.path == '/-/log-newest':
            return self._newest(records)
        start = int(query['From'])
        if start >= len(records):
            try:
                await asyncio.wait_for(self._changed.wait(), int(query.get('WaitMs', 0)) / 1000)
            except TimeoutError:
                pass
        body = struct.pack('>QQ', len(records), 0)
        for key, value in records[start:]:
            body += struct.pack('>I', 1 + len(key) + len(value)) + bytes((len(key),))
            body += key.encode() + value
        return response_bytes(200, body)

    def _append(self, query: dict[str, str], records: list, body: bytes) -> bytes:
        if 'At' in query and int(query['At']) != len(records):
            return response_bytes(412, json.dumps({'End': len(records)}).encode())
        offset = len(records)
        while body:
            size = struct.unpack('>I', body[:4])[0]
            record, body = body[4 : 4 + size], body[4 + size :]
            key_end = 1 + record[0]
            self.put(query['Topic'], record[1:key_end].decode(), record[key_end:])
        answer = json.dumps({'Offset': offset, 'End': len(records)}).encode()
        return response_bytes(200, answer, Content_Type='application/json')

    def _newest(self, records: list) -> bytes:
        by_key = {}
        for offset, (key, value) in enumerate(records):
            by_key.pop(key, None)
            if value:
                by_key[key] = (value, offset)
        items = [
            {'Key': key, 'Value': base64.b64encode(value).decode(), 'Offset': offset}
            for key, (value, offset) in sorted(by_key.items())
        ]
        page = {'items': items, 'HasMore': False, 'End': len(records)}
        return response_bytes(200, json.dumps(page).encode(), Content_Type='application/json')


class Machine:
    """One machine: the ports of its node, and the node's process."""

    def __init__(self, mesh: Mesh, number: int, service: str) -> None:
        self.name = f'sidecar-zone-a-{number + 1}'
        self.ip = f'127.0.{mesh.network}.{number + 11}'
        self.service = service
        self.process: asyncio.subprocess.Process | None = None
        self.started_at = 0.0
        self.stopped_by_limit = 0
        self._mesh = mesh

    def address(self, name: str) -> str:
        """Return the address of a listener."""
        return f'{self.ip}:{self._mesh.ports[name]}'

    @property
    def pid(self) -> int:
        """Id of the node's process."""
        return self.process.pid

    async def start(self) -> None:
        """Start the node with the command of the deploy file."""
        settings = self._mesh.folder / f'{self.name}.json'
        settings.write_text(json.dumps(self._settings()))
        environment = {name: os.environ[name] for name in ('PATH', 'HOME') if name in os.environ}
        environment |= {
            'ANVILLUG_NODE_FILE': str(settings),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
        }
        log = (self._mesh.folder / f'{self.name}.log').open('a')
        self.process = await asyncio.create_subprocess_exec(
            *NODE_COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        self.started_at = self._mesh.record.write('node-start', machine=self.name, pid=self.pid)

    async def kill(self, number: int = signal.SIGKILL) -> None:
        """Send a signal to the node and wait for its end."""
        self._mesh.record.write('node-signal', machine=self.name, signal=int(number))
        self.process.send_signal(number)
        await self.process.wait()

    async def is_ready(self) -> bool:
        """Ask the readiness address, as the platform does."""
        try:
            answer = await call(self.address('ready'), 'GET', '/-/readiness', {})
        except (OSError, asyncio.IncompleteReadError):
            return False
        return answer is not None and answer.status == 200

    async def control(self, call_name: str, instance: str, content: dict | None) -> int:
        """Send a control call of the upstream; return the status, 0 without an answer."""
        target = f'/-/rpc?call=instances.{call_name}&of={instance}'
        body = b'' if content is None else json.dumps(content).encode()
        headers = {'Content-Type': 'application/json'}
        try:
            answer = await asyncio.wait_for(
                call(self.address('control'), 'POST', target, headers, body), 1
            )
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return 0
        return 0 if answer is None else answer.status

    def rss_mb(self) -> float:
        """Return the process's own memory in MB: private pages, without files that are mapped."""
        for line in pathlib.Path(f'/proc/{self.pid}/status').read_text().splitlines():
            if line.startswith('RssAnon'):
                return int(line.split()[1]) / 1024
        return 0.0

    def _settings(self) -> dict:
        ports = self._mesh.ports
        return {
            'Self': {
                'NodeName': self.name, 'Role': 'node', 'MachineClass': 'sidecar',
                'Serves': ['sidecar'], 'Ip': self.ip, 'Zone': 'zone-a', 'Region': 'region',
                'CountedInFaults': False, 'Bootstrap': True, 'DataDir': None,
                'Limits': {'CpuShare': 0.86, 'Cores': 1, 'MemoryMb': MEMORY_MB, 'MaxFds': 4100,
                           'LinkMbps': 1000.0, 'DiskMb': 0},
                'AppAddr': self.address('app'), 'Service': self.service,
            },
            'Network': {
                'Listen': {'Inbound': self.address('inbound'), 'Outbound': self.address('outbound'),
                           'ReadyAddr': self.address('ready'), 'Control': self.address('control')},
                'InternalPorts': [ports['first'], ports['last']],
                'Seeds': [], 'Zones': {'zone-a': 'region'},
            },
            'Platform': {
                'Discovery': 'static', 'Entry': 'static', 'HeartbeatMs': 1500,
                'Platform': {'Address': self._mesh.store.address, 'form': 'log', 'WritesPerS': 400,
                             'ReadsPerS': 2000, 'keep_s': 300},
            },
            'Terms': {'Contracts': ['base', 'drain', 'config', 'cost', 'retry', 'recover',
                                    'health', 'places', 'rollout', 'platform'],
                      'FaultTolerance': {'Machines': 2, 'Zones': 1, 'Regions': 0},
                      'Bounds': BOUNDS},
        }  # fmt: skip


class Mesh:
    """Store and machines of one case."""

    def __init__(self, record: Record, folder: pathlib.Path, services: list[str]) -> None:
        self.record = record
        self.folder = folder
        self.store = Store()
        self.network = random.randrange(20, 220)
        self.ports = _free_ports(self.network, len(services))
        self.machines = [Machine(self, *item) for item in enumerate(services)]

    async def start(self, config: dict) -> None:
        """Start store and nodes, and wait until all nodes are ready."""
        await self.store.start(f'127.0.{self.network}.2')
        self.store.put('keyed.op', 'config', config)
        for machine in self.machines:
            await machine.start()
        await until(lambda: _all(machine.is_ready() for machine in self.machines), 30)

    async def stop(self) -> None:
        """End the processes that were started."""
        for machine in self.machines:
            if machine.process is not None and machine.process.returncode is None:
                machine.process.kill()
                await machine.process.wait()


class Upstream:
    """An upstream beside a node; cases override `run`."""

    def __init__(self, mesh: Mesh, machine: Machine, instance: str, slots: int = 12) -> None:
        self.mesh = mesh
        self.machine = machine
        self.instance = instance
        self.slots = slots
        self.running = 0
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Accept connections."""
        host, _, port = self.machine.address('app').rpartition(':')
        self._server = await asyncio.start_server(self.serve, host, int(port), limit=1 << 20)

    def heartbeat(self, state: str = 'ready') -> dict:
        """Return the content of the next heartbeat."""
        self.sequence += 1
        return {
            'Service': self.machine.service, 'Address': self.machine.address('app'),
            'Zone': 'zone-a', 'Version': 'v1', 'Slots': self.slots, 'State': state,
            'ColdLeftMs': 0, 'Sequence': self.sequence, 'born': self.born,
        }  # fmt: skip

    async def beat(self, content: dict | None = None) -> int:
        """Send a heartbeat."""
        content = self.heartbeat() if content is None else content
        status = await self.machine.control('heartbeat', self.instance, content)
        self.mesh.record.write(
            'heartbeat', machine=self.machine.name, instance=self.instance,
            sequence=content['Sequence'], state=content['State'], answer=status,
        )  # fmt: skip
        return status

    async def exit(self) -> None:
        """End: close the port and all connections."""
        self._server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()
        self.mesh.record.write('upstream-exit', instance=self.instance)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection, one request at a time."""
        self.writers.add(writer)
        try:
            while request := await read_message(reader):
                await self.handle(request, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    @property
    def load(self) -> str:
        """Value of the load header."""
        return f'{self.running},0,{self.slots},100'

    async def handle(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Answer a health check, or run a request that expects this instance."""
        if request.first_line.startswith('GET /health '):
            writer.write(
                response_bytes(
                    200,
                    Anvillug_Instance_Id=self.instance,
                    Anvillug_Server_Load=self.load,
                )
            )
            return
        attempt = request.headers.get('anvillug-attempt-id', '')
        if request.headers.get('anvillug-expect-instance', self.instance) != self.instance:
            writer.write(
                response_bytes(
                    421, Anvillug_Attempt_Id=attempt, Anvillug_Instance_Id=self.instance
                )
            )
            return
        await self.run(request, attempt, writer)

    async def run(self, request: Message, attempt: str, writer: asyncio.StreamWriter) -> None:
        """Run a request and answer it with proof."""
        raise NotImplementedError

    def answer(self, attempt: str, body: bytes) -> bytes:
        """Return the answer to a request that has run."""
        return response_bytes(
            200,
            body,
            Anvillug_Attempt_Id=attempt,
            Anvillug_Server_Seal=SEAL,
            Anvillug_Server_Load=self.load,
        )


async def call(
    address: str, method: str, target: str, headers: dict[str, object], body: bytes = b''
) -> Message | None:
    """Send one request on a new connection; None if it is closed without an answer."""
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
    try:
        length = {'Content-Length': len(body)} if body or method == 'POST' else {}
        all_headers = {'Host': HOST, **headers, **length}
        writer.write(head_bytes(f'{method} {target} HTTP/1.1', all_headers) + body)
        await writer.drain()
        return await read_message(reader)
    finally:
        writer.close()


async def until(holds: Callable[[], Awaitable[bool]], seconds: float) -> None:
    """Wait until a condition holds."""
    end = time.monotonic() + seconds
    while not await holds():
        if time.monotonic() > end:
            raise CaseError('the mesh did not become ready')
        await asyncio.sleep(0.1)


def config(services: list[str], paths: list[dict], **limits: int) -> dict:
    """Return a configuration of the operator."""
    listed = [
        {'Name': name, 'HealthPath': '/health', 'MaxConnections': 260, 'Protocol': 'h1',
         'Tls': False, 'ColdStartS': 3.0, 'ColdPerS': 43.0}
        for name in services
    ]  # fmt: skip
    all_limits = {'MaxHeaderBytes': 16384, 'MaxBodyBytes': 67108864, 'HeaderTimeoutMs': 3000,
                  'IdleTimeoutMs': 15000, **limits}  # fmt: skip
    return {'Version': '00000007', 'Services': listed, 'Limits': all_limits,
            'VirtualHosts': [{'Host': HOST, 'Paths': paths}]}  # fmt: skip


def route(name: str, kind: str, service: str, **fields: object) -> dict:
    """Return a route like those of the site."""
    return {'Name': name, 'PathPrefix': f'/{name}/', 'Kind': kind, 'Service': service,
            'TimeoutMs': 800, 'TargetLatencyMs': 250, 'Priority': 1, 'MaxAttempts': 2,
            **fields}  # fmt: skip


def main(folder: str, case: Callable[[Record, pathlib.Path, bool], Awaitable[int]]) -> None:
    """Run a case, and exit with its result."""
    # Ends the nodes as well, which `asyncio.run` does when it cancels the case.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    record = Record(pathlib.Path(folder).resolve())
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record.write('case', trouble=int(has_trouble))
    with tempfile.TemporaryDirectory(prefix='anvillug-review-') as scratch:
        try:
            result = asyncio.run(
                asyncio.wait_for(case(record, pathlib.Path(scratch), has_trouble), 110)
            )
        except Exception as error:  # any failure of the case itself says nothing about the rule
            record.write('not-run', reason=repr(error))
            result = NOT_RUN
        if keep := os.environ.get('KEEP_LOGS'):
            for log in pathlib.Path(scratch).glob('*.log'):
                (pathlib.Path(keep) / log.name).write_bytes(log.read_bytes())
    record.write('result', exit=result)
    print(f'exit {result}')
    sys.exit(result)


async def _all(checks) -> bool:
    return all([await check for check in checks])


def _free_ports(network: int, machines: int) -> dict[str, int]:
    """Return ports that are free on all machines."""
    names = ('app', 'inbound', 'outbound', 'ready', 'control', 'first', 'last')
    for _ in range(50):
        base = random.randrange(20000, 30000, 16)
        ports = {name: base + index for index, name in enumerate(names)}
        if all(_is_free(f'127.0.{network}.{host + 11}', port)
               for host in range(machines) for port in ports.values()):  # fmt: skip
            return ports
    raise CaseError('no free ports')


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
        try:
            tcp.bind((host, port))
            udp.bind((host, port))
        except OSError:
            return False
    return True
