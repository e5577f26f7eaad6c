"""Write log lines to standard output without ever waiting for it."""

import os
from collections import deque

# Lines that wait for a slow reader; more are dropped and counted.
WAITING_LINES = 2000


class NonBlockingLineWriter:
    """Write lines to a descriptor that does not block.

    What cannot be written now is kept, within a bound, and written later.
    """

    def __init__(self, descriptor: int) -> None:
        """Set the descriptor to non-blocking mode."""
        self.dropped = 0
        self._descriptor = descriptor
        self._waiting: deque[bytes] = deque()
        os.set_blocking(descriptor, False)

    def emit(self, line: str) -> None:
        """Write a line, or keep or drop it."""
        if len(self._waiting) >= WAITING_LINES:
            self.dropped += 1
            return
        self._waiting.append(f'{line}\n'.encode())
        self.flush()

    def flush(self) -> None:
        """Write as many lines as the descriptor takes."""
        while self._waiting:
            line = self._waiting[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads the log: there is nowhere to say so.
                self.dropped += len(self._waiting)
                self._waiting.clear()
                return
            if written < len(line):
                self._waiting[0] = line[written:]
                return
            self._waiting.popleft()
