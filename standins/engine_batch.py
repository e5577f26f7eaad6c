"""Continuous batching of steps with a simulated service time."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from typing import Final

from foxtailhatch.core.reactor_clock import ReactorClock
from foxtailhatch.outside import StepStage

DEFAULT_MAX_BATCH: Final = 32


@dataclass(frozen=True, slots=True)
class ServiceTime:
    """Batch duration in seconds; if all are zero, steps run at once."""

    base_s: float = 0
    per_stream_s: float = 0
    per_token_s: float = 0
    max_batch: int = DEFAULT_MAX_BATCH

    def batch_duration_s(self, streams: int, tokens: int) -> float:
        """Return the duration of a batch with ``tokens`` prefill tokens."""
        return (
            self.base_s
            + self.per_stream_s * streams
            + self.per_token_s * tokens
        )

    def is_zero(self) -> bool:
        """Return whether every batch takes zero time."""
        return not (self.base_s or self.per_stream_s or self.per_token_s)


@dataclass(order=True, slots=True)
class Job:
    """A queued step, ordered by priority and then by arrival."""

    rank: tuple[int, int]
    frame: StepStage = field(compare=False)
    session: str = field(compare=False)

    def position_count(self) -> int:
        """Return the number of positions in the step."""
        return len(self.frame.tokens) or len(self.frame.activations)


class Batcher:
    """Run queued steps in consecutive batches."""

    def __init__(
        self,
        clock: ReactorClock,
        service: ServiceTime,
        run: Callable[[Job], None],
    ) -> None:
        """Create an empty queue; ``run`` is called for each job of a batch."""
        self.clock = clock
        self.service = service
        self.batch_size = 0
        self._run = run
        self._queue: list[Job] = []
        self._sequence = count()

    def submit(self, frame: StepStage, session: str, priority: int) -> None:
        """Queue a step, or run it immediately if the service time is zero."""
        job = Job((-priority, next(self._sequence)), frame, session)
        if self.service.is_zero():
            self._run(job)
            return
        heapq.heappush(self._queue, job)
        if not self.batch_size:
            self.batch_size = 1
            self.clock.callLater(0, self._start_batch)

    def queued_tokens(self) -> int:
        """Return the number of queued positions."""
        return sum(job.position_count() for job in self._queue)

    def _start_batch(self) -> None:
        """Take a batch and schedule its completion."""
        batch = self._take_batch()
        self.batch_size = len(batch)
        prefill = sum(job.position_count() - 1 for job in batch)
        duration_s = self.service.batch_duration_s(len(batch), prefill)
        self.clock.callLater(duration_s, self._finish_batch, batch)

    def _take_batch(self) -> list[Job]:
        """Take jobs from the queue, at most one per stream."""
        selected: dict[str, Job] = {}
        deferred = []
        while self._queue and len(selected) < self.service.max_batch:
            job = heapq.heappop(self._queue)
            if job.frame.stream in selected:
                deferred.append(job)
            else:
                selected[job.frame.stream] = job
        for job in deferred:
            heapq.heappush(self._queue, job)
        return list(selected.values())

    def _finish_batch(self, batch: list[Job]) -> None:
        """Run the jobs of a batch and start the next batch if any is queued."""
        for job in batch:
            self._run(job)
        self.batch_size = 0
        if self._queue:
            self._start_batch()
