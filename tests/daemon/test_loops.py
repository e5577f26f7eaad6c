import asyncio

from foxtailhatch.daemon.loops import Loops


def test_loop_continues_after_a_step_raised(caplog):
    """An exception in a step must not end the loop while the process runs."""
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
    assert 'periodic step failed; it will run again' in caplog.text
