"""Read the settings file that the platform provides for each process."""

from collections.abc import Mapping
from pathlib import Path

from returns.result import Failure, Result, Success

from foxtailhatch.router.settings import (
    DEFAULT_MEMORY_BYTES,
    Bounds,
    RouterSettings,
)

SETTINGS_VARIABLE = 'FOXTAILHATCH_SETTINGS'
DEFAULT_PATH = '/etc/foxtailhatch/settings.conf'
MS_IN_S = 1000.0
BYTES_IN_MB = 1_000_000
REQUIRED = ('node_name', 'ip', 'zone', 'region', 'platform.address')


def read_settings(
    path: Path,
    metrics_port: int,
) -> Result[RouterSettings, str]:
    """Return the settings in the file at ``path``, or an error message."""
    try:
        text = path.read_text(encoding='utf-8')
    except OSError as exc:
        return Failure(f'{path}: {exc.strerror}')
    return decode_settings(text, metrics_port)


def decode_settings(
    text: str,
    metrics_port: int,
) -> Result[RouterSettings, str]:
    """Return the settings in lines of the form ``a.b=value``.

    >>> decode_settings('node_name=e1', 0).failure()
    'missing: ip, zone, region, platform.address'
    """
    fields = _fields(text)
    missing = [name for name in REQUIRED if not fields.get(name)]
    if missing:
        listed = ', '.join(missing)
        return Failure(f'missing: {listed}')
    try:
        return Success(_settings(fields, metrics_port))
    except ValueError as exc:
        return Failure(str(exc))


def _fields(text: str) -> dict[str, str]:
    pairs = (line.partition('=') for line in text.splitlines() if line.strip())
    return {name.strip(): field.strip() for name, _, field in pairs}


def _settings(fields: Mapping[str, str], metrics_port: int) -> RouterSettings:
    prefix = 'zones.'
    zones = {
        name.removeprefix(prefix): region
        for name, region in fields.items()
        if name.startswith(prefix)
    }
    host = fields['ip']
    return RouterSettings(
        instance=fields['node_name'],
        zone=fields['zone'],
        region=fields['region'],
        zones=zones,
        callers_address=fields.get('listen.front', ''),
        ready_address=fields.get('listen.ready', ''),
        advice_address=fields.get('listen.directory', ''),
        metrics_address=f'{host}:{metrics_port}' if metrics_port else '',
        peer_address=_peer_address(fields),
        cpu_cores=_cpu_cores(fields),
        store_address=fields['platform.address'],
        bounds=_bounds(fields),
        memory_bytes=_memory_bytes(fields),
        link_mbps=_number(fields, 'limits.link_mbps', 0),
    )


def _peer_address(fields: Mapping[str, str]) -> str:
    """Return the address for peer traffic: the first port of the range."""
    first_port = fields.get('port_range', '').partition(',')[0]
    return f'{fields["ip"]}:{first_port}' if first_port else ''


def _cpu_cores(fields: Mapping[str, str]) -> float:
    share = _number(fields, 'limits.cpu_share', 1)
    return share * _number(fields, 'limits.cores', 1)


def _memory_bytes(fields: Mapping[str, str]) -> int:
    default_mb = DEFAULT_MEMORY_BYTES / BYTES_IN_MB
    return int(_number(fields, 'limits.memory_mb', default_mb) * BYTES_IN_MB)


def _bounds(fields: Mapping[str, str]) -> Bounds:
    defaults = Bounds()

    def seconds(name: str, default_s: float) -> float:  # noqa: WPS430
        in_ms = default_s * MS_IN_S
        return _number(fields, f'bounds.{name}', in_ms) / MS_IN_S

    return Bounds(
        revocation_s=seconds('revoke_ms', defaults.revocation_s),
        change_s=seconds('config_apply_ms', defaults.change_s),
        stop_grace_s=_number(fields, 'bounds.grace_s', defaults.stop_grace_s),
        stall_s=seconds('stall_ms', defaults.stall_s),
        leaving_s=seconds('drain_ms', defaults.leaving_s),
        settling_s=seconds('contact_ms', defaults.settling_s),
        advice_max_s=_number(fields, 'bounds.ttl_max_s', defaults.advice_max_s),
        retry_ratio=_number(fields, 'bounds.retry_ratio', defaults.retry_ratio),
        retry_window_s=_number(
            fields,
            'bounds.retry_window_s',
            defaults.retry_window_s,
        ),
        retry_slack=_number(fields, 'bounds.retry_slack', defaults.retry_slack),
    )


def _number(fields: Mapping[str, str], name: str, default: float) -> float:
    field = fields.get(name, '')
    if not field:
        return default
    try:
        return float(field)
    except ValueError:
        raise ValueError(f'{name}: expected a number, got {field!r}') from None
