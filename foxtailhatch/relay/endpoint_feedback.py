"""Feedback from the attempts of a request to the endpoint table."""

from dataclasses import replace

from foxtailhatch.relay.attempt import Attempt
from foxtailhatch.relay.attempt_history import AttemptHistory
from foxtailhatch.relay.context import RelayContext
from foxtailhatch.relay.http_connection import ResponseLimit, TransportFailure
from foxtailhatch.relay.request import (
    EndpointIdentity,
    EndpointResponse,
    ResponseKind,
)
from foxtailhatch.relay.retry_policy import FailureKind

FIRST_ERROR_STATUS = 400


class EndpointFeedback:
    """Record the outcomes of one request's attempts at its endpoints.

    Endpoints that failed or refused are excluded from the request's next
    attempts and are backed off for all requests of this entry.
    """

    def __init__(
        self,
        context: RelayContext,
        history: AttemptHistory,
        request_id: str,
    ) -> None:
        """Record outcomes in the endpoint table and in ``history``."""
        self._context = context
        self._history = history
        self._request_id = request_id

    def record_failure(self, name: str, why: str) -> None:
        """Suspect an endpoint for all requests of this entry."""
        self._history.exclude(name)
        endpoint = self._context.endpoints.get(name)
        if endpoint is None:
            return
        now = self._context.clock()
        until = self._context.endpoints.record_failure(name, now)
        self._context.log.write(
            'suspect',
            id=self._request_id,
            endpoint=name,
            why=why,
            for_s=round(until - now, 2),
        )
        self._context.on_suspect(endpoint, why)

    def record_fault(
        self, attempt: Attempt, fault: TransportFailure
    ) -> FailureKind:
        """Record a transport failure, and return what it means.

        An endpoint is suspected only if it could not be reached or closed
        the connection before it responded.
        """
        if fault is TransportFailure.NOT_CONNECTED:
            self._history.record_unreached(attempt.head_name)
            self.record_failure(attempt.head_name, fault.value)
            return FailureKind.UNREACHED
        if fault is TransportFailure.MALFORMED:
            return FailureKind.MALFORMED
        if fault is TransportFailure.CLOSED and attempt.response is None:
            self.record_failure(attempt.head_name, fault.value)
        return FailureKind.MAY_HAVE_RUN

    def record_malformed(self, attempt: Attempt) -> None:
        """Note that the head sent bytes that are no answer.

        A single time may be a passing fault of any endpoint of the chain.  An
        entry passes on what it got, so it is not at fault; nor is an endpoint
        whose response ended as others have filled the memory.
        """
        is_of_others = attempt.exceeded == ResponseLimit.MEMORY.value
        if attempt.is_forwarded or is_of_others:
            return
        name = attempt.head_name
        now = self._context.clock()
        until = self._context.endpoints.record_malformed(name, now)
        if until is not None:
            self._context.log.write(
                'suspect',
                id=self._request_id,
                endpoint=name,
                why='malformed',
                for_s=round(until - now, 2),
            )

    def record_refusal(self, attempt: Attempt) -> str:
        """Back off the endpoint that refused the request; return its name.

        This is the endpoint whose address the response names, and else the
        head of the chain.
        """
        faulty = attempt.response.failed_address if attempt.response else None
        named = (
            stage.endpoint.name
            for stage in attempt.chosen
            if stage.endpoint.address == faulty
        )
        name = next(named, attempt.head_name)
        self._history.record_refusal(name)
        if attempt.is_forwarded:
            return name
        now = self._context.clock()
        until = self._context.endpoints.record_refusal(name, now)
        self._context.log.write(
            'endpoint_backed_off',
            id=self._request_id,
            endpoint=name,
            for_s=round(until - now, 2),
        )
        return name

    def record_notice(self, attempt: Attempt) -> None:
        """Note what the endpoint which answered says of itself.

        The head of the chain answers, so it is the one that leaves.  The one that
        wants a pause is named by the answer, and else the head too.  A success
        that may be of another origin tells nothing.
        """
        response = attempt.response
        if response is None:
            return
        is_doubtful = response.kind is ResponseKind.AMBIGUOUS
        if is_doubtful and response.status < FIRST_ERROR_STATUS:
            return
        if attempt.is_forwarded:
            self._record_forwarded_notice(attempt.head_name, response)
            return
        if response.kind is ResponseKind.SUCCESS:
            self._context.endpoints.pauses.record_answers(
                (stage.endpoint for stage in attempt.chosen),
                self._context.clock(),
            )
        named = (
            stage.endpoint
            for stage in attempt.chosen
            if stage.endpoint.address == response.failed_address
        )
        head = attempt.chosen[0].endpoint
        self._context.record_notice(
            next(named, head),
            replace(response.notice, is_leaving=False),
            self._request_id,
        )
        if response.notice.is_leaving:
            identity = EndpointIdentity(head.name, head.incarnation)
            self._context.record_leaving(identity, self._request_id)
            if self._is_for_entry:
                attempt.response = self._with_name(response, identity)

    def record_rate_limit(self, attempt: Attempt) -> None:
        """Record the limit that the head of the chain names, or that it ends.

        A response that may be of another origin tells nothing.
        """
        response = attempt.response
        if response is None or response.kind is ResponseKind.AMBIGUOUS:
            return
        if attempt.is_forwarded:
            return
        head = attempt.chosen[0].endpoint
        limit_per_s = response.rate_limit_per_s
        if self._context.rate_limits.record(
            head, limit_per_s, self._context.clock()
        ):
            self._context.log.write(
                'limit_named',
                id=self._request_id,
                endpoint=head.name,
                per_s=limit_per_s,
            )

    def record_success(self, attempt: Attempt) -> None:
        """Clear the failures of the endpoints of a successful attempt."""
        for stage in attempt.chosen:
            self._context.endpoints.clear_failures(stage.endpoint.name)

    @property
    def _is_for_entry(self) -> bool:
        """Return whether another entry passes the response on to its caller."""
        return self._history.admitted.req.is_forwarded

    def _with_name(
        self, response: EndpointResponse, leaving: EndpointIdentity
    ) -> EndpointResponse:
        """Return a response that names the endpoint which leaves."""
        header = self._context.codec.leaving_header(leaving)
        return replace(response, headers=(*response.headers, header))

    def _record_forwarded_notice(
        self, entry: str, response: EndpointResponse
    ) -> None:
        """Note that the endpoint behind the response of an entry leaves.

        An older entry does not name it.  One that is listed for another service
        has not answered.
        """
        if not response.notice.is_leaving:
            return
        leaving = response.leaving
        known = leaving and self._context.endpoints.get(leaving.name)
        service = self._history.admitted.service.name
        if leaving is None or (known and known.service != service):
            self._context.log.write(
                'leaving_unnamed', id=self._request_id, by=entry
            )
        else:
            self._context.record_leaving(leaving, self._request_id, entry)
