"""Many answers on one stage that freezes: ``python -m bench.recovery_crowd``.

All answers of an entry that pass through the frozen engine must go on at its
spare.  The baseline is what the spare's prefill alone takes for all of them.
"""

import time
from concurrent.futures import Future, ThreadPoolExecutor
from statistics import median

import click

from bench.recovery import (
    GOAL_MS,
    MILLISECONDS,
    PROMPT,
    Bench,
    events_of,
    freeze,
    reference,
)
from bench.report import report
from bench.streamed import Parts, open_parts
from demo.launcher import new_launcher
from demo.system import environment, start_platform

ENTRY = 'retained'
FROZEN = 'stage3-0'
RECEIVED = 50
MAX_TOKENS = 350
SEEN_BEFORE = 30
STEP_S = 0.01
POLL_S = 0.01


@click.command()
@click.option('--answers', default=32)
@click.option('--prefill-s', default=0.0005, help='Time of a prefill token.')
def main(answers: int, prefill_s: float) -> None:
    """Freeze an engine under many answers."""
    options = ('--base-s', str(STEP_S), '--per-token-s', str(prefill_s))
    with new_launcher(environment()) as launcher:
        bench = Bench(start_platform(launcher), options)
        bench.start()
        _measure(bench, answers, prefill_s)


def _measure(bench: Bench, answers: int, prefill_s: float) -> None:
    address = bench.system.entries[ENTRY].address
    received = reference(RECEIVED)
    asked = [
        open_parts(address, PROMPT, received, MAX_TOKENS)
        for _ in range(answers)
    ]
    with ThreadPoolExecutor(answers) as pool:
        read = [pool.submit(parts.read_all) for parts in asked]
        while min(len(parts.texts) for parts in asked) < SEEN_BEFORE:
            _still_running(read)
            time.sleep(POLL_S)
        frozen_at = time.perf_counter()
        freeze(bench.system.engines[FROZEN])
        for each in read:
            each.result()
    hit = [parts for parts in asked if _recovered(address, parts)]
    _report(hit, frozen_at, prefill_s)


def _still_running(read: list['Future[None]']) -> None:
    if any(each.done() for each in read):
        raise AssertionError('an answer ended before the fault')


def _recovered(address: str, parts: Parts) -> bool:
    whole = reference(MAX_TOKENS)[RECEIVED:]
    if parts.text != bytes(whole).decode():
        raise AssertionError('an answer is wrong')
    return bool(events_of(address, parts.request_id, 'answer_recovered'))


def _report(hit: list[Parts], frozen_at: float, prefill_s: float) -> None:
    waits = [parts.end_of_longest_gap(frozen_at) - frozen_at for parts in hit]
    known = len(PROMPT) + RECEIVED
    bound_s = prefill_s * sum(known + parts.count(frozen_at) for parts in hit)
    report(
        'recovery_freeze_crowd',
        round(max(waits) * MILLISECONDS),
        'ms to the next token, longest',
        round(bound_s * MILLISECONDS),
        answers=len(waits),
        median=round(median(waits) * MILLISECONDS),
        goal=GOAL_MS,
    )


if __name__ == '__main__':
    main()
