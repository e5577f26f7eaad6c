"""Service calls, with retries for those that may be repeated."""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from foxtailhatch.config import Access, Service
from foxtailhatch.core import Endpoint, ErrorCode, Refusal, RunState
from foxtailhatch.daemon.blackboard import Blackboard
from foxtailhatch.daemon.endpoint_monitor import EndpointMonitor
from foxtailhatch.daemon.service_selection import ServiceEndpointSelector
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
class InProgressCount:
    """Context manager that counts a call in ``running`` while it is active."""

    running: Counter[str]
    name: str

    def __enter__(self) -> None:
        """Increment the count."""
        self.running[self.name] += 1

    def __exit__(self, *failure: object) -> None:
        """Decrement the count."""
        self.running[self.name] -= 1


class ServiceCalls:
    """Send service calls, and retry repeatable ones on other endpoints.

    ``now`` returns the loop's time in seconds.
    """

    def __init__(
        self,
        board: Blackboard,
        endpoint_monitor: EndpointMonitor,
        service: PlainService,
        timeout_s: float,
        now: Callable[[], float],
    ) -> None:
        """Start with no calls; ``timeout_s`` limits each call."""
        self.selector = ServiceEndpointSelector(
            board, endpoint_monitor.pause_detector
        )
        self._board = board
        self._endpoint_monitor = endpoint_monitor
        self._service = service
        self._timeout_s = timeout_s
        self.now = now

    async def call_with_retries(
        self,
        service: Service,
        granted: Access,
        call: ServiceCall,
    ) -> ServiceOutcome:
        """Send a call, and retry it until it succeeds.

        Stop when each endpoint was tried or the retry budget is exhausted.
        """
        self._board.retry_budget.record_request()
        tried: list[str] = []
        run = RunState.NOT_RUN
        while True:
            now = self.now()
            endpoint = self.selector.select(service, granted, tried, now)
            if endpoint is None:
                return Failure(call_refusal(service, run))
            outcome = await self.call_once(endpoint, call)
            if isinstance(outcome, Success):
                return outcome
            tried.append(endpoint.name)
            run = _run_state_after(run, outcome.failure())
            delay_s = self._delay_s(len(tried))
            if delay_s is None:
                return Failure(call_refusal(service, run))
            await asyncio.sleep(delay_s)

    async def call_once(
        self,
        endpoint: Endpoint,
        call: ServiceCall,
    ) -> Result[ServiceResponse, PlatformError]:
        """Send a call once and record the result as its endpoint's health."""
        self._board.endpoints.check_send(endpoint.name, self.now())
        with InProgressCount(self.selector.calls_in_progress, endpoint.name):
            outcome = await self._service.call(endpoint, call, self._timeout_s)
        if isinstance(outcome, Success):
            self._endpoint_monitor.record_success(endpoint.name)
        else:
            self._endpoint_monitor.record_failure(endpoint.name)
        return outcome

    def _delay_s(self, attempts: int) -> float | None:
        failed = FailedAttempt(attempts, FailureCause.LOST, repeatable=True)
        verdict = self._board.retry_budget.request_retry(failed)
        if isinstance(verdict, RetryGranted):
            return verdict.delay_s
        return None


def _run_state_after(run: RunState, error: PlatformError) -> RunState:
    # A call that failed after the endpoint was reached may have run.
    if error.fault is PlatformFault.UNREACHABLE:
        return run
    return RunState.UNKNOWN


def call_refusal(service: Service, run: RunState) -> Refusal:
    """Return the refusal of a call that failed on all endpoints tried."""
    if run is RunState.NOT_RUN:
        return Refusal(
            ErrorCode.NO_CAPACITY,
            f'No endpoint of {service.name} is reachable.',
            run,
            NO_ENDPOINT_RETRY_S,
        )
    return Refusal(
        ErrorCode.ENDPOINT_FAILED,
        f'An endpoint of {service.name} was reached but did not respond.',
        run,
    )
