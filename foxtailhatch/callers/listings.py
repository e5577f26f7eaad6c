"""Resources that show models, recommended entries and instance state."""

from returns.result import Failure, Success
from twisted.web.http import Request

from foxtailhatch.callers.base import ApiResource, authenticate_caller
from foxtailhatch.callers.replies import Reply, json_reply, refusal_reply

OK = 200
UNAVAILABLE = 503


class ModelsResource(ApiResource):
    """``/v1/models``: the models that the caller may use."""

    def render_GET(self, req: Request) -> Reply:
        """Return the models in OpenAI's list format."""
        match authenticate_caller(self.context, req):
            case Success(caller):
                models = self.context.gateway.models(caller)
            case Failure(refusal):
                return refusal_reply(refusal)
        model_list = [
            {'id': model.name, 'object': 'model', 'version': model.version}
            for model in models
        ]
        return json_reply({'object': 'list', 'data': model_list})


class EntryResource(ApiResource):
    """``/v1/entry``: recommended entry addresses and their lifetime."""

    def render_GET(self, req: Request) -> Reply:
        """Recommend entries, for the availability zone in the query if any."""
        zone = query_value(req, b'zone')
        recommendation = self.context.gateway.recommend_entries(zone or None)
        return json_reply(
            {
                'addresses': recommendation.addresses,
                'keep_s': recommendation.ttl_s,
            },
        )


class HealthResource(ApiResource):
    """``/healthz``: liveness probe."""

    def render_GET(self, req: Request) -> Reply:
        """Return 200 or 503."""
        healthy = self.context.observability.healthy()
        return json_reply({'healthy': healthy}, _status(healthy))


class ReadyResource(ApiResource):
    """``/readyz``: readiness probe, whether new callers may be sent here."""

    def render_GET(self, req: Request) -> Reply:
        """Return 200 or 503."""
        ready = self.context.observability.ready()
        return json_reply({'ready': ready}, _status(ready))


class MetricsResource(ApiResource):
    """``/metrics`` in the Prometheus text format."""

    def render_GET(self, req: Request) -> Reply:
        """Return all metrics."""
        headers = {'Content-Type': 'text/plain; version=0.0.4'}
        return Reply(self.context.observability.metrics(), headers=headers)


class TimelineResource(ApiResource):
    """``/timeline``: the events of this instance."""

    def render_GET(self, req: Request) -> Reply:
        """Return all events, or those of the subject in the query."""
        subject = query_value(req, b'subject')
        events = self.context.observability.timeline(subject)
        return json_reply(events)


class StatusResource(ApiResource):
    """``/status``: the state of this instance."""

    def render_GET(self, req: Request) -> Reply:
        """Return the state."""
        return json_reply(self.context.observability.status())


def query_value(req: Request, name: bytes) -> str:
    """Return the last value of a query parameter, or an empty string."""
    values = req.args.get(name, [b''])
    return str(values[-1].decode(errors='replace'))


def _status(is_ok: bool) -> int:
    return OK if is_ok else UNAVAILABLE
