"""The metrics that the instance exports at ``/metrics``."""

import resource

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from foxtailhatch.callers.answer_timing import AnswerTimes
from foxtailhatch.core import ErrorCode, Invariant, check_counts
from foxtailhatch.outside import PlatformFault
from foxtailhatch.peers import PeerCounters

OUTCOME_SUCCESS = 'whole'
BYTES_IN_KIB = 1024
FIRST_TOKEN_BUCKETS_S = (
    0.05,
    0.1,
    0.2,
    0.3,
    0.54,
    0.8,
    1.5,
    3,
    10,
    float('inf'),
)
RECOVERY_BUCKETS_S = (0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 20, float('inf'))
NO_LABELS: dict[str, str] = {}


class Metrics:
    """Collect the metrics and render them in the Prometheus text format.

    ``tokens_delivered`` is a plain integer, because it changes with every
    token.

    >>> metrics = Metrics('entry-1')
    >>> metrics.record_request_outcome(ErrorCode.QUEUE_FULL)
    >>> b'outcome="queue_full"' in metrics.render()
    True
    """

    def __init__(self, instance: str) -> None:
        """Register all metrics with the label ``instance``."""
        self._labels = {'instance': instance}
        self._registry = Registry()
        self.tokens_delivered = 0
        self._requests = self._counter(
            'requests', 'Requests of callers and operators by outcome'
        )
        self._tokens = self._counter('tokens', 'Tokens delivered to callers')
        self._late_tokens = self._counter(
            'late_tokens',
            'Tokens more than 54 ms after the one before',
        )
        self._recoveries = self._counter('recoveries', 'Answers by recovery')
        self._claims = self._counter('claims', 'Claims by outcome')
        self._log_faults = self._counter('log_faults', 'Log calls that failed')
        self._checks = self._counter('invariant_checks', 'Checks that held')
        self._peers = self._counter('peers', 'What links with peers carried')
        self._cpu = self._counter('cpu_seconds', 'Processor time in seconds')
        self._version = self._gauge(
            'configuration_version',
            'Version of the configuration in force, 0 for none',
        )
        self._sessions = self._gauge('sessions', 'Open sessions with engines')
        self._answers = self._gauge('answers', 'Answers in progress')
        self._memory = self._gauge('peak_memory_bytes', 'Peak memory in bytes')
        self._first_token = self._histogram(
            'first_token_seconds',
            'Time from a request to its first token',
            FIRST_TOKEN_BUCKETS_S,
        )
        self._recovery = self._histogram(
            'recovery_seconds',
            'Time from a loss to the next token of the answer',
            RECOVERY_BUCKETS_S,
        )

    def record_request_outcome(self, code: ErrorCode | None) -> None:
        """Count one request by error code; ``None`` means success."""
        outcome = OUTCOME_SUCCESS if code is None else code.value
        self._requests.inc({'outcome': outcome})

    def record_answer_times(self, times: AnswerTimes) -> None:
        """Record the time to first token and the late tokens of an answer."""
        if times.first_token_s is not None:
            self._first_token.add(NO_LABELS, float(times.first_token_s))
        self._late_tokens.add(NO_LABELS, times.late_tokens)

    def count_recovery(self, seconds: float) -> None:
        """Record one recovery of an answer after an endpoint loss."""
        self._recoveries.inc({'outcome': 'recovered'})
        self._recovery.add(NO_LABELS, float(seconds))

    def count_failed_recovery(self) -> None:
        """Count one answer that was not recovered after an endpoint loss."""
        self._recoveries.inc({'outcome': 'failed'})

    def count_claim(self, outcome: str) -> None:
        """Count one decided claim on an at-most-once request."""
        self._claims.inc({'outcome': outcome})

    def count_log_fault(self, fault: PlatformFault) -> None:
        """Count one failed call to the log service by fault."""
        self._log_faults.inc({'fault': fault.value})

    def set_configuration_version(self, version: int) -> None:
        """Set the version of the configuration in force."""
        self._version.set(NO_LABELS, version)

    def set_open_sessions(self, count: int) -> None:
        """Set the number of open sessions with engines."""
        self._sessions.set(NO_LABELS, count)

    def set_running_answers(self, count: int) -> None:
        """Set the number of answers in progress."""
        self._answers.set(NO_LABELS, count)

    def set_peer_counters(self, counters: PeerCounters) -> None:
        """Set the traffic and fault counters of the peer links."""
        self._peers.set({'of': 'bytes_sent'}, counters.bytes_sent)
        self._peers.set({'of': 'bytes_received'}, counters.bytes_received)
        self._peers.set({'of': 'links_refused'}, counters.links_refused)
        self._peers.set({'of': 'frames_rejected'}, counters.frames_rejected)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        self._tokens.set(NO_LABELS, self.tokens_delivered)
        for invariant in Invariant:
            check_count = check_counts[invariant]
            self._checks.set({'invariant': invariant.value}, check_count)
        usage = resource.getrusage(resource.RUSAGE_SELF)
        self._cpu.set(NO_LABELS, usage.ru_utime + usage.ru_stime)
        self._memory.set(NO_LABELS, usage.ru_maxrss * BYTES_IN_KIB)
        text, _ = render(self._registry, [])
        return text

    def _counter(self, name: str, doc: str) -> Counter:
        name = f'foxtailhatch_{name}_total'
        return Counter(name, doc, self._labels, self._registry)

    def _gauge(self, name: str, doc: str) -> Gauge:
        name = f'foxtailhatch_{name}'
        return Gauge(name, doc, self._labels, self._registry)

    def _histogram(
        self,
        name: str,
        doc: str,
        buckets: tuple[float, ...],
    ) -> Histogram:
        name = f'foxtailhatch_{name}'
        return Histogram(name, doc, self._labels, self._registry, buckets)
