"""The faults, each injected into a scenario at the moment of a step."""

from dataclasses import dataclass

from foxtailhatch.callers.operations import MarkRequest
from foxtailhatch.core import Mark
from tests.durable.fake_log import AppendOutcome
from tests.faults.callers import Publishing
from tests.faults.scenario import (
    ANSWER_STEPS,
    BOOKING_STEPS,
    CHANGE_STEPS,
    document,
)

SLOW_LINK_S = 0.15
SLOW_LOG_S = 0.7
LATE_S = 0.4
OVERTAKEN_S = 0.03
OUTAGE_S = 8.0
LIST_LAG_S = 1.0
PAUSE_S = 15.0
CLAIMANT_PAUSE_S = 70.0
STAGES_OF = {'open-0': 0, 'token-0': 0, 'open-2': 2, 'last-token': 2}
APPEND_STEPS = (*BOOKING_STEPS, *CHANGE_STEPS)
NO_APPEND = 'An answer appends nothing to the log.'


@dataclass(frozen=True)
class Fault:
    """A fault; ``recovers`` if the next token must come in good time.

    ``books`` says that calls that may not repeat are done all the same.
    ``steps`` are those that it applies to, ``reason`` says why not others.
    """

    name: str
    inject: object
    recovers: bool = False
    books: bool = True
    steps: tuple = (*ANSWER_STEPS, *BOOKING_STEPS, *CHANGE_STEPS)
    reason: str = ''


@dataclass
class Leave:
    """An endpoint was told to leave, and came back at ``until``."""

    name: str
    at: float
    until: float = float('inf')


def engine_of(scenario, step):
    return scenario.engine(STAGES_OF.get(step, 1))


def target_of(scenario, step):
    """Return the name of the endpoint that the step is about."""
    if step in BOOKING_STEPS:
        return scenario.desk
    return engine_of(scenario, step).name


def entry_of(scenario, step):
    """Return the entry that the step is at."""
    return scenario.entries[1 if step in CHANGE_STEPS else 0]


def stage_death(scenario, step):
    if step in BOOKING_STEPS:
        scenario.world.services[scenario.desk].dead = True
    else:
        engine_of(scenario, step).die()


def freeze(scenario, step):
    name = target_of(scenario, step)
    scenario.world.loop.pause(name)
    scenario.later(OUTAGE_S, scenario.world.loop.wake, name)


def link_slow(scenario, step):
    links, name = scenario.world.links, target_of(scenario, step)
    links[name] = SLOW_LINK_S
    scenario.later(OUTAGE_S, links.pop, name, None)


def link_cut(scenario, step):
    world, name = scenario.world, target_of(scenario, step)
    for session in getattr(world.engines.get(name), 'links', ()):
        session.silent = True
    world.cut.add(name)
    scenario.later(OUTAGE_S, world.cut.discard, name)


def silent_connection(scenario, step):
    if step in BOOKING_STEPS:
        scenario.world.services[scenario.desk].lose_answers = 1
        return
    for session in engine_of(scenario, step).links:
        session.silent = True


def disturbed(*ways):
    """Return a fault whose next outputs go ``(late_s, copies)``."""

    def inject(scenario, step):
        for session in engine_of(scenario, step).links:
            session.disturb.extend(ways)

    return inject


def entry_death(scenario, step):
    entry_of(scenario, step).die()


def planned_stop(scenario, step):
    entry = entry_of(scenario, step)
    entry.context.copy().run(entry.shutdown.request)
    entry.context.copy().run(entry.shutdown.request)


def endpoint_leaving(scenario, step):
    name = target_of(scenario, step)
    scenario.leaving.append(Leave(name, scenario.world.loop.time()))
    operator = scenario.entries[-1]
    number = len(scenario.leaving)
    mark = MarkRequest(name, Mark.LEAVE, f'leave-{number}')
    operator.spawn(operator.operations.mark(mark))
    instances = scenario.world.instances
    scenario.later(LIST_LAG_S, instances.show_leaving, name)


def log_down(scenario, step):
    log = scenario.world.log
    log.up = False
    scenario.later(OUTAGE_S, setattr, log, 'up', True)


def log_cut(scenario, step):
    cut = scenario.world.cut
    cut.add('log')
    scenario.later(OUTAGE_S, cut.discard, 'log')


def log_slow(scenario, step):
    links = scenario.world.links
    links['log'] = SLOW_LOG_S
    scenario.later(OUTAGE_S, links.pop, 'log', None)


def acknowledgement(fate):
    """Return a fault that gives the next append a fate."""

    def inject(scenario, step):
        world = scenario.world
        world.log.append_outcomes.append(fate)
        scenario.later(1.5, lambda: world.log.apply_delayed(world.wall()))

    return inject


def claimant_paused(scenario, step):
    name = entry_of(scenario, step).name
    pause_s = CLAIMANT_PAUSE_S if step in BOOKING_STEPS else PAUSE_S
    scenario.world.loop.pause(name)
    scenario.later(pause_s, scenario.world.loop.wake, name)


def stale_list(scenario, step):
    """The list goes on to show an endpoint that has died."""
    instances = scenario.world.instances
    instances.freeze()
    scenario.later(4 * OUTAGE_S, setattr, instances, 'stale', None)
    stage_death(scenario, step)


def racing_operators(scenario, step):
    name = f'rival-{len(scenario.racing)}'
    rival = Publishing(scenario.world, name, document(name), 1)
    scenario.racing.append(rival)
    task = rival.run([scenario.entries[-1]])
    scenario.world.loop.create_task(task)


def old_reports(scenario, step):
    for engine in scenario.world.engines.values():
        engine.report_is_old = True


def _lost(name, fate):
    inject = acknowledgement(fate)
    return Fault(name, inject, steps=APPEND_STEPS, reason=NO_APPEND)


FAULTS = (
    Fault('stage death', stage_death, recovers=True, books=False),
    Fault('freeze', freeze, recovers=True, books=False),
    Fault('link slow', link_slow),
    Fault('link cut', link_cut, recovers=True, books=False),
    Fault('silent connection', silent_connection, recovers=True, books=False),
    Fault('late frame', disturbed((LATE_S, 1))),
    Fault('reordered frames', disturbed((OVERTAKEN_S, 1), (0, 1))),
    Fault('duplicated frames', disturbed(*[(0, 2)] * 4)),
    Fault('entry death', entry_death, books=False),
    Fault('planned stop', planned_stop),
    Fault('endpoint leaving', endpoint_leaving),
    Fault('log down', log_down, books=False),
    Fault('log silent', log_cut, books=False),
    Fault('log slow', log_slow, books=False),
    _lost('acknowledgement lost, landed', AppendOutcome.ACK_LOST),
    _lost('acknowledgement lost, not landed', AppendOutcome.REQUEST_LOST),
    _lost('acknowledgement lost, lands late', AppendOutcome.DELAYED),
    Fault('claimant paused', claimant_paused, books=False),
    Fault('stale instance list', stale_list, recovers=True, books=False),
    Fault('racing operators', racing_operators),
    Fault('load reports old', old_reports),
    Fault(
        'cache events with gaps',
        None,
        steps=(),
        reason='No cache event is read yet.',
    ),
)
