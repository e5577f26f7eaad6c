"""What the input of all callers may take of the process.

A body in chunks of one byte costs a thousand times as much time as the same bytes
in one piece, so limits on bytes do not bound the time that callers' input takes.
"""

import time
from collections import deque
from collections.abc import Callable
from enum import StrEnum
from typing import Any
from weakref import WeakKeyDictionary

from foxtailhatch.relay.response_intake import TurnAllowance

# What all connections may read in a turn of the loop: lines and chunks, some 8
# microseconds each, where a number of bytes counts as a piece and a request as
# several, by the time that they take.
PIECES_PER_TURN = 500
BYTES_PER_PIECE = 2048
PIECES_PER_REQUEST = 32
# Input in small pieces is passed on in slices of this size; up to as many bytes
# are read in any turn.
SLICE_BYTES = 512
# A connection has its next turn after this many pieces.
PIECES_PER_READ = 128
# Input counts as one in small pieces beyond this many of them, and one more for
# each number of bytes.  The heads of usual requests and bodies in chunks of more
# than that size never do.
FREE_PIECES = 256
SMALL_PIECE_BYTES = 128
# The most pieces of the input of one request.
MAX_PIECES = 100_000
# The most bytes of a chunked request, with all that frames it: of a page, and of
# other requests in relation to the largest body.  Without a bound a body that is
# refused would be read for as long as it comes.
MAX_PAGE_BYTES = 16_777_216
MAX_CHUNKED_RATIO = 2
# Small pieces that are read at the slow share of the loop's time, of all
# connections together: at once, and a second.  A single body with the most pieces
# is still read.  At 8 microseconds for a piece the loop is free of more than that
# after 3 s.
SMALL_PIECES_AT_ONCE = 100_000
SMALL_PIECES_PER_S = 10_000
# Part of the loop's time for all input in small pieces, and its turns.
SLOW_SHARE = 0.25
SLOW_TURN_S = 0.002


class InputFault(StrEnum):
    """Why input is read no further."""

    PIECES = 'pieces of one request'
    BYTES = 'bytes of one request'
    SMALL_PIECES = 'small pieces of all connections'


class SlowReads:
    """Reads that take turns in a part of the loop's time."""

    def __init__(
        self,
        reactor: Any,
        clock: Callable[[], float] = time.thread_time,
    ) -> None:
        """Run turns with ``reactor``; ``clock`` measures processor time."""
        self._reactor = reactor
        self._clock = clock
        self._waiting: deque[Callable[[], None]] = deque()
        self._is_scheduled = False
        self._pause_s = float(0)

    def __len__(self) -> int:
        """Return how many reads wait for their turn."""
        return len(self._waiting)

    def add(self, read: Callable[[], None]) -> None:
        """Call ``read`` in its turn, after those that wait already."""
        self._waiting.append(read)
        if not self._is_scheduled:
            self._is_scheduled = True
            self._reactor.callLater(self._pause_s, self._run_turn)

    def _run_turn(self) -> None:
        begun_at = self._clock()
        spent_s = float(0)
        # Those that wait again have their turn after the others.
        turns = len(self._waiting)
        try:
            while turns and spent_s < SLOW_TURN_S:
                turns -= 1
                self._waiting.popleft()()
                spent_s = self._clock() - begun_at
        except BaseException:
            self._end_turn(self._clock() - begun_at)
            raise
        self._end_turn(spent_s)

    def _end_turn(self, spent_s: float) -> None:
        self._pause_s = spent_s * (1 - SLOW_SHARE) / SLOW_SHARE
        self._is_scheduled = bool(self._waiting)
        if self._is_scheduled:
            self._reactor.callLater(self._pause_s, self._run_turn)


class SmallPieceBudget:
    """The small pieces that all connections may send.

    >>> budget = SmallPieceBudget(clock=lambda: 0)
    >>> budget.spend(90_000), budget.spend(20_000)
    (True, False)
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Start with the whole of what may be sent at once."""
        self._clock = clock
        self._left = float(SMALL_PIECES_AT_ONCE)
        self._updated_at = clock()

    def spend(self, pieces: int) -> bool:
        """Count pieces that were read; return whether more may be read."""
        now = self._clock()
        regained = (now - self._updated_at) * SMALL_PIECES_PER_S
        self._left = min(SMALL_PIECES_AT_ONCE, self._left + regained)
        self._updated_at = now
        self._left = max(0, self._left - pieces)
        return self._left > 0


class RequestIntake:
    """The time of the input of all connections of one reactor.

    ``on_refused`` is told why the input of a connection is refused, from how
    many pieces and bytes of a request, and by which host it was sent.
    """

    def __init__(self, reactor: Any) -> None:
        """Start without connections."""
        self.allowance = TurnAllowance(reactor, PIECES_PER_TURN)
        self.slow_reads = SlowReads(reactor)
        self.budget = SmallPieceBudget()
        self.on_refused: Callable[[InputFault, int, int, str], None] = (
            _ignore_refusal
        )


def _ignore_refusal(
    _fault: InputFault,
    _pieces: int,
    _size: int,
    _host: str,
) -> None:
    """Tell nobody."""


_intakes: WeakKeyDictionary[Any, RequestIntake] = WeakKeyDictionary()


def request_intake_of(reactor: Any) -> RequestIntake:
    """Return what all connections of ``reactor`` share."""
    intake = _intakes.get(reactor)
    if intake is None:
        intake = RequestIntake(reactor)
        _intakes[reactor] = intake
    return intake
