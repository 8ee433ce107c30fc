"""Requests that wait for an engine while their gateway is frozen."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from common import harness

TIMEOUT_MS = 7000
TARGET_MS = 2020
PATIENCE_S = 8.08
FREEZE_S = 3.0
CONTACT_S = 3.0


async def play(world, is_troubled):
    """Play the case; return whether the rule was broken, and why."""
    config = {
        'version': 1,
        'routes': [
            harness.route(
                '/brief/',
                'streaming',
                'reader',
                TIMEOUT_MS,
                sticky=True,
                target_latency_ms=TARGET_MS,
                gap_aim_ms=300,
            ),
        ],
        'services': [
            {
                'name': 'reader',
                'health_path': '/health',
                'max_conns': 160,
                'engine': {
                    'slots': 4,
                    'kv_tokens': 76702,
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
    engines = [
        harness.Engine(world, 'reader', 'prefill', slots=8),
        harness.Engine(world, 'reader', 'prefill', slots=8),
        *(
            harness.Engine(world, 'reader', 'decode', slots=4, pieces=46)
            for _ in range(4)
        ),
    ]
    await world.begin(config, engines, 3)
    _, second, third = world.gateways

    def ask(gateway):
        return asyncio.create_task(
            world.ask(
                gateway,
                '/brief/x',
                body=b'p' * 5000,
                deadline_ms=14000,
                give_up_s=PATIENCE_S,
                prompt=(5000, 50),
            )
        )

    world.note('16 streams to gateway 3')
    tasks = [ask(third) for _ in range(16)]
    await asyncio.sleep(0.2)
    world.note('16 streams to gateway 2')
    mine = [ask(second) for _ in range(16)]
    await asyncio.sleep(0.2)
    if is_troubled:
        second.signal(signal.SIGSTOP)
        world.note('gateway 2 is frozen')
        await asyncio.sleep(FREEZE_S)
        second.signal(signal.SIGCONT)
        world.note('gateway 2 wakes')
        await asyncio.sleep(CONTACT_S)
        later = await ask(second)
        world.note(
            f'a new stream at gateway 2: {later.status}, '
            f'ready: {await second.is_ready()}'
        )
    answers = await asyncio.gather(*tasks, *mine)
    late = [
        a for a in answers if not a.is_answered(a.sent_at + TIMEOUT_MS / 1000)
    ]
    never = [
        a
        for a in late
        if not a.is_answered(a.sent_at + TIMEOUT_MS / 1000 + 0.5)
    ]
    served = sum(a.status == 200 and a.is_whole for a in answers)
    refused = sum(a.status == 503 for a in answers)
    verdict = (
        f'{len(answers)} sent, {served} served, {refused} refused, '
        f'{len(late)} unanswered at timeout_ms, {len(never)} half a second '
        'later'
    )
    return len(never) >= 8 and 2 * len(never) > len(late), verdict


harness.run(2, play)
