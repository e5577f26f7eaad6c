"""What all responses in progress may take of the process.

Limits on a single connection bound neither the memory nor the time that many
connections take together.
"""

from collections import deque
from collections.abc import Callable
from typing import Any
from weakref import WeakKeyDictionary

from foxtailhatch.relay.body_memory import BodyMemory

# For heads in progress and for the buffered responses of calls.
RESPONSE_MEMORY_BYTES = 33_554_432
# Callbacks of the parsers after which the loop takes another turn.
CALLBACKS_PER_TURN = 2000


class TurnAllowance:
    """The parser callbacks that all connections may make in a turn."""

    def __init__(
        self,
        reactor: Any,
        per_turn: int = CALLBACKS_PER_TURN,
    ) -> None:
        """Begin later turns with ``reactor``."""
        self._reactor = reactor
        self._per_turn = per_turn
        self._left = per_turn
        self._waiting: deque[Callable[[], None]] = deque()
        self._is_scheduled = False

    @property
    def is_used_up(self) -> bool:
        """Return whether the rest must wait for a later turn."""
        return self._left <= 0

    def spend(self, callbacks: int) -> None:
        """Count callbacks of a parser."""
        self._left -= callbacks
        if self.is_used_up:
            self._schedule()

    def wait(self, resume: Callable[[], None]) -> None:
        """Call ``resume`` in a later turn, after those that wait already."""
        self._waiting.append(resume)
        self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self._reactor.callLater(0, self._begin_turn)

    def _begin_turn(self) -> None:
        self._is_scheduled = False
        self._left = self._per_turn
        # Those that wait again have their turn after the others.
        turns = len(self._waiting)
        while turns and not self.is_used_up:
            turns -= 1
            self._waiting.popleft()()
        if self._waiting:
            self._schedule()


class ResponseIntake:
    """The memory and the time of all responses of one reactor."""

    def __init__(self, reactor: Any) -> None:
        """Start without responses."""
        self.memory = BodyMemory(RESPONSE_MEMORY_BYTES)
        self.allowance = TurnAllowance(reactor)


_intakes: WeakKeyDictionary[Any, ResponseIntake] = WeakKeyDictionary()


def intake_of(reactor: Any) -> ResponseIntake:
    """Return what all connections of ``reactor`` share."""
    intake = _intakes.get(reactor)
    if intake is None:
        intake = ResponseIntake(reactor)
        _intakes[reactor] = intake
    return intake
