"""Write log lines to a file descriptor without blocking."""

import os
from collections import deque

# Limits on the lines queued for a slow reader, and on their size; further lines
# are dropped and counted.
MAX_QUEUED_LINES = 2000
MAX_QUEUED_BYTES = 1_048_576


class NonBlockingLineWriter:
    """Write lines to a non-blocking file descriptor.

    Lines that cannot be written now are queued, up to limits on their number
    and size.
    """

    def __init__(self, descriptor: int) -> None:
        """Set the descriptor to non-blocking mode."""
        self.dropped = 0
        self._descriptor = descriptor
        self._queued: deque[bytes] = deque()
        self._queued_bytes = 0
        os.set_blocking(descriptor, False)

    def write_line(self, line: str) -> None:
        """Queue a line and write as much as possible; drop it if full."""
        raw = f'{line}\n'.encode()
        is_full = len(self._queued) >= MAX_QUEUED_LINES
        if is_full or self._queued_bytes + len(raw) > MAX_QUEUED_BYTES:
            self.dropped += 1
            return
        self._queued.append(raw)
        self._queued_bytes += len(raw)
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
                self._queued_bytes = 0
                return
            self._queued_bytes -= written
            if written < len(line):
                self._queued[0] = line[written:]
                return
            self._queued.popleft()
