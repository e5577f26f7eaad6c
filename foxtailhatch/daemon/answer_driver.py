"""Execution of the actions of one answer's state machine."""

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
    """The interface of the daemon that an answer driver uses."""

    def now(self) -> float:
        """Return the loop's time in seconds."""

    def accepts_new_work(self, endpoint: str) -> bool:
        """Return whether new work may be sent to an endpoint now."""

    def handle_action(self, answer: 'AnswerDriver', action: Action) -> None:
        """Handle an action that neither sends a frame nor delivers a token."""

    def ended(self, answer: 'AnswerDriver', outcome: AnswerOutcome) -> None:
        """Handle the end of the answer; ``None`` if it was cancelled."""


class AnswerDriver:
    """Connect an answer's state machine to its sessions and its caller.

    ``delivered`` counts the answer's tokens that the caller has, including
    those it had received before this request.
    """

    def __init__(
        self,
        run: AnswerRun,
        sink: AnswerSink,
        sessions: SessionPool,
        host: AnswerHost,
    ) -> None:
        """Connect the parts; :meth:`begin` starts the answer."""
        self.run = run
        self.stream = run.plan.stream
        self.delivered = len(run.plan.received)
        self._sink = sink
        self._sessions = sessions
        self._host = host
        self._endpoints_in_use: set[str] = set()
        self._failed_endpoints: list[str] = []
        self._cancelled = False

    def begin(self) -> None:
        """Select a chain and open its stages."""
        self._sessions.register(self.stream, self)
        self._carry_out_all(self.run.begin(self._host.now()))

    def frame_received(self, endpoint: str, frame: DownFrame) -> None:
        """Handle a frame of this answer's stream."""
        self._carry_out_all(
            self.run.handle_frame(endpoint, frame, self._host.now())
        )

    def endpoint_lost(self, endpoint: str) -> None:
        """Handle the loss of the session with an endpoint."""
        self._carry_out_all(
            self.run.handle_session_loss(endpoint, self._host.now())
        )

    def tick(self, stall_policy: StallPolicy) -> None:
        """Check the answer's stages for timeouts."""
        self._carry_out_all(self.run.tick(self._host.now(), stall_policy))

    def cancel(self) -> None:
        """Stop the answer on behalf of the caller."""
        if self.run.done:
            return
        self._cancelled = True
        for action in self.run.cancel():
            self._carry_out(action)
        self._end(None)

    def pause(self) -> None:
        """Request no further tokens."""
        self.run.pause()

    def resume(self) -> None:
        """Continue to request tokens."""
        self._carry_out_all(self.run.resume(self._host.now()))

    def _carry_out_all(self, actions: list[Action]) -> None:
        outcome: AnswerOutcome = None
        for action in actions:
            # The sink may cancel the answer while it takes a token.
            if self._cancelled:
                return
            self._carry_out(action)
            if isinstance(action, AnswerFinished | AnswerFailed):
                outcome = action
        if outcome is not None:
            self._end(outcome)
        elif self._failed_endpoints:
            self._carry_out_all(
                self.run.handle_session_loss(
                    self._failed_endpoints.pop(), self._host.now()
                ),
            )

    def _carry_out(self, action: Action) -> None:
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
        if isinstance(action.frame, OpenStage) and not self._may_open_stage(
            endpoint
        ):
            self._failed_endpoints.append(endpoint)
            return
        if not self._sessions.send(self.stream, endpoint, action.frame):
            self._failed_endpoints.append(endpoint)

    def _may_open_stage(self, endpoint: str) -> bool:
        # Reopening a stage for another attempt is not new work for its
        # endpoint.
        if endpoint in self._endpoints_in_use:
            return True
        if not self._host.accepts_new_work(endpoint):
            return False
        self._endpoints_in_use.add(endpoint)
        return True

    def _end(self, outcome: AnswerOutcome) -> None:
        self._sessions.unregister(self.stream)
        self._host.ended(self, outcome)
        match outcome:
            case AnswerFinished(reason):
                self._sink.finished(reason)
            case AnswerFailed(refusal):
                self._sink.failed(refusal)
