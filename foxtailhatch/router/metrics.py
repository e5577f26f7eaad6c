"""Counters and histograms of the router, as its metrics address shows them."""

import resource

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from foxtailhatch.core import checks_made

INFINITE = float('inf')
FIRST_BYTE_BOUNDS_S = [0.05, 0.1, 0.2, 0.3, 0.5, 0.54, 1, 2, 5, INFINITE]
ANSWER_BOUNDS_S = [0.1, 0.3, 1, 2, 4, 8, 16, INFINITE]
KIBIBYTE = 1024


class RouterMetrics:
    """Count what becomes of requests.

    >>> metrics = RouterMetrics('e1')
    >>> metrics.record_outcome('answered', 0.2)
    >>> b'outcome="answered"' in metrics.render(0, 0)
    True
    """

    def __init__(self, instance: str) -> None:
        """Start all counts; ``instance`` becomes a label of each."""
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
        self._first = Histogram(
            'first_byte_seconds',
            'Time from a request to the first piece of its answer',
            const_labels=labels,
            registry=registry,
            buckets=FIRST_BYTE_BOUNDS_S,
        )
        self._whole = Histogram(
            'answer_seconds',
            'Time from a request to the end of its answer',
            const_labels=labels,
            registry=registry,
            buckets=ANSWER_BOUNDS_S,
        )

    def record_outcome(self, outcome: str, seconds: float) -> None:
        """Count one request."""
        self._requests.inc({'outcome': outcome})
        self._whole.add({}, float(seconds))

    def record_first_byte(self, seconds: float) -> None:
        """Count the time to the first piece of an answer."""
        self._first.add({}, float(seconds))

    def record_retry(self, cause: str) -> None:
        """Count one more send of a request."""
        self._retries.inc({'cause': cause})

    def render(self, version: int, running: int) -> bytes:
        """Return all counts as text."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        self._gauges.set({'of': 'configuration_version'}, version)
        self._gauges.set({'of': 'requests_running'}, running)
        self._gauges.set(
            {'of': 'peak_memory_bytes'},
            usage.ru_maxrss * KIBIBYTE,
        )
        self._gauges.set(
            {'of': 'cpu_seconds'},
            usage.ru_utime + usage.ru_stime,
        )
        for invariant, count in checks_made.items():
            self._checks.set({'invariant': invariant.value}, count)
        content, _ = render(self._registry, [])
        return bytes(content)
