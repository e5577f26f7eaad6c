"""The resources that show models, entries and the instance's own state."""

from returns.result import Failure, Success
from twisted.web.http import Request

from foxtailhatch.callers.base import ApiResource, authenticate_caller
from foxtailhatch.callers.replies import Reply, json_reply, refusal_reply

OK = 200
UNAVAILABLE = 503


class ModelsResource(ApiResource):
    """``/v1/models``: the models that this caller may reach."""

    def render_GET(self, req: Request) -> Reply:
        """List the models."""
        match authenticate_caller(self.context, req):
            case Success(caller):
                models = self.context.gateway.models(caller)
            case Failure(refusal):
                return refusal_reply(refusal)
        listed = [
            {'id': model.name, 'object': 'model', 'version': model.version}
            for model in models
        ]
        return json_reply({'object': 'list', 'data': listed})


class EntryResource(ApiResource):
    """``/v1/entry``: which addresses to use, and for how long."""

    def render_GET(self, req: Request) -> Reply:
        """Advise on entries, for the zone named in the query if any."""
        zone = query_value(req, b'zone')
        recommendation = self.context.gateway.recommend_entries(zone or None)
        return json_reply(
            {
                'addresses': recommendation.addresses,
                'keep_s': recommendation.ttl_s,
            },
        )


class HealthResource(ApiResource):
    """``/healthz``: whether the process works."""

    def render_GET(self, req: Request) -> Reply:
        """Answer 200 or 503."""
        healthy = self.context.observability.healthy()
        return json_reply({'healthy': healthy}, _status(healthy))


class ReadyResource(ApiResource):
    """``/readyz``: whether new callers may be sent here."""

    def render_GET(self, req: Request) -> Reply:
        """Answer 200 or 503."""
        ready = self.context.observability.ready()
        return json_reply({'ready': ready}, _status(ready))


class MetricsResource(ApiResource):
    """``/metrics`` in the Prometheus text format."""

    def render_GET(self, req: Request) -> Reply:
        """Show all metrics."""
        headers = {'Content-Type': 'text/plain; version=0.0.4'}
        return Reply(self.context.observability.metrics(), headers=headers)


class TimelineResource(ApiResource):
    """``/timeline``: this instance's events."""

    def render_GET(self, req: Request) -> Reply:
        """Show all events, or those of the subject in the query."""
        subject = query_value(req, b'subject')
        events = self.context.observability.timeline(subject)
        return json_reply(events)


class StatusResource(ApiResource):
    """``/status``: what this instance knows and does."""

    def render_GET(self, req: Request) -> Reply:
        """Show the state."""
        return json_reply(self.context.observability.status())


def query_value(req: Request, name: bytes) -> str:
    """Return the last value of a query's field, or an empty text."""
    values = req.args.get(name, [b''])
    return str(values[-1].decode(errors='replace'))


def _status(good: bool) -> int:
    return OK if good else UNAVAILABLE
