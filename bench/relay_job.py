"""Workload that all relays of the comparison run, and its measurement."""

import json
import time
from dataclasses import dataclass, field

from foxtailhatch.core import LayerRange

STAGES = 4
MODEL = 'toy'
VERSION = '1'
PROMPT = tuple(b'untangle strand 7')


@dataclass(frozen=True, slots=True)
class RelayJob:
    """Stage addresses, number of concurrent answers, and tokens per answer."""

    stages: tuple[str, ...]
    answers: int
    tokens: int

    def streams(self) -> list[str]:
        """Return the stream names of the answers."""
        return [f'answer-{number}' for number in range(self.answers)]


def stage_layers(stage: int) -> LayerRange:
    """Return the layer range of a stage, which is one layer."""
    return LayerRange(stage, stage + 1)


@dataclass(slots=True)
class TokenClock:
    """Record tokens and measure the processor time spent on them.

    The measurement starts when the token count reaches the number of
    answers, which leaves out connecting and most of the prefill.
    """

    job: RelayJob
    answers: dict[str, list[int]] = field(default_factory=dict)
    count: int = 0
    started_s: float = 0

    def add_token(self, stream: str, token: int) -> bool:
        """Record a token; return whether its answer needs more tokens."""
        answer = self.answers.setdefault(stream, [])
        answer.append(token)
        self.count += 1
        if self.count == self.job.answers:
            self.started_s = time.process_time()
        return len(answer) < self.job.tokens

    def finished(self) -> bool:
        """Return whether all answers are complete."""
        return self.count == self.job.answers * self.job.tokens

    def report(self) -> str:
        """Return the processor time per token and the answer texts as JSON."""
        spent_s = time.process_time() - self.started_s
        texts = {bytes(answer).decode() for answer in self.answers.values()}
        return json.dumps(
            {
                'us_per_token': spent_s / (self.count - self.job.answers) * 1e6,
                'texts': sorted(texts),
            },
        )
