"""The planned stop of a running entry."""

from collections.abc import Awaitable, Callable

from foxtailhatch.core import EventKind
from foxtailhatch.daemon.blackboard import Blackboard
from foxtailhatch.membership import EntryState, StopPhase

_STATES = {
    StopPhase.UNADVISED: EntryState.LEAVING,
    StopPhase.REFUSING: EntryState.STOPPING,
}


class ShutdownController:
    """Carry a planned stop through, and exit when it is done."""

    def __init__(
        self,
        board: Blackboard,
        running: Callable[[], int],
        now: Callable[[], float],
        leave: Callable[[], object],
        release: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        """Join the parts; ``leave`` ends the loop.

        ``release`` gives back what others would else wait for.
        """
        self._release = release
        self._board = board
        self._running = running
        self._now = now
        self._leave = leave
        self._phase = StopPhase.SERVING

    def request(self) -> None:
        """Begin the stop; a second call changes nothing."""
        if self._board.stop.request(self._now()):
            self._board.record(EventKind.STOP_REQUESTED, self._board.name)

    async def step(self) -> None:
        """Go on with a stop that was asked."""
        running, now = self._running(), self._now()
        step = self._board.stop.status(running, now)
        if step.phase is self._phase:
            return
        self._phase = step.phase
        state = _STATES.get(step.phase)
        if state is not None:
            self._board.entries.update_own(state=state)
        if step.may_exit:
            self._board.stop.check_exit(running, now)
            self._board.record(
                EventKind.STOPPED,
                self._board.name,
                f'{step.aborted} cut by the bound',
            )
            if self._release is not None:
                await self._release()
            self._leave()
