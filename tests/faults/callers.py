"""Callers and operators of the fakes' system, and what they were told."""

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
TRIES = 6
STALL_S = 5.0
TRY_GAP_S = 0.3
CALL_BOUND_S = 20.0
CREW = Caller('line-crew', 'festoon', {'team': 'line'})


@dataclass
class Answering:
    """One answer of one caller over as many entries as it takes.

    ``times`` has the moment of each token, ``refusals`` what the caller was
    told, with whether anything of that try had run.
    """

    world: object
    name: str
    max_tokens: int = 12
    tokens: list = field(default_factory=list)
    times: list = field(default_factory=list)
    refusals: list = field(default_factory=list)
    stream: str = ''
    finished: bool = False
    began_at: float = 0
    _try: object = None

    def expected(self):
        return list(
            reference_answer(MODEL, VERSION, LAYERS, PROMPT, self.max_tokens)[0]
        )

    async def run(self, entries):
        """Ask the entries in turn; go on where a dead one left off."""
        self.began_at = self.world.loop.time()
        for number in range(TRIES):
            alive = [entry for entry in entries if not entry.dead]
            if not alive:
                return
            entry = alive[number % len(alive)]
            await self._ask(entry, f'{self.name}-{number}')
            if self.finished:
                return
            await asyncio.sleep(TRY_GAP_S)

    async def _ask(self, entry, stream):
        self.stream = stream
        attempt = Try(self, entry, len(self.tokens))
        req = GenerateRequest(
            stream,
            CREW,
            MODEL,
            PROMPT,
            self.max_tokens,
            tuple(self.tokens),
        )
        self.world.reached('ask', entry.name, stream)
        entry.context.copy().run(self.world.loop.call_soon, attempt.begin, req)
        heard = -1
        while heard < len(self.tokens) and not attempt.is_over():
            heard = len(self.tokens)
            await wait_until(self.world, attempt.has_moved(heard), STALL_S)
        attempt.hang_up()


class Try:
    """The sink of one answer at one entry, checked as the front checks it."""

    def __init__(self, answering, entry, first):
        self.over = False
        self._gone = False
        self._answering = answering
        self._entry = entry
        self._stream = answering.stream
        self._check = TokenSequenceCheck(self._stream, first)
        self._running = None

    def is_over(self):
        return self.over or self._entry.dead

    def has_moved(self, heard):
        """Return a test for an end or for more than ``heard`` tokens."""
        return lambda: self.is_over() or len(self._answering.tokens) > heard

    def begin(self, req):
        self._running = self._entry.parts.gateway.generate(req, self)

    def token(self, index, token):
        self._check.check_token(index)
        if self._gone or self._entry.dead:
            return
        answering = self._answering
        answering.tokens.append(token)
        answering.times.append(answering.world.loop.time())
        answering.world.reached('token', self._stream, index)

    def finished(self, reason):
        self._check.check_end()
        self.over = True
        self._answering.finished |= not self._gone

    def failed(self, refusal):
        self._check.check_end()
        self.over = True
        ran = self._answering.world.ran(self._stream)
        self._answering.refusals.append((refusal, ran))

    def hang_up(self):
        """Close the caller's connection; the entry learns when it runs."""
        self._gone = True
        if self._running is not None and not self.over:
            self._entry.context.copy().run(
                self._answering.world.loop.call_soon, self._running.cancel
            )


@dataclass
class Booking:
    """One call that may not repeat, sent again under its key."""

    world: object
    key: str
    service: str = 'store-desk'
    told: list = field(default_factory=list)
    lies: list = field(default_factory=list)

    async def run(self, entries):
        """Send it to one entry, and then again to the others."""
        for number, entry in enumerate(entries):
            if entry.dead:
                continue
            req = ServiceRequest(
                f'{self.key}-{number}',
                CREW,
                self.service,
                'POST',
                '/bookings',
                b'reel 7',
                'text/plain',
                self.key,
                first_try=number == 0,
            )
            self.world.reached('book', entry.name, self.key)
            outcome = await told_by(
                entry, entry.parts.gateway.call_service, req, CALL_BOUND_S
            )
            if outcome is not None:
                self._note(outcome)
            await asyncio.sleep(TRY_GAP_S)

    def _note(self, outcome):
        """Compare what is said with what ran, at the moment it is said."""
        runs = self.world.runs(self.key)
        if isinstance(outcome, Success):
            truth = runs == 1
        else:
            run = outcome.failure().run
            truth = run is RunState.UNKNOWN or (run is RunState.RAN) == bool(
                runs
            )
        self.told.append(outcome)
        if not truth:
            self.lies.append(f'{outcome} with {runs} runs of {self.key}')


@dataclass
class Publishing:
    """One operator who publishes, and what it is told at last."""

    world: object
    publication_id: str
    document: bytes
    made_from: int
    told: object = None

    async def run(self, entries):
        for entry in [entry for entry in entries if not entry.dead]:
            req = PublishRequest(
                self.document, self.made_from, self.publication_id
            )
            self.world.reached('publish', entry.name, self.publication_id)
            self.told = await told_by(
                entry, entry.operations.publish, req, 2 * CALL_BOUND_S
            )
            if self.told is None:
                continue
            failure = None if self.version else self.told.failure()
            # Only an outcome that is not known yet is worth another try.
            if not isinstance(failure, Refusal):
                return
            await asyncio.sleep(TRY_GAP_S)

    @property
    def version(self):
        if isinstance(self.told, Success):
            return self.told.unwrap().version
        return None


async def told_by(entry, ask, req, bound_s):
    """Return what an entry answers, ``None`` if it dies or takes too long.

    Whoever hung up is told nothing any more.
    """
    if entry.dead:
        return None
    task = entry.spawn(entry.guarded(ask(req)))
    await wait_until(entry.world, lambda: task.done() or entry.dead, bound_s)
    return task.result() if task.done() and not entry.dead else None


async def wait_until(world, holds, bound_s):
    """Wait for a condition, at most so long; return whether it held."""
    until = world.loop.time() + bound_s
    while not holds():
        if world.loop.time() >= until:
            return False
        await asyncio.sleep(0.01)
    return True
