"""Entries that share one claim stream of a fake log."""

from dataclasses import dataclass, field

from foxtailhatch.core import RunState
from foxtailhatch.durable.claim_controller import ClaimController
from foxtailhatch.durable.claim_records import KeyOwner, Outcome
from foxtailhatch.durable.claim_requests import (
    ClaimRequest,
    MayRun,
    Refuse,
    Replay,
)
from foxtailhatch.durable.claim_settings import ClaimSettings
from tests.durable.fake_log import FakeLog

RETENTION_S = 10_000.0
SETTINGS = ClaimSettings(1, RETENTION_S)
START = 1_796_356_800.0
KEY = f'{int(START)}-a'
STREAM = 'claims-0'
ANSWER = Outcome(RunState.RAN, 201, 'text/plain', b'reel 7 is booked')


def request(name='r1', key=KEY, digest=b'd', **options):
    options.setdefault('deadline_at', START + 3)
    return ClaimRequest(name, KeyOwner('ward', key), digest, **options)


@dataclass
class Entry:
    """A claim controller with its log; ``sent_keys`` has the keys it sent."""

    name: str
    log: FakeLog
    sent_keys: list = field(default_factory=list)
    decisions: dict = field(default_factory=dict)
    cfg: ClaimSettings = SETTINGS

    def __post_init__(self):
        self.claims = ClaimController(self.name, self.cfg)
        self.batch = None

    def submit(self, req, now=START):
        self.record([self.claims.submit(now, req, self.log.up)])

    def record(self, decisions):
        for decision in decisions:
            if decision is not None:
                self.decisions[decision.request_id] = decision

    def append(self, now=START):
        batch = self.claims.outbox.next_append(now)
        if batch is None:
            return
        self.batch = batch
        answer = self.log.append(STREAM, batch.body, now)
        answer.map(
            lambda _: self.claims.outbox.handle_acknowledgement(batch.batch_id)
        )
        answer.alt(
            lambda error: self.claims.outbox.handle_failure(
                now,
                batch.batch_id,
                error.fault,
            ),
        )

    def read(self, now=START, limit=1000):
        answer = self.log.read(
            STREAM, self.claims.table.next_offset, now, limit
        )
        answer.map(
            lambda page: self.record(self.claims.apply_page(now, page)),
        )

    def run_cycle(self, now=START):
        self.append(now)
        self.read(now)
        self.record(self.claims.step(now, self.log.up))

    def send(self, name='r1', now=START):
        permit = self.claims.send_controller.authorize(now, name)
        permit.map(lambda permitted: self.sent_keys.append(permitted.key))
        return permit

    def answer(self, name='r1', now=START):
        self.claims.send_controller.record_outcome(name, ANSWER)
        self.run_cycle(now)

    def may_run(self, name='r1'):
        return isinstance(self.decisions.get(name), MayRun)

    def replayed_outcome(self, name='r1'):
        decision = self.decisions.get(name)
        return decision.outcome if isinstance(decision, Replay) else None

    def refusal_of(self, name='r1'):
        decision = self.decisions.get(name)
        if not isinstance(decision, Refuse):
            return None
        return decision.refusal.code.value, decision.refusal.run.value
