"""Graceful shutdown of a running entry."""

from collections.abc import Awaitable, Callable

from foxtailhatch.core import EventKind
from foxtailhatch.daemon.blackboard import Blackboard
from foxtailhatch.membership import EntryState, StopPhase

_STATES = {
    StopPhase.UNADVISED: EntryState.LEAVING,
    StopPhase.REFUSING: EntryState.STOPPING,
}


class ShutdownController:
    """Drive a graceful shutdown through its phases and then exit."""

    def __init__(
        self,
        board: Blackboard,
        running: Callable[[], int],
        now: Callable[[], float],
        stop_loop: Callable[[], object],
        release: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        """Keep the collaborators; ``stop_loop`` stops the event loop.

        ``release`` gives up the lease, so that other entries need not wait
        for it to expire.
        """
        self._release = release
        self._board = board
        self._running = running
        self._now = now
        self._stop_loop = stop_loop
        self._phase = StopPhase.SERVING

    def request(self) -> None:
        """Request the shutdown; further calls have no effect."""
        if self._board.stop.request(self._now()):
            self._board.record(EventKind.STOP_REQUESTED, self._board.name)

    async def step(self) -> None:
        """Advance a requested shutdown to the next phase if it is due."""
        running, now = self._running(), self._now()
        status = self._board.stop.status(running, now)
        if status.phase is self._phase:
            return
        self._phase = status.phase
        state = _STATES.get(status.phase)
        if state is not None:
            self._board.entries.update_own(state=state)
        if status.may_exit:
            self._board.stop.check_exit(running, now)
            self._board.record(
                EventKind.STOPPED,
                self._board.name,
                f'{status.aborted} requests aborted by the stop timeout',
            )
            if self._release is not None:
                await self._release()
            self._stop_loop()
