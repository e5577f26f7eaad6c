"""The resources that show models, entries and the instance's own state."""

from returns.result import Failure, Success
from twisted.web.http import Request

from foxtailhatch.callers.base import FrontResource, caller_of
from foxtailhatch.callers.replies import Reply, json_reply, refusal_reply

OK = 200
UNAVAILABLE = 503


class ModelsResource(FrontResource):
    """``/v1/models``: the models that this caller may reach."""

    def render_GET(self, req: Request) -> Reply:
        """List the models."""
        match caller_of(self.front, req):
            case Success(caller):
                models = self.front.gateway.models(caller)
            case Failure(refusal):
                return refusal_reply(refusal)
        listed = [
            {'id': model.name, 'object': 'model', 'version': model.version}
            for model in models
        ]
        return json_reply({'object': 'list', 'data': listed})


class EntryResource(FrontResource):
    """``/v1/entry``: which addresses to use, and for how long."""

    def render_GET(self, req: Request) -> Reply:
        """Advise on entries, for the zone named in the query if any."""
        zone = query_value(req, b'zone')
        advice = self.front.gateway.entry_advice(zone or None)
        return json_reply(
            {'addresses': advice.addresses, 'keep_s': advice.keep_s},
        )


class HealthResource(FrontResource):
    """``/healthz``: whether the process works."""

    def render_GET(self, req: Request) -> Reply:
        """Answer 200 or 503."""
        healthy = self.front.observability.healthy()
        return json_reply({'healthy': healthy}, _status(healthy))


class ReadyResource(FrontResource):
    """``/readyz``: whether new callers may be sent here."""

    def render_GET(self, req: Request) -> Reply:
        """Answer 200 or 503."""
        ready = self.front.observability.ready()
        return json_reply({'ready': ready}, _status(ready))


class MetricsResource(FrontResource):
    """``/metrics`` in the Prometheus text format."""

    def render_GET(self, req: Request) -> Reply:
        """Show all metrics."""
        headers = {'Content-Type': 'text/plain; version=0.0.4'}
        return Reply(self.front.observability.metrics(), headers=headers)


class TimelineResource(FrontResource):
    """``/timeline``: this instance's events."""

    def render_GET(self, req: Request) -> Reply:
        """Show all events, or those of the subject in the query."""
        subject = query_value(req, b'subject')
        events = self.front.observability.timeline(subject)
        return json_reply(events)


class StatusResource(FrontResource):
    """``/status``: what this instance knows and does."""

    def render_GET(self, req: Request) -> Reply:
        """Show the state."""
        return json_reply(self.front.observability.status())


def query_value(req: Request, name: bytes) -> str:
    """Return the last value of a query's field, or an empty text."""
    values = req.args.get(name, [b''])
    return str(values[-1].decode(errors='replace'))


def _status(good: bool) -> int:
    return OK if good else UNAVAILABLE
