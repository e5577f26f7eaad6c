"""Wait of a caller when a stage fails: ``python -m bench.recovery``.

The last of the four stages of an answer is killed, frozen, or stops sending on
its open connections.  One entry retains the activations that it relays and
replaces only the failed stage; the other retains none and reruns the prefix
on all stages.  Both use the same engines in the same run.
"""

import signal
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from itertools import pairwise
from statistics import median

import click

from bench.report import report
from bench.streamed import AnswerStream, open_stream
from demo.launcher import StartedProcess, new_launcher
from demo.system import (
    LAYERS,
    MODEL,
    VERSION,
    System,
    call,
    configuration,
    environment,
    request_completion,
    start_platform,
)
from standins.toy_model import reference_answer

GOAL_MS = 540
STAGE_BOUNDS = (0, 3, 6, 9, LAYERS)
ZONE = 'thrissur-a'
REPLICAS_PER_STAGE = 2
PROMPT = 'untangle strand 3'
TOKENS_BEFORE_FAULT = 20
TOKENS_AFTER_FAULT = 80
# Shorter than a cache block, so prefix affinity does not affect its routing.
PROBE_PROMPT = 'well?'
RESTORE_TIMEOUT_S = 30.0
RESTORE_POLL_S = 0.05
MS_PER_S = 1000
ENTRIES = ('retained', 'rerun')


def kill(engine: StartedProcess) -> None:
    """Kill the engine's process."""
    engine.kill()


def freeze(engine: StartedProcess) -> None:
    """Suspend the engine's process; its connections stay open."""
    engine.process.send_signal(signal.SIGSTOP)


def silence(engine: StartedProcess) -> None:
    """Stop all traffic on the engine's open connections; new ones work."""
    call(engine.admin, 'POST', '/faults', {'silence': True})


FAULTS = (kill, freeze, silence)


@dataclass(frozen=True, slots=True)
class RecoveryBench:
    """Running system and the options of its engines."""

    system: System
    engine_options: tuple[str, ...]

    def start(self) -> None:
        """Start engines and entries, and wait until all entries serve requests."""
        for number, layers in enumerate(pairwise(STAGE_BOUNDS)):
            for replica in range(REPLICAS_PER_STAGE):
                self._start_engine(f'stage{number}-{replica}', layers)
        self.system.start_entry('retained', ZONE)
        limits = {'retained_bytes': 0}
        self.system.start_entry('rerun', ZONE, limits=limits)
        self.system.publish(configuration(), 0, 'retained')
        for entry in ENTRIES:
            self.system.wait_until_ready(entry)

    def recovery_s(
        self,
        entry: str,
        length: int,
        fault: Callable[[StartedProcess], None],
    ) -> float:
        """Fail the last stage of an answer; return the seconds to its next token."""
        parts = self._parts(entry, length)
        parts.read(TOKENS_BEFORE_FAULT)
        name = self._last_stage(entry, parts.request_id)
        broken_at = time.perf_counter()
        fault(self.system.engines[name])
        parts.read_all()
        self._check(parts, length)
        address = self.system.entries[entry].address
        if not events_of(address, parts.request_id, 'answer_recovered'):
            raise AssertionError(
                'no recovery: the answer ended before the fault'
            )
        self._restore(name)
        return parts.end_of_longest_gap(broken_at) - broken_at

    def _parts(self, entry: str, length: int) -> AnswerStream:
        received = reference(length)
        address = self.system.entries[entry].address
        max_tokens = length + TOKENS_BEFORE_FAULT + TOKENS_AFTER_FAULT
        return open_stream(address, PROMPT, received, max_tokens)

    def _last_stage(self, entry: str, request_id: str) -> str:
        address = self.system.entries[entry].address
        chosen = events_of(address, request_id, 'chain_chosen')
        return chosen[-1].split('>')[-1]

    def _check(self, parts: AnswerStream, length: int) -> None:
        expected = reference(length + TOKENS_BEFORE_FAULT + TOKENS_AFTER_FAULT)
        if parts.text != bytes(expected[length:]).decode():
            raise AssertionError('the answer differs from the reference answer')

    def _restore(self, name: str) -> None:
        engine = self.system.engines[name]
        if engine.process.poll() is None:
            engine.process.send_signal(signal.SIGCONT)
        else:
            self._start_engine(name, (STAGE_BOUNDS[-2], STAGE_BOUNDS[-1]))
        deadline = time.monotonic() + RESTORE_TIMEOUT_S
        while not self._is_healthy(name):
            if time.monotonic() > deadline:
                raise TimeoutError(f'{name} did not return to use in time')
            time.sleep(RESTORE_POLL_S)

    def _is_healthy(self, name: str) -> bool:
        """Return whether all entries have a working session to the engine."""
        for entry in ENTRIES:
            address = self.system.entries[entry].address
            with ThreadPoolExecutor() as pool:
                probes = [
                    pool.submit(request_completion, address, PROBE_PROMPT, 5)
                    for _ in range(8)
                ]
            if any(each.result().status != 200 for each in probes):
                return False
            status = self.system.status(entry)
            if status['ejected'] or name not in status['sessions']:
                return False
        return True

    def _start_engine(self, name: str, layers: tuple[int, int]) -> None:
        self.system.start_engine(name, ZONE, layers, *self.engine_options)


def events_of(address: str, request_id: str, kind: str) -> list[str]:
    """Return the details of the timeline events of one kind for a request."""
    events = call(address, 'GET', f'/timeline?subject={request_id}').json()
    return [each['detail'] for each in events if each['event'] == kind]


def reference(length: int) -> tuple[int, ...]:
    """Return the first ``length`` tokens of the reference answer."""
    prompt = tuple(PROMPT.encode())
    tokens, _ = reference_answer(MODEL, VERSION, LAYERS, prompt, length)
    return tokens


@click.command()
@click.option('--length', 'lengths', multiple=True, default=(50, 200, 800))
@click.option('--repeats', default=3)
@click.option('--step-s', default=0.005, help='Duration of a batch, seconds.')
@click.option(
    '--prefill-s', default=0.0005, help='Prefill time per token, seconds.'
)
def main(
    lengths: tuple[int, ...],
    repeats: int,
    step_s: float,
    prefill_s: float,
) -> None:
    """Measure the recovery of answers with engines and entries as processes."""
    options = ('--base-s', str(step_s), '--per-token-s', str(prefill_s))
    with new_launcher(environment()) as launcher:
        bench = RecoveryBench(start_platform(launcher), options)
        bench.start()
        for fault in FAULTS:
            for length in lengths:
                _compare(bench, fault, length, repeats)


def _compare(
    bench: RecoveryBench,
    fault: Callable[[StartedProcess], None],
    length: int,
    repeats: int,
) -> None:
    waits: dict[str, list[float]] = {entry: [] for entry in ENTRIES}
    for _ in range(repeats):
        for entry, waits_ms in waits.items():
            recovery_time_s = bench.recovery_s(entry, length, fault)
            waits_ms.append(recovery_time_s * MS_PER_S)
    report(
        f'recovery_{fault.__name__}',
        round(median(waits['retained'])),
        'ms to the next token, median',
        round(median(waits['rerun'])),
        tokens_so_far=length,
        longest=round(max(waits['retained'])),
        baseline_longest=round(max(waits['rerun'])),
        goal=GOAL_MS,
    )


if __name__ == '__main__':
    main()
