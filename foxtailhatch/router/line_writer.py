"""Write log lines to a file descriptor without blocking."""

import os
from collections import deque

# Limit on the lines queued for a slow reader; further lines are dropped and
# counted.
MAX_QUEUED_LINES = 2000


class NonBlockingLineWriter:
    """Write lines to a non-blocking file descriptor.

    Lines that cannot be written now are queued, up to a limit.
    """

    def __init__(self, descriptor: int) -> None:
        """Set the descriptor to non-blocking mode."""
        self.dropped = 0
        self._descriptor = descriptor
        self._queued: deque[bytes] = deque()
        os.set_blocking(descriptor, False)

    def write_line(self, line: str) -> None:
        """Queue a line and write as much as possible; drop it if full."""
        if len(self._queued) >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        self._queued.append(f'{line}\n'.encode())
        self.flush()

    def flush(self) -> None:
        """Write queued lines until the descriptor would block."""
        while self._queued:
            line = self._queued[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, so the error itself cannot be logged.
                self.dropped += len(self._queued)
                self._queued.clear()
                return
            if written < len(line):
                self._queued[0] = line[written:]
                return
            self._queued.popleft()
