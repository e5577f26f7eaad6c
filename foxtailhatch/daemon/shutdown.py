"""Graceful shutdown of a running entry."""

from collections.abc import Awaitable, Callable

from foxtailhatch.callers.connections import CallerConnections
from foxtailhatch.core import EventKind
from foxtailhatch.daemon.blackboard import Blackboard
from foxtailhatch.membership import EntryState, StopPhase, StopStatus

_STATES = {
    StopPhase.UNADVISED: EntryState.LEAVING,
    StopPhase.REFUSING: EntryState.STOPPING,
}


class ShutdownController:
    """Drive a graceful shutdown through its phases and then exit.

    It waits for the requests in progress and for what the callers'
    connections still hold: requests on their way in, and answers on their way
    out.
    """

    def __init__(
        self,
        board: Blackboard,
        running: Callable[[], int],
        now: Callable[[], float],
        stop_loop: Callable[[], object],
        connections: CallerConnections,
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
        self._connections = connections
        self._phase = StopPhase.SERVING

    def request(self) -> None:
        """Request the shutdown; further calls have no effect."""
        if self._board.stop.request(self._now()):
            self._board.record(EventKind.STOP_REQUESTED, self._board.name)

    async def step(self) -> None:
        """Advance a requested shutdown to the next phase if it is due."""
        status = self._status()
        if status.phase is not self._phase:
            self._enter(status.phase)
        self._refuse_incomplete()
        if status.may_exit and self._connections_closed():
            await self._exit()

    def _status(self) -> StopStatus:
        # Most requests are known to both, but those whose caller is gone only
        # to the first, and those still arriving only to the second.
        running = max(self._running(), self._connections.pending())
        return self._board.stop.status(running, self._now())

    def _enter(self, phase: StopPhase) -> None:
        self._phase = phase
        state = _STATES.get(phase)
        if state is not None:
            self._board.entries.update_own(state=state)
        if phase in {StopPhase.REFUSING, StopPhase.DONE}:
            self._connections.closing = True

    def _refuse_incomplete(self) -> None:
        now = self._now()
        stop = self._board.stop
        if stop.waits_for_incomplete(now):
            return
        advice = self._board.entries.advise(None, now)
        refusal = stop.refusal(advice.addresses, now)
        if refusal is not None:
            self._connections.refuse_incomplete(refusal)

    def _connections_closed(self) -> bool:
        self._connections.close_idle()
        is_timed_out = self._board.stop.is_timed_out(self._now())
        return is_timed_out or not self._connections.has_open()

    async def _exit(self) -> None:
        # Last, since this entry would acquire the lease again.
        if self._release is not None:
            await self._release()
        status = self._status()
        self._board.stop.check_exit(status.running, self._now())
        self._connections.cut('stop timeout')
        self._board.record(
            EventKind.STOPPED,
            self._board.name,
            f'{status.aborted} requests aborted by the stop timeout',
        )
        self._stop_loop()
