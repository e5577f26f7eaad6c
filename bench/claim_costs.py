"""Cost of claims: processor time, appends, bytes and memory."""

import gc
import time
import tracemalloc
from dataclasses import dataclass

from bench.memory_log import MemoryLog
from bench.report import report
from foxtailhatch.core import RunState
from foxtailhatch.durable import ClaimRequest, KeyOwner, MayRun, Outcome
from foxtailhatch.durable.claim_controller import ClaimController
from foxtailhatch.durable.claim_settings import ClaimSettings

START = 1_796_356_800.0
STREAM = 'claims-0'
CLAIMS = 5000
BATCH_SIZE = 50
CLAIMS_PER_S = 67
NODES = 360
READERS = 3
NODE_BYTES_PER_S = 6000
SPLITS = ((1, NODES), (8, 45), (120, READERS))
OUTCOME = Outcome(RunState.RAN, 201, 'application/json', b'x' * 200)
SETTINGS = ClaimSettings(1, 86_400.0)


@dataclass(frozen=True, slots=True)
class ClaimCost:
    """Mean cost of a claim and its outcome."""

    seconds: float
    appends: float
    bytes: float


def claim_request(number: int) -> ClaimRequest:
    """Return a request with a unique key."""
    return ClaimRequest(
        f'request-{number}',
        KeyOwner(f'account-{number % 580}', f'{int(START)}-{number:020x}'),
        b'd' * 16,
        START + 10,
    )


def drain_outbox(claims: ClaimController, log: MemoryLog) -> int:
    """Append all queued batches to the log; return the number of appends."""
    appends = 0
    while len(claims.outbox):
        batch = claims.outbox.next_append(START)
        if batch is None:
            break
        log.append(STREAM, batch.body, START)
        claims.outbox.handle_acknowledgement(batch.batch_id)
        appends += 1
    return appends


def complete_requests(claims: ClaimController, log: MemoryLog) -> None:
    """Read the claims back, authorise their requests and record outcomes."""
    page = log.read(STREAM, claims.table.next_offset)
    for decision in claims.apply_page(START, page):
        assert isinstance(decision, MayRun)
        claims.send_controller.authorize(START, decision.request_id)
        claims.send_controller.record_outcome(decision.request_id, OUTCOME)


def run_claims(together: int) -> tuple[ClaimCost, MemoryLog]:
    """Run all claims, ``together`` in each batch; return the cost and the log."""
    log = MemoryLog()
    claims = ClaimController('entry-1', SETTINGS)
    appends = 0
    began = time.process_time()
    for first in range(0, CLAIMS, together):
        for number in range(first, first + together):
            claims.submit(START, claim_request(number), log_up=True)
        appends += drain_outbox(claims, log)
        complete_requests(claims, log)
        appends += drain_outbox(claims, log)
    seconds = time.process_time() - began
    cost = ClaimCost(seconds / CLAIMS, appends / CLAIMS, log.size() / CLAIMS)
    return cost, log


def measure_claims() -> None:
    """Report batched claims against claims appended one by one."""
    alone, _ = run_claims(1)
    grouped, log = run_claims(BATCH_SIZE)
    report(
        'processor time of a claim',
        round(grouped.seconds * 1e6, 1),
        'us/claim',
        round(alone.seconds * 1e6, 1),
        together=BATCH_SIZE,
    )
    report(
        'appends of a claim',
        grouped.appends,
        'appends/claim',
        alone.appends,
        together=BATCH_SIZE,
    )
    report(
        'log bytes of a claim with a kept answer of 200 bytes',
        round(grouped.bytes, 1),
        'bytes/claim',
        round(alone.bytes, 1),
    )
    measure_reading(log)
    for parts, readers in SPLITS:
        followed = parts * readers / NODES
        share = CLAIMS_PER_S * alone.bytes * followed / parts
        report(
            'bytes a node reads for claims',
            round(share),
            'bytes/s',
            NODE_BYTES_PER_S,
            parts=parts,
            readers=readers,
            claims_per_s=CLAIMS_PER_S,
        )


def measure_reading(log: MemoryLog) -> None:
    """Report the cost of reading the claims of other entries."""
    page = log.read(STREAM, 0)
    gc.collect()
    tracemalloc.start()
    reader = ClaimController('entry-2', SETTINGS)
    reader.apply_page(START, page)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    reader = ClaimController('entry-3', SETTINGS)
    began = time.process_time()
    reader.apply_page(START, page)
    seconds = time.process_time() - began
    report(
        'processor time of reading a claim and its outcome',
        round(seconds / CLAIMS * 1e6, 1),
        'us/claim',
        0,
    )
    report(
        'memory of a key in the table',
        round(memory / CLAIMS),
        'bytes/key',
        0,
    )
