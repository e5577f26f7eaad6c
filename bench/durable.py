"""Cost of the control parts that use the log: ``python -m bench.durable``."""

import time

from bench.claim_costs import measure_claims
from bench.claim_latency import measure_claim_latency
from bench.configuration_costs import measure_configuration
from bench.report import report
from bench.time_to_force import measure_time_to_force
from foxtailhatch.core import Holding, LayerRange
from foxtailhatch.durable import (
    EndpointCapacity,
    FleetView,
    PlacementController,
    RequiredModel,
)

ENDPOINTS = 1200
MODELS = 37
LAYERS = 32
STAGES = 4
STEPS = 20


def target_fleet() -> FleetView:
    """Return a fleet of the target size that needs no placement changes."""
    plan = {}
    for number in range(ENDPOINTS):
        stage = number % STAGES * (LAYERS // STAGES)
        layers = LayerRange(stage, stage + LAYERS // STAGES)
        model = f'model-{number // STAGES % MODELS}'
        plan[f'engine-{number}'] = (Holding(model, 'v1', layers),)
    return FleetView(
        [
            RequiredModel(f'model-{each}', 'v1', LAYERS)
            for each in range(MODELS)
        ],
        plan,
        set(plan),
        {name: EndpointCapacity(LAYERS, 800.0) for name in plan},
        {f'model-{each}': 4000.0 for each in range(MODELS)},
    )


def measure_placement() -> None:
    """Report the time of a placement decision at the target size."""
    view = target_fleet()
    placement = PlacementController(0)
    began = time.process_time()
    for step in range(STEPS):
        placement.step(step * 10.0, view)
    spent = (time.process_time() - began) / STEPS * 1000
    report(
        'processor time of a decision on placement',
        round(spent, 2),
        'ms',
        0,
        endpoints=ENDPOINTS,
        models=MODELS,
    )


def main() -> None:
    """Run all measurements."""
    measure_claims()
    measure_claim_latency()
    measure_configuration()
    measure_placement()
    measure_time_to_force()


if __name__ == '__main__':
    main()
