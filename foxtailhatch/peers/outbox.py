"""A bounded queue of frames that wait for a connection."""

import asyncio
from collections import deque
from enum import StrEnum

QUEUE_FRAMES_MAX = 64
QUEUE_BYTES_MAX = 5 * 1024 * 1024


class SendOutcome(StrEnum):
    """What became of a message that was handed in."""

    QUEUED = 'queued'
    QUEUE_FULL = 'queue_full'
    STOPPED = 'stopped'


class Outbox:
    """Queue frames up to a number and a size; one task takes them out."""

    def __init__(self) -> None:
        """Start empty."""
        self._frames: deque[bytes] = deque()
        self._size = 0
        self._ready = asyncio.Event()

    def put(self, frame: bytes) -> SendOutcome:
        """Queue a frame, unless it would go over a bound."""
        if len(self._frames) >= QUEUE_FRAMES_MAX:
            return SendOutcome.QUEUE_FULL
        if self._size + len(frame) > QUEUE_BYTES_MAX:
            return SendOutcome.QUEUE_FULL
        self._frames.append(frame)
        self._size += len(frame)
        self._ready.set()
        return SendOutcome.QUEUED

    async def get(self) -> bytes:
        """Wait for the next frame and take it out."""
        while not self._frames:
            self._ready.clear()
            await self._ready.wait()
        frame = self._frames.popleft()
        self._size -= len(frame)
        return frame
