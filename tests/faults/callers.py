"""Simulated callers and operators that record the outcomes they receive."""

import asyncio
from dataclasses import dataclass, field

from returns.result import Success

from foxtailhatch.callers.gateway import GenerateRequest, ServiceRequest
from foxtailhatch.callers.operations import PublishRequest
from foxtailhatch.callers.token_sequence import TokenSequenceCheck
from foxtailhatch.core import Caller, Refusal, RunState
from standins.toy_model import reference_answer
from tests.faults.engines import LAYERS, MODEL, VERSION

PROMPT = tuple(b'Untangle strand 7')
MAX_ATTEMPTS = 6
STALL_TIMEOUT_S = 5.0
RETRY_DELAY_S = 0.3
CALL_TIMEOUT_S = 20.0
CALLER = Caller('line-crew', 'festoon', {'team': 'line'})


@dataclass
class AnswerClient:
    """Request one answer, resuming at another entry after a failure.

    ``token_times`` has the arrival time of each token; ``refusals`` has each
    refusal with whether any step of that attempt had run.
    """

    sim: object
    name: str
    max_tokens: int = 12
    tokens: list = field(default_factory=list)
    token_times: list = field(default_factory=list)
    refusals: list = field(default_factory=list)
    stream: str = ''
    finished: bool = False
    started_at: float = 0
    _attempt: object = None

    def expected(self):
        return list(
            reference_answer(MODEL, VERSION, LAYERS, PROMPT, self.max_tokens)[0]
        )

    async def run(self, entries):
        """Send the request to the live entries in turn until it finishes.

        Each attempt resumes after the tokens received so far.
        """
        self.started_at = self.sim.loop.time()
        for number in range(MAX_ATTEMPTS):
            alive = [entry for entry in entries if not entry.dead]
            if not alive:
                return
            entry = alive[number % len(alive)]
            await self._send_request(entry, f'{self.name}-{number}')
            if self.finished:
                return
            await asyncio.sleep(RETRY_DELAY_S)

    async def _send_request(self, entry, stream):
        self.stream = stream
        attempt = AnswerSink(self, entry, len(self.tokens))
        req = GenerateRequest(
            stream,
            CALLER,
            MODEL,
            PROMPT,
            self.max_tokens,
            tuple(self.tokens),
        )
        self.sim.report_point('ask', entry.name, stream)
        entry.context.copy().run(self.sim.loop.call_soon, attempt.start, req)
        received = -1
        while received < len(self.tokens) and not attempt.has_ended():
            received = len(self.tokens)
            await wait_until(
                self.sim, attempt.progress_condition(received), STALL_TIMEOUT_S
            )
        attempt.disconnect()


class AnswerSink:
    """Sink of one attempt, with the checks of the HTTP frontend."""

    def __init__(self, client, entry, first):
        self.ended = False
        self._disconnected = False
        self._client = client
        self._entry = entry
        self._stream = client.stream
        self._check = TokenSequenceCheck(self._stream, first)
        self._handle = None

    def has_ended(self):
        return self.ended or self._entry.dead

    def progress_condition(self, received):
        """Return a predicate: ended, or more than ``received`` tokens."""
        return lambda: self.has_ended() or len(self._client.tokens) > received

    def start(self, req):
        self._handle = self._entry.components.gateway.generate(req, self)

    def token(self, index, token):
        self._check.check_token(index)
        if self._disconnected or self._entry.dead:
            return
        client = self._client
        client.tokens.append(token)
        client.token_times.append(client.sim.loop.time())
        client.sim.report_point('token', self._stream, index)

    def finished(self, reason):
        self._check.check_end()
        self.ended = True
        self._client.finished |= not self._disconnected

    def failed(self, refusal):
        self._check.check_end()
        self.ended = True
        ran = self._client.sim.has_run(self._stream)
        self._client.refusals.append((refusal, ran))

    def disconnect(self):
        """Close the connection; a paused entry sees it after it resumes."""
        self._disconnected = True
        if self._handle is not None and not self.ended:
            self._entry.context.copy().run(
                self._client.sim.loop.call_soon, self._handle.cancel
            )


@dataclass
class BookingClient:
    """Client that repeats a non-repeatable call under one idempotency key."""

    sim: object
    key: str
    service: str = 'store-desk'
    outcomes: list = field(default_factory=list)
    false_outcomes: list = field(default_factory=list)

    async def run(self, entries):
        """Send the call to each live entry in turn."""
        for number, entry in enumerate(entries):
            if entry.dead:
                continue
            req = ServiceRequest(
                f'{self.key}-{number}',
                CALLER,
                self.service,
                'POST',
                '/bookings',
                b'reel 7',
                'text/plain',
                self.key,
                first_try=number == 0,
            )
            self.sim.report_point('book', entry.name, self.key)
            outcome = await call_entry(
                entry,
                entry.components.gateway.call_service,
                req,
                CALL_TIMEOUT_S,
            )
            if outcome is not None:
                self._record(outcome)
            await asyncio.sleep(RETRY_DELAY_S)

    def _record(self, outcome):
        """Check the reported run state against the actual number of runs."""
        runs = self.sim.run_count(self.key)
        if isinstance(outcome, Success):
            is_true = runs == 1
        else:
            run = outcome.failure().run
            is_true = run is RunState.UNKNOWN or (run is RunState.RAN) == bool(
                runs
            )
        self.outcomes.append(outcome)
        if not is_true:
            self.false_outcomes.append(
                f'received {outcome} after {runs} runs of {self.key}'
            )


@dataclass
class PublishClient:
    """Operator that publishes a document, with the last outcome."""

    sim: object
    publication_id: str
    document: bytes
    made_from: int
    outcome: object = None

    async def run(self, entries):
        for entry in [entry for entry in entries if not entry.dead]:
            req = PublishRequest(
                self.document, self.made_from, self.publication_id
            )
            self.sim.report_point('publish', entry.name, self.publication_id)
            self.outcome = await call_entry(
                entry, entry.operations.publish, req, 2 * CALL_TIMEOUT_S
            )
            if self.outcome is None:
                continue
            failure = None if self.version else self.outcome.failure()
            # Only a refusal can leave the outcome unknown; others are final.
            if not isinstance(failure, Refusal):
                return
            await asyncio.sleep(RETRY_DELAY_S)

    @property
    def version(self):
        if isinstance(self.outcome, Success):
            return self.outcome.unwrap().version
        return None


async def call_entry(entry, operation, req, timeout_s):
    """Return the outcome of a call to an entry.

    Return ``None`` if the entry dies or does not answer within
    ``timeout_s``.
    """
    if entry.dead:
        return None
    task = entry.spawn(entry.report_violations(operation(req)))
    await wait_until(entry.sim, lambda: task.done() or entry.dead, timeout_s)
    return task.result() if task.done() and not entry.dead else None


async def wait_until(sim, condition, timeout_s):
    """Wait at most ``timeout_s``; return whether the condition held."""
    deadline = sim.loop.time() + timeout_s
    while not condition():
        if sim.loop.time() >= deadline:
            return False
        await asyncio.sleep(0.01)
    return True
