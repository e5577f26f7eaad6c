"""Bounded queue of frames that wait to be sent."""

import asyncio
from collections import deque
from enum import StrEnum

QUEUE_FRAMES_MAX = 64
QUEUE_BYTES_MAX = 5 * 1024 * 1024


class SendOutcome(StrEnum):
    """Result of sending a message."""

    QUEUED = 'queued'
    QUEUE_FULL = 'queue_full'
    STOPPED = 'stopped'


class Outbox:
    """Queue limited in frames and bytes, for a single consumer task."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._frames: deque[bytes] = deque()
        self._size = 0
        self._ready = asyncio.Event()

    def put(self, frame: bytes) -> SendOutcome:
        """Queue a frame, unless that would exceed a limit."""
        if len(self._frames) >= QUEUE_FRAMES_MAX:
            return SendOutcome.QUEUE_FULL
        if self._size + len(frame) > QUEUE_BYTES_MAX:
            return SendOutcome.QUEUE_FULL
        self._frames.append(frame)
        self._size += len(frame)
        self._ready.set()
        return SendOutcome.QUEUED

    async def get(self) -> bytes:
        """Remove and return the next frame; wait for one if empty."""
        while not self._frames:
            self._ready.clear()
            await self._ready.wait()
        frame = self._frames.popleft()
        self._size -= len(frame)
        return frame
