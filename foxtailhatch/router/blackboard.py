"""The state that the controllers of one router process share."""

import time
from collections import Counter
from collections.abc import Callable, Container
from dataclasses import dataclass, field

from foxtailhatch.fleet import (
    EndpointLoads,
    EndpointReach,
    EndpointTable,
    PeerWork,
    RateLimits,
    Work,
)
from foxtailhatch.fleet.demand import (
    DemandByService,
    DemandByZone,
    DemandEstimate,
    DemandTable,
    OwnDemand,
)
from foxtailhatch.fleet.estimate import WorkByEndpoint
from foxtailhatch.recovery.quarantine import Quarantine
from foxtailhatch.router.caller_channels import CallerChannels
from foxtailhatch.router.entry_table import (
    ENTRY_LIST_TIMEOUT_S,
    MAX_LIST_GAP_S,
    EntryRecord,
    EntryTable,
)
from foxtailhatch.router.load_features import LoadFeatures
from foxtailhatch.router.loop_load import LoopLoad
from foxtailhatch.router.settings import RouterSettings
from foxtailhatch.router.store_outage import StoreOutage
from foxtailhatch.router.work_totals import sum_work
from foxtailhatch.routes import RoutingTable


@dataclass(slots=True)
class Blackboard:
    """The shared state of a router process.

    ``configuration_confirmed_at`` is the latest time at which the
    configuration in force is known to have been the newest.
    ``entries_confirmed_at`` is the same for the heartbeats of the entries, and
    ``heartbeats_missed_until`` the end of the last time in which this entry did not
    read them.
    ``store_epoch`` is the store's epoch at the last read of the configuration,
    and ``stop_requested_at`` is set when a stop is requested.
    ``lease_offered_at`` is when another entry offered the leader lease,
    ``lease_held_since`` when this entry got it, and the counters say how often
    it acquired the lease and handed it over.  ``totals_listeners`` are called
    after each report of the work of other entries.  ``outage`` is what this
    entry knows of the last outage of the store.
    """

    cfg: RouterSettings
    clock: Callable[[], float]
    table: RoutingTable | None = None
    configuration_confirmed_at: float | None = None
    entries_confirmed_at: float | None = None
    heartbeats_missed_until: float = float('-inf')
    stop_requested_at: float | None = None
    store_epoch: int = 0
    lease_offered_at: float | None = None
    lease_held_since: float | None = None
    lease_acquisitions: int = 0
    lease_handovers: int = 0
    endpoints: EndpointTable = field(default_factory=EndpointTable)
    entries: EntryTable = field(default_factory=EntryTable)
    loads: EndpointLoads = field(default_factory=EndpointLoads)
    peer_work: PeerWork = field(default_factory=PeerWork)
    own_demand: OwnDemand = field(default_factory=OwnDemand)
    demand: DemandTable = field(default_factory=DemandTable)
    rate_limits: RateLimits = field(default_factory=RateLimits)
    reach: EndpointReach = field(default_factory=EndpointReach)
    quarantine: Quarantine = field(default_factory=Quarantine)
    channels: CallerChannels = field(default_factory=CallerChannels)
    totals_listeners: list[Callable[[], None]] = field(default_factory=list)
    outage: StoreOutage = field(init=False)
    features: LoadFeatures = field(init=False)
    loop_load: LoopLoad = field(init=False)

    def __post_init__(self) -> None:
        """Derive load features, and measure the load of the loop."""
        self.outage = StoreOutage(self.cfg.bounds)
        self.features = LoadFeatures(lambda: self.table, self.endpoints)
        self.loop_load = LoopLoad(self.cfg.cpu_cores)

    def is_ready(self) -> bool:
        """Return whether this entry can serve callers now."""
        if self.stop_requested_at is not None or self.table is None:
            return False
        age_s = self.configuration_age(self.clock())
        return age_s <= self.cfg.bounds.revocation_s

    def may_miss_heartbeats(self, now: float) -> bool:
        """Return whether an entry may live whose heartbeat is not known.

        After a time in which heartbeats were missed, the next one of each entry
        has come when a list would have lapsed.
        """
        confirmed_at = self.entries_confirmed_at
        if confirmed_at is not None and now - confirmed_at > MAX_LIST_GAP_S:
            return True
        return now - self.heartbeats_missed_until < ENTRY_LIST_TIMEOUT_S

    def is_cut_off_from_engines(self) -> bool:
        """Return whether this entry reaches no engine of a model."""
        services = {} if self.table is None else self.table.services
        return any(
            name in services and services[name].engine is not None
            for name in self.reach.unreached
        )

    def own_entry(self) -> EntryRecord:
        """Return what this entry announces about itself."""
        cfg = self.cfg
        return EntryRecord(
            name=cfg.instance,
            zone=cfg.zone,
            region=cfg.region,
            address=cfg.callers_address,
            peer_address=cfg.peer_address,
            cpu_cores=cfg.cpu_cores,
            is_ready=self.is_ready(),
            unreached=self.reach.unreached,
            load_factor=self.loop_load.factor(self.clock()),
            link_mbps=cfg.link_mbps,
        )

    async def sample_load(self) -> None:
        """Record the lateness of the loop and the processor use."""
        self.loop_load.record(self.clock(), time.process_time())

    def own_work(self) -> dict[str, Work]:
        """Return the work of this entry that others have to know."""
        now = self.clock()
        reported = self.peer_work.limited_names(now)
        rates = self.rate_limits.report(reported, now)
        in_progress = self.loads.in_progress()
        return sum_work((in_progress, rates)) if rates else in_progress

    def own_demand_report(self) -> DemandByService | None:
        """Return the demand at this entry that others have to know.

        It is ``None`` if no service asks for it, or none is configured yet.
        """
        reporting = self.features.reporting_services
        if not reporting:
            return None
        return {
            service: demand
            for service, demand in self.own_demand.report(self.clock()).items()
            if service in reporting
        }

    def update_demand(self, sums: DemandByZone | None, now: float) -> None:
        """Replace the sums of the demand of other entries.

        ``None`` means that the source has no valid ones.
        """
        if sums is None:
            self.demand.invalidate()
        else:
            self.demand.update(sums, now)

    def known_services(self) -> Container[str]:
        """Return the names of the services that are configured."""
        return () if self.table is None else self.table.services

    def demand_estimate(self, now: float) -> DemandEstimate:
        """Return the estimated demand of all entries, by zone."""
        counts = Counter(entry.zone for entry in self.entries.ready(now))
        return DemandEstimate(
            self.cfg.zone, self.own_demand.report(now), self.demand, counts, now
        )

    def update_peer_work(self, work: WorkByEndpoint, now: float) -> None:
        """Replace the report of the work of other entries."""
        self.peer_work.update(work, now)
        self.loads.start_period()
        for listener in self.totals_listeners:
            listener()

    def configuration_age(self, now: float) -> float:
        """Return the time in seconds since the configuration was confirmed.

        It is infinite if there has been no configuration yet.
        """
        if self.configuration_confirmed_at is None:
            return float('inf')
        return now - self.configuration_confirmed_at
