"""The answers that every relay of the comparison makes, and their clock."""

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
    """The stages' addresses, how many answers run at once and how long."""

    stages: tuple[str, ...]
    answers: int
    tokens: int

    def streams(self) -> list[str]:
        """Return the names of the answers' streams."""
        return [f'answer-{number}' for number in range(self.answers)]


def stage_layers(stage: int) -> LayerRange:
    """Return the one layer of a stage."""
    return LayerRange(stage, stage + 1)


@dataclass(slots=True)
class TokenClock:
    """Keep the tokens and measure the process's time for them.

    The clock starts when as many tokens are there as answers run, so that
    connects and prefill are left out.
    """

    job: RelayJob
    answers: dict[str, list[int]] = field(default_factory=dict)
    count: int = 0
    started_s: float = 0

    def add_token(self, stream: str, token: int) -> bool:
        """Keep a token; tell whether its answer goes on."""
        answer = self.answers.setdefault(stream, [])
        answer.append(token)
        self.count += 1
        if self.count == self.job.answers:
            self.started_s = time.process_time()
        return len(answer) < self.job.tokens

    def finished(self) -> bool:
        """Tell whether all answers have all their tokens."""
        return self.count == self.job.answers * self.job.tokens

    def report(self) -> str:
        """Return the process time of one token, and the answers' text."""
        spent_s = time.process_time() - self.started_s
        texts = {bytes(answer).decode() for answer in self.answers.values()}
        return json.dumps(
            {
                'us_per_token': spent_s / (self.count - self.job.answers) * 1e6,
                'texts': sorted(texts),
            },
        )
