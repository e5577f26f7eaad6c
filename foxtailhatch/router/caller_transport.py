"""A connection that is read only as far as its input can be handled.

What a caller sends behind a request stays in the system's buffer until that
request is answered.  If the connection ends before, the request behind was not
read, and the system tells its caller so by a reset.

Input in small pieces is read in slices, and no further than what all connections
may take of the loop (``relay/request_intake.py``).  The rest stays in the
system's buffer too, and is dropped with the connection.
"""

import socket
from collections.abc import Iterable
from errno import EWOULDBLOCK
from typing import Any

from twisted.internet.main import CONNECTION_DONE, CONNECTION_LOST
from twisted.internet.tcp import Server
from twisted.python.failure import Failure

from foxtailhatch.relay.request_intake import (
    BYTES_PER_PIECE,
    MAX_PIECES,
    PIECES_PER_READ,
    SLICE_BYTES,
    SMALL_PIECE_BYTES,
    InputFault,
    request_intake_of,
)

# Input with more line ends than one in so many bytes is passed on in slices.
DENSE_BYTES_PER_LINE = 64
# States of a connection whose other end was closed (Linux, tcp_states.h).
CLOSED_STATES = frozenset((7, 8, 9, 11))


class CallerTransport(Server):
    """A connection whose protocol may leave a part of its input unread."""

    protocol: Any
    reactor: Any
    producerPaused: bool  # noqa: N815

    def __init__(self, *connection: Any) -> None:
        """Take part in what all connections of the reactor may read."""
        super().__init__(*connection)
        self._intake = request_intake_of(self.reactor)
        self._is_paused = False
        self._has_to_wait = False

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
        """Pass on what has come, and take what the protocol has read.

        If other connections have used up what may be read now, or this one
        sends small pieces, the read waits for its turn.
        """
        if self._has_to_wait:
            self.stopReading()  # type: ignore[no-untyped-call]
            return None
        try:
            received = self._peek(self.bufferSize)
        except OSError as exc:
            return None if exc.errno == EWOULDBLOCK else CONNECTION_LOST
        if not received:
            return CONNECTION_DONE
        allowance = self._intake.allowance
        if self.protocol.is_in_small_pieces:
            self._wait()
            self._intake.slow_reads.add(self._read_slowly)
        elif allowance.is_used_up and len(received) > SLICE_BYTES:
            self._wait()
            allowance.wait(self._read_later)
        else:
            self._pass_on(received)
        return None

    def pauseProducing(self) -> None:  # noqa: N802
        """Read nothing until the protocol resumes."""
        self._is_paused = True
        super().pauseProducing()  # type: ignore[no-untyped-call]

    def resumeProducing(self) -> None:  # noqa: N802
        """Read on, unless the turn of this connection has yet to come."""
        self._is_paused = False
        if not self._has_to_wait:
            super().resumeProducing()  # type: ignore[no-untyped-call]

    def _wait(self) -> None:
        self._has_to_wait = True
        self.stopReading()  # type: ignore[no-untyped-call]

    def _read_later(self) -> None:
        """Read in the turn for which this connection has waited."""
        self._read_in_turn(self.bufferSize)

    def _read_slowly(self) -> None:
        """Read a slice; what is dropped needs none."""
        is_dropping = self.protocol.is_dropping
        self._read_in_turn(self.bufferSize if is_dropping else SLICE_BYTES)

    def _read_in_turn(self, size: int) -> None:
        """Read up to ``size`` bytes; an end is left to the next event.

        What has come is dropped if the other end is known to be closed.
        """
        self._has_to_wait = False
        if self.connected and self._is_closed_by_peer():
            self.connectionLost(Failure(CONNECTION_DONE))
            return
        if self._is_paused or not self.connected or self.disconnecting:
            return
        self.startReading()  # type: ignore[no-untyped-call]
        try:
            received = self._peek(size)
        except OSError:
            return
        if not received:
            return
        try:
            self._pass_on(received)
        except BaseException:
            # As the reactor does with a connection whose read has failed.
            self.connectionLost(Failure())
            raise

    def _pass_on(self, received: bytes) -> None:
        """Pass on input up to a number of pieces, and take what was read."""
        protocol = self.protocol
        effort = protocol.effort
        size = _slice_size(received)
        taken = 0
        while taken < len(received):
            piece = received[taken : taken + size]
            protocol.dataReceived(piece)
            if not self.connected:
                return
            left = protocol.leave_unread()
            taken += len(piece) - left
            is_enough = protocol.effort - effort >= PIECES_PER_READ
            if left or is_enough or self._is_paused or self.disconnecting:
                break
        self.socket.recv(taken)
        self._account(protocol.effort - effort, taken)

    def _account(self, effort: int, taken: int) -> None:
        """Count what was read, and refuse what is beyond a limit."""
        intake = self._intake
        protocol = self.protocol
        intake.allowance.spend(effort + taken // BYTES_PER_PIECE)
        fault = None
        if not protocol.is_dropping:
            # Long chunk extensions count by their bytes.
            fault = self._fault_after(effort + taken // SMALL_PIECE_BYTES)
        if fault is not None:
            peer = self.getPeer()  # type: ignore[no-untyped-call]
            intake.on_refused(
                fault, protocol.pieces, protocol.piece_bytes, peer.host
            )
            protocol.refuse_input()

    def _fault_after(self, pieces: int) -> InputFault | None:
        protocol = self.protocol
        if protocol.pieces > MAX_PIECES:
            return InputFault.PIECES
        if protocol.is_too_long:
            return InputFault.BYTES
        if not protocol.is_in_small_pieces:
            return None
        has_budget = self._intake.budget.spend(pieces)
        return None if has_budget else InputFault.SMALL_PIECES

    def _peek(self, size: int) -> bytes:
        return self.socket.recv(size, socket.MSG_PEEK)

    def _is_closed_by_peer(self) -> bool:
        """Return whether the end of the input is known, before it is read."""
        try:
            state = self.socket.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_INFO, 1
            )
        except OSError:
            return False
        return state[0] in CLOSED_STATES


def _slice_size(received: bytes) -> int:
    lines = received.count(b'\n')
    is_dense = lines * DENSE_BYTES_PER_LINE > len(received)
    return SLICE_BYTES if is_dense else len(received)
