"""Stand-ins of the platform, engines and clients for the cases of a review.

They follow the users' pages (PROTOCOL.md): the metadata store with rows and a
feed, engines that register there, and clients. The standard library is all
that they need. The gateways are the project's own program, started with the
command of the deploy file as processes of their own.

All of it runs on addresses of 127.0.0.0/8, one for each machine.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from urllib import parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'shop.example'
HEARTBEAT_S = 1.2
_ENGINE_BACKLOG = 16
PREFIX = 'x-galenahatch-'
BOUNDS = {
    'seed_lag_s': 3,
    'addr_reuse_s': 2,
    'contact_ms': 3000,
    'ack_ms': 4000,
    'catch_up_s': 4,
    'drain_ms': 2000,
    'grace_s': 8,
    'loss_slack_ms': 200,
    'config_apply_ms': 2000,
    'rollback_slack_ms': 250,
    'outer_ms': 5000,
    'retry_budget_ratio': 0.2,
    'budget_window_s': 10,
    'retry_slack': 52,
    'recovery_s': 12,
    'pass_ms': 120,
    'again_s': 3,
    'require_fencing': False,
    'lease_ms': 3000,
    'thaw_ms': 300,
}
"""Those of the sheet of `sites/brembana-hatch.toml`."""
LIMITS = {
    'max_header_bytes': 16384,
    'max_body_bytes': 4194304,
    'header_timeout_ms': 3000,
    'idle_timeout_ms': 15000,
}


def now():
    """Return monotonic seconds."""
    return time.monotonic()


class Addresses:
    """Loopback addresses that no other run uses."""

    def __init__(self):
        high, low = divmod(os.getpid(), 250)
        self._net = f'127.{1 + high % 250}.{low}'
        self._last = 1

    def new(self):
        """Return one more address."""
        self._last += 1
        return f'{self._net}.{self._last}'


def free_port(address):
    """Return a port that is free at an address."""
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


def free_range(address):
    """Return the first of two ports in a row that are free at an address."""
    while True:
        first = free_port(address)
        try:
            with socket.socket() as probe:
                probe.bind((address, first + 1))
                return first
        except (OSError, OverflowError):
            continue


async def read_head(reader):
    """Return the first line and the headers of an HTTP message."""
    raw = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = raw[:-4].split('\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    """Return the body of a message with a length or in chunks."""
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        data = b''
        while True:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            data += (await reader.readexactly(size + 2))[:size]
            if not size:
                return data
    return await reader.readexactly(int(headers.get('content-length', 0)))


def message(first, headers, body=b''):
    """Return an HTTP message whose body has a length."""
    lines = [first, *(f'{k}: {v}' for k, v in headers.items())]
    lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode() + body


class Store:
    """The platform's metadata store: transactions, reads and a feed."""

    TX_S = 0.005

    def __init__(self, address):
        self.host = address
        self.address = ''
        self.ver = 0
        self.rows = {}
        self._changed = asyncio.Event()

    async def start(self):
        """Listen."""
        port = free_port(self.host)
        self._server = await asyncio.start_server(
            self._serve, self.host, port, backlog=512
        )
        self.address = f'{self.host}:{port}'

    def put(self, table, key, value, part=''):
        """Write a row as the operator or an engine does."""
        self.ver += 1
        data = base64.b64encode(json.dumps(value).encode()).decode()
        self.rows[table, part, key] = (self.ver, data)
        self._wake()

    def drop(self, table, key, part=''):
        """Remove a row."""
        self.ver += 1
        self.rows[table, part, key] = (self.ver, None)
        self._wake()

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                status, answer = await self._answer(first, body)
                writer.write(
                    message(
                        f'HTTP/1.1 {status} X',
                        {'Content-Type': 'application/json'},
                        json.dumps(answer).encode(),
                    )
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, first, body):
        method, target, _ = first.split(' ')
        path, _, query = target.partition('?')
        pairs = dict(p.partition('=')[::2] for p in query.split('&') if p)
        pairs = {k: parse.unquote_plus(v) for k, v in pairs.items()}
        if method == 'POST' and path == '/rows-tx':
            await asyncio.sleep(self.TX_S)
            return self._transact(json.loads(body))
        if path == '/rows-get':
            return 200, self._get(pairs)
        if path == '/rows-feed':
            return 200, await self._feed(pairs)
        return 404, {}

    def _whole(self, **fields):
        return {**fields, 'ver': self.ver, 'now_ms': now() * 1000}

    def _transact(self, call):
        stale = []
        for one in call.get('expected', ()):
            key = one['table'], one.get('part', ''), one['key']
            ver, value = self.rows.get(key, (0, None))
            if (ver if value is not None else 0) != one['ver']:
                stale.append(_shown(key, ver, value or ''))
        if stale:
            return 412, self._whole(rows=stale)
        self.ver += 1
        for one in call.get('set_keys', ()):
            key = one['table'], one.get('part', ''), one['key']
            self.rows[key] = (self.ver, one['value'])
        for one in call.get('remove', ()):
            key = one['table'], one.get('part', ''), one['key']
            self.rows[key] = (self.ver, None)
        self._wake()
        return 200, self._whole()

    def _get(self, query):
        start, end = query.get('from', ''), query.get('to', '')
        found = [
            _shown(key, ver, value)
            for key, (ver, value) in sorted(self.rows.items())
            if key[:2] == (query['table'], query.get('part', ''))
            and value is not None
            and key[2] >= start
            and (not end or key[2] < end)
        ]
        limit = min(500, int(query.get('limit', 500)))
        return self._whole(rows=found[:limit], has_more=len(found) > limit)

    async def _feed(self, query):
        after, table = int(query['after']), query['table']
        until = now() + int(query['wait_ms']) / 1000
        while True:
            found = sorted(
                (ver, key, value)
                for key, (ver, value) in self.rows.items()
                if key[0] == table and ver > after
            )
            left = until - now()
            if found or left <= 0:
                shown = [_shown(key, ver, value) for ver, key, value in found]
                return self._whole(rows=shown)
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass


def _shown(key, ver, value):
    table, part, name = key
    shown = {'table': table, 'part': part, 'key': name, 'ver': ver}
    if value is None:
        return {**shown, 'removed': True}
    return {**shown, 'value': value}


class Engine:
    """One engine, which registers in the store.

    Args:
        service: that it belongs to.
        stage: `prefill` or `decode` of a model engine, else empty.
        slots: requests that it processes at once; as many more may wait.
        work: seconds of work for a plain request.
        pieces: parts in which a plain answer is sent while it works, or the
            events of a stream.
        gap: seconds between two events of a stream.
        version: of its software.
    """

    _NUMBERS = iter(range(1, 10000))

    def __init__(
        self,
        world,
        service,
        stage='',
        slots=8,
        work=0.02,
        pieces=1,
        gap=0.05,
        version='v1',
    ):
        self.world = world
        self.version = version
        self.id = f'i-{next(self._NUMBERS):04x}{random.randrange(65536):04x}'
        self.born = int(time.time() * 1000)
        self.service = service
        self.stage = stage
        self.slots = slots
        self.work = work
        self.pieces = pieces
        self.gap = gap
        self.state = 'ready'
        self.is_dark = False
        self.ran = []
        self._running = 0
        self._waiting = 0
        self._free = asyncio.Semaphore(slots)
        self._server = None
        self._writers = set()
        self._fillers = []
        self._dark = asyncio.Event()

    async def start(self):
        """Listen and register."""
        host = self.world.addresses.new()
        port = free_port(host)
        self._server = await asyncio.start_server(
            self._serve, host, port, backlog=_ENGINE_BACKLOG
        )
        self.address = f'{host}:{port}'
        self.register()

    def register(self):
        """Write the entry."""
        row = {
            'service': self.service,
            'address': self.address,
            'zone': 'zogno',
            'version': self.version,
            'slots': self.slots,
            'state': self.state,
            'cold_left_ms': 0,
            'seq_no': 1,
            'born': self.born,
        }
        if self.stage:
            row['stage'] = self.stage
            row['models'] = [{'name': 'm', 'version': 1, 'adapters': []}]
        self.world.store.put('servers', self.id, row)

    def announce_draining(self):
        """Report that it leaves."""
        self.state = 'draining'
        self.register()

    def leave(self):
        """Exit: the entry goes, and all connections are closed."""
        self.world.store.drop('servers', self.id)
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def go_dark(self):
        """Lose power: nothing is answered any more, nothing is closed.

        The platform removes the entry after three heartbeats.
        """
        self.is_dark = True
        self._dark.set()
        loop = asyncio.get_running_loop()
        host, _, port = self.address.rpartition(':')
        for listener in self._server.sockets:
            loop.remove_reader(listener.fileno())
        # The kernel still completes handshakes; it drops them once the queue
        # of new connections is full.
        for _ in range(_ENGINE_BACKLOG + 2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((host, int(port)))
            self._fillers.append(filler)
        await asyncio.sleep(3 * HEARTBEAT_S)
        self.world.store.drop('servers', self.id)

    @property
    def is_busy(self):
        """Whether it works on a request."""
        return self._running + self._waiting > 0

    @property
    def load(self):
        """Its figures of load."""
        return f'{self._running},{self._waiting},{self.slots}'

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while not self.is_dark:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                await self._stop_if_dark()
                method, target, _ = first.split(' ')
                await self._request(
                    method, target, headers, body, reader, writer
                )
            await self._stop_if_dark()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _stop_if_dark(self):
        while self.is_dark:
            await asyncio.sleep(3600)

    async def _request(self, method, target, headers, body, reader, writer):
        if target == '/report':
            report = {
                'stage': self.stage,
                'models': [{'name': 'm', 'version': 1, 'adapters': []}],
                'busy': False,
                'seq_no': 0,
                'queued': self._waiting,
                'active': self._running,
                'kv_used': 0,
                'kv_total': 76702,
                'kv_handles': 0,
                'born': self.born,
            }
            writer.write(
                message(
                    'HTTP/1.1 200 OK',
                    {'Content-Type': 'application/json'},
                    json.dumps(report).encode(),
                )
            )
            return
        if target == '/order':
            # A stage change is taken and never begins: stages stay.
            writer.write(message('HTTP/1.1 409 Conflict', {}))
            return
        if target.startswith('/kv-handle/'):
            writer.write(message('HTTP/1.1 200 OK', {}))
            return
        if target == '/health':
            named = {'X-Galenahatch-Instance-Id': self.id}
            writer.write(message('HTTP/1.1 200 OK', named))
            return
        request = headers.get(PREFIX + 'request-id', '')
        if headers.get(PREFIX + 'expect-instance', self.id) != self.id:
            self._refuse(writer, request, '421 Misdirected Request')
            return
        stage = headers.get(PREFIX + 'stage', 'decode')
        if self.stage and stage != self.stage:
            self._refuse(writer, request, '421 Misdirected Request')
            return
        if self._waiting >= self.slots:
            self._refuse(writer, request, '503 Service Unavailable')
            return
        self._waiting += 1
        left = asyncio.ensure_future(reader.read(1))
        try:
            await self._run(request, headers, writer, left)
        finally:
            left.cancel()
            try:
                await left
            except (asyncio.CancelledError, ConnectionError):
                pass

    async def _run(self, request, headers, writer, left):
        """Wait for a slot and run; stop if the caller closes."""
        taken = asyncio.ensure_future(self._free.acquire())
        await asyncio.wait((taken, left), return_when=asyncio.FIRST_COMPLETED)
        self._waiting -= 1
        if not taken.done():
            taken.cancel()
            raise ConnectionResetError
        self._running += 1
        entry = {'id': request, 'at': now(), 'ended': ''}
        try:
            if self.stage == 'prefill':
                await self._prefill(request, headers, writer, left)
                return
            self.ran.append(entry)
            serve = self._stream if self.stage else self._plain
            await serve(request, headers, writer, left)
            entry['ended'] = 'answered'
        except ConnectionError:
            entry['ended'] = 'dropped'
            raise
        finally:
            self._running -= 1
            self._free.release()

    async def _pause(self, seconds, left):
        """Work; stop if the caller closes or the power goes."""
        dark = asyncio.ensure_future(self._dark.wait())
        await asyncio.wait(
            (dark, left), timeout=seconds, return_when=asyncio.FIRST_COMPLETED
        )
        dark.cancel()
        await self._stop_if_dark()
        if left.done():
            raise ConnectionResetError

    def _head(self, request):
        return {
            'X-Galenahatch-Request-Id': request,
            'X-Galenahatch-Response-Stamp': f'stamp.{self.id}.{request}',
            'X-Galenahatch-Instance-Load': self.load,
        }

    def _refuse(self, writer, request, status):
        writer.write(
            message(
                f'HTTP/1.1 {status}',
                {
                    'X-Galenahatch-Request-Id': request,
                    'X-Galenahatch-Not-Executed': '1',
                    'X-Galenahatch-Instance-Load': self.load,
                },
            )
        )

    async def _prefill(self, request, headers, writer, left):
        await self._pause(0.02, left)
        tokens = int(headers[PREFIX + 'token-count'].split(',')[0])
        handle = f'{random.getrandbits(48):012x}'
        body = {'kv_handle': handle, 'tokens': tokens, 'version': 1}
        writer.write(
            message(
                'HTTP/1.1 200 OK',
                {
                    **self._head(request),
                    'Content-Type': 'application/json',
                },
                json.dumps(body).encode(),
            )
        )

    async def _plain(self, request, headers, writer, left):
        """Work; with several pieces, the answer is sent as it is made."""
        body = (f'answer to {request} ' * 40).encode()[:800]
        whole = message('HTTP/1.1 200 OK', self._head(request), body)
        if self.pieces == 1:
            await self._pause(self.work, left)
            writer.write(whole)
            return
        size = len(body) // self.pieces
        cut = len(whole) - len(body)
        writer.write(whole[: cut + size])
        for number in range(1, self.pieces):
            await self._pause(self.work / (self.pieces - 1), left)
            begin = cut + number * size
            is_last = number == self.pieces - 1
            writer.write(whole[begin:] if is_last else whole[begin:][:size])

    async def _stream(self, request, headers, writer, left):
        first = int(headers.get('last-event-id') or 0) + 1
        lines = [
            'HTTP/1.1 200 OK',
            *(f'{k}: {v}' for k, v in self._head(request).items()),
            'Content-Type: text/event-stream',
            'Transfer-Encoding: chunked',
        ]
        writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode())
        for number in range(first, self.pieces + 1):
            await self._pause(self.gap, left)
            data = f'piece {number} of {self.version}'
            event = f'id: {number}\ndata: {data}\n\n'.encode()
            writer.write(f'{len(event):x}\r\n'.encode() + event + b'\r\n')
        writer.write(b'0\r\n\r\n')


class Gateway:
    """One gateway process."""

    def __init__(self, world, number):
        self.world = world
        self.address = world.addresses.new()
        self.name = f'front-zogno-{number}'
        self.front = free_port(self.address)
        self.ready_port = free_port(self.address)
        first = free_range(self.address)
        self._file = world.folder / f'{self.name}.json'
        self.log = world.folder / f'{self.name}.log'
        self.process = None
        settings = {
            'node_name': self.name,
            'role': 'gateway',
            'machine_class': 'front',
            'serves': ['front'],
            'ip': self.address,
            'zone': 'zogno',
            'region': 'bergamo',
            'zones': {'zogno': 'bergamo'},
            'listen': {
                'front': f'{self.address}:{self.front}',
                'readiness': f'{self.address}:{self.ready_port}',
            },
            'port_range': [first, first + 1],
            'seeds': [],
            'bootstrap': True,
            'loss_counts': False,
            'limits': {
                'cpu_share': 0.537,
                'cores': 2,
                'memory_mb': 150,
                'max_fds': 4100,
                'link_mbps': 1000.0,
                'disk_mb': 0,
            },
            'data_dir': None,
            'discovery': 'platform',
            'entrypoint': 'vip',
            'heartbeat_ms': 1200,
            'contracts': [
                'base',
                'drain',
                'config',
                'cost',
                'retry',
                'recover',
                'split',
                'stream',
                'engine',
                'platform',
            ],
            'fault_tolerance': {'machines': 2, 'zones': 0, 'regions': 0},
            'bounds': BOUNDS,
            'platform': {
                'address': world.store.address,
                'form': 'table',
                'writes_per_s': 400,
                'reads_per_s': 2000,
                'tx_ms': 5.0,
                'part_writes_s': 200,
                'row_bytes': 65536,
                'across': False,
                'history_s': 20,
            },
        }
        self._file.write_text(json.dumps(settings))

    def start(self):
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        command = deploy['roles']['gateway']['run'].split()
        kept = ('PATH', 'HOME', 'LANG')
        env = {k: os.environ[k] for k in kept if k in os.environ}
        env['GALENAHATCH_SETTINGS'] = str(self._file)
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def signal(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    def end(self):
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        """Return whether it takes callers."""
        try:
            reader, writer = await asyncio.open_connection(
                self.address, self.ready_port
            )
        except OSError:
            return False
        try:
            writer.write(b'GET /ready HTTP/1.1\r\nHost: x\r\n\r\n')
            first, _ = await asyncio.wait_for(read_head(reader), 2)
            return ' 200 ' in first
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.close()


class Answer:
    """What a client got for one request.

    Attributes:
        first_at: when the head of the answer, or the first event, had come.
    """

    def __init__(self, request, gateway, path):
        self.id = request
        self.gateway = gateway.name
        self.path = path
        self.sent_at = now()
        self.first_at = None
        self.ended_at = None
        self.status = 0
        self.detail = ''
        self.is_whole = False
        self.headers = {}
        self.body = b''

    def is_answered(self, at):
        """Return whether the final answer had come by a time."""
        return self.ended_at is not None and self.ended_at <= at


class World:
    """Store, engines, gateways and clients of one case."""

    def __init__(self, number):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix=f'review{number}-'))
        self.addresses = Addresses()
        self.store = Store(self.addresses.new())
        self.engines = []
        self.gateways = []
        self.answers = []
        self.notes = []
        self.began_at = now()
        self._case = ROOT / 'review' / str(number)

    def note(self, text):
        """Add a line with its time to the record."""
        self.notes.append(f'{now() - self.began_at:8.3f} {text}')
        print(self.notes[-1], flush=True)

    async def begin(self, config, engines, gateways):
        """Start everything; the first gateway is ready before the others."""
        await self.store.start()
        self.store.put('op', 'config', config)
        for engine in engines:
            self.engines.append(engine)
            await engine.start()
        for number in range(1, gateways + 1):
            gateway = Gateway(self, number)
            self.gateways.append(gateway)
            gateway.start()
            await self.wait_ready(gateway)
        # Members have to see each other's rows, which they read each second.
        await asyncio.sleep(2.5)

    async def wait_ready(self, gateway, timeout=30.0):
        """Wait until a gateway takes callers."""
        until = now() + timeout
        while not await gateway.is_ready():
            if now() > until:
                raise RuntimeError(f'{gateway.name} is not ready')
            await asyncio.sleep(0.05)

    async def ask(
        self,
        gateway,
        path,
        method='POST',
        body=b'',
        deadline_ms=600,
        give_up_s=None,
        prompt=None,
        more=None,
    ):
        """Send a request on a connection of its own; return its answer.

        Args:
            give_up_s: seconds after which the client leaves.
            prompt: tokens of the prompt and of the answer; None for a plain
                request.
            more: headers besides.
        """
        request = f'{random.getrandbits(64):016x}'
        answer = Answer(request, gateway, path)
        self.answers.append(answer)
        headers = {
            'Host': HOST,
            'X-Galenahatch-Request-Id': request,
            'X-Galenahatch-Deadline-Ms': str(deadline_ms),
        }
        if prompt is not None:
            headers['X-Galenahatch-Model'] = 'm'
            headers['X-Galenahatch-Token-Count'] = f'{prompt[0]},{prompt[1]}'
            own = f'{random.getrandbits(32):08x}'
            headers['X-Galenahatch-Prompt-Prefix'] = (
                f'5c1e07a2:200,{own}:{prompt[0] - 200}'
            )
        headers.update(more or {})
        try:
            await asyncio.wait_for(
                self._exchange(gateway, method, path, headers, body, answer),
                give_up_s or deadline_ms / 1000,
            )
        except asyncio.TimeoutError:
            answer.detail = 'client gave up'
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            answer.detail = f'{type(error).__name__}'
            answer.ended_at = now()
        return answer

    async def _exchange(self, gateway, method, path, headers, body, answer):
        reader, writer = await asyncio.open_connection(
            gateway.address, gateway.front
        )
        try:
            writer.write(message(f'{method} {path} HTTP/1.1', headers, body))
            first, answer.headers = await read_head(reader)
            answer.first_at = now()
            answer.status = int(first.split(' ')[1])
            if 'event-stream' in answer.headers.get('content-type', ''):
                await self._read_events(reader, answer)
            else:
                answer.body = await read_body(reader, answer.headers)
            answer.is_whole = True
            answer.ended_at = now()
        finally:
            writer.transport.abort()

    async def _read_events(self, reader, answer):
        """Read a stream in chunks; what has come is kept if it breaks."""
        answer.first_at = None
        while True:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            answer.body += (await reader.readexactly(size + 2))[:size]
            if not size:
                return
            answer.first_at = answer.first_at or now()

    def end(self, verdict):
        """End all processes and write the record."""
        for gateway in self.gateways:
            gateway.end()
        lines = list(self.notes)
        lines.append('')
        lines.append('requests: id, gateway, path, sent, first byte, end,')
        lines.append('status, whole, detail, runs at engines')
        runs = {}
        for engine in self.engines:
            for run in engine.ran:
                when = run['at'] - self.began_at
                runs.setdefault(run['id'], []).append(
                    f'{engine.id} at {when:.3f} {run["ended"] or "unfinished"}'
                )
        for one in self.answers:
            times = ' '.join(
                f'{t - self.began_at:.3f}' if t is not None else '-'
                for t in (one.sent_at, one.first_at, one.ended_at)
            )
            ran = ', '.join(runs.get(one.id, ())) or 'no run'
            lines.append(
                f'{one.id} {one.gateway} {one.path} {times} {one.status} '
                f'{"whole" if one.is_whole else "-"} {one.detail or "-"}; {ran}'
            )
        lines.append('')
        lines.append(verdict)
        (self._case / 'record.txt').write_text('\n'.join(lines) + '\n')
        kept = os.environ.get('KEEP_LOGS')
        if kept:
            shutil.copytree(self.folder, kept, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def route(prefix, kind, service, timeout_ms, **more):
    """Return a route of the configuration."""
    return {
        'name': 'r' + prefix.replace('/', '-'),
        'host': HOST,
        'prefix': prefix,
        'kind': kind,
        'timeout_ms': timeout_ms,
        'target_latency_ms': 900,
        'priority': 1,
        'service': service,
        'max_attempts': 1,
        **more,
    }


def run(number, play):
    """Play a case; exit with 1 if the rule was broken, 0 if it held."""
    is_troubled = os.environ.get('TROUBLE', '1') != '0'

    async def whole():
        world = World(number)
        world.note(f'trouble: {"on" if is_troubled else "off"}')
        broken = None
        verdict = 'could not run'
        try:
            broken, verdict = await play(world, is_troubled)
        finally:
            world.end(verdict)
        print(verdict, flush=True)
        # Tasks of the stand-ins are not waited for.
        os._exit(1 if broken else 0)

    def stop(*_):
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, stop)
    try:
        asyncio.run(whole())
    except BaseException as error:
        print(f'could not run: {error!r}', file=sys.stderr)
    os._exit(2)
