"""The connection of a caller, read only as far as the request in progress.

What a caller sends behind a request stays in the system's buffer until that
request is answered.  If the connection ends before, the request behind was not
read, and the system tells its caller so by a reset.
"""

import socket
from errno import EWOULDBLOCK
from typing import Any

from twisted.internet.main import CONNECTION_DONE, CONNECTION_LOST
from twisted.internet.tcp import Server


class CallerTransport(Server):
    """A connection whose protocol may leave a part of its input unread."""

    protocol: Any

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
