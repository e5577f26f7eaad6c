"""Overhead of the daemon: ``python -m bench.daemon_relay``.

An entry streams answers of four stages to many callers at once.  The baseline
of its processor time per token is a bare relay in the same run; the baselines
of the token latencies of a single caller are the latency goals.
"""

import json
import re
import time
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from itertools import pairwise
from statistics import median

import click

from bench.relay import measure_relay
from bench.relay_job import RelayJob
from bench.report import report
from demo.launcher import new_launcher
from demo.system import (
    LAYERS,
    MODEL,
    TOKEN,
    VERSION,
    System,
    call,
    configuration,
    environment,
    open_response,
    start_engines,
    start_platform,
)
from standins.toy_model import reference_answer

PROMPT = 'untangle strand 7'
STAGE_BOUNDS = (0, 3, 6, 9, LAYERS)
US_PER_S = 1_000_000
MS_PER_S = 1000
CPU_LINE = re.compile(r'^foxtailhatch_cpu_seconds_total\S* (\S+)', re.MULTILINE)


@dataclass(frozen=True, slots=True)
class TimedAnswer:
    """Text of a streamed answer, and the arrival time of each part."""

    text: str
    sent_at: float
    part_times: tuple[float, ...]


@click.command()
@click.option('--answers', default=32)
@click.option('--tokens', default=400)
def main(answers: int, tokens: int) -> None:
    """Measure an entry against a bare relay."""
    with new_launcher(environment()) as launcher:
        system = start_platform(launcher)
        start_engines(system, STAGE_BOUNDS)
        system.start_entry('entry-0', 'thrissur-a')
        system.publish(configuration(), 0, 'entry-0')
        system.wait_until_ready('entry-0')
        _measure(system, answers, tokens)


def _measure(system: System, answers: int, tokens: int) -> None:
    address = system.entries['entry-0'].address
    stages = tuple(engine.address for engine in system.engines.values())
    before = cpu_seconds(address)
    received = stream_answers(address, answers, tokens)
    spent_s = cpu_seconds(address) - before
    _check(received, tokens)
    delivered = sum(len(each.text) for each in received)
    figure = spent_s / delivered * US_PER_S
    bare_us = median(
        _bare_relay_us(answers, delivered // answers) for _ in range(3)
    )
    report(
        'entry_processor_time',
        round(figure, 1),
        'us a token over four stages',
        round(bare_us, 1),
        stages=len(stages),
        answers=answers,
        tokens=delivered,
    )
    _report_latency(address, tokens)


def _bare_relay_us(answers: int, tokens: int) -> float:
    with new_launcher(environment()) as launcher:
        stages = tuple(
            launcher.start(
                'standins.engine',
                f'--name=bare-{first}',
                f'--hold=toy:1:{first}-{end}',
                '--model-layers=toy=4',
            ).address
            for first, end in pairwise(range(5))
        )
        return measure_relay('bare', RelayJob(stages, answers, tokens))


def _report_latency(address: str, tokens: int) -> None:
    alone = stream_answer(address, tokens)
    first_ms = (alone.part_times[0] - alone.sent_at) * MS_PER_S
    gaps = [later - earlier for earlier, later in pairwise(alone.part_times)]
    between_ms = median(gaps) * MS_PER_S
    report('first_token_alone', round(first_ms, 2), 'ms', 540)
    report('between_tokens_alone', round(between_ms, 3), 'ms', 54)


def cpu_seconds(address: str) -> float:
    """Return the total processor time of an entry, from its metrics."""
    text = call(address, 'GET', '/metrics').body.decode()
    sample = CPU_LINE.search(text)
    if sample is None:
        raise LookupError(
            'foxtailhatch_cpu_seconds_total missing in the metrics'
        )
    return float(sample[1])


def stream_answers(
    address: str, answers: int, tokens: int
) -> list[TimedAnswer]:
    """Stream ``answers`` answers concurrently."""
    with ThreadPoolExecutor(answers) as pool:
        pending = [
            pool.submit(stream_answer, address, tokens) for _ in range(answers)
        ]
        return [each.result() for each in pending]


def stream_answer(address: str, tokens: int) -> TimedAnswer:
    """Stream one answer and record the arrival time of each part."""
    document = {
        'model': MODEL,
        'prompt': PROMPT,
        'max_tokens': tokens,
        'stream': True,
    }
    sent_at = time.perf_counter()
    response = open_response(
        address, 'POST', '/v1/completions', document, TOKEN
    )
    parts: list[str] = []
    times: list[float] = []
    for line in response:
        if line.startswith(b'data: {'):
            parts.append(json.loads(line[6:])['choices'][0]['text'])
            times.append(time.perf_counter())
    return TimedAnswer(''.join(parts), sent_at, tuple(times))


def _check(received: Sequence[TimedAnswer], tokens: int) -> None:
    prompt = tuple(PROMPT.encode())
    expected, _ = reference_answer(MODEL, VERSION, LAYERS, prompt, tokens)
    if {each.text for each in received} != {bytes(expected).decode()}:
        raise AssertionError('the answer differs from the reference answer')


if __name__ == '__main__':
    main()
