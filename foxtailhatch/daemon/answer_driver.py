"""One answer in progress: its state machine, its sessions and its caller."""

from typing import Protocol

from foxtailhatch.callers.gateway import AnswerSink
from foxtailhatch.daemon.session_pool import SessionPool
from foxtailhatch.outside.frames import DownFrame, OpenStage
from foxtailhatch.pipeline import (
    Action,
    AnswerFailed,
    AnswerFinished,
    AnswerRun,
    DeliverToken,
    SendFrame,
    StallPolicy,
)

AnswerOutcome = AnswerFinished | AnswerFailed | None


class AnswerHost(Protocol):
    """What a live answer needs of the daemon around it."""

    def now(self) -> float:
        """Return the present time in seconds."""

    def accepts_new_work(self, endpoint: str) -> bool:
        """Tell whether new work may be sent to an endpoint now."""

    def handle_action(self, answer: 'AnswerDriver', action: Action) -> None:
        """Learn what the answer did apart from frames and tokens."""

    def ended(self, answer: 'AnswerDriver', outcome: AnswerOutcome) -> None:
        """Learn that the answer ended; ``None`` if it was cancelled."""


class AnswerDriver:
    """Carry out what an answer's state machine asks for."""

    def __init__(
        self,
        run: AnswerRun,
        sink: AnswerSink,
        sessions: SessionPool,
        host: AnswerHost,
    ) -> None:
        """Join the parts; nothing starts yet."""
        self.run = run
        self.stream = run.plan.stream
        self.delivered = len(run.plan.received)
        self._sink = sink
        self._sessions = sessions
        self._host = host
        self._used: set[str] = set()
        self._unsent: list[str] = []
        self._cancelled = False

    def begin(self) -> None:
        """Choose a chain and open its stages."""
        self._sessions.register(self.stream, self)
        self._perform(self.run.begin(self._host.now()))

    def frame_received(self, endpoint: str, frame: DownFrame) -> None:
        """Take a frame about this answer's stream."""
        self._perform(self.run.handle_frame(endpoint, frame, self._host.now()))

    def endpoint_lost(self, endpoint: str) -> None:
        """Learn that the session with an endpoint is gone."""
        self._perform(self.run.handle_session_loss(endpoint, self._host.now()))

    def tick(self, stall_policy: StallPolicy) -> None:
        """Let time pass."""
        self._perform(self.run.tick(self._host.now(), stall_policy))

    def cancel(self) -> None:
        """Stop the answer because nobody waits for it any more."""
        if self.run.done:
            return
        self._cancelled = True
        for action in self.run.cancel():
            self._act(action)
        self._end(None)

    def pause(self) -> None:
        """Stop asking for tokens."""
        self.run.pause()

    def resume(self) -> None:
        """Go on asking for tokens."""
        self._perform(self.run.resume(self._host.now()))

    def _perform(self, actions: list[Action]) -> None:
        outcome: AnswerOutcome = None
        for action in actions:
            # Delivering a token may lead to a cancellation.
            if self._cancelled:
                return
            self._act(action)
            if isinstance(action, AnswerFinished | AnswerFailed):
                outcome = action
        if outcome is not None:
            self._end(outcome)
        elif self._unsent:
            self._perform(
                self.run.handle_session_loss(
                    self._unsent.pop(), self._host.now()
                ),
            )

    def _act(self, action: Action) -> None:
        match action:
            case SendFrame():
                self._send(action)
            case DeliverToken():
                self.delivered = action.index + 1
                self._sink.token(action.index, action.token)
            case _:
                self._host.handle_action(self, action)

    def _send(self, action: SendFrame) -> None:
        endpoint = action.endpoint
        if isinstance(action.frame, OpenStage) and not self._may_open(endpoint):
            self._unsent.append(endpoint)
            return
        if not self._sessions.send(self.stream, endpoint, action.frame):
            self._unsent.append(endpoint)

    def _may_open(self, endpoint: str) -> bool:
        # A stage that goes on where it was is not new work there.
        if endpoint in self._used:
            return True
        if not self._host.accepts_new_work(endpoint):
            return False
        self._used.add(endpoint)
        return True

    def _end(self, outcome: AnswerOutcome) -> None:
        self._sessions.unregister(self.stream)
        self._host.ended(self, outcome)
        match outcome:
            case AnswerFinished(reason):
                self._sink.finished(reason)
            case AnswerFailed(refusal):
                self._sink.failed(refusal)
