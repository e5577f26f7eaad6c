"""The instance's counters, as ``/metrics`` shows them."""

import resource

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from foxtailhatch.callers.answer_timing import AnswerTimes
from foxtailhatch.core import ErrorCode, Invariant, check_counts
from foxtailhatch.outside import PlatformFault
from foxtailhatch.peers import PeerCounters

WHOLE = 'whole'
KIBIBYTE = 1024
FIRST_TOKEN_BOUNDS_S = (
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
RECOVERY_BOUNDS_S = (0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 20, float('inf'))
NO_LABELS: dict[str, str] = {}


class Metrics:
    """Count what happens, and render all counts as text.

    ``tokens_delivered`` is a plain number, for it changes with every token.

    >>> metrics = Metrics('entry-1')
    >>> metrics.record_request_outcome(ErrorCode.QUEUE_FULL)
    >>> b'outcome="queue_full"' in metrics.render()
    True
    """

    def __init__(self, instance: str) -> None:
        """Start all counts; ``instance`` becomes a label of each."""
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
            FIRST_TOKEN_BOUNDS_S,
        )
        self._recovery = self._histogram(
            'recovery_seconds',
            'Time from a loss to the next token of the answer',
            RECOVERY_BOUNDS_S,
        )

    def record_request_outcome(self, code: ErrorCode | None) -> None:
        """Count one request, with its error code or ``None`` if whole."""
        outcome = WHOLE if code is None else code.value
        self._requests.inc({'outcome': outcome})

    def record_answer_times(self, times: AnswerTimes) -> None:
        """Count the wait for one answer's first token, and late tokens."""
        if times.first_token_s is not None:
            self._first_token.add(NO_LABELS, float(times.first_token_s))
        self._late_tokens.add(NO_LABELS, times.late_tokens)

    def count_recovery(self, seconds: float) -> None:
        """Count one loss that an answer survived, and how long it took."""
        self._recoveries.inc({'outcome': 'recovered'})
        self._recovery.add(NO_LABELS, float(seconds))

    def count_failed_recovery(self) -> None:
        """Count one answer that a loss ended."""
        self._recoveries.inc({'outcome': 'failed'})

    def count_claim(self, outcome: str) -> None:
        """Count one claim on a request that must not repeat."""
        self._claims.inc({'outcome': outcome})

    def count_log_fault(self, fault: PlatformFault) -> None:
        """Count one failed call of the log service."""
        self._log_faults.inc({'fault': fault.value})

    def set_configuration_version(self, version: int) -> None:
        """Note the version of the configuration in force."""
        self._version.set(NO_LABELS, version)

    def set_open_sessions(self, count: int) -> None:
        """Note how many sessions with engines are open."""
        self._sessions.set(NO_LABELS, count)

    def set_running_answers(self, count: int) -> None:
        """Note how many answers are in progress."""
        self._answers.set(NO_LABELS, count)

    def set_peer_counters(self, counters: PeerCounters) -> None:
        """Note what the links with other entries carried."""
        self._peers.set({'of': 'bytes_sent'}, counters.bytes_sent)
        self._peers.set({'of': 'bytes_received'}, counters.bytes_received)
        self._peers.set({'of': 'links_refused'}, counters.links_refused)
        self._peers.set({'of': 'frames_rejected'}, counters.frames_rejected)

    def render(self) -> bytes:
        """Return everything in the Prometheus text format."""
        self._tokens.set(NO_LABELS, self.tokens_delivered)
        for invariant in Invariant:
            made = check_counts[invariant]
            self._checks.set({'invariant': invariant.value}, made)
        usage = resource.getrusage(resource.RUSAGE_SELF)
        self._cpu.set(NO_LABELS, usage.ru_utime + usage.ru_stime)
        self._memory.set(NO_LABELS, usage.ru_maxrss * KIBIBYTE)
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
        bounds: tuple[float, ...],
    ) -> Histogram:
        name = f'foxtailhatch_{name}'
        return Histogram(name, doc, self._labels, self._registry, bounds)
