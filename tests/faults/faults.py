"""Faults, each injected into a scenario when a step is reached."""

from dataclasses import dataclass

from foxtailhatch.callers.operations import MarkRequest
from foxtailhatch.core import Mark
from tests.durable.fake_log import AppendOutcome
from tests.faults.callers import PublishClient
from tests.faults.scenario import (
    ANSWER_STEPS,
    BOOKING_STEPS,
    CHANGE_STEPS,
    document,
)

SLOW_LINK_DELAY_S = 0.15
SLOW_LOG_DELAY_S = 0.7
DELAYED_FRAME_S = 0.4
REORDER_DELAY_S = 0.03
OUTAGE_S = 8.0
INSTANCE_LIST_LAG_S = 1.0
PAUSE_S = 15.0
CLAIMANT_PAUSE_S = 70.0
STAGE_OF_STEP = {'open-0': 0, 'token-0': 0, 'open-2': 2, 'last-token': 2}
APPEND_STEPS = (*BOOKING_STEPS, *CHANGE_STEPS)
NO_APPEND = 'An answer appends no log record.'


@dataclass(frozen=True)
class Fault:
    """Fault with the properties that must hold despite it.

    ``recovers`` requires the next token within the recovery bound, and
    ``calls_succeed`` that non-repeatable calls succeed.  ``steps`` lists
    the applicable steps; ``reason`` says why the others are excluded.
    """

    name: str
    inject: object
    recovers: bool = False
    calls_succeed: bool = True
    steps: tuple = (*ANSWER_STEPS, *BOOKING_STEPS, *CHANGE_STEPS)
    reason: str = ''


@dataclass
class LeaveInterval:
    """Time between the leave of an endpoint and its return."""

    name: str
    started_at: float
    ended_at: float = float('inf')


def engine_of(scenario, step):
    return scenario.engine(STAGE_OF_STEP.get(step, 1))


def target_of(scenario, step):
    """Return the name of the endpoint that handles the step."""
    if step in BOOKING_STEPS:
        return scenario.service_endpoint
    return engine_of(scenario, step).name


def entry_of(scenario, step):
    """Return the entry that handles the step."""
    return scenario.entries[1 if step in CHANGE_STEPS else 0]


def kill_stage(scenario, step):
    if step in BOOKING_STEPS:
        scenario.sim.services[scenario.service_endpoint].dead = True
    else:
        engine_of(scenario, step).kill()


def freeze_process(scenario, step):
    name = target_of(scenario, step)
    scenario.sim.loop.pause(name)
    scenario.call_later(OUTAGE_S, scenario.sim.loop.resume, name)


def slow_link(scenario, step):
    delays_s, name = scenario.sim.extra_delays_s, target_of(scenario, step)
    delays_s[name] = SLOW_LINK_DELAY_S
    scenario.call_later(OUTAGE_S, delays_s.pop, name, None)


def cut_link(scenario, step):
    sim, name = scenario.sim, target_of(scenario, step)
    for session in getattr(sim.engines.get(name), 'connections', ()):
        session.silent = True
    sim.unreachable.add(name)
    scenario.call_later(OUTAGE_S, sim.unreachable.discard, name)


def silence_connection(scenario, step):
    if step in BOOKING_STEPS:
        scenario.sim.services[scenario.service_endpoint].responses_to_lose = 1
        return
    for session in engine_of(scenario, step).connections:
        session.silent = True


def disturb_outputs(*disturbances):
    """Return a fault that delivers outputs by ``(delay_s, copies)``."""

    def inject(scenario, step):
        for session in engine_of(scenario, step).connections:
            session.disturbances.extend(disturbances)

    return inject


def kill_entry(scenario, step):
    entry_of(scenario, step).kill()


def request_planned_stop(scenario, step):
    entry = entry_of(scenario, step)
    entry.context.copy().run(entry.shutdown.request)
    entry.context.copy().run(entry.shutdown.request)


def start_endpoint_leave(scenario, step):
    name = target_of(scenario, step)
    scenario.leaves.append(LeaveInterval(name, scenario.sim.loop.time()))
    operator = scenario.entries[-1]
    number = len(scenario.leaves)
    mark = MarkRequest(name, Mark.LEAVE, f'leave-{number}')
    operator.spawn(operator.operations.mark(mark))
    instances = scenario.sim.instances
    scenario.call_later(INSTANCE_LIST_LAG_S, instances.mark_leaving, name)


def stop_log(scenario, step):
    log = scenario.sim.log
    log.up = False
    scenario.call_later(OUTAGE_S, setattr, log, 'up', True)


def cut_log_link(scenario, step):
    unreachable = scenario.sim.unreachable
    unreachable.add('log')
    scenario.call_later(OUTAGE_S, unreachable.discard, 'log')


def slow_log(scenario, step):
    delays_s = scenario.sim.extra_delays_s
    delays_s['log'] = SLOW_LOG_DELAY_S
    scenario.call_later(OUTAGE_S, delays_s.pop, 'log', None)


def set_append_outcome(append_outcome):
    """Return a fault that sets the outcome of the next append."""

    def inject(scenario, step):
        sim = scenario.sim
        sim.log.append_outcomes.append(append_outcome)
        scenario.call_later(1.5, lambda: sim.log.apply_delayed(sim.wall_time()))

    return inject


def pause_claimant(scenario, step):
    name = entry_of(scenario, step).name
    pause_s = CLAIMANT_PAUSE_S if step in BOOKING_STEPS else PAUSE_S
    scenario.sim.loop.pause(name)
    scenario.call_later(pause_s, scenario.sim.loop.resume, name)


def freeze_instance_list(scenario, step):
    """Kill an endpoint that the instance list continues to show."""
    instances = scenario.sim.instances
    instances.freeze()
    scenario.call_later(4 * OUTAGE_S, setattr, instances, 'stale', None)
    kill_stage(scenario, step)


def start_competing_operator(scenario, step):
    name = f'rival-{len(scenario.competitors)}'
    competitor = PublishClient(scenario.sim, name, document(name), 1)
    scenario.competitors.append(competitor)
    task = competitor.run([scenario.entries[-1]])
    scenario.sim.loop.create_task(task)


def freeze_load_reports(scenario, step):
    for engine in scenario.sim.engines.values():
        engine.is_report_frozen = True


def _append_fault(name, append_outcome):
    inject = set_append_outcome(append_outcome)
    return Fault(name, inject, steps=APPEND_STEPS, reason=NO_APPEND)


FAULTS = (
    Fault('stage death', kill_stage, recovers=True, calls_succeed=False),
    Fault('freeze', freeze_process, recovers=True, calls_succeed=False),
    Fault('link slow', slow_link),
    Fault('link cut', cut_link, recovers=True, calls_succeed=False),
    Fault(
        'silent connection',
        silence_connection,
        recovers=True,
        calls_succeed=False,
    ),
    Fault('late frame', disturb_outputs((DELAYED_FRAME_S, 1))),
    Fault('reordered frames', disturb_outputs((REORDER_DELAY_S, 1), (0, 1))),
    Fault('duplicated frames', disturb_outputs(*[(0, 2)] * 4)),
    Fault('entry death', kill_entry, calls_succeed=False),
    Fault('planned stop', request_planned_stop),
    Fault('endpoint leaving', start_endpoint_leave),
    Fault('log down', stop_log, calls_succeed=False),
    Fault('log silent', cut_log_link, calls_succeed=False),
    Fault('log slow', slow_log, calls_succeed=False),
    _append_fault('acknowledgement lost, landed', AppendOutcome.ACK_LOST),
    _append_fault(
        'acknowledgement lost, not landed', AppendOutcome.REQUEST_LOST
    ),
    _append_fault('acknowledgement lost, lands late', AppendOutcome.DELAYED),
    Fault('claimant paused', pause_claimant, calls_succeed=False),
    Fault(
        'stale instance list',
        freeze_instance_list,
        recovers=True,
        calls_succeed=False,
    ),
    Fault('racing operators', start_competing_operator),
    Fault('load reports old', freeze_load_reports),
    Fault(
        'cache events with gaps',
        None,
        steps=(),
        reason='Entries do not read cache events yet.',
    ),
)
