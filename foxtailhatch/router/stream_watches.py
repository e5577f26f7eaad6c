"""The periodic checks of the running requests."""

from dataclasses import dataclass

from foxtailhatch.daemon.loops import Loops
from foxtailhatch.placement.protocols import EngineClient
from foxtailhatch.relay.context import RelayContext
from foxtailhatch.router.blackboard import Blackboard
from foxtailhatch.router.forwarding import CutOffWatch
from foxtailhatch.router.hedge_controller import HedgeController
from foxtailhatch.router.reach_prober import ReachProber
from foxtailhatch.router.stall_detector import StallDetector

STALL_CHECK_PERIOD_S = 0.05
# Period of the check for stalls while no request runs, as each step of a loop
# costs processor time.
IDLE_PERIOD_S = 0.2


@dataclass(frozen=True, slots=True)
class StreamWatches:
    """What resolves the causes that keep running requests waiting."""

    stall_detector: StallDetector
    cut_off_watch: CutOffWatch
    hedge_controller: HedgeController

    def start(self, loops: Loops) -> None:
        """Start the loops of all checks."""
        loops.repeat(self._stall_check_pause_s, self._check_stalls)
        hedges = self.hedge_controller
        loops.repeat(hedges.delay_s, hedges.step)

    def _stall_check_pause_s(self) -> float:
        is_busy = self.stall_detector.has_streams
        return STALL_CHECK_PERIOD_S if is_busy else IDLE_PERIOD_S

    async def _check_stalls(self) -> None:
        self.cut_off_watch.step()
        await self.stall_detector.step()


def build_stream_watches(
    board: Blackboard,
    context: RelayContext,
    engines: EngineClient,
    prober: ReachProber,
) -> StreamWatches:
    """Return the checks of the running requests of ``context``."""
    return StreamWatches(
        StallDetector(
            context, engines, prober.probe_delay_s, prober.has_witness
        ),
        CutOffWatch(board, context),
        HedgeController(context),
    )
