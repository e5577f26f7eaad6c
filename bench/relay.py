"""Processor time of a relay per token: ``python -m bench.relay``.

Four engines hold one layer each, and 32 answers run at once.  The relays
produce the same answers in turn, with the same engines, each in its own
process: a bare relay, the engine adapter with a session per engine, the
adapter with sessions per answer, and one HTTP request per step.  Each line printed is one JSON object.
"""

import json
import subprocess
import sys
from collections.abc import Callable
from contextlib import ExitStack
from functools import partial
from statistics import median
from typing import Any

import click

from bench import relay_adapter, relay_bare, relay_requests
from bench.relay_job import MODEL, PROMPT, STAGES, VERSION, RelayJob
from standins.toy_model import reference_answer

SIZES_BYTES = (16, 16_384)
RELAYS: dict[str, Callable[[RelayJob], None]] = {
    'bare': relay_bare.main,
    'adapter': relay_adapter.main,
    'session_per_answer': partial(relay_adapter.main, shared=False),
    'request_per_step': relay_requests.main,
}


@click.group(invoke_without_command=True)
@click.option('--answers', default=32)
@click.option('--tokens', default=200)
@click.option('--rounds', default=5)
@click.pass_context
def main(ctx: click.Context, answers: int, tokens: int, rounds: int) -> None:
    """Compare the processor time of all relays."""
    if ctx.invoked_subcommand is not None:
        return
    for size in SIZES_BYTES:
        with ExitStack() as stack:
            stages = [
                stack.enter_context(started_engine(stage, size))
                for stage in range(STAGES)
            ]
            job = RelayJob(tuple(stages), answers, tokens)
            _compare(job, size, rounds)


@main.command()
@click.argument('kind', type=click.Choice(list(RELAYS)))
@click.argument('answers', type=int)
@click.argument('tokens', type=int)
@click.argument('stages', nargs=-1)
def relay(
    kind: str, answers: int, tokens: int, stages: tuple[str, ...]
) -> None:
    """Run one relay against running engines."""
    RELAYS[kind](RelayJob(stages, answers, tokens))


class started_engine:
    """Context manager that starts an engine and returns its address."""

    def __init__(self, stage: int, activation_bytes: int) -> None:
        """Prepare the command; the engine holds the layer numbered ``stage``."""
        self.command = [
            sys.executable,
            '-m',
            'standins.engine',
            f'--name=ep-{stage}',
            f'--hold={MODEL}:{VERSION}:{stage}-{stage + 1}',
            f'--model-layers={MODEL}={STAGES}',
            f'--activation-bytes={activation_bytes}',
        ]

    def __enter__(self) -> str:
        """Start the engine and wait until it listens."""
        self.process = subprocess.Popen(
            self.command,
            stdout=subprocess.PIPE,
        )
        assert self.process.stdout is not None
        line = json.loads(self.process.stdout.readline())
        return str(line['address'])

    def __exit__(self, *failure: Any) -> None:
        """Stop the engine."""
        self.process.kill()
        self.process.wait()


def measure_relay(kind: str, job: RelayJob) -> float:
    """Run one relay in its own process; return microseconds per token."""
    command = [sys.executable, '-m', 'bench.relay', 'relay', kind]
    sizes = [str(job.answers), str(job.tokens)]
    completed = subprocess.run(
        [*command, *sizes, *job.stages],
        stdout=subprocess.PIPE,
        check=True,
    )
    report = json.loads(completed.stdout)
    expected, _ = reference_answer(MODEL, VERSION, STAGES, PROMPT, job.tokens)
    if report['texts'] != [bytes(expected).decode()]:
        sys.exit(f'{kind}: the answers differ from the reference answer')
    return float(report['us_per_token'])


def _compare(job: RelayJob, size: int, rounds: int) -> None:
    """Run the relays in turn and print the median of each."""
    figures: dict[str, list[float]] = {kind: [] for kind in RELAYS}
    for _ in range(rounds):
        for kind in RELAYS:
            figures[kind].append(measure_relay(kind, job))
    baseline = median(figures['bare'])
    for kind in RELAYS:
        figure = median(figures[kind])
        print(
            json.dumps(
                {
                    'measure': f'relay_{kind}_{size}_bytes',
                    'figure': round(figure, 1),
                    'unit': 'us of processor time a token',
                    'baseline': round(baseline, 1),
                    'ratio': round(figure / baseline, 2),
                    'rounds': [round(value, 1) for value in figures[kind]],
                },
            ),
        )


if __name__ == '__main__':
    main()
