"""The state shared by all controllers of one entry."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from foxtailhatch.config import ConfigurationFold, ConfigurationIndex
from foxtailhatch.core import Address, EventKind, HybridClock, Timeline
from foxtailhatch.daemon.logs import EventLog
from foxtailhatch.daemon.metrics import Metrics
from foxtailhatch.daemon.settings import Limits
from foxtailhatch.durable.desired_state import DesiredStateTable
from foxtailhatch.limits import (
    AccountShares,
    AdmissionController,
    AdmissionLimits,
)
from foxtailhatch.membership import EndpointTable, EntryTable, PlannedStop
from foxtailhatch.recovery import EndpointHealth, RetryBudget, StallDetector
from foxtailhatch.recovery.failed_requests import FailedRequests
from foxtailhatch.routing import Pool


@dataclass(slots=True)
class Blackboard:
    """State shared by the controllers; each field is written by one owner.

    ``leaving_endpoints`` names endpoints that reported that they are
    draining and are still to be announced to the peers.  ``listed_peers``
    holds the peer addresses from the live-instance list.  ``index`` is the
    active configuration with its look-up tables, or ``None`` before the
    first one is received.  ``random`` is the only source of randomness, so
    that a seed reproduces a run.
    """

    name: str
    zone: str
    random: Random
    timeline: Timeline
    events: EventLog
    metrics: Metrics
    pool: Pool
    shares: AccountShares
    entries: EntryTable
    stop: PlannedStop
    wall_time: Callable[[], float]
    health: EndpointHealth
    retry_budget: RetryBudget
    retained_bytes: int
    endpoints: EndpointTable = field(default_factory=EndpointTable)
    stall_detector: StallDetector = field(default_factory=StallDetector)
    admission: AdmissionController = field(default_factory=AdmissionController)
    failed_requests: FailedRequests = field(default_factory=FailedRequests)
    fold: ConfigurationFold = field(default_factory=ConfigurationFold)
    desired_states: DesiredStateTable = field(default_factory=DesiredStateTable)
    listed_peers: frozenset[Address] = frozenset()
    leaving_endpoints: list[str] = field(default_factory=list)
    index: ConfigurationIndex | None = None

    def record(self, kind: EventKind, subject: str, detail: str = '') -> None:
        """Record an event at the current wall time."""
        self.events.record(self.wall_time(), kind, subject, detail)


def new_blackboard(
    clock: HybridClock,
    zone: str,
    seed: int,
    entries: EntryTable,
    stop: PlannedStop,
    wall_time: Callable[[], float],
    limits: Limits,
) -> Blackboard:
    """Return a blackboard without endpoints, peers or configuration."""
    random = Random(seed)
    timeline = Timeline(clock, limits.timeline_events)
    admission_limits = AdmissionLimits(
        limits.running_answers, limits.queued_requests
    )
    return Blackboard(
        name=clock.instance,
        zone=zone,
        random=random,
        timeline=timeline,
        events=EventLog(timeline),
        metrics=Metrics(clock.instance),
        pool=Pool(zone),
        shares=AccountShares(clock.instance),
        entries=entries,
        stop=stop,
        wall_time=wall_time,
        admission=AdmissionController(admission_limits),
        health=EndpointHealth(random),
        retry_budget=RetryBudget(random),
        retained_bytes=limits.retained_bytes,
    )
