"""Calls of plain services that may be repeated."""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from foxtailhatch.config import Access, Service
from foxtailhatch.core import Endpoint, ErrorCode, Refusal, RunState
from foxtailhatch.daemon.blackboard import Blackboard
from foxtailhatch.daemon.endpoint_care import EndpointCare
from foxtailhatch.daemon.service_choice import ServiceChoice
from foxtailhatch.outside import (
    PlainService,
    PlatformError,
    PlatformFault,
    ServiceCall,
    ServiceResponse,
)
from foxtailhatch.recovery import FailedAttempt, FailureCause, RetryGranted

NO_ENDPOINT_RETRY_S = 1.0

ServiceOutcome = Result[ServiceResponse, Refusal]


@dataclass(frozen=True, slots=True)
class InProgress:
    """Count one call in progress for as long as the context lasts."""

    running: Counter[str]
    endpoint: str

    def __enter__(self) -> None:
        """Count the call."""
        self.running[self.endpoint] += 1

    def __exit__(self, *failure: object) -> None:
        """Count it no more."""
        self.running[self.endpoint] -= 1


class ServiceCalls:
    """Send calls, and send a repeatable one again where it failed."""

    def __init__(
        self,
        board: Blackboard,
        care: EndpointCare,
        service: PlainService,
        timeout_s: float,
        now: Callable[[], float],
    ) -> None:
        """Start with no call in progress."""
        self.choice = ServiceChoice(board, care.pause)
        self._board = board
        self._care = care
        self._service = service
        self._timeout_s = timeout_s
        self.now = now

    async def repeatable(
        self,
        service: Service,
        granted: Access,
        call: ServiceCall,
    ) -> ServiceOutcome:
        """Send a call until it is answered or the budget is spent."""
        self._board.budget.note_request()
        tried: list[str] = []
        run = RunState.NOT_RUN
        while True:
            now = self.now()
            endpoint = self.choice.choose(service, granted, tried, now)
            if endpoint is None:
                return Failure(failed_call(service, run))
            outcome = await self.once(endpoint, call)
            if isinstance(outcome, Success):
                return outcome
            tried.append(endpoint.name)
            run = _run_after(run, outcome.failure())
            delay_s = self._delay_s(len(tried))
            if delay_s is None:
                return Failure(failed_call(service, run))
            await asyncio.sleep(delay_s)

    async def once(
        self,
        endpoint: Endpoint,
        call: ServiceCall,
    ) -> Result[ServiceResponse, PlatformError]:
        """Send a call once and keep the health of its endpoint."""
        self._board.endpoints.check_send(endpoint.name, self.now())
        with InProgress(self.choice.running, endpoint.name):
            outcome = await self._service.call(endpoint, call, self._timeout_s)
        if isinstance(outcome, Success):
            self._care.answered(endpoint.name)
        else:
            self._care.failed(endpoint.name)
        return outcome

    def _delay_s(self, attempts: int) -> float | None:
        failed = FailedAttempt(attempts, FailureCause.LOST, repeatable=True)
        verdict = self._board.budget.request_retry(failed)
        if isinstance(verdict, RetryGranted):
            return verdict.delay_s
        return None


def _run_after(run: RunState, error: PlatformError) -> RunState:
    # Only a call that never reached an endpoint was certainly not run.
    if error.fault is PlatformFault.UNREACHABLE:
        return run
    return RunState.UNKNOWN


def failed_call(service: Service, run: RunState) -> Refusal:
    """Return the refusal of a call that no endpoint answered."""
    if run is RunState.NOT_RUN:
        return Refusal(
            ErrorCode.NO_CAPACITY,
            f'No endpoint of {service.name} can be reached.',
            run,
            NO_ENDPOINT_RETRY_S,
        )
    return Refusal(
        ErrorCode.ENDPOINT_FAILED,
        f'An endpoint of {service.name} gave no answer.',
        run,
    )
