"""Random schedules of requests and faults, and their minimization."""

from dataclasses import dataclass
from random import Random

from tests.faults.scenario import STEPS
from tests.soak.system import FAULTS_BY_NAME, Soak, check

START_S = 2.0
MEAN_STEP_GAP_S = 0.25
FAULT_PROBABILITY = 0.12
REQUESTS = ('answer', 'booking', 'publish')
REQUEST_WEIGHTS = (6, 3, 1)
SERVICES = ('store-desk', 'gauge-desk')


@dataclass(frozen=True)
class Step:
    """Request or fault at a time; ``fault_step`` is the step it targets."""

    at: float
    number: int
    kind: str
    detail: str = ''
    fault_step: str = ''


def draw(seed, count):
    """Return a random schedule of ``count`` steps."""
    random = Random(seed)
    at = START_S
    steps = []
    for number in range(count):
        at += random.expovariate(1 / MEAN_STEP_GAP_S)
        steps.append(_step(random, at, number))
    return steps


def _step(random, at, number):
    if random.random() < FAULT_PROBABILITY:
        name = random.choice(list(FAULTS_BY_NAME))
        return Step(at, number, 'fault', name, random.choice(STEPS))
    kind = random.choices(REQUESTS, REQUEST_WEIGHTS)[0]
    return Step(at, number, kind, random.choice(SERVICES))


def run(steps):
    """Run a schedule; return the system and the violations."""
    soak = Soak(steps).run()
    return soak, check(soak)


def shrink(steps):
    """Return a smaller schedule that still fails.

    Remove chunks of steps, halving the chunk size after each pass.
    """
    size = len(steps) // 2
    while size:
        start = 0
        while start < len(steps):
            fewer = steps[:start] + steps[start + size :]
            if run(fewer)[1]:
                steps = fewer
            else:
                start += size
        size //= 2
    return steps
