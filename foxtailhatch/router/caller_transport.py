"""The connection of a caller, read only as far as the request in progress.

What a caller sends behind a request stays in the system's buffer until that
request is answered.  If the connection ends before, the request behind was not
read, and the system tells its caller so by a reset.
"""

import socket
from collections.abc import Iterable
from errno import EWOULDBLOCK
from typing import Any

from twisted.internet.main import CONNECTION_DONE, CONNECTION_LOST
from twisted.internet.tcp import Server


class CallerTransport(Server):
    """A connection whose protocol may leave a part of its input unread."""

    protocol: Any
    producerPaused: bool  # noqa: N815

    def write(self, data: bytes) -> None:  # noqa: WPS110
        """Send at once what the system takes, and queue the rest."""
        super().write(self._send_now(data))  # type: ignore[no-untyped-call]

    def writeSequence(self, iovec: Iterable[bytes]) -> None:  # noqa: N802
        """Send at once what the system takes, and queue the rest."""
        self.write(b''.join(iovec))

    def _send_now(self, content: bytes) -> bytes:
        """Return what could not be sent without a further turn of the loop.

        A queue costs two system calls and a turn of the loop for each event of
        a stream.  Who waits for the queue to become empty is told only by the
        queue, as is of an error.
        """
        is_queued = self.dataBuffer or self._tempDataBuffer
        if is_queued or self.producerPaused or not self._is_open:
            return content
        try:
            sent = self.socket.send(content)
        except OSError:
            return content
        return content[sent:]

    @property
    def _is_open(self) -> bool:
        is_ending = self.disconnecting or self.disconnected
        return bool(
            self.connected and not is_ending and not self._writeDisconnecting
        )

    def doRead(self) -> Any:  # noqa: N802
        """Pass on what has come, and take what the protocol has read."""
        try:
            received = self.socket.recv(self.bufferSize, socket.MSG_PEEK)
        except OSError as exc:
            return None if exc.errno == EWOULDBLOCK else CONNECTION_LOST
        if not received:
            return CONNECTION_DONE
        self.protocol.dataReceived(received)
        if self.connected:
            self.socket.recv(len(received) - self.protocol.leave_unread())
        return None
