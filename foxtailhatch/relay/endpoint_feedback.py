"""What a failed attempt says of the endpoints that it used."""

from foxtailhatch.relay.attempt import Attempt
from foxtailhatch.relay.attempt_history import AttemptHistory
from foxtailhatch.relay.context import RelayContext


class EndpointFeedback:
    """Keep work away from endpoints that failed or refused a request."""

    def __init__(
        self,
        parts: RelayContext,
        receivers: AttemptHistory,
        request_id: str,
    ) -> None:
        """Note failures of one request."""
        self._parts = parts
        self._receivers = receivers
        self._request_id = request_id

    def failed(self, name: str, why: str) -> None:
        """Suspect an endpoint, for all requests of this entry."""
        self._receivers.avoid(name)
        endpoint = self._parts.endpoints.get(name)
        if endpoint is None:
            return
        now = self._parts.clock()
        until = self._parts.endpoints.record_failure(name, now)
        self._parts.log.write(
            'suspect',
            id=self._request_id,
            endpoint=name,
            why=why,
            for_s=round(until - now, 2),
        )
        self._parts.on_suspect(endpoint, why)

    def refused(self, attempt: Attempt) -> str:
        """Let the endpoint rest that refused, and return its name."""
        faulty = attempt.answer.failed_address if attempt.answer else None
        named = (
            stage.endpoint.name
            for stage in attempt.chosen
            if stage.endpoint.address == faulty
        )
        name = next(named, attempt.head_name)
        self._receivers.refused_by(name)
        now = self._parts.clock()
        until = self._parts.endpoints.record_refusal(name, now)
        self._parts.log.write(
            'resting',
            id=self._request_id,
            endpoint=name,
            for_s=round(until - now, 2),
        )
        return name

    def absolve(self, attempt: Attempt) -> None:
        """Forget the failures of endpoints that have answered well."""
        for stage in attempt.chosen:
            self._parts.endpoints.clear_failures(stage.endpoint.name)
