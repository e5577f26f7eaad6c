import asyncio

from foxtailhatch.daemon.loops import Loops


def test_a_loop_goes_on_after_a_step_that_raised(caplog):
    """Any exception ended the loop, and the process ran on without it."""
    steps = []

    async def step():
        steps.append(len(steps))
        if len(steps) == 1:
            raise ValueError('not an invariant')

    async def run():
        loops = Loops(steps.append)
        loops.every(0, step)
        while len(steps) < 3:
            await asyncio.sleep(0)
        loops.stop()
        return loops.failures

    assert asyncio.run(run()) == 1
    assert 'a loop failed' in caplog.text
