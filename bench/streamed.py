"""Streamed answers with the arrival time of each part."""

import json
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from http.client import HTTPResponse
from itertools import pairwise

from demo.system import MODEL, TOKEN, open_response

EVENT_PREFIX = b'data: '
END_OF_STREAM = b'[DONE]'


@dataclass(slots=True)
class AnswerStream:
    """Parts of an answer received so far, with their arrival times."""

    request_id: str
    response: HTTPResponse
    texts: list[str] = field(default_factory=list)
    times: list[float] = field(default_factory=list)
    ended: bool = False

    @property
    def text(self) -> str:
        """Text received so far."""
        return ''.join(self.texts)

    def count(self, until: float) -> int:
        """Return the number of parts received before ``until``."""
        return sum(each < until for each in self.times)

    def read(self, count: int) -> None:
        """Read until ``count`` parts are received or the answer ends."""
        while len(self.texts) < count and not self.ended:
            self._read_line()

    def read_all(self) -> None:
        """Read until the end of the stream."""
        while not self.ended:
            self._read_line()

    def end_of_longest_gap(self, since: float) -> float:
        """Return the time at which the longest gap since ``since`` ended."""
        times = [since, *(each for each in self.times if each > since)]
        _, end = max(
            (later - earlier, later) for earlier, later in pairwise(times)
        )
        return end

    def _read_line(self) -> None:
        line = self.response.readline()
        if not line:
            raise ConnectionError(
                'connection closed before [DONE] was received'
            )
        if not line.startswith(EVENT_PREFIX):
            return
        event = line.removeprefix(EVENT_PREFIX).strip()
        if event == END_OF_STREAM:
            self.ended = True
            return
        self.texts.append(json.loads(event)['choices'][0]['text'])
        self.times.append(time.perf_counter())


def open_stream(
    address: str,
    prompt: str,
    received: Sequence[int],
    max_tokens: int,
) -> AnswerStream:
    """Request the rest of an answer after the ``received`` tokens."""
    document = {
        'model': MODEL,
        'prompt': prompt,
        'received': list(received),
        'max_tokens': max_tokens,
        'stream': True,
    }
    response = open_response(
        address, 'POST', '/v1/completions', document, TOKEN
    )
    request_id = response.headers['X-Request-Id']
    return AnswerStream(request_id, response)
