"""Endpoints that leave by their own word alone, or ask for pauses."""

import asyncio
from random import Random

# Share of the steps with a notice, and the pauses that endpoints ask for.
NOTICE_SHARE = 0.5
PAUSES_S = (0.2, 3.0)
# An endpoint that leaves ends this long after it first says so.
EXIT_S = 6.0


class Notices:
    """Let endpoints leave or pause beside the faults of a run."""

    def __init__(self, world, seed):
        self.chosen = []
        self._world = world
        self._random = Random(f'notices-{seed}')

    async def step(self):
        """Let one endpoint leave or pause, or none."""
        if self._random.random() >= NOTICE_SHARE:
            return
        notice = self._random.choice((self._leave, self._pause, self._pause))
        service = self._random.choice(('llm', 'llm', 'desk'))
        node = self._random.choice(self._world.live_nodes(service))
        self.chosen.append(f'{notice.__name__} {node.name}')
        await notice(node)

    async def _leave(self, node):
        if node.accelerator_kind:
            await self._world.add_engine(node.zone, node.accelerator_kind)
        else:
            await self._world.add_desk(node.zone)
        node.is_leaving = True
        asyncio.get_running_loop().call_later(EXIT_S, node.crash)

    async def _pause(self, node):
        now = asyncio.get_running_loop().time()
        node.paused_until = now + self._random.uniform(*PAUSES_S)
