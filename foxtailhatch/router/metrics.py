"""Counters and histograms of the router, in the Prometheus text format."""

import resource
from collections.abc import Iterable, Mapping
from dataclasses import asdict

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from foxtailhatch.core import check_counts
from foxtailhatch.fleet import Availability
from foxtailhatch.fleet.demand import RankDemand

INFINITY = float('inf')
FIRST_BYTE_BUCKETS_S = [0.05, 0.1, 0.2, 0.3, 0.5, 0.54, 1, 2, 5, INFINITY]
RESPONSE_BUCKETS_S = [0.1, 0.3, 1, 2, 4, 8, 16, INFINITY]
KIBIBYTE = 1024
# Service, zone, urgency rank and its demand.
DemandLevel = tuple[str, str, int, RankDemand]


class RouterMetrics:
    """The metrics of one router process.

    >>> metrics = RouterMetrics('e1')
    >>> metrics.record_outcome('answered', 0.2)
    >>> b'outcome="answered"' in metrics.render(0, 0)
    True
    """

    def __init__(self, instance: str) -> None:
        """Register all metrics with ``instance`` as a constant label."""
        labels = {'instance': instance}
        registry = Registry()
        self._registry = registry
        self._requests = Counter(
            'requests',
            'Requests by outcome',
            const_labels=labels,
            registry=registry,
        )
        self._retries = Counter(
            'retries',
            'Requests sent again, by cause',
            const_labels=labels,
            registry=registry,
        )
        self._failed_attempts = Counter(
            'failed_attempts',
            'Failed attempts by kind, before and after their first event',
            const_labels=labels,
            registry=registry,
        )
        self._undelivered = Counter(
            'answers_undelivered',
            'Requests whose callers did not get all of an answer, by cause',
            const_labels=labels,
            registry=registry,
        )
        self._notices = Counter(
            'endpoint_notices',
            'Endpoints that said that they leave, or asked for a pause',
            const_labels=labels,
            registry=registry,
        )
        self._endpoints = Gauge(
            'endpoints',
            'Listed endpoints by whether they get work from this entry',
            const_labels=labels,
            registry=registry,
        )
        self._zone_shares = Gauge(
            'zone_share',
            'Share of the requests of this entry that each zone gets',
            const_labels=labels,
            registry=registry,
        )
        self._crossings_refused = Counter(
            'crossings_refused',
            'Choices without a chain, as the limit allowed none between zones',
            const_labels=labels,
            registry=registry,
        )
        self._demand = Gauge(
            'demand',
            'Demand of other entries and this one by zone and urgency rank',
            const_labels=labels,
            registry=registry,
        )
        self._checks = Counter(
            'invariant_checks',
            'Checks that held',
            const_labels=labels,
            registry=registry,
        )
        self._gauges = Gauge(
            'state',
            'State of the process',
            const_labels=labels,
            registry=registry,
        )
        self._first_byte_seconds = Histogram(
            'first_byte_seconds',
            'Time from a request to the first piece of its answer',
            const_labels=labels,
            registry=registry,
            buckets=FIRST_BYTE_BUCKETS_S,
        )
        self._response_seconds = Histogram(
            'answer_seconds',
            'Time from a request to the end of its answer',
            const_labels=labels,
            registry=registry,
            buckets=RESPONSE_BUCKETS_S,
        )

    def record_outcome(self, outcome: str, seconds: float) -> None:
        """Count a finished request by outcome, with its duration."""
        self._requests.inc({'outcome': outcome})
        self._response_seconds.add({}, float(seconds))

    def record_first_byte(self, seconds: float) -> None:
        """Record the time to the first byte of a response."""
        self._first_byte_seconds.add({}, float(seconds))

    def record_retry(self, cause: str) -> None:
        """Count a retry by cause."""
        self._retries.inc({'cause': cause})

    def record_undelivered(self, cause: str) -> None:
        """Count a request whose caller did not get all of an answer."""
        self._undelivered.inc({'cause': cause})

    def record_failed_attempt(self, kind: str, *, has_begun: bool) -> None:
        """Count a failed attempt, and whether it had brought an event."""
        begun = 'yes' if has_begun else 'no'
        self._failed_attempts.inc({'kind': kind, 'begun': begun})

    def record_notice(self, kind: str) -> None:
        """Count a notice of an endpoint that was news: leaving or a pause."""
        self._notices.inc({'kind': kind})

    def record_endpoints(self, counts: Mapping[Availability, int]) -> None:
        """Record the number of listed endpoints in each state."""
        for state, count in counts.items():
            self._endpoints.set({'state': state.value}, count)

    def record_zone_shares(
        self, service: str, shares: Mapping[str, float]
    ) -> None:
        """Record the share of this entry's requests that each zone gets."""
        for zone, share in shares.items():
            labels = {'service': service, 'zone': zone}
            self._zone_shares.set(labels, share)

    def record_crossing_refused(self) -> None:
        """Count a choice that the limit on crossings left without a chain."""
        self._crossings_refused.inc({})

    def record_demand(self, levels: Iterable[DemandLevel]) -> None:
        """Replace the levels of demand; zones no longer known are dropped."""
        self._demand.values.clear()
        for service, zone, rank, demand in levels:
            labels = {'service': service, 'zone': zone, 'rank': str(rank)}
            for kind, level in asdict(demand).items():
                self._demand.set({**labels, 'of': kind}, level)

    def render(
        self,
        version: int,
        running: int,
        store_epoch: int = 0,
        configuration_age_s: float = 0,
        held_body_bytes: int = 0,
        lease: Mapping[str, float] | None = None,
    ) -> bytes:
        """Return all metrics as text.

        ``version`` is that of the configuration in force, which was confirmed
        ``configuration_age_s`` ago, ``running`` the number of requests in
        progress, whose bodies take ``held_body_bytes``, and ``store_epoch``
        the epoch of the store at the last read.  ``lease`` has the levels that
        concern the leader lease.
        """
        usage = resource.getrusage(resource.RUSAGE_SELF)
        levels = {
            'configuration_version': version,
            'requests_running': running,
            'held_body_bytes': held_body_bytes,
            'store_epoch': store_epoch,
            'configuration_age_seconds': configuration_age_s,
            'peak_memory_bytes': usage.ru_maxrss * KIBIBYTE,
            'cpu_seconds': usage.ru_utime + usage.ru_stime,
            **(lease or {}),
        }
        for name, level in levels.items():
            self._gauges.set({'of': name}, level)
        for invariant, count in check_counts.items():
            self._checks.set({'invariant': invariant.value}, count)
        content, _ = render(self._registry, [])
        return bytes(content)
