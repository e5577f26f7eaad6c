"""Build the input of placement from reports, plan and configuration."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from foxtailhatch.config import Configuration
from foxtailhatch.core import Endpoint, Holding, LoadReport
from foxtailhatch.durable.desired_state import DesiredState
from foxtailhatch.durable.fleet import FleetView
from foxtailhatch.durable.holding_plan import EndpointCapacity, RequiredModel

LAYER_CAPACITY_LABEL = 'layer_capacity'
DEFAULT_STEP_S = 0.05


@dataclass(frozen=True, slots=True)
class ReportedEndpoint:
    """An engine that may get new work, with its latest load report."""

    endpoint: Endpoint
    report: LoadReport


def build_fleet_view(
    cfg: Configuration,
    reported: Iterable[ReportedEndpoint],
    desired_states: Mapping[str, DesiredState],
) -> FleetView:
    """Return the input of a placement decision.

    An endpoint without a desired state is planned to keep its holdings.  The
    layer capacity of an endpoint is its label ``layer_capacity``, or else the
    number of layers that it holds now.
    """
    by_name = {item.endpoint.name: item for item in reported}
    plan = {
        name: desired_states[name].holdings
        if name in desired_states
        else item.report.holdings
        for name, item in by_name.items()
    }
    converged = {
        name
        for name, item in by_name.items()
        if set(item.report.holdings) == set(plan[name])
    }
    return FleetView(
        _required_models(cfg),
        plan,
        converged,
        {name: _capacity(item) for name, item in by_name.items()},
        _demand(item.report for item in by_name.values()),
    )


def _required_models(cfg: Configuration) -> tuple[RequiredModel, ...]:
    return tuple(
        RequiredModel(
            model.name,
            model.version,
            model.layers,
            tuple(
                adapter.name
                for adapter in cfg.adapters
                if adapter.model == model.name
            ),
        )
        for model in cfg.models
    )


def _capacity(item: ReportedEndpoint) -> EndpointCapacity:
    held_layers = sum(len(holding.layers) for holding in item.report.holdings)
    label = item.endpoint.labels.get(LAYER_CAPACITY_LABEL, '')
    layers = int(label) if label.isdecimal() else held_layers
    return EndpointCapacity(layers, item.report.max_streams / _step_s(item))


def _step_s(item: ReportedEndpoint) -> float:
    return item.report.step_seconds or DEFAULT_STEP_S


def _demand(reports: Iterable[LoadReport]) -> dict[str, float]:
    """Return the tokens per second that each model serves now.

    Each stage of a chain processes all tokens of an answer, so the demand of
    a model is that of its busiest range of layers.
    """
    flows: defaultdict[Holding, float] = defaultdict(float)
    for report in reports:
        flow = report.streams / (report.step_seconds or DEFAULT_STEP_S)
        for holding in report.holdings:
            flows[holding] += flow
    demand: dict[str, float] = {}
    for holding, flow in flows.items():
        demand[holding.model] = max(demand.get(holding.model, 0), flow)
    return demand
