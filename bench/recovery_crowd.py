"""Recovery of many answers from one frozen stage: ``python -m bench.recovery_crowd``.

All answers of an entry that use the frozen engine must continue on the other
replica of its stage.  The baseline is the prefill time of that replica for
all of them.
"""

import time
from concurrent.futures import Future, ThreadPoolExecutor
from statistics import median

import click

from bench.recovery import (
    GOAL_MS,
    MS_PER_S,
    PROMPT,
    RecoveryBench,
    events_of,
    freeze,
    reference,
)
from bench.report import report
from bench.streamed import AnswerStream, open_stream
from demo.launcher import new_launcher
from demo.system import environment, start_platform

ENTRY = 'retained'
FROZEN_ENGINE = 'stage3-0'
RECEIVED_TOKENS = 50
MAX_TOKENS = 350
PARTS_BEFORE_FAULT = 30
STEP_S = 0.01
POLL_S = 0.01


@click.command()
@click.option('--answers', default=32)
@click.option(
    '--prefill-s', default=0.0005, help='Prefill time per token, seconds.'
)
def main(answers: int, prefill_s: float) -> None:
    """Freeze an engine that serves many answers."""
    options = ('--base-s', str(STEP_S), '--per-token-s', str(prefill_s))
    with new_launcher(environment()) as launcher:
        bench = RecoveryBench(start_platform(launcher), options)
        bench.start()
        _measure(bench, answers, prefill_s)


def _measure(bench: RecoveryBench, answers: int, prefill_s: float) -> None:
    address = bench.system.entries[ENTRY].address
    received = reference(RECEIVED_TOKENS)
    streams = [
        open_stream(address, PROMPT, received, MAX_TOKENS)
        for _ in range(answers)
    ]
    with ThreadPoolExecutor(answers) as pool:
        readers = [pool.submit(parts.read_all) for parts in streams]
        while min(len(parts.texts) for parts in streams) < PARTS_BEFORE_FAULT:
            _check_running(readers)
            time.sleep(POLL_S)
        frozen_at = time.perf_counter()
        freeze(bench.system.engines[FROZEN_ENGINE])
        for each in readers:
            each.result()
    recovered = [parts for parts in streams if _is_recovered(address, parts)]
    _report(recovered, frozen_at, prefill_s)


def _check_running(readers: list['Future[None]']) -> None:
    if any(each.done() for each in readers):
        raise AssertionError('an answer ended before the fault')


def _is_recovered(address: str, parts: AnswerStream) -> bool:
    expected = reference(MAX_TOKENS)[RECEIVED_TOKENS:]
    if parts.text != bytes(expected).decode():
        raise AssertionError('the answer differs from the reference answer')
    return bool(events_of(address, parts.request_id, 'answer_recovered'))


def _report(
    recovered: list[AnswerStream], frozen_at: float, prefill_s: float
) -> None:
    waits = [
        parts.end_of_longest_gap(frozen_at) - frozen_at for parts in recovered
    ]
    context_tokens = len(PROMPT) + RECEIVED_TOKENS
    bound_s = prefill_s * sum(
        context_tokens + parts.count(frozen_at) for parts in recovered
    )
    report(
        'recovery_freeze_crowd',
        round(max(waits) * MS_PER_S),
        'ms to the next token, longest',
        round(bound_s * MS_PER_S),
        answers=len(waits),
        median=round(median(waits) * MS_PER_S),
        goal=GOAL_MS,
    )


if __name__ == '__main__':
    main()
