"""Streams that clients take up again after all gateways were killed.

Engines of two software versions serve side by side, and a release replaces
those of the older one. They have left when the gateways are back.
"""

import asyncio
import pathlib
import re
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from common import harness

DEADLINE_MS = 14000
EVENTS = 120
STREAMS = 24
MAX_TRIES = 6
CONNECT_S = 1.0
"""Time that a client allows for a new connection."""
DOWN_S = 2.0
LINGER_S = 0.5
RELEASE_GAP_S = 1.0


class Stream:
    """One stream of a client, over all of its attempts."""

    def __init__(self, world):
        self._world = world
        self.answers = []

    async def run(self, number):
        """Read the stream; take it up at other gateways if it breaks off."""
        world = self._world
        ends_at = harness.now() + DEADLINE_MS / 1000
        more = {}
        for attempt in range(MAX_TRIES):
            gateway = world.gateways[(number + attempt) % len(world.gateways)]
            left_s = ends_at - harness.now()
            answer = await world.ask(
                gateway,
                '/tell/x',
                body=b'p' * 5000,
                deadline_ms=int(left_s * 1000),
                prompt=(5000, 200),
                more=more,
            )
            self.answers.append(answer)
            if answer.status == 200 and answer.is_whole:
                return
            begun = self.parts
            if begun:
                last = re.findall(rb'^id: (\d+)$', begun[-1].body, re.M)[-1]
                more = {
                    'Last-Event-Id': last.decode(),
                    'Resumes': begun[0].id,
                }
            wait_s = float(answer.headers.get('retry-after', 0.1))
            if not answer.status:
                # Nobody takes the connection.
                wait_s = CONNECT_S
            await asyncio.sleep(min(wait_s, (ends_at - harness.now()) / 3))

    @property
    def parts(self):
        """Answers that brought events."""
        return [a for a in self.answers if a.status == 200 and a.body]

    @property
    def versions(self):
        """Versions of the engines that wrote the events, in order."""
        found = re.findall(
            rb'^data: piece \d+ of (\S+)$',
            b''.join(a.body for a in self.parts),
            re.M,
        )
        return list(dict.fromkeys(v.decode() for v in found))


def make_engine(world, stage, version):
    """Return an engine of the one service."""
    return harness.Engine(
        world, 'reader', stage, slots=16, pieces=EVENTS, version=version
    )


async def play(world, is_troubled):
    """Play the case; return whether the rule was broken, and why."""
    config = {
        'version': 1,
        'routes': [
            harness.route(
                '/tell/',
                'streaming',
                'reader',
                14000,
                sticky=True,
                resumable=True,
                max_attempts=2,
                target_latency_ms=900,
                gap_aim_ms=300,
            ),
        ],
        'services': [
            {
                'name': 'reader',
                'health_path': '/health',
                'max_conns': 160,
                'engine': {
                    'slots': 16,
                    'kv_tokens': 766702,
                    'kv_token_bytes': 18432,
                    'link_mbps': 2200000.0,
                    'stride': 1,
                    'kv_hold_s': 0.5,
                    'switch_s': 6.0,
                    'models': [{'name': 'm'}],
                },
            },
        ],
        'limits': harness.LIMITS,
    }
    old = [make_engine(world, s, 'v1') for s in ('prefill', *['decode'] * 2)]
    stages = (*['prefill'] * 2, *['decode'] * 2)
    kept = [make_engine(world, s, 'v1.1') for s in stages]
    await world.begin(config, [*old, *kept], 3)
    streams = [Stream(world) for _ in range(STREAMS)]
    tasks = []
    for number, stream in enumerate(streams):
        tasks.append(asyncio.create_task(stream.run(number)))
        await asyncio.sleep(0.03)
    world.note(f'{STREAMS} streams')

    async def replace(engine):
        successor = make_engine(world, engine.stage, 'v1.1')
        world.engines.append(successor)
        await successor.start()
        await asyncio.sleep(0.3)
        engine.announce_draining()
        world.note(f'{engine.id} (v1) drains, {successor.id} (v1.1) is there')
        await asyncio.sleep(harness.BOUNDS['drain_ms'] / 1000 + LINGER_S)
        while engine.is_busy:
            await asyncio.sleep(0.02)
        engine.leave()
        world.note(f'{engine.id} (v1) has left')

    release = []
    for engine in old:
        if release:
            await asyncio.sleep(RELEASE_GAP_S)
        release.append(asyncio.create_task(replace(engine)))
    await asyncio.sleep(1.2)
    if is_troubled:
        for gateway in world.gateways:
            gateway.signal(signal.SIGKILL)
        world.note('all gateways are killed')
        await asyncio.sleep(DOWN_S)
        for gateway in world.gateways:
            gateway.process.wait()
            gateway.start()
        world.note('all gateways start again')
    await asyncio.gather(*tasks, *release)
    mixed = [s for s in streams if len(s.versions) > 1]
    whole = [s for s in streams if s.answers[-1].is_whole and s.parts]
    for stream in mixed[:3]:
        parts = ', '.join(f'{a.id} ({a.gateway})' for a in stream.parts)
        world.note(f'one stream from {" and ".join(stream.versions)}: {parts}')
    verdict = (
        f'{len(streams)} streams, {len(whole)} ended; {len(mixed)} hold '
        'events of two software versions'
    )
    return len(mixed) > 2, verdict


harness.run(1, play)
