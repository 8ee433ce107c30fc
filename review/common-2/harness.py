# Licensed under the Apache License, Version 2.0 (the "License"); you may
# not use this file except in compliance with the License. You may obtain
# a copy of the License at
#
#     http://www.apache.org/licenses/LICENSE-2.0
#
# Unless required by applicable law or agreed to in writing, software
# distributed under the License is distributed on an "AS IS" BASIS, WITHOUT
# WARRANTIES OR CONDITIONS OF ANY KIND, either express or implied. See the
# License for the specific language governing permissions and limitations
# under the License.

"""Starts gateways as separate processes before stand-ins of the platform.

The stand-ins are the project's own and run on an event loop in a thread.
Each gateway reaches the store through a proxy of its own.
"""

import asyncio
import http.client
import itertools
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

from aiohttp import web

from galenahatch.test.standin import proxy
from galenahatch.test.standin import rows
from galenahatch.test.standin import upstreams

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'shop.example'
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
CONTRACTS = [
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
]
LIMITS = {
    'max_header_bytes': 16384,
    'max_body_bytes': 4194304,
    'header_timeout_ms': 3000,
    'idle_timeout_ms': 15000,
}
_IDS = itertools.count(0x51000000)


class CannotRun(Exception):
    """The case could not be run."""


class Store(rows.Store):
    """The project's store, without a header that the pages don't name."""

    @property
    def _headers(self):
        return {}

    def __init__(self):
        super().__init__()
        self.page_rows = 500


class Platform:
    """The platform's side: a loop in a thread, the store and upstreams."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.store = Store()
        self.store_address = self.call(self._serve())
        self.gateways = []

    async def _serve(self):
        runner = web.AppRunner(self.store.app(), shutdown_timeout=0.1)
        await runner.setup()
        site = web.TCPSite(runner, '127.0.0.1', 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        return f'127.0.0.1:{port}'

    def call(self, work):
        """Run a coroutine on the loop and return its result."""
        return asyncio.run_coroutine_threadsafe(work, self.loop).result(20)

    def do(self, work, *args):
        """Call a function on the loop and return its result."""

        async def wrapped():
            return work(*args)

        return self.call(wrapped())

    def put(self, table, key, value):
        """Write a row; return the time of the acknowledgement."""
        self.do(self.store.put, table, key, value)
        return time.monotonic()

    def upstream(self, service, stage='', data_centre='zogno'):
        """Start an upstream and write its entry."""
        made = upstreams.Upstream(service, stage, data_centre)
        self.call(made.start())
        self.put('servers', made.id, made.row())
        return made

    def proxy(self, target):
        """Start a proxy before an address."""
        made = proxy.Proxy(target)
        self.call(made.start())
        return made

    def gateway(self, zone='zogno'):
        """Create a gateway; it isn't started."""
        made = Gateway(self, len(self.gateways), zone)
        self.gateways.append(made)
        return made

    def stop(self):
        """End all processes."""
        for gateway in self.gateways:
            gateway.kill()
        for path in sorted(self.folder.iterdir()):
            path.unlink()
        self.folder.rmdir()


def _free_port(address, port=0):
    with socket.socket() as found:
        found.bind((address, port))
        return found.getsockname()[1]


class Gateway:
    """One gateway on a loopback address of its own."""

    def __init__(self, platform, number, zone):
        process = os.getpid()
        high, low = process // 250 % 200, process % 250
        self.address = f'127.{20 + high}.{low}.{number + 2}'
        self.front = _free_port(self.address)
        self.ready_port = _free_port(self.address)
        self.store_proxy = platform.proxy(platform.store_address)
        self.name = f'front-{zone}-{number + 1}'
        self._settings = platform.folder / f'{self.name}.json'
        self._log = platform.folder / f'{self.name}.log'
        self._process = None
        self._settings.write_text(
            json.dumps(
                {
                    'node_name': self.name,
                    'role': 'gateway',
                    'machine_class': 'front',
                    'serves': ['front'],
                    'ip': self.address,
                    'zone': zone,
                    'region': 'bergamo',
                    'zones': {
                        'zogno': 'bergamo',
                        'dalmine': 'bergamo',
                        'seriate': 'bergamo',
                    },
                    'listen': {
                        'front': f'{self.address}:{self.front}',
                        'readiness': f'{self.address}:{self.ready_port}',
                    },
                    'port_range': [7660, 7675],
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
                    'contracts': CONTRACTS,
                    'fault_tolerance': {
                        'machines': 2,
                        'zones': 0,
                        'regions': 0,
                    },
                    'bounds': BOUNDS,
                    'platform': {
                        'address': self.store_proxy.address,
                        'form': 'table',
                        'writes_per_s': 400,
                        'reads_per_s': 2000,
                        'tx_ms': 5.0,
                        'part_writes_s': 200,
                        'row_bytes': 65536,
                        'across': False,
                        'history_s': 20,
                        'blob_bytes': 8388608,
                        'blob_ms': 25.0,
                        'blob_mb_s': 80.0,
                    },
                }
            )
        )

    def start(self):
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = shlex.split(deploy['roles']['gateway']['run'])
        env = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        env['GALENAHATCH_SETTINGS'] = str(self._settings)
        with self._log.open('ab') as log:
            self._process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number):
        """Send a signal to the process."""
        self._process.send_signal(number)

    @property
    def exit_code(self):
        """Exit code; None while the process runs."""
        return self._process.poll()

    def kill(self):
        """End the process if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
        if self._process is not None:
            self._process.wait()

    @property
    def is_ready(self):
        """Whether it says that it takes callers."""
        try:
            connection = http.client.HTTPConnection(
                self.address, self.ready_port, timeout=1
            )
            connection.request('GET', '/ready')
            return connection.getresponse().status == 200
        except OSError:
            return False

    def log(self):
        """Return what the process wrote."""
        return self._log.read_text(errors='replace')


def start(gateways):
    """Start gateways and wait until all are ready."""
    for gateway in gateways:
        gateway.start()
    until = time.monotonic() + 30
    while not all(gateway.is_ready for gateway in gateways):
        if time.monotonic() > until:
            raise CannotRun('a gateway is not ready')
        time.sleep(0.05)


def route(prefix, kind, service, **more):
    """Return a route of a configuration."""
    return {
        'name': 'r' + prefix.strip('/'),
        'host': HOST,
        'prefix': prefix,
        'kind': kind,
        'timeout_ms': 5000,
        'target_latency_ms': 900,
        'priority': 1,
        'service': service,
        'max_attempts': 1,
        **more,
    }


def configuration(version, routes, services):
    """Return a configuration."""
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': LIMITS,
    }


def plain_service(name):
    """Return a plain service of a configuration."""
    return {'name': name, 'health_path': '/health', 'max_conns': 96}


def model_service(name, **more):
    """Return a model service of a configuration."""
    engine = {
        'slots': 16,
        'kv_tokens': 76702,
        'stride': 10,
        'kv_hold_s': 2.0,
        'switch_s': 1.0,
        **more,
    }
    return {
        'name': name,
        'health_path': '/health',
        'max_conns': 160,
        'engine': engine,
    }


def new_id():
    """Return an id for a request."""
    return f'{next(_IDS):08x}{random.getrandbits(32):08x}'


def headers(request, deadline_ms=5000, prompt=None):
    """Return the headers of a request."""
    found = {
        'Host': HOST,
        'X-Galenahatch-Request-Id': request,
        'X-Galenahatch-Deadline-Ms': str(deadline_ms),
    }
    if prompt:
        tokens, output = prompt
        found['X-Galenahatch-Model'] = 'm'
        found['X-Galenahatch-Token-Count'] = f'{tokens},{output}'
        found['X-Galenahatch-Prompt-Prefix'] = (
            f'5c1e07a2:200,{request}:{tokens - 200}'
        )
    return found


class Answer:
    """What a client got; status 0 if there was no answer."""

    def __init__(self, request, sent_at):
        self.request = request
        self.sent_at = sent_at
        self.answered_at = 0.0
        self.status = 0
        self.stamp = ''
        self.body = b''
        self.detail = ''


def ask(gateway, method, path, deadline_ms=5000, body=None, prompt=None):
    """Send a request on a connection of its own; return its answer."""
    request = new_id()
    answer = Answer(request, time.monotonic())
    connection = http.client.HTTPConnection(
        gateway.address, gateway.front, timeout=deadline_ms / 1000 + 1
    )
    try:
        connection.request(
            method, path, body, headers(request, deadline_ms, prompt)
        )
        response = connection.getresponse()
        answer.status = response.status
        answer.stamp = response.headers.get(
            'X-Galenahatch-Response-Stamp', ''
        )
        answer.body = response.read()
    except (OSError, http.client.HTTPException) as error:
        answer.detail = repr(error)
    finally:
        connection.close()
    answer.answered_at = time.monotonic()
    return answer


class Record:
    """Record of a run; times count from its creation."""

    def __init__(self, path):
        self._file = open(path, 'w')
        self.began_at = time.monotonic()

    def write(self, text, at=None):
        """Write a line."""
        seconds = (time.monotonic() if at is None else at) - self.began_at
        print(f'{seconds:8.3f} {text}', file=self._file, flush=True)


def main(path, run):
    """Run a case, write its record to a file and exit as the review asks."""
    record = Record(path)
    platform = Platform()
    try:
        broken = run(platform, record)
    except Exception as error:
        record.write(f'could not run: {error!r}')
        for gateway in platform.gateways:
            print(gateway.log()[-3000:], file=sys.stderr)
        print(repr(error), file=sys.stderr)
        code = 2
    else:
        record.write('RULE BROKEN' if broken else 'rule held')
        code = int(broken)
        if os.environ.get('LOGS'):
            for gateway in platform.gateways:
                pathlib.Path(
                    os.environ['LOGS'], f'{gateway.name}.log'
                ).write_text(gateway.log())
    finally:
        platform.stop()
    sys.stdout.flush()
    os._exit(code)
