"""Keep the blackboard up to date from the topics of the log."""

from collections.abc import Awaitable, Callable, Iterable

from foxtailhatch.daemon.loops import Loops
from foxtailhatch.relay.decision_log import DecisionLog
from foxtailhatch.router.adapter import Adapter
from foxtailhatch.router.blackboard import Blackboard
from foxtailhatch.router.follower import Follower, OnRecords
from foxtailhatch.router.keyed_log import KeyedRecord, Topic
from foxtailhatch.router.knowledge import Knowledge

# How long a read of the configuration waits for a change.  The age of keys
# grows as long, and has to stay below the revocation bound.
CONFIGURATION_WAIT_S = 1.5
FINDINGS_WAIT_S = 5.0
# Pauses between reads that do not wait.  Endpoints must be known to leave
# well within the two seconds after which they may get no new work.
ENDPOINTS_PERIOD_S = 0.5
ENTRIES_PERIOD_S = 1.5
# After a failed read.
RETRY_PERIOD_S = 0.3


class Following:
    """The followers of all topics and their loops."""

    def __init__(
        self,
        board: Blackboard,
        adapter: Adapter,
        log: DecisionLog,
    ) -> None:
        """Prepare the followers; nothing is read yet."""
        self._board = board
        self._adapter = adapter
        self._log = log
        self._knowledge = Knowledge(board, log, adapter)
        know = self._knowledge
        self._configuration = self._follower(
            Topic.CONFIGURATION,
            know.configuration,
            CONFIGURATION_WAIT_S,
        )
        self._endpoints = self._follower(Topic.ENDPOINTS, self._listed)
        self._entries = self._follower(Topic.ENTRIES, know.entries)
        self._findings = self._follower(
            Topic.FINDINGS,
            know.findings,
            FINDINGS_WAIT_S,
        )

    def start(self, loops: Loops) -> None:
        """Start to read."""
        loops.paced(
            _pace_of(self._configuration, 0),
            self._read_configuration,
        )
        loops.paced(
            _pace_of(self._endpoints, ENDPOINTS_PERIOD_S),
            self._read_endpoints,
        )
        loops.paced(_pace_of(self._findings, 0), _step_of(self._findings))
        loops.paced(
            _pace_of(self._entries, ENTRIES_PERIOD_S),
            _step_of(self._entries),
        )

    def _follower(
        self,
        topic: Topic,
        on_records: OnRecords,
        wait_s: float = 0,
    ) -> Follower:
        return Follower(
            self._adapter.store,
            topic,
            on_records,
            self._log,
            self._board.clock,
            wait_s,
        )

    def _listed(self, records: Iterable[KeyedRecord], newest: bool) -> None:
        failed_at = self._endpoints.failed_at
        self._knowledge.endpoints(records, failed_at, newest=newest)

    async def _read_configuration(self) -> None:
        if await self._configuration.step():
            self._board.configured_at = self._configuration.confirmed_at

    async def _read_endpoints(self) -> None:
        if await self._endpoints.step():
            for name in self._board.endpoints.expire(self._board.clock()):
                self._log.write('endpoint_gone', name=name, why='lapsed')


def _pace_of(follower: Follower, period_s: float) -> Callable[[], float]:
    return lambda: RETRY_PERIOD_S if follower.is_lost else period_s


def _step_of(follower: Follower) -> Callable[[], Awaitable[None]]:
    async def step() -> None:  # noqa: WPS430
        await follower.step()

    return step
