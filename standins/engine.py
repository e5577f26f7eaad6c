"""Run one engine as a process: ``python -m standins.engine --help``."""

from typing import Any, Final

import click

from foxtailhatch.core import Holding, LayerRange
from standins.engine_batch import DEFAULT_MAX_BATCH, ServiceTime
from standins.engine_node import (
    DEFAULT_GRACE_S,
    Engine,
    EngineSettings,
)
from standins.engine_streams import (
    DEFAULT_CACHE_BLOCKS,
    DEFAULT_MAX_STREAMS,
    EngineStreams,
)
from standins.prefix_cache import PrefixCache
from standins.process import serve


def parse_holding(text: str) -> Holding:
    """Parse ``MODEL:VERSION:FIRST-END[:ADAPTER,...]``; ``END`` is exclusive.

    >>> parse_holding('guidance:1:0-4').layers
    LayerRange(first=0, end=4)
    """
    model, version, layers, *adapters = text.split(':')
    first, end = layers.split('-')
    return Holding(
        model,
        version,
        LayerRange(int(first), int(end)),
        tuple(adapters[0].split(',')) if adapters else (),
    )


def parse_layer_count(text: str) -> tuple[str, int]:
    """Parse ``MODEL=COUNT``.

    >>> parse_layer_count('guidance=12')
    ('guidance', 12)
    """
    model, count = text.split('=')
    return model, int(count)


def main(**options: Any) -> None:
    """Run a stand-in for one model engine."""
    settings = _settings(options)
    counts = settings.streams.model_layers
    for holding in settings.streams.holdings:
        if holding.model not in counts:
            raise click.UsageError(
                f'missing --model-layers {holding.model}=COUNT'
            )
    serve(
        settings.name,
        options['port'],
        lambda reactor: Engine(reactor, settings),
    )


def _settings(options: dict[str, Any]) -> EngineSettings:
    """Return the engine's settings from the command line's options."""
    return EngineSettings(
        name=options['name'],
        streams=EngineStreams(
            holdings=tuple(map(parse_holding, options['hold'])),
            model_layers=dict(map(parse_layer_count, options['model_layers'])),
            max_streams=options['max_streams'],
            activation_bytes=options['activation_bytes'],
            prefix_cache=PrefixCache(
                options['cache_blocks'],
                options['late_events'],
            ),
        ),
        service=ServiceTime(
            options['base_s'],
            options['per_stream_s'],
            options['per_token_s'],
            options['max_batch'],
        ),
        checks_fencing=not options['ignore_fence'],
        grace_s=options['grace_s'],
        load_lag_s=options['load_lag_s'],
        loading_s=options['loading_s'],
    )


def _seconds_option(name: str, text: str, default: float = 0) -> click.Option:
    """Return an option with a value in seconds."""
    return click.Option(
        [name],
        default=default,
        type=float,
        show_default=True,
        help=text,
    )


def _int_option(name: str, text: str, default: int = 0) -> click.Option:
    """Return an option with an integer value."""
    return click.Option([name], default=default, show_default=True, help=text)


OPTIONS: Final = (
    click.Option(['--name'], required=True),
    _int_option('--port', 'Port to listen on; 0 selects a free one.'),
    click.Option(['--zone'], default='', help='For launchers only.'),
    click.Option(['--accelerator'], default='', help='For launchers only.'),
    click.Option(
        ['--hold'],
        multiple=True,
        help='MODEL:VERSION:FIRST-END[:ADAPTER,...], END exclusive.',
    ),
    click.Option(
        ['--model-layers'],
        multiple=True,
        help='MODEL=COUNT, the number of layers of the model.',
    ),
    _int_option(
        '--max-streams', 'Maximum of open streams.', DEFAULT_MAX_STREAMS
    ),
    _int_option('--activation-bytes', 'Minimum activation size in bytes.'),
    _seconds_option('--base-s', 'Base duration of a batch in seconds.'),
    _seconds_option(
        '--per-stream-s', 'Additional seconds per stream of a batch.'
    ),
    _seconds_option('--per-token-s', 'Additional seconds per prefill token.'),
    _int_option(
        '--max-batch', 'Maximum of streams in a batch.', DEFAULT_MAX_BATCH
    ),
    _seconds_option('--load-lag-s', 'Maximum age of a load report in seconds.'),
    _seconds_option('--loading-s', 'Seconds until an order takes effect.'),
    _int_option(
        '--cache-blocks', 'Capacity of the prefix cache.', DEFAULT_CACHE_BLOCKS
    ),
    _int_option('--late-events', 'Number of newest cache events withheld.'),
    _seconds_option(
        '--grace-s', 'Retention of detached streams.', DEFAULT_GRACE_S
    ),
    click.Option(['--ignore-fence'], is_flag=True),
)
command = click.Command(
    'engine',
    params=list(OPTIONS),
    callback=main,
    help=main.__doc__,
)


if __name__ == '__main__':
    command()
