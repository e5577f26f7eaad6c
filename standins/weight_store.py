"""Run the weight store: ``python -m standins.weight_store --help``."""

from dataclasses import dataclass, field
from typing import Final

import click

from foxtailhatch.outside.weights_http import LayerDocument
from standins.faults import Faults
from standins.http_app import NOT_FOUND, Call, Reply, reply
from standins.process import serve

DEFAULT_LAYER_BYTES: Final = 400_000_000


@dataclass(slots=True)
class WeightStandIn:
    """Weight store that reports the same layer size for every model."""

    layer_bytes: int = DEFAULT_LAYER_BYTES
    faults: Faults = field(default_factory=Faults)

    def answer(self, call: Call) -> Reply | None:
        """Return the layer size for ``/weights/MODEL/VERSION``."""
        if call.path[0] == 'weights':
            return reply(LayerDocument(layer_bytes=self.layer_bytes))
        return reply({'error': 'unknown path'}, NOT_FOUND)


@click.command()
@click.option('--name', default='weights')
@click.option('--port', default=0)
@click.option('--layer-bytes', default=DEFAULT_LAYER_BYTES)
def main(name: str, port: int, layer_bytes: int) -> None:
    """Run a stand-in for the platform's rate-limited weight store."""
    serve(name, port, lambda _: WeightStandIn(layer_bytes))


if __name__ == '__main__':
    main()
