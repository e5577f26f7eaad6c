"""Measure the share of served requests while a third of a service gives notice.

``python -m tests.soak_router.measure_notices --seed 1 --seeds 2`` plays three runs of
a seed for each service: a third of its endpoints is gone at once, leaves by its
own word, or asks for one pause after the other.  It prints a line for each run.
On a machine where the stand-ins get too little time there are ``stale_configuration``
refusals, and fewer requests; such runs show nothing.
"""

import asyncio
import json
import tempfile
from collections import Counter
from random import Random

import click

from tests.soak_router.client import send_request
from tests.soak_router.notices import EXIT_S
from tests.soak_router.test_router import all_serve
from tests.soak_router.world import ZONES, World, wait_until

MODES = ('gone', 'leaving', 'pausing')
PATHS = {'llm': '/m/x', 'desk': '/read/x'}
DESKS_PER_ZONE = 6
PERIOD_S = 0.04
LOAD_S = 12.0
PAUSES_S = (0.2, 5.0)


async def measure(folder, service, mode, seed):
    """Return the number of requests by outcome, and the broken promises."""
    world = World(folder)
    try:
        await world.start(3)
        for zone in ZONES:
            for _ in range(DESKS_PER_ZONE - 1):
                await world.add_desk(zone)
        await wait_until(lambda: all_serve(world), 'the routers do not serve')
        # All entries have read the list, and layers are laid out by then.
        await asyncio.sleep(3)
        load = asyncio.ensure_future(_run_load(world, PATHS[service]))
        _give_notice(world, service, mode, Random(f'{service}-{seed}'))
        return await load, list(world.pool.violations)
    finally:
        world.stop()


def _give_notice(world, service, mode, random):
    nodes = world.live_nodes(service)
    chosen = random.sample(nodes, len(nodes) // 3)
    loop = asyncio.get_running_loop()
    for node in chosen:
        if mode == 'gone':
            node.crash()
            world.log.put('keyed.servers', node.name, None)
        elif mode == 'leaving':
            node.is_leaving = True
            loop.call_later(EXIT_S, node.crash)
        else:
            _pause(node, Random(f'{node.name}-{random.random()}'))


def _pause(node, random):
    """Ask for one pause after the other until the run ends."""
    loop = asyncio.get_running_loop()
    pause_s = random.uniform(*PAUSES_S)
    node.paused_until = loop.time() + pause_s
    loop.call_later(pause_s + random.uniform(0, 1), _pause, node, random)


async def _run_load(world, path):
    loop = asyncio.get_running_loop()
    end = loop.time() + LOAD_S
    pending = []
    while loop.time() < end:
        number = len(pending)
        router = world.routers[number % len(world.routers)]
        request = send_request(router.address, f'load-{number}', path)
        pending.append(asyncio.ensure_future(request))
        await asyncio.sleep(PERIOD_S)
    responses = await asyncio.gather(*pending)
    return Counter(map(_outcome, responses))


def _outcome(response):
    if not response.is_whole:
        return 'cut'
    if response.status == 200:
        return 'served'
    return json.loads(response.body)['error']


@click.command()
@click.option('--seed', default=1, help='The first seed.')
@click.option('--seeds', default=1, help='Number of seeds.')
@click.option(
    '--service',
    'services',
    multiple=True,
    default=tuple(PATHS),
    type=click.Choice(tuple(PATHS)),
    help='The services to measure; both if none is given.',
)
def main(seed, seeds, services):
    """Print the share of served requests of each run, as a JSON object a line."""
    for number in range(seed, seed + seeds):
        for service in services:
            for mode in MODES:
                folder = tempfile.mkdtemp(prefix=f'notices-{number}-')
                outcomes, broken = asyncio.run(
                    measure(folder, service, mode, number)
                )
                line = {'seed': number, 'service': service, 'mode': mode}
                share = outcomes['served'] / outcomes.total()
                line |= {'share': round(share, 4), 'broken': broken}
                line |= outcomes
                click.echo(json.dumps(line))


if __name__ == '__main__':
    main()
